//! The transitions of the view state.

use admission::interface::Timestamp;
use membership::view_state::{ViewObservation, ViewStateMachine};
use membership::{Config, Name, ViewState};

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

/// An observation of a stable view of `size` nodes that other nodes share.
fn agreed_view(size: usize) -> ViewObservation {
    ViewObservation {
        size,
        equal_views: 3,
        unchanged_since: Some(at(0.0)),
        has_joined: true,
        ..ViewObservation::default()
    }
}

/// A state machine that converged on `size` nodes, 10 s after the start.
fn converged(size: usize) -> ViewStateMachine {
    let mut machine = ViewStateMachine::new(at(0.0));
    assert!(machine.update(at(10.0), &agreed_view(size), &Config::default()));
    assert_eq!(*machine.state(), ViewState::Converged);
    machine
}

#[test]
fn a_node_that_has_met_no_other_node_is_isolated() {
    let mut machine = ViewStateMachine::new(at(0.0));
    let observed = ViewObservation {
        size: 1,
        ..ViewObservation::default()
    };
    assert!(!machine.update(at(10.0), &observed, &Config::default()));
    assert_eq!(*machine.state(), ViewState::Isolated);
    assert_eq!(machine.assumptions(1).min_size, 1);
}

#[test]
fn a_suspect_ends_convergence_after_the_minimum_state_duration() {
    let mut machine = converged(10);
    let suspects = vec![Name::new("g1").unwrap()];
    let observed = ViewObservation {
        suspects: suspects.clone(),
        ..agreed_view(10)
    };
    assert!(!machine.update(at(11.0), &observed, &Config::default()));
    assert!(machine.update(at(12.0), &observed, &Config::default()));
    assert_eq!(*machine.state(), ViewState::Converging { suspects });
}

#[test]
fn less_than_half_the_fleet_is_partitioned_at_once_and_accepted_after_the_configured_time() {
    let config = Config::default();
    let mut machine = converged(10);
    assert!(machine.update(at(10.5), &agreed_view(4), &config));
    assert_eq!(
        *machine.state(),
        ViewState::Partitioned { converged_size: 10 }
    );
    let assumptions = machine.assumptions(4);
    assert_eq!((assumptions.max_size, assumptions.min_size), (10, 4));
    assert!(!assumptions.may_vote && !assumptions.engine_reports_count);
    assert!(!machine.update(at(130.0), &agreed_view(4), &config));
    assert!(machine.update(at(130.5), &agreed_view(4), &config));
    assert_eq!(*machine.state(), ViewState::Converged);
    assert_eq!(machine.assumptions(4).max_size, 4);
}

#[test]
fn a_partitioned_node_that_reaches_the_others_rejoins_before_it_converges() {
    let config = Config::default();
    let mut machine = converged(10);
    assert!(machine.update(at(10.5), &agreed_view(3), &config));
    let differing = ViewObservation {
        differing_views: 1,
        ..agreed_view(10)
    };
    assert!(machine.update(at(20.0), &differing, &config));
    assert_eq!(*machine.state(), ViewState::Rejoining);
    assert!(!machine.assumptions(10).may_vote);
    assert!(machine.update(at(30.0), &agreed_view(10), &config));
    assert_eq!(*machine.state(), ViewState::Converged);
}
