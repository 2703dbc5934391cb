//! Simulates the membership of hundreds of gateways: the production code of the `membership` crate
//! and two simpler protocols as baselines, under the same network and process faults, drawn from
//! the same seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use admission::interface::{TimeDelta, Timestamp};
use membership::{
    Config, Datagram, Event as MembershipEvent, KeyRing, Locality, MemberState, Name, Node,
    NodeSetup, ViewState,
};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The cluster key of all emulated gateways.
pub const KEY: [u8; 32] = [7; 32];

/// The name of the gateway with this index.
pub fn name(at: usize) -> Name {
    Name::new(&format!("g{at:04}")).expect("the name is valid")
}

/// The address of the gateway with this index.
pub fn address(at: usize) -> SocketAddr {
    let [high, low] = (at as u16).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, high, low)), 7946)
}

/// The index of the gateway at this address. `usize::MAX` if the address is not IPv4.
pub fn number(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else {
        return usize::MAX;
    };
    let [_, _, high, low] = ip.octets();
    usize::from(u16::from_be_bytes([high, low]))
}

/// One gateway's side of a membership protocol, or of another protocol that runs over the emulated
/// network.
pub trait Peer {
    /// Processes a datagram.
    fn receive(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]);
    /// Runs the periodic work that is due.
    fn turn(&mut self, now: Timestamp);
    /// When `turn` has to be called next.
    fn due(&self) -> Timestamp;
    /// Removes and returns the datagrams to send.
    fn take_out(&mut self) -> Vec<Datagram>;
    /// The other gateways that it considers present.
    fn there(&self) -> BTreeSet<usize>;
    /// The number of the other gateways that it considers present. Separate from `there` because it
    /// is called far more often.
    fn count(&self) -> usize {
        self.there().len()
    }
    /// The gateways that it declared dead since the last call.
    fn died(&mut self) -> Vec<usize>;
    /// Prepares the datagrams that announce a graceful leave.
    fn leave(&mut self, _now: Timestamp) {}
}

impl Peer for Node {
    fn receive(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        let _ = Node::receive(self, now, from, bytes);
    }

    fn turn(&mut self, now: Timestamp) {
        Node::turn(self, now);
    }

    fn due(&self) -> Timestamp {
        Node::due(self)
    }

    fn take_out(&mut self) -> Vec<Datagram> {
        Node::take_datagrams(self)
    }

    fn there(&self) -> BTreeSet<usize> {
        let there = self
            .members()
            .filter(|member| member.confirmed && member.record.state.is_present());
        there.map(|row| number(row.record.address)).collect()
    }

    fn count(&self) -> usize {
        self.fleet_size() - 1
    }

    fn died(&mut self) -> Vec<usize> {
        let dead = |event: MembershipEvent| match event {
            MembershipEvent::MemberChanged {
                name,
                state: MemberState::Dead,
                ..
            } => name.as_str()[1..].parse().ok(),
            _ => None,
        };
        self.take_events().into_iter().filter_map(dead).collect()
    }

    fn leave(&mut self, now: Timestamp) {
        Node::leave(self, now);
    }
}

/// A baseline protocol: each gateway sends a heartbeat to every other one each period, and declares
/// dead those that it has not heard from for `missed` periods.
pub struct Heartbeats {
    at: usize,
    count: usize,
    period: f64,
    missed: f64,
    next: Timestamp,
    heard: BTreeMap<usize, Timestamp>,
    out: Vec<Datagram>,
    died: Vec<usize>,
}

impl Heartbeats {
    pub fn new(now: Timestamp, at: usize, count: usize, terms: &Config, missed: f64) -> Self {
        let period = terms.probe_period.secs();
        let next = now + TimeDelta::from_secs(period * (at as f64 * 0.618).fract());
        Heartbeats {
            at,
            count,
            period,
            missed,
            next,
            heard: BTreeMap::new(),
            out: Vec::new(),
            died: Vec::new(),
        }
    }
}

impl Peer for Heartbeats {
    fn receive(&mut self, now: Timestamp, from: SocketAddr, _: &[u8]) {
        self.heard.insert(number(from), now);
    }

    fn turn(&mut self, now: Timestamp) {
        self.next = now + TimeDelta::from_secs(self.period);
        for to in (0..self.count).filter(|to| *to != self.at) {
            // The size of an empty message of the production protocol.
            self.out.push(Datagram {
                to: address(to),
                bytes: vec![0; 70],
            });
        }
        let lost = TimeDelta::from_secs(self.period * self.missed);
        let gone = self.heard.extract_if(.., |_, at| now - *at > lost);
        self.died.extend(gone.map(|(peer, _)| peer));
    }

