//! Random days through the facade. After every step: one relay out a statement, one final answer each and in
//! time, nothing after it, no relay to an engine told draining or gone, none beyond what effects allow.

use std::collections::BTreeMap;

use admission::interface::*;
use admission::policy::Policy;
use dispatch::{Dispatch, Order, Pick, Verdict, Wants};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENGINES: u32 = 4;
const STEP_S: f64 = 0.02;
const MOST: usize = 4;
const WINDOW_S: f64 = 1.0;

fn span(secs: f64) -> Span {
    Span::from_secs(secs)
}

fn product(effect: Effect) -> Product {
    Product {
        effect,
        gain: 1.0,
        late_gain: 0.2,
        quoted: span(0.5),
        quoted_stretch: 2.0,
        hard_limit: span(2.0),
        threads: 1.0,
        in_turn: false,
        locations: None,
        machines: None,
    }
}

fn effects() -> [Effect; 3] {
    let group = RepeatGroup::All;
    [
        Effect::Idempotent,
        Effect::Deduplicated {
            group,
            remembered: span(WINDOW_S),
        },
        Effect::Unrepeatable,
    ]
}

fn dispatch(seed: u64) -> Dispatch {
    let (cores, memory_mb) = (vec![8.0], vec![1000.0]);
    let fleet = Fleet {
        peers: 1.0,
        cores,
        memory_mb,
        note_pace: Some(span(0.5)),
        ranks_heeded: true,
        idle: None,
    };
    let come_back = Some(span(0.5));
    let relaying = Relaying {
        most: MOST,
        cancel: true,
        come_back,
        settle: Span::ZERO,
        ration: None,
    };
    let listing = Listing {
        on_request: false,
        ask_within: span(10.0),
    };
    let products = effects().map(product).to_vec();
    Dispatch::new(Policy::new(
        seed,
        products,
        Tenancy::default(),
        fleet,
        None,
        relaying,
        listing,
    ))
}

fn engine(id: u32, stage: Stage) -> EngineFact {
    let (location, machine, cell) = (LocationId(0), MachineId(0), CellId(0));
    EngineFact {
        id: EngineId(id),
        scale: 1.0,
        location,
        machine,
        cell,
        stage,
        started: None,
    }
}

/// What the checks keep of a statement by themselves.
#[derive(Default)]
struct Seen {
    effect: usize,
    hard_limit: f64,
    out: Option<Order>,
    sent: f64,
    relays: usize,
    may_have_run: bool,
    /// Of the first that may have run.
    first_sent: Option<f64>,
    marked: bool,
    answered: bool,
}

impl Seen {
    /// Nothing drops its repeats: it may not run twice.
    fn never_twice(&self) -> bool {
        match effects()[self.effect] {
            Effect::Idempotent => false,
            Effect::Deduplicated { .. } => !self.marked,
            Effect::Unrepeatable => true,
        }
    }
}

struct Day {
    dispatch: Dispatch,
    rng: Pcg64Mcg,
    now: f64,
    next: u64,
    seen: BTreeMap<StatementId, Seen>,
    stages: BTreeMap<u32, Stage>,
    /// The gateway ends then.
    answer_by: f64,
}

impl Day {
    fn at(&self) -> Moment {
        Moment::from_secs(self.now)
    }

    fn take(&mut self) {
        let (id, effect, budget) = (
            StatementId(self.next),
            self.rng.random_range(0..3usize),
            self.rng.random_range(0.05..2.0),
        );
        self.next += 1;
        let wants = Wants {
            product: ProductId(effect),
            tenant: TenantId(0),
            group: GroupId(self.rng.random_range(0..4)),
            estimate: Some(span(self.rng.random_range(0.01..0.5))),
            memory_mb: 10.0,
            key: None,
            marked: self.rng.random_bool(0.8),
            budget: span(budget),
        };
        let (hard_limit, marked) = ((self.now + budget).min(self.answer_by), wants.marked);
        self.seen.insert(
            id,
            Seen {
                effect,
                hard_limit,
                marked,
                ..Seen::default()
            },
        );
        let pick = self.dispatch.pick(self.at(), id, &wants);
        self.picked(id, pick);
    }

