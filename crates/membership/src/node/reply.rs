//! Dispatch of message bodies: requests from other nodes, and responses to this node's table
//! exchanges.

use admission::interface::Timestamp;

use super::Node;
use super::send::Recipient;
use crate::member::Record;
use crate::message::{Body, Nonce};
use crate::outstanding_probes::ProbePurpose;
use crate::table_digest::{BucketRange, Fingerprint};

/// Maximum number of concurrent indirect probes on behalf of other nodes.
const MAX_INDIRECT_PROBES: usize = 16;

impl Node {
    /// Handles the body of a message. Answers to probes and payloads are handled elsewhere.
    pub(super) fn handle_body(&mut self, now: Timestamp, from: &Record, body: Body) {
        match body {
            Body::Ping(nonce) => self.send_ack(now, from, nonce),
            Body::IndirectPing { nonce, target } => {
                self.run_indirect_probe(now, from, nonce, &target);
            }
            Body::PageRequest { after } => self.send_page(now, from, after.as_ref()),
            Body::Page { next } => self.handle_page(now, from, next),
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
            } => self.handle_digest_response(now, from, nonce, equal, covered),
            Body::FingerprintRequest {
                nonce,
                from: first,
                fingerprints,
            } => self.answer_fingerprints(now, from, nonce, Fingerprint(first), &fingerprints),
            Body::FingerprintResponse { nonce, held, until } => {
                self.handle_fingerprint_response(now, from, nonce, held, Fingerprint(until));
            }
            Body::Ack(_)
            | Body::IndirectAck(_)
            | Body::IndirectNack(_)
            | Body::Gossip
            | Body::Payload(_) => {}
        }
    }

    /// Answers a ping. If this node still holds a record of another boot of the sender, the ack
    /// carries it, so that the sender can raise its incarnation above it and replace that record.
    fn send_ack(&mut self, now: Timestamp, from: &Record, nonce: Nonce) {
        let other_boot = self
            .table
            .get(&from.name)
            .filter(|entry| entry.confirmed)
            .map(|entry| entry.record.clone())
            .filter(|held| held.boot_id != from.boot_id && held.incarnation >= from.incarnation);
        self.send(
            now,
            &Recipient::of(from),
            Body::Ack(nonce),
            other_boot.into_iter().collect(),
        );
    }

    /// Probes a target on behalf of a node that cannot reach it. The request is ignored if too many
    /// such probes are outstanding, or if the target is not confirmed at that address here.
    fn run_indirect_probe(
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
