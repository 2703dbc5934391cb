//! Datagrams: a version, the mark of the key, a keyed code, and a message behind it.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::buckets::{BucketDigest, ExactMark};
use crate::engines::EngineNews;
use crate::keys::{CODE, KeyMark, Ring};
use crate::who::{Name, Record};

pub const VERSION: u8 = 1;
/// No datagram is longer, so that none is cut into fragments on any usual link.
pub const LONGEST: usize = 1200;
const HEAD: usize = 1 + 4 + CODE;

/// Purpose a datagram counts for nothing.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    #[error("too long or too short")]
    Size,
    #[error("of another version")]
    Version,
    #[error("by a key that is not accepted here")]
    Key,
    #[error("its code does not hold")]
    Code,
    #[error("it cannot be read")]
    Form,
    #[error("of another fleet")]
    Foreign,
    #[error("it came before")]
    Repeated,
    #[error("from another address than it says")]
    Address,
    #[error("an answer to nothing that was asked")]
    Unasked,
    #[error("too many from there")]
    Many,
    #[error("under this gateway's own name")]
    OwnName,
}

/// A number that only the one asked at its address can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Nonce(pub u64);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Answer me.
    Ping(Nonce),
    Ack(Nonce),
    /// Ping that one for me, and pass its answer on.
    Ask {
        nonce: Nonce,
        target: Box<Record>,
    },
    /// It answered me.
    Passed(Nonce),
    /// It did not answer me; I am well myself.
    Silent(Nonce),
    /// What comes behind this name in your table, please.
    Pull {
        after: Option<Name>,
    },
    /// A part of the table: its records stand among the message's; `next` is where it goes on.
    Page {
        next: Option<Name>,
    },
    /// Only what goes along.
    News,
    /// Words of another subsystem, to be carried.
    Carried(Vec<u8>),
    /// Digests of some buckets of my table, from the first on: what differs in yours, please.
    Compare {
        nonce: Nonce,
        first: u8,
        digests: Vec<BucketDigest>,
    },
    /// Which of these buckets are equal in my table, a bit each from the lowest; records of the others stand among the
    /// message's. `covered`: as many buckets from the first on are equal or told in full.
    Compared {
        nonce: Nonce,
        equal: u32,
        covered: u8,
    },
    /// Marks of all that I hold from this one on, in their order, up to the last: what do you hold there beside them, please.
    /// Fewer than [`crate::buckets::LISTED`]: up to the end of all marks.
    List {
        nonce: Nonce,
        from: u64,
        marks: Vec<ExactMark>,
    },
    /// Which of these I hold as well, a bit each from the lowest; what I hold beside them stands among the message's records, as
    /// far as it fits: up to this mark.
    Listed {
        nonce: Nonce,
        held: u64,
        until: u64,
    },
}

/// A view of the fleet in short: two that agree hold the same gateways in the same lives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub digest: u64,
    pub size: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub fleet: Name,
    /// The sender's word of itself.
    pub from: Record,
    /// Rises with each message of a life.
    pub counter: u64,
    pub view: View,
    pub body: Body,
    pub records: Vec<Record>,
    pub engines: Vec<EngineNews>,
}

/// Bytes on the wire. A message is made to fit, see `size`.
pub fn seal(ring: &Ring, message: &Message) -> Vec<u8> {
    let body = postcard::to_allocvec(message).expect("plain values");
    let head = [&[VERSION][..], &ring.signs().0].concat();
    let code = ring.code(&[&head, &body]);
    [&head[..], &code, &body].concat()
}

/// What a value takes in a datagram.
pub fn size(of: &impl Serialize) -> usize {
    postcard::to_allocvec(of).map_or(LONGEST, |bytes| bytes.len())
}

/// What is left in a datagram beside a message that carries nothing yet.
pub fn room(message: &Message) -> usize {
    LONGEST.saturating_sub(HEAD + size(message) + 4)
}

/// Cheap checks first: a flood of what is not ours costs a look at five bytes each.
pub fn open(ring: &Ring, fleet: &Name, bytes: &[u8]) -> Result<Message, Refused> {
    if bytes.len() <= HEAD || bytes.len() > LONGEST {
        return Err(Refused::Size);
    }
    let (head, rest) = bytes.split_at(5);
    let (code, body) = rest.split_at(CODE);
    if head[0] != VERSION {
        return Err(Refused::Version);
    }
    let mark = KeyMark([head[1], head[2], head[3], head[4]]);
    match ring.holds(mark, &[head, body], code) {
        None => return Err(Refused::Key),
        Some(false) => return Err(Refused::Code),
        Some(true) => {}
    }
    let (message, left) = postcard::take_from_bytes::<Message>(body).map_err(|_| Refused::Form)?;
    if !left.is_empty() {
        return Err(Refused::Form);
    }
    if message.fleet == *fleet {
        Ok(message)
    } else {
        Err(Refused::Foreign)
    }
}

/// Which counters of one life came already: late ones count once within a window, older ones not at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    highest: u64,
    before: u128,
}

impl Seen {
    /// Whether this one is new; it counts as seen from now on.
    pub fn first(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            let by = counter - self.highest;
            self.before = if by < 128 {
                self.before << by | 1 << (by - 1)
            } else {
                0
            };
            self.highest = counter;
            return true;
        }
        let behind = self.highest - counter;
        if behind == 0 || behind > 128 {
            return false;
        }
        let bit = 1u128 << (behind - 1);
        let first = self.before & bit == 0;
        self.before |= bit;
        first
    }
}

/// A message, by the name it had before.
pub type Letter = Message;
