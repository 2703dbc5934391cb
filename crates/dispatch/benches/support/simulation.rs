//! A discrete-event simulation of gateways and engines. It runs the real dispatcher in simulated
//! time without sockets and draws all random values from a seed. Connections follow the rules of
//! the gateway's pools (`gateway::engines::EngineTransport`).

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

/// The number of gateways in the target deployment.
pub(crate) const TARGET_GATEWAYS: f64 = 1_900.0;
/// The number of engines in the target deployment.
pub(crate) const TARGET_ENGINES: f64 = 3_100.0;
/// The mean rate of statements at a gateway.
pub(crate) const STATEMENTS_PER_S: f64 = 380.0;
pub(crate) const ENGINE_CORES: f64 = 8.0;
const STATEMENT_CPU: TimeDelta = TimeDelta::from_micros(20_000);
const STATEMENT_MB: f64 = 8.0;
const STATEMENT_BUDGET: TimeDelta = TimeDelta::from_micros(1_940_000);
/// The number of table groups that the statements are spread over.
const TABLE_GROUPS: u32 = 16;
const NETWORK_DELAY: TimeDelta = TimeDelta::from_micros(50_000);
/// The gateway closes a connection that has been idle for this fraction of `Limits.ConnIdleS`.
const POOL_IDLE_FRACTION: f64 = 0.8;

/// Returns the number of gateways for this number of engines, in proportion to the target
/// deployment.
pub(crate) fn gateways_before(engines: u32) -> u32 {
    (f64::from(engines) * TARGET_GATEWAYS / TARGET_ENGINES)
        .round()
        .max(1.0) as u32
}

/// Returns the settings of the example configuration with this number of gateways and no tenants.
fn settings(gateways: u32) -> Value {
    let mut config: Value = serde_json::from_str(include_str!("../../../../examples/config.json"))
        .expect("the example is JSON");
    config["settings"]["PeersTotal"] = json!(gateways);
    config["settings"]["Tenants"] = json!([]);
    config["settings"].take()
}

fn engine_snapshot(engines: u32) -> EndpointUpdate {
    let info = |id| EngineInfo {
        id: EngineId(id),
        scale: ENGINE_CORES,
        location: LocationId(0),
        machine: MachineId(0),
        cell: CellId(0),
        stage: EngineStage::Ready,
        started: None,
    };
    EndpointUpdate::Snapshot((1..=engines).map(info).collect())
}

pub(crate) fn dispatch(gateways: u32, engines: u32, seed: u64) -> Dispatcher {
    let settings = Settings::from_json(&settings(gateways));
    let policy = settings
        .policy(seed, NetworkDelay(NETWORK_DELAY))
        .expect("the example's settings");
    let mut dispatch = Dispatcher::new(policy);
    dispatch.on_endpoint_update(Timestamp::from_secs(0.0), &engine_snapshot(engines));
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

/// The model of an engine's latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineModel {
    /// The latency is the CPU time of the statement. Gateways do not affect each other and can be
    /// simulated separately.
    Unloaded,
    /// When more statements than cores run at the engine, the CPU time of a new statement is
    /// multiplied by their ratio.
    Shared,
}

/// The connections of one gateway to one engine.
#[derive(Default)]
struct Pool {
    busy: u32,
    /// When each idle connection became idle, from the earliest to the latest.
    idle: Vec<Timestamp>,
}

impl Pool {
    fn close_idle(&mut self, now: Timestamp, idle_s: f64) {
        self.idle.retain(|since| (now - *since).secs() < idle_s);
    }

    /// Takes a connection. Returns true if a new one had to be opened.
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

/// The CPU time used by the dispatcher, by call.
#[derive(Clone, Copy, Default)]
pub(crate) struct DispatcherWork {
    pub(crate) statements: u64,
    pub(crate) pick: Duration,
    pub(crate) report: Duration,
    /// Ticks while statements are queued.
    pub(crate) tick_queued: Duration,
    pub(crate) ticks_queued: u64,
    /// Ticks with an empty queue.
    pub(crate) tick_idle: Duration,
    pub(crate) ticks_idle: u64,
    /// The number of placement decisions on queued statements.
    pub(crate) placements: u64,
}

impl DispatcherWork {
    pub(crate) fn total(&self) -> Duration {
        self.pick + self.report + self.tick_queued + self.tick_idle
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
    /// Whether a wake-up event is scheduled.
    wakeup_scheduled: bool,
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

/// The outcomes of statements since counting began.
#[derive(Clone, Copy, Default)]
pub(crate) struct Totals {
    pub(crate) arrived: u64,
    pub(crate) completed: u64,
    pub(crate) rejected: u64,
    pub(crate) timed_out: u64,
    pub(crate) connections_opened: u64,
}

/// The parameters of a simulation.
pub(crate) struct Plan {
    /// The number of gateways in the settings.
    pub(crate) gateways: u32,
    /// The number of the first simulated gateway.
    pub(crate) first: u32,
    /// The number of simulated gateways.
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
    /// The number of statements that run on each engine, from the simulated gateways.
    running: Vec<u32>,
    pool_idle_s: f64,
    pub(crate) work: DispatcherWork,
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
                wakeup_scheduled: false,
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
            pool_idle_s: connections.idle_timeout.secs() * POOL_IDLE_FRACTION,
            work: DispatcherWork::default(),
            totals: Totals::default(),
        };
        (0..count).for_each(|gateway| simulation.schedule_arrival(gateway));
        simulation
    }

