//! With traffic limits, where tables differ by little: they are compared by the digests of some buckets, and only what
//! differs is exchanged. A bucket that is equal in both tables vouches for all of it at once.

use admission::interface::Timestamp;
use rand::RngExt;

use super::Node;
use super::anti_entropy::TablePart;
use super::send::Recipient;
use crate::anti_entropy::{DigestRequest, Reservation};
use crate::member::Record;
use crate::message::{Body, Nonce};
use crate::table_digest::{BucketDigest, BucketRange};

/// Records of the buckets that differ, as far as they fit.
struct DifferingRecords {
    records: Vec<Record>,
    /// Buckets from the first on that are equal or told in full.
    covered: u8,
}

impl Node {
    pub(super) fn send_digests(&mut self, now: Timestamp, peer: &Recipient) {
        let range = self.anti_entropy.next_buckets(&mut self.rng);
        let digests = self.table.digests_with_candidates(range, &self.local);
        let nonce = Nonce(self.rng.random());
        let body = Body::DigestRequest {
            nonce,
            first_bucket: range.first as u8,
            digests: digests.clone(),
        };
        let request = DigestRequest { range, digests };
        self.anti_entropy.digests_sent(nonce, peer.address, request);
        self.metrics.digest_requests_sent += 1;
        self.send(now, peer, body, Vec::new());
    }

    /// Another node's digests: says which of these buckets are equal here, and what is held in the others.
    pub(super) fn answer_digests(
        &mut self,
        now: Timestamp,
        from: &Record,
        nonce: Nonce,
        range: BucketRange,
        theirs: &[BucketDigest],
    ) {
        let ours = self.table.fleet_digests(range, &self.local);
        let mut equal = 0;
        for position in 0..range.count {
            if ours[position] == theirs[position] {
                equal |= 1 << position;
            }
        }
        let differing = self.differing_records(range, equal);
        let body = Body::DigestResponse {
            nonce,
            equal,
            covered: differing.covered,
        };
        self.metrics.digest_requests_answered += 1;
        self.send(now, &Recipient::of(from), body, differing.records);
        self.settle_reservation(Reservation::Response);
    }

    /// Records of the buckets that differ, from the first on as far as they fit. Of a bucket that does not fit alone, some
    /// by chance.
    fn differing_records(&mut self, range: BucketRange, equal: u32) -> DifferingRecords {
        let mut buckets: Vec<Vec<Record>> = vec![Vec::new(); range.count];
        for (position, entry) in self.table.in_buckets(range) {
            if let Some(record) = entry.settled_record()
                && !is_equal(equal, position)
            {
                buckets[position].push(record.clone());
            }
        }
        let mut part = TablePart::new();
        for (position, mut records) in buckets.into_iter().enumerate() {
            if part.try_push_all(&records) {
                continue;
            }
            let mut covered = position as u8;
            if part.records.is_empty() {
                let start = self.rng.random_range(0..records.len());
                records.rotate_left(start);
                records
                    .iter()
                    .take_while(|record| part.try_push(record))
                    .count();
                covered += 1;
            }
            return DifferingRecords {
                records: part.records,
                covered,
            };
        }
        DifferingRecords {
            records: part.records,
            covered: range.count as u8,
        }
    }

    /// The answer to digests of this node: buckets that are equal vouch for those in them that are not in the fleet yet.
    pub(super) fn take_digest_response(
        &mut self,
        now: Timestamp,
        from: &Record,
        nonce: Nonce,
        equal: u32,
        covered: u8,
    ) {
        let request = self.anti_entropy.take_digest_request(nonce, from.address);
        let Some(request) = request else {
            return;
        };
        let range = request.range;
        let equal_count = equal.count_ones() as usize;
        let is_all_equal = equal_count >= range.count;
        self.anti_entropy
            .set_tables_differ_little(2 * equal_count >= range.count);
        self.vouch_equal_buckets(now, from, &request, equal);
        let covered = usize::from(covered).clamp(1, range.count);
        self.anti_entropy
            .buckets_compared(range.bucket_after(covered), is_all_equal);
        if !is_all_equal {
            self.continue_comparison(now);
        }
    }

    fn vouch_equal_buckets(
        &mut self,
        now: Timestamp,
        from: &Record,
        request: &DigestRequest,
        equal: u32,
    ) {
        if !self.table.is_in_fleet(&from.name) {
            return;
        }
        let range = request.range;
        // What came meanwhile may have changed a bucket: it was not compared as it is now.
        let present = self.table.digests_with_candidates(range, &self.local);
        let is_vouched = |position: usize| {
            is_equal(equal, position) && present[position] == request.digests[position]
        };
        let vouched: Vec<Record> = self
            .table
            .in_buckets(range)
            .into_iter()
            .filter(|(position, entry)| entry.is_candidate() && is_vouched(*position))
            .map(|(_, entry)| entry.record.clone())
            .collect();
        self.add_vouched(now, from, vouched);
    }
}

/// Whether a bucket's bit is set.
fn is_equal(equal: u32, position: usize) -> bool {
    equal >> position & 1 == 1
}
