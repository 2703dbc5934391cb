//! Datagrams: a version, the id of the signing key, an authentication tag, and a message behind it.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::engine_gossip::EngineReport;
use crate::keys::{KeyId, KeyRing, TAG_BYTES, TagError};
use crate::member::{Name, Record};
use crate::table_digest::{BucketDigest, FingerprintBytes};

/// Version of the datagram's layout.
pub const VERSION: u8 = 1;
/// No datagram is longer, so that none is cut into fragments on any usual link.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Bytes of records that a part of a table has at most: the rest of the datagram is for what goes along.
pub(crate) const MAX_TABLE_PART_BYTES: usize = MAX_DATAGRAM_BYTES * 3 / 4;
/// Version and key id.
const PREFIX_BYTES: usize = 1 + 4;
const HEADER_BYTES: usize = PREFIX_BYTES + TAG_BYTES;
/// Bytes that the lengths of the lists of records and reports may grow by.
const LENGTH_RESERVE_BYTES: usize = 4;

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// No datagram has this length.
    #[error("too long or too short")]
    Length,
    /// Its layout is of another version.
    #[error("of another version")]
    Version,
    /// It is signed by a key that is not accepted.
    #[error("by a key that is not accepted here")]
    UnknownKey,
    /// Its authentication tag does not match.
    #[error("its code does not hold")]
    AuthenticationTag,
    /// It has no valid message.
    #[error("it cannot be read")]
    Malformed,
    /// It is of a fleet of another name.
    #[error("of another fleet")]
    OtherFleet,
    /// It came before.
    #[error("it came before")]
    Replayed,
    /// Its sender advertises another address than it came from.
    #[error("from another address than it says")]
    SourceAddress,
    /// It answers no request of this node.
    #[error("an answer to nothing that was asked")]
    Unsolicited,
    /// More came than are answered.
    #[error("too many from there")]
    RateLimited,
    /// Another process sent it under this node's name.
    #[error("under this gateway's own name")]
    OwnName,
}

/// A random number that only the one asked at its address can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Nonce(pub u64);

/// What a message is for. The order of variants and fields is their order on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A probe: answer with [`Body::Ack`].
    Ping(Nonce),
    /// The answer to a ping.
    Ack(Nonce),
    /// A request for an indirect probe: ping the target, and pass on whether it answered.
    IndirectPing {
        /// Of the request, and of its answer.
        nonce: Nonce,
        /// Whom to ping.
        target: Box<Record>,
    },
    /// The target of an indirect probe answered.
    IndirectAck(Nonce),
    /// The target of an indirect probe did not answer its relay, which is well itself.
    IndirectNack(Nonce),
    /// Asks for the part of the table behind this name; none: for the first part.
    PageRequest {
        /// The last name of the part before.
        after: Option<Name>,
    },
    /// A part of the table: its records stand among the message's.
    Page {
        /// The name behind which it goes on; none: this is the last part.
        next: Option<Name>,
    },
    /// Nothing but the gossip that goes along.
    Gossip,
    /// Bytes of another subsystem, to be handed over.
    Payload(Vec<u8>),
    /// Digests of some buckets of the sender's table: asks for what differs in the receiver's.
    DigestRequest {
        /// Of the request, and of its answer.
        nonce: Nonce,
        /// The first bucket.
        first_bucket: u8,
        /// Digests of this bucket and those that follow.
        digests: Vec<BucketDigest>,
    },
    /// Which buckets are equal; records of the others stand among the message's.
    DigestResponse {
        /// Of the request.
        nonce: Nonce,
        /// A bit for each bucket of the request from the lowest on: it is equal.
        equal: u32,
        /// As many buckets from the first on are equal or told in full.
        covered: u8,
    },
    /// Fingerprints of all records of the sender's table from one on, in their order, up to the last: asks for what the
    /// receiver holds there beside them. Fewer than [`crate::table_digest::MAX_FINGERPRINTS`]: up to the end of all.
    FingerprintRequest {
        /// Of the request, and of its answer.
        nonce: Nonce,
        /// The fingerprint from which on the table is listed.
        from: u64,
        /// The fingerprints.
        fingerprints: Vec<FingerprintBytes>,
    },
    /// Which fingerprints are held; what is held beside them stands among the message's records, as far as it fits.
    FingerprintResponse {
        /// Of the request.
        nonce: Nonce,
        /// A bit for each fingerprint of the request from the lowest on: it is held.
        held: u64,
        /// Up to this fingerprint all is told.
        until: u64,
    },
}

/// A view of the fleet in short: two that agree hold the same nodes in the same boots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Hash over names and boots.
    pub digest: u64,
    /// Nodes in the fleet.
    pub size: u16,
}

/// A message from one node to another. The order of the fields is their order on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The fleet of the sender.
    pub fleet: Name,
    /// The sender's own record.
    pub from: Record,
    /// Rises with each message of a boot.
    pub counter: u64,
    /// The sender's view.
    pub view: View,
    /// What the message is for.
    pub body: Body,
    /// Records that belong to the body, and updates of gossip.
    pub records: Vec<Record>,
    /// Reports of engines.
    pub engine_reports: Vec<EngineReport>,
}

/// The bytes of a message on the wire. A message is made to fit, see [`remaining_bytes`].
///
/// # Panics
/// Never: all values of a message can be encoded.
#[must_use]
pub fn seal(key_ring: &KeyRing, message: &Message) -> Vec<u8> {
    let body = postcard::to_allocvec(message).expect("plain values");
    let prefix = [&[VERSION][..], &key_ring.signing_key().0].concat();
    let tag = key_ring.authentication_tag(&[&prefix, &body]);
    [&prefix[..], &tag, &body].concat()
}

/// Bytes that a value takes in a datagram.
#[must_use]
pub fn encoded_size(value: &impl Serialize) -> usize {
    postcard::to_allocvec(value).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

/// Bytes that are left in the datagram of a message for more records and reports.
#[must_use]
pub fn remaining_bytes(message: &Message) -> usize {
    let used = HEADER_BYTES + encoded_size(message) + LENGTH_RESERVE_BYTES;
    MAX_DATAGRAM_BYTES.saturating_sub(used)
}

/// The message of a datagram. Cheap checks come first: a flood of foreign datagrams costs a look at five bytes each.
///
/// # Errors
/// It is no datagram of this fleet; this is why.
pub fn open(key_ring: &KeyRing, fleet: &Name, bytes: &[u8]) -> Result<Message, RejectReason> {
    if bytes.len() <= HEADER_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(RejectReason::Length);
    }
    let (prefix, rest) = bytes.split_at(PREFIX_BYTES);
    let (tag, body) = rest.split_at(TAG_BYTES);
    if prefix[0] != VERSION {
        return Err(RejectReason::Version);
    }
    let key_id = KeyId([prefix[1], prefix[2], prefix[3], prefix[4]]);
    key_ring
        .verify(key_id, &[prefix, body], tag)
        .map_err(|error| match error {
            TagError::UnknownKey => RejectReason::UnknownKey,
            TagError::Mismatch => RejectReason::AuthenticationTag,
        })?;
    let (message, unread) =
        postcard::take_from_bytes::<Message>(body).map_err(|_| RejectReason::Malformed)?;
    if !unread.is_empty() {
        return Err(RejectReason::Malformed);
    }
    if message.fleet != *fleet {
        return Err(RejectReason::OtherFleet);
    }
    Ok(message)
}
