//! Attempts: sending them to engines, running them and reporting their outcomes to the gateways.

use admission::interface::*;
use dispatch::{AttemptOrder, FollowUp};
use rand::RngExt;

use super::events::Event;
use super::statements::Attempt;
use super::{Emulation, timestamp};
use crate::engine::{RunningAttempt, State};

/// The time that a failing engine takes to answer with an error.
const ERROR_AFTER_S: f64 = 0.005;
/// Delay of an engine tick after an attempt is due, so that rounding of event times does not leave
/// it unfinished.
const ENGINE_TICK_DELAY_S: f64 = 1e-6;

impl Emulation<'_> {
    /// Sends an attempt to the engine that the gateway picked.
    pub(super) fn send_attempt(&mut self, id: StatementId, order: AttemptOrder) {
        let statement = id.0 as usize;
        let engine = order.engine.0 as usize;
        let attempt = order.attempt;
        self.rules
            .attempt_sent(self.now_s, id.0, engine, self.zone(engine));
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
            State::Healthy | State::Paused | State::Silent => {
                let due_s = (order.due - timestamp(0.0)).secs();
                self.schedule(due_s, Event::AttemptTimeout { statement, attempt });
                self.schedule_progress(engine, statement, attempt);
                self.start_attempt(engine, statement, attempt);
            }
        }
    }

    /// Starts an attempt on its engine. A cold engine that this overloads crashes.
    fn start_attempt(&mut self, engine: usize, statement: usize, attempt: AttemptNumber) {
        let request = &self.requests[self.statements[statement].request];
        let class = self.classes[request.class].settings;
        let run = RunningAttempt {
            statement: statement as u64,
            attempt: attempt.0,
            cpu: request.cpu_s,
            threads: class.threads,
            memory_mb: class.memory_mb,
            sent: self.now_s,
        };
        if self.engines[engine].start(self.now_s, run) {
            self.rules.engine_overloaded();
            self.engines[engine].crashes += 1;
            self.engines[engine].state = State::Down;
            self.reset_engine(engine);
        }
        self.schedule_engine_tick(engine);
    }

    /// Resets all attempts that an engine runs, and closes its idle connections.
    pub(super) fn reset_engine(&mut self, engine: usize) {
        self.connections.close_idle_to_engine(engine);
        for run in self.engines[engine].take_all(self.now_s) {
            self.end_attempt(
                run.statement as usize,
                AttemptNumber(run.attempt),
                AttemptEvent::Reset,
            );
        }
    }

    /// Processes the attempts that an engine has completed.
    pub(super) fn tick_engine(&mut self, engine: usize) {
        for run in self.engines[engine].take_completed(self.now_s) {
            self.complete_attempt(&run);
        }
        self.schedule_engine_tick(engine);
    }

    /// Schedules the engine's next tick, for when its next attempt completes.
    pub(super) fn schedule_engine_tick(&mut self, engine: usize) {
        let generation = self.engines[engine].generation;
        if let Some(at_s) = self.engines[engine].next() {
            self.schedule(
                at_s + ENGINE_TICK_DELAY_S,
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

    /// Reports the progress of a running attempt to its gateway, and schedules the next report. An
    /// engine that is not healthy skips the report.
    pub(super) fn report_progress(
        &mut self,
        engine: usize,
        statement: usize,
        attempt: AttemptNumber,
    ) {
        self.engines[engine].advance(self.now_s);
        let Some(run) = self.engines[engine].running(statement as u64, attempt.0) else {
            return;
        };
        let event = AttemptEvent::Progress(self.engines[engine].progress(run));
        let latency = TimeDelta::from_secs(self.now_s - run.sent);
        let in_flight = self.statements[statement].in_flight;
        let is_current =
            in_flight.is_some_and(|sent| sent.engine == engine && sent.number == attempt);
        if is_current && self.engines[engine].state == State::Healthy {
            let gateway = self.statements[statement].gateway;
            let id = StatementId(statement as u64);
            let front = &mut self.gateways[gateway].front;
            front.report(timestamp(self.now_s), id, attempt, event, latency, false);
        }
        self.schedule_progress(engine, statement, attempt);
    }

    /// Delivers the answer of a completed attempt to the gateway, unless the answer is lost or the
    /// gateway has given the attempt up.
    fn complete_attempt(&mut self, run: &RunningAttempt) {
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
        let event = AttemptEvent::Completed {
            cpu: Some(TimeDelta::from_secs(run.cpu)),
            memory_mb: Some(run.memory_mb),
        };
        self.end_attempt(statement, attempt.number, event);
    }

    /// Reports the outcome of an attempt to its gateway, if the attempt is still in flight.
    pub(super) fn end_attempt(&mut self, index: usize, number: AttemptNumber, event: AttemptEvent) {
        let statement = &mut self.statements[index];
        let Some(attempt) = statement
            .in_flight
            .take_if(|attempt| attempt.number == number)
        else {
            return;
        };
        let (gateway, answered) = (statement.gateway, statement.answered);
        self.measurements.figures.timed_out += u64::from(event == AttemptEvent::TimedOut);
        if ends_connection(&event) {
            self.connections.close(attempt.engine);
        } else {
            self.connections
                .release(self.now_s, gateway, attempt.engine);
        }
        self.rules.attempt_ended(index as u64, may_have_run(&event));
        let id = StatementId(index as u64);
        let latency = TimeDelta::from_secs(self.now_s - attempt.sent_s);
        let front = &mut self.gateways[gateway].front;
        match front.report(timestamp(self.now_s), id, number, event, latency, answered) {
            FollowUp::None | FollowUp::Cancel(_) => {}
            FollowUp::Reject { retry_after } => self.reject(id, retry_after),
            FollowUp::Fail => self.fail(id),
        }
        self.wake_gateway(gateway, self.now_s);
    }
}

/// Whether an attempt with this outcome closes its connection.
fn ends_connection(event: &AttemptEvent) -> bool {
    matches!(
        event,
        AttemptEvent::TimedOut | AttemptEvent::Reset | AttemptEvent::Unreachable
    )
}

/// Whether the engine may have run the statement, given the outcome of the attempt.
fn may_have_run(event: &AttemptEvent) -> bool {
    !matches!(
        event,
        AttemptEvent::Unreachable
            | AttemptEvent::Rejected
            | AttemptEvent::NeverSent
            | AttemptEvent::Withdrawn
    )
}
