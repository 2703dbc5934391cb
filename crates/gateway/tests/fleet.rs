//! Tests of the membership protocol among several gateway processes, with faults in the network
//! between them. They wait for states that the processes report, with limits far longer than the
//! waits take on an idle machine.

use std::net::{SocketAddr, UdpSocket};
use std::process::Command;
use std::time::{Duration, Instant};

use ::membership::message::{self, Body, Message, View};
use ::membership::{
    BootId, EngineReport, EngineStatus, Incarnation, KeyRing, Locality, MemberState, Name, Record,
};
use process_harness::fleet::{Fleet, FleetOptions, name};
use rustix::process::Signal;
use stand_ins::client::{Answer, Client};

const PROGRAM: &str = env!("CARGO_BIN_EXE_laurelhitch");
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Starts this many gateways and waits until each sees all others.
fn start_fleet(gateways: usize) -> Fleet {
    let fleet = Fleet::start(FleetOptions::new(PROGRAM, gateways), &[]).unwrap();
    fleet
        .wait_until_settled(WAIT_TIMEOUT, &fleet.running_gateways())
        .unwrap();
    fleet
}

/// Sends a statement with this request id to one gateway and returns its answer.
fn ask(fleet: &Fleet, gateway: usize, number: u64) -> Answer {
    let text = format!(
        "/* method=point,rid={number:016x},budget=1500,acct=water,est=5.0,mem=8 */ SELECT 1 FROM ledger_1.bills"
    );
    Client::login(fleet.gateways[gateway].listen)
        .and_then(|mut client| client.ask(&text))
        .unwrap()
}

/// Asserts that every running gateway answers a statement with rows.
fn assert_all_serve(fleet: &Fleet) {
    for gateway in fleet.running_gateways() {
        let answer = ask(fleet, gateway, 1_000_000 + gateway as u64);
        assert!(
            matches!(answer, Answer::Rows(_)),
            "{}: {answer:?}",
            name(gateway)
        );
    }
}

/// Asserts that no gateway declared any other gateway than these dead.
fn assert_no_other_deaths(fleet: &Fleet, expected: &[usize]) {
    let allowed: Vec<String> = expected
        .iter()
        .map(|gateway| format!("{} dead", name(*gateway)))
        .collect();
    let is_unexpected = |(_, _, event): &&(Duration, String, String)| {
        event.ends_with(" dead") && !allowed.contains(event)
    };
    let events = fleet.membership_events();
    let unexpected: Vec<_> = events.iter().filter(is_unexpected).collect();
    assert!(unexpected.is_empty(), "{unexpected:?}");
}

#[test]
fn ten_of_twenty_gateways_killed_at_once_are_declared_dead() {
    let mut fleet = start_fleet(20);
    (0..10).for_each(|gateway| fleet.kill(gateway * 2));
    let rest = fleet.running_gateways();
    fleet.wait_until_settled(WAIT_TIMEOUT, &rest).unwrap();
    assert_all_serve(&fleet);
    assert_no_other_deaths(
        &fleet,
        &(0..10).map(|gateway| gateway * 2).collect::<Vec<_>>(),
    );
}

#[test]
fn a_partition_is_detected_on_both_sides_and_heals() {
    let fleet = start_fleet(7);
    let (minority, majority): (Vec<usize>, Vec<usize>) = (vec![0, 5], vec![1, 2, 3, 4, 6]);
    fleet
        .switch
        .faults(|faults| faults.partition(&[minority.clone(), majority.clone()]));
    fleet.wait_until_settled(WAIT_TIMEOUT, &majority).unwrap();
    let cut_off = fleet.wait_until_view(WAIT_TIMEOUT, &minority, |_, shown| {
        shown.standing.starts_with("cut off") && shown.size == 2
    });
    cut_off.unwrap();
    assert_all_serve(&fleet);
    fleet.switch.faults(process_harness::switch::Faults::heal);
    fleet
        .wait_until_settled(WAIT_TIMEOUT, &fleet.running_gateways())
        .unwrap();
}

