//! How long the first statement of each sub-queue has been passed over by those of others.

use std::collections::BTreeSet;

use admission::interface::{TimeDelta, Timestamp};

use crate::config::SubQueueId;

/// Since when each sub-queue where something waits has had no release.
pub(crate) struct PassedOver {
    /// By sub-queue; none: nothing waits there.
    since: Vec<Option<Timestamp>>,
    /// The longest passed over first.
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

    /// Other sub-queues, in which nothing waits yet.
    pub(crate) fn relayout(&mut self, sub_queues: usize) {
        self.since = vec![None; sub_queues];
        self.by_time.clear();
    }

    /// Something waits in a sub-queue that was empty.
    pub(crate) fn start(&mut self, now: Timestamp, sub_queue: SubQueueId) {
        self.since[sub_queue.index()] = Some(now);
        self.by_time.insert((now, sub_queue));
    }

    /// A sub-queue is empty now.
    pub(crate) fn stop(&mut self, sub_queue: SubQueueId) {
        if let Some(since) = self.since[sub_queue.index()].take() {
            self.by_time.remove(&(since, sub_queue));
        }
    }

    /// A statement of the sub-queue was released: what still waits there is passed over from now on.
    pub(crate) fn restart(&mut self, now: Timestamp, sub_queue: SubQueueId) {
        if self.since[sub_queue.index()].is_some() {
            self.stop(sub_queue);
            self.start(now, sub_queue);
        }
    }

    /// Since when a sub-queue has been passed over.
    pub(crate) fn since(&self, sub_queue: SubQueueId) -> Option<Timestamp> {
        self.since[sub_queue.index()]
    }

    /// Sub-queues where something waits, the longest passed over first.
    pub(crate) fn longest_first(&self) -> impl Iterator<Item = (Timestamp, SubQueueId)> {
        self.by_time.iter().copied()
    }

    /// A sub-queue was passed over for so long.
    pub(crate) fn record(&mut self, duration: TimeDelta) {
        self.longest = self.longest.max(duration);
    }

    /// The longest that was recorded.
    pub(crate) fn longest(&self) -> TimeDelta {
        self.longest
    }
}
