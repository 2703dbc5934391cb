//! Several processes of the program with faults between them, and budgets that are divided among them: the hard cases by
//! name. What was spent is counted where it arrives, at the engines, as well as by what each gateway says.

use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

use process_harness::fleet::{Fleet, FleetOptions, ShareRow, name};
use rustix::process::Signal;
use stand_ins::client::Client;
use stand_ins::engine::{Engine, Mood};

const PROGRAM: &str = env!("CARGO_BIN_EXE_laurelhitch");
const SOON: Duration = Duration::from_secs(40);
const LEASE_MS: u64 = 2500;
/// Further attempts of points a second, for all together.
const WHOLE: f64 = 6.0;
const BURST_S: f64 = 1.0;
const BUDGET: &str = "relays.point";

fn block(gateways: usize, whole: f64) -> String {
    format!(
        "shares {{\n  voters = [\"g00\", \"g01\", \"g02\"]\n  most_gateways = {gateways}\n  lease_ms = {LEASE_MS}\n  term_ms = 1200\n  renew_ms = 250\n  drift = 0.01\n  burst_ms = {}\n  members = false\n  relays_per_s = {{ point = {whole} }}\n}}\n",
        BURST_S * 1e3
    )
}

/// So many, known to each other, with the whole out.
fn divided(gateways: usize) -> Fleet {
    let mut wanted = FleetOptions::new(PROGRAM, gateways);
    wanted.further = block(gateways, WHOLE);
    let fleet = Fleet::start(wanted, &[]).unwrap();
    let all = fleet.running_gateways();
    fleet.wait_until_settled(SOON, &all).unwrap();
    fleet
        .wait_until_shares(SOON, &all, |parts| out(parts) > WHOLE * 0.99)
        .unwrap();
    fleet
}

fn may(part: &ShareRow) -> f64 {
    part.floor + part.leased
}

/// What these may spend of it together, as each said.
fn out(parts: &[BTreeMap<String, ShareRow>]) -> f64 {
    parts.iter().map(|parts| may(&parts[BUDGET])).sum()
}

fn stewards(parts: &[BTreeMap<String, ShareRow>]) -> usize {
    parts
        .iter()
        .filter(|parts| parts[BUDGET].is_steward)
        .count()
}

fn steward(fleet: &Fleet) -> usize {
    let is = |at: &usize| {
        fleet
            .query_shares(*at)
            .is_some_and(|parts| parts[BUDGET].is_steward)
    };
    fleet
        .running_gateways()
        .into_iter()
        .find(is)
        .expect("one of them is")
}

/// Clients of these gateways whose statements fail at every engine, so that each wants further attempts; ended with it.
struct Flood {
    ends: Arc<AtomicBool>,
    asked: Arc<AtomicU64>,
    clients: Vec<JoinHandle<()>>,
    /// Further attempts at the engines by time, looked at every 100 ms.
    seen: JoinHandle<Vec<(Duration, usize)>>,
    began: Instant,
}

impl Flood {
    fn at(fleet: &Fleet, of: &[usize]) -> Flood {
        static RIDS: AtomicU64 = AtomicU64::new(1 << 40);
        fleet
            .engines
            .iter()
            .for_each(|engine| engine.set(Mood::Error));
        let (ends, asked) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let client = |at: &usize| {
            let (listen, ends, asked) = (fleet.gateways[*at].listen, ends.clone(), asked.clone());
            std::thread::spawn(move || {
                while !ends.load(Ordering::Relaxed) {
                    let Ok(mut client) = Client::login(listen) else {
                        sleep(Duration::from_millis(20));
                        continue;
                    };
                    while !ends.load(Ordering::Relaxed) {
                        let rid = RIDS.fetch_add(1, Ordering::Relaxed);
                        let text = format!(
                            "/* method=point,rid={rid:016x},budget=900,acct=water,est=2.0,mem=2 */ SELECT 1 FROM ledger_1.bills"
                        );
                        if client.ask(&text).is_err() {
                            break;
                        }
                        asked.fetch_add(1, Ordering::Relaxed);
                        sleep(Duration::from_millis(4));
                    }
                }
            })
        };
        let clients = of.iter().map(client).collect();
        let (began, engines, over) = (Instant::now(), fleet.engines.clone(), ends.clone());
        let seen = std::thread::spawn(move || {
            let mut seen = vec![(began.elapsed(), again(&engines))];
            while !over.load(Ordering::Relaxed) {
                sleep(Duration::from_millis(100));
                seen.push((began.elapsed(), again(&engines)));
            }
            seen
        });
        Flood {
            ends,
            asked,
            clients,
            seen,
            began,
        }
    }

