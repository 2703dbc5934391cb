//! The admission policy: every placement decision, with the state and the constants that it uses. A
//! caller uses [`Policy`] like a client library, from one thread:
//!
//! - [`Policy::place`] decides whether a statement is sent now, stays in the queue, or is given up.
//! - [`Policy::on_attempt_report`] handles an event of an attempt and returns the caller's next
//!   step.
//! - [`Policy::end_turn`] does the periodic work at the end of an event-loop turn and returns when
//!   the next turn is due.
//! - The other `on_*` methods record what is reported about engines, other gateways and quotas.
//!
//! The caller owns the statements and the timers. It calls `place` again for each queued statement
//! after any change, and when the wait that `end_turn` returned has passed.
//!
//! [`crate::interface`] defines the types of the inputs and outputs; docs/design.md gives the
//! reasons for the decisions. Each other file of this module holds one decision with its constants,
//! and this file combines them.

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

/// Interval until the next turn while statements are queued, in seconds.
const TURN_INTERVAL_QUEUED_S: f64 = 0.02;
/// Interval until the next turn while no statement is queued, in seconds.
const TURN_INTERVAL_IDLE_S: f64 = 0.25;
/// Lower bound of a class's typical CPU time, in seconds.
const MIN_TYPICAL_CPU_S: f64 = 1e-4;

/// Configuration of a policy, taken from the settings of its gateway.
#[derive(Clone, Debug)]
pub struct PolicyConfig {
    /// Query classes, indexed by [`ClassId`].
    pub classes: Vec<QueryClass>,
    /// Quotas of the tenants.
    pub tenant_quotas: TenantQuotas,
    /// Properties of the fleet of gateways and engines.
    pub fleet: FleetConfig,
    /// Capacity of engines after their start; `None` if they have their full capacity at once.
    pub slow_start: Option<SlowStart>,
    /// Limits on attempts, and the retry delays that clients are told.
    pub retry_policy: RetryPolicy,
    /// How this gateway receives the list of engines.
    pub discovery: DiscoveryMode,
}

/// The admission policy of one gateway. An instance shares no state with any other.
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
    /// The last grant of shared quotas, less what has been used of it since.
    quota_grant: QuotaGrant,
}

impl Policy {
    /// Creates a policy that knows no engines yet. `seed` seeds its random number generator and has
    /// to differ between gateways.
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

    /// Returns the time until which engines are sure to recognize a repeat of the statement by its
    /// idempotency key. A repeat that is sent later may run the statement twice. Returns `None` if
    /// engines do not deduplicate the statement or if no attempt may have run it.
    #[must_use]
    pub fn repeat_until(&self, statement: &Statement) -> Option<Timestamp> {
        repeats::repeat_until(self.class(statement), statement)
    }

    /// Returns this gateway's traffic as a multiple of an even share of all gateways' traffic. It
    /// is estimated from the rates and the quotas of the tenants.
    #[must_use]
    pub fn traffic_share(&self) -> f64 {
        self.tenant_quotas.traffic_share()
    }

    /// Returns the cores of the engines in use, as this gateway's share of their current capacity.
    /// Ejected engines are not in use, except when more than half of the ready engines are ejected:
    /// then all ready engines count.
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

    /// Does the periodic work at the end of an event-loop turn. `queued` is the number of
    /// statements in the queue.
    pub fn end_turn(&mut self, now: Timestamp, queued: usize) -> Wakeup {
        self.demand.allocate(now, self.fleet_totals.cores);
        self.fleet_totals.release_due(now);
        for engine in self.engines.values_mut() {
            engine.reservations.release_due(now);
            engine.health.eject_if_silent(now);
        }
        self.keyed_order.forget_idle(now);
        let wait_s = if queued > 0 {
            TURN_INTERVAL_QUEUED_S
        } else {
            TURN_INTERVAL_IDLE_S
        };
        Wakeup {
            wait: TimeDelta::from_secs(wait_s),
            probe: Vec::new(),
            discovery: self.discovery.request_due(now, &mut self.rng),
        }
    }

