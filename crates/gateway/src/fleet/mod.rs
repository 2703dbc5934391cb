//! UDP between gateways on the loop. What comes is read in bounded parts a turn; what goes out never waits. What it all
//! means is decided in `crates/control`.

pub mod files;
pub mod parts;

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::UdpSocket;
use std::rc::Rc;

use ::control::{Control, Times};
use ::membership::{EngineStatus, Event, MemberState, Name, Node, NodeSetup};
use admission::interface::*;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use operator_config::FleetTerms;
use thiserror::Error;
use tracing::{info, warn};

use crate::clock::boottime_now;
use crate::discovery::registry::EngineRegistry;
use crate::socket::{EventLoopHandle, EventSource, LoopEvents};
use files::FleetKeysError;
use parts::Parts;

/// Datagrams read in one turn: a flood takes no more of it than checking so many codes.
const READS: usize = 64;
/// Events in the log a second; the rest are counted.
const LINES_PER_S: f64 = 5.0;
/// How often engines' health is compared with what was told of it.
const LOOK_S: f64 = 0.1;

#[derive(Debug, Error)]
pub enum FleetError {
    #[error("fleet: {0}: {1}")]
    Bind(std::net::SocketAddr, io::Error),
    #[error("fleet: {0}")]
    Keys(#[from] FleetKeysError),
}

pub struct Fleet {
    terms: FleetTerms,
    /// Membership, and budgets where these are divided among all.
    control: Control<Parts>,
    socket: Rc<UdpSocket>,
    handle: EventLoopHandle,
    token: Option<RegistrationToken>,
    /// The machine may hold datagrams that no edge will announce again.
    unread: bool,
    look_at: Timestamp,
    /// Benches of this gateway's own that were told, and until when; leaves as they end.
    told: BTreeMap<EngineId, Timestamp>,
    lines: (Timestamp, f64),
    pub unlogged: u64,
    /// Datagrams that the machine would not take.
    pub unsent: u64,
}

impl Fleet {
    /// # Errors
    /// The address cannot be bound, or a key cannot be used.
    pub fn start(
        now: Timestamp,
        handle: &EventLoopHandle,
        terms: &FleetTerms,
        name: &Name,
        seed: u64,
    ) -> Result<Self, FleetError> {
        let unable = |error| FleetError::Bind(terms.bind, error);
        let socket = UdpSocket::bind(terms.bind).map_err(unable)?;
        socket.set_nonblocking(true).map_err(unable)?;
        let socket = Rc::new(socket);
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Edge);
        let note = |_, _: &mut _, ready: &mut LoopEvents| {
            ready.sources.push(EventSource::PeerGateways);
            Ok(PostAction::Continue)
        };
        let token = handle
            .insert_source(source, note)
            .map_err(|e| unable(io::Error::other(e.error)))?;
        let ring = files::read(&terms.keys_folder)?;
        let gateway = Node::new(
            now,
            NodeSetup {
fleet: terms.fleet.clone(),
name: name.clone(),
address: terms.advertise,
locality: terms.place.clone(),
seeds: terms.seeds.clone(),
key_ring: ring,
config: terms.paces.clone(),
rng_seed: // The configuration's seed may be one text for many starts: a life must not be.
            seed ^ u64::from(std::process::id()) << 32
                ^ (now - Timestamp::from_secs(0.0)).secs().to_bits(),
},
        );
        info!(%name, bind = %terms.bind, advertise = %terms.advertise, "fleet");
        Ok(Fleet {
            terms: terms.clone(),
            control: Control::new(gateway),
            socket,
            handle: handle.clone(),
            token: Some(token),
            unread: true,
            look_at: now,
            told: BTreeMap::new(),
            lines: (now, LINES_PER_S),
            unlogged: 0,
            unsent: 0,
        })
    }

