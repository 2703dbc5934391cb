//! The folder of token signing keys: `index.json`, `ID.pub` and `ID.key` for each key, and
//! `revoked`. Files are replaced only by a rename, so that a reader never sees a partial file.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use identity::key_ring::PublicKey;
use identity::token::SecretKey;
use identity::{KeyId, KeyIndex, KeyIndexError, RevocationList};
use thiserror::Error;
use zeroize::Zeroizing;

use crate::machine_errors::is_transient_file_error;

/// The key index.
const INDEX_FILE: &str = "index.json";
/// The revocation list.
const REVOCATION_FILE: &str = "revoked";
/// File mode of a file that only its owner can read.
const SECRET_MODE: u32 = 0o600;
/// File mode of a file that everyone can read.
const PUBLIC_MODE: u32 = 0o644;

/// Why a file of the folder cannot be used or written.
#[derive(Debug, Error)]
pub enum KeyFileError {
    /// The file cannot be read, written or renamed.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// The index is invalid.
    #[error("{0}: {1}")]
    Index(PathBuf, KeyIndexError),
    /// The file does not contain a key of the right length in hexadecimal digits.
    #[error("{0}: the file does not hold a key with the required number of hexadecimal digits")]
    Key(PathBuf),
    /// The revocation list is invalid at this line, or has too many lines.
    #[error(
        "{0}:{1}: the line is neither 'caller NAME' nor 'token ID', or the list has too many lines"
    )]
    Revocation(PathBuf, usize),
    /// The file exists already and is not overwritten.
    #[error("{0} is there already")]
    Exists(PathBuf),
}

impl KeyFileError {
    /// Whether a file could not be read for a reason that may be transient.
    #[must_use]
    pub fn may_be_transient(&self) -> bool {
        matches!(self, KeyFileError::Io(_, error) if is_transient_file_error(error))
    }
}

/// The content of the folder that is needed to verify tokens.
pub struct KeyFiles {
    /// The keys and their lifecycle.
    pub index: KeyIndex,
    /// The public key of each entry of the index.
    pub public_keys: BTreeMap<KeyId, PublicKey>,
    /// Revoked callers and tokens. Empty when the file does not exist.
    pub revoked: RevocationList,
}

/// Returns the path of a public key.
#[must_use]
pub fn public_path(folder: &Path, id: &KeyId) -> PathBuf {
    folder.join(format!("{id}.pub"))
}

/// Returns the path of a secret key.
#[must_use]
pub fn secret_path(folder: &Path, id: &KeyId) -> PathBuf {
    folder.join(format!("{id}.key"))
}

/// Returns the path of the index.
#[must_use]
pub fn index_path(folder: &Path) -> PathBuf {
    folder.join(INDEX_FILE)
}

/// Returns the path of the revocation list.
#[must_use]
pub fn revocation_path(folder: &Path) -> PathBuf {
    folder.join(REVOCATION_FILE)
}

fn read_text(path: &Path) -> Result<Zeroizing<String>, KeyFileError> {
    match fs::read_to_string(path) {
        Ok(text) => Ok(Zeroizing::new(text)),
        Err(error) => Err(KeyFileError::Io(path.into(), error)),
    }
}

/// Reads a file. Returns `None` only when the file does not exist: after any other failure it may
/// exist.
///
/// # Errors
/// The file cannot be read.
pub fn read_if_present(path: &Path) -> Result<Option<String>, KeyFileError> {
    match fs::read_to_string(path) {
        Ok(text) => Ok(Some(text)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(KeyFileError::Io(path.into(), error)),
    }
}

/// Reads a file that contains `N` bytes as hexadecimal digits.
///
/// # Errors
/// The file cannot be read, or contains anything else.
pub fn read_hex<const N: usize>(path: &Path) -> Result<Zeroizing<[u8; N]>, KeyFileError> {
    let text = read_text(path)?;
    let digits = text.trim().as_bytes();
    let invalid = || KeyFileError::Key(path.into());
    if digits.len() != N * 2 {
        return Err(invalid());
    }
    let mut bytes = Zeroizing::new([0; N]);
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        let high = hex_digit(pair[0]).ok_or_else(invalid)?;
        let low = hex_digit(pair[1]).ok_or_else(invalid)?;
        *byte = high << 4 | low;
    }
    Ok(bytes)
}

