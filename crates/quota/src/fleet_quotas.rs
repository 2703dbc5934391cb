//! What one gateway may spend of the budgets that all gateways share: the lease protocol, and for each budget a token
//! bucket that fills at the guaranteed minimum and the lease.

use std::collections::BTreeMap;

use admission::interface::{TimeDelta, Timestamp};

use crate::amount::Amount;
use crate::config::{Budget, BudgetKind, Config};
use crate::demand::DemandEstimator;
use crate::message::{HolderId, Message, Payload, RejectReason};
use crate::participant::{Event, MIN_RENEWALS_BETWEEN_REQUESTS, Participant};
use crate::status::{BudgetStatus, Status};
use crate::token_bucket::TokenBucket;

/// The demand is reported this much larger, for what grows until the next lease. What nobody demands is spread over all
/// holders anyway; a larger reserve would only lie idle where all is short: a quarter left 0.15 of the capacity unused.
const DEMAND_HEADROOM: f64 = 1.02;

/// One budget at this gateway.
#[derive(Clone, Debug)]
struct BudgetAccount {
    bucket: TokenBucket,
    demand: DemandEstimator,
    /// Units spent since the start.
    spent: f64,
    /// Units that accrued since the start.
    accrued: f64,
    /// How often [`FleetQuotas::try_spend`] found too little.
    rejected: u64,
}

impl BudgetAccount {
    fn new(now: Timestamp, rate: f64, burst: TimeDelta) -> Self {
        BudgetAccount {
            bucket: TokenBucket::empty(clock_s(now), rate, burst.secs()),
            demand: DemandEstimator::new(now),
            spent: 0.0,
            accrued: 0.0,
            rejected: 0,
        }
    }

    fn accrue_until(&mut self, until_s: f64) {
        let elapsed_s = (until_s - self.bucket.filled_until()).max(0.0);
        self.accrued += self.bucket.rate() * elapsed_s;
        self.bucket.refill(until_s);
    }

    fn spend(&mut self, amount: f64) {
        self.bucket.withdraw(amount);
        self.spent += amount;
    }
}

/// Counts of messages since the start.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Messages sent.
    pub sent: u64,
    /// Messages received that counted.
    pub accepted: u64,
    /// Messages received that did not count, by reason.
    pub rejected: BTreeMap<RejectReason, u64>,
}

/// The shared budgets of one gateway. Calls name a budget by its index in [`Config::budgets`].
///
/// `now` is the gateway's own steady clock, which nobody sets and which runs on while the machine sleeps. It does not go
/// back from one call to the next. Where something is spent it has to be read right there, not at the start of an event
/// loop's turn: the lease may have expired in between.
#[derive(Clone, Debug)]
pub struct FleetQuotas {
    participant: Participant,
    accounts: Vec<BudgetAccount>,
    /// When demands are reported next: one that moved is told before the next renewal.
    next_demand_report: Timestamp,
    metrics: Metrics,
}

/// Seconds on the steady clock.
fn clock_s(time: Timestamp) -> f64 {
    (time - Timestamp::from_secs(0.0)).secs()
}

impl FleetQuotas {
    /// The quotas of a gateway that starts now. `config` was validated; `seed` draws the jitter.
    #[must_use]
    pub fn new(now: Timestamp, id: HolderId, config: Config, seed: u64) -> Self {
        let participant = Participant::new(now, id, config, seed);
        let config = participant.config();
        let accounts = (0..config.budgets.len())
            .map(|budget| {
                let rate = participant.spendable_rate(now, budget).units();
                BudgetAccount::new(now, rate, config.burst)
            })
            .collect();
        FleetQuotas {
            participant,
            accounts,
            next_demand_report: now,
            metrics: Metrics::default(),
        }
    }

    /// This gateway's part in the lease protocol.
    #[must_use]
    pub fn participant(&self) -> &Participant {
        &self.participant
    }

    /// Counts of messages since the start.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The index of a budget; none where it is not shared.
    #[must_use]
    pub fn budget_index(&self, kind: &BudgetKind) -> Option<usize> {
        self.participant.config().budget_index(kind)
    }

    /// Messages to be sent.
    pub fn take_outgoing(&mut self) -> Vec<Message> {
        let outgoing = self.participant.take_outgoing();
        self.metrics.sent += outgoing.len() as u64;
        outgoing
    }

