//! With traffic limits: probes that are repeated before suspicion, updates that only a few verify, and tables that are compared.

use std::net::SocketAddr;

use admission::interface::Timestamp;
use membership::message::{self, Body, Message, View};
use membership::{
    Config, KeyRing, Locality, MemberState, Name, Node, NodeSetup, Record, TrafficLimits,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const KEY: [u8; 32] = [7; 32];
const STEP_S: f64 = 0.02;

fn key_ring() -> KeyRing {
    KeyRing::new(&KEY, &[]).unwrap()
}

fn fleet_name() -> Name {
    Name::new("test").unwrap()
}

fn name(number: usize) -> Name {
    Name::new(&format!("g{number:03}")).unwrap()
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7946))
}

fn config(limits: Option<TrafficLimits>) -> Config {
    Config {
        traffic_limits: limits,
        ..Config::default()
    }
}

/// May change a datagram on its way, from one to another; emptied, it is lost.
type Meddler = Box<dyn FnMut(usize, usize, &mut Vec<u8>)>;

/// Gateways on a network that loses a part of all datagrams; `None`: it was killed.
struct World {
    now: f64,
    lost: f64,
    all: Vec<Option<Node>>,
    rng: Pcg64Mcg,
    meddler: Option<Meddler>,
}

impl World {
    fn new(count: usize, seed: u64, config_of: impl Fn(usize) -> Config) -> World {
        let make = |number| {
            let (locality, seeds) = (Locality::default(), vec![address(0), address(1)]);
            let seed = seed * 1000 + number as u64;
            let own = (name(number), address(number));
            let now = Timestamp::from_secs(0.0);
            Some(Node::new(
                now,
                NodeSetup {
                    fleet: fleet_name(),
                    name: own.0,
                    address: own.1,
                    locality,
                    seeds,
                    key_ring: key_ring(),
                    config: config_of(number),
                    rng_seed: seed,
                },
            ))
        };
        let all = (0..count).map(make).collect();
        World {
            now: 0.0,
            lost: 0.0,
            all,
            rng: Pcg64Mcg::seed_from_u64(seed),
            meddler: None,
        }
    }

    fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += STEP_S;
            let now = Timestamp::from_secs(self.now);
            for from in 0..self.all.len() {
                let Some(sender) = &mut self.all[from] else {
                    continue;
                };
                if sender.due() <= now {
                    sender.turn(now);
                }
                for mut datagram in sender.take_datagrams() {
                    let to = (0..self.all.len()).find(|to| address(*to) == datagram.to);
                    if let Some((meddler, to)) = self.meddler.as_mut().zip(to) {
                        meddler(from, to, &mut datagram.bytes);
                    }
                    let lost = self.rng.random::<f64>() < self.lost || datagram.bytes.is_empty();
                    let receiver = to.filter(|_| !lost).and_then(|to| self.all[to].as_mut());
                    if let Some(receiver) = receiver {
                        let _ = receiver.receive(now, address(from), &datagram.bytes);
                    }
                }
            }
        }
    }

    fn living(&self) -> impl Iterator<Item = &Node> {
        self.all.iter().flatten()
    }

    fn agreed(&self) -> bool {
        let living = self.living().count();
        self.living().all(|node| node.fleet_size() == living)
    }

    /// Seconds until all agree.
    fn settle(&mut self, within: f64) -> Option<f64> {
        let began = self.now;
        while self.now < began + within {
            if self.agreed() {
                return Some(self.now - began);
            }
            self.run(0.1);
        }
        None
    }

    fn sum(&self, of: impl Fn(&Node) -> u64) -> u64 {
        self.living().map(of).sum()
    }
}

#[test]
fn a_third_lost_raises_few_suspicions_only_where_failed_probes_are_repeated() {
    /// Suspicions and deaths of 24 gateways in a minute.
    fn troubles(seed: u64, confirmations: usize) -> (u64, u64) {
        let limits = TrafficLimits {
            confirmations,
            ..TrafficLimits::default()
        };
        let mut world = World::new(24, seed, |_| config(Some(limits.clone())));
        assert!(world.settle(30.0).is_some());
        let before = world.sum(|node| node.metrics.suspected);
        world.lost = 1.0 / 3.0;
        world.run(60.0);
        (
            world.sum(|node| node.metrics.suspected) - before,
            world.sum(|node| node.metrics.declared_dead),
        )
    }
    for seed in 1..=5 {
        let (repeated, died) = troubles(seed, TrafficLimits::default().confirmations);
        assert!(
            repeated <= 24,
            "seed {seed}: {repeated} suspicions of 24 gateways in a minute"
        );
        assert_eq!(died, 0, "seed {seed}");
        let (at_once, _) = troubles(seed, 0);
        assert!(
            at_once > repeated * 10,
            "switched off it would show: {at_once}, {repeated}"
        );
    }
}

