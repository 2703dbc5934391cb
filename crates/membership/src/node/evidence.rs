//! Byzantine-tolerant gossip: what enough independent witnesses say of a node is held; what fewer say is verified.

use std::net::SocketAddr;

use admission::interface::Timestamp;

use super::Node;
use crate::member::{MemberState, Name, Record};
use crate::member_entry::{MemberEntry, Witness};

/// What follows from the witnesses of a member.
enum Judgement {
    /// Enough say something newer.
    Newer(Record),
    /// Enough say that it left.
    Left,
    /// Enough say that it failed.
    Failed,
    /// Too few say something else: the member is verified at this address.
    Unclear(SocketAddr),
    /// Nothing.
    None,
}

impl Node {
    /// Holds what enough independent witnesses say of a node, and has it verified where fewer do.
    pub(super) fn weigh(&mut self, now: Timestamp, name: &Name) {
        let Some(entry) = self.table.get(name) else {
            return;
        };
        if !entry.confirmed {
            self.weigh_candidate(now, name);
            return;
        }
        // Nearly all that is heard of a member is what is held of it; weighing witnesses costs many times this look.
        if !entry.is_disputed() {
            return;
        }
        match self.judge(now, entry) {
            Judgement::Newer(record) => self.replace_record(now, record),
            Judgement::Left => self.set_left(now, name),
            Judgement::Failed => self.suspect(now, name),
            Judgement::Unclear(address) => self.verify_unvouched(now, name, address),
            Judgement::None => {}
        }
    }

    fn judge(&self, now: Timestamp, entry: &MemberEntry) -> Judgement {
        let need = self.config.required_witnesses();
        let held = &entry.record;
        let is_newer =
            |said: &Record| said.state == MemberState::Alive && said.incarnation > held.incarnation;
        let lifetime = self.table.witness_lifetime();
        if let Some(newer) = entry.vouched_record(now, lifetime, need, is_newer) {
            return Judgement::Newer(newer);
        }
        let is_same_boot =
            |said: &Record| said.boot_id == held.boot_id && said.incarnation >= held.incarnation;
        let says_left = |said: &Record| is_same_boot(said) && said.state == MemberState::Left;
        let says_worse = |said: &Record| is_same_boot(said) && said.state > MemberState::Alive;
        let newer = entry.witness_hosts(now, is_newer).len();
        let left = entry.witness_hosts(now, says_left).len();
        let worse = entry.witness_hosts(now, says_worse).len();
        let is_in_fleet = entry.is_in_fleet();
        let is_alive = is_in_fleet && held.state == MemberState::Alive;
        if is_in_fleet && left >= need {
            Judgement::Left
        } else if is_alive && worse >= need {
            Judgement::Failed
        } else if newer > 0 || is_alive && worse > 0 {
            let said_newer = entry
                .witnesses
                .values()
                .rev()
                .map(|witness| &witness.record)
                .find(|said| is_newer(said));
            Judgement::Unclear(said_newer.unwrap_or(held).address)
        } else {
            Judgement::None
        }
    }

    fn set_left(&mut self, now: Timestamp, name: &Name) {
        if let Some(entry) = self.table.get_mut(name) {
            entry.record.state = MemberState::Left;
            entry.suspicion = None;
        }
        self.member_changed(now, name);
    }

    /// A node that is not in the fleet yet: enough witnesses bring it in.
    fn weigh_candidate(&mut self, now: Timestamp, name: &Name) {
        let Some(entry) = self.table.get(name) else {
            return;
        };
        let need = self.config.required_witnesses();
        let address = entry.record.address;
        let lifetime = self.table.candidate_witness_lifetime();
        let is_present = |said: &Record| said.state.is_present();
        let vouched = entry.vouched_record(now, lifetime, need, is_present);
        let Some(vouched) = vouched else {
            self.verify_unvouched(now, name, address);
            return;
        };
        if let Some(entry) = self.table.get_mut(name) {
            entry.record = Record {
                state: MemberState::Alive,
                ..vouched
            };
            entry.confirmed = true;
        }
        self.has_joined = true;
        self.verifications.remove(name);
        self.member_changed(now, name);
    }

    /// A node vouches for these records as they are held here.
    pub(super) fn add_vouched(&mut self, now: Timestamp, witness: &Record, records: Vec<Record>) {
        for record in records {
            let name = record.name.clone();
            self.metrics.vouched_by_digest += 1;
            self.table.add_witness(
                &witness.name,
                Witness {
                    record,
                    heard: now,
                    host: witness.address.ip(),
                },
            );
            self.weigh(now, &name);
        }
    }
}
