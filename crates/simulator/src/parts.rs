//! Simulates the division of budgets among hundreds of gateways: the production code of the `quota`
//! crate over the emulated network of `mesh`, under generated demand, next to two simpler divisions
//! as baselines.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use membership::{BootId, Datagram};
use quota::{
    Amount, Budget, BudgetKind, Config, FaultInjection, FleetQuotas, HolderId, TokenBucket,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::mesh::{Mesh, Peer, address, name, number};

/// The step of simulated time in which demand arrives, in seconds.
pub const STEP_S: f64 = 0.05;
/// The budget of all gateways together, in CPU seconds per second.
pub const WHOLE: f64 = 60.0;
const BURST_S: f64 = 2.0;

/// How the shared budget is divided among the gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// By leases of the coordinator.
    Leases,
    /// An equal part for each of the most gateways that may run.
    Even,
    /// Each gateway estimates its part from its own traffic in relation to an equal part.
    Guess,
}

impl Way {
    pub const ALL: [Way; 3] = [Way::Leases, Way::Even, Way::Guess];

    /// The name in printed tables.
    pub fn name(self) -> &'static str {
        match self {
            Way::Leases => "leases",
            Way::Even => "even",
            Way::Guess => "guess",
        }
    }
}

/// The settings of one budget for at most `most` gateways.
pub fn terms(most: usize) -> Config {
    let capacity = Amount::from_units(WHOLE);
    let guaranteed = Amount((capacity.0 as f64 * 0.2 / most as f64) as u64);
    Config {
        budgets: vec![Budget {
            kind: BudgetKind::Tenant("all".into()),
            capacity,
            guaranteed,
        }],
        voters: (0..if most < 5 { 3 } else { 5 }).map(name).collect(),
        max_gateways: most,
        lease_duration: TimeDelta::from_secs(6.0),
        term_duration: TimeDelta::from_secs(2.0),
        renew_interval: TimeDelta::from_secs(0.5),
        drift_ppm: 10_000,
        burst: TimeDelta::from_secs(BURST_S),
        fault_injection: FaultInjection::default(),
    }
}

/// The quota participant of one gateway without the rest of it. Its datagrams start with the
/// sender's boot id, which the cluster's messages carry in their header.
pub struct Part {
    pub quotas: FleetQuotas,
    boot_id: u64,
    /// The rate error of its clock in parts per million. Positive if the clock runs fast.
    pub fast_ppm: i64,
}

impl Part {
    pub fn new(
        now: Timestamp,
        at: usize,
        start_count: u32,
        terms: Config,
        fast_ppm: i64,
        seed: u64,
    ) -> Self {
        let boot_id = u64::from(start_count) << 16 | at as u64;
        let id = HolderId {
            name: name(at),
            boot_id: BootId(boot_id),
        };
        let local = clock(now, fast_ppm);
        Part {
            quotas: FleetQuotas::new(local, id, terms, seed),
            boot_id,
            fast_ppm,
        }
    }

    /// Its local time at simulated time `now`.
    pub fn clock(&self, now: Timestamp) -> Timestamp {
        clock(now, self.fast_ppm)
    }
}

/// The local time of a clock with this rate error.
fn clock(now: Timestamp, fast_ppm: i64) -> Timestamp {
    let secs = (now - Timestamp::from_secs(0.0)).secs();
    Timestamp::from_secs(secs * (1.0 + fast_ppm as f64 / 1e6))
}

impl Peer for Part {
    fn receive(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        let Some((boot_id, payload)) = bytes.split_first_chunk::<8>() else {
            return;
        };
        let sender = HolderId {
            name: name(number(from)),
            boot_id: BootId(u64::from_le_bytes(*boot_id)),
        };
        let now = self.clock(now);
        self.quotas.receive(now, &sender, payload);
    }

    fn turn(&mut self, now: Timestamp) {
        let now = self.clock(now);
        self.quotas.tick(now);
    }

    fn due(&self) -> Timestamp {
        // Converted back to simulated time and rounded up, so that the wake-up time has passed by
        // the local clock.
        let own = (self.quotas.next_wakeup() - Timestamp::from_secs(0.0)).secs();
        Timestamp::from_secs(own / (1.0 + self.fast_ppm as f64 / 1e6) + 2e-6)
    }

