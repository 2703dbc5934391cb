//! An ordered collection of waiting statements with subtree sums: an arena of treaps, one for each
//! sub-queue and query class.
//!
//! Besides insertion and removal, it answers two queries in logarithmic time that a plain ordered
//! map cannot: the first statement that needs less than what was just found to lack capacity, and
//! the work ahead of a position.

use admission::interface::QueuePosition;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::frontier::{CapacityFrontier, ResourceNeed};

/// A statement in a treap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedStatement {
    /// Its position in the release order.
    pub position: QueuePosition,
    /// The resources it needs.
    pub need: ResourceNeed,
}

/// A number of statements and the sum of their predicted cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// The number of statements.
    pub statements: u32,
    /// The sum of their predicted CPU seconds.
    pub cpu: f64,
}

/// The index of a node in the arena.
type NodeIndex = u32;

/// The root of one treap in the arena; the default is an empty treap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TreapRoot(Option<NodeIndex>);

impl TreapRoot {
    /// Whether the treap holds no statement.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.0.is_none()
    }
}

#[derive(Clone, Debug)]
struct Node {
    statement: QueuedStatement,
    /// A random number. The priority of a parent is at least that of its children.
    priority: u64,
    left: Option<NodeIndex>,
    right: Option<NodeIndex>,
    /// The minimum of each resource over the needs in the subtree.
    min_need: ResourceNeed,
    /// The sums over the subtree.
    work: Work,
}

/// The two parts of a split treap, in order.
struct Split {
    before: Option<NodeIndex>,
    after: Option<NodeIndex>,
}

/// The nodes of many treaps. Freed nodes are reused, so the arena never holds more nodes than the
/// highest number of statements that waited at once.
pub struct TreapArena {
    nodes: Vec<Node>,
    free: Vec<NodeIndex>,
    rng: Pcg64Mcg,
}

impl TreapArena {
    /// Creates an arena without nodes. `seed` determines only the shape of the treaps, which does
    /// not affect any order.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        TreapArena {
            nodes: Vec::new(),
            free: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Inserts a statement. The treap must not contain its position yet.
    pub fn insert(&mut self, root: &mut TreapRoot, position: QueuePosition, need: ResourceNeed) {
        let node = Node {
            statement: QueuedStatement { position, need },
            priority: self.rng.random::<u64>(),
            left: None,
            right: None,
            min_need: need,
            work: Work {
                statements: 1,
                cpu: need.cpu,
            },
        };
        let index = self.store(node);
        let Split { before, after } = self.split(root.0, position);
        let before = self.merge(before, Some(index));
        root.0 = self.merge(before, after);
    }

    /// Removes the statement at this position. Returns whether there was one.
    pub fn remove(&mut self, root: &mut TreapRoot, position: QueuePosition) -> bool {
        let Split { before, after } = self.split(root.0, position);
        let (found, after) = self.take_first_if(after, position);
        root.0 = self.merge(before, after);
        self.free.extend(found);
        found.is_some()
    }

    /// The first statement, or `None` if the treap is empty.
    #[must_use]
    pub fn first(&self, root: TreapRoot) -> Option<QueuedStatement> {
        let mut index = root.0?;
        while let Some(left) = self.node(index).left {
            index = left;
        }
        Some(self.node(index).statement)
    }

    /// The last statement, or `None` if the treap is empty.
    #[must_use]
    pub fn last(&self, root: TreapRoot) -> Option<QueuedStatement> {
        let mut index = root.0?;
        while let Some(right) = self.node(index).right {
            index = right;
        }
        Some(self.node(index).statement)
    }

    /// The first statement that the frontier does not rule out. The search skips a subtree if the
    /// frontier rules out its minimum need.
    #[must_use]
    pub fn first_with_capacity(
        &self,
        root: TreapRoot,
        frontier: &CapacityFrontier,
    ) -> Option<QueuedStatement> {
        if frontier.is_closed() {
            return None;
        }
        self.search(root.0, frontier)
    }

    /// The work ahead of this position.
    #[must_use]
    pub fn ahead(&self, root: TreapRoot, position: QueuePosition) -> Work {
        let mut ahead = Work::default();
        let mut next = root.0;
        while let Some(index) = next {
            let node = self.node(index);
            if node.statement.position >= position {
                next = node.left;
                continue;
            }
            let left = node
                .left
                .map_or_else(Work::default, |left| self.node(left).work);
            ahead.statements += left.statements + 1;
            ahead.cpu = ahead.cpu + left.cpu + node.statement.need.cpu;
            next = node.right;
        }
        ahead
    }

