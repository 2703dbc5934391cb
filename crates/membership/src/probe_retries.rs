//! Retries of failed probes, which traffic limits require before a member is suspected.

use std::collections::BTreeMap;

use admission::interface::Timestamp;

use crate::member::Name;

/// The maximum number of members whose probe is retried at the same time. If many members fail at
/// once, other nodes retry the rest.
const MAX_RETRIED_MEMBERS: usize = 2;

/// The retries of one member's probe.
#[derive(Clone, Copy, Debug)]
struct Retry {
    /// The number of consecutive failed probes.
    failures: usize,
    /// When the next retry is due, or `None` while a retry is outstanding.
    due: Option<Timestamp>,
}

/// What to do after a failed probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureOutcome {
    /// The probe is retried first, by this node or by others.
    Retry,
    /// The limit is reached, so the member is suspected.
    Suspect,
}

/// The members whose failed probe is being retried.
#[derive(Clone, Debug, Default)]
pub struct ProbeRetries {
    retries: BTreeMap<Name, Retry>,
}

impl ProbeRetries {
    /// Records that a probe of a member failed. The member is suspected once `confirmations`
    /// retries have failed as well.
    pub fn probe_failed(
        &mut self,
        now: Timestamp,
        name: &Name,
        confirmations: usize,
    ) -> FailureOutcome {
        let failures = self.failures(name).unwrap_or(0) + 1;
        if failures > confirmations {
            self.clear(name);
            return FailureOutcome::Suspect;
        }
        if self.retries.len() < MAX_RETRIED_MEMBERS || self.contains(name) {
            let due = Some(now);
            self.retries.insert(name.clone(), Retry { failures, due });
        }
        FailureOutcome::Retry
    }

    /// Forgets the failures of a member, because it answered or no longer needs retries.
    pub fn clear(&mut self, name: &Name) {
        self.retries.remove(name);
    }

    /// Returns whether probes of this member are being retried.
    #[must_use]
    pub fn contains(&self, name: &Name) -> bool {
        self.retries.contains_key(name)
    }

    /// Returns the number of consecutive failed probes of this member, or `None` if none is being
    /// retried.
    #[must_use]
    pub fn failures(&self, name: &Name) -> Option<usize> {
        self.retries.get(name).map(|retry| retry.failures)
    }

    /// Returns when the next retry is due, or `None` if none is.
    #[must_use]
    pub fn next_due(&self) -> Option<Timestamp> {
        self.retries.values().filter_map(|retry| retry.due).min()
    }

    /// Returns the members whose retry is due, ordered by name.
    #[must_use]
    pub fn due(&self, now: Timestamp) -> Vec<Name> {
        self.retries
            .iter()
            .filter(|(_, retry)| retry.due.is_some_and(|due| due <= now))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Records that the retry of this member's probe was sent.
    pub fn mark_started(&mut self, name: &Name) {
        if let Some(retry) = self.retries.get_mut(name) {
            retry.due = None;
        }
    }
}
