use std::process::ExitCode;

use clap::Parser;
use gateway::command::{CommandLine, run};

fn main() -> ExitCode {
    match run(CommandLine::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("laurelhitch: {error}");
            ExitCode::FAILURE
        }
    }
}
