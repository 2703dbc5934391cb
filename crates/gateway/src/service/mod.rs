//! What ties the peers together: client news to `pick`, engine reports to `report`, and a `tick` once all
//! that is ready was read. It passes on; it decides nothing. The struct stands here; each module beside it holds one job of it.

mod attempts;
mod callers;
mod endings;
mod intake;
mod shown;

use std::collections::{BTreeMap, BTreeSet};

use admission::interface::*;
use bytes::Bytes;
use dispatch::Dispatcher;
use identity::TokenVerifier;
use scheduler::{Config as QueueConfig, QueueResolver, Scheduler, TenantQueues};
use settings::{NetworkDelay, Settings, SettingsError};
use tracing::{info, warn};

use crate::clients::{SessionId, Sessions};
use crate::counters::Counters;
use crate::discovery::DiscoveryClient;
use crate::discovery::endpoints::DiscoveryEvent;
use crate::discovery::registry::EngineRegistry;
use crate::engines::protocol::{RequestId, StatementKeys};
use crate::engines::{ConnectionId, EngineTransport};
use crate::fleet::Fleet;
use crate::fleet::parts::Flow;

/// Network fact: the longest time that what has left is on its way to an engine.
pub const WAY: NetworkDelay = NetworkDelay(TimeDelta::from_micros(50_000));
/// How long after its deadline a statement may still be without the decisions' answer, within its budget.
const OVERDUE_S: f64 = 0.004;
/// How often those that wait are told of their progress, where their client takes it.
const PROGRESS_S: f64 = 1.0;
/// How often what the decisions hold is compared with the sockets: far below what a difference could do harm in.
const CHECK_S: f64 = 0.5;

/// A statement from its reading to its answer and the end of its last attempt; the text is dropped with the answer.
struct InFlight {
    session: SessionId,
    rid: RequestId,
    /// Whose it is, where callers are known.
    caller: Option<String>,
    class: usize,
    tags: StatementKeys,
    text: Bytes,
    answered: bool,
    taken: Timestamp,
    /// When it is answered by whatever stands here, if by nothing else.
    ends: Timestamp,
    /// One, where a statement may not have two out at the same time.
    out: Vec<AttemptNumber>,
    /// The connections that its attempts went on, as many as attempts.
    used_connections: Vec<ConnectionId>,
}

pub struct Service {
    pub clients: Sessions,
    pub engines: EngineTransport,
    pub discovery: DiscoveryClient,
    pub counters: Counters,
    scheduler: Scheduler,
    /// Where there are lines: whose desk a statement waits at.
    resolver: Option<QueueResolver>,
    /// Where gateways know each other.
    fleet: Option<Fleet>,
    /// Where callers are to be known.
    token_verifier: Option<TokenVerifier>,
    /// Statements open by caller; leaves with the last of them.
    open: BTreeMap<String, u32>,
    names: EngineRegistry,
    peers: f64,
    classes: Vec<String>,
    tenants: Vec<String>,
    bills: bool,
    most_open: usize,
    next: u64,
    in_flight: BTreeMap<StatementId, InFlight>,
    /// Their ids as clients gave them: of two with one id an engine's answer could be for either.
    rids: BTreeMap<RequestId, StatementId>,
    /// Ends of all statements not answered yet; leaves with the answer or the client.
    ends: BTreeSet<(Timestamp, StatementId)>,
    wake: Timestamp,
    check: Timestamp,
    progress: Timestamp,
    drain_deadline: Option<Timestamp>,
    /// A whole list was told: there is something to decide on.
    listed: bool,
}

