//! Datagrams. Each consists of a version, the id of the signing key, an authentication tag and the
//! encoded message.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::engine_gossip::EngineReport;
use crate::keys::{KeyId, KeyRing, TAG_BYTES, TagError};
use crate::member::{Name, Record};
use crate::table_digest::{BucketDigest, FingerprintBytes};

/// The version of the datagram layout.
pub const VERSION: u8 = 1;
/// The maximum length of a datagram, in bytes. Datagrams of this size are not fragmented on common
/// links.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The maximum size of the records in one page or table response, in bytes. The rest of the
/// datagram is left for the message itself and for gossip.
pub(crate) const MAX_TABLE_PART_BYTES: usize = MAX_DATAGRAM_BYTES * 3 / 4;
/// The size of the version and the key id, in bytes.
const PREFIX_BYTES: usize = 1 + 4;
const HEADER_BYTES: usize = PREFIX_BYTES + TAG_BYTES;
/// The number of bytes reserved for the length prefixes of the records and the engine reports,
/// which grow with the lists.
const LENGTH_RESERVE_BYTES: usize = 4;

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The length of the datagram is not valid.
    #[error("too long or too short")]
    Length,
    /// The datagram uses another version of the layout.
    #[error("of another version")]
    Version,
    /// The datagram is signed with a key that is not accepted.
    #[error("by a key that is not accepted here")]
    UnknownKey,
    /// The authentication tag does not match.
    #[error("its code does not hold")]
    AuthenticationTag,
    /// The datagram does not contain a valid message.
    #[error("it cannot be read")]
    Malformed,
    /// The sender belongs to another fleet.
    #[error("of another fleet")]
    OtherFleet,
    /// The message counter was seen before or is older than the replay window.
    #[error("it came before")]
    Replayed,
    /// The sender advertises another address than the one that the datagram came from.
    #[error("from another address than it says")]
    SourceAddress,
    /// The datagram answers no request of this node.
    #[error("an answer to nothing that was asked")]
    Unsolicited,
    /// Requests exceed the rate at which this node answers them.
    #[error("too many from there")]
    RateLimited,
    /// Another process sent the datagram under this node's name.
    #[error("under this gateway's own name")]
    OwnName,
}

/// A random number that only the node at the requested address can know. It ties an answer to its
/// request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Nonce(pub u64);

/// The purpose of a message and its data. The order of the variants and fields is their order on
/// the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A probe, which the receiver answers with [`Body::Ack`].
    Ping(Nonce),
    /// The answer to a ping.
    Ack(Nonce),
    /// A request for an indirect probe: the receiver pings the target and reports whether it
    /// answered.
    IndirectPing {
        /// The nonce of the request, repeated in its answer.
        nonce: Nonce,
        /// The record of the node to ping.
        target: Box<Record>,
    },
    /// The target of an indirect probe answered.
    IndirectAck(Nonce),
    /// The target of an indirect probe did not answer the relay. The nack shows that the relay
    /// itself is healthy.
    IndirectNack(Nonce),
    /// A request for the next page of the receiver's table.
    PageRequest {
        /// The last name on the previous page, or `None` for the first page.
        after: Option<Name>,
    },
    /// A page of the table. Its records are in [`Message::records`].
    Page {
        /// The name after which the next page starts, or `None` if this is the last page.
        next: Option<Name>,
    },
    /// A message that only carries gossip.
    Gossip,
    /// Data of another subsystem, passed on unchanged to the receiver's application.
    Payload(Vec<u8>),
    /// Digests of a range of buckets of the sender's table. The receiver answers which buckets are
    /// equal in its own table, and sends its records of the other ones.
    DigestRequest {
        /// The nonce of the request, repeated in its answer.
        nonce: Nonce,
        /// The index of the first bucket.
        first_bucket: u8,
        /// The digests of the first bucket and of those that follow it.
        digests: Vec<BucketDigest>,
    },
    /// The result of a digest comparison. The records of the differing buckets are in
    /// [`Message::records`].
    DigestResponse {
        /// The nonce of the request.
        nonce: Nonce,
        /// One bit for each bucket of the request, starting with the lowest bit. A set bit means
        /// that the bucket is equal.
        equal: u32,
        /// The number of buckets, counted from the first, that are equal or whose records are all
        /// in this message.
        covered: u8,
    },
    /// The sorted fingerprints of the records in the sender's table, starting at `from`. The
    /// receiver answers with the records that it holds in that range and that are not listed.
    ///
    /// The range ends at the last fingerprint. If there are fewer than
    /// [`crate::table_digest::MAX_FINGERPRINTS`], it extends to the highest possible fingerprint.
    FingerprintRequest {
        /// The nonce of the request, repeated in its answer.
        nonce: Nonce,
        /// The start of the range, inclusive.
        from: u64,
        /// The fingerprints in ascending order.
        fingerprints: Vec<FingerprintBytes>,
    },
    /// The answer to a list of fingerprints. Records that were not listed are in
    /// [`Message::records`], as far as they fit.
    FingerprintResponse {
        /// The nonce of the request.
        nonce: Nonce,
        /// One bit for each fingerprint of the request, starting with the lowest bit. A set bit
        /// means that the sender holds the record.
        held: u64,
        /// The fingerprint up to which the answer is complete, inclusive.
        until: u64,
    },
}

