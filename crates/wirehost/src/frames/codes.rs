//! The numeric codes of the protocol.

/// Defines an enum of one-byte codes and its decoder.
macro_rules! codes {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $code:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $name {
            /// Decodes a code. Returns `None` if it is unknown.
            #[must_use]
            pub fn from_code(code: u8) -> Option<Self> {
                match code {
                    $($code => Some($name::$variant),)*
                    _ => None,
                }
            }
        }
    };
}

codes! {
    /// The kind of an event record.
    EventCode {
        /// An instance starts without any state; the event has its settings.
        Attach = 10,
        /// A discovery update, which refers to a numbered list of engines.
        Targets = 20,
        /// A statement arrived.
        WorkItem = 30,
        /// The answer to an attempt has begun to stream.
        Started = 40,
        /// An attempt ended.
        Done = 50,
        /// The client of a statement has disconnected.
        Vanished = 60,
        /// A requested timer is due.
        Timer = 70,
        /// An engine answered a probe.
        Pong = 80,
        /// A message from another instance arrived.
        Message = 90,
        /// An instance was killed.
        PowerOff = 100,
        /// A progress report of a running attempt, or a report that the attempt has stalled.
        Note = 110,
        /// A numbered list of engines that all instances of the process share.
        Roster = 120,
    }
}

codes! {
    /// The kind of a discovery update.
    ListForm {
        /// The changed engines only.
        Delta = 0,
        /// All engines.
        Full = 1,
        /// All engines, from a cache of the last known state.
        Cached = 2,
        /// The discovery request failed.
        Failed = 3,
    }
}

codes! {
    /// The lifecycle stage of an engine.
    StageCode {
        /// The engine has been removed.
        Gone = 0,
        /// The engine accepts statements.
        Ready = 1,
        /// The engine finishes its statements and accepts no new ones.
        Draining = 2,
    }
}

codes! {
    /// How an attempt ended.
    OutcomeCode {
        /// The result arrived.
        Ok = 10,
        /// The engine answered with an error.
        Error = 20,
        /// The engine had no capacity for the attempt.
        Rejected = 30,
        /// No answer arrived before the timeout.
        TimedOut = 40,
        /// No connection to the engine could be established.
        Unreachable = 50,
        /// The connection failed during the attempt.
        Reset = 60,
        /// The attempt was cancelled.
        Cancelled = 70,
        /// The attempt was never sent.
        Moot = 80,
    }
}

/// The codes of the action records.
pub(super) mod action {
    pub(in crate::frames) const ATTEMPT: u8 = 10;
    pub(in crate::frames) const PUSH_BACK: u8 = 20;
    pub(in crate::frames) const SURRENDER: u8 = 30;
    pub(in crate::frames) const STOP_ATTEMPT: u8 = 40;
    pub(in crate::frames) const REMIND: u8 = 50;
    pub(in crate::frames) const TEST: u8 = 60;
    pub(in crate::frames) const REMARK: u8 = 90;
    pub(in crate::frames) const PANIC: u8 = 100;
    pub(in crate::frames) const WATCH: u8 = 110;
    pub(in crate::frames) const SNAPSHOT: u8 = 120;
    pub(in crate::frames) const TUNE: u8 = 130;
}