    fn due(&self) -> Timestamp {
        self.next
    }

    fn take_out(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.out)
    }

    fn there(&self) -> BTreeSet<usize> {
        self.heard.keys().copied().collect()
    }

    fn died(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.died)
    }
}

/// A baseline protocol: each gateway probes a random one each period and declares it dead if no
/// answer comes in time. Messages carry gossip. There are no suspicions and no indirect probes.
pub struct Hasty {
    at: usize,
    period: f64,
    answer: f64,
    next: Timestamp,
    /// The gateway that is being probed, and since when. `None` between probes.
    asked: Option<(usize, Timestamp)>,
    /// The highest known incarnation of each gateway, and whether it is considered present.
    held: BTreeMap<usize, (u32, bool)>,
    /// The own incarnation.
    own: u32,
    seeds: Vec<usize>,
    out: Vec<Datagram>,
    died: Vec<usize>,
    rng: Pcg64Mcg,
}

impl Hasty {
    pub fn new(now: Timestamp, at: usize, terms: &Config, seeds: Vec<usize>, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let period = terms.probe_period.secs();
        let next = now + TimeDelta::from_secs(period * rng.random::<f64>());
        let (answer, held) = (terms.probe_timeout.secs(), BTreeMap::new());
        Hasty {
            at,
            period,
            answer,
            next,
            asked: None,
            held,
            own: 1,
            seeds,
            out: Vec::new(),
            died: Vec::new(),
            rng,
        }
    }

    /// Sends a message: its kind (0 for a probe, 1 for an answer), the own incarnation, and index,
    /// incarnation and presence of up to 40 random other gateways.
    fn send(&mut self, to: usize, kind: u8) {
        let mut bytes = vec![kind];
        bytes.extend(self.own.to_le_bytes());
        let mut others: Vec<_> = self.held.iter().map(|(at, held)| (*at, *held)).collect();
        others.shuffle(&mut self.rng);
        for (at, (number, there)) in others.into_iter().take(40) {
            bytes.extend((at as u16).to_le_bytes());
            bytes.extend(number.to_le_bytes());
            bytes.push(u8::from(there));
        }
        // Padding for the header and the authentication code of a production message.
        bytes.resize(bytes.len() + 60, 0);
        self.out.push(Datagram {
            to: address(to),
            bytes,
        });
    }
}

impl Peer for Hasty {
    fn receive(&mut self, _: Timestamp, from: SocketAddr, bytes: &[u8]) {
        let from = number(from);
        let incarnation = u32::from_le_bytes(std::array::from_fn(|at| bytes[1 + at]));
        let held = self.held.entry(from).or_insert((incarnation, true));
        *held = (held.0.max(incarnation), true);
        if bytes[0] == 0 {
            self.send(from, 1);
        } else if self.asked.is_some_and(|asked| asked.0 == from) {
            self.asked = None;
        }
        for item in bytes[5..bytes.len() - 60].chunks_exact(7) {
            let at = usize::from(u16::from_le_bytes([item[0], item[1]]));
            let number = u32::from_le_bytes([item[2], item[3], item[4], item[5]]);
            let there = item[6] == 1;
            if at == self.at {
                if !there && number >= self.own {
                    self.own = number + 1;
                }
                continue;
            }
            let held = self.held.entry(at).or_insert((number, there));
            if (number, !there) > (held.0, !held.1) {
                if held.1 && !there {
                    self.died.push(at);
                }
                *held = (number, there);
            }
        }
    }

    fn turn(&mut self, now: Timestamp) {
        if let Some((at, since)) = self.asked
            && (now - since).secs() >= self.answer
        {
            self.asked = None;
            if let Some(held) = self.held.get_mut(&at).filter(|held| held.1) {
                held.1 = false;
                self.died.push(at);
            }
        }
        if now < self.next {
            return;
        }
        self.next = now + TimeDelta::from_secs(self.period);
        let mut all: Vec<usize> = self
            .held
            .iter()
            .filter(|(_, held)| held.1)
            .map(|(at, _)| *at)
            .collect();
        if all.is_empty() {
            all.extend(self.seeds.iter().filter(|seed| **seed != self.at));
        }
        if all.is_empty() {
            return;
        }
        let to = all[self.rng.random_range(0..all.len())];
        self.asked = Some((to, now));
        self.send(to, 0);
    }