impl Service {
    pub fn new(
        now: Timestamp,
        settings: &Settings,
        seed: u64,
        clients: Sessions,
        engines: EngineTransport,
        discovery: DiscoveryClient,
        terms: Option<&QueueConfig>,
    ) -> Result<Self, SettingsError> {
        let (resolver, classes) = (terms.map(QueueResolver::new), settings.class_count());
        let queues = terms.map(|terms| TenantQueues::new(now, terms.clone(), classes, seed));
        Ok(Service {
            clients,
            engines,
            discovery,
            counters: Counters::default(),
            scheduler: Scheduler::new(Dispatcher::new(settings.policy(seed, WAY)?), queues),
            resolver,
            fleet: None,
            token_verifier: None,
            open: BTreeMap::new(),
            names: EngineRegistry::new(settings.location_names(), settings.machine_names()),
            peers: settings.peers()?,
            classes: settings.class_names()?,
            tenants: settings.tenant_names()?,
            bills: settings.engines_report_usage()?,
            most_open: settings.max_open_statements()?,
            next: 0,
            in_flight: BTreeMap::new(),
            rids: BTreeMap::new(),
            ends: BTreeSet::new(),
            wake: now,
            check: now,
            progress: now,
            drain_deadline: None,
            listed: false,
        })
    }

    pub fn told(&mut self, now: Timestamp, events: &[DiscoveryEvent]) {
        for change in events.iter().filter_map(|event| event.change.as_ref()) {
            let applied = self.names.apply(change);
            info!(
                snapshot = change.is_snapshot(),
                engines = change.endpoints().len(),
                "endpoint list"
            );
            for address in applied.addresses {
                self.engines.set_address(address.engine, address.address);
            }
            self.scheduler.on_endpoint_update(now, &applied.update);
            for engine in applied.not_ready {
                self.engines.drain_engine(now, engine, &mut self.counters);
            }
            self.listed |= change.is_snapshot();
        }
    }

    /// Other terms for what waits, in the file's own budgets as this gateway's part.
    pub fn change(&mut self, now: Timestamp, terms: &QueueConfig) {
        self.resolver = Some(QueueResolver::new(terms));
        self.scheduler.reconfigure(now, terms.clone());
    }

    pub fn waiting(&self) -> usize {
        self.scheduler.waiting()
    }

    /// The lines keep their own count.
    pub fn count(&mut self) {
        let (metrics, counters) = (self.scheduler.metrics(), &mut self.counters);
        counters.queue_entered = metrics.received;
        counters.queue_turned_away = metrics.rejected_at_entry;
        counters.queue_displaced = metrics.evicted;
        counters.queue_released = metrics.released;
        counters.queue_denied = metrics.rejected_while_waiting;
        counters.queue_left = metrics.client_left;
        counters.queue_refused = metrics.offers_without_capacity;
        counters.queue_told_well = metrics.accurate_estimates;
        counters.queue_longest_passed_ms =
            (self.scheduler.longest_passed_over().secs() * 1e3) as u64;
    }

    pub fn can_decide(&self) -> bool {
        self.listed
    }

    /// The gateway ends: all that is in hand, and all that still comes, is answered by then.
    pub fn drain_deadline(&mut self, by: Timestamp) {
        self.drain_deadline = Some(by);
        let last = by + TimeDelta::from_secs(OVERDUE_S);
        self.in_flight
            .values_mut()
            .for_each(|in_flight| in_flight.ends = in_flight.ends.min(last));
        self.ends = std::mem::take(&mut self.ends)
            .into_iter()
            .map(|(end, id)| (end.min(last), id))
            .collect();
        self.scheduler.drain_by(by);
        self.engines.cap_deadlines(by);
    }

    /// Nothing is owed to anyone.
    pub fn quiet(&self) -> bool {
        self.clients.all_answered()
    }

    pub fn next_due(&self, now: Timestamp) -> Timestamp {
        let dues = [
            self.engines.next_timeout(now),
            self.clients.next_due(now),
            self.discovery.next_due(),
        ];
        let end = self.ends.first().map(|end| end.0);
        let fleet = self.fleet.as_ref().map(|fleet| fleet.next_due(now));
        dues.into_iter()
            .chain([end, fleet])
            .flatten()
            .fold(self.wake, Timestamp::min)
    }

