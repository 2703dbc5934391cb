//! Messages out: each carries the sender, its view, and as much gossip as fits.

use std::net::SocketAddr;

use admission::interface::Timestamp;

use super::{Datagram, Node};
use crate::member::{BootId, MemberState, Name, Record};
use crate::message::{self, Body, Message};

/// The longest payload of another subsystem: beside it a message has room for its sender and a refutation.
pub const MAX_PAYLOAD_BYTES: usize = 850;
/// No record takes fewer bytes in a message.
const MIN_RECORD_BYTES: usize = 16;
/// One report of an engine takes at most this part of what is left of a message.
const REPORT_PART: usize = 3;

/// Bytes of another subsystem, from a member in this boot at its own address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPayload {
    /// Who sent it.
    pub from: Name,
    /// The sender's process.
    pub boot_id: BootId,
    /// The bytes.
    pub payload: Vec<u8>,
}

/// Where a message goes.
#[derive(Clone, Debug)]
pub(super) struct Recipient {
    pub(super) address: SocketAddr,
    /// Whose address it is, where that is known: it is told first what is held of it.
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
    /// Sends bytes of another subsystem to a member. False: it is not in the fleet, or they are longer than
    /// [`MAX_PAYLOAD_BYTES`].
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

    /// Bytes of other subsystems that came.
    #[must_use]
    pub fn take_payloads(&mut self) -> Vec<ReceivedPayload> {
        std::mem::take(&mut self.payloads)
    }

    /// Sends a message with these records, and with gossip as far as it fits.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        recipient: &Recipient,
        body: Body,
        mut records: Vec<Record>,
    ) {
        self.message_counter += 1;
        // What is held of the recipient comes first: only it can refute that.
        records.extend(self.unfavourable_record(recipient));
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

    /// What is held of the recipient, where it is not alive.
    fn unfavourable_record(&self, recipient: &Recipient) -> Option<Record> {
        let entry = self.table.get(recipient.name.as_ref()?)?;
        let is_unfavourable = entry.confirmed && entry.record.state != MemberState::Alive;
        is_unfavourable.then(|| entry.record.clone())
    }

    /// Adds reports of engines, each within a third of what is left; returns the bytes that are left.
    fn add_engine_reports(
        &self,
        now: Timestamp,
        message: &mut Message,
        mut remaining: usize,
    ) -> usize {
        for report in self.engines.to_send(now, &self.config) {
            let size = message::encoded_size(&report);
            if size * REPORT_PART > remaining {
                break;
            }
            remaining -= size;
            message.engine_reports.push(report);
        }
        remaining
    }

    /// With traffic limits no gossip is spent on a node that probably does not receive it.
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

    /// Adds updates of gossip: as many as fit, and with traffic limits as the budget has bytes for.
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

    /// Adds as many updates as fit into so many bytes; returns the bytes that they take.
    fn add_updates(&mut self, message: &mut Message, max_bytes: usize) -> usize {
        let mut remaining = max_bytes;
        // A message holds a few; of hundreds only these are looked at.
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
