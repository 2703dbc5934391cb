//! Waiting statements in the order of release, with sums: an arena of treaps, one for each team and lane.
//! Beside insert and remove it answers, in logarithmic time, three things a plain ordered map cannot: the
//! first that is cheaper than what was just found to have no room, the work ahead of a place, and the sum of all.

use admission::interface::QueuePosition;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What of a statement bears on whether there is room for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceNeed {
    /// Predicted CPU seconds.
    pub cpu: f64,
    pub memory_mb: f64,
}

/// What had no room a moment ago. For one lane room only shrinks with the need, so all that need as much or more of
/// both have none either, until something changes.
#[derive(Clone, Debug, Default)]
pub struct CapacityFrontier {
    least: Vec<ResourceNeed>,
    asked: usize,
}

impl CapacityFrontier {
    /// How many are asked in vain before a lane is left alone until the next round.
    const MOST: usize = 64;

    pub fn record(&mut self, need: ResourceNeed) {
        self.asked += 1;
        self.least
            .retain(|known| known.cpu < need.cpu || known.memory_mb < need.memory_mb);
        self.least.push(need);
    }

    /// Nothing more in this round, whatever it needs.
    pub fn close(&mut self) {
        self.asked = Self::MOST;
    }

    pub fn closed(&self) -> bool {
        self.asked >= Self::MOST
    }

    pub fn is_empty(&self) -> bool {
        self.asked == 0
    }

    pub fn may_have_capacity(&self, need: ResourceNeed) -> bool {
        self.least
            .iter()
            .all(|known| need.cpu < known.cpu || need.memory_mb < known.memory_mb)
    }
}

/// One treap of the arena.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TreapRoot(Option<u32>);

impl TreapRoot {
    pub fn is_empty(self) -> bool {
        self.0.is_none()
    }
}

#[derive(Clone, Debug)]
struct Node {
    position: QueuePosition,
    need: ResourceNeed,
    weight: u64,
    left: Option<u32>,
    right: Option<u32>,
    /// Of the whole subtree.
    least: ResourceNeed,
    cpu: f64,
    count: u32,
}

/// Freed nodes are used again, so it holds as many as waited at once at most.
pub struct TreapArena {
    nodes: Vec<Node>,
    free: Vec<u32>,
    rng: Pcg64Mcg,
}

