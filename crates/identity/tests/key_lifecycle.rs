//! The lifecycle of keys over three gateways that get the files late: every interleaving, checked on the key ring itself.

use std::collections::BTreeMap;

use admission::interface::Timestamp;
use identity::{KeyEntry, KeyId, KeyIndex, KeyRing, KeyState};
use stateright::{Checker, Model, Property};

const GATEWAYS: usize = 3;
/// Ticks by which every gateway has the files.
const MAX_DELAY: u8 = 2;

/// What the operator did to each of two keys, by tick; `None`: not yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Lifecycle {
    announced: Option<u8>,
    signs: Option<u8>,
    retires: Option<u8>,
    withdrawn: Option<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    keys: [Lifecycle; 2],
    version: u8,
    gateways: [GatewayFiles; GATEWAYS],
}

/// The files of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct GatewayFiles {
    version: u8,
    keys: [Lifecycle; 2],
    /// Since when there are newer files.
    outdated_since: Option<u8>,
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

/// Operators change two keys while files arrive at the gateways.
struct KeyRollout {
    /// Operators announce a key long enough before it signs.
    announces_in_time: bool,
    /// The search ends there.
    ticks: u8,
}

fn id(key: usize) -> KeyId {
    KeyId::try_from(format!("k{key}")).unwrap()
}

/// The state of a key at a gateway, by the code under test.
fn state_at_gateway(files: &GatewayFiles, now: u8, key: usize) -> KeyState {
    let secs = |at: Option<u8>| at.map(f64::from);
    let entry = |(key, lifecycle): (usize, &Lifecycle)| {
        let announced_s = f64::from(lifecycle.announced?);
        let (signing_s, retired_s) = (secs(lifecycle.signs), secs(lifecycle.retires));
        Some(KeyEntry {
            id: id(key),
            announced_s,
            signing_s,
            retired_s,
            withdrawn_s: secs(lifecycle.withdrawn),
        })
    };
    let keys: Vec<KeyEntry> = files.keys.iter().enumerate().filter_map(entry).collect();
    let public: BTreeMap<KeyId, [u8; 32]> = keys
        .iter()
        .map(|entry| (entry.id.clone(), [1; 32]))
        .collect();
    let mut ring = KeyRing::default();
    let now = Timestamp::from_secs(f64::from(now));
    ring.update(
        now,
        &KeyIndex {
            version: files.version.into(),
            keys,
        },
        &public,
    )
    .expect("a sound index");
    ring.state(now, &id(key))
}

/// The state of a key at each gateway.
fn states(state: &State, key: usize) -> [KeyState; GATEWAYS] {
    std::array::from_fn(|gateway| state_at_gateway(&state.gateways[gateway], state.now, key))
}

impl Model for KeyRollout {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let first = Lifecycle {
            announced: Some(0),
            signs: Some(0),
            ..Lifecycle::default()
        };
        let keys = [first, Lifecycle::default()];
        let gateways = std::array::from_fn(|_| GatewayFiles {
            version: 0,
            keys: keys.clone(),
            outdated_since: None,
        });
        vec![State {
            now: 1,
            keys,
            version: 0,
            gateways,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        // Files are nowhere later than the bound: time stands until they are there.
        let is_late = |files: &GatewayFiles| {
            files
                .outdated_since
                .is_some_and(|since| state.now - since >= MAX_DELAY)
        };
        if state.now < self.ticks && !state.gateways.iter().any(is_late) {
            actions.push(Step::Tick);
        }
        actions.extend(
            (0..GATEWAYS)
                .filter(|gateway| state.gateways[*gateway].version < state.version)
                .map(Step::Arrive),
        );
        for (key, lifecycle) in state.keys.iter().enumerate() {
            let waited = |at: Option<u8>| {
                at.is_some_and(|at| state.now > at + MAX_DELAY || !self.announces_in_time)
            };
            match lifecycle {
                Lifecycle {
                    announced: None, ..
                } => actions.push(Step::Announce(key)),
                Lifecycle { signs: None, .. } if waited(lifecycle.announced) => {
                    actions.push(Step::Sign(key));
                }
                Lifecycle {
                    signs: Some(_),
                    retires: None,
                    ..
                } => actions.push(Step::Retire(key)),
                Lifecycle {
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
            Step::Arrive(gateway) => {
                state.gateways[gateway] = GatewayFiles {
                    version: state.version,
                    keys: state.keys.clone(),
                    outdated_since: None,
                };
            }
            Step::Announce(key) => state.keys[key].announced = Some(now),
            Step::Sign(key) => state.keys[key].signs = Some(now),
            Step::Retire(key) => state.keys[key].retires = Some(now),
            Step::Withdraw(key) => state.keys[key].withdrawn = Some(now),
        }
        if state.keys != last.keys {
            state.version += 1;
            for files in &mut state.gateways {
                files.outdated_since = files.outdated_since.or(Some(now));
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(
                "no key is accepted later than the bound after its withdrawal",
                |_, state| {
                    (0..2).all(|key| {
                        let over = state.keys[key]
                            .withdrawn
                            .is_some_and(|at| state.now > at + MAX_DELAY);
                        let accepts =
                            |s: &KeyState| matches!(s, KeyState::Signing | KeyState::Retiring);
                        !over || !states(state, key).iter().any(accepts)
                    })
                },
            ),
            Property::<Self>::always(
                "a key that signs is nowhere rejected for good",
                |_, state| {
                    (0..2).all(|key| {
                        let lifecycle = &state.keys[key];
                        let signs = lifecycle.signs.is_some() && lifecycle.withdrawn.is_none();
                        !signs || !states(state, key).contains(&KeyState::Withdrawn)
                    })
                },
            ),
            Property::<Self>::always(
                "a key announced in time is known wherever it signs",
                |model, state| {
                    !model.announces_in_time
                        || (0..2).all(|key| {
                            let signs = state.keys[key].signs.is_some()
                                && state.keys[key].withdrawn.is_none();
                            !signs || !states(state, key).contains(&KeyState::Unknown)
                        })
                },
            ),
            Property::<Self>::sometimes(
                "a key goes through its lifecycle everywhere",
                |_, state| states(state, 1).iter().all(|s| *s == KeyState::Withdrawn),
            ),
        ]
    }
}

fn search(announces_in_time: bool, ticks: u8) -> usize {
    let checker = KeyRollout {
        announces_in_time,
        ticks,
    }
    .checker()
    .threads(4)
    .spawn_bfs()
    .join();
    checker.assert_properties();
    checker.unique_state_count()
}

#[test]
fn over_all_interleavings_withdrawal_is_bounded_and_no_signing_key_is_rejected_for_good() {
    // A key that is announced in time needs more ticks for its lifecycle.
    assert!(search(true, 6) > 10_000 && search(false, 5) > 10_000);
}

/// `cargo test -p laurelhitch-identity --release -- --ignored`, about a minute.
#[test]
#[ignore = "long"]
fn the_same_holds_over_nine_ticks() {
    println!("{} and {} states", search(true, 9), search(false, 9));
}
