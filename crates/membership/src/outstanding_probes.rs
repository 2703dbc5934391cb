//! The probes that are waiting for an ack.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};

use crate::member::Name;
use crate::message::Nonce;

/// The reason for a probe, which determines what happens when no ack arrives.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ProbePurpose {
    /// The probe checks a member, in its turn or to verify a claim. Without an ack, the member is
    /// suspected.
    Member(Name),
    /// The probe verifies a node that is known from gossip. Without an ack, an unconfirmed node is
    /// eventually dropped.
    Direct(Name),
    /// The probe looks for a seed, or for a dead or departed member, whose name is given. Without
    /// an ack, nothing happens.
    Rejoin(Option<Name>),
    /// The probe is sent on behalf of another node that cannot reach the target.
    Indirect {
        /// The node that requested the probe.
        requester: SocketAddr,
        /// The nonce of its request.
        nonce: Nonce,
    },
}

impl ProbePurpose {
    /// Returns the name of the target, or `None` if it is unknown.
    #[must_use]
    pub(crate) fn target_name(&self) -> Option<&Name> {
        match self {
            ProbePurpose::Member(name) | ProbePurpose::Direct(name) => Some(name),
            ProbePurpose::Rejoin(name) => name.as_ref(),
            ProbePurpose::Indirect { .. } => None,
        }
    }

    /// Returns whether a node of this name may send the ack.
    #[must_use]
    pub(crate) fn may_be_acked_by(&self, name: &Name) -> bool {
        match self {
            ProbePurpose::Member(target) | ProbePurpose::Direct(target) => target == name,
            ProbePurpose::Rejoin(_) | ProbePurpose::Indirect { .. } => true,
        }
    }
}

/// How long a probe waits for answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeTimeouts {
    /// How long the probe waits for the target's ack before other members are asked for indirect
    /// probes.
    pub(crate) direct: TimeDelta,
    /// How long the probe waits for any answer.
    pub(crate) total: TimeDelta,
}

impl ProbeTimeouts {
    /// Multiplies both time-outs by a factor.
    #[must_use]
    pub(crate) fn scaled_by(self, factor: f64) -> ProbeTimeouts {
        ProbeTimeouts {
            direct: TimeDelta::from_secs(self.direct.secs() * factor),
            total: TimeDelta::from_secs(self.total.secs() * factor),
        }
    }
}

/// A probe that is waiting for an ack.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    /// The reason for the probe.
    pub(crate) purpose: ProbePurpose,
    /// The address that the probe was sent to.
    pub(crate) target: SocketAddr,
    /// When the next step is due: asking for indirect probes, or giving up.
    pub(crate) due: Timestamp,
    /// When the probe fails.
    pub(crate) deadline: Timestamp,
    /// The relays that were asked for an indirect probe and have not answered.
    pub(crate) relays: BTreeSet<SocketAddr>,
    /// The number of relays that reported that they got no ack either.
    pub(crate) nacks: usize,
}

impl Probe {
    /// Creates a probe that is sent now.
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

/// All probes that are waiting for an ack, by their nonce.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutstandingProbes {
    probes: BTreeMap<Nonce, Probe>,
}

impl OutstandingProbes {
    /// Adds a probe.
    pub(crate) fn insert(&mut self, nonce: Nonce, probe: Probe) {
        self.probes.insert(nonce, probe);
    }

    /// Returns the probe with this nonce.
    #[must_use]
    pub(crate) fn get(&self, nonce: Nonce) -> Option<&Probe> {
        self.probes.get(&nonce)
    }

    /// Returns the probe with this nonce for a change.
    pub(crate) fn get_mut(&mut self, nonce: Nonce) -> Option<&mut Probe> {
        self.probes.get_mut(&nonce)
    }

    /// Removes and returns the probe with this nonce.
    pub(crate) fn remove(&mut self, nonce: Nonce) -> Option<Probe> {
        self.probes.remove(&nonce)
    }

    /// Removes all probes.
    pub(crate) fn clear(&mut self) {
        self.probes.clear();
    }

    /// Returns whether a member or direct probe of this node is outstanding.
    #[must_use]
    pub(crate) fn is_probing(&self, name: &Name) -> bool {
        self.probes.values().any(|probe| match &probe.purpose {
            ProbePurpose::Member(target) | ProbePurpose::Direct(target) => target == name,
            ProbePurpose::Rejoin(_) | ProbePurpose::Indirect { .. } => false,
        })
    }

    /// Returns the number of outstanding direct probes, which verify nodes known from gossip.
    #[must_use]
    pub(crate) fn direct_count(&self) -> usize {
        let is_direct = |probe: &&Probe| matches!(probe.purpose, ProbePurpose::Direct(_));
        self.probes.values().filter(is_direct).count()
    }

    /// Returns the number of probes outstanding on behalf of other nodes.
    #[must_use]
    pub(crate) fn indirect_count(&self) -> usize {
        let is_indirect = |probe: &&Probe| matches!(probe.purpose, ProbePurpose::Indirect { .. });
        self.probes.values().filter(is_indirect).count()
    }

    /// Returns when the next step of any probe is due, or `None` if no probe is outstanding.
    #[must_use]
    pub(crate) fn next_due(&self) -> Option<Timestamp> {
        self.probes.values().map(|probe| probe.due).min()
    }

    /// Returns the probes whose next step is due, ordered by nonce.
    #[must_use]
    pub(crate) fn due(&self, now: Timestamp) -> Vec<Nonce> {
        self.probes
            .iter()
            .filter(|(_, probe)| probe.due <= now)
            .map(|(nonce, _)| *nonce)
            .collect()
    }
}
