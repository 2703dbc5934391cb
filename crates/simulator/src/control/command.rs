//! The `control` subcommand: its arguments, tables and JSON.

use std::num::ParseIntError;
use std::path::PathBuf;
use std::time::Duration;

use ::membership::Config;
use clap::{Args, ValueEnum};
use serde::{Deserialize, Serialize};

use crate::control::coordinator::{self, Change, ChangeSpent};
use crate::control::fit::{Line, Power, Shape};
use crate::control::ledger;
use crate::control::limits::{Ended, Limits};
use crate::control::membership::{self, Plan, Row, Situation};

/// What is measured at each size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Play {
    /// The membership protocol: while all gateways start, at rest, after one is killed, and under
    /// packet loss.
    Membership,
    /// The computation and the traffic of the budget coordinator for this number of holders.
    Ledger,
    /// The failover after the budget coordinator is killed.
    Change,
}

#[derive(Args, Debug)]
pub struct Arguments {
    /// Sizes of the cluster, separated by commas.
    #[arg(long, default_value = "100,300,1000,1900,3800")]
    gateways: String,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Simulated seconds of the measurements at rest and under loss.
    #[arg(long, default_value_t = 30.0)]
    seconds: f64,
    /// Simulated seconds between the start and the measurement at rest.
    #[arg(long, default_value_t = 60.0)]
    drain: f64,
    /// Simulated seconds that the start, and the agreement on a death, may take.
    #[arg(long, default_value_t = 120.0)]
    settle: f64,
    /// Fraction of the datagrams that is lost in the last situation.
    #[arg(long, default_value_t = 0.33)]
    loss: f64,
    /// Capacity of each gateway's member table. Defaults to that of the protocol, or to one more
    /// than the size if that is larger.
    #[arg(long)]
    most_gateways: Option<usize>,
    /// Real seconds that each situation may take.
    #[arg(long, default_value_t = 60.0)]
    limit: f64,
    /// Memory that the process may hold, in MiB.
    #[arg(long, default_value_t = 4096)]
    memory: u64,
    #[arg(long, value_enum, default_value_t = Play::Membership)]
    play: Play,
    /// Numbers of budgets for the ledger, separated by commas.
    #[arg(long, default_value = "1,3,8,24")]
    budgets: String,
    /// Number of lease requests to measure at each size of the ledger.
    #[arg(long, default_value_t = 200)]
    questions: usize,
    /// Writes the figures to this file, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// For membership only: files of `--json`, separated by commas, whose rows are included in the
    /// tables and fits.
    #[arg(long, value_delimiter = ',')]
    with: Vec<PathBuf>,
}

/// A figure fitted against the size of the cluster.
#[derive(Debug, Serialize)]
struct Fitted {
    figure: &'static str,
    situation: Situation,
    points: Vec<(f64, f64)>,
    line: Option<Line>,
    power: Option<Power>,
    shape: Option<Shape>,
}

/// The rows of an earlier run.
#[derive(Debug, Deserialize)]
struct EarlierRows {
    rows: Vec<Row>,
}

#[derive(Debug, Serialize)]
struct MembershipReport<'a> {
    rows: &'a [Row],
    fits: &'a [Fitted],
}

#[derive(Debug, Serialize)]
struct LedgerReport<'a> {
    rows: &'a [(ledger::Counted, ledger::Spent)],
    fits: &'a [LedgerFit],
}

/// A figure of the ledger fitted against the number of holders, for one number of budgets.
#[derive(Debug, Serialize)]
struct LedgerFit {
    figure: &'static str,
    budgets: usize,
    line: Option<Line>,
    power: Option<Power>,
    shape: Option<Shape>,
}

#[derive(Debug, Serialize)]
struct ChangeReport<'a> {
    rows: &'a [(Change, ChangeSpent)],
}

