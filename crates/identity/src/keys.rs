//! Signing keys and their lives. A key is announced before it signs, retires, and is withdrawn at a time; it never goes
//! back, since a gateway that got the files late would otherwise take a withdrawn key's tokens again.

use std::collections::BTreeMap;

use admission::interface::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Names a key in tokens and files: letters, digits, `-` and `_`, 32 at most.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyId(String);

impl TryFrom<String> for KeyId {
    type Error = IndexError;
    fn try_from(name: String) -> Result<Self, IndexError> {
        let fine = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
        let usable = (1..=32).contains(&name.len()) && name.bytes().all(fine);
        if usable {
            Ok(KeyId(name))
        } else {
            Err(IndexError::Name)
        }
    }
}

impl From<KeyId> for String {
    fn from(id: KeyId) -> String {
        id.0
    }
}

impl KeyId {
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// What the index says of a key; times in Unix seconds. A later step is never earlier than the one before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listed {
    pub id: KeyId,
    pub announced_s: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub signs_s: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retires_s: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub withdrawn_s: Option<f64>,
}

/// The small file beside the keys, whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Index {
    /// Grows with each change; an older one never replaces a newer.
    pub version: u64,
    pub keys: Vec<Listed>,
}

#[derive(Debug, Error, PartialEq, Eq)]
pub enum IndexError {
    #[error("a key's name is 1 to 32 letters, digits, - and _")]
    Name,
    #[error("key index: {0}")]
    Form(String),
    #[error("key index: two keys named {0}")]
    Twice(String),
    #[error("key index: {0}: times out of order")]
    Order(String),
    #[error("key index: {0}: its public key is missing or none")]
    Missing(String),
    #[error("key index: {0} was withdrawn and cannot come back")]
    Back(String),
    #[error("key index: version {0} is older than {1}")]
    Older(u64, u64),
    #[error("key index: over {0} keys")]
    Many(usize),
}

/// Where a key stands at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Not in the files that have arrived here.
    Unknown,
    /// Known, and signs nothing yet: a token by it is early here, not forged.
    Announced,
    Signing,
    /// Signs nothing new; what it signed holds.
    Retiring,
    Withdrawn,
}

impl Index {
    pub const MOST: usize = 1000;

    /// # Errors
    /// It is no index, or contradicts itself; nothing of it is used then.
    pub fn parse(text: &str) -> Result<Self, IndexError> {
        let index: Index =
            serde_json::from_str(text).map_err(|e| IndexError::Form(e.to_string()))?;
        index.check()?;
        Ok(index)
    }

    fn check(&self) -> Result<(), IndexError> {
        if self.keys.len() > Self::MOST {
            return Err(IndexError::Many(Self::MOST));
        }
        let mut seen = BTreeMap::new();
        for key in &self.keys {
            if seen.insert(&key.id, ()).is_some() {
                return Err(IndexError::Twice(key.id.0.clone()));
            }
            let steps = [
                Some(key.announced_s),
                key.signs_s,
                key.retires_s,
                key.withdrawn_s,
            ];
            let steps: Vec<f64> = steps.into_iter().flatten().collect();
            let ordered = steps.is_sorted() && steps.iter().all(|at| at.is_finite() && *at >= 0.0);
            // A key may be withdrawn before it ever signed, but not retire so.
            if !ordered || key.retires_s.is_some() && key.signs_s.is_none() {
                return Err(IndexError::Order(key.id.0.clone()));
            }
        }
        Ok(())
    }
}

impl Listed {
    pub fn standing(&self, now: Timestamp) -> Standing {
        let past = |at: Option<f64>| at.is_some_and(|at| Timestamp::from_secs(at) <= now);
        if past(self.withdrawn_s) {
            Standing::Withdrawn
        } else if past(self.retires_s) {
            Standing::Retiring
        } else if past(self.signs_s) {
            Standing::Signing
        } else {
            Standing::Announced
        }
    }
}

/// The keys that have arrived at one gateway. Bounded by `Index::MOST`; a key leaves with an index that no longer names
/// it, once it was withdrawn: its name stays with the withdrawn ones for as long.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    version: u64,
    keys: BTreeMap<KeyId, (Listed, [u8; 32])>,
    /// Withdrawn here once, whatever the index says later; bounded, the oldest name leaves first.
    gone: Vec<KeyId>,
    /// The latest moment ever seen: a clock set back does not bring a withdrawn key back.
    latest: Option<Timestamp>,
}