    fn picked(&mut self, id: StatementId, pick: Pick) {
        let seen = self.seen.get_mut(&id).expect("never taken");
        match pick {
            Pick::Held => {}
            Pick::Relay(order) => {
                assert!(
                    !seen.answered && seen.out.is_none(),
                    "{id:?}: a second relay out, or one after the end"
                );
                assert_eq!(
                    self.stages[&order.engine.0],
                    Stage::Ready,
                    "{id:?}: sent to {:?}",
                    order.engine
                );
                assert!(!(seen.may_have_run && seen.never_twice()));
                // A repeat stays within the window, and says until when it may leave.
                let window =
                    matches!(effects()[seen.effect], Effect::Deduplicated { .. }) && seen.marked;
                let until = seen
                    .first_sent
                    .filter(|_| window)
                    .map(|sent| sent + WINDOW_S);
                assert!(
                    until.is_none_or(|until| self.now < until),
                    "{id:?}: past its window"
                );
                assert_eq!(order.leave_by, until.map(Moment::from_secs), "{id:?}");
                assert_eq!(usize::from(order.relay.0), seen.relays);
                assert!(order.due <= Moment::from_secs(seen.hard_limit));
                seen.relays += 1;
                seen.sent = self.now;
                assert!(seen.relays <= MOST);
                seen.out = Some(order);
            }
            Pick::Deny { .. } => self.answered(id, true),
            Pick::Scrap => self.answered(id, false),
        }
    }

    fn answered(&mut self, id: StatementId, denied: bool) {
        let seen = self.seen.get_mut(&id).expect("never taken");
        assert!(!seen.answered, "{id:?}: answered twice");
        assert!(seen.out.is_none(), "{id:?}: answered with a relay out");
        assert!(
            self.now <= seen.hard_limit + STEP_S + 1e-6,
            "{id:?}: late by {}",
            self.now - seen.hard_limit
        );
        let never = seen.may_have_run && seen.never_twice();
        assert!(!(denied && never), "{id:?}: denied though it may have run");
        seen.answered = true;
    }

    fn report(&mut self, id: StatementId, relay: RelayNo, news: News) {
        let seen = self.seen.get_mut(&id).expect("never taken");
        let note = matches!(news, News::Progress(_) | News::Strained);
        let completed = matches!(news, News::Completed { .. });
        let never = matches!(
            news,
            News::TurnedAway | News::NeverSent | News::Unreachable | News::Withdrawn
        );
        if !note {
            let sent = seen.out.take().map(|_| seen.sent);
            seen.may_have_run |= !never;
            seen.first_sent = seen.first_sent.or(sent.filter(|_| !never));
        }
        let settled = completed && !seen.answered;
        if settled {
            self.answered(id, false);
        }
        match self
            .dispatch
            .report(self.at(), id, relay, news, span(0.1), completed)
        {
            Verdict::Nothing => {}
            Verdict::Cancel(relay) => self.report(id, relay, News::Cancelled),
            Verdict::Deny { .. } => self.answered(id, true),
            Verdict::Scrap => self.answered(id, false),
        }
    }

