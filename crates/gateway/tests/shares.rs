//! Tests of quotas that are divided among several gateway processes, with faults in the network
//! between them. The use of a quota is counted at the engines, where the attempts arrive, and
//! compared with what the gateways report.

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
/// The limit of each wait; it is far longer than the wait takes on an idle machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
const LEASE_MS: u64 = 2500;
/// The capacity of the quota for all gateways together: further attempts of the query class `point`
/// a second. A further attempt is any attempt of a statement after its first.
const CAPACITY_PER_S: f64 = 6.0;
/// The time for which an unused share of the capacity accumulates.
const BURST_S: f64 = 1.0;
/// The name of the quota in the answer to `SHOW SHARES`.
const QUOTA: &str = "relays.point";

/// Returns the `shares` block of the operator file.
fn quota_settings(gateways: usize, capacity_per_s: f64) -> String {
    format!(
        "shares {{\n  voters = [\"g00\", \"g01\", \"g02\"]\n  most_gateways = {gateways}\n  lease_ms = {LEASE_MS}\n  term_ms = 1200\n  renew_ms = 250\n  drift = 0.01\n  burst_ms = {}\n  members = false\n  relays_per_s = {{ point = {capacity_per_s} }}\n}}\n",
        BURST_S * 1e3
    )
}

/// Starts this many gateways and waits until each sees all others and the capacity is granted in
/// full.
fn start_fleet(gateways: usize) -> Fleet {
    let mut options = FleetOptions::new(PROGRAM, gateways);
    options.further = quota_settings(gateways, CAPACITY_PER_S);
    let fleet = Fleet::start(options, &[]).unwrap();
    let all = fleet.running_gateways();
    fleet.wait_until_settled(WAIT_TIMEOUT, &all).unwrap();
    fleet
        .wait_until_shares(WAIT_TIMEOUT, &all, |shares| {
            granted_per_s(shares) > CAPACITY_PER_S * 0.99
        })
        .unwrap();
    fleet
}

/// Returns how much of the capacity a gateway may use: its guaranteed floor and its lease.
fn limit_per_s(share: &ShareRow) -> f64 {
    share.floor + share.leased
}

/// Returns how much of the capacity these gateways may use together, as they report it.
fn granted_per_s(shares: &[BTreeMap<String, ShareRow>]) -> f64 {
    shares
        .iter()
        .map(|shares| limit_per_s(&shares[QUOTA]))
        .sum()
}

/// Returns how many of these gateways report themselves as the leader of the quota.
fn count_leaders(shares: &[BTreeMap<String, ShareRow>]) -> usize {
    shares
        .iter()
        .filter(|shares| shares[QUOTA].is_steward)
        .count()
}

/// Returns the index of the gateway that reports itself as the leader of the quota.
fn leader(fleet: &Fleet) -> usize {
    let is_leader = |gateway: &usize| {
        fleet
            .query_shares(*gateway)
            .is_some_and(|shares| shares[QUOTA].is_steward)
    };
    fleet
        .running_gateways()
        .into_iter()
        .find(is_leader)
        .expect("no gateway is the leader")
}

/// Clients whose statements fail at every engine, so that the gateways need further attempts for
/// each of them. They run until [`Overload::end`] is called.
struct Overload {
    stop: Arc<AtomicBool>,
    statements: Arc<AtomicU64>,
    clients: Vec<JoinHandle<()>>,
    /// The thread that reads the number of further attempts at the engines every 100 ms and returns
    /// it by the time since the start.
    samples: JoinHandle<Vec<(Duration, usize)>>,
    began: Instant,
}

