//! The operator's file as operators write it, and every way it can be wrong that we know.

// A test tells one story from top to bottom, and tables of cases are long.
#![allow(clippy::too_many_lines)]

use std::path::Path;

use operator_config::OperatorConfig;

const GOOD: &str = r#"
queues {
  ageing_ms      = 500
  default_member = "south-power"

  member "valley-water" {
    cpu_s_per_s  = 6.0
    default_desk = "kiosk"
    desk "counter" {
      cpu_s_per_s = 4
      networks    = ["10.1.0.0/16", "fd00::/8"]
    }
    desk "kiosk" {
      cpu_s_per_s = 2
      weight      = 7
    }
  }
  member "south-power" { cpu_s_per_s = 3 }
}
"#;

fn error(text: &str) -> String {
    OperatorConfig::parse(Path::new("site.hcl"), text)
        .unwrap_err()
        .to_string()
}

#[test]
fn a_good_file_gives_terms_with_the_defaults_first() {
    let terms = OperatorConfig::parse(Path::new("site.hcl"), GOOD)
        .unwrap()
        .scheduler
        .unwrap();
    let names: Vec<_> = terms
        .tenants
        .iter()
        .map(|member| &member.name[..])
        .collect();
    assert_eq!(names, ["south-power", "valley-water"]);
    let water = &terms.tenants[1];
    let desks: Vec<_> = water
        .sub_queues
        .iter()
        .map(|d| (&d.name[..], d.share.budget, d.share.weight))
        .collect();
    assert_eq!(desks, [("kiosk", 2.0, 7.0), ("counter", 4.0, 4.0)]);
    assert_eq!((terms.ageing.secs(), terms.burst.secs()), (0.5, 2.0));
    assert_eq!(terms.tenants[0].sub_queues.len(), 1);
}

#[test]
fn nothing_said_or_switched_off_is_off() {
    let off = GOOD.replace("ageing_ms ", "enabled = false\n ageing_ms ");
    for text in ["", "# all off\n", &off] {
        assert_eq!(
            OperatorConfig::parse(Path::new("site.hcl"), text).unwrap(),
            OperatorConfig::default()
        );
    }
}

#[test]
fn each_fault_is_one_error_with_file_line_and_field() {
    for (change, to, want) in [
        (
            "ageing_ms ",
            "ageing ",
            "site.hcl:3: queues.ageing: unknown field `ageing`",
        ),
        (
            "= 500",
            "= \"soon\"",
            "site.hcl:3: queues.ageing_ms: invalid type",
        ),
        (
            "= 500",
            "= -1",
            "site.hcl:3: queues.ageing_ms: -1 is not between 10 and 600000",
        ),
        (
            "\"south-power\"\n",
            "\"nobody\"\n",
            "site.hcl:4: queues.default_member: no such member",
        ),
        (
            "\"kiosk\"\n",
            "\"hall\"\n",
            "site.hcl:8: queues.member.valley-water.default_desk: no such desk",
        ),
        (
            "= 6.0",
            "= 5.5",
            "site.hcl:7: queues.member.valley-water.cpu_s_per_s: its desks are owed 6 together",
        ),
        (
            "10.1.0.0/16",
            "10.1.0.0/33",
            "site.hcl:11: queues.member.valley-water.desk.counter.networks",
        ),
        (
            "weight ",
            "wait ",
            "site.hcl:15: queues.member.valley-water.desk.kiosk.wait: unknown field",
        ),
        (
            "\"fd00::/8\"",
            "\"10.1.2.3/16\"",
            "site.hcl:11: queues.member.valley-water.desk.counter.networks",
        ),
        (
            "queues {",
            "queues {\n  extra {}",
            "site.hcl:3: queues.extra: unknown field",
        ),
        ("\nqueues", "\nqueue", "site.hcl:2: queue: unknown field"),
        ("= 500", "= ", "site.hcl:3: no HCL"),
        (
            "{ cpu_s_per_s = 3 }",
            "{ cpu_s_per_s = 3",
            "site.hcl:18: no HCL",
        ),
        (
            "{ cpu_s_per_s = 3 }",
            "{}",
            "site.hcl:18: queues.member.south-power: missing field `cpu_s_per_s`",
        ),
    ] {
        assert!(GOOD.contains(change), "{change}");
        let got = error(&GOOD.replacen(change, to, 1));
        assert!(
            got.starts_with(want) && !got.contains('\n'),
            "{got}, not {want}"
        );
    }
    assert!(
        OperatorConfig::read(Path::new("/nonexistent.hcl"))
            .unwrap_err()
            .to_string()
            .starts_with("/nonexistent.hcl: ")
    );
}

#[test]
fn callers_have_their_files_and_times_checked() {
    let good = "identity {\n  keys_folder = \"k\"\n  certificate = \"c\"\n  private_key = \"p\"\n  grace_ms = 2000\n}\n";
    let callers = OperatorConfig::parse(Path::new("site.hcl"), good)
        .unwrap()
        .identity
        .unwrap();
    assert_eq!(
        (
            callers.verifier.key_arrival_grace.secs(),
            callers.verifier.clock_skew.secs()
        ),
        (2.0, 5.0)
    );
    for (change, to, want) in [
        (
            "  private_key = \"p\"\n",
            "",
            "site.hcl:1: identity: missing field `private_key`",
        ),
        (
            "2000",
            "-2",
            "site.hcl:5: identity.grace_ms: -2 is not between",
        ),
        (
            "grace_ms",
            "grace",
            "site.hcl:5: identity.grace: unknown field",
        ),
    ] {
        let got = error(&good.replacen(change, to, 1));
        assert!(got.starts_with(want), "{got}, not {want}");
    }
}

