//! The program's sub-commands. Without one it serves, so that operators' old command lines go on working.

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

/// The environment's name of the configuration.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";

/// What a sub-command ends with; the error is the one line that its user reads.
type CommandResult = Result<(), Box<dyn Error>>;

/// Runs what the command line asks for.
///
/// # Errors
/// The sub-command failed: a file cannot be used, or a gateway does not answer.
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
    // The library panics where what it writes to fails.
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command, "laurelhitch", &mut script);
    Ok(output::print(&String::from_utf8(script)?)?)
}

/// The configuration named on the command line, or else by the environment.
fn config_path(named: Option<PathBuf>) -> Result<PathBuf, ConfigError> {
    named
        .or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from))
        .ok_or(ConfigError::NoPath)
}
