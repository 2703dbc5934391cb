//! Gateways before engines in simulated time: the real decisions, no sockets, one queue of events, all chance from
//! a seed. Connections follow the rules of the gateway's pools (`gateway::engines::EngineTransport`).

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use admission::interface::{
    AttemptEvent, CellId, ClassId, EndpointUpdate, EngineId, EngineInfo, EngineStage, LocationId,
    MachineId, StatementId, TableGroupId, TenantId, TimeDelta, Timestamp,
};
use dispatch::{AttemptOrder, Decision, Dispatcher, StatementRequest, Tick};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use settings::{NetworkDelay, Settings};

/// The users' size.
pub(crate) const TARGET_GATEWAYS: f64 = 1_900.0;
pub(crate) const TARGET_ENGINES: f64 = 3_100.0;
/// The mean at a gateway.
pub(crate) const STATEMENTS_PER_S: f64 = 380.0;
pub(crate) const ENGINE_CORES: f64 = 8.0;
const STATEMENT_CPU: TimeDelta = TimeDelta::from_micros(20_000);
const STATEMENT_MB: f64 = 8.0;
const STATEMENT_BUDGET: TimeDelta = TimeDelta::from_micros(1_940_000);
/// Table groups that the statements spread over.
const TABLE_GROUPS: u32 = 16;
const NETWORK_DELAY: TimeDelta = TimeDelta::from_micros(50_000);
/// The gateway closes a connection that was idle for this part of `Limits.ConnIdleS`.
const POOL_IDLE_PART: f64 = 0.8;

/// Gateways that stand before so many engines at the users' proportion.
pub(crate) fn gateways_before(engines: u32) -> u32 {
    (f64::from(engines) * TARGET_GATEWAYS / TARGET_ENGINES)
        .round()
        .max(1.0) as u32
}

/// The settings of the example, with so many gateways and no tenants.
fn settings(gateways: u32) -> Value {
    let mut config: Value = serde_json::from_str(include_str!("../../../../examples/config.json"))
        .expect("the example is JSON");
    config["settings"]["PeersTotal"] = json!(gateways);
    config["settings"]["Tenants"] = json!([]);
    config["settings"].take()
}

fn engine_list(engines: u32) -> EndpointUpdate {
    let fact = |id| EngineInfo {
        id: EngineId(id),
        scale: ENGINE_CORES,
        location: LocationId(0),
        machine: MachineId(0),
        cell: CellId(0),
        stage: EngineStage::Ready,
        started: None,
    };
    EndpointUpdate::Snapshot((1..=engines).map(fact).collect())
}

pub(crate) fn dispatch(gateways: u32, engines: u32, seed: u64) -> Dispatcher {
    let settings = Settings::from_json(&settings(gateways));
    let policy = settings
        .policy(seed, NetworkDelay(NETWORK_DELAY))
        .expect("the example's settings");
    let mut dispatch = Dispatcher::new(policy);
    dispatch.on_endpoint_update(Timestamp::from_secs(0.0), &engine_list(engines));
    dispatch
}

pub(crate) fn request(group: u32) -> StatementRequest {
    StatementRequest {
        class: ClassId(0),
        tenant: TenantId(0),
        group: TableGroupId(group),
        estimate: Some(STATEMENT_CPU),
        memory_mb: STATEMENT_MB,
        key: None,
        has_idempotency_key: false,
        budget: STATEMENT_BUDGET,
    }
}

/// How long an engine takes for a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineModel {
    /// Always the statement's CPU: gateways do not feel each other, and can be run one by one.
    Unloaded,
    /// Its CPU times the statements that run there when it begins, over the cores, where they are more.
    Shared,
}

/// Connections to one engine of one gateway.
#[derive(Default)]
struct Pool {
    busy: u32,
    /// Since when each of the others has been idle, the last used at the end.
    idle: Vec<Timestamp>,
}

impl Pool {
    fn close_idle(&mut self, now: Timestamp, idle_s: f64) {
        self.idle.retain(|since| (now - *since).secs() < idle_s);
    }

    /// True: a new connection was opened for it.
    fn take(&mut self, now: Timestamp, idle_s: f64) -> bool {
        self.close_idle(now, idle_s);
        self.busy += 1;
        self.idle.pop().is_none()
    }

    fn give_back(&mut self, now: Timestamp) {
        self.busy -= 1;
        self.idle.push(now);
    }
}

/// CPU that the decisions took, by call.
#[derive(Clone, Copy, Default)]
pub(crate) struct Work {
    pub(crate) statements: u64,
    pub(crate) pick: Duration,
    pub(crate) report: Duration,
    /// Ticks with something in line, and those with nothing due.
    pub(crate) tick_held: Duration,
    pub(crate) ticks_held: u64,
    pub(crate) tick_idle: Duration,
    pub(crate) ticks_idle: u64,
    /// Times that a statement in line was asked for.
    pub(crate) asks: u64,
}

