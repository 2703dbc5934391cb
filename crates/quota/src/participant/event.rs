//! Events of the lease protocol that a gateway writes to its log.

use membership::Name;

/// The largest number of events that are kept until the caller takes them. Further events are
/// dropped.
pub(super) const MAX_EVENTS: usize = 64;

/// A change of state that operators need to know of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This gateway was elected leader.
    BecameLeader {
        /// The term for which it was elected.
        term: u64,
    },
    /// This gateway is no longer the leader.
    LostLeadership,
    /// This gateway received a lease and held none before.
    LeaseAcquired {
        /// The leader that granted it.
        leader: Name,
    },
    /// This gateway's lease expired without a renewal, so that only its guaranteed minimums remain.
    LeaseExpired,
    /// The configurations of some gateways differ from the leader's in these budgets. Only the
    /// leader records this event.
    ConfigsDiffer(Vec<ConfigDifference>),
    /// The clocks of these gateways drift further than allowed, so that only their guaranteed
    /// minimums remain. Only the leader records this event.
    ClocksDrift(Vec<Name>),
}

/// A gateway whose configuration of a budget differs from the leader's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigDifference {
    /// The name of the gateway.
    pub gateway: Name,
    /// The name of the budget.
    pub budget: String,
}