    fn take_out(&mut self) -> Vec<Datagram> {
        let boot_id = self.boot_id.to_le_bytes();
        let datagram = |message: quota::Message| {
            let at: usize = message.to.as_str()[1..]
                .parse()
                .expect("a gateway of the lab");
            Datagram {
                to: address(at),
                bytes: [&boot_id[..], &message.payload.encode()].concat(),
            }
        };
        self.quotas
            .take_outgoing()
            .into_iter()
            .map(datagram)
            .collect()
    }

    fn there(&self) -> BTreeSet<usize> {
        BTreeSet::new()
    }

    fn died(&mut self) -> Vec<usize> {
        let _ = self.quotas.take_events();
        Vec::new()
    }

    fn leave(&mut self, now: Timestamp) {
        let now = self.clock(now);
        self.quotas.leave(now);
    }
}

/// The settings of these tenants' budgets, for at most `most` gateways.
pub fn members(of: &[scheduler::TenantConfig], most: usize) -> Config {
    let budget = |member: &scheduler::TenantConfig| {
        let capacity = Amount::from_units(member.share.budget);
        let guaranteed = Amount((capacity.0 as f64 * 0.2 / most as f64) as u64);
        Budget {
            kind: BudgetKind::Tenant(member.name.clone()),
            capacity,
            guaranteed,
        }
    };
    Config {
        budgets: of.iter().map(budget).collect(),
        ..terms(most)
    }
}

/// The emulated gateways' quota participants, with random clock rate errors within the configured
/// drift.
pub fn parts(count: usize, seed: u64, terms: Config) -> Mesh<Part> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7061_7274);
    let bound = i64::from(terms.drift_ppm);
    let fast: Vec<i64> = (0..count)
        .map(|_| rng.random_range(-bound..=bound))
        .collect();
    Mesh::new(count, seed, move |at, now, start_count| {
        let seed = seed
            .wrapping_mul(1_000_003)
            .wrapping_add(at as u64 * 64 + u64::from(start_count));
        Part::new(now, at, start_count, terms.clone(), fast[at], seed)
    })
}

/// The CPU seconds spent by all gateways in each step.
#[derive(Clone, Debug, Default)]
pub struct Record {
    steps: VecDeque<f64>,
}

impl Record {
    /// The most spent in any window of `window_s`, as a fraction of what the budget and its burst
    /// allow.
    pub fn worst(&self, window_s: f64, whole: f64, burst_s: f64) -> f64 {
        let steps = (window_s / STEP_S).round() as usize;
        let spent: Vec<f64> = self.steps.iter().copied().collect();
        let sums = spent
            .windows(steps.min(spent.len()).max(1))
            .map(|of| of.iter().sum::<f64>());
        sums.fold(0.0, f64::max) / (whole * (window_s + burst_s))
    }
}

/// Generates demand at the gateways of a mesh and records what they spend.
pub struct Work {
    pub mesh: Mesh<Part>,
    pub way: Way,
    pub whole: f64,
    most: usize,
    /// The demand of each gateway, in CPU seconds per second.
    pub wants: Vec<f64>,
    pub record: Record,
    /// The largest sum of all gateways' spendable rates, as a fraction of the budget.
    pub worst_sum: f64,
    /// CPU seconds spent since the last call of [`Work::in_use`].
    pub spent: f64,
    /// CPU seconds that an ideal division would have spent: the whole demand up to the budget.
    pub could: f64,
    /// The token buckets of the gateways, where leases are not used.
    buckets: BTreeMap<usize, TokenBucket>,
}

impl Work {
    pub fn new(mesh: Mesh<Part>, way: Way, most: usize) -> Self {
        let wants = vec![0.0; mesh.len()];
        Work {
            mesh,
            way,
            whole: WHOLE,
            most,
            wants,
            record: Record::default(),
            worst_sum: 0.0,
            spent: 0.0,
            could: 0.0,
            buckets: BTreeMap::new(),
        }
    }

    fn rate(&self, at: usize) -> f64 {
        let even = self.whole / self.most as f64;
        match self.way {
            Way::Even => even,
            // The scheduler's estimate of a gateway's part: its own traffic plus a fifth, at least
            // an equal part and at most the whole budget.
            _ => even * (1.2 * self.wants[at] / even).clamp(1.0, self.most as f64),
        }
    }

