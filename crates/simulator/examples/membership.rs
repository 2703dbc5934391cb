//! Measures the traffic and the convergence of the membership protocol in simulated time. Usage:
//! `membership GATEWAYS bounded|plain|mixed CASE...`.

use std::time::Instant;

use membership::{Config, KeyRing, Locality, Name, Node, NodeSetup, TrafficLimits};
use simulator::mesh::{KEY, Mesh, address, name};

const SEED: u64 = 61;

/// A cluster in which no gateway, every gateway or every second one limits its traffic.
fn new_mesh(count: usize, mode: &str) -> Mesh<Node> {
    let mode = mode.to_owned();
    let ring = KeyRing::new(&KEY, &[]).expect("a single key is valid");
    Mesh::new(count, SEED, move |at, now, life| {
        let bounded = mode == "bounded" || mode == "mixed" && at % 2 == 0;
        let terms = Config {
            max_members: 4096,
            traffic_limits: bounded.then(TrafficLimits::default),
            ..Config::default()
        };
        let named = |text: String| Some(Name::new(&text).expect("the name is valid"));
        let locality = Locality {
            zone: named(format!("zone-{}", at % 8)),
            region: named(format!("region-{}", at % 4)),
        };
        let seeds = (0..3.min(count)).map(address).collect();
        let (fleet, seed) = (
            Name::new("lab").expect("the name is valid"),
            SEED * 1_000_003 + at as u64 * 64 + u64::from(life),
        );
        Node::new(
            now,
            NodeSetup {
                fleet,
                name: name(at),
                address: address(at),
                locality,
                seeds,
                key_ring: ring.clone(),
                config: terms,
                rng_seed: seed,
            },
        )
    })
}

/// Runs for some simulated seconds, and prints the mean and the highest rate at which gateways
/// sent.
fn traffic(mesh: &mut Mesh<Node>, what: &str, seconds: f64) {
    let (before, from) = (mesh.sent.clone(), mesh.now);
    mesh.run(from + seconds);
    let spent: Vec<(u64, u64)> = mesh
        .sent
        .iter()
        .zip(&before)
        .map(|(after, before)| (after.0 - before.0, after.1 - before.1))
        .collect();
    let per = seconds * mesh.lives().len().max(1) as f64;
    let (datagrams, bytes) = spent
        .iter()
        .fold((0, 0), |sum, of| (sum.0 + of.0, sum.1 + of.1));
    let most = spent.iter().map(|of| of.1).max().unwrap_or(0);
    println!(
        "  {what}: over {seconds} s, a gateway sends {:.1} datagrams and {:.0} bytes a second, the most {:.0}; false deaths {}",
        datagrams as f64 / per,
        bytes as f64 / per,
        most as f64 / seconds,
        mesh.false_deaths()
    );
}

