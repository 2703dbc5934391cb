//! Model checking of three real nodes over every sequence of faults: lost or replayed messages,
//! partitions, and pauses and restarts of the first node. Once the network is healthy again, no
//! live node that refutes may remain dead in the tables of the others.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use admission::interface::Timestamp;
use membership::message;
use membership::{Config, KeyRing, Locality, Name, Node, NodeSetup, TrafficLimits};
use stateright::{Checker, Model, Property};

const KEY: [u8; 32] = [7; 32];
/// Simulated seconds between turns of the nodes.
const STEP_S: f64 = 0.05;
/// Seconds per phase. It exceeds the time in which a fleet of three declares a silent node dead.
const PHASE_S: f64 = 9.0;
/// Seconds per phase with traffic limits, where a failed probe is retried before suspicion.
const LIMITED_PHASE_S: f64 = 16.0;
/// Seconds of a healthy network before the check. They cover two rejoin probes of departed members
/// and the spread of the result.
const RECOVERY_S: f64 = 25.0;

/// A condition of the network or of the first node, which is the one under test, for one phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Healthy,
    /// All messages from the first node are lost.
    OutboundLost,
    /// All messages to the first node are lost.
    InboundLost,
    /// All messages between the second and the third node are lost.
    OthersPartitioned,
    /// All messages between the first and the third node are lost.
    OneLinkLost,
    /// The first 64 messages are delivered a second time, when the next phase begins.
    Replayed,
    /// The first node does not run and receives nothing.
    Paused,
    /// The first node is killed and started again.
    Restarted,
}

const PHASES: [Phase; 8] = [
    Phase::Healthy,
    Phase::OutboundLost,
    Phase::InboundLost,
    Phase::OthersPartitioned,
    Phase::OneLinkLost,
    Phase::Replayed,
    Phase::Paused,
    Phase::Restarted,
];

fn address_of(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7946))
}

fn node(number: usize, now: f64, restarts: u64, is_limited: bool) -> Node {
    let (fleet, ring) = (Name::new("test").unwrap(), KeyRing::new(&KEY, &[]).unwrap());
    let name = Name::new(&format!("g{number}")).unwrap();
    let seeds = vec![address_of(1), address_of(2)];
    let seed = number as u64 + restarts * 100;
    Node::new(
        Timestamp::from_secs(now),
        NodeSetup {
            fleet,
            name,
            address: address_of(number),
            locality: Locality::default(),
            seeds,
            key_ring: ring,
            config: Config {
                traffic_limits: is_limited.then(TrafficLimits::default),
                ..Config::default()
            },
            rng_seed: seed,
        },
    )
}

#[derive(Clone, Debug)]
struct Simulation {
    now: f64,
    nodes: Vec<Node>,
    /// Messages to deliver again when the next phase begins: sender, recipient and bytes.
    replays: Vec<(usize, usize, Vec<u8>)>,
    restarts: u64,
    /// If false, a fault is injected: all messages that the first node sends after it has refuted
    /// are lost.
    delivers_refutations: bool,
    is_limited: bool,
}

impl Simulation {
    fn new(delivers_refutations: bool, is_limited: bool) -> Simulation {
        let nodes = (0..3)
            .map(|number| node(number, 0.0, 0, is_limited))
            .collect();
        let mut simulation = Simulation {
            now: 0.0,
            nodes,
            replays: Vec::new(),
            restarts: 0,
            delivers_refutations,
            is_limited,
        };
        simulation.run(Phase::Healthy, 15.0);
        simulation
    }

    fn run(&mut self, phase: Phase, duration_s: f64) {
        if phase == Phase::Restarted {
            self.restarts += 1;
            self.nodes[0] = node(0, self.now, self.restarts, self.is_limited);
        }
        for (from, to, bytes) in std::mem::take(&mut self.replays) {
            let _ =
                self.nodes[to].receive(Timestamp::from_secs(self.now), address_of(from), &bytes);
        }
        let until = self.now + duration_s;
        while self.now < until {
            self.now += STEP_S;
            let now = Timestamp::from_secs(self.now);
            for from in 0..3 {
                if from == 0 && phase == Phase::Paused {
                    continue;
                }
                if self.nodes[from].due() <= now {
                    self.nodes[from].turn(now);
                }
                for datagram in self.nodes[from].take_datagrams() {
                    let Some(to) = (0..3).find(|to| address_of(*to) == datagram.to) else {
                        continue;
                    };
                    let lost = match phase {
                        Phase::OutboundLost => from == 0,
                        Phase::InboundLost => to == 0,
                        Phase::OthersPartitioned => from != 0 && to != 0,
                        Phase::OneLinkLost => (from, to) == (0, 2) || (from, to) == (2, 0),
                        Phase::Paused => to == 0,
                        _ => false,
                    };
                    if lost
                        || !self.delivers_refutations
                            && from == 0
                            && is_sent_after_refutation(&datagram.bytes)
                    {
                        continue;
                    }
                    if phase == Phase::Replayed && self.replays.len() < 64 {
                        self.replays.push((from, to, datagram.bytes.clone()));
                    }
                    let _ = self.nodes[to].receive(now, address_of(from), &datagram.bytes);
                }
            }
        }
    }

