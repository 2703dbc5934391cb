//! Connects clients, engines, discovery and other gateways with the scheduler. Statements go to
//! `Scheduler::pick` and reports of engines to `Scheduler::report`; after all pending input is
//! handled, `Scheduler::tick` assigns waiting statements to engines. All scheduling decisions are
//! made by the scheduler.
//!
//! This file holds the [`Service`] and the order of work in one turn of the event loop. Each
//! submodule does one part of that work or owns one part of the state.

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
use std::rc::Rc;

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
use crate::heap;
use crate::memory_account::MemoryAccount;

/// The longest time that a message to an engine is assumed to spend on the network.
pub const NETWORK_DELAY: NetworkDelay = NetworkDelay(TimeDelta::from_micros(50_000));

/// How long after its deadline the scheduler may still answer a statement. After that the service
/// answers it with an error, still within the client's budget.
const ANSWER_GRACE: TimeDelta = TimeDelta::from_micros(4_000);

const BYTES_PER_KB: u64 = 1 << 10;

/// The parts that a [`Service`] is built from.
pub struct ServiceConfig<'a> {
    /// The settings that all gateways share.
    pub settings: &'a Settings,
    /// The seed of every random choice of the scheduler.
    pub seed: u64,
    /// The queues of the operator's file; `None` if statements wait in the dispatcher alone.
    pub queues: Option<&'a QueueConfig>,
    /// The sessions of clients.
    pub sessions: Sessions,
    /// The connections to engines.
    pub engines: EngineTransport,
    /// The source of the endpoint list.
    pub discovery: DiscoveryClient,
    /// The memory of all peers, which the three parts above share.
    pub memory: Rc<MemoryAccount>,
}

/// Handles one gateway's statements from their receipt to their answer.
pub struct Service {
    /// The sessions of clients.
    pub sessions: Sessions,
    /// The connections to engines.
    pub engines: EngineTransport,
    /// The source of the endpoint list.
    pub discovery: DiscoveryClient,
    /// Counts of events since the process started.
    pub counters: Counters,
    memory: Rc<MemoryAccount>,
    scheduler: Scheduler,
    /// Finds the sub-queue of a statement; `None` without queues.
    sub_queues: Option<QueueResolver>,
    /// The connection to the other gateways; `None` if this gateway is not part of a fleet.
    cluster: Option<ClusterEndpoint>,
    callers: Callers,
    endpoints: EndpointList,
    catalog: Catalog,
    statements: OpenStatements,
    schedule: Schedule,
    /// The time by which every statement is answered; `None` unless the gateway is shutting down.
    drain_deadline: Option<Timestamp>,
}

impl Service {
    /// Creates a service without statements and without engines.
    ///
    /// # Errors
    /// A setting is missing or invalid.
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
            memory: config.memory,
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

    /// Replaces the queues. Their budgets are this gateway's share of the operator's budgets.
    pub fn reconfigure_queues(&mut self, now: Timestamp, queues: &QueueConfig) {
        self.sub_queues = Some(QueueResolver::new(queues));
        self.scheduler.reconfigure(now, queues.clone());
    }

    /// Returns the number of statements that wait in queues.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.scheduler.waiting()
    }

    /// Copies the metrics that are kept elsewhere to the counters.
    pub fn update_counters(&mut self) {
        self.counters.held_peak_kb = self.memory.peak() as u64 / BYTES_PER_KB;
        self.update_queue_counters();
    }

    fn update_queue_counters(&mut self) {
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

    /// Whether a snapshot of the endpoint list has arrived. Without one, no statement can be sent
    /// to an engine.
    #[must_use]
    pub fn has_endpoints(&self) -> bool {
        self.endpoints.has_snapshot
    }

    /// Starts the shutdown: every statement that is open, or still arrives, is answered by
    /// `deadline`.
    pub fn drain_by(&mut self, deadline: Timestamp) {
        self.drain_deadline = Some(deadline);
        self.statements
            .cap_answer_deadlines(deadline + ANSWER_GRACE);
        self.scheduler.drain_by(deadline);
        self.engines.cap_deadlines(deadline);
    }

    /// Whether no client waits for an answer and every answer has been written to its socket.
    #[must_use]
    pub fn all_answered(&self) -> bool {
        self.sessions.all_answered()
    }

    /// Returns when the next turn is due if no input arrives earlier.
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

    /// Begins a turn of the event loop, before the events of its sockets are handled.
    pub fn begin_turn(&mut self) {
        self.sessions.begin_turn();
        self.engines.begin_turn();
    }

    /// Runs one turn of the event loop: handles timers and all pending input, then offers the
    /// waiting statements to the engines once.
    pub fn turn(&mut self, now: Timestamp) {
        self.handle_timers(now);
        self.read_discovery(now);
        self.read_reports(now);
        self.read_sessions(now);
        self.reject_disconnected(now);
        self.gossip_outliers(now);
        self.update_quotas(now);
        let wait = self.place_queued(now);
        // Attempts that could not be sent have been queued again here, and an answer may have let
        // its session read the statement behind it. Both need another turn at once.
        let has_more = self.read_reports(now) == ReportsRead::Some || self.sessions.has_events();
        self.answer_overdue(now);
        self.sessions.shed_output(&mut self.counters);
        self.run_periodic_work(now);
        let wait = if has_more { TimeDelta::ZERO } else { wait };
        self.schedule.wakeup = now + wait;
    }

    fn handle_timers(&mut self, now: Timestamp) {
        // An answer that has arrived counts, even if its attempt times out in this turn.
        self.engines.resume_reads(now, &mut self.counters);
        self.engines.expire_timeouts(now, &mut self.counters);
        self.sessions.on_timer(now, &mut self.counters);
        self.sessions.resume(now, &mut self.counters);
        self.discovery.on_timer(now, &mut self.counters);
        // Idle clients may hold every file descriptor. One session is closed so that discovery can
        // connect, since without it the gateway learns of no change among the engines.
        let lacks_descriptor = self.discovery.take_descriptor_shortage();
        if lacks_descriptor && self.sessions.evict_one(now, &mut self.counters) {
            self.discovery.poll_now(now, &mut self.counters);
        }
    }

    fn read_discovery(&mut self, now: Timestamp) {
        let events = self.discovery.take_events();
        self.on_discovery_events(now, &events);
    }

    /// Handles the events of sessions until no more are pending. An event that is answered at once
    /// may bring the next one of its session, but each session processes a limited number of
    /// packets in a turn, so this ends however fast clients send.
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

    /// Offers the waiting statements to the engines. Returns the time until this is due again.
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
        if self.schedule.take_memory_return_due(now) && self.memory.take_return_due() {
            heap::return_free_memory();
        }
    }

    /// Compares the attempts in flight at each engine, as the scheduler counts them, with those on
    /// the sockets. After a difference the scheduler would choose engines by wrong loads until the
    /// process ends, and nothing else would show the fault.
    fn check_in_flight(&mut self) {
        let scheduled: BTreeMap<EngineId, u32> = self
            .scheduler
            .engines()
            .filter(|engine| engine.in_flight > 0)
            .map(|engine| (engine.id, engine.in_flight))
            .collect();
        let on_sockets = self.engines.attempts_in_flight();
        self.counters.in_flight_checks += 1;
        if scheduled != on_sockets {
            self.counters.in_flight_mismatches += 1;
            warn!(
                ?scheduled,
                ?on_sockets,
                "attempts in flight differ between scheduler and sockets; correcting neither count"
            );
        }
    }
}