#[test]
fn an_isolated_gateway_keeps_serving_and_reports_the_age_of_its_view() {
    let mut options = FleetOptions::new(PROGRAM, 5);
    options.block += "\n  bounded = true";
    let fleet = Fleet::start(options, &[]).unwrap();
    fleet
        .wait_until_settled(WAIT_TIMEOUT, &fleet.running_gateways())
        .unwrap();
    assert!(fleet.query_fleet_view(0).unwrap().heard_s.unwrap() < 5.0);
    let (isolated, others) = (vec![0], vec![1, 2, 3, 4]);
    fleet
        .switch
        .faults(|faults| faults.partition(&[isolated.clone(), others.clone()]));
    let cut_off = fleet.wait_until_view(WAIT_TIMEOUT, &isolated, |_, shown| {
        shown.standing.starts_with("cut off")
    });
    cut_off.unwrap();
    assert_all_serve(&fleet);
    let stale = fleet.query_fleet_view(0).unwrap();
    assert!(
        stale.heard_s.unwrap() > 2.0 && stale.rows.len() == 4,
        "{stale:?}"
    );
    assert!(fleet.query_fleet_view(1).unwrap().heard_s.unwrap() < stale.heard_s.unwrap());
    fleet.switch.faults(process_harness::switch::Faults::heal);
    fleet
        .wait_until_settled(WAIT_TIMEOUT, &fleet.running_gateways())
        .unwrap();
    assert!(fleet.query_fleet_view(0).unwrap().heard_s.unwrap() < 5.0);
}

#[test]
fn a_one_way_link_failure_kills_no_gateway_that_others_reach() {
    let fleet = start_fleet(6);
    fleet.switch.faults(|faults| faults.cut[2][4] = true);
    // This covers several probe rounds and the longest suspicion timeout of this configuration.
    std::thread::sleep(secs(12));
    assert_no_other_deaths(&fleet, &[]);
    fleet.switch.faults(process_harness::switch::Faults::heal);
    fleet
        .wait_until_settled(WAIT_TIMEOUT, &fleet.running_gateways())
        .unwrap();
}

#[test]
fn a_paused_gateway_rejoins_and_declares_no_other_gateway_dead() {
    let fleet = start_fleet(6);
    fleet.signal(3, Signal::STOP);
    let others: Vec<usize> = [0, 1, 2, 4, 5].to_vec();
    fleet.wait_until_settled(WAIT_TIMEOUT, &others).unwrap();
    std::thread::sleep(secs(1));
    fleet.signal(3, Signal::CONT);
    fleet
        .wait_until_settled(WAIT_TIMEOUT, &fleet.running_gateways())
        .unwrap();
    assert_all_serve(&fleet);
    assert_no_other_deaths(&fleet, &[3]);
    fleet.print_counters(3);
    assert!(fleet.counter(3, "fleet_stood_still").unwrap() > 0);
    assert_eq!(fleet.counter(3, "fleet_died"), Some(0));
    assert!(fleet.counter(3, "fleet_refuted").unwrap() > 0);
}

/// A faulty member that holds the key of the fleet and has an address of its own. It sends false
/// records about the other gateways and the engines.
struct FaultyMember {
    socket: UdpSocket,
    own: Record,
    counter: u64,
}

