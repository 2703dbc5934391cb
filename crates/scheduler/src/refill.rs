//! Timers for the time at which a budget covers a first statement again.

use std::collections::{BTreeMap, BTreeSet};

use admission::interface::Timestamp;

use crate::config::{SubQueueId, TenantQueueId};

/// A node of the tenant tree that has an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TreeNode {
    SubQueue(SubQueueId),
    Tenant(TenantQueueId),
}

/// At most one timer for each node, ordered by expiry.
#[derive(Debug, Default)]
pub(crate) struct RefillTimers {
    by_time: BTreeSet<(Timestamp, TreeNode)>,
    by_node: BTreeMap<TreeNode, Timestamp>,
}

impl RefillTimers {
    /// Replaces the timer of a node. With `None`, the node has no timer.
    pub(crate) fn set(&mut self, node: TreeNode, time: Option<Timestamp>) {
        let current = self.by_node.get(&node).copied();
        if current == time {
            return;
        }
        if let Some(current) = current {
            self.by_time.remove(&(current, node));
        }
        match time {
            Some(time) => {
                self.by_time.insert((time, node));
                self.by_node.insert(node, time);
            }
            None => {
                self.by_node.remove(&node);
            }
        }
    }

    /// Removes and returns the first timer that has expired, or `None` if there is none.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<TreeNode> {
        let (time, node) = *self.by_time.first()?;
        if time > now {
            return None;
        }
        self.by_time.remove(&(time, node));
        self.by_node.remove(&node);
        Some(node)
    }
}
