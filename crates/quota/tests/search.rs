//! A model search over all sequences of faults for three gateways and two budgets. It verifies that
//! the sum of what all gateways may spend never exceeds the capacity, and that the full capacity
//! can be spent again after the faults. The gateways run the crate's own code.

mod world;

use std::hash::{Hash, Hasher};

use quota::{Amount, FaultInjection};
use stateright::{Checker, Model, Property};
use world::{DRIFT_PPM, Delivery, World, config, healthy_network};

/// What happens during one step of the search. The first gateway is the one that is elected leader
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// The first gateway neither sends nor receives messages.
    FirstIsolated,
    /// Messages from the first gateway are lost.
    FirstCannotSend,
    /// Messages to the first gateway are lost.
    FirstCannotReceive,
    /// The second gateway neither sends nor receives messages.
    SecondIsolated,
    /// Messages between the first and the third gateway are lost.
    FirstAndThirdPartitioned,
    /// Messages between the first and the third gateway are lost, and the second is killed and
    /// restarted.
    FirstAndThirdPartitionedSecondRestarts,
    /// Messages are delayed by up to 2.9 s, which is longer than a term, and overtake each other.
    Delays,
    /// Each message arrives a second time during the next fault.
    Duplicates,
    /// The first gateway is suspended, and receives the waiting messages when it continues.
    FirstSuspended,
    /// The first gateway is killed and restarted.
    FirstRestarts,
    /// The second gateway is killed and restarted.
    SecondRestarts,
    /// The first gateway leaves in an orderly way and is restarted.
    FirstLeaves,
    /// Each gateway takes over the demands of the next one.
    DemandsMove,
    /// The clock of the second gateway is set back by 4 s.
    SecondClockSetBack,
}

const FAULTS: [Fault; 15] = [
    Fault::None,
    Fault::FirstIsolated,
    Fault::FirstCannotSend,
    Fault::FirstCannotReceive,
    Fault::SecondIsolated,
    Fault::FirstAndThirdPartitioned,
    Fault::FirstAndThirdPartitionedSecondRestarts,
    Fault::Delays,
    Fault::Duplicates,
    Fault::FirstSuspended,
    Fault::FirstRestarts,
    Fault::SecondRestarts,
    Fault::FirstLeaves,
    Fault::DemandsMove,
    Fault::SecondClockSetBack,
];
/// The duration of one fault, longer than a term and shorter than a lease.
const FAULT_DURATION_S: f64 = 3.4;
const STEP_S: f64 = 0.1;
/// The time in which the first leader is elected and all leases settle.
const WARM_UP_S: f64 = 12.0;
/// The time for recovery after the faults: a term, an election, a lease and some renewals.
const RECOVERY_S: f64 = 16.0;
const CLOCK_SET_BACK_US: i64 = 4_000_000;
/// The message delays during [`Fault::Delays`], used in turn.
const DELAYS_S: [f64; 3] = [2.9, 0.4, 1.6];
const NORMAL_DELAY_S: f64 = 0.01;
const DUPLICATE_AFTER_S: f64 = 3.9;
/// The smallest fraction in use of the spendable capacity that counts as recovered.
const MIN_RECOVERED_UTILIZATION: f64 = 0.999;
const CAPACITY_PPM: u64 = 1_000_000;

fn is_lost(fault: Fault, from: usize, to: usize) -> bool {
    match fault {
        Fault::FirstIsolated => from == 0 || to == 0,
        Fault::FirstCannotSend => from == 0,
        Fault::FirstCannotReceive => to == 0,
        Fault::SecondIsolated => from == 1 || to == 1,
        Fault::FirstAndThirdPartitioned | Fault::FirstAndThirdPartitionedSecondRestarts => {
            matches!((from, to), (0, 2) | (2, 0))
        }
        _ => false,
    }
}