impl FaultyMember {
    fn new(address: SocketAddr) -> FaultyMember {
        let socket = UdpSocket::bind(address).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_millis(5)))
            .unwrap();
        let own = Record {
            name: Name::new("liar").unwrap(),
            boot_id: BootId(1),
            incarnation: Incarnation(1),
            address,
            locality: Locality::default(),
            state: MemberState::Alive,
        };
        FaultyMember {
            socket,
            own,
            counter: 0,
        }
    }

    /// Seals a message with the key of the fleet and sends it.
    fn send(
        &mut self,
        to: SocketAddr,
        body: Body,
        records: Vec<Record>,
        engines: Vec<EngineReport>,
    ) {
        self.counter += 1;
        let fleet = Name::new("rig").unwrap();
        let outgoing = Message {
            fleet,
            from: self.own.clone(),
            counter: self.counter,
            view: View::default(),
            body,
            records,
            engine_reports: engines,
        };
        let bytes = message::seal(&KeyRing::new(&[1; 32], &[]).unwrap(), &outgoing);
        self.socket.send_to(&bytes, to).unwrap();
    }

    /// For the given time, answers every ping, so that the gateways accept it as a member, and
    /// sends each gateway false records every 50 ms: all gateways are dead, all engines fail, and a
    /// member exists that does not. Returns the number of these messages.
    fn send_false_records(&mut self, fleet: &Fleet, duration: Duration) -> u64 {
        let (ring, fleet_name) = (
            KeyRing::new(&[1; 32], &[]).unwrap(),
            Name::new("rig").unwrap(),
        );
        let (until, mut sent, mut bytes) = (Instant::now() + duration, 0, [0; 2048]);
        let mut next = Instant::now();
        while Instant::now() < until {
            if next <= Instant::now() {
                next += Duration::from_millis(50);
                for gateway in 0..fleet.gateways.len() {
                    sent += 1;
                    let victims = (0..fleet.gateways.len()).map(|other| Record {
                        name: Name::new(&name(other)).unwrap(),
                        boot_id: BootId(sent),
                        incarnation: Incarnation(u32::MAX - (other as u32 % 2)),
                        address: fleet.gateways[other].advertised,
                        locality: Locality::default(),
                        state: MemberState::Dead,
                    });
                    let ghost = Record {
                        name: Name::new(&format!("ghost-{sent}")).unwrap(),
                        ..self.own.clone()
                    };
                    let records = victims.chain([ghost]).collect();
                    let failing = |number: usize| EngineReport {
                        engine: format!("e-{number}"),
                        status: EngineStatus::Failing,
                        age_ms: 0,
                    };
                    let engines = (0..fleet.engines.len()).map(failing).collect();
                    self.send(
                        fleet.gateways[gateway].bound,
                        Body::Gossip,
                        records,
                        engines,
                    );
                }
            }
            let Ok((size, from)) = self.socket.recv_from(&mut bytes) else {
                continue;
            };
            if let Ok(received) = message::open(&ring, &fleet_name, &bytes[..size])
                && let Body::Ping(nonce) = received.body
            {
                self.send(from, Body::Ack(nonce), vec![], vec![]);
            }
        }
        sent
    }
}

#[test]
fn a_faulty_member_with_the_key_changes_neither_membership_nor_routing() {
    // The messages do not pass the switch: the gateways are reached at their own addresses, and the
    // faulty member uses one more.
    let mut options = FleetOptions::new(PROGRAM, 5);
    options.engines = 4;
    let fleet = Fleet::start(options, &[]).unwrap();
    fleet
        .wait_until_settled(WAIT_TIMEOUT, &fleet.running_gateways())
        .unwrap();
    let ExtraAddress(address) = ExtraAddress::beside(fleet.gateways[0].bound);
    let mut faulty_member = FaultyMember::new(address);
    let sent = faulty_member.send_false_records(&fleet, secs(5));
    assert!(sent > 100);
    assert_no_other_deaths(&fleet, &[]);
    for gateway in fleet.running_gateways() {
        for number in 0..12 {
            assert!(matches!(
                ask(&fleet, gateway, 5000 + gateway as u64 * 100 + number),
                Answer::Rows(_)
            ));
        }
        fleet.print_counters(gateway);
        assert_eq!(
            fleet.counter(gateway, "engines_ejected"),
            Some(0),
            "{}",
            name(gateway)
        );
        assert!(fleet.counter(gateway, "fleet_table").unwrap() < 200);
        let shown = fleet.query_fleet_view(gateway).unwrap();
        let live = shown.live_members();
        assert!(
            (0..5)
                .filter(|other| *other != gateway)
                .all(|other| live.contains(&&name(other)[..])),
            "{shown:?}"
        );
        assert!(
            shown.rows.values().all(|row| row.incarnation < 100_000),
            "{shown:?}"
        );
    }
}

/// A socket address that no gateway uses.
struct ExtraAddress(SocketAddr);

impl ExtraAddress {
    /// Returns the address with the same port whose last octet is 250.
    fn beside(other: SocketAddr) -> ExtraAddress {
        let std::net::IpAddr::V4(ip) = other.ip() else {
            panic!("expected an IPv4 address")
        };
        let [a, b, c, _] = ip.octets();
        ExtraAddress(SocketAddr::from(([a, b, c, 250], other.port())))
    }
}

