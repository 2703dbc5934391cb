//! The table of all members that a node knows, ordered by name.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use admission::interface::{TimeDelta, Timestamp};

use crate::member::{MemberState, Name, Record};
use crate::member_entry::{MemberEntry, Suspicion, WITNESS_LIFETIME_S, Witness};
use crate::message::View;
use crate::table_digest::{
    BucketDigest, BucketRange, Fingerprint, IdentityHash, RecordHashes, bucket_digests,
};

/// How long a candidate is kept, in seconds.
const CANDIDATE_LIFETIME_S: f64 = 30.0;
/// How long a candidate is kept under [`CandidateRetention::Long`], in seconds.
const LONG_CANDIDATE_LIFETIME_S: f64 = 90.0;
/// How long a witness of a candidate counts under [`CandidateRetention::Long`], in seconds.
const LONG_WITNESS_LIFETIME_S: f64 = 60.0;

/// How long candidates and the claims about them are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateRetention {
    /// Witnesses of candidates count for as long as witnesses of confirmed members.
    Plain,
    /// Candidates and their witnesses are kept longer, because traffic limits make witnesses rare.
    Long,
}

/// Whether a record is added as a confirmed member or as a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The node itself answered a probe.
    Confirmed,
    /// Other nodes reported the node, or the node sent a message without having been probed.
    Gossip,
}

/// The information about one member that operators see.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSummary {
    /// The record that this node holds for the member.
    pub record: Record,
    /// Whether the member is confirmed, rather than a candidate.
    pub confirmed: bool,
    /// When the record last changed.
    pub changed: Timestamp,
    /// When the member last answered a probe of this node, or `None` if it never did.
    pub last_ack: Option<Timestamp>,
}

/// All members that a node knows, except the node itself.
#[derive(Clone, Debug)]
pub struct MemberTable {
    max_members: usize,
    retention: CandidateRetention,
    entries: BTreeMap<Name, MemberEntry>,
    /// The cached view, or `None` if it has to be computed again because the fleet may have
    /// changed.
    view: Option<View>,
}

impl MemberTable {
    /// Creates an empty table that holds at most `max_members` members.
    #[must_use]
    pub fn new(max_members: usize, retention: CandidateRetention) -> Self {
        MemberTable {
            max_members,
            retention,
            entries: BTreeMap::new(),
            view: None,
        }
    }

    /// Changes how long candidates are kept.
    pub fn set_candidate_retention(&mut self, retention: CandidateRetention) {
        self.retention = retention;
    }

    /// Returns how long a witness of a confirmed member counts.
    #[must_use]
    pub fn witness_lifetime(&self) -> TimeDelta {
        TimeDelta::from_secs(WITNESS_LIFETIME_S)
    }

    /// Returns how long a witness of a candidate counts.
    #[must_use]
    pub fn candidate_witness_lifetime(&self) -> TimeDelta {
        TimeDelta::from_secs(match self.retention {
            CandidateRetention::Plain => WITNESS_LIFETIME_S,
            CandidateRetention::Long => LONG_WITNESS_LIFETIME_S,
        })
    }

    fn candidate_lifetime_s(&self) -> f64 {
        match self.retention {
            CandidateRetention::Plain => CANDIDATE_LIFETIME_S,
            CandidateRetention::Long => LONG_CANDIDATE_LIFETIME_S,
        }
    }

    /// Returns the entry of a member, or `None` if the member is unknown.
    #[must_use]
    pub fn get(&self, name: &Name) -> Option<&MemberEntry> {
        self.entries.get(name)
    }

    /// Returns an entry for a change that may add a member to the fleet or remove one. Invalidates
    /// the cached view.
    pub fn get_mut(&mut self, name: &Name) -> Option<&mut MemberEntry> {
        self.view = None;
        self.entries.get_mut(name)
    }

    /// Returns an entry for a change that affects neither the members of the fleet nor their boots.
    /// Keeps the cached view.
    pub fn get_mut_keeping_view(&mut self, name: &Name) -> Option<&mut MemberEntry> {
        self.entries.get_mut(name)
    }

    /// Invalidates the cached view. Call it when this node's own record changes, or after a change
    /// through [`MemberTable::get_mut_keeping_view`] that affects the fleet after all.
    pub fn invalidate_view(&mut self) {
        self.view = None;
    }

