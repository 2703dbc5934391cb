//! Watches the token key folder and the TLS certificate of a running gateway. A thread of its own reads the files, so that
//! the event loop never waits for a disk. What it read goes over a channel that holds one message; while that is full the
//! thread waits, and a change in that time is seen afterwards.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};

use calloop::channel::{Channel, SyncSender, sync_channel};
use operator_config::IdentityConfig;
use rustls::ServerConfig;
use rustls::pki_types::pem::{Error as PemError, PemObject};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use thiserror::Error;

use crate::keyfiles::{self, KeyFileError, KeyFiles};
use crate::machine_errors::is_transient_file_error;

/// How often the files are looked at. With the time to read them it bounds the time from a change to its effect.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// How often files that cannot be read for now are read again before that is told: 5 s.
const MAX_READ_RETRIES: usize = 20;

/// Why the files cannot be used.
#[derive(Debug, Error)]
pub enum WatchError {
    /// The key folder cannot be used.
    #[error(transparent)]
    KeyFiles(#[from] KeyFileError),
    /// A certificate or its private key is not PEM.
    #[error("{0}: {1}")]
    Pem(PathBuf, PemError),
    /// The certificate does not fit its private key.
    #[error("{0}: {1}")]
    Tls(PathBuf, rustls::Error),
}

impl WatchError {
    /// Whether a file could not be read for a reason that may pass by itself.
    #[must_use]
    pub fn may_be_transient(&self) -> bool {
        match self {
            WatchError::KeyFiles(error) => error.may_be_transient(),
            WatchError::Pem(_, PemError::Io(error)) => is_transient_file_error(error),
            WatchError::Pem(..) | WatchError::Tls(..) => false,
        }
    }
}

/// Everything that authentication of callers needs.
pub struct AuthMaterial {
    /// The key folder.
    pub files: KeyFiles,
    /// For new handshakes.
    pub tls: Arc<ServerConfig>,
}

/// Reads all files.
///
/// # Errors
/// One of them is missing or cannot be used.
pub fn read(callers: &IdentityConfig) -> Result<AuthMaterial, WatchError> {
    Ok(AuthMaterial {
        files: keyfiles::read(&callers.keys_folder)?,
        tls: Arc::new(read_tls(callers)?),
    })
}

fn read_tls(callers: &IdentityConfig) -> Result<ServerConfig, WatchError> {
    let certificate_error = |error| WatchError::Pem(callers.certificate.clone(), error);
    let chain = CertificateDer::pem_file_iter(&callers.certificate)
        .map_err(certificate_error)?
        .collect::<Result<Vec<_>, _>>()
        .map_err(certificate_error)?;
    let private_key = PrivateKeyDer::from_pem_file(&callers.private_key)
        .map_err(|error| WatchError::Pem(callers.private_key.clone(), error))?;
    let tls_error = |error| WatchError::Tls(callers.certificate.clone(), error);
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(tls_error)?
        .with_no_client_auth()
        .with_single_cert(chain, private_key)
        .map_err(tls_error)
}

/// When each watched file was modified last; none: it cannot be told. Every change of the key folder rewrites its index.
#[derive(PartialEq)]
struct ModificationTimes {
    index: Option<SystemTime>,
    certificate: Option<SystemTime>,
    private_key: Option<SystemTime>,
}

impl ModificationTimes {
    fn read(callers: &IdentityConfig) -> Self {
        let modified = |path: &PathBuf| {
            std::fs::metadata(path)
                .and_then(|data| data.modified())
                .ok()
        };
        ModificationTimes {
            index: modified(&keyfiles::index_path(&callers.keys_folder)),
            certificate: modified(&callers.certificate),
            private_key: modified(&callers.private_key),
        }
    }
}

/// What the watching thread sends: the files, or why they cannot be used.
type ReadResult = Result<AuthMaterial, WatchError>;

/// Starts the thread. It ends once the channel is dropped and a file changes.
///
/// # Errors
/// The machine is short of threads or memory. It may be tried again.
pub fn watch(callers: IdentityConfig) -> io::Result<Channel<ReadResult>> {
    let (sender, channel) = sync_channel(1);
    let seen = ModificationTimes::read(&callers);
    thread::Builder::new()
        .name("key files".to_owned())
        .spawn(move || send_changes(&callers, seen, &sender))?;
    Ok(channel)
}

fn send_changes(
    callers: &IdentityConfig,
    mut seen: ModificationTimes,
    sender: &SyncSender<ReadResult>,
) {
    let mut retries = 0;
    loop {
        thread::sleep(POLL_INTERVAL);
        let current = ModificationTimes::read(callers);
        if current == seen {
            continue;
        }
        let result = read(callers);
        // The change is still there to be seen at the next look.
        let is_unreadable_for_now = result.as_ref().is_err_and(WatchError::may_be_transient);
        if is_unreadable_for_now && retries < MAX_READ_RETRIES {
            retries += 1;
            continue;
        }
        retries = 0;
        if sender.send(result).is_err() {
            return;
        }
        seen = current;
    }
}
