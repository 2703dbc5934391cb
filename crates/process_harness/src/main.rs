use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use process_harness::fleet::{Fleet, FleetOptions, name};
use process_harness::scale::{self, Options};
use process_harness::script::Script;

/// Plays faults between several gateway processes on loopback.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a script and prints who held whom for what, when.
    Run {
        file: PathBuf,
        #[arg(long)]
        seed: Option<u64>,
        /// The gateway's program; without it, the one beside this.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Each gateway alone, for comparison.
        #[arg(long)]
        alone: bool,
    },
    /// Runs hollow gateways by the hundred beside real processes, measures them and plays faults.
    Scale(Scale),
    /// A process of hollow gateways, told by its standard input.
    #[command(hide = true)]
    Hollow,
}

#[derive(Args)]
struct Scale {
    /// Gateways without clients and engines, at least 3.
    #[arg(long)]
    hollow: usize,
    /// Processes of the gateway's program.
    #[arg(long)]
    real: usize,
    /// Engines behind the real ones.
    #[arg(long, default_value_t = 2)]
    engines: usize,
    #[arg(long, default_value_t = 1)]
    regions: usize,
    /// In all regions together.
    #[arg(long, default_value_t = 1)]
    zones: usize,
    /// Before any fault: half for the start, half that is measured.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Budgets divided by leases among all.
    #[arg(long, default_value_t = 24)]
    budgets: usize,
    /// Faults, in HCL: see examples/harness.
    #[arg(long)]
    faults: Option<PathBuf>,
    /// Where the figures go.
    #[arg(long)]
    json: Option<PathBuf>,
    /// The gateway's program; without it, the one beside this.
    #[arg(long)]
    program: Option<PathBuf>,
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    match Arguments::parse().command {
        Command::Run {
            file,
            seed,
            program,
            alone,
        } => play(file, seed, program, alone),
        Command::Scale(arguments) => measure(arguments),
        Command::Hollow => scale::worker::run(),
    }
}

/// Returns the default path of the gateway's program, in the folder of this executable.
fn default_gateway_program() -> std::io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name("laurelhitch"))
}

fn measure(arguments: Scale) -> Result<(), Box<dyn std::error::Error>> {
    // The file is created before the run, so that a wrong path fails before a long run and not
    // after.
    let mut json = arguments
        .json
        .as_ref()
        .map(|path| create_json_file(path))
        .transpose()?;
    let report = scale::run(Options {
        hollow: arguments.hollow,
        real: arguments.real,
        engines: arguments.engines,
        regions: arguments.regions,
        zones: arguments.zones,
        seconds: arguments.seconds,
        seed: arguments.seed,
        budgets: arguments.budgets,
        faults: arguments.faults,
        gateway: arguments.program.map_or_else(default_gateway_program, Ok)?,
        rig: std::env::current_exe()?,
    })?;
    if let Some(json) = &mut json {
        serde_json::to_writer_pretty(json, &report)?;
    }
    print!("{}", report.table());
    Ok(())
}

fn create_json_file(path: &Path) -> Result<File, String> {
    File::create(path).map_err(|error| format!("--json: {}: {error}", path.display()))
}

fn play(
    file: PathBuf,
    seed: Option<u64>,
    program: Option<PathBuf>,
    alone: bool,
) -> Result<(), Box<dyn std::error::Error>> {
    let script = Script::parse(&std::fs::read_to_string(&file)?)?;
    let mut options = FleetOptions::new(
        program.map_or_else(default_gateway_program, Ok)?,
        script.gateways,
    );
    options.engines = script.engines;
    options.fleet = !alone;
    options.seed = seed.unwrap_or(script.seed);
    if !script.block.is_empty() {
        options.block.clone_from(&script.block);
    }
    options.further.clone_from(&script.further);
    let mut fleet = Fleet::start(options, &[])?;
    script.play(&mut fleet)?;
    for (time, gateway, event) in fleet.membership_events() {
        println!("{:9.3} s  {gateway}  {event}", time.as_secs_f64());
    }
    for index in fleet.running_gateways() {
        fleet.print_counters(index);
        let busy = fleet.counter(index, "busy_ms").unwrap_or(-1);
        let view = fleet.query_fleet_view(index).unwrap_or_default();
        let live_members = view.live_members().join(" ");
        let shares = fleet.query_shares(index).unwrap_or_default();
        for (budget, share) in shares {
            println!(
                "at the end  {}  {budget}  floor {} leased {} of {}; spent {} of {} allowed; steward {}",
                name(index),
                share.floor,
                share.leased,
                share.whole,
                share.spent,
                share.allowed,
                share.steward
            );
        }
        println!(
            "at the end  {}  busy {busy} ms  {} of {}  {live_members}",
            name(index),
            view.standing,
            view.size
        );
    }
    for (index, sent_traffic) in fleet.switch.sent_traffic().iter().enumerate() {
        println!(
            "sent  {}  {} datagrams, {} bytes, {} lost on the way",
            name(index),
            sent_traffic.datagrams,
            sent_traffic.bytes,
            sent_traffic.lost
        );
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("laurelhitch-harness: {error}");
            ExitCode::FAILURE
        }
    }
}
