//! What changes without a restart: the configuration and the operator's file on SIGHUP, key files when they change. A
//! file that cannot be used leaves what was in force as it was.

use admission::interface::{TimeDelta, Timestamp};
use identity::KeyIndexError;
use tracing::{info, warn};

use super::Lifecycle;
use crate::clock::unix_now;
use crate::cluster::ClusterEndpoint;
use crate::config::{Config, ConfigError, OperatorSettings};
use crate::keywatch::{AuthMaterial, WatchError};

/// How long a file is tried that cannot be read for now. What it tells of the discovery service is needed: drains are told
/// there.
const PATIENCE: TimeDelta = TimeDelta::from_micros(30_000_000);

/// Between two tries.
const PAUSE: TimeDelta = TimeDelta::from_micros(50_000);

/// A reload that waits for a file which cannot be read for now.
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
    /// Reads the files again, in every phase.
    pub(super) fn reload(&mut self, now: Timestamp) {
        self.pending_reload = None;
        self.try_reload(now, now + PATIENCE);
    }

    /// Goes on with a reload that is due again.
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
        for result in [configuration, operator_file] {
            let Err(error) = result else {
                continue;
            };
            if error.may_be_transient() && now < give_up_at {
                info!(%error, "reload: tried again");
                let due = now + PAUSE;
                self.pending_reload = Some(PendingReload { due, give_up_at });
            } else {
                self.service.counters.reloads_failed += 1;
                warn!(%error, "the file cannot be used; the old one stands");
            }
        }
    }

    /// Of a usable file only the discovery service and the list are taken, since no open statement may be touched.
    fn reload_configuration(&mut self, now: Timestamp) -> Result<(), ConfigError> {
        let config = Config::read(&self.source)?;
        let kept = self.config.settings_requiring_restart(&config);
        info!(board = %config.discovery_address, known = config.known_endpoints.last_revision, ?kept, "configuration read again");
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

    /// Key files and certificates that changed, all or none of them.
    pub(super) fn reload_key_files(&mut self, changed: Result<AuthMaterial, WatchError>) {
        let result = changed
            .map_err(|error| error.to_string())
            .and_then(|known| {
                self.apply_key_files(known)
                    .map_err(|error| error.to_string())
            });
        let counters = &mut self.service.counters;
        match result {
            Ok(()) => {
                counters.key_file_reloads += 1;
                info!("key files taken in");
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

    fn apply_key_files(&mut self, known: AuthMaterial) -> Result<(), KeyIndexError> {
        let AuthMaterial { files, tls } = known;
        if let Some(verifier) = self.service.token_verifier() {
            verifier.update(unix_now(), &files.index, &files.public_keys, files.revoked)?;
        }
        self.service.sessions.require_tls(tls);
        Ok(())
    }

    /// The operator's file, all of it or nothing. What is off or on stays so: sessions were told at their start.
    fn reload_operator_file(&mut self, now: Timestamp) -> Result<(), ConfigError> {
        let Some(path) = self.operated.file.clone() else {
            return Ok(());
        };
        let operated = OperatorSettings::read(Some(path), &self.config)?;
        self.reload_fleet(&operated);
        self.reload_shares(&operated);
        self.reload_queues(now, operated);
        Ok(())
    }

    fn reload_fleet(&mut self, operated: &OperatorSettings) {
        match (self.service.cluster(), &operated.fleet) {
            (Some(cluster), Some((_, terms))) => match cluster.reconfigure(terms) {
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
    fn reload_shares(&mut self, operated: &OperatorSettings) {
        let tenants = operated.tenant_names();
        let leases = self
            .service
            .cluster()
            .and_then(ClusterEndpoint::quota_leases);
        match (leases, &operated.shares) {
            (Some(leases), Some(terms)) => {
                let kept = leases.reconfigure(terms.clone(), &tenants);
                info!(?kept, budgets = terms.budgets.len(), "shares: new budgets");
                self.operated.shares = operated.shares.clone();
            }
            (None, None) => {}
            _ => warn!("budgets are divided or not from the start on; they stay as they were"),
        }
    }

    fn reload_queues(&mut self, now: Timestamp, operated: OperatorSettings) {
        match (&self.operated.queues, &operated.queues) {
            (Some(old), Some(new)) if old != new => {
                info!(
                    members = new.tenants.len(),
                    desks = new.sub_queue_count(),
                    "queues: new terms"
                );
                self.service.reconfigure_queues(now, new);
                self.operated = operated;
            }
            (Some(_), None) | (None, Some(_)) => {
                warn!("queues are switched on and off by a restart only; they stay as they were");
            }
            _ => self.operated = operated,
        }
    }
}
