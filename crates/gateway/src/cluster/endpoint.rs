//! The UDP socket to the other gateways, driven by the event loop. Reads are bounded per turn, and
//! sends never block.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use ::control::{ClockReadings, ControlPlane, ReceiveQueue};
use ::membership::{Name, Node, NodeSetup};
use admission::interface::{EngineHealth, OutlierReport, Timestamp};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use operator_config::MembershipConfig;
use thiserror::Error;
use tracing::info;

use super::engine_gossip::EngineGossip;
use super::event_log::EventLog;
use super::key_folder::{self, KeyFolderError};
use super::quota_leases::QuotaLeases;
use crate::clock::boottime_now;
use crate::discovery::registry::EngineRegistry;
use crate::machine_errors::is_transfer_shortage;
use crate::socket::{EventLoopHandle, EventSource, LoopEvents};
use crate::socket_queries::{self, ReceivedDatagram};

/// Datagrams read per turn. A flood costs a turn no more than the verification of this many
/// authentication tags.
const MAX_READS_PER_TURN: usize = 64;
/// Larger than any datagram that a gateway sends. A longer datagram is truncated, and then
/// rejected.
const RECEIVE_BUFFER_BYTES: usize = 2048;

/// Why the endpoint cannot start or be reconfigured.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// The address cannot be bound, or its socket cannot be watched.
    #[error("fleet: cannot set up the UDP socket on {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// The key folder cannot be used.
    #[error("fleet: {0}")]
    Keys(#[from] KeyFolderError),
}

impl ClusterError {
    /// Whether the error may be transient, so that a retry makes sense.
    #[must_use]
    pub fn may_be_transient(&self) -> bool {
        match self {
            ClusterError::Bind(..) => true,
            ClusterError::Keys(error) => error.may_be_transient(),
        }
    }
}

/// The socket to the other gateways, with the control plane whose datagrams it carries.
pub struct ClusterEndpoint {
    config: MembershipConfig,
    control: ControlPlane<QuotaLeases>,
    socket: Rc<UdpSocket>,
    handle: EventLoopHandle,
    /// The socket's registration with the event loop. `None` once it is removed.
    registration: Option<RegistrationToken>,
    /// The socket may hold datagrams that no further edge-triggered event will report.
    readable: bool,
    engine_gossip: EngineGossip,
    event_log: EventLog,
    /// Datagrams that the kernel did not accept.
    send_failures: u64,
}

impl ClusterEndpoint {
    /// Binds the socket and starts membership. Quota leases are added with
    /// [`ClusterEndpoint::set_quota_leases`].
    ///
    /// # Errors
    /// The address cannot be bound, or a key cannot be used.
    pub fn bind(
        now: Timestamp,
        handle: &EventLoopHandle,
        config: &MembershipConfig,
        name: &Name,
        seed: u64,
    ) -> Result<Self, ClusterError> {
        let bind_error = |error| ClusterError::Bind(config.bind, error);
        let key_ring = key_folder::read_settled(&config.keys_folder)?;
        let socket = UdpSocket::bind(config.bind).map_err(bind_error)?;
        socket.set_nonblocking(true).map_err(bind_error)?;
        let socket = Rc::new(socket);
        let registration = register(handle, &socket).map_err(bind_error)?;
        let setup = NodeSetup {
            fleet: config.fleet.clone(),
            name: name.clone(),
            address: config.advertise,
            locality: config.locality.clone(),
            seeds: config.seeds.clone(),
            key_ring,
            config: config.protocol.clone(),
            rng_seed: boot_seed(now, seed),
        };
        info!(%name, bind = %config.bind, advertise = %config.advertise, "membership: started");
        Ok(ClusterEndpoint {
            config: config.clone(),
            control: ControlPlane::new(Node::new(now, setup)),
            socket,
            handle: handle.clone(),
            registration: Some(registration),
            readable: true,
            engine_gossip: EngineGossip::new(now),
            event_log: EventLog::new(now),
            send_failures: 0,
        })
    }