#[test]
fn a_fleet_settles_after_a_rolling_restart_and_after_a_simultaneous_one() {
    let mut fleet = start_fleet(5);
    for gateway in 0..5 {
        assert!(fleet.terminate(gateway, secs(10)));
        let rest = fleet.running_gateways();
        fleet.wait_until_settled(WAIT_TIMEOUT, &rest).unwrap();
        fleet.start_gateway(gateway).unwrap();
        fleet.wait_until_ready(gateway);
        fleet
            .wait_until_settled(WAIT_TIMEOUT, &fleet.running_gateways())
            .unwrap();
    }
    // A gateway that leaves in an orderly way is not declared dead.
    assert_no_other_deaths(&fleet, &[]);
    (0..5).for_each(|gateway| fleet.kill(gateway));
    (0..5).for_each(|gateway| fleet.start_gateway(gateway).unwrap());
    (0..5).for_each(|gateway| fleet.wait_until_ready(gateway));
    fleet
        .wait_until_settled(WAIT_TIMEOUT, &fleet.running_gateways())
        .unwrap();
    assert_all_serve(&fleet);
}

#[test]
fn a_gateway_whose_seeds_are_all_down_serves_alone() {
    let mut fleet = Fleet::start(FleetOptions::new(PROGRAM, 4), &[0, 1, 2]).unwrap();
    fleet
        .wait_until_view(WAIT_TIMEOUT, &[3], |_, shown| {
            shown.standing == "alone" && shown.size == 1
        })
        .unwrap();
    assert_all_serve(&fleet);
    fleet.start_gateway(1).unwrap();
    fleet.wait_until_ready(1);
    fleet.wait_until_settled(WAIT_TIMEOUT, &[1, 3]).unwrap();
}

#[test]
fn lost_and_duplicated_datagrams_kill_no_gateway() {
    let fleet = start_fleet(6);
    fleet.switch.faults(|faults| {
        (faults.lost, faults.repeated, faults.corrupted) = (1.0 / 3.0, 1.0, 0.02);
        faults.delay = (Duration::ZERO, Duration::from_millis(30));
        faults.repeat_after = Duration::from_millis(400);
    });
    std::thread::sleep(secs(14));
    fleet
        .switch
        .faults(|faults| *faults = process_harness::switch::Faults::none(6));
    assert_no_other_deaths(&fleet, &[]);
    fleet
        .wait_until_settled(WAIT_TIMEOUT, &fleet.running_gateways())
        .unwrap();
    let refused = |counter: &str| -> i64 {
        fleet
            .running_gateways()
            .into_iter()
            .map(|gateway| {
                fleet.print_counters(gateway);
                fleet.counter(gateway, counter).unwrap()
            })
            .sum()
    };
    assert!(refused("fleet_refused_repeated") > 0 && refused("fleet_refused_code") > 0);
}

#[test]
fn a_rolling_key_change_loses_no_gateway() {
    let fleet = start_fleet(4);
    let change_each = |change: &dyn Fn(usize)| {
        for gateway in 0..4 {
            change(gateway);
            fleet.signal(gateway, Signal::HUP);
            std::thread::sleep(Duration::from_millis(500));
        }
    };
    change_each(&|gateway| fleet.write_key(gateway, "second", 2).unwrap());
    change_each(&|gateway| fleet.set_signing_key(gateway, "second").unwrap());
    change_each(&|gateway| std::fs::remove_file(fleet.keys(gateway).join("first.key")).unwrap());
    fleet
        .wait_until_settled(WAIT_TIMEOUT, &fleet.running_gateways())
        .unwrap();
    assert_no_other_deaths(&fleet, &[]);
    for gateway in 0..4 {
        fleet.print_counters(gateway);
        assert_eq!(fleet.counter(gateway, "reloads_failed"), Some(0));
        assert_eq!(fleet.counter(gateway, "fleet_refused_key"), Some(0));
    }
}

