//! The folder of keys: `index.json`, `ID.pub` and `ID.key` for each key, and `revoked`. Every file is replaced whole, by
//! rename, so that a reader never meets half of one.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use identity::{KeyId, KeyIndex, KeyIndexError, RevocationList};
use thiserror::Error;
use zeroize::Zeroizing;

#[derive(Debug, Error)]
pub enum FilesError {
    #[error("{0}: {1}")]
    Unreadable(PathBuf, io::Error),
    #[error("{0}: {1}")]
    Index(PathBuf, KeyIndexError),
    #[error("{0}: no key of so many hexadecimal digits")]
    Key(PathBuf),
    #[error("{0}:{1}: neither caller NAME nor token ID, or too many lines")]
    Revoked(PathBuf, usize),
    #[error("{0} is there already")]
    There(PathBuf),
}

/// All that the folder holds for those who check tokens.
pub struct Files {
    pub index: KeyIndex,
    pub public: BTreeMap<KeyId, [u8; 32]>,
    pub revoked: RevocationList,
}

pub fn public_path(folder: &Path, id: &KeyId) -> PathBuf {
    folder.join(format!("{}.pub", id.as_str()))
}

pub fn secret_path(folder: &Path, id: &KeyId) -> PathBuf {
    folder.join(format!("{}.key", id.as_str()))
}

fn text(path: &Path) -> Result<Zeroizing<String>, FilesError> {
    let text = fs::read_to_string(path).map_err(|e| FilesError::Unreadable(path.into(), e))?;
    Ok(Zeroizing::new(text))
}

pub fn unhex<const N: usize>(path: &Path) -> Result<Zeroizing<[u8; N]>, FilesError> {
    let text = text(path)?;
    let digits = text.trim().as_bytes();
    let digit = |byte: u8| (byte as char).to_digit(16).map(|digit| digit as u8);
    let mut bytes = Zeroizing::new([0; N]);
    if digits.len() != N * 2 {
        return Err(FilesError::Key(path.into()));
    }
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks(2)) {
        let both = digit(pair[0]).zip(digit(pair[1]));
        let (high, low) = both.ok_or_else(|| FilesError::Key(path.into()))?;
        *byte = high << 4 | low;
    }
    Ok(bytes)
}

/// # Errors
/// There is an index that cannot be used; none at all is an empty one.
pub fn index(folder: &Path) -> Result<KeyIndex, FilesError> {
    let path = folder.join("index.json");
    if !path.exists() {
        return Ok(KeyIndex::default());
    }
    KeyIndex::parse(&text(&path)?).map_err(|e| FilesError::Index(path, e))
}

pub fn secret(folder: &Path, id: &KeyId) -> Result<Zeroizing<[u8; 64]>, FilesError> {
    unhex(&secret_path(folder, id))
}

/// # Errors
/// Any file that the index needs is missing or cannot be used.
pub fn read(folder: &Path) -> Result<Files, FilesError> {
    let index_path = folder.join("index.json");
    let index =
        KeyIndex::parse(&text(&index_path)?).map_err(|e| FilesError::Index(index_path, e))?;
    let mut public = BTreeMap::new();
    for listed in &index.keys {
        public.insert(listed.id.clone(), *unhex(&public_path(folder, &listed.id))?);
    }
    let path = folder.join("revoked");
    let revoked = if path.exists() {
        text(&path)?
    } else {
        Zeroizing::default()
    };
    let revoked =
        RevocationList::parse(&revoked).map_err(|error| FilesError::Revoked(path, error.line))?;
    Ok(Files {
        index,
        public,
        revoked,
    })
}

/// Writes beside it and renames; readable by its owner alone where it is secret.
pub fn replace(path: &Path, content: &[u8], secret: bool) -> Result<(), FilesError> {
    let error = |e| FilesError::Unreadable(path.into(), e);
    let beside = path.with_extension(format!("new-{}", std::process::id()));
    let mode = if secret { 0o600 } else { 0o644 };
    let mut options = fs::OpenOptions::new();
    let mut file = options
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(&beside)
        .map_err(error)?;
    let written = file.write_all(content).and_then(|()| file.sync_all());
    written
        .and_then(|()| fs::rename(&beside, path))
        .map_err(|e| {
            let _ = fs::remove_file(&beside);
            error(e)
        })
}

/// # Errors
/// It cannot be written.
pub fn write_index(folder: &Path, index: &KeyIndex) -> Result<(), FilesError> {
    let text = serde_json::to_string_pretty(index).expect("plain values");
    replace(&folder.join("index.json"), (text + "\n").as_bytes(), false)
}

pub fn hex(bytes: &[u8]) -> Zeroizing<String> {
    Zeroizing::new(
        bytes
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>()
            + "\n",
    )
}
