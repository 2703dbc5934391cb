//! Revoked tokens and callers. A Bloom filter answers for nearly all that are not on the list and an exact set for the
//! rest, so that a false positive of the filter rejects nobody.

use sha2::{Digest, Sha256};
use thiserror::Error;

/// The first half of a SHA-256 digest stands for a name of any length.
type Fingerprint = [u8; 16];

/// What an entry of the list revokes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevokedSubject {
    /// All tokens of a caller, by its name.
    Caller,
    /// One token, by its id.
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

/// Bits of a block: one cache line.
const BLOCK_BITS: usize = 512;
const WORD_BITS: usize = 64;

/// A Bloom filter in blocks of one cache line.
#[derive(Clone, Debug, Default)]
struct BloomFilter {
    blocks: Vec<[u64; BLOCK_BITS / WORD_BITS]>,
}

/// The bits of one fingerprint, all in one block.
struct BitPositions {
    block: usize,
    bits: [usize; BloomFilter::BITS_SET],
}

impl BloomFilter {
    /// With so many bits an entry and six of them set, about one in a hundred passes that should not.
    const BITS_PER_ENTRY: usize = 12;
    const BITS_SET: usize = 6;
    /// Bits of the fingerprint that choose one bit of a block: 2^9 = 512.
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

/// A line of a revocation list that cannot be used: it revokes nothing, or is beyond [`RevocationList::MAX_ENTRIES`].
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("line {line}: neither caller NAME nor token ID, or too many lines")]
pub struct RevocationListError {
    /// The number of the line, counted from one.
    pub line: usize,
}

/// Revoked callers and tokens, read at once from their file.
#[derive(Clone, Debug, Default)]
pub struct RevocationList {
    filter: BloomFilter,
    sorted: Vec<Fingerprint>,
}

impl RevocationList {
    /// Most entries of a list.
    pub const MAX_ENTRIES: usize = 200_000;

    /// Reads lines `caller NAME` and `token ID`; blank ones and those that begin with `#` are skipped.
    ///
    /// # Errors
    /// The first line that is neither, or one too many.
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

    /// Whether a caller or token is revoked.
    #[must_use]
    pub fn contains(&self, subject: RevokedSubject, name: &str) -> bool {
        let fingerprint = fingerprint(subject, name);
        self.filter.may_contain(&fingerprint) && self.sorted.binary_search(&fingerprint).is_ok()
    }

    /// Entries, each counted once.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sorted.len()
    }

    /// Whether nothing is revoked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }

    /// Memory that the entries and the filter take, in bytes.
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
