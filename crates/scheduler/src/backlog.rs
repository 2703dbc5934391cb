//! How much waits in each sub-queue and in all, and which sub-queue has the most waiting for what it is guaranteed.

use std::collections::BTreeSet;

use crate::config::{QueueLimit, SubQueueId};
use crate::float_key::FloatKey;
use crate::frontier::ResourceNeed;
use crate::treap::Work;

/// A sub-queue's load is weighed by a budget of at least this: one without a budget must not always weigh most.
const MIN_BUDGET: f64 = 0.01;

/// Waiting CPU seconds for each CPU second a second of budget: the time that it would take to release them.
pub(crate) fn load(waiting_cpu: f64, budget: f64) -> f64 {
    waiting_cpu / budget.max(MIN_BUDGET)
}

/// Whether one more statement of this need stays within the limit. Into an empty queue any goes.
pub(crate) fn fits(limit: QueueLimit, waiting: Work, need: ResourceNeed) -> bool {
    let within_limit = waiting.statements < limit.statements && waiting.cpu + need.cpu <= limit.cpu;
    waiting.statements == 0 || within_limit
}

/// Sums of the statements that stand in class queues.
pub(crate) struct Backlog {
    total: Work,
    sub_queues: Vec<Work>,
    /// Sub-queues where something waits.
    by_load: BTreeSet<(FloatKey, SubQueueId)>,
}

impl Backlog {
    pub(crate) fn new(sub_queues: usize) -> Self {
        Backlog {
            total: Work::default(),
            sub_queues: vec![Work::default(); sub_queues],
            by_load: BTreeSet::new(),
        }
    }

    pub(crate) fn total(&self) -> Work {
        self.total
    }

    pub(crate) fn of(&self, sub_queue: SubQueueId) -> Work {
        self.sub_queues[sub_queue.index()]
    }

    /// Adds a statement. `budget`: the sub-queue's at present.
    pub(crate) fn add(&mut self, sub_queue: SubQueueId, cpu: f64, budget: f64) {
        let waiting = &mut self.sub_queues[sub_queue.index()];
        if waiting.statements > 0 {
            let key = FloatKey::new(load(waiting.cpu, budget));
            self.by_load.remove(&(key, sub_queue));
        }
        waiting.statements += 1;
        waiting.cpu += cpu;
        let key = FloatKey::new(load(waiting.cpu, budget));
        self.by_load.insert((key, sub_queue));
        self.total.statements += 1;
        self.total.cpu += cpu;
    }

    /// Takes a statement off. `budget`: the sub-queue's at present.
    pub(crate) fn subtract(&mut self, sub_queue: SubQueueId, cpu: f64, budget: f64) {
        let waiting = &mut self.sub_queues[sub_queue.index()];
        let key = FloatKey::new(load(waiting.cpu, budget));
        self.by_load.remove(&(key, sub_queue));
        subtract(waiting, cpu);
        if waiting.statements > 0 {
            let key = FloatKey::new(load(waiting.cpu, budget));
            self.by_load.insert((key, sub_queue));
        }
        subtract(&mut self.total, cpu);
    }

    /// The sub-queue with the most load, and its load.
    pub(crate) fn heaviest(&self) -> Option<(f64, SubQueueId)> {
        let (load, sub_queue) = self.by_load.last()?;
        Some((load.value(), *sub_queue))
    }

    /// Sub-queues where something waits, the most load first.
    pub(crate) fn heaviest_first(&self) -> impl Iterator<Item = SubQueueId> {
        self.by_load.iter().rev().map(|(_, sub_queue)| *sub_queue)
    }
}

fn subtract(waiting: &mut Work, cpu: f64) {
    waiting.statements -= 1;
    // Sums of floats leave a remainder.
    waiting.cpu = if waiting.statements == 0 {
        0.0
    } else {
        (waiting.cpu - cpu).max(0.0)
    };
}
