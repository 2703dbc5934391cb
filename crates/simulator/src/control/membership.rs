//! Membership between all gateways of a fleet, by size: started together, at rest, one killed,
//! datagrams lost.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use membership::message::{self, Body};
use membership::{Config, KeyRing, Name, Node};
use serde::{Deserialize, Serialize};

use crate::control::limits::{Ended, Limits, Watch, resident_bytes};
use crate::control::measured::{Cost, Measured, thread_cpu};
use crate::mesh::{GatewayFactory, Hearer, KEY, Mesh};

/// Simulated time between two looks at the limits.
const STEP_S: f64 = 0.05;
/// All gateways start within this.
const START_WITHIN_S: f64 = 1.0;

/// What is played at one size.
#[derive(Clone, Debug)]
pub struct Plan {
    pub gateways: usize,
    pub seed: u64,
    pub terms: Config,
    /// How long a start, and an agreement on a death, may take.
    pub settle_s: f64,
    /// From the end of the start to the measurement at rest, for gossip to run out.
    pub drain_s: f64,
    /// Length of the measurements at rest and under loss.
    pub measure_s: f64,
    /// Part of the datagrams lost in the last situation.
    pub loss: f64,
    /// Of each situation.
    pub limits: Limits,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Situation {
    /// All start within a second, until all hold just each other.
    Start,
    /// Directly after that, while gossip of the start still goes along.
    Drain,
    /// Nothing happens.
    Rest,
    /// One is killed, until all others hold just each other again.
    Death,
    /// A part of all datagrams is lost.
    Loss,
}

/// Datagrams sent, by what they are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kinds {
    pub pings: u64,
    pub acknowledgements: u64,
    /// Requests to probe in one's place.
    pub indirect_requests: u64,
    /// Their answers: it answered, and it did not.
    pub indirect_answered: u64,
    pub indirect_failed: u64,
    /// Requests for a page of a table or a comparison, and what answers them.
    pub page_requests: u64,
    pub pages: u64,
    pub other: u64,
}

/// Sums over all gateways that live, of what they count themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    pub probes: u64,
    pub probes_failed: u64,
    pub suspected: u64,
    pub refuted: u64,
    pub died: u64,
    pub revived: u64,
    /// Gossip that one witness alone told, which is probed directly.
    pub unvouched: u64,
    /// Questions beyond the rate at which they are answered.
    pub refused_many: u64,
}

/// What follows from the seed alone.
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
    /// Datagrams that the busiest gateway received, and questions it refused as too many.
    pub most_received: u64,
    pub most_refused: u64,
    /// Deaths that were told of gateways that lived and were reached.
    pub false_deaths: usize,
    /// From a killing: the first, the middle and the last other gateway that held it for dead.
    pub detected_s: Option<[f64; 3]>,
    /// Of those that live: how many hold as many others as there are.
    pub complete: usize,
}

/// What was measured on the machine.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Spent {
    /// CPU time in the gateways' own code.
    pub gateways_cpu: Duration,
    /// CPU time of the whole emulation.
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
    fn each_second(&self, of: u64) -> f64 {
        of as f64 / self.gateways as f64 / self.simulated_s.max(f64::MIN_POSITIVE)
    }

    pub fn datagrams_sent_per_s(&self) -> f64 {
        self.each_second(self.sent)
    }

    pub fn bytes_sent_per_s(&self) -> f64 {
        self.each_second(self.sent_bytes)
    }

    /// Sent and received.
    pub fn bytes_both_per_s(&self) -> f64 {
        self.each_second(self.sent_bytes + self.received_bytes)
    }

    pub fn per_s(&self, of: u64) -> f64 {
        self.each_second(of)
    }
}

impl Row {
    /// Microseconds of CPU time a gateway and simulated second.
    pub fn cpu_us_per_s(&self) -> f64 {
        let gateway_seconds = self.counted.gateways as f64 * self.counted.simulated_s;
        self.spent.gateways_cpu.as_secs_f64() * 1e6 / gateway_seconds.max(f64::MIN_POSITIVE)
    }
}

/// Totals at one instant; a situation's figures are the difference of two.
struct Totals {
    at_s: f64,
    sent: (u64, u64),
    cost: Cost,
    kinds: Kinds,
    counters: Counters,
    /// By gateway: datagrams received, and questions refused as too many.
    each: Vec<(u64, u64)>,
    false_deaths: usize,
    cpu: Duration,
}

struct Play {
    mesh: Mesh<Measured<Node>>,
    kinds: Rc<RefCell<Kinds>>,
    limits: Limits,
}

/// Plays all situations at one size, in their order; what follows one that hit a limit of the
/// machine is not played.
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
        mesh.liar = Some(counter_of_kinds(Rc::clone(&kinds)));
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
            most_received: most(&before.each, &after.each, |each| each.0),
            most_refused: most(&before.each, &after.each, |each| each.1),
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

    fn detected(&self) -> Option<[f64; 3]> {
        let all = self.mesh.detected();
        Some([*all.first()?, all[all.len() / 2], *all.last()?])
    }

    fn complete(&self) -> usize {
        let lives = self.mesh.lives();
        let whole = |at: &&usize| {
            self.mesh
                .peer(**at)
                .is_some_and(|peer| peer.peer.fleet_size() == lives.len())
        };
        lives.iter().filter(whole).count()
    }
}

/// The largest growth of one count at a gateway.
fn most(before: &[(u64, u64)], after: &[(u64, u64)], count: fn(&(u64, u64)) -> u64) -> u64 {
    let grown = before
        .iter()
        .zip(after)
        .map(|(before, after)| count(after).saturating_sub(count(before)));
    grown.max().unwrap_or(0)
}

fn counter_of_kinds(kinds: Rc<RefCell<Kinds>>) -> Hearer {
    let ring = KeyRing::new(&KEY, &[]).expect("one key");
    let fleet = Name::new("lab").expect("a name");
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
