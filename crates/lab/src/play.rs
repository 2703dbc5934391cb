//! One run: events in the order of simulated time, a world of engines and clients, and the real decisions in the
//! middle.

mod connections;
mod deployment;
mod events;
mod requests;
mod wait_history;

use std::collections::BTreeMap;

use admission::interface::*;
use dispatch::{Order, Pick, Verdict, Wants};
use queues::{DeskId, Directory};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::connections::Connections;
use self::deployment::FrontFactory;
use self::events::{Event, EventQueue};
use self::requests::Request;
use self::wait_history::WaitHistory;
use crate::engine::{Engine, Run, State};
use crate::figures::{self, Figures, Told, ratio, well};
use crate::front::{Front, Policy};
use crate::mesh::{self, Mesh};
use crate::parts::{self, Part};
use crate::rules::{Rules, Seen};
use crate::scenario::{Budgets, Kind, Scenario, Trouble};

/// How soon an engine that fails all says so.
const FAILS_S: f64 = 0.005;
/// Fairness is looked at over spans of this length.
const SPAN_S: f64 = 5.0;
/// Gateways know each other by the time a day begins; how often they compare what they see of engines.
const MESH_AHEAD_S: f64 = 40.0;
const MESH_LOOK_S: f64 = 0.1;
/// A gateway that ends has so long for what it holds; a client of one that was killed asks again after this.
const END_S: f64 = 2.0;
const NOTICED_S: f64 = 0.2;
/// "At once", of a denial.
const AT_ONCE_S: f64 = 0.05;

struct Statement {
    request: usize,
    gateway: usize,
    taken: f64,
    out: Option<(usize, RelayNo, f64)>,
    answered: bool,
}

struct Gateway {
    front: Front,
    delay: f64,
    away: bool,
    tick: f64,
    turn: u64,
    wait_history: BTreeMap<(u32, usize), WaitHistory>,
    /// Its own benches that others were told of, and until when.
    told: BTreeMap<EngineId, Moment>,
}

pub struct Play<'a> {
    scenario: &'a Scenario,
    names: Vec<&'a str>,
    now: f64,
    events: EventQueue,
    rng: Pcg64Mcg,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    /// As the list has them now.
    listed: Vec<(Stage, Option<f64>)>,
    connections: Connections,
    /// Part of the answers that each engine loses.
    loses: Vec<f64>,
    mesh: Option<Mesh<fleet::Gateway>>,
    /// Where budgets are divided by leases; what each gateway's lines wanted and paid by the last look.
    parts: Option<Mesh<Part>>,
    flows: Vec<Vec<(f64, f64)>>,
    fronts: FrontFactory<'a>,
    seed: u64,
    troubles: Vec<(Kind, Trouble)>,
    requests: Vec<Request>,
    statements: Vec<Statement>,
    /// Those told an estimate and still waiting: what plain estimators said.
    plain: BTreeMap<StatementId, [f64; 3]>,
    rules: Rules,
    figures: Figures,
    told: Vec<Told>,
    waits: Vec<f64>,
    /// By product, of the completed: before sending and running.
    took: Vec<(Vec<f64>, Vec<f64>)>,
    longest_passed: f64,
    /// By span and member: CPU asked and served.
    spans: Vec<Vec<(f64, f64)>>,
    members: Vec<String>,
    claims: Vec<(f64, f64)>,
    started: std::time::Instant,
}

/// What a run leaves.
pub struct Outcome {
    pub figures: Figures,
    pub told: Vec<Told>,
    /// By second: served in time and asked by member.
    pub members: Vec<String>,
    pub spans: Vec<Vec<(f64, f64)>>,
    pub span_s: f64,
    /// Real time it took; no figure, since no two runs have the same.
    pub took_s: f64,
}

fn moment(secs: f64) -> Moment {
    Moment::from_secs(secs)
}

