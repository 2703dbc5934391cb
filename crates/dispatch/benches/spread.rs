//! Measures how the load of many gateways spreads over the engines in simulated time: the engines
//! that a gateway uses, and the statements per second and open connections at an engine.
//!
//! Options:
//!
//! - `--model unloaded|shared`: the model of an engine's latency.
//! - `--sizes ENGINES,...`: the numbers of engines. The number of gateways follows in proportion to
//!   the target deployment.
//! - `--warm-up S`, `--counted S`: the simulated seconds before and during the measurement.
//! - `--threads N`: the number of threads. More than one requires `--model unloaded`, where
//!   gateways do not affect each other.
//! - `--seed N`: the random seed.

mod support;

use std::thread;

use support::fit::median;
use support::simulation::{
    EngineModel, Plan, STATEMENTS_PER_S, Simulation, Totals, gateways_before,
};

struct Options {
    model: EngineModel,
    sizes: Vec<u32>,
    warm_up_s: f64,
    counted_s: f64,
    threads: u32,
    seed: u64,
}

impl Options {
    fn read() -> Options {
        let mut options = Options {
            model: EngineModel::Shared,
            sizes: vec![33, 82, 163, 310],
            warm_up_s: 2.0,
            counted_s: 4.0,
            threads: 1,
            seed: 1,
        };
        // Cargo adds `--bench` to the arguments.
        let mut arguments = std::env::args()
            .skip(1)
            .filter(|option| option != "--bench");
        while let Some(option) = arguments.next() {
            let value = arguments
                .next()
                .unwrap_or_else(|| panic!("{option} needs a value"));
            match &option[..] {
                "--model" if value == "unloaded" => options.model = EngineModel::Unloaded,
                "--model" if value == "shared" => options.model = EngineModel::Shared,
                "--sizes" => {
                    options.sizes = value.split(',').map(|size| size.parse().unwrap()).collect();
                }
                "--warm-up" => options.warm_up_s = value.parse().unwrap(),
                "--counted" => options.counted_s = value.parse().unwrap(),
                "--threads" => options.threads = value.parse().unwrap(),
                "--seed" => options.seed = value.parse().unwrap(),
                _ => panic!("unknown option {option} {value}"),
            }
        }
        assert!(
            options.threads == 1 || options.model == EngineModel::Unloaded,
            "several threads require --model unloaded"
        );
        options
    }
}

/// The measurements of a range of gateways.
struct Measurements {
    /// The engines that each gateway sent statements to.
    engines_used: Vec<f64>,
    /// The open connections of each gateway.
    gateway_connections: Vec<f64>,
    /// The statements that each engine received.
    statements: Vec<f64>,
    /// The open connections at each engine.
    connections: Vec<f64>,
    totals: Totals,
}

fn measure(options: &Options, engines: u32, first: u32, run: u32) -> Measurements {
    let mut simulation = Simulation::new(Plan {
        gateways: gateways_before(engines),
        first,
        run,
        engines,
        statements_per_s: STATEMENTS_PER_S,
        model: options.model,
        seed: options.seed,
    });
    simulation.run(options.warm_up_s);
    simulation.begin_counting();
    simulation.run(options.counted_s);
    Measurements {
        engines_used: simulation.engines_used(),
        gateway_connections: simulation.connections_by_gateway(),
        statements: simulation.statements_by_engine(),
        connections: simulation.connections_by_engine(),
        totals: simulation.totals,
    }
}

fn merge(mut all: Measurements, part: Measurements) -> Measurements {
    all.engines_used.extend(part.engines_used);
    all.gateway_connections.extend(part.gateway_connections);
    all.statements
        .iter_mut()
        .zip(part.statements)
        .for_each(|(sum, more)| *sum += more);
    all.connections
        .iter_mut()
        .zip(part.connections)
        .for_each(|(sum, more)| *sum += more);
    all.totals.arrived += part.totals.arrived;
    all.totals.completed += part.totals.completed;
    all.totals.rejected += part.totals.rejected;
    all.totals.timed_out += part.totals.timed_out;
    all.totals.connections_opened += part.totals.connections_opened;
    all
}

fn measure_all(options: &Options, engines: u32) -> Measurements {
    let gateways = gateways_before(engines);
    let range_start = |part: u32| gateways * part / options.threads;
    thread::scope(|scope| {
        let parts = (0..options.threads).map(|part| {
            let (first, end) = (range_start(part), range_start(part + 1));
            scope.spawn(move || measure(options, engines, first, end - first))
        });
        let parts: Vec<_> = parts.collect();
        parts
            .into_iter()
            .map(|part| part.join().unwrap())
            .reduce(merge)
            .expect("one thread at least")
    })
}

/// Prints the distribution of the values.
fn print_distribution(name: &str, values: &[f64]) {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let count = sorted.len() as f64;
    let percentile = |fraction: f64| sorted[((count - 1.0) * fraction).round() as usize];
    let mean = sorted.iter().sum::<f64>() / count;
    let variance = sorted
        .iter()
        .map(|value| (value - mean).powi(2))
        .sum::<f64>()
        / count;
    let zeros = sorted.iter().filter(|value| **value == 0.0).count();
    println!(
        "  {name}: mean {mean:.1}, p1 {:.1}, p50 {:.1}, p99 {:.1}, max {:.1}, coefficient of variation {:.3}, none {zeros}",
        percentile(0.01),
        median(&sorted),
        percentile(0.99),
        percentile(1.0),
        variance.sqrt() / mean
    );
}

fn main() {
    let options = Options::read();
    for engines in options.sizes.iter().copied() {
        let measured = measure_all(&options, engines);
        let (gateways, totals) = (gateways_before(engines), measured.totals);
        println!(
            "{gateways} gateways, {engines} engines, {:?}, seed {}, {} s after {} s: {} arrived, {} completed, \
             {} rejected, {} timed out, {} connections opened",
            options.model,
            options.seed,
            options.counted_s,
            options.warm_up_s,
            totals.arrived,
            totals.completed,
            totals.rejected,
            totals.timed_out,
            totals.connections_opened
        );
        let rates: Vec<f64> = measured
            .statements
            .iter()
            .map(|count| count / options.counted_s)
            .collect();
        print_distribution("engines that a gateway sent to", &measured.engines_used);
        print_distribution(
            "open connections of a gateway",
            &measured.gateway_connections,
        );
        print_distribution("statements a second at an engine", &rates);
        print_distribution("open connections at an engine", &measured.connections);
    }
}
