//! One gateway's part in the lease protocol: voter, candidate or leader, and holder of a lease. The model search runs on
//! this type; what is spent by its leases is in [`crate::fleet_quotas`].

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

/// Where demands or parts move, the next lease request goes sooner, but no sooner than this many renewal intervals after
/// the last.
pub(crate) const MIN_RENEWALS_BETWEEN_REQUESTS: f64 = 0.25;
/// A demand or a part moved if it changed by this fraction of what it was.
const SIGNIFICANT_CHANGE: f64 = 0.25;
/// The first lease request goes at a random time within this many renewal intervals.
const FIRST_REQUEST_WITHIN_RENEWALS: f64 = 0.2;
/// A gateway that has left does nothing; callers that ask when it is due are told a time far off.
const WAKEUP_AFTER_LEAVING: TimeDelta = TimeDelta::from_micros(3_600_000_000);

/// One gateway's state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Participant {
    id: HolderId,
    config: Config,
    seed: u64,
    /// Only where the configuration names this gateway as a voter.
    voter: Option<Voter>,
    /// Only while it asks for votes or is the leader.
    leadership: Option<LeaderState>,
    holder: LeaseHolder,
    /// What it would spend beyond its guaranteed minimums, by budget.
    demands: Vec<Amount>,
    /// The same as in the last lease request.
    reported_demands: Vec<Amount>,
    last_lease_request: Timestamp,
    /// Numbers its vote requests, and draws the jitter of its lease requests.
    request_counter: RequestId,
    /// When it may ask for votes next.
    next_vote_round: Timestamp,
    /// Rounds of vote requests since it became a candidate or was elected.
    vote_rounds: u32,
    has_left: bool,
    /// It has a lease as far as events tell.
    had_lease: bool,
    /// As the last event told.
    reported_differences: Vec<ConfigDifference>,
    /// As the last event told.
    reported_drifting: Vec<Name>,
    outgoing: Vec<Message>,
    events: Vec<Event>,
}

impl Participant {
    /// A gateway that starts now. `config` was validated. `now` is the gateway's own steady clock, which nobody sets and
    /// which runs on while the machine sleeps; so in all calls.
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
            had_lease: false,
            reported_differences: Vec::new(),
            reported_drifting: Vec::new(),
            outgoing: Vec::new(),
            events: Vec::new(),
            config,
            seed,
        }
    }

    /// This process.
    #[must_use]
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Its side as a holder.
    #[must_use]
    pub fn lease_holder(&self) -> &LeaseHolder {
        &self.holder
    }

    /// Messages to be sent.
    pub fn take_outgoing(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.outgoing)
    }

    /// Events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// What it may spend of a budget a second now: its guaranteed minimum and its lease.
    #[must_use]
    pub fn spendable_rate(&self, now: Timestamp, budget: usize) -> Amount {
        self.config.budgets[budget].guaranteed + self.holder.leased(now, budget)
    }

    /// What it would spend of a budget a second beyond its guaranteed minimum.
    pub fn set_demand(&mut self, budget: usize, demand: Amount) {
        self.demands[budget] = demand;
        let reported = self.reported_demands[budget];
        let change = reported.0.abs_diff(demand.0) as f64;
        // Measured against the guaranteed minimum too, or the first statement after a pause would count as a move.
        let basis = reported + self.config.budgets[budget].guaranteed;
        if change > basis.0 as f64 * SIGNIFICANT_CHANGE {
            self.request_lease_soon();
        }
    }

    /// Whether it is the leader now.
    #[must_use]
    pub fn is_leader(&self, now: Timestamp) -> bool {
        self.leader_state(now).is_some()
    }

    /// Its state as the leader, as long as it is.
    #[must_use]
    pub fn leader_state(&self, now: Timestamp) -> Option<&LeaderState> {
        let leadership = self.leadership.as_ref()?;
        leadership.elected(now, &self.config).map(|_| leadership)
    }

    /// The gateway that it takes for the leader: itself, the one that it voted for, or the one that others named.
    #[must_use]
    pub fn leader(&self, now: Timestamp) -> Option<&Name> {
        if self.is_leader(now) {
            return Some(&self.id.name);
        }
        self.voted_for_another(now).or(self.holder.leader.as_ref())
    }

    /// When [`Participant::tick`] is due next.
    #[must_use]
    pub fn next_wakeup(&self) -> Timestamp {
        if self.has_left {
            return self.holder.next_request + WAKEUP_AFTER_LEAVING;
        }
        let mut next = self.holder.next_request;
        if self.had_lease
            && let Some(lease) = self.holder.last_lease()
        {
            next = next.min(lease.expires);
        }
        if let Some(voter) = &self.voter {
            next = next.min(match self.leadership {
                Some(_) => self.next_vote_round,
                None => self.candidate_from(voter),
            });
        }
        next
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Timestamp) {
        if self.has_left {
            return;
        }
        self.expire(now);
        self.tick_election(now);
        if now >= self.holder.next_request {
            self.request_lease(now);
        }
    }

    /// Ends what time alone has ended. First of all in every call, so that a process that was suspended acts on nothing
    /// old.
    fn expire(&mut self, now: Timestamp) {
        let is_deposed = self
            .leadership
            .as_ref()
            .is_some_and(|leadership| leadership.is_deposed(now, &self.config));
        if is_deposed {
            self.leadership = None;
            self.record_event(Event::LostLeadership);
        }
        if self.had_lease && self.holder.lease(now).is_none() {
            self.had_lease = false;
            self.record_event(Event::LeaseExpired);
        }
    }

    /// Takes in a message from a gateway that membership knows and authenticated.
    ///
    /// # Errors
    /// The message changed nothing.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: &HolderId,
        payload: Payload,
    ) -> Result<(), RejectReason> {
        if self.has_left {
            return Ok(());
        }
        self.expire(now);
        // Any gateway may request a lease; all else comes from voters alone.
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

    /// The gateway leaves: it returns its lease and, as a leader, frees its votes for another. Its guaranteed minimums stay
    /// its own until it has ended.
    pub fn leave(&mut self, now: Timestamp) {
        self.expire(now);
        self.return_lease(now);
        self.step_down(now);
        self.has_left = true;
    }

    /// Changes the budgets, the renewal interval and the burst. Leases carry over by the budgets' names. Promises that
    /// others rely on stay as they were given: the voters, the durations, the drift and the number of gateways keep the
    /// values of the start.
    pub fn reconfigure(&mut self, now: Timestamp, config: Config) {
        self.expire(now);
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

    /// Checks what holds at every instant of this gateway's state.
    ///
    /// # Panics
    /// It does not hold.
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
            "only a voter is a candidate, for the next term at most"
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