    /// Seeds, keys and paces from now on. Name, addresses and place wait for a restart; they are named.
    ///
    /// # Errors
    /// A key cannot be used: all stays as it was.
    pub fn change(&mut self, terms: &FleetTerms) -> Result<Vec<&'static str>, FleetError> {
        let ring = files::read(&terms.keys_folder)?;
        self.control
            .membership_mut()
            .reconfigure(terms.seeds.clone(), ring, terms.paces.clone());
        let old = std::mem::replace(&mut self.terms, terms.clone());
        let same = [
            ("fleet", old.fleet == terms.fleet),
            ("name", old.name == terms.name),
            ("bind", old.bind == terms.bind),
            ("advertise", old.advertise == terms.advertise),
            ("zone or region", old.place == terms.place),
        ];
        Ok(same
            .into_iter()
            .filter(|(_, same)| !same)
            .map(|(name, _)| name)
            .collect())
    }

    pub fn news(&mut self) {
        self.unread = true;
    }

    pub fn next_due(&self, now: Timestamp) -> Timestamp {
        if self.unread {
            return now;
        }
        self.control
            .due(Times {
                now,
                steady: boottime_now(),
            })
            .min(self.look_at)
    }

    /// Reads what came, does what is due, sends what follows.
    pub fn turn(&mut self, now: Timestamp) {
        let mut bytes = [0; 2048];
        for _ in 0..READS {
            if !self.unread {
                break;
            }
            match self.socket.recv_from(&mut bytes) {
                // What counts for nothing is counted by its reason.
                Ok((size, from)) => drop(self.control.receive(now, from, &bytes[..size])),
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.unread = false,
                // An earlier datagram came to nobody; nothing is wrong with this socket.
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionRefused
                    ) => {}
                Err(_) => break,
            }
        }
        self.control.turn(
            Times {
                now,
                steady: boottime_now(),
            },
            !self.unread,
        );
        self.control.leases_mut().into_iter().for_each(Parts::log);
        self.flush();
        self.log(now);
    }

    /// Budgets are divided among all from now on.
    pub fn join(&mut self, parts: Parts) {
        self.control.set_leases(parts);
    }

    pub fn parts(&mut self) -> Option<&mut Parts> {
        self.control.leases_mut()
    }

    fn flush(&mut self) {
        for datagram in self.control.take_out() {
            let sent = self.socket.send_to(&datagram.bytes, datagram.to);
            self.unsent += u64::from(sent.is_err());
        }
    }

    /// Engines that this gateway lost statements to, or that work again, go to the others; whom enough of them doubt
    /// comes back, by this gateway's own numbers.
    pub fn engines(
        &mut self,
        now: Timestamp,
        health: impl Iterator<Item = EngineHealth>,
        names: &EngineRegistry,
    ) -> Vec<OutlierReport> {
        if now < self.look_at {
            return Vec::new();
        }
        self.look_at = now + TimeDelta::from_secs(LOOK_S);
        let benched: BTreeMap<EngineId, Timestamp> = health
            .filter_map(|of| Some((of.id, of.ejected_until.filter(|_| !of.by_gossip)?)))
            .collect();
        for (id, until) in &benched {
            if self.told.get(id).is_none_or(|told| told < until)
                && let Some(uid) = names.uid(*id)
            {
                self.control
                    .membership_mut()
                    .report_engine(now, uid, EngineStatus::Failing);
            }
        }
        for id in self.told.keys().filter(|id| !benched.contains_key(id)) {
            names.uid(*id).into_iter().for_each(|uid| {
                self.control
                    .membership_mut()
                    .report_engine(now, uid, EngineStatus::Recovered)
            });
        }
        self.told = benched;
        let doubts = self
            .control
            .membership_mut()
            .engine_outliers(now)
            .into_iter();
        doubts
            .filter_map(|doubt| {
                Some(OutlierReport {
                    id: names.id(&doubt.engine)?,
                    seen: doubt.seen,
                    until: doubt.until,
                })
            })
            .collect()
    }

    /// Others are told that it goes; they suspect nothing.
    pub fn leave(&mut self, now: Timestamp) {
        self.control.leave(Times {
            now,
            steady: boottime_now(),
        });
        self.flush();
    }

    pub fn gateway(&mut self) -> &mut Node {
        self.control.membership_mut()
    }

    /// As the other counters are printed.
    pub fn counters(&mut self, now: Timestamp) -> String {
        let each = self.control.membership().metrics.named_counts();
        let mut text: String = each
            .iter()
            .map(|(name, count)| format!("fleet_{name}={count} "))
            .collect();
        text += &format!(
            "fleet_unlogged={} fleet_unsent={} fleet_size={} ",
            self.unlogged,
            self.unsent,
            self.control.membership().fleet_size()
        );
        text += &self
            .control
            .leases_mut()
            .map(Parts::counters)
            .unwrap_or_default();
        text += &format!("fleet_uncarried={} ", self.control.undelivered);
        if let Some(heard) = self.control.membership().last_heard() {
            text += &format!("fleet_heard_ms_ago={:.0} ", (now - heard).secs() * 1e3);
        }
        text += &format!(
            "fleet_table={} fleet_standing={} ",
            self.control.membership().table_len(),
            self.control
                .membership()
                .view_state()
                .name()
                .replace(' ', "_")
        );
        text
    }

    fn log(&mut self, now: Timestamp) {
        let gone = (now - self.lines.0).secs().max(0.0);
        self.lines = (
            now,
            (self.lines.1 + gone * LINES_PER_S).min(LINES_PER_S * 4.0),
        );
        for event in self.control.membership_mut().take_events() {
            if self.lines.1 < 1.0 {
                self.unlogged += 1;
                continue;
            }
            self.lines.1 -= 1.0;
            match event {
                Event::MemberChanged {
                    name,
                    state,
                    incarnation,
                } => {
                    let bad = matches!(state, MemberState::Suspect | MemberState::Dead);
                    if bad {
                        warn!(gateway = %name, %state, incarnation = incarnation.0, "fleet: another gateway");
                    } else {
                        info!(gateway = %name, %state, incarnation = incarnation.0, "fleet: another gateway");
                    }
                }
                Event::MemberForgotten(name) => info!(gateway = %name, "fleet: forgotten"),
                Event::ViewStateChanged(standing) => {
                    info!(standing = standing.name(), why = %standing, size = self.control.membership().fleet_size(), "fleet: standing");
                }
                Event::Refuted(incarnation) => {
                    warn!(
                        incarnation = incarnation.0,
                        "fleet: others held this gateway for gone"
                    );
                }
                Event::LoopStalled(span) => {
                    warn!(seconds = span.secs(), "fleet: this loop stood still")
                }
                Event::NameConflict { .. } => {
                    warn!(name = %self.control.membership().local_record().name, "fleet: another process has this name; this one stays out for now");
                }
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.token
            .take()
            .into_iter()
            .for_each(|token| self.handle.remove(token));
    }
}
