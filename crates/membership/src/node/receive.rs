//! Received messages: the checks that may reject a message, and the handlers that it is passed on
//! to.

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

/// Maximum number of payloads that are buffered until [`Node::take_payloads`] is called.
const MAX_PAYLOADS: usize = 256;

impl Node {
    /// Handles a datagram that arrived from the address `source`.
    ///
    /// # Errors
    /// Returns the reason if the datagram is rejected. The metrics count each reason.
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

    /// Runs all checks on a datagram, then handles its message.
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
        let answer = self.handle_probe_answer(now, source, &message)?;
        if answer != ProbeAnswer::Ack {
            self.handle_sender_record(now, &message.from);
        }
        if sender == SenderStatus::Unknown {
            self.mark_counter_seen(&message);
        }
        self.handle_message(now, source, message)
    }

    /// Passes the gossip and the body of an accepted message to their handlers.
    fn handle_message(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        message: Message,
    ) -> Result<(), RejectReason> {
        let from = message.from;
        self.handle_gossip(
            now,
            &from,
            message.view,
            message.records,
            &message.engine_reports,
        );
        match message.body {
            Body::Payload(payload) => self.handle_payload(source, from, payload),
            body => {
                self.handle_body(now, &from, body);
                Ok(())
            }
        }
    }

    /// Rejects all messages while this node has withdrawn in favour of another process with its
    /// name.
    fn check_not_withdrawn(&self) -> Result<(), RejectReason> {
        if self.name_conflict.is_withdrawn() {
            return Err(RejectReason::OwnName);
        }
        Ok(())
    }

    /// Rejects a message that bears this node's own name, after checking whether another process
    /// with the same name sent it.
    fn check_name(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        message: &Message,
    ) -> Result<(), RejectReason> {
        if message.from.name != self.local.name {
            return Ok(());
        }
        self.handle_message_under_own_name(now, source, message);
        Err(RejectReason::OwnName)
    }

    /// Rejects a sender whose incarnation is beyond the valid range.
    fn check_incarnation(&mut self, message: &Message) -> Result<(), RejectReason> {
        if message.from.incarnation > Incarnation::MAX {
            self.metrics.implausible_incarnations += 1;
            return Err(RejectReason::Malformed);
        }
        Ok(())
    }

    /// Rejects a message whose counter was seen before, and determines the status of its sender.
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

    /// Rejects a request that exceeds the rate at which requests of its kind are answered.
    fn check_rate(
        &mut self,
        now: Timestamp,
        sender: SenderStatus,
        body: &Body,
    ) -> Result<(), RejectReason> {
        let is_allowed = match body {
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
        if is_allowed {
            Ok(())
        } else {
            Err(RejectReason::RateLimited)
        }
    }

    /// Marks a message's counter as seen if its handling has added the sender to the table, since
    /// the replay check found no entry to do so.
    fn mark_counter_seen(&mut self, message: &Message) {
        if let Some(entry) = self.table.get_mut_keeping_view(&message.from.name) {
            entry.accept_counter(message.from.boot_id, message.counter);
        }
    }

    /// Handles the view, the records and the engine reports of a message. They are ignored unless
    /// the sender is a member, except for a record of this node itself.
    fn handle_gossip(
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
            // An unconfirmed sender may hold an outdated record of this node. Refuting it is
            // harmless, whoever sent it.
            let record_of_self = records
                .into_iter()
                .find(|record| record.name == self.local.name);
            if let Some(record) = record_of_self {
                self.handle_record_of_self(now, &record);
            }
            return;
        }
        self.views.receive_view(now, view);
        for record in records {
            self.handle_update(now, from, record);
        }
        for report in engine_reports.iter().take(MAX_REPORTS_PER_MESSAGE) {
            self.engines
                .receive(now, &from.name, from.address.ip(), report);
        }
    }

    /// Buffers a payload for another subsystem if the sender is a member with the held boot id and
    /// address and the buffer has room.
    fn handle_payload(
        &mut self,
        source: SocketAddr,
        from: Record,
        payload: Vec<u8>,
    ) -> Result<(), RejectReason> {
        let is_from_member = |entry: &MemberEntry| {
            let is_same = entry.record.boot_id == from.boot_id && entry.record.address == source;
            entry.is_in_fleet() && is_same
        };
        let is_member = self.table.get(&from.name).is_some_and(is_from_member);
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

/// Rejects a message that did not come from the address that its sender advertises.
fn check_source(message: &Message, source: SocketAddr) -> Result<(), RejectReason> {
    if message.from.address != source {
        return Err(RejectReason::SourceAddress);
    }
    Ok(())
}

/// Rejects a table comparison with an invalid range of buckets, or with more fingerprints than the
/// response has bits for.
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