    fn due(&self) -> Timestamp {
        let answer = self
            .asked
            .map(|(_, since)| since + TimeDelta::from_secs(self.answer));
        answer.into_iter().fold(self.next, Timestamp::min)
    }

    fn take_out(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.out)
    }

    fn there(&self) -> BTreeSet<usize> {
        self.held
            .iter()
            .filter(|(_, held)| held.1)
            .map(|(at, _)| *at)
            .collect()
    }

    fn died(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.died)
    }
}

/// The network faults that apply to each datagram.
#[derive(Clone, Debug)]
pub struct Faults {
    /// The probability that a datagram is lost.
    pub lost: f64,
    /// The probability that a datagram is delivered twice.
    pub repeated: f64,
    /// The lowest and the highest delay.
    pub delay_s: (f64, f64),
    /// How much later the second copy of a repeated datagram arrives.
    pub repeat_after_s: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            lost: 0.0,
            repeated: 0.0,
            delay_s: (0.0005, 0.002),
            repeat_after_s: 1.0,
        }
    }
}

/// One gateway's process.
struct Slot<P> {
    /// `None` if it was killed or never started.
    peer: Option<P>,
    /// Whether the process is suspended.
    stopped: bool,
    /// The delay of each turn of its event loop, in seconds.
    slow: f64,
    /// The number of the latest scheduled turn. Earlier ones are ignored.
    turn: u64,
    /// When it last started, in simulated seconds.
    started: f64,
    /// When it was killed or left. `None` while it runs.
    ended: Option<f64>,
}

/// An event of the simulation: a datagram arrives, or a gateway's turn is due.
enum SimEvent {
    Arrives {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    Due {
        at: usize,
        turn: u64,
    },
}

/// One gateway's declaration that another is dead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Death {
    pub at: f64,
    pub by: usize,
    pub of: usize,
    /// Whether the declaration was wrong: the gateway was running and reachable from the one that
    /// declared it dead.
    pub false_one: bool,
}

/// A hook that sees each datagram and may change it. Its arguments are the sender, the receiver and
/// the bytes.
pub type DatagramHook = Box<dyn FnMut(usize, usize, &mut Vec<u8>)>;

/// The emulated network and the gateways that it connects. Gateways are identified by their index.
pub struct Mesh<P> {
    /// The simulated time in seconds.
    pub now: f64,
    slots: Vec<Slot<P>>,
    make: Box<dyn FnMut(usize, Timestamp, u32) -> P>,
    queue: BinaryHeap<Reverse<(i64, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    next: u64,
    pub faults: Faults,
    /// Whether the link from a sender to a receiver is cut, by sender and receiver.
    cut: Vec<Vec<bool>>,
    rng: Pcg64Mcg,
    /// How often each gateway has been started.
    lives: Vec<u32>,
    pub deaths: Vec<Death>,
    /// The datagrams and bytes that each gateway has sent.
    pub sent: Vec<(u64, u64)>,
    /// A hook that sees every datagram before it is sent. Tests use it to forge messages.
    pub liar: Option<DatagramHook>,
}

impl<P: Peer> Mesh<P> {
    /// `make` builds a gateway from its index, the time and the number of its earlier starts.
    pub fn new(
        count: usize,
        seed: u64,
        make: impl FnMut(usize, Timestamp, u32) -> P + 'static,
    ) -> Self {
        let slot = |_| Slot {
            peer: None,
            stopped: false,
            slow: 0.0,
            turn: 0,
            started: 0.0,
            ended: None,
        };
        Mesh {
            now: 0.0,
            slots: (0..count).map(slot).collect(),
            make: Box::new(make),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            faults: Faults::default(),
            cut: vec![vec![false; count]; count],
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x6d65_7368),
            lives: vec![0; count],
            deaths: Vec::new(),
            sent: vec![(0, 0); count],
            liar: None,
        }
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    fn moment(&self) -> Timestamp {
        Timestamp::from_secs(self.now)
    }

    fn put(&mut self, at: f64, what: SimEvent) {
        self.next += 1;
        self.queue.push(Reverse((
            (at.max(self.now) * 1e6).round() as i64,
            self.next,
        )));
        self.events.insert(self.next, what);
    }