#[test]
fn three_and_sixty_start_lose_one_and_settle_by_the_same_code() {
    for count in [3, 60] {
        let mut world = World::new(count, 2, |_| config(Some(TrafficLimits::default())));
        assert!(world.settle(60.0).is_some(), "{count} start");
        world.run(15.0);
        world.all[count - 1] = None;
        assert!(world.settle(60.0).is_some(), "{count}, one dead");
        assert_eq!(world.sum(|node| node.metrics.false_deaths), 0, "{count}");
    }
}

#[test]
fn nodes_with_traffic_limits_and_without_understand_each_other() {
    let mut world = World::new(40, 3, |number| {
        config((number % 2 == 0).then(TrafficLimits::default))
    });
    assert!(world.settle(60.0).is_some(), "start");
    world.run(15.0);
    (10..15).for_each(|number| world.all[number] = None);
    assert!(world.settle(60.0).is_some(), "five dead");
    world.lost = 1.0 / 3.0;
    world.run(60.0);
    world.lost = 0.0;
    assert!(world.settle(60.0).is_some(), "after a third was lost");
}

/// A message of one gateway, made by hand, with a record beside it.
fn told(by: &Record, counter: u64, of: Record) -> Vec<u8> {
    let (fleet, from, view) = (fleet_name(), by.clone(), View::default());
    let message = Message {
        fleet,
        from,
        counter,
        view,
        body: Body::Gossip,
        records: vec![of],
        engine_reports: vec![],
    };
    message::seal(&key_ring(), &message)
}

#[test]
fn of_all_that_hear_one_witness_only_some_probe_at_once() {
    let probing = |limits: Option<TrafficLimits>| {
        let mut world = World::new(40, 4, |_| config(limits.clone()));
        assert!(world.settle(60.0).is_some());
        world.run(60.0);
        let witness = world.all[5].as_ref().unwrap().local_record().clone();
        let subject = world.all[6].as_ref().unwrap().local_record().clone();
        let now = Timestamp::from_secs(world.now);
        let before = world.sum(|node| node.metrics.probes);
        for node in world
            .all
            .iter_mut()
            .flatten()
            .filter(|node| node.local_record().name != witness.name)
        {
            let suspect = Record {
                state: MemberState::Suspect,
                ..subject.clone()
            };
            node.receive(now, witness.address, &told(&witness, 1 << 40, suspect))
                .unwrap();
        }
        world.run(2.0);
        world.sum(|node| node.metrics.probes) - before
    };
    // 40 gateways probe some 80 in two seconds; each that verifies adds one.
    let (few, all) = (probing(Some(TrafficLimits::default())), probing(None));
    assert!(few + 15 < all, "{few} probes with limits, {all} without");
}

#[test]
fn gossip_and_table_pages_keep_to_their_bytes() {
    let bytes = |limits: Option<TrafficLimits>| {
        let mut world = World::new(60, 5, |_| config(limits.clone()));
        assert!(world.settle(60.0).is_some());
        world.run(60.0);
        let before = world.sum(|node| node.metrics.sent_bytes);
        world.run(60.0);
        (world.sum(|node| node.metrics.sent_bytes) - before) as f64 / 60.0 / 60.0
    };
    let (bounded, plain) = (bytes(Some(TrafficLimits::default())), bytes(None));
    // Equal views exchange no tables.
    assert!(
        bounded < 600.0 && bounded < plain * 0.8,
        "{bounded} bytes a second at rest, {plain} without"
    );
    let mut world = World::new(60, 6, |_| {
        config(Some(TrafficLimits {
            gossip_bytes_per_s: 200.0,
            ..TrafficLimits::default()
        }))
    });
    assert!(
        world.settle(200.0).is_some(),
        "a narrow budget delays, no more"
    );
    assert!(world.sum(|node| node.metrics.limited_gossip) > 0);
}

#[test]
fn a_partitioned_node_keeps_its_table_and_knows_how_old_it_is() {
    let mut world = World::new(5, 7, |_| config(Some(TrafficLimits::default())));
    assert!(world.settle(30.0).is_some());
    world.run(15.0);
    assert_eq!(
        world.all[0].as_ref().unwrap().view_state().name(),
        "together"
    );
    let at = Timestamp::from_secs(world.now);
    (1..5).for_each(|number| world.all[number] = None);
    world.run(90.0);
    let left = world.all[0].as_ref().unwrap();
    let heard = left.last_heard().expect("it heard of others");
    assert!((heard - at).secs().abs() < 3.0);
    assert_eq!((left.table_len(), left.view_state().name()), (4, "cut off"));
}

