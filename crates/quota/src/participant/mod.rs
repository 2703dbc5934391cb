//! The state machine of one gateway in the lease protocol: it holds a lease, and as a voter it also
//! votes and may become a candidate and the leader. The model search runs on this type;
//! [`crate::fleet_quotas`] tracks what is spent under the leases.

mod election;
mod event;
mod leasing;

use admission::interface::{TimeDelta, Timestamp};
use membership::Name;

use crate::amount::Amount;
use crate::config::Config;
use crate::leader::LeaderState;
use crate::lease_holder::LeaseHolder;
use crate::message::{HolderId, Message, Payload, RejectReason, RequestId};
use crate::splitmix::splitmix64_unit;
use crate::voter::Voter;

use event::MAX_EVENTS;

pub use event::{ConfigDifference, Event};

/// The shortest time, in renewal intervals, from one lease request to an early one that is sent
/// because a demand or a share has changed.
pub(crate) const MIN_RENEWALS_BETWEEN_REQUESTS: f64 = 0.25;
/// The relative change of a demand or a share that counts as significant.
const SIGNIFICANT_CHANGE: f64 = 0.25;
/// The first lease request is sent at a random time within this many renewal intervals of the
/// start.
const FIRST_REQUEST_WITHIN_RENEWALS: f64 = 0.2;
/// The time from the next lease request to the wake-up that is reported for a gateway that has left
/// the fleet. Such a gateway has nothing to do, so the time is merely long.
const WAKEUP_AFTER_LEAVING: TimeDelta = TimeDelta::from_micros(3_600_000_000);

/// The state of one gateway in the lease protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Participant {
    id: HolderId,
    config: Config,
    seed: u64,
    /// `None` unless the configuration names this gateway as a voter.
    voter: Option<Voter>,
    /// `None` unless this gateway is a candidate or the leader.
    leadership: Option<LeaderState>,
    holder: LeaseHolder,
    /// The current demand beyond the guaranteed minimum, by budget.
    demands: Vec<Amount>,
    /// The demands that the last lease request reported, by budget.
    reported_demands: Vec<Amount>,
    last_lease_request: Timestamp,
    /// Counts vote requests and lease requests. It numbers the vote requests and provides the
    /// jitter of the lease requests.
    request_counter: RequestId,
    /// The earliest time of the next round of vote requests.
    next_vote_round: Timestamp,
    /// The number of vote request rounds since this gateway became a candidate or was elected.
    vote_rounds: u32,
    has_left: bool,
    /// Whether the last lease event was [`Event::LeaseAcquired`] rather than
    /// [`Event::LeaseExpired`].
    lease_reported: bool,
    /// The differences in the last [`Event::ConfigsDiffer`].
    reported_differences: Vec<ConfigDifference>,
    /// The gateways in the last [`Event::ClocksDrift`].
    reported_drifting: Vec<Name>,
    outgoing: Vec<Message>,
    events: Vec<Event>,
}

impl Participant {
    /// The state of a gateway that starts at `now`. `config` must have been validated, and `seed`
    /// determines the jitter.
    ///
    /// In all methods `now` is this gateway's own steady clock, which nobody sets and which keeps
    /// running while the machine sleeps.
    #[must_use]
    pub fn new(now: Timestamp, id: HolderId, config: Config, seed: u64) -> Self {
        let voter = config.is_voter(&id.name).then(|| Voter::new(now, &config));
        let first_request_within_s = config.renew_interval.secs() * FIRST_REQUEST_WITHIN_RENEWALS;
        let jitter = TimeDelta::from_secs(first_request_within_s * splitmix64_unit(seed, 0));
        Participant {
            id,
            voter,
            leadership: None,
            holder: LeaseHolder::new(now + jitter),
            demands: vec![Amount::ZERO; config.budgets.len()],
            reported_demands: vec![Amount::ZERO; config.budgets.len()],
            last_lease_request: now,
            request_counter: RequestId::default(),
            next_vote_round: now,
            vote_rounds: 0,
            has_left: false,
            lease_reported: false,
            reported_differences: Vec::new(),
            reported_drifting: Vec::new(),
            outgoing: Vec::new(),
            events: Vec::new(),
            config,
            seed,
        }
    }

