//! The verdict on a token at a moment: granted, come back later, or refused, and why.

use std::collections::BTreeMap;
use std::sync::Arc;

use admission::interface::{TimeDelta, Timestamp};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

use crate::keys::{Index, IndexError, KeyId, KeyRing, Standing};
use crate::revoked::{Kind, Revoked};
use crate::token::{self, Claims, TokenError};
use crate::verdicts::Verdicts;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// How far clocks may differ.
    pub skew: TimeDelta,
    /// How long a token by a key that has not arrived here may be that key's fault.
    pub grace: TimeDelta,
    /// When to come back in that time.
    pub back: TimeDelta,
    /// Longest life of a token.
    pub longest: TimeDelta,
    /// Verdicts remembered.
    pub cached_verdicts: usize,
    /// Signatures checked a second beyond those that hold; further tokens are told to come back.
    pub checks_per_s: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            skew: TimeDelta::from_secs(5.0),
            grace: TimeDelta::from_secs(30.0),
            back: TimeDelta::from_secs(0.5),
            longest: TimeDelta::from_secs(86_400.0),
            cached_verdicts: 10_000,
            checks_per_s: 500.0,
        }
    }
}

/// Why a token is refused for good; counted by kind.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    #[error("token: {0}")]
    Token(#[from] TokenError),
    #[error("token: its key is not known here")]
    UnknownKey,
    #[error("token: its key is withdrawn")]
    Withdrawn,
    #[error("token: its key signs nothing yet")]
    Announced,
    #[error("token: issued when its key signed nothing")]
    NotSigning,
    #[error("token: it is expired")]
    Expired,
    #[error("token: it holds too long")]
    Long,
    #[error("token: it is revoked")]
    Revoked,
    #[error("token: its caller is revoked")]
    Caller,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Granted {
        claims: Arc<Claims>,
        /// Ask again then at the latest.
        until: Timestamp,
    },
    /// Not yet, and no fault of its caller's: a rejection, with when to come back.
    Later {
        back: TimeDelta,
    },
    Refused(Why),
}

pub struct Guard {
    terms: Terms,
    ring: KeyRing,
    revoked: Revoked,
    verdicts: Verdicts,
    /// Checks that may still be spent on what does not hold, and since when.
    checks: (f64, Timestamp),
    pub checked: u64,
}

impl Guard {
    pub fn new(now: Timestamp, terms: Terms) -> Self {
        Guard {
            terms,
            ring: KeyRing::default(),
            revoked: Revoked::default(),
            verdicts: Verdicts::new(terms.cached_verdicts),
            checks: (terms.checks_per_s, now),
            checked: 0,
        }
    }

    /// New files, whole or not at all; what was decided by the old ones is forgotten.
    ///
    /// # Errors
    /// As `KeyRing::take`; nothing has changed then.
    pub fn take(
        &mut self,
        now: Timestamp,
        index: &Index,
        public: &BTreeMap<KeyId, [u8; 32]>,
        revoked: Revoked,
    ) -> Result<(), IndexError> {
        self.ring.take(now, index, public)?;
        self.revoked = revoked;
        self.verdicts.forget_all();
        Ok(())
    }

    pub fn ring(&self) -> &KeyRing {
        &self.ring
    }

    pub fn cached_verdicts(&self) -> usize {
        self.verdicts.len()
    }

    pub fn verdict(&mut self, now: Timestamp, token: &str) -> Verdict {
        self.ring.look(now);
        let digest = Sha256::digest(token.as_bytes()).into();
        if let Some((id, claims)) = self.verdicts.get(now, &digest) {
            return self.hold(now, claims, &id);
        }
        let id = match token::key_of(token) {
            Ok(id) => id,
            Err(why) => return Verdict::Refused(why.into()),
        };
        match self.ring.standing(now, &id) {
            Standing::Unknown => return self.not_here(now, token, Why::UnknownKey),
            // Its signer has the files that make it sign; we do not yet, or our clock lags.
            Standing::Announced => return self.not_here(now, token, Why::Announced),
            Standing::Withdrawn => return Verdict::Refused(Why::Withdrawn),
            Standing::Signing | Standing::Retiring => {}
        }
        // The usual callers' tokens are remembered; a flood of bad ones must not take the time of all.
        if !self.may_check(now) {
            return Verdict::Later {
                back: self.terms.back,
            };
        }
        self.checked += 1;
        let Some(public) = self.ring.public(&id) else {
            return Verdict::Refused(Why::UnknownKey);
        };
        match token::open(token, public) {
            Err(why) => Verdict::Refused(why.into()),
            Ok(claims) => {
                self.checks.0 = (self.checks.0 + 1.0).min(self.terms.checks_per_s);
                let claims = Arc::new(claims);
                let verdict = self.hold(now, claims.clone(), &id);
                if let Verdict::Granted { until, .. } = verdict {
                    self.verdicts
                        .put(now, digest, (Arc::new(id), claims), until);
                }
                verdict
            }
        }
    }

    fn may_check(&mut self, now: Timestamp) -> bool {
        let gone = (now - self.checks.1).secs().max(0.0);
        let left = (self.checks.0 + gone * self.terms.checks_per_s).min(self.terms.checks_per_s);
        self.checks = (left, now);
        let may = left >= 1.0;
        if may {
            self.checks.0 -= 1.0;
        }
        may
    }

    fn not_here(&self, now: Timestamp, token: &str, why: Why) -> Verdict {
        // Its own word, unchecked; a lie about it earns no more than to be told to come back.
        let age = token::issued_unchecked(token).map(|issued| (now - issued).secs());
        let fresh = age
            .is_some_and(|age| (-self.terms.skew.secs()..=self.terms.grace.secs()).contains(&age));
        if fresh {
            Verdict::Later {
                back: self.terms.back,
            }
        } else {
            Verdict::Refused(why)
        }
    }

    /// Of a token whose signature holds.
    fn hold(&self, now: Timestamp, claims: Arc<Claims>, id: &KeyId) -> Verdict {
        if self.ring.standing(now, id) == Standing::Withdrawn {
            return Verdict::Refused(Why::Withdrawn);
        }
        if self.revoked.holds(Kind::Token, &claims.id) {
            return Verdict::Refused(Why::Revoked);
        }
        if self.revoked.holds(Kind::Caller, &claims.caller) {
            return Verdict::Refused(Why::Caller);
        }
        if claims.expires_s - claims.not_before_s > self.terms.longest.secs() {
            return Verdict::Refused(Why::Long);
        }
        let (from, until) = claims.holds(self.terms.skew);
        if now >= until {
            return Verdict::Refused(Why::Expired);
        }
        if now < from {
            return Verdict::Later {
                back: (from - now).min(self.terms.back),
            };
        }
        let signed =
            self.ring
                .signed_at(id, Timestamp::from_secs(claims.issued_s), self.terms.skew);
        if !signed {
            return Verdict::Refused(Why::NotSigning);
        }
        let until = self.ring.withdrawn_at(id).map_or(until, |at| until.min(at));
        Verdict::Granted { claims, until }
    }
}
