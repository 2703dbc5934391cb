//! This gateway's leases on the budgets that all gateways share: how much the scheduling decisions
//! may use, and how much the sent attempts have spent.

use ::control::QuotaOwner;
use ::membership::{BootId, Name};
use ::quota::{BudgetKind, Config, Event, FleetQuotas, HolderId, RejectReason, Status};
use admission::interface::{QuotaGrant, Timestamp};
use scheduler::TenantUsage;
use tracing::{info, warn};

use crate::clock::Clock;

/// The budgets that an attempt is charged to when it is sent.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCharge {
    /// Index of the statement's query class in the settings.
    pub class: usize,
    /// Whether the attempt is charged to the class's retry budget.
    pub is_retry: bool,
    /// Whether the attempt is charged to the budget for probes of ejected engines.
    pub is_outlier_probe: bool,
}

/// Indexes into the configured budgets, by use. `None` when the use has no shared budget.
#[derive(Default)]
struct BudgetIndexes {
    /// Indexed by query class.
    retries: Vec<Option<usize>>,
    /// Indexed by tenant, in the scheduler's numbering.
    tenants: Vec<Option<usize>>,
    outlier_probes: Option<usize>,
    slow_start: Option<usize>,
}

impl BudgetIndexes {
    fn find(quotas: &FleetQuotas, classes: &[String], tenants: &[String]) -> Self {
        let find = |kind: BudgetKind| quotas.budget_index(&kind);
        BudgetIndexes {
            retries: classes
                .iter()
                .map(|class| find(BudgetKind::Retries(class.clone())))
                .collect(),
            tenants: tenants
                .iter()
                .map(|tenant| find(BudgetKind::Tenant(tenant.clone())))
                .collect(),
            outlier_probes: find(BudgetKind::OutlierProbes),
            slow_start: find(BudgetKind::SlowStart),
        }
    }

    fn retry_budget(&self, class: usize) -> Option<usize> {
        self.retries.get(class).copied().flatten()
    }
}

/// The quotas of this gateway, and how its parts use them.
pub struct QuotaLeases {
    quotas: FleetQuotas,
    clock: Clock,
    indexes: BudgetIndexes,
    classes: Vec<String>,
    tenants: Vec<String>,
    /// Each tenant's total demand and spending at the last update.
    recorded_usage: Vec<TenantUsage>,
    /// Attempts that were not sent because their quota was used up or had expired.
    rejected_attempts: u64,
}

impl QuotaOwner for QuotaLeases {
    fn quotas(&self) -> &FleetQuotas {
        &self.quotas
    }

    fn quotas_mut(&mut self) -> &mut FleetQuotas {
        &mut self.quotas
    }
}

impl QuotaLeases {
    /// Creates the leases of a gateway that starts now and that the others know by `name` and
    /// `boot_id`. The other methods refer to query classes and tenants by their indexes in
    /// `classes` and `tenants`.
    #[must_use]
    pub fn new(
        clock: Clock,
        name: Name,
        boot_id: BootId,
        config: Config,
        classes: &[String],
        tenants: &[String],
        seed: u64,
    ) -> Self {
        let holder = HolderId { name, boot_id };
        let quotas = FleetQuotas::new(clock.boottime_now(), holder, config, seed);
        QuotaLeases {
            indexes: BudgetIndexes::find(&quotas, classes, tenants),
            quotas,
            clock,
            classes: classes.to_vec(),
            tenants: tenants.to_vec(),
            recorded_usage: vec![TenantUsage::default(); tenants.len()],
            rejected_attempts: 0,
        }
    }

