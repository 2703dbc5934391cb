//! Limits that keep the traffic of each node constant as the fleet grows. They are off by default.
//! See docs/notes/fleet.md.

/// The maximum traffic that one node generates for the protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficLimits {
    /// The number of failed retries after which a member is suspected.
    pub confirmations: usize,
    /// The expected number of nodes that immediately verify an update with too few witnesses. The
    /// other nodes that receive it wait.
    pub verifiers: usize,
    /// The maximum number of direct probes started in one protocol period.
    pub direct_probes: usize,
    /// The maximum rate of gossip in messages, in bytes per second.
    pub gossip_bytes_per_s: f64,
    /// The maximum rate of anti-entropy traffic, in bytes per second. Unused bytes accumulate up to
    /// 16,000.
    pub exchange_bytes_per_s: f64,
}

impl Default for TrafficLimits {
    fn default() -> Self {
        TrafficLimits {
            confirmations: 10,
            verifiers: 8,
            direct_probes: 8,
            gossip_bytes_per_s: 800.0,
            exchange_bytes_per_s: 900.0,
        }
    }
}