    /// Events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.participant.take_events()
    }

    /// When [`FleetQuotas::tick`] is due next.
    #[must_use]
    pub fn next_wakeup(&self) -> Timestamp {
        self.participant.next_wakeup().min(self.next_demand_report)
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Timestamp) {
        self.settle(now);
        let until_next_report = self
            .participant
            .config()
            .renewals(MIN_RENEWALS_BETWEEN_REQUESTS);
        self.next_demand_report = now + until_next_report;
        self.report_demands(now);
        self.participant.tick(now);
        self.settle(now);
    }

    /// Takes in a message from a gateway that membership knows and authenticated.
    pub fn receive(&mut self, now: Timestamp, from: &HolderId, bytes: &[u8]) {
        self.settle(now);
        let received =
            Payload::decode(bytes).and_then(|payload| self.participant.receive(now, from, payload));
        match received {
            Ok(()) => self.metrics.accepted += 1,
            Err(reason) => *self.metrics.rejected.entry(reason).or_default() += 1,
        }
        self.settle(now);
    }

    /// The gateway leaves: its lease goes back to the leader, and only its guaranteed minimums are left to spend.
    pub fn leave(&mut self, now: Timestamp) {
        self.settle(now);
        self.participant.leave(now);
        self.settle(now);
    }

    /// Changes the budgets, see [`Participant::reconfigure`]. Savings are cut where a rate falls; debts and counts stay.
    pub fn reconfigure(&mut self, now: Timestamp, config: Config) {
        self.settle(now);
        let old_config = self.participant.config().clone();
        self.participant.reconfigure(now, config);
        let config = self.participant.config();
        let old_accounts = std::mem::take(&mut self.accounts);
        let old_indexes = config.indexes_in(&old_config);
        for (budget, old_index) in old_indexes.into_iter().enumerate() {
            let rate = self.participant.spendable_rate(now, budget).units();
            let account = match old_index {
                Some(index) => {
                    let mut account = old_accounts[index].clone();
                    account.bucket.set_rate(rate);
                    account
                }
                None => BudgetAccount::new(now, rate, config.burst),
            };
            self.accounts.push(account);
        }
    }

    /// Fills each bucket at the rate that held up to the instant at which it changed: a lease that expired while this
    /// process was suspended ended then, not now.
    fn settle(&mut self, now: Timestamp) {
        let expired = self
            .participant
            .lease_holder()
            .last_lease()
            .map(|lease| lease.expires)
            .filter(|expires| *expires <= now);
        for (budget, account) in self.accounts.iter_mut().enumerate() {
            if let Some(expired) = expired
                && clock_s(expired) > account.bucket.filled_until()
            {
                account.accrue_until(clock_s(expired));
                let guaranteed = self.participant.config().budgets[budget].guaranteed;
                account.bucket.set_rate(guaranteed.units());
            }
            account.accrue_until(clock_s(now));
            let rate = self.participant.spendable_rate(now, budget);
            account.bucket.set_rate(rate.units());
        }
    }

    fn report_demands(&mut self, now: Timestamp) {
        for (budget, account) in self.accounts.iter_mut().enumerate() {
            account.demand.decay(now);
            let demand = Amount::from_units(account.demand.per_second() * DEMAND_HEADROOM);
            let guaranteed = self.participant.config().budgets[budget].guaranteed;
            self.participant
                .set_demand(budget, demand.saturating_sub(guaranteed));
        }
    }

    /// Spends `amount` of a budget if it is there; whether it was.
    pub fn try_spend(&mut self, now: Timestamp, budget: usize, amount: f64) -> bool {
        self.settle(now);
        let account = &mut self.accounts[budget];
        if !account.bucket.covers(amount) {
            account.rejected += 1;
            return false;
        }
        account.spend(amount);
        true
    }

    /// Whether `amount` of a budget could be spent now.
    pub fn can_spend(&mut self, now: Timestamp, budget: usize, amount: f64) -> bool {
        self.settle(now);
        self.accounts[budget].bucket.covers(amount)
    }

    /// What may be spent of a budget a second, for callers that keep a bucket of their own by it. They report what they
    /// spend by [`FleetQuotas::record_spent`].
    #[must_use]
    pub fn rate(&self, now: Timestamp, budget: usize) -> f64 {
        self.participant.spendable_rate(now, budget).units()
    }

    /// `amount` of a budget was spent, whether or not it was there.
    pub fn record_spent(&mut self, now: Timestamp, budget: usize, amount: f64) {
        self.settle(now);
        self.accounts[budget].spend(amount);
    }

    /// `amount` of a budget is wanted, whether or not it can be had.
    pub fn record_demand(&mut self, now: Timestamp, budget: usize, amount: f64) {
        self.accounts[budget].demand.record(now, amount);
    }

    /// Sets the demand for a budget a second, where it is known otherwise than by [`FleetQuotas::record_demand`].
    pub fn set_demand(&mut self, now: Timestamp, budget: usize, amount_per_s: f64) {
        self.accounts[budget].demand.set(now, amount_per_s);
    }

    /// What can be spent now in pieces of one unit: at least 1 where one piece can, otherwise 0.
    pub fn available_units(&mut self, now: Timestamp, budget: usize) -> f64 {
        self.settle(now);
        let bucket = &self.accounts[budget].bucket;
        if bucket.covers(1.0) {
            // A full bucket of a capacity below one unit still gives one, as a debt.
            bucket.level().max(1.0)
        } else {
            0.0
        }
    }

    /// All budgets as operators see them.
    pub fn status(&mut self, now: Timestamp) -> Status {
        self.settle(now);
        let participant = &self.participant;
        let lease = participant.lease_holder().lease(now);
        let budgets = participant
            .config()
            .budgets
            .iter()
            .enumerate()
            .map(|(index, budget)| self.budget_status(now, index, budget))
            .collect();
        Status {
            gateway: participant.id().name.clone(),
            leader: participant.leader(now).cloned(),
            is_leader: participant.is_leader(now),
            term: lease.map(|lease| lease.term),
            budgets,
        }
    }

    fn budget_status(&self, now: Timestamp, index: usize, budget: &Budget) -> BudgetStatus {
        let participant = &self.participant;
        let account = &self.accounts[index];
        let lease = participant.lease_holder().lease(now);
        let holdings = match participant.leader_state(now) {
            Some(leadership) => leadership
                .ledger()
                .holdings(now, index, participant.config()),
            None => Vec::new(),
        };
        BudgetStatus {
            budget: budget.name(),
            unit: budget.unit(),
            capacity: budget.capacity,
            guaranteed: budget.guaranteed,
            leased: participant.lease_holder().leased(now, index),
            lease_expires: lease.map(|lease| lease.expires),
            wanted: account.demand.shown_per_second(now),
            spent: account.spent,
            allowed: account.accrued,
            rejected: account.rejected,
            holdings,
        }
    }
}
