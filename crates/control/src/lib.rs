//! The control plane of one gateway: membership (`crates/membership`) and quota leases (`crates/quota`), composed. Pure:
//! datagrams and time in; datagrams, events and the time of the next turn out. Nothing here does I/O.
//!
//! | state | owner | bound | what empties it |
//! | --- | --- | --- | --- |
//! | the view of other gateways | [`Node`] | see `membership` | see `membership` |
//! | the lease and, at the leader, the lease ledger | [`quota::FleetQuotas`] | see `quota` | see `quota` |
//! | lease messages received and not yet processed | [`Node`] | see `membership` | each turn |
//! | lease messages to be sent | none: handed to membership at once | | |
//! | datagrams to be sent | [`Node`] | see `membership` | [`ControlPlane::take_datagrams`] |
//!
//! [`ControlPlane`] owns no state of its own but one counter. It decides the order: membership first, then the lease
//! messages that it carried, then those that answer them.
//!
//! The gateway's process and the bare members of the process harness both drive this type over a UDP socket, so that what
//! the harness measures is what a gateway runs.

mod quota_owner;

use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use membership::{Datagram, Node, RejectReason};
use quota::HolderId;

pub use quota_owner::QuotaOwner;

/// The two clocks of one gateway, read once for a turn.
#[derive(Clone, Copy, Debug)]
pub struct ClockReadings {
    /// The clock of the event loop, which membership goes by.
    pub now: Timestamp,
    /// The steady clock: nobody sets it and it runs on while the machine sleeps. Leases expire by it.
    pub steady: Timestamp,
}

/// What is left of the datagrams that had arrived at the socket before a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveQueue {
    /// All were handed in.
    Drained,
    /// Some may wait to be read: no other gateway is suspected for an answer that is not in yet.
    Pending,
}

/// Membership, and quota leases where budgets are shared by all gateways. `Q` is [`quota::FleetQuotas`] itself or the
/// caller's own type around it.
pub struct ControlPlane<Q> {
    membership: Node,
    quota_owner: Option<Q>,
    /// Lease messages dropped because membership does not hold their receiver to be alive.
    pub undelivered: u64,
}

impl<Q: QuotaOwner> ControlPlane<Q> {
    /// A control plane without quota leases until [`ControlPlane::set_quota_owner`].
    #[must_use]
    pub fn new(membership: Node) -> Self {
        ControlPlane {
            membership,
            quota_owner: None,
            undelivered: 0,
        }
    }

    /// Takes part in the lease protocol from now on.
    pub fn set_quota_owner(&mut self, quota_owner: Q) {
        self.quota_owner = Some(quota_owner);
    }

    /// This gateway's membership.
    #[must_use]
    pub fn membership(&self) -> &Node {
        &self.membership
    }

    /// This gateway's membership, to be changed.
    pub fn membership_mut(&mut self) -> &mut Node {
        &mut self.membership
    }

    /// What holds the quotas; none where no budget is shared.
    #[must_use]
    pub fn quota_owner(&self) -> Option<&Q> {
        self.quota_owner.as_ref()
    }

    /// What holds the quotas, to be changed.
    pub fn quota_owner_mut(&mut self) -> Option<&mut Q> {
        self.quota_owner.as_mut()
    }

    /// Takes in a datagram that came from an address.
    ///
    /// # Errors
    /// Why it is rejected; membership has counted it.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<(), RejectReason> {
        self.membership.receive(now, from, bytes)
    }

    /// When [`ControlPlane::turn`] is due next, by the clock of the event loop.
    #[must_use]
    pub fn next_wakeup(&self, clocks: ClockReadings) -> Timestamp {
        let membership = self.membership.due();
        let Some(owner) = &self.quota_owner else {
            return membership;
        };
        let until_lease_step = owner.quotas().next_wakeup() - clocks.steady;
        membership.min(clocks.now + until_lease_step.max(TimeDelta::ZERO))
    }

    /// Does what is due and passes lease messages both ways.
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

    /// Leaves the fleet in order: the lease is given back, and the other gateways are told.
    pub fn leave(&mut self, clocks: ClockReadings) {
        if let Some(owner) = &mut self.quota_owner {
            owner.quotas_mut().leave(clocks.steady);
        }
        self.send_lease_messages(clocks.now);
        self.membership.leave(clocks.now);
    }

    /// Datagrams to be sent, in this order.
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        self.membership.take_datagrams()
    }
}
