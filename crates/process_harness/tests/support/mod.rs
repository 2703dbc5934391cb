//! The scale run's program, started by tests.

// Each test file uses a part of this.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::Value;

const RIG: &str = env!("CARGO_BIN_EXE_laurelhitch-harness");
/// The gateway's program, built beside the rig's whenever the workspace's tests are.
pub fn gateway() -> PathBuf {
    let program = Path::new(RIG).with_file_name("laurelhitch");
    assert!(
        program.is_file(),
        "{} is missing: cargo test --workspace builds it",
        program.display()
    );
    program
}

pub fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples/harness")
        .join(name)
}

pub fn scale(arguments: &[&str]) -> Output {
    Command::new(RIG)
        .arg("scale")
        .args(arguments)
        .output()
        .unwrap()
}

pub fn number(of: &Value, path: &str) -> f64 {
    of.pointer(path)
        .and_then(Value::as_f64)
        .unwrap_or_else(|| panic!("{path} in {of:#}"))
}

/// What a run with this script of `examples/harness` reports.
pub fn scale_report(script: &str, arguments: &[&str]) -> Value {
    static RUNS: AtomicUsize = AtomicUsize::new(0);
    let run = format!(
        "{}-{}",
        std::process::id(),
        RUNS.fetch_add(1, Ordering::Relaxed)
    );
    let json = std::env::temp_dir().join(format!("laurelhitch-scale-{run}.json"));
    let (json_path, program) = (json.display().to_string(), gateway().display().to_string());
    let faults = example(script).display().to_string();
    let further = [
        "--faults",
        &faults,
        "--json",
        &json_path,
        "--program",
        &program,
    ];
    let out = scale(&[arguments, &further].concat());
    assert!(out.status.success(), "{out:?}");
    let report = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    std::fs::remove_file(&json).unwrap();
    report
}
