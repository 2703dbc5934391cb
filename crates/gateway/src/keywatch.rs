//! Key files and certificates for a running gateway. A thread of its own reads them, so that the loop never waits for a
//! disk; what it read comes by a channel that holds one, and a change that finds it full is seen again.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};

use calloop::channel::{Channel, SyncSender, sync_channel};
use operator_config::Callers;
use rustls::ServerConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use thiserror::Error;

use crate::keyfiles::{self, Files, FilesError};

/// How often the files are looked at: with the time to read them, the bound from a change to the first refusal.
const LOOK: Duration = Duration::from_millis(250);

#[derive(Debug, Error)]
pub enum WatchError {
    #[error(transparent)]
    Files(#[from] FilesError),
    #[error("{0}: {1}")]
    Pem(PathBuf, rustls::pki_types::pem::Error),
    #[error("{0}: {1}")]
    Tls(PathBuf, rustls::Error),
}

/// Everything by which callers are known, whole.
pub struct Known {
    pub files: Files,
    pub tls: Arc<ServerConfig>,
}

/// # Errors
/// Any file of it is missing or cannot be used.
pub fn read(callers: &Callers) -> Result<Known, WatchError> {
    let files = keyfiles::read(&callers.keys_folder)?;
    let path = &callers.certificate;
    let pem = |error| WatchError::Pem(path.clone(), error);
    let chain = CertificateDer::pem_file_iter(path)
        .map_err(pem)?
        .collect::<Result<Vec<_>, _>>()
        .map_err(pem)?;
    let key = PrivateKeyDer::from_pem_file(&callers.private_key);
    let key = key.map_err(|error| WatchError::Pem(callers.private_key.clone(), error))?;
    let tls = |error| WatchError::Tls(path.clone(), error);
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(tls)?;
    let tls = builder
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(tls)?;
    Ok(Known {
        files,
        tls: Arc::new(tls),
    })
}

/// What tells that something changed, without reading it.
fn stamps(callers: &Callers) -> Vec<Option<SystemTime>> {
    let of = [
        callers.keys_folder.join("index.json"),
        callers.certificate.clone(),
        callers.private_key.clone(),
    ];
    of.iter()
        .map(|path| {
            std::fs::metadata(path)
                .and_then(|data| data.modified())
                .ok()
        })
        .collect()
}

/// Starts the thread; it ends with the channel.
pub fn watch(callers: Callers) -> Channel<Result<Known, WatchError>> {
    let (sender, channel) = sync_channel(1);
    let mut seen = stamps(&callers);
    thread::spawn(move || {
        let sender: SyncSender<Result<Known, WatchError>> = sender;
        loop {
            thread::sleep(LOOK);
            let now = stamps(&callers);
            if now != seen {
                if sender.send(read(&callers)).is_err() {
                    return;
                }
                seen = now;
            }
        }
    });
    channel
}