impl TreapArena {
    /// `seed`: of the shape of the trees only; no order depends on it.
    pub fn new(seed: u64) -> Self {
        TreapArena {
            nodes: Vec::new(),
            free: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn node(&self, at: u32) -> &Node {
        &self.nodes[at as usize]
    }

    fn sum(&mut self, at: u32) {
        let Node {
            need, left, right, ..
        } = *self.node(at);
        let (mut least, mut cpu, mut count) = (need, need.cpu, 1);
        for child in [left, right]
            .into_iter()
            .flatten()
            .map(|child| self.node(child))
        {
            least.cpu = least.cpu.min(child.least.cpu);
            least.memory_mb = least.memory_mb.min(child.least.memory_mb);
            (cpu, count) = (cpu + child.cpu, count + child.count);
        }
        let node = &mut self.nodes[at as usize];
        (node.least, node.cpu, node.count) = (least, cpu, count);
    }

    /// Splits into those before `position` and the rest.
    fn split(&mut self, root: Option<u32>, position: QueuePosition) -> (Option<u32>, Option<u32>) {
        let Some(at) = root else { return (None, None) };
        if self.node(at).position < position {
            let (low, high) = self.split(self.node(at).right, position);
            self.nodes[at as usize].right = low;
            self.sum(at);
            (Some(at), high)
        } else {
            let (low, high) = self.split(self.node(at).left, position);
            self.nodes[at as usize].left = high;
            self.sum(at);
            (low, Some(at))
        }
    }

    fn merge(&mut self, low: Option<u32>, high: Option<u32>) -> Option<u32> {
        let (Some(a), Some(b)) = (low, high) else {
            return low.or(high);
        };
        let top = if self.node(a).weight >= self.node(b).weight {
            self.nodes[a as usize].right = self.merge(self.node(a).right, high);
            a
        } else {
            self.nodes[b as usize].left = self.merge(low, self.node(b).left);
            b
        };
        self.sum(top);
        Some(top)
    }

    /// The place must not be in it yet.
    pub fn insert(&mut self, root: &mut TreapRoot, position: QueuePosition, need: ResourceNeed) {
        let weight = self.rng.random::<u64>();
        let node = Node {
            position,
            need,
            weight,
            left: None,
            right: None,
            least: need,
            cpu: need.cpu,
            count: 1,
        };
        let at = match self.free.pop() {
            Some(at) => {
                self.nodes[at as usize] = node;
                at
            }
            None => {
                self.nodes.push(node);
                (self.nodes.len() - 1) as u32
            }
        };
        let (low, high) = self.split(root.0, position);
        let low = self.merge(low, Some(at));
        root.0 = self.merge(low, high);
    }

    /// False: it was not there.
    pub fn remove(&mut self, root: &mut TreapRoot, position: QueuePosition) -> bool {
        let (low, rest) = self.split(root.0, position);
        let (found, high) = self.split_first(rest, position);
        root.0 = self.merge(low, high);
        found.into_iter().for_each(|at| self.free.push(at));
        found.is_some()
    }

    /// Takes the first off, if it is the one at this place.
    fn split_first(
        &mut self,
        root: Option<u32>,
        position: QueuePosition,
    ) -> (Option<u32>, Option<u32>) {
        let Some(at) = root else { return (None, None) };
        if let Some(left) = self.node(at).left {
            let (found, rest) = self.split_first(Some(left), position);
            self.nodes[at as usize].left = rest;
            self.sum(at);
            return (found, Some(at));
        }
        if self.node(at).position != position {
            return (None, root);
        }
        (Some(at), self.node(at).right)
    }

    pub fn first(&self, root: TreapRoot) -> Option<(QueuePosition, ResourceNeed)> {
        let mut at = root.0?;
        while let Some(left) = self.node(at).left {
            at = left;
        }
        Some((self.node(at).position, self.node(at).need))
    }

    pub fn last(&self, root: TreapRoot) -> Option<(QueuePosition, ResourceNeed)> {
        let mut at = root.0?;
        while let Some(right) = self.node(at).right {
            at = right;
        }
        Some((self.node(at).position, self.node(at).need))
    }

    /// The first that `frontier` does not rule out. Subtrees whose least needs are ruled out are passed over whole.
    pub fn first_with_capacity(
        &self,
        root: TreapRoot,
        frontier: &CapacityFrontier,
    ) -> Option<(QueuePosition, ResourceNeed)> {
        if frontier.closed() {
            return None;
        }
        self.search(root.0, frontier)
    }

    fn search(
        &self,
        root: Option<u32>,
        frontier: &CapacityFrontier,
    ) -> Option<(QueuePosition, ResourceNeed)> {
        let node = self.node(root?);
        if !frontier.may_have_capacity(node.least) {
            return None;
        }
        self.search(node.left, frontier)
            .or_else(|| {
                frontier
                    .may_have_capacity(node.need)
                    .then_some((node.position, node.need))
            })
            .or_else(|| self.search(node.right, frontier))
    }

    /// How many wait before `position`, and the CPU seconds they need.
    pub fn ahead(&self, root: TreapRoot, position: QueuePosition) -> (u32, f64) {
        let (mut at, mut count, mut cpu) = (root.0, 0, 0.0);
        while let Some(node) = at.map(|at| self.node(at)) {
            if node.position < position {
                let (below, work) = node.left.map_or((0, 0.0), |left| {
                    (self.node(left).count, self.node(left).cpu)
                });
                (count, cpu) = (count + below + 1, cpu + work + node.need.cpu);
                at = node.right;
            } else {
                at = node.left;
            }
        }
        (count, cpu)
    }

    /// How many there are, and the CPU seconds they need.
    pub fn all(&self, root: TreapRoot) -> (u32, f64) {
        root.0
            .map_or((0, 0.0), |at| (self.node(at).count, self.node(at).cpu))
    }

    /// All places, in order.
    pub fn positions(&self, root: TreapRoot) -> Vec<QueuePosition> {
        let (mut places, mut stack, mut at) = (Vec::new(), Vec::new(), root.0);
        while at.is_some() || !stack.is_empty() {
            while let Some(down) = at {
                stack.push(down);
                at = self.node(down).left;
            }
            let Some(up) = stack.pop() else { break };
            places.push(self.node(up).position);
            at = self.node(up).right;
        }
        places
    }
}
