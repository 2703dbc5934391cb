//! `laurelhitch fleet-keys`: manages the folder of keys with which gateways authenticate each
//! other's datagrams.

use std::fs;
use std::path::Path;

use zeroize::Zeroizing;

use super::output::print_line;
use super::{CommandResult, FleetKeys};
use crate::cluster::key_folder;

const KEY_BYTES: usize = 32;

/// Runs a `laurelhitch fleet-keys` command.
pub(super) fn fleet_keys(command: FleetKeys) -> CommandResult {
    match command {
        FleetKeys::Add { folder, name } => add(&folder, &name),
        FleetKeys::Sign { folder, name } => Ok(key_folder::set_signing_key(&folder, &name)?),
        FleetKeys::Remove { folder, name } => Ok(key_folder::remove(&folder, &name)?),
        FleetKeys::List { folder } => list(&folder),
    }
}

fn add(folder: &Path, name: &str) -> CommandResult {
    let mut key = Zeroizing::new([0; KEY_BYTES]);
    let random = rustls::crypto::ring::default_provider().secure_random;
    random
        .fill(&mut *key)
        .map_err(|_| "cannot get random bytes from the operating system")?;
    fs::create_dir_all(folder)?;
    key_folder::add(folder, name, &key)?;
    Ok(())
}

fn list(folder: &Path) -> CommandResult {
    let names = key_folder::list(folder)?;
    for name in names.accepted {
        let mark = if names.signing.as_ref() == Some(&name) {
            "  signs"
        } else {
            ""
        };
        print_line(&format!("{name}{mark}"))?;
    }
    Ok(())
}
