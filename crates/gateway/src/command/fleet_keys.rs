//! `laurelhitch fleet-keys`: the folder of keys by which gateways know each other's datagrams.

use std::fs;
use std::path::Path;

use zeroize::Zeroizing;

use super::{CommandResult, FleetKeys};
use crate::fleet::files;

const KEY_BYTES: usize = 32;

/// Changes or lists the keys of a folder.
pub(super) fn fleet_keys(command: FleetKeys) -> CommandResult {
    match command {
        FleetKeys::Add { folder, name } => add(&folder, &name),
        FleetKeys::Sign { folder, name } => Ok(files::sign(&folder, &name)?),
        FleetKeys::Remove { folder, name } => Ok(files::remove(&folder, &name)?),
        FleetKeys::List { folder } => list(&folder),
    }
}

fn add(folder: &Path, name: &str) -> CommandResult {
    let mut key = Zeroizing::new([0; KEY_BYTES]);
    let random = rustls::crypto::ring::default_provider().secure_random;
    random
        .fill(&mut *key)
        .map_err(|_| "the machine gives no random bytes")?;
    fs::create_dir_all(folder)?;
    files::add(folder, name, &key)?;
    Ok(())
}

fn list(folder: &Path) -> CommandResult {
    let (names, signing) = files::list(folder)?;
    for name in names {
        let mark = if signing.as_ref() == Some(&name) {
            "  signs"
        } else {
            ""
        };
        println!("{name}{mark}");
    }
    Ok(())
}
