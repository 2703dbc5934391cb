//! The rules by which a voter grants and releases its vote.

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

/// A voter whose abstention after the start has ended, with the current time and the configuration.
fn free_voter() -> (Voter, Timestamp, Config) {
    let config = world::config(3, 3, FaultInjection::default());
    let started = Timestamp::from_secs(10.0);
    let voter = Voter::new(started, &config);
    (voter, started + config.term_duration, config)
}

#[test]
fn new_voter_abstains_for_one_term() {
    let config = world::config(3, 3, FaultInjection::default());
    let started = Timestamp::from_secs(10.0);
    let mut voter = Voter::new(started, &config);
    let almost_a_term = config.term_duration - TimeDelta::from_micros(1);
    let too_early = started + almost_a_term;
    assert!(!voter.grant_vote(too_early, &candidate(0), 1, &config));
    assert!(voter.grant_vote(voter.vote_available_from(), &candidate(0), 1, &config));
}

#[test]
fn vote_is_exclusive_until_it_expires_or_is_released() {
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
fn used_and_implausible_terms_are_rejected() {
    let (mut voter, now, config) = free_voter();
    voter.observe_term(5);
    assert!(
        !voter.grant_vote(now, &candidate(0), 5, &config),
        "the term was already used"
    );
    voter.observe_term(u64::MAX);
    assert!(!voter.grant_vote(now, &candidate(0), u64::MAX, &config));
    assert_eq!(voter.highest_term(), 5);
    assert!(voter.grant_vote(now, &candidate(0), 6, &config));
    assert_eq!(voter.highest_term(), 6);
}
