//! Measures the processing time of the gateway for each statement, from its counter `busy_ms`,
//! without queues, with three tenants and with a thousand. The gateway processes run on loopback
//! and take turns, so that the ratios stay valid when the speed of the machine drifts.

#[path = "../tests/support/mod.rs"]
mod support;

use std::thread;

use rustix::process::Signal;
use serde_json::json;
use stand_ins::client::Answer;
use support::{Gateway, counter, engine, millis};

const CLIENTS: usize = 8;
/// The number of statements of each client.
const EACH: usize = 1500;
const ROUNDS: usize = 5;

fn queue_settings(count: usize) -> String {
    let member = |number| format!("member \"m{number}\" {{ cpu_s_per_s = 10 }}\n");
    let members: String = (0..count).map(member).collect();
    format!("queues {{\ndefault_member = \"m0\"\n{members}}}\n")
}

/// Returns the processing time of the gateway in microseconds for each statement.
fn work(operator: &str, count: usize) -> f64 {
    let engines = [engine(2), engine(2)];
    let addresses = engines.each_ref().map(|engine| engine.address);
    let gateway = Gateway::with_operator_file(&addresses, operator, |config| {
        config["settings"]["Extra"]["KindCores"] = json!([64]);
        config["settings"]["Tenants"] = json!([]);
    });
    let client_threads = (0..CLIENTS).map(|client| {
        let listen = gateway.listen;
        thread::spawn(move || {
            let mut connection = stand_ins::client::Client::login(listen).unwrap();
            for n in 0..EACH {
                let (rid, member) = (client * EACH + n, (client * 131 + n * 17) % count);
                let fields = format!(
                    "method=point,rid={rid:016x},budget=2000,acct=m{member},est=12.0,mem=8"
                );
                let answer = connection
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
    let client_threads: Vec<_> = client_threads.collect();
    client_threads
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
    gateway.signal(Signal::TERM);
    let (_, log) = gateway.wait_for_exit(millis(8000));
    counter(&log, "busy_ms") as f64 * 1e3 / counter(&log, "statements_accepted") as f64
}

fn main() {
    let kinds = [
        ("off", String::new(), 3),
        ("3 teams", queue_settings(3), 3),
        ("1,000 teams", queue_settings(1000), 1000),
    ];
    let mut samples = [const { Vec::new() }; 3];
    for _ in 0..ROUNDS {
        for (index, (_, operator, count)) in kinds.iter().enumerate() {
            samples[index].push(work(operator, *count));
        }
    }
    let median = |values: &Vec<f64>| {
        let mut sorted = values.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() / 2]
    };
    for ((name, ..), values) in kinds.iter().zip(&samples) {
        let ratios: Vec<f64> = values
            .iter()
            .zip(&samples[0])
            .map(|(value, without_queues)| value / without_queues)
            .collect();
        println!(
            "{name:<12} {:.1} us a statement, {:.3} of off (medians of {ROUNDS})",
            median(values),
            median(&ratios)
        );
    }
}
