//! The protocol with traffic limits: probe retries before suspicion, deferred verification, and
//! table comparisons.

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

/// Intercepts a datagram from one node to another, both given by index. Clearing the bytes drops
/// the datagram.
type Interceptor = Box<dyn FnMut(usize, usize, &mut Vec<u8>)>;

/// A simulated network of gateways that loses a fraction of all datagrams. A node is `None` after
/// it was killed.
struct Network {
    now_s: f64,
    loss_rate: f64,
    nodes: Vec<Option<Node>>,
    rng: Pcg64Mcg,
    interceptor: Option<Interceptor>,
}

impl Network {
    fn new(count: usize, seed: u64, config_of: impl Fn(usize) -> Config) -> Network {
        let new_node = |number| {
            let (locality, seeds) = (Locality::default(), vec![address(0), address(1)]);
            let seed = seed * 1000 + number as u64;
            let identity = (name(number), address(number));
            let now = Timestamp::from_secs(0.0);
            Some(Node::new(
                now,
                NodeSetup {
                    fleet: fleet_name(),
                    name: identity.0,
                    address: identity.1,
                    locality,
                    seeds,
                    key_ring: key_ring(),
                    config: config_of(number),
                    rng_seed: seed,
                },
            ))
        };
        let nodes = (0..count).map(new_node).collect();
        Network {
            now_s: 0.0,
            loss_rate: 0.0,
            nodes,
            rng: Pcg64Mcg::seed_from_u64(seed),
            interceptor: None,
        }
    }

    fn run(&mut self, seconds: f64) {
        let end_s = self.now_s + seconds;
        while self.now_s < end_s {
            self.now_s += STEP_S;
            let now = Timestamp::from_secs(self.now_s);
            for from in 0..self.nodes.len() {
                let Some(sender) = &mut self.nodes[from] else {
                    continue;
                };
                if sender.due() <= now {
                    sender.turn(now);
                }
                for mut datagram in sender.take_datagrams() {
                    let to = (0..self.nodes.len()).find(|to| address(*to) == datagram.to);
                    if let Some((interceptor, to)) = self.interceptor.as_mut().zip(to) {
                        interceptor(from, to, &mut datagram.bytes);
                    }
                    let lost =
                        self.rng.random::<f64>() < self.loss_rate || datagram.bytes.is_empty();
                    let receiver = to.filter(|_| !lost).and_then(|to| self.nodes[to].as_mut());
                    if let Some(receiver) = receiver {
                        let _ = receiver.receive(now, address(from), &datagram.bytes);
                    }
                }
            }
        }
    }

    fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().flatten()
    }

    fn has_converged(&self) -> bool {
        let running = self.running().count();
        self.running().all(|node| node.fleet_size() == running)
    }

    /// Runs until all nodes agree on the fleet, and returns how many seconds that took. Returns
    /// `None` if it takes longer than `timeout_s`.
    fn converge(&mut self, timeout_s: f64) -> Option<f64> {
        let start_s = self.now_s;
        while self.now_s < start_s + timeout_s {
            if self.has_converged() {
                return Some(self.now_s - start_s);
            }
            self.run(0.1);
        }
        None
    }

    fn sum(&self, metric: impl Fn(&Node) -> u64) -> u64 {
        self.running().map(metric).sum()
    }
}

