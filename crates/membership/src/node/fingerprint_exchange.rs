//! With traffic limits, where tables differ by much: fingerprints of some records are sent to another node, which says which
//! of them it holds as well, and what it holds beside them. What it holds as well it vouches for.

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

/// Records that only one side holds at most, in tables that differ by little.
const MAX_UNSHARED: usize = 4;
/// Members that left lately are told to whoever lists another part of the same fingerprints: their last record has a
/// fingerprint of its own.
const LEFT_LATELY_S: f64 = 120.0;

/// What is held beside fingerprints that another node sent, as far as it fits.
struct UnlistedRecords {
    records: Vec<Record>,
    /// Up to this fingerprint all is told.
    until: Fingerprint,
}

impl Node {
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

    /// Another node's fingerprints: says which of them are held here, and what is held beside them.
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

    /// What is held beside fingerprints that another node sent, and of these what has gone, as far as it fits.
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
            let is_told = entry.is_in_fleet() != is_listed || left_lately(now, entry);
            if let Some(record) = entry.settled_record()
                && is_told
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

    /// The answer to fingerprints of this node.
    pub(super) fn take_fingerprint_response(
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
        self.vouch_held(now, from, &request, held);
        let held_count = held.count_ones() as usize;
        let is_nearly_equal = request.fingerprints.len() <= held_count + MAX_UNSHARED;
        let is_told_in_full = until >= request.end();
        let differ_little =
            is_told_in_full && is_nearly_equal && self.table.candidate_count() <= MAX_CANDIDATES;
        self.anti_entropy.set_tables_differ_little(differ_little);
        self.anti_entropy.fingerprints_compared(until);
        if !differ_little {
            self.continue_comparison(now);
        }
    }

    fn vouch_held(
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
        self.add_vouched(now, from, vouched);
    }
}

fn left_lately(now: Timestamp, entry: &MemberEntry) -> bool {
    let has_left = entry.record.state == MemberState::Left;
    has_left && (now - entry.changed).secs() < LEFT_LATELY_S
}
