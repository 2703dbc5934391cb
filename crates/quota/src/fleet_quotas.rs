//! The budgets that all gateways share, as one gateway spends them: the lease protocol, and one
//! token bucket per budget whose rate is the guaranteed minimum plus the leased amount.

use std::collections::BTreeMap;

use admission::interface::{TimeDelta, Timestamp};

use crate::amount::Amount;
use crate::config::{Budget, BudgetKind, Config};
use crate::demand::DemandEstimator;
use crate::message::{HolderId, Message, Payload, RejectReason};
use crate::participant::{Event, MIN_RENEWALS_BETWEEN_REQUESTS, Participant};
use crate::status::{BudgetStatus, Status};
use crate::token_bucket::TokenBucket;

/// The factor by which the reported demand exceeds the estimate, to cover growth until the next
/// lease. Capacity that nobody demands is distributed to all holders anyway, and a larger reserve
/// lies idle when a budget is short: a factor of 1.25 left 0.15 of the capacity unused.
const DEMAND_HEADROOM: f64 = 1.02;

/// The state of one budget at this gateway.
#[derive(Clone, Debug)]
struct BudgetAccount {
    bucket: TokenBucket,
    demand: DemandEstimator,
    /// The number of units spent since the start.
    spent: f64,
    /// The number of units that accrued since the start.
    accrued: f64,
    /// The number of times that [`FleetQuotas::try_spend`] was refused.
    rejected: u64,
}