    /// Adds a record, and returns false if there is no room. A confirmed member may evict a
    /// candidate; a candidate evicts nobody.
    pub fn add(&mut self, now: Timestamp, record: Record, evidence: Evidence) -> bool {
        let is_confirmed = evidence == Evidence::Confirmed;
        if self.entries.len() >= self.max_members {
            let Some(candidate) = self.weakest_candidate().filter(|_| is_confirmed) else {
                return false;
            };
            self.entries.remove(&candidate);
        }
        self.view = None;
        let name = record.name.clone();
        let entry = MemberEntry::new(now, record, is_confirmed);
        self.entries.insert(name, entry);
        true
    }

    /// Returns the candidate to evict: the one with the fewest witnesses and, among equals, the one
    /// that changed first.
    fn weakest_candidate(&self) -> Option<Name> {
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.confirmed)
            .min_by_key(|(_, entry)| (entry.witnesses.len(), entry.changed))
            .map(|(name, _)| name.clone())
    }

    /// Returns the number of known members, including candidates.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no member is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns all known members, including candidates, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Returns the members of the fleet, ordered by name.
    pub fn fleet(&self) -> impl Iterator<Item = &MemberEntry> {
        self.iter().filter(|entry| entry.is_in_fleet())
    }

    /// Returns the records of the members of the fleet that are not suspected.
    pub fn alive(&self) -> impl Iterator<Item = &Record> {
        self.iter()
            .filter(|entry| entry.is_alive())
            .map(|entry| &entry.record)
    }

    /// Returns the records of the suspected members.
    pub fn suspects(&self) -> impl Iterator<Item = &Record> {
        self.fleet()
            .map(|entry| &entry.record)
            .filter(|record| record.state == MemberState::Suspect)
    }

    /// Returns the names of the members of the fleet.
    #[must_use]
    pub fn fleet_names(&self) -> Vec<Name> {
        self.fleet()
            .map(|entry| entry.record.name.clone())
            .collect()
    }

    /// Returns the number of candidates.
    #[must_use]
    pub fn candidate_count(&self) -> usize {
        self.iter().filter(|entry| entry.is_candidate()).count()
    }

    /// Returns the confirmed members whose name sorts after `name`, in order. `None` starts with
    /// the first member.
    pub fn confirmed_after(&self, name: Option<&Name>) -> impl Iterator<Item = &MemberEntry> {
        let start = name.map_or(Unbounded, Excluded);
        self.entries
            .range::<Name, _>((start, Unbounded))
            .map(|(_, entry)| entry)
            .filter(|entry| entry.confirmed)
    }

    /// Returns whether a confirmed member with the name of this record is known at the address of
    /// this record.
    #[must_use]
    pub fn is_confirmed_at(&self, record: &Record) -> bool {
        self.get(&record.name)
            .is_some_and(|entry| entry.confirmed && entry.record.address == record.address)
    }

    /// Returns whether a member is in the fleet.
    #[must_use]
    pub fn is_in_fleet(&self, name: &Name) -> bool {
        self.get(name).is_some_and(MemberEntry::is_in_fleet)
    }

    /// Returns all pending suspicions.
    pub fn suspicions_mut(&mut self) -> impl Iterator<Item = &mut Suspicion> {
        self.entries
            .values_mut()
            .filter_map(|entry| entry.suspicion.as_mut())
    }

    /// Stores a node's claim about a member. Does nothing if the member is unknown.
    pub fn add_witness(&mut self, node: &Name, witness: Witness) {
        if let Some(entry) = self.entries.get_mut(&witness.record.name) {
            entry.add_witness(node, witness);
        }
    }

    /// Removes a node's claim about a member, because the node now agrees with the record held
    /// here.
    pub fn withdraw_witness(&mut self, node: &Name, subject: &Name) {
        if let Some(entry) = self.entries.get_mut(subject) {
            entry.witnesses.remove(node);
        }
    }

    /// Counts an unanswered direct probe, and drops a candidate that left several unanswered.
    pub fn probe_unanswered(&mut self, name: &Name) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if entry.probe_unanswered() {
            self.entries.remove(name);
        }
    }

    /// Drops members that have been dead or left for `dead_retention`, expired candidates and
    /// expired witnesses. Returns the names of the confirmed members that were dropped.
    pub fn expire(&mut self, now: Timestamp, dead_retention: TimeDelta) -> Vec<Name> {
        let candidate_lifetime_s = self.candidate_lifetime_s();
        let is_kept = |entry: &MemberEntry| {
            let age = now - entry.changed;
            if entry.confirmed {
                entry.record.state.is_present() || age < dead_retention
            } else {
                age.secs() < candidate_lifetime_s
            }
        };
        let count = self.entries.len();
        let mut dropped_members = Vec::new();
        self.entries.retain(|name, entry| {
            let is_kept = is_kept(entry);
            if entry.confirmed && !is_kept {
                dropped_members.push(name.clone());
            }
            is_kept
        });
        if self.entries.len() != count {
            self.view = None;
        }
        self.expire_witnesses(now);
        dropped_members
    }

    fn expire_witnesses(&mut self, now: Timestamp) {
        let member_witness_lifetime = self.witness_lifetime();
        let candidate_witness_lifetime = self.candidate_witness_lifetime();
        for entry in self.entries.values_mut() {
            let lifetime = if entry.confirmed {
                member_witness_lifetime
            } else {
                candidate_witness_lifetime
            };
            entry
                .witnesses
                .retain(|_, witness| now - witness.heard < lifetime);
        }
    }

    /// Returns the view of the fleet, including this node. It depends only on the names and boots
    /// of the members, not on the order in which they were added. Suspected members are included.
    pub fn view(&mut self, local: &Record) -> View {
        if let Some(view) = self.view {
            return view;
        }
        let local_hash = is_alive(local).then(|| IdentityHash::new(local));
        let hashes = self
            .entries
            .values_mut()
            .filter(|entry| entry.is_in_fleet())
            .map(MemberEntry::identity_hash);
        let mut view = View::default();
        for hash in hashes.chain(local_hash) {
            view.digest ^= hash.0;
            view.size = view.size.saturating_add(1);
        }
        self.view = Some(view);
        view
    }

    /// Returns the digests of a range of buckets, computed over the fleet and this node.
    pub(crate) fn fleet_digests(
        &mut self,
        range: BucketRange,
        local: &Record,
    ) -> Vec<BucketDigest> {
        self.digests(range, local, MemberEntry::is_in_fleet)
    }

    /// Returns the digests of a range of buckets, computed over the fleet, this node and the
    /// candidates.
    pub(crate) fn digests_with_candidates(
        &mut self,
        range: BucketRange,
        local: &Record,
    ) -> Vec<BucketDigest> {
        self.digests(range, local, |entry| {
            entry.is_in_fleet() || entry.is_candidate()
        })
    }

    fn digests(
        &mut self,
        range: BucketRange,
        local: &Record,
        is_included: impl Fn(&MemberEntry) -> bool,
    ) -> Vec<BucketDigest> {
        let members = self
            .entries
            .values_mut()
            .filter(|entry| is_included(entry))
            .map(MemberEntry::hashes);
        let local_hashes = is_alive(local).then(|| RecordHashes {
            identity: IdentityHash::new(local),
            fingerprint: Fingerprint::new(local),
        });
        bucket_digests(range, members.chain(local_hashes))
    }

    /// Returns all entries whose fingerprint is between `from` and `until`, both inclusive, ordered
    /// by fingerprint.
    pub(crate) fn in_fingerprint_range(
        &mut self,
        from: Fingerprint,
        until: Fingerprint,
    ) -> Vec<(Fingerprint, &MemberEntry)> {
        let mut found = Vec::new();
        for entry in self.entries.values_mut() {
            let fingerprint = entry.fingerprint();
            if (from..=until).contains(&fingerprint) {
                found.push((fingerprint, &*entry));
            }
        }
        found.sort_by_key(|(fingerprint, _)| *fingerprint);
        found
    }

    /// Returns the fingerprints between `from` and `until`, both inclusive, of this node and of the
    /// members that `is_included` accepts, in ascending order.
    pub(crate) fn fingerprints(
        &mut self,
        from: Fingerprint,
        until: Fingerprint,
        local: &Record,
        is_included: impl Fn(&MemberEntry) -> bool,
    ) -> Vec<Fingerprint> {
        let mut fingerprints: Vec<Fingerprint> = self
            .in_fingerprint_range(from, until)
            .into_iter()
            .filter(|(_, entry)| is_included(entry))
            .map(|(fingerprint, _)| fingerprint)
            .collect();
        let local_fingerprint = Fingerprint::new(local);
        if is_alive(local) && (from..=until).contains(&local_fingerprint) {
            fingerprints.push(local_fingerprint);
            fingerprints.sort_unstable();
        }
        fingerprints
    }

    /// Returns all entries in a range of buckets, each with the position of its bucket relative to
    /// the start of the range.
    pub(crate) fn in_buckets(&mut self, range: BucketRange) -> Vec<(usize, &MemberEntry)> {
        let mut positioned = Vec::new();
        for entry in self.entries.values_mut() {
            if let Some(position) = range.position(entry.identity_hash()) {
                positioned.push((position, &*entry));
            }
        }
        positioned
    }
}

fn is_alive(record: &Record) -> bool {
    record.state == MemberState::Alive
}
