//! Whether a file is still being written. A copy that is under way changes its file again and
//! again, and what is there of it may be valid by itself.

use std::path::Path;
use std::time::UNIX_EPOCH;

use admission::interface::{TimeDelta, Timestamp};

use crate::clock::unix_now;

/// How long a file must not have changed before it counts as complete.
const SETTLING_TIME: TimeDelta = TimeDelta::from_micros(200_000);

/// Whether a file or folder has not changed for a while. One that does not exist or whose age is
/// not known counts as settled.
#[must_use]
pub fn is_settled(path: &Path) -> bool {
    let modified = std::fs::metadata(path).and_then(|data| data.modified());
    let since_epoch = modified
        .ok()
        .and_then(|modified| modified.duration_since(UNIX_EPOCH).ok());
    let Some(since_epoch) = since_epoch else {
        return true;
    };
    let age = unix_now() - Timestamp::from_secs(since_epoch.as_secs_f64());
    !(TimeDelta::ZERO..SETTLING_TIME).contains(&age)
}

/// Whether a folder and everything directly in it is settled.
#[must_use]
pub fn is_folder_settled(folder: &Path) -> bool {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let mut paths = entries.map(|entry| entry.path());
    is_settled(folder) && paths.all(|path| is_settled(&path))
}
