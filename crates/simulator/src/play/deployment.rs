//! The settings of the emulated deployment, and the construction of a gateway's scheduler from them
//! and the scenario.

use admission::interface::*;
use admission::policy::{Policy as AdmissionPolicy, PolicyConfig};
use dispatch::Dispatcher;

use crate::front::{Front, Policy};
use crate::rules;
use crate::scenario::{self, Scenario};

const MAX_ATTEMPTS: usize = 6;
const MAX_RETRY_AFTER_S: f64 = 0.5;
/// How long the next statement of an order key waits after an attempt with an unknown outcome.
const ORDERED_PAUSE_S: f64 = 0.5;
const LIST_REQUEST_PERIOD_S: f64 = 10.0;
/// How long statements may still be sent to an engine that is listed as draining.
const DRAIN_GRACE_S: f64 = 0.25;
/// How late after its deadline a statement may be answered.
const ANSWER_GRACE_S: f64 = 0.02;
/// The factor on a statement's priority weight when its tenant is over its quota.
const OVER_QUOTA_WEIGHT: f64 = 0.05;
/// The retry budget: the number of retries that is always allowed within the window. Further ones
/// are allowed in proportion to the statements accepted.
const MIN_RETRIES: f64 = 20.0;
const RETRIES_PER_STATEMENT: f64 = 0.25;
const RETRY_WINDOW_S: f64 = 10.0;
/// Separates the random streams of one seed's gateways from those of the next seed.
const SEED_STRIDE: u64 = 7919;

/// The limits that the rules check.
pub(super) fn rule_limits() -> rules::RuleLimits {
    rules::RuleLimits {
        drain_grace_s: DRAIN_GRACE_S,
        answer_grace_s: ANSWER_GRACE_S,
        retry_budget: Some((MIN_RETRIES, RETRIES_PER_STATEMENT, RETRY_WINDOW_S)),
    }
}

/// Builds the scheduler of each gateway, at its start and at each restart.
pub(super) struct FrontFactory<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) policy: Policy,
    /// The queue settings of one gateway. `None` if the scenario has no queues.
    pub(super) queue_config: Option<scheduler::Config>,
}

impl FrontFactory<'_> {
    pub(super) fn build(&self, seed: u64, gateway: usize) -> Front {
        let seed = seed.wrapping_mul(SEED_STRIDE).wrapping_add(gateway as u64);
        let dispatch = Dispatcher::new(admission_policy(self.scenario, seed));
        let classes = self.scenario.class.len();
        Front::new(
            self.policy,
            dispatch,
            self.queue_config.as_ref(),
            classes,
            seed,
        )
    }
}

fn admission_policy(scenario: &Scenario, seed: u64) -> AdmissionPolicy {
    let classes = scenario.class.values().map(query_class).collect();
    let engines = &scenario.engines;
    let cold_start = SlowStart {
        initial_share: engines.cold_share,
        warm_up: TimeDelta::from_secs(engines.cold_s),
        overload_multiple: engines.tip_multiple,
        window: TimeDelta::from_secs(engines.tip_s),
    };
    let discovery = DiscoveryMode {
        on_request: false,
        request_within: TimeDelta::from_secs(LIST_REQUEST_PERIOD_S),
    };
    let config = PolicyConfig {
        classes,
        tenant_quotas: tenant_quotas(scenario),
        fleet: engine_fleet(scenario),
        slow_start: Some(cold_start),
        retry_policy: retries(),
        discovery,
    };
    AdmissionPolicy::new(config, seed)
}

fn query_class(class: &scenario::ClassSpec) -> QueryClass {
    QueryClass {
        effect: if class.unrepeatable {
            Effect::NonIdempotent
        } else {
            Effect::Idempotent
        },
        priority_weight: class.priority_weight,
        late_priority_weight: class.late_priority_weight,
        latency_objective: TimeDelta::from_secs(class.quoted_ms / 1e3),
        latency_objective_stretch: class.latency_objective_stretch,
        time_limit: TimeDelta::from_secs(class.hard_limit_ms / 1e3),
        threads: class.threads,
        ordered_by_key: class.keys > 0,
        locations: class.zone.map(|zone| vec![LocationId(zone)]),
        machines: None,
    }
}

fn engine_fleet(scenario: &Scenario) -> FleetConfig {
    let engines = &scenario.engines;
    FleetConfig {
        peers: scenario.gateways as f64,
        cores: vec![engines.cores],
        memory_mb: vec![engines.memory_mb],
        progress_interval: Some(TimeDelta::from_secs(engines.note_ms / 1e3)),
        priorities_honored: false,
        idle_timeout: engines
            .idle_s
            .filter(|_| !scenario.idle_untold)
            .map(TimeDelta::from_secs),
    }
}

fn retries() -> RetryPolicy {
    let budget = RetryBudget {
        min_retries: MIN_RETRIES,
        ratio: RETRIES_PER_STATEMENT,
        window: TimeDelta::from_secs(RETRY_WINDOW_S),
    };
    RetryPolicy {
        max_attempts: MAX_ATTEMPTS,
        can_cancel: false,
        max_retry_after: Some(TimeDelta::from_secs(MAX_RETRY_AFTER_S)),
        order_settle: TimeDelta::from_secs(ORDERED_PAUSE_S),
        retry_budget: Some(budget),
    }
}

/// Quotas in proportion to each tenant's usual traffic, if the scenario has quotas.
fn tenant_quotas(scenario: &Scenario) -> TenantQuotas {
    let Some(times) = scenario.allowance_times else {
        return TenantQuotas::default();
    };
    let quotas = scenario.traffic.values().map(|queues| {
        let usual_per_s: f64 = queues
            .values()
            .flat_map(|traffic| traffic.per_s.values())
            .sum();
        usual_per_s * times
    });
    TenantQuotas {
        quotas: quotas.collect(),
        over_quota_weight: OVER_QUOTA_WEIGHT,
    }
}
