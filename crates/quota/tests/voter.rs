//! A voter's promises.

mod world;

use admission::interface::{TimeDelta, Timestamp};
use membership::BootId;
use quota::voter::Voter;
use quota::{Config, FaultInjection, HolderId};

fn candidate(index: usize) -> HolderId {
    HolderId {
        name: world::name(index),
        boot_id: BootId(1),
    }
}

/// A voter that has abstained for long enough, the time, and its configuration.
fn free_voter() -> (Voter, Timestamp, Config) {
    let config = world::config(3, 3, FaultInjection::default());
    let started = Timestamp::from_secs(10.0);
    let voter = Voter::new(started, &config);
    (voter, started + config.term_duration, config)
}

#[test]
fn a_voter_that_just_started_abstains_for_a_term() {
    let config = world::config(3, 3, FaultInjection::default());
    let started = Timestamp::from_secs(10.0);
    let mut voter = Voter::new(started, &config);
    let almost_a_term = config.term_duration - TimeDelta::from_micros(1);
    let too_early = started + almost_a_term;
    assert!(!voter.grant_vote(too_early, &candidate(0), 1, &config));
    assert!(voter.grant_vote(voter.free_from(), &candidate(0), 1, &config));
}

#[test]
fn a_vote_is_promised_to_one_candidate_until_it_expires_or_is_released() {
    let (mut voter, now, config) = free_voter();
    assert!(voter.grant_vote(now, &candidate(0), 1, &config));
    assert!(!voter.grant_vote(now, &candidate(1), 2, &config));
    let renewed = now + TimeDelta::from_secs(1.0);
    assert!(voter.grant_vote(renewed, &candidate(0), 1, &config));
    assert!(!voter.grant_vote(now + config.term_duration, &candidate(1), 2, &config));
    assert!(voter.grant_vote(renewed + config.term_duration, &candidate(1), 2, &config));
    let later = renewed + config.term_duration;
    voter.release(later, &candidate(1), 2);
    assert_eq!(voter.voted_for(later), None);
    assert!(voter.grant_vote(later, &candidate(0), 3, &config));
}

#[test]
fn terms_rise_and_implausible_ones_are_ignored() {
    let (mut voter, now, config) = free_voter();
    voter.observe_term(5);
    assert!(
        !voter.grant_vote(now, &candidate(0), 5, &config),
        "a used term"
    );
    voter.observe_term(u64::MAX);
    assert!(!voter.grant_vote(now, &candidate(0), u64::MAX, &config));
    assert_eq!(voter.highest_term(), 5);
    assert!(voter.grant_vote(now, &candidate(0), 6, &config));
    assert_eq!(voter.highest_term(), 6);
}
