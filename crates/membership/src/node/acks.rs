//! Answers to probes: acks from probe targets, and acks and nacks from indirect-probe relays.

use std::net::SocketAddr;

use admission::interface::Timestamp;

use super::Node;
use super::send::Recipient;
use crate::message::{Body, Message, Nonce, RejectReason};
use crate::outstanding_probes::ProbePurpose;

/// How a message answers a probe of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeAnswer {
    /// The message does not answer a probe.
    None,
    /// The sender is the target of a probe and answered it directly.
    Ack,
    /// The sender is a relay and reports the result of an indirect probe.
    Relayed,
}

impl Node {
    /// Handles a message that may answer a probe. Fails if the message is an answer that no
    /// outstanding probe expects from `source`.
    pub(super) fn handle_probe_answer(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        message: &Message,
    ) -> Result<ProbeAnswer, RejectReason> {
        match message.body {
            Body::Ack(nonce) => {
                self.handle_ack(now, source, message, nonce)?;
                Ok(ProbeAnswer::Ack)
            }
            Body::IndirectAck(nonce) => {
                self.handle_indirect_ack(now, source, nonce)?;
                Ok(ProbeAnswer::Relayed)
            }
            Body::IndirectNack(nonce) => {
                self.handle_indirect_nack(source, nonce)?;
                Ok(ProbeAnswer::Relayed)
            }
            _ => Ok(ProbeAnswer::None),
        }
    }

    fn handle_ack(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        message: &Message,
        nonce: Nonce,
    ) -> Result<(), RejectReason> {
        let from = &message.from;
        let is_expected = self.probes.get(nonce).is_some_and(|probe| {
            probe.target == source && probe.purpose.may_be_acked_by(&from.name)
        });
        if !is_expected {
            return Err(RejectReason::Unsolicited);
        }
        match self.probes.remove(nonce).map(|probe| probe.purpose) {
            Some(ProbePurpose::Member(_)) => self.local_health.improve(),
            Some(ProbePurpose::Indirect { requester, nonce }) => {
                let requester = Recipient::unnamed(requester);
                self.send(now, &requester, Body::IndirectAck(nonce), Vec::new());
            }
            _ => {}
        }
        self.verifications.remove(&from.name);
        self.handle_direct_ack(now, from);
        Ok(())
    }

    /// Handles a relay's report that the target answered.
    fn handle_indirect_ack(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        nonce: Nonce,
    ) -> Result<(), RejectReason> {
        self.remove_relay(source, nonce)?;
        if let Some(probe) = self.probes.remove(nonce)
            && let ProbePurpose::Member(name) = probe.purpose
        {
            self.clear_suspicion(now, &name);
        }
        Ok(())
    }

    /// Handles a relay's report that the target did not answer. The report shows that the relay and
    /// the path to it are healthy.
    fn handle_indirect_nack(
        &mut self,
        source: SocketAddr,
        nonce: Nonce,
    ) -> Result<(), RejectReason> {
        self.remove_relay(source, nonce)?;
        if let Some(probe) = self.probes.get_mut(nonce) {
            probe.nacks += 1;
        }
        Ok(())
    }

    /// Removes a relay from those that still owe an answer to a probe, so that each relay answers
    /// once. Fails if the probe is unknown or `source` is not such a relay.
    fn remove_relay(&mut self, source: SocketAddr, nonce: Nonce) -> Result<(), RejectReason> {
        let probe = self
            .probes
            .get_mut(nonce)
            .ok_or(RejectReason::Unsolicited)?;
        if probe.relays.remove(&source) {
            Ok(())
        } else {
            Err(RejectReason::Unsolicited)
        }
    }
}