    /// The name and boot ID of this gateway process.
    #[must_use]
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// This gateway's state as a holder.
    #[must_use]
    pub fn lease_holder(&self) -> &LeaseHolder {
        &self.holder
    }

    /// Takes the messages that are to be sent.
    pub fn take_outgoing(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// What this gateway may spend of a budget per second at `now`: the guaranteed minimum plus the
    /// leased amount.
    #[must_use]
    pub fn spendable_rate(&self, now: Timestamp, budget: usize) -> Amount {
        self.config.budgets[budget].guaranteed + self.holder.leased(now, budget)
    }

    /// Sets what this gateway would spend of a budget per second beyond its guaranteed minimum. A
    /// significant change makes the next lease request due earlier.
    pub fn set_demand(&mut self, budget: usize, demand: Amount) {
        self.demands[budget] = demand;
        let reported = self.reported_demands[budget];
        let change = reported.0.abs_diff(demand.0) as f64;
        // The baseline includes the guaranteed minimum; without it, the first statement after an
        // idle period would count as a significant change.
        let baseline = reported + self.config.budgets[budget].guaranteed;
        if change > baseline.0 as f64 * SIGNIFICANT_CHANGE {
            self.request_lease_soon();
        }
    }

    /// Whether this gateway is the leader at `now`.
    #[must_use]
    pub fn is_leader(&self, now: Timestamp) -> bool {
        self.leader_state(now).is_some()
    }

    /// The leader's state, or `None` if this gateway is not the leader at `now`.
    #[must_use]
    pub fn leader_state(&self, now: Timestamp) -> Option<&LeaderState> {
        let leadership = self.leadership.as_ref()?;
        leadership.elected_at(now, &self.config).map(|_| leadership)
    }

    /// The presumed leader: this gateway, the candidate that it voted for, or the gateway that
    /// another voter named. `None` if no leader is known.
    #[must_use]
    pub fn leader(&self, now: Timestamp) -> Option<&Name> {
        if self.is_leader(now) {
            return Some(&self.id.name);
        }
        self.other_candidate_voted_for(now)
            .or(self.holder.leader.as_ref())
    }

    /// The time at which [`Participant::tick`] is due next.
    #[must_use]
    pub fn next_wakeup(&self) -> Timestamp {
        if self.has_left {
            return self.holder.next_request + WAKEUP_AFTER_LEAVING;
        }
        let mut next = self.holder.next_request;
        if self.lease_reported
            && let Some(lease) = self.holder.last_lease()
        {
            next = next.min(lease.expires);
        }
        if let Some(voter) = &self.voter {
            next = next.min(match self.leadership {
                Some(_) => self.next_vote_round,
                None => self.candidacy_due(voter),
            });
        }
        next
    }

    /// Does everything that is due at `now`.
    pub fn tick(&mut self, now: Timestamp) {
        if self.has_left {
            return;
        }
        self.end_expired_state(now);
        self.tick_election(now);
        if now >= self.holder.next_request {
            self.request_lease(now);
        }
    }

    /// Ends a leadership or a lease that has expired. Every public method that changes the state at
    /// a given time calls this first, so that a process that was suspended does not act on expired
    /// state.
    fn end_expired_state(&mut self, now: Timestamp) {
        let is_deposed = self
            .leadership
            .as_ref()
            .is_some_and(|leadership| leadership.is_deposed(now, &self.config));
        if is_deposed {
            self.leadership = None;
            self.record_event(Event::LostLeadership);
        }
        if self.lease_reported && self.holder.lease(now).is_none() {
            self.lease_reported = false;
            self.record_event(Event::LeaseExpired);
        }
    }

    /// Processes a message from a gateway that membership has authenticated.
    ///
    /// # Errors
    /// Returns why the message was rejected, in which case it was not acted on.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: &HolderId,
        payload: Payload,
    ) -> Result<(), RejectReason> {
        if self.has_left {
            return Ok(());
        }
        self.end_expired_state(now);
        // Any gateway may request a lease; all other messages come from voters only.
        let is_lease_request = matches!(payload, Payload::LeaseRequest(_));
        if !is_lease_request && !self.config.is_voter(&from.name) {
            return Err(RejectReason::NotAVoter);
        }
        match payload {
            Payload::VoteRequest(request) => self.on_vote_request(now, from, request),
            Payload::Vote(vote) => {
                self.on_vote(now, &from.name, vote);
                Ok(())
            }
            Payload::StepDown { term } => {
                self.on_step_down(now, from, term);
                Ok(())
            }
            Payload::LeaseRequest(request) => self.on_lease_request(now, from, &request),
            Payload::LeaseGrant(grant) => self.on_lease_grant(now, &from.name, &grant),
            Payload::Redirect { leader } => {
                self.on_redirect(now, &from.name, leader);
                Ok(())
            }
        }
    }

