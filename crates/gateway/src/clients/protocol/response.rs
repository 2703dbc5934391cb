//! Encodes responses to client packets: OK, errors, result sets and progress reports.

use bytes::BytesMut;
use mysql_common::constants::ColumnType;
use mysql_common::misc::raw::{RawBytes, bytes::LenEnc};
use mysql_common::packets::{Column, ErrPacket, ServerError, SqlState};
use mysql_common::proto::MySerialize;
use mysql_common::proto::codec::packet_to_chunks;

/// The collation `utf8_general_ci`, used for all text.
pub(super) const UTF8_GENERAL_CI: u8 = 33;

/// An OK packet: no affected rows, no insert id, status autocommit, no warnings.
const OK_PACKET: [u8; 7] = [0, 0, 0, 2, 0, 0, 0];

/// An EOF packet: no warnings, status autocommit.
const EOF_PACKET: [u8; 5] = [0xfe, 0, 0, 2, 0];

/// The start of a MariaDB progress report: an error packet with the code 0xffff, followed by the
/// number of strings, which is one.
const PROGRESS_HEADER: [u8; 4] = [0xff, 0xff, 0xff, 1];

/// The progress value of a completed stage, in thousandths of a percent.
const STAGE_COMPLETE: u32 = 100_000;

/// The display width in column definitions.
const COLUMN_LENGTH: u32 = 1 << 16;

/// The column names of engine results, which carry no names of their own.
const RESULT_COLUMNS: [&str; 3] = ["c1", "c2", "c3"];

/// A MySQL error code and its SQL state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorCode {
    /// The MySQL error number.
    pub number: u16,
    /// The five characters of the SQL state.
    pub sql_state: [u8; 5],
}

impl ErrorCode {
    /// `ER_CON_COUNT_ERROR`
    pub const TOO_MANY_OPEN: Self = Self::new(1040, b"08004");
    /// `ER_HANDSHAKE_ERROR`
    pub const BAD_HANDSHAKE: Self = Self::new(1043, b"08S01");
    /// `ER_ACCESS_DENIED_ERROR`
    pub const ACCESS_DENIED: Self = Self::new(1045, b"28000");
    /// `ER_UNKNOWN_COM_ERROR`
    pub const UNKNOWN_COMMAND: Self = Self::new(1047, b"08S01");
    /// `ER_BAD_DB_ERROR`
    pub const UNKNOWN_DATABASE: Self = Self::new(1049, b"42000");
    /// `ER_PARSE_ERROR`
    pub const PARSE_ERROR: Self = Self::new(1064, b"42000");
    /// `ER_NO_SUCH_THREAD`
    pub const NO_SUCH_THREAD: Self = Self::new(1094, b"HY000");
    /// `ER_TABLEACCESS_DENIED_ERROR`
    pub const NOT_GRANTED: Self = Self::new(1142, b"42000");
    /// `ER_NET_PACKET_TOO_LARGE`
    pub const PACKET_TOO_LARGE: Self = Self::new(1153, b"08S01");
    /// `ER_UNKNOWN_ERROR`
    pub const UNKNOWN_ERROR: Self = Self::new(1105, b"HY000");
    /// `ER_USER_LIMIT_REACHED`
    pub const LIMIT_REACHED: Self = Self::new(1226, b"42000");
    /// `ER_QUERY_INTERRUPTED`
    pub const QUERY_INTERRUPTED: Self = Self::new(1317, b"70100");
    /// `ER_SECURE_TRANSPORT_REQUIRED`
    pub const TLS_REQUIRED: Self = Self::new(3159, b"HY000");

    const fn new(number: u16, sql_state: &[u8; 5]) -> Self {
        ErrorCode {
            number,
            sql_state: *sql_state,
        }
    }
}

/// The content of a MariaDB progress report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressReport<'a> {
    /// The number of the current stage, starting at 1.
    pub stage: u8,
    /// The total number of stages.
    pub stages: u8,
    /// The completed part of the stage, in thousandths of a percent. Values above 100 % are sent as
    /// 100 %.
    pub done: u32,
    /// The description of the stage.
    pub text: &'a str,
}

