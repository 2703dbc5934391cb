//! Packet framing: three bytes of length, one byte of sequence number, then the body.

use bytes::BytesMut;
use mysql_common::proto::codec::{ChunkDecoder, ChunkInfo};
use thiserror::Error;

/// The largest packet body that is accepted, in bytes. Legitimate clients send no larger ones.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// The size of the header before each body, which holds the length and the sequence number, in
/// bytes.
pub const HEADER_BYTES: usize = 4;

/// The error for a packet with a body of more than [`MAX_BODY_BYTES`].
#[derive(Debug, Error, PartialEq, Eq)]
#[error("a packet of over {MAX_BODY_BYTES} bytes")]
pub struct PacketTooLarge;

/// A complete packet from a client.
#[derive(Debug, PartialEq, Eq)]
pub struct Packet {
    /// The sequence number within the exchange. The response continues from it.
    pub sequence: u8,
    /// The content of the packet, without its header.
    pub body: BytesMut,
}

/// Takes one packet from the front of the read buffer. Returns `None`, and leaves the buffer as it
/// is, until the packet is complete.
///
/// # Errors
///
/// Fails if the packet's header announces a body of more than [`MAX_BODY_BYTES`].
pub fn take_packet(read_buffer: &mut BytesMut) -> Result<Option<Packet>, PacketTooLarge> {
    let mut body = BytesMut::new();
    match ChunkDecoder::default().decode(read_buffer, &mut body, MAX_BODY_BYTES) {
        Ok(Some(ChunkInfo::Middle(sequence) | ChunkInfo::Last(sequence))) => {
            Ok(Some(Packet { sequence, body }))
        }
        Ok(None) => Ok(None),
        Err(_) => Err(PacketTooLarge),
    }
}

/// The size of the packet at the front of the read buffer with its header, or `None` until its
/// header is complete.
#[must_use]
pub fn announced_bytes(read_buffer: &[u8]) -> Option<usize> {
    let [low, middle, high, _sequence] = read_buffer.first_chunk::<HEADER_BYTES>()?;
    let body_bytes = u32::from_le_bytes([*low, *middle, *high, 0]) as usize;
    Some(HEADER_BYTES + body_bytes)
}

/// Whether [`take_packet`] would return a packet or an error now.
#[must_use]
pub fn has_packet(read_buffer: &[u8]) -> bool {
    announced_bytes(read_buffer)
        .is_some_and(|bytes| bytes > HEADER_BYTES + MAX_BODY_BYTES || bytes <= read_buffer.len())
}
