//! What a gateway's part lets it spend: buckets that fill at floor and lease, and how much of each budget it needs.

use std::collections::BTreeMap;

use admission::interface::{TimeDelta, Timestamp};
use membership::Name;

use crate::amount::Amount;
use crate::bucket::Bucket;
use crate::core::{Core, Event, Letter};
use crate::office::Holding;
use crate::terms::{Terms, Use};
use crate::word::{Refused, Who, Word};

/// A need is what was wanted over the shortest of these times in which enough came to tell: it is told soon where work is
/// dense, and chance does not move parts where it is sparse. With 2 s alone, work that moved to another gateway found half
/// of its budget there (0.51 in use); with 0.4 s alone, parts of 200 gateways jumped with single statements, and each cut
/// took what was saved (service 0.77 in place of 0.81).
const OVER_S: [f64; 4] = [0.4, 0.8, 3.0, 8.0];
const ENOUGH: f64 = 8.0;
/// Asked for beyond that, for what grows meanwhile. What nobody needs is spread anyway, so that more would only lie idle
/// where all is short: a quarter left 0.15 of the whole unused.
const AHEAD: f64 = 1.02;

/// One budget here: bucket, need, and what became of it.
#[derive(Clone, Debug)]
struct Account {
    bucket: Bucket,
    /// Wanted a second, allowed or not, and how often, over each of these times.
    wanted: [(f64, f64); OVER_S.len()],
    at: Timestamp,
    spent: f64,
    leased: f64,
    refused: u64,
}

impl Account {
    /// Of two times that both tell the larger word: what rises is told soon, a moment without work is not its end.
    fn needed(&self) -> f64 {
        let tells = |((_, often), over): &(&(f64, f64), f64)| often * over >= ENOUGH;
        let first = self
            .wanted
            .iter()
            .zip(OVER_S)
            .position(|of| tells(&of))
            .unwrap_or(OVER_S.len() - 1);
        let both = &self.wanted[first..(first + 2).min(OVER_S.len())];
        both.iter().map(|(wanted, _)| *wanted).fold(0.0, f64::max)
    }
}

/// One budget as an operator sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub budget: String,
    pub unit: &'static str,
    pub whole: Amount,
    pub floor: Amount,
    pub leased: Amount,
    pub until: Option<Timestamp>,
    /// Wanted a second of late.
    pub wanted: f64,
    /// Since the start, in units: what was spent, and what could have been.
    pub spent: f64,
    pub allowed: f64,
    pub refused: u64,
    /// At the steward: who holds how much. Empty elsewhere.
    pub holdings: Vec<Holding>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub me: Name,
    pub steward: Option<Name>,
    pub is_steward: bool,
    /// Of the steward whose lease it holds.
    pub number: Option<u64>,
    pub lines: Vec<Line>,
}

#[derive(Clone, Debug)]
pub struct Shares {
    core: Core,
    accounts: Vec<Account>,
    by_use: BTreeMap<String, usize>,
    started: Timestamp,
    /// When needs are next looked at: one that moved is told sooner than with the next renewal.
    look_at: Timestamp,
    /// Words that counted for nothing, by reason.
    pub refused: BTreeMap<Refused, u64>,
    pub sent: u64,
    pub taken: u64,
}

fn secs(at: Timestamp) -> f64 {
    (at - Timestamp::from_secs(0.0)).secs()
}

impl Shares {
    pub fn new(now: Timestamp, me: Who, terms: Terms, seed: u64) -> Self {
        let mut shares = Shares {
            core: Core::new(now, me, terms, seed),
            accounts: Vec::new(),
            by_use: BTreeMap::new(),
            started: now,
            look_at: now,
            refused: BTreeMap::new(),
            sent: 0,
            taken: 0,
        };
        shares.lay_out(now, Vec::new());
        shares
    }