impl KeyRing {
    /// Takes an index whole, with the public key of each, or nothing of it.
    ///
    /// # Errors
    /// It is older, contradicts itself, names a key that is not there, or brings back one that was withdrawn.
    pub fn take(
        &mut self,
        now: Timestamp,
        index: &Index,
        public: &BTreeMap<KeyId, [u8; 32]>,
    ) -> Result<(), IndexError> {
        index.check()?;
        if index.version < self.version {
            return Err(IndexError::Older(index.version, self.version));
        }
        let now = self.not_before(now);
        let mut keys = BTreeMap::new();
        for listed in &index.keys {
            let id = &listed.id;
            let key = public
                .get(id)
                .ok_or_else(|| IndexError::Missing(id.0.clone()))?;
            let back = self.gone.contains(id) && listed.standing(now) != Standing::Withdrawn;
            let other = self.keys.get(id).is_some_and(|(_, known)| known != key);
            if back || other {
                return Err(IndexError::Back(id.0.clone()));
            }
            keys.insert(id.clone(), (listed.clone(), *key));
        }
        // One that vanishes from the index is as good as withdrawn.
        let gone = self
            .keys
            .keys()
            .filter(|id| !keys.contains_key(*id))
            .cloned()
            .collect::<Vec<_>>();
        (self.version, self.keys) = (index.version, keys);
        gone.into_iter().for_each(|id| self.bury(id));
        self.look(now);
        Ok(())
    }

    fn bury(&mut self, id: KeyId) {
        if !self.gone.contains(&id) {
            self.gone.push(id);
        }
        if self.gone.len() > Index::MOST {
            self.gone.remove(0);
        }
    }

    fn not_before(&mut self, now: Timestamp) -> Timestamp {
        let latest = self.latest.map_or(now, |latest| latest.max(now));
        self.latest = Some(latest);
        latest
    }

    /// Time goes on: keys whose time has come are withdrawn for good.
    pub fn look(&mut self, now: Timestamp) {
        let now = self.not_before(now);
        let over = self
            .keys
            .iter()
            .filter(|(_, (listed, _))| listed.standing(now) == Standing::Withdrawn);
        let over: Vec<KeyId> = over.map(|(id, _)| id.clone()).collect();
        over.into_iter().for_each(|id| self.bury(id));
    }

    pub fn standing(&self, now: Timestamp, id: &KeyId) -> Standing {
        let now = self.latest.map_or(now, |latest| latest.max(now));
        if self.gone.contains(id) {
            return Standing::Withdrawn;
        }
        self.keys
            .get(id)
            .map_or(Standing::Unknown, |(listed, _)| listed.standing(now))
    }

    pub fn public(&self, id: &KeyId) -> Option<&[u8; 32]> {
        self.keys.get(id).map(|(_, key)| key)
    }

    /// Whether the key signed at a moment, give or take what clocks differ by.
    pub fn signed_at(&self, id: &KeyId, at: Timestamp, skew: TimeDelta) -> bool {
        let Some((listed, _)) = self.keys.get(id) else {
            return false;
        };
        let from = listed
            .signs_s
            .is_some_and(|from| Timestamp::from_secs(from) <= at + skew);
        from && listed
            .retires_s
            .is_none_or(|until| at + (TimeDelta::ZERO - skew) < Timestamp::from_secs(until))
    }

    pub fn withdrawn_at(&self, id: &KeyId) -> Option<Timestamp> {
        self.keys.get(id)?.0.withdrawn_s.map(Timestamp::from_secs)
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// The next moment at which a key's standing changes by itself.
    pub fn next_change(&self, now: Timestamp) -> Option<Timestamp> {
        let steps = |listed: &Listed| [listed.signs_s, listed.retires_s, listed.withdrawn_s];
        let all = self
            .keys
            .values()
            .flat_map(|(listed, _)| steps(listed))
            .flatten()
            .map(Timestamp::from_secs);
        all.filter(|at| *at > now).min()
    }
}
