//! The folder of token signing keys: `index.json`, `ID.pub` and `ID.key` for each key, and `revoked`. A file is only ever
//! replaced by rename, so that a reader never meets half of one.

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

/// The index of keys.
const INDEX_FILE: &str = "index.json";
/// The revocation list.
const REVOCATION_FILE: &str = "revoked";
/// Permissions of a file that only its owner may read.
const SECRET_MODE: u32 = 0o600;
/// Permissions of a file that all may read.
const PUBLIC_MODE: u32 = 0o644;

/// Why a file of the folder cannot be used or written.
#[derive(Debug, Error)]
pub enum KeyFileError {
    /// It cannot be read, written or renamed.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// The index cannot be used.
    #[error("{0}: {1}")]
    Index(PathBuf, KeyIndexError),
    /// It does not hold a key in hexadecimal digits.
    #[error("{0}: no key of so many hexadecimal digits")]
    Key(PathBuf),
    /// This line of the revocation list cannot be used.
    #[error("{0}:{1}: neither caller NAME nor token ID, or too many lines")]
    Revocation(PathBuf, usize),
    /// It would be overwritten.
    #[error("{0} is there already")]
    Exists(PathBuf),
}

impl KeyFileError {
    /// Whether a file could not be read for a reason that may pass by itself.
    #[must_use]
    pub fn may_be_transient(&self) -> bool {
        matches!(self, KeyFileError::Io(_, error) if is_transient_file_error(error))
    }
}

/// All that the folder holds for those who verify tokens.
pub struct KeyFiles {
    /// Which keys there are, and their lifecycle.
    pub index: KeyIndex,
    /// The public key of each entry of the index.
    pub public_keys: BTreeMap<KeyId, PublicKey>,
    /// Revoked callers and tokens; empty where there is no such file.
    pub revoked: RevocationList,
}

/// Where the public half of a key is.
#[must_use]
pub fn public_path(folder: &Path, id: &KeyId) -> PathBuf {
    folder.join(format!("{id}.pub"))
}

/// Where the secret half of a key is.
#[must_use]
pub fn secret_path(folder: &Path, id: &KeyId) -> PathBuf {
    folder.join(format!("{id}.key"))
}

/// Where the index is.
#[must_use]
pub fn index_path(folder: &Path) -> PathBuf {
    folder.join(INDEX_FILE)
}

/// Where the revocation list is.
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

/// Reads a file; none: there is no such file. Any other failure is an error, since a file that cannot be looked at may well
/// be there.
///
/// # Errors
/// It cannot be read.
pub fn read_if_present(path: &Path) -> Result<Option<String>, KeyFileError> {
    match fs::read_to_string(path) {
        Ok(text) => Ok(Some(text)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(KeyFileError::Io(path.into(), error)),
    }
}

/// Reads a file of `N` bytes in hexadecimal digits.
///
/// # Errors
/// It cannot be read, or holds something else.
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

/// Bytes as a line of hexadecimal digits.
#[must_use]
pub fn hex(bytes: &[u8]) -> Zeroizing<String> {
    let mut line: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    line.push('\n');
    Zeroizing::new(line)
}

/// Reads the index; an empty one where there is no such file yet.
///
/// # Errors
/// There is an index that cannot be used.
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

/// Reads the secret half of a key.
///
/// # Errors
/// It is missing or cannot be used.
pub fn read_secret(folder: &Path, id: &KeyId) -> Result<Zeroizing<SecretKey>, KeyFileError> {
    read_hex(&secret_path(folder, id))
}

/// Reads all that is needed to verify tokens.
///
/// # Errors
/// The index or a public key that it names is missing, or any file cannot be used.
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

/// Replaces a file that only its owner may read.
///
/// # Errors
/// It cannot be written.
pub fn write_secret(path: &Path, content: &[u8]) -> Result<(), KeyFileError> {
    replace(path, content, SECRET_MODE)
}

/// Replaces a file that all may read.
///
/// # Errors
/// It cannot be written.
pub fn write_public(path: &Path, content: &[u8]) -> Result<(), KeyFileError> {
    replace(path, content, PUBLIC_MODE)
}

/// Writes a temporary file beside it and renames that.
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
        // The first error says what is wrong; the file that is left over harms nobody.
        let _ = fs::remove_file(&temporary);
        return Err(io_error(error));
    }
    Ok(())
}

/// Replaces the index.
///
/// # Errors
/// It cannot be written.
///
/// # Panics
/// Never: an index is plain values.
pub fn write_index(folder: &Path, index: &KeyIndex) -> Result<(), KeyFileError> {
    let mut text = serde_json::to_string_pretty(index).expect("an index is plain values");
    text.push('\n');
    write_public(&index_path(folder), text.as_bytes())
}
