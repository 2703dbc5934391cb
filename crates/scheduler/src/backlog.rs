//! The amount of waiting work in each sub-queue and in total, and the sub-queue with the highest
//! load for its budget.

use std::collections::BTreeSet;

use crate::config::{QueueLimit, SubQueueId};
use crate::float_key::FloatKey;
use crate::frontier::ResourceNeed;
use crate::treap::Work;

/// The smallest budget, in CPU seconds per second, used to compute a load. Without it, a sub-queue
/// without a budget would always have the highest load.
const MIN_BUDGET: f64 = 0.01;

/// The load of a sub-queue: the time in seconds that its budget would take to release the waiting
/// CPU seconds.
pub(crate) fn load(waiting_cpu: f64, budget: f64) -> f64 {
    waiting_cpu / budget.max(MIN_BUDGET)
}

/// Whether one more statement with this need stays within the limit. An empty queue accepts any
/// statement.
pub(crate) fn fits(limit: QueueLimit, waiting: Work, need: ResourceNeed) -> bool {
    let within_limit = waiting.statements < limit.statements && waiting.cpu + need.cpu <= limit.cpu;
    waiting.statements == 0 || within_limit
}

/// Sums over the statements in the class queues.
pub(crate) struct Backlog {
    total: Work,
    sub_queues: Vec<Work>,
    /// The sub-queues with waiting statements, ordered by load.
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

    /// Adds a statement. `budget` is the current budget of the sub-queue, in CPU seconds per
    /// second.
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

    /// Subtracts a statement. `budget` is the current budget of the sub-queue, in CPU seconds per
    /// second.
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

    /// The highest load and its sub-queue, or `None` if nothing waits.
    pub(crate) fn heaviest(&self) -> Option<(f64, SubQueueId)> {
        let (load, sub_queue) = self.by_load.last()?;
        Some((load.value(), *sub_queue))
    }

    /// The sub-queues with waiting statements, highest load first.
    pub(crate) fn heaviest_first(&self) -> impl Iterator<Item = SubQueueId> {
        self.by_load.iter().rev().map(|(_, sub_queue)| *sub_queue)
    }
}

fn subtract(waiting: &mut Work, cpu: f64) {
    waiting.statements -= 1;
    // Rounding errors accumulate in the sum, so an empty queue is reset to exactly zero.
    waiting.cpu = if waiting.statements == 0 {
        0.0
    } else {
        (waiting.cpu - cpu).max(0.0)
    };
}
