//! The command line. Without a sub-command it serves, so that operators' old lines go on working.

use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use client::{Answer, Client};
use serde_json::{Map, Value, json};
use tracing_subscriber::EnvFilter;

use crate::config::{Config, ConfigError, Operated};
use crate::credentials;
use crate::lifecycle::{self, Lifecycle};
use crate::status;

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

type Done = Result<(), Box<dyn Error>>;

pub fn run(line: CommandLine) -> Done {
    let Common {
        operator,
        log_format,
    } = line.common;
    match line.command.unwrap_or(Command::Serve) {
        Command::Serve => serve(operator, log_format),
        Command::Check { config } => check(operator, config),
        Command::Queue {
            address,
            member,
            rid,
            json,
        } => queue(address, member.as_deref(), rid.as_deref(), json),
        Command::Fleet { address, json } => fleet(address, json),
        Command::Shares { address, json } => shares(address, json),
        Command::FleetKeys(command) => fleet_keys(command),
        Command::Keys(command) => credentials::keys(command),
        Command::Token(command) => credentials::token(command),
        Command::Completions { shell } => {
            let mut command = CommandLine::command();
            clap_complete::generate(shell, &mut command, "laurelhitch", &mut std::io::stdout());
            Ok(())
        }
    }
}

fn configured(named: Option<PathBuf>) -> Result<PathBuf, ConfigError> {
    named
        .or_else(|| std::env::var_os("RELAY_CONFIG").map(PathBuf::from))
        .ok_or(ConfigError::NoPath)
}

