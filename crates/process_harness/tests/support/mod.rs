//! Starts the harness's program for the tests of scale runs.

// Each test file uses only some of these functions.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::Value;

const HARNESS: &str = env!("CARGO_BIN_EXE_laurelhitch-harness");
/// Returns the path of the gateway's program, which a build of the workspace's tests puts beside
/// the harness's.
pub fn gateway() -> PathBuf {
    let program = Path::new(HARNESS).with_file_name("laurelhitch");
    assert!(
        program.is_file(),
        "{} is missing: cargo test --workspace builds it",
        program.display()
    );
    program
}

/// Returns the path of a file in `examples/harness`.
pub fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples/harness")
        .join(name)
}

/// Runs the subcommand `scale` with these arguments.
pub fn scale(arguments: &[&str]) -> Output {
    Command::new(HARNESS)
        .arg("scale")
        .args(arguments)
        .output()
        .unwrap()
}

/// Returns the number at a JSON pointer, and panics if there is none.
pub fn number(value: &Value, path: &str) -> f64 {
    value
        .pointer(path)
        .and_then(Value::as_f64)
        .unwrap_or_else(|| panic!("{path} in {value:#}"))
}

/// Executes a scale run with a script of `examples/harness` and returns its report.
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
