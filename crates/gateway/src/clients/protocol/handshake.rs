//! The handshake of a session: the server's greeting, the client's login, and the request for a
//! token as the password.

use bytes::BytesMut;
use mysql_common::constants::{CapabilityFlags, StatusFlags};
use mysql_common::io::ParseBuf;
use mysql_common::packets::{HandshakePacket, HandshakeResponse};
use mysql_common::proto::{MyDeserialize, MySerialize};
use thiserror::Error;

use super::response::{ErrorCode, Response, UTF8_GENERAL_CI};

/// The user of clients that log in without a token. Its password is empty, so only the user and the
/// database are checked.
const USER: &[u8] = b"app";

/// The user of clients that log in with a token as the password.
const TOKEN_USER: &[u8] = b"token";

/// The only database.
pub(super) const DATABASE: &[u8] = b"warehouse";

const PROTOCOL_VERSION: u8 = 10;
const SERVER_VERSION: &[u8] = b"8.0.0-laurelhitch";
const NATIVE_PASSWORD: &[u8] = b"mysql_native_password";
const CLEAR_PASSWORD: &[u8] = b"mysql_clear_password";

/// The two parts of the authentication scramble. No password is ever checked against it, so it need
/// not be random.
const SCRAMBLE_START: [u8; 8] = *b"laurel--";
const SCRAMBLE_END: &[u8] = b"hitch-------\0";

/// The first byte of a request to switch the authentication method.
const AUTH_SWITCH_REQUEST: u8 = 0xfe;

/// The flag `MARIADB_CLIENT_PROGRESS` in MariaDB's extended capabilities, which follow the 32
/// capability flags of MySQL.
const MARIADB_CLIENT_PROGRESS: u32 = 1;

/// The offset of MariaDB's extended capabilities in a login packet, in bytes.
const LOGIN_MARIADB_CAPABILITIES: usize = 28;

/// The size of a TLS request, which is a login packet that ends before the user name.
const TLS_REQUEST_BYTES: usize = 32;

/// The distance in a greeting from the end of the server version to the lower capability flags, in
/// bytes. The connection id, the first part of the scramble and a filler byte stand between them.
const GREETING_VERSION_TO_CAPABILITIES: usize = 4 + 8 + 1;

/// The distance in a greeting from the lower capability flags to MariaDB's extended capabilities,
/// in bytes.
const GREETING_MARIADB_CAPABILITIES: usize = 14;

/// What a greeting offers in addition to the fixed capabilities.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OfferedOptions {
    /// Whether clients can receive MariaDB progress reports about waiting statements.
    pub progress_reports: bool,
    /// Whether clients can request TLS.
    pub tls: bool,
}

/// The kind of a client's first packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstPacket {
    /// A request for TLS. The login follows over TLS.
    TlsRequest,
    /// A login without TLS.
    Login,
}

/// Why a login is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LoginError {
    /// The packet is not a valid login of protocol 4.1.
    #[error("Bad handshake")]
    Malformed,
    /// The user, the password or the token's encoding is wrong.
    #[error("Access denied")]
    AccessDenied,
    /// The login names a database that does not exist.
    #[error("Unknown database")]
    UnknownDatabase,
    /// The login came without TLS although the gateway requires it.
    #[error("TLS is required here")]
    TlsRequired,
}

impl LoginError {
    /// The error code that is sent to the client.
    #[must_use]
    pub fn code(self) -> ErrorCode {
        match self {
            LoginError::Malformed => ErrorCode::BAD_HANDSHAKE,
            LoginError::AccessDenied => ErrorCode::ACCESS_DENIED,
            LoginError::UnknownDatabase => ErrorCode::UNKNOWN_DATABASE,
            LoginError::TlsRequired => ErrorCode::TLS_REQUIRED,
        }
    }
}

/// How the password in a login packet is checked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PasswordRule {
    /// The password must be empty.
    Empty,
    /// The password is ignored, because the token is requested in a later packet.
    Ignored,
}

/// Encodes the greeting, the server's first packet of a connection.
#[must_use]
pub fn greeting(connection_id: u32, options: OfferedOptions) -> BytesMut {
    let tls = if options.tls {
        CapabilityFlags::CLIENT_SSL
    } else {
        CapabilityFlags::empty()
    };
    let packet = HandshakePacket::new(
        PROTOCOL_VERSION,
        SERVER_VERSION,
        connection_id,
        SCRAMBLE_START,
        Some(SCRAMBLE_END),
        offered_capabilities() | tls,
        UTF8_GENERAL_CI,
        StatusFlags::SERVER_STATUS_AUTOCOMMIT,
        Some(NATIVE_PASSWORD),
    );
    // The greeting is not a response, so its sequence number is zero, the successor of `u8::MAX`.
    let mut response = Response::to(u8::MAX);
    response.packet(|body| {
        packet.serialize(body);
        if options.progress_reports {
            offer_progress_reports(body);
        }
    });
    response.into_bytes()
}