    /// The rate that a gateway may spend now, in CPU seconds per second. 0 if it does not run.
    pub fn may(&mut self, at: usize) -> f64 {
        let now = Timestamp::from_secs(self.mesh.now);
        if self.way != Way::Leases {
            return if self.mesh.peer(at).is_some() {
                self.rate(at)
            } else {
                0.0
            };
        }
        self.mesh.peer(at).map_or(0.0, |part| {
            part.quotas
                .participant()
                .spendable_rate(part.clock(now), 0)
                .units()
        })
    }

    /// The sum of all gateways' spendable rates, as a fraction of the budget.
    pub fn sum(&mut self) -> f64 {
        (0..self.mesh.len()).map(|at| self.may(at)).sum::<f64>() / self.whole
    }

    /// Runs for `lasts_s` of simulated time.
    pub fn run(&mut self, lasts_s: f64) {
        let until = self.mesh.now + lasts_s;
        while self.mesh.now < until - 1e-9 {
            self.mesh.run(self.mesh.now + STEP_S);
            self.step();
        }
    }

    fn step(&mut self) {
        let (mut spent, mut wanted) = (0.0, 0.0);
        for at in 0..self.wants.len() {
            let wants = self.wants[at] * STEP_S;
            if wants <= 0.0 || !self.mesh.runs(at) {
                continue;
            }
            wanted += wants;
            // The demand comes in ten pieces, as it would in statements, so that a part of it can
            // still be spent when the budget does not cover all.
            let piece = wants / 10.0;
            spent += (0..10).filter(|_| self.take(at, piece)).count() as f64 * piece;
        }
        self.record.steps.push_back(spent);
        self.spent += spent;
        self.could += wanted.min(self.whole * STEP_S);
        self.worst_sum = self.worst_sum.max(self.sum());
    }

    /// Spends one piece of work at a gateway. Returns false if the gateway's part of the budget
    /// does not cover it.
    fn take(&mut self, at: usize, piece: f64) -> bool {
        let (now, rate) = (Timestamp::from_secs(self.mesh.now), self.rate(at));
        if self.way == Way::Leases {
            let Some(part) = self.mesh.peer_mut(at) else {
                return false;
            };
            let local = part.clock(now);
            part.quotas.record_demand(local, 0, piece);
            return part.quotas.try_spend(local, 0, piece);
        }
        let secs = self.mesh.now;
        let bucket = self
            .buckets
            .entry(at)
            .or_insert_with(|| TokenBucket::empty(secs, rate, BURST_S));
        bucket.set_rate(rate);
        bucket.refill(secs);
        let is_covered = bucket.covers(piece);
        if is_covered {
            bucket.withdraw(piece);
        }
        is_covered
    }

    /// The fraction spent of what an ideal division would have spent, since the last call.
    pub fn in_use(&mut self) -> f64 {
        let (spent, could) = (
            std::mem::take(&mut self.spent),
            std::mem::take(&mut self.could),
        );
        spent / could.max(1e-9)
    }
}

/// The figures of one situation.
#[derive(Clone, Debug)]
pub struct Figures {
    pub way: &'static str,
    pub gateways: usize,
    pub what: &'static str,
    /// The largest sum of all gateways' spendable rates at one time, as a fraction of the budget.
    pub worst_sum: f64,
    /// The most spent in any second, as a fraction of what the budget and its burst allow.
    pub worst_second: f64,
    /// The fraction spent of what an ideal division would have spent.
    pub in_use: f64,
    /// Datagrams sent per second and gateway.
    pub words_s: f64,
}

/// A skewed demand of the gateways whose sum is `times` the budget `whole`. The first gateway has
/// the highest demand.
fn uneven(count: usize, whole: f64, times: f64) -> Vec<f64> {
    let weights: Vec<f64> = (0..count)
        .map(|at| 1.0 / (1.0 + at as f64).powf(0.7))
        .collect();
    let all: f64 = weights.iter().sum();
    weights
        .into_iter()
        .map(|of| of / all * whole * times)
        .collect()
}

