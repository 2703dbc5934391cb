//! A wrapper that counts the CPU time and the received bytes of a peer of the emulated network.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use admission::interface::Timestamp;
use membership::Datagram;
use rustix::time::{ClockId, clock_gettime};

use crate::mesh::Peer;

/// The CPU time that the current thread has spent.
pub fn thread_cpu() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// What a peer has used since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// CPU time in `receive`, `turn` and `due`.
    pub cpu: Duration,
    /// Datagrams received.
    pub received: u64,
    pub received_bytes: u64,
}

/// A peer with its cost.
pub struct Measured<P> {
    pub peer: P,
    cost: Cell<Cost>,
}

impl<P> Measured<P> {
    pub fn new(peer: P) -> Self {
        Measured {
            peer,
            cost: Cell::default(),
        }
    }

    /// The cost since the start.
    pub fn cost(&self) -> Cost {
        self.cost.get()
    }

    /// Adds the CPU time that this thread has spent since `began`.
    fn add_cpu_since(&self, began: Duration) {
        let mut cost = self.cost.get();
        cost.cpu += thread_cpu().saturating_sub(began);
        self.cost.set(cost);
    }
}

impl<P: Peer> Peer for Measured<P> {
    fn receive(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        let cost = self.cost.get_mut();
        cost.received += 1;
        cost.received_bytes += bytes.len() as u64;
        let began = thread_cpu();
        self.peer.receive(now, from, bytes);
        self.add_cpu_since(began);
    }

    fn turn(&mut self, now: Timestamp) {
        let began = thread_cpu();
        self.peer.turn(now);
        self.add_cpu_since(began);
    }

    fn due(&self) -> Timestamp {
        let began = thread_cpu();
        let due = self.peer.due();
        self.add_cpu_since(began);
        due
    }

    fn take_out(&mut self) -> Vec<Datagram> {
        self.peer.take_out()
    }

    fn there(&self) -> BTreeSet<usize> {
        self.peer.there()
    }

    fn count(&self) -> usize {
        self.peer.count()
    }

    fn died(&mut self) -> Vec<usize> {
        self.peer.died()
    }

    fn leave(&mut self, now: Timestamp) {
        self.peer.leave(now);
    }
}
