//! Digests of a table, so that two nodes exchange only what differs between their tables.
//!
//! A table is divided into buckets; a record's bucket follows from its name and boot. A bucket's digest is a truncated hash
//! over the fingerprints of its records in their order: whoever says that two digests are equal vouches for each record of
//! that bucket, and nobody can choose records that give the digest of others.

use sha2::{Digest, Sha256};

use crate::member::{MemberState, Record};

/// Buckets of a table: some 15 records in each at 1,900 nodes.
pub(crate) const BUCKETS: usize = 128;
/// Buckets that one comparison covers.
pub(crate) const BUCKETS_PER_REQUEST: usize = 32;
/// Fingerprints that one request names at most, so that a bit for each fits in one number.
pub const MAX_FINGERPRINTS: usize = 56;

/// Hash of one bucket, truncated to what nobody can find a second set of records for within an exchange's time.
pub type BucketDigest = [u8; 8];

/// A fingerprint of a record on the wire.
pub type FingerprintBytes = [u8; 8];

/// Hash of a record's name and boot. Views are digested by it, and it says a record's bucket.
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

/// Hash of all that a record says but its state, truncated to what nobody can find a second record for. Records have an
/// order by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Fingerprint(pub(crate) u64);

impl Fingerprint {
    /// The highest one.
    pub(crate) const MAX: Fingerprint = Fingerprint(u64::MAX);

    pub(crate) fn new(record: &Record) -> Self {
        let without_state = Record {
            state: MemberState::Alive,
            ..record.clone()
        };
        let mut hash = Sha256::new();
        hash.update(postcard::to_allocvec(&without_state).expect("plain values"));
        Fingerprint(u64::from_be_bytes(truncate(hash)))
    }

    pub(crate) fn from_bytes(bytes: FingerprintBytes) -> Self {
        Fingerprint(u64::from_be_bytes(bytes))
    }

    pub(crate) fn to_bytes(self) -> FingerprintBytes {
        self.0.to_be_bytes()
    }

    /// The next one, from the lowest again after the highest.
    pub(crate) fn next(self) -> Fingerprint {
        Fingerprint(self.0.wrapping_add(1))
    }
}

fn truncate(hash: Sha256) -> [u8; 8] {
    let hash = hash.finalize();
    std::array::from_fn(|index| hash[index])
}

/// A record's part in digests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordHashes {
    pub(crate) identity: IdentityHash,
    pub(crate) fingerprint: Fingerprint,
}

/// Buckets in a row, from `first` on and around the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BucketRange {
    pub(crate) first: usize,
    pub(crate) count: usize,
}

impl BucketRange {
    /// The buckets of one request, from this one on.
    pub(crate) fn of_request(first: usize) -> BucketRange {
        BucketRange {
            first,
            count: BUCKETS_PER_REQUEST,
        }
    }

    /// The buckets that another node's request names; `None`: these are no buckets of a table.
    pub(crate) fn from_request(first_bucket: u8, count: usize) -> Option<BucketRange> {
        let first = usize::from(first_bucket);
        let is_valid = first < BUCKETS && (1..=BUCKETS_PER_REQUEST).contains(&count);
        is_valid.then_some(BucketRange { first, count })
    }

    /// Which bucket of this range a record falls in, counted from the range's first.
    pub(crate) fn position(&self, identity: IdentityHash) -> Option<usize> {
        let position = (identity.bucket() + BUCKETS - self.first) % BUCKETS;
        (position < self.count).then_some(position)
    }

    /// The bucket that comes so many behind the range's first.
    pub(crate) fn bucket_after(&self, count: usize) -> usize {
        (self.first + count) % BUCKETS
    }
}

/// Digests of a range's buckets over these records. A suspicion changes no digest.
pub(crate) fn bucket_digests(
    range: BucketRange,
    records: impl Iterator<Item = RecordHashes>,
) -> Vec<BucketDigest> {
    let mut placed: Vec<(usize, Fingerprint)> = records
        .filter_map(|hashes| Some((range.position(hashes.identity)?, hashes.fingerprint)))
        .collect();
    placed.sort_unstable();
    let mut hashes = vec![Sha256::new(); range.count];
    for (position, fingerprint) in placed {
        hashes[position].update(fingerprint.to_bytes());
    }
    hashes.into_iter().map(truncate).collect()
}
