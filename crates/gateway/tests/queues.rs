//! End-to-end tests of queueing: a gateway process with simulated engines and clients over sockets.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Instant;

use rustix::process::Signal;
use serde_json::{Value, json};
use stand_ins::board::target;
use stand_ins::client::{Answer, Client, packet};
use stand_ins::engine::Mood;
use support::*;

/// Two tenants (`member`), one of them with two sub-queues (`desk`). Their budgets cover about 25
/// statements a second each, which one engine with two cores can serve.
const QUEUE_SETTINGS: &str = r#"
queues {
  default_member  = "water"
  ageing_ms       = 500
  burst_ms        = 500
  desk_statements = 40
  member "water" {
    cpu_s_per_s = 0.3
    desk "counter" { cpu_s_per_s = 0.15 }
    desk "kiosk" {
      cpu_s_per_s = 0.15
      networks    = ["127.3.0.0/16"]
    }
  }
  member "power" { cpu_s_per_s = 0.3 }
}
"#;

/// Gives each engine two cores, so that a few statements fill it.
fn use_two_core_engines(config: &mut Value) {
    config["settings"]["Extra"]["KindCores"] = json!([2]);
    config["settings"]["Tenants"] = json!([
        {"Name": "water", "AllowancePerS": 10000.0}, {"Name": "power", "AllowancePerS": 10000.0}]);
}

/// Returns a new request id and a statement whose comment carries it; an empty `desk` names no
/// sub-queue.
fn commented_statement(member: &str, desk: &str, budget_ms: u64) -> (String, String) {
    let rid = format!(
        "{:016x}",
        NEXT_ID.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
    );
    let desk = if desk.is_empty() {
        String::new()
    } else {
        format!(",desk={desk}")
    };
    let fields =
        format!("method=point,rid={rid},budget={budget_ms},acct={member}{desk},est=12.0,mem=8");
    (
        rid,
        format!("/* {fields} */ SELECT 1 FROM ledger_1.bills LIMIT 1"),
    )
}

/// Numbers of completed, rejected and other answers, by tenant.
type Counts = BTreeMap<String, [u32; 3]>;

/// Starts clients that each send statements one after another for `duration_ms`, with a pause in
/// between, and count their answers in `counts`.
fn start_clients(
    listen: SocketAddr,
    member: &str,
    clients: usize,
    pause_ms: u64,
    duration_ms: u64,
    counts: &Arc<Mutex<Counts>>,
) -> Vec<thread::JoinHandle<()>> {
    let start_client = |_| {
        let (member, counts) = (member.to_owned(), counts.clone());
        thread::spawn(move || {
            let until = Instant::now() + millis(duration_ms);
            let mut client = Client::login(listen).unwrap();
            while Instant::now() < until {
                let answer = client
                    .ask(&commented_statement(&member, "", 2000).1)
                    .unwrap();
                let rejected = matches!(answer, Answer::Error(1226, _));
                let kind = if matches!(answer, Answer::Rows(_)) {
                    0
                } else if rejected {
                    1
                } else {
                    2
                };
                counts.lock().unwrap().entry(member.clone()).or_default()[kind] += 1;
                sleep(millis(if rejected { 100 } else { pause_ms }));
            }
        })
    };
    (0..clients).map(start_client).collect()
}

fn join_all(threads: Vec<thread::JoinHandle<()>>) {
    threads
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
}

/// Returns the rows of `SHOW QUEUE`, by tenant and sub-queue.
fn queue_status(client: &mut Client) -> BTreeMap<(String, String), Vec<String>> {
    let rows = rows(client.ask("SHOW QUEUE").unwrap());
    rows.into_iter()
        .map(|row| ((row[0].clone(), row[1].clone()), row))
        .collect()
}