impl Overload {
    /// Makes every engine answer with errors and starts one client for each entry of `gateways`.
    fn start(fleet: &Fleet, gateways: &[usize]) -> Overload {
        static RIDS: AtomicU64 = AtomicU64::new(1 << 40);
        fleet
            .engines
            .iter()
            .for_each(|engine| engine.set(Mood::Error));
        let (stop, statements) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let client = |gateway: &usize| {
            let (listen, stop, statements) = (
                fleet.gateways[*gateway].listen,
                stop.clone(),
                statements.clone(),
            );
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut client) = Client::login(listen) else {
                        sleep(Duration::from_millis(20));
                        continue;
                    };
                    while !stop.load(Ordering::Relaxed) {
                        let rid = RIDS.fetch_add(1, Ordering::Relaxed);
                        let text = format!(
                            "/* method=point,rid={rid:016x},budget=900,acct=water,est=2.0,mem=2 */ SELECT 1 FROM ledger_1.bills"
                        );
                        if client.ask(&text).is_err() {
                            break;
                        }
                        statements.fetch_add(1, Ordering::Relaxed);
                        sleep(Duration::from_millis(4));
                    }
                }
            })
        };
        let clients = gateways.iter().map(client).collect();
        let (began, engines, ended) = (Instant::now(), fleet.engines.clone(), stop.clone());
        let samples = std::thread::spawn(move || {
            let mut samples = vec![(began.elapsed(), count_further_attempts(&engines))];
            while !ended.load(Ordering::Relaxed) {
                sleep(Duration::from_millis(100));
                samples.push((began.elapsed(), count_further_attempts(&engines)));
            }
            samples
        });
        Overload {
            stop,
            statements,
            clients,
            samples,
            began,
        }
    }

    /// Stops the clients and returns what was recorded while they ran.
    fn end(self) -> AttemptRecord {
        self.stop.store(true, Ordering::Relaxed);
        self.clients
            .into_iter()
            .for_each(|client| client.join().unwrap());
        let samples = self.samples.join().unwrap();
        AttemptRecord {
            duration_s: self.began.elapsed().as_secs_f64(),
            samples,
            statements: self.statements.load(Ordering::Relaxed),
        }
    }
}

/// The further attempts recorded during an overload.
struct AttemptRecord {
    /// The number of further attempts at the engines so far, by the time since the start.
    samples: Vec<(Duration, usize)>,
    duration_s: f64,
    /// The number of statements that were answered.
    statements: u64,
}

impl AttemptRecord {
    /// Returns the number of further attempts from the first sample to the last.
    fn total(&self) -> usize {
        self.samples.last().unwrap().1 - self.samples[0].1
    }
}

/// Returns the number of attempts at all engines after the first of each statement.
fn count_further_attempts(engines: &[Engine]) -> usize {
    let mut seen = BTreeSet::new();
    let lines = engines.iter().flat_map(|engine| engine.lines());
    let attempts =
        lines.filter_map(|line| line.strip_prefix("do ").map(|rest| rest[..16].to_owned()));
    attempts.filter(|rid| !seen.insert(rid.clone())).count()
}

/// Asserts that in no time window the engines received more further attempts than the capacity, the
/// accumulated burst and one attempt by which each gateway may be in debt.
fn assert_within_capacity(fleet: &Fleet, recorded: &AttemptRecord, capacity_per_s: f64) {
    for (index, (from, before)) in recorded.samples.iter().enumerate() {
        for (to, after) in &recorded.samples[index..] {
            // Each end of the window is sampled at most 0.1 s late.
            let window = (*to - *from).as_secs_f64() + 0.2;
            let limit = capacity_per_s * (window + BURST_S) + fleet.gateways.len() as f64;
            let received = after - before;
            assert!(
                received as f64 <= limit,
                "{received} further attempts from {from:?} to {to:?} for {} statements, {limit:.1} allowed",
                recorded.statements
            );
        }
    }
}

#[test]
fn overloaded_gateways_together_stay_within_the_capacity() {
    let fleet = start_fleet(5);
    let overload = Overload::start(&fleet, &[0, 1, 2, 3, 4]);
    sleep(Duration::from_secs(8));
    let spent = overload.end();
    assert_within_capacity(&fleet, &spent, CAPACITY_PER_S);
    // The capacity must also be used, since the clients need far more.
    assert!(
        spent.total() as f64 > CAPACITY_PER_S * spent.duration_s * 0.5 && spent.statements > 500,
        "{} further attempts for {} statements",
        spent.total(),
        spent.statements
    );
    let reported: f64 = fleet
        .running_gateways()
        .into_iter()
        .map(|gateway| fleet.query_shares(gateway).unwrap()[QUOTA].spent)
        .sum();
    assert!(
        (reported - spent.total() as f64).abs() <= 5.0,
        "{reported} further attempts reported, {} received by the engines",
        spent.total()
    );
}

