//! The command line's arguments. Their comments are the help that clap prints.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

use crate::credentials;

/// A front for query engines with limited memory.
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
    /// The operator's file (HCL); without one all of its subsystems are off.
    #[arg(long, env = "LAURELHITCH_OPERATOR", global = true)]
    pub operator: Option<PathBuf>,
    /// The form of the log on standard error.
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
    /// Serves, with the configuration that RELAY_CONFIG names.
    Serve,
    /// Reads the operator's file and the configuration, and prints what would be in force.
    Check {
        /// The configuration; without it, that of RELAY_CONFIG.
        config: Option<PathBuf>,
    },
    /// Asks a running gateway what waits.
    Queue {
        address: SocketAddr,
        /// Only this member's desks.
        #[arg(long)]
        member: Option<String>,
        /// One statement, by its id.
        #[arg(long, conflicts_with = "member")]
        rid: Option<String>,
        #[arg(long)]
        json: bool,
    },
    /// Asks a running gateway which others it knows, and how they agree.
    Fleet {
        address: SocketAddr,
        #[arg(long)]
        json: bool,
    },
    /// Asks a running gateway what it holds of the budgets of all, and the steward who holds how much.
    Shares {
        address: SocketAddr,
        #[arg(long)]
        json: bool,
    },
    /// The folder of the fleet's keys.
    #[command(subcommand)]
    FleetKeys(FleetKeys),
    /// The folder of signing keys.
    #[command(subcommand)]
    Keys(credentials::Keys),
    /// Tokens of callers.
    #[command(subcommand)]
    Token(credentials::Token),
    /// Prints completions for a shell.
    Completions { shell: clap_complete::Shell },
}

#[derive(Debug, Subcommand)]
pub enum FleetKeys {
    /// Makes a key that is accepted from the next reading on; the first of a folder signs.
    Add {
        folder: PathBuf,
        name: String,
    },
    /// From the next reading on this one signs: first let every gateway accept it.
    Sign {
        folder: PathBuf,
        name: String,
    },
    /// Takes a key away that signs nowhere any more.
    Remove {
        folder: PathBuf,
        name: String,
    },
    List {
        folder: PathBuf,
    },
}
