//! CPU of the decisions at one gateway by the engines it knows: a statement, a turn of the loop with nothing due, a
//! turn with statements in line, and a second of load at the mean rate and at four times it.
//!
//! Sizes are run in turn, several rounds, so that ratios hold where the machine's speed drifts.

mod support;

use std::collections::BTreeMap;
use std::time::Instant;

use admission::interface::{StatementId, Timestamp};
use dispatch::Decision;
use support::fit::{Line, median, spread};
use support::simulation::{
    EngineModel, Plan, STATEMENTS_PER_S, Simulation, dispatch, gateways_before, request,
};

const SIZES: [u32; 6] = [10, 31, 100, 310, 1_000, 3_100];
const ROUNDS: usize = 3;
const WARM_UP_S: f64 = 1.0;
const COUNTED_S: f64 = 1.0;
/// Four times the mean is run in steps of simulated time, until so much of it, or of real time, has passed.
const HEAVY_STEP_S: f64 = 0.01;
const HEAVY_COUNTED_S: f64 = 1.0;
const HEAVY_REAL_S: f64 = 1.0;
/// Statements in line while a turn is timed.
const HELD: u64 = 10;
const TURNS: u32 = 20;

type Samples = BTreeMap<(&'static str, u32), Vec<f64>>;

fn plan(engines: u32, statements_per_s: f64, seed: u64) -> Plan {
    let gateways = gateways_before(engines);
    Plan {
        gateways,
        first: 0,
        run: 1,
        engines,
        statements_per_s,
        model: EngineModel::Unloaded,
        seed,
    }
}

/// Microseconds a statement by call, and the part of a core that so many a second take.
fn load(engines: u32, seed: u64, samples: &mut Samples) {
    let mut simulation = Simulation::new(plan(engines, STATEMENTS_PER_S, seed));
    simulation.run(WARM_UP_S);
    simulation.begin_counting();
    simulation.run(COUNTED_S);
    let work = simulation.work;
    let statements = work.statements as f64;
    let mut sample = |name, value| samples.entry((name, engines)).or_default().push(value);
    sample(
        "statement, all calls, us",
        work.whole().as_secs_f64() * 1e6 / statements,
    );
    sample("pick, us", work.pick.as_secs_f64() * 1e6 / statements);
    sample(
        "tick that places it, us",
        work.tick_held.as_secs_f64() * 1e6 / statements,
    );
    sample("report, us", work.report.as_secs_f64() * 1e6 / statements);
    sample(
        "turn, nothing due, us",
        work.tick_idle.as_secs_f64() * 1e6 / work.ticks_idle as f64,
    );
    sample("cores at 380/s", work.whole().as_secs_f64() / COUNTED_S);
    sample("engines used", simulation.engines_used()[0]);
    sample(
        "rejected at 380/s",
        simulation.totals.rejected as f64 / simulation.totals.arrived as f64,
    );
}

/// Four times the mean at one gateway, from an empty one on.
fn heavy_load(engines: u32, seed: u64, samples: &mut Samples) {
    let mut simulation = Simulation::new(plan(engines, STATEMENTS_PER_S * 4.0, seed));
    let (begun, mut counted_s) = (Instant::now(), 0.0);
    while counted_s < HEAVY_COUNTED_S && begun.elapsed().as_secs_f64() < HEAVY_REAL_S {
        simulation.run(HEAVY_STEP_S);
        counted_s += HEAVY_STEP_S;
    }
    let work = simulation.work;
    let mut sample = |name, value| samples.entry((name, engines)).or_default().push(value);
    sample("cores at 1,520/s", work.whole().as_secs_f64() / counted_s);
    sample("1,520/s: simulated seconds run", counted_s);
    sample(
        "1,520/s: asks a statement",
        work.asks as f64 / work.statements as f64,
    );
    sample(
        "1,520/s: rejected",
        simulation.totals.rejected as f64 / simulation.totals.arrived as f64,
    );
}

/// A turn while statements stand in line for which no engine has room.
fn held_turn(engines: u32, seed: u64, samples: &mut Samples) {
    let mut dispatch = dispatch(gateways_before(engines), engines, seed);
    let now = Timestamp::from_secs(1.0);
    let mut next = 0;
    while (dispatch.queue_positions().len() as u64) < HELD {
        next += 1;
        let pick = dispatch.pick(now, StatementId(next), &request(0));
        assert_eq!(pick, Decision::Queued, "the first ask only gives a place");
        dispatch.tick(now);
    }
    let begun = Instant::now();
    for _ in 0..TURNS {
        let tick = dispatch.tick(now);
        assert!(tick.due.is_empty(), "room for what was held");
    }
    let took_us = begun.elapsed().as_secs_f64() * 1e6 / f64::from(TURNS);
    samples
        .entry(("turn, 10 in line, us", engines))
        .or_default()
        .push(took_us);
}

fn main() {
    let mut samples = Samples::new();
    for round in 0..ROUNDS {
        for engines in SIZES {
            let seed = 1 + round as u64;
            load(engines, seed, &mut samples);
            held_turn(engines, seed, &mut samples);
            heavy_load(engines, seed, &mut samples);
            eprintln!("round {round}, {engines} engines");
        }
    }
    let mut names: Vec<&str> = samples.keys().map(|key| key.0).collect();
    names.dedup();
    println!("medians of {ROUNDS} rounds (least-most); engines: {SIZES:?}");
    for name in names {
        let of = |engines: u32| &samples[&(name, engines)];
        let cells: Vec<String> = SIZES.iter().map(|engines| spread(of(*engines))).collect();
        println!("{name}: {}", cells.join(" | "));
        let points: Vec<(f64, f64)> = SIZES
            .iter()
            .map(|engines| (f64::from(*engines), median(of(*engines))))
            .collect();
        if name.ends_with("us") || name.starts_with("cores") {
            println!("    {}", Line::through(&points));
        }
    }
}
