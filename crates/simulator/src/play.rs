//! One run of a scenario: a discrete-event simulation of engines and clients, with the production
//! decision code of the gateways between them.

mod attempts;
mod connections;
mod coordination;
mod deployment;
mod events;
mod faults;
mod gateways;
mod measurements;
mod report;
mod requests;
mod statements;
mod wait_history;

use std::collections::BTreeMap;

use admission::interface::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use scheduler::QueueResolver;

use self::connections::Connections;
use self::coordination::Usage;
use self::deployment::FrontFactory;
use self::events::{Event, EventQueue};
use self::gateways::Gateway;
use self::measurements::{Measurements, Tenant};
use self::requests::Request;
use self::statements::Statement;
use crate::engine::Engine;
use crate::figures::{Figures, WaitEstimate};
use crate::front::Policy;
use crate::mesh::Mesh;
use crate::parts::Part;
use crate::rules::Rules;
use crate::scenario::{Budgets, ClassSpec, Fault, FaultKind, Scenario};

/// Separates the random stream of the run from those of the clients.
const RUN_SEED: u64 = 0x5eed;
/// The shortest delay of an engine list update to a gateway, as a fraction of the scenario's
/// `list_delay_ms`.
const LEAST_LIST_DELAY: f64 = 0.2;
/// How long a run continues after the last possible deadline.
const END_SLACK_S: f64 = 1.0;

/// One run of a scenario, under one policy and from one seed.
pub struct Emulation<'a> {
    scenario: &'a Scenario,
    seed: u64,
    now_s: f64,
    events: EventQueue,
    rng: Pcg64Mcg,
    classes: Vec<QueryClass<'a>>,
    tenants: Vec<Tenant>,
    fronts: FrontFactory<'a>,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    /// The current engine list, by engine.
    listed: Vec<ListEntry>,
    connections: Connections,
    /// The fraction of each engine's answers that is lost.
    lost_answers: Vec<f64>,
    health_mesh: Option<Mesh<membership::Node>>,
    lease_mesh: Option<Mesh<Part>>,
    /// What each gateway's queues had used of each tenant's budget when budgets were last divided.
    usage: Vec<Vec<Usage>>,
    faults: Vec<(FaultKind, Fault)>,
    requests: Vec<Request>,
    /// All statements of the run, indexed by statement id.
    statements: Vec<Statement>,
    /// What the baseline estimators predicted for each waiting statement.
    baseline_estimates: BTreeMap<StatementId, [f64; 3]>,
    rules: Rules,
    measurements: Measurements,
    started: std::time::Instant,
}

/// Alias of [`Emulation`], its name in earlier releases.
pub type Play<'a> = Emulation<'a>;

/// A query class of the scenario.
struct QueryClass<'a> {
    name: &'a str,
    settings: &'a ClassSpec,
}

/// An engine as the engine list has it.
#[derive(Clone, Copy)]
struct ListEntry {
    stage: EngineStage,
    started_s: Option<f64>,
}

/// The results of a run.
pub struct Outcome {
    pub figures: Figures,
    /// Finished waits with their estimates.
    pub told: Vec<WaitEstimate>,
    /// The tenants' names, by index.
    pub members: Vec<String>,
    /// CPU seconds requested and served, by time span and tenant.
    pub spans: Vec<Vec<(f64, f64)>>,
    pub span_s: f64,
    /// The real time that the run took. It is not among the figures because it differs between
    /// runs.
    pub took_s: f64,
}

