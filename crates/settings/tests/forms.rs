//! Checks that both forms of the settings are read alike, and that errors name the missing or
//! unreadable setting.

use admission::interface::{
    Attempt, AttemptState, CellId, ClassId, EngineId, LocationId, Statement, StatementId,
    TableGroupId, TenantId, TimeDelta, Timestamp,
};
use settings::{NetworkDelay, Settings};

const NO_DELAY: NetworkDelay = NetworkDelay(TimeDelta::ZERO);

const LINES: &str = "Discovery=pushed\nExtra.Bills=true\nExtra.KindCores=8,16\nExtra.Notes=a_b__c\n\
    Extra.Parallelism=1,2\nGrades.count=2\nGrades.0.Name=point\nGrades.0.Effect=safe\nGrades.0.GoalTimeS=0.5\n\
    Grades.0.GiveUpS=4.0\nGrades.1.Name=load\nGrades.1.Effect=keyed\nGrades.1.KeyScope=zone\n\
    Grades.1.WindowS=5.0\nGrades.1.GoalTimeS=2.0\nGrades.1.GiveUpS=9.0\nGrades.1.ZonesOnly=1\n\
    Limits.ConnIdleS=30.0\nLimits.ConnectTimeoutS=0.25\nLimits.Multiplex=100\nMachineTypes=plain-8,plain-16\n\
    PeersTotal=3\nTenants.count=1\nTenants.0.Name=water\nTenants.0.AllowancePerS=47.0\nZones=west,east";

const JSON: &str = r#"{"Discovery": "pushed",
    "Extra": {"Bills": true, "KindCores": [8, 16], "Notes": ["a b, c"], "Parallelism": [1, 2], "Gone": null},
    "Grades": [{"Name": "point", "Effect": "safe", "GoalTimeS": 0.5, "GiveUpS": 4.0},
        {"Name": "load", "Effect": "keyed", "KeyScope": "zone", "WindowS": 5.0, "GoalTimeS": 2.0, "GiveUpS": 9.0,
        "ZonesOnly": [1]}],
    "Limits": {"ConnIdleS": 30.0, "ConnectTimeoutS": 0.25, "Multiplex": 100},
    "MachineTypes": ["plain-8", "plain-16"], "PeersTotal": 3,
    "Tenants": [{"Name": "water", "AllowancePerS": 47.0}], "Zones": ["west", "east"]}"#;

#[test]
fn lines_and_json_give_the_same_settings() {
    let lines = Settings::from_lines(LINES);
    let json = Settings::from_json(&serde_json::from_str(JSON).unwrap());
    assert_eq!(lines, json);
    assert_eq!(json.class_names().unwrap(), ["point", "load"]);
    assert_eq!(json.class_count(), 2);
    assert_eq!(json.tenant_names().unwrap(), ["water"]);
    assert_eq!(json.location_names(), ["west", "east"]);
    assert_eq!(json.machine_names().len(), 2);
    let connections = json.connections().unwrap();
    assert_eq!(connections.connect_timeout.secs(), 0.25);
    assert_eq!(connections.idle_timeout.secs(), 30.0);
    assert_eq!(connections.multiplex, 100);
    assert!(json.policy(1, NO_DELAY).is_ok());
    assert!(json.engines_report_usage().unwrap());
}

/// Returns the error for these lines.
fn error_text(lines: &str) -> String {
    match Settings::from_lines(lines).policy(1, NO_DELAY) {
        Ok(_) => panic!("the settings were accepted"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn errors_name_the_missing_or_unreadable_setting() {
    assert!(error_text("PeersTotal=1").contains("Grades.count is missing"));
    let no_time = LINES.replace("GiveUpS=4.0", "GiveUpS=soon");
    assert!(error_text(&no_time).contains("Grades.0.GiveUpS cannot be read"));
    let no_effect = LINES.replace("Effect=safe", "Effect=odd");
    assert!(error_text(&no_effect).contains("Grades.0.Effect cannot be read: odd"));
    let connections = Settings::from_lines("").connections();
    let error = connections.unwrap_err().to_string();
    assert!(error.contains("ConnectTimeoutS is missing"));
}

/// Returns a statement of the class with a deduplication window. Its only attempt was sent at 10 s
/// and may have run.
fn sent_statement() -> Statement {
    let at = Timestamp::from_secs;
    let attempt = Attempt {
        engine: EngineId(1),
        location: LocationId(0),
        cell: CellId(0),
        sent: at(10.0),
        charge: TimeDelta::ZERO,
        threads: 1.0,
        memory_mb: 0.0,
        priority: 0,
        outlier_probe: false,
        state: AttemptState::MayHaveRun,
    };
    Statement {
        id: StatementId(1),
        class: ClassId(1),
        tenant: TenantId(0),
        group: TableGroupId(0),
        estimate: None,
        memory_mb: 0.0,
        key: None,
        has_idempotency_key: true,
        borrowed: false,
        received: at(10.0),
        deadline: at(19.0),
        waiting_since: at(10.0),
        queue_position: None,
        attempts: vec![attempt],
    }
}

/// The window for sending is the deduplication window minus the network delay, but the subtracted
/// time is at most a tenth of the window.
#[test]
fn deduplication_windows_are_shorter_by_the_network_delay() {
    for (window, delay_s, sending_window_s) in
        [("5.0", 0.0, 5.0), ("5.0", 0.05, 4.95), ("0.2", 0.05, 0.18)]
    {
        let window_line = format!("Grades.1.WindowS={window}");
        let lines = LINES.replace("Grades.1.WindowS=5.0", &window_line);
        let delay = NetworkDelay(TimeDelta::from_secs(delay_s));
        let policy = Settings::from_lines(&lines).policy(1, delay).unwrap();
        let until = Timestamp::from_secs(10.0 + sending_window_s);
        assert_eq!(
            policy.repeat_until(&sent_statement()),
            Some(until),
            "{window}, {delay_s}"
        );
    }
}