#[test]
fn a_tenant_that_overloads_its_queue_is_rejected_early_and_does_not_affect_another_tenant() {
    let engine = engine(30);
    let gateway =
        Gateway::with_operator_file(&[engine.address], QUEUE_SETTINGS, use_two_core_engines);
    let counts = Arc::new(Mutex::new(Counts::new()));
    let light = start_clients(gateway.listen, "power", 2, 100, 4000, &counts);
    let load = start_clients(gateway.listen, "water", 40, 0, 4000, &counts);
    join_all(light);
    join_all(load);
    let counts = counts.lock().unwrap().clone();
    let [power, water] = [counts["power"], counts["water"]];
    assert!(
        power[0] > 30 && f64::from(power[0]) >= 0.95 * f64::from(power[0] + power[1] + power[2]),
        "{counts:?}"
    );
    assert!(
        water[0] > power[0] && water[1] > 20 && water[2] == 0,
        "{counts:?}"
    );
    gateway.signal(Signal::TERM);
    let (status, log) = gateway.wait_for_exit(millis(6000));
    assert!(status.success());
    assert_counters_balance(&log);
    let ending_counters = [
        "rejected_at_entry",
        "evicted",
        "released",
        "rejected_while_waiting",
        "client_left",
    ];
    let ended: i64 = ending_counters
        .iter()
        .map(|name| counter(&log, &format!("queue_{name}")))
        .sum();
    assert_eq!(counter(&log, "queue_received"), ended, "{log}");
}

#[test]
fn waiting_statements_are_shown_by_sub_queue_and_by_statement_and_on_the_command_line() {
    let engine = engine(400);
    let gateway =
        Gateway::with_operator_file(&[engine.address], QUEUE_SETTINGS, use_two_core_engines);
    let mut clients: Vec<Client> = (0..30).map(|_| gateway.client()).collect();
    let mut last_request_id = String::new();
    for client in &mut clients {
        let (rid, text) = commented_statement("water", "kiosk", 2000);
        client.stream.write_query(&text);
        last_request_id = rid;
    }
    sleep(millis(250));
    let mut observer = gateway.client();
    let shown = queue_status(&mut observer);
    let kiosk = &shown[&("water".into(), "kiosk".into())];
    let waiting: u32 = kiosk[2].parse().unwrap();
    assert!((5..30).contains(&waiting), "{shown:?}");
    assert_eq!(shown[&("power".into(), "all".into())][2], "0");
    let row = rows(
        observer
            .ask(&format!("show queue for '{last_request_id}'"))
            .unwrap(),
    );
    assert!(
        row.is_empty()
            || (row[0][1..3] == ["water", "kiosk"] && row[0][4].parse::<f64>().unwrap() > 100.0),
        "{row:?}"
    );
    assert!(rows(observer.ask("SHOW QUEUE FOR 'ffffffffffffffff'").unwrap()).is_empty());
    let program = env!("CARGO_BIN_EXE_laurelhitch");
    let listen = gateway.listen.to_string();
    let output = Command::new(program)
        .args(["queue", &listen, "--member", "water", "--json"])
        .output()
        .unwrap();
    let sub_queues: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(
        (
            sub_queues[0]["desk"].as_str(),
            sub_queues[1]["desk"].as_str()
        ),
        (Some("counter"), Some("kiosk"))
    );
    let answers = clients
        .into_iter()
        .map(|mut client| client.answer().unwrap());
    assert!(
        answers
            .into_iter()
            .all(|answer| matches!(answer, Answer::Rows(_) | Answer::Error(1226, _)))
    );
}

/// Sends a statement without waiting for its answer.
trait WriteQuery {
    fn write_query(&mut self, text: &str);
}

impl WriteQuery for std::net::TcpStream {
    fn write_query(&mut self, text: &str) {
        std::io::Write::write_all(self, &stand_ins::client::query_packet(text)).unwrap();
    }
}

