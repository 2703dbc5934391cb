//! Robustness against arbitrary bytes, and against arbitrary messages of a Byzantine node, which
//! holds the fleet's key.

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

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7946))
}

fn node(number: u8, config: Config) -> Node {
    let name = Name::new(&format!("g{number}")).unwrap();
    let seeds = vec![addr(1)];
    Node::new(
        timestamp(0.0),
        NodeSetup {
            fleet: fleet(),
            name,
            address: addr(number),
            locality: Locality::default(),
            seeds,
            key_ring: key_ring(),
            config,
            rng_seed: number.into(),
        },
    )
}

fn timestamp(secs: f64) -> Timestamp {
    Timestamp::from_secs(1000.0 + secs)
}

fn record(number: u8) -> Record {
    Record {
        name: Name::new(&format!("g{number}")).unwrap(),
        boot_id: BootId(number.into()),
        incarnation: Incarnation(1),
        address: addr(number),
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

/// Runs the nodes and delivers their messages to each other until the time `until`, in seconds.
fn exchange_messages(nodes: &mut [Node], now: &mut f64, until: f64) {
    while *now < until {
        *now += 0.01;
        for from in 0..nodes.len() {
            nodes[from].turn(timestamp(*now));
            let source = nodes[from].local_record().address;
            for datagram in nodes[from].take_datagrams() {
                let to = nodes
                    .iter_mut()
                    .find(|to| to.local_record().address == datagram.to);
                if let Some(to) = to {
                    let _ = to.receive(timestamp(*now), source, &datagram.bytes);
                }
            }
        }
    }
}

/// The record of a second process with the first node's name.
fn second_process() -> Record {
    Record {
        address: addr(9),
        boot_id: BootId(99),
        ..record(1)
    }
}

#[test]
fn invalid_datagrams_are_rejected_with_their_reason() {
    let mut local = node(1, Config::default());
    let valid = message::seal(&key_ring(), &message_of(record(2), 1, Body::Gossip));
    let foreign = Message {
        fleet: Name::new("other").unwrap(),
        ..message_of(record(2), 2, Body::Gossip)
    };
    let corrupt = |offset: usize, mask: u8| {
        let mut bytes = valid.clone();
        bytes[offset] ^= mask;
        bytes
    };
    let cases = [
        (vec![], RejectReason::Length),
        (vec![1; 20], RejectReason::Length),
        (vec![1; 1201], RejectReason::Length),
        (corrupt(0, 3), RejectReason::Version),
        (corrupt(1, 1), RejectReason::UnknownKey),
        (corrupt(8, 1), RejectReason::AuthenticationTag),
        (corrupt(40, 1), RejectReason::AuthenticationTag),
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
    for (bytes, reason) in cases {
        assert_eq!(
            local.receive(timestamp(1.0), addr(2), &bytes),
            Err(reason),
            "{reason}"
        );
    }
    let conflict = message::seal(&key_ring(), &message_of(second_process(), 1, Body::Gossip));
    assert_eq!(
        local.receive(timestamp(1.0), addr(9), &conflict),
        Err(RejectReason::OwnName)
    );
    assert_eq!(local.receive(timestamp(1.0), addr(2), &valid), Ok(()));
    assert_eq!(
        local.receive(timestamp(1.0), addr(2), &valid),
        Err(RejectReason::Replayed)
    );
    let rejected: u64 = local
        .metrics
        .named_counts()
        .iter()
        .filter(|(name, _)| name.starts_with("refused"))
        .map(|(_, count)| count)
        .sum();
    assert_eq!((rejected, local.metrics.accepted), (12, 1));
}

#[test]
fn random_bytes_do_not_change_a_node() {
    // QuickCheck passes its arguments by value.
    #[expect(clippy::needless_pass_by_value)]
    fn holds(bytes: Vec<u8>) -> TestResult {
        let mut local = node(1, Config::default());
        let rejected = local.receive(timestamp(1.0), addr(2), &bytes).is_err();
        TestResult::from_bool(
            rejected && local.take_datagrams().is_empty() && local.table_len() == 0,
        )
    }
    QuickCheck::new()
        .tests(2000)
        .quickcheck(holds as fn(Vec<u8>) -> TestResult);
}

#[test]
fn every_single_bit_corruption_is_rejected() {
    let valid = message::seal(&key_ring(), &message_of(record(2), 1, Body::Ping(Nonce(3))));
    for byte in 0..valid.len() {
        for bit in 0..8 {
            let mut bytes = valid.clone();
            bytes[byte] ^= 1 << bit;
            assert!(
                node(1, Config::default())
                    .receive(timestamp(1.0), addr(2), &bytes)
                    .is_err(),
                "{byte} {bit}"
            );
        }
    }
}

/// Maximum number of members in the table of a node in these tests.
const MAX_MEMBERS: usize = 40;
/// Number of honest nodes; the fifth node is Byzantine.
const HONEST_NODES: usize = 4;

/// Runs four honest nodes and a Byzantine one, which holds the key and sends forged records. The
/// honest nodes must keep each other as members, in tables of bounded size.
fn run_byzantine_rounds(seed: u64) -> TestResult {
    run_byzantine_rounds_with_limits(seed, None)
}

fn run_byzantine_rounds_with_limits(seed: u64, limits: Option<TrafficLimits>) -> TestResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let config = Config {
        max_members: MAX_MEMBERS,
        traffic_limits: limits,
        ..Config::default()
    };
    // The Byzantine node is a confirmed member as well, so that its gossip counts.
    let mut nodes: Vec<Node> = (1..=5).map(|number| node(number, config.clone())).collect();
    let mut now = 0.0;
    exchange_messages(&mut nodes, &mut now, 12.0);
    if nodes.iter().any(|node| node.fleet_size() != 5) {
        return TestResult::failed();
    }
    let mut counter = 1 << 40;
    for _ in 0..40 {
        for honest in 0..HONEST_NODES {
            let forged = forged_message(&nodes, counter, &mut rng);
            counter += 1;
            let bytes = message::seal(&key_ring(), &forged);
            let _ = nodes[honest].receive(timestamp(now), addr(5), &bytes);
        }
        let until = now + 0.5;
        exchange_messages(&mut nodes, &mut now, until);
        for honest in &nodes[..HONEST_NODES] {
            if let Err(violation) = check_honest_node(honest, &nodes) {
                return TestResult::error(violation);
            }
        }
    }
    TestResult::passed()
}

/// A message of the Byzantine node with up to seven random records.
fn forged_message(nodes: &[Node], counter: u64, rng: &mut Pcg64Mcg) -> Message {
    let mut forged = message_of(
        nodes[HONEST_NODES].local_record().clone(),
        counter,
        Body::Gossip,
    );
    for _ in 0..rng.random_range(0..8) {
        forged.records.push(random_record(nodes, rng));
    }
    forged
}

/// A record in a random state, of a node that may or may not exist, with its boot id or another.
fn random_record(nodes: &[Node], rng: &mut Pcg64Mcg) -> Record {
    let number = rng.random_range(1..=8u8);
    let known = nodes
        .iter()
        .find(|node| node.local_record().address == addr(number));
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
        address: addr(rng.random_range(1..=40)),
        locality: Locality::default(),
        state: states[rng.random_range(0..4)],
    }
}

/// Checks that a node holds the other honest nodes with their boot ids and addresses, that its
/// table is bounded, and that its incarnation has not risen far.
fn check_honest_node(honest: &Node, nodes: &[Node]) -> Result<(), String> {
    let local = honest.local_record();
    for other in nodes[..HONEST_NODES].iter().map(Node::local_record) {
        if other.name == local.name {
            continue;
        }
        let Some(held) = honest.member(&other.name) else {
            return Err(format!("{} is missing", other.name));
        };
        let is_same_process =
            held.record.boot_id == other.boot_id && held.record.address == other.address;
        if !held.is_in_fleet() || !is_same_process {
            return Err(format!("{} holds {:?}", local.address, held.record));
        }
    }
    if honest.table_len() > MAX_MEMBERS || local.incarnation > Incarnation(100_000) {
        return Err(format!("{} table entries, {local:?}", honest.table_len()));
    }
    Ok(())
}

#[test]
fn one_byzantine_node_of_five_removes_no_honest_member() {
    QuickCheck::new()
        .tests(30)
        .quickcheck(run_byzantine_rounds as fn(u64) -> TestResult);
}

#[test]
fn one_byzantine_node_of_five_removes_no_honest_member_with_traffic_limits() {
    let holds = |seed| run_byzantine_rounds_with_limits(seed, Some(TrafficLimits::default()));
    QuickCheck::new()
        .tests(30)
        .quickcheck(holds as fn(u64) -> TestResult);
}

#[test]
fn a_false_suspicion_by_two_witnesses_holds_until_refuted() {
    // The tests with one Byzantine node would also pass if gossip never had any effect. Two
    // agreeing witnesses must therefore be believed until the suspect refutes.
    let mut nodes: Vec<Node> = (1..=5)
        .map(|number| node(number, Config::default()))
        .collect();
    let mut now = 0.0;
    exchange_messages(&mut nodes, &mut now, 12.0);
    let victim = nodes[3].local_record().clone();
    for byzantine in [1, 2] {
        let mut forged = message_of(
            nodes[byzantine].local_record().clone(),
            1 << 40,
            Body::Gossip,
        );
        forged.records.push(Record {
            state: MemberState::Suspect,
            ..victim.clone()
        });
        let from = nodes[byzantine].local_record().address;
        nodes[0]
            .receive(timestamp(now), from, &message::seal(&key_ring(), &forged))
            .unwrap();
    }
    assert_eq!(
        nodes[0].member(&victim.name).unwrap().record.state,
        MemberState::Suspect
    );
    let until = now + 10.0;
    exchange_messages(&mut nodes, &mut now, until);
    let held = &nodes[0].member(&victim.name).unwrap().record;
    assert!(
        held.state == MemberState::Alive && held.incarnation > victim.incarnation,
        "{held:?}"
    );
}

#[test]
fn a_flood_of_pings_is_answered_at_a_bounded_rate() {
    let mut nodes: Vec<Node> = (1..=2)
        .map(|number| node(number, Config::default()))
        .collect();
    let mut now = 0.0;
    exchange_messages(&mut nodes, &mut now, 8.0);
    let from = nodes[1].local_record().clone();
    for counter in 0..5000u64 {
        let ping = message_of(
            from.clone(),
            (1 << 40) + counter,
            Body::Ping(Nonce(counter)),
        );
        let _ = nodes[0].receive(timestamp(now), addr(2), &message::seal(&key_ring(), &ping));
    }
    let acks = nodes[0].take_datagrams().len();
    assert!((1..=60).contains(&acks), "{acks} acks at once");
    assert!(nodes[0].metrics.rejected_rate_limited > 4900);
    let later = timestamp(now) + TimeDelta::from_secs(1.0);
    let ping = message_of(from, 1 << 50, Body::Ping(Nonce(1)));
    assert_eq!(
        nodes[0].receive(later, addr(2), &message::seal(&key_ring(), &ping)),
        Ok(())
    );
}

#[test]
fn an_endless_table_is_requested_at_a_bounded_rate() {
    let mut nodes: Vec<Node> = (1..=2)
        .map(|number| node(number, Config::default()))
        .collect();
    let mut now = 0.0;
    exchange_messages(&mut nodes, &mut now, 8.0);
    let from = nodes[1].local_record().clone();
    for counter in 0..1000u64 {
        let next = Some(Name::new("a").unwrap());
        let page = message_of(from.clone(), (1 << 40) + counter, Body::Page { next });
        nodes[0]
            .receive(timestamp(now), addr(2), &message::seal(&key_ring(), &page))
            .unwrap();
    }
    let requests = nodes[0].take_datagrams().len();
    assert!((1..=8).contains(&requests), "{requests} requests at once");
}
