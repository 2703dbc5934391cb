//! Tenant quotas: which statements are over their tenant's quota, and how much more than its even share of the traffic
//! this gateway carries.

use crate::interface::{TenantId, TenantQuotas, Timestamp};

/// Rates of statements are smoothed over this time, in seconds.
const SMOOTHING_S: f64 = 3.0;
/// A tenant may save up what its quota brings in this time, in seconds ...
const BURST_S: f64 = 3.0;
/// ... and so many statements: at a quiet gateway chance alone would put it over.
const BURST_STATEMENTS: f64 = 5.0;
/// A tenant with less than this part of all statements tells nothing of the traffic's division.
const MIN_TRAFFIC: f64 = 0.05;
/// The traffic share is taken by this factor too high: chance must not put a tenant over.
const TRAFFIC_SHARE_MARGIN: f64 = 1.2;

/// One tenant's bucket of statements.
struct TenantBucket {
    tokens: f64,
    /// Statements a second.
    rate: f64,
    updated: Option<Timestamp>,
}

/// The quotas, as this gateway's even share of them.
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
            updated: None,
        });
        TenantQuotaTracker {
            tenants: tenants.collect(),
            config,
            peers,
            traffic_share: 1.0,
        }
    }

    /// What this gateway carries, in even shares of all gateways' traffic, from 1 to all of it.
    pub(super) fn traffic_share(&self) -> f64 {
        self.traffic_share
    }

    /// Counts a statement of this tenant, and tells whether it is over the quota.
    pub(super) fn is_over_quota(&mut self, now: Timestamp, tenant: TenantId) -> bool {
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

    fn update(&mut self, now: Timestamp, sender: TenantId) {
        let quotas = self.config.quotas.iter();
        for (index, (bucket, quota)) in self.tenants.iter_mut().zip(quotas).enumerate() {
            let quota = quota / self.peers;
            let last = bucket.updated.replace(now).unwrap_or(now);
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

    /// A gateway that carries more than its even share sees every tenant over: what the least of them is over is the
    /// gateway's own doing.
    fn estimate_traffic_share(&self) -> f64 {
        let total: f64 = self.tenants.iter().map(|bucket| bucket.rate).sum();
        let tenants = self.tenants.iter().zip(&self.config.quotas);
        let active = tenants.filter(|(bucket, _)| bucket.rate > MIN_TRAFFIC * total);
        let least = active
            .map(|(bucket, quota)| bucket.rate / (quota / self.peers).max(1e-6))
            .fold(f64::INFINITY, f64::min);
        (least * TRAFFIC_SHARE_MARGIN).clamp(1.0, self.peers)
    }
}
