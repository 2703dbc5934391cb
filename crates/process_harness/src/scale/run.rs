//! A scale run: the start, the measured phase without faults, then the faults one after another.

use std::io;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::layout::{Layout, RealAddress, VOTERS};
use super::limits;
use super::links::Links;
use super::message::{Command, Figures, Usage};
use super::operator_file;
use super::process::{cpu_s, memory_bytes, monotonic_s};
use super::report::{Agreement, Comparison, Cost, FaultReport, Report, Spread, Troubles};
use super::script::{Fault, Script, What};
use super::truth::Truth;
use super::workers::{UnsolicitedMessage, Workers, members_by_process};
use super::{Options, ScaleError};
use crate::fleet::{Fleet, FleetOptions};

/// The time in seconds within which all gateways start.
const START_S: f64 = 1.0;
/// The time in seconds between the end and the start of a gateway that restarts.
const AWAY_S: f64 = 2.0;
/// The interval between comparisons of the views.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The state of a run.
struct Run {
    options: Options,
    script: Script,
    layout: Layout,
    real: Fleet,
    workers: Workers,
    truth: Truth,
    rng: Pcg64Mcg,
    /// The coordinator of the leases, or `None` until one is chosen.
    coordinator: Option<usize>,
    most_memory_bytes: u64,
    /// The CPU time of each real process at the start of the window, or `None` if it is not
    /// running.
    real_cpu_s: Vec<Option<f64>>,
    /// The datagrams and bytes that each real process had sent at the start of the window.
    real_sent: Vec<(i64, i64)>,
}

/// What the run has observed of one fault so far. All times are on the monotonic clock.
#[derive(Default)]
struct Observations {
    /// The start of the fault.
    began_s: f64,
    /// The time from which on the views are checked for agreement.
    agrees_from_s: f64,
    /// The members that the fault has ended.
    ended: Vec<usize>,
    /// The members whose end was noticed, with the time.
    detected: Vec<(usize, f64)>,
    /// The time at which all views agreed and were correct, or `None` until then.
    agreed_s: Option<f64>,
    /// The coordinator before the fault.
    before: Option<usize>,
    /// The time at which another member became the coordinator, or `None` until then.
    changed_s: Option<f64>,
    /// The result of the last comparison of the views.
    last: Agreement,
}

/// One step of a fault. Members are given by number, processes by index.
#[derive(Clone, Debug)]
enum Action {
    Kill(Vec<usize>),
    Leave(Vec<usize>),
    Start(Vec<usize>),
    Links(Links),
    StopProcess(usize),
    WakeProcess(usize),
    KillProcess(usize),
    StartProcess(usize),
}

/// Executes a run and returns its report.
///
/// # Errors
///
/// A flag or the script of faults is invalid, a limit is exceeded or a process fails.
pub fn run(options: Options) -> Result<Report, ScaleError> {
    let script = check(&options)?;
    let mut run = Run::start(options, script)?;
    let report = run.steady()?;
    run.faults(report)
}

/// Checks the options and limits before anything starts, and returns the script of faults.
fn check(options: &Options) -> Result<Script, ScaleError> {
    limits::check_flag("--hollow", options.hollow, VOTERS, limits::MAX_GATEWAYS)?;
    limits::check_flag("--real", options.real, 0, limits::MAX_REAL)?;
    limits::check_flag(
        "--hollow, --real together",
        options.hollow + options.real,
        VOTERS,
        limits::MAX_GATEWAYS,
    )?;
    limits::check_flag("--engines", options.engines, 1, 1000)?;
    limits::check_flag("--regions", options.regions, 1, 64)?;
    limits::check_flag("--zones", options.zones, options.regions, 64)?;
    limits::check_flag("--budgets", options.budgets, 0, operator_file::MAX_BUDGETS)?;
    if !(2.0..=3600.0).contains(&options.seconds) {
        return Err(ScaleError::Seconds(options.seconds));
    }
    if options.real > 0 && !options.gateway.is_file() {
        return Err(ScaleError::Program(options.gateway.clone()));
    }
    let script = options
        .faults
        .as_deref()
        .map(Script::read)
        .transpose()?
        .unwrap_or_default();
    let layout = layout(options, Vec::new());
    let text = operator_file::hollow(&layout, &script.block, options.budgets);
    operator_config::OperatorConfig::parse(std::path::Path::new("operator.hcl"), &text)?;
    let parts = members_by_process(&layout);
    let largest = parts.iter().map(Vec::len).max().unwrap_or(0);
    limits::check_before_start(
        options.hollow + options.real,
        parts.len() + options.real + 1,
        largest,
    )?;
    Ok(script)
}

