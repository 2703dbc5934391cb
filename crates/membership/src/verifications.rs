//! Scheduled direct probes, which verify nodes with too few witnesses and nodes that introduced
//! themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use admission::interface::Timestamp;

use crate::member::Name;

/// The maximum number of direct probes per period that verify gossip, with traffic limits.
const MAX_GOSSIP_VERIFICATIONS: usize = 2;

/// Why a node is verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VerificationCause {
    /// The node sent a message itself.
    OwnMessage,
    /// Other nodes reported the node.
    Gossip,
}

/// A scheduled direct probe.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Verification {
    /// The address to probe.
    pub(crate) address: SocketAddr,
    /// The earliest time at which the probe is sent.
    pub(crate) due: Timestamp,
    /// Why the node is verified.
    pub(crate) cause: VerificationCause,
}

/// The scheduled direct probes, by the name of the node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Verifications {
    pending: BTreeMap<Name, Verification>,
}

impl Verifications {
    /// Schedules the probe of a node, in place of a previous one. Returns true if none was
    /// scheduled.
    pub(crate) fn schedule(&mut self, name: &Name, verification: Verification) -> bool {
        self.pending.insert(name.clone(), verification).is_none()
    }

    /// Changes the address of a scheduled probe. Returns false if none is scheduled.
    pub(crate) fn redirect(&mut self, name: &Name, address: SocketAddr) -> bool {
        let Some(verification) = self.pending.get_mut(name) else {
            return false;
        };
        verification.address = address;
        true
    }

    /// Removes and returns a scheduled probe, because it is sent or no longer needed.
    pub(crate) fn remove(&mut self, name: &Name) -> Option<Verification> {
        self.pending.remove(name)
    }

    /// Removes the probes of all nodes that the predicate rejects.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&Name) -> bool) {
        self.pending.retain(|name, _| is_kept(name));
    }

    /// Returns the nodes whose probe is due, ordered by name.
    #[must_use]
    pub(crate) fn due(&self, now: Timestamp) -> Vec<Name> {
        self.pending
            .iter()
            .filter(|(_, verification)| verification.due <= now)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns at most `max` of the names. Nodes that sent a message themselves come first. Only a
    /// few of the nodes known from gossip are included, because other members verify them as well.
    #[must_use]
    pub(crate) fn limit(&self, names: Vec<Name>, max: usize) -> Vec<Name> {
        let sent_message = |name: &Name| {
            self.pending
                .get(name)
                .is_some_and(|verification| verification.cause == VerificationCause::OwnMessage)
        };
        let (mut chosen, gossip): (Vec<Name>, Vec<Name>) =
            names.into_iter().partition(sent_message);
        chosen.extend(gossip.into_iter().take(MAX_GOSSIP_VERIFICATIONS));
        chosen.truncate(max);
        chosen
    }
}
