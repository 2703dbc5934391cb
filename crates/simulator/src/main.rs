use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use simulator::control;
use simulator::front::Policy;
use simulator::play::{Outcome, Play};
use simulator::scenario::{Budgets, Scenario};
use simulator::{mesh, parts};

/// Emulates a deployment in simulated time, with the production decision code.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a scenario once.
    Run {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The policy of the gateways: queues, one-line or round-robin.
        #[arg(long, default_value = "queues")]
        policy: String,
        /// Writes the figures to this file, as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Writes each estimated and actual wait to this file, as CSV.
        #[arg(long)]
        waits: Option<PathBuf>,
        /// Writes plots of waits, estimates and tenants to this folder, as SVG.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Runs a scenario once for each of several values of one field.
    Sweep {
        file: PathBuf,
        /// The field and its values, such as `traffic.valley-water.counter.per_s.lookup=40,80`.
        #[arg(long)]
        over: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measures cluster membership during joins, deaths, packet loss and a partition, next to two
    /// simpler protocols.
    Fleet {
        #[arg(long, default_value = "20,100,300")]
        gateways: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The protocol to measure: fleet, heartbeats or hasty. Without it, all of them.
        #[arg(long)]
        way: Option<String>,
    },
    /// Measures budget leases next to even shares and local estimates: with uneven and moving
    /// demand, during a partition, with killed and restarted gateways, and with a third of all
    /// messages lost.
    Shares {
        #[arg(long, default_value = "3,20,100,300")]
        gateways: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measures the cost of control traffic by cluster size: membership, the budget coordinator and
    /// its failover.
    Control(control::command::Arguments),
    /// Runs a scenario with tenant budgets divided by local estimates, evenly and by leases, over
    /// several seeds.
    Divide {
        file: PathBuf,
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// Runs a scenario with two policies, over several seeds.
    Compare {
        file: PathBuf,
        first: String,
        second: String,
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
}

fn parse_policy(name: &str) -> Result<Policy, String> {
    Policy::from_name(name)
        .ok_or_else(|| format!("no policy {name}: queues, one-line or round-robin"))
}

fn run_scenario(scenario: &Scenario, policy: Policy, seed: u64) -> Result<Outcome, String> {
    Ok(Play::new(scenario, policy, seed)?.run())
}

const TABLE_HEADER: &str = "policy       seed broken statements service est<20% est<20%w last mean ahead  p90  worst/fair passed ms  denied at once";

fn table_row(outcome: &Outcome) -> String {
    let f = &outcome.figures;
    format!(
        "{:<12} {:>4} {:>6} {:>10} {:>7.4} {:>7.3} {:>8.3} {:.2} {:.2} {:.2} {:.3} {:>10.3} {:>9.0} {:>7} {:>7}",
        f.policy,
        f.seed,
        f.rules_broken,
        f.statements,
        f.service,
        f.estimate_within_20,
        f.estimate_within_20_waiting,
        f.last_wait_within_20,
        f.mean_wait_within_20,
        f.count_ahead_within_20,
        f.within_p90,
        f.worst_member_of_fair,
        f.longest_passed_over_ms,
        f.denied,
        f.denied_at_once
    )
}

fn print_outcome(outcome: &Outcome) {
    println!("{TABLE_HEADER}\n{}", table_row(outcome));
    for (name, m) in &outcome.figures.members {
        println!(
            "  {name:<14} budget {:>6.2}  asked {:>7} ({:.2} cpu/s)  in time {:>7} ({:.2} cpu/s)  service {:.4}  worst of fair {:.3}",
            m.budget,
            m.asked,
            m.cpu_asked,
            m.served_in_time,
            m.cpu_served,
            m.service,
            m.worst_of_fair
        );
    }
    for (name, p) in &outcome.figures.classes {
        println!(
            "  {name:<14} asked {:>7}  in time {:.4}  before p50 {:.0} p90 {:.0} ms  running p50 {:.0} p90 {:.0} ms",
            p.asked,
            p.share_in_time,
            p.before.p50_ms,
            p.before.p90_ms,
            p.running.p50_ms,
            p.running.p90_ms
        );
    }
    outcome
        .figures
        .rules
        .iter()
        .for_each(|(rule, count)| println!("  broken {count} times: {rule}"));
    eprintln!(
        "{:.1} s took {:.2} s",
        outcome.figures.simulated_s, outcome.took_s
    );
}

fn run() -> Result<bool, Box<dyn std::error::Error>> {
    let rules_kept = |outcome: &Outcome| outcome.figures.rules_broken == 0;
    match Arguments::parse().command {
        Command::Run {
            file,
            seed,
            policy: name,
            json,
            waits,
            plot,
        } => {
            let scenario = Scenario::read(&file)?;
            let outcome = run_scenario(&scenario, parse_policy(&name)?, seed)?;
            print_outcome(&outcome);
            if let Some(json) = json {
                std::fs::write(json, serde_json::to_string_pretty(&outcome.figures)? + "\n")?;
            }
            if let Some(path) = waits {
                let csv_row = |t: &simulator::figures::WaitEstimate| {
                    format!(
                        "{:.6},{},{},{},{:.6},{:.6},{:.6}\n",
                        t.at, t.gateway, t.sub_queue, t.class, t.median, t.p90, t.actual
                    )
                };
                let header = "at_s,gateway,desk,product,told_s,p90_s,real_s\n".to_owned();
                std::fs::write(
                    path,
                    header + &outcome.told.iter().map(csv_row).collect::<String>(),
                )?;
            }
            if let Some(folder) = plot {
                simulator::plot::draw(&outcome, &folder)?;
            }
            Ok(rules_kept(&outcome))
        }
        Command::Sweep { file, over, seed } => {
            let (path, values) = over.split_once('=').ok_or("--over wants FIELD=A,B,C")?;
            let base = Scenario::value(&file)?;
            let mut all_kept = true;
            println!("{path:<20} {TABLE_HEADER}");
            for value in values.split(',') {
                let scenario = Scenario::with(base.clone(), path, value.trim().parse()?)?;
                let outcome = run_scenario(&scenario, Policy::Queues, seed)?;
                println!("{value:<20} {}", table_row(&outcome));
                all_kept &= rules_kept(&outcome);
            }
            Ok(all_kept)
        }
        Command::Shares { gateways, seed } => {
            println!(
                "way     gateways  what          worst sum  worst second  in use  words a second each"
            );
            for count in gateways.split(',') {
                let count: usize = count.trim().parse()?;
                let [joined, left, killed] =
                    parts::times(count, seed).map(|secs| secs.unwrap_or(f64::NAN));
                println!(
                    "        {count:>8}  first part after joining {joined:.2} s; all out after one left {left:.2} s, was killed {killed:.2} s"
                );
                for (what, way) in parts::SITUATIONS
                    .iter()
                    .flat_map(|what| parts::Way::ALL.map(|way| (*what, way)))
                {
                    let f = parts::measure(way, count, seed, what);
                    println!(
                        "{:<7} {:>8}  {:<12} {:>10.3} {:>13.3} {:>7.3} {:>8.2}",
                        f.way, f.gateways, f.what, f.worst_sum, f.worst_second, f.in_use, f.words_s
                    );
                }
            }
            Ok(true)
        }
        Command::Fleet {
            gateways,
            seed,
            way,
        } => {
            println!(
                "way         gateways joined s  detect s median 99th  settled s  false deaths an hour  healed s  datagrams, bytes a second  most"
            );
            for count in gateways.split(',') {
                let count: usize = count.trim().parse()?;
                let config = membership::Config::default;
                let is_selected = |name: &str| way.as_deref().is_none_or(|way| way == name);
                let mut measured = Vec::new();
                if is_selected("fleet") {
                    measured.push(mesh::measure(
                        "fleet",
                        mesh::gateways(count, seed, config()),
                    ));
                }
                if is_selected("heartbeats") {
                    measured.push(mesh::measure(
                        "heartbeats",
                        mesh::heartbeats(count, seed, config()),
                    ));
                }
                if is_selected("hasty") {
                    measured.push(mesh::measure("hasty", mesh::hasty(count, seed, config())));
                }
                let seconds_or_never = |span: Option<f64>| {
                    span.map_or("never".to_owned(), |secs| format!("{secs:.1}"))
                };
                for f in measured {
                    println!(
                        "{:<11} {:>8} {:>8} {:>16.1} {:>4.1} {:>10} {:>21.0} {:>9} {:>12.1} {:>13.0} {:>5.1}",
                        f.way,
                        f.gateways,
                        seconds_or_never(f.joined_s),
                        f.detect_median_s,
                        f.detect_99th_s,
                        seconds_or_never(f.settle_after_deaths_s),
                        f.false_deaths_an_hour,
                        seconds_or_never(f.settle_after_healing_s),
                        f.datagrams_s,
                        f.bytes_s,
                        f.largest_share
                    );
                }
            }
            Ok(true)
        }
        Command::Control(arguments) => {
            control::command::run(&arguments)?;
            Ok(true)
        }
        Command::Divide { file, seeds } => {
            let mut scenario = Scenario::read(&file)?;
            let mut all_kept = true;
            println!("budgets  seed broken service  by member; worst of fair");
            for seed in 1..=seeds {
                for budgets in Budgets::ALL {
                    scenario.budgets = budgets;
                    let outcome = run_scenario(&scenario, Policy::Queues, seed)?;
                    let f = &outcome.figures;
                    let members: Vec<String> = f
                        .members
                        .iter()
                        .map(|(name, m)| {
                            format!("{name} {:.3} ({:.3})", m.service, m.worst_of_fair)
                        })
                        .collect();
                    println!(
                        "{:<8} {seed:>4} {:>6} {:.4}  {}; {:.3}",
                        budgets.name(),
                        f.rules_broken,
                        f.service,
                        members.join(", "),
                        f.worst_member_of_fair
                    );
                    all_kept &= rules_kept(&outcome);
                }
            }
            Ok(all_kept)
        }
        Command::Compare {
            file,
            first,
            second,
            seeds,
        } => {
            let scenario = Scenario::read(&file)?;
            let mut all_kept = true;
            println!("{TABLE_HEADER}");
            for seed in 1..=seeds {
                for name in [&first, &second] {
                    let outcome = run_scenario(&scenario, parse_policy(name)?, seed)?;
                    println!("{}", table_row(&outcome));
                    all_kept &= rules_kept(&outcome);
                }
            }
            Ok(all_kept)
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("laurelhitch-simulator: a rule was broken");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("laurelhitch-simulator: {error}");
            ExitCode::from(2)
        }
    }
}
