//! Gateways that know each other, as several processes of the program with faults between them: the hard cases by name.
//! Waits are for what the processes say, with bounds far beyond what they take on an idle machine.

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
const SOON: Duration = Duration::from_secs(40);

fn secs(of: u64) -> Duration {
    Duration::from_secs(of)
}

/// So many, known to each other.
fn together(gateways: usize) -> Fleet {
    let fleet = Fleet::start(FleetOptions::new(PROGRAM, gateways), &[]).unwrap();
    fleet
        .wait_until_settled(SOON, &fleet.running_gateways())
        .unwrap();
    fleet
}

/// A statement's answer from one.
fn ask(fleet: &Fleet, at: usize, number: u64) -> Answer {
    let text = format!(
        "/* method=point,rid={number:016x},budget=1500,acct=water,est=5.0,mem=8 */ SELECT 1 FROM ledger_1.bills"
    );
    Client::login(fleet.gateways[at].listen)
        .and_then(|mut client| client.ask(&text))
        .unwrap()
}

fn serve(fleet: &Fleet) {
    for at in fleet.running_gateways() {
        let answer = ask(fleet, at, 1_000_000 + at as u64);
        assert!(
            matches!(answer, Answer::Rows(_)),
            "{}: {answer:?}",
            name(at)
        );
    }
}

/// Nobody was taken for dead but these, by anybody.
fn only_died(fleet: &Fleet, of: &[usize]) {
    let allowed: Vec<String> = of.iter().map(|at| format!("{} dead", name(*at))).collect();
    let wrong = |(_, _, what): &&(Duration, String, String)| {
        what.ends_with(" dead") && !allowed.contains(what)
    };
    let line = fleet.membership_events();
    let wrong: Vec<_> = line.iter().filter(wrong).collect();
    assert!(wrong.is_empty(), "{wrong:?}");
}

#[test]
fn half_of_twenty_killed_at_once_leave_the_right_ten() {
    let mut fleet = together(20);
    (0..10).for_each(|at| fleet.kill(at * 2));
    let rest = fleet.running_gateways();
    fleet.wait_until_settled(SOON, &rest).unwrap();
    serve(&fleet);
    only_died(&fleet, &(0..10).map(|at| at * 2).collect::<Vec<_>>());
}

#[test]
fn a_partition_is_named_on_both_sides_and_heals() {
    let fleet = together(7);
    let (few, many): (Vec<usize>, Vec<usize>) = (vec![0, 5], vec![1, 2, 3, 4, 6]);
    fleet
        .switch
        .faults(|faults| faults.partition(&[few.clone(), many.clone()]));
    fleet.wait_until_settled(SOON, &many).unwrap();
    let cut_off = fleet.wait_until_view(SOON, &few, |_, shown| {
        shown.standing.starts_with("cut off") && shown.size == 2
    });
    cut_off.unwrap();
    serve(&fleet);
    fleet.switch.faults(process_harness::switch::Faults::heal);
    fleet
        .wait_until_settled(SOON, &fleet.running_gateways())
        .unwrap();
}

#[test]
fn one_that_is_cut_off_serves_on_and_says_how_old_what_it_knows_is() {
    let mut wanted = FleetOptions::new(PROGRAM, 5);
    wanted.block += "\n  bounded = true";
    let fleet = Fleet::start(wanted, &[]).unwrap();
    fleet
        .wait_until_settled(SOON, &fleet.running_gateways())
        .unwrap();
    assert!(fleet.query_fleet_view(0).unwrap().heard_s.unwrap() < 5.0);
    let (one, others) = (vec![0], vec![1, 2, 3, 4]);
    fleet
        .switch
        .faults(|faults| faults.partition(&[one.clone(), others.clone()]));
    let cut_off =
        fleet.wait_until_view(SOON, &one, |_, shown| shown.standing.starts_with("cut off"));
    cut_off.unwrap();
    serve(&fleet);
    let old = fleet.query_fleet_view(0).unwrap();
    assert!(old.heard_s.unwrap() > 2.0 && old.rows.len() == 4, "{old:?}");
    assert!(fleet.query_fleet_view(1).unwrap().heard_s.unwrap() < old.heard_s.unwrap());
    fleet.switch.faults(process_harness::switch::Faults::heal);
    fleet
        .wait_until_settled(SOON, &fleet.running_gateways())
        .unwrap();
    assert!(fleet.query_fleet_view(0).unwrap().heard_s.unwrap() < 5.0);
}

