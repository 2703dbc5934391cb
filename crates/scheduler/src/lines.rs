//! Who waits, and who is asked about next. Two levels: members hold desks, statements wait at desks. Nothing here
//! chooses an engine or denies by itself; see docs/notes/queues.md for the order and why it is so.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use admission::interface::*;

use crate::budget::{Account, Paid, Till};
use crate::order::{Arena, Frontier, Need, Root};
use crate::pace::{Estimate, Pace, Record};
use crate::terms::{DeskId, MemberId, Terms};

/// How many teams are looked at behind the first when the first has only what there is no room for.
const LOOK: usize = 64;
/// CPU seconds that a core is taken to give a second until something was seen to be released.
const LIKELY: f64 = 0.7;
/// So many times its likely longest wait must pass before a statement's latency objective is out of reach, or it is rejected at
/// entry. Less, and under pressure all wait just long enough to be late: of reports 0.33 to 0.67 came in time at the
/// start of a due date for a deadline, once, and twice the 90th percentile.
const DOUBT: f64 = 2.0;
/// Statements that one may displace: it needs their room in CPU seconds.
const DISPLACED: usize = 16;

/// A statement as it comes to wait.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub id: StatementId,
    pub desk: DeskId,
    pub class: ClassId,
    pub position: QueuePosition,
    pub need: Need,
    /// After this an answer is late, and after this of no use any more, by the module's word.
    pub objective_until: Timestamp,
    pub useful_until: Timestamp,
    pub key: Option<OrderKey>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Entered {
    Waits(Estimate),
    /// No room, or it would wait beyond its use; about so long until it would not.
    TurnedAway {
        back: TimeDelta,
    },
}

/// What an entry led to; the displaced are out of line and owed a rejection.
#[derive(Clone, Debug, PartialEq)]
pub struct Entering {
    pub entered: Entered,
    pub displaced: Vec<(StatementId, TimeDelta)>,
}

/// Whom to ask the module about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    pub position: QueuePosition,
    /// Beyond what its member is owed.
    pub borrowed: bool,
}

/// A query class: among its statements room only shrinks with need.
type Lane = usize;

#[derive(Clone, Copy, Debug)]
struct Waiter {
    desk: u32,
    lane: Lane,
    position: QueuePosition,
    need: Need,
    entered: Timestamp,
    useful_until: Timestamp,
    raw: f64,
    /// The estimate stood on what was seen at its desk, and so counts for the next ones.
    seen: bool,
    told: Estimate,
    key: Option<OrderKey>,
    /// It stands in its desk's line; else an earlier one of its key does, or it is passed by for this round.
    in_line: bool,
}

impl Waiter {
    fn wait(&self, now: Timestamp, id: StatementId) -> Wait {
        let (class, desk) = (ClassId(self.lane), DeskId(self.desk));
        Wait {
            id,
            class,
            desk,
            told: self.told,
            real: now - self.entered,
        }
    }
}

/// What a statement that was released is charged, until its outcome.
#[derive(Clone, Copy, Debug)]
struct Charge {
    desk: u32,
    member: u32,
    by: (Paid, Paid),
    cpu: f64,
}

/// How a team shows in its parent's ranks: under its budget, by its first statement; or by what it was lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Shown {
    Under(QueuePosition),
    Over(u64),
}

#[derive(Clone, Debug, Default)]
struct Ranks {
    under: BTreeSet<(QueuePosition, u32)>,
    over: BTreeSet<(u64, u32)>,
}

impl Ranks {
    fn change(&mut self, team: u32, old: &mut Option<Shown>, new: Option<Shown>) {
        if *old == new {
            return;
        }
        match std::mem::replace(old, new) {
            Some(Shown::Under(position)) => drop(self.under.remove(&(position, team))),
            Some(Shown::Over(borrowed)) => drop(self.over.remove(&(borrowed, team))),
            None => {}
        }
        match new {
            Some(Shown::Under(position)) => drop(self.under.insert((position, team))),
            Some(Shown::Over(borrowed)) => drop(self.over.insert((borrowed, team))),
            None => {}
        }
    }

    /// The team whose turn it is: the first under its budget, else the one that was lent least.
    fn first(&self) -> Option<u32> {
        self.under
            .first()
            .map(|(_, team)| *team)
            .or_else(|| self.over.first().map(|(_, team)| *team))
    }
}

struct Desk {
    name: String,
    member: u32,
    account: Account,
    roots: Vec<Root>,
    shown: Vec<Option<Shown>>,
    paces: Vec<Pace>,
    pace: Pace,
    count: u32,
    cpu: f64,
    /// Since when its first has been passed over; set while something waits.
    passed_since: Option<Timestamp>,
}

struct Member {
    name: String,
    account: Account,
    ranks: Vec<Ranks>,
    shown: Vec<Option<Shown>>,
    lent_now: f64,
    waiting: u32,
    desks: Vec<u32>,
    /// Predicted CPU seconds that came for it since the start.
    wanted: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Team {
    Desk(u32),
    Member(u32),
}

/// One desk, as a status shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct DeskStatus {
    pub member: String,
    pub desk: String,
    pub waiting: u32,
    /// Predicted CPU seconds that wait.
    pub cpu: f64,
    /// Predicted CPU seconds a second: owed, and released of late while something waited.
    pub budget: f64,
    pub rate: Option<f64>,
    /// What is saved of the budget; negative: to be made up for first.
    pub saved: f64,
    pub longest: TimeDelta,
    /// For one more usual statement of each query class.
    pub next: Vec<Estimate>,
}

