//! `laurelhitch keys` and `laurelhitch token`: the folder of keys kept, and tokens made, shown and revoked.

mod keys;
mod token;

use std::error::Error;
use std::path::Path;

use identity::{KeyId, KeyIndex};

pub use self::keys::{Keys, keys};
pub use self::token::{Issue, Token, token};
use crate::clock::since_epoch;
use crate::keyfiles;

/// What a command ends with; the error is the one line that its user reads.
type CommandResult = Result<(), Box<dyn Error>>;

/// The Unix time, in seconds.
fn unix_now_s() -> f64 {
    since_epoch().as_secs_f64()
}

/// A key's id, if it is a valid one.
fn key_id(name: String) -> Result<KeyId, Box<dyn Error>> {
    Ok(KeyId::try_from(name)?)
}

/// Changes the index of a folder's keys and writes it, one version on, if it then passes its own checks.
fn update_index(
    folder: &Path,
    change: impl FnOnce(&mut KeyIndex) -> CommandResult,
) -> CommandResult {
    let mut index = keyfiles::read_index_or_default(folder)?;
    change(&mut index)?;
    index.version += 1;
    let text = serde_json::to_string(&index)?;
    let checked = KeyIndex::parse(&text)?;
    keyfiles::write_index(folder, &checked)?;
    Ok(())
}
