//! The switch: one socket for each gateway's advertised address. What a gateway sends to another's comes in there, and
//! goes on from the sender's own, so that each sees the others at their advertised addresses and nowhere else.

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

/// What happens to datagrams, until it is changed.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Shares of all datagrams.
    pub lost: f64,
    pub repeated: f64,
    pub corrupted: f64,
    /// Each takes some time between these, so that later ones overtake earlier ones.
    pub delay: (Duration, Duration),
    /// How much later a repeat comes.
    pub repeat_after: Duration,
    /// From the first to the second nothing goes.
    pub cut: Vec<Vec<bool>>,
}

impl Faults {
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

    /// Only those of one group reach each other; whoever is in none reaches nobody.
    pub fn partition(&mut self, groups: &[Vec<usize>]) {
        let together = |a: usize, b: usize| {
            groups
                .iter()
                .any(|group| group.contains(&a) && group.contains(&b))
        };
        for (a, row) in self.cut.iter_mut().enumerate() {
            row.iter_mut()
                .enumerate()
                .for_each(|(b, cut)| *cut = !together(a, b));
        }
    }

    /// Each reaches only its neighbours in the line.
    pub fn chain(&mut self) {
        for (a, row) in self.cut.iter_mut().enumerate() {
            row.iter_mut()
                .enumerate()
                .for_each(|(b, cut)| *cut = a.abs_diff(b) > 1);
        }
    }

    pub fn heal(&mut self) {
        self.cut.iter_mut().flatten().for_each(|cut| *cut = false);
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct SentTraffic {
    pub datagrams: u64,
    pub bytes: u64,
    pub lost: u64,
}

struct Port {
    socket: UdpSocket,
    /// Where the gateway itself is bound.
    bound: SocketAddr,
}

pub struct Switch {
    faults: Arc<Mutex<Faults>>,
    carried: Arc<Mutex<Vec<SentTraffic>>>,
    end: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Switch {
    /// `ports`: advertised and bound address of each gateway.
    pub fn start(ports: &[(SocketAddr, SocketAddr)], seed: u64) -> io::Result<Switch> {
        let mut made = Vec::new();
        for (advertised, bound) in ports {
            let socket = UdpSocket::bind(advertised)?;
            socket.set_nonblocking(true)?;
            made.push(Port {
                socket,
                bound: *bound,
            });
        }
        let faults = Arc::new(Mutex::new(Faults::none(ports.len())));
        let carried = Arc::new(Mutex::new(vec![SentTraffic::default(); ports.len()]));
        let end = Arc::new(AtomicBool::new(false));
        let run = Run {
            ports: made,
            faults: faults.clone(),
            carried: carried.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            late: BinaryHeap::new(),
            next: 0,
        };
        let ends = end.clone();
        let thread = std::thread::spawn(move || run.run(&ends));
        Ok(Switch {
            faults,
            carried,
            end,
            thread: Some(thread),
        })
    }

    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.faults.lock().expect("no holder panics"));
    }

    /// By sender.
    pub fn carried(&self) -> Vec<SentTraffic> {
        self.carried.lock().expect("no holder panics").clone()
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

/// Due, number, sender, receiver, bytes.
type Late = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

struct Run {
    ports: Vec<Port>,
    faults: Arc<Mutex<Faults>>,
    carried: Arc<Mutex<Vec<SentTraffic>>>,
    rng: Pcg64Mcg,
    late: BinaryHeap<Late>,
    next: u64,
}

impl Run {
    fn run(mut self, end: &AtomicBool) {
        let mut bytes = [0; 4096];
        while !end.load(Ordering::Relaxed) {
            let wait = self
                .late
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
                        self.carry(from, to, &bytes[..size]);
                    }
                }
            }
            while self
                .late
                .peek()
                .is_some_and(|Reverse(first)| first.0 <= Instant::now())
            {
                let Some(Reverse((_, _, from, to, bytes))) = self.late.pop() else {
                    break;
                };
                let _ = self.ports[from]
                    .socket
                    .send_to(&bytes, self.ports[to].bound);
            }
        }
    }

    fn carry(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let faults = self.faults.lock().expect("no holder panics");
        let mut carried = self.carried.lock().expect("no holder panics");
        carried[from].datagrams += 1;
        carried[from].bytes += bytes.len() as u64;
        // Drawn for each, whatever becomes of it: the same seed gives the same chances.
        let [lost, repeated, corrupted, delay]: [f64; 4] =
            std::array::from_fn(|_| self.rng.random());
        if faults.cut[from][to] || lost < faults.lost {
            carried[from].lost += 1;
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
            self.next += 1;
            self.late.push(Reverse((
                due + faults.repeat_after,
                self.next,
                from,
                to,
                bytes.clone(),
            )));
        }
        self.next += 1;
        self.late.push(Reverse((due, self.next, from, to, bytes)));
    }
}
