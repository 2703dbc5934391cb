//! Builds a gateway from its configuration: the sources of the event loop, the service and its
//! connection to the fleet.

use std::path::PathBuf;
use std::rc::Rc;

use admission::interface::Timestamp;
use calloop::EventLoop;
use identity::TokenVerifier;
use operator_config::IdentityConfig;
use tracing::info;

use super::acceptor::Acceptor;
use super::phase::{DrainTimes, Phase};
use super::reload::apply_auth_change;
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
use crate::keywatch::{KeyWatch, WatchError};
use crate::memory_account::MemoryAccount;
use crate::service::{Service, ServiceConfig};
use crate::socket::{EventLoopHandle, LoopEvents};

/// Fraction of the descriptors that client sessions may use. Clients normally use up to a third.
/// The rest covers sessions that linger after a restart and sessions that are still reading their
/// last answer.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.5;

/// Descriptors for the discovery service and for the process itself. Engine connections use what
/// these and the clients leave.
const RESERVED_DESCRIPTORS: usize = 24;

impl Lifecycle {
    /// Builds the gateway and applies the endpoint events of the configuration. `config_path` is
    /// the file that `config` was read from.
    ///
    /// # Errors
    /// The event loop, a setting, a key file or the address for the fleet cannot be used.
    pub fn start(
        signals: Rc<SignalReceiver>,
        config_path: PathBuf,
        mut config: Config,
        operator_settings: OperatorSettings,
        retry: &StartRetry,
    ) -> Result<Self, StartError> {
        let event_loop: EventLoop<'static, LoopEvents> =
            retry.run("event loop", |_| true, EventLoop::try_new)?;
        let handle = event_loop.handle();
        retry.run("signals", |_| true, || signals.watch(&handle))?;
        let clock = Clock::start();
        let now = clock.now();
        let mut service = new_service(now, &handle, &config, &operator_settings)?;
        let known_events = std::mem::take(&mut config.known_endpoints.events);
        service.on_discovery_events(now, &known_events);
        if let Some(identity_config) = &operator_settings.identity {
            authenticate_callers(&mut service, &handle, identity_config, retry)?;
        }
        if let Some((name, membership_config)) = &operator_settings.fleet {
            let mut cluster = retry.run("fleet", ClusterError::may_be_transient, || {
                ClusterEndpoint::bind(now, &handle, membership_config, name, config.seed)
            })?;
            set_up_quota_leases(&mut cluster, clock, &config, &operator_settings)?;
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
            config_path,
            config,
            operator_settings,
            pending_reload: None,
        })
    }
}

fn new_service(
    now: Timestamp,
    handle: &EventLoopHandle,
    config: &Config,
    operator_settings: &OperatorSettings,
) -> Result<Service, StartError> {
    let client_descriptors = (config.max_descriptors as f64 * CLIENT_DESCRIPTOR_FRACTION) as usize;
    let engine_descriptors = config
        .max_descriptors
        .saturating_sub(client_descriptors + RESERVED_DESCRIPTORS)
        .max(1);
    let limits = SessionLimits {
        max_sessions: client_descriptors,
    };
    let memory = MemoryAccount::for_process(config.memory_mb);
    // Only queued statements have progress to report.
    let progress_reports = if operator_settings.queues.is_some() {
        ProgressReports::Offered
    } else {
        ProgressReports::Off
    };
    let sessions = Sessions::new(handle, limits, &memory, progress_reports, now);
    let connection_settings = config.settings.connections()?;
    let engines = EngineTransport::new(handle, connection_settings, engine_descriptors, &memory);
    let discovery = DiscoveryClient::new(
        handle,
        &memory,
        config.discovery_address,
        config.known_endpoints.last_revision,
        config.seed,
        now,
    );
    let service = ServiceConfig {
        settings: &config.settings,
        seed: config.seed,
        queues: operator_settings.queues.as_ref(),
        sessions,
        engines,
        discovery,
        memory,
    };
    Ok(Service::new(now, service)?)
}

/// Requires callers to authenticate from now on, with the current key files and with every later
/// change to them.
fn authenticate_callers(
    service: &mut Service,
    handle: &EventLoopHandle,
    identity_config: &IdentityConfig,
    retry: &StartRetry,
) -> Result<(), StartError> {
    let begin = || KeyWatch::begin(identity_config);
    let (watch, content) = retry.run("callers", WatchError::may_be_transient, begin)?;
    service.set_token_verifier(TokenVerifier::new(unix_now(), identity_config.verifier));
    for part in content {
        apply_auth_change(service, part)?;
    }
    info!("callers must authenticate");
    let on_change = |event, _: &mut (), ready: &mut LoopEvents| {
        if let calloop::channel::Event::Msg(change) = event {
            ready.key_changes.push(change);
        }
    };
    let changes = retry
        .run("watch of key files", |_| true, || watch.spawn())
        .map_err(StartError::KeyWatch)?;
    handle
        .insert_source(changes, on_change)
        .map_err(|error| error.error)?;
    Ok(())
}

/// Sets up the leases on shared budgets, if the operator's file configures any.
fn set_up_quota_leases(
    cluster: &mut ClusterEndpoint,
    clock: Clock,
    config: &Config,
    operator_settings: &OperatorSettings,
) -> Result<(), StartError> {
    let Some(quota_config) = &operator_settings.shares else {
        return Ok(());
    };
    let classes = config.settings.class_names()?;
    let tenants = operator_settings.tenant_names();
    let own = cluster.membership().local_record().clone();
    let leases = QuotaLeases::new(
        clock,
        own.name,
        own.boot_id,
        quota_config.clone(),
        &classes,
        &tenants,
        config.seed,
    );
    cluster.set_quota_leases(leases);
    info!("budgets are shared among all gateways");
    Ok(())
}