#[test]
fn the_capacity_moves_to_the_gateway_that_carries_the_load() {
    let fleet = start_fleet(4);
    let all = fleet.running_gateways();
    for hot in [1, 3] {
        let overload = Overload::start(&fleet, &[hot, hot, hot]);
        let has_most = |shares: &[BTreeMap<String, ShareRow>]| {
            limit_per_s(&shares[hot][QUOTA]) > CAPACITY_PER_S * 0.7
        };
        fleet
            .wait_until_shares(WAIT_TIMEOUT, &all, has_most)
            .unwrap();
        assert_within_capacity(&fleet, &overload.end(), CAPACITY_PER_S);
    }
}

#[test]
fn a_partition_stays_within_the_capacity_with_the_leader_on_either_side() {
    let fleet = start_fleet(5);
    for round in 0..2 {
        let overload = Overload::start(&fleet, &[0, 1, 2, 3, 4]);
        let first = leader(&fleet);
        // In the first round the minority is the leader and a gateway that does not vote, in the
        // second a voter that is not the leader and a gateway that does not vote.
        let minority: Vec<usize> = if round == 0 {
            vec![first, 4]
        } else {
            (0..3)
                .filter(|gateway| *gateway != first)
                .take(1)
                .chain([4])
                .collect()
        };
        let majority: Vec<usize> = (0..5)
            .filter(|gateway| !minority.contains(gateway))
            .collect();
        fleet
            .switch
            .faults(|faults| faults.partition(&[minority.clone(), majority.clone()]));
        // The majority has a leader and holds all of the capacity but the floors of the minority.
        let floors = CAPACITY_PER_S * 0.2 / 5.0 * minority.len() as f64;
        let granted_in_full = |shares: &[BTreeMap<String, ShareRow>]| {
            count_leaders(shares) == 1 && granted_per_s(shares) > (CAPACITY_PER_S - floors) * 0.99
        };
        fleet
            .wait_until_shares(WAIT_TIMEOUT, &majority, granted_in_full)
            .unwrap();
        // The minority keeps only its floors.
        fleet
            .wait_until_shares(WAIT_TIMEOUT, &minority, |shares| {
                shares.iter().all(|share| share[QUOTA].leased == 0.0)
            })
            .unwrap();
        fleet.switch.faults(process_harness::switch::Faults::heal);
        fleet
            .wait_until_shares(WAIT_TIMEOUT, &fleet.running_gateways(), |shares| {
                granted_per_s(shares) > CAPACITY_PER_S * 0.99
            })
            .unwrap();
        assert_within_capacity(&fleet, &overload.end(), CAPACITY_PER_S);
    }
}

#[test]
fn a_killed_leader_is_replaced_and_its_share_is_granted_again() {
    let mut fleet = start_fleet(5);
    let overload = Overload::start(&fleet, &[0, 1, 2, 3, 4]);
    let first = leader(&fleet);
    fleet.kill(first);
    let rest = fleet.running_gateways();
    let floor = CAPACITY_PER_S * 0.2 / 5.0;
    let granted_again = |shares: &[BTreeMap<String, ShareRow>]| {
        count_leaders(shares) == 1 && granted_per_s(shares) > (CAPACITY_PER_S - floor) * 0.99
    };
    fleet
        .wait_until_shares(WAIT_TIMEOUT, &rest, granted_again)
        .unwrap();
    // The next leader is killed as soon as the restarted gateway is ready. Both restart without
    // state.
    fleet.start_gateway(first).unwrap();
    fleet.wait_until_ready(first);
    let second = leader(&fleet);
    fleet.kill(second);
    fleet.start_gateway(second).unwrap();
    fleet.wait_until_ready(second);
    fleet
        .wait_until_shares(WAIT_TIMEOUT, &fleet.running_gateways(), |shares| {
            count_leaders(shares) == 1 && granted_per_s(shares) > CAPACITY_PER_S * 0.99
        })
        .unwrap();
    assert_within_capacity(&fleet, &overload.end(), CAPACITY_PER_S);
}