fn layout(options: &Options, real: Vec<RealAddress>) -> Layout {
    let process = std::process::id();
    Layout {
        hollow: options.hollow,
        real,
        regions: options.regions,
        zones: options.zones,
        network: 100 + (process % 100) as u8,
        port: 20_000 + (process % 10_000) as u16,
    }
}

fn real_processes(options: &Options, script: &Script) -> io::Result<Fleet> {
    let layout = layout(options, Vec::new());
    let mut fleet_options = FleetOptions::new(&options.gateway, options.real);
    fleet_options.engines = options.engines;
    fleet_options.seed = options.seed;
    fleet_options.seeds = layout.seeds();
    fleet_options.peers = options.hollow + options.real;
    fleet_options.block = operator_file::fleet_lines(&script.block);
    fleet_options.places = (0..options.real)
        .map(|at| options.hollow + at)
        .map(|member| {
            (
                format!("z{}", layout.zone(member)),
                format!("r{}", layout.region(member)),
            )
        })
        .collect();
    fleet_options.tenants = operator_file::tenants(options.budgets);
    fleet_options.further = operator_file::leases(
        &Layout {
            real: vec![placeholder_address(); options.real],
            ..layout
        },
        options.budgets,
    );
    Fleet::start(fleet_options, &[])
}

/// Returns a placeholder for an address, used where only the number of gateways matters.
fn placeholder_address() -> RealAddress {
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    RealAddress {
        bound: nowhere,
        advertised: nowhere,
    }
}

impl Run {
    fn start(options: Options, script: Script) -> Result<Run, ScaleError> {
        let real = real_processes(&options, &script)?;
        let addresses = real.gateways.iter();
        let addresses = addresses.map(|one| RealAddress {
            bound: one.bound,
            advertised: one.advertised,
        });
        let layout = layout(&options, addresses.collect());
        let text = operator_file::hollow(&layout, &script.block, options.budgets);
        let workers = Workers::start(options.rig.clone(), &layout, options.seed, &text)?;
        Ok(Run {
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            truth: Truth::new(layout.clone()),
            coordinator: None,
            most_memory_bytes: 0,
            real_cpu_s: Vec::new(),
            real_sent: Vec::new(),
            options,
            script,
            layout,
            real,
            workers,
        })
    }

    /// Starts the hollow gateways and measures the phase without faults.
    fn steady(&mut self) -> Result<Report, ScaleError> {
        let all: Vec<usize> = (0..self.layout.hollow).collect();
        let began_s = monotonic_s();
        self.workers.tell_owners(&all, |members| Command::Start {
            members,
            within_s: START_S,
        })?;
        let mut observed = Observations {
            began_s,
            agrees_from_s: began_s + START_S,
            ..Observations::default()
        };
        self.watch(began_s + self.options.seconds / 2.0, &mut observed)?;
        self.start_window()?;
        self.watch(began_s + self.options.seconds, &mut observed)?;
        let figures = self.workers.figures()?;
        let (real, real_cpu) = self.real_usage();
        self.compare_views(&mut observed)?;
        Ok(self.report(&observed, &figures, &real, real_cpu))
    }

    /// Starts a new measurement window.
    fn start_window(&mut self) -> Result<(), ScaleError> {
        self.workers.tell(&Command::Window)?;
        self.real_cpu_s = self
            .real
            .process_ids()
            .into_iter()
            .map(|pid| pid.and_then(cpu_s))
            .collect();
        self.real_sent = self.real_sent();
        Ok(())
    }

    /// Returns the datagrams and bytes that each real process has sent, by its own counters.
    fn real_sent(&self) -> Vec<(i64, i64)> {
        let sent = |at: usize| {
            if !self.real.is_running(at) {
                return (0, 0);
            }
            self.real.print_counters(at);
            let count = |name: &str| self.real.counter(at, name).unwrap_or(0);
            (count("fleet_sent"), count("fleet_sent_bytes"))
        };
        (0..self.options.real).map(sent).collect()
    }