    /// Starts a gateway with empty state.
    pub fn start(&mut self, at: usize) {
        let life = self.lives[at];
        self.lives[at] += 1;
        let now = self.moment();
        let peer = (self.make)(at, now, life);
        let slot = &mut self.slots[at];
        (slot.peer, slot.stopped, slot.started, slot.ended) = (Some(peer), false, self.now, None);
        self.schedule_turn(at);
    }

    pub fn start_all(&mut self) {
        (0..self.len()).for_each(|at| self.start(at));
    }

    /// Ends a gateway without notice to the others.
    pub fn kill(&mut self, at: usize) {
        let now = self.now;
        let slot = &mut self.slots[at];
        (slot.peer, slot.ended) = (None, Some(now));
    }

    /// Ends a gateway after it has announced that it leaves.
    pub fn leave(&mut self, at: usize) {
        let now = self.moment();
        if let Some(peer) = &mut self.slots[at].peer {
            peer.leave(now);
        }
        self.flush(at);
        self.kill(at);
    }

    /// Suspends a gateway's process.
    pub fn stop(&mut self, at: usize) {
        self.slots[at].stopped = true;
    }

    /// Resumes a suspended process.
    pub fn wake(&mut self, at: usize) {
        self.slots[at].stopped = false;
        self.schedule_turn(at);
    }

    /// Delays each turn of a gateway's event loop by this many seconds.
    pub fn slow(&mut self, at: usize, by: f64) {
        self.slots[at].slow = by;
    }

    /// Whether a gateway is started and not suspended.
    pub fn runs(&self, at: usize) -> bool {
        self.slots[at].peer.is_some() && !self.slots[at].stopped
    }

    pub fn peer(&self, at: usize) -> Option<&P> {
        self.slots[at].peer.as_ref()
    }

    pub fn peer_mut(&mut self, at: usize) -> Option<&mut P> {
        self.slots[at].peer.as_mut()
    }

    /// The gateways that are started, including suspended ones.
    pub fn lives(&self) -> Vec<usize> {
        (0..self.len())
            .filter(|at| self.slots[*at].peer.is_some())
            .collect()
    }

    /// Cuts the links for which `cut` returns true for sender and receiver, and restores all
    /// others.
    pub fn cut(&mut self, cut: impl Fn(usize, usize) -> bool) {
        for (a, row) in self.cut.iter_mut().enumerate() {
            row.iter_mut()
                .enumerate()
                .for_each(|(b, is)| *is = cut(a, b));
        }
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.cut(|_, _| false);
    }

    /// Delivers arbitrary bytes as a datagram from a gateway's address.
    pub fn inject(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.put(self.now, SimEvent::Arrives { to, from, bytes });
    }

    /// Schedules a gateway's next turn.
    fn schedule_turn(&mut self, at: usize) {
        let slot = &mut self.slots[at];
        let Some(peer) = &slot.peer else { return };
        if slot.stopped {
            return;
        }
        slot.turn += 1;
        let due = (peer.due() - Timestamp::from_secs(0.0)).secs() + slot.slow;
        let turn = slot.turn;
        self.put(due, SimEvent::Due { at, turn });
    }

    /// Records the deaths that a gateway declared, and sends its datagrams.
    fn flush(&mut self, from: usize) {
        let Some(peer) = &mut self.slots[from].peer else {
            return;
        };
        let (out, died) = (peer.take_out(), peer.died());
        for of in died {
            let lives = self
                .slots
                .get(of)
                .is_some_and(|slot| slot.peer.is_some() && !slot.stopped && slot.slow < 0.2);
            let reached = of < self.len() && !self.cut[from][of] && !self.cut[of][from];
            self.deaths.push(Death {
                at: self.now,
                by: from,
                of,
                false_one: lives && reached,
            });
        }
        for Datagram { to, mut bytes } in out {
            let to = number(to);
            self.sent[from].0 += 1;
            self.sent[from].1 += bytes.len() as u64;
            if let Some(liar) = &mut self.liar {
                liar(from, to, &mut bytes);
            }
            let [lost, repeated, delay]: [f64; 3] = std::array::from_fn(|_| self.rng.random());
            if to >= self.len() || self.cut[from][to] || lost < self.faults.lost || bytes.is_empty()
            {
                continue;
            }
            let (least, most) = self.faults.delay_s;
            let arrives = self.now + least + (most - least) * delay;
            if repeated < self.faults.repeated {
                let bytes = bytes.clone();
                self.put(
                    arrives + self.faults.repeat_after_s,
                    SimEvent::Arrives { to, from, bytes },
                );
            }
            self.put(arrives, SimEvent::Arrives { to, from, bytes });
        }
    }

