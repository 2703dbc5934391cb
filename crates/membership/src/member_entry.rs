//! What a node holds of one other: its record, who vouches for what, and since when.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use admission::interface::{TimeDelta, Timestamp};

use crate::member::{BootId, Incarnation, MemberState, Name, Record};
use crate::replay_window::ReplayWindow;
use crate::table_digest::{Fingerprint, IdentityHash, RecordHashes};

/// Witnesses kept of one member, the latest.
const MAX_WITNESSES: usize = 8;
/// How long a witness counts in suspicions.
pub(crate) const WITNESS_LIFETIME_S: f64 = 20.0;
/// Direct probes without an answer before a candidate is dropped.
const MAX_FAILED_PROBES: u8 = 2;

/// What another node said of a member.
#[derive(Clone, Debug)]
pub struct Witness {
    /// What it said.
    pub record: Record,
    /// When it said so.
    pub heard: Timestamp,
    /// From which host.
    pub host: IpAddr,
}

/// Since when a member is suspected.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    /// When the time to refute began.
    pub began: Timestamp,
    /// It began anew since a partition may have ended; once for each suspicion, so that nobody puts deaths off for good.
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

/// Which message counters of a member's present boot came.
#[derive(Clone, Copy, Debug)]
struct BootReplayWindow {
    boot_id: BootId,
    window: ReplayWindow,
}

/// A fingerprint, and of which record it is.
#[derive(Clone, Copy, Debug)]
struct CachedFingerprint {
    boot_id: BootId,
    incarnation: Incarnation,
    address: SocketAddr,
    fingerprint: Fingerprint,
}

/// An identity hash, and of which boot it is.
#[derive(Clone, Copy, Debug)]
struct CachedIdentity {
    boot_id: BootId,
    hash: IdentityHash,
}

/// What this node holds of one other.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// What is held to be so.
    pub record: Record,
    /// It answered here, or enough witnesses vouch for it. Else it is a candidate, and no part of the fleet.
    pub confirmed: bool,
    /// When the record last changed.
    pub changed: Timestamp,
    /// When it last answered this node itself.
    pub last_ack: Option<Timestamp>,
    /// Set while it is suspected.
    pub suspicion: Option<Suspicion>,
    /// When it was last taken back after it had been declared dead.
    pub revived: Option<Timestamp>,
    /// What others said of it, where that is not what is held.
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

    /// It counts in the fleet's size.
    #[must_use]
    pub fn is_in_fleet(&self) -> bool {
        self.confirmed && self.record.state.is_present()
    }

    /// Gossip says that it is there, on too few witnesses for it to be in the fleet.
    #[must_use]
    pub fn is_candidate(&self) -> bool {
        !self.confirmed && self.record.state.is_present()
    }

    /// It is in the fleet, and not suspected.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.confirmed && self.record.state == MemberState::Alive
    }

    /// The record as others may be told of it; none where it is unconfirmed, or suspected.
    pub(crate) fn settled_record(&self) -> Option<&Record> {
        let is_settled = self.confirmed && self.record.state != MemberState::Suspect;
        is_settled.then_some(&self.record)
    }

    /// Whether a message counter of this boot is new; it counts as seen from now on.
    pub(crate) fn accept_counter(&mut self, boot_id: BootId, counter: u64) -> bool {
        if self.replay.boot_id != boot_id {
            self.replay = BootReplayWindow {
                boot_id,
                window: ReplayWindow::default(),
            };
        }
        self.replay.window.accept(counter)
    }

    /// Whether this is in the fleet in another boot than a node that answered, which the answer does not replace: it is not
    /// above what is held or, at another address, waits until nobody answers at the first, or any process could take a name
    /// that is in use.
    pub(crate) fn rejects_boot_of(&self, other: &Record) -> bool {
        let is_other_boot = self.record.boot_id != other.boot_id;
        let is_not_above =
            other.incarnation <= self.record.incarnation || other.address != self.record.address;
        is_other_boot && is_not_above && self.is_in_fleet()
    }

    /// It answered this node itself: its own record is held, at an incarnation no lower than before in the same boot.
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

    /// A direct probe of it came to nothing. True: it is a candidate that was probed often enough, and is dropped.
    pub(crate) fn probe_unanswered(&mut self) -> bool {
        self.failed_probes += 1;
        !self.confirmed && self.failed_probes >= MAX_FAILED_PROBES
    }

    /// Hashes of the record held now.
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

    /// Whether any witness says something worse of this boot, or something newer.
    #[must_use]
    pub fn is_disputed(&self) -> bool {
        self.witnesses
            .values()
            .any(|witness| self.is_disputed_by(&witness.record))
    }

    /// Whether a record says something worse of the boot held here, or something newer.
    #[must_use]
    pub fn is_disputed_by(&self, other: &Record) -> bool {
        let is_same_boot = other.boot_id == self.record.boot_id;
        let is_worse = is_same_boot && other.state > MemberState::Alive;
        is_worse || other.incarnation > self.record.incarnation
    }

    /// Keeps what a node says of this member, in place of what it said before and, where there are too many, of the oldest.
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

    /// Hosts of the fresh witnesses whose record is of this kind; several nodes of one host are one witness.
    #[must_use]
    pub fn witness_hosts(
        &self,
        now: Timestamp,
        is_of_kind: impl Fn(&Record) -> bool,
    ) -> BTreeSet<IpAddr> {
        self.witnesses
            .values()
            .filter(|witness| (now - witness.heard).secs() < WITNESS_LIFETIME_S)
            .filter(|witness| is_of_kind(&witness.record))
            .map(|witness| witness.host)
            .collect()
    }

    /// The record that at least `need` hosts vouch for, if any: of one boot and address, at an incarnation that so many
    /// reach, so that a single witness moves neither.
    #[must_use]
    pub fn vouched_record(
        &self,
        now: Timestamp,
        lifetime: TimeDelta,
        need: usize,
        is_of_kind: impl Fn(&Record) -> bool,
    ) -> Option<Record> {
        let witnesses = self
            .witnesses
            .values()
            .filter(|witness| now - witness.heard < lifetime && is_of_kind(&witness.record));
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
            .filter(|by_host| by_host.len() >= need)
            .filter_map(|by_host| reached_by(need, by_host.into_values().collect()))
            .max_by_key(|record| record.incarnation)
    }
}

/// The record with the highest incarnation that so many of these reach.
fn reached_by(need: usize, mut records: Vec<&Record>) -> Option<Record> {
    records.sort_by_key(|record| std::cmp::Reverse(record.incarnation));
    records.get(need.max(1) - 1).map(|record| (*record).clone())
}
