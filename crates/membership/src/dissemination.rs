//! SWIM's infection-style dissemination: membership updates are piggybacked on other messages.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use admission::interface::Timestamp;

use crate::member::Name;
use crate::rate_limiter::ByteBudget;
use crate::traffic_limits::TrafficLimits;

/// The number of transmissions of an update is this factor times the binary logarithm of the
/// fleet's size, which is rounded up.
pub(crate) const RETRANSMIT_MULTIPLIER: f64 = 3.0;
/// The maximum number of queued updates under traffic limits. A new update evicts the one that was
/// transmitted most often.
const MAX_UPDATES: usize = 128;
/// How many seconds' worth of gossip bytes the budget holds under traffic limits.
const BURST_S: f64 = 2.0;

/// Returns how many times an update is transmitted in a fleet of this size.
#[must_use]
pub fn transmissions(fleet_size: usize) -> u32 {
    (RETRANSMIT_MULTIPLIER * (fleet_size as f64).log2().ceil()) as u32
}

/// The members whose record is being disseminated, and how many transmissions each has left.
#[derive(Clone, Debug)]
pub struct DisseminationQueue {
    remaining: BTreeMap<Name, u32>,
    /// The budget for the bytes of updates, or `None` if they may fill a message.
    budget: Option<ByteBudget>,
}

impl DisseminationQueue {
    /// Creates an empty queue. With traffic limits, the bytes of updates are bounded.
    #[must_use]
    pub fn new(limits: Option<&TrafficLimits>) -> Self {
        DisseminationQueue {
            remaining: BTreeMap::new(),
            budget: budget(limits),
        }
    }

    /// Replaces the traffic limits and keeps the queued updates.
    pub fn set_limits(&mut self, limits: Option<&TrafficLimits>) {
        self.budget = budget(limits);
    }

    /// Queues the record of a member for this many transmissions.
    pub fn enqueue(&mut self, name: &Name, transmissions: u32) {
        self.remaining.insert(name.clone(), transmissions);
        if self.budget.is_some() && self.remaining.len() > MAX_UPDATES {
            self.evict_most_transmitted();
        }
    }

    /// Removes the update with the fewest transmissions left.
    fn evict_most_transmitted(&mut self) {
        let most_transmitted = self
            .remaining
            .iter()
            .min_by_key(|(_, remaining)| **remaining)
            .map(|(name, _)| name.clone());
        if let Some(name) = most_transmitted {
            self.remaining.remove(&name);
        }
    }

    /// Returns whether the record of this member is queued.
    #[must_use]
    pub fn contains(&self, name: &Name) -> bool {
        self.remaining.contains_key(name)
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }

    /// Returns the members of up to `count` updates, ordered by most transmissions left and then by
    /// name.
    #[must_use]
    pub fn least_transmitted(&self, count: usize) -> Vec<Name> {
        let mut names: Vec<(u32, &Name)> = self
            .remaining
            .iter()
            .map(|(name, remaining)| (*remaining, name))
            .collect();
        // The map is ordered by name, and the stable sort keeps that order among equals.
        names.sort_by_key(|(remaining, _)| Reverse(*remaining));
        names
            .into_iter()
            .take(count)
            .map(|(_, name)| name.clone())
            .collect()
    }

    /// Counts one transmission of an update, by this node or by another one.
    pub fn mark_transmitted(&mut self, name: &Name) {
        let Some(remaining) = self.remaining.get_mut(name) else {
            return;
        };
        *remaining -= 1;
        if *remaining == 0 {
            self.remaining.remove(name);
        }
    }

    /// Removes an update.
    pub fn remove(&mut self, name: &Name) {
        self.remaining.remove(name);
    }

    /// Returns how many bytes updates may take now, or `None` if they may fill the message.
    pub fn available_bytes(&mut self, now: Timestamp) -> Option<usize> {
        let budget = self.budget.as_mut()?;
        Some(budget.available(now).max(0.0) as usize)
    }

    /// Subtracts the bytes that updates took from the budget.
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
