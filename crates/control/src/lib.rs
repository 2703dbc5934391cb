//! The control plane of one gateway, composed of membership (`crates/membership`) and quota leases
//! (`crates/quota`). It performs no I/O: callers pass in datagrams and the time, and take out
//! datagrams, events and the time of the next turn.
//!
//! | state | owner | bound | emptied by |
//! | --- | --- | --- | --- |
//! | the view of other gateways | [`Node`] | see `membership` | see `membership` |
//! | the lease and, at the leader, the lease ledger | [`quota::FleetQuotas`] | see `quota` | see `quota` |
//! | lease messages received and not yet processed | [`Node`] | see `membership` | each turn |
//! | lease messages to be sent | none: passed to membership at once | | |
//! | datagrams to be sent | [`Node`] | see `membership` | [`ControlPlane::take_datagrams`] |
//!
//! [`ControlPlane`] itself owns only a counter. It determines the order of a turn: first
//! membership, then the received lease messages, then the lease messages to be sent.
//!
//! The gateway process and the membership-only processes of the process harness drive this type
//! over a UDP socket, so the harness measures the code that a gateway runs.

mod quota_owner;

use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use membership::{Datagram, Node, RejectReason};
use quota::HolderId;

pub use quota_owner::QuotaOwner;

/// The readings of the gateway's two clocks for one turn.
#[derive(Clone, Copy, Debug)]
pub struct ClockReadings {
    /// The clock of the event loop, which membership uses.
    pub now: Timestamp,
    /// The steady clock, which nobody sets and which keeps running while the machine sleeps. Leases
    /// expire by it.
    pub steady: Timestamp,
}

/// The state of the socket's receive queue before a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveQueue {
    /// All datagrams that had arrived were passed in.
    Drained,
    /// Some datagrams may still be waiting. Membership does not run its timers in this turn, so
    /// that no gateway is suspected while its answer is waiting to be read.
    Pending,
}

/// Membership and, if budgets are shared by all gateways, quota leases. `Q` is
/// [`quota::FleetQuotas`] itself or a type of the caller that contains it.
pub struct ControlPlane<Q> {
    membership: Node,
    quota_owner: Option<Q>,
    /// The number of lease messages that were dropped because membership does not consider their
    /// receiver alive.
    pub undelivered: u64,
}

impl<Q: QuotaOwner> ControlPlane<Q> {
    /// A control plane that takes no part in the lease protocol until
    /// [`ControlPlane::set_quota_owner`] is called.
    #[must_use]
    pub fn new(membership: Node) -> Self {
        ControlPlane {
            membership,
            quota_owner: None,
            undelivered: 0,
        }
    }

    /// Sets the owner of the quotas, and takes part in the lease protocol from then on.
    pub fn set_quota_owner(&mut self, quota_owner: Q) {
        self.quota_owner = Some(quota_owner);
    }

    /// The membership state of this gateway.
    #[must_use]
    pub fn membership(&self) -> &Node {
        &self.membership
    }

    /// The membership state of this gateway, for modification.
    pub fn membership_mut(&mut self) -> &mut Node {
        &mut self.membership
    }

    /// The owner of the quotas, or `None` if no budget is shared.
    #[must_use]
    pub fn quota_owner(&self) -> Option<&Q> {
        self.quota_owner.as_ref()
    }

    /// The owner of the quotas, for modification, or `None` if no budget is shared.
    pub fn quota_owner_mut(&mut self) -> Option<&mut Q> {
        self.quota_owner.as_mut()
    }

    /// Processes a datagram that arrived from `from`.
    ///
    /// # Errors
    /// Returns why the datagram was rejected. Membership has counted the rejection already.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<(), RejectReason> {
        self.membership.receive(now, from, bytes)
    }

    /// The time at which [`ControlPlane::turn`] is due next, by the clock of the event loop.
    #[must_use]
    pub fn next_wakeup(&self, clocks: ClockReadings) -> Timestamp {
        let membership = self.membership.due();
        let Some(owner) = &self.quota_owner else {
            return membership;
        };
        let until_quota_tick = owner.quotas().next_wakeup() - clocks.steady;
        membership.min(clocks.now + until_quota_tick.max(TimeDelta::ZERO))
    }

    /// Does everything that is due and passes lease messages between membership and the quotas.
    /// While datagrams are waiting to be read, membership's own timers are postponed.
    pub fn turn(&mut self, clocks: ClockReadings, receive_queue: ReceiveQueue) {
        let is_due = self.membership.due() <= clocks.now;
        if is_due && receive_queue == ReceiveQueue::Drained {
            self.membership.turn(clocks.now);
        }
        self.receive_lease_messages(clocks);
        self.send_lease_messages(clocks.now);
    }

    fn receive_lease_messages(&mut self, clocks: ClockReadings) {
        let received = self.membership.take_payloads();
        let Some(owner) = &mut self.quota_owner else {
            return;
        };
        let quotas = owner.quotas_mut();
        for message in received {
            let sender = HolderId {
                name: message.from,
                boot_id: message.boot_id,
            };
            quotas.receive(clocks.steady, &sender, &message.payload);
        }
        if quotas.next_wakeup() <= clocks.steady {
            quotas.tick(clocks.steady);
        }
    }

    fn send_lease_messages(&mut self, now: Timestamp) {
        let Some(owner) = &mut self.quota_owner else {
            return;
        };
        for message in owner.quotas_mut().take_outgoing() {
            let payload = message.payload.encode();
            if !self.membership.send_payload(now, &message.to, payload) {
                self.undelivered += 1;
            }
        }
    }

    /// Leaves the fleet: returns the lease and tells the other gateways.
    pub fn leave(&mut self, clocks: ClockReadings) {
        if let Some(owner) = &mut self.quota_owner {
            owner.quotas_mut().leave(clocks.steady);
        }
        self.send_lease_messages(clocks.now);
        self.membership.leave(clocks.now);
    }

    /// Takes the datagrams that are to be sent, in this order.
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        self.membership.take_datagrams()
    }
}
