//! Attempts at engines: sent, run, and their outcome brought back to the gateway.

use admission::interface::*;
use dispatch::{AttemptOrder, FollowUp};
use rand::RngExt;

use super::events::Event;
use super::statements::Attempt;
use super::{Emulation, moment};
use crate::engine::{Run, State};

/// A failing engine answers with an error this soon.
const ERROR_AFTER_S: f64 = 0.005;
/// An engine is looked at this long after a run is due, so that rounding does not leave it unfinished.
const ENGINE_TICK_SLACK_S: f64 = 1e-6;

impl Emulation<'_> {
    /// Sends an attempt to the engine that was picked.
    pub(super) fn send_attempt(&mut self, id: StatementId, order: AttemptOrder) {
        let statement = id.0 as usize;
        let engine = order.engine.0 as usize;
        let attempt = order.attempt;
        self.rules.sent(self.now_s, id.0, engine, self.zone(engine));
        self.connections
            .acquire(self.now_s, self.statements[statement].gateway, engine);
        self.measurements.figures.attempts += 1;
        self.statements[statement].in_flight = Some(Attempt {
            engine,
            number: attempt,
            sent_s: self.now_s,
        });
        match self.engines[engine].state {
            State::Down => self.end_attempt(statement, attempt, AttemptEvent::Unreachable),
            State::Failing => {
                self.schedule(
                    self.now_s + ERROR_AFTER_S,
                    Event::AttemptError { statement, attempt },
                );
            }
            State::Well | State::Paused | State::Silent => {
                let due_s = (order.due - moment(0.0)).secs();
                self.schedule(due_s, Event::AttemptTimeout { statement, attempt });
                self.schedule_progress(engine, statement, attempt);
                self.start_run(engine, statement, attempt);
            }
        }
    }

    /// Starts an attempt's run; a cold engine with too much of it falls over.
    fn start_run(&mut self, engine: usize, statement: usize, attempt: AttemptNumber) {
        let request = &self.requests[self.statements[statement].request];
        let class = self.classes[request.class].settings;
        let run = Run {
            statement: statement as u64,
            attempt: attempt.0,
            cpu: request.cpu_s,
            threads: class.threads,
            memory_mb: class.memory_mb,
            sent: self.now_s,
        };
        if self.engines[engine].take(self.now_s, run) {
            self.rules.fell_over();
            self.engines[engine].fell += 1;
            self.engines[engine].state = State::Down;
            self.reset_engine(engine);
        }
        self.schedule_engine_tick(engine);
    }

    /// Ends all that an engine runs, and its connections.
    pub(super) fn reset_engine(&mut self, engine: usize) {
        self.connections.close_idle_to_engine(engine);
        for run in self.engines[engine].drop_all(self.now_s) {
            self.end_attempt(
                run.statement as usize,
                AttemptNumber(run.attempt),
                AttemptEvent::Reset,
            );
        }
    }

    /// Completes the runs that have ended by now.
    pub(super) fn tick_engine(&mut self, engine: usize) {
        for run in self.engines[engine].ended(self.now_s) {
            self.complete_run(&run);
        }
        self.schedule_engine_tick(engine);
    }

    /// Schedules a look at an engine for when its next run ends.
    pub(super) fn schedule_engine_tick(&mut self, engine: usize) {
        let generation = self.engines[engine].turn;
        if let Some(at_s) = self.engines[engine].next() {
            self.schedule(
                at_s + ENGINE_TICK_SLACK_S,
                Event::EngineTick { engine, generation },
            );
        }
    }

    fn schedule_progress(&mut self, engine: usize, statement: usize, attempt: AttemptNumber) {
        let at_s = self.now_s + self.scenario.engines.note_ms / 1e3;
        self.schedule(
            at_s,
            Event::Progress {
                engine,
                statement,
                attempt,
            },
        );
    }

    /// An engine tells the gateway how far an attempt is, as long as it runs.
    pub(super) fn report_progress(
        &mut self,
        engine: usize,
        statement: usize,
        attempt: AttemptNumber,
    ) {
        self.engines[engine].advance(self.now_s);
        let Some(run) = self.engines[engine].runs(statement as u64, attempt.0) else {
            return;
        };
        let news = AttemptEvent::Progress(self.engines[engine].share(run));
        let latency = TimeDelta::from_secs(self.now_s - run.sent);
        let in_flight = self.statements[statement].in_flight;
        let followed =
            in_flight.is_some_and(|sent| sent.engine == engine && sent.number == attempt);
        if followed && self.engines[engine].state == State::Well {
            let gateway = self.statements[statement].gateway;
            let id = StatementId(statement as u64);
            let front = &mut self.gateways[gateway].front;
            front.report(moment(self.now_s), id, attempt, news, latency, false);
        }
        self.schedule_progress(engine, statement, attempt);
    }

    /// A run has ended: its answer reaches the gateway, unless it is lost or nobody waits for it.
    fn complete_run(&mut self, run: &Run) {
        let statement = run.statement as usize;
        let in_flight = self.statements[statement].in_flight;
        let Some(attempt) = in_flight.filter(|sent| sent.number.0 == run.attempt) else {
            return;
        };
        let lost_share = self.lost_answers[attempt.engine];
        if lost_share > 0.0 && self.rng.random::<f64>() < lost_share {
            return;
        }
        if !self.statements[statement].answered {
            self.statements[statement].answered = true;
            self.rules.answered(self.now_s, run.statement, false);
            self.record_answer(statement, run);
        }
        let news = AttemptEvent::Completed {
            cpu: Some(TimeDelta::from_secs(run.cpu)),
            memory_mb: Some(run.memory_mb),
        };
        self.end_attempt(statement, attempt.number, news);
    }

    /// Reports the outcome of an attempt to its gateway, if the attempt is still in flight.
    pub(super) fn end_attempt(&mut self, index: usize, number: AttemptNumber, news: AttemptEvent) {
        let statement = &mut self.statements[index];
        let Some(attempt) = statement
            .in_flight
            .take_if(|attempt| attempt.number == number)
        else {
            return;
        };
        let (gateway, answered) = (statement.gateway, statement.answered);
        self.measurements.figures.timed_out += u64::from(news == AttemptEvent::TimedOut);
        if ends_connection(&news) {
            self.connections.close(attempt.engine);
        } else {
            self.connections
                .release(self.now_s, gateway, attempt.engine);
        }
        self.rules.relay_over(index as u64, may_have_run(&news));
        let id = StatementId(index as u64);
        let latency = TimeDelta::from_secs(self.now_s - attempt.sent_s);
        let front = &mut self.gateways[gateway].front;
        match front.report(moment(self.now_s), id, number, news, latency, answered) {
            FollowUp::None | FollowUp::Cancel(_) => {}
            FollowUp::Reject { retry_after } => self.reject(id, retry_after),
            FollowUp::Fail => self.fail(id),
        }
        self.wake_gateway(gateway, self.now_s);
    }
}

/// Whether a connection is of no further use after this outcome.
fn ends_connection(news: &AttemptEvent) -> bool {
    matches!(
        news,
        AttemptEvent::TimedOut | AttemptEvent::Reset | AttemptEvent::Unreachable
    )
}

fn may_have_run(news: &AttemptEvent) -> bool {
    !matches!(
        news,
        AttemptEvent::Unreachable
            | AttemptEvent::Rejected
            | AttemptEvent::NeverSent
            | AttemptEvent::Withdrawn
    )
}