#[test]
fn a_one_way_cut_takes_nobody_off_whom_others_reach() {
    let fleet = together(6);
    fleet.switch.faults(|faults| faults.cut[2][4] = true);
    // As long as several rounds of probes and the longest suspicion of these paces.
    std::thread::sleep(secs(12));
    only_died(&fleet, &[]);
    fleet.switch.faults(process_harness::switch::Faults::heal);
    fleet
        .wait_until_settled(SOON, &fleet.running_gateways())
        .unwrap();
}

#[test]
fn one_stopped_for_five_seconds_comes_back_and_suspects_nobody() {
    let fleet = together(6);
    fleet.signal(3, Signal::STOP);
    let others: Vec<usize> = [0, 1, 2, 4, 5].to_vec();
    fleet.wait_until_settled(SOON, &others).unwrap();
    std::thread::sleep(secs(1));
    fleet.signal(3, Signal::CONT);
    fleet
        .wait_until_settled(SOON, &fleet.running_gateways())
        .unwrap();
    serve(&fleet);
    only_died(&fleet, &[3]);
    fleet.print_counters(3);
    assert!(fleet.counter(3, "fleet_stood_still").unwrap() > 0);
    assert_eq!(fleet.counter(3, "fleet_died"), Some(0));
    assert!(fleet.counter(3, "fleet_refuted").unwrap() > 0);
}

/// One that holds the key, at an address of its own; it answers nothing.
struct Liar {
    socket: UdpSocket,
    own: Record,
    counter: u64,
}

impl Liar {
    fn new(address: SocketAddr) -> Liar {
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
        Liar {
            socket,
            own,
            counter: 0,
        }
    }

    fn send(
        &mut self,
        to: SocketAddr,
        body: Body,
        records: Vec<Record>,
        engines: Vec<EngineReport>,
    ) {
        self.counter += 1;
        let fleet = Name::new("rig").unwrap();
        let letter = Message {
            fleet,
            from: self.own.clone(),
            counter: self.counter,
            view: View::default(),
            body,
            records,
            engine_reports: engines,
        };
        let bytes = message::seal(&KeyRing::new(&[1; 32], &[]).unwrap(), &letter);
        self.socket.send_to(&bytes, to).unwrap();
    }

    /// Answers every question for so long, so that it is known, and lies in each answer.
    fn lie(&mut self, fleet: &Fleet, lasts: Duration) -> u64 {
        let (ring, rig) = (
            KeyRing::new(&[1; 32], &[]).unwrap(),
            Name::new("rig").unwrap(),
        );
        let (until, mut said, mut bytes) = (Instant::now() + lasts, 0, [0; 2048]);
        let mut next = Instant::now();
        while Instant::now() < until {
            if next <= Instant::now() {
                next += Duration::from_millis(50);
                for at in 0..fleet.gateways.len() {
                    said += 1;
                    let victims = (0..fleet.gateways.len()).map(|of| Record {
                        name: Name::new(&name(of)).unwrap(),
                        boot_id: BootId(said),
                        incarnation: Incarnation(u32::MAX - (of as u32 % 2)),
                        address: fleet.gateways[of].advertised,
                        locality: Locality::default(),
                        state: MemberState::Dead,
                    });
                    let ghost = Record {
                        name: Name::new(&format!("ghost-{said}")).unwrap(),
                        ..self.own.clone()
                    };
                    let records = victims.chain([ghost]).collect();
                    let bad = |at: usize| EngineReport {
                        engine: format!("e-{at}"),
                        status: EngineStatus::Failing,
                        age_ms: 0,
                    };
                    let engines = (0..fleet.engines.len()).map(bad).collect();
                    self.send(fleet.gateways[at].bound, Body::Gossip, records, engines);
                }
            }
            let Ok((size, from)) = self.socket.recv_from(&mut bytes) else {
                continue;
            };
            if let Ok(letter) = message::open(&ring, &rig, &bytes[..size])
                && let Body::Ping(nonce) = letter.body
            {
                self.send(from, Body::Ack(nonce), vec![], vec![]);
            }
        }
        said
    }
}

