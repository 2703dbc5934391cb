//! The report of a scale run, which is written as JSON and as a table.

use serde::Serialize;

use super::message::Usage;
use super::script::Fault;

/// The distribution of a value over gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    pub median: f64,
    pub p99: f64,
    pub max: f64,
}

impl Spread {
    /// Computes the quantiles by nearest rank. Without values, they are zero.
    pub fn of(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        let rank = |part: f64| {
            let at = (part * values.len() as f64).ceil() as usize;
            values.get(at.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        Spread {
            median: rank(0.5),
            p99: rank(0.99),
            max: rank(1.0),
        }
    }
}

/// The resources that gateways used in a measurement window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Cost {
    /// The number of gateways that are counted.
    pub gateways: usize,
    pub window_s: f64,
    /// The UDP payload in both directions together.
    pub bytes_per_second: Spread,
    pub datagrams_per_second: Spread,
    /// The CPU time as a fraction of one core.
    pub cpu_part: Spread,
}

impl Cost {
    pub fn of(usages: &[Usage], window_s: f64) -> Cost {
        let rates = |of: &dyn Fn(&Usage) -> f64| {
            Spread::of(usages.iter().map(|u| of(u) / window_s).collect())
        };
        Cost {
            gateways: usages.len(),
            window_s,
            bytes_per_second: rates(&|usage| usage.bytes as f64),
            datagrams_per_second: rates(&|usage| usage.datagrams as f64),
            cpu_part: rates(&|usage| usage.cpu_s),
        }
    }
}

/// Counts of irregular events in the hollow processes in a window.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Troubles {
    pub false_deaths: u64,
    pub stalls: u64,
    pub undelivered_lease_messages: u64,
    pub unsent_datagrams: u64,
}

/// How far the membership views of the gateways agree.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Agreement {
    /// The number of hollow gateways that have the most common view.
    pub largest_group: usize,
    /// The number of hollow gateways that were asked.
    pub asked: usize,
    /// The number of different views.
    pub views: usize,
    /// The number of members in the most common view.
    pub size: usize,
    /// The number of gateways that actually live.
    pub living: usize,
}

/// A fault and its effects until the next one.
#[derive(Clone, Debug, Serialize)]
pub struct FaultReport {
    #[serde(flatten)]
    pub fault: Fault,
    /// The number of gateways that the fault ended.
    pub ended: usize,
    /// The time from the start of the fault until a living gateway first noticed an ended one, or
    /// `None` if none did.
    pub detected_s: Option<f64>,
    /// The time from the start of the fault until every ended gateway was noticed, or `None`.
    pub all_detected_s: Option<f64>,
    /// The time until all views agreed and were correct, from the start of the fault or, for one
    /// that lasts, from its end. It is `None` if they never did.
    pub agreed_s: Option<f64>,
    pub false_deaths: u64,
    /// The time from the start of the fault until another member became the coordinator, or `None`.
    pub coordinator_change_s: Option<f64>,
    pub at_the_end: Agreement,
    pub cost: Cost,
    pub troubles: Troubles,
}

/// A comparison of hollow gateways with real ones.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Comparison {
    /// The CPU time of the hollow processes per gateway, as a fraction of one core and without the
    /// processes of the voters.
    pub hollow_process_cpu_part: f64,
    /// The CPU time of each real process, as a fraction of one core.
    pub real_cpu_part: Vec<f64>,
    /// The relative deviation of `hollow_process_cpu_part` from the mean of `real_cpu_part`.
    pub hollow_from_real: f64,
    pub real: Cost,
    pub real_memory_bytes: Vec<u64>,
}

/// The report of a whole run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub hollow: usize,
    pub real: usize,
    pub regions: usize,
    pub zones: usize,
    pub engines: usize,
    pub budgets: usize,
    pub seconds: f64,
    pub seed: u64,
    pub processes: usize,
    /// The time from the first start until all views agreed, or `None` if they never did.
    pub start_agreed_s: Option<f64>,
    #[serde(flatten)]
    pub cost: Cost,
    pub memory_bytes_per_gateway: Spread,
    /// The greatest memory of all processes together that was observed.
    pub memory_bytes: u64,
    /// The cost of the coordinator of the leases, or `None` if it is not a hollow gateway.
    pub coordinator: Option<Cost>,
    pub steady: Agreement,
    pub troubles: Troubles,
    pub comparison: Comparison,
    pub faults: Vec<FaultReport>,
}

impl Cost {
    fn lines(&self) -> String {
        let line = |name: &str, of: &Spread, scale: f64| {
            format!(
                "  {name:<22} median {:>10.3}  p99 {:>10.3}  max {:>10.3}\n",
                of.median * scale,
                of.p99 * scale,
                of.max * scale
            )
        };
        line("bytes/s", &self.bytes_per_second, 1.0)
            + &line("datagrams/s", &self.datagrams_per_second, 1.0)
            + &line("cpu, % of a core", &self.cpu_part, 100.0)
    }
}

/// Formats a time, or a dash for `None`.
fn format_seconds(seconds: Option<f64>) -> String {
    seconds.map_or("-".to_owned(), |seconds| format!("{seconds:.2} s"))
}

impl Report {
    /// Formats the report as a table for people.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{} hollow, {} real, {} budgets, {} processes: agreed after the start: {}\n{}",
            self.hollow,
            self.real,
            self.budgets,
            self.processes,
            format_seconds(self.start_agreed_s),
            self.cost.lines()
        );
        let memory = &self.memory_bytes_per_gateway;
        text += &format!(
            "  memory, KiB            median {:>10.1}\n",
            memory.median / 1024.0
        );
        text += &format!("  steady: {:?}\n  {:?}\n", self.steady, self.troubles);
        if let Some(coordinator) = &self.coordinator {
            text += &format!("coordinator\n{}", coordinator.lines());
        }
        let compared = &self.comparison;
        text += &format!(
            "hollow process by gateway {:.3}% of a core, real {:?}%: {:+.1}%\n",
            compared.hollow_process_cpu_part * 100.0,
            compared
                .real_cpu_part
                .iter()
                .map(|part| (part * 1e5).round() / 1e3)
                .collect::<Vec<_>>(),
            compared.hollow_from_real * 100.0
        );
        for fault in &self.faults {
            text += &format!(
                "{} at {} s: {} ended, detected {}, all {}, agreed {}, false deaths {}, coordinator changed {}\n  {:?}\n  {:?}\n{}",
                fault.fault.what.name(),
                fault.fault.at_s,
                fault.ended,
                format_seconds(fault.detected_s),
                format_seconds(fault.all_detected_s),
                format_seconds(fault.agreed_s),
                fault.false_deaths,
                format_seconds(fault.coordinator_change_s),
                fault.at_the_end,
                fault.troubles,
                fault.cost.lines()
            );
        }
        text
    }
}
