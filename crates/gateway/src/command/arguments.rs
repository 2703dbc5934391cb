//! The command-line arguments. Clap prints their doc comments as the program's help.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

use crate::credentials;

/// A gateway with admission control for query engines with limited memory.
#[derive(Debug, Parser)]
#[command(name = "laurelhitch", version)]
pub struct CommandLine {
    #[command(flatten)]
    pub common: Common,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Args, Debug)]
pub struct Common {
    /// The operator's file (HCL). Without it, all subsystems that it configures are off.
    #[arg(long, env = "LAURELHITCH_OPERATOR", global = true)]
    pub operator: Option<PathBuf>,
    /// The format of the log on standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, global = true)]
    pub log_format: LogFormat,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs the gateway with the configuration file that RELAY_CONFIG names. This is the default.
    Serve,
    /// Checks the configuration and the operator's file, and prints the resulting settings.
    Check {
        /// The configuration file. Without it, the one that RELAY_CONFIG names.
        config: Option<PathBuf>,
    },
    /// Prints the desks of a running gateway with the statements that wait in them.
    Queue {
        address: SocketAddr,
        /// Print only the desks of this member.
        #[arg(long)]
        member: Option<String>,
        /// Print only the statement with this request id.
        #[arg(long, conflicts_with = "member")]
        rid: Option<String>,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Prints the other gateways that a running gateway knows, and whether their views agree.
    Fleet {
        address: SocketAddr,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Prints the parts of the fleet's budgets that a running gateway holds and, if it is the
    /// steward, those that each gateway holds.
    Shares {
        address: SocketAddr,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Manages the folder of the fleet's keys.
    #[command(subcommand)]
    FleetKeys(FleetKeys),
    /// Manages the folder of signing keys for tokens.
    #[command(subcommand)]
    Keys(credentials::Keys),
    /// Issues, shows, verifies and revokes tokens.
    #[command(subcommand)]
    Token(credentials::Token),
    /// Prints a completion script for a shell.
    Completions { shell: clap_complete::Shell },
}

#[derive(Debug, Subcommand)]
pub enum FleetKeys {
    /// Generates a key, which gateways accept once they have read the folder again. The first key
    /// of a folder becomes the signing key.
    Add { folder: PathBuf, name: String },
    /// Makes a key the signing key once gateways have read the folder again. Every gateway must
    /// accept the key before.
    Sign { folder: PathBuf, name: String },
    /// Removes a key. No gateway may still sign with it.
    Remove { folder: PathBuf, name: String },
    /// Lists the accepted keys and marks the signing key.
    List { folder: PathBuf },
}
