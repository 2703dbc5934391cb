//! Severe faults in a fleet of 40 hollow gateways and four real processes, whose traffic is
//! limited. Each bound is several times the usual value, so that a regression exceeds it and a
//! loaded machine does not.

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
/// The greatest number of bytes per second of one gateway in both directions, at four times the
/// default rates.
const MAX_BYTES: f64 = 24_000.0;

fn report(script: &str, further: &[&str]) -> Value {
    scale_report(
        script,
        &[&FLEET[..], &["--seconds", "16", "--seed", "3"], further].concat(),
    )
}

/// Asserts that all views agreed again after the fault, that no living and reachable gateway was
/// declared dead and that the traffic stayed within its bound.
fn assert_agreed(report: &Value, at: usize, what: &str) {
    let fault = &report["faults"][at];
    assert_eq!(fault["what"], what, "{report:#}");
    assert!(fault["agreed_s"].is_number(), "{what}: {report:#}");
    assert_eq!(number(fault, "/false_deaths"), 0.0, "{what}: {report:#}");
    let bytes = number(fault, "/cost/bytes_per_second/median");
    assert!(bytes < MAX_BYTES, "{what}: {bytes} bytes a second");
}

#[test]
fn a_stopped_and_a_killed_coordinator_are_replaced_and_a_crashed_rack_is_removed() {
    let report = report("scale-hard-leases.hcl", &["--budgets", "3"]);
    for (at, what) in ["coordinator_stop", "coordinator_kill"]
        .into_iter()
        .enumerate()
    {
        assert_agreed(&report, at, what);
        let changed = number(&report["faults"][at], "/coordinator_change_s");
        assert!(changed < 10.0, "{what}: another after {changed} s");
    }
    assert_agreed(&report, 2, "rack");
    assert_eq!(report["faults"][2]["ended"], 5);
}

#[test]
fn views_agree_after_loss_a_region_cut_a_common_restart_and_a_zone_crash() {
    let report = report("scale-hard-network.hcl", &[]);
    for (at, what) in ["loss", "regions", "all_at_once", "zone"]
        .into_iter()
        .enumerate()
    {
        assert_agreed(&report, at, what);
    }
    // A zone has eleven of the 44 gateways, including real processes.
    assert_eq!(report["faults"][3]["ended"], 11);
}
