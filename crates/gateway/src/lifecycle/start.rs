//! The start: the event loop's sources and the leases of the service, made from the configuration.

use std::path::PathBuf;
use std::rc::Rc;

use admission::interface::Timestamp;
use calloop::EventLoop;
use identity::TokenVerifier;
use operator_config::IdentityConfig;
use tracing::info;

use super::acceptor::Acceptor;
use super::phase::{DrainTimes, Phase};
use super::signals::SignalReceiver;
use super::start_retry::StartRetry;
use super::timer::WakeTimer;
use super::turn::TurnPanics;
use super::wait::LoopFailures;
use super::{Lifecycle, StartError};
use crate::clients::{ProgressReports, SessionLimits, Sessions};
use crate::clock::{Clock, unix_now};
use crate::cluster::QuotaLeases;
use crate::cluster::{ClusterEndpoint, ClusterError};
use crate::config::{Config, OperatorSettings};
use crate::discovery::DiscoveryClient;
use crate::engines::EngineTransport;
use crate::keywatch::{self, WatchError};
use crate::service::{Service, ServiceConfig};
use crate::socket::{EventLoopHandle, LoopEvents};

/// Clients hold a third of the descriptors at most; old sessions that linger after a restart, and those of this gateway
/// that read their last answer, come on top.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.5;

/// Descriptors of discovery and of the program itself. Engines share what these and clients leave.
const OWN_DESCRIPTORS: usize = 24;

/// Part of the memory that what clients have begun to send, all together, may take.
const UNREAD_MEMORY_SHARE: f64 = 0.1;

const BYTES_PER_MB: f64 = (1 << 20) as f64;

impl Lifecycle {
    /// Makes all leases and tells them what the configuration knows.
    ///
    /// `source`: the file that `config` was read from.
    ///
    /// # Errors
    /// The event loop, a setting, a key file or the fleet's address cannot be used.
    pub fn start(
        signals: Rc<SignalReceiver>,
        source: PathBuf,
        mut config: Config,
        operated: OperatorSettings,
        retry: &StartRetry,
    ) -> Result<Self, StartError> {
        let event_loop: EventLoop<'static, LoopEvents> =
            retry.run("event loop", |_| true, EventLoop::try_new)?;
        let handle = event_loop.handle();
        retry.run("signals", |_| true, || signals.watch(&handle))?;
        let clock = Clock::start();
        let now = clock.now();
        let mut service = new_service(now, &handle, &config, &operated)?;
        let known_events = std::mem::take(&mut config.known_endpoints.events);
        service.on_discovery_events(now, &known_events);
        if let Some(callers) = &operated.identity {
            authenticate_callers(&mut service, &handle, callers, retry)?;
        }
        if let Some((name, terms)) = &operated.fleet {
            let mut cluster = retry.run("fleet", ClusterError::may_be_transient, || {
                ClusterEndpoint::bind(now, &handle, terms, name, config.seed)
            })?;
            share_quotas(&mut cluster, clock, &config, &operated)?;
            service.set_cluster(cluster);
        }
        info!(name = config.name, "starting");
        let longest_time_limit = config.settings.longest_time_limit()?;
        Ok(Lifecycle {
            phase: Phase::starting(now),
            event_loop,
            signals,
            acceptor: Acceptor::default(),
            clock,
            timer: WakeTimer::default(),
            loop_failures: LoopFailures::default(),
            panics: TurnPanics::default(),
            service,
            drain_times: DrainTimes::for_longest_deadline(longest_time_limit),
            source,
            config,
            operated,
            pending_reload: None,
        })
    }
}

fn new_service(
    now: Timestamp,
    handle: &EventLoopHandle,
    config: &Config,
    operated: &OperatorSettings,
) -> Result<Service, StartError> {
    let client_descriptors = (config.max_descriptors as f64 * CLIENT_DESCRIPTOR_SHARE) as usize;
    let engine_descriptors = config
        .max_descriptors
        .saturating_sub(client_descriptors + OWN_DESCRIPTORS)
        .max(1);
    let limits = SessionLimits {
        max_sessions: client_descriptors,
        max_unread_bytes: (config.memory_mb * UNREAD_MEMORY_SHARE * BYTES_PER_MB) as usize,
    };
    // Only what waits in queues has progress to report.
    let progress_reports = if operated.queues.is_some() {
        ProgressReports::Offered
    } else {
        ProgressReports::Off
    };
    let sessions = Sessions::new(handle, limits, progress_reports, now);
    let engines = EngineTransport::new(handle, config.settings.connections()?, engine_descriptors);
    let discovery = DiscoveryClient::new(
        handle,
        config.discovery_address,
        config.known_endpoints.last_revision,
        config.seed,
        now,
    );
    let service = ServiceConfig {
        settings: &config.settings,
        seed: config.seed,
        queues: operated.queues.as_ref(),
        sessions,
        engines,
        discovery,
    };
    Ok(Service::new(now, service)?)
}

/// Callers are authenticated from now on, by the key files as they are and as they change.
fn authenticate_callers(
    service: &mut Service,
    handle: &EventLoopHandle,
    callers: &IdentityConfig,
    retry: &StartRetry,
) -> Result<(), StartError> {
    let read = || keywatch::read(callers);
    let known = retry.run("callers", WatchError::may_be_transient, read)?;
    let files = known.files;
    let mut verifier = TokenVerifier::new(unix_now(), callers.verifier);
    verifier.update(unix_now(), &files.index, &files.public_keys, files.revoked)?;
    info!(keys = files.index.keys.len(), "callers are to be known");
    service.set_token_verifier(verifier);
    service.sessions.require_tls(known.tls);
    let on_change = |event, _: &mut (), ready: &mut LoopEvents| {
        if let calloop::channel::Event::Msg(known) = event {
            ready.key_changes.push(known);
        }
    };
    let watch = || keywatch::watch(callers.clone());
    let changes = retry
        .run("watch of key files", |_| true, watch)
        .map_err(StartError::KeyWatch)?;
    handle
        .insert_source(changes, on_change)
        .map_err(|error| error.error)?;
    Ok(())
}

/// Budgets are divided among the fleet's gateways, where the operator's file says so.
fn share_quotas(
    cluster: &mut ClusterEndpoint,
    clock: Clock,
    config: &Config,
    operated: &OperatorSettings,
) -> Result<(), StartError> {
    let Some(terms) = &operated.shares else {
        return Ok(());
    };
    let classes = config.settings.class_names()?;
    let tenants = operated.tenant_names();
    let own = cluster.membership().local_record().clone();
    let leases = QuotaLeases::new(
        clock,
        own.name,
        own.boot_id,
        terms.clone(),
        &classes,
        &tenants,
        config.seed,
    );
    cluster.set_quota_leases(leases);
    info!("budgets are divided among all gateways");
    Ok(())
}
