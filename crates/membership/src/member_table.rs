//! All members that a node holds, in the order of their names.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use admission::interface::{TimeDelta, Timestamp};

use crate::member::{MemberState, Name, Record};
use crate::member_entry::{MemberEntry, Suspicion, WITNESS_LIFETIME_S, Witness};
use crate::message::View;
use crate::table_digest::{
    BucketDigest, BucketRange, Fingerprint, IdentityHash, RecordHashes, bucket_digests,
};

/// How long a candidate stays.
const CANDIDATE_LIFETIME_S: f64 = 30.0;
/// The same where candidates are retained for longer.
const LONG_CANDIDATE_LIFETIME_S: f64 = 90.0;
/// How long a candidate's witness counts where candidates are retained for longer.
const LONG_WITNESS_LIFETIME_S: f64 = 60.0;

/// How long candidates, and what is said of them, are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateRetention {
    /// As what is said of members.
    Plain,
    /// For longer: with traffic limits their witnesses come seldom.
    Long,
}

/// Whether a record is added on enough evidence, or on gossip alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The node answered itself.
    Confirmed,
    /// Others speak of it, or it speaks of itself without having been probed.
    Gossip,
}

/// One member as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSummary {
    /// What is held of it.
    pub record: Record,
    /// It is no mere candidate.
    pub confirmed: bool,
    /// When the record last changed.
    pub changed: Timestamp,
    /// When it last answered this node itself.
    pub last_ack: Option<Timestamp>,
}

/// All members that a node holds, without itself.
#[derive(Clone, Debug)]
pub struct MemberTable {
    max_members: usize,
    retention: CandidateRetention,
    entries: BTreeMap<Name, MemberEntry>,
    /// Computed when it is asked for, until the fleet changes.
    view: Option<View>,
}

impl MemberTable {
    /// An empty table of at most so many members.
    #[must_use]
    pub fn new(max_members: usize, retention: CandidateRetention) -> Self {
        MemberTable {
            max_members,
            retention,
            entries: BTreeMap::new(),
            view: None,
        }
    }

    /// Keeps candidates for so long from now on.
    pub fn set_candidate_retention(&mut self, retention: CandidateRetention) {
        self.retention = retention;
    }

    /// How long a witness of a confirmed member counts.
    #[must_use]
    pub fn witness_lifetime(&self) -> TimeDelta {
        TimeDelta::from_secs(WITNESS_LIFETIME_S)
    }

    /// How long a witness of a candidate counts.
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

    /// What is held of one member.
    #[must_use]
    pub fn get(&self, name: &Name) -> Option<&MemberEntry> {
        self.entries.get(name)
    }

    /// For whatever may change who is in the fleet: the view is computed anew.
    pub fn get_mut(&mut self, name: &Name) -> Option<&mut MemberEntry> {
        self.view = None;
        self.entries.get_mut(name)
    }

    /// For what does not change who is in the fleet.
    pub fn get_mut_keeping_view(&mut self, name: &Name) -> Option<&mut MemberEntry> {
        self.entries.get_mut(name)
    }

    /// This node's own record changed, or a member's by [`MemberTable::get_mut_keeping_view`]: the view is computed anew.
    pub fn invalidate_view(&mut self) {
        self.view = None;
    }

    /// Adds a record. Candidates make room for confirmed members, never the other way round. False: there is no room.
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

