//! Many gateways' decisions before one engine that has just started, in handed-in time. None knows of the others, and all
//! together must not send it so much that it falls.

use std::collections::VecDeque;

use admission::interface::*;
use admission::policy::Policy;
use dispatch::{Dispatch, Order, Pick, Verdict, Wants};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const CORES: f64 = 8.0;
const COLD: ColdStart = ColdStart {
    share: 0.4,
    warm_after: Span::from_micros(20_000_000),
    multiple: 2.5,
    window: Span::from_micros(2_000_000),
};
const COLD_ENGINE: EngineId = EngineId(0);
const STARTED_S: f64 = 1000.0;
const STEP_S: f64 = 0.02;
const STEPS: usize = 700;
/// Longer than any statement may be held, so that demand never ends.
const BUDGET_S: f64 = 4.0;

fn span(secs: f64) -> Span {
    Span::from_secs(secs)
}

/// What the cold engine does with what comes. All of it counts against it, also what it turns away.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Does {
    CompletesAtOnce,
    TurnsAway,
}

/// One run.
#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: usize,
    /// Mean work of a statement, in CPU seconds.
    mean_s: f64,
    /// Engines beside it that are warm, take all and answer nothing.
    hung: u32,
    does: Does,
    seed: u64,
}

fn gateway(case: Case, number: usize) -> Dispatch {
    let product = Product {
        effect: Effect::Idempotent,
        gain: 1.0,
        late_gain: 1.0,
        quoted: span(BUDGET_S),
        quoted_stretch: 2.0,
        hard_limit: span(BUDGET_S),
        threads: 1.0,
        in_turn: false,
        locations: None,
        machines: None,
    };
    let fleet = Fleet {
        peers: case.gateways as f64,
        cores: vec![CORES],
        memory_mb: Vec::new(),
        note_pace: None,
        ranks_heeded: false,
        idle: None,
    };
    let relaying = Relaying {
        most: 3,
        cancel: false,
        come_back: Some(span(0.4)),
        settle: Span::ZERO,
        ration: None,
    };
    let listing = Listing {
        on_request: false,
        ask_within: span(10.0),
    };
    let seed = case.seed * 1000 + number as u64;
    let tenancy = Tenancy {
        allowances: Vec::new(),
        over_gain: 1.0,
    };
    let mut gateway = Dispatch::new(Policy::new(
        seed,
        vec![product],
        tenancy,
        fleet,
        Some(COLD),
        relaying,
        listing,
    ));
    let mut engines = vec![engine(COLD_ENGINE.0, Some(Moment::from_secs(STARTED_S)))];
    engines.extend((1..=case.hung).map(|id| engine(id, None)));
    gateway.told_list(Moment::from_secs(STARTED_S), &ListNews::Whole(engines));
    gateway
}

fn engine(id: u32, started: Option<Moment>) -> EngineFact {
    let (location, machine, cell) = (LocationId(0), MachineId(0), CellId(0));
    EngineFact {
        id: EngineId(id),
        scale: 1.0,
        location,
        machine,
        cell,
        stage: Stage::Ready,
        started,
    }
}

/// The engine's own count of what came within its window.
#[derive(Default)]
struct Cold {
    came: VecDeque<f64>,
    total: usize,
}

impl Cold {
    /// Takes one. It falls beyond N + 2 x root of N + 2, N being the statements of mean work that the settings allow it in
    /// the time that they name; its least in that time counts.
    fn take(&mut self, now_s: f64, case: Case) {
        self.total += 1;
        self.came.push_back(now_s);
        while self
            .came
            .front()
            .is_some_and(|then| now_s - then >= COLD.window.secs())
        {
            self.came.pop_front();
        }
        let age = (self.came[0] - STARTED_S) / COLD.warm_after.secs();
        let share = COLD.share + (1.0 - COLD.share) * age.clamp(0.0, 1.0);
        let allowed = COLD.multiple * share * CORES * COLD.window.secs() / case.mean_s;
        let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
        assert!(
            self.came.len() as f64 <= bound,
            "{case:?}: it fell after {:.2} s: {} came within its window, and it bears {bound:.1}",
            now_s - STARTED_S,
            self.came.len()
        );
    }
}

/// What is out of one gateway, with when its outcome comes.
struct Out {
    statement: StatementId,
    order: Order,
    sent: Moment,
}

/// All gateways in step: a burst, and then twice what the engine bears when warm. How many came to the cold engine.
fn run(case: Case) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(case.seed);
    let mut gateways: Vec<Dispatch> = (0..case.gateways)
        .map(|number| gateway(case, number))
        .collect();
    let mut out: Vec<Vec<Out>> = gateways.iter().map(|_| Vec::new()).collect();
    let (mut cold, mut next) = (Cold::default(), 0);
    let per_step = (2.0 * CORES / case.mean_s / case.gateways as f64 * STEP_S).max(0.2);
    for step in 0..STEPS {
        let now_s = STARTED_S + step as f64 * STEP_S;
        let now = Moment::from_secs(now_s);
        for (gateway, out) in gateways.iter_mut().zip(&mut out) {
            let ended: Vec<Out> = out
                .extract_if(.., |out| {
                    out.order.engine == COLD_ENGINE || out.order.due <= now
                })
                .collect();
            for Out {
                statement,
                order,
                sent,
            } in ended
            {
                let cpu = Some(order.charge);
                let news = match case.does {
                    _ if order.engine != COLD_ENGINE => News::TimedOut,
                    Does::CompletesAtOnce => News::Completed {
                        cpu,
                        memory_mb: None,
                    },
                    Does::TurnsAway => News::TurnedAway,
                };
                let settled = matches!(news, News::Completed { .. });
                let verdict =
                    gateway.report(now, statement, order.relay, news, now - sent, settled);
                assert!(!matches!(verdict, Verdict::Cancel(_)));
            }
            let burst = if step == 0 { 20 } else { 0 };
            let more = per_step.trunc() as usize + usize::from(rng.random_bool(per_step.fract()));
            for _ in 0..burst + more {
                next += 1;
                let wants = Wants {
                    product: ProductId(0),
                    tenant: TenantId(0),
                    group: GroupId(rng.random_range(0..8)),
                    estimate: Some(span(case.mean_s * rng.random_range(0.2..1.8))),
                    memory_mb: 0.0,
                    key: None,
                    marked: false,
                    budget: span(BUDGET_S),
                };
                assert_eq!(gateway.pick(now, StatementId(next), &wants), Pick::Held);
            }
            for (statement, pick) in gateway.tick(now).due {
                let Pick::Relay(order) = pick else { continue };
                if order.engine == COLD_ENGINE {
                    cold.take(now_s, case);
                }
                out.push(Out {
                    statement,
                    order,
                    sent: now,
                });
            }
        }
    }
    cold.total
}

#[test]
fn a_cold_engine_stands_a_burst_of_twenty_to_thirty_gateways() {
    for gateways in [20, 25, 30] {
        for mean_s in [0.1, 0.5, 1.0, 2.0] {
            for (hung, does) in [
                (0, Does::CompletesAtOnce),
                (3, Does::CompletesAtOnce),
                (0, Does::TurnsAway),
            ] {
                let came: usize = (0..3)
                    .map(|seed| {
                        run(Case {
                            gateways,
                            mean_s,
                            hung,
                            does,
                            seed,
                        })
                    })
                    .sum();
                assert!(
                    came > 0,
                    "{gateways}, {mean_s}, {hung}, {does:?}: it was never used"
                );
            }
        }
    }
}