    /// Returns the usage and the CPU time of each real process in the current window.
    fn real_usage(&self) -> (Vec<Usage>, Vec<f64>) {
        let cpu: Vec<Option<f64>> = self
            .real
            .process_ids()
            .into_iter()
            .map(|pid| pid.and_then(cpu_s))
            .collect();
        let both = cpu.iter().zip(&self.real_cpu_s);
        let cpu: Vec<f64> = both
            .map(|(now, then)| now.unwrap_or(0.0) - then.unwrap_or(0.0))
            .collect();
        let sent = self.real_sent();
        let usage = |at: usize| Usage {
            member: self.layout.hollow + at,
            datagrams: (sent[at].0 - self.real_sent[at].0).max(0) as u64,
            bytes: (sent[at].1 - self.real_sent[at].1).max(0) as u64,
            cpu_s: cpu[at],
        };
        ((0..self.options.real).map(usage).collect(), cpu)
    }

    fn report(
        &self,
        observed: &Observations,
        figures: &[Figures],
        real: &[Usage],
        real_cpu: Vec<f64>,
    ) -> Report {
        let window_s = window_s(figures);
        let usages: Vec<Usage> = figures
            .iter()
            .flat_map(|of| of.gateways.iter().copied())
            .collect();
        let coordinator = usages
            .iter()
            .filter(|usage| Some(usage.member) == self.coordinator);
        let coordinator: Vec<Usage> = coordinator.copied().collect();
        let shared = |of: &&Figures| of.gateways.iter().any(|usage| usage.member >= VOTERS);
        let memory = figures.iter().filter(shared).flat_map(|of| {
            let grown = of.memory_bytes.saturating_sub(of.empty_memory_bytes);
            of.gateways
                .iter()
                .map(move |_| grown as f64 / of.gateways.len() as f64)
        });
        Report {
            hollow: self.options.hollow,
            real: self.options.real,
            regions: self.options.regions,
            zones: self.options.zones,
            engines: self.options.engines,
            budgets: self.options.budgets,
            seconds: self.options.seconds,
            seed: self.options.seed,
            processes: self.processes().len(),
            start_agreed_s: observed.agreed_s.map(|at_s| at_s - observed.began_s),
            cost: Cost::of(&usages, window_s),
            memory_bytes_per_gateway: Spread::of(memory.collect()),
            memory_bytes: self.most_memory_bytes,
            coordinator: (!coordinator.is_empty()).then(|| Cost::of(&coordinator, window_s)),
            steady: observed.last,
            troubles: troubles(figures),
            comparison: self.comparison(figures, real, &real_cpu, window_s),
            faults: Vec::new(),
        }
    }

    fn comparison(
        &self,
        figures: &[Figures],
        real: &[Usage],
        cpu: &[f64],
        window_s: f64,
    ) -> Comparison {
        let shared = figures
            .iter()
            .filter(|of| of.gateways.iter().any(|usage| usage.member >= VOTERS));
        let (cpu_s, gateways) = shared.fold((0.0, 0), |(cpu, gateways), of| {
            (cpu + of.process_cpu_s, gateways + of.gateways.len())
        });
        let hollow = cpu_s / window_s / (gateways.max(1) as f64);
        let real_cpu_part: Vec<f64> = cpu.iter().map(|cpu| cpu / window_s).collect();
        let mean = real_cpu_part.iter().sum::<f64>() / real_cpu_part.len().max(1) as f64;
        let mut usages = real.to_vec();
        for (at, usage) in usages.iter_mut().enumerate() {
            for received in figures.iter().map(|of| of.to_real[at]) {
                usage.datagrams += received.datagrams;
                usage.bytes += received.bytes;
            }
        }
        Comparison {
            hollow_process_cpu_part: hollow,
            hollow_from_real: if mean > 0.0 { hollow / mean - 1.0 } else { 0.0 },
            real_cpu_part,
            real: Cost::of(&usages, window_s),
            real_memory_bytes: self
                .real
                .process_ids()
                .into_iter()
                .flatten()
                .filter_map(memory_bytes)
                .collect(),
        }
    }

    fn processes(&self) -> Vec<u32> {
        let real = self.real.process_ids().into_iter().flatten();
        [std::process::id()]
            .into_iter()
            .chain(self.workers.process_ids())
            .chain(real)
            .collect()
    }

