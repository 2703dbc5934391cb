//! Every decision, table and tuned value of laurelhitch. [`Policy`] is called like a client library, on one thread:
//!
//! - [`Policy::place`]: where to send a statement, or not yet, or never;
//! - [`Policy::on_attempt_report`]: what to do after something happened to an attempt;
//! - [`Policy::end_turn`]: what is due at the end of a turn, and when the next one is;
//! - notifications (`on_*`): what is learned of engines, other gateways and quotas.
//!
//! The caller keeps statements and timers, and places a queued statement again on any change and when the wait is over.
//! The values that go in and out stand in [`crate::interface`], the reasons in docs/design.md. Each file of this folder
//! holds one decision with its tuned values; this one puts them together.

mod class_demand;
mod concurrency_limit;
mod cost_model;
mod cpu_budget;
mod deadlines;
mod discovery;
mod engine;
mod engine_list;
mod engine_selection;
mod keyed_order;
mod memory;
mod outcome;
mod outlier_detection;
mod placement;
mod priority;
mod repeats;
mod reservations;
mod retry_budget;
mod runaway;
mod send;
mod slow_start;
mod statistics;
mod tenant_quota;

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::interface::{
    ClassId, DiscoveryMode, EngineHealth, EngineId, EngineView, FleetConfig, LoadReport, OrderKey,
    OutlierReport, QueryClass, QuotaGrant, RetryPolicy, SlowStart, Statement, TenantQuotas,
    TimeDelta, Timestamp, Wakeup,
};

use class_demand::Demand;
use cost_model::CostModel;
use discovery::DiscoveryRequester;
use engine::Engine;
use keyed_order::KeyedOrder;
use memory::MemoryModel;
use priority::{UNIFORM_PRIORITY, priority_for};
use reservations::Reservations;
use retry_budget::{BudgetWindow, RetryBudgets};
use slow_start::SlowStartLimits;
use statistics::median;
use tenant_quota::TenantQuotaTracker;

/// The next turn is due after this time while statements wait in the queue, in seconds.
const TURN_WITH_QUEUE_S: f64 = 0.02;
/// The next turn is due after this time while none do, in seconds.
const TURN_WITHOUT_QUEUE_S: f64 = 0.25;
/// The usual statement of a class takes no less CPU than this, in seconds.
const MIN_USUAL_S: f64 = 1e-4;

/// What a gateway's settings tell its policy.
#[derive(Clone, Debug)]
pub struct PolicyConfig {
    /// The query classes, by [`ClassId`].
    pub classes: Vec<QueryClass>,
    /// What each tenant may use.
    pub tenant_quotas: TenantQuotas,
    /// The gateways and engines as a whole.
    pub fleet: FleetConfig,
    /// What engines can do after their start; none: all of it.
    pub slow_start: Option<SlowStart>,
    /// Attempts, and what clients are told.
    pub retry_policy: RetryPolicy,
    /// How the list of engines reaches this gateway.
    pub discovery: DiscoveryMode,
}

/// One gateway's decisions. It shares nothing with another.
pub struct Policy {
    rng: Pcg64Mcg,
    classes: Vec<QueryClass>,
    fleet: FleetConfig,
    slow_start: Option<SlowStart>,
    retry_policy: RetryPolicy,
    demand: Demand,
    tenant_quotas: TenantQuotaTracker,
    cost_model: CostModel,
    memory_model: MemoryModel,
    engines: BTreeMap<EngineId, Engine>,
    /// Reservations at all ready engines together.
    fleet_totals: Reservations,
    keyed_order: KeyedOrder,
    retry_budgets: RetryBudgets,
    probe_budget: BudgetWindow,
    discovery: DiscoveryRequester,
    /// What was last granted, less what was used of it since.
    quota_grant: QuotaGrant,
}

impl Policy {
    /// A policy that knows no engines yet. `seed` starts its chance: each gateway has one of its own.
    pub fn new(config: PolicyConfig, seed: u64) -> Self {
        let classes = config.classes.len();
        let start = Timestamp::from_secs(0.0);
        Policy {
            rng: Pcg64Mcg::seed_from_u64(seed),
            demand: Demand::new(classes),
            tenant_quotas: TenantQuotaTracker::new(config.tenant_quotas, config.fleet.peers),
            cost_model: CostModel::new(classes),
            memory_model: MemoryModel::new(classes),
            engines: BTreeMap::new(),
            fleet_totals: Reservations::new(start, 0.0, 0.0, classes),
            keyed_order: KeyedOrder::default(),
            retry_budgets: RetryBudgets::new(config.retry_policy.retry_budget),
            probe_budget: BudgetWindow::for_probes(),
            discovery: DiscoveryRequester::new(config.discovery),
            quota_grant: QuotaGrant::default(),
            classes: config.classes,
            fleet: config.fleet,
            slow_start: config.slow_start,
            retry_policy: config.retry_policy,
        }
    }

    /// A repeat of the statement that leaves later may meet an engine that has forgotten the first attempt; none: there
    /// is no such time.
    #[must_use]
    pub fn repeat_until(&self, statement: &Statement) -> Option<Timestamp> {
        repeats::repeat_until(self.class(statement), statement)
    }

    /// What this gateway carries, in even shares of all gateways' traffic, as far as tenants and quotas tell.
    #[must_use]
    pub fn traffic_share(&self) -> f64 {
        self.tenant_quotas.traffic_share()
    }