#[test]
fn a_leader_paused_beyond_its_term_steps_down_when_it_resumes() {
    let fleet = start_fleet(5);
    let overload = Overload::start(&fleet, &[0, 1, 2, 3, 4]);
    let first = leader(&fleet);
    let rest: Vec<usize> = (0..5).filter(|gateway| *gateway != first).collect();
    fleet.signal(first, Signal::STOP);
    let new_leader = |shares: &[BTreeMap<String, ShareRow>]| count_leaders(shares) == 1;
    fleet
        .wait_until_shares(WAIT_TIMEOUT, &rest, new_leader)
        .unwrap();
    // The pause outlasts its own lease, while requests to it wait in its socket.
    sleep(Duration::from_millis(LEASE_MS));
    fleet.signal(first, Signal::CONT);
    fleet
        .wait_until_shares(WAIT_TIMEOUT, &fleet.running_gateways(), |shares| {
            count_leaders(shares) == 1 && granted_per_s(shares) > CAPACITY_PER_S * 0.99
        })
        .unwrap();
    let spent = overload.end();
    assert_within_capacity(&fleet, &spent, CAPACITY_PER_S);
    let lost_leadership = fleet
        .lines(first)
        .iter()
        .any(|line| line.fields["message"] == "quota: this gateway lost leadership");
    assert!(lost_leadership, "{:?}", fleet.lines(first));
}

#[test]
fn the_capacity_of_killed_gateways_goes_to_the_others_after_a_lease() {
    let mut fleet = start_fleet(6);
    let overload = Overload::start(&fleet, &[0, 1, 2, 3, 4, 5]);
    [2, 3, 5]
        .into_iter()
        .for_each(|gateway| fleet.kill(gateway));
    let (rest, floors) = (fleet.running_gateways(), CAPACITY_PER_S * 0.2 / 6.0 * 3.0);
    fleet
        .wait_until_shares(WAIT_TIMEOUT, &rest, |shares| {
            granted_per_s(shares) > (CAPACITY_PER_S - floors) * 0.99
        })
        .unwrap();
    assert_within_capacity(&fleet, &overload.end(), CAPACITY_PER_S);
}

#[test]
fn gateways_that_leave_and_join_under_load_stay_within_the_capacity() {
    let mut fleet = start_fleet(5);
    let overload = Overload::start(&fleet, &[0, 1, 2, 3, 4]);
    for round in 0..6 {
        // One gateway at a time restarts, voters included.
        let gateway = [3, 1, 4, 0, 3, 2][round];
        if round % 2 == 0 {
            assert!(fleet.terminate(gateway, Duration::from_secs(10)));
        } else {
            fleet.kill(gateway);
        }
        fleet.start_gateway(gateway).unwrap();
        fleet.wait_until_ready(gateway);
    }
    let granted_in_full = |shares: &[BTreeMap<String, ShareRow>]| {
        count_leaders(shares) == 1 && granted_per_s(shares) > CAPACITY_PER_S * 0.99
    };
    fleet
        .wait_until_shares(WAIT_TIMEOUT, &fleet.running_gateways(), granted_in_full)
        .unwrap();
    assert_within_capacity(&fleet, &overload.end(), CAPACITY_PER_S);
}