fn apply(world: &mut World, fault: Fault, duration_s: f64) {
    let mut messages = 0;
    let mut network = |from: usize, to: usize| {
        messages += 1;
        let delay_s = match fault {
            Fault::Delays => DELAYS_S[messages % DELAYS_S.len()],
            _ => NORMAL_DELAY_S,
        };
        Delivery {
            lost: is_lost(fault, from, to),
            delay_s,
            duplicate_after_s: (fault == Fault::Duplicates).then_some(DUPLICATE_AFTER_S),
        }
    };
    match fault {
        Fault::FirstSuspended => world.gateways[0].suspended = true,
        Fault::FirstRestarts => {
            world.kill(0);
            world.start(0);
        }
        Fault::SecondRestarts | Fault::FirstAndThirdPartitionedSecondRestarts => {
            world.kill(1);
            world.start(1);
        }
        Fault::FirstLeaves => {
            world.leave(0, &mut network);
            world.start(0);
        }
        Fault::DemandsMove => rotate_demands(world),
        Fault::SecondClockSetBack => world.gateways[1].clock_step_us -= CLOCK_SET_BACK_US,
        _ => {}
    }
    world.run(duration_s, STEP_S, &mut network);
    world.gateways[0].suspended = false;
}

fn rotate_demands(world: &mut World) {
    let mut demands: Vec<Vec<Amount>> = world
        .gateways
        .iter()
        .map(|gateway| gateway.demands.clone())
        .collect();
    demands.rotate_left(1);
    for (gateway, demands) in world.gateways.iter_mut().zip(demands) {
        gateway.demands = demands;
    }
}

/// A state of the search, identified by the sequence of faults that led to it, since the same
/// faults always lead to the same world.
#[derive(Clone, Debug)]
struct State {
    faults: Vec<Fault>,
    world: World,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.faults == other.faults
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.faults.hash(state);
    }
}

struct QuotaModel {
    fault_injection: FaultInjection,
    /// The number of faults in a sequence.
    depth: usize,
    /// The number of millionths by which each clock runs fast, within the configured drift bound.
    fast_ppm: [i64; 3],
}

const WITHIN_CAPACITY: &str = "the sum never exceeds the capacity";
const ONE_LEADER: &str = "there is at most one leader";
const RECOVERS: &str =
    "after the faults the full capacity can be spent and every gateway has its guaranteed minimum";

/// Whether the gateways can spend the full capacity again once the faults are over.
fn recovers(state: &State) -> bool {
    let mut world = state.world.clone();
    world.run(RECOVERY_S, STEP_S, &mut healthy_network);
    let budgets = 0..world.config.budgets.len();
    let has_guaranteed = |gateway: usize| {
        let participant = world.gateways[gateway].participant.as_ref().unwrap();
        let now = world.clock(gateway);
        budgets.clone().all(|budget| {
            participant.spendable_rate(now, budget) >= world.config.budgets[budget].guaranteed
        })
    };
    let all_have_guaranteed = world.running().all(has_guaranteed);
    let within_capacity = world.max_sum_ppm <= CAPACITY_PPM;
    let all_in_use = budgets
        .clone()
        .all(|budget| world.utilization(budget) > MIN_RECOVERED_UTILIZATION);
    all_have_guaranteed && within_capacity && all_in_use
}

fn has_no_lease(world: &World, gateway: usize) -> bool {
    let participant = world.gateways[gateway].participant.as_ref();
    participant.is_some_and(|participant| {
        let now = world.clock(gateway);
        participant.lease_holder().lease(now).is_none()
    })
}

impl Model for QuotaModel {
    type State = State;
    type Action = Fault;

