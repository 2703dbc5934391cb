//! `laurelhitch keys`: the folder of signing keys.

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
    /// Makes a pair: ID.key, readable by its owner alone, and ID.pub. It signs nothing until announced.
    New { folder: PathBuf, id: String },
    /// The keys of the index, and where each stands now.
    List { folder: PathBuf },
    /// Lists a key: it is known from now on, and signs later.
    Announce {
        folder: PathBuf,
        id: String,
        /// Longer than files take to reach every gateway.
        #[arg(long, default_value_t = 60.0)]
        signs_in_s: f64,
    },
    /// It signs nothing new from then on; what it signed holds.
    Retire {
        folder: PathBuf,
        id: String,
        #[arg(long, default_value_t = 0.0)]
        in_s: f64,
    },
    /// Nothing that it signed holds from then on. This cannot be taken back.
    Withdraw {
        folder: PathBuf,
        id: String,
        #[arg(long, default_value_t = 0.0)]
        in_s: f64,
    },
}

/// Runs one command on a folder of keys.
///
/// # Errors
/// The id, the folder or its index cannot be used, or the step is not allowed to the key.
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
        return Err(format!("{}: make it first", public_path.display()).into());
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
        let key = find(index, id)?;
        // A key does not retire before it signs.
        let earliest_s = key.signing_s.unwrap_or(0.0);
        key.retired_s = Some((unix_now_s() + in_s).max(earliest_s));
        Ok(())
    })
}

fn withdraw(folder: &Path, id: &KeyId, in_s: f64) -> CommandResult {
    update_index(folder, |index| {
        let key = find(index, id)?;
        let withdrawn_s = unix_now_s() + in_s;
        // Steps that were still to come will not be.
        key.signing_s = key.signing_s.filter(|signing| *signing <= withdrawn_s);
        key.retired_s = key.retired_s.filter(|retired| *retired <= withdrawn_s);
        key.withdrawn_s = Some(withdrawn_s);
        Ok(())
    })
}

fn find<'a>(index: &'a mut KeyIndex, id: &KeyId) -> Result<&'a mut KeyEntry, Box<dyn Error>> {
    let key = index.keys.iter_mut().find(|key| key.id == *id);
    key.ok_or_else(|| format!("{} is not in the index", id.as_str()).into())
}
