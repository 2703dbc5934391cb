//! Times and limits of the protocol, with their defaults.

use admission::interface::TimeDelta;

use crate::traffic_limits::TrafficLimits;

/// Times and limits of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// SWIM's protocol period: one member is probed in each.
    pub probe_period: TimeDelta,
    /// How long a direct probe waits for its ack before others are asked for indirect probes.
    pub probe_timeout: TimeDelta,
    /// Members asked for an indirect probe of one that did not answer.
    pub indirect_probes: usize,
    /// Hosts that may be Byzantine, or wrong together: gossip counts from one more witness on.
    pub max_byzantine: usize,
    /// Shortest time from suspicion to death in periods, for ten members; more for more, less the more agree.
    pub suspicion_multiplier: f64,
    /// The longest such time, as a multiple of the shortest.
    pub max_suspicion_factor: f64,
    /// Members in the table at most, whatever others claim.
    pub max_members: usize,
    /// Members that are dead or left are forgotten after this.
    pub dead_retention: TimeDelta,
    /// Pings answered a second: of members, and again as many of all others.
    pub answers_per_s: f64,
    /// Parts of the table given out a second.
    pub pages_per_s: f64,
    /// Messages a second that tell of engines.
    pub engine_reports_per_s: f64,
    /// Direct probes after gossip that run at once, without traffic limits.
    pub max_direct_probes: usize,
    /// A view smaller than this part of the last one that was agreed on is partitioned.
    pub partition_threshold: f64,
    /// Partitioned for so long, the smaller fleet is taken for the whole.
    pub partition_acceptance: TimeDelta,
    /// View states change no sooner, but to partitioned.
    pub min_view_state_duration: TimeDelta,
    /// How long a report of an engine counts.
    pub engine_report_lifetime: TimeDelta,
    /// Limits on what a large fleet sends; `None`: the plain protocol.
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
    /// Independent witnesses that gossip needs: among so many at least one is not Byzantine.
    #[must_use]
    pub fn required_witnesses(&self) -> usize {
        self.max_byzantine + 1
    }
}
