//! Measures the failover of the budget coordinator by the number of lease holders. Computation
//! takes no simulated time, so the durations are those of the protocol alone. The benchmarks in
//! `crates/quota/benches` measure the computation.

use std::time::Duration;

use serde::Serialize;

use crate::control::limits::{Ended, Limits, Watch};
use crate::control::measured::Measured;
use crate::mesh::Mesh;
use crate::parts::{Part, terms};

/// The simulated time between two checks of the limits and of the holders' leases.
const STEP_S: f64 = 0.02;
/// The simulated time from the start until the coordinator is killed. A new coordinator grants the
/// whole budget only one lease duration after its election.
const SETTLE_S: f64 = 20.0;
/// The simulated time after which a failover counts as not completed.
const CHANGE_WITHIN_S: f64 = 30.0;

/// The failover after the coordinator was killed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    pub holders: usize,
    pub ended: Ended,
    /// Seconds from the kill until another coordinator is elected. `None` if none was.
    pub chosen_s: Option<f64>,
    /// Seconds from the kill until every holder has a lease of the new coordinator. `None` if that
    /// was not reached.
    pub renewed_s: Option<f64>,
    /// Seconds from the kill until the new coordinator grants the whole budget, one lease duration
    /// after its election. `None` if none was elected.
    pub full_s: Option<f64>,
    /// The largest number of holders that had no lease at the same time, and so only their
    /// guaranteed minimum.
    pub most_without_lease: usize,
    /// What one holder sent per second at rest before the kill. Sizes exclude the cluster's message
    /// framing.
    pub holder_datagrams_per_s: f64,
    pub holder_bytes_per_s: f64,
    pub coordinator_datagrams_per_s: f64,
    pub coordinator_bytes_per_s: f64,
}

/// The CPU time used per simulated second at rest, and the real time of the whole measurement.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ChangeSpent {
    pub coordinator_cpu: Duration,
    pub holder_cpu: Duration,
    pub real_time: Duration,
}

type Parts = Mesh<Measured<Part>>;

/// Measures a failover with one budget, constant demand and up to five voters. The coordinator is
/// killed once it has run for 20 seconds.
pub fn change(holders: usize, seed: u64, limits: Limits) -> (Change, ChangeSpent) {
    let watch = limits.start();
    let mut mesh = started(holders, seed);
    let mut change = Change {
        holders,
        ended: Ended::Completed,
        chosen_s: None,
        renewed_s: None,
        full_s: None,
        most_without_lease: 0,
        holder_datagrams_per_s: 0.0,
        holder_bytes_per_s: 0.0,
        coordinator_datagrams_per_s: 0.0,
        coordinator_bytes_per_s: 0.0,
    };
    let mut spent = ChangeSpent {
        coordinator_cpu: Duration::ZERO,
        holder_cpu: Duration::ZERO,
        real_time: Duration::ZERO,
    };
    change.ended = run(&mut mesh, SETTLE_S / 2.0, &watch);
    if change.ended == Ended::Completed
        && let Some(first) = coordinator(&mesh)
    {
        measure_at_rest(&mut mesh, first, &mut change, &mut spent, &watch);
        if change.ended == Ended::Completed {
            mesh.kill(first);
            change.ended = measure_failover(&mut mesh, &mut change, &watch);
        }
    }
    spent.real_time = watch.elapsed();
    (change, spent)
}

/// A mesh whose gateways have all been started.
fn started(holders: usize, seed: u64) -> Parts {
    let terms = terms(holders);
    let make = move |at: usize, now, life| {
        let seed = seed
            .wrapping_mul(1_000_003)
            .wrapping_add(at as u64 * 64 + u64::from(life));
        Measured::new(Part::new(now, at, life, terms.clone(), 0, seed))
    };
    let mut mesh = Mesh::new(holders, seed, make);
    mesh.start_all();
    mesh
}

/// Runs for `lasts_s` of simulated time, or until a limit is exceeded.
fn run(mesh: &mut Parts, lasts_s: f64, watch: &Watch) -> Ended {
    let until = mesh.now + lasts_s;
    while mesh.now < until {
        if let Some(exceeded) = watch.exceeded() {
            return exceeded;
        }
        mesh.run((mesh.now + STEP_S).min(until));
    }
    Ended::Completed
}

