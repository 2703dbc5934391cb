//! Outlier detection: engines that fail, or are silent when something was due, are ejected for a time that doubles.
//! Then one statement is the probe that tells whether the engine is well again.

use rand::{Rng, RngExt};

use crate::interface::{AttemptEvent, OutlierReport, StatementId, TimeDelta, Timestamp};

/// Failures that eject an engine.
const MAX_FAILURES: f64 = 3.0;
/// A success leaves this part of the failures: an engine that loses a third of its statements fails no row of them.
const FAILURES_KEPT: f64 = 0.8;
/// A reset counts as this part of a failure: a connection may fail alone, and a process that dies resets all that is
/// in flight and refuses what comes after.
const RESET_WEIGHT: f64 = MAX_FAILURES / 9.0;
/// Errors from so many attempts tell of the statement, not of the engine: clients send what none can use.
const ERRORS_OF_STATEMENT: usize = 3;
/// The first and the longest ejection, in seconds.
const EJECTION_RANGE_S: (f64, f64) = (1.0, 8.0);
/// Each ejection is this many times as long as the one before.
const EJECTION_GROWTH: f64 = 2.0;
/// A success leaves this part of the ejection's length.
const EJECTION_KEPT: f64 = 0.98;
/// A timed-out statement was lost at its engine, if it took this many times what the engine's pace explains ...
const LOST_AFTER_PACES: f64 = 4.0;
/// ... and this many seconds.
const LOST_AFTER_S: f64 = 1.0;
/// An answer is due after this many times what the engine's pace explains ...
const ANSWER_DUE_PACES: f64 = 4.0;
/// ... and this many seconds.
const ANSWER_DUE_S: f64 = 0.5;
/// Engines that send progress are due to be heard of after this many intervals ...
const PROGRESS_DUE_INTERVALS: f64 = 1.25;
/// ... and this many seconds.
const PROGRESS_DUE_S: f64 = 0.3;
/// Without progress reports, the next answer is due after this many times a prediction ...
const NEXT_ANSWER_PREDICTIONS: f64 = 3.0;
/// ... and this many seconds.
const NEXT_ANSWER_S: f64 = 1.0;

/// Whether repeated errors make a statement's own fault of them.
pub(super) fn is_statements_own_fault(event: AttemptEvent, attempts: usize) -> bool {
    event == AttemptEvent::Error && attempts >= ERRORS_OF_STATEMENT
}

/// The seconds within which progress is due; none where engines send no progress.
pub(super) fn progress_due_s(progress_interval: Option<TimeDelta>) -> Option<f64> {
    progress_interval.map(|interval| interval.secs() * PROGRESS_DUE_INTERVALS + PROGRESS_DUE_S)
}

/// The seconds within which an engine that was just heard is to be heard again.
pub(super) fn next_sign_due_s(progress_interval: Option<TimeDelta>, predicted_s: f64) -> f64 {
    progress_due_s(progress_interval)
        .unwrap_or(NEXT_ANSWER_PREDICTIONS * predicted_s + NEXT_ANSWER_S)
}

/// The seconds within which an engine is to be heard after a send. `latency_ratio`: its latency per CPU second.
pub(super) fn first_sign_due_s(
    progress_interval: Option<TimeDelta>,
    predicted_s: f64,
    latency_ratio: f64,
    threads: f64,
) -> f64 {
    let answer_due_s = ANSWER_DUE_PACES * predicted_s * latency_ratio / threads + ANSWER_DUE_S;
    let progress_due_s = progress_due_s(progress_interval).unwrap_or(f64::INFINITY);
    answer_due_s.min(progress_due_s)
}

/// How much an outcome that is no success counts as a failure of its engine. `expected_s`: what the engine's pace
/// explains; `attempts`: of the statement, this one among them.
pub(super) fn failure_weight(
    event: AttemptEvent,
    latency: TimeDelta,
    expected_s: f64,
    attempts: usize,
) -> f64 {
    match event {
        AttemptEvent::Error if is_statements_own_fault(event, attempts) => 0.0,
        AttemptEvent::Error | AttemptEvent::Unreachable | AttemptEvent::Rejected => 1.0,
        AttemptEvent::Reset => RESET_WEIGHT,
        AttemptEvent::TimedOut => {
            let is_lost = latency.secs() > LOST_AFTER_PACES * expected_s + LOST_AFTER_S;
            if is_lost { 1.0 } else { 0.0 }
        }
        AttemptEvent::Progress(_)
        | AttemptEvent::Stalled
        | AttemptEvent::Streaming
        | AttemptEvent::Completed { .. }
        | AttemptEvent::Cancelled
        | AttemptEvent::NeverSent
        | AttemptEvent::Withdrawn => 0.0,
    }
}

