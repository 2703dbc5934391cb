//! Tests queueing under faults and overload with the production decision code, with several seeds
//! for most cases. No run may break a rule.

use simulator::figures::Figures;
use simulator::front::Policy;
use simulator::play::Play;
use simulator::scenario::Scenario;

/// Three tenants that use about three quarters of the capacity of four engines. Tests append their
/// scripts.
const BASE_SCENARIO: &str = r#"
seconds      = 40
gateways     = 2
client_tries = 2

engines {
  count          = 4
  cores          = 8
  memory_mb      = 16384
  cold_s         = 15
  cold_share     = 0.35
  tip_multiple   = 2
  tip_s          = 1
  threads_a_core = 4
  crowd_loss     = 0.1
  note_ms        = 2000
}
product "lookup" {
  cpu_ms          = 60
  cpu_spread      = 0.5
  estimate_times  = 1.6
  estimate_spread = 0.3
  memory_mb       = 40
  quoted_ms       = 800
  quoted_stretch  = 2
  hard_limit_ms   = 4000
  gain            = 1
}
product "report" {
  cpu_ms          = 900
  cpu_spread      = 0.7
  estimate_times  = 0.7
  estimate_spread = 0.4
  memory_mb       = 400
  threads         = 2
  quoted_ms       = 2000
  quoted_stretch  = 2.5
  hard_limit_ms   = 15000
  gain            = 10
  late_gain       = 0.3
}
traffic "valley-water" {
  counter  { per_s = { lookup = 40 } }
  accounts { per_s = { report = 7 } }
}
traffic "south-power" {
  counter { per_s = { lookup = 32, report = 5 } }
}
traffic "harbour-gas" {
  kiosk { per_s = { lookup = 20, report = 3 } }
}
queues {
  default_member  = "valley-water"
  ageing_ms       = 1000
  desk_statements = 400
  desk_cpu_s      = 60
  member "valley-water" {
    cpu_s_per_s = 10.5
    desk "counter"  { cpu_s_per_s = 3.5 }
    desk "accounts" { cpu_s_per_s = 7 }
  }
  member "south-power" { cpu_s_per_s = 8.5 }
  member "harbour-gas" { cpu_s_per_s = 5.5 }
}
"#;

fn run(script: &str, policy: Policy, seed: u64) -> Figures {
    let scenario = Scenario::parse(&format!("{BASE_SCENARIO}\n{script}")).unwrap();
    let figures = Play::new(&scenario, policy, seed).unwrap().run().figures;
    assert_eq!(figures.rules_broken, 0, "seed {seed}: {:?}", figures.rules);
    let ends = figures.completed + figures.denied + figures.scrapped;
    assert_eq!(figures.statements, ends, "seed {seed}");
    figures
}

#[test]
fn a_tenants_fivefold_flood_leaves_the_service_of_the_others() {
    let flood = r#"script "flood" {
        at_s = 10
        for_s = 20
        member = "south-power"
        times = 5
    }"#;
    for seed in 1..=2 {
        let (baseline, flooded_run) = (
            run("", Policy::Queues, seed),
            run(flood, Policy::Queues, seed),
        );
        for name in ["valley-water", "harbour-gas"] {
            let (before, with) = (
                baseline.members[name].service,
                flooded_run.members[name].service,
            );
            assert!(
                with >= 0.95 * before,
                "seed {seed} {name}: {before} to {with}"
            );
        }
        assert!(
            flooded_run.estimate_within_20 >= 0.8,
            "seed {seed}: {}",
            flooded_run.estimate_within_20
        );
        // Most rejections come at once, and the flooding tenant still gets more than its budget.
        assert!(
            flooded_run.denied_at_once as f64 >= 0.9 * flooded_run.denied as f64,
            "{flooded_run:?}"
        );
        let flooded = &flooded_run.members["south-power"];
        assert!(flooded.cpu_served > flooded.budget, "{flooded:?}");
        let line = run(flood, Policy::OneLine, seed);
        assert!(line.members["harbour-gas"].service < flooded_run.members["harbour-gas"].service);
    }
}

