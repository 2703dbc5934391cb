//! Tests membership under faults with up to 300 emulated gateways and the production code.

use std::collections::BTreeSet;

use admission::interface::{TimeDelta, Timestamp};
use membership::message;
use membership::{
    BootId, Config, EngineReport, EngineStatus, Incarnation, KeyRing, Locality, MemberState, Name,
    Node, NodeSetup, Record, ViewState,
};
use simulator::mesh::{self, KEY, Mesh, address, gateways, name};

fn started(count: usize, seed: u64) -> Mesh<Node> {
    started_by(count, seed, Config::default())
}

fn started_by(count: usize, seed: u64, terms: Config) -> Mesh<Node> {
    let mut mesh = gateways(count, seed, terms);
    mesh.start_all();
    let joined = mesh.settle(120.0);
    assert!(joined.is_some(), "{count} gateways never agree");
    let until = mesh.now + 12.0;
    mesh.run(until);
    assert!(mesh::together(&mesh), "{:?}", view_states(&mesh));
    mesh
}

fn view_states(mesh: &Mesh<Node>) -> BTreeSet<String> {
    mesh.lives()
        .iter()
        .filter_map(|at| Some(mesh.peer(*at)?.view_state().to_string()))
        .collect()
}

fn false_deaths(mesh: &Mesh<Node>) -> Vec<mesh::Death> {
    mesh.deaths
        .iter()
        .copied()
        .filter(|death| death.false_one)
        .collect()
}

#[test]
fn the_rest_agrees_after_half_of_the_gateways_are_killed() {
    for (count, within) in [(20, 20.0), (300, 40.0)] {
        let mut mesh = started(count, 1);
        (0..count / 2).for_each(|at| mesh.kill(at * 2));
        let settled = mesh.settle(within);
        assert!(settled.is_some(), "{count}: {:?}", view_states(&mesh));
        assert_eq!(false_deaths(&mesh), [], "{count}");
        mesh.run(mesh.now + 15.0);
        assert!(
            mesh::together(&mesh),
            "{count}: {:?} {:?}",
            view_states(&mesh),
            mesh.lives()
                .iter()
                .filter(|at| !mesh::is_together(&mesh, **at))
                .map(|at| (at, mesh.peer(*at).unwrap().view_summary()))
                .take(3)
                .collect::<Vec<_>>()
        );
    }
}

#[test]
fn three_hundred_join_within_a_second() {
    let mut mesh = gateways(300, 2, Config::default());
    mesh.start(0);
    for at in 1..300 {
        mesh.run(at as f64 / 300.0);
        mesh.start(at);
    }
    let joined = mesh.settle(60.0);
    assert!(joined.is_some());
    assert_eq!(false_deaths(&mesh), []);
}

/// Each side of a partition reports the right view. After healing, all agree again without a burst
/// of traffic.
#[test]
fn partitions_in_two_and_in_three_are_detected_and_heal() {
    type Side = fn(usize) -> usize;
    let cases: [(usize, Side); 4] = [
        (20, |at| at % 4 / 3),
        (21, |at| at % 3),
        (20, |at| at / 15),
        (100, |at| at % 4 / 3),
    ];
    for (count, side) in cases {
        let mut mesh = started(count, 3);
        mesh.cut(|a, b| side(a) != side(b));
        mesh.run(mesh.now + 60.0);
        for at in mesh.lives() {
            let own = (0..count).filter(|other| side(*other) == side(at)).count();
            let gateway = mesh.peer(at).unwrap();
            assert_eq!(gateway.fleet_size(), own, "{at} of {count}");
            let assumed = gateway.assumptions();
            if own * 2 < count {
                assert_eq!(gateway.view_state().name(), "cut off", "{at} of {count}");
                assert!(
                    assumed.max_size == count
                        && assumed.min_size == own
                        && !assumed.engine_reports_count
                        && !assumed.may_vote
                );
            } else {
                assert_eq!(gateway.view_state().name(), "together", "{at} of {count}");
            }
        }
        assert_eq!(false_deaths(&mesh), [], "{count}");
        mesh.heal();
        let before = mesh.sent.clone();
        let settled = mesh.settle(90.0);
        assert!(
            settled.is_some(),
            "{count}: not healed, {:?}",
            view_states(&mesh)
        );
        // Healing causes no burst of traffic: each gateway stays below the documented rate.
        let seconds = settled.unwrap().max(1.0);
        for (after, before) in mesh.sent.iter().zip(before) {
            let rate = (after.0 - before.0) as f64 / seconds;
            assert!(
                rate < 60.0,
                "{count}: {rate} datagrams a second while healing"
            );
        }
        mesh.run(mesh.now + 20.0);
        assert!(mesh::together(&mesh), "{count}: {:?}", view_states(&mesh));
    }
}

