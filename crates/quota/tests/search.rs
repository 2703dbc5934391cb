//! Three gateways and two budgets, through every order of faults: what all may spend at one instant never exceeds the
//! capacity, and once the faults are over all of it can be spent again. The gateways run the crate's own code.

mod world;

use std::hash::{Hash, Hasher};

use quota::{Amount, FaultInjection};
use stateright::{Checker, Model, Property};
use world::{DRIFT_PPM, Delivery, World, config, healthy};

/// What happens during one step of the search. The first gateway is the first to be elected leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// The first gateway neither receives nor sends.
    FirstIsolated,
    /// Nothing that the first sends arrives.
    FirstCannotSend,
    /// Nothing that is sent to the first arrives.
    FirstCannotReceive,
    /// The second neither receives nor sends.
    SecondIsolated,
    /// The first and the third do not reach each other.
    FirstAndThirdCut,
    /// The same, and the second is killed and starts again.
    FirstAndThirdCutSecondRestarts,
    /// Messages take up to almost a lease, and overtake each other.
    Delays,
    /// Each message arrives once more during the next fault.
    Repeats,
    /// The first is suspended, and finds all that came meanwhile when it goes on.
    FirstSuspended,
    /// The first is killed and starts again.
    FirstRestarts,
    /// The second is killed and starts again.
    SecondRestarts,
    /// The first leaves in order and starts again.
    FirstLeaves,
    /// The demands move from each gateway to another.
    DemandsMove,
    /// The second's clock is set back by some seconds.
    SecondClockSetBack,
}

const FAULTS: [Fault; 15] = [
    Fault::None,
    Fault::FirstIsolated,
    Fault::FirstCannotSend,
    Fault::FirstCannotReceive,
    Fault::SecondIsolated,
    Fault::FirstAndThirdCut,
    Fault::FirstAndThirdCutSecondRestarts,
    Fault::Delays,
    Fault::Repeats,
    Fault::FirstSuspended,
    Fault::FirstRestarts,
    Fault::SecondRestarts,
    Fault::FirstLeaves,
    Fault::DemandsMove,
    Fault::SecondClockSetBack,
];
/// Longer than a term, shorter than a lease.
const FAULT_LASTS_S: f64 = 3.4;
const STEP_S: f64 = 0.1;
/// Until the first leader was elected and every lease has settled.
const START_S: f64 = 12.0;
/// A term, an election, a lease and some renewals.
const RECOVERY_S: f64 = 16.0;
const CLOCK_SET_BACK_US: i64 = 4_000_000;
/// Delays during [`Fault::Delays`], in turn.
const DELAYS_S: [f64; 3] = [2.9, 0.4, 1.6];
const USUAL_DELAY_S: f64 = 0.01;
const REPEATED_AFTER_S: f64 = 3.9;
/// Recovered where this part of what can be spent may be spent.
const RECOVERED: f64 = 0.999;
const WHOLE_PPM: u64 = 1_000_000;

