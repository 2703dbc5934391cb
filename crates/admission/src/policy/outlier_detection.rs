//! Outlier detection: an engine that fails, or that is silent when activity was due, is ejected for
//! a time that doubles with each ejection. After that time, one statement probes whether the engine
//! has recovered.

use rand::{Rng, RngExt};

use crate::interface::{AttemptEvent, OutlierReport, StatementId, TimeDelta, Timestamp};

/// Weighted failure count at which an engine is ejected.
const MAX_FAILURES: f64 = 3.0;
/// Factor that is applied to the failure count on a success. A success does not clear the count,
/// because an engine that loses a third of its statements need not fail several in a row.
const FAILURE_DECAY_ON_SUCCESS: f64 = 0.8;
/// Weight of a connection reset as a failure. One connection may fail alone, whereas a process that
/// dies resets all connections with attempts in flight and refuses later ones.
const RESET_WEIGHT: f64 = MAX_FAILURES / 9.0;
/// From this many attempts on, an error is attributed to the statement and not to the engine:
/// clients also send statements that no engine can run.
const STATEMENT_FAULT_ATTEMPTS: usize = 3;
/// Shortest and longest ejection, in seconds.
const EJECTION_RANGE_S: (f64, f64) = (1.0, 8.0);
/// Factor by which an ejection is longer than the one before.
const EJECTION_BACKOFF_FACTOR: f64 = 2.0;
/// Factor that is applied to the length of the last ejection on a success.
const EJECTION_DECAY_ON_SUCCESS: f64 = 0.98;
/// A timed-out statement counts as lost at its engine if it took longer than its expected time
/// times this factor plus [`LOST_MARGIN_S`].
const LOST_LATENCY_FACTOR: f64 = 4.0;
/// Seconds that are added to the time that [`LOST_LATENCY_FACTOR`] gives.
const LOST_MARGIN_S: f64 = 1.0;
/// An answer is due after its expected time times this factor plus [`ANSWER_MARGIN_S`].
const ANSWER_LATENCY_FACTOR: f64 = 4.0;
/// Seconds that are added to the time that [`ANSWER_LATENCY_FACTOR`] gives.
const ANSWER_MARGIN_S: f64 = 0.5;
/// An engine that sends progress reports must be heard from within this many report intervals plus
/// [`PROGRESS_MARGIN_S`].
const PROGRESS_INTERVALS: f64 = 1.25;
/// Seconds that are added to the time that [`PROGRESS_INTERVALS`] gives.
const PROGRESS_MARGIN_S: f64 = 0.3;
/// Without progress reports, the next answer is due after the predicted CPU time times this factor
/// plus [`NEXT_ANSWER_MARGIN_S`].
const NEXT_ANSWER_FACTOR: f64 = 3.0;
/// Seconds that are added to the time that [`NEXT_ANSWER_FACTOR`] gives.
const NEXT_ANSWER_MARGIN_S: f64 = 1.0;

/// Returns whether the event is an error that is attributed to the statement after this many
/// attempts.
pub(super) fn is_statement_fault(event: AttemptEvent, attempts: usize) -> bool {
    event == AttemptEvent::Error && attempts >= STATEMENT_FAULT_ATTEMPTS
}

/// Returns the seconds within which a progress report is due, or `None` if engines send none.
pub(super) fn progress_timeout_s(progress_interval: Option<TimeDelta>) -> Option<f64> {
    progress_interval.map(|interval| interval.secs() * PROGRESS_INTERVALS + PROGRESS_MARGIN_S)
}

/// Returns the seconds within which an engine that was just heard from must be heard from again.
pub(super) fn next_activity_timeout_s(
    progress_interval: Option<TimeDelta>,
    predicted_s: f64,
) -> f64 {
    progress_timeout_s(progress_interval)
        .unwrap_or(NEXT_ANSWER_FACTOR * predicted_s + NEXT_ANSWER_MARGIN_S)
}

/// Returns the seconds within which an engine must be heard from after a statement is sent.
/// `latency_ratio` is its latency per CPU second.
pub(super) fn first_activity_timeout_s(
    progress_interval: Option<TimeDelta>,
    predicted_s: f64,
    latency_ratio: f64,
    threads: f64,
) -> f64 {
    let answer_timeout_s =
        ANSWER_LATENCY_FACTOR * predicted_s * latency_ratio / threads + ANSWER_MARGIN_S;
    let progress_timeout_s = progress_timeout_s(progress_interval).unwrap_or(f64::INFINITY);
    answer_timeout_s.min(progress_timeout_s)
}

