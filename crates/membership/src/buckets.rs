//! A table divided into buckets, each with a digest, so that two gateways exchange only what differs between their tables.
//!
//! A record's bucket follows from its name and life. A digest is a cut hash over the hashes of the bucket's records in their
//! order: whoever says that two digests are equal vouches for each record of that bucket, and nobody can choose records
//! that give the digest of others.

use sha2::{Digest, Sha256};

use crate::who::{Record, State};

/// Buckets of a table: some 15 records in each at 1,900 gateways.
pub(crate) const BUCKETS: usize = 128;
/// Buckets that one comparison covers.
pub(crate) const WINDOW: usize = 32;

/// Hash of one bucket, cut to what nobody can find a second set of records for within a comparison's time.
pub type BucketDigest = [u8; 8];

/// The bucket of a record by its mark (see [`mark`]).
fn bucket_of(mark: u64) -> usize {
    (mark >> 32) as usize % BUCKETS
}

/// Hash of name and life.
pub(crate) fn mark(record: &Record) -> u64 {
    let mut hash = Sha256::new();
    hash.update(record.name.as_str().as_bytes());
    hash.update(record.life.0.to_le_bytes());
    let hash = hash.finalize();
    u64::from_le_bytes(std::array::from_fn(|at| hash[at]))
}

/// Records that one list names at most, so that a bit for each fits in one number.
pub const LISTED: usize = 56;

/// Hash of all that a record says but its state, cut to what nobody can find a second record for; by it records have an order.
pub type ExactMark = [u8; 8];

/// The mark as a number, in whose order lists go.
pub(crate) fn exact_mark(record: &Record) -> u64 {
    let plain = Record {
        state: State::Alive,
        ..record.clone()
    };
    let hash = Sha256::digest(postcard::to_allocvec(&plain).expect("plain values"));
    u64::from_be_bytes(std::array::from_fn(|at| hash[at]))
}

/// Buckets next to each other, from `first` on and around the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Window {
    pub(crate) first: usize,
    pub(crate) count: usize,
}

impl Window {
    /// `None`: no window of a table.
    pub(crate) fn new(first: usize, count: usize) -> Option<Window> {
        let usable = first < BUCKETS && (1..=WINDOW).contains(&count);
        usable.then_some(Window { first, count })
    }

    /// Which bucket of this window a mark falls in, counted from its first.
    pub(crate) fn place(&self, mark: u64) -> Option<usize> {
        let locality = (bucket_of(mark) + BUCKETS - self.first) % BUCKETS;
        (locality < self.count).then_some(locality)
    }

    /// The first bucket of the window that begins `by` buckets further on.
    pub(crate) fn after(&self, by: usize) -> usize {
        (self.first + by) % BUCKETS
    }
}

/// A record's part in digests: the mark that says its bucket, and the mark of all that it says.
pub(crate) type Marks = (u64, u64);

/// Digests of a window's buckets over these records. A suspicion changes no digest.
pub(crate) fn digests(window: Window, records: impl Iterator<Item = Marks>) -> Vec<BucketDigest> {
    let mut placed: Vec<(usize, u64)> = records
        .filter_map(|(mark, exact)| Some((window.place(mark)?, exact)))
        .collect();
    placed.sort_unstable();
    let mut hashes = vec![Sha256::new(); window.count];
    for (locality, exact) in placed {
        hashes[locality].update(exact.to_be_bytes());
    }
    let cut = |hash: Sha256| {
        let hash = hash.finalize();
        std::array::from_fn(|at| hash[at])
    };
    hashes.into_iter().map(cut).collect()
}