/// Runs until all gateways agree, and prints the time and the traffic that it took.
fn settle(mesh: &mut Mesh<Node>, what: &str, within: f64) {
    let (from, before) = (mesh.now, mesh.sent.clone());
    let settled = mesh.settle(within);
    let seconds = (mesh.now - from).max(0.1);
    let sent = |at: usize| (mesh.sent[at].1 - before[at].1) as f64 / seconds;
    let mean = (0..mesh.len()).map(sent).sum::<f64>() / mesh.lives().len().max(1) as f64;
    let most = (0..mesh.len()).map(sent).fold(0.0, f64::max);
    let sizes: Vec<usize> = mesh
        .lives()
        .iter()
        .map(|at| mesh.peer(*at).map_or(0, Node::fleet_size))
        .collect();
    let (least, largest) = (
        sizes.iter().min().unwrap_or(&0),
        sizes.iter().max().unwrap_or(&0),
    );
    println!(
        "  {what}: settled {settled:?} s; sizes {least} to {largest}; meanwhile {mean:.0} bytes a second each, the most {most:.0}; false deaths {}",
        mesh.false_deaths()
    );
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let count: usize = arguments[0]
        .parse()
        .expect("the first argument is the number of gateways");
    let mode = arguments[1].as_str();
    let began = Instant::now();
    println!("{count} gateways, {mode}");
    let mut mesh = new_mesh(count, mode);
    for at in 0..count {
        mesh.run(at as f64 / count as f64);
        mesh.start(at);
    }
    for case in &arguments[2..] {
        match case.as_str() {
            "start" => settle(&mut mesh, "all starting in one second", 300.0),
            "curve" => {
                while mesh.settle(5.0).is_none() && mesh.now < 400.0 {
                    let peers: Vec<_> = mesh
                        .lives()
                        .into_iter()
                        .filter_map(|at| mesh.peer(at))
                        .collect();
                    let mean = |of: &dyn Fn(&Node) -> u64| {
                        peers.iter().map(|peer| of(peer)).sum::<u64>() as f64 / peers.len() as f64
                    };
                    println!(
                        "  {:.0} s: size {:.1}, candidates {:.1}, verified later {:.0}, put off {:.0}, compared {:.1}, listed {:.1}, vouched {:.1}, sent {:.0}",
                        mesh.now,
                        mean(&|peer| peer.fleet_size() as u64),
                        mean(
                            &|peer| peer.members().filter(|member| !member.confirmed).count()
                                as u64
                        ),
                        mean(&|peer| peer.metrics.verifications_deferred),
                        mean(&|peer| peer.metrics.limited_probes),
                        mean(&|peer| peer.metrics.digest_requests_sent),
                        mean(&|peer| peer.metrics.fingerprint_requests_sent),
                        mean(&|peer| peer.metrics.vouched_by_digest),
                        mean(&|peer| peer.metrics.sent_bytes)
                    );
                }
            }
            "quiet" => mesh.run(mesh.now + 120.0),
            "rest" => traffic(&mut mesh, "at rest", 30.0),
            "lost" => {
                mesh.faults.lost = 1.0 / 3.0;
                traffic(&mut mesh, "a third lost, first minute", 60.0);
                traffic(&mut mesh, "a third lost, second minute", 60.0);
                mesh.faults.lost = 0.0;
                settle(&mut mesh, "after it", 120.0);
            }
            "one" | "rack" => {
                let (deaths, killed) = (
                    mesh.deaths.len(),
                    if case == "one" { 1 } else { 40.min(count / 4) },
                );
                let alive: Vec<usize> = mesh
                    .lives()
                    .into_iter()
                    .filter(|at| *at >= 3)
                    .take(killed)
                    .collect();
                let killed_at = mesh.now;
                alive.iter().for_each(|at| mesh.kill(*at));
                settle(&mut mesh, &format!("{killed} dead"), 120.0);
                let mut times: Vec<f64> = mesh.deaths[deaths..]
                    .iter()
                    .map(|death| death.at - killed_at)
                    .collect();
                times.sort_by(f64::total_cmp);
                let at = |part: f64| {
                    times
                        .get((times.len() as f64 * part) as usize)
                        .copied()
                        .unwrap_or(f64::NAN)
                };
                println!(
                    "    {} held for dead: the first after {:.1} s, half after {:.1}, 99 of 100 after {:.1}",
                    times.len(),
                    at(0.0),
                    at(0.5),
                    at(0.99)
                );
                alive.iter().for_each(|at| mesh.start(*at));
                settle(&mut mesh, "started again", 120.0);
            }
            "halves" => {
                mesh.cut(|a, b| a % 2 != b % 2);
                for _ in 0..6 {
                    traffic(&mut mesh, "two halves apart", 20.0);
                    let peers: Vec<_> = mesh
                        .lives()
                        .into_iter()
                        .filter_map(|at| mesh.peer(at))
                        .collect();
                    let mean = |of: &dyn Fn(&Node) -> u64| {
                        peers.iter().map(|peer| of(peer)).sum::<u64>() as f64 / peers.len() as f64
                    };
                    println!(
                        "    in the mean suspected {:.1}, died {:.1}, size {:.1}, probes failed {:.1}, put off {:.1}",
                        mean(&|peer| peer.metrics.suspected),
                        mean(&|peer| peer.metrics.declared_dead),
                        mean(&|peer| peer.fleet_size() as u64),
                        mean(&|peer| peer.metrics.probes_failed),
                        mean(&|peer| peer.metrics.limited_probes)
                    );
                }
                mesh.heal();
                let healed = mesh.now;
                settle(&mut mesh, "together again", 300.0);
                let false_ones: Vec<_> = mesh
                    .deaths
                    .iter()
                    .filter(|death| death.false_one && death.at > healed)
                    .collect();
                let other = |death: &&&simulator::mesh::Death| death.by % 2 != death.of % 2;
                let mut subjects: Vec<usize> = false_ones.iter().map(|death| death.of).collect();
                subjects.sort_unstable();
                subjects.dedup();
                println!(
                    "    {} false deaths since, {} of them of the other half, {} subjects, at {:?}",
                    false_ones.len(),
                    false_ones.iter().filter(other).count(),
                    subjects.len(),
                    [0, 1, 2, 3, 4].map(|part| false_ones
                        .get(false_ones.len() * part / 5)
                        .map(|death| (death.at - healed).round()))
                );
            }
            other => panic!("no such case: {other}"),
        }
        eprintln!(
            "  ({case}: {:.1} s of the clock so far)",
            began.elapsed().as_secs_f64()
        );
    }
    for (counter, value) in mesh
        .peer(count / 2)
        .into_iter()
        .flat_map(|peer| peer.metrics.named_counts())
    {
        print!("{counter}={value} ");
    }
    println!();
}