    /// Whether each node holds the others as members, with their current boot ids.
    fn is_converged(&self) -> bool {
        self.nodes.iter().all(|holder| {
            self.nodes
                .iter()
                .filter(|held| held.local_record().name != holder.local_record().name)
                .all(|held| {
                    let seen = holder.member(&held.local_record().name);
                    seen.is_some_and(|seen| {
                        seen.is_in_fleet() && seen.record.boot_id == held.local_record().boot_id
                    })
                })
        })
    }
}

/// Whether the sender of a message has raised its incarnation since its start.
fn is_sent_after_refutation(bytes: &[u8]) -> bool {
    let ring = KeyRing::new(&KEY, &[]).unwrap();
    let message = message::open(&ring, &Name::new("test").unwrap(), bytes).unwrap();
    message.from.incarnation.0 > 1
}

/// A state of the model. States are identified by their phases alone, since the simulation is
/// deterministic.
#[derive(Clone, Debug)]
struct ModelState {
    phases: Vec<Phase>,
    simulation: Simulation,
}

impl PartialEq for ModelState {
    fn eq(&self, other: &Self) -> bool {
        self.phases == other.phases
    }
}

impl Eq for ModelState {}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.phases.hash(state);
    }
}

struct LifetimeModel {
    delivers_refutations: bool,
    is_limited: bool,
    /// The number of phases in the longest sequence that is checked.
    phases: usize,
}

impl Model for LifetimeModel {
    type State = ModelState;
    type Action = Phase;

    fn init_states(&self) -> Vec<ModelState> {
        vec![ModelState {
            phases: Vec::new(),
            simulation: Simulation::new(self.delivers_refutations, self.is_limited),
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Phase>) {
        if state.phases.len() < self.phases {
            actions.extend(PHASES);
        }
    }

    fn next_state(&self, last: &ModelState, phase: Phase) -> Option<ModelState> {
        let mut state = last.clone();
        state.phases.push(phase);
        state.simulation.run(
            phase,
            if self.is_limited {
                LIMITED_PHASE_S
            } else {
                PHASE_S
            },
        );
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no live node that refutes stays dead", |_, state| {
                let mut simulation = state.simulation.clone();
                simulation.run(Phase::Healthy, RECOVERY_S);
                simulation.is_converged()
            }),
            Property::<Self>::sometimes(
                "the first node is declared dead while it is alive",
                |_, state| {
                    let name = Name::new("g0").unwrap();
                    state.simulation.nodes[1..]
                        .iter()
                        .any(|node| node.member(&name).is_some_and(|held| !held.is_in_fleet()))
                },
            ),
            Property::<Self>::always("incarnations rise only by refutation", |_, state| {
                state
                    .simulation
                    .nodes
                    .iter()
                    .all(|node| node.local_record().incarnation.0 < 200)
            }),
        ]
    }
}

/// Checks all sequences of up to `phases` phases without traffic limits, as [`check_with`] does.
fn check(delivers_refutations: bool, phases: usize) -> (usize, bool) {
    check_with(delivers_refutations, phases, false)
}

/// Checks all sequences of up to `phases` phases. Returns the number of states, and whether a live
/// node that refutes stayed dead in any of them.
fn check_with(delivers_refutations: bool, phases: usize, is_limited: bool) -> (usize, bool) {
    let checker = LifetimeModel {
        delivers_refutations,
        is_limited,
        phases,
    }
    .checker()
    .threads(4)
    .spawn_bfs()
    .join();
    if delivers_refutations {
        checker.assert_properties();
    }
    let found = checker
        .discovery("no live node that refutes stays dead")
        .is_some();
    (checker.unique_state_count(), found)
}

#[test]
fn live_nodes_rejoin_after_any_four_phases() {
    assert_eq!(check(true, 4), (1 + 8 + 64 + 512 + 4096, false));
}

#[test]
fn live_nodes_rejoin_after_any_three_phases_with_traffic_limits() {
    assert_eq!(check_with(true, 3, true), (1 + 8 + 64 + 512, false));
}

#[test]
fn the_check_finds_lost_refutations() {
    assert!(check(false, 2).1);
}

/// Takes long; run it with `cargo test -p laurelhitch-membership --release -- --ignored`.
#[test]
#[ignore = "long"]
fn live_nodes_rejoin_after_any_five_phases() {
    assert!(!check(true, 5).1);
}
