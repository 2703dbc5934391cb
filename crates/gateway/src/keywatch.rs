//! Watches the token key folder and the TLS certificate of a running gateway. A separate thread
//! reads the files, so that the event loop never waits for a disk. It sends the result over a
//! channel that holds one message. While the channel is full, the thread blocks, and it notices
//! changes of that time afterwards.
//!
//! The keys, the revocation list and the certificate are read and sent independently of each other,
//! so that a file that is still being copied does not keep the others from taking effect.

use std::collections::BTreeMap;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};

use calloop::channel::{Channel, SyncSender, sync_channel};
use identity::ListExtent;
use operator_config::IdentityConfig;
use rustls::pki_types::pem::{Error as PemError, PemObject};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::{Error as TlsError, ServerConfig};
use thiserror::Error;

use crate::file_settling::is_settled;
use crate::keyfiles::{self, KeyFileError, KeyFiles, RevocationFile};
use crate::machine_errors::{is_missing_file, is_transient_file_error};

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
    Tls(PathBuf, TlsError),
    /// The file changed a moment ago, so it may still be copied.
    #[error("{0}: the file is still changing")]
    Changing(PathBuf),
}

impl WatchError {
    /// Whether a file could not be read for a reason that may pass without a change of the file.
    fn is_transient_failure(&self) -> bool {
        match self {
            WatchError::Changing(_) => true,
            WatchError::KeyFiles(KeyFileError::Io(_, error))
            | WatchError::Pem(_, PemError::Io(error)) => is_transient_file_error(error),
            WatchError::KeyFiles(_) | WatchError::Pem(..) | WatchError::Tls(..) => false,
        }
    }

    /// Whether the files cannot be used for a reason that may be transient, as while they are being
    /// copied.
    #[must_use]
    pub fn may_be_transient(&self) -> bool {
        match self {
            WatchError::Changing(_) => true,
            WatchError::KeyFiles(error) => error.may_be_transient(),
            WatchError::Pem(_, PemError::Io(error)) => {
                is_transient_file_error(error) || is_missing_file(error)
            }
            // The file ends too early, or the files of a new pair arrive one after the other.
            WatchError::Pem(_, PemError::MissingSectionEnd { .. } | PemError::NoItemsFound)
            | WatchError::Tls(_, TlsError::InconsistentKeys(_)) => true,
            WatchError::Tls(_, TlsError::NoCertificatesPresented) => true,
            WatchError::Pem(..) | WatchError::Tls(..) => false,
        }
    }
}

/// A part of what is needed to authenticate callers, after its files have changed.
pub enum AuthChange {
    /// The keys that sign tokens.
    Keys(KeyFiles),
    /// The revoked callers and tokens.
    Revocations(RevocationFile),
    /// The TLS configuration for new handshakes.
    Tls(Arc<ServerConfig>),
}

impl AuthChange {
    /// Whether the files may still be arriving, so that they are to be read again.
    fn may_be_partial(&self) -> bool {
        match self {
            AuthChange::Revocations(file) => file.extent == ListExtent::MaybePartial,
            AuthChange::Keys(_) | AuthChange::Tls(_) => false,
        }
    }
}

