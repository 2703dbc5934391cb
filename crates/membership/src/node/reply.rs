//! Requests of other nodes, and the answers to this node's exchanges.

use admission::interface::Timestamp;

use super::Node;
use super::send::Recipient;
use crate::member::Record;
use crate::message::{Body, Nonce};
use crate::outstanding_probes::ProbePurpose;
use crate::table_digest::{BucketRange, Fingerprint};

/// Indirect probes that run for others at once.
const MAX_INDIRECT_PROBES: usize = 16;

impl Node {
    /// Does what a message asks for.
    pub(super) fn reply(&mut self, now: Timestamp, from: &Record, body: Body) {
        match body {
            Body::Ping(nonce) => self.acknowledge(now, from, nonce),
            Body::IndirectPing { nonce, target } => {
                self.probe_for_another(now, from, nonce, &target);
            }
            Body::PageRequest { after } => self.send_page(now, from, after.as_ref()),
            Body::Page { next } => self.request_next_page(now, from, next),
            Body::DigestRequest {
                nonce,
                first_bucket,
                digests,
            } => {
                if let Some(range) = BucketRange::from_request(first_bucket, digests.len()) {
                    self.answer_digests(now, from, nonce, range, &digests);
                }
            }
            Body::DigestResponse {
                nonce,
                equal,
                covered,
            } => self.take_digest_response(now, from, nonce, equal, covered),
            Body::FingerprintRequest {
                nonce,
                from: first,
                fingerprints,
            } => self.answer_fingerprints(now, from, nonce, Fingerprint(first), &fingerprints),
            Body::FingerprintResponse { nonce, held, until } => {
                self.take_fingerprint_response(now, from, nonce, held, Fingerprint(until));
            }
            Body::Ack(_)
            | Body::IndirectAck(_)
            | Body::IndirectNack(_)
            | Body::Gossip
            | Body::Payload(_) => {}
        }
    }

    /// Answers a ping. Where an earlier boot of the sender is still held, the ack carries that record: the sender rises
    /// above it, to be taken for the present one.
    fn acknowledge(&mut self, now: Timestamp, from: &Record, nonce: Nonce) {
        let earlier_boot = self
            .table
            .get(&from.name)
            .filter(|entry| entry.confirmed)
            .map(|entry| entry.record.clone())
            .filter(|held| held.boot_id != from.boot_id && held.incarnation >= from.incarnation);
        self.send(
            now,
            &Recipient::of(from),
            Body::Ack(nonce),
            earlier_boot.into_iter().collect(),
        );
    }

    fn probe_for_another(
        &mut self,
        now: Timestamp,
        requester: &Record,
        nonce: Nonce,
        target: &Record,
    ) {
        let has_room = self.probes.indirect_count() < MAX_INDIRECT_PROBES;
        if !has_room || !self.table.is_confirmed_at(target) {
            return;
        }
        let purpose = ProbePurpose::Indirect {
            requester: requester.address,
            nonce,
        };
        self.send_probe(now, purpose, target.address);
    }
}
