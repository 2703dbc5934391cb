//! What others say of this node itself: refutation, an earlier boot, and a second process of its name.

use std::net::SocketAddr;

use admission::interface::Timestamp;

use super::gossip::MAX_INCARNATION_LEAP;
use super::{Event, Node};
use crate::member::{Incarnation, MemberState, Record};
use crate::message::{Body, Message, Nonce};
use crate::outstanding_probes::ProbePurpose;

/// How far ahead of its own incarnation a node believes others to be: it knows how far it rose, and some more is for what
/// others were made to hold.
const MAX_LOCAL_LEAP: u32 = 16;

impl Node {
    /// What another node holds of this one: worse than it is, or another boot of it.
    pub(super) fn take_record_of_self(&mut self, now: Timestamp, held: &Record) {
        let is_same_boot = held.boot_id == self.local.boot_id;
        // Only this node raises its incarnation: a number far above it is no honest node's.
        let leap = held.incarnation.ahead_of(self.local.incarnation);
        let is_too_far = is_same_boot && leap > MAX_LOCAL_LEAP;
        if held.incarnation >= Incarnation::MAX || is_too_far {
            self.metrics.implausible_incarnations += 1;
            return;
        }
        if !is_same_boot {
            self.take_other_boot(now, held);
            return;
        }
        let is_wrong = held.state != MemberState::Alive && self.local.state == MemberState::Alive;
        if is_wrong && held.incarnation >= self.local.incarnation {
            self.rise_above(held.incarnation);
            self.metrics.refutations += 1;
            self.emit(Event::Refuted(self.local.incarnation));
        }
    }

    fn rise_above(&mut self, incarnation: Incarnation) {
        self.local.incarnation = incarnation.next();
        self.table.invalidate_view();
    }

    /// Another boot under this name: an earlier one, above which this one rises, or a second process, which would answer
    /// where it is said to be.
    fn take_other_boot(&mut self, now: Timestamp, other: &Record) {
        let is_above = other.incarnation >= self.local.incarnation;
        if is_above && self.name_conflict.may_raise_incarnation(now) {
            let reachable = Incarnation(
                self.local
                    .incarnation
                    .0
                    .saturating_add(MAX_INCARNATION_LEAP),
            );
            self.rise_above(other.incarnation.min(reachable));
        }
        let may_be_there = other.address != self.local.address && other.state.is_present();
        if may_be_there && self.name_conflict.should_probe(other.boot_id) {
            self.send_probe(now, ProbePurpose::Rejoin(None), other.address);
        }
    }

    /// A message under this node's own name. A process that answers a probe at its address is there as well: a node whose
    /// view converged with others' stays, one that comes later gives way for a time by chance.
    pub(super) fn take_message_under_own_name(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        message: &Message,
    ) {
        let other = &message.from;
        if other.boot_id == self.local.boot_id {
            return;
        }
        let Body::Ack(nonce) = message.body else {
            self.take_other_boot(now, other);
            return;
        };
        if self.take_conflict_ack(source, nonce) {
            self.name_conflict.conflict_confirmed(now, &mut self.rng);
            self.emit(Event::NameConflict {
                other: other.boot_id,
            });
        }
    }

    /// Whether an ack is to a probe that went to its source, which is over by it.
    fn take_conflict_ack(&mut self, source: SocketAddr, nonce: Nonce) -> bool {
        let is_answer = self
            .probes
            .get(nonce)
            .is_some_and(|probe| probe.target == source);
        if is_answer {
            self.probes.remove(nonce);
        }
        is_answer
    }
}