    /// Ends it: further attempts that came to the engines by time, and statements asked.
    fn end(self) -> Spent {
        self.ends.store(true, Ordering::Relaxed);
        self.clients
            .into_iter()
            .for_each(|client| client.join().unwrap());
        let seen = self.seen.join().unwrap();
        Spent {
            lasted: self.began.elapsed().as_secs_f64(),
            seen,
            asked: self.asked.load(Ordering::Relaxed),
        }
    }
}

struct Spent {
    seen: Vec<(Duration, usize)>,
    lasted: f64,
    asked: u64,
}

impl Spent {
    fn all(&self) -> usize {
        self.seen.last().unwrap().1 - self.seen[0].1
    }
}

/// Attempts at all engines beyond the first of each statement.
fn again(engines: &[Engine]) -> usize {
    let mut seen = BTreeSet::new();
    let lines = engines.iter().flat_map(|engine| engine.lines());
    let attempts =
        lines.filter_map(|line| line.strip_prefix("do ").map(|rest| rest[..16].to_owned()));
    attempts.filter(|rid| !seen.insert(rid.clone())).count()
}

/// In no window did more than the whole and what it saves up come to the engines, and one that each gateway may owe.
fn held(fleet: &Fleet, spent: &Spent, whole: f64) {
    for (at, (from, before)) in spent.seen.iter().enumerate() {
        for (to, after) in &spent.seen[at..] {
            // Seen a tenth of a second late at most, at either end.
            let window = (*to - *from).as_secs_f64() + 0.2;
            let most = whole * (window + BURST_S) + fleet.gateways.len() as f64;
            let came = after - before;
            assert!(
                came as f64 <= most,
                "{came} further relays from {from:?} to {to:?} of {} statements, {most:.1} allowed",
                spent.asked
            );
        }
    }
}

#[test]
fn five_under_a_flood_send_no_more_further_relays_than_all_may() {
    let fleet = divided(5);
    let flood = Flood::at(&fleet, &[0, 1, 2, 3, 4]);
    sleep(Duration::from_secs(8));
    let spent = flood.end();
    held(&fleet, &spent, WHOLE);
    // It is used, too: the flood wants far more.
    assert!(
        spent.all() as f64 > WHOLE * spent.lasted * 0.5 && spent.asked > 500,
        "{} of {}",
        spent.all(),
        spent.asked
    );
    let said: f64 = fleet
        .running_gateways()
        .into_iter()
        .map(|at| fleet.query_shares(at).unwrap()[BUDGET].spent)
        .sum();
    assert!(
        (said - spent.all() as f64).abs() <= 5.0,
        "{said} said, {} arrived",
        spent.all()
    );
}

#[test]
fn nine_tenths_at_one_and_then_at_another_follow_the_work() {
    let fleet = divided(4);
    let all = fleet.running_gateways();
    for hot in [1, 3] {
        let flood = Flood::at(&fleet, &[hot, hot, hot]);
        let most = |parts: &[BTreeMap<String, ShareRow>]| may(&parts[hot][BUDGET]) > WHOLE * 0.7;
        fleet.wait_until_shares(SOON, &all, most).unwrap();
        held(&fleet, &flood.end(), WHOLE);
    }
}

