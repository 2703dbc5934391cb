//! Changes without a restart: SIGHUP reloads the configuration and the operator's file, and key
//! files are reloaded whenever they change. When a file cannot be used, the previous state stays in
//! force.

use admission::interface::{TimeDelta, Timestamp};
use identity::{KeyId, KeyIndexError, TokenVerifier};
use operator_config::OperatorConfigError;
use thiserror::Error;
use tracing::{info, warn};

use super::Lifecycle;
use crate::clock::unix_now;
use crate::cluster::{ClusterEndpoint, ClusterError};
use crate::config::{Config, ConfigError, OperatorSettings};
use crate::keyfiles::{KeyFiles, RevocationFile};
use crate::keywatch::{AuthChange, WatchResult};
use crate::service::Service;

/// How long a reload retries a file that is temporarily unreadable. The file names the discovery
/// service, which announces the engines that drain, so a reload is not given up early.
const RETRY_TIMEOUT: TimeDelta = TimeDelta::from_micros(30_000_000);

/// Interval between two attempts.
const RETRY_INTERVAL: TimeDelta = TimeDelta::from_micros(50_000);

/// What a reload reads and applies. Each part is retried by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReloadPart {
    /// The configuration.
    Configuration,
    /// The operator's file.
    OperatorFile,
    /// Of the operator's file, only the fleet with its keys.
    Fleet,
}

/// A reload that waits for files that are temporarily unusable.
#[derive(Clone, Debug)]
pub(super) struct PendingReload {
    due: Timestamp,
    give_up_at: Timestamp,
    parts: Vec<PendingPart>,
}

/// A part of a reload that is still to be applied.
#[derive(Clone, Copy, Debug)]
struct PendingPart {
    part: ReloadPart,
    /// Whether the reload was reported as failed already. The part is applied nevertheless once its
    /// file can be used.
    is_reported: bool,
}

impl PendingReload {
    /// When the files are read again.
    pub(super) fn due(&self) -> Timestamp {
        self.due
    }
}

/// Why a part of a reload failed. What is in force stays so.
#[derive(Debug, Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("fleet: {0}")]
    Fleet(#[from] ClusterError),
}

impl ReloadError {
    /// Whether a file may be usable soon. All files were usable before, so one that is missing is
    /// being replaced.
    fn may_be_transient(&self) -> bool {
        match self {
            ReloadError::Config(error) => error.may_be_transient() || error.is_missing_file(),
            ReloadError::Fleet(error) => error.may_be_transient(),
        }
    }
}

impl ReloadError {
    /// Which part is applied again after this failure of a part.
    fn part_to_retry(&self, failed: ReloadPart) -> ReloadPart {
        match self {
            ReloadError::Config(_) => failed,
            ReloadError::Fleet(_) => ReloadPart::Fleet,
        }
    }

    /// Whether the operator's file ends too early. That is reported at once, because it may also be
    /// a mistake in the file.
    fn is_incomplete_file(&self) -> bool {
        let ReloadError::Config(ConfigError::Operator(error)) = self else {
            return false;
        };
        matches!(
            error,
            OperatorConfigError::Form {
                is_at_end: true,
                ..
            }
        )
    }
}

impl Lifecycle {
    /// Starts to reload the files, in any phase.
    pub(super) fn reload(&mut self, now: Timestamp) {
        let parts = [ReloadPart::Configuration, ReloadPart::OperatorFile].map(|part| PendingPart {
            part,
            is_reported: false,
        });
        self.pending_reload = None;
        self.try_reload(now, now + RETRY_TIMEOUT, &parts);
    }

    /// Repeats a pending reload when it is due.
    pub(super) fn retry_reload(&mut self, now: Timestamp) {
        let is_due = |pending: &mut PendingReload| pending.due <= now;
        if let Some(pending) = self.pending_reload.take_if(is_due) {
            self.try_reload(now, pending.give_up_at, &pending.parts);
        }
    }

