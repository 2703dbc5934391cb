//! What must not harm: any bytes, and any messages of a Byzantine node, which holds the key.

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

fn key_ring() -> KeyRing {
    KeyRing::new(&KEY, &[]).unwrap()
}

fn fleet() -> Name {
    Name::new("test").unwrap()
}

fn at(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7946))
}

fn node(number: u8, config: Config) -> Node {
    let name = Name::new(&format!("g{number}")).unwrap();
    let seeds = vec![at(1)];
    Node::new(
        at_time(0.0),
        NodeSetup {
            fleet: fleet(),
            name,
            address: at(number),
            locality: Locality::default(),
            seeds,
            key_ring: key_ring(),
            config,
            rng_seed: number.into(),
        },
    )
}

fn at_time(secs: f64) -> Timestamp {
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

fn message_of(from: Record, counter: u64, body: Body) -> Message {
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

/// Hands the nodes' messages to each other, until a time.
fn talk(all: &mut [Node], now: &mut f64, until: f64) {
    while *now < until {
        *now += 0.01;
        for from in 0..all.len() {
            all[from].turn(at_time(*now));
            let source = all[from].local_record().address;
            for datagram in all[from].take_datagrams() {
                let to = all
                    .iter_mut()
                    .find(|to| to.local_record().address == datagram.to);
                if let Some(to) = to {
                    let _ = to.receive(at_time(*now), source, &datagram.bytes);
                }
            }
        }
    }
}

/// Another process with the first node's name.
fn namesake() -> Record {
    Record {
        address: at(9),
        boot_id: BootId(99),
        ..record(1)
    }
}

#[test]
fn foreign_datagrams_are_rejected_by_their_reason() {
    let mut own = node(1, Config::default());
    let good = message::seal(&key_ring(), &message_of(record(2), 1, Body::Gossip));
    let foreign = Message {
        fleet: Name::new("other").unwrap(),
        ..message_of(record(2), 2, Body::Gossip)
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
        (
            message::seal(&key_ring(), &foreign),
            RejectReason::OtherFleet,
        ),
        (
            message::seal(&key_ring(), &message_of(record(3), 1, Body::Gossip)),
            RejectReason::SourceAddress,
        ),
        (
            message::seal(&key_ring(), &message_of(record(2), 9, Body::Ack(Nonce(5)))),
            RejectReason::Unsolicited,
        ),
    ];
    for (bytes, rejected) in cases {
        assert_eq!(
            own.receive(at_time(1.0), at(2), &bytes),
            Err(rejected),
            "{rejected}"
        );
    }
    let under_own_name = message::seal(&key_ring(), &message_of(namesake(), 1, Body::Gossip));
    assert_eq!(
        own.receive(at_time(1.0), at(9), &under_own_name),
        Err(RejectReason::OwnName)
    );
    assert_eq!(own.receive(at_time(1.0), at(2), &good), Ok(()));
    assert_eq!(
        own.receive(at_time(1.0), at(2), &good),
        Err(RejectReason::Replayed)
    );
    let rejected: u64 = own
        .metrics
        .named_counts()
        .iter()
        .filter(|(name, _)| name.starts_with("refused"))
        .map(|(_, count)| count)
        .sum();
    assert_eq!((rejected, own.metrics.accepted), (12, 1));
}

#[test]
fn any_bytes_leave_a_node_as_it_was() {
    // QuickCheck gives its values away.
    #[expect(clippy::needless_pass_by_value)]
    fn holds(bytes: Vec<u8>) -> TestResult {
        let mut own = node(1, Config::default());
        let rejected = own.receive(at_time(1.0), at(2), &bytes).is_err();
        TestResult::from_bool(rejected && own.take_datagrams().is_empty() && own.table_len() == 0)
    }
    QuickCheck::new()
        .tests(2000)
        .quickcheck(holds as fn(Vec<u8>) -> TestResult);
}

#[test]
fn any_change_of_a_message_under_way_is_found() {
    let good = message::seal(&key_ring(), &message_of(record(2), 1, Body::Ping(Nonce(3))));
    for byte in 0..good.len() {
        for bit in 0..8 {
            let mut bytes = good.clone();
            bytes[byte] ^= 1 << bit;
            assert!(
                node(1, Config::default())
                    .receive(at_time(1.0), at(2), &bytes)
                    .is_err(),
                "{byte} {bit}"
            );
        }
    }
}

/// Records that the table holds at most in these tests.
const MAX_MEMBERS: usize = 40;
/// Honest nodes among the five.
const HONEST: usize = 4;

/// Four honest nodes and the Byzantine one, which holds the key and says anything: the four keep each other, in a bounded
/// table.
fn byzantine_rounds(seed: u64) -> TestResult {
    byzantine_rounds_with(seed, None)
}

fn byzantine_rounds_with(seed: u64, limits: Option<TrafficLimits>) -> TestResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let config = Config {
        max_members: MAX_MEMBERS,
        traffic_limits: limits,
        ..Config::default()
    };
    // The Byzantine node is a member too: known, and heard.
    let mut all: Vec<Node> = (1..=5).map(|number| node(number, config.clone())).collect();
    let mut now = 0.0;
    talk(&mut all, &mut now, 12.0);
    if all.iter().any(|node| node.fleet_size() != 5) {
        return TestResult::failed();
    }
    let mut counter = 1 << 40;
    for _ in 0..40 {
        for honest in 0..HONEST {
            let lie = lie(&all, counter, &mut rng);
            counter += 1;
            let bytes = message::seal(&key_ring(), &lie);
            let _ = all[honest].receive(at_time(now), at(5), &bytes);
        }
        let until = now + 0.5;
        talk(&mut all, &mut now, until);
        for honest in &all[..HONEST] {
            if let Err(what) = check_honest(honest, &all) {
                return TestResult::error(what);
            }
        }
    }
    TestResult::passed()
}

/// A message of the Byzantine node with up to seven records of any kind.
fn lie(all: &[Node], counter: u64, rng: &mut Pcg64Mcg) -> Message {
    let mut lie = message_of(all[HONEST].local_record().clone(), counter, Body::Gossip);
    for _ in 0..rng.random_range(0..8) {
        lie.records.push(any_record(all, rng));
    }
    lie
}

/// A record of a node that is there or not, in its boot or another, in any state.
fn any_record(all: &[Node], rng: &mut Pcg64Mcg) -> Record {
    let number = rng.random_range(1..=8u8);
    let known = all
        .iter()
        .find(|node| node.local_record().address == at(number));
    let boot_id = known
        .filter(|_| rng.random::<bool>())
        .map_or(BootId(rng.random()), |node| node.local_record().boot_id);
    let states = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Dead,
        MemberState::Left,
    ];
    let incarnation = [1, 2, 3, 9_000, 1 << 30, u32::MAX][rng.random_range(0..6)];
    Record {
        name: Name::new(&format!("g{number}")).unwrap(),
        boot_id,
        incarnation: Incarnation(incarnation),
        address: at(rng.random_range(1..=40)),
        locality: Locality::default(),
        state: states[rng.random_range(0..4)],
    }
}