impl<'a> Play<'a> {
    pub fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Result<Self, String> {
        let terms = scenario.terms()?;
        let directory = terms.as_ref().map(Directory::new);
        let requests = requests::draw(scenario, directory.as_ref(), seed)?;
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
        let count = scenario.gateways as f64;
        // The file's budgets are of all gateways together.
        let part = if scenario.budgets == Budgets::Guess { 1.0 / count } else { 1.0 };
        let queue_terms = terms.as_ref().map(|terms| terms.part(part));
        let fronts = FrontFactory { scenario, policy, queue_terms };
        let parts = terms.as_ref().filter(|_| scenario.budgets == Budgets::Leases);
        let parts = parts.map(|terms| {
            let terms = parts::members(&terms.members, scenario.gateways);
            parts::parts(scenario.gateways, seed, terms)
        });
        let products = scenario.product.len();
        let gateways = (0..scenario.gateways).map(|at| {
            let front = fronts.build(seed, at);
            let delay = scenario.list_delay_ms / 1e3 * rng.random_range(0.2..1.0);
            let (wait_history, told) = (BTreeMap::new(), BTreeMap::new());
            Gateway { front, delay, away: false, tick: f64::INFINITY, turn: 0, wait_history, told }
        });
        let gateways: Vec<_> = gateways.collect();
        let members: Vec<String> = scenario.traffic.keys().cloned().collect();
        let claim = |name: &String| {
            let found = terms.as_ref().and_then(|t| t.members.iter().find(|m| m.name == *name));
            found.map_or((0.0, 1.0), |member| (member.claim.budget, member.claim.weight))
        };
        let claims = members.iter().map(claim).collect();
        let mut play = Play {
            scenario,
            names: scenario.product.keys().map(String::as_str).collect(),
            now: 0.0,
            events: EventQueue::default(),
            rng,
            gateways,
            listed: vec![(Stage::Ready, None); scenario.engines.count],
            connections: Connections::new(scenario.engines.count, scenario.engines.idle_s),
            loses: vec![0.0; scenario.engines.count],
            mesh: scenario.fleet.then(|| mesh::gateways(scenario.gateways, seed, fleet::Terms::default())),
            parts,
            flows: vec![Vec::new(); scenario.gateways],
            fronts,
            seed,
            engines: (0..scenario.engines.count).map(|_| Engine::new(scenario.engines.clone())).collect(),
            troubles: scenario.troubles()?,
            statements: Vec::new(),
            plain: BTreeMap::new(),
            rules: Rules::new(deployment::rules(), scenario.gateways),
            figures: Figures { policy: policy.name().into(), seed, ..Figures::default() },
            told: Vec::new(),
            waits: Vec::new(),
            took: vec![(Vec::new(), Vec::new()); products],
            longest_passed: 0.0,
            spans: Vec::new(),
            members,
            claims,
            requests,
            started: std::time::Instant::now(),
        };
        for at in 0..play.requests.len() {
            play.at(play.requests[at].arrival_s, Event::Request(at));
        }
        for at in 0..play.troubles.len() {
            let (begins, lasts) = (play.troubles[at].1.at_s, play.troubles[at].1.for_s);
            play.at(begins, Event::FaultBegins(at));
            play.at(begins + lasts, Event::FaultEnds(at));
        }
        for gateway in 0..play.gateways.len() {
            play.tell_all(gateway);
        }
        if let Some(mesh) = &mut play.mesh {
            mesh.start_all();
            mesh.run(MESH_AHEAD_S);
            play.at(0.0, Event::ExchangeHealth);
        }
        if let Some(parts) = &mut play.parts {
            parts.start_all();
            parts.run(MESH_AHEAD_S);
        }
        if scenario.budgets != Budgets::Guess {
            play.divide();
        }
        Ok(play)
    }

    /// The whole list, as a gateway that starts finds it.
    fn tell_all(&mut self, gateway: usize) {
        let listed = self.listed.iter().enumerate();
        let all = listed.filter(|(_, (stage, _))| *stage == Stage::Ready);
        let all = all.map(|(at, (stage, started))| self.fact(at, *stage, *started)).collect();
        self.gateways[gateway].front.told_list(moment(self.now), &ListNews::Whole(all));
        self.wake(gateway, self.now);
    }