#[test]
fn a_partition_with_the_steward_on_either_side_spends_no_more() {
    let fleet = divided(5);
    for round in 0..2 {
        let flood = Flood::at(&fleet, &[0, 1, 2, 3, 4]);
        let first = steward(&fleet);
        // The steward with one other that is no voter; then with all voters but one.
        let few: Vec<usize> = if round == 0 {
            vec![first, 4]
        } else {
            (0..3)
                .filter(|at| *at != first)
                .take(1)
                .chain([4])
                .collect()
        };
        let many: Vec<usize> = (0..5).filter(|at| !few.contains(at)).collect();
        fleet
            .switch
            .faults(|faults| faults.partition(&[few.clone(), many.clone()]));
        // The many have a steward among them, and all that the few do not keep as floors.
        let floors = WHOLE * 0.2 / 5.0 * few.len() as f64;
        let whole = |parts: &[BTreeMap<String, ShareRow>]| {
            stewards(parts) == 1 && out(parts) > (WHOLE - floors) * 0.99
        };
        fleet.wait_until_shares(SOON, &many, whole).unwrap();
        // The few have their floors, and serve.
        fleet
            .wait_until_shares(SOON, &few, |parts| {
                parts.iter().all(|of| of[BUDGET].leased == 0.0)
            })
            .unwrap();
        fleet.switch.faults(process_harness::switch::Faults::heal);
        fleet
            .wait_until_shares(SOON, &fleet.running_gateways(), |parts| {
                out(parts) > WHOLE * 0.99
            })
            .unwrap();
        held(&fleet, &flood.end(), WHOLE);
    }
}

#[test]
fn a_steward_killed_is_followed_by_another_and_its_part_comes_back() {
    let mut fleet = divided(5);
    let flood = Flood::at(&fleet, &[0, 1, 2, 3, 4]);
    let first = steward(&fleet);
    fleet.kill(first);
    let rest = fleet.running_gateways();
    let floor = WHOLE * 0.2 / 5.0;
    let back = |parts: &[BTreeMap<String, ShareRow>]| {
        stewards(parts) == 1 && out(parts) > (WHOLE - floor) * 0.99
    };
    fleet.wait_until_shares(SOON, &rest, back).unwrap();
    // Killed again during the hand-over, and started anew without memory.
    fleet.start_gateway(first).unwrap();
    fleet.wait_until_ready(first);
    let second = steward(&fleet);
    fleet.kill(second);
    fleet.start_gateway(second).unwrap();
    fleet.wait_until_ready(second);
    fleet
        .wait_until_shares(SOON, &fleet.running_gateways(), |parts| {
            stewards(parts) == 1 && out(parts) > WHOLE * 0.99
        })
        .unwrap();
    held(&fleet, &flood.end(), WHOLE);
}

#[test]
fn a_steward_stopped_beyond_its_term_wakes_as_none() {
    let fleet = divided(5);
    let flood = Flood::at(&fleet, &[0, 1, 2, 3, 4]);
    let first = steward(&fleet);
    let rest: Vec<usize> = (0..5).filter(|at| *at != first).collect();
    fleet.signal(first, Signal::STOP);
    let other = |parts: &[BTreeMap<String, ShareRow>]| stewards(parts) == 1;
    fleet.wait_until_shares(SOON, &rest, other).unwrap();
    // Beyond its own lease, with questions waiting for it.
    sleep(Duration::from_millis(LEASE_MS));
    fleet.signal(first, Signal::CONT);
    fleet
        .wait_until_shares(SOON, &fleet.running_gateways(), |parts| {
            stewards(parts) == 1 && out(parts) > WHOLE * 0.99
        })
        .unwrap();
    let spent = flood.end();
    held(&fleet, &spent, WHOLE);
    let over = fleet
        .lines(first)
        .iter()
        .any(|line| line.fields["message"] == "quota: this gateway lost leadership");
    assert!(over, "{:?}", fleet.lines(first));
}

#[test]
fn half_killed_under_a_flood_leave_the_whole_to_the_others_after_a_lease() {
    let mut fleet = divided(6);
    let flood = Flood::at(&fleet, &[0, 1, 2, 3, 4, 5]);
    [2, 3, 5].into_iter().for_each(|at| fleet.kill(at));
    let (rest, floors) = (fleet.running_gateways(), WHOLE * 0.2 / 6.0 * 3.0);
    fleet
        .wait_until_shares(SOON, &rest, |parts| out(parts) > (WHOLE - floors) * 0.99)
        .unwrap();
    held(&fleet, &flood.end(), WHOLE);
}