/// A packet that is sent ahead of the response, such as a progress report.
#[derive(Debug, PartialEq, Eq)]
pub struct EarlyPacket {
    /// The sequence number of this packet. The response continues from it.
    pub sequence: u8,
    /// The encoded packet, including its header.
    pub bytes: BytesMut,
}

/// Builds the packets of one response. Their sequence numbers continue from the client's packet.
pub struct Response {
    sequence: u8,
    bytes: BytesMut,
    /// The body of the packet that is being encoded, kept to reuse its allocation.
    body: Vec<u8>,
}

impl Response {
    /// Starts a response to the packet with this sequence number.
    #[must_use]
    pub fn to(sequence: u8) -> Self {
        Response {
            sequence: sequence.wrapping_add(1),
            bytes: BytesMut::new(),
            body: Vec::new(),
        }
    }

    /// An OK response, which reports success without a result set.
    #[must_use]
    pub fn ok(mut self) -> BytesMut {
        self.packet(|body| body.extend(OK_PACKET));
        self.bytes
    }

    /// An error response with this code and text.
    #[must_use]
    pub fn error(mut self, code: ErrorCode, text: &str) -> BytesMut {
        let state = SqlState::new(code.sql_state);
        let error = ServerError::new(code.number, Some(state), text.as_bytes());
        self.packet(|body| ErrPacket::Error(error).serialize(body));
        self.bytes
    }

    /// A result set with text columns of these names.
    #[must_use]
    pub fn table<const N: usize>(mut self, names: [&str; N], rows: &[[String; N]]) -> BytesMut {
        self.columns(&names);
        for row in rows {
            self.row(row.iter().map(String::as_bytes));
        }
        self.eof();
        self.bytes
    }

    /// A result set with the rows in an engine's pages. In these pages a tab separates columns and
    /// a line feed ends each row. A page must end with a complete row.
    #[must_use]
    pub fn result_set<'a>(mut self, pages: impl Iterator<Item = &'a [u8]>) -> BytesMut {
        self.columns(&RESULT_COLUMNS);
        for page in pages {
            for line in page.split_inclusive(|byte| *byte == b'\n') {
                let row = line.strip_suffix(b"\n").unwrap_or(line);
                self.row(row.split(|byte| *byte == b'\t'));
            }
        }
        self.eof();
        self.bytes
    }

    /// A result set with one row and one column, as clients request during connection setup.
    #[must_use]
    pub fn single_value(mut self, name: &str, value: &[u8]) -> BytesMut {
        self.columns(&[name]);
        self.row([value].into_iter());
        self.eof();
        self.bytes
    }

    /// A MariaDB progress report, sent ahead of the actual response.
    #[must_use]
    pub fn progress(mut self, report: &ProgressReport<'_>) -> EarlyPacket {
        self.packet(|body| {
            body.extend(PROGRESS_HEADER);
            body.extend([report.stage, report.stages]);
            let done = report.done.min(STAGE_COMPLETE).to_le_bytes();
            body.extend(&done[..3]);
            RawBytes::<LenEnc>::new(report.text.as_bytes()).serialize(body);
        });
        EarlyPacket {
            sequence: self.sequence.wrapping_sub(1),
            bytes: self.bytes,
        }
    }

    /// Appends one packet with the body that `write` produces.
    pub(super) fn packet(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        self.body.clear();
        write(&mut self.body);
        self.sequence = packet_to_chunks(self.sequence, &mut &self.body[..], &mut self.bytes);
    }

    /// Returns the encoded packets.
    pub(super) fn into_bytes(self) -> BytesMut {
        self.bytes
    }

    fn eof(&mut self) {
        self.packet(|body| body.extend(EOF_PACKET));
    }

    fn columns(&mut self, names: &[&str]) {
        self.packet(|body| body.push(names.len() as u8));
        for name in names {
            let column = Column::new(ColumnType::MYSQL_TYPE_VAR_STRING)
                .with_name(name.as_bytes())
                .with_character_set(UTF8_GENERAL_CI.into())
                .with_column_length(COLUMN_LENGTH);
            self.packet(|body| column.serialize(body));
        }
        self.eof();
    }

    fn row<'a>(&mut self, values: impl Iterator<Item = &'a [u8]>) {
        self.packet(|body| {
            for value in values {
                RawBytes::<LenEnc>::new(value).serialize(body);
            }
        });
    }
}
