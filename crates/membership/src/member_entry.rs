//! The state that a node keeps about one other member: its record, what witnesses claim about it,
//! and when that was learnt.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use admission::interface::{TimeDelta, Timestamp};

use crate::member::{BootId, Incarnation, MemberState, Name, Record};
use crate::replay_window::ReplayWindow;
use crate::table_digest::{Fingerprint, IdentityHash, RecordHashes};

/// The maximum number of witnesses kept for one member. The latest ones are kept.
const MAX_WITNESSES: usize = 8;
/// How long a witness counts, in seconds.
pub(crate) const WITNESS_LIFETIME_S: f64 = 20.0;
/// The number of unanswered direct probes after which a candidate is dropped.
const MAX_FAILED_PROBES: u8 = 2;

/// A claim by another node about a member.
#[derive(Clone, Debug)]
pub struct Witness {
    /// The record that the witness reported.
    pub record: Record,
    /// When the report arrived.
    pub heard: Timestamp,
    /// The host that the report came from.
    pub host: IpAddr,
}

/// A pending suspicion of a member.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    /// The start of the time in which the member can refute the suspicion.
    pub began: Timestamp,
    /// Whether the suspicion was restarted because a partition may have ended. A suspicion is
    /// restarted only once, so that no node can postpone a death indefinitely.
    pub restarted: bool,
}

impl Suspicion {
    pub(crate) fn new(now: Timestamp) -> Self {
        Suspicion {
            began: now,
            restarted: false,
        }
    }
}

/// The replay window for the boot that a member's latest message came from.
#[derive(Clone, Copy, Debug)]
struct BootReplayWindow {
    boot_id: BootId,
    window: ReplayWindow,
}

/// A cached fingerprint, with the fields of the record that it was computed from.
#[derive(Clone, Copy, Debug)]
struct CachedFingerprint {
    boot_id: BootId,
    incarnation: Incarnation,
    address: SocketAddr,
    fingerprint: Fingerprint,
}

/// A cached identity hash, with the boot id that it was computed from.
#[derive(Clone, Copy, Debug)]
struct CachedIdentity {
    boot_id: BootId,
    hash: IdentityHash,
}

/// The state that this node keeps about one other member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The record that this node currently holds for the member.
    pub record: Record,
    /// Whether the member answered this node or enough witnesses vouch for it. An unconfirmed
    /// member is a candidate and does not belong to the fleet.
    pub confirmed: bool,
    /// When the record last changed.
    pub changed: Timestamp,
    /// When the member last answered a probe of this node, or `None` if it never did.
    pub last_ack: Option<Timestamp>,
    /// The pending suspicion, or `None` while the member is not suspected.
    pub suspicion: Option<Suspicion>,
    /// When the member last came back after it had been declared dead, or `None` if it never did.
    pub revived: Option<Timestamp>,
    /// The latest claims of other nodes that may differ from the record held here, by the name of
    /// the witness.
    pub witnesses: BTreeMap<Name, Witness>,
    failed_probes: u8,
    replay: BootReplayWindow,
    identity: CachedIdentity,
    fingerprint: Option<CachedFingerprint>,
}

impl MemberEntry {
    pub(crate) fn new(now: Timestamp, record: Record, confirmed: bool) -> Self {
        let boot_id = record.boot_id;
        let replay = BootReplayWindow {
            boot_id,
            window: ReplayWindow::default(),
        };
        let identity = CachedIdentity {
            boot_id,
            hash: IdentityHash::new(&record),
        };
        MemberEntry {
            record,
            confirmed,
            changed: now,
            last_ack: None,
            suspicion: None,
            revived: None,
            witnesses: BTreeMap::new(),
            failed_probes: 0,
            replay,
            identity,
            fingerprint: None,
        }
    }

    /// Returns whether the member counts towards the size of the fleet.
    #[must_use]
    pub fn is_in_fleet(&self) -> bool {
        self.confirmed && self.record.state.is_present()
    }

    /// Returns whether the member is known from gossip only, with too few witnesses to join the
    /// fleet.
    #[must_use]
    pub fn is_candidate(&self) -> bool {
        !self.confirmed && self.record.state.is_present()
    }

