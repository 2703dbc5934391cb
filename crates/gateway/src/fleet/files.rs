//! The fleet's folder of keys: `NAME.key` for each accepted key, 64 hexadecimal digits, and `signs`, which names the one
//! that signs.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use ::membership::{KeyError, KeyRing};
use thiserror::Error;
use zeroize::Zeroizing;

use crate::keyfiles::{self, FilesError};

#[derive(Debug, Error)]
pub enum FleetKeysError {
    #[error("{0}: {1}")]
    Unreadable(PathBuf, io::Error),
    #[error(transparent)]
    File(#[from] FilesError),
    #[error("{0}: {1}")]
    Keys(PathBuf, KeyError),
    #[error("{0}: names no key of this folder")]
    Signs(PathBuf),
    #[error("'{0}' is no name of 1 to 32 letters, digits, underscores and hyphens")]
    Name(String),
}

fn usable(name: &str) -> Result<(), FleetKeysError> {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    let usable = (1..=32).contains(&name.len()) && name.chars().all(plain);
    if usable {
        Ok(())
    } else {
        Err(FleetKeysError::Name(name.into()))
    }
}

fn path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.key"))
}

/// Names of the keys that the folder holds, and the one that signs.
pub fn list(folder: &Path) -> Result<(Vec<String>, Option<String>), FleetKeysError> {
    let unreadable = |error| FleetKeysError::Unreadable(folder.into(), error);
    let mut names = Vec::new();
    for entry in fs::read_dir(folder).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        if path.extension().is_some_and(|ending| ending == "key") {
            names.extend(
                path.file_stem()
                    .and_then(|name| name.to_str())
                    .map(str::to_owned),
            );
        }
    }
    names.sort();
    let signs = fs::read_to_string(folder.join("signs"))
        .ok()
        .map(|text| text.trim().to_owned());
    Ok((names, signs))
}

/// # Errors
/// The folder or a key in it cannot be used, or `signs` names none of them.
pub fn read(folder: &Path) -> Result<KeyRing, FleetKeysError> {
    let (names, signs) = list(folder)?;
    let signs = signs.filter(|signs| names.contains(signs));
    let signs = signs.ok_or_else(|| FleetKeysError::Signs(folder.join("signs")))?;
    let key = |name: &str| keyfiles::unhex::<32>(&path(folder, name));
    let others = names
        .iter()
        .filter(|name| **name != signs)
        .map(|name| key(name).map(|key| *key));
    let others = Zeroizing::new(others.collect::<Result<Vec<_>, _>>()?);
    KeyRing::new(&*key(&signs)?, &others)
        .map_err(|error| FleetKeysError::Keys(folder.into(), error))
}

/// Makes a key that is accepted wherever the folder is read; the first one signs.
pub fn add(folder: &Path, name: &str, key: &[u8; 32]) -> Result<(), FleetKeysError> {
    usable(name)?;
    let path = path(folder, name);
    if path.exists() {
        return Err(FilesError::There(path).into());
    }
    keyfiles::replace(&path, keyfiles::hex(key).as_bytes(), true)?;
    if list(folder)?.1.is_none() {
        sign(folder, name)?;
    }
    Ok(())
}

/// From the next reading on this one signs.
pub fn sign(folder: &Path, name: &str) -> Result<(), FleetKeysError> {
    usable(name)?;
    if !path(folder, name).exists() {
        return Err(FleetKeysError::Signs(path(folder, name)));
    }
    Ok(keyfiles::replace(
        &folder.join("signs"),
        format!("{name}\n").as_bytes(),
        false,
    )?)
}

/// # Errors
/// It signs, or is not there.
pub fn remove(folder: &Path, name: &str) -> Result<(), FleetKeysError> {
    usable(name)?;
    if list(folder)?.1.as_deref() == Some(name) {
        return Err(FleetKeysError::Signs(folder.join("signs")));
    }
    let path = path(folder, name);
    fs::remove_file(&path).map_err(|error| FleetKeysError::Unreadable(path, error))
}
