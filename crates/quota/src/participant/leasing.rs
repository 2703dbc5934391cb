//! Lease requests and grants, from the holder's and the leader's side.

use admission::interface::Timestamp;
use membership::Name;

use super::election::STAGGER_RENEWALS;
use super::{
    ConfigDifference, Event, MIN_RENEWALS_BETWEEN_REQUESTS, Participant, SIGNIFICANT_CHANGE,
};
use crate::amount::Amount;
use crate::lease_holder::ReceivedGrant;
use crate::message::{
    BudgetDemand, GrantedAmount, HolderId, LeaseGrant, LeaseRequest, Payload, RejectReason,
};
use crate::splitmix::splitmix64_unit;

/// The shortest time, in renewal intervals, between two regular lease requests.
const MIN_REQUEST_RENEWALS: f64 = 0.9;
/// The range of the random delay, in renewal intervals, that is added to [`MIN_REQUEST_RENEWALS`].
const REQUEST_JITTER_RENEWALS: f64 = 0.2;
/// Keeps the random numbers of the request jitter apart from other random numbers of the same seed.
const REQUEST_JITTER_SALT: u64 = 0xa5a5;
/// The largest number of entries in one event.
const MAX_ENTRIES_PER_EVENT: usize = 8;

/// The purpose of a lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestPurpose {
    /// Requests a new lease or renews the current one.
    Renew,
    /// Returns the current lease.
    Return,
}

impl Participant {
    /// Makes the next lease request due earlier, because a demand or a share has changed.
    pub(super) fn request_lease_soon(&mut self) {
        let earliest = self.renewals_after(self.last_lease_request, MIN_RENEWALS_BETWEEN_REQUESTS);
        self.holder.request_no_later_than(earliest);
    }

    /// Requests a lease from the leader. If no leader is known, the request goes to a random other
    /// voter, which may redirect it.
    pub(super) fn request_lease(&mut self, now: Timestamp) {
        self.holder.forget_silent_leader();
        let jitter = splitmix64_unit(self.seed, self.request_counter.0 ^ REQUEST_JITTER_SALT);
        let renewals = MIN_REQUEST_RENEWALS + REQUEST_JITTER_RENEWALS * jitter;
        self.holder.next_request = self.renewals_after(now, renewals);
        self.request_counter = self.request_counter.next();
        let receiver = match self.leader(now) {
            Some(leader) => Some(leader.clone()),
            None => self.random_other_voter(),
        };
        if let Some(receiver) = receiver {
            self.send_lease_request(now, &receiver, RequestPurpose::Renew);
        }
    }

    fn random_other_voter(&self) -> Option<Name> {
        let others: Vec<&Name> = self
            .config
            .voters
            .iter()
            .filter(|name| **name != self.id.name)
            .collect();
        let random_unit = splitmix64_unit(self.seed, self.request_counter.0);
        let index = (random_unit * others.len() as f64) as usize;
        others.get(index).map(|name| (*name).clone())
    }

    /// Gives up the lease and, if another gateway is the leader, tells it so.
    pub(super) fn return_lease(&mut self, now: Timestamp) {
        self.holder.release();
        let leader = self
            .leader(now)
            .filter(|leader| **leader != self.id.name)
            .cloned();
        if let Some(leader) = leader {
            self.send_lease_request(now, &leader, RequestPurpose::Return);
        }
    }

    fn send_lease_request(&mut self, now: Timestamp, to: &Name, purpose: RequestPurpose) {
        let held_lease = self.holder.lease(now).map(|lease| lease.request);
        let budgets = self.budget_demands(now);
        self.reported_demands.clone_from(&self.demands);
        self.last_lease_request = now;
        let clock_s = (now - Timestamp::from_secs(0.0)).secs();
        let request = LeaseRequest {
            request: self.holder.start_request(now, to.clone()),
            held_lease,
            leaving: purpose == RequestPurpose::Return,
            clock_ms: (clock_s * 1e3) as u64,
            budgets,
        };
        if *to == self.id.name {
            self.grant_to_self(now, &request);
        } else {
            self.send(to, Payload::LeaseRequest(request));
        }
    }

    fn budget_demands(&self, now: Timestamp) -> Vec<BudgetDemand> {
        self.config
            .budgets
            .iter()
            .enumerate()
            .map(|(index, budget)| BudgetDemand {
                budget: budget.key(),
                demand: self.demands[index],
                held: self.holder.leased(now, index),
                capacity: budget.capacity,
                guaranteed: budget.guaranteed,
            })
            .collect()
    }

    fn grant_to_self(&mut self, now: Timestamp, request: &LeaseRequest) {
        let id = self.id.clone();
        let Some(amounts) = self.grant_lease(now, &id, request) else {
            return;
        };
        let grant = ReceivedGrant {
            request: request.request,
            term: self.leader_term(),
            amounts,
        };
        // The grant answers the request that was recorded just now, so it can be neither
        // unsolicited nor stale.
        let _ = self.accept_grant(now, &id.name, &grant);
    }

    fn leader_term(&self) -> u64 {
        self.leadership
            .as_ref()
            .map_or(0, |leadership| leadership.term)
    }