    /// Leaves the fleet: returns the lease and, as the leader, releases the votes. The guaranteed
    /// minimums remain available until the process ends.
    pub fn leave(&mut self, now: Timestamp) {
        self.end_expired_state(now);
        self.return_lease(now);
        self.step_down(now);
        self.has_left = true;
    }

    /// Changes the budgets, the renewal interval and the burst; leases are carried over by the
    /// names of the budgets. The voters, the durations, the drift and the number of gateways keep
    /// their values from the start, because other gateways rely on leases and votes that were
    /// granted under them.
    pub fn reconfigure(&mut self, now: Timestamp, config: Config) {
        self.end_expired_state(now);
        let config = Config {
            lease_duration: self.config.lease_duration,
            term_duration: self.config.term_duration,
            drift_ppm: self.config.drift_ppm,
            max_gateways: self.config.max_gateways,
            voters: self.config.voters.clone(),
            ..config
        };
        let old = std::mem::replace(&mut self.config, config);
        self.holder.reconfigure(&old, &self.config);
        if let Some(leadership) = &mut self.leadership {
            leadership.reconfigure(&old, &self.config);
        }
        self.reported_demands = vec![Amount::ZERO; self.config.budgets.len()];
        self.demands = self
            .config
            .indexes_in(&old)
            .into_iter()
            .map(|index| index.map_or(Amount::ZERO, |index| self.demands[index]))
            .collect();
    }

    /// Checks the invariants of this gateway's state.
    ///
    /// # Panics
    /// Panics if an invariant does not hold.
    pub fn check_invariants(&self) {
        let budgets = self.config.budgets.len();
        assert_eq!(self.demands.len(), budgets, "a demand for each budget");
        assert_eq!(
            self.reported_demands.len(),
            budgets,
            "a reported demand for each budget"
        );
        self.holder.check_invariants(&self.config);
        let Some(leadership) = &self.leadership else {
            return;
        };
        leadership.ledger().check_invariants(&self.config);
        let highest_term = self.voter.as_ref().map(Voter::highest_term);
        assert!(
            highest_term.is_some_and(|highest| leadership.term <= highest + 1),
            "only a voter is a candidate, and its term is at most one above the highest known"
        );
    }

    fn record_event(&mut self, event: Event) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }

    fn send(&mut self, to: &Name, payload: Payload) {
        self.outgoing.push(Message {
            to: to.clone(),
            payload,
        });
    }

    fn renewals_after(&self, now: Timestamp, renewals: f64) -> Timestamp {
        now + self.config.renewals(renewals)
    }
}
