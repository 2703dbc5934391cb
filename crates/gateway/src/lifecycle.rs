//! The program from start to exit, as named states of one object.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::path::PathBuf;

use admission::interface::*;
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, Interest, Mode, PostAction, RegistrationToken};
use identity::{KeyIndexError, TokenVerifier};
use settings::SettingsError;
use thiserror::Error;
use tracing::{info, warn};

use crate::clients::{ProgressReports, SessionId, SessionLimits, Sessions};
use crate::clock::{Clock, unix_now};
use crate::config::{Config, Operated};
use crate::discovery::DiscoveryClient;
use crate::engines::EngineTransport;
use crate::fleet::parts::Parts;
use crate::fleet::{Fleet, FleetError};
use crate::keywatch::{self, Known, WatchError};
use crate::service::Service;
use crate::socket::{EventSource, LoopEvents};

/// Network facts of a planned restart. After SIGTERM statements go on coming for 0.7 s; the kill comes no sooner
/// than the longest deadline, but 3 s at most, after that.
const STILL_COMING_S: f64 = 0.7;
const LONGEST_S: f64 = 3.0;
/// How long before the kill all is answered, as a part of that limit and at most; half of it is left to slow
/// readers, the other half to a machine that stands still.
const ROOM_PART: f64 = 0.25;
const ROOM_S: f64 = 0.3;
/// Clients hold a third of the descriptors at most; old sessions that linger after a restart and ours that
/// read their last word come on top. Engines share what the board and the program itself leave.
const CLIENT_SHARE: f64 = 0.5;
const OWN_DESCRIPTORS: usize = 24;
/// Part of the memory that what clients have begun to send, all together, may take.
const UNREAD_SHARE: f64 = 0.1;
/// Connections that may wait to be taken, and how many are taken a turn: between them the others are read.
const BACKLOG: i32 = 1024;
const ACCEPTS: usize = 32;

/// How long a start waits for its first list. Then it listens all the same, and denies until one comes: who is not
/// ready within 10 s of a restart is missed, and a discovery service that is down at a start may be down for long.
const FIRST_LIST_S: f64 = 5.0;
/// How long those that rest have to see that we end, and to end too.
const PART_S: f64 = 0.3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// No list yet, so nothing to decide on: nobody can connect until then.
    Starting {
        until: Timestamp,
    },
    /// Listening; nothing taken yet.
    Ready,
    Serving,
    /// SIGTERM came: what still comes until then is taken, and all is answered by the end.
    Draining {
        until: Timestamp,
        end: Timestamp,
    },
    /// All is answered and nobody can connect any more: sessions are shut, and read until their clients close too.
    Parting {
        end: Timestamp,
    },
    Exit,
}