/// Gateways occasionally contact members that they declared dead, so that a partition heals even
/// when all seeds are dead.
#[test]
fn a_partition_heals_when_all_seeds_are_dead() {
    let mut mesh = started(12, 17);
    (0..3).for_each(|at| mesh.kill(at));
    assert!(mesh.settle(30.0).is_some());
    mesh.cut(|a, b| (a < 8) != (b < 8));
    mesh.run(mesh.now + 60.0);
    assert!(
        mesh.lives()
            .iter()
            .all(|at| mesh.peer(*at).unwrap().fleet_size() <= 5)
    );
    mesh.heal();
    assert!(mesh.settle(90.0).is_some(), "{:?}", view_states(&mesh));
}

#[test]
fn asymmetric_and_chain_links_cause_no_false_deaths() {
    // g1 does not receive from g2, but all others reach both.
    let mut mesh = started(20, 4);
    mesh.cut(|a, b| (a, b) == (2, 1));
    mesh.run(mesh.now + 60.0);
    assert!(mesh.deaths.is_empty(), "{:?}", mesh.deaths);
    // Nobody receives from g1, which receives from all: it is declared dead, and returns after
    // healing.
    mesh.cut(|a, _| a == 1);
    mesh.run(mesh.now + 60.0);
    assert!(
        mesh.lives()
            .iter()
            .all(|at| *at == 1 || mesh.peer(*at).unwrap().fleet_size() == 19)
    );
    mesh.heal();
    assert!(mesh.settle(60.0).is_some(), "{:?}", view_states(&mesh));
    // Gateways only reach their neighbours. A gateway two steps away is probed through the one
    // between.
    let mut mesh = started(6, 5);
    mesh.cut(|a, b| a.abs_diff(b) > 1);
    mesh.run(mesh.now + 60.0);
    mesh.heal();
    assert!(
        mesh.settle(60.0).is_some(),
        "nobody who lives stays dead: {:?}",
        view_states(&mesh)
    );
}

#[test]
fn a_suspended_or_slow_gateway_suspects_no_others() {
    let mut mesh = started(20, 6);
    mesh.stop(7);
    mesh.run(mesh.now + 5.0);
    mesh.wake(7);
    assert!(mesh.settle(30.0).is_some(), "{:?}", view_states(&mesh));
    let suspected =
        |mesh: &Mesh<Node>| [3, 7].map(|at| mesh.peer(at).unwrap().metrics.probes_failed);
    let before = suspected(&mesh);
    mesh.slow(3, 0.3);
    mesh.run(mesh.now + 60.0);
    let by = |at: usize| mesh.deaths.iter().filter(|death| death.by == at).count();
    assert_eq!((by(7), by(3)), (0, 0), "{:?}", mesh.deaths);
    let others: Vec<_> = mesh
        .deaths
        .iter()
        .filter(|death| ![3, 7].contains(&death.of))
        .collect();
    assert!(others.is_empty(), "{others:?}");
    for at in [3, 7] {
        assert!(mesh.peer(at).unwrap().metrics.loop_stalls > 0);
    }
    assert_eq!(
        suspected(&mesh),
        before,
        "it suspected others because it was slow itself"
    );
}

/// Replaces the records and engine reports of a message with false ones, sealed with the valid key
/// and the same counter.
fn forge(bytes: &mut Vec<u8>, count: usize) {
    let (ring, lab) = (KeyRing::new(&KEY, &[]).unwrap(), Name::new("lab").unwrap());
    let Ok(mut message) = message::open(&ring, &lab, bytes) else {
        return;
    };
    let number = message.counter;
    let record = |name: Name, at, state, incarnation| Record {
        name,
        boot_id: BootId(number),
        incarnation: Incarnation(incarnation),
        address: address(at),
        locality: Locality::default(),
        state,
    };
    message.records = (0..9)
        .map(|at| {
            let of = (number as usize * 9 + at) % count;
            let ghost = Name::new(&format!("ghost-{number}-{at}")).unwrap();
            match at % 5 {
                0 => record(name(of), of, MemberState::Dead, 2),
                1 => record(name(of), of, MemberState::Dead, u32::MAX),
                2 => record(ghost, 1000 + number as usize % 1000, MemberState::Alive, 1),
                3 => record(name(of), of, MemberState::Left, 9),
                // Another gateway's name at the forger's own address.
                _ => record(name(of), 5, MemberState::Alive, 5000),
            }
        })
        .collect();
    let bad = |at| EngineReport {
        engine: format!("e-{at}"),
        status: EngineStatus::Failing,
        age_ms: 0,
    };
    message.engine_reports = (0..12).map(bad).collect();
    *bytes = message::seal(&ring, &message);
}

