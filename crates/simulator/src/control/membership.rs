//! Measures the membership protocol among all gateways of a cluster by its size: while all start,
//! at rest, after one is killed, and under packet loss.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use membership::message::{self, Body};
use membership::{Config, KeyRing, Name, Node};
use serde::{Deserialize, Serialize};

use crate::control::limits::{Ended, Limits, Watch, resident_bytes};
use crate::control::measured::{Cost, Measured, thread_cpu};
use crate::mesh::{DatagramHook, GatewayFactory, KEY, Mesh};

/// The simulated time between two checks of the limits.
const STEP_S: f64 = 0.05;
/// The simulated time within which all gateways start.
const START_WITHIN_S: f64 = 1.0;

/// The measurements at one size.
#[derive(Clone, Debug)]
pub struct Plan {
    pub gateways: usize,
    pub seed: u64,
    pub terms: Config,
    /// The simulated seconds that the start, and the agreement on a death, may take.
    pub settle_s: f64,
    /// The simulated seconds between the start and the measurement at rest, during which the gossip
    /// of the start ends.
    pub drain_s: f64,
    /// The simulated seconds of the measurements at rest and under loss.
    pub measure_s: f64,
    /// The fraction of the datagrams that is lost in the last situation.
    pub loss: f64,
    /// The limits of each situation.
    pub limits: Limits,
}

/// The situations, in the order in which they are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Situation {
    /// All gateways start within a second. It ends when they agree on the membership.
    Start,
    /// Directly after the start, while its gossip is still being sent.
    Drain,
    /// No gateway changes.
    Rest,
    /// One gateway is killed. It ends when the others agree on the membership again.
    Death,
    /// A fraction of all datagrams is lost.
    Loss,
}

/// The datagrams sent, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kinds {
    pub pings: u64,
    pub acknowledgements: u64,
    /// Requests for an indirect probe.
    pub indirect_requests: u64,
    /// Reports that the target of an indirect probe answered; `indirect_failed` counts those that
    /// it did not.
    pub indirect_answered: u64,
    pub indirect_failed: u64,
    /// Requests for a page of the member table, a digest or a fingerprint; `pages` counts their
    /// answers.
    pub page_requests: u64,
    pub pages: u64,
    pub other: u64,
}

/// The sums of the running gateways' own counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    pub probes: u64,
    pub probes_failed: u64,
    pub suspected: u64,
    pub refuted: u64,
    pub died: u64,
    pub revived: u64,
    /// Gossip from a single source, which is verified by a direct probe.
    pub unvouched: u64,
    /// Requests that were rejected because of the rate limit.
    pub refused_many: u64,
}

/// The results that depend on the seed alone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Counted {
    pub gateways: usize,
    pub situation: Situation,
    pub ended: Ended,
    pub simulated_s: f64,
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    pub kinds: Kinds,
    pub counters: Counters,
    /// The most datagrams that any one gateway received; `most_refused` is the most requests that
    /// any one gateway rejected because of the rate limit.
    pub most_received: u64,
    pub most_refused: u64,
    /// Declarations of death of gateways that were running and reachable.
    pub false_deaths: usize,
    /// Seconds from the kill until the first, the median and the last gateway declared the death.
    /// `None` in other situations, or if no gateway did.
    pub detected_s: Option<[f64; 3]>,
    /// How many running gateways know the right number of gateways.
    pub complete: usize,
}

/// The results that depend on the machine.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Spent {
    /// CPU time of the gateways' code.
    pub gateways_cpu: Duration,
    /// CPU time of the is_complete emulation.
    pub total_cpu: Duration,
    pub real_time: Duration,
    pub resident_bytes: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    pub counted: Counted,
    pub spent: Spent,
}

impl Counted {
    /// A count per second and gateway.
    fn per_gateway_second(&self, of: u64) -> f64 {
        of as f64 / self.gateways as f64 / self.simulated_s.max(f64::MIN_POSITIVE)
    }

    pub fn datagrams_sent_per_s(&self) -> f64 {
        self.per_gateway_second(self.sent)
    }

    pub fn bytes_sent_per_s(&self) -> f64 {
        self.per_gateway_second(self.sent_bytes)
    }

    /// Bytes sent and received per second and gateway.
    pub fn bytes_both_per_s(&self) -> f64 {
        self.per_gateway_second(self.sent_bytes + self.received_bytes)
    }

    pub fn per_s(&self, of: u64) -> f64 {
        self.per_gateway_second(of)
    }
}

impl Row {
    /// Microseconds of CPU time per simulated second and gateway.
    pub fn cpu_us_per_s(&self) -> f64 {
        let gateway_seconds = self.counted.gateways as f64 * self.counted.simulated_s;
        self.spent.gateways_cpu.as_secs_f64() * 1e6 / gateway_seconds.max(f64::MIN_POSITIVE)
    }
}