/// Measures the traffic and the CPU time of the coordinator `first` and of one holder at rest.
fn measure_at_rest(
    mesh: &mut Parts,
    first: usize,
    change: &mut Change,
    spent: &mut ChangeSpent,
    watch: &Watch,
) {
    let holder = change.holders - 1;
    let cpu =
        |mesh: &Parts, at: usize| mesh.peer(at).map_or(Duration::ZERO, |peer| peer.cost().cpu);
    let (began, sent) = (mesh.now, mesh.sent.clone());
    let before = [first, holder].map(|at| cpu(mesh, at));
    change.ended = run(mesh, SETTLE_S / 2.0, watch);
    let lasted = (mesh.now - began).max(f64::MIN_POSITIVE);
    let per_s = |at: usize| {
        let (datagrams, bytes) = (mesh.sent[at].0 - sent[at].0, mesh.sent[at].1 - sent[at].1);
        (datagrams as f64 / lasted, bytes as f64 / lasted)
    };
    (change.holder_datagrams_per_s, change.holder_bytes_per_s) = per_s(holder);
    (
        change.coordinator_datagrams_per_s,
        change.coordinator_bytes_per_s,
    ) = per_s(first);
    spent.coordinator_cpu = (cpu(mesh, first) - before[0]).div_f64(lasted);
    spent.holder_cpu = (cpu(mesh, holder) - before[1]).div_f64(lasted);
}

/// Runs until the failover has completed, and records its durations.
fn measure_failover(mesh: &mut Parts, change: &mut Change, watch: &Watch) -> Ended {
    let killed = mesh.now;
    while mesh.now < killed + CHANGE_WITHIN_S {
        if let Some(exceeded) = watch.exceeded() {
            return exceeded;
        }
        mesh.run(mesh.now + STEP_S);
        let since = mesh.now - killed;
        let without = mesh
            .lives()
            .iter()
            .filter(|at| lease_term(mesh, **at).is_none())
            .count();
        change.most_without_lease = change.most_without_lease.max(without);
        let Some(term) = coordinator(mesh).and_then(|at| coordinator_term(mesh, at)) else {
            continue;
        };
        change.chosen_s.get_or_insert(since);
        let renewed = mesh
            .lives()
            .iter()
            .all(|at| lease_term(mesh, *at) == Some(term));
        if renewed {
            change.renewed_s.get_or_insert(since);
        }
        let lease_s = terms(change.holders).lease_duration.secs();
        change.full_s = change.chosen_s.map(|chosen_s| chosen_s + lease_s);
        if change.renewed_s.is_some() && since >= change.full_s.unwrap_or(f64::INFINITY) {
            return Ended::Completed;
        }
    }
    Ended::SimulatedLimit
}

/// The running gateway that is the coordinator. `None` if there is none.
fn coordinator(mesh: &Parts) -> Option<usize> {
    let now = admission::interface::Timestamp::from_secs(mesh.now);
    mesh.lives()
        .into_iter()
        .take(quota::config::MAX_VOTERS)
        .find(|at| {
            mesh.peer(*at).is_some_and(|peer| {
                peer.peer
                    .quotas
                    .participant()
                    .is_leader(peer.peer.clock(now))
            })
        })
}

/// The term of a coordinator. `None` if the gateway is not the coordinator.
fn coordinator_term(mesh: &Parts, at: usize) -> Option<u64> {
    let now = admission::interface::Timestamp::from_secs(mesh.now);
    let part = &mesh.peer(at)?.peer;
    part.quotas
        .participant()
        .leader_state(part.clock(now))
        .map(|leadership| leadership.term)
}

/// The term of a holder's lease. `None` if it has none.
fn lease_term(mesh: &Parts, at: usize) -> Option<u64> {
    let now = admission::interface::Timestamp::from_secs(mesh.now);
    let part = &mesh.peer(at)?.peer;
    part.quotas
        .participant()
        .lease_holder()
        .lease(part.clock(now))
        .map(|lease| lease.term)
}
