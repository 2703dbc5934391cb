//! What the coordinator of divided budgets computes for each question of a holder, by holders and
//! budgets, and how many bytes question and answer take in the fleet's datagrams. One coordinator
//! of the real code; its holders are as many plain askers, each at the default rate, so that the
//! ledger is as full as in a fleet of that size.

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

/// What all holders together want of a budget, as a multiple of it: it is short.
const WANTED: f64 = 1.3;
/// Questions a renewal of a holder whose needs move all the time, see `quota::participant`.
pub const MOST_QUESTIONS_A_RENEWAL: f64 = 4.0;
/// Datagrams sealed and opened to measure what one takes.
const FRAMES: u32 = 2000;

#[derive(Clone, Debug)]
pub struct Plan {
    pub holders: usize,
    pub budgets: usize,
    pub seed: u64,
    /// Questions measured, once all holders are in the ledger.
    pub questions: usize,
    pub limits: Limits,
}

/// What follows from the seed alone.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Counted {
    pub holders: usize,
    pub budgets: usize,
    pub ended: Ended,
    /// Holders in the ledger at the end.
    pub in_ledger: usize,
    pub answered: usize,
    /// Mean message of a question and of its answer, alone and as a datagram of the fleet.
    pub question_bytes: f64,
    pub answer_bytes: f64,
    pub question_datagram_bytes: f64,
    pub answer_datagram_bytes: f64,
    /// Longest question, alone.
    pub longest_question_bytes: usize,
    /// Canvass and vote of one other voter, as datagrams.
    pub vote_datagram_bytes: f64,
    /// Questions a second of one holder at rest.
    pub questions_per_s: f64,
}

/// CPU time of this machine.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spent {
    /// For one question, from its bytes to the answer's: needs as they were.
    pub at_rest: Duration,
    /// The same where each question tells other needs.
    pub moving: Duration,
    /// To open one datagram and seal another.
    pub framing: Duration,
    pub real_time: Duration,
}

impl Counted {
    /// Of the coordinator, in and out, all holders at rest.
    pub fn coordinator_bytes_per_s(&self) -> f64 {
        self.holder_bytes_per_s() * self.holders as f64
    }

    /// Of one holder at rest, in and out.
    pub fn holder_bytes_per_s(&self) -> f64 {
        (self.question_datagram_bytes + self.answer_datagram_bytes) * self.questions_per_s
    }

    /// CPU seconds a second of the coordinator at rest.
    pub fn cores_at_rest(&self, spent: &Spent) -> f64 {
        self.cores(spent.at_rest + spent.framing)
    }

    /// CPU seconds a second where all holders' needs move all the time.
    pub fn cores_moving(&self, spent: &Spent) -> f64 {
        self.cores(spent.moving + spent.framing) * MOST_QUESTIONS_A_RENEWAL
    }

    fn cores(&self, question: Duration) -> f64 {
        question.as_secs_f64() * self.questions_per_s * self.holders as f64
    }
}

/// One that asks as a holder does.
struct Asker {
    who: HolderId,
    count: RequestId,
    needs: Vec<Amount>,
    held: Vec<Amount>,
}

struct Ledger {
    now: Timestamp,
    participant: Participant,
    terms: Config,
    askers: Vec<Asker>,
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

/// Measures one number of holders and of budgets.
pub fn measure(plan: &Plan) -> (Counted, Spent) {
    let watch = plan.limits.start();
    let mut ledger = Ledger::new(plan);
    ledger.be_chosen();
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
        let participant = Participant::new(now, who(0), terms.clone(), plan.seed);
        let asker = |at: usize| Asker {
            who: who(at),
            count: RequestId::default(),
            needs: needs(&terms, plan.holders, &mut rng),
            held: vec![Amount::ZERO; plan.budgets],
        };
        let askers = (1..=plan.holders).map(asker).collect();
        Ledger {
            now,
            participant,
            terms,
            askers,
            rng,
            frame: Frame::new(),
            vote_bytes: (0, 0),
        }
    }

