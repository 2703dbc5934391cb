//! Fault injection for the model search in `tests/search.rs`. It disables single safety mechanisms
//! to verify that the search detects the resulting violation. A gateway always runs with
//! [`FaultInjection::default`], which disables none.

/// The safety mechanisms that are disabled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FaultInjection {
    /// A new leader grants leases at once, without waiting for the leases of earlier leaders to
    /// expire.
    pub skip_lease_wait: bool,
    /// Leases are timed by a clock that can be set. Only the caller, which passes in the time,
    /// evaluates this field.
    pub settable_clock: bool,
    /// A holder keeps spending what a later grant took away from it.
    pub keep_revoked: bool,
    /// A holder accepts the answer to an earlier request, and counts the lease duration from when
    /// the answer arrived.
    pub accept_stale_grants: bool,
    /// A voter that has just started votes at once, although it may have granted its vote before a
    /// restart.
    pub skip_abstention: bool,
    /// Leases and votes are relied on for their full duration, without an allowance for clock
    /// drift.
    pub ignore_drift: bool,
}
