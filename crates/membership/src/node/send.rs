//! Sent messages: each carries the sender's record, its view, and as much gossip as fits.

use std::net::SocketAddr;

use admission::interface::Timestamp;

use super::{Datagram, Node};
use crate::member::{BootId, MemberState, Name, Record};
use crate::message::{self, Body, Message};

/// Maximum length in bytes of a payload. It leaves room in the message for the sender's record and
/// for a record that the recipient may refute.
pub const MAX_PAYLOAD_BYTES: usize = 850;
/// Lower bound on the encoded size of a record.
const MIN_RECORD_BYTES: usize = 16;
/// One engine report takes at most this fraction (one third) of the bytes left in a message.
const ENGINE_REPORT_DIVISOR: usize = 3;

/// A payload for another subsystem, received from a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPayload {
    /// The name of the sender.
    pub from: Name,
    /// The boot id of the sender.
    pub boot_id: BootId,
    /// The bytes of the payload.
    pub payload: Vec<u8>,
}

/// The recipient of a message.
#[derive(Clone, Debug)]
pub(super) struct Recipient {
    pub(super) address: SocketAddr,
    /// The name of the node at that address, if known. A message then carries the
    /// held record of that node if the node may need to refute it.
    name: Option<Name>,
}

impl Recipient {
    pub(super) fn new(address: SocketAddr, name: Option<Name>) -> Self {
        Recipient { address, name }
    }

    pub(super) fn unnamed(address: SocketAddr) -> Self {
        Recipient::new(address, None)
    }

    pub(super) fn of(record: &Record) -> Self {
        Recipient::new(record.address, Some(record.name.clone()))
    }
}

impl Node {
    /// Sends a payload of another subsystem to a member. Returns false, and sends nothing, if `to`
    /// is not in the fleet, the payload is longer than [`MAX_PAYLOAD_BYTES`], or this node has
    /// withdrawn because of a name conflict.
    pub fn send_payload(&mut self, now: Timestamp, to: &Name, payload: Vec<u8>) -> bool {
        let may_send = payload.len() <= MAX_PAYLOAD_BYTES && !self.name_conflict.is_withdrawn();
        let member = self.table.get(to).filter(|entry| entry.is_in_fleet());
        let Some(recipient) = member
            .filter(|_| may_send)
            .map(|entry| Recipient::of(&entry.record))
        else {
            return false;
        };
        self.send(now, &recipient, Body::Payload(payload), Vec::new());
        true
    }

    /// Removes and returns the payloads received since the last call.
    #[must_use]
    pub fn take_payloads(&mut self) -> Vec<ReceivedPayload> {
        std::mem::take(&mut self.payloads)
    }

    /// Queues a message with the given records, filled up with engine reports and gossip as far as
    /// they fit.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        recipient: &Recipient,
        body: Body,
        mut records: Vec<Record>,
    ) {
        self.message_counter += 1;
        // The held record of the recipient takes precedence over gossip: only the recipient can
        // refute it.
        records.extend(self.record_to_refute(recipient));
        let mut message = Message {
            fleet: self.fleet.clone(),
            from: self.local.clone(),
            counter: self.message_counter,
            view: self.view(),
            body,
            records,
            engine_reports: Vec::new(),
        };
        let mut remaining = message::remaining_bytes(&message);
        let is_page = matches!(message.body, Body::Page { .. });
        if self.engine_broadcast.is_running() || !is_page {
            remaining = self.add_engine_reports(now, &mut message, remaining);
        }
        if self.seems_reachable(recipient) {
            self.add_gossip(now, &mut message, remaining);
        }
        let bytes = message::seal(&self.key_ring, &message);
        self.metrics.sent += 1;
        self.metrics.sent_bytes += bytes.len() as u64;
        self.datagrams.push(Datagram {
            to: recipient.address,
            bytes,
        });
    }

    /// The held record of the recipient if it is confirmed and not alive, so that the recipient can
    /// refute it.
    fn record_to_refute(&self, recipient: &Recipient) -> Option<Record> {
        let entry = self.table.get(recipient.name.as_ref()?)?;
        let is_refutable = entry.confirmed && entry.record.state != MemberState::Alive;
        is_refutable.then(|| entry.record.clone())
    }

    /// Adds engine reports while each takes at most a third of the remaining bytes. Returns the
    /// bytes that are left.
    fn add_engine_reports(
        &self,
        now: Timestamp,
        message: &mut Message,
        mut remaining: usize,
    ) -> usize {
        for report in self.engines.to_send(now, &self.config) {
            let size = message::encoded_size(&report);
            if size * ENGINE_REPORT_DIVISOR > remaining {
                break;
            }
            remaining -= size;
            message.engine_reports.push(report);
        }
        remaining
    }

    /// Whether the recipient is likely to receive the message. With traffic limits, no gossip is
    /// spent on a node that is not alive or whose probe is being retried.
    fn seems_reachable(&self, recipient: &Recipient) -> bool {
        let Some(name) = &recipient.name else {
            return true;
        };
        if !self.has_traffic_limits() {
            return true;
        }
        let is_alive = self
            .table
            .get(name)
            .is_none_or(|entry| entry.record.state == MemberState::Alive);
        is_alive && !self.probe_retries.contains(name)
    }

    /// Adds gossip updates: as many as fit and, with traffic limits, as the byte budget permits.
    fn add_gossip(&mut self, now: Timestamp, message: &mut Message, remaining: usize) {
        let Some(budget) = self.dissemination.available_bytes(now) else {
            self.add_updates(message, remaining);
            return;
        };
        if budget < remaining && !self.dissemination.is_empty() {
            self.metrics.limited_gossip += 1;
        }
        let spent = self.add_updates(message, remaining.min(budget));
        self.dissemination.spend_bytes(spent);
    }

    /// Adds as many gossip updates as fit into `max_bytes`. Returns the bytes that they take.
    fn add_updates(&mut self, message: &mut Message, max_bytes: usize) -> usize {
        let mut remaining = max_bytes;
        // A message holds only a few updates, so at most that many are taken from a long queue.
        let max_updates = remaining / MIN_RECORD_BYTES + 1;
        for name in self.dissemination.least_transmitted(max_updates) {
            let Some(entry) = self.table.get(&name).filter(|entry| entry.confirmed) else {
                self.dissemination.remove(&name);
                continue;
            };
            let size = message::encoded_size(&entry.record);
            if size > remaining {
                break;
            }
            remaining -= size;
            message.records.push(entry.record.clone());
            self.dissemination.mark_transmitted(&name);
        }
        max_bytes - remaining
    }
}