#[test]
fn a_flood_of_forged_datagrams_affects_neither_statements_nor_membership() {
    let fleet = start_fleet(3);
    let to = fleet.gateways[1].bound;
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let stopped = stop.clone();
    let flood = std::thread::spawn(move || {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let (mut sent, mut bytes) = (0u64, [1u8; 900]);
        let until = Instant::now() + secs(5);
        while !stopped.load(std::sync::atomic::Ordering::Relaxed) && Instant::now() < until {
            bytes[10..18].copy_from_slice(&sent.to_le_bytes());
            sent += u64::from(socket.send_to(&bytes, to).is_ok());
            // The rate is limited to about 20,000 datagrams a second, far more than any fleet
            // sends.
            if sent % 20 == 0 {
                std::thread::sleep(Duration::from_millis(1));
            }
        }
        sent
    });
    for number in 0..100 {
        assert!(
            matches!(ask(&fleet, 1, 70_000 + number), Answer::Rows(_)),
            "{number}"
        );
    }
    std::thread::sleep(secs(2));
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let sent = flood.join().unwrap();
    fleet
        .wait_until_settled(WAIT_TIMEOUT, &fleet.running_gateways())
        .unwrap();
    assert_no_other_deaths(&fleet, &[]);
    fleet.print_counters(1);
    let refused = fleet.counter(1, "fleet_refused_key").unwrap();
    assert!(sent > 1000 && refused > 500, "{refused} of {sent}");
    assert_eq!(fleet.counter(1, "overdue"), Some(0));
}

#[test]
fn the_command_line_shows_the_fleet_and_check_shows_its_settings() {
    let fleet = start_fleet(3);
    let address = fleet.gateways[0].listen.to_string();
    let run = |arguments: &[&str]| Command::new(PROGRAM).args(arguments).output().unwrap();
    let table = String::from_utf8(run(&["fleet", &address]).stdout).unwrap();
    assert!(
        table.contains("g01") && table.contains("together"),
        "{table}"
    );
    let json: serde_json::Value =
        serde_json::from_slice(&run(&["fleet", &address, "--json"]).stdout).unwrap();
    assert_eq!(json.as_array().unwrap().len(), 3);
    let file = |ending: &str| {
        fleet
            .folder()
            .join(format!("g00.{ending}"))
            .display()
            .to_string()
    };
    let check =
        String::from_utf8(run(&["check", "--operator", &file("hcl"), &file("json")]).stdout)
            .unwrap();
    assert!(
        check.contains("fleet rig is on") && check.contains("hearsay counts from 2"),
        "{check}"
    );
    assert!(
        !check.contains("bounded:"),
        "the bounded mode must be off unless it is set: {check}"
    );
    let block = std::fs::read_to_string(file("hcl")).unwrap();
    let bounded = fleet.folder().join("bounded.hcl").display().to_string();
    std::fs::write(
        &bounded,
        block.replacen("fleet {", "fleet {\n  bounded = true", 1),
    )
    .unwrap();
    let check =
        String::from_utf8(run(&["check", "--operator", &bounded, &file("json")]).stdout).unwrap();
    assert!(
        check.contains("bounded: 10 confirmations, 8 verifiers, 8 direct probes"),
        "{check}"
    );
    // With the fleet off, the gateway opens no membership socket and `fleet` reports that it is
    // off.
    let mut options = FleetOptions::new(PROGRAM, 1);
    options.fleet = false;
    let alone = Fleet::start(options, &[]).unwrap();
    let off = run(&["fleet", &alone.gateways[0].listen.to_string()]);
    assert!(
        !off.status.success() && String::from_utf8_lossy(&off.stderr).contains("its fleet is off")
    );
    assert!(UdpSocket::bind(alone.gateways[0].bound).is_ok());
}

#[test]
fn the_command_line_manages_the_fleet_keys() {
    let folder =
        std::env::temp_dir().join(format!("laurelhitch-fleet-keys-{}", std::process::id()));
    let path = folder.display().to_string();
    let run = |arguments: &[&str]| {
        let output = Command::new(PROGRAM)
            .arg("fleet-keys")
            .args(arguments)
            .output()
            .unwrap();
        (
            output.status.success(),
            String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap(),
        )
    };
    for (arguments, succeeds, text) in [
        (vec!["add", &path, "may"], true, ""),
        (vec!["add", &path, "june"], true, ""),
        (vec!["add", &path, "may"], false, "is there already"),
        (vec!["list", &path], true, "may  signs"),
        (vec!["sign", &path, "july"], false, "names no key"),
        (vec!["remove", &path, "may"], false, "names no key"),
        (vec!["sign", &path, "june"], true, ""),
        (vec!["remove", &path, "may"], true, ""),
        (vec!["add", &path, "a/b"], false, "is no name"),
        (vec!["list", &path], true, "june  signs"),
    ] {
        let (succeeded, printed) = run(&arguments);
        assert!(
            succeeded == succeeds && printed.contains(text),
            "{arguments:?}: {printed}"
        );
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