/// Totals at one time. The figures of a situation are the difference between two of them.
struct Totals {
    at_s: f64,
    sent: (u64, u64),
    cost: Cost,
    kinds: Kinds,
    counters: Counters,
    /// The datagrams received and the requests rejected because of the rate limit, by gateway.
    each: Vec<(u64, u64)>,
    false_deaths: usize,
    cpu: Duration,
}

/// A cluster that goes through the situations.
struct Play {
    mesh: Mesh<Measured<Node>>,
    kinds: Rc<RefCell<Kinds>>,
    limits: Limits,
}

/// Measures all situations at one size in order. Stops after one that exceeded its real time or
/// memory.
pub fn play(plan: &Plan) -> Vec<Row> {
    let mut play = Play::new(plan);
    let mut rows = vec![play.situation(Situation::Start, |play, watch| play.start(plan, watch))];
    let stopped = |rows: &[Row]| {
        let ended = rows.last().map(|row| row.counted.ended);
        matches!(ended, Some(Ended::RealTimeLimit | Ended::MemoryLimit))
    };
    let lasts = [
        (Situation::Drain, plan.drain_s),
        (Situation::Rest, plan.measure_s),
    ];
    for (situation, lasts_s) in lasts {
        if !stopped(&rows) {
            rows.push(play.situation(situation, |play, watch| play.run(lasts_s, watch)));
        }
    }
    if !stopped(&rows) {
        play.mesh.kill(plan.gateways / 2);
        rows.push(play.situation(Situation::Death, |play, watch| {
            play.settle(plan.settle_s, watch)
        }));
    }
    if !stopped(&rows) {
        play.mesh.faults.lost = plan.loss;
        rows.push(play.situation(Situation::Loss, |play, watch| {
            play.run(plan.measure_s, watch)
        }));
    }
    rows
}

impl Play {
    fn new(plan: &Plan) -> Self {
        let factory = GatewayFactory::new(plan.gateways, plan.seed, plan.terms.clone());
        let make = move |at, now, life| Measured::new(factory.make(at, now, life));
        let mut mesh = Mesh::new(plan.gateways, plan.seed, make);
        let kinds = Rc::new(RefCell::new(Kinds::default()));
        mesh.liar = Some(kind_counter(Rc::clone(&kinds)));
        Play {
            mesh,
            kinds,
            limits: plan.limits,
        }
    }

    fn situation(
        &mut self,
        situation: Situation,
        play: impl FnOnce(&mut Self, &Watch) -> Ended,
    ) -> Row {
        let watch = self.limits.start();
        let before = self.totals();
        let ended = play(self, &watch);
        let after = self.totals();
        let counted = Counted {
            gateways: self.mesh.len(),
            situation,
            ended,
            simulated_s: after.at_s - before.at_s,
            sent: after.sent.0 - before.sent.0,
            sent_bytes: after.sent.1 - before.sent.1,
            received: after.cost.received - before.cost.received,
            received_bytes: after.cost.received_bytes - before.cost.received_bytes,
            kinds: after.kinds.since(&before.kinds),
            counters: after.counters.since(&before.counters),
            most_received: max_increase(&before.each, &after.each, |each| each.0),
            most_refused: max_increase(&before.each, &after.each, |each| each.1),
            false_deaths: after.false_deaths - before.false_deaths,
            detected_s: (situation == Situation::Death)
                .then(|| self.detected())
                .flatten(),
            complete: self.complete(),
        };
        let spent = Spent {
            gateways_cpu: after.cost.cpu - before.cost.cpu,
            total_cpu: after.cpu - before.cpu,
            real_time: watch.elapsed(),
            resident_bytes: resident_bytes(),
        };
        Row { counted, spent }
    }

    fn start(&mut self, plan: &Plan, watch: &Watch) -> Ended {
        for at in 0..plan.gateways {
            self.mesh
                .run(START_WITHIN_S * at as f64 / plan.gateways as f64);
            self.mesh.start(at);
        }
        self.settle(plan.settle_s - START_WITHIN_S, watch)
    }

    fn run(&mut self, lasts_s: f64, watch: &Watch) -> Ended {
        let until = self.mesh.now + lasts_s;
        while self.mesh.now < until {
            if let Some(exceeded) = watch.exceeded() {
                return exceeded;
            }
            self.mesh.run((self.mesh.now + STEP_S).min(until));
        }
        Ended::Completed
    }

    fn settle(&mut self, within_s: f64, watch: &Watch) -> Ended {
        let until = self.mesh.now + within_s;
        while !self.mesh.agreed() {
            if let Some(exceeded) = watch.exceeded() {
                return exceeded;
            }
            if self.mesh.now >= until {
                return Ended::SimulatedLimit;
            }
            self.mesh.run(self.mesh.now + STEP_S);
        }
        Ended::Completed
    }