#[test]
fn a_liar_with_the_key_changes_neither_who_is_there_nor_where_statements_go() {
    // Without a switch: gateways at their own addresses, the liar at one more.
    let mut wanted = FleetOptions::new(PROGRAM, 5);
    wanted.engines = 4;
    let fleet = Fleet::start(wanted, &[]).unwrap();
    fleet
        .wait_until_settled(SOON, &fleet.running_gateways())
        .unwrap();
    let IpTo(address) = IpTo::beside(fleet.gateways[0].bound);
    let mut liar = Liar::new(address);
    let said = liar.lie(&fleet, secs(5));
    assert!(said > 100);
    only_died(&fleet, &[]);
    for at in fleet.running_gateways() {
        for number in 0..12 {
            assert!(matches!(
                ask(&fleet, at, 5000 + at as u64 * 100 + number),
                Answer::Rows(_)
            ));
        }
        fleet.print_counters(at);
        assert_eq!(
            fleet.counter(at, "engines_ejected"),
            Some(0),
            "{}",
            name(at)
        );
        assert!(fleet.counter(at, "fleet_table").unwrap() < 200);
        let shown = fleet.query_fleet_view(at).unwrap();
        let there = shown.live_members();
        assert!(
            (0..5)
                .filter(|of| *of != at)
                .all(|of| there.contains(&&name(of)[..])),
            "{shown:?}"
        );
        assert!(
            shown.rows.values().all(|row| row.incarnation < 100_000),
            "{shown:?}"
        );
    }
}

struct IpTo(SocketAddr);

impl IpTo {
    fn beside(of: SocketAddr) -> IpTo {
        let std::net::IpAddr::V4(ip) = of.ip() else {
            panic!("IPv4 here")
        };
        let [a, b, c, _] = ip.octets();
        IpTo(SocketAddr::from(([a, b, c, 250], of.port())))
    }
}

#[test]
fn all_restarted_in_turn_and_then_at_once() {
    let mut fleet = together(5);
    for at in 0..5 {
        assert!(fleet.terminate(at, secs(10)));
        let rest = fleet.running_gateways();
        fleet.wait_until_settled(SOON, &rest).unwrap();
        fleet.start_gateway(at).unwrap();
        fleet.wait_until_ready(at);
        fleet
            .wait_until_settled(SOON, &fleet.running_gateways())
            .unwrap();
    }
    // Planned leaving is no failure.
    only_died(&fleet, &[]);
    (0..5).for_each(|at| fleet.kill(at));
    (0..5).for_each(|at| fleet.start_gateway(at).unwrap());
    (0..5).for_each(|at| fleet.wait_until_ready(at));
    fleet
        .wait_until_settled(SOON, &fleet.running_gateways())
        .unwrap();
    serve(&fleet);
}

#[test]
fn seeds_that_name_nobody_alive_leave_one_alone_and_serving() {
    let mut fleet = Fleet::start(FleetOptions::new(PROGRAM, 4), &[0, 1, 2]).unwrap();
    fleet
        .wait_until_view(SOON, &[3], |_, shown| {
            shown.standing == "alone" && shown.size == 1
        })
        .unwrap();
    serve(&fleet);
    fleet.start_gateway(1).unwrap();
    fleet.wait_until_ready(1);
    fleet.wait_until_settled(SOON, &[1, 3]).unwrap();
}