    /// Works off what all peers brought, then asks once for all that waits.
    pub fn turn(&mut self, now: Timestamp) {
        self.engines.expire_timeouts(now, &mut self.counters);
        self.engines.resume_reads(now, &mut self.counters);
        self.clients.on_timer(now, &mut self.counters);
        self.clients.resume(now, &mut self.counters);
        self.discovery.on_timer(now, &mut self.counters);
        // Idle clients may hold every descriptor: one goes for the board, without which no news of engines comes.
        if self.discovery.take_descriptor_shortage()
            && self.clients.evict_one(now, &mut self.counters)
        {
            self.discovery.poll_now(now, &mut self.counters);
        }
        let events = self.discovery.take_events();
        self.told(now, &events);
        self.reports(now);
        loop {
            let news = self.clients.take_events();
            if news.is_empty() {
                break;
            }
            news.into_iter().for_each(|news| self.heard(now, news));
        }
        self.leave(now);
        if let Some(fleet) = &mut self.fleet {
            fleet.turn(now);
            let doubts = fleet.engines(now, self.scheduler.health(), &self.names);
            self.scheduler.on_outlier_gossip(now, &doubts);
        }
        self.divided(now);
        let tick = self.scheduler.tick(now);
        tick.due
            .into_iter()
            .for_each(|(id, pick)| self.picked(now, id, pick));
        // What could not even be sent is back in line by now, and what stood behind an answer was read.
        let again = self.reports(now) || self.clients.has_events();
        self.overdue(now);
        if self.progress <= now && self.resolver.is_some() {
            self.progress = now + TimeDelta::from_secs(PROGRESS_S);
            self.tell_progress(now);
        }
        if self.check <= now {
            self.check = now + TimeDelta::from_secs(CHECK_S);
            self.compare();
        }
        self.wake = now + if again { TimeDelta::ZERO } else { tick.wait };
    }

    /// What of the budgets of all is this gateway's at present, for the lines and the decisions.
    fn divided(&mut self, now: Timestamp) {
        let Some(parts) = self.fleet.as_mut().and_then(Fleet::parts) else {
            return;
        };
        if parts.divides_members() {
            let flows = self.scheduler.tenant_usage().into_iter().map(|usage| Flow {
                wanted: usage.demanded,
                paid: usage.spent,
            });
            let rates = parts.members(&flows.collect::<Vec<_>>());
            self.scheduler.set_leased_budgets(now, &rates);
        }
        let benched = self
            .scheduler
            .engines()
            .filter(|engine| engine.ejected)
            .count();
        let allowed = parts.allowed(self.scheduler.traffic_share(), self.peers, benched);
        self.scheduler.on_quota(allowed);
    }

    /// Statements in flight as the decisions hold them, against what is out on the sockets. A difference would have
    /// them send to the wrong engine for ever after, with nothing else to show it.
    fn compare(&mut self) {
        let held = self
            .scheduler
            .engines()
            .filter(|engine| engine.in_flight > 0)
            .map(|engine| (engine.id, engine.in_flight));
        let (held, out) = (
            held.collect::<BTreeMap<_, _>>(),
            self.engines.attempts_in_flight(),
        );
        self.counters.books_checked += 1;
        if held != out {
            self.counters.books_differ += 1;
            warn!(
                ?held,
                ?out,
                "the decisions hold other relays out than the sockets"
            );
        }
    }

    /// Engines left out at present.
    pub fn benched(&self) -> usize {
        self.scheduler
            .engines()
            .filter(|engine| engine.ejected)
            .count()
    }

    /// Other gateways are to be known from now on.
    pub fn join(&mut self, fleet: Fleet) {
        self.fleet = Some(fleet);
    }

    pub fn fleet(&mut self) -> Option<&mut Fleet> {
        self.fleet.as_mut()
    }
}