/// When all gateways are idle, the capacity is divided evenly. When all need more than the
/// capacity, none has less than an even share.
#[test]
fn shares_are_even_when_all_gateways_are_idle_or_all_are_overloaded() {
    let fleet = start_fleet(4);
    let (all, even) = (fleet.running_gateways(), CAPACITY_PER_S / 4.0);
    let evenly = |shares: &[BTreeMap<String, ShareRow>]| {
        shares
            .iter()
            .all(|shares| (limit_per_s(&shares[QUOTA]) - even).abs() < even * 0.05)
    };
    fleet.wait_until_shares(WAIT_TIMEOUT, &all, evenly).unwrap();
    let overload = Overload::start(&fleet, &all);
    let fair = |shares: &[BTreeMap<String, ShareRow>]| {
        let wanted = shares
            .iter()
            .all(|shares| shares[QUOTA].wanted > CAPACITY_PER_S);
        wanted
            && shares
                .iter()
                .all(|shares| limit_per_s(&shares[QUOTA]) > even * 0.9)
    };
    fleet.wait_until_shares(WAIT_TIMEOUT, &all, fair).unwrap();
    assert_within_capacity(&fleet, &overload.end(), CAPACITY_PER_S);
}

#[test]
fn a_leaving_gateway_returns_its_share_before_its_lease_ends() {
    let mut fleet = start_fleet(4);
    let overload = Overload::start(&fleet, &[3, 3, 0]);
    let all = fleet.running_gateways();
    fleet
        .wait_until_shares(WAIT_TIMEOUT, &all, |shares| {
            limit_per_s(&shares[3][QUOTA]) > CAPACITY_PER_S * 0.4
        })
        .unwrap();
    let (began, mut returned_after) = (Instant::now(), Duration::ZERO);
    fleet.signal(3, Signal::TERM);
    let floor = CAPACITY_PER_S * 0.2 / 4.0;
    // The answer to a lease request that is in flight at this time is lost; the share is then free
    // one renewal later.
    returned_after += fleet
        .wait_until_shares(WAIT_TIMEOUT, &[0, 1, 2], |shares| {
            granted_per_s(shares) > (CAPACITY_PER_S - floor) * 0.99
        })
        .unwrap();
    assert!(returned_after <= began.elapsed());
    assert!(
        returned_after < Duration::from_millis(LEASE_MS),
        "{returned_after:?}"
    );
    assert!(fleet.wait_for_exit(3, Duration::from_secs(10)));
    assert_within_capacity(&fleet, &overload.end(), CAPACITY_PER_S);
}

#[test]
fn lost_and_duplicated_datagrams_stay_within_the_capacity() {
    let fleet = start_fleet(5);
    fleet.switch.faults(|faults| {
        (faults.lost, faults.repeated) = (1.0 / 3.0, 1.0);
        faults.delay = (Duration::ZERO, Duration::from_millis(60));
        faults.repeat_after = Duration::from_millis(700);
    });
    let overload = Overload::start(&fleet, &[0, 1, 2, 3, 4]);
    sleep(Duration::from_secs(8));
    assert_within_capacity(&fleet, &overload.end(), CAPACITY_PER_S);
    fleet
        .switch
        .faults(|faults| *faults = process_harness::switch::Faults::none(5));
    fleet
        .wait_until_shares(WAIT_TIMEOUT, &fleet.running_gateways(), |shares| {
            count_leaders(shares) == 1 && granted_per_s(shares) > CAPACITY_PER_S * 0.99
        })
        .unwrap();
}

#[test]
fn a_capacity_reduced_by_reloads_at_different_times_is_logged_and_enforced() {
    let mut fleet = start_fleet(4);
    let overload = Overload::start(&fleet, &[0, 1, 2, 3]);
    let smaller = quota_settings(4, CAPACITY_PER_S / 3.0);
    let first = leader(&fleet);
    // The leader reloads last, and logs until then which gateways have another configuration.
    let order: Vec<usize> = (0..4)
        .filter(|gateway| *gateway != first)
        .chain([first])
        .collect();
    // The smaller capacity of a single voter is enough: the leader grants no more than this
    // capacity, well before it reloads its own configuration.
    let voter = *order.iter().find(|gateway| **gateway < 3).unwrap();
    fleet.rewrite_operator_files(&[voter], &smaller).unwrap();
    fleet
        .wait_until_shares(WAIT_TIMEOUT, &order, |shares| {
            granted_per_s(shares) < CAPACITY_PER_S / 3.0
        })
        .unwrap();
    for gateway in &order {
        fleet.rewrite_operator_files(&[*gateway], &smaller).unwrap();
        sleep(Duration::from_millis(400));
    }
    fleet
        .wait_until_shares(WAIT_TIMEOUT, &order, |shares| {
            (granted_per_s(shares) - CAPACITY_PER_S / 3.0).abs() < 0.01
        })
        .unwrap();
    let _ = overload.end();
    let reports_difference = |line: &process_harness::fleet::LogLine| {
        line.fields["message"]
            == "quota: configurations differ; the smallest capacity of a voter counts"
    };
    assert!(
        fleet.lines(first).iter().any(reports_difference),
        "{:?}",
        fleet.lines(first)
    );
    // One lease after the last reload, the reduced capacity applies to every gateway.
    sleep(Duration::from_millis(LEASE_MS));
    let overload = Overload::start(&fleet, &[0, 1, 2, 3]);
    sleep(Duration::from_secs(5));
    assert_within_capacity(&fleet, &overload.end(), CAPACITY_PER_S / 3.0);
}