    /// Dead with all it holds, or ended in order; from now on its clients go elsewhere.
    fn gone(&mut self, gateway: usize, killed: bool) {
        self.gateways[gateway].away = true;
        let (now, end) = (self.now, self.now + END_S);
        let open = |s: &Statement| s.gateway == gateway && (!s.answered || s.out.is_some());
        let held: Vec<usize> = (0..self.statements.len()).filter(|at| open(&self.statements[*at])).collect();
        if !killed {
            self.gateways[gateway].front.hall().into_iter().for_each(|hall| hall.answer_by(moment(end)));
        }
        for at in held {
            if let Some((_, relay, _)) = self.statements[at].out.filter(|_| !killed) {
                self.at(end, Event::AttemptTimeout { statement: at, attempt: relay });
            }
            if killed {
                let statement = &mut self.statements[at];
                let (out, answered) =
                    (statement.out.take(), std::mem::replace(&mut statement.answered, true));
                out.into_iter().for_each(|(engine, ..)| self.connections.close(engine));
                self.rules.died(at as u64);
                if !answered {
                    self.figures.died += 1;
                    let request = self.statements[at].request;
                    if self.requests[request].tries_left > 0
                        && now + NOTICED_S < self.requests[request].deadline_s
                    {
                        self.at(now + NOTICED_S, Event::Request(request));
                    }
                }
            }
        }
        if killed {
            // What it held dies with it: its decisions must not go on answering.
            let fresh = self.fronts.build(self.seed, gateway);
            self.gateways[gateway].front = fresh;
            self.connections.close_idle_of_gateway(gateway);
        }
        if let Some(mesh) = &mut self.mesh {
            if killed { mesh.kill(gateway) } else { mesh.leave(gateway) }
        }
        if let Some(parts) = &mut self.parts {
            if killed { parts.kill(gateway) } else { parts.leave(gateway) }
        }
    }

    /// A gateway that starts: nothing of what it knew before.
    fn reborn(&mut self, gateway: usize) {
        let seed = self.seed ^ (self.now * 1e3) as u64;
        let fresh = self.fronts.build(seed, gateway);
        let of = &mut self.gateways[gateway];
        (of.front, of.away, of.told) = (fresh, false, BTreeMap::new());
        self.connections.close_idle_of_gateway(gateway);
        self.tell_all(gateway);
        self.mesh.iter_mut().for_each(|mesh| mesh.start(gateway));
        self.parts.iter_mut().for_each(|parts| parts.start(gateway));
        self.flows[gateway].clear();
    }

    /// Gateways tell each other what they see of engines.
    fn mesh(&mut self) {
        let ahead = Span::from_secs(MESH_AHEAD_S);
        let now = moment(self.now) + ahead;
        let Some(mesh) = &mut self.mesh else { return };
        mesh.run(self.now + MESH_AHEAD_S);
        for (at, gateway) in self.gateways.iter_mut().enumerate() {
            let (Some(peer), Some(hall)) = (mesh.peer_mut(at), gateway.front.hall()) else { continue };
            let own =
                hall.health().filter_map(|of| Some((of.id, of.benched_until.filter(|_| !of.on_hearsay)?)));
            let own: BTreeMap<EngineId, Moment> = own.collect();
            for (id, until) in &own {
                if gateway.told.get(id).is_none_or(|told| told < until) {
                    peer.saw(now, &id.0.to_string(), fleet::EngineWord::Bad);
                }
            }
            for id in gateway.told.keys().filter(|id| !own.contains_key(id)) {
                peer.saw(now, &id.0.to_string(), fleet::EngineWord::Back);
            }
            gateway.told = own;
            let doubts = peer.doubted(now).into_iter().filter_map(|doubt| {
                let id = EngineId(doubt.engine.parse().ok()?);
                let back = |at: Moment| at + (Span::ZERO - ahead);
                Some(EngineDoubt { id, seen: back(doubt.seen), until: back(doubt.until) })
            });
            let doubts: Vec<EngineDoubt> = doubts.collect();
            hall.told_doubts(moment(self.now), &doubts);
        }
        self.at(self.now + MESH_LOOK_S, Event::ExchangeHealth);
    }

