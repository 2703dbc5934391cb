//! The control code of one gateway: membership (`crates/membership`) and leases (`crates/quota`) composed. Pure: datagrams
//! and time in, datagrams, events and the next due time out. Nothing here does I/O.
//!
//! The gateway's process and the hollow gateways of the rig's scale run both drive this type over a UDP socket, so that
//! what the scale run measures is what a gateway runs.

mod leases;

use std::net::SocketAddr;

use admission::interface::Timestamp;
use membership::{Datagram, Node, RejectReason};
use quota::HolderId;

pub use leases::Leases;

/// The clocks of one gateway, read once for a turn.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// The clock of the event loop, which membership goes by.
    pub now: Timestamp,
    /// A clock that nobody sets and that runs on while the machine sleeps: leases end by it.
    pub steady: Timestamp,
}

/// Membership, and leases where budgets are divided among all gateways. `L` is what holds the leases: `quota::FleetQuotas`
/// itself, or the caller's own type around it.
pub struct Control<L> {
    membership: Node,
    leases: Option<L>,
    /// Lease messages for gateways that membership does not hold to be there.
    pub undelivered: u64,
}

impl<L: Leases> Control<L> {
    /// Without leases until [`Control::set_leases`].
    pub fn new(membership: Node) -> Self {
        Control {
            membership,
            leases: None,
            undelivered: 0,
        }
    }

    /// Budgets are divided among all gateways from now on.
    pub fn set_leases(&mut self, leases: L) {
        self.leases = Some(leases);
    }

    pub fn membership(&self) -> &Node {
        &self.membership
    }

    pub fn membership_mut(&mut self) -> &mut Node {
        &mut self.membership
    }

    pub fn leases(&self) -> Option<&L> {
        self.leases.as_ref()
    }

    pub fn leases_mut(&mut self) -> Option<&mut L> {
        self.leases.as_mut()
    }

    /// A datagram that came from an address.
    ///
    /// # Errors
    /// It counts for nothing; this is why, and membership counted it.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<(), RejectReason> {
        self.membership.receive(now, from, bytes)
    }

    /// When [`Control::turn`] is due next, by the clock of the event loop.
    pub fn due(&self, times: Times) -> Timestamp {
        let leases = self.leases.as_ref().map(|leases| leases.due(times));
        leases
            .into_iter()
            .fold(self.membership.due(), Timestamp::min)
    }

    /// Does what is due and passes lease messages both ways. `drained`: all datagrams that had come were handed in; as
    /// long as some wait to be read, nobody is judged by their absence.
    pub fn turn(&mut self, times: Times, drained: bool) {
        if drained && self.membership.due() <= times.now {
            self.membership.turn(times.now);
        }
        self.exchange_leases(times);
    }

    fn exchange_leases(&mut self, times: Times) {
        let received = self.membership.take_payloads();
        let Some(leases) = &mut self.leases else {
            return;
        };
        for received in received {
            let sender = HolderId {
                name: received.from,
                boot_id: received.boot_id,
            };
            let quotas = leases.quotas_mut();
            quotas.receive(times.steady, &sender, &received.payload);
        }
        if leases.quotas().next_wakeup() <= times.steady {
            leases.quotas_mut().tick(times.steady);
        }
        self.send_leases(times.now);
    }

    fn send_leases(&mut self, now: Timestamp) {
        let Some(leases) = &mut self.leases else {
            return;
        };
        for message in leases.quotas_mut().take_outgoing() {
            let delivered =
                self.membership
                    .send_payload(now, &message.to, message.payload.encode());
            self.undelivered += u64::from(!delivered);
        }
    }

    /// This gateway ends: its lease is given back, and others are told that it goes.
    pub fn leave(&mut self, times: Times) {
        if let Some(leases) = &mut self.leases {
            leases.quotas_mut().leave(times.steady);
        }
        self.send_leases(times.now);
        self.membership.leave(times.now);
    }

    /// Datagrams to be sent.
    pub fn take_out(&mut self) -> Vec<Datagram> {
        self.membership.take_datagrams()
    }
}
