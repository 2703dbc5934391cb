//! What connects clients, engines, discovery and other gateways with the decisions: statements go to
//! `Scheduler::pick`, reports of engines to `Scheduler::report`, and once all that is ready was read, a tick places what
//! waits. It passes on; it decides nothing.
//!
//! The struct and the order of a turn stand here; each module has one job of it, or owns one part of its state.

mod attempts;
mod callers;
mod catalog;
mod endings;
mod endpoints;
mod error;
mod intake;
mod quotas;
mod request;
mod schedule;
mod show;
mod statements;

use std::collections::BTreeMap;

use admission::interface::{EngineId, TimeDelta, Timestamp};
use dispatch::Dispatcher;
use scheduler::{Config as QueueConfig, QueueResolver, Scheduler, TenantQueues};
use settings::{NetworkDelay, Settings, SettingsError};
use tracing::warn;

use self::attempts::ReportsRead;
use self::callers::Callers;
use self::catalog::Catalog;
use self::endpoints::EndpointList;
use self::schedule::Schedule;
use self::statements::OpenStatements;
use crate::clients::Sessions;
use crate::cluster::ClusterEndpoint;
use crate::counters::Counters;
use crate::discovery::DiscoveryClient;
use crate::discovery::registry::EngineRegistry;
use crate::engines::EngineTransport;

/// The longest time that what was sent is on its way to an engine.
pub const NETWORK_DELAY: NetworkDelay = NetworkDelay(TimeDelta::from_micros(50_000));

/// How long after its deadline a statement may still be without the decisions' answer, within its budget.
const ANSWER_GRACE: TimeDelta = TimeDelta::from_micros(4_000);

/// What a service is made of.
pub struct ServiceConfig<'a> {
    /// The settings that all gateways share.
    pub settings: &'a Settings,
    /// Of all chance in the decisions.
    pub seed: u64,
    /// Where statements wait; none: before the decisions alone.
    pub queues: Option<&'a QueueConfig>,
    /// The clients' side.
    pub sessions: Sessions,
    /// The engines' side.
    pub engines: EngineTransport,
    /// Where the endpoint list comes from.
    pub discovery: DiscoveryClient,
}

/// One gateway's statements, from their receipt to their answer.
pub struct Service {
    /// The clients' side.
    pub sessions: Sessions,
    /// The engines' side.
    pub engines: EngineTransport,
    /// Where the endpoint list comes from.
    pub discovery: DiscoveryClient,
    /// What happened since the start.
    pub counters: Counters,
    scheduler: Scheduler,
    /// Where there are queues: which sub-queue a statement waits in.
    sub_queues: Option<QueueResolver>,
    /// Where gateways know each other.
    cluster: Option<ClusterEndpoint>,
    callers: Callers,
    endpoints: EndpointList,
    catalog: Catalog,
    statements: OpenStatements,
    schedule: Schedule,
    /// The gateway ends: all is answered by then.
    drain_deadline: Option<Timestamp>,
}

impl Service {
    /// A service without statements and without engines.
    ///
    /// # Errors
    /// A setting is missing or cannot be used.
    pub fn new(now: Timestamp, config: ServiceConfig) -> Result<Self, SettingsError> {
        let ServiceConfig {
            settings,
            seed,
            queues,
            ..
        } = config;
        let dispatcher = Dispatcher::new(settings.policy(seed, NETWORK_DELAY)?);
        let tenant_queues = queues
            .map(|queues| TenantQueues::new(now, queues.clone(), settings.class_count(), seed));
        let registry = EngineRegistry::new(settings.location_names(), settings.machine_names());
        Ok(Service {
            sessions: config.sessions,
            engines: config.engines,
            discovery: config.discovery,
            counters: Counters::default(),
            scheduler: Scheduler::new(dispatcher, tenant_queues),
            sub_queues: queues.map(QueueResolver::new),
            cluster: None,
            callers: Callers::default(),
            endpoints: EndpointList {
                registry,
                has_snapshot: false,
            },
            catalog: Catalog::new(settings)?,
            statements: OpenStatements::default(),
            schedule: Schedule::new(now),
            drain_deadline: None,
        })
    }

    /// Other queues, with this gateway's part of the operator's budgets.
    pub fn reconfigure_queues(&mut self, now: Timestamp, queues: &QueueConfig) {
        self.sub_queues = Some(QueueResolver::new(queues));
        self.scheduler.reconfigure(now, queues.clone());
    }

