//! SWIM's infection-style dissemination: updates that go on the back of other messages.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use admission::interface::Timestamp;

use crate::member::Name;
use crate::rate_limiter::ByteBudget;
use crate::traffic_limits::TrafficLimits;

/// An update is told this many times the logarithm of the fleet's size.
pub(crate) const RETRANSMIT_MULTIPLIER: f64 = 3.0;
/// Updates that wait to be told at most, with traffic limits; the one told most often makes room.
const MAX_UPDATES: usize = 128;
/// Seconds of gossip that may be saved up, with traffic limits.
const BURST_S: f64 = 2.0;

/// How many times an update is told to a fleet of so many.
#[must_use]
pub fn transmissions(fleet_size: usize) -> u32 {
    (RETRANSMIT_MULTIPLIER * (fleet_size as f64).log2().ceil()) as u32
}

/// Members whose record is to be told on, and how often still.
#[derive(Clone, Debug)]
pub struct DisseminationQueue {
    remaining: BTreeMap<Name, u32>,
    /// Bytes that updates may take; none: as many as fit.
    budget: Option<ByteBudget>,
}

impl DisseminationQueue {
    /// An empty queue; with traffic limits its bytes are bounded.
    #[must_use]
    pub fn new(limits: Option<&TrafficLimits>) -> Self {
        DisseminationQueue {
            remaining: BTreeMap::new(),
            budget: budget(limits),
        }
    }

    /// Other limits from now on; the updates stay.
    pub fn set_limits(&mut self, limits: Option<&TrafficLimits>) {
        self.budget = budget(limits);
    }

    /// Tells a member's record so many times from now on.
    pub fn enqueue(&mut self, name: &Name, transmissions: u32) {
        self.remaining.insert(name.clone(), transmissions);
        if self.budget.is_some() && self.remaining.len() > MAX_UPDATES {
            self.evict();
        }
    }

    /// Drops the update that was told most often.
    fn evict(&mut self) {
        let most_told = self
            .remaining
            .iter()
            .min_by_key(|(_, remaining)| **remaining)
            .map(|(name, _)| name.clone());
        if let Some(name) = most_told {
            self.remaining.remove(&name);
        }
    }

    /// Whether this member's record is being told.
    #[must_use]
    pub fn contains(&self, name: &Name) -> bool {
        self.remaining.contains_key(name)
    }

    /// Nothing is to be told.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }

    /// Names of so many updates, the least told first, by name among equals.
    #[must_use]
    pub fn least_transmitted(&self, count: usize) -> Vec<Name> {
        let mut names: Vec<(u32, &Name)> = self
            .remaining
            .iter()
            .map(|(name, remaining)| (*remaining, name))
            .collect();
        // The map has them by name, and the sort keeps that order among equals.
        names.sort_by_key(|(remaining, _)| Reverse(*remaining));
        names
            .into_iter()
            .take(count)
            .map(|(_, name)| name.clone())
            .collect()
    }

    /// An update was told once, by this node or by another.
    pub fn mark_transmitted(&mut self, name: &Name) {
        let Some(remaining) = self.remaining.get_mut(name) else {
            return;
        };
        *remaining -= 1;
        if *remaining == 0 {
            self.remaining.remove(name);
        }
    }

    /// Drops an update.
    pub fn remove(&mut self, name: &Name) {
        self.remaining.remove(name);
    }

    /// Bytes that updates may take now; `None`: as many as fit.
    pub fn available_bytes(&mut self, now: Timestamp) -> Option<usize> {
        let budget = self.budget.as_mut()?;
        Some(budget.available(now).max(0.0) as usize)
    }

    /// Updates took so many bytes.
    pub fn spend_bytes(&mut self, bytes: usize) {
        if let Some(budget) = &mut self.budget {
            budget.spend(bytes as f64);
        }
    }
}

fn budget(limits: Option<&TrafficLimits>) -> Option<ByteBudget> {
    let bytes_per_s = limits?.gossip_bytes_per_s;
    Some(ByteBudget::new(bytes_per_s, bytes_per_s * BURST_S))
}