#[test]
fn retries_prevent_most_suspicions_when_a_third_of_the_datagrams_is_lost() {
    /// Returns the number of suspicions and of deaths among 24 gateways during one minute of packet
    /// loss.
    fn count_suspicions_and_deaths(seed: u64, confirmations: usize) -> (u64, u64) {
        let limits = TrafficLimits {
            confirmations,
            ..TrafficLimits::default()
        };
        let mut network = Network::new(24, seed, |_| config(Some(limits.clone())));
        assert!(network.converge(30.0).is_some());
        let before = network.sum(|node| node.metrics.suspected);
        network.loss_rate = 1.0 / 3.0;
        network.run(60.0);
        (
            network.sum(|node| node.metrics.suspected) - before,
            network.sum(|node| node.metrics.declared_dead),
        )
    }
    for seed in 1..=5 {
        let (with_retries, deaths) =
            count_suspicions_and_deaths(seed, TrafficLimits::default().confirmations);
        assert!(
            with_retries <= 24,
            "seed {seed}: {with_retries} suspicions among 24 gateways in one minute"
        );
        assert_eq!(deaths, 0, "seed {seed}");
        let (without_retries, _) = count_suspicions_and_deaths(seed, 0);
        assert!(
            without_retries > with_retries * 10,
            "seed {seed}: {without_retries} suspicions without retries, {with_retries} with them"
        );
    }
}

#[test]
fn fleets_of_3_and_60_nodes_converge_after_the_start_and_after_a_death() {
    for count in [3, 60] {
        let mut network = Network::new(count, 2, |_| config(Some(TrafficLimits::default())));
        assert!(
            network.converge(60.0).is_some(),
            "{count} nodes do not converge after the start"
        );
        network.run(15.0);
        network.nodes[count - 1] = None;
        assert!(
            network.converge(60.0).is_some(),
            "{count} nodes do not converge after a death"
        );
        assert_eq!(
            network.sum(|node| node.metrics.false_deaths),
            0,
            "{count} nodes"
        );
    }
}

#[test]
fn nodes_with_and_without_traffic_limits_interoperate() {
    let mut network = Network::new(40, 3, |number| {
        config((number % 2 == 0).then(TrafficLimits::default))
    });
    assert!(
        network.converge(60.0).is_some(),
        "no convergence after the start"
    );
    network.run(15.0);
    (10..15).for_each(|number| network.nodes[number] = None);
    assert!(
        network.converge(60.0).is_some(),
        "no convergence after five deaths"
    );
    network.loss_rate = 1.0 / 3.0;
    network.run(60.0);
    network.loss_rate = 0.0;
    assert!(
        network.converge(60.0).is_some(),
        "no convergence after the packet loss"
    );
}

/// Returns a signed gossip datagram that carries one record.
fn gossip_datagram(sender: &Record, counter: u64, record: Record) -> Vec<u8> {
    let (fleet, from, view) = (fleet_name(), sender.clone(), View::default());
    let message = Message {
        fleet,
        from,
        counter,
        view,
        body: Body::Gossip,
        records: vec![record],
        engine_reports: vec![],
    };
    message::seal(&key_ring(), &message)
}

#[test]
fn only_some_nodes_verify_a_claim_by_one_witness_immediately() {
    let count_probes = |limits: Option<TrafficLimits>| {
        let mut network = Network::new(40, 4, |_| config(limits.clone()));
        assert!(network.converge(60.0).is_some());
        network.run(60.0);
        let witness = network.nodes[5].as_ref().unwrap().local_record().clone();
        let subject = network.nodes[6].as_ref().unwrap().local_record().clone();
        let now = Timestamp::from_secs(network.now_s);
        let before = network.sum(|node| node.metrics.probes);
        for node in network
            .nodes
            .iter_mut()
            .flatten()
            .filter(|node| node.local_record().name != witness.name)
        {
            let suspect = Record {
                state: MemberState::Suspect,
                ..subject.clone()
            };
            node.receive(
                now,
                witness.address,
                &gossip_datagram(&witness, 1 << 40, suspect),
            )
            .unwrap();
        }
        network.run(2.0);
        network.sum(|node| node.metrics.probes) - before
    };
    // 40 gateways send about 80 probes in two seconds. Each immediate verification adds one.
    let (limited, unlimited) = (
        count_probes(Some(TrafficLimits::default())),
        count_probes(None),
    );
    assert!(
        limited + 15 < unlimited,
        "{limited} probes with limits, {unlimited} without"
    );
}