    /// Statements that wait in queues.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.scheduler.waiting()
    }

    /// Takes over the counters that the queues keep.
    pub fn update_queue_counters(&mut self) {
        let metrics = self.scheduler.metrics();
        let longest_passed_over = self.scheduler.longest_passed_over();
        let counters = &mut self.counters;
        counters.queue_received = metrics.received;
        counters.queue_rejected_at_entry = metrics.rejected_at_entry;
        counters.queue_evicted = metrics.evicted;
        counters.queue_released = metrics.released;
        counters.queue_rejected_while_waiting = metrics.rejected_while_waiting;
        counters.queue_client_left = metrics.client_left;
        counters.queue_offers_without_capacity = metrics.offers_without_capacity;
        counters.queue_accurate_estimates = metrics.accurate_estimates;
        counters.queue_longest_passed_over_ms = (longest_passed_over.secs() * 1e3) as u64;
    }

    /// Whether a snapshot of the endpoint list came: without one there is nothing to decide on.
    #[must_use]
    pub fn has_endpoints(&self) -> bool {
        self.endpoints.has_snapshot
    }

    /// The gateway ends: all that is open, and all that still comes, is answered by then.
    pub fn drain_by(&mut self, deadline: Timestamp) {
        self.drain_deadline = Some(deadline);
        self.statements
            .cap_answer_deadlines(deadline + ANSWER_GRACE);
        self.scheduler.drain_by(deadline);
        self.engines.cap_deadlines(deadline);
    }

    /// Whether no answer is owed to any client, and none is on its way.
    #[must_use]
    pub fn all_answered(&self) -> bool {
        self.sessions.all_answered()
    }

    /// When the next turn is due, if nothing comes before.
    #[must_use]
    pub fn next_due(&self, now: Timestamp) -> Timestamp {
        let due = [
            self.engines.next_timeout(now),
            self.sessions.next_due(now),
            self.discovery.next_due(),
            self.statements.next_deadline(),
            self.cluster
                .as_ref()
                .map(|cluster| cluster.next_wakeup(now)),
        ];
        due.into_iter()
            .flatten()
            .fold(self.schedule.wakeup, Timestamp::min)
    }

    /// Handles what all peers brought, then places all that waits, once.
    pub fn turn(&mut self, now: Timestamp) {
        self.handle_timers(now);
        self.read_discovery(now);
        self.read_reports(now);
        self.read_sessions(now);
        self.reject_disconnected(now);
        self.gossip_outliers(now);
        self.update_quotas(now);
        let wait = self.place_queued(now);
        // What could not even be sent is queued again by now, and what stood behind an answer was read.
        let has_more = self.read_reports(now) == ReportsRead::Some || self.sessions.has_events();
        self.answer_overdue(now);
        self.run_periodic_work(now);
        let wait = if has_more { TimeDelta::ZERO } else { wait };
        self.schedule.wakeup = now + wait;
    }

    fn handle_timers(&mut self, now: Timestamp) {
        self.engines.expire_timeouts(now, &mut self.counters);
        self.engines.resume_reads(now, &mut self.counters);
        self.sessions.on_timer(now, &mut self.counters);
        self.sessions.resume(now, &mut self.counters);
        self.discovery.on_timer(now, &mut self.counters);
        // Idle clients may hold every descriptor: one is closed for discovery, without which nothing is heard of engines.
        let lacks_descriptor = self.discovery.take_descriptor_shortage();
        if lacks_descriptor && self.sessions.evict_one(now, &mut self.counters) {
            self.discovery.poll_now(now, &mut self.counters);
        }
    }

    fn read_discovery(&mut self, now: Timestamp) {
        let events = self.discovery.take_events();
        self.on_discovery_events(now, &events);
    }

    /// Handles what sessions report until there is nothing more.
    fn read_sessions(&mut self, now: Timestamp) {
        loop {
            let events = self.sessions.take_events();
            if events.is_empty() {
                return;
            }
            for event in events {
                self.on_session_event(now, event);
            }
        }
    }

    /// Places what waits; how long until that is to be done again.
    fn place_queued(&mut self, now: Timestamp) -> TimeDelta {
        let tick = self.scheduler.tick(now);
        for (id, decision) in tick.due {
            self.follow_decision(now, id, decision);
        }
        tick.wait
    }

    fn run_periodic_work(&mut self, now: Timestamp) {
        if self.sub_queues.is_some() && self.schedule.take_progress_due(now) {
            self.send_progress_reports(now);
        }
        if self.schedule.take_consistency_check_due(now) {
            self.check_in_flight();
        }
    }

    /// Compares the attempts in flight at each engine as the decisions count them with those on the sockets. With a
    /// difference, statements would be sent to the wrong engine for ever after, with nothing else to show it.
    fn check_in_flight(&mut self) {
        let decided: BTreeMap<EngineId, u32> = self
            .scheduler
            .engines()
            .filter(|engine| engine.in_flight > 0)
            .map(|engine| (engine.id, engine.in_flight))
            .collect();
        let on_sockets = self.engines.attempts_in_flight();
        self.counters.in_flight_checks += 1;
        if decided != on_sockets {
            self.counters.in_flight_mismatches += 1;
            warn!(
                ?decided,
                ?on_sockets,
                "attempts in flight differ between the decisions and the sockets"
            );
        }
    }
}
