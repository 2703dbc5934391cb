//! How long each sub-queue with waiting statements has been passed over in favor of others.

use std::collections::BTreeSet;

use admission::interface::{TimeDelta, Timestamp};

use crate::config::SubQueueId;

/// The time since which each sub-queue with waiting statements has had no release.
pub(crate) struct PassedOver {
    /// The time by sub-queue; `None` if nothing waits there.
    since: Vec<Option<Timestamp>>,
    /// The same times in order, the longest passed over first.
    by_time: BTreeSet<(Timestamp, SubQueueId)>,
    longest: TimeDelta,
}

impl PassedOver {
    pub(crate) fn new(sub_queues: usize) -> Self {
        PassedOver {
            since: vec![None; sub_queues],
            by_time: BTreeSet::new(),
            longest: TimeDelta::ZERO,
        }
    }

    /// Replaces the sub-queues by new ones, in which nothing waits yet.
    pub(crate) fn replace_sub_queues(&mut self, sub_queues: usize) {
        self.since = vec![None; sub_queues];
        self.by_time.clear();
    }

    /// Records that an empty sub-queue has its first waiting statement.
    pub(crate) fn start(&mut self, now: Timestamp, sub_queue: SubQueueId) {
        self.since[sub_queue.index()] = Some(now);
        self.by_time.insert((now, sub_queue));
    }

    /// Records that a sub-queue has become empty.
    pub(crate) fn stop(&mut self, sub_queue: SubQueueId) {
        if let Some(since) = self.since[sub_queue.index()].take() {
            self.by_time.remove(&(since, sub_queue));
        }
    }

    /// Restarts the measurement after a release from the sub-queue, if more statements wait there.
    pub(crate) fn restart(&mut self, now: Timestamp, sub_queue: SubQueueId) {
        if self.since[sub_queue.index()].is_some() {
            self.stop(sub_queue);
            self.start(now, sub_queue);
        }
    }

    /// The time since which a sub-queue has been passed over, or `None` if nothing waits there.
    pub(crate) fn since(&self, sub_queue: SubQueueId) -> Option<Timestamp> {
        self.since[sub_queue.index()]
    }

    /// The sub-queues with waiting statements, the longest passed over first.
    pub(crate) fn longest_first(&self) -> impl Iterator<Item = (Timestamp, SubQueueId)> {
        self.by_time.iter().copied()
    }

    /// Records that a sub-queue has been passed over for this time.
    pub(crate) fn record(&mut self, duration: TimeDelta) {
        self.longest = self.longest.max(duration);
    }

    /// The longest recorded time.
    pub(crate) fn longest(&self) -> TimeDelta {
        self.longest
    }
}