#[test]
fn a_bucket_that_is_equal_in_another_table_vouches_for_its_candidates() {
    let mut world = World::new(60, 8, |_| config(Some(TrafficLimits::default())));
    assert!(world.settle(90.0).is_some());
    assert!(world.sum(|node| node.metrics.vouched_by_digest) > 0);
}

/// One that never was there, told by a single host.
fn invented() -> Record {
    let (life, incarnation) = (membership::BootId(7), membership::Incarnation(1));
    let (name, address) = (
        Name::new("g999").unwrap(),
        SocketAddr::from(([10, 0, 0, 200], 7946)),
    );
    Record {
        name,
        boot_id: life,
        incarnation,
        address,
        locality: Locality::default(),
        state: MemberState::Alive,
    }
}

#[test]
fn a_byzantine_host_in_comparisons_brings_nobody_in_and_takes_nobody_off() {
    const BYZANTINE: usize = 9;
    let mut world = World::new(10, 9, |_| config(Some(TrafficLimits::default())));
    assert!(world.settle(60.0).is_some());
    world.run(10.0);
    world.meddler = Some(Box::new(|from, _, bytes| {
        if from != BYZANTINE {
            return;
        }
        let mut message = message::open(&key_ring(), &fleet_name(), bytes).unwrap();
        // Its table agrees with every other, the one it invented among it, and its view with none, so that it is compared.
        if let Body::DigestResponse { equal, .. } = &mut message.body {
            *equal = u32::MAX;
        }
        message.view = View { digest: 1, size: 3 };
        message.records = vec![invented()];
        *bytes = message::seal(&key_ring(), &message);
    }));
    let compared = |world: &World| world.sum(|node| node.metrics.digest_requests_sent);
    let before = compared(&world);
    world.run(120.0);
    assert!(
        compared(&world) > before,
        "nothing was compared with the Byzantine node"
    );
    for node in world
        .living()
        .filter(|node| node.local_record().name != name(BYZANTINE))
    {
        let held = node.member(&invented().name);
        assert!(
            held.is_none_or(|held| !held.confirmed),
            "{} believes one host",
            node.local_record().name
        );
        assert_eq!(node.fleet_size(), 10, "{}", node.local_record().name);
    }
}

#[test]
fn nodes_that_know_no_comparison_still_give_their_tables() {
    let mut world = World::new(40, 10, |_| config(Some(TrafficLimits::default())));
    // Every other one is of an older version: it refuses what it cannot read, and so asks nothing of the kind.
    world.meddler = Some(Box::new(|from, to, bytes| {
        let message = message::open(&key_ring(), &fleet_name(), bytes).unwrap();
        let compares = matches!(
            message.body,
            Body::DigestRequest { .. }
                | Body::DigestResponse { .. }
                | Body::FingerprintRequest { .. }
                | Body::FingerprintResponse { .. }
        );
        if compares && (from % 2 == 0 || to % 2 == 0) {
            bytes.clear();
        }
    }));
    assert!(world.settle(120.0).is_some(), "start");
    world.all[7] = None;
    assert!(world.settle(60.0).is_some(), "one dead");
}

#[test]
fn digest_requests_that_name_no_buckets_of_a_table_are_rejected() {
    let mut world = World::new(3, 11, |_| config(Some(TrafficLimits::default())));
    assert!(world.settle(30.0).is_some());
    let by = world.all[1].as_ref().unwrap().local_record().clone();
    let now = Timestamp::from_secs(world.now);
    for (at, (first, buckets)) in [(128, 4), (0, 0), (0, 33)].into_iter().enumerate() {
        let body = Body::DigestRequest {
            nonce: message::Nonce(1),
            first_bucket: first,
            digests: vec![[0; 8]; buckets],
        };
        let (fleet, from, view) = (fleet_name(), by.clone(), View::default());
        let counter = (1 << 40) + at as u64;
        let message = Message {
            fleet,
            from,
            counter,
            view,
            body,
            records: vec![],
            engine_reports: vec![],
        };
        let receiver = world.all[0].as_mut().unwrap();
        let rejected = receiver.receive(now, by.address, &message::seal(&key_ring(), &message));
        assert_eq!(
            rejected,
            Err(membership::RejectReason::Malformed),
            "{first}, {buckets}"
        );
        assert_eq!(receiver.metrics.rejected_malformed, at as u64 + 1);
    }
    world.run(5.0);
    assert!(world.agreed(), "nothing else is lost by it");
}