    /// Handles reports of engines at which enough other gateways lost statements.
    pub fn on_outlier_gossip(&mut self, now: Timestamp, reports: &[OutlierReport]) {
        for report in reports {
            if let Some(engine) = self.engines.get_mut(&report.id) {
                let started = engine.info.started;
                engine.health.on_gossip(now, report, started, &mut self.rng);
            }
        }
    }

    /// Records an engine's report of its load.
    pub fn on_load_report(&mut self, id: EngineId, report: &LoadReport) {
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.waiting_statements = report.waiting.unwrap_or(0.0);
        }
    }

    /// Replaces the grant of the quotas that all gateways share. A grant is valid until the next
    /// one, and every use is deducted from it.
    pub fn on_quota(&mut self, grant: QuotaGrant) {
        self.quota_grant = grant;
    }

    /// Handles the end of a statement, whether this policy ended it or its client left. The next
    /// statement with the same key may then be sent.
    pub fn on_statement_over(&mut self, statement: &Statement) {
        if let Some(key) = self.order_key(statement) {
            self.keyed_order.on_statement_over(key, statement.id);
        }
    }

    /// Returns the ejection state of each engine at this gateway.
    pub fn health(&self) -> impl Iterator<Item = EngineHealth> {
        self.engines.iter().map(|(id, engine)| EngineHealth {
            id: *id,
            ejected_until: engine.health.ejected_until(),
            by_gossip: engine.health.is_ejected_by_gossip(),
        })
    }

    /// Returns the state of each engine as the decisions use it, so that the caller can check it.
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

    /// Returns the key that orders the statement, or `None` if its class is not ordered or the
    /// statement has no key.
    fn order_key(&self, statement: &Statement) -> Option<OrderKey> {
        let is_ordered = self.class(statement).ordered_by_key;
        statement.key.filter(|_| is_ordered)
    }

    /// Returns the median over the engines of their best latency per CPU second, or `None` if no
    /// engine has one.
    fn median_best_latency(&self) -> Option<f64> {
        let engines = self.engines.values();
        median(
            engines
                .filter_map(|engine| engine.reservations.latency.best())
                .collect(),
        )
    }

    /// Returns the CPU time of a typical statement of the class, in seconds. The mean over the
    /// received statements counts as well, because the completed statements are lighter than
    /// average while heavy ones are rejected.
    fn typical_cpu_s(&self, class: ClassId) -> f64 {
        let priority_weight = self.classes[class.0].priority_weight;
        let received_s = self.demand.mean_cpu_s(class, priority_weight);
        let completed_s = self.cost_model.typical_cpu_s(class);
        completed_s.max(received_s).max(MIN_TYPICAL_CPU_S)
    }

    /// Returns the statement's priority at its engine.
    fn priority(&self, statement: &Statement, predicted_s: f64) -> u8 {
        if !self.fleet.priorities_honored {
            return UNIFORM_PRIORITY;
        }
        let total_cpu_rate = self.demand.cpu_rates().sum::<f64>().max(1e-9);
        let classes = self.classes.iter().zip(self.demand.cpu_rates()).enumerate();
        let objectives = classes.map(|(index, (class, cpu_rate))| {
            let typical_s = self.typical_cpu_s(ClassId(index));
            deadlines::latency_objective_s(class, typical_s) * cpu_rate / total_cpu_rate
        });
        let mean_objective_s = objectives.sum::<f64>().max(1e-9);
        let class = self.class(statement);
        priority_for(deadlines::latency_objective_s(class, predicted_s) / mean_objective_s)
    }

    /// Returns the slow-start settings with this gateway's share of a starting engine.
    fn slow_start_limits(&self) -> SlowStartLimits {
        let peers = self.fleet.peers;
        let granted = self.quota_grant.slow_start;
        SlowStartLimits {
            config: self.slow_start,
            peers,
            share_multiple: granted.map_or(1.0, |fraction| fraction * peers),
        }
    }
}