    /// Waits out the promise of an earlier life, is chosen, and waits out the leases of an earlier
    /// coordinator.
    fn be_chosen(&mut self) {
        let full = self.terms.term_duration.secs() + self.terms.lease_duration.secs() + 2.0;
        while self.now < Timestamp::from_secs(full) {
            self.advance(self.terms.renew_interval);
        }
    }

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
            let _ = self.participant.receive(self.now, &who(voter), vote);
        }
        let _ = self.participant.take_events();
    }

    /// Every holder asks once: two rounds, so that each holds what it was granted.
    fn fill(&mut self, watch: &Watch) -> Ended {
        let mut spent = Measured::default();
        for at in 0..self.askers.len() {
            if let Some(exceeded) = watch.exceeded() {
                return exceeded;
            }
            self.question(at, &mut spent);
        }
        Ended::Completed
    }

    fn questions(&mut self, count: usize, moving: bool, watch: &Watch) -> (Measured, Ended) {
        let mut measured = Measured::default();
        for turn in 0..count.min(self.askers.len()) {
            if let Some(exceeded) = watch.exceeded() {
                return (measured, exceeded);
            }
            if moving {
                self.askers[turn].needs = needs(&self.terms, self.askers.len(), &mut self.rng);
            }
            self.question(turn, &mut measured);
        }
        (measured, Ended::Completed)
    }

    /// One asks, when its turn in the renewal has come.
    fn question(&mut self, at: usize, measured: &mut Measured) {
        self.advance(TimeDelta::from_secs(
            self.terms.renew_interval.secs() / self.askers.len() as f64,
        ));
        let asker = &mut self.askers[at];
        let holds = (asker.count > RequestId::default()).then_some(asker.count);
        asker.count = asker.count.next();
        let question = Payload::LeaseRequest(LeaseRequest {
            request: asker.count,
            held_lease: holds,
            leaving: false,
            clock_ms: ((self.now - Timestamp::from_secs(0.0)).secs() * 1e3) as u64,
            budgets: asked(&self.terms, asker),
        });
        let bytes = question.encode();
        let began = thread_cpu();
        let Ok(question) = Payload::decode(&bytes) else {
            return;
        };
        let taken = self.participant.receive(self.now, &asker.who, question);
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
        asker.held = grant
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

fn who(at: usize) -> HolderId {
    HolderId {
        name: name(at),
        boot_id: BootId(0x9e37_79b9_7f4a_7c15 ^ at as u64),
    }
}

fn terms(holders: usize, budgets: usize) -> Config {
    let plain = parts::terms(holders + 1);
    let capacity = plain.budgets[0].capacity;
    let guaranteed = plain.budgets[0].guaranteed;
    let budget = |at: usize| Budget {
        kind: BudgetKind::Tenant(format!("member-{at:02}")),
        capacity,
        guaranteed,
    };
    Config {
        budgets: (0..budgets).map(budget).collect(),
        ..plain
    }
}

fn needs(terms: &Config, holders: usize, rng: &mut Pcg64Mcg) -> Vec<Amount> {
    let share = |budget: &Budget| budget.capacity.units() * WANTED / holders as f64;
    terms
        .budgets
        .iter()
        .map(|budget| Amount::from_units(share(budget) * 2.0 * rng.random::<f64>()))
        .collect()
}

fn asked(terms: &Config, asker: &Asker) -> Vec<BudgetDemand> {
    let need = |(at, budget): (usize, &Budget)| BudgetDemand {
        budget: budget.key(),
        demand: asker.needs[at],
        held: asker.held[at],
        capacity: budget.capacity,
        guaranteed: budget.guaranteed,
    };
    terms.budgets.iter().enumerate().map(need).collect()
}

/// The fleet's datagram around a message, in a fleet at rest: no gossip goes along.
struct Frame {
    ring: KeyRing,
    fleet: Name,
    from: Record,
}

impl Frame {
    fn new() -> Self {
        let part = |text: &str| Name::new(text).expect("a name");
        let locality = Locality {
            zone: Some(part("zone-1")),
            region: Some(part("region-1")),
        };
        let from = Record {
            name: name(1),
            boot_id: who(1).boot_id,
            incarnation: Incarnation(1),
            address: address(1),
            locality,
            state: MemberState::Alive,
        };
        Frame {
            ring: KeyRing::new(&KEY, &[]).expect("one key"),
            fleet: part("lab"),
            from,
        }
    }

    fn sealed(&self, message: Vec<u8>) -> Vec<u8> {
        let letter = Message {
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
        message::seal(&self.ring, &letter)
    }

    fn size(&self, message: Vec<u8>) -> usize {
        self.sealed(message).len()
    }

    fn cpu(&self, message_bytes: usize) -> Duration {
        let message = vec![0x55; message_bytes];
        let began = thread_cpu();
        for _ in 0..FRAMES {
            let sealed = self.sealed(message.clone());
            std::hint::black_box(message::open(&self.ring, &self.fleet, &sealed).is_ok());
        }
        thread_cpu().saturating_sub(began) / FRAMES
    }
}
