//! The TLS state of one connection: decrypts what the peer sends and encrypts what is sent to it.

use std::io::{self, ErrorKind, Write};
use std::sync::Arc;

use bytes::{Buf, BufMut, BytesMut};
use rustls::{ServerConfig, ServerConnection};

/// The size of a record's header: its content type, its version and the length of its content.
const RECORD_HEADER_BYTES: usize = 5;

/// The largest content of a record: the plain text and what encryption may add to it.
const MAX_RECORD_CONTENT_BYTES: usize = (16 << 10) + 2048;

/// The content types of TLS, from `change_cipher_spec` to `heartbeat`.
const CONTENT_TYPES: std::ops::RangeInclusive<u8> = 20..=24;

/// The most bytes of records that carry no data of the peer before one that does: its part of the
/// handshake, key updates and warnings. A client without a certificate sends one message of a few
/// hundred bytes, or of a few thousand with a post-quantum key share, and a short one.
const MAX_HANDSHAKE_BYTES: usize = 8 << 10;

/// The memory of a TLS connection beside its buffers: its keys and the state of its handshake.
const CONNECTION_BYTES: usize = 4 << 10;

/// Whether the peer may send more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TlsInput {
    /// The peer may send more.
    Open,
    /// The peer has ended TLS. Whatever it sends behind that is dropped.
    Ended,
}

/// A TLS connection, as the server.
pub(crate) struct TlsStream {
    connection: ServerConnection,
    /// Received bytes of a record that is not complete. The library gets complete records only, so
    /// that what it holds is known here.
    undecrypted: BytesMut,
    /// The size of the last record. The library keeps its buffer until the next one.
    last_record_bytes: usize,
    /// The size of the records since the last one with data of the peer. The library keeps those of
    /// a message that is not complete.
    handshake_bytes: usize,
    input: TlsInput,
}

impl TlsStream {
    /// Starts TLS as the server.
    ///
    /// # Errors
    ///
    /// The configuration cannot be used.
    pub(crate) fn new(config: Arc<ServerConfig>) -> io::Result<Self> {
        let mut connection = ServerConnection::new(config).map_err(io::Error::other)?;
        // The code that enqueues data bounds what waits to be written.
        connection.set_buffer_limit(None);
        Ok(TlsStream {
            connection,
            undecrypted: BytesMut::new(),
            last_record_bytes: 0,
            handshake_bytes: 0,
            input: TlsInput::Open,
        })
    }

    /// Whether the handshake is not complete.
    pub(crate) fn is_handshaking(&self) -> bool {
        self.connection.is_handshaking()
    }

    /// The memory that this connection takes, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        let kept_by_library = self.last_record_bytes.max(self.handshake_bytes);
        CONNECTION_BYTES + kept_by_library + self.undecrypted.len()
    }

    /// The received bytes of a record that is not complete.
    pub(crate) fn undecrypted_bytes(&self) -> usize {
        self.undecrypted.len()
    }

    /// The size of the record whose rest has not arrived, or `None` if no header of a record waits
    /// for its content.
    pub(crate) fn incomplete_record(&self) -> Option<usize> {
        record_bytes(&self.undecrypted).ok().flatten()
    }

    /// Decrypts received bytes and appends them to `plain_text`.
    ///
    /// # Errors
    ///
    /// The bytes are not valid TLS, or those of a handshake are too many. An alert for the peer is
    /// then part of the output.
    pub(crate) fn decrypt(
        &mut self,
        received: &[u8],
        plain_text: &mut BytesMut,
    ) -> io::Result<TlsInput> {
        if self.input == TlsInput::Ended {
            return Ok(TlsInput::Ended);
        }
        self.undecrypted.extend_from_slice(received);
        while let Some(record) = self.take_record() {
            let plain_bytes = plain_text.len();
            self.decrypt_record(&record, plain_text)?;
            self.count_handshake(record.len(), plain_text.len() > plain_bytes)?;
        }
        if self.input == TlsInput::Ended {
            self.undecrypted.clear();
        }
        // The rest does not keep the memory of the records before it.
        self.undecrypted = BytesMut::from(&self.undecrypted[..]);
        Ok(self.input)
    }

    /// Takes the next complete record. Bytes that are no record are taken as they are, for the
    /// library to reject.
    fn take_record(&mut self) -> Option<BytesMut> {
        let buffered = self.undecrypted.len();
        let taken = match record_bytes(&self.undecrypted) {
            Ok(Some(record_bytes)) if record_bytes <= buffered => record_bytes,
            Err(NotARecord) => buffered,
            Ok(_) => return None,
        };
        self.last_record_bytes = taken;
        Some(self.undecrypted.split_to(taken))
    }

    fn decrypt_record(&mut self, mut record: &[u8], plain_text: &mut BytesMut) -> io::Result<()> {
        while record.has_remaining() && self.input == TlsInput::Open {
            if self.connection.read_tls(&mut record)? == 0 {
                // The library takes nothing behind the end of TLS, however much it is given.
                self.input = TlsInput::Ended;
            }
            let state = self
                .connection
                .process_new_packets()
                .map_err(|error| io::Error::new(ErrorKind::InvalidData, error))?;
            let start = plain_text.len();
            plain_text.resize(start + state.plaintext_bytes_to_read(), 0);
            io::Read::read_exact(&mut self.connection.reader(), &mut plain_text[start..])?;
            if state.peer_has_closed() {
                self.input = TlsInput::Ended;
            }
        }
        Ok(())
    }

    /// Counts a record as part of a handshake unless it carried data of the peer.
    fn count_handshake(&mut self, record_bytes: usize, has_data: bool) -> io::Result<()> {
        if has_data {
            self.handshake_bytes = 0;
            return Ok(());
        }
        self.handshake_bytes += record_bytes;
        if self.handshake_bytes > MAX_HANDSHAKE_BYTES {
            return Err(ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Encrypts bytes and appends them to `output`.
    pub(crate) fn encrypt(&mut self, bytes: &[u8], output: &mut BytesMut) {
        // The buffer of the library has no limit, so this cannot fail.
        let _ = self.connection.writer().write_all(bytes);
        self.take_output(output);
    }

    /// Whether the library has output that was not taken.
    pub(crate) fn has_output(&self) -> bool {
        self.connection.wants_write()
    }

    /// Appends the output of the library, such as handshake messages and alerts, to `output`.
    pub(crate) fn take_output(&mut self, output: &mut BytesMut) {
        while self.connection.wants_write() {
            // Writing to memory cannot fail. Nothing written means that nothing can be.
            match self.connection.write_tls(&mut output.writer()) {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Tells the peer that no more data follows.
    pub(crate) fn close(&mut self, output: &mut BytesMut) {
        self.connection.send_close_notify();
        self.take_output(output);
    }
}

/// The bytes do not start with the header of a TLS record.
#[derive(Debug, PartialEq, Eq)]
struct NotARecord;

/// The size of the first record with its header, or `None` until its header is complete.
fn record_bytes(received: &[u8]) -> Result<Option<usize>, NotARecord> {
    if received
        .first()
        .is_some_and(|kind| !CONTENT_TYPES.contains(kind))
    {
        return Err(NotARecord);
    }
    let Some([_, _, _, high, low]) = received.first_chunk::<RECORD_HEADER_BYTES>() else {
        return Ok(None);
    };
    let content_bytes = usize::from(u16::from_be_bytes([*high, *low]));
    if content_bytes > MAX_RECORD_CONTENT_BYTES {
        return Err(NotARecord);
    }
    Ok(Some(RECORD_HEADER_BYTES + content_bytes))
}
