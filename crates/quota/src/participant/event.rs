//! What a gateway's log is told of the lease protocol.

use membership::Name;

/// The most events kept until they are taken; later ones are dropped.
pub(super) const MAX_EVENTS: usize = 64;

/// A change that operators want to know of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This gateway was elected leader.
    BecameLeader {
        /// Its term.
        term: u64,
    },
    /// It is not the leader any more.
    LostLeadership,
    /// It has a lease, and had none before.
    LeaseAcquired {
        /// The leader that granted it.
        leader: Name,
    },
    /// Its lease expired without renewal: it has its guaranteed minimums alone.
    LeaseExpired,
    /// Files of some gateways say otherwise of these budgets than the leader's own.
    ConfigsDiffer(Vec<ConfigDifference>),
    /// The clocks of these gateways drift further than allowed: they have their guaranteed minimums alone.
    ClocksDrift(Vec<Name>),
}

/// A gateway whose file says otherwise of a budget than the leader's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigDifference {
    /// The gateway.
    pub gateway: Name,
    /// The budget's name.
    pub budget: String,
}
