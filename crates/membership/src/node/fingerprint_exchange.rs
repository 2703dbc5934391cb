//! Table comparison by record fingerprints, used with traffic limits while tables differ
//! substantially. The requester lists the fingerprints of its records in a range; the responder
//! says which of them it holds as well, and sends its records of that range that are missing from
//! the list, or listed although they have died or left. The responder becomes a witness of the
//! records that both hold.

use std::collections::BTreeSet;

use admission::interface::Timestamp;
use rand::RngExt;

use super::Node;
use super::anti_entropy::{MAX_CANDIDATES, TablePart};
use super::send::Recipient;
use crate::anti_entropy::{FingerprintRequest, Reservation};
use crate::member::{MemberState, Record};
use crate::member_entry::MemberEntry;
use crate::message::{Body, Nonce};
use crate::table_digest::{Fingerprint, FingerprintBytes, MAX_FINGERPRINTS};

/// Maximum number of listed records that the responder lacks for tables to count as nearly equal.
const MAX_UNSHARED_RECORDS: usize = 4;
/// For this many seconds the record of a member that left is sent whether or not it is listed.
/// Leaving raises the incarnation and so changes the fingerprint, so that the record which the
/// requester still holds may lie outside the listed range.
const RECENTLY_LEFT_S: f64 = 120.0;

/// Records that differ from another node's list of fingerprints, as many as fit in one message.
struct UnlistedRecords {
    records: Vec<Record>,
    /// The fingerprint up to which the records are complete.
    until: Fingerprint,
}

impl Node {
    /// Sends a peer the fingerprints of the next range of records to compare.
    pub(super) fn send_fingerprints(&mut self, now: Timestamp, peer: &Recipient) {
        let from = self.anti_entropy.next_fingerprint(&mut self.rng);
        let mut fingerprints =
            self.table
                .fingerprints(from, Fingerprint::MAX, &self.local, |entry| {
                    entry.is_in_fleet() || entry.is_candidate()
                });
        fingerprints.truncate(MAX_FINGERPRINTS);
        let nonce = Nonce(self.rng.random());
        let body = Body::FingerprintRequest {
            nonce,
            from: from.0,
            fingerprints: fingerprints
                .iter()
                .map(|fingerprint| fingerprint.to_bytes())
                .collect(),
        };
        let request = FingerprintRequest { fingerprints };
        self.anti_entropy
            .fingerprints_sent(nonce, peer.address, request);
        self.metrics.fingerprint_requests_sent += 1;
        self.send(now, peer, body, Vec::new());
    }

    /// Answers another node's list of fingerprints: which of them this node holds, and its records
    /// that differ from the list. `held` on the wire has a bit for each fingerprint, the lowest
    /// first.
    pub(super) fn answer_fingerprints(
        &mut self,
        now: Timestamp,
        sender: &Record,
        nonce: Nonce,
        from: Fingerprint,
        theirs: &[FingerprintBytes],
    ) {
        let theirs = FingerprintRequest {
            fingerprints: theirs
                .iter()
                .map(|bytes| Fingerprint::from_bytes(*bytes))
                .collect(),
        };
        let ours: BTreeSet<Fingerprint> = self
            .table
            .fingerprints(from, theirs.end(), &self.local, MemberEntry::is_in_fleet)
            .into_iter()
            .collect();
        let mut held = 0;
        for (index, fingerprint) in theirs.fingerprints.iter().enumerate() {
            if ours.contains(fingerprint) {
                held |= 1 << index;
            }
        }
        let unlisted = self.unlisted_records(now, from, &theirs);
        let body = Body::FingerprintResponse {
            nonce,
            held,
            until: unlisted.until.0,
        };
        self.metrics.fingerprint_requests_answered += 1;
        self.send(now, &Recipient::of(sender), body, unlisted.records);
        self.settle_reservation(Reservation::Response);
    }

    /// Collects, in the order of fingerprints, the records that differ from another node's list, as
    /// many as fit: members that are not listed, and listed ones that have died or left.
    fn unlisted_records(
        &mut self,
        now: Timestamp,
        from: Fingerprint,
        theirs: &FingerprintRequest,
    ) -> UnlistedRecords {
        let end = theirs.end();
        let listed: BTreeSet<Fingerprint> = theirs.fingerprints.iter().copied().collect();
        let mut part = TablePart::new();
        let mut until = from;
        for (fingerprint, entry) in self.table.in_fingerprint_range(from, end) {
            let is_listed = listed.contains(&fingerprint);
            let is_included = entry.is_in_fleet() != is_listed || has_left_recently(now, entry);
            if let Some(record) = entry.settled_record()
                && is_included
                && !part.try_push(record)
            {
                return UnlistedRecords {
                    records: part.records,
                    until,
                };
            }
            until = fingerprint;
        }
        UnlistedRecords {
            records: part.records,
            until: end,
        }
    }

    /// Handles the response to this node's list of fingerprints.
    pub(super) fn handle_fingerprint_response(
        &mut self,
        now: Timestamp,
        from: &Record,
        nonce: Nonce,
        held: u64,
        until: Fingerprint,
    ) {
        let request = self
            .anti_entropy
            .take_fingerprint_request(nonce, from.address);
        let Some(request) = request else {
            return;
        };
        self.add_witness_for_held(now, from, &request, held);
        let held_count = held.count_ones() as usize;
        let is_nearly_equal = request.fingerprints.len() <= held_count + MAX_UNSHARED_RECORDS;
        let is_complete = until >= request.end();
        let differ_little =
            is_complete && is_nearly_equal && self.table.candidate_count() <= MAX_CANDIDATES;
        self.anti_entropy.set_tables_differ_little(differ_little);
        self.anti_entropy.fingerprints_compared(until);
        if !differ_little {
            self.continue_comparison(now);
        }
    }

    /// Adds the sender as a witness of every candidate that it holds as this node does.
    fn add_witness_for_held(
        &mut self,
        now: Timestamp,
        from: &Record,
        request: &FingerprintRequest,
        held: u64,
    ) {
        if !self.table.is_in_fleet(&from.name) {
            return;
        }
        let [Some(first), Some(last)] = [request.fingerprints.first(), request.fingerprints.last()]
        else {
            return;
        };
        let vouched: Vec<Record> = self
            .table
            .in_fingerprint_range(*first, *last)
            .into_iter()
            .filter(|(fingerprint, entry)| {
                entry.is_candidate() && request.is_held(*fingerprint, held)
            })
            .map(|(_, entry)| entry.record.clone())
            .collect();
        self.add_witness_for(now, from, vouched);
    }
}

/// Whether a member left within the last [`RECENTLY_LEFT_S`].
fn has_left_recently(now: Timestamp, entry: &MemberEntry) -> bool {
    let is_left = entry.record.state == MemberState::Left;
    is_left && (now - entry.changed).secs() < RECENTLY_LEFT_S
}