/// Reads the certificate and its private key. The beginning of a chain that is being copied may be
/// valid by itself, so a certificate that changed a moment ago is not used.
fn read_settled_tls(identity_config: &IdentityConfig) -> Result<ServerConfig, WatchError> {
    let tls = read_tls(identity_config);
    let is_unreadable = matches!(tls, Err(WatchError::Pem(_, PemError::Io(_))));
    let changing = [&identity_config.certificate, &identity_config.private_key]
        .into_iter()
        .find(|path| !is_settled(path));
    match changing {
        Some(path) if !is_unreadable => Err(WatchError::Changing(path.clone())),
        _ => tls,
    }
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

/// What identifies the content of a file without reading it. `None` when the file cannot be looked
/// at.
type FileVersion = Option<(SystemTime, u64, u64)>;

/// The modification time, the size and the inode of a file.
fn file_version(path: &Path) -> FileVersion {
    let data = std::fs::metadata(path).ok()?;
    Some((data.modified().ok()?, data.len(), data.ino()))
}

/// The versions of the files of a part.
type FileVersions = BTreeMap<PathBuf, FileVersion>;

/// The files that are read together.
#[derive(Clone, Copy, Debug)]
enum Part {
    Keys,
    Revocations,
    Tls,
}

impl Part {
    const ALL: [Part; 3] = [Part::Keys, Part::Revocations, Part::Tls];

    /// The versions of all files that [`read`](Self::read) depends on.
    fn versions(self, identity_config: &IdentityConfig) -> FileVersions {
        let folder = &identity_config.keys_folder;
        let paths = match self {
            Part::Keys => keyfiles::key_paths(folder),
            Part::Revocations => vec![keyfiles::revocation_path(folder)],
            Part::Tls => vec![
                identity_config.certificate.clone(),
                identity_config.private_key.clone(),
            ],
        };
        let with_version = |path: PathBuf| {
            let version = file_version(&path);
            (path, version)
        };
        paths.into_iter().map(with_version).collect()
    }

    fn read(self, identity_config: &IdentityConfig) -> Result<AuthChange, WatchError> {
        let folder = &identity_config.keys_folder;
        Ok(match self {
            Part::Keys => AuthChange::Keys(keyfiles::read_keys(folder)?),
            Part::Revocations => {
                AuthChange::Revocations(keyfiles::read_arriving_revocations(folder)?)
            }
            Part::Tls => AuthChange::Tls(Arc::new(read_settled_tls(identity_config)?)),
        })
    }
}

/// A part whose changes are watched.
#[derive(Clone)]
struct WatchedPart {
    part: Part,
    /// The versions that were last read, from before they were read. A change that comes while they
    /// are read is found by comparing these.
    seen: FileVersions,
    /// How often the last change could not be read for a transient reason.
    retries: usize,
}

impl WatchedPart {
    /// Reads a part for the first time.
    fn read_first(
        part: Part,
        identity_config: &IdentityConfig,
    ) -> Result<(Self, AuthChange), WatchError> {
        let seen = part.versions(identity_config);
        let change = part.read(identity_config)?;
        if change.may_be_partial() {
            let folder = identity_config.keys_folder.clone();
            return Err(WatchError::Changing(folder));
        }
        let retries = 0;
        let watched = WatchedPart {
            part,
            seen,
            retries,
        };
        Ok((watched, change))
    }

    /// The revocation list if its file no longer exists. That revokes no less: the file may be about
    /// to be replaced.
    fn vanished_list(&self, current: &FileVersions) -> Option<PathBuf> {
        if !matches!(self.part, Part::Revocations) {
            return None;
        }
        let existed = |path: &PathBuf| self.seen.get(path).is_some_and(Option::is_some);
        let mut missing = current.iter().filter(|(_, version)| version.is_none());
        missing
            .find(|(path, _)| existed(path))
            .map(|(path, _)| path.clone())
    }

    /// Reads the part again if its files have changed. Returns `None` if they have not, or if they
    /// are read again later.
    fn read_change(&mut self, identity_config: &IdentityConfig) -> Option<WatchResult> {
        let current = self.part.versions(identity_config);
        if current == self.seen {
            return None;
        }
        let result = match self.vanished_list(&current) {
            Some(path) => Err(KeyFileError::Incomplete(path).into()),
            None => self.part.read(identity_config),
        };
        let is_transient_error = result.as_ref().is_err_and(WatchError::is_transient_failure);
        if is_transient_error && self.retries < MAX_READ_RETRIES {
            // `seen` is unchanged, so the next check finds the change again.
            self.retries += 1;
            return None;
        }
        self.retries = 0;
        if !result.as_ref().is_ok_and(AuthChange::may_be_partial) {
            self.seen = current;
        }
        Some(result)
    }
}

/// The message of the watching thread: a part that has changed, or why it cannot be used.
pub type WatchResult = Result<AuthChange, WatchError>;

/// A watch of all files, each of which was read once.
#[derive(Clone)]
pub struct KeyWatch {
    identity_config: IdentityConfig,
    parts: Vec<WatchedPart>,
}

impl KeyWatch {
    /// Reads all files for the first time.
    ///
    /// # Errors
    /// A file is missing or invalid, or changed a moment ago.
    pub fn begin(identity_config: &IdentityConfig) -> Result<(Self, Vec<AuthChange>), WatchError> {
        let mut parts = Vec::new();
        let mut content = Vec::new();
        for part in Part::ALL {
            let (watched, read) = WatchedPart::read_first(part, identity_config)?;
            parts.push(watched);
            content.push(read);
        }
        let watch = KeyWatch {
            identity_config: identity_config.clone(),
            parts,
        };
        Ok((watch, content))
    }

    /// Starts the thread that watches for changes. After the channel is dropped, the thread ends at
    /// the next change of a file.
    ///
    /// # Errors
    /// The thread cannot be started, because threads or memory are short. The call may be repeated.
    pub fn spawn(&self) -> io::Result<Channel<WatchResult>> {
        let (sender, channel) = sync_channel(1);
        let watch = self.clone();
        thread::Builder::new()
            .name("key files".to_owned())
            .spawn(move || watch.send_changes(&sender))?;
        Ok(channel)
    }

    fn send_changes(mut self, sender: &SyncSender<WatchResult>) {
        loop {
            thread::sleep(POLL_INTERVAL);
            for part in &mut self.parts {
                let Some(result) = part.read_change(&self.identity_config) else {
                    continue;
                };
                if sender.send(result).is_err() {
                    return;
                }
            }
        }
    }
}
