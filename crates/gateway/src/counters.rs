//! Counters of one gateway's work, printed as `name=value` on request (SIGUSR1) and at exit. All only grow, but for
//! `queue_longest_passed_over_ms`, a maximum.

use std::fmt;

macro_rules! counters {
    ($($name:ident: $meaning:literal),* $(,)?) => {
        /// What came in, was sent on and was answered since the start, in the order in which it is printed.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $(#[doc = $meaning] pub $name: u64,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(write!(f, concat!(stringify!($name), "={} "), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    sessions_opened: "Client connections accepted.",
    sessions_closed: "Client connections closed, by either side.",
    sessions_evicted: "Of the closed, idle ones closed to make room for others.",
    logins_rejected: "Logins with a wrong user, password, database or token.",
    statements_accepted: "Statements that were valid, and so put before the decisions.",
    statements_invalid: "Statements answered with an error before any decision.",
    completed: "Statements whose result was passed to their client.",
    rejected: "Statements rejected: trying again is harmless.",
    failed: "Statements that ended with an error, and may have run.",
    overdue: "Of the failed, those answered only by the check of overdue statements: a fault of the gateway.",
    client_left: "Statements whose client left or killed them first.",
    tokens_granted: "Logins and renewals by token.",
    tokens_deferred: "Tokens whose client was told to retry later: their key is still arriving, or too many bad ones came.",
    tokens_rejected: "Tokens rejected for good.",
    statements_unauthorized: "Of the invalid statements, those beyond their caller's grant.",
    tls_failed: "TLS handshakes and records that could not be used.",
    key_file_reloads: "Changes of the key folder that are in force.",
    key_file_reloads_failed: "Changes of the key folder that could not be used: the last good files stay in force.",
    sub_queues_unknown: "Of the accepted statements, those of no known tenant or sub-queue: they wait at the default one.",
    queue_received: "Statements that came to wait in the queues.",
    queue_rejected_at_entry: "Of these, rejected at entry: no room, or too long a wait.",
    queue_evicted: "Of these, rejected while waiting, for one with the better claim.",
    queue_released: "Of these, sent to an engine.",
    queue_rejected_while_waiting: "Of these, rejected by the decisions while waiting.",
    queue_client_left: "Of these, their client left while they waited.",
    queue_offers_without_capacity: "Offers of a waiting statement for which no engine had capacity.",
    queue_accurate_estimates: "Of the released, those whose estimated wait was right within a fifth, or 20 ms.",
    queue_longest_passed_over_ms: "The longest time that a sub-queue's first was passed over by others of its class, in ms.",
    queue_status_queries: "`SHOW QUEUE` answered.",
    progress_reports_sent: "Progress reports sent to clients whose statement waits.",
    attempts_sent: "Attempts written, or to be written, to an engine.",
    attempts_completed: "Attempts that ended with a result.",
    attempts_rejected: "Attempts that an engine rejected: too many sessions.",
    attempts_expired: "Attempts whose time was over before their engine ran them.",
    attempts_failed: "Attempts that ended with an error, or with a page lost.",
    attempts_timed_out: "Attempts without an end in time.",
    attempts_unreachable: "Attempts for which no connection came up: they never ran.",
    attempts_reset: "Attempts whose connection ended first.",
    attempts_cancelled: "Attempts that the decisions cancelled.",
    attempts_never_sent: "Attempts for whose connection no descriptor was left.",
    attempts_withdrawn: "Attempts taken back before they left this machine: their answer was due, or their client gone.",
    answers_malformed: "Answers of engines that cannot be used or stopped half way: each ends its connection.",
    answers_late: "Answers of engines to attempts that were over already: ignored.",
    engine_notes: "Notes of engines on running attempts.",
    pages_received: "Further pages of answers received.",
    engine_connections: "Connections opened to engines.",
    engine_idle_closed: "Connections to engines that the gateway closed as idle.",
    discovery_polls: "Requests to the discovery service.",
    discovery_polls_failed: "Requests to the discovery service without a usable answer.",
    watch_events: "Watch events of the endpoint list applied.",
    in_flight_checks: "Comparisons of the attempts in flight at each engine, by the decisions and by the sockets.",
    in_flight_mismatches: "Of these, those that found a difference: a fault of the gateway.",
    reloads: "Configurations read again on SIGHUP.",
    reloads_failed: "Configurations that could not be used on SIGHUP: the old one stays in force.",
    turns: "Turns of the event loop.",
    late_turns: "Turns that began over 5 ms after they were due.",
    busy_ms: "Time at work, not asleep, in ms; over the accepted statements, the time of each.",
    log_lines_lost: "Lines of the log that could not be written.",
    accepts_failed: "Connections that could not be accepted at once: gone by then, or the machine was short of something.",
    event_loop_failures: "Waits of the event loop that failed; all sockets are looked at after each.",
    panics: "Pieces of work that panicked: a fault of the gateway, or an answer of the machine that a library does not expect.",
}

impl Counters {
    /// Accepted statements without an end so far.
    #[must_use]
    pub fn open(&self) -> i64 {
        let ended = self.completed + self.rejected + self.failed + self.client_left;
        self.statements_accepted as i64 - ended as i64
    }
}
