//! Keeps each instance's statements and timers, decodes events into the module's calls and encodes its
//! answers.

use std::collections::{BTreeMap, BTreeSet};

use admission::interface::*;
use admission::policy::Policy;

use crate::frames::{Batch, Fields, FrameError, Reply};
use crate::settings::{Settings, SettingsError};

struct InHand {
    statement: Statement,
    over: bool,
    rank: Option<u8>,
}

/// One instance: it shares nothing with the others of the process.
struct Gateway {
    policy: Policy,
    products: usize,
    bills: bool,
    fields: Vec<String>,
    hand: BTreeMap<StatementId, InHand>,
    line: BTreeSet<Place>,
    alarm: Option<Moment>,
    tag: u64,
}

/// All instances of this process, and the numbered lists that the wire shares among their events.
#[derive(Default)]
pub struct Host {
    gateways: BTreeMap<u16, Gateway>,
    lists: BTreeMap<u8, Vec<EngineFact>>,
}

impl Host {
    pub fn answer(&mut self, batch: &Batch) -> Result<Reply, FrameError> {
        let now = Moment::from_secs(batch.clock);
        let mut replies: BTreeMap<u16, Vec<Action>> = BTreeMap::new();
        for (record, fields) in batch.records() {
            let (code, id) = (fields.u8(0), fields.u16(1));
            match code {
                120 => {
                    let entries = batch.entries(record, fields.range(2))?;
                    let facts = entries.map(|e| engine_fact(batch, record, e)).collect::<Result<_, _>>()?;
                    self.lists.insert(fields.u8(1), facts);
                }
                10 => {
                    let text = batch.text(record, fields.range(11))?;
                    let actions = replies.entry(id).or_default();
                    actions.clear();
                    match Gateway::new(&text, fields.u64(3)) {
                        Ok(gateway) => drop(self.gateways.insert(id, gateway)),
                        Err(error) => {
                            self.gateways.remove(&id);
                            actions.push(Action::Panic(error.to_string()));
                        }
                    }
                }
                100 => {
                    self.gateways.remove(&id);
                    replies.remove(&id);
                }
                20 | 30 | 40 | 50 | 60 | 70 | 80 | 90 | 110 => {
                    let Some(gateway) = self.gateways.get_mut(&id) else { continue };
                    let actions = replies.entry(id).or_default();
                    gateway.event(batch, record, fields, now, &self.lists, actions)?;
                }
                _ => return Err(batch.unknown(record, "event code", code.into())),
            }
        }
        let mut reply = Reply::default();
        for (id, mut actions) in replies {
            if let Some(gateway) = self.gateways.get_mut(&id) {
                gateway.ask_line(now, &mut actions);
            }
            actions.iter().for_each(|action| action.write(id, &mut reply));
        }
        Ok(reply)
    }
}

/// What goes back for one instance, until a power-off in the same batch voids it.
enum Action {
    Attempt(StatementId, EngineId, Option<Span>),
    PushBack(StatementId, Option<Span>),
    Surrender(StatementId),
    Stop(StatementId, RelayNo),
    Remind(Span, u64),
    Test(EngineId),
    List(ListAsk),
    Tune(StatementId, u8),
    Panic(String),
}

impl Action {
    fn write(&self, gateway: u16, reply: &mut Reply) {
        let secs = |span: &Option<Span>| span.map_or(0.0, Span::secs);
        match self {
            Action::Attempt(s, engine, limit) => reply.attempt(gateway, s.0, engine.0, secs(limit)),
            Action::PushBack(s, come_back) => reply.push_back(gateway, s.0, secs(come_back)),
            Action::Surrender(s) => reply.surrender(gateway, s.0),
            Action::Stop(s, relay) => reply.stop_attempt(gateway, s.0, relay.0),
            Action::Remind(wait, tag) => reply.remind(gateway, wait.secs(), *tag),
            Action::Test(engine) => reply.test(gateway, engine.0),
            Action::List(ListAsk::Subscribe) => reply.watch(gateway),
            Action::List(ListAsk::Whole) => reply.snapshot(gateway),
            Action::Tune(s, rank) => reply.tune(gateway, s.0, 0.0, *rank),
            Action::Panic(text) => reply.panic(gateway, text),
        }
    }
}

impl Gateway {
    fn new(text: &str, seed: u64) -> Result<Self, SettingsError> {
        let settings = Settings::parse(text);
        Ok(Gateway {
            policy: settings.policy(seed)?,
            products: settings.products(),
            bills: settings.bills()?,
            fields: settings.report_fields(),
            hand: BTreeMap::new(),
            line: BTreeSet::new(),
            alarm: None,
            tag: 0,
        })
    }

