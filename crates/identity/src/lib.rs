//! Authentication and authorization of callers. The crate does no I/O, and its caller passes in the
//! current time.
//!
//! | state | owner | bound | removed by |
//! | --- | --- | --- | --- |
//! | public keys and their lifecycle | [`KeyRing`] | [`KeyIndex::MAX_KEYS`] | an index that no longer contains the key |
//! | IDs of withdrawn keys | [`KeyRing`] | [`KeyIndex::MAX_KEYS`] | a new ID, which replaces the oldest one if the list is full |
//! | revoked callers and tokens | [`RevocationList`] | [`RevocationList::MAX_ENTRIES`] | the next list, which replaces it |
//! | verified tokens | [`token_cache::TokenCache`] | [`VerifierConfig::max_cached_tokens`] | the expiry of the token or withdrawal of its key; new key files; a new token, which replaces the least recently used one if the cache is full |
//! | keys whose public keys have not arrived | [`TokenVerifier`] | [`KeyIndex::MAX_KEYS`] | the arrival of their public keys, or the next index |
//! | budget of signature checks | [`TokenVerifier`] | the checks of one second | each check; it refills over time |
//!
//! [`TokenVerifier`] owns all of this state. It verifies the token again for each statement, so
//! that a revocation takes effect on open sessions too. The [`Grant`] in the token then determines
//! what the authenticated caller may run.

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
pub use revocation::{ListExtent, RevocationList, RevocationListError, RevokedSubject};
pub use token::{Claims, KeyPair, TokenError};
pub use verifier::{Authentication, TokenRejection, TokenVerifier, VerifierConfig};
