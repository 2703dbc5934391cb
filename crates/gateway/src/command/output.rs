//! What sub-commands print. Output that cannot be written is an error of the command, or its end where its reader has read
//! enough: `laurelhitch queue ADDRESS | head -1`.

use std::io::{self, ErrorKind, Write};

/// Prints text as it is.
///
/// # Errors
/// Standard output cannot be written.
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

/// Prints a line.
///
/// # Errors
/// Standard output cannot be written.
pub(crate) fn print_line(line: &str) -> io::Result<()> {
    print(&format!("{line}\n"))
}
