//! The configuration of the protocol and its defaults.

use admission::interface::TimeDelta;

use crate::traffic_limits::TrafficLimits;

/// The timing and the limits of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// SWIM's protocol period, in which one member is probed.
    pub probe_period: TimeDelta,
    /// How long a direct probe waits for its ack before other members are asked for indirect
    /// probes.
    pub probe_timeout: TimeDelta,
    /// The number of members that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// The number of hosts that may be Byzantine or may be wrong together. A claim takes effect
    /// once one more host than this makes it.
    pub max_byzantine: usize,
    /// The minimum suspicion time-out for ten members, in protocol periods. The time-out grows with
    /// the logarithm of the fleet's size.
    pub suspicion_multiplier: f64,
    /// The maximum suspicion time-out, as a multiple of the minimum. The time-out shrinks towards
    /// the minimum as more hosts agree.
    pub max_suspicion_factor: f64,
    /// The maximum number of members in the table, no matter how many others report.
    pub max_members: usize,
    /// How long dead members and members that left stay in the table.
    pub dead_retention: TimeDelta,
    /// The maximum number of pings answered per second. The limit applies to members and,
    /// separately, to all other senders.
    pub answers_per_s: f64,
    /// The maximum number of table pages and comparison responses sent per second.
    pub pages_per_s: f64,
    /// The maximum number of messages sent per second in a broadcast of engine reports.
    pub engine_reports_per_s: f64,
    /// The maximum number of concurrent direct probes that verify gossip. Applies only without
    /// traffic limits.
    pub max_direct_probes: usize,
    /// The fraction of the last converged fleet below which this node counts as partitioned.
    pub partition_threshold: f64,
    /// How long a partition lasts before its members accept the smaller fleet as the whole fleet.
    pub partition_acceptance: TimeDelta,
    /// The minimum time between two changes of the view state. A change to partitioned is not
    /// delayed.
    pub min_view_state_duration: TimeDelta,
    /// How long an engine report counts.
    pub engine_report_lifetime: TimeDelta,
    /// Limits on the traffic of a large fleet, or `None` for the plain protocol.
    pub traffic_limits: Option<TrafficLimits>,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            probe_period: TimeDelta::from_secs(1.0),
            probe_timeout: TimeDelta::from_secs(0.3),
            indirect_probes: 3,
            max_byzantine: 1,
            suspicion_multiplier: 3.0,
            max_suspicion_factor: 4.0,
            max_members: 1024,
            dead_retention: TimeDelta::from_secs(300.0),
            answers_per_s: 50.0,
            pages_per_s: 20.0,
            engine_reports_per_s: 100.0,
            max_direct_probes: 4,
            partition_threshold: 0.5,
            partition_acceptance: TimeDelta::from_secs(120.0),
            min_view_state_duration: TimeDelta::from_secs(2.0),
            engine_report_lifetime: TimeDelta::from_secs(8.0),
            traffic_limits: None,
        }
    }
}

impl Config {
    /// Returns how many independent witnesses a claim needs. At least one of that many is not
    /// Byzantine.
    #[must_use]
    pub fn required_witnesses(&self) -> usize {
        self.max_byzantine + 1
    }
}
