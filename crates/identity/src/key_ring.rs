//! The public keys that one gateway has received. A withdrawn key never becomes valid again,
//! neither through another index, older or newer, nor when the clock is set back. Otherwise a
//! gateway that reads its files late would accept tokens of the key again.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use admission::interface::{TimeDelta, Timestamp};

use crate::key_index::{KeyEntry, KeyId, KeyIndex, KeyIndexError, KeyState};

/// An Ed25519 public key.
pub type PublicKey = [u8; 32];

/// A public key with its index entry.
#[derive(Clone, Debug)]
struct InstalledKey {
    entry: KeyEntry,
    public: PublicKey,
}

/// The public keys by their IDs, at most [`KeyIndex::MAX_KEYS`]. A key is removed when a new index
/// does not contain it; its ID is then kept in the list of withdrawn keys.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    /// The version of the index in use.
    version: u64,
    keys: BTreeMap<KeyId, InstalledKey>,
    /// The IDs of keys that were withdrawn at this gateway, regardless of later indexes. The list
    /// has at most [`KeyIndex::MAX_KEYS`] IDs; a new ID replaces the oldest one if it is full.
    withdrawn: VecDeque<KeyId>,
    /// The latest time seen so far. It keeps withdrawn keys withdrawn if the clock is set back.
    latest: Option<Timestamp>,
}

impl KeyRing {
    /// Installs an index with the public key of each entry. On an error, the previous keys stay in
    /// use.
    ///
    /// # Errors
    /// The index is older than the one in use, is invalid, contains a key whose public key is
    /// missing, or reuses the ID of another or a withdrawn key.
    pub fn update(
        &mut self,
        now: Timestamp,
        index: &KeyIndex,
        public_keys: &BTreeMap<KeyId, PublicKey>,
    ) -> Result<(), KeyIndexError> {
        index.validate()?;
        if index.version < self.version {
            return Err(KeyIndexError::OutdatedVersion {
                offered: index.version,
                current: self.version,
            });
        }
        let now = self.advance_clock(now);
        let mut keys = BTreeMap::new();
        for entry in &index.keys {
            let installed = self.check_entry(now, entry, public_keys)?;
            keys.insert(entry.id.clone(), installed);
        }
        // A key that the new index no longer contains is treated as withdrawn.
        let removed: Vec<KeyId> = self
            .keys
            .keys()
            .filter(|id| !keys.contains_key(*id))
            .cloned()
            .collect();
        self.version = index.version;
        self.keys = keys;
        for id in removed {
            self.mark_withdrawn(id);
        }
        self.advance(now);
        Ok(())
    }

    /// Installs an index whose public keys may not all have arrived, and returns the keys that are
    /// left out until theirs has. A key that is installed keeps its public key meanwhile.
    ///
    /// # Errors
    /// As for [`update`](Self::update). An index that replaces a key in use by one that has not
    /// arrived lacks a public key too.
    pub fn update_received(
        &mut self,
        now: Timestamp,
        index: &KeyIndex,
        received: &BTreeMap<KeyId, PublicKey>,
    ) -> Result<BTreeSet<KeyId>, KeyIndexError> {
        let mut public_keys = received.clone();
        let mut usable = index.clone();
        let mut arriving = BTreeSet::new();
        usable.keys.retain(|KeyEntry { id, .. }| {
            if let Some(public) = self.public_key(id) {
                public_keys.entry(id.clone()).or_insert(*public);
            }
            let has_arrived = public_keys.contains_key(id);
            if !has_arrived {
                arriving.insert(id.clone());
            }
            has_arrived
        });
        let replaces_key = |id: &KeyId| index.keys.iter().all(|entry| entry.id != *id);
        if let Some(missing) = arriving.first()
            && self.keys.keys().any(replaces_key)
        {
            return Err(KeyIndexError::MissingPublicKey(missing.to_string()));
        }
        self.update(now, &usable, &public_keys)?;
        for entry in &index.keys {
            if entry.state(now) == KeyState::Withdrawn && arriving.remove(&entry.id) {
                self.mark_withdrawn(entry.id.clone());
            }
        }
        Ok(arriving)
    }

    fn check_entry(
        &self,
        now: Timestamp,
        entry: &KeyEntry,
        public_keys: &BTreeMap<KeyId, PublicKey>,
    ) -> Result<InstalledKey, KeyIndexError> {
        let id = &entry.id;
        let Some(public) = public_keys.get(id) else {
            return Err(KeyIndexError::MissingPublicKey(id.to_string()));
        };
        let comes_back = self.withdrawn.contains(id) && entry.state(now) != KeyState::Withdrawn;
        let replaces_key = self
            .keys
            .get(id)
            .is_some_and(|installed| installed.public != *public);
        if comes_back || replaces_key {
            return Err(KeyIndexError::WithdrawnKeyReused(id.to_string()));
        }
        Ok(InstalledKey {
            entry: entry.clone(),
            public: *public,
        })
    }

    fn mark_withdrawn(&mut self, id: KeyId) {
        if !self.withdrawn.contains(&id) {
            self.withdrawn.push_back(id);
        }
        if self.withdrawn.len() > KeyIndex::MAX_KEYS {
            self.withdrawn.pop_front();
        }
    }

    /// The latest of the given time and all times seen before.
    fn advance_clock(&mut self, now: Timestamp) -> Timestamp {
        let latest = self.latest.map_or(now, |latest| latest.max(now));
        self.latest = Some(latest);
        latest
    }

    /// Advances to the given time and permanently withdraws the keys whose withdrawal is due.
    pub fn advance(&mut self, now: Timestamp) {
        let now = self.advance_clock(now);
        let due: Vec<KeyId> = self
            .keys
            .iter()
            .filter(|(_, installed)| installed.entry.state(now) == KeyState::Withdrawn)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.mark_withdrawn(id);
        }
    }

    /// The state of a key at the given time, or at the latest time seen if that is later.
    #[must_use]
    pub fn state(&self, now: Timestamp, id: &KeyId) -> KeyState {
        if self.withdrawn.contains(id) {
            return KeyState::Withdrawn;
        }
        let now = self.latest.map_or(now, |latest| latest.max(now));
        match self.keys.get(id) {
            Some(installed) => installed.entry.state(now),
            None => KeyState::Unknown,
        }
    }

    /// The public key with this ID, or `None` if it is unknown.
    #[must_use]
    pub fn public_key(&self, id: &KeyId) -> Option<&PublicKey> {
        self.keys.get(id).map(|installed| &installed.public)
    }

    /// Returns whether the key was signing at the given time, within a tolerance of `skew`.
    #[must_use]
    pub fn was_signing(&self, id: &KeyId, time: Timestamp, skew: TimeDelta) -> bool {
        let Some(installed) = self.keys.get(id) else {
            return false;
        };
        let KeyEntry {
            signing_s,
            retired_s,
            ..
        } = installed.entry;
        let earliest = time + (TimeDelta::ZERO - skew);
        let latest = time + skew;
        let had_started = signing_s.is_some_and(|start| Timestamp::from_secs(start) <= latest);
        let had_not_retired = retired_s.is_none_or(|end| earliest < Timestamp::from_secs(end));
        had_started && had_not_retired
    }

    /// The planned withdrawal time of the key, or `None` if the key is unknown or no withdrawal is
    /// planned.
    #[must_use]
    pub fn withdrawal(&self, id: &KeyId) -> Option<Timestamp> {
        let withdrawn_s = self.keys.get(id)?.entry.withdrawn_s?;
        Some(Timestamp::from_secs(withdrawn_s))
    }
}
