//! Direct probes to come: of nodes of which too few witnesses spoke, or that spoke of themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use admission::interface::Timestamp;

use crate::member::Name;

/// Direct probes a period of nodes that did not speak themselves, at most, with traffic limits.
const MAX_GOSSIP_PROBES: usize = 2;

/// What makes a node be verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VerificationCause {
    /// It spoke itself.
    OwnMessage,
    /// Others spoke of it.
    Gossip,
}

/// A direct probe to come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Verification {
    /// Where to.
    pub(crate) address: SocketAddr,
    /// When at the earliest.
    pub(crate) due: Timestamp,
    /// What it is for.
    pub(crate) cause: VerificationCause,
}

/// Direct probes to come, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Verifications {
    pending: BTreeMap<Name, Verification>,
}

impl Verifications {
    /// Sets the direct probe of one. True: none was to come.
    pub(crate) fn schedule(&mut self, name: &Name, verification: Verification) -> bool {
        self.pending.insert(name.clone(), verification).is_none()
    }

    /// Sets where one goes that is to come already. False: none is.
    pub(crate) fn redirect(&mut self, name: &Name, address: SocketAddr) -> bool {
        let Some(verification) = self.pending.get_mut(name) else {
            return false;
        };
        verification.address = address;
        true
    }

    /// Takes one out: it is sent, or not needed any more.
    pub(crate) fn remove(&mut self, name: &Name) -> Option<Verification> {
        self.pending.remove(name)
    }

    /// Keeps those of these names only.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&Name) -> bool) {
        self.pending.retain(|name, _| is_kept(name));
    }

    /// Those that are due, in the order of their names.
    #[must_use]
    pub(crate) fn due(&self, now: Timestamp) -> Vec<Name> {
        self.pending
            .iter()
            .filter(|(_, verification)| verification.due <= now)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Of these, at most so many, those that spoke themselves first; of gossip a few, since others verify it as well.
    #[must_use]
    pub(crate) fn limit(&self, names: Vec<Name>, max: usize) -> Vec<Name> {
        let spoke_itself = |name: &Name| {
            self.pending
                .get(name)
                .is_some_and(|verification| verification.cause == VerificationCause::OwnMessage)
        };
        let (mut chosen, gossip): (Vec<Name>, Vec<Name>) =
            names.into_iter().partition(spoke_itself);
        chosen.extend(gossip.into_iter().take(MAX_GOSSIP_PROBES));
        chosen.truncate(max);
        chosen
    }
}