    /// What of the members' budgets each gateway holds, for its lines.
    fn divide(&mut self) {
        let (now, ahead) = (moment(self.now), moment(self.now) + Span::from_secs(MESH_AHEAD_S));
        let Some(terms) = &self.fronts.queue_terms else { return };
        let even = 1.0 / self.gateways.len() as f64;
        self.parts.iter_mut().for_each(|parts| parts.run(self.now + MESH_AHEAD_S));
        for (at, gateway) in self.gateways.iter_mut().enumerate() {
            let Some(hall) = gateway.front.hall() else { continue };
            let Some(parts) = &mut self.parts else {
                let rates = terms.members.iter().map(|member| Some(member.claim.budget * even));
                hall.lease(now, &rates.collect::<Vec<_>>());
                continue;
            };
            let Some(part) = parts.peer_mut(at) else { continue };
            let local = part.clock(ahead);
            let flows = hall.flows();
            let before = std::mem::replace(&mut self.flows[at], flows.clone());
            let rate = |(of, (wanted, paid)): (usize, (f64, f64))| {
                let (wanted_before, paid_before) = before.get(of).copied().unwrap_or_default();
                part.shares.wants(local, of, wanted - wanted_before);
                part.shares.spent(local, of, paid - paid_before);
                Some(part.shares.rate(local, of))
            };
            let rates: Vec<Option<f64>> = flows.into_iter().enumerate().map(rate).collect();
            hall.lease(now, &rates);
        }
        self.at(self.now + MESH_LOOK_S, Event::DivideBudgets);
    }

    fn fact(&self, engine: usize, stage: Stage, started: Option<f64>) -> EngineFact {
        EngineFact {
            id: EngineId(engine as u32),
            scale: 1.0,
            location: LocationId(self.zone(engine)),
            machine: MachineId(0),
            cell: CellId(0),
            stage,
            started: started.map(moment),
        }
    }

    fn zone(&self, engine: usize) -> u16 {
        engine as u16 % self.scenario.engines.zones.max(1)
    }

    fn at(&mut self, at: f64, event: Event) {
        self.events.schedule(at.max(self.now), event);
    }

    fn wake(&mut self, gateway: usize, at: f64) {
        let of = &mut self.gateways[gateway];
        if of.tick <= at {
            return;
        }
        (of.tick, of.turn) = (at, of.turn + 1);
        let turn = of.turn;
        self.at(at, Event::GatewayTick { gateway, generation: turn });
    }

