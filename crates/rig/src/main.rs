use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use rig::fleet::{Fleet, Wanted, name};
use rig::script::Script;

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
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let Command::Run { file, seed, program, alone } = Arguments::parse().command;
    let script = Script::parse(&std::fs::read_to_string(&file)?)?;
    let beside = std::env::current_exe()?.with_file_name("laurelhitch");
    let mut wanted = Wanted::new(program.unwrap_or(beside), script.gateways);
    wanted.engines = script.engines;
    wanted.fleet = !alone;
    wanted.seed = seed.unwrap_or(script.seed);
    if !script.block.is_empty() {
        wanted.block.clone_from(&script.block);
    }
    wanted.further.clone_from(&script.further);
    let mut fleet = Fleet::start(wanted, &[])?;
    script.play(&mut fleet)?;
    for (at, who, what) in fleet.time_line() {
        println!("{:9.3} s  {who}  {what}", at.as_secs_f64());
    }
    for at in fleet.everyone() {
        fleet.print_counters(at);
        let busy = fleet.counter(at, "busy_ms").unwrap_or(-1);
        let shown = fleet.shown(at).unwrap_or_default();
        let there = shown.there().join(" ");
        let held = fleet.parts(at).unwrap_or_default();
        for (budget, part) in held {
            println!(
                "at the end  {}  {budget}  floor {} leased {} of {}; spent {} of {} allowed; steward {}",
                name(at),
                part.floor,
                part.leased,
                part.whole,
                part.spent,
                part.allowed,
                part.steward
            );
        }
        println!("at the end  {}  busy {busy} ms  {} of {}  {there}", name(at), shown.standing, shown.size);
    }
    for (at, carried) in fleet.switch.carried().iter().enumerate() {
        println!(
            "sent  {}  {} datagrams, {} bytes, {} lost on the way",
            name(at),
            carried.datagrams,
            carried.bytes,
            carried.lost
        );
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("laurelhitch-rig: {error}");
            ExitCode::FAILURE
        }
    }
}