#[test]
fn tenant_budgets_are_divided_among_the_gateways_and_sum_to_the_configured_value() {
    let mut options = FleetOptions::new(PROGRAM, 3);
    options.further = quota_settings(3, CAPACITY_PER_S)
        .replace("members = false", "members = true")
        + "queues {\n  default_member = \"water\"\n  member \"water\" { cpu_s_per_s = 9 }\n  member \"power\" { cpu_s_per_s = 3 }\n}\n";
    let fleet = Fleet::start(options, &[]).unwrap();
    let all = fleet.running_gateways();
    fleet.wait_until_settled(WAIT_TIMEOUT, &all).unwrap();
    let sum = |shares: &[BTreeMap<String, ShareRow>], quota: &str| -> f64 {
        shares
            .iter()
            .map(|shares| limit_per_s(&shares[quota]))
            .sum()
    };
    let granted_in_full = |shares: &[BTreeMap<String, ShareRow>]| {
        (sum(shares, "member.water") - 9.0).abs() < 0.01
            && (sum(shares, "member.power") - 3.0).abs() < 0.01
    };
    fleet
        .wait_until_shares(WAIT_TIMEOUT, &all, granted_in_full)
        .unwrap();
    // The queues of each gateway use the share that this gateway holds, and not an estimate of it.
    let (mut queue_cpu_s, mut share_cpu_s) = (0.0, 0.0);
    for gateway in &all {
        let mut client = Client::login(fleet.gateways[*gateway].listen).unwrap();
        let stand_ins::client::Answer::Rows(rows) = client.ask("SHOW QUEUE").unwrap() else {
            panic!("SHOW QUEUE did not return rows")
        };
        let water = rows.iter().find(|row| row[0] == "water").unwrap();
        queue_cpu_s += water[4].parse::<f64>().unwrap();
        share_cpu_s += limit_per_s(&fleet.query_shares(*gateway).unwrap()["member.water"]);
    }
    assert!(
        (queue_cpu_s - 9.0).abs() < 0.3 && (share_cpu_s - 9.0).abs() < 0.3,
        "queues use {queue_cpu_s} CPU seconds per second, shares allow {share_cpu_s}"
    );
}

#[test]
fn the_command_line_shows_the_shares_or_that_they_are_off() {
    let fleet = start_fleet(3);
    let run = |arguments: &[&str]| Command::new(PROGRAM).args(arguments).output().unwrap();
    let address = fleet.gateways[leader(&fleet)].listen.to_string();
    let table = String::from_utf8(run(&["shares", &address]).stdout).unwrap();
    assert!(
        (0..3).all(|gateway| table.contains(&name(gateway))) && table.contains(QUOTA),
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
        check.contains("among 3 gateways at most") && check.contains(QUOTA),
        "{check}"
    );
    let off = Fleet::start(FleetOptions::new(PROGRAM, 1), &[]).unwrap();
    let refused = run(&["shares", &off.gateways[0].listen.to_string()]);
    assert!(!refused.status.success());
    assert!(String::from_utf8_lossy(&refused.stderr).contains("its shares are off"));
}