#[test]
fn gossip_and_table_exchanges_stay_within_their_byte_budgets() {
    let bytes_per_s = |limits: Option<TrafficLimits>| {
        let mut network = Network::new(60, 5, |_| config(limits.clone()));
        assert!(network.converge(60.0).is_some());
        network.run(60.0);
        let before = network.sum(|node| node.metrics.sent_bytes);
        network.run(60.0);
        (network.sum(|node| node.metrics.sent_bytes) - before) as f64 / 60.0 / 60.0
    };
    let (limited, unlimited) = (
        bytes_per_s(Some(TrafficLimits::default())),
        bytes_per_s(None),
    );
    // Nodes with equal views do not exchange tables.
    assert!(
        limited < 600.0 && limited < unlimited * 0.8,
        "{limited} bytes per second and node with limits, {unlimited} without"
    );
    let mut network = Network::new(60, 6, |_| {
        config(Some(TrafficLimits {
            gossip_bytes_per_s: 200.0,
            ..TrafficLimits::default()
        }))
    });
    assert!(
        network.converge(200.0).is_some(),
        "a small gossip budget must only delay convergence"
    );
    assert!(network.sum(|node| node.metrics.limited_gossip) > 0);
}

#[test]
fn a_partitioned_node_keeps_its_table_and_knows_when_it_last_heard_from_others() {
    let mut network = Network::new(5, 7, |_| config(Some(TrafficLimits::default())));
    assert!(network.converge(30.0).is_some());
    network.run(15.0);
    assert_eq!(
        network.nodes[0].as_ref().unwrap().view_state().name(),
        "together"
    );
    let partitioned_at = Timestamp::from_secs(network.now_s);
    (1..5).for_each(|number| network.nodes[number] = None);
    network.run(90.0);
    let survivor = network.nodes[0].as_ref().unwrap();
    let last_heard = survivor
        .last_heard()
        .expect("the node has heard from others");
    assert!((last_heard - partitioned_at).secs().abs() < 3.0);
    assert_eq!(
        (survivor.table_len(), survivor.view_state().name()),
        (4, "cut off")
    );
}

#[test]
fn an_equal_bucket_digest_vouches_for_candidates() {
    let mut network = Network::new(60, 8, |_| config(Some(TrafficLimits::default())));
    assert!(network.converge(90.0).is_some());
    assert!(network.sum(|node| node.metrics.vouched_by_digest) > 0);
}

/// A record of a member that does not exist, which only a single host reports.
fn fabricated_record() -> Record {
    let (boot, incarnation) = (membership::BootId(7), membership::Incarnation(1));
    let (name, address) = (
        Name::new("g999").unwrap(),
        SocketAddr::from(([10, 0, 0, 200], 7946)),
    );
    Record {
        name,
        boot_id: boot,
        incarnation,
        address,
        locality: Locality::default(),
        state: MemberState::Alive,
    }
}

#[test]
fn forged_digest_responses_neither_add_nor_remove_members() {
    const BYZANTINE: usize = 9;
    let mut network = Network::new(10, 9, |_| config(Some(TrafficLimits::default())));
    assert!(network.converge(60.0).is_some());
    network.run(10.0);
    network.interceptor = Some(Box::new(|from, _, bytes| {
        if from != BYZANTINE {
            return;
        }
        let mut message = message::open(&key_ring(), &fleet_name(), bytes).unwrap();
        // The Byzantine node claims that all buckets are equal, including the one of the record it
        // invented. Its view equals no other, so that the other nodes compare tables with it.
        if let Body::DigestResponse { equal, .. } = &mut message.body {
            *equal = u32::MAX;
        }
        message.view = View { digest: 1, size: 3 };
        message.records = vec![fabricated_record()];
        *bytes = message::seal(&key_ring(), &message);
    }));
    let sent_digest_requests =
        |network: &Network| network.sum(|node| node.metrics.digest_requests_sent);
    let before = sent_digest_requests(&network);
    network.run(120.0);
    assert!(
        sent_digest_requests(&network) > before,
        "no table was compared with the Byzantine node"
    );
    for node in network
        .running()
        .filter(|node| node.local_record().name != name(BYZANTINE))
    {
        let held = node.member(&fabricated_record().name);
        assert!(
            held.is_none_or(|held| !held.confirmed),
            "{} confirmed a member that only one host reported",
            node.local_record().name
        );
        assert_eq!(node.fleet_size(), 10, "{}", node.local_record().name);
    }
}