    /// The one with the fewest witnesses; of several, the one that changed first.
    fn weakest_candidate(&self) -> Option<Name> {
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.confirmed)
            .min_by_key(|(_, entry)| (entry.witnesses.len(), entry.changed))
            .map(|(name, _)| name.clone())
    }

    /// Members held in all, candidates among them.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// No member is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All that are held, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Those in the fleet, in the order of their names.
    pub fn fleet(&self) -> impl Iterator<Item = &MemberEntry> {
        self.iter().filter(|entry| entry.is_in_fleet())
    }

    /// Records of those in the fleet that are not suspected.
    pub fn alive(&self) -> impl Iterator<Item = &Record> {
        self.iter()
            .filter(|entry| entry.is_alive())
            .map(|entry| &entry.record)
    }

    /// Records of those that are suspected.
    pub fn suspects(&self) -> impl Iterator<Item = &Record> {
        self.fleet()
            .map(|entry| &entry.record)
            .filter(|record| record.state == MemberState::Suspect)
    }

    /// Names of those in the fleet.
    #[must_use]
    pub fn fleet_names(&self) -> Vec<Name> {
        self.fleet()
            .map(|entry| entry.record.name.clone())
            .collect()
    }

    /// Those that gossip tells of and that are not in the fleet yet.
    #[must_use]
    pub fn candidate_count(&self) -> usize {
        self.iter().filter(|entry| entry.is_candidate()).count()
    }

    /// Confirmed members behind a name, in their order.
    pub fn confirmed_after(&self, name: Option<&Name>) -> impl Iterator<Item = &MemberEntry> {
        let start = name.map_or(Unbounded, Excluded);
        self.entries
            .range::<Name, _>((start, Unbounded))
            .map(|(_, entry)| entry)
            .filter(|entry| entry.confirmed)
    }

    /// Whether a confirmed member of this name is held at this address.
    #[must_use]
    pub fn is_confirmed_at(&self, record: &Record) -> bool {
        self.get(&record.name)
            .is_some_and(|entry| entry.confirmed && entry.record.address == record.address)
    }

    /// Whether this member is in the fleet.
    #[must_use]
    pub fn is_in_fleet(&self, name: &Name) -> bool {
        self.get(name).is_some_and(MemberEntry::is_in_fleet)
    }

    /// Suspicions that stand.
    pub fn suspicions_mut(&mut self) -> impl Iterator<Item = &mut Suspicion> {
        self.entries
            .values_mut()
            .filter_map(|entry| entry.suspicion.as_mut())
    }

    /// Keeps what a node says of a member that is held.
    pub fn add_witness(&mut self, node: &Name, witness: Witness) {
        if let Some(entry) = self.entries.get_mut(&witness.record.name) {
            entry.add_witness(node, witness);
        }
    }

    /// Drops what a node said of a member: it says what is held by now.
    pub fn withdraw_witness(&mut self, node: &Name, subject: &Name) {
        if let Some(entry) = self.entries.get_mut(subject) {
            entry.witnesses.remove(node);
        }
    }

    /// A direct probe came to nothing. A candidate that never answers is dropped.
    pub fn probe_unanswered(&mut self, name: &Name) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if entry.probe_unanswered() {
            self.entries.remove(name);
        }
    }

    /// Drops members that were dead or left for so long, old candidates, and old witnesses. Returns the members dropped.
    pub fn expire(&mut self, now: Timestamp, dead_retention: TimeDelta) -> Vec<Name> {
        let candidate_lifetime_s = self.candidate_lifetime_s();
        let stays = |entry: &MemberEntry| {
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
            let stays = stays(entry);
            if entry.confirmed && !stays {
                dropped_members.push(name.clone());
            }
            stays
        });
        if self.entries.len() != count {
            self.view = None;
        }
        self.expire_witnesses(now);
        dropped_members
    }

    fn expire_witnesses(&mut self, now: Timestamp) {
        let of_members = self.witness_lifetime();
        let of_candidates = self.candidate_witness_lifetime();
        for entry in self.entries.values_mut() {
            let lifetime = if entry.confirmed {
                of_members
            } else {
                of_candidates
            };
            entry
                .witnesses
                .retain(|_, witness| now - witness.heard < lifetime);
        }
    }

    /// The view of the fleet with this node in it: the same for all that hold the same nodes in the same boots, whatever
    /// the order in which they came to hold them. Suspects still count.
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

    /// Digests of some buckets over the fleet with this node in it.
    pub(crate) fn fleet_digests(
        &mut self,
        range: BucketRange,
        local: &Record,
    ) -> Vec<BucketDigest> {
        self.digests(range, local, MemberEntry::is_in_fleet)
    }

    /// Digests of some buckets over the fleet with this node in it, and over candidates.
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
        is_counted: impl Fn(&MemberEntry) -> bool,
    ) -> Vec<BucketDigest> {
        let members = self
            .entries
            .values_mut()
            .filter(|entry| is_counted(entry))
            .map(MemberEntry::hashes);
        let local_hashes = is_alive(local).then(|| RecordHashes {
            identity: IdentityHash::new(local),
            fingerprint: Fingerprint::new(local),
        });
        bucket_digests(range, members.chain(local_hashes))
    }

    /// All that are held from one fingerprint to another, in the order of their fingerprints.
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

    /// Fingerprints of this node and of the members that count, in their order.
    pub(crate) fn fingerprints(
        &mut self,
        from: Fingerprint,
        until: Fingerprint,
        local: &Record,
        is_counted: impl Fn(&MemberEntry) -> bool,
    ) -> Vec<Fingerprint> {
        let mut fingerprints: Vec<Fingerprint> = self
            .in_fingerprint_range(from, until)
            .into_iter()
            .filter(|(_, entry)| is_counted(entry))
            .map(|(fingerprint, _)| fingerprint)
            .collect();
        let local_fingerprint = Fingerprint::new(local);
        if is_alive(local) && (from..=until).contains(&local_fingerprint) {
            fingerprints.push(local_fingerprint);
            fingerprints.sort_unstable();
        }
        fingerprints
    }

    /// All that are held in some buckets, each with its bucket, counted from the range's first.
    pub(crate) fn in_buckets(&mut self, range: BucketRange) -> Vec<(usize, &MemberEntry)> {
        let mut placed = Vec::new();
        for entry in self.entries.values_mut() {
            if let Some(position) = range.position(entry.identity_hash()) {
                placed.push((position, &*entry));
            }
        }
        placed
    }
}

fn is_alive(record: &Record) -> bool {
    record.state == MemberState::Alive
}