    fn try_reload(&mut self, now: Timestamp, give_up_at: Timestamp, parts: &[PendingPart]) {
        let mut parts_to_retry = Vec::new();
        for pending in parts {
            let Err(error) = self.reload_part(now, pending.part) else {
                continue;
            };
            let is_retried = error.may_be_transient() && now < give_up_at;
            let is_reported = pending.is_reported || !is_retried || error.is_incomplete_file();
            if is_reported && !pending.is_reported {
                self.service.counters.reloads_failed += 1;
                warn!(%error, "reload: the file cannot be used; keeping the previous settings");
            } else if is_retried {
                info!(%error, "reload: tried again");
            }
            if is_retried {
                let part = error.part_to_retry(pending.part);
                parts_to_retry.push(PendingPart { part, is_reported });
            }
        }
        self.pending_reload = (!parts_to_retry.is_empty()).then(|| PendingReload {
            due: now + RETRY_INTERVAL,
            give_up_at,
            parts: parts_to_retry,
        });
    }

    fn reload_part(&mut self, now: Timestamp, part: ReloadPart) -> Result<(), ReloadError> {
        if part == ReloadPart::Configuration {
            return Ok(self.reload_configuration(now)?);
        }
        let Some(path) = self.operator_settings.file.clone() else {
            return Ok(());
        };
        let operator_settings = OperatorSettings::read(Some(path), &self.config)?;
        // A file that cannot be used is reported at once. One that can be may be incomplete.
        operator_settings.check_settled()?;
        let fleet = self.reload_fleet(&operator_settings);
        if part == ReloadPart::OperatorFile {
            self.reload_shares(&operator_settings);
            self.reload_queues(now, operator_settings);
        }
        Ok(fleet?)
    }

    /// Applies only the address of the discovery service and the endpoint list. Other settings
    /// could affect open statements.
    fn reload_configuration(&mut self, now: Timestamp) -> Result<(), ConfigError> {
        let config = Config::read_settled(&self.config_path)?;
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

    /// Applies changed keys, revocations or certificates. What cannot be used changes nothing.
    pub(super) fn reload_key_files(&mut self, changed: WatchResult) {
        let outcome = changed
            .map_err(|error| error.to_string())
            .and_then(|change| {
                apply_auth_change(&mut self.service, change).map_err(|error| error.to_string())
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

    /// Applies the seeds and keys of the fleet. Features cannot be enabled or disabled, here and
    /// below, because sessions learned at their start which ones are on.
    fn reload_fleet(&mut self, operator_settings: &OperatorSettings) -> Result<(), ClusterError> {
        match (self.service.cluster(), &operator_settings.fleet) {
            (Some(cluster), Some((_, config))) => {
                let kept = cluster.reconfigure(config)?;
                let seeds = config.seeds.len();
                info!(?kept, seeds, "fleet: configuration reloaded");
            }
            (None, None) => {}
            _ => warn!("fleet: joining or leaving the fleet requires a restart"),
        }
        Ok(())
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

/// Applies a part of what is needed to authenticate callers.
///
/// # Errors
/// The index of the keys cannot be used. Nothing has changed then.
pub(super) fn apply_auth_change(
    service: &mut Service,
    change: AuthChange,
) -> Result<(), KeyIndexError> {
    let Some(verifier) = service.token_verifier() else {
        return Ok(());
    };
    match change {
        AuthChange::Keys(files) => return install_keys(verifier, &files),
        AuthChange::Revocations(RevocationFile { list, extent }) => {
            if !verifier.update_revocations(list, extent) {
                info!("the revocation list has fewer entries and may still be arriving");
            }
        }
        AuthChange::Tls(tls) => service.sessions.require_tls(tls),
    }
    Ok(())
}

/// Installs keys in the verifier of tokens. A key whose public key has not arrived is not known
/// until it arrives, and its tokens are retried.
fn install_keys(verifier: &mut TokenVerifier, files: &KeyFiles) -> Result<(), KeyIndexError> {
    let arriving = verifier.update_keys(unix_now(), &files.index, &files.public_keys)?;
    let keys = files.index.keys.len() - arriving.len();
    if arriving.is_empty() {
        info!(keys, "token keys installed");
    } else {
        let arriving: Vec<&str> = arriving.iter().map(KeyId::as_str).collect();
        warn!(
            keys,
            ?arriving,
            "token keys installed; some public keys have not arrived"
        );
    }
    Ok(())
}
