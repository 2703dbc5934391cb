//! How the load of many gateways spreads over the engines, counted in simulated time: engines that a gateway uses,
//! statements a second and open connections that an engine sees.
//!
//! `--model unloaded|shared`, `--sizes ENGINES,...` (gateways follow in the users' proportion), `--warm-up S`,
//! `--counted S`, `--threads N` (only where engines are unloaded: gateways do not feel each other then).

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
        // Cargo adds `--bench` of its own.
        let mut words = std::env::args().skip(1).filter(|word| word != "--bench");
        while let Some(word) = words.next() {
            let value = words
                .next()
                .unwrap_or_else(|| panic!("{word} needs a value"));
            match &word[..] {
                "--model" if value == "unloaded" => options.model = EngineModel::Unloaded,
                "--model" if value == "shared" => options.model = EngineModel::Shared,
                "--sizes" => {
                    options.sizes = value.split(',').map(|size| size.parse().unwrap()).collect();
                }
                "--warm-up" => options.warm_up_s = value.parse().unwrap(),
                "--counted" => options.counted_s = value.parse().unwrap(),
                "--threads" => options.threads = value.parse().unwrap(),
                "--seed" => options.seed = value.parse().unwrap(),
                _ => panic!("unknown option {word} {value}"),
            }
        }
        assert!(
            options.threads == 1 || options.model == EngineModel::Unloaded,
            "engines tie gateways together"
        );
        options
    }
}

/// What one part of the gateways saw.
struct Seen {
    engines_used: Vec<f64>,
    gateway_connections: Vec<f64>,
    statements: Vec<f64>,
    connections: Vec<f64>,
    totals: Totals,
}

fn observe(options: &Options, engines: u32, first: u32, run: u32) -> Seen {
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
    Seen {
        engines_used: simulation.engines_used(),
        gateway_connections: simulation.connections_by_gateway(),
        statements: simulation.statements_by_engine(),
        connections: simulation.connections_by_engine(),
        totals: simulation.totals,
    }
}

fn merge(mut all: Seen, part: Seen) -> Seen {
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

fn observe_all(options: &Options, engines: u32) -> Seen {
    let gateways = gateways_before(engines);
    let bounds = |part: u32| gateways * part / options.threads;
    thread::scope(|scope| {
        let parts = (0..options.threads).map(|part| {
            let (first, end) = (bounds(part), bounds(part + 1));
            scope.spawn(move || observe(options, engines, first, end - first))
        });
        let parts: Vec<_> = parts.collect();
        parts
            .into_iter()
            .map(|part| part.join().unwrap())
            .reduce(merge)
            .expect("one thread at least")
    })
}

fn distribution(name: &str, of: &[f64]) {
    let mut sorted = of.to_vec();
    sorted.sort_by(f64::total_cmp);
    let count = sorted.len() as f64;
    let at = |part: f64| sorted[((count - 1.0) * part).round() as usize];
    let mean = sorted.iter().sum::<f64>() / count;
    let variance = sorted
        .iter()
        .map(|value| (value - mean).powi(2))
        .sum::<f64>()
        / count;
    let none = sorted.iter().filter(|value| **value == 0.0).count();
    println!(
        "  {name}: mean {mean:.1}, p1 {:.1}, p50 {:.1}, p99 {:.1}, max {:.1}, coefficient of variation {:.3}, none {none}",
        at(0.01),
        median(&sorted),
        at(0.99),
        at(1.0),
        variance.sqrt() / mean
    );
}

fn main() {
    let options = Options::read();
    for engines in options.sizes.iter().copied() {
        let seen = observe_all(&options, engines);
        let (gateways, totals) = (gateways_before(engines), seen.totals);
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
        let rates: Vec<f64> = seen
            .statements
            .iter()
            .map(|count| count / options.counted_s)
            .collect();
        distribution("engines that a gateway sent to", &seen.engines_used);
        distribution("open connections of a gateway", &seen.gateway_connections);
        distribution("statements a second at an engine", &rates);
        distribution("open connections at an engine", &seen.connections);
    }
}
