//! With traffic limits: failed probes that are repeated before their targets are suspected.

use std::collections::BTreeMap;

use admission::interface::Timestamp;

use crate::member::Name;

/// Members whose failed probe is being repeated, at most: of many that fail at once other nodes repeat as well.
const MAX_MEMBERS: usize = 2;

/// A member whose probe failed.
#[derive(Clone, Copy, Debug)]
struct Retry {
    /// Failed probes in a row.
    failures: usize,
    /// When it is probed again; `None` while that probe runs.
    due: Option<Timestamp>,
}

/// What follows a failed probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureOutcome {
    /// It is repeated first, here or by other nodes.
    Retry,
    /// It failed often enough.
    Suspect,
}

/// Members whose failed probe is repeated before anything is said of them.
#[derive(Clone, Debug, Default)]
pub struct ProbeRetries {
    retries: BTreeMap<Name, Retry>,
}

impl ProbeRetries {
    /// A probe of a member failed. It is suspected after as many repeats as `confirmations` says.
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
        if self.retries.len() < MAX_MEMBERS || self.contains(name) {
            let due = Some(now);
            self.retries.insert(name.clone(), Retry { failures, due });
        }
        FailureOutcome::Retry
    }

    /// It answered, or needs no repeats any more.
    pub fn clear(&mut self, name: &Name) {
        self.retries.remove(name);
    }

    /// Whether probes of this member are being repeated.
    #[must_use]
    pub fn contains(&self, name: &Name) -> bool {
        self.retries.contains_key(name)
    }

    /// Failed probes of this member in a row.
    #[must_use]
    pub fn failures(&self, name: &Name) -> Option<usize> {
        self.retries.get(name).map(|retry| retry.failures)
    }

    /// When the next repeat is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Timestamp> {
        self.retries.values().filter_map(|retry| retry.due).min()
    }

    /// Members whose repeat is due, in the order of their names.
    #[must_use]
    pub fn due(&self, now: Timestamp) -> Vec<Name> {
        self.retries
            .iter()
            .filter(|(_, retry)| retry.due.is_some_and(|due| due <= now))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// The repeat of this member's probe is sent.
    pub fn mark_started(&mut self, name: &Name) {
        if let Some(retry) = self.retries.get_mut(name) {
            retry.due = None;
        }
    }
}
