//! Tenant quotas: which statements are over their tenant's quota, and by how much the traffic of
//! this gateway exceeds its even share.

use crate::interface::{TenantId, TenantQuotas, Timestamp};

/// Time constant of the smoothed rates of statements, in seconds.
const SMOOTHING_S: f64 = 3.0;
/// Time for which a tenant may accumulate unused quota, in seconds.
const BURST_S: f64 = 3.0;
/// Statements that a tenant may accumulate beyond [`BURST_S`]. Without them, random arrivals alone
/// would put a tenant over its quota at a quiet gateway.
const BURST_STATEMENTS: f64 = 5.0;
/// Tenants with less than this fraction of all statements are ignored when the traffic share is
/// estimated.
const MIN_TRAFFIC_FRACTION: f64 = 0.05;
/// Factor by which the traffic share is overestimated, so that random variation does not put a
/// tenant over its quota.
const TRAFFIC_SHARE_MARGIN: f64 = 1.2;

/// The token bucket of one tenant, in statements.
struct TenantBucket {
    tokens: f64,
    /// Smoothed rate, in statements per second.
    rate: f64,
    /// When the bucket was last refilled; `None` before the first statement.
    last_refill: Option<Timestamp>,
}

/// Tracks the use of the tenants' quotas, of which this gateway has an even share.
pub(super) struct TenantQuotaTracker {
    config: TenantQuotas,
    peers: f64,
    tenants: Vec<TenantBucket>,
    traffic_share: f64,
}

impl TenantQuotaTracker {
    pub(super) fn new(config: TenantQuotas, peers: f64) -> Self {
        let tenants = config.quotas.iter().map(|quota| TenantBucket {
            tokens: *quota,
            rate: 0.0,
            last_refill: None,
        });
        TenantQuotaTracker {
            tenants: tenants.collect(),
            config,
            peers,
            traffic_share: 1.0,
        }
    }

    /// Returns this gateway's traffic as a multiple of its even share of all gateways' traffic,
    /// from 1 to the number of gateways.
    pub(super) fn traffic_share(&self) -> f64 {
        self.traffic_share
    }

    /// Charges a statement to its tenant's quota, and returns whether it is over the quota.
    pub(super) fn charge_statement(&mut self, now: Timestamp, tenant: TenantId) -> bool {
        let is_unlimited = tenant.0 >= self.tenants.len() || self.config.over_quota_weight >= 1.0;
        if is_unlimited {
            return false;
        }
        self.update(now, tenant);
        self.traffic_share = self.estimate_traffic_share();
        let bucket = &mut self.tenants[tenant.0];
        let is_over = bucket.tokens < 1.0;
        if !is_over {
            bucket.tokens -= 1.0;
        }
        is_over
    }

    /// Refills all buckets up to `now`, and counts a statement of `sender` in its rate.
    fn update(&mut self, now: Timestamp, sender: TenantId) {
        let quotas = self.config.quotas.iter();
        for (index, (bucket, quota)) in self.tenants.iter_mut().zip(quotas).enumerate() {
            let quota = quota / self.peers;
            let last = bucket.last_refill.replace(now).unwrap_or(now);
            let elapsed_s = (now - last).secs();
            bucket.rate *= (-elapsed_s / SMOOTHING_S).exp();
            if index == sender.0 {
                bucket.rate += 1.0 / SMOOTHING_S;
            }
            let refilled = bucket.tokens + elapsed_s * quota * self.traffic_share;
            let capacity = quota * self.traffic_share * BURST_S + BURST_STATEMENTS;
            bucket.tokens = refilled.min(capacity);
        }
    }

    /// Estimates the traffic share. A gateway that carries more than its even share sees every
    /// tenant over its quota, so the lowest ratio of rate to quota among the active tenants is
    /// attributed to the gateway.
    fn estimate_traffic_share(&self) -> f64 {
        let total: f64 = self.tenants.iter().map(|bucket| bucket.rate).sum();
        let tenants = self.tenants.iter().zip(&self.config.quotas);
        let active = tenants.filter(|(bucket, _)| bucket.rate > MIN_TRAFFIC_FRACTION * total);
        let lowest_ratio = active
            .map(|(bucket, quota)| bucket.rate / (quota / self.peers).max(1e-6))
            .fold(f64::INFINITY, f64::min);
        (lowest_ratio * TRAFFIC_SHARE_MARGIN).clamp(1.0, self.peers)
    }
}