/// Returns the weight of an event as a failure of the engine, or 0 if it is no failure.
/// `expected_s` is the time that the attempt was expected to take at the current latency of the
/// engine, and `attempts` is the number of attempts of the statement, including this one.
pub(super) fn failure_weight(
    event: AttemptEvent,
    latency: TimeDelta,
    expected_s: f64,
    attempts: usize,
) -> f64 {
    match event {
        AttemptEvent::Error if is_statement_fault(event, attempts) => 0.0,
        AttemptEvent::Error | AttemptEvent::Unreachable | AttemptEvent::Rejected => 1.0,
        AttemptEvent::Reset => RESET_WEIGHT,
        AttemptEvent::TimedOut => {
            let is_lost = latency.secs() > LOST_LATENCY_FACTOR * expected_s + LOST_MARGIN_S;
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

/// The outlier detection state of one engine.
#[derive(Clone, Default)]
pub(super) struct Health {
    /// Weighted number of failures, reduced by successes.
    failures: f64,
    /// The engine is ejected if it is not heard from by this time; `None` if no activity is due.
    activity_deadline: Option<Timestamp>,
    /// When the ejected engine may be probed; `None` if it is not ejected.
    ejected_until: Option<Timestamp>,
    /// Length of the last ejection in seconds, reduced by successes.
    ejection_s: f64,
    /// The statement that probes the ejected engine, if there is one.
    probe: Option<StatementId>,
    /// When a statement last completed here; `None` before the first one.
    last_success: Option<Timestamp>,
    /// The engine is ejected because of other gateways' reports.
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

    /// Returns whether a statement may be sent to the engine: the engine is not ejected, or the
    /// statement may probe it.
    pub(super) fn accepts(&self, now: Timestamp, probe_allowed: bool) -> bool {
        self.ejected_until.is_none_or(|until| {
            let may_be_probed = until <= now && self.probe.is_none();
            may_be_probed && probe_allowed
        })
    }

    /// Records that a statement was sent. The engine must be heard from within `timeout_s`.
    pub(super) fn on_send(&mut self, now: Timestamp, id: StatementId, timeout_s: f64) {
        let deadline = now + TimeDelta::from_secs(timeout_s);
        self.activity_deadline = Some(
            self.activity_deadline
                .map_or(deadline, |earlier| earlier.min(deadline)),
        );
        if self.is_ejected() {
            self.probe = Some(id);
        }
    }

    /// Records that the engine was heard from. While anything is in flight there, it must be heard
    /// from again within `timeout_s`.
    pub(super) fn on_activity(&mut self, now: Timestamp, in_flight: u32, timeout_s: f64) {
        self.activity_deadline = (in_flight > 0).then(|| now + TimeDelta::from_secs(timeout_s));
    }

    /// Ends the probe if the statement was the probe, and returns whether it was.
    pub(super) fn end_probe(&mut self, id: StatementId) -> bool {
        self.probe.take_if(|probe| *probe == id).is_some()
    }

    /// Records that a statement completed, which ends an ejection.
    pub(super) fn on_success(&mut self, now: Timestamp) {
        self.failures *= FAILURE_DECAY_ON_SUCCESS;
        self.ejection_s *= EJECTION_DECAY_ON_SUCCESS;
        self.ejected_until = None;
        self.by_gossip = false;
        self.last_success = Some(now);
    }

    /// Adds the weight of an outcome to the failures, and ejects the engine if they are too many.
    /// After a probe (`was_probe`), one failure is too many, whether it is the failure of the probe
    /// or of another attempt in flight.
    pub(super) fn record_failure(&mut self, now: Timestamp, weight: f64, was_probe: bool) {
        self.failures += weight;
        let has_probe_failed = was_probe && self.failures >= 1.0;
        if self.failures >= MAX_FAILURES || has_probe_failed {
            self.eject(now);
        }
    }

    /// Ejects an engine that was not heard from in time: it hangs, is unreachable or has died. This
    /// can do harm at a quiet gateway, where one unexpectedly slow statement ejects a healthy
    /// engine.
    pub(super) fn eject_if_silent(&mut self, now: Timestamp) {
        if self
            .activity_deadline
            .is_some_and(|deadline| deadline <= now)
        {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Timestamp) {
        let (shortest_s, longest_s) = EJECTION_RANGE_S;
        self.ejection_s = (self.ejection_s * EJECTION_BACKOFF_FACTOR).clamp(shortest_s, longest_s);
        self.ejected_until = Some(now + TimeDelta::from_secs(self.ejection_s));
        self.probe = None;
        self.activity_deadline = None;
        self.failures = 0.0;
        self.by_gossip = false;
    }

    /// Ejects an engine at which enough other gateways lost statements. The ejection lasts for the
    /// time that the report is still valid, times a random factor from 1 to 2. A report is ignored
    /// if this gateway had a success at the engine, or the engine started, after the report was
    /// made. A report neither replaces an ejection by this gateway itself nor shortens one by an
    /// earlier report.
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
        let last_healthy = self.last_success.max(started);
        let is_outdated = last_healthy.is_some_and(|healthy| healthy >= report.seen);
        if !is_fresh || ejection_stands || is_outdated {
            return;
        }
        let ejection_s = (report.until - now).secs() * (1.0 + rng.random::<f64>());
        self.ejected_until = Some(now + TimeDelta::from_secs(ejection_s));
        self.by_gossip = true;
    }
}
