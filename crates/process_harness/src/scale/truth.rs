//! The actual state of all gateways and links, with which the gateways' membership views are
//! compared.

use std::collections::BTreeMap;

use super::layout::Layout;
use super::links::Links;

/// The time in seconds after the start or end of a gateway, or after two regions can reach each
/// other again, in which a declared death of the gateway is not counted as false. The longest
/// suspicion at 1,900 gateways with the default settings lasts 39 s.
pub const GRACE_S: f64 = 60.0;

/// The actual state of all members and links.
#[derive(Clone, Debug)]
pub struct Truth {
    layout: Layout,
    links: Links,
    /// Whether each member lives, by its number.
    lives: Vec<bool>,
    /// The time of each member's last start or end on the monotonic clock, in seconds.
    changed_s: Vec<f64>,
    /// The last time at which a pair of regions could not reach each other, in seconds.
    healed_s: BTreeMap<(usize, usize), f64>,
}

impl Truth {
    /// Creates the state in which all members live and all links are intact.
    pub fn new(layout: Layout) -> Self {
        let members = layout.len();
        Truth {
            layout,
            links: Links::default(),
            lives: vec![true; members],
            changed_s: vec![f64::NEG_INFINITY; members],
            healed_s: BTreeMap::new(),
        }
    }

    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Replaces the network faults.
    pub fn set_links(&mut self, now_s: f64, links: Links) {
        let regions = self.layout.regions;
        for from in 0..regions {
            for to in (0..regions).filter(|to| !self.links.reachable(from, *to, regions)) {
                self.healed_s.insert((from, to), now_s);
            }
        }
        self.links = links;
    }

    /// Records that members have started or ended.
    pub fn set_lives(&mut self, now_s: f64, members: &[usize], lives: bool) {
        for member in members {
            (self.lives[*member], self.changed_s[*member]) = (lives, now_s);
        }
    }

    pub fn lives(&self, member: usize) -> bool {
        self.lives[member]
    }

    /// Returns the number of members that live.
    pub fn living(&self) -> usize {
        self.lives.iter().filter(|lives| **lives).count()
    }

    /// Returns whether it is wrong that `by` declares `member` dead now.
    pub fn false_death(&self, now_s: f64, by: usize, member: usize) -> bool {
        let (from, to) = (self.layout.region(by), self.layout.region(member));
        let healed = self
            .healed_s
            .get(&(from, to))
            .copied()
            .unwrap_or(f64::NEG_INFINITY);
        let grace_is_over = now_s - healed.max(self.changed_s[member]) > GRACE_S;
        self.lives[member] && grace_is_over && self.links.reachable(from, to, self.layout.regions)
    }
}
