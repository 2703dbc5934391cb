//! Measures the CPU time that the budget coordinator spends on each lease request, and the sizes of
//! requests and grants in the cluster's datagrams, by the number of holders and budgets. The
//! coordinator is the production code. Simple clients replace the holders and send requests at the
//! default rate, so that the ledger is as full as in a cluster of that size.

use std::time::Duration;

use admission::interface::{TimeDelta, Timestamp};
use membership::message::{self, Body, Message, View};
use membership::{BootId, Incarnation, KeyRing, Locality, MemberState, Name, Record};
use quota::message::{BudgetDemand, LeaseRequest, Vote, VoteRequest};
use quota::{Amount, Budget, BudgetKind, Config, HolderId, Participant, Payload, RequestId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::control::limits::{Ended, Limits, Watch};
use crate::control::measured::thread_cpu;
use crate::mesh::{KEY, address, name};
use crate::parts;

/// The demand of all holders together as a multiple of a budget. The budget is overcommitted.
const DEMAND_FACTOR: f64 = 1.3;
/// The lease requests per renewal interval of a holder whose demand changes constantly, see
/// `quota::participant`.
pub const MAX_REQUESTS_PER_RENEWAL: f64 = 4.0;
/// The number of datagrams that are sealed and opened to measure the CPU time of framing.
const FRAMING_SAMPLES: u32 = 2000;

/// What to measure.
#[derive(Clone, Debug)]
pub struct Plan {
    pub holders: usize,
    pub budgets: usize,
    pub seed: u64,
    /// The number of lease requests to measure once all holders are in the ledger.
    pub questions: usize,
    pub limits: Limits,
}

/// The results that depend on the seed alone.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Counted {
    pub holders: usize,
    pub budgets: usize,
    pub ended: Ended,
    /// The number of holders in the ledger at the end.
    pub in_ledger: usize,
    pub answered: usize,
    /// The mean size of a lease request without framing. The fields below hold the same of the
    /// grant, and of both as datagrams of the cluster.
    pub question_bytes: f64,
    pub answer_bytes: f64,
    pub question_datagram_bytes: f64,
    pub answer_datagram_bytes: f64,
    /// The size of the longest lease request without framing.
    pub longest_question_bytes: usize,
    /// The mean size of a vote request and its vote together, as datagrams.
    pub vote_datagram_bytes: f64,
    /// Lease requests per second of one holder at rest.
    pub questions_per_s: f64,
}

/// The results that depend on the machine.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spent {
    /// CPU time of one lease request with constant demand, from its bytes to those of the grant.
    pub at_rest: Duration,
    /// The same with a demand that changes with each request.
    pub moving: Duration,
    /// CPU time to open one datagram and to seal another.
    pub framing: Duration,
    pub real_time: Duration,
}

impl Counted {
    /// Bytes per second that the coordinator sends and receives with all holders at rest.
    pub fn coordinator_bytes_per_s(&self) -> f64 {
        self.holder_bytes_per_s() * self.holders as f64
    }

    /// Bytes per second that one holder sends and receives at rest.
    pub fn holder_bytes_per_s(&self) -> f64 {
        (self.question_datagram_bytes + self.answer_datagram_bytes) * self.questions_per_s
    }

    /// CPU seconds per second of the coordinator with all holders at rest.
    pub fn cores_at_rest(&self, spent: &Spent) -> f64 {
        self.cores(spent.at_rest + spent.framing)
    }

    /// CPU seconds per second of the coordinator when all holders' demands change constantly.
    pub fn cores_moving(&self, spent: &Spent) -> f64 {
        self.cores(spent.moving + spent.framing) * MAX_REQUESTS_PER_RENEWAL
    }

    fn cores(&self, question: Duration) -> f64 {
        question.as_secs_f64() * self.questions_per_s * self.holders as f64
    }
}

/// A client that sends lease requests as a holder does.
struct LeaseClient {
    who: HolderId,
    count: RequestId,
    demands: Vec<Amount>,
    held: Vec<Amount>,
}

/// A coordinator with its clients.
struct Ledger {
    now: Timestamp,
    participant: Participant,
    terms: Config,
    clients: Vec<LeaseClient>,
    rng: Pcg64Mcg,
    frame: Frame,
    vote_bytes: (usize, usize),
}

#[derive(Default)]
struct Measured {
    cpu: Duration,
    answered: usize,
    question_bytes: usize,
    answer_bytes: usize,
    question_datagram_bytes: usize,
    answer_datagram_bytes: usize,
    longest: usize,
}