fn offered_capabilities() -> CapabilityFlags {
    CapabilityFlags::CLIENT_LONG_PASSWORD
        | CapabilityFlags::CLIENT_LONG_FLAG
        | CapabilityFlags::CLIENT_CONNECT_WITH_DB
        | CapabilityFlags::CLIENT_PROTOCOL_41
        | CapabilityFlags::CLIENT_TRANSACTIONS
        | CapabilityFlags::CLIENT_SECURE_CONNECTION
        | CapabilityFlags::CLIENT_PLUGIN_AUTH
}

/// Turns the greeting into one of a MariaDB server that supports progress reports. Such a server
/// clears `CLIENT_LONG_PASSWORD`, and the last four reserved bytes of its greeting hold MariaDB's
/// extended capabilities.
fn offer_progress_reports(greeting: &mut [u8]) {
    let version_end = greeting.iter().skip(1).position(|byte| *byte == 0);
    let lower_flags = version_end.map_or(0, |end| end + 2 + GREETING_VERSION_TO_CAPABILITIES);
    let extended_flags = lower_flags + GREETING_MARIADB_CAPABILITIES;
    let extended_end = extended_flags + size_of::<u32>();
    if greeting.len() > extended_end {
        greeting[lower_flags] &= !(CapabilityFlags::CLIENT_LONG_PASSWORD.bits() as u8);
        greeting[extended_flags..extended_end]
            .copy_from_slice(&MARIADB_CLIENT_PROGRESS.to_le_bytes());
    }
}

/// Whether a login comes from a MariaDB client that accepts progress reports.
#[must_use]
pub fn accepts_progress_reports(login: &[u8]) -> bool {
    let mysql_only_flag = CapabilityFlags::CLIENT_LONG_PASSWORD.bits();
    let is_mariadb = little_endian_u32(login, 0).is_some_and(|flags| flags & mysql_only_flag == 0);
    let takes_progress = little_endian_u32(login, LOGIN_MARIADB_CAPABILITIES)
        .is_some_and(|flags| flags & MARIADB_CLIENT_PROGRESS != 0);
    is_mariadb && takes_progress
}

fn little_endian_u32(bytes: &[u8], start: usize) -> Option<u32> {
    let word = bytes.get(start..)?.first_chunk()?;
    Some(u32::from_le_bytes(*word))
}

/// Classifies a client's first packet. A TLS request has the TLS flag and ends before the user
/// name.
#[must_use]
pub fn first_packet(body: &[u8]) -> FirstPacket {
    let has_tls_flag = little_endian_u32(body, 0)
        .is_some_and(|flags| flags & CapabilityFlags::CLIENT_SSL.bits() != 0);
    if has_tls_flag && body.len() == TLS_REQUEST_BYTES {
        FirstPacket::TlsRequest
    } else {
        FirstPacket::Login
    }
}

/// Checks a login without a token.
///
/// # Errors
///
/// Fails if the login is malformed, names a wrong user or an unknown database, or has a password.
pub fn check_login(body: &[u8]) -> Result<(), LoginError> {
    check_login_packet(body, USER, PasswordRule::Empty)
}

/// Checks a login by token. The token itself follows in a later packet.
///
/// # Errors
///
/// Fails if the login is malformed, or names a wrong user or an unknown database.
pub fn check_token_login(body: &[u8]) -> Result<(), LoginError> {
    check_login_packet(body, TOKEN_USER, PasswordRule::Ignored)
}

fn check_login_packet(body: &[u8], user: &[u8], password: PasswordRule) -> Result<(), LoginError> {
    // The layout of a login depends on the capabilities that both sides have. Clients also announce
    // flags that the greeting did not offer, so those are cleared before parsing.
    let mut body = body.to_vec();
    let offered = offered_capabilities().bits().to_le_bytes();
    for (announced, offered) in body.iter_mut().zip(offered) {
        *announced &= offered;
    }
    let login = HandshakeResponse::deserialize((), &mut ParseBuf(&body))
        .map_err(|_| LoginError::Malformed)?;
    let capabilities = login.capabilities();
    if !capabilities.contains(CapabilityFlags::CLIENT_PROTOCOL_41) {
        return Err(LoginError::Malformed);
    }
    let has_wrong_password = password == PasswordRule::Empty && !login.scramble_buf().is_empty();
    if login.user() != user || has_wrong_password {
        return Err(LoginError::AccessDenied);
    }
    match login.db_name() {
        Some(name) if !name.is_empty() && name != DATABASE => Err(LoginError::UnknownDatabase),
        _ => Ok(()),
    }
}

impl Response {
    /// Requests the password in clear text. This is only done over TLS.
    #[must_use]
    pub fn request_clear_password(mut self) -> BytesMut {
        self.packet(|body| {
            body.push(AUTH_SWITCH_REQUEST);
            body.extend(CLEAR_PASSWORD);
            body.push(0);
        });
        self.into_bytes()
    }
}