impl Work {
    pub(crate) fn whole(&self) -> Duration {
        self.pick + self.report + self.tick_held + self.tick_idle
    }
}

struct Attempt {
    order: AttemptOrder,
    sent: Timestamp,
    timed_out: bool,
}

struct Gateway {
    dispatch: Dispatcher,
    arrivals: Pcg64Mcg,
    next_statement: u64,
    attempts: BTreeMap<StatementId, Attempt>,
    pools: BTreeMap<EngineId, Pool>,
    /// Statements sent to each engine since counting began.
    sent: BTreeMap<EngineId, u64>,
    waking: bool,
}

#[derive(Clone, Copy)]
enum Event {
    Arrival {
        gateway: usize,
    },
    End {
        gateway: usize,
        statement: StatementId,
    },
    Wake {
        gateway: usize,
    },
}

/// What became of statements since counting began.
#[derive(Clone, Copy, Default)]
pub(crate) struct Totals {
    pub(crate) arrived: u64,
    pub(crate) completed: u64,
    pub(crate) rejected: u64,
    pub(crate) timed_out: u64,
    pub(crate) connections_opened: u64,
}

pub(crate) struct Plan {
    /// Gateways in the settings, and the first of those that are run and how many.
    pub(crate) gateways: u32,
    pub(crate) first: u32,
    pub(crate) run: u32,
    pub(crate) engines: u32,
    pub(crate) statements_per_s: f64,
    pub(crate) model: EngineModel,
    pub(crate) seed: u64,
}

pub(crate) struct Simulation {
    plan: Plan,
    now: Timestamp,
    events: BTreeMap<(Timestamp, u64), Event>,
    next_event: u64,
    gateways: Vec<Gateway>,
    /// Statements that run on each engine, of the gateways that are run.
    running: Vec<u32>,
    pool_idle_s: f64,
    pub(crate) work: Work,
    pub(crate) totals: Totals,
}

impl Simulation {
    pub(crate) fn new(plan: Plan) -> Self {
        let connections = Settings::from_json(&settings(plan.gateways))
            .connections()
            .expect("the example's settings");
        let gateways = (plan.first..plan.first + plan.run).map(|number| {
            let seed = plan
                .seed
                .wrapping_mul(1_000_003)
                .wrapping_add(u64::from(number));
            Gateway {
                dispatch: dispatch(plan.gateways, plan.engines, seed),
                arrivals: Pcg64Mcg::seed_from_u64(!seed),
                next_statement: 0,
                attempts: BTreeMap::new(),
                pools: BTreeMap::new(),
                sent: BTreeMap::new(),
                waking: false,
            }
        });
        let gateways: Vec<Gateway> = gateways.collect();
        let count = gateways.len();
        let mut simulation = Simulation {
            running: vec![0; plan.engines as usize + 1],
            plan,
            now: Timestamp::from_secs(0.0),
            events: BTreeMap::new(),
            next_event: 0,
            gateways,
            pool_idle_s: connections.idle_timeout.secs() * POOL_IDLE_PART,
            work: Work::default(),
            totals: Totals::default(),
        };
        (0..count).for_each(|gateway| simulation.plan_arrival(gateway));
        simulation
    }

    /// Runs on for so long; work and totals go on counting.
    pub(crate) fn run(&mut self, span_s: f64) {
        let end = self.now + TimeDelta::from_secs(span_s);
        while let Some(next) = self.events.first_entry().filter(|next| next.key().0 < end) {
            let ((at, _), event) = next.remove_entry();
            self.now = at;
            match event {
                Event::Arrival { gateway } => self.arrival(gateway),
                Event::End { gateway, statement } => self.end(gateway, statement),
                Event::Wake { gateway } => {
                    self.gateways[gateway].waking = false;
                    self.turn(gateway);
                }
            }
        }
        self.now = end;
    }

    /// Forgets what was counted so far: the warm-up.
    pub(crate) fn begin_counting(&mut self) {
        (self.work, self.totals) = (Work::default(), Totals::default());
        self.gateways
            .iter_mut()
            .for_each(|gateway| gateway.sent.clear());
    }