#[test]
fn a_client_that_accepts_progress_reports_gets_them_and_its_answer_in_one_packet_sequence() {
    let engine = engine(1500);
    let gateway = Gateway::with_operator_file(&[engine.address], QUEUE_SETTINGS, |config| {
        use_two_core_engines(config);
        config["settings"]["Grades"][0]["GiveUpS"] = json!(12.0);
        config["settings"]["Grades"][0]["GoalTimeS"] = json!(12.0);
    });
    // The capabilities of a MariaDB client: CLIENT_MYSQL is not set, and the extended MariaDB flags
    // (here: progress reports) stand in the last four of the reserved bytes.
    let mut login = stand_ins::client::login_packet("app", b"", "warehouse");
    login[4] &= !1;
    login[4 + 28] = 1;
    let mut clients: Vec<Client> = (0..12)
        .map(|_| Client::open(gateway.listen, &login).unwrap())
        .collect();
    for client in &mut clients {
        assert_eq!(client.answer().unwrap(), Answer::Ok);
        client
            .stream
            .write_query(&commented_statement("water", "", 9000).1);
    }
    let mut reports = 0;
    for client in &mut clients {
        let (mut sequence, mut highest_progress) = (1, 0);
        loop {
            let mut head = [0; 4];
            std::io::Read::read_exact(&mut client.stream, &mut head).unwrap();
            assert_eq!(head[3], sequence, "the packet sequence has a gap");
            sequence += 1;
            let mut body = vec![0; u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize];
            std::io::Read::read_exact(&mut client.stream, &mut body).unwrap();
            if !body.starts_with(&[0xff, 0xff, 0xff]) {
                break;
            }
            assert_eq!(body[3..6], [1, 1, 2]);
            highest_progress =
                u32::from_le_bytes([body[6], body[7], body[8], 0]).max(highest_progress);
            assert!(highest_progress <= 100_000);
            reports += 1;
        }
    }
    assert!(reports >= 5, "{reports}");
    // A client that does not set the flag gets its answer without progress reports.
    let mut plain = gateway.client();
    plain
        .stream
        .write_query(&commented_statement("water", "", 9000).1);
    assert!(matches!(
        plain.answer().unwrap(),
        Answer::Rows(_) | Answer::Error(1226, _)
    ));
}

#[test]
fn no_statement_is_sent_to_a_draining_engine_while_statements_wait() {
    let [draining, ready] = [engine(50), engine(50)];
    let gateway = Gateway::with_operator_file(
        &[draining.address, ready.address],
        QUEUE_SETTINGS,
        use_two_core_engines,
    );
    let counts = Arc::new(Mutex::new(Counts::new()));
    let load = start_clients(gateway.listen, "water", 50, 0, 4000, &counts);
    sleep(millis(1500));
    assert!(
        queue_status(&mut gateway.client())
            .values()
            .any(|row| row[2] != "0")
    );
    gateway
        .board
        .tell(false, vec![target("e-0", draining.address, "terminating")]);
    sleep(millis(800));
    let before = draining.lines().len();
    sleep(millis(1000));
    assert_eq!(
        draining.lines().len(),
        before,
        "a statement was sent to a draining engine"
    );
    join_all(load);
    assert!(counts.lock().unwrap()["water"][0] > 50 && counts.lock().unwrap()["water"][2] == 0);
    gateway.signal(Signal::TERM);
    assert_counters_balance(&gateway.wait_for_exit(millis(6000)).1);
}

#[test]
fn every_client_is_answered_when_an_engine_stops_responding_under_full_queues() {
    let [stalled, healthy] = [engine(40), engine(40)];
    let gateway = Gateway::with_operator_file(
        &[stalled.address, healthy.address],
        QUEUE_SETTINGS,
        use_two_core_engines,
    );
    let counts = Arc::new(Mutex::new(Counts::new()));
    let load = start_clients(gateway.listen, "water", 30, 0, 5000, &counts);
    sleep(millis(1000));
    stalled.set(Mood::Silent);
    sleep(millis(1500));
    stalled.set(Mood::Well);
    join_all(load);
    // The read timeout of the clients is far longer than the budget of a statement: a client that
    // got no answer has failed the test in its own thread.
    let counts = counts.lock().unwrap()["water"];
    assert!(counts[0] > 60, "{counts:?}");
    gateway.signal(Signal::TERM);
    assert_counters_balance(&gateway.wait_for_exit(millis(6000)).1);
}