    /// Waits until a time on the monotonic clock and records what happens meanwhile.
    fn watch(&mut self, until_s: f64, observed: &mut Observations) -> Result<(), ScaleError> {
        loop {
            self.most_memory_bytes = self
                .most_memory_bytes
                .max(limits::check_running(&self.processes())?);
            if observed.agreed_s.is_none() && monotonic_s() >= observed.agrees_from_s {
                self.compare_views(observed)?;
            }
            self.record_messages(observed)?;
            let left = until_s - monotonic_s();
            if left <= 0.0 {
                return Ok(());
            }
            std::thread::sleep(CHECK_INTERVAL.min(Duration::from_secs_f64(left)));
        }
    }

    fn record_messages(&mut self, observed: &mut Observations) -> Result<(), ScaleError> {
        for message in self.workers.take_messages()? {
            match message {
                UnsolicitedMessage::Detected { member, at_s } => {
                    if at_s >= observed.began_s
                        && !observed.detected.iter().any(|(of, _)| *of == member)
                    {
                        observed.detected.push((member, at_s));
                    }
                }
                UnsolicitedMessage::Chosen { member, at_s } => {
                    self.coordinator = Some(member);
                    if observed.before.is_some_and(|before| before != member)
                        && observed.changed_s.is_none()
                    {
                        observed.changed_s = Some(at_s);
                    }
                }
            }
        }
        Ok(())
    }

    /// Compares the views of all that live.
    fn compare_views(&mut self, observed: &mut Observations) -> Result<(), ScaleError> {
        let views = self.workers.views()?;
        let now_s = monotonic_s();
        let mut by_view = std::collections::BTreeMap::new();
        for view in &views {
            *by_view.entry((view.digest, view.size)).or_insert(0) += view.gateways;
        }
        let ((digest, size), group) = by_view
            .iter()
            .max_by_key(|(_, group)| **group)
            .map_or(((0, 0), 0), |(view, group)| (*view, *group));
        let asked = by_view.values().sum();
        let living = self.truth.living();
        observed.last = Agreement {
            largest_group: group,
            asked,
            views: by_view.len(),
            size,
            living,
        };
        let lives = |member: &usize| self.truth.lives(*member);
        let hollow = (0..self.layout.hollow).filter(lives).count();
        let all = group == hollow && asked == hollow && size == living;
        if all && observed.agreed_s.is_none() && self.real_agree(digest, size) {
            observed.agreed_s = Some(now_s);
        }
        Ok(())
    }

    /// Returns whether all running real gateways have this view.
    fn real_agree(&self, digest: u64, size: usize) -> bool {
        let agrees = |at: usize| {
            let shown = self.real.query_fleet_view(at).unwrap_or_default();
            shown.size == size && shown.digest == format!("{digest:016x}")
        };
        self.real.running_gateways().into_iter().all(agrees)
    }

    fn faults(&mut self, mut report: Report) -> Result<Report, ScaleError> {
        let began_s = monotonic_s();
        for (at, fault) in self.script.fault.clone().into_iter().enumerate() {
            let until_s = began_s + fault.at_s + self.script.watched_s(at);
            self.watch(began_s + fault.at_s, &mut Observations::default())?;
            report.faults.push(self.fault(fault, until_s)?);
        }
        if !self.script.fault.is_empty() {
            self.watch(began_s + self.script.seconds, &mut Observations::default())?;
        }
        report.memory_bytes = self.most_memory_bytes;
        Ok(report)
    }

    fn fault(&mut self, fault: Fault, until_s: f64) -> Result<FaultReport, ScaleError> {
        self.start_window()?;
        let began_s = monotonic_s();
        let actions = self.plan(&fault);
        // Views that agree before all actions of the fault are done are no sign of recovery, so the
        // check starts after them.
        let before = self.coordinator;
        let mut observed = Observations {
            began_s,
            agrees_from_s: f64::INFINITY,
            before,
            ..Observations::default()
        };
        for (after_s, action) in actions {
            self.watch((began_s + after_s).min(until_s), &mut observed)?;
            self.act(action, &mut observed)?;
        }
        let lasting_s = if fault.what.lasts() {
            fault.seconds
        } else {
            0.0
        };
        observed.agrees_from_s = monotonic_s().max(began_s + lasting_s);
        self.watch(until_s, &mut observed)?;
        let figures = self.workers.figures()?;
        self.compare_views(&mut observed)?;
        Ok(fault_report(fault, &observed, &figures))
    }

    fn living_hollow(&self) -> Vec<usize> {
        (0..self.layout.hollow)
            .filter(|member| self.truth.lives(*member))
            .collect()
    }