    /// Applies the seeds, the keys and the protocol's timing. Returns the changed settings that
    /// take effect only after a restart.
    ///
    /// # Errors
    /// A key cannot be used. Nothing has changed then.
    pub fn reconfigure(
        &mut self,
        config: &MembershipConfig,
    ) -> Result<Vec<&'static str>, ClusterError> {
        let key_ring = key_folder::read_settled(&config.keys_folder)?;
        self.control.membership_mut().reconfigure(
            config.seeds.clone(),
            key_ring,
            config.protocol.clone(),
        );
        let old = std::mem::replace(&mut self.config, config.clone());
        let differs = [
            ("fleet", old.fleet != config.fleet),
            ("name", old.name != config.name),
            ("bind", old.bind != config.bind),
            ("advertise", old.advertise != config.advertise),
            ("zone or region", old.locality != config.locality),
        ];
        let changed = differs.into_iter().filter(|(_, differs)| *differs);
        Ok(changed.map(|(setting, _)| setting).collect())
    }

    /// Handles a readiness event of the socket. The next turn reads the datagrams.
    pub fn set_readable(&mut self) {
        self.readable = true;
    }

    /// When the next turn is due.
    #[must_use]
    pub fn next_wakeup(&self, now: Timestamp) -> Timestamp {
        if self.readable {
            return now;
        }
        let control = self.control.next_wakeup(clock_readings(now));
        control.min(self.engine_gossip.next_exchange())
    }

    /// Reads the received datagrams, runs the due work of the control plane, sends its datagrams
    /// and logs its events.
    pub fn turn(&mut self, now: Timestamp) {
        self.read(now);
        let receive_queue = if self.readable {
            ReceiveQueue::Pending
        } else {
            ReceiveQueue::Drained
        };
        self.control.turn(clock_readings(now), receive_queue);
        if let Some(leases) = self.control.quota_owner_mut() {
            leases.log_events();
        }
        self.flush();
        self.event_log.log(now, self.control.membership_mut());
    }

    fn read(&mut self, now: Timestamp) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            if !self.readable {
                return;
            }
            match socket_queries::receive_datagram(&*self.socket, &mut buffer) {
                // Membership counts rejected datagrams by reason. A datagram without a sender
                // address cannot be answered, and is dropped.
                Ok(ReceivedDatagram { length, from }) => {
                    if let Some(from) = from {
                        let _ = self.control.receive(now, from, &buffer[..length]);
                    }
                }
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock => self.readable = false,
                    // The kernel is out of buffers. Every further datagram raises a new event.
                    _ if is_transfer_shortage(&error) => self.readable = false,
                    // An ICMP error about an earlier datagram that this gateway sent. The next read
                    // may succeed.
                    _ => {}
                },
            }
        }
    }

    fn flush(&mut self) {
        for datagram in self.control.take_datagrams() {
            let sent = self.socket.send_to(&datagram.bytes, datagram.to);
            if sent.is_err() {
                self.send_failures += 1;
            }
        }
    }

    /// Takes part in the lease protocol from now on.
    pub fn set_quota_leases(&mut self, leases: QuotaLeases) {
        self.control.set_quota_owner(leases);
    }

    /// The quota leases, or `None` when no budget is shared.
    pub fn quota_leases(&mut self) -> Option<&mut QuotaLeases> {
        self.control.quota_owner_mut()
    }

    /// Tells the other gateways which engines this one ejected or uses again. Returns the engines
    /// that enough other gateways report as failing.
    pub fn exchange_engine_health(
        &mut self,
        now: Timestamp,
        health: impl Iterator<Item = EngineHealth>,
        registry: &EngineRegistry,
    ) -> Vec<OutlierReport> {
        self.engine_gossip
            .exchange(now, health, registry, self.control.membership_mut())
    }

    /// Leaves the fleet gracefully: the lease is returned, and the other gateways do not suspect
    /// this one.
    pub fn leave(&mut self, now: Timestamp) {
        self.control.leave(clock_readings(now));
        self.flush();
    }

    /// This gateway's membership.
    pub fn membership(&mut self) -> &mut Node {
        self.control.membership_mut()
    }

    /// All counters as `name=value` pairs, each followed by a space. Operators' tools parse the
    /// names.
    pub fn counters(&mut self, now: Timestamp) -> String {
        let membership = self.control.membership();
        let mut text: String = membership
            .metrics
            .named_counts()
            .iter()
            .map(|(name, count)| format!("fleet_{name}={count} "))
            .collect();
        text += &format!(
            "fleet_unlogged={} fleet_unsent={} fleet_size={} ",
            self.event_log.suppressed(),
            self.send_failures,
            membership.fleet_size()
        );
        if let Some(leases) = self.control.quota_owner_mut() {
            text += &leases.counters();
        }
        text += &format!("fleet_uncarried={} ", self.control.undelivered);
        let membership = self.control.membership();
        if let Some(last_heard) = membership.last_heard() {
            let age_ms = (now - last_heard).secs() * 1e3;
            text += &format!("fleet_heard_ms_ago={age_ms:.0} ");
        }
        text += &format!(
            "fleet_table={} fleet_standing={} ",
            membership.table_len(),
            membership.view_state().name().replace(' ', "_")
        );
        text
    }
}

impl Drop for ClusterEndpoint {
    fn drop(&mut self) {
        if let Some(registration) = self.registration.take() {
            self.handle.remove(registration);
        }
    }
}

fn register(handle: &EventLoopHandle, socket: &Rc<UdpSocket>) -> io::Result<RegistrationToken> {
    let source = Generic::new(socket.clone(), Interest::READ, Mode::Edge);
    let on_readable = |_, _: &mut _, events: &mut LoopEvents| {
        events.sources.push(EventSource::PeerGateways);
        Ok(PostAction::Continue)
    };
    handle
        .insert_source(source, on_readable)
        .map_err(|error| io::Error::other(error.error))
}

fn clock_readings(now: Timestamp) -> ClockReadings {
    ClockReadings {
        now,
        steady: boottime_now(),
    }
}

/// Derives the seed of the random boot id. The configuration's seed may be the same at every start,
/// but the boot id must differ, so the process id and the start time are mixed in.
fn boot_seed(now: Timestamp, seed: u64) -> u64 {
    let process = u64::from(std::process::id()) << 32;
    let start = (now - Timestamp::from_secs(0.0)).secs().to_bits();
    seed ^ process ^ start
}
