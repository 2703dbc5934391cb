//! Three gateways and two budgets over the very code, through every order of troubles: what all may spend at one instant
//! never exceeds the whole, and once the troubles are over it is all out again.

mod world;

use std::hash::{Hash, Hasher};

use quota::Faults;
use stateright::{Checker, Model, Property};
use world::{DRIFT_PPM, Way, World, terms, well};

/// A step of adversity. The first voter to be chosen is the first gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Trouble {
    Well,
    /// Nobody reaches the first, nor it anybody.
    Alone,
    /// Nothing of the first is heard; nothing comes to it.
    Mute,
    Deaf,
    /// The second is alone.
    Other,
    /// The first and the third do not reach each other; and the second is killed and starts again meanwhile.
    Half,
    HalfKilled,
    /// All words take as long as a lease is short of, and come after later ones.
    Late,
    /// All words come once more, after the next trouble began.
    Again,
    /// The first stands still for this long, and wakes with all that came waiting.
    Stopped,
    /// It is killed and starts again without memory.
    Killed,
    /// The second is.
    OtherKilled,
    /// The first leaves in order, and is started anew.
    Leaves,
    /// Another needs it all.
    Shifts,
    /// The second's clock is set back by some seconds.
    SetBack,
}

const TROUBLES: [Trouble; 15] = [
    Trouble::Well,
    Trouble::Alone,
    Trouble::Mute,
    Trouble::Deaf,
    Trouble::Other,
    Trouble::Half,
    Trouble::HalfKilled,
    Trouble::Late,
    Trouble::Again,
    Trouble::Stopped,
    Trouble::Killed,
    Trouble::OtherKilled,
    Trouble::Leaves,
    Trouble::Shifts,
    Trouble::SetBack,
];
/// Longer than a term, shorter than a lease.
const LASTS_S: f64 = 3.4;
const STEP_S: f64 = 0.1;
/// A term, a choice, a lease and some renewals.
const WELL_S: f64 = 16.0;

fn play(world: &mut World, trouble: Trouble, lasts_s: f64) {
    let mut number = 0u32;
    let mut way = |from: usize, to: usize| {
        number += 1;
        let lost = match trouble {
            Trouble::Alone => from == 0 || to == 0,
            Trouble::Mute => from == 0,
            Trouble::Deaf => to == 0,
            Trouble::Other => from == 1 || to == 1,
            Trouble::Half | Trouble::HalfKilled => from + to == 2 && from != to,
            _ => false,
        };
        let late = trouble == Trouble::Late;
        let delay_s = if late {
            [2.9, 0.4, 1.6][number as usize % 3]
        } else {
            0.01
        };
        let again_after_s = (trouble == Trouble::Again).then_some(3.9);
        Way {
            lost,
            delay_s,
            again_after_s,
        }
    };
    match trouble {
        Trouble::Stopped => world.slots[0].stopped = true,
        Trouble::Killed => {
            world.kill(0);
            world.start(0);
        }
        Trouble::OtherKilled | Trouble::HalfKilled => {
            world.kill(1);
            world.start(1);
        }
        Trouble::Leaves => {
            world.leave(0, &mut way);
            world.start(0);
        }
        Trouble::Shifts => world.slots.rotate_needs(),
        Trouble::SetBack => world.slots[1].set_by_us -= 4_000_000,
        _ => {}
    }
    world.run(lasts_s, STEP_S, &mut way);
    world.slots[0].stopped = false;
}

trait RotateNeeds {
    fn rotate_needs(&mut self);
}

impl RotateNeeds for Vec<world::Slot> {
    fn rotate_needs(&mut self) {
        let needs: Vec<_> = self.iter().map(|slot| slot.needs.clone()).collect();
        for (at, slot) in self.iter_mut().enumerate() {
            slot.needs = needs[(at + 1) % needs.len()].clone();
        }
    }
}

#[derive(Clone, Debug)]
struct State {
    troubles: Vec<Trouble>,
    world: World,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.troubles == other.troubles
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.troubles.hash(state);
    }
}

struct Budgets {
    faults: Faults,
    troubles: usize,
    /// Clocks, as far from each other as is told.
    fast_ppm: [i64; 3],
}

const NEVER_MORE: &str = "never more than the whole";
const ALL_OUT: &str = "once all is well the whole is out, and each has its floor";

impl Model for Budgets {
    type State = State;
    type Action = Trouble;