#[test]
fn fingerprint_requests_that_name_too_many_are_rejected_and_a_byzantine_answer_brings_nobody_in() {
    const BYZANTINE: usize = 9;
    let mut world = World::new(10, 12, |_| config(Some(TrafficLimits::default())));
    world.meddler = Some(Box::new(|from, _, bytes| {
        if from != BYZANTINE {
            return;
        }
        let mut message = message::open(&key_ring(), &fleet_name(), bytes).unwrap();
        if let Body::FingerprintResponse { held, .. } = &mut message.body {
            *held = u64::MAX;
        }
        message.records.push(invented());
        *bytes = message::seal(&key_ring(), &message);
    }));
    assert!(world.settle(60.0).is_some(), "start");
    world.run(60.0);
    assert!(world.sum(|node| node.metrics.fingerprint_requests_sent) > 0);
    for node in world
        .living()
        .filter(|node| node.local_record().name != name(BYZANTINE))
    {
        assert!(
            node.member(&invented().name)
                .is_none_or(|held| !held.confirmed),
            "{}",
            node.local_record().name
        );
    }
    let by = world.all[1].as_ref().unwrap().local_record().clone();
    let (fleet, from, view) = (fleet_name(), by.clone(), View::default());
    let body = Body::FingerprintRequest {
        nonce: message::Nonce(1),
        from: 0,
        fingerprints: vec![[0; 8]; 57],
    };
    let message = Message {
        fleet,
        from,
        counter: 1 << 40,
        view,
        body,
        records: vec![],
        engine_reports: vec![],
    };
    let receiver = world.all[0].as_mut().unwrap();
    let rejected = receiver.receive(
        Timestamp::from_secs(world.now),
        by.address,
        &message::seal(&key_ring(), &message),
    );
    assert_eq!(rejected, Err(membership::RejectReason::Malformed));
}

/// The fleet that tells one of its gateways that a living one is dead, by four hosts, while the two don't reach each other;
/// 35 others have really gone, so that calling those that have gone does not find the one that lives soon.
struct FalseDeath {
    world: World,
    subject: Record,
}

impl FalseDeath {
    const WRONG: usize = 7;
    const SUBJECT: usize = 20;

    fn new(seed: u64) -> FalseDeath {
        let mut world = World::new(70, seed, |_| config(Some(TrafficLimits::default())));
        assert!(world.settle(90.0).is_some(), "start");
        world.run(30.0);
        (35..70).for_each(|number| world.all[number] = None);
        assert!(world.settle(120.0).is_some(), "35 dead");
        let subject = world.all[Self::SUBJECT]
            .as_ref()
            .unwrap()
            .local_record()
            .clone();
        FalseDeath { world, subject }
    }

    /// `vouched`: helpers of the wrong one may say that the subject answers them.
    fn tell(&mut self, vouched: bool) {
        let subject = self.subject.clone();
        self.world.meddler = Some(Box::new(move |from, to, bytes| {
            let pair = (from, to);
            if pair == (Self::WRONG, Self::SUBJECT) || pair == (Self::SUBJECT, Self::WRONG) {
                return bytes.clear();
            }
            if to != Self::WRONG {
                return;
            }
            let mut message = message::open(&key_ring(), &fleet_name(), bytes).unwrap();
            if matches!(message.body, Body::IndirectAck(_)) && !vouched {
                return bytes.clear();
            }
            message.records.retain(|record| record.name != subject.name);
            if from < 4 {
                message.records.insert(
                    0,
                    Record {
                        state: MemberState::Dead,
                        ..subject.clone()
                    },
                );
            }
            *bytes = message::seal(&key_ring(), &message);
        }));
    }

    /// The subject answers again, and says nothing of itself.
    fn end(&mut self) {
        self.world.meddler = Some(Box::new(|from, to, bytes| {
            let message = message::open(&key_ring(), &fleet_name(), bytes).unwrap();
            if (from, to) == (Self::SUBJECT, Self::WRONG) && !matches!(message.body, Body::Ack(_)) {
                bytes.clear();
            }
        }));
    }

    fn holds_dead(&self) -> bool {
        let wrong = self.world.all[Self::WRONG].as_ref().unwrap();
        wrong.member(&name(Self::SUBJECT)).unwrap().record.state == MemberState::Dead
    }

    /// Whether it holds the subject for dead at some time in these seconds.
    fn comes_to_hold_dead(&mut self, seconds: usize) -> bool {
        (0..seconds).any(|_| {
            self.world.run(1.0);
            self.holds_dead()
        })
    }
}

#[test]
fn a_false_death_that_one_node_alone_holds_is_mended_by_comparing_tables() {
    for seed in 13..17 {
        let mut case = FalseDeath::new(seed);
        case.tell(false);
        assert!(
            case.comes_to_hold_dead(120),
            "seed {seed}: it never holds the subject for dead"
        );
        case.end();
        case.world.run(30.0);
        assert!(
            !case.holds_dead(),
            "seed {seed}: the others hold it for alive, and were compared with"
        );
    }
}

#[test]
fn a_suspect_whom_another_reaches_is_not_declared_dead() {
    for seed in 13..17 {
        let mut case = FalseDeath::new(seed);
        case.tell(true);
        assert!(!case.comes_to_hold_dead(120), "seed {seed}");
    }
}