/// What is known of one engine's health.
#[derive(Clone, Default)]
pub(super) struct Health {
    /// Failures, less what successes took back.
    failures: f64,
    /// It is ejected if it was not heard by then.
    sign_due: Option<Timestamp>,
    ejected_until: Option<Timestamp>,
    /// Length of the last ejection, in seconds.
    ejection_s: f64,
    /// The statement that is the probe of the ejected engine.
    probe: Option<StatementId>,
    last_success: Option<Timestamp>,
    /// Ejected by what other gateways saw.
    by_gossip: bool,
}

impl Health {
    pub(super) fn ejected_until(&self) -> Option<Timestamp> {
        self.ejected_until
    }

    pub(super) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    pub(super) fn is_ejected_by_gossip(&self) -> bool {
        self.by_gossip
    }

    /// Whether a statement may go there: it is not ejected, or the statement may be its probe.
    pub(super) fn accepts(&self, now: Timestamp, probe_allowed: bool) -> bool {
        self.ejected_until.is_none_or(|until| {
            let may_be_probed = until <= now && self.probe.is_none();
            may_be_probed && probe_allowed
        })
    }

    /// A statement was sent, and a sign of the engine is due within `due_s`.
    pub(super) fn on_send(&mut self, now: Timestamp, id: StatementId, due_s: f64) {
        let due = now + TimeDelta::from_secs(due_s);
        self.sign_due = Some(self.sign_due.map_or(due, |earlier| earlier.min(due)));
        if self.is_ejected() {
            self.probe = Some(id);
        }
    }

    /// A sign of the engine came; the next is due within `due_s` if anything is in flight there.
    pub(super) fn on_sign(&mut self, now: Timestamp, in_flight: u32, due_s: f64) {
        self.sign_due = (in_flight > 0).then(|| now + TimeDelta::from_secs(due_s));
    }

    /// True where this statement was the engine's probe, which is over then.
    pub(super) fn end_probe(&mut self, id: StatementId) -> bool {
        self.probe.take_if(|probe| *probe == id).is_some()
    }

    pub(super) fn on_success(&mut self, now: Timestamp) {
        self.failures *= FAILURES_KEPT;
        self.ejection_s *= EJECTION_KEPT;
        self.ejected_until = None;
        self.by_gossip = false;
        self.last_success = Some(now);
    }

    /// Counts an outcome that weighs so much as a failure, and ejects for too many of them. `was_probe`: one failure is
    /// too many, of the probe or of what was in flight beside it.
    pub(super) fn count_failures(&mut self, now: Timestamp, weight: f64, was_probe: bool) {
        self.failures += weight;
        let is_bad_probe = was_probe && self.failures >= 1.0;
        if self.failures >= MAX_FAILURES || is_bad_probe {
            self.eject(now);
        }
    }

    /// Ejects an engine that is silent past what was due: hung, cut off or dead. Could harm at a quiet gateway that one
    /// slow statement misleads.
    pub(super) fn eject_if_silent(&mut self, now: Timestamp) {
        if self.sign_due.is_some_and(|due| due <= now) {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Timestamp) {
        let (shortest_s, longest_s) = EJECTION_RANGE_S;
        self.ejection_s = (self.ejection_s * EJECTION_GROWTH).clamp(shortest_s, longest_s);
        self.ejected_until = Some(now + TimeDelta::from_secs(self.ejection_s));
        self.probe = None;
        self.sign_due = None;
        self.failures = 0.0;
        self.by_gossip = false;
    }

    /// Enough other gateways lost statements there: ejected while that is fresh and, by chance, up to twice as long. What
    /// the engine did for this gateway since outweighs it, as does its start; an ejection of its own stands.
    pub(super) fn on_gossip(
        &mut self,
        now: Timestamp,
        report: &OutlierReport,
        started: Option<Timestamp>,
        rng: &mut impl Rng,
    ) {
        let is_fresh = report.until > now;
        let ejection_stands = self
            .ejected_until
            .is_some_and(|until| !self.by_gossip || until >= report.until);
        let last_good = self.last_success.max(started);
        let is_outdated = last_good.is_some_and(|good| good >= report.seen);
        if !is_fresh || ejection_stands || is_outdated {
            return;
        }
        let ejection_s = (report.until - now).secs() * (1.0 + rng.random::<f64>());
        self.ejected_until = Some(now + TimeDelta::from_secs(ejection_s));
        self.by_gossip = true;
    }
}
