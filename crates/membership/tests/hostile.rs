//! What must not harm: any bytes, any letters of one who holds the key.

use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use membership::message::{self, Body, Message, Nonce, View};
use membership::{
    BootId, Config, Incarnation, KeyRing, Locality, MemberState, Name, Node, NodeSetup, Record,
    RejectReason, TrafficLimits,
};
use quickcheck::{QuickCheck, TestResult};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const KEY: [u8; 32] = [7; 32];

fn ring() -> KeyRing {
    KeyRing::new(&KEY, &[]).unwrap()
}

fn fleet() -> Name {
    Name::new("test").unwrap()
}

fn at(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7946))
}

fn gateway(number: u8, config: Config) -> Node {
    let name = Name::new(&format!("g{number}")).unwrap();
    let seeds = vec![at(1)];
    Node::new(
        moment(0.0),
        NodeSetup {
            fleet: fleet(),
            name,
            address: at(number),
            locality: Locality::default(),
            seeds,
            key_ring: ring(),
            config: config,
            rng_seed: number.into(),
        },
    )
}

fn moment(secs: f64) -> Timestamp {
    Timestamp::from_secs(1000.0 + secs)
}

fn record(number: u8) -> Record {
    Record {
        name: Name::new(&format!("g{number}")).unwrap(),
        boot_id: BootId(number.into()),
        incarnation: Incarnation(1),
        address: at(number),
        locality: Locality::default(),
        state: MemberState::Alive,
    }
}

fn letter(from: Record, counter: u64, body: Body) -> Message {
    Message {
        fleet: fleet(),
        from,
        counter,
        view: View::default(),
        body,
        records: vec![],
        engine_reports: vec![],
    }
}

/// By turns one another's letters, until a time.
fn talk(all: &mut [Node], now: &mut f64, until: f64) {
    while *now < until {
        *now += 0.01;
        for from in 0..all.len() {
            all[from].turn(moment(*now));
            let source = all[from].local_record().address;
            for datagram in all[from].take_datagrams() {
                let to = all
                    .iter_mut()
                    .find(|to| to.local_record().address == datagram.to);
                if let Some(to) = to {
                    let _ = to.receive(moment(*now), source, &datagram.bytes);
                }
            }
        }
    }
}

#[test]
fn what_is_not_ours_is_refused_by_its_reason() {
    let mut own = gateway(1, Config::default());
    let good = message::seal(&ring(), &letter(record(2), 1, Body::Gossip));
    let foreign = Message {
        fleet: Name::new("other").unwrap(),
        ..letter(record(2), 2, Body::Gossip)
    };
    let own_name = Record {
        address: at(9),
        boot_id: BootId(99),
        ..record(1)
    };
    let change = |at: usize, by: u8| {
        let mut bytes = good.clone();
        bytes[at] ^= by;
        bytes
    };
    let cases = [
        (vec![], RejectReason::Length),
        (vec![1; 20], RejectReason::Length),
        (vec![1; 1201], RejectReason::Length),
        (change(0, 3), RejectReason::Version),
        (change(1, 1), RejectReason::UnknownKey),
        (change(8, 1), RejectReason::AuthenticationTag),
        (change(40, 1), RejectReason::AuthenticationTag),
        (message::seal(&ring(), &foreign), RejectReason::OtherFleet),
        (
            message::seal(&ring(), &letter(record(3), 1, Body::Gossip)),
            RejectReason::SourceAddress,
        ),
        (
            message::seal(&ring(), &letter(record(2), 9, Body::Ack(Nonce(5)))),
            RejectReason::Unsolicited,
        ),
    ];
    for (bytes, refused) in cases {
        assert_eq!(
            own.receive(moment(1.0), at(2), &bytes),
            Err(refused),
            "{refused}"
        );
    }
    assert_eq!(
        own.receive(
            moment(1.0),
            at(9),
            &message::seal(&ring(), &letter(own_name, 1, Body::Gossip))
        ),
        Err(RejectReason::OwnName)
    );
    assert_eq!(own.receive(moment(1.0), at(2), &good), Ok(()));
    assert_eq!(
        own.receive(moment(1.0), at(2), &good),
        Err(RejectReason::Replayed)
    );
    let refused: u64 = own
        .metrics
        .named_counts()
        .iter()
        .filter(|(name, _)| name.starts_with("rejected"))
        .map(|(_, count)| count)
        .sum();
    assert_eq!((refused, own.metrics.accepted), (12, 1));
}