/// One waiting statement.
#[derive(Clone, Debug, PartialEq)]
pub struct StatementStatus {
    pub member: String,
    pub desk: String,
    /// So many of its query class at its desk leave before it.
    pub ahead: u32,
    pub waited: TimeDelta,
    pub left: Estimate,
}

/// A wait that ended, and how it was told at its entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wait {
    pub id: StatementId,
    pub class: ClassId,
    pub desk: DeskId,
    pub told: Estimate,
    pub real: TimeDelta,
}

pub struct Lines {
    terms: Terms,
    classes: usize,
    arena: Arena,
    desks: Vec<Desk>,
    members: Vec<Member>,
    root: Vec<Ranks>,
    lent_now: f64,
    /// Emptied by release, rejection and the client's leaving.
    waiting: BTreeMap<StatementId, Waiter>,
    /// Ends of their use; leaves with them.
    useful: BTreeSet<(Timestamp, StatementId)>,
    /// Desks where something waits, the longest passed over first.
    passed: BTreeSet<(Timestamp, u32)>,
    /// Desks where something waits, by CPU seconds for each one owed.
    heavy: BTreeSet<(u64, u32)>,
    /// Teams over their budget, by when they are under it again.
    refills: BTreeSet<(Timestamp, Team)>,
    refill_at: BTreeMap<Team, Timestamp>,
    /// Statements in hand of one key, oldest first; a key leaves with its last one that waits.
    keys: BTreeMap<OrderKey, VecDeque<StatementId>>,
    parked: Vec<StatementId>,
    /// By lane, of what is owed and of what is lent.
    frontiers: Vec<[Frontier; 2]>,
    /// Emptied by the last outcome of each.
    charges: BTreeMap<StatementId, Charge>,
    records: Vec<Record>,
    longest_passed: TimeDelta,
    whole: Pace,
    usual: Vec<f64>,
    count: u32,
    cpu: f64,
    /// All members' budgets together.
    owed: f64,
    cores: f64,
    till: Till,
    /// Budgets are told as they change, for all gateways together: nothing here guesses its part of them.
    leased: bool,
    now: Timestamp,
}

/// Non-negative floats sort as their bits do.
fn bits(of: f64) -> u64 {
    of.max(0.0).to_bits()
}

impl Lines {
    pub fn new(now: Timestamp, terms: Terms, classes: usize, seed: u64) -> Self {
        let mut lines = Lines {
            classes,
            arena: Arena::new(seed),
            desks: Vec::new(),
            members: Vec::new(),
            root: vec![Ranks::default(); classes],
            lent_now: 0.0,
            waiting: BTreeMap::new(),
            useful: BTreeSet::new(),
            passed: BTreeSet::new(),
            heavy: BTreeSet::new(),
            refills: BTreeSet::new(),
            refill_at: BTreeMap::new(),
            keys: BTreeMap::new(),
            parked: Vec::new(),
            frontiers: vec![[Frontier::default(), Frontier::default()]; classes],
            charges: BTreeMap::new(),
            records: vec![Record::default(); classes],
            longest_passed: TimeDelta::ZERO,
            whole: Pace::new(now),
            usual: vec![0.0; classes],
            count: 0,
            cpu: 0.0,
            owed: 0.0,
            cores: 1.0,
            till: Till::new(now),
            leased: false,
            now,
            terms,
        };
        lines.lay_out();
        lines
    }

    fn at(&mut self, now: Timestamp) {
        self.now = now;
        self.till.go_on(now);
    }

