//! The gateway's executable and its subcommands.

#![deny(clippy::print_stderr, clippy::print_stdout)]

use std::process::ExitCode;

use clap::Parser;
use gateway::command::{CommandLine, run};
use gateway::log_output;

fn main() -> ExitCode {
    match run(CommandLine::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log_output::write_line(&format!("laurelhitch: {error}"));
            ExitCode::FAILURE
        }
    }
}