fn serve(operator: Option<PathBuf>, format: LogFormat) -> Done {
    let signals = lifecycle::signals()?;
    let level =
        EnvFilter::try_from_env("LAURELHITCH_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let log = tracing_subscriber::fmt()
        .with_env_filter(level)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
    let path = configured(None)?;
    let config = Config::read(&path)?;
    let operated = Operated::read(operator, &config)?;
    Lifecycle::start(signals, path, config, operated)?.run()?;
    Ok(())
}

fn check(operator: Option<PathBuf>, config: Option<PathBuf>) -> Done {
    let path = configured(config)?;
    let config = Config::read(&path)?;
    config.settings.policy(config.seed, crate::service::WAY)?;
    println!(
        "configuration {}: gateway {}, listens on {}",
        path.display(),
        config.name,
        config.listen
    );
    println!("  products: {}", config.settings.class_names()?.join(", "));
    println!("  members: {}", config.settings.tenant_names()?.join(", "));
    let file = operator
        .as_deref()
        .map_or("no operator's file".to_owned(), shown);
    let operated = Operated::read(operator, &config)?;
    if let Some((name, terms)) = &operated.fleet {
        let keys = crate::fleet::files::read(&terms.keys_folder)?;
        println!(
            "{file}: fleet {} is on; this is {name}, bound to {}, reached at {}",
            terms.fleet, terms.bind, terms.advertise
        );
        let seeds: Vec<String> = terms.seeds.iter().map(ToString::to_string).collect();
        println!(
            "  seeds {}; {} keys accepted",
            seeds.join(", "),
            keys.accepted_keys().count()
        );
        let paces = &terms.paces;
        println!(
            "  probes each {} s, answers within {} s, {} helpers; hearsay counts from {} gateways on",
            paces.probe_period.secs(),
            paces.probe_timeout.secs(),
            paces.indirect_probes,
            paces.required_witnesses()
        );
        if let Some(bounds) = &paces.traffic_limits {
            println!(
                "  bounded: {} confirmations, {} verifiers, {} direct probes a period, {} bytes a second of gossip and {} of tables",
                bounds.confirmations,
                bounds.verifiers,
                bounds.direct_probes,
                bounds.gossip_bytes_per_s,
                bounds.exchange_bytes_per_s
            );
        }
    }
    if let Some(terms) = &operated.shares {
        let voters: Vec<&str> = terms.voters.iter().map(|name| name.as_str()).collect();
        println!(
            "{file}: budgets are divided among {} gateways at most; voters {}; leases {} s, terms {} s",
            terms.max_gateways,
            voters.join(", "),
            terms.lease_duration.secs(),
            terms.term_duration.secs()
        );
        for budget in &terms.budgets {
            let (name, unit) = (budget.name(), budget.unit());
            println!(
                "  {name:<24} whole {} {unit}, floor of each {}",
                budget.capacity, budget.guaranteed
            );
        }
    }
    let Some(terms) = operated.queues else {
        println!("{file}: queues are off");
        return Ok(());
    };
    let (ageing, burst) = (terms.ageing.secs(), terms.burst.secs());
    println!("{file}: queues are on; ageing {ageing} s, budgets save up over {burst} s");
    println!(
        "  bounds: {} statements, {} CPU s; a desk {}, {}",
        terms.total_limit.statements,
        terms.total_limit.cpu,
        terms.sub_queue_limit.statements,
        terms.sub_queue_limit.cpu
    );
    println!("  this gateway's part, in CPU s a second:");
    for member in &terms.tenants {
        println!(
            "  {:<20} {:>8.3}  weight {}",
            member.name, member.share.budget, member.share.weight
        );
        for desk in &member.sub_queues {
            let networks: Vec<String> = desk.networks.iter().map(ToString::to_string).collect();
            println!(
                "    {:<18} {:>8.3}  weight {}  {}",
                desk.name,
                desk.share.budget,
                desk.share.weight,
                networks.join(" ")
            );
        }
    }
    Ok(())
}

fn shown(file: &Path) -> String {
    format!("operator's file {}", file.display())
}

fn fleet(address: SocketAddr, as_json: bool) -> Done {
    let rows = match Client::login(address)?.ask("SHOW FLEET")? {
        Answer::Rows(rows) => rows,
        Answer::Error(..) => {
            return Err(format!("{address} knows no other gateways: its fleet is off").into());
        }
        other => return Err(format!("{address} answered {other:?}").into()),
    };
    table(&status::FLEET, &rows, as_json)
}

fn shares(address: SocketAddr, as_json: bool) -> Done {
    let rows = match Client::login(address)?.ask("SHOW SHARES")? {
        Answer::Rows(rows) => rows,
        Answer::Error(..) => {
            return Err(format!("{address} divides no budgets: its shares are off").into());
        }
        other => return Err(format!("{address} answered {other:?}").into()),
    };
    table(&status::SHARES, &rows, as_json)
}

fn fleet_keys(command: FleetKeys) -> Done {
    use crate::fleet::files;
    match command {
        FleetKeys::Add { folder, name } => {
            let mut key = zeroize::Zeroizing::new([0; 32]);
            let random = rustls::crypto::ring::default_provider().secure_random;
            random
                .fill(&mut *key)
                .map_err(|_| "the machine gives no random bytes")?;
            std::fs::create_dir_all(&folder)?;
            files::add(&folder, &name, &key)?;
        }
        FleetKeys::Sign { folder, name } => files::sign(&folder, &name)?,
        FleetKeys::Remove { folder, name } => files::remove(&folder, &name)?,
        FleetKeys::List { folder } => {
            let (names, signs) = files::list(&folder)?;
            for name in names {
                println!(
                    "{name}{}",
                    if signs.as_ref() == Some(&name) {
                        "  signs"
                    } else {
                        ""
                    }
                );
            }
        }
    }
    Ok(())
}

fn queue(address: SocketAddr, member: Option<&str>, rid: Option<&str>, as_json: bool) -> Done {
    let mut client = Client::login(address)?;
    let (columns, question): (&[&str], String) = match rid {
        Some(rid) => (&status::STATEMENT, format!("SHOW QUEUE FOR '{rid}'")),
        None => (&status::DESKS, "SHOW QUEUE".to_owned()),
    };
    let rows = match client.ask(&question)? {
        Answer::Rows(rows) => rows,
        Answer::Error(..) => return Err(format!("{address} has no queues").into()),
        other => return Err(format!("{address} answered {other:?}").into()),
    };
    let rows: Vec<Vec<String>> = rows
        .into_iter()
        .filter(|row| member.is_none_or(|member| row.first().is_some_and(|of| of == member)))
        .collect();
    table(columns, &rows, as_json)
}

fn table(columns: &[&str], rows: &[Vec<String>], as_json: bool) -> Done {
    if as_json {
        let number = |value: &str| {
            value
                .parse::<f64>()
                .map_or_else(|_| json!(value), |number| json!(number))
        };
        let object = |row: &Vec<String>| {
            let fields = columns
                .iter()
                .zip(row)
                .map(|(name, value)| ((*name).to_owned(), number(value)));
            Value::Object(fields.collect::<Map<_, _>>())
        };
        println!(
            "{}",
            serde_json::to_string_pretty(&rows.iter().map(object).collect::<Vec<_>>())?
        );
        return Ok(());
    }
    let width = |at: usize| {
        rows.iter()
            .map(|row| row[at].len())
            .chain([columns[at].len()])
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let head: Vec<String> = columns.iter().map(ToString::to_string).collect();
    for row in [&head].into_iter().chain(rows) {
        let cells = row
            .iter()
            .zip(&widths)
            .enumerate()
            .map(|(at, (cell, width))| {
                if at < 2 {
                    format!("{cell:<width$}")
                } else {
                    format!("{cell:>width$}")
                }
            });
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
    Ok(())
}
