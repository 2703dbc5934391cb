//! A UDP switch between gateways that loses, delays, duplicates and corrupts datagrams.
//!
//! The switch binds one socket to the advertised address of each gateway. It receives there what
//! other gateways send to this gateway, and forwards it from the socket of the sender's advertised
//! address. So each gateway sees the others only at their advertised addresses.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::event::{PollFd, PollFlags, poll};

/// The faults that the switch applies to datagrams until they are changed.
#[derive(Clone, Debug)]
pub struct Faults {
    /// The probability that a datagram is lost.
    pub lost: f64,
    /// The probability that a datagram is delivered twice.
    pub repeated: f64,
    /// The probability that one bit of a datagram is flipped.
    pub corrupted: f64,
    /// The least and the greatest delay of a datagram. The delay is uniform between them, so that
    /// datagrams are reordered.
    pub delay: (Duration, Duration),
    /// The time from the delivery of a duplicated datagram to that of its copy.
    pub repeat_after: Duration,
    /// `cut[from][to]` is true if all datagrams from gateway `from` to gateway `to` are lost.
    pub cut: Vec<Vec<bool>>,
}

impl Faults {
    /// Returns a network without faults.
    pub fn none(gateways: usize) -> Self {
        Faults {
            lost: 0.0,
            repeated: 0.0,
            corrupted: 0.0,
            delay: (Duration::ZERO, Duration::ZERO),
            repeat_after: Duration::ZERO,
            cut: vec![vec![false; gateways]; gateways],
        }
    }

    /// Cuts the network so that two gateways reach each other only if a group contains both. A
    /// gateway in no group reaches nobody.
    pub fn partition(&mut self, groups: &[Vec<usize>]) {
        let share_group = |a: usize, b: usize| {
            groups
                .iter()
                .any(|group| group.contains(&a) && group.contains(&b))
        };
        for (a, row) in self.cut.iter_mut().enumerate() {
            row.iter_mut()
                .enumerate()
                .for_each(|(b, cut)| *cut = !share_group(a, b));
        }
    }

    /// Cuts the network so that each gateway reaches only those with the next lower and higher
    /// index.
    pub fn chain(&mut self) {
        for (a, row) in self.cut.iter_mut().enumerate() {
            row.iter_mut()
                .enumerate()
                .for_each(|(b, cut)| *cut = a.abs_diff(b) > 1);
        }
    }

    /// Removes all cuts and keeps the other faults.
    pub fn heal(&mut self) {
        self.cut.iter_mut().flatten().for_each(|cut| *cut = false);
    }
}

/// What a gateway has sent through the switch.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentTraffic {
    /// The datagrams that the switch received, including the lost ones.
    pub datagrams: u64,
    /// The bytes of these datagrams.
    pub bytes: u64,
    /// The datagrams that a cut or a random loss dropped.
    pub lost: u64,
}

/// The switch's side of one gateway.
struct Port {
    /// The socket at the gateway's advertised address.
    socket: UdpSocket,
    /// The address to which the gateway binds its own socket.
    bound: SocketAddr,
}

/// A running switch. Dropping it ends its thread.
pub struct Switch {
    faults: Arc<Mutex<Faults>>,
    sent_traffic: Arc<Mutex<Vec<SentTraffic>>>,
    end: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Switch {
    /// Starts a switch without faults. `ports` contains the advertised and the bound address of
    /// each gateway; `seed` seeds the random faults.
    ///
    /// # Errors
    ///
    /// An advertised address cannot be bound.
    pub fn start(ports: &[(SocketAddr, SocketAddr)], seed: u64) -> io::Result<Switch> {
        let mut opened_ports = Vec::new();
        for (advertised, bound) in ports {
            let socket = UdpSocket::bind(advertised)?;
            socket.set_nonblocking(true)?;
            opened_ports.push(Port {
                socket,
                bound: *bound,
            });
        }
        let faults = Arc::new(Mutex::new(Faults::none(ports.len())));
        let sent_traffic = Arc::new(Mutex::new(vec![SentTraffic::default(); ports.len()]));
        let end = Arc::new(AtomicBool::new(false));
        let forwarder = Forwarder {
            ports: opened_ports,
            faults: faults.clone(),
            sent_traffic: sent_traffic.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            delayed: BinaryHeap::new(),
            next_sequence: 0,
        };
        let end_flag = end.clone();
        let thread = std::thread::spawn(move || forwarder.run(&end_flag));
        Ok(Switch {
            faults,
            sent_traffic,
            end,
            thread: Some(thread),
        })
    }

    /// Changes the faults for the datagrams that arrive from now on.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.faults.lock().expect("the lock is not poisoned"));
    }