    /// Returns whether the member is in the fleet and not suspected.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.confirmed && self.record.state == MemberState::Alive
    }

    /// Returns the record if it may be sent to others in a table exchange, or `None` if it is
    /// unconfirmed or suspected.
    pub(crate) fn settled_record(&self) -> Option<&Record> {
        let is_settled = self.confirmed && self.record.state != MemberState::Suspect;
        is_settled.then_some(&self.record)
    }

    /// Returns whether a message counter of this boot is new, and marks it as seen.
    pub(crate) fn accept_counter(&mut self, boot_id: BootId, counter: u64) -> bool {
        if self.replay.boot_id != boot_id {
            self.replay = BootReplayWindow {
                boot_id,
                window: ReplayWindow::default(),
            };
        }
        self.replay.window.accept(counter)
    }

    /// Returns whether an ack from another boot must not replace this record.
    ///
    /// That is the case while this member is in the fleet and the other record is not newer or has
    /// another address. A new address is accepted only after the old one has stopped answering;
    /// otherwise any process could take over a name that is in use.
    pub(crate) fn rejects_boot_of(&self, other: &Record) -> bool {
        let is_other_boot = self.record.boot_id != other.boot_id;
        let cannot_replace =
            other.incarnation <= self.record.incarnation || other.address != self.record.address;
        is_other_boot && cannot_replace && self.is_in_fleet()
    }

    /// Applies an ack that the member sent to this node. The member's own record replaces the one
    /// held here, but within one boot the incarnation never decreases.
    pub(crate) fn take_ack(&mut self, now: Timestamp, from: &Record) {
        self.last_ack = Some(now);
        self.failed_probes = 0;
        self.confirmed = true;
        let mut record = from.clone();
        if self.record.boot_id == from.boot_id {
            record.incarnation = from.incarnation.max(self.record.incarnation);
        }
        if record.state == MemberState::Alive {
            let incarnation = record.incarnation;
            self.witnesses
                .retain(|_, witness| witness.record.incarnation > incarnation);
        }
        self.record = record;
        self.suspicion = None;
    }

    /// Counts an unanswered direct probe. Returns true if the entry is a candidate that reached the
    /// limit and must be dropped.
    pub(crate) fn probe_unanswered(&mut self) -> bool {
        self.failed_probes += 1;
        !self.confirmed && self.failed_probes >= MAX_FAILED_PROBES
    }

    /// Returns the hashes of the current record.
    pub(crate) fn hashes(&mut self) -> RecordHashes {
        RecordHashes {
            identity: self.identity_hash(),
            fingerprint: self.fingerprint(),
        }
    }

    pub(crate) fn fingerprint(&mut self) -> Fingerprint {
        let record = &self.record;
        if let Some(cached) = &self.fingerprint
            && cached.boot_id == record.boot_id
            && cached.incarnation == record.incarnation
            && cached.address == record.address
        {
            return cached.fingerprint;
        }
        let fingerprint = Fingerprint::new(record);
        self.fingerprint = Some(CachedFingerprint {
            boot_id: record.boot_id,
            incarnation: record.incarnation,
            address: record.address,
            fingerprint,
        });
        fingerprint
    }

    pub(crate) fn identity_hash(&mut self) -> IdentityHash {
        if self.identity.boot_id != self.record.boot_id {
            self.identity = CachedIdentity {
                boot_id: self.record.boot_id,
                hash: IdentityHash::new(&self.record),
            };
        }
        self.identity.hash
    }

    /// Returns whether any witness claims a worse state for this boot, or a newer incarnation.
    #[must_use]
    pub fn is_disputed(&self) -> bool {
        self.witnesses
            .values()
            .any(|witness| self.is_disputed_by(&witness.record))
    }

    /// Returns whether a record has a worse state for the boot held here, or a newer incarnation.
    #[must_use]
    pub fn is_disputed_by(&self, other: &Record) -> bool {
        let is_same_boot = other.boot_id == self.record.boot_id;
        let is_worse = is_same_boot && other.state > MemberState::Alive;
        is_worse || other.incarnation > self.record.incarnation
    }

    /// Stores a node's claim about this member. It replaces the node's previous claim or, if the
    /// limit is reached, the oldest claim.
    pub(crate) fn add_witness(&mut self, name: &Name, witness: Witness) {
        if self.witnesses.len() >= MAX_WITNESSES && !self.witnesses.contains_key(name) {
            let oldest = self
                .witnesses
                .iter()
                .min_by_key(|(_, witness)| witness.heard)
                .map(|(name, _)| name.clone());
            if let Some(name) = oldest {
                self.witnesses.remove(&name);
            }
        }
        self.witnesses.insert(name.clone(), witness);
    }

    /// Returns the hosts of the recent witnesses whose record matches the predicate. Several nodes
    /// on one host count as one witness.
    #[must_use]
    pub fn witness_hosts(
        &self,
        now: Timestamp,
        predicate: impl Fn(&Record) -> bool,
    ) -> BTreeSet<IpAddr> {
        self.witnesses
            .values()
            .filter(|witness| (now - witness.heard).secs() < WITNESS_LIFETIME_S)
            .filter(|witness| predicate(&witness.record))
            .map(|witness| witness.host)
            .collect()
    }

    /// Returns the record that at least `required` hosts vouch for, or `None` if there is none.
    ///
    /// The hosts must agree on the boot and the address. The incarnation of the result is one that
    /// at least `required` of them reach, so that a single witness can change neither.
    #[must_use]
    pub fn vouched_record(
        &self,
        now: Timestamp,
        lifetime: TimeDelta,
        required: usize,
        predicate: impl Fn(&Record) -> bool,
    ) -> Option<Record> {
        let witnesses = self
            .witnesses
            .values()
            .filter(|witness| now - witness.heard < lifetime && predicate(&witness.record));
        let mut claims: BTreeMap<(BootId, SocketAddr), BTreeMap<IpAddr, &Record>> = BTreeMap::new();
        for witness in witnesses {
            let claim = (witness.record.boot_id, witness.record.address);
            let by_host = claims.entry(claim).or_default();
            let newest = by_host.entry(witness.host).or_insert(&witness.record);
            if witness.record.incarnation > newest.incarnation {
                *newest = &witness.record;
            }
        }
        claims
            .into_values()
            .filter(|by_host| by_host.len() >= required)
            .filter_map(|by_host| highest_reached_by(required, by_host.into_values().collect()))
            .max_by_key(|record| record.incarnation)
    }
}

/// Returns the record with the highest incarnation that at least `required` of the records reach.
fn highest_reached_by(required: usize, mut records: Vec<&Record>) -> Option<Record> {
    records.sort_by_key(|record| std::cmp::Reverse(record.incarnation));
    records
        .get(required.max(1) - 1)
        .map(|record| (*record).clone())
}