    fn lay_out(&mut self) {
        self.owed = self
            .terms
            .members
            .iter()
            .map(|member| member.claim.budget)
            .sum();
        let (now, till, lanes, burst) = (self.now, self.till, self.classes, self.terms.burst);
        for terms in &self.terms.members {
            let member = self.members.len() as u32;
            let first = self.desks.len() as u32;
            for desk in &terms.desks {
                self.desks.push(Desk {
                    name: desk.name.clone(),
                    member,
                    account: Account::new(till, desk.claim, burst),
                    roots: vec![Root::default(); lanes],
                    shown: vec![None; lanes],
                    paces: vec![Pace::new(now); self.classes],
                    pace: Pace::new(now),
                    count: 0,
                    cpu: 0.0,
                    passed_since: None,
                });
            }
            self.members.push(Member {
                name: terms.name.clone(),
                account: Account::new(till, terms.claim, burst),
                ranks: vec![Ranks::default(); lanes],
                shown: vec![None; lanes],
                lent_now: 0.0,
                waiting: 0,
                wanted: 0.0,
                desks: (first..self.desks.len() as u32).collect(),
            });
        }
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn holds(&self, id: StatementId) -> bool {
        self.waiting.contains_key(&id)
    }

    pub fn place(&self, id: StatementId) -> Option<QueuePosition> {
        self.waiting.get(&id).map(|waiter| waiter.position)
    }

    /// Released statements whose outcome is not known yet.
    pub fn charged(&self) -> usize {
        self.charges.len()
    }

    /// Time goes on: accounts fill, and a new round of asking begins. `cores`: what engines in use have, as this
    /// gateway's share; estimates follow it at once. `carries`: its part of the traffic over that share; budgets follow.
    pub fn round(&mut self, now: Timestamp, cores: f64, carries: f64) {
        self.till.go_on(now);
        self.till.stretch(if self.leased { 1.0 } else { carries });
        if (cores - self.cores).abs() > 1e-9 {
            // What passed up to now passed with the cores of before.
            let before = std::mem::replace(&mut self.cores, cores);
            for desk in self.passed.iter().map(|(_, desk)| *desk as usize) {
                let Desk { paces, pace, .. } = &mut self.desks[desk];
                paces
                    .iter_mut()
                    .chain([pace])
                    .for_each(|pace| pace.advance(now, before));
            }
            self.whole.advance(now, before);
        }
        self.at(now);
        while let Some((at, team)) = self.refills.first().copied().filter(|(at, _)| *at <= now) {
            self.refills.remove(&(at, team));
            self.refill_at.remove(&team);
            match team {
                Team::Desk(desk) => self.show_desk(desk),
                Team::Member(member) => self.show_member(member),
            }
        }
        let frontiers = self
            .frontiers
            .iter_mut()
            .flatten()
            .filter(|frontier| !frontier.is_empty());
        frontiers.for_each(|frontier| *frontier = Frontier::default());
        for id in std::mem::take(&mut self.parked) {
            if self.waiting.get(&id).is_some_and(|waiter| !waiter.in_line) {
                self.line_up(id);
            }
        }
    }

    /// Members' budgets from now on, of those that are told, with their desks' in proportion. The first time nothing is
    /// saved: what the terms say is all gateways' together.
    pub fn lease(&mut self, now: Timestamp, rates: &[Option<f64>]) {
        self.at(now);
        let first = !std::mem::replace(&mut self.leased, true);
        for (at, rate) in rates.iter().enumerate() {
            let (Some(rate), Some(member)) = (*rate, self.members.get_mut(at)) else {
                continue;
            };
            if !first && member.account.claim().budget == rate {
                continue;
            }
            let whole = self.terms.members[at].claim.budget.max(1e-9);
            member.account.lease(self.till, rate);
            for (desk, terms) in member.desks.iter().zip(&self.terms.members[at].desks) {
                let account = &mut self.desks[*desk as usize].account;
                account.lease(self.till, rate * terms.claim.budget / whole);
                if first {
                    account.empty(self.till);
                }
            }
            if first {
                member.account.empty(self.till);
            }
            let desks = member.desks.clone();
            desks.into_iter().for_each(|desk| self.show_desk(desk));
        }
        self.owed = self
            .members
            .iter()
            .map(|member| member.account.claim().budget)
            .sum();
    }

    /// What each member wanted and spent of its budget since the start.
    pub fn flows(&self) -> impl Iterator<Item = (f64, f64)> {
        self.members
            .iter()
            .map(|member| (member.wanted, member.account.paid()))
    }

    /// Whether a statement of this cost that comes now would wait for what other members lend.
    pub fn would_be_lent(&mut self, now: Timestamp, desk: DeskId, cpu: f64) -> bool {
        self.at(now);
        self.borrowed(desk.0.min(self.desks.len() as u32 - 1), cpu)
    }

    pub fn enter(&mut self, now: Timestamp, entry: &Entry) -> Entering {
        self.at(now);
        let lane = entry.class.0;
        let desk = entry.desk.0.min(self.desks.len() as u32 - 1);
        let usual = &mut self.usual[entry.class.0];
        *usual = if *usual > 0.0 {
            *usual + (entry.need.cpu - *usual) * 0.05
        } else {
            entry.need.cpu
        };
        let member = self.desks[desk as usize].member;
        self.members[member as usize].wanted += entry.need.cpu;
        let raw = self.raw(desk, lane, entry.position, entry.need);
        let told = self.records[entry.class.0].tell(raw);
        // An answer that comes late has cost another its place. Only what was seen here denies, not what is likely; and of
        // one whose key's turn has to come first nothing is known.
        let useful = (entry.objective_until - now).secs();
        let wait = told.p90.secs() * DOUBT;
        let seen = self.desks[desk as usize].paces[entry.class.0]
            .known(now, self.cores)
            .is_some();
        if seen && entry.key.is_none() && wait > useful.max(0.05) {
            let back = TimeDelta::from_secs((told.p90.secs() - useful).max(told.wait.secs() * 0.5));
            return Entering {
                entered: Entered::TurnedAway { back },
                displaced: Vec::new(),
            };
        }
        let Some(displaced) = self.make_room(desk, entry.position, entry.need) else {
            return Entering {
                entered: Entered::TurnedAway { back: told.wait },
                displaced: Vec::new(),
            };
        };
        let displaced = displaced
            .into_iter()
            .map(|(id, waiter)| (id, self.back(&waiter)))
            .collect();
        self.waiting.insert(
            entry.id,
            Waiter {
                desk,
                lane,
                position: entry.position,
                need: entry.need,
                entered: now,
                useful_until: entry.useful_until,
                raw,
                seen,
                told,
                key: entry.key,
                in_line: false,
            },
        );
        self.useful.insert((entry.useful_until, entry.id));
        let first = entry.key.is_none_or(|key| {
            let line = self.keys.entry(key).or_default();
            line.push_back(entry.id);
            line.len() == 1
        });
        if first {
            self.line_up(entry.id);
        }
        Entering {
            entered: Entered::Waits(told),
            displaced,
        }
    }

    /// Room at the desk and in all, if need be in the place of those with the worse claim: at one desk those that
    /// would leave later, among desks the last of the one with the most waiting for what it is owed.
    fn make_room(
        &mut self,
        desk: u32,
        position: QueuePosition,
        need: Need,
    ) -> Option<Vec<(StatementId, Waiter)>> {
        let mut out: Vec<(StatementId, Waiter)> = Vec::new();
        let fits = |bound: crate::terms::Bound, count: u32, cpu: f64| {
            count == 0 || count < bound.statements && cpu + need.cpu <= bound.cpu
        };
        loop {
            let of = &self.desks[desk as usize];
            let here = fits(self.terms.each, of.count, of.cpu);
            if here && fits(self.terms.all, self.count, self.cpu) {
                return Some(out);
            }
            let own = (of.cpu + need.cpu) / owed(of);
            let heaviest = self
                .heavy
                .last()
                .copied()
                .filter(|_| here)
                .filter(|(_, other)| *other != desk);
            let heaviest = heaviest
                .filter(|(load, _)| f64::from_bits(*load) > own)
                .map(|(_, other)| other);
            let from = heaviest.unwrap_or(desk);
            let victim = self
                .last_of(from)
                .filter(|last| heaviest.is_some() || last.deadline > position.deadline);
            let Some(victim) = victim.filter(|_| out.len() < DISPLACED) else {
                // Its claim is not better after all: who was to go stays.
                out.into_iter()
                    .rev()
                    .for_each(|(id, waiter)| self.put_back(id, waiter));
                return None;
            };
            let waiter = self.take_out(victim.id).expect("in line");
            out.push((victim.id, waiter));
        }
    }

    fn last_of(&self, desk: u32) -> Option<QueuePosition> {
        let roots = &self.desks[desk as usize].roots;
        roots
            .iter()
            .filter_map(|root| self.arena.last(*root))
            .map(|(position, _)| position)
            .max()
    }

    fn put_back(&mut self, id: StatementId, waiter: Waiter) {
        self.useful.insert((waiter.useful_until, id));
        self.waiting.insert(
            id,
            Waiter {
                in_line: false,
                ..waiter
            },
        );
        if let Some(key) = waiter.key {
            self.keys.entry(key).or_default().push_front(id);
        }
        self.line_up(id);
    }

    /// The next to ask the module about, and whether what it would take is lent; or nobody in this round any more.
    pub fn next(&self) -> Option<Offer> {
        let aged = |since: &Timestamp| *since + self.terms.ageing <= self.now;
        let passed = self
            .passed
            .iter()
            .take(LOOK)
            .take_while(|(since, _)| aged(since));
        if let Some(position) = passed
            .into_iter()
            .find_map(|(_, desk)| self.first_at(*desk))
        {
            return Some(Offer {
                position,
                borrowed: false,
            });
        }
        let mut best: Option<QueuePosition> = None;
        for lane in 0..self.root.len() {
            for (position, member) in self.root[lane].under.iter().take(LOOK) {
                if best.is_some_and(|best| best <= *position) {
                    break;
                }
                best = [best, self.first_of(*member, lane, 0)]
                    .into_iter()
                    .flatten()
                    .min();
                if best == Some(*position) {
                    break;
                }
            }
        }
        if best.is_some() {
            return best.map(|position| Offer {
                position,
                borrowed: false,
            });
        }
        let mut best: Option<(u64, QueuePosition)> = None;
        for lane in 0..self.root.len() {
            let over = self.root[lane].over.iter().take(LOOK);
            let found = over
                .filter_map(|(paid, member)| Some((*paid, self.first_of(*member, lane, 1)?)))
                .next();
            best = [best, found].into_iter().flatten().min();
        }
        best.map(|(_, position)| Offer {
            position,
            borrowed: true,
        })
    }

    /// Whether a statement of this cost takes what is lent by other members.
    fn borrowed(&mut self, desk: u32, cpu: f64) -> bool {
        let of = &mut self.desks[desk as usize];
        let holder = &mut self.members[of.member as usize].account;
        let owed = of.account.owes(self.till, cpu) || holder.owes(self.till, cpu);
        self.members.len() > 1 && !owed
    }

    /// The first of a desk that may have room, over all query classes.
    fn first_at(&self, desk: u32) -> Option<QueuePosition> {
        let roots = self.desks[desk as usize].roots.iter().enumerate();
        roots
            .filter_map(|(lane, root)| self.arena.first_with_room(*root, &self.frontiers[lane][0]))
            .map(|f| f.0)
            .min()
    }

    /// The first of a member in a lane that may have room: of its desks under budget, else of those over it.
    fn first_of(&self, member: u32, lane: Lane, borrowed: usize) -> Option<QueuePosition> {
        let (ranks, frontier) = (
            &self.members[member as usize].ranks[lane],
            &self.frontiers[lane][borrowed],
        );
        if frontier.closed() {
            return None;
        }
        let first = |desk: u32| {
            self.arena
                .first_with_room(self.desks[desk as usize].roots[lane], frontier)
                .map(|found| found.0)
        };
        let mut best: Option<QueuePosition> = None;
        for (position, desk) in ranks.under.iter().take(LOOK) {
            if best.is_some_and(|best| best <= *position) {
                break;
            }
            best = [best, first(*desk)].into_iter().flatten().min();
        }
        best.or_else(|| {
            ranks
                .over
                .iter()
                .take(LOOK)
                .find_map(|(_, desk)| first(*desk))
        })
    }

    /// The module has no room for it now. `useful_until`: its word anew.
    pub fn refused(&mut self, id: StatementId, borrowed: bool, useful_until: Timestamp) {
        let Some(waiter) = self.waiting.get_mut(&id) else {
            return;
        };
        let old = std::mem::replace(&mut waiter.useful_until, useful_until);
        let Waiter {
            desk,
            lane,
            need,
            key,
            in_line,
            ..
        } = *waiter;
        self.useful.remove(&(old, id));
        self.useful.insert((useful_until, id));
        if !in_line {
            return;
        }
        // A keyed one may only have to wait for its turn, which says nothing of room.
        if key.is_none() {
            // Where there is no room for what is owed, there is none for what is lent.
            let [owed, loan] = &mut self.frontiers[lane];
            loan.refused(need);
            if !borrowed {
                owed.refused(need);
            }
            // A heavy head would be passed by light ones for ever: now room is saved up for it.
            let since = self.desks[desk as usize].passed_since;
            if since.is_some_and(|since| since + self.terms.ageing + self.terms.ageing <= self.now)
            {
                loan.close();
                owed.close();
            }
        } else {
            self.out_of_line(id);
            self.parked.push(id);
        }
    }

    /// It goes to an engine: its wait is over, and its team pays.
    pub fn released(&mut self, now: Timestamp, id: StatementId, charge: f64) -> Option<Wait> {
        self.at(now);
        let waiter = self.take_out(id)?;
        let class = waiter.lane;
        let real = now - waiter.entered;
        if waiter.seen || waiter.raw == 0.0 {
            self.records[class].was(waiter.raw, real);
        }
        if real > TimeDelta::ZERO {
            let Desk { paces, pace, .. } = &mut self.desks[waiter.desk as usize];
            for pace in [&mut paces[class], pace, &mut self.whole] {
                pace.released(now, self.cores, waiter.need.cpu);
            }
        }
        let waits = |(_, desk): &&(Timestamp, u32)| {
            *desk != waiter.desk && !self.desks[*desk as usize].roots[class].is_empty()
        };
        if let Some((since, _)) = self.passed.iter().take(LOOK).find(waits) {
            self.longest_passed = self.longest_passed.max(now - *since);
        }
        if let Some(passed) = self.desks[waiter.desk as usize].passed_since {
            self.passed.remove(&(passed, waiter.desk));
            self.passed.insert((now, waiter.desk));
            self.desks[waiter.desk as usize].passed_since = Some(now);
        }
        self.pay(id, waiter.desk, charge);
        Some(waiter.wait(now, id))
    }

    fn pay(&mut self, id: StatementId, desk: u32, cpu: f64) {
        let now = self.till;
        let of = &mut self.desks[desk as usize];
        let member = of.member;
        let holder = &mut self.members[member as usize];
        let borrowed = (holder.account.borrowed(), of.account.borrowed());
        let desk_owes = of.account.owes(now, cpu);
        // What is owed to a desk is owed to its member, whatever that used for its others.
        let holder_owes = desk_owes || holder.account.owes(now, cpu);
        let by = (
            holder.account.pay(now, cpu, holder_owes),
            of.account.pay(now, cpu, desk_owes),
        );
        if by.0 == Paid::Lent {
            self.lent_now = self.lent_now.max(borrowed.0);
        }
        if by.1 == Paid::Lent {
            holder.lent_now = holder.lent_now.max(borrowed.1);
        }
        self.charges.insert(
            id,
            Charge {
                desk,
                member,
                by,
                cpu,
            },
        );
        self.show_desk(desk);
    }

    /// One more attempt of a statement that was released before: its team pays for that too.
    pub fn repeated(&mut self, now: Timestamp, id: StatementId, cpu: f64) {
        self.at(now);
        if let Some(charge) = self.charges.remove(&id) {
            self.pay(id, charge.desk, cpu);
        }
    }

    /// What an attempt came to: `Some` CPU seconds where told, zero where it is known not to have run.
    pub fn came_to(&mut self, now: Timestamp, id: StatementId, cpu: Option<f64>) {
        self.at(now);
        let (Some(charge), Some(cpu)) = (self.charges.get_mut(&id), cpu) else {
            return;
        };
        let more = cpu - std::mem::replace(&mut charge.cpu, cpu);
        let charge = *charge;
        self.members[charge.member as usize]
            .account
            .correct(self.till, charge.by.0, more);
        self.desks[charge.desk as usize]
            .account
            .correct(self.till, charge.by.1, more);
        self.show_desk(charge.desk);
    }

    /// Nothing more comes of it.
    pub fn over(&mut self, id: StatementId) {
        self.charges.remove(&id);
    }

    /// Rejected, or its client left: out of line. `None`: it did not wait.
    pub fn left(&mut self, now: Timestamp, id: StatementId) -> Option<Wait> {
        self.at(now);
        self.take_out(id).map(|waiter| waiter.wait(now, id))
    }

    /// Those whose use has ended: the module is to be asked about them once more.
    pub fn past(&self, now: Timestamp) -> Vec<QueuePosition> {
        let past = self.useful.iter().take_while(|(at, _)| *at <= now);
        past.filter_map(|(_, id)| Some(self.waiting.get(id)?.position))
            .collect()
    }

    /// The gateway ends: nothing waits up to then without being asked about once more.
    pub fn drain_deadline(&mut self, by: Timestamp) {
        let by = by + TimeDelta::from_secs(-0.05);
        self.useful.clear();
        for (id, waiter) in &mut self.waiting {
            waiter.useful_until = waiter.useful_until.min(by);
            self.useful.insert((waiter.useful_until, *id));
        }
    }

    pub fn waited(&self, now: Timestamp, id: StatementId) -> Option<TimeDelta> {
        self.waiting.get(&id).map(|waiter| now - waiter.entered)
    }

    fn line_up(&mut self, id: StatementId) {
        let Some(waiter) = self.waiting.get_mut(&id) else {
            return;
        };
        waiter.in_line = true;
        let Waiter {
            desk,
            lane,
            position,
            need,
            ..
        } = *waiter;
        let (now, cores) = (self.now, self.cores);
        let of = &mut self.desks[desk as usize];
        let first = of.count == 0;
        if of.roots[lane].is_empty() {
            of.paces[lane].waits(now, cores, true);
        }
        self.arena.insert(&mut of.roots[lane], position, need);
        let old = bits(of.cpu / owed(of));
        (of.count, of.cpu) = (of.count + 1, of.cpu + need.cpu);
        if first {
            of.pace.waits(now, cores, true);
            of.passed_since = Some(now);
            self.passed.insert((now, desk));
            let member = &mut self.members[of.member as usize];
            of.account.join(member.lent_now);
            if member.waiting == 0 {
                member.account.join(self.lent_now);
            }
            member.waiting += 1;
        } else {
            self.heavy.remove(&(old, desk));
        }
        self.heavy.insert((bits(of.cpu / owed(of)), desk));
        if self.count == 0 {
            self.whole.waits(now, cores, true);
        }
        (self.count, self.cpu) = (self.count + 1, self.cpu + need.cpu);
        self.show_desk(desk);
    }

    fn out_of_line(&mut self, id: StatementId) {
        let Some(waiter) = self.waiting.get_mut(&id).filter(|waiter| waiter.in_line) else {
            return;
        };
        waiter.in_line = false;
        let Waiter {
            desk,
            lane,
            position,
            need,
            ..
        } = *waiter;
        let (now, cores) = (self.now, self.cores);
        let of = &mut self.desks[desk as usize];
        self.arena.remove(&mut of.roots[lane], position);
        self.heavy.remove(&(bits(of.cpu / owed(of)), desk));
        (of.count, of.cpu) = (of.count - 1, (of.cpu - need.cpu).max(0.0));
        if of.roots[lane].is_empty() {
            of.paces[lane].waits(now, cores, false);
        }
        if of.count == 0 {
            // Sums of floats leave a rest.
            of.cpu = 0.0;
            of.pace.waits(now, cores, false);
            if let Some(since) = of.passed_since.take() {
                self.passed.remove(&(since, desk));
            }
            self.members[of.member as usize].waiting -= 1;
        } else {
            self.heavy.insert((bits(of.cpu / owed(of)), desk));
        }
        (self.count, self.cpu) = (self.count - 1, (self.cpu - need.cpu).max(0.0));
        if self.count == 0 {
            self.cpu = 0.0;
            self.whole.waits(now, cores, false);
        }
        self.show_desk(desk);
    }

    fn take_out(&mut self, id: StatementId) -> Option<Waiter> {
        self.out_of_line(id);
        let waiter = self.waiting.remove(&id)?;
        self.useful.remove(&(waiter.useful_until, id));
        if let Some(key) = waiter.key
            && let Some(line) = self.keys.get_mut(&key)
        {
            line.retain(|other| *other != id);
            match line.front().copied() {
                None => drop(self.keys.remove(&key)),
                Some(first) if self.waiting.get(&first).is_some_and(|next| !next.in_line) => {
                    if !self.parked.contains(&first) {
                        self.line_up(first);
                    }
                }
                Some(_) => {}
            }
        }
        Some(waiter)
    }

    /// Puts a desk where it now belongs among its member's, lane by lane, and the member among all.
    fn show_desk(&mut self, at: u32) {
        let now = self.till;
        let desk = &mut self.desks[at as usize];
        let borrowed = bits(desk.account.borrowed());
        let member = &mut self.members[desk.member as usize];
        let alone = member.desks.len() == 1;
        let mut refill: Option<Timestamp> = None;
        for lane in 0..desk.roots.len() {
            let shown = self.arena.first(desk.roots[lane]).map(|(position, need)| {
                // Alone it has nobody to stand behind.
                if alone || desk.account.owes(now, need.cpu) {
                    return Shown::Under(position);
                }
                refill = [refill, desk.account.owes_at(now, need.cpu)]
                    .into_iter()
                    .flatten()
                    .min();
                Shown::Over(borrowed)
            });
            member.ranks[lane].change(at, &mut desk.shown[lane], shown);
        }
        let of = desk.member;
        self.refill(Team::Desk(at), refill);
        self.show_member(of);
    }

    fn show_member(&mut self, at: u32) {
        let (now, alone) = (self.till, self.members.len() == 1);
        let member = &mut self.members[at as usize];
        let borrowed = bits(member.account.borrowed());
        let mut refill: Option<Timestamp> = None;
        for lane in 0..member.ranks.len() {
            let ranks = &member.ranks[lane];
            let first = ranks
                .first()
                .and_then(|desk| self.arena.first(self.desks[desk as usize].roots[lane]));
            let desk_owed = member.desks.len() > 1 && !ranks.under.is_empty();
            let shown = first.map(|(position, need)| {
                if alone || desk_owed || member.account.owes(now, need.cpu) {
                    return Shown::Under(position);
                }
                refill = [refill, member.account.owes_at(now, need.cpu)]
                    .into_iter()
                    .flatten()
                    .min();
                Shown::Over(borrowed)
            });
            self.root[lane].change(at, &mut member.shown[lane], shown);
        }
        self.refill(Team::Member(at), refill);
    }

    fn refill(&mut self, team: Team, at: Option<Timestamp>) {
        let old = self.refill_at.get(&team).copied();
        if old == at {
            return;
        }
        if let Some(old) = old {
            self.refills.remove(&(old, team));
        }
        match at {
            Some(at) => {
                self.refills.insert((at, team));
                self.refill_at.insert(team, at);
            }
            None => drop(self.refill_at.remove(&team)),
        }
    }

    /// Seconds until a statement at this place would leave, by the work ahead of it and how fast such work leaves.
    fn raw(&mut self, desk: u32, lane: Lane, position: QueuePosition, need: Need) -> f64 {
        let (now, cores, class) = (self.now, self.cores, lane);
        let of = &self.desks[desk as usize];
        let ahead = self.arena.ahead(of.roots[lane], position).1;
        let nothing = of.roots[lane].is_empty();
        let borrowed = usize::from(self.borrowed(desk, need.cpu));
        if nothing && self.frontiers[lane][borrowed].may_have_room(need) {
            return 0.0;
        }
        let of = &mut self.desks[desk as usize];
        // At a desk where nothing waited of late, its part of what all get is the best word there is.
        let part = of.account.claim().budget / self.owed.max(1e-9);
        let all = self.whole.rate(now, cores, cores * LIKELY);
        let desk = of.pace.rate(now, cores, all * part.clamp(0.01, 1.0));
        let rate = of.paces[class].rate(now, cores, desk);
        ((ahead + 0.5 * need.cpu) / rate.max(1e-3)).min(3600.0)
    }

    fn back(&mut self, waiter: &Waiter) -> TimeDelta {
        let raw = self.raw(waiter.desk, waiter.lane, waiter.position, waiter.need);
        self.records[waiter.lane].tell(raw).wait
    }

    /// The wait still before a statement.
    pub fn estimate(&mut self, now: Timestamp, id: StatementId) -> Option<Estimate> {
        self.at(now);
        let waiter = *self.waiting.get(&id)?;
        let raw = self.raw(waiter.desk, waiter.lane, waiter.position, waiter.need);
        Some(self.records[waiter.lane].tell(raw))
    }

    pub fn statement(&mut self, now: Timestamp, id: StatementId) -> Option<StatementStatus> {
        let left = self.estimate(now, id)?;
        let waiter = self.waiting.get(&id)?;
        let desk = &self.desks[waiter.desk as usize];
        Some(StatementStatus {
            member: self.members[desk.member as usize].name.clone(),
            desk: desk.name.clone(),
            ahead: self.arena.ahead(desk.roots[waiter.lane], waiter.position).0,
            waited: now - waiter.entered,
            left,
        })
    }

    /// Every desk where something waits, then as many of the others as `most` allows.
    pub fn status(&mut self, now: Timestamp, most: usize) -> Vec<DeskStatus> {
        self.at(now);
        let busy: Vec<u32> = self
            .heavy
            .iter()
            .rev()
            .map(|(_, desk)| *desk)
            .take(most)
            .collect();
        let idle =
            (0..self.desks.len() as u32).filter(|desk| self.desks[*desk as usize].count == 0);
        let mut shown: Vec<u32> = idle.take(most - busy.len()).chain(busy).collect();
        shown.sort_unstable();
        shown
            .into_iter()
            .map(|desk| self.desk_status(now, desk))
            .collect()
    }

    fn desk_status(&mut self, now: Timestamp, at: u32) -> DeskStatus {
        let last = QueuePosition {
            deadline: now + TimeDelta::from_secs(3e9),
            id: StatementId(u64::MAX),
            over_quota: true,
        };
        let mut next = Vec::new();
        for class in 0..self.classes {
            let need = Need {
                cpu: self.usual[class],
                memory_mb: 0.0,
            };
            let raw = self.raw(at, class, last, need);
            next.push(self.records[class].tell(raw));
        }
        let cores = self.cores;
        let desk = &mut self.desks[at as usize];
        let oldest = desk
            .roots
            .iter()
            .filter_map(|root| self.arena.first(*root))
            .map(|first| first.0.id)
            .min();
        let oldest = oldest.and_then(|id| self.waiting.get(&id));
        DeskStatus {
            member: self.members[desk.member as usize].name.clone(),
            desk: desk.name.clone(),
            waiting: desk.count,
            cpu: desk.cpu,
            budget: desk.account.claim().budget,
            rate: desk.pace.known(now, cores),
            saved: desk.account.saved(self.till),
            longest: oldest.map_or(TimeDelta::ZERO, |waiter| now - waiter.entered),
            next,
        }
    }

    /// The longest that the first of any desk has been passed over by a statement of the same query class, so far.
    pub fn longest_passed(&self) -> TimeDelta {
        self.longest_passed
    }

    /// Other terms, with all that waits: at the desk of the same names, else at its member's default one, else at the
    /// first member's. Accounts of teams that stay keep what they have used.
    pub fn change(&mut self, now: Timestamp, terms: Terms) {
        self.at(now);
        let mut waiting: Vec<(StatementId, Waiter)> = Vec::with_capacity(self.waiting.len());
        let ids: Vec<StatementId> = self.waiting.keys().copied().collect();
        let keys = std::mem::take(&mut self.keys);
        for id in ids {
            waiting.extend(self.take_out(id).map(|waiter| (id, waiter)));
        }
        let old_desks = std::mem::take(&mut self.desks);
        let old_members = std::mem::take(&mut self.members);
        (self.refills, self.refill_at) = (BTreeSet::new(), BTreeMap::new());
        (self.passed, self.heavy) = (BTreeSet::new(), BTreeSet::new());
        self.root = vec![Ranks::default(); self.classes];
        self.terms = terms;
        self.lay_out();
        let (till, burst, leased) = (self.till, self.terms.burst, self.leased);
        if leased {
            // What the terms say is all gateways' together.
            self.members
                .iter_mut()
                .for_each(|member| member.account.lease(till, 0.0));
            self.desks
                .iter_mut()
                .for_each(|desk| desk.account.lease(till, 0.0));
        }
        let keep = |account: &mut Account, claim: crate::terms::Claim| {
            if leased {
                account.hold(till, claim.weight, burst)
            } else {
                account.change(till, claim, burst)
            }
        };
        let by_name: BTreeMap<&str, u32> = self
            .members
            .iter()
            .enumerate()
            .map(|(at, member)| (member.name.as_str(), at as u32))
            .collect();
        let member_now: Vec<Option<u32>> = old_members
            .iter()
            .map(|old| by_name.get(old.name.as_str()).copied())
            .collect();
        let same = |name: &str, desk: &u32| self.desks[*desk as usize].name == name;
        let desk_now: Vec<(u32, bool)> = old_desks
            .iter()
            .map(|old| {
                let member = &self.members[member_now[old.member as usize].unwrap_or(0) as usize];
                let kept = member
                    .desks
                    .iter()
                    .copied()
                    .find(|desk| same(&old.name, desk));
                let kept = kept.filter(|_| member_now[old.member as usize].is_some());
                (kept.unwrap_or(member.desks[0]), kept.is_some())
            })
            .collect();
        for (old, now_at) in old_members.iter().zip(&member_now) {
            let Some(member) = now_at.map(|at| &mut self.members[at as usize]) else {
                continue;
            };
            let claim = member.account.claim();
            member.account = old.account.clone();
            member.wanted = old.wanted;
            keep(&mut member.account, claim);
            member.lent_now = old.lent_now;
        }
        for (old, (at, _)) in old_desks
            .into_iter()
            .zip(&desk_now)
            .filter(|(_, (_, kept))| *kept)
        {
            let desk = &mut self.desks[*at as usize];
            let claim = desk.account.claim();
            (desk.account, desk.paces, desk.pace) = (old.account, old.paces, old.pace);
            keep(&mut desk.account, claim);
        }
        for charge in self.charges.values_mut() {
            charge.desk = desk_now[charge.desk as usize].0;
            charge.member = self.desks[charge.desk as usize].member;
        }
        self.keys = keys;
        for (id, waiter) in waiting {
            let desk = desk_now[waiter.desk as usize].0;
            self.useful.insert((waiter.useful_until, id));
            self.waiting.insert(
                id,
                Waiter {
                    desk,
                    in_line: false,
                    ..waiter
                },
            );
            let first = waiter
                .key
                .is_none_or(|key| self.keys[&key].front() == Some(&id));
            if first {
                self.line_up(id);
            }
        }
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    pub fn member_of(&self, desk: DeskId) -> Option<MemberId> {
        self.desks
            .get(desk.0 as usize)
            .map(|desk| MemberId(desk.member))
    }
}

/// What a desk's waiting work is weighed by: nothing owed is not nothing, or one such desk would always weigh most.
fn owed(desk: &Desk) -> f64 {
    desk.account.claim().budget.max(0.01)
}
