//! One node of the fleet: datagrams and time in; datagrams, events and the time of the next step out. The struct stands
//! here; each module beside it has one flow of the protocol.

mod acks;
mod anti_entropy;
mod digest_exchange;
mod engine_reports;
mod event;
mod evidence;
mod fingerprint_exchange;
mod gossip;
mod indirect_probes;
mod probing;
mod receive;
mod refutation;
mod rejoin;
mod reply;
mod send;
mod suspicion;
mod timers;
mod verification;
mod view;

use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::anti_entropy::AntiEntropy;
use crate::config::Config;
use crate::dissemination::DisseminationQueue;
use crate::engine_broadcast::EngineBroadcast;
use crate::engine_gossip::EngineGossip;
use crate::keys::KeyRing;
use crate::local_health::LocalHealth;
use crate::member::{BootId, Incarnation, Locality, MemberState, Name, Record};
use crate::member_entry::MemberEntry;
use crate::member_table::{CandidateRetention, MemberSummary, MemberTable};
use crate::message::Body;
use crate::metrics::Metrics;
use crate::name_conflict::NameConflict;
use crate::outstanding_probes::OutstandingProbes;
use crate::probe_retries::ProbeRetries;
use crate::probe_round::{ProbeRound, sample};
use crate::request_limits::RequestLimits;
use crate::verifications::Verifications;
use crate::view_tracker::ViewTracker;
pub use event::Event;
use rejoin::RejoinSchedule;
use send::Recipient;
pub use send::{MAX_PAYLOAD_BYTES, ReceivedPayload};

/// Members that are told by this node itself that it leaves.
const MAX_LEAVE_MESSAGES: usize = 64;
/// Events that wait to be taken.
const MAX_EVENTS: usize = 256;
/// Seconds from the start to the first rejoin probes.
const FIRST_REJOIN_S: f64 = 0.01;

/// Bytes to send, and where to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Where to.
    pub to: SocketAddr,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// What a node is made of.
#[derive(Clone, Debug)]
pub struct NodeSetup {
    /// The fleet that it belongs to.
    pub fleet: Name,
    /// Its name.
    pub name: Name,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Where it stands.
    pub locality: Locality,
    /// Where other nodes may be reached at the start.
    pub seeds: Vec<SocketAddr>,
    /// Keys of the fleet.
    pub key_ring: KeyRing,
    /// Times and limits.
    pub config: Config,
    /// For all that goes by chance, the boot id among it: another one for each start.
    pub rng_seed: u64,
}

/// One node of the fleet.
#[derive(Clone, Debug)]
pub struct Node {
    fleet: Name,
    key_ring: KeyRing,
    config: Config,
    seeds: Vec<SocketAddr>,
    /// This node's own record.
    local: Record,
    /// Of the messages sent.
    message_counter: u64,
    rng: Pcg64Mcg,
    table: MemberTable,
    next_period: Timestamp,
    probes: OutstandingProbes,
    probe_round: ProbeRound,
    probe_retries: ProbeRetries,
    local_health: LocalHealth,
    verifications: Verifications,
    rejoin: RejoinSchedule,
    dissemination: DisseminationQueue,
    anti_entropy: AntiEntropy,
    engines: EngineGossip,
    engine_broadcast: EngineBroadcast,
    views: ViewTracker,
    name_conflict: NameConflict,
    request_limits: RequestLimits,
    /// It met another node since its start.
    has_joined: bool,
    /// When it last heard from one in the fleet.
    last_heard: Option<Timestamp>,
    payloads: Vec<ReceivedPayload>,
    datagrams: Vec<Datagram>,
    events: Vec<Event>,
    /// Counts since the start.
    pub metrics: Metrics,
}