#[test]
fn one_joins_and_one_leaves_again_and_again_under_a_flood() {
    let mut fleet = divided(5);
    let flood = Flood::at(&fleet, &[0, 1, 2, 3, 4]);
    for round in 0..6 {
        // Voters among them, one at a time.
        let at = [3, 1, 4, 0, 3, 2][round];
        if round % 2 == 0 {
            assert!(fleet.terminate(at, Duration::from_secs(10)));
        } else {
            fleet.kill(at);
        }
        fleet.start_gateway(at).unwrap();
        fleet.wait_until_ready(at);
    }
    let whole =
        |parts: &[BTreeMap<String, ShareRow>]| stewards(parts) == 1 && out(parts) > WHOLE * 0.99;
    fleet
        .wait_until_shares(SOON, &fleet.running_gateways(), whole)
        .unwrap();
    held(&fleet, &flood.end(), WHOLE);
}

/// All idle, what nobody needs is spread evenly; more wanted by all than there is, nobody has less than an even part.
#[test]
fn idle_all_have_an_even_part_and_short_nobody_has_less() {
    let fleet = divided(4);
    let (all, even) = (fleet.running_gateways(), WHOLE / 4.0);
    let evenly = |parts: &[BTreeMap<String, ShareRow>]| {
        parts
            .iter()
            .all(|parts| (may(&parts[BUDGET]) - even).abs() < even * 0.05)
    };
    fleet.wait_until_shares(SOON, &all, evenly).unwrap();
    let flood = Flood::at(&fleet, &all);
    let fair = |parts: &[BTreeMap<String, ShareRow>]| {
        let wanted = parts.iter().all(|parts| parts[BUDGET].wanted > WHOLE);
        wanted && parts.iter().all(|parts| may(&parts[BUDGET]) > even * 0.9)
    };
    fleet.wait_until_shares(SOON, &all, fair).unwrap();
    held(&fleet, &flood.end(), WHOLE);
}

#[test]
fn one_that_leaves_gives_its_part_back_long_before_its_lease() {
    let mut fleet = divided(4);
    let flood = Flood::at(&fleet, &[3, 3, 0]);
    let all = fleet.running_gateways();
    fleet
        .wait_until_shares(SOON, &all, |parts| may(&parts[3][BUDGET]) > WHOLE * 0.4)
        .unwrap();
    let (began, mut leased) = (Instant::now(), Duration::ZERO);
    fleet.signal(3, Signal::TERM);
    let floor = WHOLE * 0.2 / 4.0;
    // A question that is out at the time is answered to nobody: its part is free a renewal later all the same.
    leased += fleet
        .wait_until_shares(SOON, &[0, 1, 2], |parts| {
            out(parts) > (WHOLE - floor) * 0.99
        })
        .unwrap();
    assert!(leased <= began.elapsed());
    assert!(leased < Duration::from_millis(LEASE_MS), "{leased:?}");
    assert!(fleet.wait_for_exit(3, Duration::from_secs(10)));
    held(&fleet, &flood.end(), WHOLE);
}

#[test]
fn a_third_lost_and_all_repeated_late_spend_no_more() {
    let fleet = divided(5);
    fleet.switch.faults(|faults| {
        (faults.lost, faults.repeated) = (1.0 / 3.0, 1.0);
        faults.delay = (Duration::ZERO, Duration::from_millis(60));
        faults.repeat_after = Duration::from_millis(700);
    });
    let flood = Flood::at(&fleet, &[0, 1, 2, 3, 4]);
    sleep(Duration::from_secs(8));
    held(&fleet, &flood.end(), WHOLE);
    fleet
        .switch
        .faults(|faults| *faults = process_harness::switch::Faults::none(5));
    fleet
        .wait_until_shares(SOON, &fleet.running_gateways(), |parts| {
            stewards(parts) == 1 && out(parts) > WHOLE * 0.99
        })
        .unwrap();
}

