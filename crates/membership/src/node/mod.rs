//! One node of the membership protocol, as a state machine without I/O. It takes received datagrams
//! and the current time, and produces datagrams to send, events, and the time of its next step.
//! This file defines the struct; each submodule implements one flow of the protocol.
//!
//! A *candidate* is a node that gossip mentions and that is not a confirmed member yet. It joins
//! the fleet once it acks a direct probe or enough independent *witnesses*, which are members whose
//! gossip mentions it, agree on its record.

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

/// Maximum number of members that a leaving node notifies directly.
const MAX_LEAVE_MESSAGES: usize = 64;
/// Maximum number of events that are buffered until [`Node::take_events`] is called.
const MAX_EVENTS: usize = 256;
/// Delay in seconds from the start of the node to its first rejoin probes.
const FIRST_REJOIN_DELAY_S: f64 = 0.01;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The destination address.
    pub to: SocketAddr,
    /// The sealed message.
    pub bytes: Vec<u8>,
}

/// The parameters with which a node starts.
#[derive(Clone, Debug)]
pub struct NodeSetup {
    /// The fleet that the node belongs to.
    pub fleet: Name,
    /// The name of the node.
    pub name: Name,
    /// The address that the node advertises to others.
    pub address: SocketAddr,
    /// The zone and region of the node.
    pub locality: Locality,
    /// Addresses of nodes through which this node joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// The fleet's keys for message authentication.
    pub key_ring: KeyRing,
    /// Durations and limits of the protocol.
    pub config: Config,
    /// Seed of the random number generator, which also draws the boot id. It must differ between
    /// any two starts.
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
    /// Counter of the last message sent, by which receivers detect replays.
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
    /// Whether this node has confirmed any other node since its start.
    has_joined: bool,
    /// When this node last received a message from a member of the fleet.
    last_heard: Option<Timestamp>,
    payloads: Vec<ReceivedPayload>,
    datagrams: Vec<Datagram>,
    events: Vec<Event>,
    /// Counters since the start.
    pub metrics: Metrics,
}

impl Node {
    /// Creates a node that starts at `now`.
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
        // A random offset keeps nodes that start together from probing at the same times.
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
            rejoin: RejoinSchedule::new(now + TimeDelta::from_secs(FIRST_REJOIN_DELAY_S)),
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

    /// This node's own record, as it sends it to others.
    #[must_use]
    pub fn local_record(&self) -> &Record {
        &self.local
    }

    /// Replaces the seeds, the keys and the configuration. The member table is kept.
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

    /// Removes and returns the datagrams that are ready to be sent.
    #[must_use]
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.datagrams)
    }

    /// Removes and returns the events since the last call. Events beyond the first 256 are dropped.
    #[must_use]
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// When this node last received a message from a member of the fleet, or `None` if it never
    /// has. During a partition this tells the age of its member table.
    #[must_use]
    pub fn last_heard(&self) -> Option<Timestamp> {
        self.last_heard
    }

    /// The number of nodes in the fleet according to this node, including itself.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        1 + self.table.fleet().count()
    }

    /// All other nodes in the member table, including candidates, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = MemberSummary> {
        self.table.iter().map(|entry| MemberSummary {
            record: entry.record.clone(),
            confirmed: entry.confirmed,
            changed: entry.changed,
            last_ack: entry.last_ack,
        })
    }

    /// The table entry of another node, or `None` if the node is unknown.
    #[must_use]
    pub fn member(&self, name: &Name) -> Option<&MemberEntry> {
        self.table.get(name)
    }

    /// The number of entries in the member table, including candidates.
    #[must_use]
    pub fn table_len(&self) -> usize {
        self.table.len()
    }

    /// Leaves the fleet and announces it, so that other nodes remove this node at once instead of
    /// suspecting it first.
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

    /// A random factor between 0.9 and 1.1 that keeps the periods of nodes from synchronizing.
    fn jitter(&mut self) -> f64 {
        0.9 + 0.2 * self.rng.random::<f64>()
    }
}

/// Selects the longer retention with traffic limits, under which a candidate's witnesses arrive too
/// rarely for the plain one.
fn candidate_retention(config: &Config) -> CandidateRetention {
    match config.traffic_limits {
        Some(_) => CandidateRetention::Long,
        None => CandidateRetention::Plain,
    }
}
