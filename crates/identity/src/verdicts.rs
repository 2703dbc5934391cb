//! Verdicts on tokens, remembered by digest: a token is checked once, not at every statement. Bounded; a verdict is
//! forgotten when its token or key ends, and all of them when keys or revocations change.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use admission::interface::Timestamp;

use crate::keys::KeyId;
use crate::token::Claims;

pub type Digest = [u8; 32];

#[derive(Clone, Debug)]
struct Known {
    key: Arc<KeyId>,
    claims: Arc<Claims>,
    ends: Timestamp,
    used: u64,
}

pub struct Verdicts {
    most: usize,
    known: BTreeMap<Digest, Known>,
    /// By last use, for whom to forget when it is full.
    order: BTreeSet<(u64, Digest)>,
    ends: BTreeSet<(Timestamp, Digest)>,
    uses: u64,
}

impl Verdicts {
    pub fn new(most: usize) -> Self {
        Verdicts {
            most,
            known: BTreeMap::new(),
            order: BTreeSet::new(),
            ends: BTreeSet::new(),
            uses: 0,
        }
    }

    /// The key that signed it, and what it says.
    pub fn get(&mut self, now: Timestamp, digest: &Digest) -> Option<(Arc<KeyId>, Arc<Claims>)> {
        self.forget_ended(now);
        let known = self.known.get_mut(digest)?;
        self.uses += 1;
        self.order.remove(&(known.used, *digest));
        known.used = self.uses;
        self.order.insert((known.used, *digest));
        Some((known.key.clone(), known.claims.clone()))
    }

    pub fn put(
        &mut self,
        now: Timestamp,
        digest: Digest,
        (key, claims): (Arc<KeyId>, Arc<Claims>),
        ends: Timestamp,
    ) {
        self.forget_ended(now);
        if self.most == 0 || ends <= now {
            return;
        }
        self.remove(&digest);
        while self.known.len() >= self.most
            && let Some((_, oldest)) = self.order.first().copied()
        {
            self.remove(&oldest);
        }
        self.uses += 1;
        self.order.insert((self.uses, digest));
        self.ends.insert((ends, digest));
        self.known.insert(
            digest,
            Known {
                key,
                claims,
                ends,
                used: self.uses,
            },
        );
    }

    fn remove(&mut self, digest: &Digest) {
        if let Some(known) = self.known.remove(digest) {
            self.order.remove(&(known.used, *digest));
            self.ends.remove(&(known.ends, *digest));
        }
    }

    fn forget_ended(&mut self, now: Timestamp) {
        while let Some((_, digest)) = self.ends.first().copied().filter(|(ends, _)| *ends <= now) {
            self.remove(&digest);
        }
    }

    pub fn forget_all(&mut self) {
        self.known.clear();
        self.order.clear();
        self.ends.clear();
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