    fn init_states(&self) -> Vec<State> {
        let mut world = World::new(3, terms(3, 3, self.faults), |at| self.fast_ppm[at]);
        world.start_all();
        // One wants it all, one some of it, one nothing.
        for (at, wants) in [20.0, 4.0, 0.0].into_iter().enumerate() {
            world.slots[at].needs = vec![quota::Amount::of(wants), quota::Amount::of(wants / 3.0)];
        }
        world.run(12.0, STEP_S, &mut well);
        vec![State {
            troubles: Vec::new(),
            world,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Trouble>) {
        if state.troubles.len() < self.troubles {
            actions.extend(TROUBLES);
        }
    }

    fn next_state(&self, last: &State, trouble: Trouble) -> Option<State> {
        let mut state = last.clone();
        state.troubles.push(trouble);
        play(&mut state.world, trouble, LASTS_S);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(NEVER_MORE, |_, state| state.world.worst_ppm <= 1_000_000),
            Property::<Self>::always("one steward at most", |_, state| {
                state.world.most_stewards <= 1
            }),
            Property::<Self>::always(ALL_OUT, |_, state| {
                let mut world = state.world.clone();
                world.run(WELL_S, STEP_S, &mut well);
                let floors = world.lives().all(|at| {
                    let core = world.slots[at].core.as_ref().unwrap();
                    (0..2).all(|of| {
                        core.may_spend(world.clock(at), of) >= world.terms.budgets[of].floor
                    })
                });
                floors && world.worst_ppm <= 1_000_000 && (0..2).all(|of| world.out(of) > 0.999)
            }),
            Property::<Self>::sometimes("the steward changes", |_, state| {
                state.world.stewards().first().is_some_and(|at| *at != 0)
            }),
            Property::<Self>::sometimes("a lease lapses", |_, state| {
                let core = |at: usize| state.world.slots[at].core.as_ref();
                (0..3).any(|at| {
                    core(at)
                        .is_some_and(|core| core.holder().lease(state.world.clock(at)).is_none())
                })
            }),
        ]
    }
}

/// States, and which property was found broken.
fn search(faults: Faults, troubles: usize, fast_ppm: [i64; 3]) -> (usize, Vec<&'static str>) {
    let checker = Budgets {
        faults,
        troubles,
        fast_ppm,
    }
    .checker()
    .threads(4)
    .spawn_bfs()
    .join();
    let broken = [NEVER_MORE, "one steward at most", ALL_OUT];
    let broken = broken.into_iter().filter(|name| {
        let found = checker.discovery(name);
        if let Some(path) = &found {
            println!("{name}: {:?}", path.clone().into_actions());
        }
        found.is_some()
    });
    (checker.unique_state_count(), broken.collect())
}

const APART: [i64; 3] = [DRIFT_PPM, -DRIFT_PPM, DRIFT_PPM];

#[test]
fn in_every_order_of_three_troubles_the_sum_holds() {
    let states = 1 + 15 + 225 + 3375;
    for clocks in [[0; 3], APART, [-DRIFT_PPM, DRIFT_PPM, 0]] {
        assert_eq!(
            search(Faults::default(), 3, clocks),
            (states, vec![]),
            "{clocks:?}"
        );
    }
}

#[test]
fn the_search_finds_each_mechanism_that_is_taken_out() {
    let off = Faults::default();
    for (faults, name) in [
        (
            Faults {
                no_wait: true,
                ..off
            },
            "no wait after a change of steward",
        ),
        (
            Faults {
                wall_clock: true,
                ..off
            },
            "a lease by a clock that others set",
        ),
        (
            Faults {
                keeps_given: true,
                ..off
            },
            "what was given back goes on being spent",
        ),
        (
            Faults {
                stale_grants: true,
                ..off
            },
            "an answer of before counts",
        ),
        (
            Faults {
                no_abstaining: true,
                ..off
            },
            "a voter without memory votes at once",
        ),
        (
            Faults {
                no_drift: true,
                ..off
            },
            "lengths by every clock alike",
        ),
    ] {
        let clocks = [APART, [0; 3], [-DRIFT_PPM, DRIFT_PPM, DRIFT_PPM]];
        let searches = [2, 3]
            .into_iter()
            .flat_map(|troubles| clocks.map(|clocks| (troubles, clocks)));
        let found = searches.into_iter().find_map(|(troubles, clocks)| {
            let broken = search(faults, troubles, clocks).1;
            println!("{name}: {broken:?}");
            broken.first().copied()
        });
        assert!(found.is_some(), "{name} is not found");
    }
}

/// `cargo test -p laurelhitch-quota --release --test search -- --ignored --nocapture`.
#[test]
#[ignore = "long"]
fn the_same_for_four_troubles() {
    for clocks in [[0; 3], APART] {
        let began = std::time::Instant::now();
        let found = search(Faults::default(), 4, clocks);
        println!(
            "{clocks:?}: {} states in {:.0} s",
            found.0,
            began.elapsed().as_secs_f64()
        );
        assert_eq!(found.1, Vec::<&str>::new());
    }
}
