//! Records of other nodes: by their ack, in their own messages, and as updates of gossip.

use admission::interface::Timestamp;

use super::{Event, Node};
use crate::dissemination::transmissions;
use crate::member::{Incarnation, MemberState, Name, Record};
use crate::member_entry::Witness;
use crate::member_table::Evidence;

/// An incarnation that is further ahead than this is no word of a node that lives as others do.
pub(super) const MAX_INCARNATION_LEAP: u32 = 100;
/// Seconds after its return for which what a node says of others' failures is verified, and makes it no witness: it was cut
/// off from them, and holds for dead whom it did not reach.
const REVIVED_S: f64 = 120.0;

impl Node {
    /// A node answered a probe of this one itself: that outweighs what anybody says.
    pub(super) fn take_direct_ack(&mut self, now: Timestamp, from: &Record) {
        self.has_joined = true;
        self.probe_retries.clear(&from.name);
        let Some(entry) = self.table.get_mut_keeping_view(&from.name) else {
            self.add_acked(now, from);
            return;
        };
        if entry.rejects_boot_of(from) {
            // The node hears of the earlier boot with this node's answer, and rises.
            return;
        }
        let was_confirmed = entry.confirmed;
        let before = entry.record.clone();
        entry.take_ack(now, from);
        let is_changed = !was_confirmed || before != entry.record;
        let was_dead = was_confirmed && before.state == MemberState::Dead;
        let is_alive = from.state == MemberState::Alive;
        if was_dead && before.boot_id == from.boot_id && is_alive {
            self.note_false_death(now, &from.name);
        }
        if is_changed {
            self.member_changed(now, &from.name);
        }
    }

    /// A node that was not held yet.
    fn add_acked(&mut self, now: Timestamp, from: &Record) {
        if !self.table.add(now, from.clone(), Evidence::Confirmed) {
            return;
        }
        if let Some(entry) = self.table.get_mut(&from.name) {
            entry.last_ack = Some(now);
        }
        self.member_changed(now, &from.name);
        // It may know more than the seed by which it came.
        self.anti_entropy.next_exchange = now;
    }

    /// A node's own record, from its own address: believed of a member that is held at that address, else verified.
    pub(super) fn take_own_record(&mut self, now: Timestamp, from: &Record) {
        let is_present = from.state.is_present();
        let Some(entry) = self.table.get_mut_keeping_view(&from.name) else {
            if is_present && self.table.add(now, from.clone(), Evidence::Gossip) {
                self.verify_sender(now, from);
            }
            return;
        };
        let is_same_process =
            entry.record.boot_id == from.boot_id && entry.record.address == from.address;
        if !entry.confirmed || !is_same_process {
            if is_present {
                self.verify_sender(now, from);
            }
            return;
        }
        let is_newer = from.incarnation > entry.record.incarnation;
        if !is_newer && entry.record.state == MemberState::Alive {
            return;
        }
        match from.state {
            MemberState::Left => self.take_leave(now, from),
            _ if is_newer => self.replace_record(now, from.clone()),
            // Something worse is held at this incarnation: it will hear of that, and rise.
            _ => self.verify_sender(now, from),
        }
    }

    /// A member says that it leaves.
    fn take_leave(&mut self, now: Timestamp, from: &Record) {
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

    /// Holds a newer record of a confirmed member in place of the one that is held.
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
            self.note_false_death(now, &name);
        }
        self.member_changed(now, &name);
    }

    /// An update that a member told.
    pub(super) fn take_update(&mut self, now: Timestamp, witness: &Record, update: Record) {
        if update.name == self.local.name {
            self.take_record_of_self(now, &update);
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
            if self.take_agreeing_update(now, witness, &update) {
                return;
            }
            if self.was_witness_cut_off(now, witness, &update) {
                self.verify_held(now, &update);
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
        self.weigh(now, &name);
    }

    /// Members raise their incarnations step by step: none is at the end of the range, or far ahead of what is held.
    fn is_plausible(&self, update: &Record) -> bool {
        let held = self
            .table
            .get(&update.name)
            .map_or(Incarnation(0), |entry| entry.record.incarnation);
        let is_in_range = update.incarnation <= Incarnation::MAX;
        is_in_range && update.incarnation.ahead_of(held) <= MAX_INCARNATION_LEAP
    }

    fn add_candidate(&mut self, now: Timestamp, update: &Record) -> bool {
        update.state.is_present() && self.table.add(now, update.clone(), Evidence::Gossip)
    }

    /// With traffic limits: an update that agrees with what is held, or that tells of a member held alive that it rose
    /// meanwhile, needs no witnesses and no probe. What its witness said before is withdrawn by it. False: it says something
    /// else.
    fn take_agreeing_update(&mut self, now: Timestamp, witness: &Record, update: &Record) -> bool {
        let Some(entry) = self.table.get(&update.name).filter(|entry| entry.confirmed) else {
            return false;
        };
        let held = &entry.record;
        let is_same_process = held.boot_id == update.boot_id && held.address == update.address;
        let says_alive = update.state == MemberState::Alive;
        let is_alive_in_both = held.state == MemberState::Alive && says_alive && is_same_process;
        let is_gone_already = !entry.is_in_fleet()
            && !says_alive
            && update.boot_id == held.boot_id
            && update.incarnation <= held.incarnation;
        if entry.is_disputed_by(update) && !is_alive_in_both && !is_gone_already {
            return false;
        }
        let is_equal = held == update;
        let is_dead_here_alone = held.state == MemberState::Dead
            && says_alive
            && is_same_process
            && update.incarnation == held.incarnation;
        if is_dead_here_alone {
            // Nobody else tells the member that it is held for dead: a probe tells it, and it rises.
            let address = held.address;
            self.verify_by_gossip(now, &update.name, address);
        }
        self.table.withdraw_witness(&witness.name, &update.name);
        if is_equal {
            // Others tell it too.
            self.dissemination.mark_transmitted(&update.name);
        }
        true
    }

    /// With traffic limits: whether this is word of a failure by a node that came back lately. Two of them would make each
    /// member of the half that they did not reach suspect, all at once.
    fn was_witness_cut_off(&self, now: Timestamp, witness: &Record, update: &Record) -> bool {
        let is_failure = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        let revived = self
            .table
            .get(&witness.name)
            .and_then(|entry| entry.revived);
        is_failure && revived.is_some_and(|revived| (now - revived).secs() < REVIVED_S)
    }

    /// Verifies a member that an update speaks of, where it is held to be.
    fn verify_held(&mut self, now: Timestamp, update: &Record) {
        let address = self
            .table
            .get(&update.name)
            .map_or(update.address, |entry| entry.record.address);
        self.verify_unvouched(now, &update.name, address);
    }

    /// The record that is held of a member changed: it is told on.
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

    /// Tells a member's record with the next messages.
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
            // It is being told as suspected: from now on it is told as dead, as often as was left.
            return;
        }
        let count = transmissions(self.table.len() + 2);
        self.dissemination.enqueue(name, count);
    }
}