type LedgerFigure = (&'static str, fn(&ledger::Counted, &ledger::Spent) -> f64);

const LEDGER_FIGURES: [LedgerFigure; 3] = [
    ("CPU milliseconds a question", |_, spent| {
        spent.at_rest.as_secs_f64() * 1e3
    }),
    ("cores at rest", |counted, spent| {
        counted.cores_at_rest(spent)
    }),
    ("coordinator's bytes a second, in and out", |counted, _| {
        counted.coordinator_bytes_per_s()
    }),
];

type Figure = (&'static str, Situation, fn(&Row) -> f64);

const FIGURES: [Figure; 10] = [
    (
        "time until all know each other, s",
        Situation::Start,
        |row| row.counted.simulated_s,
    ),
    (
        "bytes sent and received a second, each",
        Situation::Drain,
        |row| row.counted.bytes_both_per_s(),
    ),
    ("datagrams sent a second, each", Situation::Rest, |row| {
        row.counted.datagrams_sent_per_s()
    }),
    (
        "bytes sent and received a second, each",
        Situation::Rest,
        |row| row.counted.bytes_both_per_s(),
    ),
    (
        "CPU microseconds a second, each",
        Situation::Rest,
        Row::cpu_us_per_s,
    ),
    (
        "resident KiB of the process, each",
        Situation::Rest,
        |row| row.spent.resident_bytes as f64 / 1024.0 / row.counted.gateways as f64,
    ),
    ("time until a death is agreed, s", Situation::Death, |row| {
        row.counted.simulated_s
    }),
    ("datagrams sent a second, each", Situation::Loss, |row| {
        row.counted.datagrams_sent_per_s()
    }),
    (
        "bytes sent and received a second, each",
        Situation::Loss,
        |row| row.counted.bytes_both_per_s(),
    ),
    (
        "CPU microseconds a second, each",
        Situation::Loss,
        Row::cpu_us_per_s,
    ),
];

/// Runs the measurements and prints their tables. The row of a measurement that exceeded a limit
/// says so.
///
/// # Errors
/// Fails if a number cannot be parsed, or if a file cannot be read or written.
pub fn run(arguments: &Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let sizes = parse_numbers(&arguments.gateways)?;
    match arguments.play {
        Play::Membership => measure_membership(arguments, &sizes),
        Play::Ledger => measure_ledger(arguments, &sizes),
        Play::Change => measure_failover(arguments, &sizes),
    }
}

/// Parses numbers separated by commas. An empty list has none.
fn parse_numbers(list: &str) -> Result<Vec<usize>, ParseIntError> {
    let items = list.split(',').filter(|item| !item.trim().is_empty());
    items.map(|number| number.trim().parse()).collect()
}

impl Arguments {
    fn limits(&self) -> Limits {
        Limits {
            real_time: Duration::from_secs_f64(self.limit),
            memory_bytes: self.memory << 20,
        }
    }

    fn plan(&self, gateways: usize) -> Plan {
        let terms = Config::default();
        let most = self
            .most_gateways
            .unwrap_or(terms.max_members.max(gateways + 1));
        Plan {
            gateways,
            seed: self.seed,
            terms: Config {
                max_members: most,
                ..terms
            },
            settle_s: self.settle,
            drain_s: self.drain,
            measure_s: self.seconds,
            loss: self.loss,
            limits: self.limits(),
        }
    }
}

fn measure_membership(
    arguments: &Arguments,
    sizes: &[usize],
) -> Result<(), Box<dyn std::error::Error>> {
    println!(
        "gateways situation  simulated s  datagrams sent, bytes sent, both ways a second each  CPU us a second each  emulator's part  MiB  real s  ended"
    );
    let mut rows = read_earlier_rows(&arguments.with)?;
    rows.iter().for_each(print_row);
    for size in sizes {
        for row in membership::play(&arguments.plan(*size)) {
            print_row(&row);
            rows.push(row);
        }
    }
    let fits: Vec<Fitted> = FIGURES
        .iter()
        .filter_map(|figure| fit_figure(figure, &rows))
        .collect();
    fits.iter().for_each(print_fit);
    if let Some(path) = &arguments.json {
        let report = MembershipReport {
            rows: &rows,
            fits: &fits,
        };
        std::fs::write(path, serde_json::to_string_pretty(&report)? + "\n")?;
    }
    Ok(())
}

/// The rows of earlier runs.
fn read_earlier_rows(files: &[PathBuf]) -> Result<Vec<Row>, Box<dyn std::error::Error>> {
    let mut rows = Vec::new();
    for file in files {
        let read: EarlierRows = serde_json::from_str(&std::fs::read_to_string(file)?)?;
        rows.extend(read.rows);
    }
    Ok(rows)
}

fn print_row(row: &Row) {
    let (counted, spent) = (&row.counted, &row.spent);
    let emulator = 1.0 - spent.gateways_cpu.as_secs_f64() / spent.total_cpu.as_secs_f64().max(1e-9);
    println!(
        "{:>8} {:<9} {:>12.2} {:>15.2} {:>11.0} {:>25.0} {:>21.0} {:>16.2} {:>5} {:>7.1}  {}",
        counted.gateways,
        format!("{:?}", counted.situation),
        counted.simulated_s,
        counted.datagrams_sent_per_s(),
        counted.bytes_sent_per_s(),
        counted.bytes_both_per_s(),
        row.cpu_us_per_s(),
        emulator,
        spent.resident_bytes >> 20,
        spent.real_time.as_secs_f64(),
        counted.ended.text()
    );
    let kinds = &counted.kinds;
    println!(
        "         sent a second each: pings {:.2}, acknowledgements {:.2}, indirect requests {:.2}, answered {:.2}, failed {:.2}, page requests {:.2}, pages {:.2}, other {:.2}",
        counted.per_s(kinds.pings),
        counted.per_s(kinds.acknowledgements),
        counted.per_s(kinds.indirect_requests),
        counted.per_s(kinds.indirect_answered),
        counted.per_s(kinds.indirect_failed),
        counted.per_s(kinds.page_requests),
        counted.per_s(kinds.pages),
        counted.per_s(kinds.other)
    );
    let counters = &counted.counters;
    println!(
        "         a second each: probes {:.2}, failed {:.3}, suspected {:.3}, refuted {:.3}, unvouched {:.2}, refused as too many {:.2}; the busiest: received {:.1}, refused {:.1}; deaths {}, false {}, revived {}; complete {}{}",
        counted.per_s(counters.probes),
        counted.per_s(counters.probes_failed),
        counted.per_s(counters.suspected),
        counted.per_s(counters.refuted),
        counted.per_s(counters.unvouched),
        counted.per_s(counters.refused_many),
        counted.most_received as f64 / counted.simulated_s,
        counted.most_refused as f64 / counted.simulated_s,
        counters.died,
        counted.false_deaths,
        counters.revived,
        counted.complete,
        counted
            .detected_s
            .map_or(String::new(), |[first, middle, last]| {
                format!("; detected first {first:.2} s, median {middle:.2} s, last {last:.2} s")
            })
    );
}

/// Fits a figure over the completed rows of its situation. `None` if there are too few.
fn fit_figure(figure: &Figure, rows: &[Row]) -> Option<Fitted> {
    let (name, situation, value) = figure;
    let of =
        |row: &&Row| row.counted.situation == *situation && row.counted.ended == Ended::Completed;
    let points: Vec<(f64, f64)> = rows
        .iter()
        .filter(of)
        .map(|row| (row.counted.gateways as f64, value(row)))
        .collect();
    let (line, power, shape) = (Line::of(&points), Power::of(&points), Shape::of(&points));
    line.is_some().then_some(Fitted {
        figure: name,
        situation: *situation,
        points,
        line,
        power,
        shape,
    })
}

fn print_fit(fit: &Fitted) {
    println!(
        "{:?}, {} at {} sizes: {:?}",
        fit.situation,
        fit.figure,
        fit.points.len(),
        fit.shape
    );
    print_curves(fit.line.as_ref(), fit.power.as_ref());
}

fn print_curves(line: Option<&Line>, power: Option<&Power>) {
    if let Some(line) = line {
        println!(
            "    line {:.4} + {:.6} N, spread {:.4}, worst {:.1} %",
            line.intercept,
            line.slope,
            line.spread,
            line.worst_residual * 100.0
        );
    }
    if let Some(power) = power {
        println!(
            "    power {:.4e} N^{:.3}, spread {:.3}",
            power.factor, power.exponent, power.spread
        );
    }
}

fn measure_ledger(
    arguments: &Arguments,
    sizes: &[usize],
) -> Result<(), Box<dyn std::error::Error>> {
    println!(
        "budgets holders  CPU us a question: rest, moving, frame  cores: rest, moving  bytes: question, answer, as datagrams, longest  bytes a second: holder, coordinator, a voter's  in ledger  real s  ended"
    );
    let (mut rows, mut fits) = (Vec::new(), Vec::new());
    for budgets in parse_numbers(&arguments.budgets)? {
        let first = rows.len();
        for holders in sizes {
            let (seed, questions, limits) =
                (arguments.seed, arguments.questions, arguments.limits());
            let row = ledger::measure(&ledger::Plan {
                holders: *holders,
                budgets,
                seed,
                questions,
                limits,
            });
            print_ledger(&row.0, &row.1);
            rows.push(row);
        }
        fits.extend(
            LEDGER_FIGURES
                .iter()
                .filter_map(|figure| fit_ledger_figure(figure, budgets, &rows[first..])),
        );
    }
    for fit in &fits {
        println!("{} budgets, {}: {:?}", fit.budgets, fit.figure, fit.shape);
        print_curves(fit.line.as_ref(), fit.power.as_ref());
    }
    if let Some(path) = &arguments.json {
        let report = LedgerReport {
            rows: &rows,
            fits: &fits,
        };
        std::fs::write(path, serde_json::to_string_pretty(&report)? + "\n")?;
    }
    Ok(())
}

fn print_ledger(counted: &ledger::Counted, spent: &ledger::Spent) {
    let micros = |span: Duration| span.as_secs_f64() * 1e6;
    println!(
        "{:>7} {:>7} {:>24.1} {:>8.1} {:>5.1} {:>13.4} {:>8.4} {:>16.0} {:>7.0} {:>6.0} {:>5.0} {:>8} {:>16.0} {:>12.0} {:>10.0} {:>10} {:>7.1}  {}",
        counted.budgets,
        counted.holders,
        micros(spent.at_rest),
        micros(spent.moving),
        micros(spent.framing),
        counted.cores_at_rest(spent),
        counted.cores_moving(spent),
        counted.question_bytes,
        counted.answer_bytes,
        counted.question_datagram_bytes,
        counted.answer_datagram_bytes,
        counted.longest_question_bytes,
        counted.holder_bytes_per_s(),
        counted.coordinator_bytes_per_s(),
        counted.vote_datagram_bytes * counted.questions_per_s,
        counted.in_ledger,
        spent.real_time.as_secs_f64(),
        counted.ended.text()
    );
}

/// Fits a figure of the ledger over the completed rows. `None` if there are too few.
fn fit_ledger_figure(
    (figure, value): &LedgerFigure,
    budgets: usize,
    rows: &[(ledger::Counted, ledger::Spent)],
) -> Option<LedgerFit> {
    let ended = rows
        .iter()
        .filter(|(counted, _)| counted.ended == Ended::Completed);
    let points: Vec<(f64, f64)> = ended
        .map(|(counted, spent)| (counted.holders as f64, value(counted, spent)))
        .collect();
    let (line, power, shape) = (Line::of(&points), Power::of(&points), Shape::of(&points));
    line.is_some().then_some(LedgerFit {
        figure,
        budgets,
        line,
        power,
        shape,
    })
}

fn measure_failover(
    arguments: &Arguments,
    sizes: &[usize],
) -> Result<(), Box<dyn std::error::Error>> {
    println!(
        "holders  chosen s  all renewed s  in full s  most without lease  holder datagrams, bytes a second  coordinator datagrams, bytes a second  CPU ms a second: coordinator, holder  real s  ended"
    );
    let mut rows = Vec::new();
    for size in sizes {
        let (change, spent) = coordinator::change(*size, arguments.seed, arguments.limits());
        let secs = |of: Option<f64>| of.map_or("-".to_owned(), |secs| format!("{secs:.2}"));
        println!(
            "{:>7} {:>9} {:>14} {:>10} {:>19} {:>17.2} {:>14.0} {:>22.1} {:>14.0} {:>29.2} {:>7.3} {:>7.1}  {}",
            change.holders,
            secs(change.chosen_s),
            secs(change.renewed_s),
            secs(change.full_s),
            change.most_without_lease,
            change.holder_datagrams_per_s,
            change.holder_bytes_per_s,
            change.coordinator_datagrams_per_s,
            change.coordinator_bytes_per_s,
            spent.coordinator_cpu.as_secs_f64() * 1e3,
            spent.holder_cpu.as_secs_f64() * 1e3,
            spent.real_time.as_secs_f64(),
            change.ended.text()
        );
        rows.push((change, spent));
    }
    if let Some(path) = &arguments.json {
        std::fs::write(
            path,
            serde_json::to_string_pretty(&ChangeReport { rows: &rows })? + "\n",
        )?;
    }
    Ok(())
}
