//! Changes without a restart: SIGHUP reloads the configuration and the operator's file, and key
//! files are reloaded whenever they change. When a file cannot be used, the previous state stays in
//! force.

use admission::interface::{TimeDelta, Timestamp};
use identity::KeyIndexError;
use tracing::{info, warn};

use super::Lifecycle;
use crate::clock::unix_now;
use crate::cluster::ClusterEndpoint;
use crate::config::{Config, ConfigError, OperatorSettings};
use crate::keywatch::{AuthMaterial, WatchError};

/// How long a reload retries a file that is temporarily unreadable. The file names the discovery
/// service, which announces the engines that drain, so a reload is not given up early.
const RETRY_TIMEOUT: TimeDelta = TimeDelta::from_micros(30_000_000);

/// Interval between two attempts.
const RETRY_INTERVAL: TimeDelta = TimeDelta::from_micros(50_000);

/// A reload that waits for a file that is temporarily unreadable.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingReload {
    due: Timestamp,
    give_up_at: Timestamp,
}

impl PendingReload {
    /// When the files are read again.
    pub(super) fn due(self) -> Timestamp {
        self.due
    }
}

impl Lifecycle {
    /// Starts to reload the files, in any phase.
    pub(super) fn reload(&mut self, now: Timestamp) {
        self.pending_reload = None;
        self.try_reload(now, now + RETRY_TIMEOUT);
    }

    /// Repeats a pending reload when it is due.
    pub(super) fn retry_reload(&mut self, now: Timestamp) {
        let Some(pending) = self.pending_reload.filter(|pending| pending.due <= now) else {
            return;
        };
        self.pending_reload = None;
        self.try_reload(now, pending.give_up_at);
    }

    fn try_reload(&mut self, now: Timestamp, give_up_at: Timestamp) {
        let configuration = self.reload_configuration(now);
        let operator_file = self.reload_operator_file(now);
        for outcome in [configuration, operator_file] {
            let Err(error) = outcome else {
                continue;
            };
            if error.may_be_transient() && now < give_up_at {
                info!(%error, "reload: tried again");
                let due = now + RETRY_INTERVAL;
                self.pending_reload = Some(PendingReload { due, give_up_at });
            } else {
                self.service.counters.reloads_failed += 1;
                warn!(%error, "reload: the file cannot be used; keeping the previous settings");
            }
        }
    }

    /// Applies only the address of the discovery service and the endpoint list. Other settings
    /// could affect open statements.
    fn reload_configuration(&mut self, now: Timestamp) -> Result<(), ConfigError> {
        let config = Config::read(&self.config_path)?;
        let kept = self.config.settings_requiring_restart(&config);
        info!(
            discovery_address = %config.discovery_address,
            known_revision = config.known_endpoints.last_revision,
            ?kept,
            "configuration read again"
        );
        let service = &mut self.service;
        let counters = &mut service.counters;
        counters.reloads += 1;
        service.discovery.reconfigure(
            now,
            config.discovery_address,
            config.known_endpoints,
            counters,
        );
        Ok(())
    }

    /// Applies changed key files and certificates, either all of them or none.
    pub(super) fn reload_key_files(&mut self, changed: Result<AuthMaterial, WatchError>) {
        let outcome = changed
            .map_err(|error| error.to_string())
            .and_then(|material| {
                self.apply_key_files(material)
                    .map_err(|error| error.to_string())
            });
        let counters = &mut self.service.counters;
        match outcome {
            Ok(()) => {
                counters.key_file_reloads += 1;
                info!("key files reloaded");
            }
            Err(error) => {
                counters.key_file_reloads_failed += 1;
                warn!(
                    error,
                    "the key files cannot be used; the last good ones stand"
                );
            }
        }
    }

    fn apply_key_files(&mut self, material: AuthMaterial) -> Result<(), KeyIndexError> {
        let AuthMaterial { files, tls } = material;
        if let Some(verifier) = self.service.token_verifier() {
            verifier.update(unix_now(), &files.index, &files.public_keys, files.revoked)?;
        }
        self.service.sessions.require_tls(tls);
        Ok(())
    }

    /// Applies the operator's file. An invalid file changes nothing. Features cannot be enabled or
    /// disabled, because sessions learned at their start which ones are on.
    fn reload_operator_file(&mut self, now: Timestamp) -> Result<(), ConfigError> {
        let Some(path) = self.operator_settings.file.clone() else {
            return Ok(());
        };
        let operator_settings = OperatorSettings::read(Some(path), &self.config)?;
        self.reload_fleet(&operator_settings);
        self.reload_shares(&operator_settings);
        self.reload_queues(now, operator_settings);
        Ok(())
    }

    fn reload_fleet(&mut self, operator_settings: &OperatorSettings) {
        match (self.service.cluster(), &operator_settings.fleet) {
            (Some(cluster), Some((_, config))) => match cluster.reconfigure(config) {
                Ok(kept) => info!(
                    ?kept,
                    seeds = config.seeds.len(),
                    "fleet: configuration reloaded"
                ),
                Err(error) => {
                    self.service.counters.reloads_failed += 1;
                    warn!(%error, "fleet: the keys cannot be used; keeping the previous ones");
                }
            },
            (None, None) => {}
            _ => warn!("fleet: joining or leaving the fleet requires a restart"),
        }
    }

    /// Applies the budgets, which are matched by name. The lease duration, the voters and the
    /// maximum number of gateways change only when all gateways restart.
    fn reload_shares(&mut self, operator_settings: &OperatorSettings) {
        let tenants = operator_settings.tenant_names();
        let leases = self
            .service
            .cluster()
            .and_then(ClusterEndpoint::quota_leases);
        match (leases, &operator_settings.shares) {
            (Some(leases), Some(quota_config)) => {
                let kept = leases.reconfigure(quota_config.clone(), &tenants);
                info!(
                    ?kept,
                    budgets = quota_config.budgets.len(),
                    "shares: budgets reloaded"
                );
                self.operator_settings.shares = operator_settings.shares.clone();
            }
            (None, None) => {}
            _ => warn!("shares: enabling or disabling shared budgets requires a restart"),
        }
    }

    fn reload_queues(&mut self, now: Timestamp, operator_settings: OperatorSettings) {
        match (&self.operator_settings.queues, &operator_settings.queues) {
            (Some(old), Some(new)) if old != new => {
                info!(
                    tenants = new.tenants.len(),
                    sub_queues = new.sub_queue_count(),
                    "queues: configuration reloaded"
                );
                self.service.reconfigure_queues(now, new);
                self.operator_settings = operator_settings;
            }
            (Some(_), None) | (None, Some(_)) => {
                warn!("queues: enabling or disabling queues requires a restart");
            }
            _ => self.operator_settings = operator_settings,
        }
    }
}