    fn step(&mut self) {
        self.now += STEP_S;
        let out = self
            .seen
            .iter()
            .filter_map(|(id, seen)| Some((*id, seen.out?)));
        for (id, order) in out.collect::<Vec<_>>() {
            let news = match self.rng.random_range(0..40) {
                _ if order.due <= self.at() => News::TimedOut,
                0..8 => News::Completed {
                    cpu: Some(span(0.05)),
                    memory_mb: Some(8.0),
                },
                8 => News::Error,
                9 => News::TurnedAway,
                10 => News::NeverSent,
                11 => News::Reset,
                12 => News::Unreachable,
                13 => News::Progress(self.rng.random_range(0.0..1.0)),
                14 => News::Strained,
                15 => News::Withdrawn,
                _ => continue,
            };
            self.report(id, order.relay, news);
            if self.rng.random_bool(0.1) {
                // An outcome of what is over changes nothing.
                let again =
                    self.dispatch
                        .report(self.at(), id, order.relay, News::Error, span(0.1), false);
                assert!(again == Verdict::Nothing || self.seen[&id].out.is_some());
                if self.seen[&id]
                    .out
                    .is_some_and(|out| out.relay == order.relay)
                {
                    let seen = self.seen.get_mut(&id).expect("taken");
                    (seen.out, seen.may_have_run) = (None, true);
                    seen.first_sent = seen.first_sent.or(Some(seen.sent));
                    match again {
                        Verdict::Deny { .. } => self.answered(id, true),
                        Verdict::Scrap => self.answered(id, false),
                        _ => {}
                    }
                }
            }
        }
        for _ in 0..self.rng.random_range(0..4) {
            self.take();
        }
        if self.rng.random_bool(0.05) {
            let of = self.rng.random_range(1..=ENGINES);
            let stage = [Stage::Ready, Stage::Ready, Stage::Draining, Stage::Gone]
                [self.rng.random_range(0..4)];
            self.stages.insert(of, stage);
            self.dispatch
                .told_list(self.at(), &ListNews::Changes(vec![engine(of, stage)]));
        }
        let waiting = self
            .seen
            .iter()
            .rfind(|(_, seen)| !seen.answered)
            .map(|(id, _)| *id);
        if let Some(id) = waiting.filter(|_| self.rng.random_bool(0.03)) {
            self.dispatch.gone(id);
            // No answer is owed; one that still came would be the second.
            self.seen.get_mut(&id).expect("taken").answered = true;
        }
        // Clients leave while they wait, with nothing out: one answer then, and nothing sent after it.
        let waits = |seen: &Seen| !seen.answered && seen.out.is_none();
        let waiting = self
            .seen
            .iter()
            .rfind(|(_, seen)| waits(seen))
            .map(|(id, _)| *id);
        if let Some(id) = waiting.filter(|_| self.rng.random_bool(0.05)) {
            let pick = self.dispatch.turn_away(self.at(), id, span(1.0));
            assert!(
                matches!(pick, Pick::Deny { .. } | Pick::Scrap),
                "{id:?}: {pick:?}"
            );
            self.picked(id, pick);
        }
        let tick = self.dispatch.tick(self.at());
        assert!(tick.wait > Span::ZERO);
        for (id, pick) in tick.due {
            assert_ne!(pick, Pick::Held);
            self.picked(id, pick);
        }
        let mut out = BTreeMap::new();
        let engines = self.seen.values().filter_map(|seen| Some(seen.out?.engine));
        engines.for_each(|engine| *out.entry(engine).or_insert(0) += 1);
        let held = self
            .dispatch
            .beliefs()
            .filter(|held| held.1 > 0)
            .map(|(engine, held, _)| (engine, held));
        assert_eq!(
            held.collect::<BTreeMap<_, u32>>(),
            out,
            "relays out, as held and as they are"
        );
        let overdue = |seen: &&Seen| !seen.answered && seen.hard_limit + STEP_S < self.now - 1e-6;
        assert!(
            self.seen.values().find(overdue).is_none(),
            "an answer is overdue"
        );
        self.seen
            .retain(|_, seen| !seen.answered || seen.out.is_some());
    }
}

#[test]
fn random_days_keep_the_rules() {
    fn day(seed: u64) -> bool {
        let mut day = Day {
            dispatch: dispatch(seed),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 100.0,
            next: 0,
            seen: BTreeMap::new(),
            stages: (1..=ENGINES).map(|id| (id, Stage::Ready)).collect(),
            answer_by: f64::INFINITY,
        };
        let list = (1..=ENGINES).map(|id| engine(id, Stage::Ready)).collect();
        day.dispatch.told_list(day.at(), &ListNews::Whole(list));
        (0..600).for_each(|_| day.step());
        // It ends: what is in hand and what still comes is answered by then.
        day.answer_by = day.now + 0.5;
        day.dispatch.answer_by(Moment::from_secs(day.answer_by));
        let by = day.answer_by;
        day.seen
            .values_mut()
            .for_each(|seen| seen.hard_limit = seen.hard_limit.min(by));
        let cut = |order: &mut Order| order.due = order.due.min(Moment::from_secs(by));
        day.seen
            .values_mut()
            .for_each(|seen| seen.out.iter_mut().for_each(cut));
        (0..25).for_each(|_| day.step());
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 5))
        .tests(40)
        .quickcheck(day as fn(u64) -> bool);
}

#[test]
fn a_shortened_day_answers_all_by_its_end() {
    let mut day = dispatch(7);
    let at = Moment::from_secs;
    day.told_list(at(0.0), &ListNews::Whole(vec![engine(1, Stage::Ready)]));
    let wants = Wants {
        product: ProductId(0),
        tenant: TenantId(0),
        group: GroupId(0),
        estimate: Some(span(0.1)),
        memory_mb: 0.0,
        key: None,
        marked: true,
        budget: span(60.0),
    };
    let id = StatementId(1);
    assert_eq!(day.pick(at(0.0), id, &wants), Pick::Held);
    let due = day.tick(at(0.0)).due;
    let [(_, Pick::Relay(order))] = due[..] else {
        panic!("{due:?}")
    };
    day.answer_by(at(3.0));
    let verdict = day.report(at(3.0), id, order.relay, News::TimedOut, span(3.0), false);
    assert!(matches!(verdict, Verdict::Deny { .. }), "{verdict:?}");
    assert_eq!(
        day.pick(at(3.0), id, &wants),
        Pick::Held,
        "a statement that is over is forgotten"
    );
}
