//! The codes of the wire.

/// Defines a code of one byte, and how it is read.
macro_rules! codes {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $code:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $name {
            /// None where the code is not known.
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
    /// What an event record says.
    EventCode {
        /// An instance begins, empty, with its settings.
        Attach = 10,
        /// What discovery says of the engines, by a numbered list.
        Targets = 20,
        /// A statement came.
        WorkItem = 30,
        /// A streamed answer has begun.
        Started = 40,
        /// An attempt ended.
        Done = 50,
        /// The client of a statement has left.
        Vanished = 60,
        /// A timer that was asked for is due.
        Timer = 70,
        /// An engine answered a probe.
        Pong = 80,
        /// Bytes of another instance came.
        Message = 90,
        /// An instance was killed.
        PowerOff = 100,
        /// News of a running attempt.
        Note = 110,
        /// A numbered list of engines, for all instances of the process.
        Roster = 120,
    }
}

codes! {
    /// What a list of engines stands for.
    ListForm {
        /// The changed engines alone.
        Delta = 0,
        /// All engines.
        Full = 1,
        /// All engines, as the instance knew them last.
        Cached = 2,
        /// The request failed.
        Failed = 3,
    }
}

codes! {
    /// Where an engine is in its life.
    StageCode {
        /// It is there no longer.
        Gone = 0,
        /// It takes statements.
        Ready = 1,
        /// It takes nothing new.
        Draining = 2,
    }
}

codes! {
    /// How an attempt ended.
    OutcomeCode {
        /// Its result came.
        Ok = 10,
        /// The engine answered with an error.
        Error = 20,
        /// The engine had no capacity for it.
        Rejected = 30,
        /// No answer came in its time.
        TimedOut = 40,
        /// No connection to the engine came up.
        Unreachable = 50,
        /// The connection failed under it.
        Reset = 60,
        /// It was cancelled.
        Cancelled = 70,
        /// It never left the gateway.
        Moot = 80,
    }
}

/// The codes of the actions that are written.
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