fn is_lost(fault: Fault, from: usize, to: usize) -> bool {
    match fault {
        Fault::FirstIsolated => from == 0 || to == 0,
        Fault::FirstCannotSend => from == 0,
        Fault::FirstCannotReceive => to == 0,
        Fault::SecondIsolated => from == 1 || to == 1,
        Fault::FirstAndThirdCut | Fault::FirstAndThirdCutSecondRestarts => {
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
            _ => USUAL_DELAY_S,
        };
        Delivery {
            lost: is_lost(fault, from, to),
            delay_s,
            repeated_after_s: (fault == Fault::Repeats).then_some(REPEATED_AFTER_S),
        }
    };
    match fault {
        Fault::FirstSuspended => world.gateways[0].suspended = true,
        Fault::FirstRestarts => {
            world.kill(0);
            world.start(0);
        }
        Fault::SecondRestarts | Fault::FirstAndThirdCutSecondRestarts => {
            world.kill(1);
            world.start(1);
        }
        Fault::FirstLeaves => {
            world.leave(0, &mut network);
            world.start(0);
        }
        Fault::DemandsMove => rotate_demands(world),
        Fault::SecondClockSetBack => world.gateways[1].clock_set_by_us -= CLOCK_SET_BACK_US,
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

/// A state is the faults that led to it: the same faults lead to the same world.
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
    /// How many faults follow each other.
    depth: usize,
    /// By how much each clock runs fast, within the bound of the configuration.
    fast_ppm: [i64; 3],
}

const WITHIN_CAPACITY: &str = "never more than the capacity";
const ONE_LEADER: &str = "one leader at most";
const RECOVERS: &str =
    "after the faults all of the capacity can be spent, and each has its guaranteed minimum";

/// Whether the gateways can spend all that they could at most, once the faults are over.
fn recovers(state: &State) -> bool {
    let mut world = state.world.clone();
    world.run(RECOVERY_S, STEP_S, &mut healthy);
    let budgets = 0..world.config.budgets.len();
    let has_guaranteed = |gateway: usize| {
        let participant = world.gateways[gateway].participant.as_ref().unwrap();
        let now = world.clock(gateway);
        budgets.clone().all(|budget| {
            participant.spendable_rate(now, budget) >= world.config.budgets[budget].guaranteed
        })
    };
    let all_have_guaranteed = world.running().all(has_guaranteed);
    let within_capacity = world.worst_sum_ppm <= WHOLE_PPM;
    let all_in_use = budgets
        .clone()
        .all(|budget| world.utilization(budget) > RECOVERED);
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
        // One demands all, one some, one nothing.
        for (gateway, demand) in [20.0, 4.0, 0.0].into_iter().enumerate() {
            world.gateways[gateway].demands =
                vec![Amount::from_units(demand), Amount::from_units(demand / 3.0)];
        }
        world.run(START_S, STEP_S, &mut healthy);
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
        apply(&mut state.world, fault, FAULT_LASTS_S);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(WITHIN_CAPACITY, |_, state| {
                state.world.worst_sum_ppm <= WHOLE_PPM
            }),
            Property::<Self>::always(ONE_LEADER, |_, state| state.world.most_leaders <= 1),
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
    violated: Vec<&'static str>,
}

fn search(fault_injection: FaultInjection, depth: usize, fast_ppm: [i64; 3]) -> SearchResult {
    let model = QuotaModel {
        fault_injection,
        depth,
        fast_ppm,
    };
    let checker = model.checker().threads(4).spawn_bfs().join();
    let mut violated = Vec::new();
    for name in [WITHIN_CAPACITY, ONE_LEADER, RECOVERS] {
        if let Some(path) = checker.discovery(name) {
            println!("{name}: {:?}", path.into_actions());
            violated.push(name);
        }
    }
    SearchResult {
        states: checker.unique_state_count(),
        violated,
    }
}

/// Clocks as far apart as the configuration allows, the leader's fast.
const LEADER_FAST: [i64; 3] = [DRIFT_PPM, -DRIFT_PPM, DRIFT_PPM];
/// The same, the leader's slow.
const LEADER_SLOW: [i64; 3] = [-DRIFT_PPM, DRIFT_PPM, DRIFT_PPM];

#[test]
fn in_every_order_of_three_faults_the_sum_stays_within_the_capacity() {
    let states = 1 + 15 + 225 + 3375;
    for fast_ppm in [[0; 3], LEADER_FAST, [-DRIFT_PPM, DRIFT_PPM, 0]] {
        let result = search(FaultInjection::default(), 3, fast_ppm);
        assert_eq!(result.states, states, "{fast_ppm:?}");
        assert_eq!(result.violated, Vec::<&str>::new(), "{fast_ppm:?}");
    }
}

#[test]
fn the_search_finds_each_mechanism_that_is_switched_off() {
    let none = FaultInjection::default();
    for (fault_injection, name) in [
        (
            FaultInjection {
                skip_lease_wait: true,
                ..none
            },
            "no wait after a change of leader",
        ),
        (
            FaultInjection {
                settable_clock: true,
                ..none
            },
            "a lease by a clock that others set",
        ),
        (
            FaultInjection {
                keep_revoked: true,
                ..none
            },
            "what a grant took goes on being spent",
        ),
        (
            FaultInjection {
                accept_stale_grants: true,
                ..none
            },
            "an answer to an earlier request counts",
        ),
        (
            FaultInjection {
                skip_abstention: true,
                ..none
            },
            "a voter that restarted votes at once",
        ),
        (
            FaultInjection {
                ignore_drift: true,
                ..none
            },
            "leases and votes of one length by every clock",
        ),
    ] {
        let clocks = [LEADER_FAST, [0; 3], LEADER_SLOW];
        let searches = [2, 3]
            .into_iter()
            .flat_map(|depth| clocks.map(|fast_ppm| (depth, fast_ppm)));
        let found = searches.into_iter().find_map(|(depth, fast_ppm)| {
            let violated = search(fault_injection, depth, fast_ppm).violated;
            println!("{name}: {violated:?}");
            violated.first().copied()
        });
        assert!(found.is_some(), "{name} is not found");
    }
}

/// `cargo test -p laurelhitch-quota --release --test search -- --ignored --nocapture`.
#[test]
#[ignore = "long"]
fn in_every_order_of_four_faults_the_sum_stays_within_the_capacity() {
    for fast_ppm in [[0; 3], LEADER_FAST] {
        let began = std::time::Instant::now();
        let result = search(FaultInjection::default(), 4, fast_ppm);
        println!(
            "{fast_ppm:?}: {} states in {:.0} s",
            result.states,
            began.elapsed().as_secs_f64()
        );
        assert_eq!(result.violated, Vec::<&str>::new());
    }
}