#[test]
fn a_forger_with_the_key_changes_neither_members_nor_outliers() {
    for count in [20, 300] {
        let mut mesh = started(count, 8);
        let liar = 5;
        mesh.liar = Some(Box::new(move |from, _, bytes| {
            if from == liar {
                forge(bytes, count);
            }
        }));
        for second in 0..40 {
            mesh.run(mesh.now + 1.0);
            assert!(
                mesh.deaths.is_empty(),
                "{count}, second {second}: {:?}",
                &mesh.deaths[..mesh.deaths.len().min(5)]
            );
        }
        let now = Timestamp::from_secs(mesh.now);
        for at in mesh.lives() {
            let gateway = mesh.peer_mut(at).unwrap();
            assert_eq!(gateway.fleet_size(), count, "{at}");
            assert!(gateway.table_len() <= 1024);
            assert_eq!(
                gateway.engine_outliers(now),
                [],
                "{at} reports outliers because of one source"
            );
            assert!(
                gateway.local_record().incarnation < Incarnation(10_000),
                "{:?}",
                gateway.local_record()
            );
        }
        mesh.liar = None;
        mesh.run(mesh.now + 60.0);
        assert!(mesh.agreed());
        assert!(
            mesh.lives()
                .iter()
                .all(|at| mesh.peer(*at).unwrap().table_len() == count - 1),
            "ghosts are gone"
        );
    }
}

#[test]
fn an_outlier_needs_two_independent_reports() {
    let mut mesh = started(20, 9);
    let now = Timestamp::from_secs(mesh.now);
    mesh.peer_mut(4)
        .unwrap()
        .report_engine(now, "e-1", EngineStatus::Failing);
    mesh.run(mesh.now + 3.0);
    let reporting_outlier = |mesh: &mut Mesh<Node>, engine: &str| {
        let now = Timestamp::from_secs(mesh.now);
        (0..20)
            .filter(|at| {
                mesh.peer_mut(*at)
                    .unwrap()
                    .engine_outliers(now)
                    .iter()
                    .any(|outlier| outlier.engine == engine)
            })
            .count()
    };
    assert_eq!(reporting_outlier(&mut mesh, "e-1"), 0);
    let now = Timestamp::from_secs(mesh.now);
    mesh.peer_mut(9)
        .unwrap()
        .report_engine(now, "e-1", EngineStatus::Failing);
    mesh.run(mesh.now + 3.0);
    assert!(reporting_outlier(&mut mesh, "e-1") >= 18);
    // The outlier expires with the reports.
    mesh.run(mesh.now + 10.0);
    assert_eq!(reporting_outlier(&mut mesh, "e-1"), 0);
}

#[test]
fn gateways_agree_after_rolling_and_simultaneous_restarts() {
    let mut mesh = started(20, 10);
    for at in 0..20 {
        mesh.leave(at);
        mesh.run(mesh.now + 1.0);
        mesh.start(at);
        mesh.run(mesh.now + 2.0);
    }
    assert!(mesh.settle(30.0).is_some(), "{:?}", view_states(&mesh));
    assert_eq!(false_deaths(&mesh), []);
    (0..20).for_each(|at| mesh.kill(at));
    mesh.run(mesh.now + 0.5);
    mesh.start_all();
    assert!(mesh.settle(60.0).is_some(), "{:?}", view_states(&mesh));
    assert_eq!(false_deaths(&mesh), []);
}

#[test]
fn gateways_without_live_seeds_stay_isolated_until_a_seed_starts() {
    let mut mesh = gateways(5, 11, Config::default());
    mesh.start(3);
    mesh.start(4);
    mesh.run(20.0);
    assert!(
        [3, 4]
            .iter()
            .all(|at| *mesh.peer(*at).unwrap().view_state() == ViewState::Isolated)
    );
    mesh.start(1);
    assert!(mesh.settle(30.0).is_some());
    assert_eq!(mesh.peer(3).unwrap().fleet_size(), 3);
}

