//! Revoked tokens and callers. A Bloom filter excludes nearly all subjects that are not on the
//! list. An exact set decides the rest, so that a false positive of the filter rejects nobody.

use sha2::{Digest, Sha256};
use thiserror::Error;

/// The first half of a SHA-256 digest, which represents a subject with a name of any length.
type Fingerprint = [u8; 16];

/// How much of a revocation list was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListExtent {
    /// All of it.
    Complete,
    /// Perhaps only a part, because the list is being copied.
    MaybePartial,
}

/// The kind of subject that an entry of the list revokes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevokedSubject {
    /// A caller, identified by name. All its tokens are revoked.
    Caller,
    /// One token, identified by its ID.
    Token,
}

fn fingerprint(subject: RevokedSubject, name: &str) -> Fingerprint {
    let mut hash = Sha256::new();
    hash.update([subject as u8]);
    hash.update(name.as_bytes());
    let digest: [u8; 32] = hash.finalize().into();
    let mut fingerprint = Fingerprint::default();
    fingerprint.copy_from_slice(&digest[..size_of::<Fingerprint>()]);
    fingerprint
}

/// The number of bits in a block, which fills one cache line.
const BLOCK_BITS: usize = 512;
const WORD_BITS: usize = 64;

/// A blocked Bloom filter: all bits of an entry lie in one cache line.
#[derive(Clone, Debug, Default)]
struct BloomFilter {
    blocks: Vec<[u64; BLOCK_BITS / WORD_BITS]>,
}

/// The block of a fingerprint, and the positions of its bits in the block.
struct BitPositions {
    block: usize,
    bits: [usize; BloomFilter::BITS_SET],
}

impl BloomFilter {
    /// The number of filter bits per entry. With six bits set per entry, about 1% of lookups of
    /// absent entries are false positives.
    const BITS_PER_ENTRY: usize = 12;
    const BITS_SET: usize = 6;
    /// The number of fingerprint bits that select one of the 2^9 = 512 bits of a block.
    const BITS_PER_POSITION: usize = 9;

    fn with_capacity(entries: usize) -> Self {
        let blocks = (entries * Self::BITS_PER_ENTRY).div_ceil(BLOCK_BITS).max(1);
        BloomFilter {
            blocks: vec![[0; BLOCK_BITS / WORD_BITS]; blocks],
        }
    }

    fn positions(&self, fingerprint: &Fingerprint) -> BitPositions {
        let number = u128::from_le_bytes(*fingerprint);
        let (low, high) = (number as u64, (number >> 64) as u64);
        let position = |index: usize| (high >> (index * Self::BITS_PER_POSITION)) as usize;
        BitPositions {
            block: (low % self.blocks.len() as u64) as usize,
            bits: std::array::from_fn(|index| position(index) % BLOCK_BITS),
        }
    }

    fn insert(&mut self, fingerprint: &Fingerprint) {
        let BitPositions { block, bits } = self.positions(fingerprint);
        for bit in bits {
            self.blocks[block][bit / WORD_BITS] |= 1 << (bit % WORD_BITS);
        }
    }

    fn may_contain(&self, fingerprint: &Fingerprint) -> bool {
        if self.blocks.is_empty() {
            return false;
        }
        let BitPositions { block, bits } = self.positions(fingerprint);
        let is_set = |bit: usize| self.blocks[block][bit / WORD_BITS] >> (bit % WORD_BITS) & 1 == 1;
        bits.into_iter().all(is_set)
    }
}

/// A line of a revocation list is malformed or exceeds [`RevocationList::MAX_ENTRIES`].
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("line {line}: neither caller NAME nor token ID, or too many lines")]
pub struct RevocationListError {
    /// The number of the line, counted from one.
    pub line: usize,
}

/// The revoked callers and tokens.
#[derive(Clone, Debug, Default)]
pub struct RevocationList {
    filter: BloomFilter,
    sorted: Vec<Fingerprint>,
}

impl RevocationList {
    /// The maximum number of entries in a list.
    pub const MAX_ENTRIES: usize = 200_000;

    /// Parses lines of the form `caller NAME` or `token ID`. Blank lines and lines that start with
    /// `#` are skipped.
    ///
    /// # Errors
    /// A line has another form, or the list has too many entries. The error names the first such
    /// line.
    pub fn parse(text: &str) -> Result<Self, RevocationListError> {
        let mut fingerprints = Vec::new();
        for (index, line) in text.lines().map(str::trim).enumerate() {
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let error = RevocationListError { line: index + 1 };
            let fingerprint = parse_line(line).ok_or(error)?;
            if fingerprints.len() >= Self::MAX_ENTRIES {
                return Err(error);
            }
            fingerprints.push(fingerprint);
        }
        Ok(Self::from_fingerprints(fingerprints))
    }

    fn from_fingerprints(mut sorted: Vec<Fingerprint>) -> Self {
        sorted.sort_unstable();
        sorted.dedup();
        let mut filter = BloomFilter::with_capacity(sorted.len());
        for fingerprint in &sorted {
            filter.insert(fingerprint);
        }
        RevocationList { filter, sorted }
    }

    /// Returns whether a caller or token is revoked.
    #[must_use]
    pub fn contains(&self, subject: RevokedSubject, name: &str) -> bool {
        let fingerprint = fingerprint(subject, name);
        self.filter.may_contain(&fingerprint) && self.sorted.binary_search(&fingerprint).is_ok()
    }

    /// Returns whether this list revokes everything that another list revokes.
    #[must_use]
    pub fn contains_all(&self, other: &RevocationList) -> bool {
        let is_contained = |fingerprint| self.sorted.binary_search(fingerprint).is_ok();
        other.sorted.iter().all(is_contained)
    }

    /// The number of distinct entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sorted.len()
    }

    /// Returns whether the list has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }

    /// The memory size of the entries and the filter, in bytes.
    #[must_use]
    pub fn size_in_bytes(&self) -> usize {
        let filter = self.filter.blocks.len() * BLOCK_BITS / 8;
        self.sorted.len() * size_of::<Fingerprint>() + filter
    }
}

fn parse_line(line: &str) -> Option<Fingerprint> {
    let (word, name) = line.split_once(' ')?;
    let subject = match word {
        "caller" => RevokedSubject::Caller,
        "token" => RevokedSubject::Token,
        _ => return None,
    };
    let name = name.trim();
    if name.is_empty() {
        return None;
    }
    Some(fingerprint(subject, name))
}
