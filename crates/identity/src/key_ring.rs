//! The public keys that have arrived at one gateway. A withdrawn key never comes back, neither by an older or a newer
//! index nor by a clock that is set back: otherwise a gateway that reads its files late would accept its tokens again.

use std::collections::{BTreeMap, VecDeque};

use admission::interface::{TimeDelta, Timestamp};

use crate::key_index::{KeyEntry, KeyId, KeyIndex, KeyIndexError, KeyState};

/// An Ed25519 public key.
pub type PublicKey = [u8; 32];

#[derive(Clone, Debug)]
struct InstalledKey {
    entry: KeyEntry,
    public: PublicKey,
}

/// Public keys by their ids, at most [`KeyIndex::MAX_KEYS`]. A key leaves with an index that no longer names it; its id
/// stays among the withdrawn ones.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    /// Of the index in use.
    version: u64,
    keys: BTreeMap<KeyId, InstalledKey>,
    /// Withdrawn here once, whatever the index says later. Bounded; the oldest id makes room for a new one.
    withdrawn: VecDeque<KeyId>,
    /// The latest time ever seen: a clock set back does not bring a withdrawn key back.
    latest: Option<Timestamp>,
}

impl KeyRing {
    /// Takes over an index with the public key of each entry, completely or not at all.
    ///
    /// # Errors
    /// The index is older than the one in use, contradicts itself, names a key without a public key, or brings back a
    /// key that was withdrawn.
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
        // A key that vanishes from the index is as good as withdrawn.
        let vanished: Vec<KeyId> = self
            .keys
            .keys()
            .filter(|id| !keys.contains_key(*id))
            .cloned()
            .collect();
        self.version = index.version;
        self.keys = keys;
        for id in vanished {
            self.mark_withdrawn(id);
        }
        self.advance(now);
        Ok(())
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

    /// The time that counts: never earlier than any that was seen.
    fn advance_clock(&mut self, now: Timestamp) -> Timestamp {
        let latest = self.latest.map_or(now, |latest| latest.max(now));
        self.latest = Some(latest);
        latest
    }

    /// Moves on to this time: keys whose withdrawal is due are withdrawn for good.
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

    /// The state of a key now.
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

    /// The public half of a key.
    #[must_use]
    pub fn public_key(&self, id: &KeyId) -> Option<&PublicKey> {
        self.keys.get(id).map(|installed| &installed.public)
    }

    /// Whether the key was signing at a time, give or take the skew of clocks.
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

    /// When the key is withdrawn, if that is planned.
    #[must_use]
    pub fn withdrawal(&self, id: &KeyId) -> Option<Timestamp> {
        let withdrawn_s = self.keys.get(id)?.entry.withdrawn_s?;
        Some(Timestamp::from_secs(withdrawn_s))
    }
}
