//! Random fleets of up to fifty, random troubles, the sum looked at after every step; and buckets whose rates move.

mod world;

use quickcheck::{Gen, QuickCheck};
use quota::{Amount, Bucket, Faults};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use world::{DRIFT_PPM, Way, World, terms, well};

/// One fleet's life: what went wrong with it, if anything.
fn life(seed: u64) -> Result<(), String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let count = rng.random_range(3..=50usize);
    let voters = [1, 3, 5][rng.random_range(0..3usize)]
        .min(count | 1)
        .min(if count < 5 { 3 } else { 5 });
    let clocks: Vec<i64> = (0..count)
        .map(|_| rng.random_range(-DRIFT_PPM..=DRIFT_PPM))
        .collect();
    let mut world = World::new(count, terms(count, voters, Faults::default()), |at| {
        clocks[at]
    });
    let mut groups = vec![0usize; count];
    let (mut lost, mut late, mut again) = (0.0, 0.01, 0.0);
    world.start_all();
    let mut said = Vec::new();
    for step in 0..60 {
        let at = rng.random_range(0..count);
        let trouble = rng.random_range(0..12u32);
        match trouble {
            0 => world.kill(at),
            1 => {
                world.kill(at);
                world.start(at);
            }
            2 => world.slots[at].stopped = true,
            3 => world.slots.iter_mut().for_each(|slot| slot.stopped = false),
            4 => {
                world.leave(at, &mut well);
                world.start(at);
            }
            5 => groups
                .iter_mut()
                .for_each(|group| *group = rng.random_range(0..3usize) / 2),
            6 => groups.fill(0),
            7 => (lost, late, again) = (rng.random::<f64>() * 0.5, rng.random::<f64>() * 3.0, 0.5),
            8 => (lost, late, again) = (0.0, 0.01, 0.0),
            9 => {
                let wants = rng.random::<f64>() * 40.0;
                world.slots[at].needs = vec![Amount::of(wants), Amount::of(wants / 2.0)];
            }
            _ => {}
        }
        said.push((trouble, at));
        let chance = std::cell::RefCell::new(&mut rng);
        let mut way = |from: usize, to: usize| {
            let mut rng = chance.borrow_mut();
            let cut = groups[from] != groups[to] || rng.random::<f64>() < lost;
            let again_after_s = (rng.random::<f64>() < again).then(|| rng.random::<f64>() * 8.0);
            Way {
                lost: cut,
                delay_s: rng.random::<f64>() * late,
                again_after_s,
            }
        };
        world.run(0.7, 0.1, &mut way);
        if world.worst_ppm > 1_000_000 || world.most_stewards > 1 {
            return Err(format!(
                "seed {seed}, step {step} of {count} gateways, {voters} voters: {} ppm, {} stewards, after {:?}",
                world.worst_ppm, world.most_stewards, said
            ));
        }
    }
    // All is well from here on: it is all out again, once the voters that live are a majority.
    world.slots.iter_mut().for_each(|slot| slot.stopped = false);
    for at in 0..count {
        if world.slots[at].core.is_none() {
            world.start(at);
        }
    }
    world.run(20.0, 0.1, &mut well);
    let out = [world.out(0), world.out(1)];
    if world.worst_ppm > 1_000_000 || out.iter().any(|out| *out < 0.999) {
        return Err(format!(
            "seed {seed}: {out:?} out in the end of {count}, {} ppm",
            world.worst_ppm
        ));
    }
    Ok(())
}

#[test]
fn random_fleets_never_exceed_the_whole_and_have_it_all_out_in_the_end() {
    let threads: Vec<_> = (0..4u64)
        .map(|thread| {
            std::thread::spawn(move || {
                (0..10)
                    .map(|of| life(thread * 1000 + of))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    for lives in threads {
        for life in lives.join().unwrap() {
            assert_eq!(life, Ok(()));
        }
    }
}

/// `cargo test -p laurelhitch-quota --release --test random -- --ignored`.
#[test]
#[ignore = "long"]
fn the_same_for_two_thousand() {
    let lives = |thread: u64| {
        move || {
            (0..500)
                .map(|of| life(100_000 + thread * 1000 + of))
                .collect::<Vec<_>>()
        }
    };
    let threads: Vec<_> = (0..4u64)
        .map(|thread| std::thread::spawn(lives(thread)))
        .collect();
    for lives in threads {
        for life in lives.join().unwrap() {
            assert_eq!(life, Ok(()));
        }
    }
}

/// A whole that moves between buckets at every step: what is spent in any window is no more than the whole and its burst.
#[test]
fn savings_are_cut_with_their_share_and_debts_stay() {
    fn holds(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (whole, burst, step) = (10.0, 2.0, 0.1);
        let mut parts = [whole / 4.0; 4];
        let mut buckets: Vec<Bucket> = parts
            .iter()
            .map(|part| Bucket::empty(0.0, *part, burst))
            .collect();
        let mut spent = Vec::new();
        for at in 1..400 {
            let now = f64::from(at) * step;
            // One gives before another takes.
            let (from, to) = (rng.random_range(0..4usize), rng.random_range(0..4usize));
            let moves = parts[from] * rng.random::<f64>();
            buckets.iter_mut().for_each(|bucket| bucket.fill(now));
            parts[from] -= moves;
            buckets[from].cut(parts[from]);
            parts[to] += moves;
            buckets[to].cut(parts[to]);
            let mut paid = 0.0;
            for bucket in &mut buckets {
                let amount = rng.random::<f64>() * 3.0;
                // Only what is saved: a debt for one larger than all is a matter of whoever allows it.
                if amount <= bucket.level() {
                    bucket.pay(amount);
                    paid += amount;
                }
            }
            spent.push(paid);
        }
        let windows = [1usize, 5, 20, 100].into_iter().all(|window| {
            let most = whole * (window as f64 * step + burst) + 1e-6;
            spent
                .windows(window)
                .all(|of| of.iter().sum::<f64>() <= most)
        });
        windows
            && buckets
                .iter()
                .all(|bucket| bucket.level() <= bucket.most() + 1e-9)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(200)
        .quickcheck(holds as fn(u64) -> bool);
    // A debt is not forgiven by a share that comes or goes, and nothing saved comes of one that grows.
    let mut bucket = Bucket::empty(0.0, 1.0, 2.0);
    bucket.fill(2.0);
    assert!(
        bucket.owes(5.0),
        "one larger than all it may save goes when it is full"
    );
    bucket.pay(5.0);
    for rate in [0.1, 4.0, 0.0, 1.0] {
        bucket.cut(rate);
        assert_eq!(bucket.level(), -3.0);
    }
    bucket.fill(4.0);
    bucket.cut(10.0);
    assert_eq!((bucket.level(), bucket.owes(0.5)), (-1.0, false));
}