impl Node {
    /// A node that starts now.
    #[must_use]
    pub fn new(now: Timestamp, setup: NodeSetup) -> Self {
        let config = setup.config;
        let limits = config.traffic_limits.as_ref();
        let mut rng = Pcg64Mcg::seed_from_u64(setup.rng_seed);
        let local = Record {
            name: setup.name,
            boot_id: BootId(rng.random()),
            incarnation: Incarnation(1),
            address: setup.address,
            locality: setup.locality,
            state: MemberState::Alive,
        };
        // Nodes that start together do not probe in step.
        let offset_s = config.probe_period.secs() * rng.random::<f64>();
        let first_period = now + TimeDelta::from_secs(offset_s);
        Node {
            fleet: setup.fleet,
            key_ring: setup.key_ring,
            seeds: setup.seeds,
            local,
            message_counter: 0,
            rng,
            table: MemberTable::new(config.max_members, candidate_retention(&config)),
            next_period: first_period,
            probes: OutstandingProbes::default(),
            probe_round: ProbeRound::default(),
            probe_retries: ProbeRetries::default(),
            local_health: LocalHealth::default(),
            verifications: Verifications::default(),
            rejoin: RejoinSchedule::new(now + TimeDelta::from_secs(FIRST_REJOIN_S)),
            dissemination: DisseminationQueue::new(limits),
            anti_entropy: AntiEntropy::new(first_period, limits),
            engines: EngineGossip::default(),
            engine_broadcast: EngineBroadcast::new(now, &config),
            views: ViewTracker::new(now),
            name_conflict: NameConflict::new(),
            request_limits: RequestLimits::new(&config),
            has_joined: false,
            last_heard: None,
            payloads: Vec::new(),
            datagrams: Vec::new(),
            events: Vec::new(),
            metrics: Metrics::default(),
            config,
        }
    }

    /// This node's own record, as it tells it to others.
    #[must_use]
    pub fn local_record(&self) -> &Record {
        &self.local
    }

    /// Other seeds, keys, times and limits from now on; no member is forgotten for it.
    pub fn reconfigure(&mut self, seeds: Vec<SocketAddr>, key_ring: KeyRing, config: Config) {
        self.request_limits = RequestLimits::new(&config);
        self.engine_broadcast.set_rate(&config);
        if config.traffic_limits != self.config.traffic_limits {
            let limits = config.traffic_limits.as_ref();
            self.dissemination.set_limits(limits);
            self.anti_entropy.set_limits(limits);
            self.table
                .set_candidate_retention(candidate_retention(&config));
        }
        self.seeds = seeds;
        self.key_ring = key_ring;
        self.config = config;
    }

    /// Datagrams to be sent.
    #[must_use]
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.datagrams)
    }

    /// What happened since the last call; what came beyond 256 events is lost.
    #[must_use]
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// When it last heard from another node of the fleet: how old its table is while it is partitioned.
    #[must_use]
    pub fn last_heard(&self) -> Option<Timestamp> {
        self.last_heard
    }

    /// Nodes in the fleet as this one holds it, itself among them.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        1 + self.table.fleet().count()
    }

    /// All other nodes that are held, candidates among them, in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = MemberSummary> {
        self.table.iter().map(|entry| MemberSummary {
            record: entry.record.clone(),
            confirmed: entry.confirmed,
            changed: entry.changed,
            last_ack: entry.last_ack,
        })
    }

    /// What is held of another node.
    #[must_use]
    pub fn member(&self, name: &Name) -> Option<&MemberEntry> {
        self.table.get(name)
    }

    /// Nodes held in all, candidates among them.
    #[must_use]
    pub fn table_len(&self) -> usize {
        self.table.len()
    }

    /// It leaves, and says so: others take it off at once and suspect nothing.
    pub fn leave(&mut self, now: Timestamp) {
        self.local.state = MemberState::Left;
        self.local.incarnation = self.local.incarnation.next();
        self.table.invalidate_view();
        let fleet = self.table.fleet().map(|entry| &entry.record);
        let recipients: Vec<SocketAddr> = sample(fleet, MAX_LEAVE_MESSAGES, &mut self.rng)
            .into_iter()
            .map(|record| record.address)
            .collect();
        for address in recipients {
            self.send(now, &Recipient::unnamed(address), Body::Gossip, Vec::new());
        }
    }

    fn emit(&mut self, event: Event) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }

    fn has_traffic_limits(&self) -> bool {
        self.config.traffic_limits.is_some()
    }

    /// A factor about one, so that nodes do not fall into step.
    fn jitter(&mut self) -> f64 {
        0.9 + 0.2 * self.rng.random::<f64>()
    }
}

/// With traffic limits witnesses of candidates come seldom.
fn candidate_retention(config: &Config) -> CandidateRetention {
    match config.traffic_limits {
        Some(_) => CandidateRetention::Long,
        None => CandidateRetention::Plain,
    }
}
