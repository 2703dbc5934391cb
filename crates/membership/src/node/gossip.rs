//! Records of other nodes, which arrive in the acks of their subjects, in other messages that their
//! subjects send, and as gossip updates from third nodes.

use admission::interface::Timestamp;

use super::{Event, Node};
use crate::dissemination::transmissions;
use crate::member::{Incarnation, MemberState, Name, Record};
use crate::member_entry::Witness;
use crate::member_table::Evidence;

/// Maximum distance by which an update's incarnation may exceed the held one. Members raise theirs
/// in small steps, so a larger distance cannot come from an honest node.
pub(super) const MAX_INCARNATION_LEAP: u32 = 100;
/// For this many seconds after a member came back from the dead, its failure reports are verified
/// and do not make it a witness: it was partitioned and regards the members that it could not reach
/// as dead.
const REVIVED_DISTRUST_S: f64 = 120.0;

impl Node {
    /// Handles an ack that a node sent directly to this one, which overrides all gossip about that
    /// node.
    pub(super) fn handle_direct_ack(&mut self, now: Timestamp, from: &Record) {
        self.has_joined = true;
        self.probe_retries.clear(&from.name);
        let Some(entry) = self.table.get_mut_keeping_view(&from.name) else {
            self.add_acked(now, from);
            return;
        };
        if entry.rejects_boot_of(from) {
            // This node's acks to it carry the record of the other boot, above which it then raises
            // its incarnation.
            return;
        }
        let was_confirmed = entry.confirmed;
        let before = entry.record.clone();
        entry.take_ack(now, from);
        let is_changed = !was_confirmed || before != entry.record;
        let was_dead = was_confirmed && before.state == MemberState::Dead;
        let is_alive = from.state == MemberState::Alive;
        if was_dead && before.boot_id == from.boot_id && is_alive {
            self.handle_false_death(now, &from.name);
        }
        if is_changed {
            self.member_changed(now, &from.name);
        }
    }

    /// Adds a node that acked a probe and was not in the table yet.
    fn add_acked(&mut self, now: Timestamp, from: &Record) {
        if !self.table.add(now, from.clone(), Evidence::Confirmed) {
            return;
        }
        if let Some(entry) = self.table.get_mut(&from.name) {
            entry.last_ack = Some(now);
        }
        self.member_changed(now, &from.name);
        // The new node may know members that this node's seeds do not.
        self.anti_entropy.next_exchange = now;
    }

    /// Handles the record that a node sends of itself from its own address. It is adopted if the
    /// node is a member held at that address in that boot; otherwise the node is verified.
    pub(super) fn handle_sender_record(&mut self, now: Timestamp, from: &Record) {
        let is_present = from.state.is_present();
        let Some(entry) = self.table.get_mut_keeping_view(&from.name) else {
            if is_present && self.table.add(now, from.clone(), Evidence::Gossip) {
                self.schedule_sender_verification(now, from);
            }
            return;
        };
        let is_same_process =
            entry.record.boot_id == from.boot_id && entry.record.address == from.address;
        if !entry.confirmed || !is_same_process {
            if is_present {
                self.schedule_sender_verification(now, from);
            }
            return;
        }
        let is_newer = from.incarnation > entry.record.incarnation;
        if !is_newer && entry.record.state == MemberState::Alive {
            return;
        }
        match from.state {
            MemberState::Left => self.handle_leave(now, from),
            _ if is_newer => self.replace_record(now, from.clone()),
            // A worse state is held at this incarnation. The probe carries that record to the
            // member, which refutes it.
            _ => self.schedule_sender_verification(now, from),
        }
    }

    /// Handles a member's own announcement that it leaves.
    fn handle_leave(&mut self, now: Timestamp, from: &Record) {
        let Some(entry) = self.table.get_mut_keeping_view(&from.name) else {
            return;
        };
        if entry.record.state == MemberState::Left {
            return;
        }
        entry.record = from.clone();
        entry.suspicion = None;
        self.member_changed(now, &from.name);
    }

    /// Replaces the held record of a confirmed member with a newer one.
    pub(super) fn replace_record(&mut self, now: Timestamp, record: Record) {
        let name = record.name.clone();
        let Some(entry) = self.table.get_mut(&name) else {
            return;
        };
        let was_dead = entry.record.state == MemberState::Dead;
        let is_same_boot = entry.record.boot_id == record.boot_id;
        entry.record = record;
        entry.suspicion = None;
        if was_dead && is_same_boot {
            self.handle_false_death(now, &name);
        }
        self.member_changed(now, &name);
    }

    /// Handles a gossip update that a member sent.
    pub(super) fn handle_update(&mut self, now: Timestamp, witness: &Record, update: Record) {
        if update.name == self.local.name {
            self.handle_record_of_self(now, &update);
            return;
        }
        if update.name == witness.name {
            return;
        }
        if !self.is_plausible(&update) {
            self.metrics.implausible_incarnations += 1;
            return;
        }
        let is_new = self.table.get(&update.name).is_none();
        if is_new && !self.add_candidate(now, &update) {
            return;
        }
        if self.has_traffic_limits() {
            if self.handle_agreeing_update(now, witness, &update) {
                return;
            }
            if self.is_failure_report_by_revived(now, witness, &update) {
                self.verify_at_held_address(now, &update);
                return;
            }
        }
        let name = update.name.clone();
        self.table.add_witness(
            &witness.name,
            Witness {
                record: update,
                heard: now,
                host: witness.address.ip(),
            },
        );
        self.evaluate_witnesses(now, &name);
    }