    pub fn run(mut self) -> Outcome {
        let longest = self.scenario.product.values().fold(0.0f64, |most, p| most.max(p.hard_limit_ms / 1e3));
        let end = self.scenario.seconds + longest + 1.0;
        while let Some((at, event)) = self.events.pop()
            && at <= end
        {
            self.now = at;
            self.happens(event);
        }
        self.now = end;
        self.rules.at_end(end);
        self.sum_up()
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Request(request) => self.ask(request),
            Event::GatewayTick { gateway, generation } => {
                if self.gateways[gateway].turn == generation {
                    self.tick(gateway);
                }
            }
            Event::EngineTick { engine, generation } => {
                if self.engines[engine].turn == generation {
                    for run in self.engines[engine].ended(self.now) {
                        self.completed(run);
                    }
                    self.look_again(engine);
                }
            }
            Event::Progress { engine, statement, attempt } => self.note(engine, statement, attempt),
            Event::AttemptTimeout { statement, attempt } => self.comes_to(statement, attempt, News::TimedOut),
            Event::AttemptError { statement, attempt } => self.comes_to(statement, attempt, News::Error),
            Event::EngineListed { gateway, engine, stage, started_s } => {
                let fact = self.fact(engine, stage, started_s);
                self.figures.lists_told += 1;
                self.gateways[gateway].front.told_list(moment(self.now), &ListNews::Changes(vec![fact]));
                self.rules.told(self.now, gateway, engine, stage == Stage::Ready);
                self.wake(gateway, self.now);
            }
            Event::ExchangeHealth => self.mesh(),
            Event::DivideBudgets => self.divide(),
            Event::FaultBegins(at) => self.trouble(at, true),
            Event::FaultEnds(at) => self.trouble(at, false),
        }
    }

    fn trouble(&mut self, at: usize, begins: bool) {
        let (kind, trouble) = self.troubles[at].clone();
        if kind == Kind::Away {
            trouble.gateways.iter().for_each(|gateway| self.gateways[*gateway].away = begins);
        }
        for gateway in trouble.gateways.iter().copied().filter(|_| matches!(kind, Kind::Renew | Kind::Kill)) {
            if begins { self.gone(gateway, kind == Kind::Kill) } else { self.reborn(gateway) }
        }
        for engine in trouble.engines {
            let of = &mut self.engines[engine];
            of.advance(self.now);
            of.turn += 1;
            match (kind, begins) {
                (Kind::Flood | Kind::Away | Kind::Renew | Kind::Kill, _) => {}
                (Kind::Lose, _) => self.loses[engine] = if begins { trouble.share } else { 0.0 },
                (Kind::Slow, _) => of.slow = if begins { trouble.times.max(1.0) } else { 1.0 },
                (Kind::Pause, _) => of.state = if begins { State::Paused } else { State::Well },
                (Kind::Fail, _) => of.state = if begins { State::Failing } else { State::Well },
                (Kind::Silent, true) => of.state = State::Silent,
                (Kind::Silent, false) => {
                    // What it had is lost without a word.
                    of.drop_all(self.now);
                    of.state = State::Well;
                }
                (Kind::Drain, true) => self.tell(engine, Stage::Draining),
                (Kind::Restart, true) => {
                    of.state = State::Down;
                    self.reset(engine);
                    self.tell(engine, Stage::Gone);
                }
                (Kind::Drain | Kind::Restart, false) => {
                    (of.state, of.started) = (State::Well, Some(self.now));
                    self.reset(engine);
                    self.tell(engine, Stage::Ready);
                }
            }
            self.look_again(engine);
        }
    }

    fn reset(&mut self, engine: usize) {
        self.connections.close_idle_to_engine(engine);
        for run in self.engines[engine].drop_all(self.now) {
            self.comes_to(run.statement as usize, RelayNo(run.relay), News::Reset);
        }
    }

    fn tell(&mut self, engine: usize, stage: Stage) {
        let started = self.engines[engine].started;
        self.listed[engine] = (stage, started);
        for gateway in 0..self.gateways.len() {
            let at = self.now + self.gateways[gateway].delay;
            self.at(at, Event::EngineListed { gateway, engine, stage, started_s: started });
        }
    }

    fn look_again(&mut self, engine: usize) {
        if let Some(at) = self.engines[engine].next() {
            let turn = self.engines[engine].turn;
            self.at(at + 1e-6, Event::EngineTick { engine, generation: turn });
        }
    }

    fn ask(&mut self, at: usize) {
        let now = self.now;
        let request = self.requests[at].clone();
        let product = &self.scenario.product[self.names[request.class]];
        if request.tries_left == self.scenario.client_tries {
            self.span(request.tenant).0 += request.cpu_s;
        }
        self.requests[at].tries_left -= 1;
        let statement = self.statements.len();
        let id = StatementId(statement as u64);
        let count = self.gateways.len();
        let mut gateway = request.gateway;
        for _ in 0..count {
            gateway = if self.gateways[gateway].away { (gateway + 1) % count } else { gateway };
        }
        self.statements.push(Statement { request: at, gateway, taken: now, out: None, answered: false });
        self.figures.statements += 1;
        let seen =
            Seen::new(gateway, request.deadline_s, product.unrepeatable, request.order_key, product.zone);
        self.rules.took(now, statement as u64, seen);
        let wants = Wants {
            product: ProductId(request.class),
            tenant: TenantId(request.tenant),
            group: GroupId(request.table_group),
            estimate: Some(Span::from_secs(request.estimate_s)),
            memory_mb: product.memory_mb,
            key: request.order_key.map(OrderKey),
            marked: true,
            budget: Span::from_secs(request.deadline_s - now),
        };
        let pick = self.gateways[gateway].front.pick(moment(now), id, request.queue, &wants);
        if pick == Pick::Held {
            self.note_plain(gateway, id, request.queue, request.class);
        }
        self.picked(id, pick);
        self.wake(gateway, now);
    }

    /// What the plain estimators say of one that came to wait.
    fn note_plain(&mut self, gateway: usize, id: StatementId, desk: DeskId, product: usize) {
        let of = &mut self.gateways[gateway];
        let Some(status) = of.front.hall().and_then(|hall| hall.statement(moment(self.now), id)) else {
            return;
        };
        let history = of.wait_history.get(&(desk.0, product)).copied().unwrap_or_default();
        self.plain.insert(id, history.estimates(status.ahead));
    }

    fn tick(&mut self, gateway: usize) {
        let now = moment(self.now);
        self.gateways[gateway].tick = f64::INFINITY;
        let tick = self.gateways[gateway].front.tick(now);
        let waits = self.gateways[gateway].front.waits().to_vec();
        for wait in waits {
            let (told, p90, real) = (wait.told.wait.secs(), wait.told.p90.secs(), wait.real.secs());
            let plain = self.plain.remove(&wait.id).unwrap_or_default();
            let (desk, product) = (wait.desk.0, wait.product.0);
            self.told.push(Told { at: self.now, gateway, desk, product, told, p90, real, plain });
            let history = self.gateways[gateway].wait_history.entry((desk, product)).or_default();
            history.record(self.now, real);
        }
        if let Some(hall) = self.gateways[gateway].front.hall() {
            self.longest_passed = self.longest_passed.max(hall.longest_passed().secs());
        }
        for (id, pick) in tick.due {
            self.picked(id, pick);
        }
        self.wake(gateway, self.now + tick.wait.secs());
    }

    fn picked(&mut self, id: StatementId, pick: Pick) {
        match pick {
            Pick::Held => {}
            Pick::Relay(order) => self.send(id, order),
            Pick::Deny { come_back } => self.denied(id, come_back),
            Pick::Scrap => self.scrapped(id),
        }
    }

    fn send(&mut self, id: StatementId, order: Order) {
        let (now, at, engine) = (self.now, id.0 as usize, order.engine.0 as usize);
        let request = &self.requests[self.statements[at].request];
        let product = &self.scenario.product[self.names[request.class]];
        let (cpu, threads, memory_mb) = (request.cpu_s, product.threads, product.memory_mb);
        let zone = self.zone(engine);
        self.rules.sent(now, id.0, engine, zone);
        self.connections.acquire(now, self.statements[at].gateway, engine);
        self.figures.relays += 1;
        self.statements[at].out = Some((engine, order.relay, now));
        let (statement, relay) = (at, order.relay);
        match self.engines[engine].state {
            State::Down => return self.comes_to(statement, relay, News::Unreachable),
            State::Failing => {
                return self.at(now + FAILS_S, Event::AttemptError { statement, attempt: relay });
            }
            State::Well | State::Paused | State::Silent => {}
        }
        let due = (order.due - moment(0.0)).secs();
        self.at(due, Event::AttemptTimeout { statement, attempt: relay });
        let note = now + self.scenario.engines.note_ms / 1e3;
        self.at(note, Event::Progress { engine, statement, attempt: relay });
        let run = Run { statement: id.0, relay: relay.0, cpu, threads, memory_mb, sent: now };
        if self.engines[engine].take(now, run) {
            self.rules.fell_over();
            self.engines[engine].fell += 1;
            self.engines[engine].state = State::Down;
            self.reset(engine);
        }
        self.look_again(engine);
    }

    fn note(&mut self, engine: usize, statement: usize, relay: RelayNo) {
        self.engines[engine].advance(self.now);
        let Some(run) = self.engines[engine].runs(statement as u64, relay.0) else { return };
        let share = self.engines[engine].share(run);
        let out = self.statements[statement].out.is_some_and(|(at, no, _)| (at, no) == (engine, relay));
        if self.engines[engine].state == State::Well && out {
            let (gateway, latency) =
                (self.statements[statement].gateway, Span::from_secs(self.now - run.sent));
            let id = StatementId(statement as u64);
            let front = &mut self.gateways[gateway].front;
            front.report(moment(self.now), id, relay, News::Progress(share), latency, false);
        }
        let next = self.now + self.scenario.engines.note_ms / 1e3;
        self.at(next, Event::Progress { engine, statement, attempt: relay });
    }

    fn completed(&mut self, run: Run) {
        let at = run.statement as usize;
        let out = self.statements[at].out.is_some_and(|(_, relay, _)| relay.0 == run.relay);
        if !out {
            return;
        }
        let engine = self.statements[at].out.map_or(0, |out| out.0);
        if self.loses[engine] > 0.0 && self.rng.random::<f64>() < self.loses[engine] {
            return;
        }
        let news = News::Completed { cpu: Some(Span::from_secs(run.cpu)), memory_mb: Some(run.memory_mb) };
        if !self.statements[at].answered {
            self.statements[at].answered = true;
            self.rules.answered(self.now, run.statement, false);
            self.figures.completed += 1;
            let Statement { request, taken, .. } = self.statements[at];
            let took = &mut self.took[self.requests[request].class];
            took.0.push(run.sent - taken);
            took.1.push(self.now - run.sent);
            self.served(request);
        }
        self.comes_to(at, RelayNo(run.relay), news);
    }

    fn served(&mut self, at: usize) {
        let now = self.now;
        let request = &mut self.requests[at];
        if std::mem::replace(&mut request.served, true) {
            return;
        }
        let (member, cpu) = (request.tenant, request.cpu_s);
        let of = &self.scenario.product[self.names[request.class]];
        let quoted = of.quoted_ms / 1e3 + of.quoted_stretch * cpu / of.threads;
        let in_time = now - request.arrival_s <= quoted;
        let name = self.names[request.class].to_owned();
        let gain = if in_time { of.gain } else { of.gain * of.late_gain };
        self.span(member).1 += cpu;
        let counted = self.figures.members.entry(self.members[member].clone()).or_default();
        counted.served_in_time += u64::from(in_time);
        counted.served_late += u64::from(!in_time);
        counted.service += gain;
        counted.cpu_served += cpu;
        self.figures.products.entry(name).or_default().served_in_time += u64::from(in_time);
    }

    fn span(&mut self, member: usize) -> &mut (f64, f64) {
        let at = (self.now / SPAN_S) as usize;
        let members = self.members.len();
        while self.spans.len() <= at {
            self.spans.push(vec![(0.0, 0.0); members]);
        }
        &mut self.spans[at][member]
    }

    /// A relay has its outcome, if it is still the one out.
    fn comes_to(&mut self, at: usize, relay: RelayNo, news: News) {
        let Some((engine, _, sent)) = self.statements[at].out.filter(|(_, no, _)| *no == relay) else {
            return;
        };
        self.statements[at].out = None;
        self.figures.timed_out += u64::from(news == News::TimedOut);
        // After these the connection is of no further use.
        if matches!(news, News::TimedOut | News::Reset | News::Unreachable) {
            self.connections.close(engine);
        } else {
            let gateway = self.statements[at].gateway;
            self.connections.release(self.now, gateway, engine);
        }
        let never = [News::Unreachable, News::TurnedAway, News::NeverSent, News::Withdrawn];
        let ran = !never.contains(&news);
        self.rules.relay_over(at as u64, ran);
        let (gateway, answered) = (self.statements[at].gateway, self.statements[at].answered);
        let id = StatementId(at as u64);
        let latency = Span::from_secs(self.now - sent);
        let front = &mut self.gateways[gateway].front;
        match front.report(moment(self.now), id, relay, news, latency, answered) {
            Verdict::Nothing | Verdict::Cancel(_) => {}
            Verdict::Deny { come_back } => self.denied(id, come_back),
            Verdict::Scrap => self.scrapped(id),
        }
        self.wake(gateway, self.now);
    }

    fn denied(&mut self, id: StatementId, come_back: Option<Span>) {
        let at = id.0 as usize;
        self.plain.remove(&id);
        self.rules.answered(self.now, id.0, true);
        self.figures.denied += 1;
        self.figures.denied_at_once += u64::from(self.now - self.statements[at].taken <= AT_ONCE_S);
        self.statements[at].answered = true;
        let request = self.statements[at].request;
        let wait = come_back.map_or(0.1, Span::secs) * self.rng.random_range(1.0..1.2);
        let of = &self.requests[request];
        if of.tries_left > 0 && self.now + wait < of.deadline_s - 0.05 {
            self.at(self.now + wait, Event::Request(request));
        }
    }

    fn scrapped(&mut self, id: StatementId) {
        self.plain.remove(&id);
        self.rules.answered(self.now, id.0, false);
        self.figures.scrapped += 1;
        self.statements[id.0 as usize].answered = true;
    }

    fn sum_up(mut self) -> Outcome {
        let mut figures = std::mem::take(&mut self.figures);
        let (mut gain, mut asked_gain) = (0.0, 0.0);
        for request in &self.requests {
            let name = self.names[request.class];
            let of = &self.scenario.product[name];
            let member = figures.members.entry(self.members[request.tenant].clone()).or_default();
            member.asked += 1;
            member.cpu_asked += request.cpu_s;
            figures.products.entry(name.to_owned()).or_default().asked += 1;
            asked_gain += of.gain;
        }
        let seconds = self.scenario.seconds;
        for (at, name) in self.members.iter().enumerate() {
            let asked: f64 = self
                .requests
                .iter()
                .filter(|request| request.tenant == at)
                .map(|request| self.scenario.product[self.names[request.class]].gain)
                .sum();
            let member = figures.members.entry(name.clone()).or_default();
            gain += member.service;
            member.service = ratio(member.service, asked);
            (member.cpu_asked, member.cpu_served) =
                (ratio(member.cpu_asked, seconds), ratio(member.cpu_served, seconds));
            member.budget = self.claims[at].0;
            member.worst_of_fair = 1.0;
        }
        let (owed, weights): (Vec<f64>, Vec<f64>) = self.claims.iter().copied().unzip();
        let owed: Vec<f64> = owed.iter().map(|owed| owed * SPAN_S).collect();
        let whole = (seconds / SPAN_S) as usize;
        for span in self.spans.iter().take(whole).skip(1) {
            let (asked, served): (Vec<f64>, Vec<f64>) = span.iter().copied().unzip();
            let fair = figures::fair(served.iter().sum(), &asked, &owed, &weights);
            for (at, name) in self.members.iter().enumerate().filter(|(at, _)| asked[*at] > owed[*at] * 0.1) {
                let member = figures.members.get_mut(name).expect("counted above");
                member.worst_of_fair = member.worst_of_fair.min(ratio(served[at], fair[at]));
            }
        }
        let worst = figures.members.values().map(|member| member.worst_of_fair);
        figures.worst_member_of_fair = worst.fold(1.0, f64::min);
        for (name, took) in self.names.iter().zip(std::mem::take(&mut self.took)) {
            let product = figures.products.entry((*name).to_owned()).or_default();
            (product.before, product.running) = (figures::waits(took.0), figures::waits(took.1));
            product.share_in_time = ratio(product.served_in_time as f64, product.asked as f64);
        }
        let part = |of: &dyn Fn(&Told) -> bool| {
            ratio(self.told.iter().filter(|told| of(told)).count() as f64, self.told.len() as f64)
        };
        figures.estimate_within_20 = part(&|t| well(t.told, t.real));
        figures.last_wait_within_20 = part(&|t| well(t.plain[0], t.real));
        figures.mean_wait_within_20 = part(&|t| well(t.plain[1], t.real));
        figures.count_ahead_within_20 = part(&|t| well(t.plain[2], t.real));
        figures.within_p90 = part(&|t| t.real <= t.p90 + 0.02);
        let waiting: Vec<_> = self.told.iter().filter(|told| told.real > 0.02 || told.told > 0.02).collect();
        let held = waiting.iter().filter(|told| well(told.told, told.real)).count();
        figures.estimate_within_20_waiting = ratio(held as f64, waiting.len() as f64);
        figures.waited = waiting.len() as u64;
        self.waits.extend(self.told.iter().map(|told| told.real));
        figures.waits = figures::waits(std::mem::take(&mut self.waits));
        figures.longest_passed_over_ms = (self.longest_passed * 1e6).round() / 1e3;
        figures.handshakes = self.connections.handshakes;
        figures.most_connections = self.connections.most_open;
        figures.service = ratio(gain, asked_gain);
        figures.rules_broken = self.rules.count();
        figures.rules = self.rules.broken.clone();
        figures.simulated_s = seconds;
        Outcome {
            figures,
            told: self.told,
            members: self.members,
            spans: self.spans,
            span_s: SPAN_S,
            took_s: self.started.elapsed().as_secs_f64(),
        }
    }
}