#[test]
fn nodes_without_comparison_support_still_exchange_pages() {
    let mut network = Network::new(40, 10, |_| config(Some(TrafficLimits::default())));
    // Nodes with an even number behave like an older version: comparisons that they send or receive
    // are dropped.
    network.interceptor = Some(Box::new(|from, to, bytes| {
        let message = message::open(&key_ring(), &fleet_name(), bytes).unwrap();
        let is_comparison = matches!(
            message.body,
            Body::DigestRequest { .. }
                | Body::DigestResponse { .. }
                | Body::FingerprintRequest { .. }
                | Body::FingerprintResponse { .. }
        );
        if is_comparison && (from % 2 == 0 || to % 2 == 0) {
            bytes.clear();
        }
    }));
    assert!(
        network.converge(120.0).is_some(),
        "no convergence after the start"
    );
    network.nodes[7] = None;
    assert!(
        network.converge(60.0).is_some(),
        "no convergence after one death"
    );
}

#[test]
fn digest_requests_with_invalid_bucket_ranges_are_rejected() {
    let mut network = Network::new(3, 11, |_| config(Some(TrafficLimits::default())));
    assert!(network.converge(30.0).is_some());
    let sender = network.nodes[1].as_ref().unwrap().local_record().clone();
    let now = Timestamp::from_secs(network.now_s);
    for (index, (first, buckets)) in [(128, 4), (0, 0), (0, 33)].into_iter().enumerate() {
        let body = Body::DigestRequest {
            nonce: message::Nonce(1),
            first_bucket: first,
            digests: vec![[0; 8]; buckets],
        };
        let (fleet, from, view) = (fleet_name(), sender.clone(), View::default());
        let counter = (1 << 40) + index as u64;
        let message = Message {
            fleet,
            from,
            counter,
            view,
            body,
            records: vec![],
            engine_reports: vec![],
        };
        let receiver = network.nodes[0].as_mut().unwrap();
        let rejected = receiver.receive(now, sender.address, &message::seal(&key_ring(), &message));
        assert_eq!(
            rejected,
            Err(membership::RejectReason::Malformed),
            "first bucket {first}, {buckets} buckets"
        );
        assert_eq!(receiver.metrics.rejected_malformed, index as u64 + 1);
    }
    network.run(5.0);
    assert!(
        network.has_converged(),
        "an invalid request must not disturb the fleet"
    );
}

#[test]
fn oversized_fingerprint_requests_are_rejected_and_forged_responses_add_no_member() {
    const BYZANTINE: usize = 9;
    let mut network = Network::new(10, 12, |_| config(Some(TrafficLimits::default())));
    network.interceptor = Some(Box::new(|from, _, bytes| {
        if from != BYZANTINE {
            return;
        }
        let mut message = message::open(&key_ring(), &fleet_name(), bytes).unwrap();
        if let Body::FingerprintResponse { held, .. } = &mut message.body {
            *held = u64::MAX;
        }
        message.records.push(fabricated_record());
        *bytes = message::seal(&key_ring(), &message);
    }));
    assert!(
        network.converge(60.0).is_some(),
        "no convergence after the start"
    );
    network.run(60.0);
    assert!(network.sum(|node| node.metrics.fingerprint_requests_sent) > 0);
    for node in network
        .running()
        .filter(|node| node.local_record().name != name(BYZANTINE))
    {
        assert!(
            node.member(&fabricated_record().name)
                .is_none_or(|held| !held.confirmed),
            "{}",
            node.local_record().name
        );
    }
    let sender = network.nodes[1].as_ref().unwrap().local_record().clone();
    let (fleet, from, view) = (fleet_name(), sender.clone(), View::default());
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
    let receiver = network.nodes[0].as_mut().unwrap();
    let rejected = receiver.receive(
        Timestamp::from_secs(network.now_s),
        sender.address,
        &message::seal(&key_ring(), &message),
    );
    assert_eq!(rejected, Err(membership::RejectReason::Malformed));
}

