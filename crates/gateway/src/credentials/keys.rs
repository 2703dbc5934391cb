//! `laurelhitch keys`: manages the folder of signing keys.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};

use admission::interface::Timestamp;
use clap::Subcommand;
use identity::{KeyEntry, KeyId, KeyIndex, token};

use super::{CommandResult, key_id, unix_now_s, update_index};
use crate::command::output::print_line;
use crate::keyfiles::{self, KeyFileError};

#[derive(Debug, Subcommand)]
pub enum Keys {
    /// Generates a key pair: ID.key, readable only by its owner, and ID.pub. Tokens that it signs
    /// are not accepted before it is announced.
    New { folder: PathBuf, id: String },
    /// Lists the keys of the index with their current states.
    List { folder: PathBuf },
    /// Adds a key to the index, so that gateways know it before it starts to sign.
    Announce {
        folder: PathBuf,
        id: String,
        /// Seconds until the key may sign. Use more than the files take to reach every gateway.
        #[arg(long, default_value_t = 60.0)]
        signs_in_s: f64,
    },
    /// Stops a key from signing new tokens. Tokens that it has signed stay valid.
    Retire {
        folder: PathBuf,
        id: String,
        /// Seconds until the key retires.
        #[arg(long, default_value_t = 0.0)]
        in_s: f64,
    },
    /// Invalidates a key and every token that it has signed. This cannot be undone.
    Withdraw {
        folder: PathBuf,
        id: String,
        /// Seconds until the key is withdrawn.
        #[arg(long, default_value_t = 0.0)]
        in_s: f64,
    },
}

/// Runs a `laurelhitch keys` command.
///
/// # Errors
/// Fails if the id, the folder or its index is invalid or not accessible, or if the key's lifecycle
/// does not allow the change.
pub fn keys(command: Keys) -> CommandResult {
    match command {
        Keys::New { folder, id } => create(&folder, &key_id(id)?),
        Keys::List { folder } => list(&folder),
        Keys::Announce {
            folder,
            id,
            signs_in_s,
        } => announce(&folder, key_id(id)?, signs_in_s),
        Keys::Retire { folder, id, in_s } => retire(&folder, &key_id(id)?, in_s),
        Keys::Withdraw { folder, id, in_s } => withdraw(&folder, &key_id(id)?, in_s),
    }
}

fn create(folder: &Path, id: &KeyId) -> CommandResult {
    fs::create_dir_all(folder)?;
    let secret_path = keyfiles::secret_path(folder, id);
    let public_path = keyfiles::public_path(folder, id);
    for path in [&secret_path, &public_path] {
        if path.exists() {
            return Err(KeyFileError::Exists(path.clone()).into());
        }
    }
    let pair = token::generate_key_pair()?;
    let secret = keyfiles::hex(&pair.secret[..]);
    keyfiles::write_secret(&secret_path, secret.as_bytes())?;
    let public = keyfiles::hex(&pair.public);
    keyfiles::write_public(&public_path, public.as_bytes())?;
    print_line(&public_path.display().to_string())?;
    Ok(())
}

fn list(folder: &Path) -> CommandResult {
    let index = keyfiles::read_index_or_default(folder)?;
    print_line(&format!("version {}", index.version))?;
    let now = Timestamp::from_secs(unix_now_s());
    for key in &index.keys {
        print_line(&format!("{:<32}  {:?}", key.id.as_str(), key.state(now)))?;
    }
    Ok(())
}

fn announce(folder: &Path, id: KeyId, signs_in_s: f64) -> CommandResult {
    let public_path = keyfiles::public_path(folder, &id);
    if !public_path.exists() {
        return Err(format!(
            "{}: the public key file does not exist; create the key first",
            public_path.display()
        )
        .into());
    }
    update_index(folder, |index| {
        if index.keys.iter().any(|key| key.id == id) {
            return Err(format!("{} is announced already", id.as_str()).into());
        }
        let now_s = unix_now_s();
        index.keys.push(KeyEntry {
            id,
            announced_s: now_s,
            signing_s: Some(now_s + signs_in_s.max(0.0)),
            retired_s: None,
            withdrawn_s: None,
        });
        Ok(())
    })
}

fn retire(folder: &Path, id: &KeyId, in_s: f64) -> CommandResult {
    update_index(folder, |index| {
        let key = find_key(index, id)?;
        // A key cannot retire before the time from which it signs.
        let earliest_s = key.signing_s.unwrap_or(0.0);
        key.retired_s = Some((unix_now_s() + in_s).max(earliest_s));
        Ok(())
    })
}

fn withdraw(folder: &Path, id: &KeyId, in_s: f64) -> CommandResult {
    update_index(folder, |index| {
        let key = find_key(index, id)?;
        let withdrawn_s = unix_now_s() + in_s;
        // Drop the steps that were planned for after the withdrawal.
        key.signing_s = key.signing_s.filter(|signing| *signing <= withdrawn_s);
        key.retired_s = key.retired_s.filter(|retired| *retired <= withdrawn_s);
        key.withdrawn_s = Some(withdrawn_s);
        Ok(())
    })
}

fn find_key<'a>(index: &'a mut KeyIndex, id: &KeyId) -> Result<&'a mut KeyEntry, Box<dyn Error>> {
    let key = index.keys.iter_mut().find(|key| key.id == *id);
    key.ok_or_else(|| format!("{} is not in the index", id.as_str()).into())
}
