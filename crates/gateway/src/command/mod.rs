//! The program's subcommands. Without one, the program runs `serve`, so that command lines from
//! before subcommands existed keep working.

mod arguments;
mod check;
mod fleet_keys;
pub(crate) mod output;
mod query;
mod serve;
mod table;

use std::error::Error;
use std::path::PathBuf;

use clap::CommandFactory;
use clap_complete::Shell;

pub use self::arguments::{Command, CommandLine, Common, FleetKeys, LogFormat};
use crate::config::ConfigError;
use crate::credentials;

/// The environment variable that holds the path of the configuration file.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";

/// The result of a subcommand. The error is printed to the user as a single line.
type CommandResult = Result<(), Box<dyn Error>>;

/// Runs the subcommand of a command line.
///
/// # Errors
/// Fails if the subcommand does, for example because a file is invalid or a gateway does not
/// answer.
pub fn run(line: CommandLine) -> CommandResult {
    let Common {
        operator,
        log_format,
    } = line.common;
    match line.command.unwrap_or(Command::Serve) {
        Command::Serve => serve::serve(operator, log_format),
        Command::Check { config } => check::check(operator, config),
        Command::Queue {
            address,
            member,
            rid,
            json,
        } => query::queue(address, member.as_deref(), rid.as_deref(), json.into()),
        Command::Fleet { address, json } => query::fleet(address, json.into()),
        Command::Shares { address, json } => query::shares(address, json.into()),
        Command::FleetKeys(command) => fleet_keys::fleet_keys(command),
        Command::Keys(command) => credentials::keys(command),
        Command::Token(command) => credentials::token(command),
        Command::Completions { shell } => print_completions(shell),
    }
}

fn print_completions(shell: Shell) -> CommandResult {
    let mut command = CommandLine::command();
    // `generate` panics if writing fails, so it writes to memory first.
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command, "laurelhitch", &mut script);
    Ok(output::print(&String::from_utf8(script)?)?)
}

/// The path of the configuration file from the command line or, without one there, from
/// `RELAY_CONFIG`. Fails if neither names a file.
fn config_path(named: Option<PathBuf>) -> Result<PathBuf, ConfigError> {
    named
        .or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from))
        .ok_or(ConfigError::NoPath)
}
