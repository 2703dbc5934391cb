//! The order in which members are probed, and random samples of records.

use rand::RngExt;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::member::{Name, Record};

/// SWIM's round-robin probing: each round visits all members of the fleet once, in random order.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeRound {
    remaining: Vec<Name>,
}

impl ProbeRound {
    /// Returns the next member of the round that is still in the fleet, starting a new round after
    /// the last one. Returns `None` if the fleet is empty.
    pub(crate) fn next(
        &mut self,
        fleet: impl Fn() -> Vec<Name>,
        is_in_fleet: impl Fn(&Name) -> bool,
        rng: &mut Pcg64Mcg,
    ) -> Option<Name> {
        if let Some(name) = self.pop(&is_in_fleet) {
            return Some(name);
        }
        self.begin(fleet(), rng);
        if let Some(name) = self.pop(&is_in_fleet) {
            return Some(name);
        }
        self.begin(fleet(), rng);
        None
    }

    fn pop(&mut self, is_in_fleet: impl Fn(&Name) -> bool) -> Option<Name> {
        while let Some(name) = self.remaining.pop() {
            if is_in_fleet(&name) {
                return Some(name);
            }
        }
        None
    }

    fn begin(&mut self, mut fleet: Vec<Name>, rng: &mut Pcg64Mcg) {
        fleet.shuffle(rng);
        self.remaining = fleet;
    }
}

/// Returns a random sample of `count` records, or all records if there are fewer.
pub(crate) fn sample<'a>(
    records: impl Iterator<Item = &'a Record>,
    count: usize,
    rng: &mut Pcg64Mcg,
) -> Vec<&'a Record> {
    let mut records: Vec<&Record> = records.collect();
    let count = count.min(records.len());
    for index in 0..count {
        let other = rng.random_range(index..records.len());
        records.swap(index, other);
    }
    records.truncate(count);
    records
}

/// Returns a random record, or `None` if there is none.
pub(crate) fn sample_one<'a>(
    records: impl Iterator<Item = &'a Record>,
    rng: &mut Pcg64Mcg,
) -> Option<&'a Record> {
    sample(records, 1, rng).first().copied()
}
