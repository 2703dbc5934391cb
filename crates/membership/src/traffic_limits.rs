//! Limits that keep the traffic of a large fleet flat, off unless set. See docs/notes/fleet.md.

/// What one node spends on others, at most.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficLimits {
    /// Failed probes of one member in a row, after the first, before it is suspected.
    pub confirmations: usize,
    /// Of those that hear an update from too few witnesses, about so many verify it at once; the others wait.
    pub verifiers: usize,
    /// Direct probes begun in one period.
    pub direct_probes: usize,
    /// Bytes a second of gossip that messages carry.
    pub gossip_bytes_per_s: f64,
    /// Bytes a second spent on anti-entropy, beyond what was saved up (16,000 bytes).
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