    /// Runs until the simulated time `until`, in seconds.
    pub fn run(&mut self, until: f64) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at as f64 / 1e6 > until {
                break;
            }
            self.queue.pop();
            self.now = at as f64 / 1e6;
            let Some(event) = self.events.remove(&number) else {
                continue;
            };
            let now = self.moment();
            match event {
                SimEvent::Arrives { to, from, bytes } => {
                    let slot = &mut self.slots[to];
                    // The socket buffer of a real suspended process would keep some datagrams. Here
                    // all are lost, which is the harder case.
                    if slot.stopped {
                        continue;
                    }
                    let Some(peer) = &mut slot.peer else { continue };
                    peer.receive(now, address(from), &bytes);
                    self.flush(to);
                    self.schedule_turn(to);
                }
                SimEvent::Due { at, turn } => {
                    let slot = &mut self.slots[at];
                    if slot.turn != turn || slot.stopped {
                        continue;
                    }
                    if let Some(peer) = &mut slot.peer {
                        peer.turn(now);
                    }
                    self.flush(at);
                    self.schedule_turn(at);
                }
            }
        }
        self.now = until;
    }

    /// Runs until all running gateways agree on the membership, checking every tenth of a second.
    /// Returns the time taken in seconds, or `None` if it exceeds `within`.
    pub fn settle(&mut self, within: f64) -> Option<f64> {
        let began = self.now;
        while self.now < began + within {
            if self.agreed() {
                return Some(self.now - began);
            }
            self.run(self.now + 0.1);
        }
        None
    }

    /// Whether each running gateway considers exactly the other running ones present.
    pub fn agreed(&self) -> bool {
        let lives = self.lives();
        let others = lives.len().saturating_sub(1);
        if lives.iter().any(|at| {
            self.slots[*at]
                .peer
                .as_ref()
                .is_none_or(|peer| peer.count() != others)
        }) {
            return false;
        }
        let all: BTreeSet<usize> = lives.iter().copied().collect();
        lives.iter().all(|at| {
            let mut there = self.slots[*at]
                .peer
                .as_ref()
                .map(Peer::there)
                .unwrap_or_default();
            there.insert(*at);
            there == all
        })
    }

    /// The number of wrong declarations of death so far.
    pub fn false_deaths(&self) -> usize {
        self.deaths.iter().filter(|death| death.false_one).count()
    }

    /// The sorted detection times: from the end of a gateway to each declaration of its death, in
    /// seconds.
    pub fn detected(&self) -> Vec<f64> {
        let since = |death: &Death| Some(death.at - self.slots[death.of].ended?);
        let mut all: Vec<f64> = self
            .deaths
            .iter()
            .filter_map(since)
            .filter(|span| *span >= 0.0)
            .collect();
        all.sort_by(f64::total_cmp);
        all
    }
}

/// Builds the gateways of one emulated cluster. The first three are the seeds of all.
#[derive(Clone, Debug)]
pub struct GatewayFactory {
    count: usize,
    seed: u64,
    terms: Config,
    ring: KeyRing,
    fleet: Name,
}

impl GatewayFactory {
    pub fn new(count: usize, seed: u64, terms: Config) -> Self {
        let ring = KeyRing::new(&KEY, &[]).expect("a single key is valid");
        let fleet = Name::new("lab").expect("the name is valid");
        GatewayFactory {
            count,
            seed,
            terms,
            ring,
            fleet,
        }
    }

    /// Builds a gateway. `life` is the number of its earlier starts.
    pub fn make(&self, at: usize, now: Timestamp, life: u32) -> Node {
        let seeds = (0..3.min(self.count)).map(address).collect();
        let seed = self
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(at as u64 * 64 + u64::from(life));
        let zone = Some(Name::new(&format!("zone-{}", at % 3)).expect("the name is valid"));
        let locality = Locality { zone, region: None };
        let (fleet, ring, terms) = (self.fleet.clone(), self.ring.clone(), self.terms.clone());
        Node::new(
            now,
            NodeSetup {
                fleet,
                name: name(at),
                address: address(at),
                locality,
                seeds,
                key_ring: ring,
                config: terms,
                rng_seed: seed,
            },
        )
    }
}

