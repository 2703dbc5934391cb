//! `laurelhitch-stand-ins serve CONFIG` runs a test double of the discovery service and of each
//! engine in the configuration. `laurelhitch-stand-ins ask ADDRESS STATEMENT` sends one statement
//! through a gateway and prints the rows of the result.

use std::error::Error;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::Value;
use stand_ins::board::Board;
use stand_ins::client::{Answer, Client};
use stand_ins::engine::Engine;

fn serve(path: &str) -> Result<(), Box<dyn Error>> {
    let config: Value = serde_json::from_slice(&std::fs::read(path)?)?;
    let board = Board::start(config["board"].as_str().ok_or("no board")?)?;
    println!("notice board on {}", board.address);
    for event in config["known"]["notices"].as_array().into_iter().flatten() {
        let targets = event["pool"]["targets"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        for target in &targets {
            let address = target["endpoint"].as_str().ok_or("no endpoint")?;
            let engine = Engine::start(address, Duration::from_millis(30))?;
            println!("engine {} on {}", target["uid"], engine.address);
        }
        board.tell(event["pool"]["all"] == true, targets);
    }
    loop {
        thread::park();
    }
}

fn ask(address: &str, statement: &str) -> Result<(), Box<dyn Error>> {
    let rid = SystemTime::now().duration_since(UNIX_EPOCH)?.as_nanos() as u64;
    let comment =
        format!("/* method=point,rid={rid:016x},budget=2000,acct=water,est=12.0,mem=8 */");
    match Client::login(address.parse()?)?.ask(&format!("{comment} {statement}"))? {
        Answer::Rows(rows) => rows.iter().for_each(|row| println!("{}", row.join(" | "))),
        other => println!("{other:?}"),
    }
    Ok(())
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match arguments[..] {
        ["serve", path] => serve(path),
        ["ask", address, statement] => ask(address, statement),
        _ => Err("usage: laurelhitch-stand-ins serve CONFIG | ask ADDRESS STATEMENT".into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("laurelhitch-stand-ins: {error}");
            ExitCode::FAILURE
        }
    }
}