#[test]
fn remaining_clients_are_served_when_half_of_the_waiting_clients_disconnect() {
    let engine = engine(200);
    let gateway =
        Gateway::with_operator_file(&[engine.address], QUEUE_SETTINGS, use_two_core_engines);
    let mut clients: Vec<Client> = (0..24).map(|_| gateway.client()).collect();
    for client in &mut clients {
        // The answer to this ping stays unread, so closing the socket resets the connection.
        std::io::Write::write_all(&mut client.stream, &packet(0, &[0x0e])).unwrap();
        client
            .stream
            .write_query(&commented_statement("power", "", 2000).1);
    }
    sleep(millis(100));
    let remaining = clients.split_off(12);
    drop(clients);
    for mut client in remaining {
        assert_eq!(client.answer().unwrap(), Answer::Ok);
        assert!(matches!(
            client.answer().unwrap(),
            Answer::Rows(_) | Answer::Error(1226, _)
        ));
    }
    gateway.signal(Signal::TERM);
    let (_, log) = gateway.wait_for_exit(millis(6000));
    assert_counters_balance(&log);
    assert!(counter(&log, "queue_client_left") > 0, "{log}");
}

#[test]
fn a_burst_of_scans_does_not_delay_point_queries_of_another_sub_queue() {
    let engine = engine(30);
    let gateway =
        Gateway::with_operator_file(&[engine.address], QUEUE_SETTINGS, use_two_core_engines);
    // The scans wait in a sub-queue of their own, which belongs to the same tenant.
    let scans: Vec<_> = (0..40)
        .map(|_| {
            let listen = gateway.listen;
            thread::spawn(move || {
                let (until, mut client) = (
                    Instant::now() + millis(3500),
                    Client::login(listen).unwrap(),
                );
                while Instant::now() < until {
                    let scan = commented_statement("water", "kiosk", 8000)
                        .1
                        .replace("method=point", "method=scan");
                    let answer = client.ask(&scan).unwrap();
                    assert!(
                        matches!(answer, Answer::Rows(_) | Answer::Error(1226, _)),
                        "{answer:?}"
                    );
                    if matches!(answer, Answer::Error(..)) {
                        sleep(millis(100));
                    }
                }
            })
        })
        .collect();
    sleep(millis(500));
    let (mut sent, mut in_time, mut client) = (0, 0, gateway.client());
    while sent < 40 {
        let begun = Instant::now();
        let answer = client
            .ask(&commented_statement("water", "counter", 2000).1)
            .unwrap();
        sent += 1;
        in_time += u32::from(matches!(answer, Answer::Rows(_)) && begun.elapsed() < millis(500));
        sleep(millis(60));
    }
    join_all(scans);
    // On an idle machine no point query is late; one of the forty may be.
    assert!(in_time >= 39, "{in_time} of {sent}");
}

#[test]
fn tenants_with_zero_or_tiny_budgets_among_a_thousand_are_served_across_a_reload() {
    let engine = engine(5);
    let member = |number| {
        format!(
            "member \"m{number}\" {{ cpu_s_per_s = {} }}\n",
            if number % 2 == 0 { "0" } else { "0.01" }
        )
    };
    let members: String = (0..1000).map(member).collect();
    let operator_file = format!(
        "queues {{\ndefault_member = \"m0\"\nburst_ms = 100\nageing_ms = 200\n{members}}}\n"
    );
    let gateway = Gateway::with_operator_file(&[engine.address], &operator_file, |config| {
        use_two_core_engines(config);
        config["settings"]["Tenants"] = json!([]);
    });
    let listen = gateway.listen;
    let start_client = |name: &'static str| {
        thread::spawn(move || {
            let mut client = Client::login(listen).unwrap();
            (0..60)
                .filter(|_| {
                    matches!(
                        client.ask(&commented_statement(name, "", 2000).1).unwrap(),
                        Answer::Rows(_)
                    )
                })
                .count()
        })
    };
    // The first two tenants have no budget, and the third has less than one statement a second.
    // Each statement costs more than the largest credit that a tenant can accumulate.
    let clients = ["m0", "m500", "m999"].map(start_client);
    sleep(millis(200));
    std::fs::write(
        gateway.config.with_extension("hcl"),
        operator_file.replace("ageing_ms = 200", "ageing_ms = 100"),
    )
    .unwrap();
    gateway.signal(Signal::HUP);
    for served in clients {
        let served = served.join().unwrap();
        assert!(served >= 57, "{served} of 60");
    }
    gateway.signal(Signal::TERM);
    let (_, log) = gateway.wait_for_exit(millis(6000));
    assert_counters_balance(&log);
    assert_eq!(
        (
            counter(&log, "reloads_failed"),
            counter(&log, "sub_queues_unknown")
        ),
        (0, 0)
    );
}