    fn lay_out(&mut self, now: Timestamp, old: Vec<(Use, Account)>) {
        let terms = self.core.terms();
        let burst = terms.burst.secs();
        let account = |(at, budget): (usize, &crate::terms::Budget)| {
            let rate = self.core.may_spend(now, at).units();
            match old.iter().find(|(of, _)| *of == budget.of) {
                Some((_, account)) => {
                    let mut account = account.clone();
                    account.bucket.cut(rate);
                    account
                }
                None => {
                    let bucket = Bucket::empty(secs(now), rate, burst);
                    Account {
                        bucket,
                        wanted: Default::default(),
                        at: now,
                        spent: 0.0,
                        leased: 0.0,
                        refused: 0,
                    }
                }
            }
        };
        self.accounts = terms.budgets.iter().enumerate().map(account).collect();
        self.by_use = terms
            .budgets
            .iter()
            .enumerate()
            .map(|(at, budget)| (budget.name(), at))
            .collect();
    }

    pub fn core(&self) -> &Core {
        &self.core
    }

    /// The place of a budget, for the calls below.
    pub fn find(&self, of: &Use) -> Option<usize> {
        self.core
            .terms()
            .budgets
            .iter()
            .position(|budget| budget.of == *of)
    }

    pub fn named(&self, name: &str) -> Option<usize> {
        self.by_use.get(name).copied()
    }

    pub fn take_out(&mut self) -> Vec<Letter> {
        let out = self.core.take_out();
        self.sent += out.len() as u64;
        out
    }

    pub fn take_events(&mut self) -> Vec<Event> {
        self.core.take_events()
    }

    pub fn due(&self) -> Timestamp {
        self.core.due().min(self.look_at)
    }

    /// Fills each bucket at what was held, up to the instant at which that changed: a lease that ended while this process
    /// stood still ended then, not now.
    fn settle(&mut self, now: Timestamp) {
        let until = self.core.holder().last().map(|lease| lease.until);
        for at in 0..self.accounts.len() {
            let account = &mut self.accounts[at];
            let fill = |account: &mut Account, to: f64| {
                let gone = (to - account.bucket.at()).max(0.0);
                account.leased += account.bucket.rate() * gone;
                account.bucket.fill(to);
            };
            let floor = self.core.terms().budgets[at].floor.units();
            if let Some(until) =
                until.filter(|until| *until <= now && secs(*until) > account.bucket.at())
            {
                fill(account, secs(until));
                account.bucket.cut(floor);
            }
            fill(account, secs(now));
            account.bucket.cut(self.core.may_spend(now, at).units());
        }
    }

    fn want(account: &mut Account, now: Timestamp, amount: f64) {
        let gone = (now - account.at).secs().max(0.0);
        account.at = account.at.max(now);
        let came = if amount > 0.0 { 1.0 } else { 0.0 };
        for ((wanted, often), over) in account.wanted.iter_mut().zip(OVER_S) {
            let keep = (-gone / over).exp();
            (*wanted, *often) = (*wanted * keep + amount / over, *often * keep + came / over);
        }
    }

    /// Spends so much of a budget, if it is there. `now` has to be read at the point of use: what is held may have ended
    /// since this turn of a loop began.
    pub fn spend(&mut self, now: Timestamp, at: usize, amount: f64) -> bool {
        self.settle(now);
        let account = &mut self.accounts[at];
        if !account.bucket.owes(amount) {
            account.refused += 1;
            return false;
        }
        account.bucket.pay(amount);
        account.spent += amount;
        true
    }

    /// Whether so much could be spent now.
    pub fn room(&mut self, now: Timestamp, at: usize, amount: f64) -> bool {
        self.settle(now);
        self.accounts[at].bucket.owes(amount)
    }

    /// What may be spent a second, for those who keep their own buckets by it: they tell what they spend by `spent`.
    pub fn rate(&mut self, now: Timestamp, at: usize) -> f64 {
        self.core.may_spend(now, at).units()
    }

    /// Spent at a place that keeps its own bucket.
    pub fn spent(&mut self, now: Timestamp, at: usize, amount: f64) {
        self.settle(now);
        self.accounts[at].bucket.pay(amount);
        self.accounts[at].spent += amount;
    }