/// A fleet in which four hosts tell one gateway, the observer, that a running gateway, the subject,
/// is dead, while the two cannot reach each other. 35 other gateways are really dead, so that
/// rejoin probes of departed members do not reach the subject soon.
struct FalseDeath {
    network: Network,
    subject: Record,
}

impl FalseDeath {
    const OBSERVER: usize = 7;
    const SUBJECT: usize = 20;

    fn new(seed: u64) -> FalseDeath {
        let mut network = Network::new(70, seed, |_| config(Some(TrafficLimits::default())));
        assert!(
            network.converge(90.0).is_some(),
            "no convergence after the start"
        );
        network.run(30.0);
        (35..70).for_each(|number| network.nodes[number] = None);
        assert!(
            network.converge(120.0).is_some(),
            "no convergence after 35 deaths"
        );
        let subject = network.nodes[Self::SUBJECT]
            .as_ref()
            .unwrap()
            .local_record()
            .clone();
        FalseDeath { network, subject }
    }

    /// Starts to inject the reports of the death. `relays_may_ack` says whether relays may tell the
    /// observer that the subject answers them.
    fn inject_death_reports(&mut self, relays_may_ack: bool) {
        let subject = self.subject.clone();
        self.network.interceptor = Some(Box::new(move |from, to, bytes| {
            let route = (from, to);
            if route == (Self::OBSERVER, Self::SUBJECT) || route == (Self::SUBJECT, Self::OBSERVER)
            {
                return bytes.clear();
            }
            if to != Self::OBSERVER {
                return;
            }
            let mut message = message::open(&key_ring(), &fleet_name(), bytes).unwrap();
            if matches!(message.body, Body::IndirectAck(_)) && !relays_may_ack {
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

    /// Stops the injection. The subject now answers the observer, but sends it nothing of its own
    /// accord.
    fn stop_injection(&mut self) {
        self.network.interceptor = Some(Box::new(|from, to, bytes| {
            let message = message::open(&key_ring(), &fleet_name(), bytes).unwrap();
            if (from, to) == (Self::SUBJECT, Self::OBSERVER)
                && !matches!(message.body, Body::Ack(_))
            {
                bytes.clear();
            }
        }));
    }

    fn observer_holds_dead(&self) -> bool {
        let observer = self.network.nodes[Self::OBSERVER].as_ref().unwrap();
        observer.member(&name(Self::SUBJECT)).unwrap().record.state == MemberState::Dead
    }

    /// Runs for this many seconds, and returns whether the observer declares the subject dead in
    /// that time.
    fn observer_declares_dead_within(&mut self, seconds: usize) -> bool {
        (0..seconds).any(|_| {
            self.network.run(1.0);
            self.observer_holds_dead()
        })
    }
}

#[test]
fn comparing_tables_corrects_a_false_death_held_by_one_node() {
    for seed in 13..17 {
        let mut scenario = FalseDeath::new(seed);
        scenario.inject_death_reports(false);
        assert!(
            scenario.observer_declares_dead_within(120),
            "seed {seed}: the observer never declares the subject dead"
        );
        scenario.stop_injection();
        scenario.network.run(30.0);
        assert!(
            !scenario.observer_holds_dead(),
            "seed {seed}: comparing tables did not correct the false death"
        );
    }
}

#[test]
fn a_suspect_that_a_relay_reaches_is_not_declared_dead() {
    for seed in 13..17 {
        let mut scenario = FalseDeath::new(seed);
        scenario.inject_death_reports(true);
        assert!(!scenario.observer_declares_dead_within(120), "seed {seed}");
    }
}