#[test]
fn any_bytes_leave_it_as_it_was() {
    fn holds(bytes: Vec<u8>) -> TestResult {
        let mut own = gateway(1, Config::default());
        let refused = own.receive(moment(1.0), at(2), &bytes).is_err();
        TestResult::from_bool(refused && own.take_datagrams().is_empty() && own.table_len() == 0)
    }
    QuickCheck::new()
        .tests(2000)
        .quickcheck(holds as fn(Vec<u8>) -> TestResult);
}

#[test]
fn any_change_of_a_letter_under_way_is_found() {
    let good = message::seal(&ring(), &letter(record(2), 1, Body::Ping(Nonce(3))));
    for byte in 0..good.len() {
        for bit in 0..8 {
            let mut bytes = good.clone();
            bytes[byte] ^= 1 << bit;
            assert!(
                gateway(1, Config::default())
                    .receive(moment(1.0), at(2), &bytes)
                    .is_err(),
                "{byte} {bit}"
            );
        }
    }
}

/// One that holds the key says anything: four honest ones stay together, bounded, and hold each other.
fn liars_day(seed: u64) -> TestResult {
    liars_day_with(seed, None)
}

fn liars_day_with(seed: u64, bounds: Option<TrafficLimits>) -> TestResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let config = Config {
        max_members: 40,
        traffic_limits: bounds,
        ..Config::default()
    };
    let mut all: Vec<Node> = (1..=4)
        .map(|number| gateway(number, config.clone()))
        .collect();
    // The liar is a gateway too: known, and heard.
    all.push(gateway(5, config));
    let mut now = 0.0;
    talk(&mut all, &mut now, 12.0);
    if all.iter().any(|gateway| gateway.fleet_size() != 5) {
        return TestResult::failed();
    }
    let mut counter = 1 << 40;
    for _ in 0..40 {
        for honest in 0..4 {
            let mut lie = letter(all[4].local_record().clone(), counter, Body::Gossip);
            counter += 1;
            for _ in 0..rng.random_range(0..8) {
                let number = rng.random_range(1..=8u8);
                let known = all
                    .iter()
                    .find(|gateway| gateway.local_record().address == at(number));
                let life = known
                    .filter(|_| rng.random::<bool>())
                    .map_or(BootId(rng.random()), |of| of.local_record().boot_id);
                let states = [
                    MemberState::Alive,
                    MemberState::Suspect,
                    MemberState::Dead,
                    MemberState::Left,
                ];
                let incarnation = [1, 2, 3, 9_000, 1 << 30, u32::MAX][rng.random_range(0..6)];
                lie.records.push(Record {
                    name: Name::new(&format!("g{number}")).unwrap(),
                    boot_id: life,
                    incarnation: Incarnation(incarnation),
                    address: at(rng.random_range(1..=40)),
                    locality: Locality::default(),
                    state: states[rng.random_range(0..4)],
                });
            }
            let bytes = message::seal(&ring(), &lie);
            let _ = all[honest].receive(moment(now), at(5), &bytes);
        }
        let until = now + 0.5;
        talk(&mut all, &mut now, until);
        for honest in &all[..4] {
            let there = |number: u8| honest.member(&Name::new(&format!("g{number}")).unwrap());
            let own = honest.local_record().address;
            for number in (1..=4).filter(|number| at(*number) != own) {
                let Some(held) = there(number) else {
                    return TestResult::error(format!("g{number} was lost"));
                };
                let life = all[usize::from(number) - 1].local_record().boot_id;
                if !held.is_in_fleet()
                    || held.record.boot_id != life
                    || held.record.address != at(number)
                {
                    return TestResult::error(format!("{own} holds {:?}", held.record));
                }
            }
            if honest.table_len() > 40 || honest.local_record().incarnation > Incarnation(100_000) {
                return TestResult::error(format!(
                    "{} held, {:?}",
                    honest.table_len(),
                    honest.local_record()
                ));
            }
        }
    }
    TestResult::passed()
}

