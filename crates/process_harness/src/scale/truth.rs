//! Who really lives and can be reached: what the views of the gateways are held against.

use std::collections::BTreeMap;

use super::layout::Layout;
use super::links::Links;

/// So long after a gateway ended or started, or a region came back, its death in another's view is not counted as false:
/// the longest suspicion at 1,900 gateways with the default settings lasts 39 s.
pub const GRACE_S: f64 = 60.0;

/// The state of all members as the run made it.
#[derive(Clone, Debug)]
pub struct Truth {
    layout: Layout,
    links: Links,
    lives: Vec<bool>,
    changed_s: Vec<f64>,
    /// When pairs of regions that could not reach each other could again.
    healed_s: BTreeMap<(usize, usize), f64>,
}

impl Truth {
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

    pub fn set_links(&mut self, now_s: f64, links: Links) {
        let regions = self.layout.regions;
        for from in 0..regions {
            for to in (0..regions).filter(|to| !self.links.reachable(from, *to, regions)) {
                self.healed_s.insert((from, to), now_s);
            }
        }
        self.links = links;
    }

    pub fn set_lives(&mut self, now_s: f64, members: &[usize], lives: bool) {
        for member in members {
            (self.lives[*member], self.changed_s[*member]) = (lives, now_s);
        }
    }

    pub fn lives(&self, member: usize) -> bool {
        self.lives[member]
    }

    pub fn living(&self) -> usize {
        self.lives.iter().filter(|lives| **lives).count()
    }

    /// Whether `by` is wrong to hold `member` for dead now.
    pub fn false_death(&self, now_s: f64, by: usize, member: usize) -> bool {
        let (from, to) = (self.layout.region(by), self.layout.region(member));
        let healed = self
            .healed_s
            .get(&(from, to))
            .copied()
            .unwrap_or(f64::NEG_INFINITY);
        let steady = now_s - healed.max(self.changed_s[member]) > GRACE_S;
        self.lives[member] && steady && self.links.reachable(from, to, self.layout.regions)
    }
}
