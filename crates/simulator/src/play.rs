//! One run of a scenario: events in the order of simulated time, emulated engines and clients, and the real decisions
//! between them.

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
use crate::figures::{Figures, Told};
use crate::front::Policy;
use crate::mesh::Mesh;
use crate::parts::Part;
use crate::rules::Rules;
use crate::scenario::{Budgets, ClassSpec, Kind, Scenario, Trouble};

/// Keeps the random stream of the run apart from those of the clients.
const RUN_SEED: u64 = 0x5eed;
/// A gateway learns changes of the engine list after at least this part of the scenario's delay.
const LEAST_LIST_DELAY: f64 = 0.2;
/// A run goes on for so long after the last deadline.
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
    /// By engine, as the engine list has it now.
    listed: Vec<ListEntry>,
    connections: Connections,
    /// By engine: the part of its answers that is lost.
    lost_answers: Vec<f64>,
    health_mesh: Option<Mesh<membership::Node>>,
    lease_mesh: Option<Mesh<Part>>,
    /// By gateway and tenant: what its queues had used when budgets were last divided.
    usage: Vec<Vec<Usage>>,
    faults: Vec<(Kind, Trouble)>,
    requests: Vec<Request>,
    /// By number; they are kept for the whole run.
    statements: Vec<Statement>,
    /// Of waiting statements: what the plain estimators said.
    plain_estimates: BTreeMap<StatementId, [f64; 3]>,
    rules: Rules,
    measurements: Measurements,
    started: std::time::Instant,
}

/// The name of [`Emulation`] in earlier releases.
pub type Play<'a> = Emulation<'a>;

/// A kind of query, by its number.
struct QueryClass<'a> {
    name: &'a str,
    settings: &'a ClassSpec,
}

#[derive(Clone, Copy)]
struct ListEntry {
    stage: EngineStage,
    started_s: Option<f64>,
}

/// What a run leaves.
pub struct Outcome {
    pub figures: Figures,
    /// Waits that ended, beside what was estimated of them.
    pub told: Vec<Told>,
    /// Tenants by number.
    pub members: Vec<String>,
    /// By span of time and tenant: CPU seconds asked for and served.
    pub spans: Vec<Vec<(f64, f64)>>,
    pub span_s: f64,
    /// Real time it took; no figure, since no two runs have the same.
    pub took_s: f64,
}

fn moment(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

impl<'a> Emulation<'a> {
    /// Draws all requests of the run and starts its gateways.
    ///
    /// # Errors
    /// The scenario's queues, traffic or script cannot be used.
    pub fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Result<Self, String> {
        let site_terms = scenario.terms()?;
        let resolver = site_terms.as_ref().map(QueueResolver::new);
        let requests = requests::draw(scenario, resolver.as_ref(), seed)?;
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ RUN_SEED);
        let queue_terms = gateway_terms(scenario, site_terms.as_ref());
        let lease_mesh = coordination::lease_mesh(scenario, site_terms.as_ref(), seed);
        let fronts = FrontFactory {
            scenario,
            policy,
            queue_terms,
        };
        let gateways = new_gateways(scenario, &fronts, seed, &mut rng);
        let tenants = tenants(scenario, site_terms.as_ref());
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
            faults: scenario.troubles()?,
            requests,
            statements: Vec::new(),
            plain_estimates: BTreeMap::new(),
            rules: Rules::new(deployment::rules(), scenario.gateways),
            started: std::time::Instant::now(),
        };
        emulation.start();
        Ok(emulation)
    }

    /// Schedules what is known beforehand, and starts the gateways.
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

    /// Runs to the end: until the last request that can be answered has been.
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
                if self.engines[engine].turn == generation {
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

    /// Schedules an event; one whose time is past happens now.
    fn schedule(&mut self, at_s: f64, event: Event) {
        self.events.schedule(at_s.max(self.now_s), event);
    }

    fn zone(&self, engine: usize) -> u16 {
        engine as u16 % self.scenario.engines.zones.max(1)
    }
}

/// The queues of one gateway: the file's budgets are of all gateways together.
fn gateway_terms(
    scenario: &Scenario,
    site_terms: Option<&scheduler::Config>,
) -> Option<scheduler::Config> {
    let share = match scenario.budgets {
        Budgets::Guess => 1.0 / scenario.gateways as f64,
        Budgets::Even | Budgets::Leases => 1.0,
    };
    site_terms.map(|terms| terms.scaled(share))
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

/// The scenario's tenants, with what its queues guarantee them.
fn tenants(scenario: &Scenario, site_terms: Option<&scheduler::Config>) -> Vec<Tenant> {
    let tenant = |name: &String| {
        let settings =
            site_terms.and_then(|terms| terms.tenants.iter().find(|of| of.name == *name));
        let (budget, weight) = settings.map_or((0.0, 1.0), |of| (of.share.budget, of.share.weight));
        Tenant {
            name: name.clone(),
            budget,
            weight,
        }
    };
    scenario.traffic.keys().map(tenant).collect()
}
