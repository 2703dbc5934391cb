//! Watches the token key folder and the TLS certificate of a running gateway. A separate thread
//! reads the files, so that the event loop never waits for a disk. It sends the result over a
//! channel that holds one message. While the channel is full, the thread blocks, and it notices
//! changes of that time afterwards.

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

/// Interval between two checks of the files. A change takes effect after at most this interval plus
/// the time to read the files.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Retries while files are temporarily unreadable, before the error is reported. They take 5 s.
const MAX_READ_RETRIES: usize = 20;

/// Why the files cannot be used.
#[derive(Debug, Error)]
pub enum WatchError {
    /// The key folder cannot be used.
    #[error(transparent)]
    KeyFiles(#[from] KeyFileError),
    /// A certificate or its private key is not valid PEM, or cannot be read.
    #[error("{0}: {1}")]
    Pem(PathBuf, PemError),
    /// The certificate does not match its private key.
    #[error("{0}: {1}")]
    Tls(PathBuf, rustls::Error),
}

impl WatchError {
    /// Whether a file could not be read for a reason that may be transient.
    #[must_use]
    pub fn may_be_transient(&self) -> bool {
        match self {
            WatchError::KeyFiles(error) => error.may_be_transient(),
            WatchError::Pem(_, PemError::Io(error)) => is_transient_file_error(error),
            WatchError::Pem(..) | WatchError::Tls(..) => false,
        }
    }
}

/// Everything that is needed to authenticate callers.
pub struct AuthMaterial {
    /// The content of the key folder.
    pub files: KeyFiles,
    /// The TLS configuration for new handshakes.
    pub tls: Arc<ServerConfig>,
}

/// Reads all files.
///
/// # Errors
/// A file is missing or invalid.
pub fn read(identity_config: &IdentityConfig) -> Result<AuthMaterial, WatchError> {
    Ok(AuthMaterial {
        files: keyfiles::read(&identity_config.keys_folder)?,
        tls: Arc::new(read_tls(identity_config)?),
    })
}

fn read_tls(identity_config: &IdentityConfig) -> Result<ServerConfig, WatchError> {
    let certificate_error = |error| WatchError::Pem(identity_config.certificate.clone(), error);
    let chain = CertificateDer::pem_file_iter(&identity_config.certificate)
        .map_err(certificate_error)?
        .collect::<Result<Vec<_>, _>>()
        .map_err(certificate_error)?;
    let private_key = PrivateKeyDer::from_pem_file(&identity_config.private_key)
        .map_err(|error| WatchError::Pem(identity_config.private_key.clone(), error))?;
    let tls_error = |error| WatchError::Tls(identity_config.certificate.clone(), error);
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(tls_error)?
        .with_no_client_auth()
        .with_single_cert(chain, private_key)
        .map_err(tls_error)
}

/// The modification time of each watched file, or `None` when it is unknown. Every change of the
/// key folder rewrites its index.
#[derive(PartialEq)]
struct ModificationTimes {
    index: Option<SystemTime>,
    certificate: Option<SystemTime>,
    private_key: Option<SystemTime>,
}

impl ModificationTimes {
    fn read(identity_config: &IdentityConfig) -> Self {
        let modified = |path: &PathBuf| {
            std::fs::metadata(path)
                .and_then(|data| data.modified())
                .ok()
        };
        ModificationTimes {
            index: modified(&keyfiles::index_path(&identity_config.keys_folder)),
            certificate: modified(&identity_config.certificate),
            private_key: modified(&identity_config.private_key),
        }
    }
}

/// The message of the watching thread: the content of the files, or why they cannot be used.
type WatchResult = Result<AuthMaterial, WatchError>;

/// Starts the watching thread. After the channel is dropped, the thread ends at the next change of
/// a file.
///
/// # Errors
/// The thread cannot be started, because threads or memory are short. The call may be repeated.
pub fn watch(identity_config: IdentityConfig) -> io::Result<Channel<WatchResult>> {
    let (sender, channel) = sync_channel(1);
    let seen = ModificationTimes::read(&identity_config);
    thread::Builder::new()
        .name("key files".to_owned())
        .spawn(move || send_changes(&identity_config, seen, &sender))?;
    Ok(channel)
}

fn send_changes(
    identity_config: &IdentityConfig,
    mut seen: ModificationTimes,
    sender: &SyncSender<WatchResult>,
) {
    let mut retries = 0;
    loop {
        thread::sleep(POLL_INTERVAL);
        let current = ModificationTimes::read(identity_config);
        if current == seen {
            continue;
        }
        let result = read(identity_config);
        // `seen` is unchanged, so the next check finds the change again.
        let is_transient_error = result.as_ref().is_err_and(WatchError::may_be_transient);
        if is_transient_error && retries < MAX_READ_RETRIES {
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
