//! Probes that wait for an ack.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};

use crate::member::Name;
use crate::message::Nonce;

/// What a probe is for, and what follows where no ack comes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ProbePurpose {
    /// Of a member, in turn or since something was heard of it: without an ack it is suspected.
    Member(Name),
    /// Of a node that gossip tells of: without an ack it is forgotten.
    Direct(Name),
    /// Of a seed, or of a member that was dead or left, by its name: without an ack nothing follows.
    Rejoin(Option<Name>),
    /// For another node that cannot reach the target.
    Indirect {
        /// The node that asked for it.
        requester: SocketAddr,
        /// The nonce of its request.
        nonce: Nonce,
    },
}

impl ProbePurpose {
    /// Whom it is for, where that is known.
    #[must_use]
    pub(crate) fn target_name(&self) -> Option<&Name> {
        match self {
            ProbePurpose::Member(name) | ProbePurpose::Direct(name) => Some(name),
            ProbePurpose::Rejoin(name) => name.as_ref(),
            ProbePurpose::Indirect { .. } => None,
        }
    }

    /// Whether the ack may come from a node of this name.
    #[must_use]
    pub(crate) fn may_be_acked_by(&self, name: &Name) -> bool {
        match self {
            ProbePurpose::Member(target) | ProbePurpose::Direct(target) => target == name,
            ProbePurpose::Rejoin(_) | ProbePurpose::Indirect { .. } => true,
        }
    }
}

/// How long a probe waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeTimeouts {
    /// For the ack of its target, before others are asked.
    pub(crate) direct: TimeDelta,
    /// For any answer.
    pub(crate) total: TimeDelta,
}

impl ProbeTimeouts {
    /// Both times as many times as long.
    #[must_use]
    pub(crate) fn scaled_by(self, factor: f64) -> ProbeTimeouts {
        ProbeTimeouts {
            direct: TimeDelta::from_secs(self.direct.secs() * factor),
            total: TimeDelta::from_secs(self.total.secs() * factor),
        }
    }
}

/// A probe that waits for an ack.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    /// What it is for.
    pub(crate) purpose: ProbePurpose,
    /// Where it was sent.
    pub(crate) target: SocketAddr,
    /// When the next step is due: others are asked, or it has failed.
    pub(crate) due: Timestamp,
    /// When it has failed.
    pub(crate) deadline: Timestamp,
    /// Members asked for an indirect probe that have not answered.
    pub(crate) relays: BTreeSet<SocketAddr>,
    /// Relays that said that they are well and had no ack either.
    pub(crate) nacks: usize,
}

impl Probe {
    /// A probe that is sent now.
    #[must_use]
    pub(crate) fn new(
        now: Timestamp,
        purpose: ProbePurpose,
        target: SocketAddr,
        timeouts: ProbeTimeouts,
    ) -> Self {
        let deadline = now + timeouts.total;
        let due = match purpose {
            ProbePurpose::Member(_) => now + timeouts.direct,
            _ => deadline,
        };
        Probe {
            purpose,
            target,
            due,
            deadline,
            relays: BTreeSet::new(),
            nacks: 0,
        }
    }
}

/// All probes that wait for an ack, by their nonces.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutstandingProbes {
    probes: BTreeMap<Nonce, Probe>,
}

impl OutstandingProbes {
    /// Adds one.
    pub(crate) fn insert(&mut self, nonce: Nonce, probe: Probe) {
        self.probes.insert(nonce, probe);
    }

    /// The probe of a nonce.
    #[must_use]
    pub(crate) fn get(&self, nonce: Nonce) -> Option<&Probe> {
        self.probes.get(&nonce)
    }

    /// The probe of a nonce, to be changed.
    pub(crate) fn get_mut(&mut self, nonce: Nonce) -> Option<&mut Probe> {
        self.probes.get_mut(&nonce)
    }

    /// Takes a probe out: it is over.
    pub(crate) fn remove(&mut self, nonce: Nonce) -> Option<Probe> {
        self.probes.remove(&nonce)
    }

    /// Forgets all.
    pub(crate) fn clear(&mut self) {
        self.probes.clear();
    }

    /// Whether a node of this name is being probed, in turn or directly.
    #[must_use]
    pub(crate) fn is_probing(&self, name: &Name) -> bool {
        self.probes.values().any(|probe| match &probe.purpose {
            ProbePurpose::Member(target) | ProbePurpose::Direct(target) => target == name,
            ProbePurpose::Rejoin(_) | ProbePurpose::Indirect { .. } => false,
        })
    }

    /// Direct probes of nodes that gossip tells of.
    #[must_use]
    pub(crate) fn direct_count(&self) -> usize {
        let is_direct = |probe: &&Probe| matches!(probe.purpose, ProbePurpose::Direct(_));
        self.probes.values().filter(is_direct).count()
    }

    /// Indirect probes for other nodes.
    #[must_use]
    pub(crate) fn indirect_count(&self) -> usize {
        let is_indirect = |probe: &&Probe| matches!(probe.purpose, ProbePurpose::Indirect { .. });
        self.probes.values().filter(is_indirect).count()
    }

    /// When the next step of any is due.
    #[must_use]
    pub(crate) fn next_due(&self) -> Option<Timestamp> {
        self.probes.values().map(|probe| probe.due).min()
    }

    /// Probes whose next step is due, in the order of their nonces.
    #[must_use]
    pub(crate) fn due(&self, now: Timestamp) -> Vec<Nonce> {
        self.probes
            .iter()
            .filter(|(_, probe)| probe.due <= now)
            .map(|(nonce, _)| *nonce)
            .collect()
    }
}