    fn event(
        &mut self,
        batch: &Batch,
        record: usize,
        fields: Fields<'_>,
        now: Moment,
        lists: &BTreeMap<u8, Vec<EngineFact>>,
        actions: &mut Vec<Action>,
    ) -> Result<(), FrameError> {
        let id = StatementId(fields.u64(3));
        match fields.u8(0) {
            20 => {
                let sheet = fields.u8(3);
                let listed =
                    || lists.get(&sheet).cloned().ok_or_else(|| batch.unknown(record, "list", sheet.into()));
                let news = match fields.u8(4) {
                    0 => ListNews::Changes(listed()?),
                    1 | 2 => ListNews::Whole(listed()?),
                    3 => ListNews::Failed,
                    form => return Err(batch.unknown(record, "list form", form.into())),
                };
                self.policy.told_list(now, &news);
            }
            30 => {
                let product = usize::from(fields.u8(46));
                if product >= self.products {
                    return Err(batch.unknown(record, "product", product as u64));
                }
                self.taken(now, id, fields);
            }
            40 => self.outcome(now, id, fields.u16(23), News::Streaming, fields.f64(11), false, actions),
            110 => {
                let news = if fields.u8(21) == 1 { News::Progress(fields.f32(13)) } else { News::Strained };
                self.outcome(now, id, fields.u16(11), news, 0.0, false, actions);
            }
            50 => {
                let (cpu, steps) = (fields.u32(27) >> 12, fields.u32(27) & 0xfff);
                let cpu = (self.bills && cpu > 0).then(|| Span::from_secs(f64::from(cpu) / 1e3));
                let memory_mb = (self.bills && steps > 0).then(|| f64::from(steps) * 4.0);
                let news = match fields.u8(17) {
                    10 => News::Completed { cpu, memory_mb },
                    20 => News::Error,
                    30 => News::TurnedAway,
                    40 => News::TimedOut,
                    50 => News::Unreachable,
                    60 => News::Reset,
                    70 => News::Cancelled,
                    80 => News::NeverSent,
                    code => return Err(batch.unknown(record, "outcome", code.into())),
                };
                self.load(EngineId(fields.u32(13)), fields, 31);
                self.outcome(now, id, fields.u16(11), news, fields.f64(18), fields.u8(26) != 0, actions);
            }
            60 => {
                if let Some(in_hand) = self.hand.get_mut(&id) {
                    in_hand.over = true;
                    self.policy.told_over(&in_hand.statement);
                    in_hand.statement.place.map(|place| self.line.remove(&place));
                    self.forget(id);
                }
            }
            70 if fields.u64(3) == self.tag => self.alarm = None,
            80 => self.load(EngineId(fields.u32(3)), fields, 16),
            _ => {}
        }
        Ok(())
    }

    fn taken(&mut self, now: Moment, id: StatementId, fields: Fields<'_>) {
        if self.hand.contains_key(&id) {
            return;
        }
        let told = fields.u8(11) & 1 != 0;
        let statement = Statement {
            id,
            product: ProductId(fields.u8(46).into()),
            tenant: TenantId(fields.u16(36).into()),
            group: GroupId(fields.f32(24) as u32),
            estimate: Some(Span::from_secs(fields.f64(38))).filter(|cpu| told && *cpu > Span::ZERO),
            memory_mb: Some(fields.f32(12)).filter(|mb| mb.is_finite()).unwrap_or(0.0),
            key: Some(OrderKey(fields.u64(28))).filter(|key| key.0 != 0),
            taken: now,
            hard_limit: now + Span::from_secs(fields.f64(16)),
            held_since: now,
            place: None,
            relays: Vec::new(),
        };
        self.hand.insert(id, InHand { statement, over: false, rank: None });
        // The first ask only gives the place in line; the line is asked once the batch is read.
        let mut actions = Vec::new();
        self.ask(now, id, &mut actions);
    }

