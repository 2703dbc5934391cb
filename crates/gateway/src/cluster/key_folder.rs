//! The folder of the fleet's keys. It holds `NAME.key` with 64 hexadecimal digits for each accepted
//! key, and the file `signs` with the name of the signing key.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use ::membership::{KeyError, KeyRing};
use thiserror::Error;
use zeroize::Zeroizing;

use crate::file_settling::is_folder_settled;
use crate::keyfiles::{self, KeyFileError};
use crate::machine_errors::{is_missing_file, is_transient_file_error};

/// Length of a key in bytes.
const KEY_BYTES: usize = 32;
/// Maximum length of a key's name in bytes.
const MAX_NAME_BYTES: usize = 32;
/// The file that names the signing key.
const SIGNING_KEY_FILE: &str = "signs";

/// Why the folder cannot be read or changed.
#[derive(Debug, Error)]
pub enum KeyFolderError {
    /// A file cannot be read, written or removed.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// A key file cannot be used.
    #[error(transparent)]
    File(#[from] KeyFileError),
    /// The keys do not form a valid key ring.
    #[error("{0}: {1}")]
    Keys(PathBuf, KeyError),
    /// This file does not name a key of the folder, or the key that it names was to be removed.
    #[error("{0}: names no key of this folder")]
    SigningKey(PathBuf),
    /// The folder changed a moment ago, so it may still be copied.
    #[error("{0}: the folder is still changing")]
    Changing(PathBuf),
    /// This is not a valid name for a key.
    #[error("'{0}' is no name of 1 to 32 letters, digits, underscores and hyphens")]
    InvalidName(String),
}

/// The names of the keys in a folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyNames {
    /// Accepted keys, sorted by name.
    pub accepted: Vec<String>,
    /// The name in the file `signs`, even when the folder has no such key. `None` when the file
    /// does not exist.
    pub signing: Option<String>,
}

impl KeyFolderError {
    /// Whether the folder cannot be used for a reason that may be transient, as while it is being
    /// copied.
    #[must_use]
    pub fn may_be_transient(&self) -> bool {
        match self {
            KeyFolderError::Io(_, error) => {
                is_transient_file_error(error) || is_missing_file(error)
            }
            KeyFolderError::File(error) => error.may_be_transient(),
            // The file that names the signing key, and that key, arrive one after the other.
            KeyFolderError::SigningKey(_) | KeyFolderError::Changing(_) => true,
            KeyFolderError::Keys(..) | KeyFolderError::InvalidName(_) => false,
        }
    }
}

fn check_name(name: &str) -> Result<(), KeyFolderError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    let has_allowed_length = (1..=MAX_NAME_BYTES).contains(&name.len());
    if has_allowed_length && name.chars().all(is_allowed) {
        Ok(())
    } else {
        Err(KeyFolderError::InvalidName(name.into()))
    }
}

fn key_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.key"))
}

fn key_name(path: &Path) -> Option<&str> {
    let is_key = path.extension().is_some_and(|extension| extension == "key");
    if !is_key {
        return None;
    }
    path.file_stem()?.to_str()
}

/// Lists the keys of the folder.
///
/// # Errors
/// The folder, or the file that names the signing key, cannot be read.
pub fn list(folder: &Path) -> Result<KeyNames, KeyFolderError> {
    let io_error = |error| KeyFolderError::Io(folder.into(), error);
    let mut accepted = Vec::new();
    for entry in fs::read_dir(folder).map_err(io_error)? {
        let path = entry.map_err(io_error)?.path();
        accepted.extend(key_name(&path).map(str::to_owned));
    }
    accepted.sort();
    let signing = keyfiles::read_if_present(&folder.join(SIGNING_KEY_FILE))?;
    Ok(KeyNames {
        accepted,
        signing: signing.map(|text| text.trim().to_owned()),
    })
}

/// Reads all keys of the folder like [`read`], for a gateway that goes by them from then on. While
/// the folder is being copied, keys that other gateways sign with may be missing.
///
/// # Errors
/// The folder cannot be used, or it changed a moment ago.
pub fn read_settled(folder: &Path) -> Result<KeyRing, KeyFolderError> {
    let key_ring = read(folder);
    // Looked at after the reading, so that no change comes in between.
    if !is_folder_settled(folder) {
        return Err(KeyFolderError::Changing(folder.into()));
    }
    key_ring
}

/// Reads all keys of the folder.
///
/// # Errors
/// The folder or one of its keys cannot be used, or no key is the signing key.
pub fn read(folder: &Path) -> Result<KeyRing, KeyFolderError> {
    let KeyNames { accepted, signing } = list(folder)?;
    let signing = signing
        .filter(|signing| accepted.contains(signing))
        .ok_or_else(|| KeyFolderError::SigningKey(folder.join(SIGNING_KEY_FILE)))?;
    let mut verification_keys = Zeroizing::new(Vec::new());
    for name in accepted.iter().filter(|name| **name != signing) {
        verification_keys.push(*keyfiles::read_hex::<KEY_BYTES>(&key_path(folder, name))?);
    }
    let signing_key = keyfiles::read_hex::<KEY_BYTES>(&key_path(folder, &signing))?;
    KeyRing::new(&signing_key, &verification_keys)
        .map_err(|error| KeyFolderError::Keys(folder.into(), error))
}

/// Writes a new key. Every gateway that reads the folder accepts it from then on. The first key of
/// a folder becomes the signing key.
///
/// # Errors
/// The name is invalid or taken, or a file cannot be written.
pub fn add(folder: &Path, name: &str, key: &[u8; KEY_BYTES]) -> Result<(), KeyFolderError> {
    check_name(name)?;
    let path = key_path(folder, name);
    if path.exists() {
        return Err(KeyFileError::Exists(path).into());
    }
    let is_first = list(folder)?.signing.is_none();
    keyfiles::write_secret(&path, keyfiles::hex(key).as_bytes())?;
    if is_first {
        set_signing_key(folder, name)?;
    }
    Ok(())
}

/// Makes a key of the folder the signing key. Gateways use it once they read the folder again.
///
/// # Errors
/// There is no such key, or the file cannot be written.
pub fn set_signing_key(folder: &Path, name: &str) -> Result<(), KeyFolderError> {
    check_name(name)?;
    let path = key_path(folder, name);
    if !path.exists() {
        return Err(KeyFolderError::SigningKey(path));
    }
    let content = format!("{name}\n");
    keyfiles::write_public(&folder.join(SIGNING_KEY_FILE), content.as_bytes())?;
    Ok(())
}

/// Removes a key. Gateways reject what it signed once they read the folder again.
///
/// # Errors
/// The key is the signing key or does not exist.
pub fn remove(folder: &Path, name: &str) -> Result<(), KeyFolderError> {
    check_name(name)?;
    if list(folder)?.signing.as_deref() == Some(name) {
        return Err(KeyFolderError::SigningKey(folder.join(SIGNING_KEY_FILE)));
    }
    let path = key_path(folder, name);
    fs::remove_file(&path).map_err(|error| KeyFolderError::Io(path, error))
}