#[test]
fn loss_and_late_duplicates_cause_few_false_deaths() {
    for count in [20, 60] {
        let mut mesh = started(count, 12);
        mesh.faults.lost = 1.0 / 3.0;
        mesh.faults.repeated = 1.0;
        mesh.faults.delay_s = (0.001, 0.1);
        mesh.run(mesh.now + 60.0);
        // The documented bound is less than one per gateway and hour.
        let false_ones = mesh.false_deaths();
        assert!(
            false_ones * 60 <= count,
            "{count}: {false_ones} in a minute"
        );
        mesh.faults = mesh::Faults::default();
        assert!(mesh.settle(60.0).is_some(), "{:?}", view_states(&mesh));
        let repeated: u64 = mesh
            .lives()
            .iter()
            .map(|at| mesh.peer(*at).unwrap().metrics.rejected_replayed)
            .sum();
        assert!(repeated > 0);
    }
}

#[test]
fn a_rolling_key_change_causes_no_deaths() {
    let mut mesh = started(20, 13);
    let (old, new) = (KEY, [8; 32]);
    for (signs, other) in [(old, Some(new)), (new, Some(old)), (new, None)] {
        for at in 0..20 {
            let others: Vec<[u8; 32]> = other.into_iter().collect();
            let ring = KeyRing::new(&signs, &others).unwrap();
            mesh.peer_mut(at).unwrap().reconfigure(
                (0..3).map(address).collect(),
                ring,
                Config::default(),
            );
            mesh.run(mesh.now + 3.0);
        }
    }
    assert!(mesh.deaths.is_empty(), "{:?}", mesh.deaths);
    assert!(mesh.agreed());
}

#[test]
fn of_two_processes_with_one_name_one_remains_a_member() {
    let mut mesh: Mesh<Node> = Mesh::new(6, 14, |at, now, life| {
        let ring = KeyRing::new(&KEY, &[]).unwrap();
        // The last gateway has the name of the one before it, at another address.
        let own = name(at.min(4));
        let seeds = (0..3).map(address).collect();
        Node::new(
            now,
            NodeSetup {
                fleet: Name::new("lab").unwrap(),
                name: own,
                address: address(at),
                locality: Locality::default(),
                seeds,
                key_ring: ring,
                config: Config::default(),
                rng_seed: at as u64 * 100 + u64::from(life),
            },
        )
    });
    mesh.start_all();
    mesh.run(60.0);
    let held: BTreeSet<_> = (0..4)
        .map(|at| {
            mesh.peer(at)
                .unwrap()
                .member(&name(4))
                .unwrap()
                .record
                .address
        })
        .collect();
    assert_eq!(held.len(), 1, "all gateways know the same one: {held:?}");
    let incarnations = [4, 5].map(|at| mesh.peer(at).unwrap().local_record().incarnation);
    assert!(
        incarnations.iter().all(|of| *of < Incarnation(100)),
        "{incarnations:?}"
    );
}

#[test]
fn traffic_per_gateway_does_not_grow_with_the_cluster() {
    let rate = |count| {
        let mut mesh = started(count, 15);
        let (before, from) = (mesh.sent.clone(), mesh.now);
        mesh.run(from + 20.0);
        let each = mesh.sent.iter().zip(before).map(|(after, before)| {
            (
                (after.0 - before.0) as f64 / 20.0,
                (after.1 - before.1) as f64 / 20.0,
            )
        });
        each.fold((0.0f64, 0.0f64), |most, of| {
            (most.0.max(of.0), most.1.max(of.1))
        })
    };
    let (few, many) = (rate(20), rate(300));
    assert!(
        few.0 < 10.0 && many.0 < 10.0,
        "{few:?}, {many:?} datagrams and bytes a second"
    );
    assert!(many.1 < 9000.0, "{many:?}");
}

#[test]
fn a_leave_causes_no_suspicion_and_its_record_expires() {
    let dead_retention = TimeDelta::from_secs(20.0);
    let mut mesh = started_by(
        20,
        16,
        Config {
            dead_retention,
            ..Config::default()
        },
    );
    mesh.leave(8);
    assert!(mesh.settle(10.0).is_some(), "{:?}", view_states(&mesh));
    assert!(
        mesh.deaths.is_empty()
            && (0..20)
                .filter(|at| *at != 8)
                .all(|at| mesh.peer(at).unwrap().metrics.suspected == 0)
    );
    mesh.run(mesh.now + 40.0);
    assert!(
        mesh.lives()
            .iter()
            .all(|at| mesh.peer(*at).unwrap().member(&name(8)).is_none())
    );
}