/// A mesh of gateways that run the production membership code.
pub fn gateways(count: usize, seed: u64, terms: Config) -> Mesh<Node> {
    let factory = GatewayFactory::new(count, seed, terms);
    Mesh::new(count, seed, move |at, now, life| {
        factory.make(at, now, life)
    })
}

/// A mesh of gateways that run the [`Heartbeats`] protocol.
pub fn heartbeats(count: usize, seed: u64, terms: Config) -> Mesh<Heartbeats> {
    Mesh::new(count, seed, move |at, now, _| {
        Heartbeats::new(now, at, count, &terms, 5.0)
    })
}

/// A mesh of gateways that run the [`Hasty`] protocol.
pub fn hasty(count: usize, seed: u64, terms: Config) -> Mesh<Hasty> {
    Mesh::new(count, seed, move |at, now, life| {
        Hasty::new(
            now,
            at,
            &terms,
            vec![0, 1, 2],
            seed.wrapping_add(at as u64 * 64 + u64::from(life)),
        )
    })
}

/// Whether the view of every running gateway has converged.
pub fn together(mesh: &Mesh<Node>) -> bool {
    mesh.lives().iter().all(|at| is_together(mesh, *at))
}

/// Whether the view of one gateway has converged.
pub fn is_together(mesh: &Mesh<Node>, at: usize) -> bool {
    mesh.peer(at)
        .is_some_and(|peer| *peer.view_state() == ViewState::Converged)
}

/// The figures of one protocol. A duration is `None` if the gateways did not agree within the time
/// limit.
#[derive(Clone, Debug)]
pub struct Figures {
    pub way: &'static str,
    pub gateways: usize,
    pub joined_s: Option<f64>,
    pub detect_median_s: f64,
    pub detect_99th_s: f64,
    pub settle_after_deaths_s: Option<f64>,
    pub false_deaths_an_hour: f64,
    pub settle_after_healing_s: Option<f64>,
    pub datagrams_s: f64,
    pub bytes_s: f64,
    pub largest_share: f64,
}

/// Measures a protocol: all gateways join; a tenth is killed; a third of the datagrams is lost for
/// a minute; one third is partitioned from the other two for 20 seconds; the partition heals.
pub fn measure<P: Peer>(way: &'static str, mut mesh: Mesh<P>) -> Figures {
    let count = mesh.len();
    mesh.start_all();
    let joined_s = mesh.settle(120.0);
    let (before, from) = (mesh.sent.clone(), mesh.now);
    mesh.run(from + 30.0);
    let spent = mesh
        .sent
        .iter()
        .zip(&before)
        .map(|(after, before)| (after.0 - before.0, after.1 - before.1));
    let spent: Vec<(u64, u64)> = spent.collect();
    let (datagrams, bytes) = spent
        .iter()
        .fold((0, 0), |sum, of| (sum.0 + of.0, sum.1 + of.1));
    let most = spent.iter().map(|of| of.0).max().unwrap_or(0);
    let per = count as f64 * 30.0;
    for at in 0..count.div_ceil(10) {
        mesh.kill(at * 10 + 5 % count.min(10));
    }
    let settle_after_deaths_s = mesh.settle(120.0);
    let detected = mesh.detected();
    let at = |part: f64| {
        detected
            .get((detected.len() as f64 * part) as usize)
            .copied()
            .unwrap_or(f64::NAN)
    };
    let (detect_median_s, detect_99th_s) = (at(0.5), at(0.99));
    let (quiet, begins) = (mesh.false_deaths(), mesh.now);
    mesh.faults.lost = 1.0 / 3.0;
    mesh.run(begins + 60.0);
    mesh.faults.lost = 0.0;
    let false_deaths = (mesh.false_deaths() - quiet) as f64 * 60.0;
    mesh.settle(120.0);
    mesh.cut(|a, b| (a % 3 == 0) != (b % 3 == 0));
    mesh.run(mesh.now + 20.0);
    mesh.heal();
    let settle_after_healing_s = mesh.settle(300.0);
    Figures {
        way,
        gateways: count,
        joined_s,
        detect_median_s,
        detect_99th_s,
        settle_after_deaths_s,
        false_deaths_an_hour: false_deaths,
        settle_after_healing_s,
        datagrams_s: datagrams as f64 / per,
        bytes_s: bytes as f64 / per,
        largest_share: most as f64 / 30.0,
    }
}
