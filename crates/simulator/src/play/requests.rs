//! The clients' requests of one run. They are drawn before the run, so that every policy gets the
//! same ones.

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, StandardNormal};
use rand_pcg::Pcg64Mcg;
use scheduler::{QueueResolver, SubQueueId};

use crate::scenario::{ClassSpec, Fault, FaultKind, Scenario};

/// Separates the random streams of one seed from those of the next.
const SEED_STRIDE: u64 = 1_000_003;
/// The bias of estimates by table group. An engine's statistics also err in one direction for each
/// table.
const TABLE_GROUP_BIAS: [f64; 3] = [0.5, 1.0, 2.0];
/// The offset between consecutive tenants' most preferred gateways. All tenants rank gateways in
/// the same cyclic order.
const PREFERENCE_STEP: usize = 7;

/// A request of a client, independent of the policy.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) arrival_s: f64,
    pub(super) tenant: usize,
    pub(super) queue: SubQueueId,
    pub(super) class: usize,
    /// The gateway that its client is connected to.
    pub(super) gateway: usize,
    pub(super) cpu_s: f64,
    pub(super) estimate_s: f64,
    pub(super) table_group: u32,
    pub(super) order_key: Option<u64>,
    pub(super) tries_left: u32,
    pub(super) deadline_s: f64,
    /// Whether it has been answered with a result.
    pub(super) served: bool,
}

/// Draws all requests of a run, in order of arrival.
///
/// # Errors
/// Fails if the script or a traffic rate is not valid.
pub(super) fn draw(
    scenario: &Scenario,
    resolver: Option<&QueueResolver>,
    seed: u64,
) -> Result<Vec<Request>, String> {
    let mut floods = scenario.faults()?;
    floods.retain(|(kind, _)| *kind == FaultKind::Flood);
    let gateways = GatewayPreference::new(scenario);
    let mut requests = Vec::new();
    let mut queues = 0;
    let mut streams = 0;
    for (tenant, (tenant_name, traffic_by_queue)) in scenario.traffic.iter().enumerate() {
        for (queue_name, traffic) in traffic_by_queue {
            let resolved = resolver.map(|known| {
                known
                    .resolve(Some(tenant_name), Some(queue_name), None)
                    .sub_queue
            });
            let queue = resolved.unwrap_or(SubQueueId(queues));
            queues += 1;
            for (class, (class_name, settings)) in scenario.class.iter().enumerate() {
                streams += 1;
                let mut rng =
                    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(SEED_STRIDE).wrapping_add(streams));
                let floods = floods.iter().map(|(_, flood)| flood);
                let source = Source {
                    scenario,
                    gateways: &gateways,
                    tenant,
                    queue,
                    class,
                    settings,
                    usual_per_s: traffic.per_s.get(class_name).copied().unwrap_or(0.0),
                    floods: floods
                        .filter(|flood| applies_to(flood, tenant_name, class_name))
                        .collect(),
                };
                source.draw(&mut rng, &mut requests)?;
            }
        }
    }
    requests.sort_by(|a, b| a.arrival_s.total_cmp(&b.arrival_s));
    Ok(requests)
}

/// Whether a flood applies to the traffic of this tenant and query class.
fn applies_to(flood: &Fault, tenant: &str, class: &str) -> bool {
    flood.member.as_ref().is_none_or(|name| name == tenant)
        && flood.class.as_ref().is_none_or(|name| name == class)
}

/// The source of the requests of one query class in one queue of a tenant.
struct Source<'a> {
    scenario: &'a Scenario,
    gateways: &'a GatewayPreference,
    tenant: usize,
    queue: SubQueueId,
    class: usize,
    settings: &'a ClassSpec,
    usual_per_s: f64,
    floods: Vec<&'a Fault>,
}

impl Source<'_> {
    fn draw(&self, rng: &mut Pcg64Mcg, requests: &mut Vec<Request>) -> Result<(), String> {
        let peak_per_s = self.rate_under(self.floods.iter());
        if peak_per_s <= 0.0 {
            return Ok(());
        }
        let interval_s = Exp::new(peak_per_s).map_err(|error| error.to_string())?;
        let mut now_s = 0.0;
        loop {
            now_s += interval_s.sample(rng);
            if now_s >= self.scenario.seconds {
                return Ok(());
            }
            let request = self.request(now_s, rng);
            let rate_per_s =
                self.rate_under(self.floods.iter().filter(|flood| is_active(flood, now_s)));
            // Requests are drawn at the peak rate and then thinned to the current one. The thinning
            // draw comes last, so that every candidate request takes the same draws.
            if rng.random::<f64>() * peak_per_s < rate_per_s {
                requests.push(request);
            }
        }
    }

    /// Requests per second under these floods, of which the strongest applies.
    fn rate_under<'f>(&self, floods: impl Iterator<Item = &'f &'f Fault>) -> f64 {
        floods.fold(self.usual_per_s, |most, flood| {
            most.max(self.usual_per_s * flood.times)
        })
    }

    /// Draws one request. The order of the draws has to stay, because the requests of a seed depend
    /// on it.
    fn request(&self, arrival_s: f64, rng: &mut Pcg64Mcg) -> Request {
        let settings = self.settings;
        let cpu_deviation: f64 = StandardNormal.sample(rng);
        let estimate_error: f64 = StandardNormal.sample(rng);
        let table_group = rng.random_range(0..settings.table_groups.max(1));
        let gateway = self.gateways.draw(self.tenant, rng);
        let order_key = (settings.keys > 0).then(|| rng.random_range(0..settings.keys.max(1)));
        let spread = settings.cpu_spread;
        let cpu_s = settings.cpu_ms / 1e3 * (spread * cpu_deviation - spread * spread / 2.0).exp();
        let bias = TABLE_GROUP_BIAS[table_group as usize % TABLE_GROUP_BIAS.len()]
            * settings.estimate_times;
        Request {
            arrival_s,
            tenant: self.tenant,
            queue: self.queue,
            class: self.class,
            gateway,
            cpu_s,
            estimate_s: cpu_s * bias * (settings.estimate_spread * estimate_error).exp(),
            table_group,
            order_key,
            tries_left: self.scenario.client_tries,
            deadline_s: arrival_s + settings.hard_limit_ms / 1e3,
            served: false,
        }
    }
}

/// Whether a flood is active at this time.
fn is_active(flood: &Fault, now_s: f64) -> bool {
    flood.at_s <= now_s && now_s < flood.at_s + flood.for_s
}

/// The distribution of a tenant's clients over gateways: uniform or, if skewed, by rank in the
/// tenant's own order.
struct GatewayPreference {
    count: usize,
    skewed: bool,
    /// The sum of the weights up to and including each rank.
    cumulative_weights: Vec<f64>,
}

impl GatewayPreference {
    fn new(scenario: &Scenario) -> Self {
        let mut sum = 0.0;
        let cumulative = |rank: usize| {
            sum += (1.0 + rank as f64).powf(-scenario.uneven);
            sum
        };
        GatewayPreference {
            count: scenario.gateways,
            skewed: scenario.uneven > 0.0,
            cumulative_weights: (0..scenario.gateways).map(cumulative).collect(),
        }
    }

    fn draw(&self, tenant: usize, rng: &mut Pcg64Mcg) -> usize {
        if !self.skewed {
            return rng.random_range(0..self.count);
        }
        let total = self.cumulative_weights.last().copied().unwrap_or(0.0);
        let drawn = rng.random::<f64>() * total;
        let rank = self.cumulative_weights.partition_point(|sum| *sum < drawn);
        (rank + tenant * PREFERENCE_STEP) % self.count
    }
}