/// Measures one division in the situation of this name, which is one of [`SITUATIONS`].
pub fn measure(way: Way, count: usize, seed: u64, what: &'static str) -> Figures {
    let mut work = Work::new(parts(count, seed, terms(count)), way, count);
    work.mesh.start_all();
    work.wants = uneven(count, WHOLE, 1.3);
    work.run(20.0);
    (work.spent, work.could, work.worst_sum, work.record) = (0.0, 0.0, 0.0, Record::default());
    let sent = |work: &Work| work.mesh.sent.iter().map(|sent| sent.0).sum::<u64>();
    let (before, from) = (sent(&work), work.mesh.now);
    match what {
        "steady" => work.run(40.0),
        // One gateway has nine tenths of the demand, then another one.
        "moving" => {
            for turn in 0..4 {
                let hot = (turn * 7 + 1) % count;
                let rest = WHOLE * 0.13 / (count - 1).max(1) as f64;
                work.wants = (0..count)
                    .map(|at| if at == hot { WHOLE * 1.17 } else { rest })
                    .collect();
                work.run(10.0);
            }
        }
        "partition" => {
            work.mesh.cut(|a, b| (a % 5 < 3) != (b % 5 < 3));
            work.run(20.0);
            work.mesh.heal();
            work.run(5.0);
            work.mesh.cut(|a, b| (a % 5 < 2) != (b % 5 < 2));
            work.run(20.0);
        }
        "half killed" => {
            // A majority of the voters stays alive.
            (0..count)
                .filter(|at| at % 2 == 1)
                .for_each(|at| work.mesh.kill(at));
            work.wants.iter_mut().for_each(|wants| *wants *= 2.0);
            work.run(30.0);
        }
        "in turn" => {
            let tenth = count.div_ceil(10);
            for first in (0..count).step_by(tenth) {
                for at in first..(first + tenth).min(count) {
                    work.mesh.leave(at);
                    work.mesh.start(at);
                }
                work.run(3.0);
            }
        }
        "lossy" => {
            (work.mesh.faults.lost, work.mesh.faults.repeated) = (1.0 / 3.0, 1.0);
            work.run(40.0);
        }
        other => panic!("no situation {other}"),
    }
    let lasted = work.mesh.now - from;
    let alive = work.mesh.lives().len().max(1) as f64;
    Figures {
        way: way.name(),
        gateways: count,
        what,
        worst_sum: work.worst_sum,
        worst_second: work.record.worst(1.0, WHOLE, BURST_S),
        in_use: work.in_use(),
        words_s: (sent(&work) - before) as f64 / lasted / alive,
    }
}

/// Three durations in seconds: until a joining gateway gets its first lease beyond its guaranteed
/// minimum, and until the whole available budget is leased out again after a gateway left
/// gracefully and after one was killed. Each is `None` if it takes more than 60 seconds.
pub fn times(count: usize, seed: u64) -> [Option<f64>; 3] {
    let mut work = Work::new(
        parts(count + 1, seed, terms(count + 1)),
        Way::Leases,
        count + 1,
    );
    (0..count).for_each(|at| work.mesh.start(at));
    work.wants = uneven(count + 1, WHOLE, 1.3);
    work.run(20.0);
    let floor = 0.2 / (count + 1) as f64;
    let out = |work: &mut Work, there: usize| {
        let (began, can) = (work.mesh.now, 1.0 - floor * (count + 1 - there) as f64);
        while work.mesh.now < began + 60.0 {
            work.run(STEP_S);
            if work.sum() > can * 0.99 {
                return Some(work.mesh.now - began);
            }
        }
        None
    };
    let hot = (count / 2) | 1;
    work.mesh.start(count);
    work.wants[count] = WHOLE * 0.3;
    let began = work.mesh.now;
    // The joining gateway has its first lease when it may spend more than its guaranteed minimum.
    while work.may(count) < 1.5 * floor * WHOLE && work.mesh.now < began + 60.0 {
        work.run(STEP_S);
    }
    let joined = (work.may(count) >= 1.5 * floor * WHOLE).then_some(work.mesh.now - began);
    work.run(10.0);
    work.mesh.leave(count);
    let left = out(&mut work, count);
    work.run(10.0);
    work.mesh.kill(hot);
    [joined, left, out(&mut work, count - 1)]
}

/// The situations that [`measure`] knows.
pub const SITUATIONS: [&str; 6] = [
    "steady",
    "moving",
    "partition",
    "half killed",
    "in turn",
    "lossy",
];
