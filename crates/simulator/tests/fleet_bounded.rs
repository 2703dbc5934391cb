//! Tests membership with traffic limits: what the gateways send, and whether they converge, under
//! many faults at once.

use membership::{Config, Node, TrafficLimits};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use simulator::mesh::{self, Mesh, gateways};

/// The highest mean rate at which a gateway may send under any fault: half of 6 KB per second in
/// both directions together, less a part for leases.
const MAX_SENT_BYTES_PER_S: f64 = 2_600.0;

fn bounded() -> Config {
    Config {
        traffic_limits: Some(TrafficLimits::default()),
        ..Config::default()
    }
}

fn sent_bytes(mesh: &Mesh<Node>) -> u64 {
    mesh.sent.iter().map(|sent| sent.1).sum()
}

/// The mean bytes per second that a gateway sends while `what` runs.
fn sent_bytes_per_s(mesh: &mut Mesh<Node>, what: impl FnOnce(&mut Mesh<Node>)) -> f64 {
    let (before, from) = (sent_bytes(mesh), mesh.now);
    what(mesh);
    (sent_bytes(mesh) - before) as f64 / (mesh.now - from).max(1.0) / mesh.len() as f64
}

fn started(count: usize, seed: u64) -> Mesh<Node> {
    let mut mesh = gateways(count, seed, bounded());
    mesh.start_all();
    let sent = sent_bytes_per_s(&mut mesh, |mesh| {
        assert!(mesh.settle(120.0).is_some(), "{count} gateways never agree");
    });
    assert!(
        sent < MAX_SENT_BYTES_PER_S,
        "{sent} bytes a second at the start of {count}"
    );
    let until = mesh.now + 30.0;
    mesh.run(until);
    mesh
}

#[test]
fn a_partition_of_two_minutes_heals_without_false_deaths() {
    let mut mesh = started(120, 31);
    mesh.cut(|from, to| from % 2 != to % 2);
    let sent = sent_bytes_per_s(&mut mesh, |mesh| mesh.run(mesh.now + 120.0));
    assert!(
        sent < MAX_SENT_BYTES_PER_S,
        "{sent} bytes a second while apart"
    );
    mesh.heal();
    let healed = mesh.now;
    let sent = sent_bytes_per_s(&mut mesh, |mesh| {
        assert!(
            mesh.settle(120.0).is_some(),
            "the halves do not agree after healing"
        );
    });
    assert!(
        sent < MAX_SENT_BYTES_PER_S,
        "{sent} bytes a second as they meet"
    );
    let false_ones: Vec<_> = mesh
        .deaths
        .iter()
        .filter(|death| death.false_one && death.at > healed)
        .collect();
    assert!(
        false_ones.is_empty(),
        "{} false deaths, the first {:?}",
        false_ones.len(),
        false_ones[0]
    );
}

#[test]
fn packet_loss_causes_no_false_deaths_and_little_traffic() {
    let mut mesh = started(120, 32);
    mesh.faults.lost = 1.0 / 3.0;
    let sent = sent_bytes_per_s(&mut mesh, |mesh| mesh.run(mesh.now + 60.0));
    assert!(sent < MAX_SENT_BYTES_PER_S, "{sent} bytes a second");
    assert_eq!(mesh.false_deaths(), 0);
}

#[test]
fn a_restarted_gateway_is_known_to_all_within_seconds() {
    let mut mesh = started(120, 33);
    mesh.leave(50);
    assert!(mesh.settle(20.0).is_some(), "the leave is known to all");
    mesh.start(50);
    let known = mesh.settle(40.0);
    assert!(known.is_some_and(|seconds| seconds < 20.0), "{known:?}");
    mesh.run(mesh.now + 20.0);
    assert!(mesh::together(&mesh));
}

/// Applies or ends a random fault.
fn random_fault(mesh: &mut Mesh<Node>, rng: &mut Pcg64Mcg) {
    let at = rng.random_range(0..mesh.len());
    match rng.random_range(0..6) {
        0 if mesh.lives().len() > mesh.len() / 2 => mesh.kill(at),
        1 if mesh.lives().contains(&at) => mesh.leave(at),
        2 if !mesh.lives().contains(&at) => mesh.start(at),
        3 => {
            let part = rng.random_range(2..5);
            mesh.cut(move |from, to| (from % part == 0) != (to % part == 0));
        }
        4 => mesh.faults.lost = 1.0 / 3.0,
        _ => {
            mesh.heal();
            mesh.faults.lost = 0.0;
        }
    }
}

#[test]
fn random_faults_end_in_one_view() {
    for seed in 0..12 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut mesh = started(24, 100 + seed);
        for _ in 0..8 {
            random_fault(&mut mesh, &mut rng);
            let until = mesh.now + rng.random_range(1.0..25.0);
            mesh.run(until);
        }
        mesh.heal();
        mesh.faults.lost = 0.0;
        let settled = mesh.settle(180.0);
        assert!(
            settled.is_some(),
            "seed {seed}: no agreement 180 s after the last fault"
        );
        let until = mesh.now + 20.0;
        mesh.run(until);
        assert!(mesh.agreed(), "seed {seed}: the agreement does not last");
    }
}

#[test]
fn a_partition_between_two_regions_causes_no_false_deaths() {
    let mut mesh = started(160, 34);
    mesh.cut(|from, to| matches!((from % 4, to % 4), (0, 1) | (1, 0)));
    mesh.run(mesh.now + 120.0);
    mesh.heal();
    let settled = mesh.settle(60.0);
    assert_eq!(mesh.false_deaths(), 0, "of gateways that others reach");
    assert!(settled.is_some(), "no agreement a minute after healing");
}