#[test]
fn a_whole_set_to_a_third_by_reloads_seconds_apart_is_told_and_holds() {
    let mut fleet = divided(4);
    let flood = Flood::at(&fleet, &[0, 1, 2, 3]);
    let smaller = block(4, WHOLE / 3.0);
    let first = steward(&fleet);
    // The steward reads it last: whoever differs is named until then.
    let order: Vec<usize> = (0..4).filter(|at| *at != first).chain([first]).collect();
    // One voter's smaller file is enough: the steward grants no more than that leaves, long before it reads its own.
    let voter = *order.iter().find(|at| **at < 3).unwrap();
    fleet.rewrite_operator_files(&[voter], &smaller).unwrap();
    fleet
        .wait_until_shares(SOON, &order, |parts| out(parts) < WHOLE / 3.0)
        .unwrap();
    for at in &order {
        fleet.rewrite_operator_files(&[*at], &smaller).unwrap();
        sleep(Duration::from_millis(400));
    }
    fleet
        .wait_until_shares(SOON, &order, |parts| {
            (out(parts) - WHOLE / 3.0).abs() < 0.01
        })
        .unwrap();
    let _ = flood.end();
    let named = |line: &process_harness::fleet::LogLine| {
        line.fields["message"]
            == "quota: configurations differ; the smallest capacity of a voter counts"
    };
    assert!(
        fleet.lines(first).iter().any(named),
        "{:?}",
        fleet.lines(first)
    );
    // From here on, a lease after the last file, the third holds.
    sleep(Duration::from_millis(LEASE_MS));
    let flood = Flood::at(&fleet, &[0, 1, 2, 3]);
    sleep(Duration::from_secs(5));
    held(&fleet, &flood.end(), WHOLE / 3.0);
}

#[test]
fn members_budgets_come_from_the_ledger_and_sum_to_the_whole() {
    let mut wanted = FleetOptions::new(PROGRAM, 3);
    wanted.further = block(3, WHOLE).replace("members = false", "members = true")
        + "queues {\n  default_member = \"water\"\n  member \"water\" { cpu_s_per_s = 9 }\n  member \"power\" { cpu_s_per_s = 3 }\n}\n";
    let fleet = Fleet::start(wanted, &[]).unwrap();
    let all = fleet.running_gateways();
    fleet.wait_until_settled(SOON, &all).unwrap();
    let sum = |parts: &[BTreeMap<String, ShareRow>], of: &str| -> f64 {
        parts.iter().map(|parts| may(&parts[of])).sum()
    };
    let whole = |parts: &[BTreeMap<String, ShareRow>]| {
        (sum(parts, "member.water") - 9.0).abs() < 0.01
            && (sum(parts, "member.power") - 3.0).abs() < 0.01
    };
    fleet.wait_until_shares(SOON, &all, whole).unwrap();
    // The lines go by what is held here, not by a guess of it.
    let (mut lines, mut held) = (0.0, 0.0);
    for at in &all {
        let mut client = Client::login(fleet.gateways[*at].listen).unwrap();
        let stand_ins::client::Answer::Rows(rows) = client.ask("SHOW QUEUE").unwrap() else {
            panic!("rows")
        };
        let water = rows.iter().find(|row| row[0] == "water").unwrap();
        lines += water[4].parse::<f64>().unwrap();
        held += may(&fleet.query_shares(*at).unwrap()["member.water"]);
    }
    assert!(
        (lines - 9.0).abs() < 0.3 && (held - 9.0).abs() < 0.3,
        "{lines} in the lines, {held} held"
    );
}

#[test]
fn the_command_line_shows_who_holds_how_much_and_off_is_off() {
    let fleet = divided(3);
    let run = |arguments: &[&str]| Command::new(PROGRAM).args(arguments).output().unwrap();
    let address = fleet.gateways[steward(&fleet)].listen.to_string();
    let table = String::from_utf8(run(&["shares", &address]).stdout).unwrap();
    assert!(
        (0..3).all(|at| table.contains(&name(at))) && table.contains(BUDGET),
        "{table}"
    );
    let json: serde_json::Value =
        serde_json::from_slice(&run(&["shares", &address, "--json"]).stdout).unwrap();
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
        check.contains("among 3 gateways at most") && check.contains(BUDGET),
        "{check}"
    );
    let off = Fleet::start(FleetOptions::new(PROGRAM, 1), &[]).unwrap();
    let said = run(&["shares", &off.gateways[0].listen.to_string()]);
    assert!(!said.status.success());
    assert!(String::from_utf8_lossy(&said.stderr).contains("its shares are off"));
}
