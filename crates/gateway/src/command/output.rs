//! Prints the output of subcommands. A failed write is an error of the command, except when the
//! reader of a pipe has closed it, as in `laurelhitch queue ADDRESS | head -1`.

use std::io::{self, ErrorKind, Write};

/// Prints text without a line feed.
///
/// # Errors
/// Fails if standard output cannot be written, unless it is a pipe that the reader has closed.
pub(crate) fn print(text: &str) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    let printed = stdout
        .write_all(text.as_bytes())
        .and_then(|()| stdout.flush());
    match printed {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        result => result,
    }
}

/// Prints text followed by a line feed.
///
/// # Errors
/// Fails if standard output cannot be written, unless it is a pipe that the reader has closed.
pub(crate) fn print_line(line: &str) -> io::Result<()> {
    print(&format!("{line}\n"))
}
