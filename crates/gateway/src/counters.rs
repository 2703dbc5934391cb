//! What came in, went out and was answered, printed on request (SIGUSR1) and at exit.

use std::fmt;

macro_rules! counters {
    ($($name:ident: $what:literal),* $(,)?) => {
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $(#[doc = $what] pub $name: u64,)*
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
    sessions_opened: "clients accepted",
    sessions_closed: "clients closed, by either side",
    sessions_crowded: "of these, idle ones closed to take in another",
    logins_denied: "wrong user, password or database",
    statements_taken: "statements put before the decisions",
    statements_unusable: "answered with an error before any decision",
    completed: "results passed to their client",
    denied: "refused: trying again is harmless",
    scrapped: "ended with an error",
    overdue: "of the scrapped, those that only the last guard answered: a fault of ours",
    client_left: "their client left or killed them first",
    tokens_granted: "logins and renewals by token",
    tokens_later: "told to come back: their key is still arriving, or too many bad ones came",
    tokens_refused: "refused for good",
    beyond_grant: "statements turned down as beyond their caller's grant",
    tls_failed: "handshakes and records of no use",
    key_files: "changes of the key folder taken in",
    key_files_failed: "of no use: the last good ones stand",
    desks_unknown: "of the taken, those of no known member or desk: they wait at the default one",
    queue_entered: "came to the lines",
    queue_turned_away: "of these, denied at entry: no room, or too long a wait",
    queue_displaced: "denied while waiting, for one with the better claim",
    queue_released: "sent to an engine out of the lines",
    queue_denied: "denied by the decisions while waiting",
    queue_left: "their clients left while they waited",
    queue_refused: "offers that found no room",
    queue_told_well: "of the released, those whose wait was told within a fifth or 20 ms",
    queue_longest_passed_ms: "longest that a desk's first was passed over by one of its product",
    statuses_told: "questions for the queue answered",
    progress_told: "progress reports sent",
    relays_sent: "relays written or to be written to an engine",
    relays_done: "ended well",
    relays_full: "turned away: too many sessions",
    relays_past: "over before they ran",
    relays_error: "ended with an error, or with a page lost",
    relays_timed_out: "no end in time",
    relays_unreachable: "no connection: never ran",
    relays_reset: "their connection ended first",
    relays_cancelled: "given up by the decisions",
    relays_unsent: "no descriptor left for a connection",
    relays_withdrawn: "taken back before they left this machine: their answer was due, or their client gone",
    answers_spoilt: "answers that cannot be used or stopped half way: each ends its connection",
    answers_late: "answers to what was over already, ignored",
    notes: "notes on running relays",
    pages: "further pages received",
    engine_connections: "connections opened to engines",
    engine_idle_closed: "closed by us as idle",
    polls: "questions to the notice board",
    polls_failed: "without a usable answer",
    list_events: "list events applied",
    books_checked: "looks at whether the decisions hold as many relays out to each engine as the sockets do",
    books_differ: "of these, those that found a difference: a fault of ours",
    reloads: "configurations read again on SIGHUP",
    reloads_failed: "of no use: the old one stood",
    turns: "turns of the loop",
    late_turns: "turns that came over 5 ms after they were due",
    busy_ms: "time at work, not asleep; with the statements taken, the time of each",
}

impl Counters {
    /// Every taken statement has one end or is still open.
    pub fn open(&self) -> i64 {
        let ended = self.completed + self.denied + self.scrapped + self.client_left;
        self.statements_taken as i64 - ended as i64
    }
}
