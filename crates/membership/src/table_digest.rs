//! Digests of the member table, which let two nodes exchange only the records that differ.
//!
//! The table is divided into buckets, and the name and boot id of a record determine its bucket.
//! The digest of a bucket is a truncated hash over the sorted fingerprints of its records. A node
//! that reports an equal digest therefore vouches for each record in the bucket, and nobody can
//! choose records that produce the digest of other ones.

use sha2::{Digest, Sha256};

use crate::member::{MemberState, Record};

/// The number of buckets of a table. With 1,900 nodes, each bucket holds about 15 records.
pub(crate) const BUCKETS: usize = 128;
/// The number of buckets that one comparison covers.
pub(crate) const BUCKETS_PER_REQUEST: usize = 32;
/// The maximum number of fingerprints in one request. One bit for each of them fits in a `u64`.
pub const MAX_FINGERPRINTS: usize = 56;

/// The hash of one bucket. It is truncated, but long enough that nobody can find a second set of
/// records with the same hash during an exchange.
pub type BucketDigest = [u8; 8];

/// The fingerprint of a record on the wire.
pub type FingerprintBytes = [u8; 8];

/// The hash of a record's name and boot id. View digests are computed from it, and it determines
/// the record's bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IdentityHash(pub(crate) u64);

impl IdentityHash {
    pub(crate) fn new(record: &Record) -> Self {
        let mut hash = Sha256::new();
        hash.update(record.name.as_str().as_bytes());
        hash.update(record.boot_id.0.to_le_bytes());
        IdentityHash(u64::from_le_bytes(truncate(hash)))
    }

    fn bucket(self) -> usize {
        (self.0 >> 32) as usize % BUCKETS
    }
}

/// The hash of all fields of a record except its state. It is truncated, but long enough that
/// nobody can find a second record with the same hash. Fingerprint exchanges list records in this
/// order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Fingerprint(pub(crate) u64);

impl Fingerprint {
    /// The highest possible fingerprint.
    pub(crate) const MAX: Fingerprint = Fingerprint(u64::MAX);

    pub(crate) fn new(record: &Record) -> Self {
        let without_state = Record {
            state: MemberState::Alive,
            ..record.clone()
        };
        let mut hash = Sha256::new();
        hash.update(postcard::to_allocvec(&without_state).expect("records can always be encoded"));
        Fingerprint(u64::from_be_bytes(truncate(hash)))
    }

    pub(crate) fn from_bytes(bytes: FingerprintBytes) -> Self {
        Fingerprint(u64::from_be_bytes(bytes))
    }

    pub(crate) fn to_bytes(self) -> FingerprintBytes {
        self.0.to_be_bytes()
    }

    /// Returns the next fingerprint. The lowest one follows the highest one.
    pub(crate) fn next(self) -> Fingerprint {
        Fingerprint(self.0.wrapping_add(1))
    }
}

fn truncate(hash: Sha256) -> [u8; 8] {
    let hash = hash.finalize();
    std::array::from_fn(|index| hash[index])
}

/// The hashes of one record that a bucket digest is computed from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordHashes {
    pub(crate) identity: IdentityHash,
    pub(crate) fingerprint: Fingerprint,
}

/// A range of consecutive buckets, which continues with the first bucket after the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BucketRange {
    pub(crate) first: usize,
    pub(crate) count: usize,
}

impl BucketRange {
    /// Returns the range of a new request that starts at this bucket.
    pub(crate) fn of_request(first: usize) -> BucketRange {
        BucketRange {
            first,
            count: BUCKETS_PER_REQUEST,
        }
    }

    /// Returns the range of a received request, or `None` if it is not valid.
    pub(crate) fn from_request(first_bucket: u8, count: usize) -> Option<BucketRange> {
        let first = usize::from(first_bucket);
        let is_valid = first < BUCKETS && (1..=BUCKETS_PER_REQUEST).contains(&count);
        is_valid.then_some(BucketRange { first, count })
    }

    /// Returns the position of a record's bucket in this range, or `None` if the bucket is outside
    /// it.
    pub(crate) fn position(&self, identity: IdentityHash) -> Option<usize> {
        let position = (identity.bucket() + BUCKETS - self.first) % BUCKETS;
        (position < self.count).then_some(position)
    }

    /// Returns the bucket that is `count` positions after the first bucket of the range.
    pub(crate) fn bucket_after(&self, count: usize) -> usize {
        (self.first + count) % BUCKETS
    }
}

/// Computes the digest of each bucket in a range. A suspicion does not change the digests, because
/// fingerprints ignore the state.
pub(crate) fn bucket_digests(
    range: BucketRange,
    records: impl Iterator<Item = RecordHashes>,
) -> Vec<BucketDigest> {
    let mut entries: Vec<(usize, Fingerprint)> = records
        .filter_map(|hashes| Some((range.position(hashes.identity)?, hashes.fingerprint)))
        .collect();
    entries.sort_unstable();
    let mut hashes = vec![Sha256::new(); range.count];
    for (position, fingerprint) in entries {
        hashes[position].update(fingerprint.to_bytes());
    }
    hashes.into_iter().map(truncate).collect()
}