    /// Returns the actions of a fault with their times in seconds after its start. Random choices
    /// use the run's seed.
    fn plan(&mut self, fault: &Fault) -> Vec<(f64, Action)> {
        let mut living: Vec<usize> = self.living_hollow();
        living.retain(|member| *member >= VOTERS);
        living.shuffle(&mut self.rng);
        match fault.what {
            What::Single => vec![(0.0, Action::Kill(living.into_iter().take(1).collect()))],
            What::Daily => self.daily(fault, living),
            What::Rack => {
                let zone = living.first().map_or(0, |member| self.layout.zone(*member));
                living.retain(|member| self.layout.zone(*member) == zone);
                vec![(
                    0.0,
                    Action::Kill(living.into_iter().take(fault.gateways).collect()),
                )]
            }
            What::Zone => {
                // Zone 0 contains the first voter, and so possibly the coordinator.
                let members = (0..self.layout.len()).filter(|member| self.truth.lives(*member));
                vec![(
                    0.0,
                    Action::Kill(
                        members
                            .filter(|member| self.layout.zone(*member) == 0)
                            .collect(),
                    ),
                )]
            }
            What::Regions => {
                let cut = Links {
                    cut: vec![(0, 1)],
                    ..Links::default()
                };
                vec![
                    (0.0, Action::Links(cut)),
                    (fault.seconds, Action::Links(Links::default())),
                ]
            }
            What::Loss => {
                let lossy = Links {
                    lost: fault.lost,
                    ..Links::default()
                };
                vec![
                    (0.0, Action::Links(lossy)),
                    (fault.seconds, Action::Links(Links::default())),
                ]
            }
            What::CoordinatorStop | What::CoordinatorKill => self.coordinator_fault(fault),
            What::AllAtOnce => {
                let all: Vec<usize> = (0..self.layout.len()).collect();
                vec![(0.0, Action::Kill(all.clone())), (0.0, Action::Start(all))]
            }
        }
    }

    fn coordinator_fault(&self, fault: &Fault) -> Vec<(f64, Action)> {
        let Some(process) = self
            .coordinator
            .and_then(|member| self.workers.process_of(member))
        else {
            return Vec::new();
        };
        let (first, then) = match fault.what {
            What::CoordinatorStop => (Action::StopProcess(process), Action::WakeProcess(process)),
            _ => (Action::KillProcess(process), Action::StartProcess(process)),
        };
        vec![(0.0, first), (fault.seconds, then)]
    }

    /// Returns the crashes and restarts at the daily rates. A crashed gateway is started again; one
    /// that restarts leaves the fleet in order first.
    fn daily(&mut self, fault: &Fault, living: Vec<usize>) -> Vec<(f64, Action)> {
        let (failures, restarts) = fault.daily_rates(self.layout.len());
        let mut actions = Vec::new();
        let mut at_s = 0.0;
        for member in living {
            // The times between events have an exponential distribution.
            at_s += -(1.0 - self.rng.random::<f64>()).ln() / (failures + restarts);
            if at_s + AWAY_S >= fault.seconds {
                break;
            }
            let fails = self.rng.random::<f64>() < failures / (failures + restarts);
            let ends = if fails {
                Action::Kill(vec![member])
            } else {
                Action::Leave(vec![member])
            };
            actions.push((at_s, ends));
            actions.push((at_s + AWAY_S, Action::Start(vec![member])));
        }
        actions.sort_by(|a, b| a.0.total_cmp(&b.0));
        actions
    }

    /// Records, here and in all hollow processes, that members have started or ended.
    fn set_lives(&mut self, members: &[usize], lives: bool) -> io::Result<()> {
        self.truth.set_lives(monotonic_s(), members, lives);
        self.workers.tell(&Command::Lives {
            members: members.to_vec(),
            lives,
        })
    }