/// Measures one number of holders and budgets.
pub fn measure(plan: &Plan) -> (Counted, Spent) {
    let watch = plan.limits.start();
    let mut ledger = Ledger::new(plan);
    ledger.become_leader();
    let mut ended = ledger.fill(&watch);
    let mut rest = Measured::default();
    let mut moving = Measured::default();
    if ended == Ended::Completed {
        (rest, ended) = ledger.questions(plan.questions, false, &watch);
    }
    if ended == Ended::Completed {
        (moving, ended) = ledger.questions(plan.questions, true, &watch);
    }
    let mean = |sum: usize| sum as f64 / rest.answered.max(1) as f64;
    let counted = Counted {
        holders: plan.holders,
        budgets: plan.budgets,
        ended,
        in_ledger: ledger
            .participant
            .leader_state(ledger.now)
            .map_or(0, |leadership| {
                leadership
                    .ledger()
                    .holdings(ledger.now, 0, &ledger.terms)
                    .len()
            }),
        answered: rest.answered + moving.answered,
        question_bytes: mean(rest.question_bytes),
        answer_bytes: mean(rest.answer_bytes),
        question_datagram_bytes: mean(rest.question_datagram_bytes),
        answer_datagram_bytes: mean(rest.answer_datagram_bytes),
        longest_question_bytes: rest.longest.max(moving.longest),
        vote_datagram_bytes: ledger.vote_bytes.0 as f64 / ledger.vote_bytes.1.max(1) as f64,
        questions_per_s: 1.0 / ledger.terms.renew_interval.secs(),
    };
    let of = |measured: &Measured| measured.cpu / measured.answered.max(1) as u32;
    let framing = ledger.frame.cpu(mean(rest.question_bytes) as usize);
    let spent = Spent {
        at_rest: of(&rest),
        moving: of(&moving),
        framing,
        real_time: watch.elapsed(),
    };
    (counted, spent)
}

impl Ledger {
    fn new(plan: &Plan) -> Self {
        let terms = terms(plan.holders, plan.budgets);
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let now = Timestamp::from_secs(0.0);
        let participant = Participant::new(now, holder_id(0), terms.clone(), plan.seed);
        let client = |at: usize| LeaseClient {
            who: holder_id(at),
            count: RequestId::default(),
            demands: demands(&terms, plan.holders, &mut rng),
            held: vec![Amount::ZERO; plan.budgets],
        };
        let clients = (1..=plan.holders).map(client).collect();
        Ledger {
            now,
            participant,
            terms,
            clients,
            rng,
            frame: Frame::new(),
            vote_bytes: (0, 0),
        }
    }

    /// Advances until the coordinator is elected and grants in full: it first waits for promises
    /// that it may have made before its start, and then for leases that an earlier coordinator may
    /// have granted.
    fn become_leader(&mut self) {
        let full = self.terms.term_duration.secs() + self.terms.lease_duration.secs() + 2.0;
        while self.now < Timestamp::from_secs(full) {
            self.advance(self.terms.renew_interval);
        }
    }

    /// Advances the simulated time and answers the coordinator's vote requests.
    fn advance(&mut self, by: TimeDelta) {
        self.now = self.now + by;
        if self.participant.next_wakeup() > self.now {
            return;
        }
        self.participant.tick(self.now);
        for sent in self.participant.take_outgoing() {
            let Payload::VoteRequest(VoteRequest { term, request }) = sent.payload else {
                continue;
            };
            let vote = Payload::Vote(Vote {
                request,
                granted: true,
                highest_term: term,
            });
            self.vote_bytes.0 +=
                self.frame.size(sent.payload.encode()) + self.frame.size(vote.encode());
            self.vote_bytes.1 += 1;
            let voter = self
                .terms
                .voters
                .iter()
                .position(|voter| *voter == sent.to)
                .unwrap_or(0);
            let _ = self.participant.receive(self.now, &holder_id(voter), vote);
        }
        let _ = self.participant.take_events();
    }

    /// Each client sends one lease request.
    fn fill(&mut self, watch: &Watch) -> Ended {
        let mut spent = Measured::default();
        for at in 0..self.clients.len() {
            if let Some(exceeded) = watch.exceeded() {
                return exceeded;
            }
            self.question(at, &mut spent);
        }
        Ended::Completed
    }

    /// Measures lease requests of up to `count` clients, with changed demands if `moving`.
    fn questions(&mut self, count: usize, moving: bool, watch: &Watch) -> (Measured, Ended) {
        let mut measured = Measured::default();
        for turn in 0..count.min(self.clients.len()) {
            if let Some(exceeded) = watch.exceeded() {
                return (measured, exceeded);
            }
            if moving {
                self.clients[turn].demands =
                    demands(&self.terms, self.clients.len(), &mut self.rng);
            }
            self.question(turn, &mut measured);
        }
        (measured, Ended::Completed)
    }

