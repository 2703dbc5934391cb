//! Serves the simulator's binary protocol on standard input and output.

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

use wirehost::frames::{self, FrameError};
use wirehost::host::Host;

fn run() -> Result<(), FrameError> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut host = Host::default();
    while let Some(batch) = frames::read_batch(&mut input)? {
        let reply = host.answer(&batch)?;
        output.write_all(&frames::encode_reply(batch.number, &reply))?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // If standard error is closed, the exit status alone reports the failure.
            let _ = writeln!(io::stderr(), "laurelhitch-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