#[derive(Debug, Error)]
pub enum StartError {
    #[error("listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    #[error("event loop: {0}")]
    Loop(#[from] calloop::Error),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Known(#[from] WatchError),
    #[error(transparent)]
    Keys(#[from] KeyIndexError),
    #[error(transparent)]
    Fleet(#[from] FleetError),
}

pub struct Lifecycle {
    phase: Phase,
    event_loop: EventLoop<'static, LoopEvents>,
    /// From `Ready` on.
    listener: Option<TcpListener>,
    /// The backlog may hold more than we had room for; no further edge tells of it.
    backlog: bool,
    /// No room for what the backlog holds.
    crowded: bool,
    /// Accepting failed, and was logged once.
    short: bool,
    clock: Clock,
    /// The one timer, set to whatever is due first: all that is due ends in the same turn.
    timer: Option<(Timestamp, RegistrationToken)>,
    service: Service,
    /// Where the configuration comes from, and what of it stands; its list has gone to the board.
    source: PathBuf,
    config: Config,
    operated: Operated,
    longest: TimeDelta,
}

/// The signals that a gateway heeds. Asked for before all else: one that comes while the program still starts waits,
/// where it would have ended the program by the machine's own rule.
///
/// # Errors
/// The machine gives none.
pub fn signals() -> Result<Signals, StartError> {
    let heeded = [
        Signal::SIGTERM,
        Signal::SIGINT,
        Signal::SIGHUP,
        Signal::SIGUSR1,
    ];
    Ok(Signals::new(&heeded)?)
}

/// When all is answered after SIGTERM, and when the program ends at the latest.
pub fn drained(longest: TimeDelta) -> (TimeDelta, TimeDelta) {
    let longest = longest.secs().min(LONGEST_S);
    let room = (longest * ROOM_PART).min(ROOM_S);
    let by = STILL_COMING_S + longest - room;
    (
        TimeDelta::from_secs(by),
        TimeDelta::from_secs(by + room / 2.0),
    )
}

impl Lifecycle {
    /// Makes all parts and tells them what the configuration knows.
    pub fn start(
        signals: Signals,
        source: PathBuf,
        mut config: Config,
        operated: Operated,
    ) -> Result<Self, StartError> {
        let clock = Clock::start();
        let now = clock.now();
        let event_loop: EventLoop<'static, LoopEvents> = EventLoop::try_new()?;
        let handle = event_loop.handle();
        let note = |event: calloop::signals::Event, _: &mut (), ready: &mut LoopEvents| {
            ready.signals.push(event.signal())
        };
        handle.insert_source(signals, note).map_err(|e| e.error)?;
        let client_share = (config.sockets as f64 * CLIENT_SHARE) as usize;
        let engine_share = config
            .sockets
            .saturating_sub(client_share + OWN_DESCRIPTORS)
            .max(1);
        let unread = (config.memory_mb * UNREAD_SHARE * f64::from(1 << 20)) as usize;
        let limits = SessionLimits {
            max_sessions: client_share,
            max_unread_bytes: unread,
        };
        // Only what waits in queues has progress to report.
        let progress_reports = if operated.queues.is_some() {
            ProgressReports::Offered
        } else {
            ProgressReports::Off
        };
        let clients = Sessions::new(&handle, limits, progress_reports, now);
        let engines = EngineTransport::new(&handle, config.settings.links()?, engine_share);
        let discovery = DiscoveryClient::new(
            &handle,
            config.board,
            config.known.last_revision,
            config.seed,
            now,
        );
        let mut service = Service::new(
            now,
            &config.settings,
            config.seed,
            clients,
            engines,
            discovery,
            operated.queues.as_ref(),
        )?;
        service.told(now, &std::mem::take(&mut config.known.events));
        if let Some(callers) = &operated.callers {
            let known = keywatch::read(callers)?;
            let mut verifier = TokenVerifier::new(unix_now(), callers.terms);
            verifier.update(
                unix_now(),
                &known.files.index,
                &known.files.public,
                known.files.revoked,
            )?;
            info!(
                keys = known.files.index.keys.len(),
                "callers are to be known"
            );
            service.set_token_verifier(verifier);
            service.clients.require_tls(known.tls);
            let note = |event, _: &mut (), ready: &mut LoopEvents| {
                if let calloop::channel::Event::Msg(known) = event {
                    ready.key_changes.push(known);
                }
            };
            handle
                .insert_source(keywatch::watch(callers.clone()), note)
                .map_err(|e| e.error)?;
        }
        if let Some((name, terms)) = &operated.fleet {
            let mut fleet = Fleet::start(now, &handle, terms, name, config.seed)?;
            if let Some(terms) = &operated.shares {
                let classes = config.settings.class_names()?;
                let (own, members) = (
                    fleet.gateway().local_record().clone(),
                    operated.member_names(),
                );
                let terms = terms.clone();
                let parts = Parts::new(
                    clock,
                    own.name,
                    own.boot_id,
                    terms,
                    &classes,
                    &members,
                    config.seed,
                );
                fleet.join(parts);
                info!("budgets are divided among all gateways");
            }
            service.join(fleet);
        }
        info!(name = config.name, "starting");
        Ok(Lifecycle {
            phase: Phase::Starting {
                until: now + TimeDelta::from_secs(FIRST_LIST_S),
            },
            event_loop,
            listener: None,
            backlog: false,
            crowded: false,
            short: false,
            clock,
            timer: None,
            service,
            longest: config.settings.longest_deadline()?,
            source,
            config,
            operated,
        })
    }

    fn listen(&mut self) -> Result<(), StartError> {
        let unable = |error| StartError::Listen(self.config.listen, error);
        let listener = TcpListener::bind(self.config.listen).map_err(unable)?;
        // The library asks for 128; what finds no place there is only tried again a second later.
        rustix::net::listen(&listener, BACKLOG).map_err(|e| unable(e.into()))?;
        listener.set_nonblocking(true).map_err(unable)?;
        let descriptor = listener.as_fd().try_clone_to_owned().map_err(unable)?;
        let source = Generic::new(descriptor, Interest::READ, Mode::Edge);
        let note = |_, _: &mut _, ready: &mut LoopEvents| {
            ready.sources.push(EventSource::Listener);
            Ok(PostAction::Continue)
        };
        self.event_loop
            .handle()
            .insert_source(source, note)
            .map_err(|e| e.error)?;
        self.listener = Some(listener);
        Ok(())
    }

    pub fn run(mut self) -> Result<(), StartError> {
        let (mut ready, mut busy) = (LoopEvents::default(), 0.0);
        while self.phase != Phase::Exit {
            let due = self.due();
            self.arm(due)?;
            self.event_loop.dispatch(None, &mut ready)?;
            if std::mem::take(&mut ready.timer_fired) {
                self.timer = None;
            }
            let now = self.clock.now();
            let counters = &mut self.service.counters;
            counters.turns += 1;
            counters.late_turns += u64::from((now - due).secs() > 0.005);
            std::mem::take(&mut ready.signals)
                .into_iter()
                .for_each(|signal| self.signal(now, signal));
            std::mem::take(&mut ready.key_changes)
                .into_iter()
                .for_each(|known| self.known(known));
            for peer in std::mem::take(&mut ready.sources) {
                self.ready(now, peer);
            }
            self.accept(now);
            self.service.turn(now);
            self.step(now)?;
            busy += (self.clock.now() - now).secs();
            self.service.counters.busy_ms = (busy * 1e3) as u64;
        }
        self.print();
        Ok(())
    }

    fn arm(&mut self, due: Timestamp) -> Result<(), StartError> {
        let handle = self.event_loop.handle();
        match self.timer.take_if(|timer| timer.0 != due) {
            None if self.timer.is_some() => return Ok(()),
            stale => stale.into_iter().for_each(|timer| handle.remove(timer.1)),
        }
        let fired = |_, _: &mut (), ready: &mut LoopEvents| {
            ready.timer_fired = true;
            TimeoutAction::Drop
        };
        let timer = Timer::from_deadline(self.clock.to_instant(due));
        self.timer = Some((
            due,
            handle.insert_source(timer, fired).map_err(|e| e.error)?,
        ));
        Ok(())
    }

    fn due(&self) -> Timestamp {
        let now = self.clock.now();
        let due = self.service.next_due(now);
        let due = if self.backlog && !self.crowded {
            now
        } else {
            due
        };
        match self.phase {
            Phase::Draining { until, .. } if until > now => due.min(until),
            Phase::Draining { end, .. } | Phase::Parting { end } => due.min(end),
            Phase::Starting { until } => due.min(until),
            _ => due,
        }
    }

    fn ready(&mut self, now: Timestamp, peer: EventSource) {
        let service = &mut self.service;
        match peer {
            EventSource::Listener => self.backlog = true,
            EventSource::Client(connection_id) => {
                service
                    .clients
                    .on_ready(now, SessionId(connection_id), &mut service.counters);
            }
            EventSource::Engine(at) => {
                service
                    .engines
                    .on_socket_event(now, at, &mut service.counters)
            }
            EventSource::Discovery(poll) => {
                service.discovery.on_ready(now, poll, &mut service.counters)
            }
            EventSource::PeerGateways => service.fleet().into_iter().for_each(Fleet::news),
        }
    }

    fn accept(&mut self, now: Timestamp) {
        let Some(listener) = &self.listener else {
            return;
        };
        let Service {
            clients, counters, ..
        } = &mut self.service;
        for _ in 0..ACCEPTS {
            self.crowded = self.backlog && !clients.has_room();
            if !self.backlog || self.crowded {
                return;
            }
            match listener.accept() {
                Ok((stream, from)) => {
                    self.short = false;
                    clients.accept(now, stream, from.ip(), counters);
                }
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => self.backlog = false,
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => {}
                    _ => {
                        // Out of descriptors: they wait in the backlog, and the next turn tries again.
                        if !std::mem::replace(&mut self.short, true) {
                            warn!(%error, "accept");
                        }
                        self.crowded = true;
                        return;
                    }
                },
            }
        }
    }

    fn signal(&mut self, now: Timestamp, signal: Signal) {
        match signal {
            Signal::SIGUSR1 => self.print(),
            Signal::SIGHUP => self.reload(now),
            _ if matches!(
                self.phase,
                Phase::Draining { .. } | Phase::Parting { .. } | Phase::Exit
            ) => {}
            _ => {
                info!("draining");
                let (by, end) = drained(self.longest);
                let until = now + TimeDelta::from_secs(STILL_COMING_S);
                self.phase = Phase::Draining {
                    until,
                    end: now + end,
                };
                self.service.drain_deadline(now + by);
                self.service
                    .fleet()
                    .into_iter()
                    .for_each(|fleet| fleet.leave(now));
            }
        }
    }

    /// The file again, in every phase: a file that cannot be used leaves the old configuration standing, and of
    /// a usable one only the board and the list are taken, since nothing in hand may be touched.
    fn reload(&mut self, now: Timestamp) {
        match Config::read(&self.source) {
            Err(error) => {
                self.service.counters.reloads_failed += 1;
                warn!(%error, "the configuration cannot be used; the old one stands");
            }
            Ok(config) => {
                let kept = self.config.fixed_differences(&config);
                info!(board = %config.board, known = config.known.last_revision, ?kept, "configuration read again");
                let Service {
                    discovery,
                    counters,
                    ..
                } = &mut self.service;
                counters.reloads += 1;
                discovery.reconfigure(now, config.board, config.known, counters);
            }
        }
        self.reload_operator(now);
    }

    /// Changed key files and certificates, whole or not at all: the last good ones stand.
    fn known(&mut self, known: Result<Known, WatchError>) {
        let refused = match known {
            Err(error) => Some(error.to_string()),
            Ok(Known { files, tls }) => {
                let verifier = self.service.token_verifier();
                let taken = verifier.map(|verifier| {
                    verifier.update(unix_now(), &files.index, &files.public, files.revoked)
                });
                let refused = taken.and_then(Result::err).map(|error| error.to_string());
                if refused.is_none() {
                    self.service.clients.require_tls(tls);
                }
                refused
            }
        };
        let counters = &mut self.service.counters;
        match refused {
            None => {
                counters.key_files += 1;
                info!("key files taken in");
            }
            Some(error) => {
                counters.key_files_failed += 1;
                warn!(
                    error,
                    "the key files cannot be used; the last good ones stand"
                );
            }
        }
    }

    /// The operator's file again, whole or not at all. What is off or on stays so: sessions were told at their start.
    fn reload_operator(&mut self, now: Timestamp) {
        let Some(path) = self.operated.file.clone() else {
            return;
        };
        match Operated::read(Some(path), &self.config) {
            Err(error) => {
                self.service.counters.reloads_failed += 1;
                warn!(%error, "the operator's file cannot be used; the old one stands");
            }
            Ok(operated) => {
                self.reload_fleet(&operated);
                self.reload_shares(&operated);
                self.reload_queues(now, operated);
            }
        }
    }

    fn reload_fleet(&mut self, operated: &Operated) {
        match (self.service.fleet(), &operated.fleet) {
            (Some(fleet), Some((_, terms))) => match fleet.change(terms) {
                Ok(kept) => info!(?kept, seeds = terms.seeds.len(), "fleet: new terms"),
                Err(error) => {
                    self.service.counters.reloads_failed += 1;
                    warn!(%error, "the fleet's keys cannot be used; the old ones stand");
                }
            },
            (None, None) => {}
            _ => warn!("the fleet is joined and left by a restart only; it stays as it was"),
        }
    }

    /// Budgets by their names; how long leases last, who votes and how many may run wait for a restart of all.
    fn reload_shares(&mut self, operated: &Operated) {
        let members = operated.member_names();
        match (
            self.service.fleet().and_then(Fleet::parts),
            &operated.shares,
        ) {
            (Some(parts), Some(terms)) => {
                let kept = parts.change(terms.clone(), &members);
                info!(?kept, budgets = terms.budgets.len(), "shares: new budgets");
                self.operated.shares = operated.shares.clone();
            }
            (None, None) => {}
            _ => warn!("budgets are divided or not from the start on; they stay as they were"),
        }
    }

    fn reload_queues(&mut self, now: Timestamp, operated: Operated) {
        match (&self.operated.queues, &operated.queues) {
            (Some(old), Some(new)) if old != new => {
                info!(
                    members = new.tenants.len(),
                    desks = new.sub_queue_count(),
                    "queues: new terms"
                );
                self.service.change(now, new);
                self.operated = operated;
            }
            (Some(_), None) | (None, Some(_)) => {
                warn!("queues are switched on and off by a restart only; they stay as they were");
            }
            _ => self.operated = operated,
        }
    }

    fn step(&mut self, now: Timestamp) -> Result<(), StartError> {
        self.phase = match self.phase {
            Phase::Starting { until } if self.service.can_decide() || until <= now => {
                if !self.service.can_decide() {
                    warn!("no list yet; statements are denied until one comes");
                }
                self.listen()?;
                info!(listen = %self.config.listen, "ready");
                Phase::Ready
            }
            Phase::Ready if self.service.counters.statements_taken > 0 => {
                info!("serving");
                Phase::Serving
            }
            Phase::Draining { end, .. } if end <= now => Phase::Exit,
            Phase::Draining { until, end } if until <= now && self.service.quiet() => {
                // What the machine has accepted counts as taken, whether or not an edge has told of it yet.
                self.backlog = true;
                self.accept(now);
                let Service {
                    clients, counters, ..
                } = &mut self.service;
                if self.backlog || !clients.try_shut_down_all(now, counters) {
                    self.phase
                } else {
                    self.listener = None;
                    Phase::Parting {
                        end: end.min(now + TimeDelta::from_secs(PART_S)),
                    }
                }
            }
            Phase::Parting { end } if end <= now || self.service.clients.is_empty() => Phase::Exit,
            phase => phase,
        };
        Ok(())
    }

    /// Whatever the log's level: it was asked for.
    fn print(&mut self) {
        self.service.count();
        let now = self.clock.now();
        let fleet = self
            .service
            .fleet()
            .map_or_else(String::new, |fleet| fleet.counters(now));
        let service = &self.service;
        eprintln!(
            "counters: {}{fleet}open={} waiting={} sessions={} engines_open={} engines_benched={} polls_open={}",
            service.counters,
            service.counters.open(),
            service.waiting(),
            service.clients.len(),
            service.engines.connection_count(),
            service.benched(),
            service.discovery.open_polls()
        );
    }
}