    /// Wanted there, whether or not it can be had.
    pub fn wants(&mut self, now: Timestamp, at: usize, amount: f64) {
        Self::want(&mut self.accounts[at], now, amount);
    }

    /// What is there for things of one unit each: at least one where one can go, for a debt, or nothing.
    pub fn left(&mut self, now: Timestamp, at: usize) -> f64 {
        self.settle(now);
        let bucket = &self.accounts[at].bucket;
        if bucket.owes(1.0) {
            bucket.level().max(1.0)
        } else {
            0.0
        }
    }

    /// What it needs a second, where that is known otherwise than by what was wanted.
    pub fn needs_at(&mut self, now: Timestamp, at: usize, rate: f64) {
        let account = &mut self.accounts[at];
        (account.wanted, account.at) = ([(rate, f64::INFINITY); OVER_S.len()], now);
    }

    fn needs(&mut self, now: Timestamp) {
        for at in 0..self.accounts.len() {
            let account = &mut self.accounts[at];
            Self::want(account, now, 0.0);
            let need = Amount::of(account.needed() * AHEAD);
            let floor = self.core.terms().budgets[at].floor;
            self.core.needs(at, need.less(floor));
        }
    }

    pub fn turn(&mut self, now: Timestamp) {
        self.settle(now);
        self.look_at =
            now + TimeDelta::from_secs(self.core.terms().renew.secs() * crate::core::SOON);
        self.needs(now);
        self.core.turn(now);
        self.settle(now);
    }

    /// A word from a gateway that is known, at its own address.
    pub fn receive(&mut self, now: Timestamp, from: &Who, bytes: &[u8]) {
        self.settle(now);
        let counted = Word::read(bytes).and_then(|word| self.core.receive(now, from, word));
        match counted {
            Ok(()) => self.taken += 1,
            Err(why) => *self.refused.entry(why).or_default() += 1,
        }
        self.settle(now);
    }

    /// All that is leased goes back, and nothing is spent from here on.
    pub fn leave(&mut self, now: Timestamp) {
        self.settle(now);
        self.core.leave(now);
        self.settle(now);
    }

    /// Budgets, whole and floors from now on: savings are cut with a part that shrinks, debts and counts stay.
    pub fn change(&mut self, now: Timestamp, terms: Terms) {
        self.settle(now);
        let uses: Vec<Use> = self
            .core
            .terms()
            .budgets
            .iter()
            .map(|budget| budget.of.clone())
            .collect();
        let old = uses
            .into_iter()
            .zip(std::mem::take(&mut self.accounts))
            .collect();
        self.core.change(now, terms);
        self.lay_out(now, old);
    }

    pub fn status(&mut self, now: Timestamp) -> Status {
        self.settle(now);
        let core = &self.core;
        let line = |(at, budget): (usize, &crate::terms::Budget)| {
            let account = &self.accounts[at];
            let gone = (now - account.at).secs().max(0.0);
            Line {
                budget: budget.name(),
                unit: budget.unit(),
                whole: budget.whole,
                floor: budget.floor,
                leased: core.holder().held(now, at),
                until: core.holder().lease(now).map(|lease| lease.until),
                wanted: account.wanted[2].0 * (-gone / OVER_S[2]).exp(),
                spent: account.spent,
                allowed: account.leased,
                refused: account.refused,
                holdings: core
                    .office(now)
                    .map(|office| office.holdings(now, at, core.terms()))
                    .unwrap_or_default(),
            }
        };
        Status {
            me: core.me().name.clone(),
            steward: core.steward(now).cloned(),
            is_steward: core.is_steward(now),
            number: core.holder().lease(now).map(|lease| lease.number),
            lines: core.terms().budgets.iter().enumerate().map(line).collect(),
        }
    }

    pub fn since(&self, now: Timestamp) -> TimeDelta {
        now - self.started
    }
}
