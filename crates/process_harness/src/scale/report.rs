//! Figures of a run, as its JSON file and its table have them.

use serde::Serialize;

use super::message::Usage;
use super::script::Fault;

/// Over gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    pub median: f64,
    pub p99: f64,
    pub max: f64,
}

impl Spread {
    /// By nearest rank; zeros where there is nothing.
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

/// What gateways took in a window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Cost {
    /// Gateways counted.
    pub gateways: usize,
    pub window_s: f64,
    /// Payload of UDP, both directions together.
    pub bytes_per_second: Spread,
    pub datagrams_per_second: Spread,
    /// Of one core.
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

/// What hollow processes did besides in a window.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Troubles {
    pub false_deaths: u64,
    pub stalls: u64,
    pub undelivered_lease_messages: u64,
    pub unsent_datagrams: u64,
}

/// How the views stand.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Agreement {
    /// Hollow gateways that hold the most common view, of so many asked.
    pub largest_group: usize,
    pub asked: usize,
    pub views: usize,
    /// Gateways in the most common view, and that really live.
    pub size: usize,
    pub living: usize,
}

/// A fault and what followed until the next one.
#[derive(Clone, Debug, Serialize)]
pub struct FaultReport {
    #[serde(flatten)]
    pub fault: Fault,
    /// Gateways that ended by it.
    pub ended: usize,
    /// From its beginning until one living gateway held one that ended for gone, and until each that ended was so held.
    pub detected_s: Option<f64>,
    pub all_detected_s: Option<f64>,
    /// Until all views agreed and were right: from its beginning, or from its end where it lasts.
    pub agreed_s: Option<f64>,
    pub false_deaths: u64,
    pub coordinator_change_s: Option<f64>,
    pub at_the_end: Agreement,
    pub cost: Cost,
    pub troubles: Troubles,
}

/// Hollow and real ones compared.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Comparison {
    /// CPU of hollow processes by their gateways, of a core; the voters' processes apart.
    pub hollow_process_cpu_part: f64,
    /// CPU of real processes, of a core, and how far the hollow ones are from their mean, as a part of it.
    pub real_cpu_part: Vec<f64>,
    pub hollow_from_real: f64,
    pub real: Cost,
    pub real_memory_bytes: Vec<u64>,
}

/// A whole run.
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
    /// From the first start until all views agreed.
    pub start_agreed_s: Option<f64>,
    #[serde(flatten)]
    pub cost: Cost,
    pub memory_bytes_per_gateway: Spread,
    /// The largest sum of all processes that was seen.
    pub memory_bytes: u64,
    /// Of the coordinator of the leases alone.
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

fn shown(seconds: Option<f64>) -> String {
    seconds.map_or("-".to_owned(), |seconds| format!("{seconds:.2} s"))
}

impl Report {
    /// For people.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{} hollow, {} real, {} budgets, {} processes: agreed after the start: {}\n{}",
            self.hollow,
            self.real,
            self.budgets,
            self.processes,
            shown(self.start_agreed_s),
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
                shown(fault.detected_s),
                shown(fault.all_detected_s),
                shown(fault.agreed_s),
                fault.false_deaths,
                shown(fault.coordinator_change_s),
                fault.at_the_end,
                fault.troubles,
                fault.cost.lines()
            );
        }
        text
    }
}