    /// Cores of the engines in use, as this gateway's share of what they can do now. With most of them ejected all are
    /// in use.
    #[must_use]
    pub fn capacity(&self, now: Timestamp) -> f64 {
        let limits = self.slow_start_limits();
        let mut ready = 0_usize;
        let mut in_use = 0_usize;
        let mut ready_cores = 0.0;
        let mut cores_in_use = 0.0;
        for engine in self.engines.values().filter(|engine| engine.is_ready()) {
            let cores = engine.reservations.cores * engine.capacity_factor(&limits, now);
            ready += 1;
            ready_cores += cores;
            if !engine.health.is_ejected() {
                in_use += 1;
                cores_in_use += cores;
            }
        }
        if in_use * 2 < ready {
            ready_cores
        } else {
            cores_in_use
        }
    }

    /// The end of a turn, with so many statements in the queue.
    pub fn end_turn(&mut self, now: Timestamp, queued: usize) -> Wakeup {
        self.demand.divide(now, self.fleet_totals.cores);
        self.fleet_totals.release_due(now);
        for engine in self.engines.values_mut() {
            engine.reservations.release_due(now);
            engine.health.eject_if_silent(now);
        }
        self.keyed_order.forget_idle(now);
        let wait_s = if queued > 0 {
            TURN_WITH_QUEUE_S
        } else {
            TURN_WITHOUT_QUEUE_S
        };
        Wakeup {
            wait: TimeDelta::from_secs(wait_s),
            probe: Vec::new(),
            discovery: self.discovery.request_due(now, &mut self.rng),
        }
    }

    /// Engines that enough other gateways lost statements to.
    pub fn on_outlier_gossip(&mut self, now: Timestamp, reports: &[OutlierReport]) {
        for report in reports {
            if let Some(engine) = self.engines.get_mut(&report.id) {
                let started = engine.info.started;
                engine.health.on_gossip(now, report, started, &mut self.rng);
            }
        }
    }

    /// What an engine says of its load.
    pub fn on_load_report(&mut self, id: EngineId, report: &LoadReport) {
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.waiting_statements = report.waiting.unwrap_or(0.0);
        }
    }

    /// What this gateway may still use of quotas that all gateways share. It holds until the next grant; what is sent
    /// meanwhile is taken off.
    pub fn on_quota(&mut self, grant: QuotaGrant) {
        self.quota_grant = grant;
    }

    /// The statement is over, by this policy or because its client left: the next one of its key may be sent.
    pub fn on_statement_over(&mut self, statement: &Statement) {
        if let Some(key) = self.order_key(statement) {
            self.keyed_order.on_statement_over(key, statement.id);
        }
    }

    /// Whether each engine is ejected here.
    pub fn health(&self) -> impl Iterator<Item = EngineHealth> {
        self.engines.iter().map(|(id, engine)| EngineHealth {
            id: *id,
            ejected_until: engine.health.ejected_until(),
            by_gossip: engine.health.is_ejected_by_gossip(),
        })
    }

    /// Each engine as the decisions see it, to be checked from outside.
    pub fn engines(&self) -> impl Iterator<Item = EngineView> {
        self.engines.iter().map(|(id, engine)| EngineView {
            id: *id,
            in_flight: engine.in_flight,
            ejected: engine.health.is_ejected(),
        })
    }

    fn class(&self, statement: &Statement) -> &QueryClass {
        &self.classes[statement.class.0]
    }

    /// The key that orders the statement, where its class is ordered.
    fn order_key(&self, statement: &Statement) -> Option<OrderKey> {
        let is_ordered = self.class(statement).ordered_by_key;
        statement.key.filter(|_| is_ordered)
    }

    /// The median over the engines of the best latency per CPU second.
    fn median_best_latency(&self) -> Option<f64> {
        let engines = self.engines.values();
        median(
            engines
                .filter_map(|engine| engine.reservations.latency.best())
                .collect(),
        )
    }

    /// CPU seconds of a class's usual statement: the mean of the received ones too, since the completed are too light
    /// where the heavy are rejected.
    fn usual_cpu_s(&self, class: ClassId) -> f64 {
        let priority_weight = self.classes[class.0].priority_weight;
        let received_s = self.demand.mean_cpu_s(class, priority_weight);
        let completed_s = self.cost_model.usual_cpu_s(class);
        completed_s.max(received_s).max(MIN_USUAL_S)
    }

    /// The statement's priority at its engine.
    fn priority(&self, statement: &Statement, predicted_s: f64) -> u8 {
        if !self.fleet.priorities_honored {
            return UNIFORM_PRIORITY;
        }
        let total_cpu = self.demand.cpu().sum::<f64>().max(1e-9);
        let classes = self.classes.iter().zip(self.demand.cpu()).enumerate();
        let objectives = classes.map(|(index, (class, cpu))| {
            let usual_s = self.usual_cpu_s(ClassId(index));
            deadlines::latency_objective_s(class, usual_s) * cpu / total_cpu
        });
        let mean_objective_s = objectives.sum::<f64>().max(1e-9);
        let class = self.class(statement);
        priority_for(deadlines::latency_objective_s(class, predicted_s) / mean_objective_s)
    }

    fn slow_start_limits(&self) -> SlowStartLimits {
        let peers = self.fleet.peers;
        let granted = self.quota_grant.slow_start;
        SlowStartLimits {
            config: self.slow_start,
            peers,
            fleet_share: granted.map_or(1.0, |part| part * peers),
        }
    }
}