/// An honest node holds the other honest ones as they are, in a bounded table, and has not risen far.
fn check_honest(honest: &Node, all: &[Node]) -> Result<(), String> {
    let own = honest.local_record();
    for other in all[..HONEST].iter().map(Node::local_record) {
        if other.name == own.name {
            continue;
        }
        let Some(held) = honest.member(&other.name) else {
            return Err(format!("{} was lost", other.name));
        };
        let is_same_process =
            held.record.boot_id == other.boot_id && held.record.address == other.address;
        if !held.is_in_fleet() || !is_same_process {
            return Err(format!("{} holds {:?}", own.address, held.record));
        }
    }
    if honest.table_len() > MAX_MEMBERS || own.incarnation > Incarnation(100_000) {
        return Err(format!("{} held, {own:?}", honest.table_len()));
    }
    Ok(())
}

#[test]
fn one_byzantine_node_among_five_takes_nobody_off_whatever_it_says() {
    QuickCheck::new()
        .tests(30)
        .quickcheck(byzantine_rounds as fn(u64) -> TestResult);
}

#[test]
fn one_byzantine_node_among_five_takes_nobody_off_with_traffic_limits_either() {
    let holds = |seed| byzantine_rounds_with(seed, Some(TrafficLimits::default()));
    QuickCheck::new()
        .tests(30)
        .quickcheck(holds as fn(u64) -> TestResult);
}

#[test]
fn the_same_lies_by_two_of_two_witnesses_needed_take_effect() {
    // What byzantine_rounds would miss if nothing ever counted: two that agree are believed, until it is refuted.
    let mut all: Vec<Node> = (1..=5)
        .map(|number| node(number, Config::default()))
        .collect();
    let mut now = 0.0;
    talk(&mut all, &mut now, 12.0);
    let victim = all[3].local_record().clone();
    for byzantine in [1, 2] {
        let mut lie = message_of(all[byzantine].local_record().clone(), 1 << 40, Body::Gossip);
        lie.records.push(Record {
            state: MemberState::Suspect,
            ..victim.clone()
        });
        let from = all[byzantine].local_record().address;
        all[0]
            .receive(at_time(now), from, &message::seal(&key_ring(), &lie))
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
fn a_flood_of_pings_is_answered_at_a_bounded_rate() {
    let mut all: Vec<Node> = (1..=2)
        .map(|number| node(number, Config::default()))
        .collect();
    let mut now = 0.0;
    talk(&mut all, &mut now, 8.0);
    let from = all[1].local_record().clone();
    for counter in 0..5000u64 {
        let ping = message_of(
            from.clone(),
            (1 << 40) + counter,
            Body::Ping(Nonce(counter)),
        );
        let _ = all[0].receive(at_time(now), at(2), &message::seal(&key_ring(), &ping));
    }
    let answers = all[0].take_datagrams().len();
    assert!((1..=60).contains(&answers), "{answers} answers at once");
    assert!(all[0].metrics.rejected_rate_limited > 4900);
    let later = at_time(now) + TimeDelta::from_secs(1.0);
    let ping = message_of(from, 1 << 50, Body::Ping(Nonce(1)));
    assert_eq!(
        all[0].receive(later, at(2), &message::seal(&key_ring(), &ping)),
        Ok(())
    );
}

#[test]
fn a_node_whose_table_never_ends_is_asked_at_a_bounded_rate() {
    let mut all: Vec<Node> = (1..=2)
        .map(|number| node(number, Config::default()))
        .collect();
    let mut now = 0.0;
    talk(&mut all, &mut now, 8.0);
    let from = all[1].local_record().clone();
    for counter in 0..1000u64 {
        let next = Some(Name::new("a").unwrap());
        let page = message_of(from.clone(), (1 << 40) + counter, Body::Page { next });
        all[0]
            .receive(at_time(now), at(2), &message::seal(&key_ring(), &page))
            .unwrap();
    }
    let asked = all[0].take_datagrams().len();
    assert!((1..=8).contains(&asked), "{asked} at once");
}
