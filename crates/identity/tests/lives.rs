//! A key's life over three gateways that get the files late, in every interleaving, over the very code that decides.

use std::collections::BTreeMap;

use admission::interface::Timestamp;
use identity::keys::{Index, KeyId, KeyRing, Listed, Standing};
use stateright::{Checker, Model, Property};

const GATEWAYS: usize = 3;
/// Ticks by which every gateway has the files.
const LATE: u8 = 2;

/// What the operator did to each of two keys, by tick; `None`: not yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Life {
    announced: Option<u8>,
    signs: Option<u8>,
    retires: Option<u8>,
    withdrawn: Option<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    lives: [Life; 2],
    version: u8,
    /// Of each gateway: the version that it has, its lives, and since when it lacks a newer one.
    have: [(u8, [Life; 2], Option<u8>); GATEWAYS],
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Tick,
    Announce(usize),
    Sign(usize),
    Retire(usize),
    Withdraw(usize),
    Arrive(usize),
}

/// `hold`: whether operators announce a key long enough before it signs, and withdraw only what has retired.
struct Lives {
    hold: bool,
    /// Looked at so far.
    ticks: u8,
}

fn id(key: usize) -> KeyId {
    KeyId::try_from(format!("k{key}")).unwrap()
}

/// The standing of a key at a gateway, by the code under test.
fn standing(version: u8, lives: &[Life; 2], now: u8, key: usize) -> Standing {
    let secs = |at: Option<u8>| at.map(f64::from);
    let listed = |(key, life): (usize, &Life)| {
        let announced_s = f64::from(life.announced?);
        let (signs_s, retires_s) = (secs(life.signs), secs(life.retires));
        Some(Listed {
            id: id(key),
            announced_s,
            signs_s,
            retires_s,
            withdrawn_s: secs(life.withdrawn),
        })
    };
    let keys: Vec<Listed> = lives.iter().enumerate().filter_map(listed).collect();
    let public: BTreeMap<KeyId, [u8; 32]> = keys
        .iter()
        .map(|listed| (listed.id.clone(), [1; 32]))
        .collect();
    let mut ring = KeyRing::default();
    let now = Timestamp::from_secs(f64::from(now));
    ring.take(
        now,
        &Index {
            version: version.into(),
            keys,
        },
        &public,
    )
    .expect("a sound index");
    ring.standing(now, &id(key))
}

/// How a key stands at each gateway.
fn seen(state: &State, key: usize) -> [Standing; GATEWAYS] {
    state
        .have
        .clone()
        .map(|(version, lives, _)| standing(version, &lives, state.now, key))
}

impl Model for Lives {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let first = Life {
            announced: Some(0),
            signs: Some(0),
            ..Life::default()
        };
        let lives = [first, Life::default()];
        let have = std::array::from_fn(|_| (0, lives.clone(), None));
        vec![State {
            now: 1,
            lives,
            version: 0,
            have,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        // Files are nowhere later than the bound: time stands until they are there.
        let late = |since: &Option<u8>| since.is_some_and(|since| state.now - since >= LATE);
        if state.now < self.ticks && !state.have.iter().any(|(_, _, since)| late(since)) {
            actions.push(Step::Tick);
        }
        actions.extend(
            (0..GATEWAYS)
                .filter(|at| state.have[*at].0 < state.version)
                .map(Step::Arrive),
        );
        for (key, life) in state.lives.iter().enumerate() {
            let waited = |at: Option<u8>| at.is_some_and(|at| state.now > at + LATE || !self.hold);
            match life {
                Life {
                    announced: None, ..
                } => actions.push(Step::Announce(key)),
                Life { signs: None, .. } if waited(life.announced) => actions.push(Step::Sign(key)),
                Life {
                    signs: Some(_),
                    retires: None,
                    ..
                } => actions.push(Step::Retire(key)),
                Life {
                    retires: Some(_),
                    withdrawn: None,
                    ..
                } => actions.push(Step::Withdraw(key)),
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        let now = state.now;
        match step {
            Step::Tick => state.now += 1,
            Step::Arrive(at) => state.have[at] = (state.version, state.lives.clone(), None),
            Step::Announce(key) => state.lives[key].announced = Some(now),
            Step::Sign(key) => state.lives[key].signs = Some(now),
            Step::Retire(key) => state.lives[key].retires = Some(now),
            Step::Withdraw(key) => state.lives[key].withdrawn = Some(now),
        }
        if state.lives != last.lives {
            state.version += 1;
            state
                .have
                .iter_mut()
                .for_each(|have| have.2 = have.2.or(Some(now)));
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(
                "no key is taken later than the bound after its withdrawal",
                |_, state| {
                    (0..2).all(|key| {
                        let over = state.lives[key]
                            .withdrawn
                            .is_some_and(|at| state.now > at + LATE);
                        let accepts =
                            |s: &Standing| matches!(s, Standing::Signing | Standing::Retiring);
                        !over || !seen(state, key).iter().any(accepts)
                    })
                },
            ),
            Property::<Self>::always(
                "a key that signs is nowhere refused for good",
                |_, state| {
                    (0..2).all(|key| {
                        let life = &state.lives[key];
                        let signs = life.signs.is_some() && life.withdrawn.is_none();
                        !signs || !seen(state, key).contains(&Standing::Withdrawn)
                    })
                },
            ),
            Property::<Self>::always(
                "a key announced in time is known wherever it signs",
                |model, state| {
                    !model.hold
                        || (0..2).all(|key| {
                            let signs = state.lives[key].signs.is_some()
                                && state.lives[key].withdrawn.is_none();
                            !signs || !seen(state, key).contains(&Standing::Unknown)
                        })
                },
            ),
            Property::<Self>::sometimes(
                "a key goes through its whole life everywhere",
                |_, state| seen(state, 1).iter().all(|s| *s == Standing::Withdrawn),
            ),
        ]
    }
}

fn search(hold: bool, ticks: u8) -> usize {
    let checker = Lives { hold, ticks }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
    checker.assert_properties();
    checker.unique_state_count()
}

#[test]
fn over_all_interleavings_withdrawal_is_bounded_and_no_signing_key_is_refused_for_good() {
    // A key that is announced in time needs more ticks for its life.
    assert!(search(true, 6) > 10_000 && search(false, 5) > 10_000);
}

/// `cargo test -p laurelhitch-identity --release -- --ignored`, about a minute.
#[test]
#[ignore = "long"]
fn the_same_over_nine_ticks() {
    println!("{} and {} states", search(true, 9), search(false, 9));
}
