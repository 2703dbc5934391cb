//! Table comparison by bucket digests, used with traffic limits while tables differ only slightly.
//! The requester sends the digests of some buckets; the responder says which of them are equal and
//! sends its records of the others. An equal digest makes the responder a witness of every record
//! in that bucket.

use admission::interface::Timestamp;
use rand::RngExt;

use super::Node;
use super::anti_entropy::TablePart;
use super::send::Recipient;
use crate::anti_entropy::{DigestRequest, Reservation};
use crate::member::Record;
use crate::message::{Body, Nonce};
use crate::table_digest::{BucketDigest, BucketRange};

/// Records of the buckets that differ, as many as fit in one message.
struct DifferingRecords {
    records: Vec<Record>,
    /// The number of leading buckets of the range that need no further comparison.
    covered: u8,
}

impl Node {
    /// Sends a peer the digests of the next buckets to compare.
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

    /// Answers another node's digests with the set of buckets that are equal here and the local
    /// records of the others. `equal` on the wire has a bit for each bucket of the range, the
    /// lowest first.
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

    /// Collects the records of the differing buckets in order, as many whole buckets as fit. If not
    /// even the first of them fits, a random part of it is taken, and it counts as covered so that
    /// the comparison moves on.
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

    /// Handles the response to this node's digests. The sender becomes a witness of the candidates
    /// in the equal buckets.
    pub(super) fn handle_digest_response(
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
        self.add_witness_for_equal_buckets(now, from, &request, equal);
        let covered = usize::from(covered).clamp(1, range.count);
        self.anti_entropy
            .buckets_compared(range.bucket_after(covered), is_all_equal);
        if !is_all_equal {
            self.continue_comparison(now);
        }
    }

    /// Adds the sender as a witness of every candidate in a bucket that is equal in both tables.
    fn add_witness_for_equal_buckets(
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
        // Messages received since the request may have changed a bucket. The response says nothing
        // about its present content, so only unchanged buckets count.
        let current_digests = self.table.digests_with_candidates(range, &self.local);
        let is_vouched = |position: usize| {
            is_equal(equal, position) && current_digests[position] == request.digests[position]
        };
        let vouched: Vec<Record> = self
            .table
            .in_buckets(range)
            .into_iter()
            .filter(|(position, entry)| entry.is_candidate() && is_vouched(*position))
            .map(|(_, entry)| entry.record.clone())
            .collect();
        self.add_witness_for(now, from, vouched);
    }
}

/// Whether the bit of the bucket at `position` is set.
fn is_equal(equal: u32, position: usize) -> bool {
    equal >> position & 1 == 1
}
