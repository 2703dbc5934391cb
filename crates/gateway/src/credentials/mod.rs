//! `laurelhitch keys` and `laurelhitch token`: manage the folder of signing keys, and issue, show,
//! verify and revoke tokens.

mod keys;
mod token;

use std::error::Error;
use std::path::Path;

use identity::{KeyId, KeyIndex};

pub use self::keys::{Keys, keys};
pub use self::token::{Issue, Token, token};
use crate::clock::since_epoch;
use crate::keyfiles;

/// The result of a command. The error is printed to the user as a single line.
type CommandResult = Result<(), Box<dyn Error>>;

/// The current Unix time, in seconds.
fn unix_now_s() -> f64 {
    since_epoch().as_secs_f64()
}

/// Parses a key id. Fails if it is invalid.
fn key_id(name: String) -> Result<KeyId, Box<dyn Error>> {
    Ok(KeyId::try_from(name)?)
}

/// Applies `change` to the key index of a folder, increments its version, and writes it. Fails, and
/// writes nothing, if the change fails or the changed index is invalid.
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