fn hex_digit(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}

/// Encodes bytes as a line of hexadecimal digits.
#[must_use]
pub fn hex(bytes: &[u8]) -> Zeroizing<String> {
    let mut line: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    line.push('\n');
    Zeroizing::new(line)
}

/// Reads the index, or returns an empty one when the file does not exist.
///
/// # Errors
/// The index exists but cannot be used.
pub fn read_index_or_default(folder: &Path) -> Result<KeyIndex, KeyFileError> {
    let path = index_path(folder);
    match read_if_present(&path)? {
        Some(text) => parse_index(path, &text),
        None => Ok(KeyIndex::default()),
    }
}

fn read_index(folder: &Path) -> Result<KeyIndex, KeyFileError> {
    let path = index_path(folder);
    let text = read_text(&path)?;
    parse_index(path, &text)
}

fn parse_index(path: PathBuf, text: &str) -> Result<KeyIndex, KeyFileError> {
    KeyIndex::parse(text).map_err(|error| KeyFileError::Index(path, error))
}

/// Reads a secret key.
///
/// # Errors
/// The file is missing or invalid.
pub fn read_secret(folder: &Path, id: &KeyId) -> Result<Zeroizing<SecretKey>, KeyFileError> {
    read_hex(&secret_path(folder, id))
}

/// Reads everything that is needed to verify tokens.
///
/// # Errors
/// The index or one of its public keys is missing, or a file is invalid.
pub fn read(folder: &Path) -> Result<KeyFiles, KeyFileError> {
    let index = read_index(folder)?;
    let mut public_keys = BTreeMap::new();
    for entry in &index.keys {
        let public = read_hex(&public_path(folder, &entry.id))?;
        public_keys.insert(entry.id.clone(), *public);
    }
    let revoked = read_revocation_list(folder)?;
    Ok(KeyFiles {
        index,
        public_keys,
        revoked,
    })
}

fn read_revocation_list(folder: &Path) -> Result<RevocationList, KeyFileError> {
    let path = revocation_path(folder);
    let text = read_if_present(&path)?.unwrap_or_default();
    RevocationList::parse(&text).map_err(|error| KeyFileError::Revocation(path, error.line))
}

/// Replaces a file that only its owner can read.
///
/// # Errors
/// The file cannot be written.
pub fn write_secret(path: &Path, content: &[u8]) -> Result<(), KeyFileError> {
    replace(path, content, SECRET_MODE)
}

/// Replaces a file that everyone can read.
///
/// # Errors
/// The file cannot be written.
pub fn write_public(path: &Path, content: &[u8]) -> Result<(), KeyFileError> {
    replace(path, content, PUBLIC_MODE)
}

/// Writes a temporary file in the same folder and renames it to `path`.
fn replace(path: &Path, content: &[u8], mode: u32) -> Result<(), KeyFileError> {
    let io_error = |error| KeyFileError::Io(path.into(), error);
    let temporary = path.with_extension(format!("new-{}", std::process::id()));
    let mut file = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(&temporary)
        .map_err(io_error)?;
    let written = file
        .write_all(content)
        .and_then(|()| file.sync_all())
        .and_then(|()| fs::rename(&temporary, path));
    if let Err(error) = written {
        // The first error is the relevant one, and a leftover temporary file is harmless.
        let _ = fs::remove_file(&temporary);
        return Err(io_error(error));
    }
    Ok(())
}

/// Replaces the index.
///
/// # Errors
/// The file cannot be written.
///
/// # Panics
/// Never, because an index always serializes to JSON.
pub fn write_index(folder: &Path, index: &KeyIndex) -> Result<(), KeyFileError> {
    let mut text =
        serde_json::to_string_pretty(index).expect("a key index can always be encoded as JSON");
    text.push('\n');
    write_public(&index_path(folder), text.as_bytes())
}