    fn totals(&self) -> Totals {
        let mut cost = Cost::default();
        let mut counters = Counters::default();
        let mut each = vec![(0, 0); self.mesh.len()];
        for at in self.mesh.lives() {
            let Some(peer) = self.mesh.peer(at) else {
                continue;
            };
            let own = peer.cost();
            each[at] = (own.received, peer.peer.metrics.rejected_rate_limited);
            cost.cpu += own.cpu;
            cost.received += own.received;
            cost.received_bytes += own.received_bytes;
            counters.add(&peer.peer);
        }
        let sent = self
            .mesh
            .sent
            .iter()
            .fold((0, 0), |sum, of| (sum.0 + of.0, sum.1 + of.1));
        Totals {
            at_s: self.mesh.now,
            sent,
            cost,
            kinds: *self.kinds.borrow(),
            counters,
            each,
            false_deaths: self.mesh.false_deaths(),
            cpu: thread_cpu(),
        }
    }

    /// The first, the median and the last detection time. `None` if no death was declared.
    fn detected(&self) -> Option<[f64; 3]> {
        let all = self.mesh.detected();
        Some([*all.first()?, all[all.len() / 2], *all.last()?])
    }

    /// The number of gateways that know the right number of gateways.
    fn complete(&self) -> usize {
        let lives = self.mesh.lives();
        let is_complete = |at: &&usize| {
            self.mesh
                .peer(**at)
                .is_some_and(|peer| peer.peer.fleet_size() == lives.len())
        };
        lives.iter().filter(is_complete).count()
    }
}

/// The largest increase of a count at any one gateway.
fn max_increase(before: &[(u64, u64)], after: &[(u64, u64)], count: fn(&(u64, u64)) -> u64) -> u64 {
    let grown = before
        .iter()
        .zip(after)
        .map(|(before, after)| count(after).saturating_sub(count(before)));
    grown.max().unwrap_or(0)
}

/// A hook that counts datagrams by kind.
fn kind_counter(kinds: Rc<RefCell<Kinds>>) -> DatagramHook {
    let ring = KeyRing::new(&KEY, &[]).expect("a single key is valid");
    let fleet = Name::new("lab").expect("the name is valid");
    Box::new(move |_, _, bytes| {
        let Ok(message) = message::open(&ring, &fleet, bytes) else {
            return;
        };
        let mut kinds = kinds.borrow_mut();
        *match message.body {
            Body::Ping(_) => &mut kinds.pings,
            Body::Ack(_) => &mut kinds.acknowledgements,
            Body::IndirectPing { .. } => &mut kinds.indirect_requests,
            Body::IndirectAck(_) => &mut kinds.indirect_answered,
            Body::IndirectNack(_) => &mut kinds.indirect_failed,
            Body::PageRequest { .. }
            | Body::DigestRequest { .. }
            | Body::FingerprintRequest { .. } => &mut kinds.page_requests,
            Body::Page { .. } | Body::DigestResponse { .. } | Body::FingerprintResponse { .. } => {
                &mut kinds.pages
            }
            Body::Gossip | Body::Payload(_) => &mut kinds.other,
        } += 1;
    })
}

impl Kinds {
    fn since(&self, before: &Kinds) -> Kinds {
        Kinds {
            pings: self.pings - before.pings,
            acknowledgements: self.acknowledgements - before.acknowledgements,
            indirect_requests: self.indirect_requests - before.indirect_requests,
            indirect_answered: self.indirect_answered - before.indirect_answered,
            indirect_failed: self.indirect_failed - before.indirect_failed,
            page_requests: self.page_requests - before.page_requests,
            pages: self.pages - before.pages,
            other: self.other - before.other,
        }
    }
}

impl Counters {
    fn add(&mut self, gateway: &Node) {
        let metrics = &gateway.metrics;
        self.probes += metrics.probes;
        self.probes_failed += metrics.probes_failed;
        self.suspected += metrics.suspected;
        self.refuted += metrics.refutations;
        self.died += metrics.declared_dead;
        self.revived += metrics.false_deaths;
        self.unvouched += metrics.unvouched;
        self.refused_many += metrics.rejected_rate_limited;
    }

    fn since(&self, before: &Counters) -> Counters {
        Counters {
            probes: self.probes - before.probes,
            probes_failed: self.probes_failed - before.probes_failed,
            suspected: self.suspected - before.suspected,
            refuted: self.refuted - before.refuted,
            died: self.died - before.died,
            revived: self.revived - before.revived,
            unvouched: self.unvouched - before.unvouched,
            refused_many: self.refused_many - before.refused_many,
        }
    }
}