    /// Applies new budgets, and tenants as the scheduler numbers them now. Returns the changed
    /// settings that take effect only after a restart.
    pub fn reconfigure(&mut self, config: Config, tenants: &[String]) -> Vec<&'static str> {
        let changed = settings_requiring_restart(self.quotas.participant().config(), &config);
        self.quotas.reconfigure(self.clock.boottime_now(), config);
        self.recorded_usage = tenants
            .iter()
            .map(|tenant| self.recorded_usage_of(tenant))
            .collect();
        self.tenants = tenants.to_vec();
        self.indexes = BudgetIndexes::find(&self.quotas, &self.classes, &self.tenants);
        changed
    }

    fn recorded_usage_of(&self, tenant: &str) -> TenantUsage {
        let index = self.tenants.iter().position(|known| known == tenant);
        index.map_or(TenantUsage::default(), |index| self.recorded_usage[index])
    }

    /// Returns how much the scheduling decisions may use until the next grant. `traffic_share` is
    /// this gateway's traffic in multiples of an even share among `peers` gateways, and
    /// `ejected_engines` is the number of engines that wait for a probe.
    pub fn grant(&mut self, traffic_share: f64, peers: f64, ejected_engines: usize) -> QuotaGrant {
        let now = self.clock.boottime_now();
        let quotas = &mut self.quotas;
        let retries = self
            .indexes
            .retries
            .iter()
            .map(|budget| budget.map(|budget| quotas.available_units(now, budget)))
            .collect();
        let outlier_probes = self.indexes.outlier_probes.map(|budget| {
            quotas.set_demand(now, budget, ejected_engines as f64);
            quotas.available_units(now, budget)
        });
        let slow_start = self.indexes.slow_start.map(|budget| {
            // The demand is the fraction of each engine in slow start that matches this gateway's
            // fraction of the traffic.
            quotas.set_demand(now, budget, (traffic_share / peers).min(1.0));
            quotas.rate(now, budget)
        });
        QuotaGrant {
            retries,
            outlier_probes,
            slow_start,
        }
    }

    /// Charges an attempt that is about to be sent, at the current time. Returns false, and charges
    /// nothing, when a quota that the decision relied on is used up or has expired.
    #[must_use]
    pub fn charge(&mut self, charge: AttemptCharge) -> bool {
        let now = self.clock.boottime_now();
        let retries = self
            .indexes
            .retry_budget(charge.class)
            .filter(|_| charge.is_retry);
        let probes = self
            .indexes
            .outlier_probes
            .filter(|_| charge.is_outlier_probe);
        let budgets: Vec<usize> = [retries, probes].into_iter().flatten().collect();
        let is_covered = budgets
            .iter()
            .all(|budget| self.quotas.can_spend(now, *budget, 1.0));
        if !is_covered {
            self.rejected_attempts += 1;
            return false;
        }
        for budget in budgets {
            self.quotas.record_spent(now, budget, 1.0);
        }
        true
    }

    /// Records that an attempt of this query class failed and that a retry is wanted, whether or
    /// not one is possible.
    pub fn record_retry_demand(&mut self, class: usize) {
        if let Some(budget) = self.indexes.retry_budget(class) {
            self.quotas
                .record_demand(self.clock.boottime_now(), budget, 1.0);
        }
    }

    /// Records what the tenants demanded and spent since the start, in predicted CPU seconds.
    /// Returns what each tenant may spend per second, or `None` when its budget is not shared.
    pub fn update_tenants(&mut self, usage: &[TenantUsage]) -> Vec<Option<f64>> {
        let now = self.clock.boottime_now();
        let mut rates = Vec::with_capacity(self.indexes.tenants.len());
        for (tenant, budget) in self.indexes.tenants.iter().enumerate() {
            let Some(budget) = *budget else {
                rates.push(None);
                continue;
            };
            let total = usage.get(tenant).copied().unwrap_or_default();
            let recorded = std::mem::replace(&mut self.recorded_usage[tenant], total);
            self.quotas
                .record_demand(now, budget, total.demanded - recorded.demanded);
            self.quotas
                .record_spent(now, budget, total.spent - recorded.spent);
            rates.push(Some(self.quotas.rate(now, budget)));
        }
        rates
    }

    /// Whether any tenant's budget is shared.
    #[must_use]
    pub fn shares_tenant_budgets(&self) -> bool {
        self.indexes.tenants.iter().any(Option::is_some)
    }

    /// The time since boot and the status of all budgets at that time, for operators.
    pub fn status(&mut self) -> (Timestamp, Status) {
        let now = self.clock.boottime_now();
        (now, self.quotas.status(now))
    }

    /// All counters as `name=value` pairs, each followed by a space. Operators' tools parse the
    /// names.
    pub fn counters(&mut self) -> String {
        let (_, status) = self.status();
        let metrics = self.quotas.metrics();
        let mut text = format!(
            "shares_sent={} shares_taken={} shares_short={} shares_steward={} ",
            metrics.sent,
            metrics.accepted,
            self.rejected_attempts,
            if status.is_leader { 1 } else { 0 }
        );
        for (reason, name) in [
            (RejectReason::Malformed, "form"),
            (RejectReason::NotAVoter, "no_voter"),
            (RejectReason::Unsolicited, "unasked"),
            (RejectReason::Stale, "old"),
        ] {
            let count = metrics.rejected.get(&reason).copied().unwrap_or(0);
            text += &format!("shares_refused_{name}={count} ");
        }
        for budget in &status.budgets {
            let name = budget.budget.replace(['.', '-'], "_");
            text += &format!(
                "shares_{name}_spent_milli={} shares_{name}_allowed_milli={} shares_{name}_refused={} ",
                (budget.spent * 1e3) as i64,
                (budget.allowed * 1e3) as i64,
                budget.rejected
            );
        }
        text
    }

    /// Logs the events of the lease protocol.
    pub fn log_events(&mut self) {
        for event in self.quotas.take_events() {
            log_event(event);
        }
    }
}

/// Returns the changed settings that take effect only when all gateways restart, by their names in
/// the operator's file.
fn settings_requiring_restart(old: &Config, new: &Config) -> Vec<&'static str> {
    let differs = [
        ("voters", old.voters != new.voters),
        ("most_gateways", old.max_gateways != new.max_gateways),
        ("lease_ms", old.lease_duration != new.lease_duration),
        ("term_ms", old.term_duration != new.term_duration),
        ("drift", old.drift_ppm != new.drift_ppm),
    ];
    let changed = differs.into_iter().filter(|(_, differs)| *differs);
    changed.map(|(setting, _)| setting).collect()
}

fn log_event(event: Event) {
    match event {
        Event::BecameLeader { term } => info!(term, "quota: this gateway became leader"),
        Event::LostLeadership => warn!("quota: this gateway lost leadership"),
        Event::LeaseAcquired { leader } => info!(%leader, "quota: lease acquired"),
        Event::LeaseExpired => {
            warn!("quota: lease expired without renewal; using only the guaranteed minimums");
        }
        Event::ClocksDrift(gateways) => {
            let gateways: Vec<String> = gateways.iter().map(ToString::to_string).collect();
            warn!(
                gateways = gateways.join(", "),
                "quota: clocks drift beyond the bound; these gateways get guaranteed minimums only"
            );
        }
        Event::ConfigsDiffer(differences) => {
            let differences: Vec<String> = differences
                .iter()
                .map(|difference| format!("{}: {}", difference.gateway, difference.budget))
                .collect();
            warn!(
                differences = differences.join(", "),
                "quota: configurations differ; the smallest capacity of a voter counts"
            );
        }
    }
}