    /// Returns what each gateway has sent so far, by the sender's index.
    pub fn sent_traffic(&self) -> Vec<SentTraffic> {
        self.sent_traffic
            .lock()
            .expect("the lock is not poisoned")
            .clone()
    }
}

impl Drop for Switch {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
        self.thread
            .take()
            .into_iter()
            .for_each(|thread| drop(thread.join()));
    }
}

/// A datagram to deliver: its due time, a sequence number that orders equal times, the sender, the
/// receiver and the bytes.
type Delayed = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

/// The state of the switch's thread.
struct Forwarder {
    ports: Vec<Port>,
    faults: Arc<Mutex<Faults>>,
    sent_traffic: Arc<Mutex<Vec<SentTraffic>>>,
    rng: Pcg64Mcg,
    delayed: BinaryHeap<Delayed>,
    next_sequence: u64,
}

impl Forwarder {
    fn run(mut self, end: &AtomicBool) {
        let mut bytes = [0; 4096];
        while !end.load(Ordering::Relaxed) {
            let wait = self
                .delayed
                .peek()
                .map_or(Duration::from_millis(20), |Reverse(first)| {
                    first
                        .0
                        .saturating_duration_since(Instant::now())
                        .min(Duration::from_millis(20))
                });
            {
                let mut fds: Vec<PollFd> = self
                    .ports
                    .iter()
                    .map(|port| PollFd::new(&port.socket, PollFlags::IN))
                    .collect();
                let wait = rustix::event::Timespec {
                    tv_sec: 0,
                    tv_nsec: wait.subsec_nanos().into(),
                };
                let _ = poll(&mut fds, Some(&wait));
            }
            for to in 0..self.ports.len() {
                while let Ok((size, from)) = self.ports[to].socket.recv_from(&mut bytes) {
                    let from = self.ports.iter().position(|port| port.bound == from);
                    if let Some(from) = from {
                        self.schedule(from, to, &bytes[..size]);
                    }
                }
            }
            while self
                .delayed
                .peek()
                .is_some_and(|Reverse(first)| first.0 <= Instant::now())
            {
                let Some(Reverse((_, _, from, to, bytes))) = self.delayed.pop() else {
                    break;
                };
                let _ = self.ports[from]
                    .socket
                    .send_to(&bytes, self.ports[to].bound);
            }
        }
    }

    /// Applies the faults to a datagram and schedules its delivery.
    fn schedule(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let faults = self.faults.lock().expect("the lock is not poisoned");
        let mut sent_traffic = self.sent_traffic.lock().expect("the lock is not poisoned");
        sent_traffic[from].datagrams += 1;
        sent_traffic[from].bytes += bytes.len() as u64;
        // All four numbers are drawn for every datagram, even a lost one, so that the same seed
        // gives later datagrams the same numbers.
        let [lost, repeated, corrupted, delay]: [f64; 4] =
            std::array::from_fn(|_| self.rng.random());
        if faults.cut[from][to] || lost < faults.lost {
            sent_traffic[from].lost += 1;
            return;
        }
        let mut bytes = bytes.to_vec();
        if corrupted < faults.corrupted && !bytes.is_empty() {
            let at = self.rng.random_range(0..bytes.len());
            bytes[at] ^= 1 << self.rng.random_range(0..8);
        }
        let (least, most) = faults.delay;
        let due = Instant::now() + least + (most - least).mul_f64(delay);
        if repeated < faults.repeated {
            self.next_sequence += 1;
            self.delayed.push(Reverse((
                due + faults.repeat_after,
                self.next_sequence,
                from,
                to,
                bytes.clone(),
            )));
        }
        self.next_sequence += 1;
        self.delayed
            .push(Reverse((due, self.next_sequence, from, to, bytes)));
    }
}