#[test]
fn a_reload_changes_queues_under_load_and_an_invalid_file_keeps_the_old_ones() {
    let engine = engine(30);
    let gateway =
        Gateway::with_operator_file(&[engine.address], QUEUE_SETTINGS, use_two_core_engines);
    let counts = Arc::new(Mutex::new(Counts::new()));
    let load = start_clients(gateway.listen, "water", 30, 0, 3000, &counts);
    let file = gateway.config.with_extension("hcl");
    sleep(millis(600));
    std::fs::write(&file, QUEUE_SETTINGS.replace("kiosk", "window")).unwrap();
    gateway.signal(Signal::HUP);
    sleep(millis(400));
    let mut client = gateway.client();
    assert!(queue_status(&mut client).contains_key(&("water".into(), "window".into())));
    for bad in [
        &QUEUE_SETTINGS.replace("ageing_ms", "ageing"),
        "queues {",
        &QUEUE_SETTINGS.replace("\"power\"", "\"nobody\""),
    ] {
        std::fs::write(&file, bad).unwrap();
        gateway.signal(Signal::HUP);
        sleep(millis(200));
        assert!(queue_status(&mut client).contains_key(&("water".into(), "window".into())));
    }
    join_all(load);
    assert_eq!(counts.lock().unwrap()["water"][2], 0);
    gateway.signal(Signal::TERM);
    let (_, log) = gateway.wait_for_exit(millis(6000));
    assert_counters_balance(&log);
    assert_eq!(counter(&log, "reloads_failed"), 3, "{log}");
    assert!(log.contains("queues.ageing: unknown field"), "{log}");
}

#[test]
fn waiting_statements_are_answered_within_the_drain_time_when_the_gateway_stops() {
    let engine = engine(300);
    let gateway =
        Gateway::with_operator_file(&[engine.address], QUEUE_SETTINGS, use_two_core_engines);
    let mut clients: Vec<Client> = (0..20).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|client| {
        client
            .stream
            .write_query(&commented_statement("water", "counter", 2000).1);
    });
    sleep(millis(100));
    gateway.signal(Signal::TERM);
    let begun = Instant::now();
    for mut client in clients {
        assert!(matches!(
            client.answer().unwrap(),
            Answer::Rows(_) | Answer::Error(1226, _)
        ));
    }
    assert!(begun.elapsed() < millis(2500));
    let (status, log) = gateway.wait_for_exit(millis(4000));
    assert!(status.success());
    assert_counters_balance(&log);
}

#[test]
fn a_sub_queue_is_chosen_by_comment_or_client_network_and_unknown_names_are_counted() {
    let engine = engine(1);
    let gateway = Gateway::with_operator_file(
        &[engine.address],
        &QUEUE_SETTINGS.replace("127.3.0.0/16", "127.0.0.0/8"),
        use_two_core_engines,
    );
    let mut client = gateway.client();
    for (desk, unknown_before) in [("", 0), ("counter", 0), ("cellar", 1), ("", 1)] {
        assert!(
            matches!(
                client
                    .ask(&commented_statement("water", desk, 2000).1)
                    .unwrap(),
                Answer::Rows(_)
            ),
            "{unknown_before}"
        );
    }
    gateway.signal(Signal::TERM);
    assert_eq!(
        counter(&gateway.wait_for_exit(millis(6000)).1, "sub_queues_unknown"),
        1
    );
}

#[test]
fn show_queue_is_an_error_when_queues_are_not_configured() {
    let engine = engine(1);
    let gateway = Gateway::start(&[engine.address]);
    let mut client = gateway.client();
    assert!(matches!(
        client.ask("SHOW QUEUE").unwrap(),
        Answer::Error(1064, _)
    ));
    client.stream.write_query("SELECT @@version");
    assert!(matches!(client.answer().unwrap(), Answer::Rows(_)));
    std::io::Write::write_all(&mut client.stream, &packet(0, &[0x0e])).unwrap();
    assert_eq!(client.answer().unwrap(), Answer::Ok);
}
