//! The counters of one gateway, printed as `name=value` on SIGUSR1 and at exit. All of them only
//! grow, except that `queue_longest_passed_over_ms`, `longest_turn_ms` and `held_peak_kb` are maxima.

use std::fmt;

macro_rules! counters {
    ($($name:ident: $meaning:literal),* $(,)?) => {
        /// Events since the start, in the order in which they are printed.
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
    sessions_opened: "Accepted client connections.",
    sessions_closed: "Client connections closed by either side.",
    sessions_evicted: "Closed connections that were idle and made room for others.",
    logins_rejected: "Logins with a wrong user, password, database or token.",
    statements_accepted: "Valid statements, which were passed on for scheduling.",
    statements_invalid: "Statements answered with an error before scheduling.",
    completed: "Statements whose result was passed to their client.",
    rejected: "Rejected statements, which are safe to retry.",
    failed: "Statements that ended with an error and may have run.",
    overdue: "Failed statements that only the check for overdue statements answered, which is a \
        fault of the gateway.",
    client_left: "Statements whose client disconnected or killed them before their end.",
    tokens_granted: "Logins and renewals by token.",
    tokens_deferred: "Tokens whose client was told to retry later, because the key is not \
        distributed yet or too many invalid tokens came.",
    tokens_rejected: "Tokens that were finally rejected.",
    statements_unauthorized: "Invalid statements that exceeded the rights of their caller.",
    tls_failed: "Failed TLS handshakes and invalid TLS records.",
    key_file_reloads: "Changes of the key folder that were applied.",
    key_file_reloads_failed: "Changes of the key folder that could not be used. The previous \
        keys stay in force.",
    sub_queues_unknown: "Accepted statements of an unknown tenant or sub-queue, which use the \
        default one.",
    queue_received: "Statements that entered the queues.",
    queue_rejected_at_entry: "Queued statements rejected at entry, because the queue was full \
        or the wait too long.",
    queue_evicted: "Queued statements rejected in favor of one that ranks higher.",
    queue_released: "Queued statements that were sent to an engine.",
    queue_rejected_while_waiting: "Queued statements that the scheduling decisions rejected.",
    queue_client_left: "Queued statements whose client disconnected.",
    queue_offers_without_capacity: "Offers of a queued statement for which no engine had capacity.",
    queue_accurate_estimates: "Released statements whose estimated wait was right within 20 % \
        or 20 ms.",
    queue_longest_passed_over_ms: "Longest time in ms for which other statements of its class \
        overtook the first of a sub-queue.",
    queue_status_queries: "Answered `SHOW QUEUE` statements.",
    progress_reports_sent: "Progress reports sent to clients with a queued statement.",
    attempts_sent: "Attempts written, or to be written, to an engine.",
    attempts_completed: "Attempts that ended with a result.",
    attempts_rejected: "Attempts that an engine rejected because it had too many sessions.",
    attempts_expired: "Attempts whose deadline passed before their engine ran them.",
    attempts_failed: "Attempts that ended with an error or lost a page of their result.",
    attempts_timed_out: "Attempts that did not end in time.",
    attempts_unreachable: "Attempts that never ran because no connection could be established.",
    attempts_reset: "Attempts whose connection ended before them.",
    attempts_cancelled: "Attempts that the scheduling decisions cancelled.",
    attempts_never_sent: "Attempts that found no free descriptor for a connection.",
    attempts_withdrawn: "Attempts removed before any byte was sent, because the answer was due \
        or the client gone.",
    answers_malformed: "Invalid or incomplete answers of engines. Each one ends its connection.",
    answers_late: "Answers of engines to attempts that had already ended. They are ignored.",
    engine_notes: "Notes of engines about running attempts.",
    pages_received: "Pages of results after the first.",
    engine_connections: "Connections opened to engines.",
    engine_idle_closed: "Idle connections to engines that the gateway closed.",
    discovery_polls: "Requests to the discovery service.",
    discovery_polls_failed: "Requests to the discovery service without a usable answer.",
    watch_events: "Applied watch events of the endpoint list.",
    in_flight_checks: "Comparisons of the attempts in flight per engine between the scheduling \
        state and the sockets.",
    in_flight_mismatches: "Comparisons that found a difference, which is a fault of the gateway.",
    reloads: "Configurations reloaded on SIGHUP.",
    reloads_failed: "Configurations that could not be used on SIGHUP. The previous one stays in \
        force.",
    turns: "Turns, that is iterations, of the event loop.",
    late_turns: "Turns that began over 5 ms after they were due.",
    busy_ms: "Time in ms that the event loop worked, without waits. Divided by the accepted \
        statements, it is the time per statement.",
    log_lines_lost: "Log lines that could not be written.",
    accepts_failed: "Failed accepts, because the connection had already failed or a resource \
        was short.",
    event_loop_failures: "Failed waits of the event loop. All sockets are polled after each one.",
    panics: "Contained panics. The cause is a fault of the gateway, or a kernel result that a \
        library does not expect.",
    longest_turn_ms: "Longest time in ms that one turn worked, without its wait. No other work \
        begins meanwhile.",
    packets_refused: "Large packets that found no memory in time. Each one ends its session.",
    outputs_shed: "Sessions closed because their client did not read and the memory was needed.",
    engine_reads_paused: "Connections to engines that were not read for lack of memory.",
    held_peak_kb: "Most memory in KB that peers have made the gateway hold.",
}

impl Counters {
    /// Accepted statements that have not ended yet.
    #[must_use]
    pub fn open(&self) -> i64 {
        let ended = self.completed + self.rejected + self.failed + self.client_left;
        self.statements_accepted as i64 - ended as i64
    }
}
