//! Measures the CPU time of one gateway's decisions against the number of engines that it knows:
//! per statement, per turn without and with queued statements, and per second of load at the mean
//! rate and at four times that rate.
//!
//! Each round runs all numbers of engines one after another, so that drift in the machine's speed
//! affects them alike.

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
/// The load of four times the mean rate runs in steps of this many simulated seconds, until either
/// [`HEAVY_COUNTED_S`] of simulated time or [`HEAVY_REAL_S`] of real time has passed.
const HEAVY_STEP_S: f64 = 0.01;
const HEAVY_COUNTED_S: f64 = 1.0;
const HEAVY_REAL_S: f64 = 1.0;
/// The number of statements that are queued while a turn is timed.
const QUEUED: u64 = 10;
/// The number of turns that are timed together.
const TURNS: u32 = 20;

/// The samples of each measurement, by its name and the number of engines.
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

/// Measures the load at the mean rate: microseconds per statement for each call, and cores used.
fn mean_load(engines: u32, seed: u64, samples: &mut Samples) {
    let mut simulation = Simulation::new(plan(engines, STATEMENTS_PER_S, seed));
    simulation.run(WARM_UP_S);
    simulation.begin_counting();
    simulation.run(COUNTED_S);
    let work = simulation.work;
    let statements = work.statements as f64;
    let mut sample = |name, value| samples.entry((name, engines)).or_default().push(value);
    sample(
        "statement, all calls, us",
        work.total().as_secs_f64() * 1e6 / statements,
    );
    sample("pick, us", work.pick.as_secs_f64() * 1e6 / statements);
    sample(
        "tick that places it, us",
        work.tick_queued.as_secs_f64() * 1e6 / statements,
    );
    sample("report, us", work.report.as_secs_f64() * 1e6 / statements);
    sample(
        "turn, nothing due, us",
        work.tick_idle.as_secs_f64() * 1e6 / work.ticks_idle as f64,
    );
    sample("cores at 380/s", work.total().as_secs_f64() / COUNTED_S);
    sample("engines used", simulation.engines_used()[0]);
    sample(
        "rejected at 380/s",
        simulation.totals.rejected as f64 / simulation.totals.arrived as f64,
    );
}

/// Measures the load at four times the mean rate at a gateway that starts without statements.
fn heavy_load(engines: u32, seed: u64, samples: &mut Samples) {
    let mut simulation = Simulation::new(plan(engines, STATEMENTS_PER_S * 4.0, seed));
    let (started, mut counted_s) = (Instant::now(), 0.0);
    while counted_s < HEAVY_COUNTED_S && started.elapsed().as_secs_f64() < HEAVY_REAL_S {
        simulation.run(HEAVY_STEP_S);
        counted_s += HEAVY_STEP_S;
    }
    let work = simulation.work;
    let mut sample = |name, value| samples.entry((name, engines)).or_default().push(value);
    sample("cores at 1,520/s", work.total().as_secs_f64() / counted_s);
    sample("1,520/s: simulated seconds run", counted_s);
    sample(
        "1,520/s: placements per statement",
        work.placements as f64 / work.statements as f64,
    );
    sample(
        "1,520/s: rejected",
        simulation.totals.rejected as f64 / simulation.totals.arrived as f64,
    );
}

/// Measures a turn while statements are queued that no engine has capacity for.
fn turn_with_queue(engines: u32, seed: u64, samples: &mut Samples) {
    let mut dispatch = dispatch(gateways_before(engines), engines, seed);
    let now = Timestamp::from_secs(1.0);
    let mut next_id = 0;
    while (dispatch.queue_positions().len() as u64) < QUEUED {
        next_id += 1;
        let decision = dispatch.pick(now, StatementId(next_id), &request(0));
        assert_eq!(
            decision,
            Decision::Queued,
            "the first call has to return a queue position"
        );
        dispatch.tick(now);
    }
    let started = Instant::now();
    for _ in 0..TURNS {
        let tick = dispatch.tick(now);
        assert!(tick.due.is_empty(), "a queued statement left the queue");
    }
    let turn_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(TURNS);
    samples
        .entry(("turn, 10 queued, us", engines))
        .or_default()
        .push(turn_us);
}

fn main() {
    let mut samples = Samples::new();
    for round in 0..ROUNDS {
        for engines in SIZES {
            let seed = 1 + round as u64;
            mean_load(engines, seed, &mut samples);
            turn_with_queue(engines, seed, &mut samples);
            heavy_load(engines, seed, &mut samples);
            eprintln!("round {round}, {engines} engines");
        }
    }
    let mut names: Vec<&str> = samples.keys().map(|key| key.0).collect();
    names.dedup();
    println!("medians of {ROUNDS} rounds (min-max); engines: {SIZES:?}");
    for name in names {
        let samples_at = |engines: u32| &samples[&(name, engines)];
        let cells: Vec<String> = SIZES
            .iter()
            .map(|engines| spread(samples_at(*engines)))
            .collect();
        println!("{name}: {}", cells.join(" | "));
        let points: Vec<(f64, f64)> = SIZES
            .iter()
            .map(|engines| (f64::from(*engines), median(samples_at(*engines))))
            .collect();
        if name.ends_with("us") || name.starts_with("cores") {
            println!("    {}", Line::through(&points));
        }
    }
}
