//! Both forms of the same settings read alike, and what is missing or unreadable is named.

use admission::interface::TimeDelta;
use settings::{Settings, Way};

const WAY: Way = Way(TimeDelta::ZERO);

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
fn both_forms_read_alike() {
    let (lines, json) = (
        Settings::from_lines(LINES),
        Settings::from_json(&serde_json::from_str(JSON).unwrap()),
    );
    assert_eq!(lines, json);
    assert_eq!(json.class_names().unwrap(), ["point", "load"]);
    assert_eq!(
        (json.tenant_names().unwrap(), json.classes()),
        (vec!["water".to_owned()], 2)
    );
    assert_eq!(
        (json.location_names(), json.machine_names().len()),
        (vec!["west".into(), "east".into()], 2)
    );
    let links = json.links().unwrap();
    assert_eq!(
        (
            links.connect_timeout.secs(),
            links.idle.secs(),
            links.multiplex
        ),
        (0.25, 30.0, 100)
    );
    assert!(json.policy(1, WAY).is_ok() && json.bills().unwrap());
}

#[test]
fn what_is_missing_or_unreadable_is_named() {
    let fault = |lines: &str| match Settings::from_lines(lines).policy(1, WAY) {
        Ok(_) => panic!("taken for good"),
        Err(error) => error.to_string(),
    };
    assert!(fault("PeersTotal=1").contains("Grades.count is missing"));
    assert!(
        fault(&LINES.replace("GiveUpS=4.0", "GiveUpS=soon"))
            .contains("Grades.0.GiveUpS cannot be read")
    );
    assert!(
        fault(&LINES.replace("Effect=safe", "Effect=odd"))
            .contains("Grades.0.Effect cannot be read: odd")
    );
    assert!(
        Settings::from_lines("")
            .links()
            .unwrap_err()
            .to_string()
            .contains("ConnectTimeoutS is missing")
    );
}

/// Who sends has the window less the way, and of a short window no more than a tenth goes.
#[test]
fn windows_of_repeats_are_shorter_by_the_way() {
    use admission::interface::*;
    let at = Timestamp::from_secs;
    for (window, way, left) in [("5.0", 0.0, 5.0), ("5.0", 0.05, 4.95), ("0.2", 0.05, 0.18)] {
        let lines = LINES.replace(
            "Grades.1.WindowS=5.0",
            &format!("Grades.1.WindowS={window}"),
        );
        let policy = Settings::from_lines(&lines)
            .policy(1, Way(TimeDelta::from_secs(way)))
            .unwrap();
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
        let statement = Statement {
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
        };
        assert_eq!(
            policy.repeat_until(&statement),
            Some(at(10.0 + left)),
            "{window}, {way}"
        );
    }
}