    fn act(&mut self, action: Action, observed: &mut Observations) -> Result<(), ScaleError> {
        match action {
            Action::Kill(members) => {
                observed.ended.extend(&members);
                self.set_lives(&members, false)?;
                self.workers
                    .tell_owners(&members, |members| Command::Kill { members })?;
                self.real_of(&members)
                    .into_iter()
                    .for_each(|at| self.real.kill(at));
            }
            Action::Leave(members) => {
                observed.ended.extend(&members);
                self.set_lives(&members, false)?;
                self.workers
                    .tell_owners(&members, |members| Command::Leave { members })?;
            }
            Action::Start(members) => {
                let within_s = if members.len() > 1 { START_S } else { 0.0 };
                self.set_lives(&members, true)?;
                self.workers
                    .tell_owners(&members, |members| Command::Start { members, within_s })?;
                for at in self.real_of(&members) {
                    self.real.start_gateway(at)?;
                }
            }
            Action::Links(links) => self.set_links(links)?,
            Action::StopProcess(process) => {
                let members = self.workers.members(process).to_vec();
                observed.ended.extend(&members);
                self.workers.stop(process)?;
                self.set_lives(&members, false)?;
            }
            Action::WakeProcess(process) => {
                let members = self.workers.members(process).to_vec();
                self.set_lives(&members, true)?;
                self.workers.resume(process)?;
            }
            Action::KillProcess(process) => {
                let members = self.workers.members(process).to_vec();
                observed.ended.extend(&members);
                self.workers.kill(process);
                self.set_lives(&members, false)?;
            }
            Action::StartProcess(process) => self.start_process(process)?,
        }
        Ok(())
    }

    fn start_process(&mut self, process: usize) -> Result<(), ScaleError> {
        let members = self.workers.members(process).to_vec();
        self.workers.respawn(process)?;
        let gone = (0..self.layout.len())
            .filter(|member| !self.truth.lives(*member))
            .collect();
        self.workers.tell(&Command::Lives {
            members: gone,
            lives: false,
        })?;
        self.set_lives(&members, true)?;
        self.set_links(self.truth.links().clone())?;
        self.workers
            .tell_owners(&members, |members| Command::Start {
                members,
                within_s: 0.0,
            })?;
        Ok(())
    }

    fn set_links(&mut self, links: Links) -> Result<(), ScaleError> {
        let (layout, hollow) = (&self.layout, self.layout.hollow);
        self.real.switch.faults(|faults| {
            faults.lost = links.lost;
            for (from, row) in faults.cut.iter_mut().enumerate() {
                for (to, cut) in row.iter_mut().enumerate() {
                    *cut = !links.direct(layout.region(hollow + from), layout.region(hollow + to));
                }
            }
        });
        self.truth.set_links(monotonic_s(), links.clone());
        Ok(self.workers.tell(&Command::Links(links))?)
    }

    /// Returns the indexes of the real gateways among these members.
    fn real_of(&self, members: &[usize]) -> Vec<usize> {
        members
            .iter()
            .filter_map(|member| member.checked_sub(self.layout.hollow))
            .collect()
    }
}

fn window_s(figures: &[Figures]) -> f64 {
    let longest = figures.iter().map(|of| of.window_s).fold(0.0, f64::max);
    longest.max(1e-3)
}

fn troubles(figures: &[Figures]) -> Troubles {
    let sum = |of: fn(&Figures) -> u64| figures.iter().map(of).sum();
    Troubles {
        false_deaths: sum(|of| of.false_deaths),
        stalls: sum(|of| of.stalls),
        undelivered_lease_messages: sum(|of| of.undelivered),
        unsent_datagrams: sum(|of| of.unsent),
    }
}

fn fault_report(fault: Fault, observed: &Observations, figures: &[Figures]) -> FaultReport {
    let usages: Vec<Usage> = figures
        .iter()
        .flat_map(|of| of.gateways.iter().copied())
        .collect();
    let mut detected: Vec<f64> = observed
        .detected
        .iter()
        .map(|(_, at_s)| at_s - observed.began_s)
        .collect();
    detected.sort_by(f64::total_cmp);
    let all = observed
        .ended
        .iter()
        .all(|member| observed.detected.iter().any(|(of, _)| of == member));
    let troubles = troubles(figures);
    FaultReport {
        ended: observed.ended.len(),
        detected_s: detected.first().copied(),
        all_detected_s: detected.last().copied().filter(|_| all),
        agreed_s: observed.agreed_s.map(|at_s| {
            at_s - if fault.what.lasts() {
                observed.agrees_from_s
            } else {
                observed.began_s
            }
        }),
        false_deaths: troubles.false_deaths,
        coordinator_change_s: observed.changed_s.map(|at_s| at_s - observed.began_s),
        at_the_end: observed.last,
        cost: Cost::of(&usages, window_s(figures)),
        troubles,
        fault,
    }
}