#[test]
fn one_liar_among_five_takes_nobody_off_whatever_it_says() {
    QuickCheck::new()
        .tests(30)
        .quickcheck(liars_day as fn(u64) -> TestResult);
}

#[test]
fn one_liar_among_five_takes_nobody_off_with_bounds_either() {
    let holds = |seed| liars_day_with(seed, Some(TrafficLimits::default()));
    QuickCheck::new()
        .tests(30)
        .quickcheck(holds as fn(u64) -> TestResult);
}

#[test]
fn the_same_lies_by_two_of_two_needed_take_effect() {
    // What liars_day would miss if nothing ever counted: two that agree are believed, until it is refuted.
    let mut all: Vec<Node> = (1..=5)
        .map(|number| gateway(number, Config::default()))
        .collect();
    let mut now = 0.0;
    talk(&mut all, &mut now, 12.0);
    let victim = all[3].local_record().clone();
    for liar in [1, 2] {
        let mut lie = letter(all[liar].local_record().clone(), 1 << 40, Body::Gossip);
        lie.records.push(Record {
            state: MemberState::Suspect,
            ..victim.clone()
        });
        let from = all[liar].local_record().address;
        all[0]
            .receive(moment(now), from, &message::seal(&ring(), &lie))
            .unwrap();
    }
    assert_eq!(
        all[0].member(&victim.name).unwrap().record.state,
        MemberState::Suspect
    );
    let until = now + 10.0;
    talk(&mut all, &mut now, until);
    let held = &all[0].member(&victim.name).unwrap().record;
    assert!(
        held.state == MemberState::Alive && held.incarnation > victim.incarnation,
        "{held:?}"
    );
}

#[test]
fn a_flood_of_questions_is_answered_at_a_pace() {
    let mut all: Vec<Node> = (1..=2)
        .map(|number| gateway(number, Config::default()))
        .collect();
    let mut now = 0.0;
    talk(&mut all, &mut now, 8.0);
    let from = all[1].local_record().clone();
    for counter in 0..5000u64 {
        let question = letter(
            from.clone(),
            (1 << 40) + counter,
            Body::Ping(Nonce(counter)),
        );
        let _ = all[0].receive(moment(now), at(2), &message::seal(&ring(), &question));
    }
    let answers = all[0].take_datagrams().len();
    assert!((1..=60).contains(&answers), "{answers} answers at once");
    assert!(all[0].metrics.rejected_rate_limited > 4900);
    let later = moment(now) + TimeDelta::from_secs(1.0);
    let question = letter(from, 1 << 50, Body::Ping(Nonce(1)));
    assert_eq!(
        all[0].receive(later, at(2), &message::seal(&ring(), &question)),
        Ok(())
    );
}

#[test]
fn one_whose_table_never_ends_is_asked_at_a_pace() {
    let mut all: Vec<Node> = (1..=2)
        .map(|number| gateway(number, Config::default()))
        .collect();
    let mut now = 0.0;
    talk(&mut all, &mut now, 8.0);
    let from = all[1].local_record().clone();
    for counter in 0..1000u64 {
        let next = Some(Name::new("a").unwrap());
        let page = letter(from.clone(), (1 << 40) + counter, Body::Page { next });
        all[0]
            .receive(moment(now), at(2), &message::seal(&ring(), &page))
            .unwrap();
    }
    let asked = all[0].take_datagrams().len();
    assert!((1..=8).contains(&asked), "{asked} at once");
}