    /// Decides, as the leader, what `holder` is leased of each budget, and records events about
    /// holders whose configuration differs or whose clock drifts. Returns `None` if this gateway is
    /// not the leader or the request must not be answered.
    fn grant_lease(
        &mut self,
        now: Timestamp,
        holder: &HolderId,
        request: &LeaseRequest,
    ) -> Option<Vec<Amount>> {
        let leadership = self.leadership.as_mut()?;
        let amounts = leadership.grant(now, holder, request, &self.config)?;
        let differences: Vec<ConfigDifference> = leadership
            .ledger()
            .differing_budgets(now, &self.config)
            .into_iter()
            .take(MAX_ENTRIES_PER_EVENT)
            .map(|differing| ConfigDifference {
                gateway: differing.gateway,
                budget: self.config.budgets[differing.budget].name(),
            })
            .collect();
        let drifting: Vec<Name> = leadership
            .ledger()
            .drifting_gateways()
            .take(MAX_ENTRIES_PER_EVENT)
            .cloned()
            .collect();
        self.report_differences(differences);
        self.report_drifting(drifting);
        Some(amounts)
    }

    fn report_differences(&mut self, differences: Vec<ConfigDifference>) {
        if differences != self.reported_differences {
            self.reported_differences.clone_from(&differences);
            self.record_event(Event::ConfigsDiffer(differences));
        }
    }

    fn report_drifting(&mut self, drifting: Vec<Name>) {
        if drifting != self.reported_drifting {
            self.reported_drifting.clone_from(&drifting);
            self.record_event(Event::ClocksDrift(drifting));
        }
    }

    fn accept_grant(
        &mut self,
        now: Timestamp,
        from: &Name,
        grant: &ReceivedGrant,
    ) -> Result<(), RejectReason> {
        let before = self.leased_amounts(now);
        self.holder.accept_grant(now, from, grant, &self.config)?;
        let after = self.leased_amounts(now);
        let share_changed = before
            .iter()
            .zip(&after)
            .zip(&self.demands)
            .any(|((before, after), demand)| is_significant_change(*before, *after, *demand));
        if share_changed {
            self.request_lease_soon();
        }
        if !self.lease_reported {
            self.lease_reported = true;
            self.record_event(Event::LeaseAcquired {
                leader: from.clone(),
            });
        }
        Ok(())
    }

    fn leased_amounts(&self, now: Timestamp) -> Vec<Amount> {
        (0..self.config.budgets.len())
            .map(|budget| self.holder.leased(now, budget))
            .collect()
    }

    pub(super) fn on_lease_request(
        &mut self,
        now: Timestamp,
        from: &HolderId,
        request: &LeaseRequest,
    ) -> Result<(), RejectReason> {
        if !self.is_leader(now) {
            return self.redirect(now, &from.name);
        }
        let Some(amounts) = self.grant_lease(now, from, request) else {
            return if request.leaving {
                Ok(())
            } else {
                Err(RejectReason::Stale)
            };
        };
        let amounts = self
            .config
            .budgets
            .iter()
            .zip(amounts)
            .map(|(budget, amount)| GrantedAmount {
                budget: budget.key(),
                amount,
            })
            .collect();
        let grant = LeaseGrant {
            request: request.request,
            term: self.leader_term(),
            amounts,
        };
        self.send(&from.name, Payload::LeaseGrant(grant));
        Ok(())
    }

    /// Answers a lease request that reached a voter instead of the leader, by naming the leader if
    /// this voter knows it.
    fn redirect(&mut self, now: Timestamp, holder: &Name) -> Result<(), RejectReason> {
        if self.voter.is_none() {
            return Err(RejectReason::NotAVoter);
        }
        let leader = self.other_candidate_voted_for(now).cloned();
        self.send(holder, Payload::Redirect { leader });
        Ok(())
    }

    pub(super) fn on_lease_grant(
        &mut self,
        now: Timestamp,
        from: &Name,
        grant: &LeaseGrant,
    ) -> Result<(), RejectReason> {
        let amounts = self
            .config
            .budgets
            .iter()
            .map(|budget| grant.amount_of(budget.key()))
            .collect();
        let received = ReceivedGrant {
            request: grant.request,
            term: grant.term,
            amounts,
        };
        self.accept_grant(now, from, &received)
    }

    pub(super) fn on_redirect(&mut self, now: Timestamp, from: &Name, leader: Option<Name>) {
        let leader = leader.filter(|name| self.config.is_voter(name));
        let retry_after = self.config.renewals(STAGGER_RENEWALS);
        self.holder.accept_redirect(now, from, leader, retry_after);
    }
}

/// Whether a share changed enough for the next request to be sent early. A share that fell is free
/// for other gateways only once this gateway reports that it holds less. A share that rose and is
/// still below the demand may rise further.
fn is_significant_change(before: Amount, after: Amount, demand: Amount) -> bool {
    let significant = Amount((before.0 as f64 * SIGNIFICANT_CHANGE) as u64);
    let fell = after + significant < before;
    let rose = after > before + significant;
    let is_short = after < demand;
    fell || (rose && is_short)
}