    /// Sends the lease request of one client at its time in the renewal interval, and measures it.
    fn question(&mut self, at: usize, measured: &mut Measured) {
        self.advance(TimeDelta::from_secs(
            self.terms.renew_interval.secs() / self.clients.len() as f64,
        ));
        let client = &mut self.clients[at];
        let holds = (client.count > RequestId::default()).then_some(client.count);
        client.count = client.count.next();
        let question = Payload::LeaseRequest(LeaseRequest {
            request: client.count,
            held_lease: holds,
            leaving: false,
            clock_ms: ((self.now - Timestamp::from_secs(0.0)).secs() * 1e3) as u64,
            budgets: budget_demands(&self.terms, client),
        });
        let bytes = question.encode();
        let began = thread_cpu();
        let Ok(question) = Payload::decode(&bytes) else {
            return;
        };
        let taken = self.participant.receive(self.now, &client.who, question);
        let out: Vec<Vec<u8>> = self
            .participant
            .take_outgoing()
            .iter()
            .map(|sent| sent.payload.encode())
            .collect();
        measured.cpu += thread_cpu().saturating_sub(began);
        let _ = self.participant.take_events();
        let (Ok(()), [answer]) = (taken, &out[..]) else {
            return;
        };
        let Ok(Payload::LeaseGrant(grant)) = Payload::decode(answer) else {
            return;
        };
        client.held = grant
            .amounts
            .into_iter()
            .map(|granted| granted.amount)
            .collect();
        measured.answered += 1;
        measured.question_bytes += bytes.len();
        measured.answer_bytes += answer.len();
        measured.longest = measured.longest.max(bytes.len());
        measured.question_datagram_bytes += self.frame.size(bytes);
        measured.answer_datagram_bytes += self.frame.size(answer.clone());
    }
}

fn holder_id(at: usize) -> HolderId {
    HolderId {
        name: name(at),
        boot_id: BootId(0x9e37_79b9_7f4a_7c15 ^ at as u64),
    }
}

fn terms(holders: usize, budgets: usize) -> Config {
    let single = parts::terms(holders + 1);
    let capacity = single.budgets[0].capacity;
    let guaranteed = single.budgets[0].guaranteed;
    let budget = |at: usize| Budget {
        kind: BudgetKind::Tenant(format!("member-{at:02}")),
        capacity,
        guaranteed,
    };
    Config {
        budgets: (0..budgets).map(budget).collect(),
        ..single
    }
}

fn demands(terms: &Config, holders: usize, rng: &mut Pcg64Mcg) -> Vec<Amount> {
    let share = |budget: &Budget| budget.capacity.units() * DEMAND_FACTOR / holders as f64;
    terms
        .budgets
        .iter()
        .map(|budget| Amount::from_units(share(budget) * 2.0 * rng.random::<f64>()))
        .collect()
}

fn budget_demands(terms: &Config, client: &LeaseClient) -> Vec<BudgetDemand> {
    let need = |(at, budget): (usize, &Budget)| BudgetDemand {
        budget: budget.key(),
        demand: client.demands[at],
        held: client.held[at],
        capacity: budget.capacity,
        guaranteed: budget.guaranteed,
    };
    terms.budgets.iter().enumerate().map(need).collect()
}

/// Builds the cluster's datagrams around messages. They carry no gossip, as in a cluster at rest.
struct Frame {
    ring: KeyRing,
    fleet: Name,
    from: Record,
}

impl Frame {
    fn new() -> Self {
        let part = |text: &str| Name::new(text).expect("the name is valid");
        let locality = Locality {
            zone: Some(part("zone-1")),
            region: Some(part("region-1")),
        };
        let from = Record {
            name: name(1),
            boot_id: holder_id(1).boot_id,
            incarnation: Incarnation(1),
            address: address(1),
            locality,
            state: MemberState::Alive,
        };
        Frame {
            ring: KeyRing::new(&KEY, &[]).expect("a single key is valid"),
            fleet: part("lab"),
            from,
        }
    }

    fn sealed(&self, message: Vec<u8>) -> Vec<u8> {
        let envelope = Message {
            fleet: self.fleet.clone(),
            from: self.from.clone(),
            counter: 1 << 20,
            view: View {
                digest: u64::MAX,
                size: 4096,
            },
            body: Body::Payload(message),
            records: Vec::new(),
            engine_reports: Vec::new(),
        };
        message::seal(&self.ring, &envelope)
    }

    fn size(&self, message: Vec<u8>) -> usize {
        self.sealed(message).len()
    }

    fn cpu(&self, message_bytes: usize) -> Duration {
        let message = vec![0x55; message_bytes];
        let began = thread_cpu();
        for _ in 0..FRAMING_SAMPLES {
            let sealed = self.sealed(message.clone());
            std::hint::black_box(message::open(&self.ring, &self.fleet, &sealed).is_ok());
        }
        thread_cpu().saturating_sub(began) / FRAMING_SAMPLES
    }
}