#[test]
fn a_third_lost_and_all_repeated_late_kills_nobody() {
    let fleet = together(6);
    fleet.switch.faults(|faults| {
        (faults.lost, faults.repeated, faults.corrupted) = (1.0 / 3.0, 1.0, 0.02);
        faults.delay = (Duration::ZERO, Duration::from_millis(30));
        faults.repeat_after = Duration::from_millis(400);
    });
    std::thread::sleep(secs(14));
    fleet
        .switch
        .faults(|faults| *faults = process_harness::switch::Faults::none(6));
    only_died(&fleet, &[]);
    fleet
        .wait_until_settled(SOON, &fleet.running_gateways())
        .unwrap();
    let refused = |of: &str| -> i64 {
        fleet
            .running_gateways()
            .into_iter()
            .map(|at| {
                fleet.print_counters(at);
                fleet.counter(at, of).unwrap()
            })
            .sum()
    };
    assert!(refused("fleet_refused_repeated") > 0 && refused("fleet_refused_code") > 0);
}

#[test]
fn a_key_changed_in_service_one_after_another_loses_nobody() {
    let fleet = together(4);
    let step = |change: &dyn Fn(usize)| {
        for at in 0..4 {
            change(at);
            fleet.signal(at, Signal::HUP);
            std::thread::sleep(Duration::from_millis(500));
        }
    };
    step(&|at| fleet.write_key(at, "second", 2).unwrap());
    step(&|at| fleet.set_signing_key(at, "second").unwrap());
    step(&|at| std::fs::remove_file(fleet.keys(at).join("first.key")).unwrap());
    fleet
        .wait_until_settled(SOON, &fleet.running_gateways())
        .unwrap();
    only_died(&fleet, &[]);
    for at in 0..4 {
        fleet.print_counters(at);
        assert_eq!(fleet.counter(at, "reloads_failed"), Some(0));
        assert_eq!(fleet.counter(at, "fleet_refused_key"), Some(0));
    }
}

#[test]
fn a_flood_of_forged_datagrams_leaves_statements_and_the_fleet_alone() {
    let fleet = together(3);
    let to = fleet.gateways[1].bound;
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let ends = stop.clone();
    let flood = std::thread::spawn(move || {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let (mut sent, mut bytes) = (0u64, [1u8; 900]);
        let until = Instant::now() + secs(5);
        while !ends.load(std::sync::atomic::Ordering::Relaxed) && Instant::now() < until {
            bytes[10..18].copy_from_slice(&sent.to_le_bytes());
            sent += u64::from(socket.send_to(&bytes, to).is_ok());
            // Some 20,000 a second: bounded, and far over what any fleet sends.
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
        .wait_until_settled(SOON, &fleet.running_gateways())
        .unwrap();
    only_died(&fleet, &[]);
    fleet.print_counters(1);
    let refused = fleet.counter(1, "fleet_refused_key").unwrap();
    assert!(sent > 1000 && refused > 500, "{refused} of {sent}");
    assert_eq!(fleet.counter(1, "overdue"), Some(0));
}

#[test]
fn the_command_line_shows_the_fleet_and_check_shows_the_block() {
    let fleet = together(3);
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
    assert!(!check.contains("bounded:"), "off unless set: {check}");
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
    // Off: no socket, and no word of it.
    let mut wanted = FleetOptions::new(PROGRAM, 1);
    wanted.fleet = false;
    let alone = Fleet::start(wanted, &[]).unwrap();
    let off = run(&["fleet", &alone.gateways[0].listen.to_string()]);
    assert!(
        !off.status.success() && String::from_utf8_lossy(&off.stderr).contains("its fleet is off")
    );
    assert!(UdpSocket::bind(alone.gateways[0].bound).is_ok());
}

#[test]
fn the_folder_of_keys_is_kept_by_the_command_line() {
    let folder =
        std::env::temp_dir().join(format!("laurelhitch-fleet-keys-{}", std::process::id()));
    let path = folder.display().to_string();
    let run = |arguments: &[&str]| {
        let out = Command::new(PROGRAM)
            .arg("fleet-keys")
            .args(arguments)
            .output()
            .unwrap();
        (
            out.status.success(),
            String::from_utf8(out.stdout).unwrap() + &String::from_utf8(out.stderr).unwrap(),
        )
    };
    for (arguments, well, says) in [
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
        let (done, said) = run(&arguments);
        assert!(done == well && said.contains(says), "{arguments:?}: {said}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
