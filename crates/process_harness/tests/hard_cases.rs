//! The hard cases of a large fleet with limits on what gateways send, small and quick: forty hollow gateways beside four real
//! processes. Bounds are some times what it takes, so that a regression breaks them and a loaded machine does not.

mod support;

use serde_json::Value;
use support::{number, scale_report};

const FLEET: [&str; 8] = [
    "--hollow",
    "40",
    "--real",
    "4",
    "--regions",
    "2",
    "--zones",
    "4",
];
/// Bytes a second of one gateway in both directions, at four times the default paces.
const MOST_BYTES: f64 = 24_000.0;

fn report(script: &str, further: &[&str]) -> Value {
    scale_report(
        script,
        &[&FLEET[..], &["--seconds", "16", "--seed", "3"], further].concat(),
    )
}

/// All agreed again after the fault, and nobody that lived and could be reached was held for dead.
fn agreed(report: &Value, at: usize, what: &str) {
    let fault = &report["faults"][at];
    assert_eq!(fault["what"], what, "{report:#}");
    assert!(fault["agreed_s"].is_number(), "{what}: {report:#}");
    assert_eq!(number(fault, "/false_deaths"), 0.0, "{what}: {report:#}");
    let bytes = number(fault, "/cost/bytes_per_second/median");
    assert!(bytes < MOST_BYTES, "{what}: {bytes} bytes a second");
}

#[test]
fn a_stopped_and_a_killed_coordinator_are_replaced_and_a_rack_is_taken_off() {
    let report = report("scale-hard-leases.hcl", &["--budgets", "3"]);
    for (at, what) in ["coordinator_stop", "coordinator_kill"]
        .into_iter()
        .enumerate()
    {
        agreed(&report, at, what);
        let changed = number(&report["faults"][at], "/coordinator_change_s");
        assert!(changed < 10.0, "{what}: another after {changed} s");
    }
    agreed(&report, 2, "rack");
    assert_eq!(report["faults"][2]["ended"], 5);
}

#[test]
fn loss_regions_apart_a_common_start_and_a_zone_end_in_one_view() {
    let report = report("scale-hard-network.hcl", &[]);
    for (at, what) in ["loss", "regions", "all_at_once", "zone"]
        .into_iter()
        .enumerate()
    {
        agreed(&report, at, what);
    }
    // Eleven of forty-four stand in a zone, real processes among them.
    assert_eq!(report["faults"][3]["ended"], 11);
}