    /// Whether an honest node may have this incarnation: it is not at the end of the range, and not
    /// more than [`MAX_INCARNATION_LEAP`] above the held one.
    fn is_plausible(&self, update: &Record) -> bool {
        let held = self
            .table
            .get(&update.name)
            .map_or(Incarnation(0), |entry| entry.record.incarnation);
        let is_in_range = update.incarnation <= Incarnation::MAX;
        is_in_range && update.incarnation.ahead_of(held) <= MAX_INCARNATION_LEAP
    }

    /// Adds an unknown node as a candidate. Returns false if the update says that the node is gone,
    /// or if the table is full.
    fn add_candidate(&mut self, now: Timestamp, update: &Record) -> bool {
        update.state.is_present() && self.table.add(now, update.clone(), Evidence::Gossip)
    }

    /// Handles an update that does not contradict the held record, with traffic limits only: it is
    /// equal, it reports a higher incarnation of a member that is alive here, or it reports a
    /// member as gone that is gone here. Such an update needs no further witnesses and no probe,
    /// and it withdraws what its witness said before. Returns false, and changes nothing, for any
    /// other update.
    fn handle_agreeing_update(
        &mut self,
        now: Timestamp,
        witness: &Record,
        update: &Record,
    ) -> bool {
        let Some(entry) = self.table.get(&update.name).filter(|entry| entry.confirmed) else {
            return false;
        };
        let held = &entry.record;
        let is_same_process = held.boot_id == update.boot_id && held.address == update.address;
        let says_alive = update.state == MemberState::Alive;
        let is_alive_in_both = held.state == MemberState::Alive && says_alive && is_same_process;
        let is_gone_in_both = !entry.is_in_fleet()
            && !says_alive
            && update.boot_id == held.boot_id
            && update.incarnation <= held.incarnation;
        if entry.is_disputed_by(update) && !is_alive_in_both && !is_gone_in_both {
            return false;
        }
        let is_equal = held == update;
        let is_dead_only_here = held.state == MemberState::Dead
            && says_alive
            && is_same_process
            && update.incarnation == held.incarnation;
        if is_dead_only_here {
            // No other node will inform the member that it is considered dead here. A probe does,
            // and the member then refutes it.
            let address = held.address;
            self.schedule_gossip_verification(now, &update.name, address);
        }
        self.table.withdraw_witness(&witness.name, &update.name);
        if is_equal {
            // Another node spreads the same update, so this one needs to send it once less.
            self.dissemination.mark_transmitted(&update.name);
        }
        true
    }

    /// Whether a node that recently came back from the dead reports a failure. After a partition,
    /// two such witnesses would suffice to make every member of the side that they did not reach
    /// suspect at once.
    fn is_failure_report_by_revived(
        &self,
        now: Timestamp,
        witness: &Record,
        update: &Record,
    ) -> bool {
        let is_failure = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        let revived = self
            .table
            .get(&witness.name)
            .and_then(|entry| entry.revived);
        is_failure && revived.is_some_and(|revived| (now - revived).secs() < REVIVED_DISTRUST_S)
    }

    /// Schedules the verification of an update's subject at the held address, or at the address in
    /// the update if the subject is unknown.
    fn verify_at_held_address(&mut self, now: Timestamp, update: &Record) {
        let address = self
            .table
            .get(&update.name)
            .map_or(update.address, |entry| entry.record.address);
        self.schedule_unvouched_verification(now, &update.name, address);
    }

    /// Handles a change of a member's held record: emits an event and disseminates the record.
    pub(super) fn member_changed(&mut self, now: Timestamp, name: &Name) {
        let Some(entry) = self.table.get_mut(name) else {
            return;
        };
        entry.changed = now;
        let state = entry.record.state;
        let incarnation = entry.record.incarnation;
        self.drop_settled_verification(name);
        self.disseminate(name);
        self.emit(Event::MemberChanged {
            name: name.clone(),
            state,
            incarnation,
        });
    }

    /// Queues a member's record to be piggybacked on the next messages.
    fn disseminate(&mut self, name: &Name) {
        if !self.has_traffic_limits() {
            let count = transmissions(self.fleet_size() + 1);
            self.dissemination.enqueue(name, count);
            return;
        }
        let is_dead = self
            .table
            .get(name)
            .is_some_and(|entry| entry.record.state == MemberState::Dead);
        if is_dead && self.dissemination.contains(name) {
            // The member is already queued, usually as suspect. The remaining transmissions carry
            // its current state, which is dead.
            return;
        }
        let count = transmissions(self.table.len() + 2);
        self.dissemination.enqueue(name, count);
    }
}