#[test]
fn draining_engines_during_overload_keep_the_rules_and_the_estimates() {
    let script = r#"script "flood" {
        at_s = 3
        for_s = 30
        times = 1.6
    }
    script "drain" {
        at_s = 8
        for_s = 10
        engines = [0, 1]
    }"#;
    for seed in 1..=2 {
        let figures = run(script, Policy::Queues, seed);
        assert!(
            figures.estimate_within_20 >= 0.6,
            "seed {seed}: {}",
            figures.estimate_within_20
        );
        assert!(
            figures.longest_passed_over_ms < 2100.0,
            "seed {seed}: {}",
            figures.longest_passed_over_ms
        );
    }
}

#[test]
fn half_of_the_engines_silent_during_overload_keep_the_rules() {
    let script = r#"script "flood" {
        at_s = 3
        for_s = 30
        times = 1.4
    }
    script "silent" {
        at_s = 8
        for_s = 8
        engines = [0, 1]
    }
    script "restart" {
        at_s = 16
        for_s = 4
        engines = [0, 1]
    }"#;
    for seed in 1..=3 {
        run(script, Policy::Queues, seed);
    }
}

#[test]
fn a_burst_of_reports_does_not_delay_lookups() {
    let burst = r#"script "flood" {
        at_s = 10
        for_s = 20
        product = "report"
        times = 3
    }"#;
    for seed in 1..=3 {
        let (baseline, flooded_run) = (
            run("", Policy::Queues, seed),
            run(burst, Policy::Queues, seed),
        );
        let (before, with) = (
            baseline.classes["lookup"].share_in_time,
            flooded_run.classes["lookup"].share_in_time,
        );
        assert!(with >= before - 0.02, "seed {seed}: {before} to {with}");
    }
}

#[test]
fn engine_faults_break_no_rule() {
    for (kind, more) in [
        ("fail", ""),
        ("slow", "times = 10"),
        ("pause", ""),
        ("restart", ""),
        ("silent", ""),
    ] {
        let script =
            format!("script \"{kind}\" {{\nat_s = 8\nfor_s = 8\nengines = [0, 1]\n{more}\n}}");
        run(&script, Policy::Queues, 5);
        run(&script, Policy::OneLine, 5);
    }
}

#[test]
fn service_stays_when_a_gateway_is_away() {
    let script =
        "allowance_times = 1.2\nscript \"away\" {\nat_s = 8\nfor_s = 20\ngateways = [0]\n}";
    let [baseline, away] = ["", script].map(|script| run(script, Policy::Queues, 2).service);
    assert!(away >= baseline - 0.03, "{baseline} to {away}");
}

#[test]
fn ordered_non_idempotent_and_zone_bound_classes_keep_the_rules() {
    let base = BASE_SCENARIO.replace("gain            = 1\n", "gain = 1\nkeys = 40\nzone = 1\n");
    let base = base
        .replace("late_gain       = 0.3", "unrepeatable = true")
        .replace("count          = 4", "count = 4\nzones = 2");
    let script = "script \"restart\" {\nat_s = 8\nfor_s = 8\nengines = [1]\n}\nscript \"fail\" {\nat_s = 20\nfor_s = 3\nengines = [0, 3]\n}";
    let scenario = Scenario::parse(&format!("{base}\n{script}")).unwrap();
    let figures = Play::new(&scenario, Policy::Queues, 3)
        .unwrap()
        .run()
        .figures;
    assert_eq!(figures.rules_broken, 0, "{:?}", figures.rules);
    assert!(figures.scrapped > 0 && figures.completed > 1000);
}

#[test]
fn the_same_scenario_and_seed_give_the_same_figures() {
    let bytes = |seed| serde_json::to_string(&run("", Policy::Queues, seed)).unwrap();
    assert_eq!(bytes(4), bytes(4));
    assert_ne!(bytes(4), bytes(5));
}

#[test]
fn invalid_scenarios_are_rejected() {
    for (text, expected) in [
        (
            BASE_SCENARIO.replace("lookup = 40", "lockup = 40"),
            "no product lockup",
        ),
        (
            format!("{BASE_SCENARIO}\nscript \"storm\" {{\nat_s = 1\nfor_s = 1\n}}"),
            "unknown kind storm",
        ),
        (
            format!("{BASE_SCENARIO}\nscript \"pause\" {{\nat_s = 1\nfor_s = 1\nengines = [9]\n}}"),
            "no engine 9",
        ),
        (BASE_SCENARIO.replace("cores ", "crores "), "unknown field"),
    ] {
        let error = Scenario::parse(&text).unwrap_err();
        assert!(error.contains(expected), "{error}");
    }
}
