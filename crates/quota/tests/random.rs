//! Random faults in random fleets of up to fifty gateways. After every step the test checks that
//! the sum of what all gateways may spend stays within the capacity.

mod world;

use quota::{Amount, FaultInjection};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use world::{DRIFT_PPM, Delivery, World, config, healthy_network};

const STEPS: usize = 60;
const STEP_DURATION_S: f64 = 0.7;
const CAPACITY_PPM: u64 = 1_000_000;
const THREADS: u64 = 4;

/// The state of the network between the gateways.
struct Network {
    /// The group of each gateway. Gateways of different groups cannot reach each other.
    groups: Vec<usize>,
    /// The probability that a message is lost.
    loss_probability: f64,
    /// The longest delay of a message, in seconds.
    max_delay_s: f64,
    /// The probability that a message arrives a second time.
    duplicate_probability: f64,
}

impl Network {
    fn heal(&mut self) {
        self.loss_probability = 0.0;
        self.max_delay_s = 0.01;
        self.duplicate_probability = 0.0;
    }

    fn deliver(&self, from: usize, to: usize, rng: &mut Pcg64Mcg) -> Delivery {
        let lost =
            self.groups[from] != self.groups[to] || rng.random::<f64>() < self.loss_probability;
        let is_duplicated = rng.random::<f64>() < self.duplicate_probability;
        let duplicate_after_s = is_duplicated.then(|| rng.random::<f64>() * 8.0);
        Delivery {
            lost,
            delay_s: rng.random::<f64>() * self.max_delay_s,
            duplicate_after_s,
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

/// Applies the fault with this number to a gateway or to the network. Numbers above 9 stand for no
/// fault.
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
            world.leave(gateway, &mut healthy_network);
            world.start(gateway);
        }
        5 => {
            for group in &mut network.groups {
                *group = rng.random_range(0..3usize) / 2;
            }
        }
        6 => network.groups.fill(0),
        7 => {
            network.loss_probability = rng.random::<f64>() * 0.5;
            network.max_delay_s = rng.random::<f64>() * 3.0;
            network.duplicate_probability = 0.5;
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

/// Runs one fleet through random faults and recovery.
///
/// # Errors
/// Returns a description of the first violation, with the seed and the faults that led to it.
fn run_fleet(seed: u64) -> Result<(), String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = random_world(&mut rng);
    let count = world.gateways.len();
    let mut network = Network {
        groups: vec![0; count],
        loss_probability: 0.0,
        max_delay_s: 0.01,
        duplicate_probability: 0.0,
    };
    world.start_all();
    let mut applied = Vec::new();
    for step in 0..STEPS {
        let gateway = rng.random_range(0..count);
        let fault = rng.random_range(0..12u32);
        apply(fault, gateway, &mut world, &mut network, &mut rng);
        applied.push((fault, gateway));
        world.run(STEP_DURATION_S, 0.1, &mut |from, to| {
            network.deliver(from, to, &mut rng)
        });
        if world.max_sum_ppm > CAPACITY_PPM || world.max_leaders > 1 {
            return Err(format!(
                "seed {seed}, step {step} of {count} gateways, {} voters: largest sum {} ppm of the capacity, {} simultaneous leaders, faults {applied:?}",
                world.config.voters.len(),
                world.max_sum_ppm,
                world.max_leaders
            ));
        }
    }
    recover(&mut world);
    let utilization = [world.utilization(0), world.utilization(1)];
    let is_underused = utilization.iter().any(|fraction| *fraction < 0.999);
    if world.max_sum_ppm > CAPACITY_PPM || is_underused {
        return Err(format!(
            "seed {seed}: utilization {utilization:?} after recovery of {count} gateways, largest sum {} ppm of the capacity",
            world.max_sum_ppm
        ));
    }
    Ok(())
}

/// Starts or resumes all gateways and runs them on a healthy network.
fn recover(world: &mut World) {
    resume_all(world);
    for gateway in 0..world.gateways.len() {
        if world.gateways[gateway].participant.is_none() {
            world.start(gateway);
        }
    }
    world.run(20.0, 0.1, &mut healthy_network);
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
fn random_fleets_stay_within_the_capacity_and_recover_full_utilization() {
    run_fleets(0, 10);
}

/// Takes long, so it is ignored by default. It is run with
/// `cargo test -p laurelhitch-quota --release --test random -- --ignored`.
#[test]
#[ignore = "long"]
fn two_thousand_random_fleets_stay_within_the_capacity_and_recover() {
    run_fleets(100_000, 500);
}