    fn at(&mut self, at: Timestamp, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn plan_arrival(&mut self, gateway: usize) {
        let chance: f64 = self.gateways[gateway].arrivals.random();
        let gap_s = -(1.0 - chance).ln() / self.plan.statements_per_s;
        self.at(
            self.now + TimeDelta::from_secs(gap_s),
            Event::Arrival { gateway },
        );
    }

    fn arrival(&mut self, at: usize) {
        self.plan_arrival(at);
        let gateway = &mut self.gateways[at];
        gateway.next_statement += 1;
        let id = StatementId(gateway.next_statement);
        let request = request(id.0 as u32 % TABLE_GROUPS);
        let begun = Instant::now();
        let pick = gateway.dispatch.pick(self.now, id, &request);
        self.work.pick += begun.elapsed();
        self.work.statements += 1;
        self.totals.arrived += 1;
        self.picked(at, id, pick);
        self.turn(at);
    }

    fn turn(&mut self, at: usize) {
        let gateway = &mut self.gateways[at];
        let held = gateway.dispatch.queue_positions().len() as u64;
        let begun = Instant::now();
        let Tick { due, wait, .. } = gateway.dispatch.tick(self.now);
        let took = begun.elapsed();
        if held > 0 {
            self.work.tick_held += took;
            self.work.ticks_held += 1;
            self.work.asks += held;
        } else {
            self.work.tick_idle += took;
            self.work.ticks_idle += 1;
        }
        let still_held = held > due.len() as u64;
        due.into_iter()
            .for_each(|(id, pick)| self.picked(at, id, pick));
        if still_held && !std::mem::replace(&mut self.gateways[at].waking, true) {
            self.at(self.now + wait, Event::Wake { gateway: at });
        }
    }

    fn picked(&mut self, at: usize, id: StatementId, pick: Decision) {
        match pick {
            Decision::Queued => {}
            Decision::Reject { .. } | Decision::Fail => self.totals.rejected += 1,
            Decision::Forward(order) => self.send(at, id, order),
        }
    }

    fn send(&mut self, at: usize, id: StatementId, order: AttemptOrder) {
        let running = &mut self.running[order.engine.0 as usize];
        *running += 1;
        let slower = match self.plan.model {
            EngineModel::Unloaded => 1.0,
            EngineModel::Shared => (f64::from(*running) / ENGINE_CORES).max(1.0),
        };
        let answered = self.now + TimeDelta::from_secs(STATEMENT_CPU.secs() * slower);
        let timed_out = answered >= order.due;
        let gateway = &mut self.gateways[at];
        *gateway.sent.entry(order.engine).or_default() += 1;
        let opened = gateway
            .pools
            .entry(order.engine)
            .or_default()
            .take(self.now, self.pool_idle_s);
        self.totals.connections_opened += u64::from(opened);
        gateway.attempts.insert(
            id,
            Attempt {
                order,
                sent: self.now,
                timed_out,
            },
        );
        self.at(
            answered.min(order.due),
            Event::End {
                gateway: at,
                statement: id,
            },
        );
    }

    fn end(&mut self, at: usize, id: StatementId) {
        let gateway = &mut self.gateways[at];
        let Some(Attempt {
            order,
            sent,
            timed_out,
        }) = gateway.attempts.remove(&id)
        else {
            return;
        };
        self.running[order.engine.0 as usize] -= 1;
        gateway
            .pools
            .entry(order.engine)
            .or_default()
            .give_back(self.now);
        let completed = AttemptEvent::Completed {
            cpu: Some(STATEMENT_CPU),
            memory_mb: Some(STATEMENT_MB),
        };
        let event = if timed_out {
            AttemptEvent::TimedOut
        } else {
            completed
        };
        let latency = self.now - sent;
        let begun = Instant::now();
        let verdict =
            gateway
                .dispatch
                .report(self.now, id, order.attempt, event, latency, !timed_out);
        self.work.report += begun.elapsed();
        self.totals.completed += u64::from(!timed_out);
        self.totals.timed_out += u64::from(timed_out);
        self.totals.rejected += u64::from(verdict != dispatch::FollowUp::None);
        self.turn(at);
    }

    /// Engines that each gateway sent to since counting began.
    pub(crate) fn engines_used(&self) -> Vec<f64> {
        self.gateways
            .iter()
            .map(|gateway| gateway.sent.len() as f64)
            .collect()
    }

    /// Statements that each engine got since counting began.
    pub(crate) fn statements_by_engine(&self) -> Vec<f64> {
        let mut counts = vec![0.0; self.plan.engines as usize];
        for (engine, sent) in self.gateways.iter().flat_map(|gateway| &gateway.sent) {
            counts[engine.0 as usize - 1] += *sent as f64;
        }
        counts
    }

    /// Connections that stand open at each engine by now.
    pub(crate) fn connections_by_engine(&mut self) -> Vec<f64> {
        let mut counts = vec![0.0; self.plan.engines as usize];
        for (engine, pool) in self
            .gateways
            .iter_mut()
            .flat_map(|gateway| &mut gateway.pools)
        {
            pool.close_idle(self.now, self.pool_idle_s);
            counts[engine.0 as usize - 1] += f64::from(pool.busy) + pool.idle.len() as f64;
        }
        counts
    }

    /// Open connections of each gateway by now.
    pub(crate) fn connections_by_gateway(&mut self) -> Vec<f64> {
        let (now, idle_s) = (self.now, self.pool_idle_s);
        let open = |pool: &mut Pool| {
            pool.close_idle(now, idle_s);
            f64::from(pool.busy) + pool.idle.len() as f64
        };
        self.gateways
            .iter_mut()
            .map(|gateway| gateway.pools.values_mut().map(open).sum())
            .collect()
    }
}
