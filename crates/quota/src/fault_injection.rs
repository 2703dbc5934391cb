//! Fault injection for the model search (`tests/search.rs`): single safety mechanisms switched off, to see that the search
//! finds what follows. A gateway always runs with [`FaultInjection::default`], which switches off none.

/// The safety mechanisms that are switched off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FaultInjection {
    /// A new leader grants at once, without waiting out the leases of an earlier leader.
    pub skip_lease_wait: bool,
    /// Leases go by a clock that others set. Only the caller, who hands in the time, heeds this one.
    pub settable_clock: bool,
    /// A holder goes on spending what a later grant took from it.
    pub keep_revoked: bool,
    /// A holder accepts the answer to an earlier request, and counts its lease from when the answer came.
    pub accept_stale_grants: bool,
    /// A voter that just started votes at once, though it may have promised its vote before the restart.
    pub skip_abstention: bool,
    /// Leases and votes last for their full time, whatever clocks drift.
    pub ignore_drift: bool,
}
