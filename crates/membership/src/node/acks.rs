//! Answers to probes: acks of their targets, and acks and nacks of indirect-probe relays.

use std::net::SocketAddr;

use admission::interface::Timestamp;

use super::Node;
use super::send::Recipient;
use crate::message::{Body, Message, Nonce, RejectReason};
use crate::outstanding_probes::ProbePurpose;

/// What a message answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeAnswer {
    /// Nothing: it is no answer to a probe.
    None,
    /// The sender was probed, and answered this node itself.
    Ack,
    /// The sender was asked for an indirect probe.
    Relayed,
}

impl Node {
    /// Takes in an answer to a probe, from where it was sent to.
    pub(super) fn take_probe_answer(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        message: &Message,
    ) -> Result<ProbeAnswer, RejectReason> {
        match message.body {
            Body::Ack(nonce) => {
                self.take_ack(now, source, message, nonce)?;
                Ok(ProbeAnswer::Ack)
            }
            Body::IndirectAck(nonce) => {
                self.take_indirect_ack(now, source, nonce)?;
                Ok(ProbeAnswer::Relayed)
            }
            Body::IndirectNack(nonce) => {
                self.take_indirect_nack(source, nonce)?;
                Ok(ProbeAnswer::Relayed)
            }
            _ => Ok(ProbeAnswer::None),
        }
    }

    fn take_ack(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        message: &Message,
        nonce: Nonce,
    ) -> Result<(), RejectReason> {
        let from = &message.from;
        let is_answer = self.probes.get(nonce).is_some_and(|probe| {
            probe.target == source && probe.purpose.may_be_acked_by(&from.name)
        });
        if !is_answer {
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
        self.take_direct_ack(now, from);
        Ok(())
    }

    /// A relay reached the target.
    fn take_indirect_ack(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        nonce: Nonce,
    ) -> Result<(), RejectReason> {
        self.take_relay(source, nonce)?;
        if let Some(probe) = self.probes.remove(nonce)
            && let ProbePurpose::Member(name) = probe.purpose
        {
            self.clear_suspicion(now, &name);
        }
        Ok(())
    }

    /// A relay did not reach the target, and is well itself.
    fn take_indirect_nack(&mut self, source: SocketAddr, nonce: Nonce) -> Result<(), RejectReason> {
        self.take_relay(source, nonce)?;
        if let Some(probe) = self.probes.get_mut(nonce) {
            probe.nacks += 1;
        }
        Ok(())
    }

    /// Only those that were asked for an indirect probe may answer it, once each.
    fn take_relay(&mut self, source: SocketAddr, nonce: Nonce) -> Result<(), RejectReason> {
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
