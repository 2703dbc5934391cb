//! Authentication and authorization of callers. Plain values in and out, time handed in; no I/O.
//!
//! | state | owner | bound | what empties it |
//! | --- | --- | --- | --- |
//! | public keys and their lifecycle | [`KeyRing`] | [`KeyIndex::MAX_KEYS`] | an index that no longer names the key |
//! | ids of withdrawn keys | [`KeyRing`] | [`KeyIndex::MAX_KEYS`] | the oldest id makes room for a new one |
//! | revoked callers and tokens | [`RevocationList`] | [`RevocationList::MAX_ENTRIES`] | the next list replaces it |
//! | verified tokens | [`token_cache::TokenCache`] | [`VerifierConfig::max_cached_tokens`] | the end of the token or its key; new key files; the least recently used makes room |
//! | budget of signature checks | [`TokenVerifier`] | a second's worth | refilled with time |
//!
//! [`TokenVerifier`] owns all of it and is asked anew for each statement, so that a revocation acts on sessions that
//! are open. A [`Grant`] then says what the authenticated caller may run.

pub mod grant;
pub mod key_index;
pub mod key_ring;
pub mod revocation;
pub mod token;
pub mod token_cache;
pub mod verifier;

pub use grant::{AuthorizationError, AuthorizationRequest, Grant, TableGroupRange};
pub use key_index::{KeyEntry, KeyId, KeyIndex, KeyIndexError, KeyState};
pub use key_ring::KeyRing;
pub use revocation::{RevocationList, RevocationListError, RevokedSubject};
pub use token::{Claims, KeyPair, TokenError};
pub use verifier::{Authentication, TokenRejection, TokenVerifier, VerifierConfig};
