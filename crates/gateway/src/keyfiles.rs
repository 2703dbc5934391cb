//! The folder of token signing keys: `index.json`, `ID.pub` and `ID.key` for each key, and
//! `revoked`. The commands replace files only by a rename, but the tool that copies the folder to
//! other machines may not, and copies one file after another. A reader therefore expects that any
//! file is missing or incomplete for a while.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use identity::key_ring::PublicKey;
use identity::token::SecretKey;
use identity::{KeyId, KeyIndex, KeyIndexError, ListExtent, RevocationList};
use thiserror::Error;
use zeroize::Zeroizing;

use crate::file_settling::is_settled;
use crate::machine_errors::{is_missing_file, is_transient_file_error};

/// The key index.
const INDEX_FILE: &str = "index.json";
/// The revocation list.
const REVOCATION_FILE: &str = "revoked";
/// The extension of a public key's file.
const PUBLIC_EXTENSION: &str = "pub";
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
    /// The file is missing, ends too early or changed a moment ago, probably because it is still
    /// being copied.
    #[error("{0}: the file is missing, incomplete or still changing")]
    Incomplete(PathBuf),
    /// The file exists already and is not overwritten.
    #[error("{0} is there already")]
    Exists(PathBuf),
}

impl KeyFileError {
    /// Whether a file could not be read for a reason that may be transient. A file that is missing
    /// or incomplete may still be arriving.
    #[must_use]
    pub fn may_be_transient(&self) -> bool {
        match self {
            KeyFileError::Io(_, error) => is_transient_file_error(error) || is_missing_file(error),
            KeyFileError::Incomplete(_) => true,
            KeyFileError::Index(..)
            | KeyFileError::Key(_)
            | KeyFileError::Revocation(..)
            | KeyFileError::Exists(_) => false,
        }
    }

    /// Whether the file is missing or incomplete.
    fn is_arriving(&self) -> bool {
        match self {
            KeyFileError::Io(_, error) => is_missing_file(error),
            KeyFileError::Incomplete(_) => true,
            _ => false,
        }
    }
}

/// The keys of the folder that are needed to verify tokens.
pub struct KeyFiles {
    /// The keys and their lifecycle.
    pub index: KeyIndex,
    /// The public keys of the index, except those whose files are missing or incomplete.
    pub public_keys: BTreeMap<KeyId, PublicKey>,
}

/// The revocation list of the folder.
pub struct RevocationFile {
    /// Revoked callers and tokens. Empty when the file does not exist.
    pub list: RevocationList,
    /// Whether the file may still be arriving.
    pub extent: ListExtent,
}

/// Returns the path of a public key.
#[must_use]
pub fn public_path(folder: &Path, id: &KeyId) -> PathBuf {
    folder.join(format!("{id}.{PUBLIC_EXTENSION}"))
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

/// Returns the paths of all files that [`read_keys`] may read. Of a folder that cannot be read it
/// is the index alone.
#[must_use]
pub fn key_paths(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    let public_keys = entries.map(|entry| entry.path()).filter(|path| {
        path.extension()
            .is_some_and(|name| name == PUBLIC_EXTENSION)
    });
    public_keys.chain([index_path(folder)]).collect()
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
    let invalid = || unless_changing(path, KeyFileError::Key(path.into()));
    let is_prefix = digits.len() < N * 2 && digits.iter().all(u8::is_ascii_hexdigit);
    if is_prefix {
        return Err(KeyFileError::Incomplete(path.into()));
    }
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
    KeyIndex::parse(text).map_err(|error| {
        let json = serde_json::from_str::<serde_json::Value>(text);
        if json.is_err_and(|error| error.is_eof()) {
            return KeyFileError::Incomplete(path);
        }
        unless_changing(&path, KeyFileError::Index(path.clone(), error))
    })
}

/// The error for an invalid file. One that changed a moment ago may still be overwritten.
fn unless_changing(path: &Path, error: KeyFileError) -> KeyFileError {
    if is_settled(path) {
        error
    } else {
        KeyFileError::Incomplete(path.into())
    }
}

/// Reads a secret key.
///
/// # Errors
/// The file is missing or invalid.
pub fn read_secret(folder: &Path, id: &KeyId) -> Result<Zeroizing<SecretKey>, KeyFileError> {
    read_hex(&secret_path(folder, id))
}

/// Reads the keys that are needed to verify tokens. A public key that is missing or incomplete does
/// not keep the others from being used.
///
/// # Errors
/// The index is missing, or a file is invalid.
pub fn read_keys(folder: &Path) -> Result<KeyFiles, KeyFileError> {
    let index = read_index(folder)?;
    let mut public_keys = BTreeMap::new();
    for entry in &index.keys {
        match read_hex(&public_path(folder, &entry.id)) {
            Ok(public) => {
                public_keys.insert(entry.id.clone(), *public);
            }
            Err(error) if error.is_arriving() => {}
            Err(error) => return Err(error),
        }
    }
    Ok(KeyFiles { index, public_keys })
}

/// Reads the keys like [`read_keys`], for a command that needs all of them.
///
/// # Errors
/// The index or a public key is missing, or a file is invalid.
pub fn read_all_keys(folder: &Path) -> Result<KeyFiles, KeyFileError> {
    let files = read_keys(folder)?;
    let has_arrived = |id: &KeyId| files.public_keys.contains_key(id);
    match files
        .index
        .keys
        .iter()
        .find(|entry| !has_arrived(&entry.id))
    {
        Some(missing) => Err(KeyFileError::Incomplete(public_path(folder, &missing.id))),
        None => Ok(files),
    }
}

/// Reads the revocation list. It is empty when the file does not exist.
///
/// # Errors
/// The file cannot be read, or is invalid.
pub fn read_revocations(folder: &Path) -> Result<RevocationList, KeyFileError> {
    let path = revocation_path(folder);
    let text = read_if_present(&path)?.unwrap_or_default();
    parse_revocations(path, &text)
}

/// Reads the revocation list, which may still be arriving. Of one that changed a moment ago only
/// the complete lines count.
///
/// # Errors
/// The file cannot be read, or is invalid.
pub fn read_arriving_revocations(folder: &Path) -> Result<RevocationFile, KeyFileError> {
    let path = revocation_path(folder);
    let text = read_if_present(&path)?.unwrap_or_default();
    // Files that are replaced or removed change the folder.
    if is_settled(folder) && is_settled(&path) {
        return Ok(RevocationFile {
            list: parse_revocations(path, &text)?,
            extent: ListExtent::Complete,
        });
    }
    let complete_lines = text.rfind('\n').map_or("", |end| &text[..end]);
    Ok(RevocationFile {
        list: parse_revocations(path, complete_lines)?,
        extent: ListExtent::MaybePartial,
    })
}

fn parse_revocations(path: PathBuf, text: &str) -> Result<RevocationList, KeyFileError> {
    RevocationList::parse(text)
        .map_err(|error| unless_changing(&path, KeyFileError::Revocation(path.clone(), error.line)))
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
