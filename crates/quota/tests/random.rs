//! Random fleets of up to fifty gateways with random faults: the sum is checked after every step.

mod world;

use quota::{Amount, FaultInjection};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use world::{DRIFT_PPM, Delivery, World, config, healthy};

const STEPS: usize = 60;
const STEP_LASTS_S: f64 = 0.7;
const WHOLE_PPM: u64 = 1_000_000;
const THREADS: u64 = 4;

/// The network between the gateways, as faults left it.
struct Network {
    /// Gateways of different groups do not reach each other.
    groups: Vec<usize>,
    /// Part of the messages lost.
    lost: f64,
    /// Messages take up to this time.
    max_delay_s: f64,
    /// Part of the messages that arrive twice.
    repeated: f64,
}

impl Network {
    fn heal(&mut self) {
        self.lost = 0.0;
        self.max_delay_s = 0.01;
        self.repeated = 0.0;
    }

    fn deliver(&self, from: usize, to: usize, rng: &mut Pcg64Mcg) -> Delivery {
        let lost = self.groups[from] != self.groups[to] || rng.random::<f64>() < self.lost;
        let is_repeated = rng.random::<f64>() < self.repeated;
        let repeated_after_s = is_repeated.then(|| rng.random::<f64>() * 8.0);
        Delivery {
            lost,
            delay_s: rng.random::<f64>() * self.max_delay_s,
            repeated_after_s,
        }
    }
}

fn random_world(rng: &mut Pcg64Mcg) -> World {
    let count = rng.random_range(3..=50usize);
    let voters = [1, 3, 5][rng.random_range(0..3usize)]
        .min(count | 1)
        .min(if count < 5 { 3 } else { 5 });
    let fast_ppm: Vec<i64> = (0..count)
        .map(|_| rng.random_range(-DRIFT_PPM..=DRIFT_PPM))
        .collect();
    let config = config(count, voters, FaultInjection::default());
    World::new(count, config, |gateway| fast_ppm[gateway])
}

/// Applies the fault of this number to a gateway or to the network.
fn apply(fault: u32, gateway: usize, world: &mut World, network: &mut Network, rng: &mut Pcg64Mcg) {
    match fault {
        0 => world.kill(gateway),
        1 => {
            world.kill(gateway);
            world.start(gateway);
        }
        2 => world.gateways[gateway].suspended = true,
        3 => resume_all(world),
        4 => {
            world.leave(gateway, &mut healthy);
            world.start(gateway);
        }
        5 => {
            for group in &mut network.groups {
                *group = rng.random_range(0..3usize) / 2;
            }
        }
        6 => network.groups.fill(0),
        7 => {
            network.lost = rng.random::<f64>() * 0.5;
            network.max_delay_s = rng.random::<f64>() * 3.0;
            network.repeated = 0.5;
        }
        8 => network.heal(),
        9 => {
            let demand = rng.random::<f64>() * 40.0;
            world.gateways[gateway].demands =
                vec![Amount::from_units(demand), Amount::from_units(demand / 2.0)];
        }
        _ => {}
    }
}

fn resume_all(world: &mut World) {
    for gateway in &mut world.gateways {
        gateway.suspended = false;
    }
}

/// Runs one fleet.
///
/// # Errors
/// What went wrong with it.
fn run_fleet(seed: u64) -> Result<(), String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = random_world(&mut rng);
    let count = world.gateways.len();
    let mut network = Network {
        groups: vec![0; count],
        lost: 0.0,
        max_delay_s: 0.01,
        repeated: 0.0,
    };
    world.start_all();
    let mut applied = Vec::new();
    for step in 0..STEPS {
        let gateway = rng.random_range(0..count);
        let fault = rng.random_range(0..12u32);
        apply(fault, gateway, &mut world, &mut network, &mut rng);
        applied.push((fault, gateway));
        world.run(STEP_LASTS_S, 0.1, &mut |from, to| {
            network.deliver(from, to, &mut rng)
        });
        if world.worst_sum_ppm > WHOLE_PPM || world.most_leaders > 1 {
            return Err(format!(
                "seed {seed}, step {step} of {count} gateways, {} voters: {} ppm, {} leaders, after {applied:?}",
                world.config.voters.len(),
                world.worst_sum_ppm,
                world.most_leaders
            ));
        }
    }
    recover(&mut world);
    let utilization = [world.utilization(0), world.utilization(1)];
    let is_underused = utilization.iter().any(|part| *part < 0.999);
    if world.worst_sum_ppm > WHOLE_PPM || is_underused {
        return Err(format!(
            "seed {seed}: {utilization:?} in use in the end of {count}, {} ppm",
            world.worst_sum_ppm
        ));
    }
    Ok(())
}

/// All gateways run on a healthy network.
fn recover(world: &mut World) {
    resume_all(world);
    for gateway in 0..world.gateways.len() {
        if world.gateways[gateway].participant.is_none() {
            world.start(gateway);
        }
    }
    world.run(20.0, 0.1, &mut healthy);
}

fn run_fleets(first_seed: u64, fleets_per_thread: u64) {
    let threads: Vec<_> = (0..THREADS)
        .map(|thread| {
            std::thread::spawn(move || {
                (0..fleets_per_thread)
                    .map(|fleet| run_fleet(first_seed + thread * 1000 + fleet))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    for thread in threads {
        for result in thread.join().unwrap() {
            assert_eq!(result, Ok(()));
        }
    }
}

#[test]
fn random_fleets_never_exceed_the_capacity_and_use_all_of_it_in_the_end() {
    run_fleets(0, 10);
}

/// `cargo test -p laurelhitch-quota --release --test random -- --ignored`.
#[test]
#[ignore = "long"]
fn two_thousand_random_fleets_never_exceed_the_capacity() {
    run_fleets(100_000, 500);
}
