//! One node as two others see it, over the very code: whatever is lost, repeated, stopped or restarted in every
//! order, once the network is well again nobody who lives and refutes stays dead.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use admission::interface::Timestamp;
use membership::message;
use membership::{Config, KeyRing, Locality, Name, Node, NodeSetup, TrafficLimits};
use stateright::{Checker, Model, Property};

const KEY: [u8; 32] = [7; 32];
const STEP_S: f64 = 0.05;
/// Longer than it takes three to hold a silent one for dead.
const PHASE_S: f64 = 9.0;
/// The same with traffic limits, where a failed probe is repeated first.
const LIMITED_PHASE_S: f64 = 16.0;
/// Two calls to those that had gone, and time to tell.
const WELL_S: f64 = 25.0;

/// What goes on for a while; the first node is the one that is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Well,
    /// Nothing of the first is heard.
    Mute,
    /// Nothing comes to the first.
    Deaf,
    /// The second and third do not reach each other.
    Apart,
    /// The first reaches the second alone.
    Half,
    /// Everything comes twice, once a phase late.
    Repeated,
    /// The first stands still.
    Stopped,
    /// The first is killed and starts again.
    Restarted,
}

const PHASES: [Phase; 8] = [
    Phase::Well,
    Phase::Mute,
    Phase::Deaf,
    Phase::Apart,
    Phase::Half,
    Phase::Repeated,
    Phase::Stopped,
    Phase::Restarted,
];

fn at(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7946))
}

fn node(number: usize, now: f64, life: u64, is_limited: bool) -> Node {
    let (fleet, ring) = (Name::new("test").unwrap(), KeyRing::new(&KEY, &[]).unwrap());
    let name = Name::new(&format!("g{number}")).unwrap();
    let seeds = vec![at(1), at(2)];
    let seed = number as u64 + life * 100;
    Node::new(
        Timestamp::from_secs(now),
        NodeSetup {
            fleet,
            name,
            address: at(number),
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
struct World {
    now: f64,
    all: Vec<Node>,
    /// To come once more, later.
    later: Vec<(usize, usize, Vec<u8>)>,
    life: u64,
    /// The seeded fault: what the first says once it has refuted is lost.
    refutes: bool,
    is_limited: bool,
}

impl World {
    fn new(refutes: bool, is_limited: bool) -> World {
        let all = (0..3)
            .map(|number| node(number, 0.0, 0, is_limited))
            .collect();
        let mut world = World {
            now: 0.0,
            all,
            later: Vec::new(),
            life: 0,
            refutes,
            is_limited,
        };
        world.run(Phase::Well, 15.0);
        world
    }

    fn run(&mut self, phase: Phase, lasts: f64) {
        if phase == Phase::Restarted {
            self.life += 1;
            self.all[0] = node(0, self.now, self.life, self.is_limited);
        }
        for (from, to, bytes) in std::mem::take(&mut self.later) {
            let _ = self.all[to].receive(Timestamp::from_secs(self.now), at(from), &bytes);
        }
        let until = self.now + lasts;
        while self.now < until {
            self.now += STEP_S;
            let now = Timestamp::from_secs(self.now);
            for from in 0..3 {
                if from == 0 && phase == Phase::Stopped {
                    continue;
                }
                if self.all[from].due() <= now {
                    self.all[from].turn(now);
                }
                for datagram in self.all[from].take_datagrams() {
                    let Some(to) = (0..3).find(|to| at(*to) == datagram.to) else {
                        continue;
                    };
                    let lost = match phase {
                        Phase::Mute => from == 0,
                        Phase::Deaf => to == 0,
                        Phase::Apart => from != 0 && to != 0,
                        Phase::Half => (from, to) == (0, 2) || (from, to) == (2, 0),
                        Phase::Stopped => to == 0,
                        _ => false,
                    };
                    if lost || !self.refutes && from == 0 && refuted(&datagram.bytes) {
                        continue;
                    }
                    if phase == Phase::Repeated && self.later.len() < 64 {
                        self.later.push((from, to, datagram.bytes.clone()));
                    }
                    let _ = self.all[to].receive(now, at(from), &datagram.bytes);
                }
            }
        }
    }

    /// All three hold each other, in the lives that they live.
    fn whole(&self) -> bool {
        self.all.iter().all(|holder| {
            self.all
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

fn refuted(bytes: &[u8]) -> bool {
    let ring = KeyRing::new(&KEY, &[]).unwrap();
    let message = message::open(&ring, &Name::new("test").unwrap(), bytes).unwrap();
    message.from.incarnation.0 > 1
}

/// Told apart by what went on: nothing else goes into it.
#[derive(Clone, Debug)]
struct State {
    phases: Vec<Phase>,
    world: World,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.phases == other.phases
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.phases.hash(state);
    }
}

struct Lives {
    refutes: bool,
    is_limited: bool,
    phases: usize,
}

impl Model for Lives {
    type State = State;
    type Action = Phase;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            phases: Vec::new(),
            world: World::new(self.refutes, self.is_limited),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Phase>) {
        if state.phases.len() < self.phases {
            actions.extend(PHASES);
        }
    }

    fn next_state(&self, last: &State, phase: Phase) -> Option<State> {
        let mut state = last.clone();
        state.phases.push(phase);
        state.world.run(
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
            Property::<Self>::always("nobody who lives and refutes stays dead", |_, state| {
                let mut world = state.world.clone();
                world.run(Phase::Well, WELL_S);
                world.whole()
            }),
            Property::<Self>::sometimes(
                "the first is taken for dead while it lives",
                |_, state| {
                    let name = Name::new("g0").unwrap();
                    state.world.all[1..]
                        .iter()
                        .any(|by| by.member(&name).is_some_and(|held| !held.is_in_fleet()))
                },
            ),
            Property::<Self>::always(
                "incarnations rise by what was refuted, no more",
                |_, state| {
                    state
                        .world
                        .all
                        .iter()
                        .all(|node| node.local_record().incarnation.0 < 200)
                },
            ),
        ]
    }
}

fn search(refutes: bool, phases: usize) -> (usize, bool) {
    search_with(refutes, phases, false)
}

fn search_with(refutes: bool, phases: usize, is_limited: bool) -> (usize, bool) {
    let checker = Lives {
        refutes,
        is_limited,
        phases,
    }
    .checker()
    .threads(4)
    .spawn_bfs()
    .join();
    if refutes {
        checker.assert_properties();
    }
    let found = checker
        .discovery("nobody who lives and refutes stays dead")
        .is_some();
    (checker.unique_state_count(), found)
}

#[test]
fn in_every_order_of_four_troubles_nobody_who_lives_stays_dead() {
    assert_eq!(search(true, 4), (1 + 8 + 64 + 512 + 4096, false));
}

#[test]
fn in_every_order_of_three_troubles_nobody_stays_dead_with_traffic_limits_either() {
    assert_eq!(search_with(true, 3, true), (1 + 8 + 64 + 512, false));
}

#[test]
fn the_search_finds_a_refutation_that_is_dropped() {
    assert!(search(false, 2).1);
}

/// `cargo test -p laurelhitch-membership --release -- --ignored`.
#[test]
#[ignore = "long"]
fn the_same_for_five() {
    assert!(!search(true, 5).1);
}
