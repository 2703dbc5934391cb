//! The gateway's own work for each statement, by its counter `busy_ms`: without queues, with three teams, with a
//! thousand. Whole processes on loopback, in turn, so that the ratios hold where the machine's speed drifts.

#[path = "../tests/support/mod.rs"]
mod support;

use std::thread;

use rustix::process::Signal;
use serde_json::json;
use stand_ins::client::Answer;
use support::{Gateway, counter, engine, millis};

const CLIENTS: usize = 8;
const EACH: usize = 1500;
const ROUNDS: usize = 5;

fn teams(count: usize) -> String {
    let member = |at| format!("member \"m{at}\" {{ cpu_s_per_s = 10 }}\n");
    let members: String = (0..count).map(member).collect();
    format!("queues {{\ndefault_member = \"m0\"\n{members}}}\n")
}

/// Microseconds a statement.
fn work(operator: &str, count: usize) -> f64 {
    let engines = [engine(2), engine(2)];
    let addresses = engines.each_ref().map(|engine| engine.address);
    let gateway = Gateway::with_operator_file(&addresses, operator, |config| {
        config["settings"]["Extra"]["KindCores"] = json!([64]);
        config["settings"]["Tenants"] = json!([]);
    });
    let asks = (0..CLIENTS).map(|client| {
        let listen = gateway.listen;
        thread::spawn(move || {
            let mut own = stand_ins::client::Client::login(listen).unwrap();
            for n in 0..EACH {
                let (rid, member) = (client * EACH + n, (client * 131 + n * 17) % count);
                let fields = format!(
                    "method=point,rid={rid:016x},budget=2000,acct=m{member},est=12.0,mem=8"
                );
                let answer = own
                    .ask(&format!(
                        "/* {fields} */ SELECT 1 FROM ledger_1.bills LIMIT 1"
                    ))
                    .unwrap();
                assert!(
                    matches!(answer, Answer::Rows(_) | Answer::Error(1226, _)),
                    "{answer:?}"
                );
            }
        })
    });
    let asks: Vec<_> = asks.collect();
    asks.into_iter().for_each(|ask| ask.join().unwrap());
    gateway.signal(Signal::TERM);
    let (_, log) = gateway.wait_for_exit(millis(8000));
    counter(&log, "busy_ms") as f64 * 1e3 / counter(&log, "statements_accepted") as f64
}

fn main() {
    let kinds = [
        ("off", String::new(), 3),
        ("3 teams", teams(3), 3),
        ("1,000 teams", teams(1000), 1000),
    ];
    let mut seen = [const { Vec::new() }; 3];
    for _ in 0..ROUNDS {
        for (at, (_, operator, count)) in kinds.iter().enumerate() {
            seen[at].push(work(operator, *count));
        }
    }
    let median = |of: &Vec<f64>| {
        let mut sorted = of.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() / 2]
    };
    for ((name, ..), of) in kinds.iter().zip(&seen) {
        let ratios: Vec<f64> = of
            .iter()
            .zip(&seen[0])
            .map(|(own, off)| own / off)
            .collect();
        println!(
            "{name:<12} {:.1} us a statement, {:.3} of off (medians of {ROUNDS})",
            median(of),
            median(&ratios)
        );
    }
}