    /// Continues the simulation for this many simulated seconds. Counting continues too.
    pub(crate) fn run(&mut self, span_s: f64) {
        let end = self.now + TimeDelta::from_secs(span_s);
        while let Some(next) = self.events.first_entry().filter(|next| next.key().0 < end) {
            let ((at, _), event) = next.remove_entry();
            self.now = at;
            match event {
                Event::Arrival { gateway } => self.on_arrival(gateway),
                Event::End { gateway, statement } => self.on_attempt_end(gateway, statement),
                Event::Wake { gateway } => {
                    self.gateways[gateway].wakeup_scheduled = false;
                    self.turn(gateway);
                }
            }
        }
        self.now = end;
    }

    /// Resets the counters at the end of the warm-up.
    pub(crate) fn begin_counting(&mut self) {
        (self.work, self.totals) = (DispatcherWork::default(), Totals::default());
        self.gateways
            .iter_mut()
            .for_each(|gateway| gateway.sent.clear());
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn schedule_arrival(&mut self, gateway: usize) {
        let uniform: f64 = self.gateways[gateway].arrivals.random();
        let gap_s = -(1.0 - uniform).ln() / self.plan.statements_per_s;
        self.schedule(
            self.now + TimeDelta::from_secs(gap_s),
            Event::Arrival { gateway },
        );
    }

    fn on_arrival(&mut self, gateway_index: usize) {
        self.schedule_arrival(gateway_index);
        let gateway = &mut self.gateways[gateway_index];
        gateway.next_statement += 1;
        let id = StatementId(gateway.next_statement);
        let request = request(id.0 as u32 % TABLE_GROUPS);
        let started = Instant::now();
        let decision = gateway.dispatch.pick(self.now, id, &request);
        self.work.pick += started.elapsed();
        self.work.statements += 1;
        self.totals.arrived += 1;
        self.apply_decision(gateway_index, id, decision);
        self.turn(gateway_index);
    }

    fn turn(&mut self, gateway_index: usize) {
        let gateway = &mut self.gateways[gateway_index];
        let queued = gateway.dispatch.queue_positions().len() as u64;
        let started = Instant::now();
        let Tick { due, wait, .. } = gateway.dispatch.tick(self.now);
        let elapsed = started.elapsed();
        if queued > 0 {
            self.work.tick_queued += elapsed;
            self.work.ticks_queued += 1;
            self.work.placements += queued;
        } else {
            self.work.tick_idle += elapsed;
            self.work.ticks_idle += 1;
        }
        let still_queued = queued > due.len() as u64;
        due.into_iter()
            .for_each(|(id, decision)| self.apply_decision(gateway_index, id, decision));
        if still_queued
            && !std::mem::replace(&mut self.gateways[gateway_index].wakeup_scheduled, true)
        {
            self.schedule(
                self.now + wait,
                Event::Wake {
                    gateway: gateway_index,
                },
            );
        }
    }

    fn apply_decision(&mut self, gateway_index: usize, id: StatementId, decision: Decision) {
        match decision {
            Decision::Queued => {}
            Decision::Reject { .. } | Decision::Fail => self.totals.rejected += 1,
            Decision::Forward(order) => self.send(gateway_index, id, order),
        }
    }

    fn send(&mut self, gateway_index: usize, id: StatementId, order: AttemptOrder) {
        let running = &mut self.running[order.engine.0 as usize];
        *running += 1;
        let slowdown = match self.plan.model {
            EngineModel::Unloaded => 1.0,
            EngineModel::Shared => (f64::from(*running) / ENGINE_CORES).max(1.0),
        };
        let answered = self.now + TimeDelta::from_secs(STATEMENT_CPU.secs() * slowdown);
        let timed_out = answered >= order.due;
        let gateway = &mut self.gateways[gateway_index];
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
        self.schedule(
            answered.min(order.due),
            Event::End {
                gateway: gateway_index,
                statement: id,
            },
        );
    }

    fn on_attempt_end(&mut self, gateway_index: usize, id: StatementId) {
        let gateway = &mut self.gateways[gateway_index];
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
        let started = Instant::now();
        let follow_up =
            gateway
                .dispatch
                .report(self.now, id, order.attempt, event, latency, !timed_out);
        self.work.report += started.elapsed();
        self.totals.completed += u64::from(!timed_out);
        self.totals.timed_out += u64::from(timed_out);
        self.totals.rejected += u64::from(follow_up != dispatch::FollowUp::None);
        self.turn(gateway_index);
    }

    /// Returns the number of engines that each gateway sent statements to since counting began.
    pub(crate) fn engines_used(&self) -> Vec<f64> {
        self.gateways
            .iter()
            .map(|gateway| gateway.sent.len() as f64)
            .collect()
    }

    /// Returns the number of statements that each engine received since counting began.
    pub(crate) fn statements_by_engine(&self) -> Vec<f64> {
        let mut counts = vec![0.0; self.plan.engines as usize];
        for (engine, sent) in self.gateways.iter().flat_map(|gateway| &gateway.sent) {
            counts[engine.0 as usize - 1] += *sent as f64;
        }
        counts
    }

    /// Returns the number of open connections at each engine.
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

    /// Returns the number of open connections of each gateway.
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
