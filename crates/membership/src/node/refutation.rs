//! Records that others hold of this node itself: refutation of wrong states, records of an earlier
//! boot, and conflicts with a second process of the same name.

use std::net::SocketAddr;

use admission::interface::Timestamp;

use super::gossip::MAX_INCARNATION_LEAP;
use super::{Event, Node};
use crate::member::{Incarnation, MemberState, Record};
use crate::message::{Body, Message, Nonce};
use crate::outstanding_probes::ProbePurpose;

/// Maximum distance above its own incarnation at which a node accepts a record of its own boot.
/// Only the node itself raises its incarnation; the margin allows for values that a Byzantine node
/// spread.
const MAX_SELF_INCARNATION_LEAP: u32 = 16;

impl Node {
    /// Handles a record that another node holds of this one. It is refuted if its state is wrong,
    /// and checked for a name conflict if it is of another boot.
    pub(super) fn handle_record_of_self(&mut self, now: Timestamp, held: &Record) {
        let is_same_boot = held.boot_id == self.local.boot_id;
        // Only this node raises its incarnation, so no honest node reports one far above it.
        let leap = held.incarnation.ahead_of(self.local.incarnation);
        let is_leap_too_large = is_same_boot && leap > MAX_SELF_INCARNATION_LEAP;
        if held.incarnation >= Incarnation::MAX || is_leap_too_large {
            self.metrics.implausible_incarnations += 1;
            return;
        }
        if !is_same_boot {
            self.handle_other_boot(now, held);
            return;
        }
        let is_wrong = held.state != MemberState::Alive && self.local.state == MemberState::Alive;
        if is_wrong && held.incarnation >= self.local.incarnation {
            self.raise_incarnation_above(held.incarnation);
            self.metrics.refutations += 1;
            self.emit(Event::Refuted(self.local.incarnation));
        }
    }

    /// Sets this node's incarnation to the one after `incarnation`.
    fn raise_incarnation_above(&mut self, incarnation: Incarnation) {
        self.local.incarnation = incarnation.next();
        self.table.invalidate_view();
    }

    /// Handles a record of another boot under this node's name. Against an earlier boot, this node
    /// raises its incarnation. Since the record may also be of a second running process, its
    /// address is probed if it differs from this node's.
    fn handle_other_boot(&mut self, now: Timestamp, other: &Record) {
        let is_above = other.incarnation >= self.local.incarnation;
        if is_above && self.name_conflict.may_raise_incarnation(now) {
            let highest_plausible = Incarnation(
                self.local
                    .incarnation
                    .0
                    .saturating_add(MAX_INCARNATION_LEAP),
            );
            self.raise_incarnation_above(other.incarnation.min(highest_plausible));
        }
        let may_be_running = other.address != self.local.address && other.state.is_present();
        if may_be_running && self.name_conflict.should_probe(other.boot_id) {
            self.send_probe(now, ProbePurpose::Rejoin(None), other.address);
        }
    }

    /// Handles a message under this node's own name. A process that answers a probe at its address
    /// proves the conflict. A node whose view has converged with others then stays; one that has
    /// not converged yet withdraws for a random time.
    pub(super) fn handle_message_under_own_name(
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
            self.handle_other_boot(now, other);
            return;
        };
        if self.consume_conflict_ack(source, nonce) {
            self.name_conflict.conflict_confirmed(now, &mut self.rng);
            self.emit(Event::NameConflict {
                other: other.boot_id,
            });
        }
    }

    /// Removes the outstanding probe that an ack answers. Returns false if no such probe went to
    /// `source`.
    fn consume_conflict_ack(&mut self, source: SocketAddr, nonce: Nonce) -> bool {
        let is_expected = self
            .probes
            .get(nonce)
            .is_some_and(|probe| probe.target == source);
        if is_expected {
            self.probes.remove(nonce);
        }
        is_expected
    }
}