    /// All positions, in order.
    #[must_use]
    pub fn positions(&self, root: TreapRoot) -> Vec<QueuePosition> {
        let mut positions = Vec::new();
        let mut ancestors = Vec::new();
        let mut next = root.0;
        loop {
            while let Some(index) = next {
                ancestors.push(index);
                next = self.node(index).left;
            }
            let Some(index) = ancestors.pop() else {
                return positions;
            };
            positions.push(self.node(index).statement.position);
            next = self.node(index).right;
        }
    }

    fn node(&self, index: NodeIndex) -> &Node {
        &self.nodes[index as usize]
    }

    fn node_mut(&mut self, index: NodeIndex) -> &mut Node {
        &mut self.nodes[index as usize]
    }

    fn store(&mut self, node: Node) -> NodeIndex {
        let Some(index) = self.free.pop() else {
            self.nodes.push(node);
            return (self.nodes.len() - 1) as NodeIndex;
        };
        *self.node_mut(index) = node;
        index
    }

    /// Recomputes the subtree data of a node from its children.
    fn update(&mut self, index: NodeIndex) {
        let node = self.node(index);
        let mut min_need = node.statement.need;
        let mut work = Work {
            statements: 1,
            cpu: node.statement.need.cpu,
        };
        for child in [node.left, node.right].into_iter().flatten() {
            let child = self.node(child);
            min_need.cpu = min_need.cpu.min(child.min_need.cpu);
            min_need.memory_mb = min_need.memory_mb.min(child.min_need.memory_mb);
            work.cpu += child.work.cpu;
            work.statements += child.work.statements;
        }
        let node = self.node_mut(index);
        node.min_need = min_need;
        node.work = work;
    }

    /// Splits a treap into the statements before `position` and the rest.
    fn split(&mut self, root: Option<NodeIndex>, position: QueuePosition) -> Split {
        let Some(index) = root else {
            return Split {
                before: None,
                after: None,
            };
        };
        if self.node(index).statement.position < position {
            let right = self.split(self.node(index).right, position);
            self.node_mut(index).right = right.before;
            self.update(index);
            return Split {
                before: Some(index),
                after: right.after,
            };
        }
        let left = self.split(self.node(index).left, position);
        self.node_mut(index).left = left.after;
        self.update(index);
        Split {
            before: left.before,
            after: Some(index),
        }
    }

    /// Joins two treaps. All statements of `before` must precede all those of `after`.
    fn merge(&mut self, before: Option<NodeIndex>, after: Option<NodeIndex>) -> Option<NodeIndex> {
        let (Some(first), Some(second)) = (before, after) else {
            return before.or(after);
        };
        let top = if self.node(first).priority >= self.node(second).priority {
            let right = self.merge(self.node(first).right, after);
            self.node_mut(first).right = right;
            first
        } else {
            let left = self.merge(before, self.node(second).left);
            self.node_mut(second).left = left;
            second
        };
        self.update(top);
        Some(top)
    }

    /// Removes the first node of a treap if it is at this position. Returns the removed node and
    /// the root of the remaining treap.
    fn take_first_if(
        &mut self,
        root: Option<NodeIndex>,
        position: QueuePosition,
    ) -> (Option<NodeIndex>, Option<NodeIndex>) {
        let Some(index) = root else {
            return (None, None);
        };
        if let Some(left) = self.node(index).left {
            let (found, rest) = self.take_first_if(Some(left), position);
            self.node_mut(index).left = rest;
            self.update(index);
            return (found, Some(index));
        }
        if self.node(index).statement.position != position {
            return (None, root);
        }
        (Some(index), self.node(index).right)
    }

    fn search(
        &self,
        root: Option<NodeIndex>,
        frontier: &CapacityFrontier,
    ) -> Option<QueuedStatement> {
        let node = self.node(root?);
        if !frontier.may_have_capacity(node.min_need) {
            return None;
        }
        if let Some(found) = self.search(node.left, frontier) {
            return Some(found);
        }
        if frontier.may_have_capacity(node.statement.need) {
            return Some(node.statement);
        }
        self.search(node.right, frontier)
    }
}