const DIVIDED: &str = r#"
fleet {
  fleet       = "hengchun"
  bind        = "127.0.0.1:7946"
  keys_folder = "k"
}
shares {
  voters        = ["c", "a", "b"]
  most_gateways = 10
  floor_part    = 0.5
  trials_per_s  = 2
  cold          = true
  relays_per_s  = { scan = 30 }
}
"#;

#[test]
fn bounds_of_the_fleet_are_off_until_set_and_checked() {
    let with = |lines: &str| {
        DIVIDED.replacen(
            "  keys_folder = \"k\"\n",
            &format!("  keys_folder = \"k\"\n{lines}"),
            1,
        )
    };
    let bounds = |lines: &str| {
        let text = GOOD.to_owned() + &with(lines);
        OperatorConfig::parse(Path::new("site.hcl"), &text)
            .unwrap()
            .membership
            .unwrap()
            .protocol
            .traffic_limits
    };
    assert_eq!(bounds(""), None);
    assert_eq!(bounds("  bounded = false\n"), None);
    assert_eq!(
        bounds("  bounded = true\n"),
        Some(membership::TrafficLimits::default())
    );
    let set =
        bounds("  bounded = true\n  confirmations = 3\n  gossip_bytes_per_s = 900\n").unwrap();
    assert_eq!((set.confirmations, set.gossip_bytes_per_s), (3, 900.0));
    for (lines, want) in [
        (
            "  verifiers = 4\n",
            "site.hcl:6: fleet.verifiers: it needs bounded = true",
        ),
        (
            "  bounded = true\n  confirmations = 21\n",
            "site.hcl:7: fleet.confirmations: 21 is not between 0 and 20",
        ),
        (
            "  bounded = true\n  direct_probes = 0\n",
            "site.hcl:7: fleet.direct_probes: 0 is not between 1 and 256",
        ),
        (
            "  bounded = true\n  exchange_bytes_per_s = 5\n",
            "site.hcl:7: fleet.exchange_bytes_per_s: 5 is not between",
        ),
        (
            "  bounds = true\n",
            "site.hcl:6: fleet.bounds: unknown field",
        ),
    ] {
        let got = error(&with(lines));
        assert!(
            got.starts_with(want) && !got.contains('\n'),
            "{got}, not {want}"
        );
    }
}

#[test]
fn divided_budgets_take_the_members_and_are_checked() {
    let operator =
        OperatorConfig::parse(Path::new("site.hcl"), &(GOOD.to_owned() + DIVIDED)).unwrap();
    let shares = operator.quota.unwrap();
    let budgets: Vec<_> = shares
        .budgets
        .iter()
        .map(|b| (b.name(), b.capacity.units(), b.guaranteed.units()))
        .collect();
    let want = [
        ("cold", 1.0, 0.05),
        ("member.south-power", 3.0, 0.15),
        ("member.valley-water", 6.0, 0.3),
        ("relays.scan", 30.0, 1.5),
        ("trials", 2.0, 0.1),
    ];
    assert_eq!(
        budgets,
        want.map(|(name, whole, floor)| (name.to_owned(), whole, floor))
    );
    assert_eq!(
        (
            shares.lease_duration.secs(),
            shares.term_duration.secs(),
            shares.renew_interval.secs()
        ),
        (6.0, 2.0, 0.5)
    );
    for (change, to, want) in [
        (
            "[\"c\", \"a\", \"b\"]",
            "[\"a\", \"b\"]",
            "site.hcl:8: shares.voters: none, an even number",
        ),
        (
            "[\"c\", \"a\", \"b\"]",
            "[\"a\", \"b\", \"a\"]",
            "site.hcl:8: shares.voters: none, an even number",
        ),
        (
            "[\"c\", \"a\", \"b\"]",
            "[\"a/b\"]",
            "site.hcl:8: shares.voters: 'a/b' is no name",
        ),
        (
            "= 0.5",
            "= 1.5",
            "site.hcl:10: shares.floor_part: 1.5 is not between 0 and 1",
        ),
        (
            "  trials_per_s  = 2",
            "  lease_ms = 2500",
            "site.hcl:11: shares.lease_ms: a lease has to outlast",
        ),
        (
            "  trials_per_s  = 2",
            "  term_ms = 1000",
            "site.hcl:11: shares.term_ms: at least four times",
        ),
        (
            "  trials_per_s  = 2",
            "  trials = 2",
            "site.hcl:11: shares.trials: unknown field",
        ),
        (
            "{ scan = 30 }",
            "{ scan = 0 }",
            "site.hcl:13: shares.relays_per_s.scan: 0 is not between",
        ),
        (
            "fleet {",
            "fleet {\n  enabled = false",
            "site.hcl:8: shares: budgets are divided only where",
        ),
        (
            "  trials_per_s  = 2\n  cold          = true\n  relays_per_s  = { scan = 30 }\n",
            "",
            "site.hcl:7: shares: no budget, or more than 24",
        ),
    ] {
        assert!(DIVIDED.contains(change), "{change}");
        let got = error(&DIVIDED.replacen(change, to, 1));
        assert!(
            got.starts_with(want) && !got.contains('\n'),
            "{got}, not {want}"
        );
    }
}