/// A summary of a node's view of the fleet. Two equal views contain the same nodes in the same
/// boots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// A hash over the names and boots of the nodes.
    pub digest: u64,
    /// The number of nodes in the fleet.
    pub size: u16,
}

/// A message from one node to another. The order of the fields is their order on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The fleet that the sender belongs to.
    pub fleet: Name,
    /// The sender's own record.
    pub from: Record,
    /// A counter that increases with each message of a boot, used to detect replays.
    pub counter: u64,
    /// The sender's view.
    pub view: View,
    /// The purpose of the message and its data.
    pub body: Body,
    /// The records that belong to the body, followed by gossip updates.
    pub records: Vec<Record>,
    /// The sender's engine reports.
    pub engine_reports: Vec<EngineReport>,
}

/// Encodes and signs a message. The caller keeps the message within the size limit, see
/// [`remaining_bytes`].
///
/// # Panics
/// Never: every message can be encoded.
#[must_use]
pub fn seal(key_ring: &KeyRing, message: &Message) -> Vec<u8> {
    let body = postcard::to_allocvec(message).expect("messages can always be encoded");
    let prefix = [&[VERSION][..], &key_ring.signing_key().0].concat();
    let tag = key_ring.authentication_tag(&[&prefix, &body]);
    [&prefix[..], &tag, &body].concat()
}

/// Returns the encoded size of a value in a datagram, in bytes.
#[must_use]
pub fn encoded_size(value: &impl Serialize) -> usize {
    postcard::to_allocvec(value).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

/// Returns how many bytes are left in the datagram of a message for more records and engine
/// reports.
#[must_use]
pub fn remaining_bytes(message: &Message) -> usize {
    let used = HEADER_BYTES + encoded_size(message) + LENGTH_RESERVE_BYTES;
    MAX_DATAGRAM_BYTES.saturating_sub(used)
}

/// Verifies a datagram and decodes its message. The cheap checks run first, so that rejecting a
/// flood of foreign datagrams costs a comparison of five bytes each.
///
/// # Errors
/// Fails with the reason why this is not a valid datagram of the fleet.
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
    let (message, trailing) =
        postcard::take_from_bytes::<Message>(body).map_err(|_| RejectReason::Malformed)?;
    if !trailing.is_empty() {
        return Err(RejectReason::Malformed);
    }
    if message.fleet != *fleet {
        return Err(RejectReason::OtherFleet);
    }
    Ok(message)
}
