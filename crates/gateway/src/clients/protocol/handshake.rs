//! The start of a session: the server's greeting, the client's login, and the request for a token as its password.

use bytes::BytesMut;
use mysql_common::constants::{CapabilityFlags, StatusFlags};
use mysql_common::io::ParseBuf;
use mysql_common::packets::{HandshakePacket, HandshakeResponse};
use mysql_common::proto::{MyDeserialize, MySerialize};
use thiserror::Error;

use super::response::{ErrorCode, Response, UTF8_GENERAL_CI};

/// The user of clients without tokens. Accounts are checked by user and database alone: its password is empty.
const USER: &[u8] = b"app";

/// The user that a token is the password of.
const TOKEN_USER: &[u8] = b"token";

/// The one database that there is.
pub(super) const DATABASE: &[u8] = b"warehouse";

const PROTOCOL_VERSION: u8 = 10;
const SERVER_VERSION: &[u8] = b"8.0.0-laurelhitch";
const NATIVE_PASSWORD: &[u8] = b"mysql_native_password";
const CLEAR_PASSWORD: &[u8] = b"mysql_clear_password";

/// The scramble's two parts. No password is ever checked with it, so it need not be random.
const SCRAMBLE_START: [u8; 8] = *b"laurel--";
const SCRAMBLE_END: &[u8] = b"hitch-------\0";

/// The first byte of a request to switch the authentication method.
const AUTH_SWITCH_REQUEST: u8 = 0xfe;

/// Of MariaDB's capabilities, those beyond MySQL's thirty-two: its clients take progress reports.
const MARIADB_CLIENT_PROGRESS: u32 = 1;

/// Where a login has its further MariaDB capabilities, in bytes from its start.
const LOGIN_MARIADB_CAPABILITIES: usize = 28;

/// A request for TLS is a login that ends here, ahead of the user's name.
const TLS_REQUEST_BYTES: usize = 32;

/// Between a greeting's server version and its lower capabilities: the connection's id, the scramble's first part and
/// the byte behind it.
const GREETING_VERSION_TO_CAPABILITIES: usize = 4 + 8 + 1;

/// From a greeting's lower capabilities to its further MariaDB capabilities.
const GREETING_MARIADB_CAPABILITIES: usize = 14;

/// What the server offers beside the capabilities that it always has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OfferedOptions {
    /// Progress reports of waiting statements, in MariaDB's form.
    pub progress_reports: bool,
    /// The client may ask for TLS.
    pub tls: bool,
}

/// What a client's first packet asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstPacket {
    /// TLS first, and the login behind it.
    TlsRequest,
    /// A login, without TLS.
    Login,
}

/// Why a login is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LoginError {
    /// It is no login of this protocol.
    #[error("Bad handshake")]
    Malformed,
    /// The user is wrong, or has a password that it should not have.
    #[error("Access denied")]
    AccessDenied,
    /// It names another database than the one there is.
    #[error("Unknown database")]
    UnknownDatabase,
    /// It came without TLS, where callers have to be known.
    #[error("TLS is required here")]
    TlsRequired,
}

impl LoginError {
    /// The code that the client is answered.
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

/// What a login may carry as its password.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PasswordRule {
    /// Nothing: a login with one is wrong.
    Empty,
    /// Anything: the password proper is asked for afterwards.
    Ignored,
}

/// The server's first packet, to the session of this number.
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
    // The greeting answers nothing: its number is zero.
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

/// Makes the greeting one of MariaDB's: without the capability that marks MySQL's own servers, the last four of its
/// reserved bytes are further capabilities.
fn offer_progress_reports(greeting: &mut [u8]) {
    let version_end = greeting.iter().skip(1).position(|byte| *byte == 0);
    let lower = version_end.map_or(0, |end| end + 2 + GREETING_VERSION_TO_CAPABILITIES);
    let further = lower + GREETING_MARIADB_CAPABILITIES;
    let further_end = further + size_of::<u32>();
    if greeting.len() > further_end {
        greeting[lower] &= !(CapabilityFlags::CLIENT_LONG_PASSWORD.bits() as u8);
        greeting[further..further_end].copy_from_slice(&MARIADB_CLIENT_PROGRESS.to_le_bytes());
    }
}

/// Whether a login announces that progress reports are understood.
#[must_use]
pub fn accepts_progress_reports(login: &[u8]) -> bool {
    let mysql_own = CapabilityFlags::CLIENT_LONG_PASSWORD.bits();
    let is_mariadb = little_endian_u32(login, 0).is_some_and(|flags| flags & mysql_own == 0);
    let takes_progress = little_endian_u32(login, LOGIN_MARIADB_CAPABILITIES)
        .is_some_and(|flags| flags & MARIADB_CLIENT_PROGRESS != 0);
    is_mariadb && takes_progress
}

fn little_endian_u32(bytes: &[u8], start: usize) -> Option<u32> {
    let word = bytes.get(start..)?.first_chunk()?;
    Some(u32::from_le_bytes(*word))
}

/// What a first packet asks for: one that asks for TLS ends ahead of the user's name.
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
/// It is malformed, or of another user or database than the ones there are, or has a password.
pub fn check_login(body: &[u8]) -> Result<(), LoginError> {
    check(body, USER, PasswordRule::Empty)
}

/// Checks a login by token, as far as it goes: the token itself comes afterwards.
///
/// # Errors
///
/// It is malformed, or of another user or database than the ones there are.
pub fn check_token_login(body: &[u8]) -> Result<(), LoginError> {
    check(body, TOKEN_USER, PasswordRule::Ignored)
}

fn check(body: &[u8], user: &[u8], password: PasswordRule) -> Result<(), LoginError> {
    // Only what both sides can do shapes the packet; ordinary clients name more than they were offered.
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
    /// Asks for the password as it is, which is only ever done within TLS.
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
