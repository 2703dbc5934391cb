//! Framing: three bytes of length, one of sequence number, then the body.

use bytes::BytesMut;
use mysql_common::proto::codec::{ChunkDecoder, ChunkInfo};
use thiserror::Error;

/// Network fact: the largest body that a client of this protocol has reason to send, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Length and sequence number ahead of each body, in bytes.
pub const HEADER_BYTES: usize = 4;

/// A body of more than [`MAX_BODY_BYTES`].
#[derive(Debug, Error, PartialEq, Eq)]
#[error("a packet of over {MAX_BODY_BYTES} bytes")]
pub struct PacketTooLarge;

/// A whole packet of a client.
#[derive(Debug, PartialEq, Eq)]
pub struct Packet {
    /// Its number within the exchange; the response goes on from it.
    pub sequence: u8,
    /// Its content.
    pub body: BytesMut,
}

/// Takes one whole packet off the front of the inbox; until it is all there the inbox stays as it is.
///
/// # Errors
///
/// The packet announces a body of more than [`MAX_BODY_BYTES`].
pub fn take_packet(inbox: &mut BytesMut) -> Result<Option<Packet>, PacketTooLarge> {
    let mut body = BytesMut::new();
    match ChunkDecoder::default().decode(inbox, &mut body, MAX_BODY_BYTES) {
        Ok(Some(ChunkInfo::Middle(sequence) | ChunkInfo::Last(sequence))) => {
            Ok(Some(Packet { sequence, body }))
        }
        Ok(None) => Ok(None),
        Err(_) => Err(PacketTooLarge),
    }
}

/// Whether [`take_packet`] would bring a packet or an error now.
#[must_use]
pub fn has_packet(inbox: &[u8]) -> bool {
    let Some([low, middle, high, _sequence]) = inbox.first_chunk::<HEADER_BYTES>() else {
        return false;
    };
    let body_bytes = u32::from_le_bytes([*low, *middle, *high, 0]) as usize;
    body_bytes > MAX_BODY_BYTES || inbox.len() >= HEADER_BYTES + body_bytes
}
