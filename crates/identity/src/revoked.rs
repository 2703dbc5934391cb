//! Withdrawn tokens and callers: a filter answers for nearly all that are not on the list, the exact set for the rest,
//! so that nobody is refused by the filter's own mistakes.

use sha2::{Digest, Sha256};

/// Sixteen bytes of a digest stand for a name of any length.
type Print = [u8; 16];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Caller,
    Token,
}

fn print(kind: Kind, name: &str) -> Print {
    let mut hash = Sha256::new();
    hash.update([kind as u8]);
    hash.update(name.as_bytes());
    let whole: [u8; 32] = hash.finalize().into();
    let mut print = [0; 16];
    print.copy_from_slice(&whole[..16]);
    print
}

/// A Bloom filter in blocks of one cache line.
#[derive(Clone, Debug, Default)]
struct Filter(Vec<[u64; 8]>);

impl Filter {
    /// Bits for each entry; with six of them set, about one in a hundred passes that should not.
    const BITS: usize = 12;
    const SET: usize = 6;

    fn new(entries: usize) -> Self {
        Filter(vec![[0; 8]; (entries * Self::BITS).div_ceil(512).max(1)])
    }

    fn bits(&self, print: &Print) -> (usize, [usize; Self::SET]) {
        let word =
            |at: usize| u64::from_le_bytes(print[at..at + 8].try_into().expect("eight bytes"));
        let block = (word(0) % self.0.len() as u64) as usize;
        let of = word(8);
        (
            block,
            std::array::from_fn(|n| (of >> (n * 9)) as usize & 511),
        )
    }

    fn add(&mut self, print: &Print) {
        let (block, bits) = self.bits(print);
        bits.into_iter()
            .for_each(|bit| self.0[block][bit / 64] |= 1 << (bit % 64));
    }

    fn may_hold(&self, print: &Print) -> bool {
        if self.0.is_empty() {
            return false;
        }
        let (block, bits) = self.bits(print);
        bits.into_iter()
            .all(|bit| self.0[block][bit / 64] >> (bit % 64) & 1 == 1)
    }
}

/// Taken whole from its file; bounded there.
#[derive(Clone, Debug, Default)]
pub struct Revoked {
    filter: Filter,
    sorted: Vec<Print>,
}

impl Revoked {
    pub const MOST: usize = 200_000;

    /// Lines `caller NAME` and `token ID`; blank ones and those that begin with `#` say nothing.
    ///
    /// # Errors
    /// The first line that says neither, by its number from one; or there are too many.
    pub fn parse(text: &str) -> Result<Self, usize> {
        let mut prints = Vec::new();
        for (at, line) in text.lines().map(str::trim).enumerate() {
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let kind = |word| match word {
                "caller" => Some(Kind::Caller),
                "token" => Some(Kind::Token),
                _ => None,
            };
            let said = line
                .split_once(' ')
                .and_then(|(word, name)| Some((kind(word)?, name.trim())));
            let (kind, name) = said.filter(|(_, name)| !name.is_empty()).ok_or(at + 1)?;
            if prints.len() >= Self::MOST {
                return Err(at + 1);
            }
            prints.push(print(kind, name));
        }
        Ok(Self::of(prints))
    }

    fn of(mut sorted: Vec<Print>) -> Self {
        sorted.sort_unstable();
        sorted.dedup();
        let mut filter = Filter::new(sorted.len());
        sorted.iter().for_each(|print| filter.add(print));
        Revoked { filter, sorted }
    }

    pub fn holds(&self, kind: Kind, name: &str) -> bool {
        let print = print(kind, name);
        self.filter.may_hold(&print) && self.sorted.binary_search(&print).is_ok()
    }

    pub fn len(&self) -> usize {
        self.sorted.len()
    }

    pub fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        self.sorted.len() * size_of::<Print>() + self.filter.0.len() * size_of::<[u64; 8]>()
    }
}