/// A time of the run as the gateways' code represents it.
fn timestamp(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

impl<'a> Emulation<'a> {
    /// Draws all requests of the run and starts its gateways.
    ///
    /// # Errors
    /// Fails if the scenario's queues, traffic or script are not valid.
    pub fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Result<Self, String> {
        let cluster_queue_config = scenario.queue_config()?;
        let resolver = cluster_queue_config.as_ref().map(QueueResolver::new);
        let requests = requests::draw(scenario, resolver.as_ref(), seed)?;
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ RUN_SEED);
        let queue_config = gateway_queue_config(scenario, cluster_queue_config.as_ref());
        let lease_mesh = coordination::lease_mesh(scenario, cluster_queue_config.as_ref(), seed);
        let fronts = FrontFactory {
            scenario,
            policy,
            queue_config,
        };
        let gateways = new_gateways(scenario, &fronts, seed, &mut rng);
        let tenants = tenants(scenario, cluster_queue_config.as_ref());
        let classes: Vec<_> = scenario
            .class
            .iter()
            .map(|(name, settings)| QueryClass { name, settings })
            .collect();
        let figures = Figures {
            policy: policy.name().into(),
            seed,
            ..Figures::default()
        };
        let engines = scenario.engines.count;
        let mut emulation = Emulation {
            scenario,
            seed,
            now_s: 0.0,
            events: EventQueue::default(),
            rng,
            measurements: Measurements::new(figures, classes.len(), tenants.len()),
            classes,
            tenants,
            fronts,
            gateways,
            engines: (0..engines)
                .map(|_| Engine::new(scenario.engines.clone()))
                .collect(),
            listed: vec![
                ListEntry {
                    stage: EngineStage::Ready,
                    started_s: None
                };
                engines
            ],
            connections: Connections::new(engines, scenario.engines.idle_s),
            lost_answers: vec![0.0; engines],
            health_mesh: coordination::health_mesh(scenario, seed),
            lease_mesh,
            usage: vec![Vec::new(); scenario.gateways],
            faults: scenario.faults()?,
            requests,
            statements: Vec::new(),
            baseline_estimates: BTreeMap::new(),
            rules: Rules::new(deployment::rule_limits(), scenario.gateways),
            started: std::time::Instant::now(),
        };
        emulation.start();
        Ok(emulation)
    }

    /// Schedules the requests and the faults, and starts the gateways.
    fn start(&mut self) {
        for index in 0..self.requests.len() {
            self.schedule(self.requests[index].arrival_s, Event::Request(index));
        }
        for index in 0..self.faults.len() {
            let fault = &self.faults[index].1;
            let (begins_s, ends_s) = (fault.at_s, fault.at_s + fault.for_s);
            self.schedule(begins_s, Event::FaultBegins(index));
            self.schedule(ends_s, Event::FaultEnds(index));
        }
        for gateway in 0..self.gateways.len() {
            self.send_full_list(gateway);
        }
        self.start_coordination();
    }

    /// Runs until the deadline of every request has passed.
    pub fn run(mut self) -> Outcome {
        let deadlines_s = self
            .scenario
            .class
            .values()
            .map(|class| class.hard_limit_ms / 1e3);
        let longest_s = deadlines_s.fold(0.0, f64::max);
        let end_s = self.scenario.seconds + longest_s + END_SLACK_S;
        while let Some((at_s, event)) = self.events.pop()
            && at_s <= end_s
        {
            self.now_s = at_s;
            self.handle(event);
        }
        self.now_s = end_s;
        self.rules.at_end(end_s);
        self.outcome()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(index) => self.submit(index),
            Event::GatewayTick {
                gateway,
                generation,
            } => {
                if self.gateways[gateway].tick_generation == generation {
                    self.tick_gateway(gateway);
                }
            }
            Event::EngineTick { engine, generation } => {
                if self.engines[engine].generation == generation {
                    self.tick_engine(engine);
                }
            }
            Event::Progress {
                engine,
                statement,
                attempt,
            } => {
                self.report_progress(engine, statement, attempt);
            }
            Event::AttemptTimeout { statement, attempt } => {
                self.end_attempt(statement, attempt, AttemptEvent::TimedOut);
            }
            Event::AttemptError { statement, attempt } => {
                self.end_attempt(statement, attempt, AttemptEvent::Error);
            }
            Event::EngineListed {
                gateway,
                engine,
                stage,
                started_s,
            } => {
                self.send_list_change(gateway, engine, stage, started_s);
            }
            Event::FaultBegins(index) => self.apply_fault(index, true),
            Event::FaultEnds(index) => self.apply_fault(index, false),
            Event::ExchangeHealth => self.exchange_health(),
            Event::DivideBudgets => self.divide_budgets(),
        }
    }

    /// Schedules an event, at the current time if `at_s` has passed.
    fn schedule(&mut self, at_s: f64, event: Event) {
        self.events.schedule(at_s.max(self.now_s), event);
    }

    fn zone(&self, engine: usize) -> u16 {
        engine as u16 % self.scenario.engines.zones.max(1)
    }
}

/// The queue settings of one gateway. The scenario's budgets apply to all gateways together, so
/// each one starts with an equal part where it estimates its own.
fn gateway_queue_config(
    scenario: &Scenario,
    cluster_queue_config: Option<&scheduler::Config>,
) -> Option<scheduler::Config> {
    let share = match scenario.budgets {
        Budgets::Guess => 1.0 / scenario.gateways as f64,
        Budgets::Even | Budgets::Leases => 1.0,
    };
    cluster_queue_config.map(|config| config.scaled(share))
}

fn new_gateways(
    scenario: &Scenario,
    fronts: &FrontFactory,
    seed: u64,
    rng: &mut Pcg64Mcg,
) -> Vec<Gateway> {
    let longest_delay_s = scenario.list_delay_ms / 1e3;
    let gateways = (0..scenario.gateways).map(|gateway| {
        let list_delay_s = longest_delay_s * rng.random_range(LEAST_LIST_DELAY..1.0);
        Gateway::new(fronts.build(seed, gateway), list_delay_s)
    });
    gateways.collect()
}

/// The scenario's tenants with their guaranteed budgets and weights.
fn tenants(scenario: &Scenario, cluster_queue_config: Option<&scheduler::Config>) -> Vec<Tenant> {
    let tenant = |name: &String| {
        let settings = cluster_queue_config
            .and_then(|config| config.tenants.iter().find(|entry| entry.name == *name));
        let (budget, weight) =
            settings.map_or((0.0, 1.0), |entry| (entry.share.budget, entry.share.weight));
        Tenant {
            name: name.clone(),
            budget,
            weight,
        }
    };
    scenario.traffic.keys().map(tenant).collect()
}