    fn init_states(&self) -> Vec<State> {
        let config = config(3, 3, self.fault_injection);
        let mut world = World::new(3, config, |gateway| self.fast_ppm[gateway]);
        world.start_all();
        // One gateway demands more than its share, one demands some, and one demands nothing.
        for (gateway, demand) in [20.0, 4.0, 0.0].into_iter().enumerate() {
            world.gateways[gateway].demands =
                vec![Amount::from_units(demand), Amount::from_units(demand / 3.0)];
        }
        world.run(WARM_UP_S, STEP_S, &mut healthy_network);
        vec![State {
            faults: Vec::new(),
            world,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Fault>) {
        if state.faults.len() < self.depth {
            actions.extend(FAULTS);
        }
    }

    fn next_state(&self, last: &State, fault: Fault) -> Option<State> {
        let mut state = last.clone();
        state.faults.push(fault);
        apply(&mut state.world, fault, FAULT_DURATION_S);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(WITHIN_CAPACITY, |_, state| {
                state.world.max_sum_ppm <= CAPACITY_PPM
            }),
            Property::<Self>::always(ONE_LEADER, |_, state| state.world.max_leaders <= 1),
            Property::<Self>::always(RECOVERS, |_, state| recovers(state)),
            Property::<Self>::sometimes("the leader changes", |_, state| {
                let leaders = state.world.leaders();
                leaders.first().is_some_and(|leader| *leader != 0)
            }),
            Property::<Self>::sometimes("a lease expires", |_, state| {
                (0..3).any(|gateway| has_no_lease(&state.world, gateway))
            }),
        ]
    }
}

struct SearchResult {
    states: usize,
    violations: Vec<&'static str>,
}

fn search(fault_injection: FaultInjection, depth: usize, fast_ppm: [i64; 3]) -> SearchResult {
    let model = QuotaModel {
        fault_injection,
        depth,
        fast_ppm,
    };
    let checker = model.checker().threads(4).spawn_bfs().join();
    let mut violations = Vec::new();
    for name in [WITHIN_CAPACITY, ONE_LEADER, RECOVERS] {
        if let Some(path) = checker.discovery(name) {
            println!("{name}: {:?}", path.into_actions());
            violations.push(name);
        }
    }
    SearchResult {
        states: checker.unique_state_count(),
        violations,
    }
}

/// The clock drift of each gateway at the configured bound, with a fast clock at the first leader.
const LEADER_FAST: [i64; 3] = [DRIFT_PPM, -DRIFT_PPM, DRIFT_PPM];
/// The clock drift of each gateway at the configured bound, with a slow clock at the first leader.
const LEADER_SLOW: [i64; 3] = [-DRIFT_PPM, DRIFT_PPM, DRIFT_PPM];

#[test]
fn every_sequence_of_three_faults_keeps_the_sum_within_the_capacity() {
    let expected_states = 1 + 15 + 225 + 3375;
    for fast_ppm in [[0; 3], LEADER_FAST, [-DRIFT_PPM, DRIFT_PPM, 0]] {
        let result = search(FaultInjection::default(), 3, fast_ppm);
        assert_eq!(result.states, expected_states, "{fast_ppm:?}");
        assert_eq!(result.violations, Vec::<&str>::new(), "{fast_ppm:?}");
    }
}

#[test]
fn search_detects_each_disabled_safety_mechanism() {
    let no_fault_injection = FaultInjection::default();
    for (fault_injection, name) in [
        (
            FaultInjection {
                skip_lease_wait: true,
                ..no_fault_injection
            },
            "a new leader does not wait for earlier leases to expire",
        ),
        (
            FaultInjection {
                settable_clock: true,
                ..no_fault_injection
            },
            "leases are timed by a clock that can be set",
        ),
        (
            FaultInjection {
                keep_revoked: true,
                ..no_fault_injection
            },
            "a holder keeps spending what a later grant took away",
        ),
        (
            FaultInjection {
                accept_stale_grants: true,
                ..no_fault_injection
            },
            "a holder accepts the answer to an earlier request",
        ),
        (
            FaultInjection {
                skip_abstention: true,
                ..no_fault_injection
            },
            "a restarted voter votes without abstaining",
        ),
        (
            FaultInjection {
                ignore_drift: true,
                ..no_fault_injection
            },
            "lease and vote durations ignore clock drift",
        ),
    ] {
        let clocks = [LEADER_FAST, [0; 3], LEADER_SLOW];
        let searches = [2, 3]
            .into_iter()
            .flat_map(|depth| clocks.map(|fast_ppm| (depth, fast_ppm)));
        let found = searches.into_iter().find_map(|(depth, fast_ppm)| {
            let violations = search(fault_injection, depth, fast_ppm).violations;
            println!("{name}: {violations:?}");
            violations.first().copied()
        });
        assert!(
            found.is_some(),
            "the search found no violation although {name}"
        );
    }
}

/// Takes long, so it is ignored by default. It is run with
/// `cargo test -p laurelhitch-quota --release --test search -- --ignored --nocapture`.
#[test]
#[ignore = "long"]
fn every_sequence_of_four_faults_keeps_the_sum_within_the_capacity() {
    for fast_ppm in [[0; 3], LEADER_FAST] {
        let started = std::time::Instant::now();
        let result = search(FaultInjection::default(), 4, fast_ppm);
        println!(
            "{fast_ppm:?}: {} states in {:.0} s",
            result.states,
            started.elapsed().as_secs_f64()
        );
        assert_eq!(result.violations, Vec::<&str>::new());
    }
}