    #[allow(clippy::too_many_arguments)]
    fn outcome(
        &mut self,
        now: Moment,
        id: StatementId,
        number: u16,
        news: News,
        latency_s: f64,
        settled: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(in_hand) = self.hand.get_mut(&id) else { return };
        let Some(relay) = in_hand.statement.relays.get_mut(usize::from(number)) else { return };
        if relay.state != RelayState::Out {
            return;
        }
        match news {
            News::Progress(_) | News::Strained | News::Streaming => {}
            News::TurnedAway | News::Unreachable | News::NeverSent => relay.state = RelayState::NeverRan,
            _ => relay.state = RelayState::MayHaveRun,
        }
        let settled = settled || in_hand.over;
        let outcome = Outcome { relay: RelayNo(number), news, latency: Span::from_secs(latency_s), settled };
        match self.policy.after(now, &in_hand.statement, &outcome) {
            After::Stay => {}
            After::Cancel(relay) => actions.push(Action::Stop(id, relay)),
            After::Ask => {
                in_hand.statement.held_since = now;
                in_hand.statement.place.map(|place| self.line.insert(place));
            }
            After::Over => in_hand.over = true,
            After::Deny { come_back } => {
                in_hand.over = true;
                actions.push(Action::PushBack(id, come_back));
            }
            After::Scrap => {
                in_hand.over = true;
                actions.push(Action::Surrender(id));
            }
        }
        self.forget(id);
    }

    /// A statement leaves once it is over and its last relay has an outcome.
    fn forget(&mut self, id: StatementId) {
        let done = |h: &InHand| h.over && h.statement.relays.iter().all(|r| r.state != RelayState::Out);
        if self.hand.get(&id).is_some_and(done) {
            self.hand.remove(&id);
        }
    }

    fn ask_line(&mut self, now: Moment, actions: &mut Vec<Action>) {
        for place in self.line.iter().copied().collect::<Vec<_>>() {
            self.ask(now, place.id, actions);
        }
        let pause = self.policy.pause(now, self.line.len());
        actions.extend(pause.probe.iter().map(|engine| Action::Test(*engine)));
        actions.extend(pause.list.map(Action::List));
        let due = now + pause.wait;
        if self.alarm.is_none_or(|alarm| due < alarm) {
            self.alarm = Some(due);
            self.tag += 1;
            actions.push(Action::Remind(pause.wait, self.tag));
        }
    }

    fn ask(&mut self, now: Moment, id: StatementId, actions: &mut Vec<Action>) {
        let Some(in_hand) = self.hand.get_mut(&id) else { return };
        let answer = self.policy.place(now, &in_hand.statement);
        if let Answer::NotYet(place) = answer {
            in_hand.statement.place = Some(place);
            self.line.insert(place);
            return;
        }
        in_hand.statement.place.map(|place| self.line.remove(&place));
        match answer {
            Answer::Send { relay, limit, rank } => {
                if let Some(rank) = rank.filter(|rank| in_hand.rank != Some(*rank)) {
                    in_hand.rank = Some(rank);
                    actions.push(Action::Tune(id, rank));
                }
                in_hand.statement.relays.push(relay);
                actions.push(Action::Attempt(id, relay.engine, limit));
                return;
            }
            Answer::Deny { come_back } => actions.push(Action::PushBack(id, come_back)),
            Answer::Scrap | Answer::NotYet(_) => actions.push(Action::Surrender(id)),
        }
        in_hand.over = true;
        self.forget(id);
    }

    fn load(&mut self, engine: EngineId, fields: Fields<'_>, at: usize) {
        let told = usize::from(fields.u8(at)).min(4).min(self.fields.len());
        let mut report = LoadReport::default();
        for (place, name) in self.fields[..told].iter().enumerate() {
            let value = Some(fields.f32(at + 1 + 4 * place)).filter(|value| value.is_finite());
            match name.as_str() {
                "q" => report.waiting = value,
                "busy" => report.busy = value,
                "x0" => report.memory = value,
                "x1" => report.disks = value,
                _ => {}
            }
        }
        if told > 0 {
            self.policy.told_load(engine, &report);
        }
    }
}

fn engine_fact(batch: &Batch, record: usize, entry: Fields<'_>) -> Result<EngineFact, FrameError> {
    Ok(EngineFact {
        id: EngineId(entry.u32(0)),
        scale: entry.f32(4),
        location: LocationId(entry.u16(8)),
        machine: MachineId(entry.u16(10)),
        stage: match entry.u8(12) {
            0 => Stage::Gone,
            1 => Stage::Ready,
            2 => Stage::Draining,
            stage => return Err(batch.unknown(record, "engine stage", stage.into())),
        },
        cell: CellId(entry.u16(13)),
        started: Some(entry.f64(15)).filter(|at| at.is_finite() && *at > 0.0).map(Moment::from_secs),
    })
}