impl BudgetAccount {
    fn new(now: Timestamp, rate: f64, burst: TimeDelta) -> Self {
        BudgetAccount {
            bucket: TokenBucket::empty(clock_secs(now), rate, burst.secs()),
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

/// Message counts since the start.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// The number of messages sent.
    pub sent: u64,
    /// The number of received messages that were accepted.
    pub accepted: u64,
    /// The number of received messages that were rejected, by reason.
    pub rejected: BTreeMap<RejectReason, u64>,
}

/// The shared budgets of one gateway. Methods identify a budget by its index in
/// [`Config::budgets`].
///
/// `now` is the gateway's own steady clock, which nobody sets and which keeps running while the
/// machine sleeps. It must not go back from one call to the next. A caller that spends must read
/// the clock right before the call rather than at the start of an event loop iteration, since the
/// lease may have expired in between.
#[derive(Clone, Debug)]
pub struct FleetQuotas {
    participant: Participant,
    accounts: Vec<BudgetAccount>,
    /// The time of the next demand report. Reports are more frequent than lease renewals, so that a
    /// changed demand can make the next lease request due earlier.
    next_demand_report: Timestamp,
    metrics: Metrics,
}

/// Converts a time of the steady clock to seconds.
fn clock_secs(time: Timestamp) -> f64 {
    (time - Timestamp::from_secs(0.0)).secs()
}

impl FleetQuotas {
    /// The quotas of a gateway that starts at `now`. `config` must have been validated, and `seed`
    /// determines the jitter.
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

    /// The state of this gateway in the lease protocol.
    #[must_use]
    pub fn participant(&self) -> &Participant {
        &self.participant
    }

    /// Message counts since the start.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The index of a budget, or `None` if the configuration does not contain it.
    #[must_use]
    pub fn budget_index(&self, kind: &BudgetKind) -> Option<usize> {
        self.participant.config().budget_index(kind)
    }

    /// Takes the messages that are to be sent.
    pub fn take_outgoing(&mut self) -> Vec<Message> {
        let outgoing = self.participant.take_outgoing();
        self.metrics.sent += outgoing.len() as u64;
        outgoing
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.participant.take_events()
    }

    /// The time at which [`FleetQuotas::tick`] is due next.
    #[must_use]
    pub fn next_wakeup(&self) -> Timestamp {
        self.participant.next_wakeup().min(self.next_demand_report)
    }

    /// Does everything that is due at `now`.
    pub fn tick(&mut self, now: Timestamp) {
        self.refill_buckets(now);
        let until_next_report = self
            .participant
            .config()
            .renewals(MIN_RENEWALS_BETWEEN_REQUESTS);
        self.next_demand_report = now + until_next_report;
        self.report_demands(now);
        self.participant.tick(now);
        self.refill_buckets(now);
    }

    /// Decodes and processes a message from a gateway that membership has authenticated.
    pub fn receive(&mut self, now: Timestamp, from: &HolderId, bytes: &[u8]) {
        self.refill_buckets(now);
        let received =
            Payload::decode(bytes).and_then(|payload| self.participant.receive(now, from, payload));
        match received {
            Ok(()) => self.metrics.accepted += 1,
            Err(reason) => *self.metrics.rejected.entry(reason).or_default() += 1,
        }
        self.refill_buckets(now);
    }

    /// Leaves the fleet: returns the lease, after which only the guaranteed minimums can be spent.
    pub fn leave(&mut self, now: Timestamp) {
        self.refill_buckets(now);
        self.participant.leave(now);
        self.refill_buckets(now);
    }

    /// Changes the budgets as described at [`Participant::reconfigure`]. Saved tokens are limited
    /// to the new capacities; debts and counts stay. The buckets of budgets that existed before keep
    /// their burst time.
    pub fn reconfigure(&mut self, now: Timestamp, config: Config) {
        self.refill_buckets(now);
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

    /// Refills each bucket up to `now` and sets its current rate. The leased rate counts only until
    /// the lease expired, even if this process was suspended at that time.
    fn refill_buckets(&mut self, now: Timestamp) {
        let expired = self
            .participant
            .lease_holder()
            .last_lease()
            .map(|lease| lease.expires)
            .filter(|expires| *expires <= now);
        for (budget, account) in self.accounts.iter_mut().enumerate() {
            if let Some(expired) = expired
                && clock_secs(expired) > account.bucket.filled_until()
            {
                account.accrue_until(clock_secs(expired));
                let guaranteed = self.participant.config().budgets[budget].guaranteed;
                account.bucket.set_rate(guaranteed.units());
            }
            account.accrue_until(clock_secs(now));
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

    /// Spends `amount` of a budget if the bucket covers it, and returns whether it did.
    pub fn try_spend(&mut self, now: Timestamp, budget: usize, amount: f64) -> bool {
        self.refill_buckets(now);
        let account = &mut self.accounts[budget];
        if !account.bucket.covers(amount) {
            account.rejected += 1;
            return false;
        }
        account.spend(amount);
        true
    }

    /// Whether `amount` of a budget could be spent at `now`.
    pub fn can_spend(&mut self, now: Timestamp, budget: usize, amount: f64) -> bool {
        self.refill_buckets(now);
        self.accounts[budget].bucket.covers(amount)
    }

    /// What may be spent of a budget per second, for a caller that keeps its own bucket at this
    /// rate. Such a caller reports what it spends with [`FleetQuotas::record_spent`].
    #[must_use]
    pub fn rate(&self, now: Timestamp, budget: usize) -> f64 {
        self.participant.spendable_rate(now, budget).units()
    }

    /// Records that `amount` of a budget was spent, whether or not the bucket covers it.
    pub fn record_spent(&mut self, now: Timestamp, budget: usize, amount: f64) {
        self.refill_buckets(now);
        self.accounts[budget].spend(amount);
    }

    /// Records that `amount` of a budget is requested, whether or not it can be spent.
    pub fn record_demand(&mut self, now: Timestamp, budget: usize, amount: f64) {
        self.accounts[budget].demand.record(now, amount);
    }

    /// Sets the demand for a budget in units per second, for a caller that determines it by other
    /// means than [`FleetQuotas::record_demand`].
    pub fn set_demand(&mut self, now: Timestamp, budget: usize, amount_per_s: f64) {
        self.accounts[budget].demand.set(now, amount_per_s);
    }

    /// The number of units that can be spent at `now` in steps of one unit: at least 1 if one unit
    /// can be spent, and 0 otherwise.
    pub fn available_units(&mut self, now: Timestamp, budget: usize) -> f64 {
        self.refill_buckets(now);
        let bucket = &self.accounts[budget].bucket;
        if bucket.covers(1.0) {
            // A full bucket with a capacity below one unit still covers one, which leaves a debt.
            bucket.level().max(1.0)
        } else {
            0.0
        }
    }

    /// The status of all budgets as shown to operators.
    pub fn status(&mut self, now: Timestamp) -> Status {
        self.refill_buckets(now);
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
            wanted: account.demand.recent_per_second(now),
            spent: account.spent,
            allowed: account.accrued,
            rejected: account.rejected,
            holdings,
        }
    }
}
