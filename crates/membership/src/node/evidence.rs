//! Byzantine-tolerant gossip: a claim about a node is adopted once enough independent witnesses
//! make it. With fewer witnesses, this node verifies it by a direct probe.

use std::net::SocketAddr;

use admission::interface::Timestamp;

use super::Node;
use crate::member::{MemberState, Name, Record};
use crate::member_entry::{MemberEntry, Witness};

/// What the witnesses of a member establish about it.
enum Verdict {
    /// Enough witnesses report this newer record.
    Newer(Record),
    /// Enough witnesses report that the member left.
    Left,
    /// Enough witnesses report that the member failed.
    Failed,
    /// Some witnesses contradict the held record, but too few. The member is to be verified at this
    /// address.
    Unproven(SocketAddr),
    /// No witness contradicts the held record.
    None,
}

impl Node {
    /// Adopts what enough independent witnesses say of a node, or schedules its verification if
    /// they are too few.
    pub(super) fn evaluate_witnesses(&mut self, now: Timestamp, name: &Name) {
        let Some(entry) = self.table.get(name) else {
            return;
        };
        if !entry.confirmed {
            self.evaluate_candidate(now, name);
            return;
        }
        // Almost all gossip about a member agrees with the held record, and this check is much
        // cheaper than counting witnesses.
        if !entry.is_disputed() {
            return;
        }
        match self.verdict_on(now, entry) {
            Verdict::Newer(record) => self.replace_record(now, record),
            Verdict::Left => self.set_left(now, name),
            Verdict::Failed => self.suspect(now, name),
            Verdict::Unproven(address) => self.schedule_unvouched_verification(now, name, address),
            Verdict::None => {}
        }
    }

    /// Determines what the witnesses of a confirmed member establish. Reports that it failed or
    /// left count only if they concern the boot that is held.
    fn verdict_on(&self, now: Timestamp, entry: &MemberEntry) -> Verdict {
        let required = self.config.required_witnesses();
        let held = &entry.record;
        let is_newer =
            |said: &Record| said.state == MemberState::Alive && said.incarnation > held.incarnation;
        let lifetime = self.table.witness_lifetime();
        if let Some(newer) = entry.vouched_record(now, lifetime, required, is_newer) {
            return Verdict::Newer(newer);
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
        if is_in_fleet && left >= required {
            Verdict::Left
        } else if is_alive && worse >= required {
            Verdict::Failed
        } else if newer > 0 || is_alive && worse > 0 {
            let said_newer = entry
                .witnesses
                .values()
                .rev()
                .map(|witness| &witness.record)
                .find(|said| is_newer(said));
            Verdict::Unproven(said_newer.unwrap_or(held).address)
        } else {
            Verdict::None
        }
    }

    fn set_left(&mut self, now: Timestamp, name: &Name) {
        if let Some(entry) = self.table.get_mut(name) {
            entry.record.state = MemberState::Left;
            entry.suspicion = None;
        }
        self.member_changed(now, name);
    }

    /// Brings a candidate into the fleet if enough witnesses agree on its record, or schedules its
    /// verification.
    fn evaluate_candidate(&mut self, now: Timestamp, name: &Name) {
        let Some(entry) = self.table.get(name) else {
            return;
        };
        let required = self.config.required_witnesses();
        let address = entry.record.address;
        let lifetime = self.table.candidate_witness_lifetime();
        let is_present = |said: &Record| said.state.is_present();
        let vouched = entry.vouched_record(now, lifetime, required, is_present);
        let Some(vouched) = vouched else {
            self.schedule_unvouched_verification(now, name, address);
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

    /// Adds a node as a witness of records that it holds exactly as this node does.
    pub(super) fn add_witness_for(
        &mut self,
        now: Timestamp,
        witness: &Record,
        records: Vec<Record>,
    ) {
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
            self.evaluate_witnesses(now, &name);
        }
    }
}
