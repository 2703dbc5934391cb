//! Messages in: the chain of checks by which they are rejected, and whom they then go on to.

use std::net::SocketAddr;

use admission::interface::Timestamp;

use super::send::ReceivedPayload;
use super::{Node, acks::ProbeAnswer};
use crate::anti_entropy::Reservation;
use crate::engine_gossip::{EngineReport, MAX_REPORTS_PER_MESSAGE};
use crate::member::{Incarnation, MemberState, Record};
use crate::member_entry::MemberEntry;
use crate::message::{self, Body, Message, RejectReason, View};
use crate::request_limits::SenderStatus;
use crate::table_digest::{BucketRange, MAX_FINGERPRINTS};

/// Payloads of other subsystems that wait to be taken.
const MAX_PAYLOADS: usize = 256;

impl Node {
    /// Takes in a datagram that came from an address.
    ///
    /// # Errors
    /// It was rejected; this is why, and it was counted.
    pub fn receive(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        bytes: &[u8],
    ) -> Result<(), RejectReason> {
        let result = self.accept(now, source, bytes);
        self.metrics.count_received(result);
        result
    }

    fn accept(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        bytes: &[u8],
    ) -> Result<(), RejectReason> {
        let message = message::open(&self.key_ring, &self.fleet, bytes)?;
        self.check_not_withdrawn()?;
        check_source(&message, source)?;
        self.check_name(now, source, &message)?;
        self.check_incarnation(&message)?;
        let sender = self.check_replay(&message, source)?;
        check_form(&message.body)?;
        self.check_rate(now, sender, &message.body)?;
        let answer = self.take_probe_answer(now, source, &message)?;
        if answer != ProbeAnswer::Ack {
            self.take_own_record(now, &message.from);
        }
        if sender == SenderStatus::Unknown {
            self.note_counter(&message);
        }
        self.handle(now, source, message)
    }

    /// Gives gossip and the body to those that they are for.
    fn handle(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        message: Message,
    ) -> Result<(), RejectReason> {
        let from = message.from;
        self.take_gossip(
            now,
            &from,
            message.view,
            message.records,
            &message.engine_reports,
        );
        match message.body {
            Body::Payload(payload) => self.take_payload(source, from, payload),
            body => {
                self.reply(now, &from, body);
                Ok(())
            }
        }
    }

    /// This node gave way to another process of its name: it takes part in nothing.
    fn check_not_withdrawn(&self) -> Result<(), RejectReason> {
        if self.name_conflict.is_withdrawn() {
            return Err(RejectReason::OwnName);
        }
        Ok(())
    }

    /// A message under this node's own name may be of another process.
    fn check_name(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        message: &Message,
    ) -> Result<(), RejectReason> {
        if message.from.name != self.local.name {
            return Ok(());
        }
        self.take_message_under_own_name(now, source, message);
        Err(RejectReason::OwnName)
    }

    fn check_incarnation(&mut self, message: &Message) -> Result<(), RejectReason> {
        if message.from.incarnation > Incarnation::MAX {
            self.metrics.implausible_incarnations += 1;
            return Err(RejectReason::Malformed);
        }
        Ok(())
    }

    fn check_replay(
        &mut self,
        message: &Message,
        source: SocketAddr,
    ) -> Result<SenderStatus, RejectReason> {
        let from = &message.from;
        let Some(entry) = self.table.get_mut_keeping_view(&from.name) else {
            return Ok(SenderStatus::Unknown);
        };
        if !entry.accept_counter(from.boot_id, message.counter) {
            return Err(RejectReason::Replayed);
        }
        if entry.is_in_fleet() && entry.record.address == source {
            Ok(SenderStatus::Member)
        } else {
            Ok(SenderStatus::Unconfirmed)
        }
    }

    /// Requests are answered at a bounded rate.
    fn check_rate(
        &mut self,
        now: Timestamp,
        sender: SenderStatus,
        body: &Body,
    ) -> Result<(), RejectReason> {
        let is_within = match body {
            Body::Ping(_) | Body::IndirectPing { .. } => {
                self.request_limits.try_answer_probe(now, sender)
            }
            Body::PageRequest { .. }
            | Body::DigestRequest { .. }
            | Body::FingerprintRequest { .. } => {
                self.request_limits.try_answer_table_request(now)
                    && self.try_reserve_exchange(now, Reservation::Response)
            }
            _ => true,
        };
        if is_within {
            Ok(())
        } else {
            Err(RejectReason::RateLimited)
        }
    }

    /// The sender came into the table by this message: its counter is seen from now on.
    fn note_counter(&mut self, message: &Message) {
        if let Some(entry) = self.table.get_mut_keeping_view(&message.from.name) {
            entry.accept_counter(message.from.boot_id, message.counter);
        }
    }

    /// Gossip counts from members only.
    fn take_gossip(
        &mut self,
        now: Timestamp,
        from: &Record,
        view: View,
        records: Vec<Record>,
        engine_reports: &[EngineReport],
    ) {
        let is_member = self.table.is_in_fleet(&from.name);
        if is_member {
            self.last_heard = Some(now);
        }
        if !is_member || from.state != MemberState::Alive {
            // A newcomer that is not known yet may still hold an old record of this node: refuting it costs nothing.
            let of_this_node = records
                .into_iter()
                .find(|record| record.name == self.local.name);
            if let Some(record) = of_this_node {
                self.take_record_of_self(now, &record);
            }
            return;
        }
        self.views.receive_view(now, view);
        for record in records {
            self.take_update(now, from, record);
        }
        for report in engine_reports.iter().take(MAX_REPORTS_PER_MESSAGE) {
            self.engines
                .receive(now, &from.name, from.address.ip(), report);
        }
    }

    /// A payload of another subsystem counts from a member in this boot at its own address.
    fn take_payload(
        &mut self,
        source: SocketAddr,
        from: Record,
        payload: Vec<u8>,
    ) -> Result<(), RejectReason> {
        let is_sender = |entry: &MemberEntry| {
            let is_same = entry.record.boot_id == from.boot_id && entry.record.address == source;
            entry.is_in_fleet() && is_same
        };
        let is_member = self.table.get(&from.name).is_some_and(is_sender);
        if !is_member || self.payloads.len() >= MAX_PAYLOADS {
            return Err(RejectReason::RateLimited);
        }
        self.payloads.push(ReceivedPayload {
            from: from.name,
            boot_id: from.boot_id,
            payload,
        });
        Ok(())
    }
}

/// A message comes from the address that its sender advertises.
fn check_source(message: &Message, source: SocketAddr) -> Result<(), RejectReason> {
    if message.from.address != source {
        return Err(RejectReason::SourceAddress);
    }
    Ok(())
}

/// Comparisons name buckets of a table, and no more fingerprints than there is a bit for.
fn check_form(body: &Body) -> Result<(), RejectReason> {
    let is_valid = match body {
        Body::DigestRequest {
            first_bucket,
            digests,
            ..
        } => BucketRange::from_request(*first_bucket, digests.len()).is_some(),
        Body::FingerprintRequest { fingerprints, .. } => fingerprints.len() <= MAX_FINGERPRINTS,
        _ => true,
    };
    if is_valid {
        Ok(())
    } else {
        Err(RejectReason::Malformed)
    }
}
