//! Retries of failed probes before a member is suspected.

use admission::interface::Timestamp;
use membership::Name;
use membership::probe_retries::{FailureOutcome, ProbeRetries};

fn name(number: usize) -> Name {
    Name::new(&format!("g{number}")).unwrap()
}

fn now() -> Timestamp {
    Timestamp::from_secs(1.0)
}

#[test]
fn a_member_is_suspected_after_the_configured_number_of_retries() {
    let mut retries = ProbeRetries::default();
    for _ in 0..3 {
        let outcome = retries.probe_failed(now(), &name(1), 3);
        assert_eq!(outcome, FailureOutcome::Retry);
        assert_eq!(retries.due(now()), [name(1)]);
        retries.mark_started(&name(1));
        assert_eq!(retries.next_due(), None, "the retry is still outstanding");
    }
    let outcome = retries.probe_failed(now(), &name(1), 3);
    assert_eq!(outcome, FailureOutcome::Suspect);
    assert!(!retries.contains(&name(1)));
}

#[test]
fn an_answer_resets_the_failure_count() {
    let mut retries = ProbeRetries::default();
    let _ = retries.probe_failed(now(), &name(1), 3);
    let _ = retries.probe_failed(now(), &name(1), 3);
    assert_eq!(retries.failures(&name(1)), Some(2));
    retries.clear(&name(1));
    let _ = retries.probe_failed(now(), &name(1), 3);
    assert_eq!(retries.failures(&name(1)), Some(1));
}

#[test]
fn at_most_two_members_are_retried_at_once() {
    let mut retries = ProbeRetries::default();
    for number in 0..5 {
        let outcome = retries.probe_failed(now(), &name(number), 3);
        assert_eq!(outcome, FailureOutcome::Retry);
    }
    assert_eq!(retries.due(now()), [name(0), name(1)]);
}
