//! Keys of the fleet: several are accepted, one signs, so that a key changes in service without losing anybody.

use std::collections::BTreeMap;
use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use thiserror::Error;

/// Told in each datagram, so that a foreign one costs no check of its code: it follows from the key alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyMark(pub [u8; 4]);

#[derive(Debug, Error, PartialEq, Eq)]
pub enum KeyError {
    #[error("no key signs")]
    None,
    #[error("{0} keys: at most {MOST_KEYS}")]
    Many(usize),
}

/// Every accepted key may cost a check of a datagram's code.
pub const MOST_KEYS: usize = 8;
/// So much of the code is sent: a forger has one chance in 2^128 a datagram.
pub const CODE: usize = 16;

#[derive(Clone)]
pub struct Ring {
    accepted: BTreeMap<KeyMark, Hmac<Sha256>>,
    signs: KeyMark,
}

impl fmt::Debug for Ring {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ring")
            .field("accepted", &self.accepted.keys())
            .field("signs", &self.signs)
            .finish()
    }
}

fn keyed(key: &[u8; 32]) -> Hmac<Sha256> {
    Hmac::<Sha256>::new_from_slice(key).expect("any length is a key")
}

pub fn mark(key: &[u8; 32]) -> KeyMark {
    let mut code = keyed(key);
    code.update(b"laurelhitch fleet key mark");
    let code = code.finalize().into_bytes();
    KeyMark([code[0], code[1], code[2], code[3]])
}

impl Ring {
    /// # Errors
    /// Too many keys.
    pub fn new(signs: &[u8; 32], others: &[[u8; 32]]) -> Result<Self, KeyError> {
        if others.len() >= MOST_KEYS {
            return Err(KeyError::Many(others.len() + 1));
        }
        let all = others.iter().chain([signs]);
        Ok(Ring {
            accepted: all.map(|key| (mark(key), keyed(key))).collect(),
            signs: mark(signs),
        })
    }

    pub fn signs(&self) -> KeyMark {
        self.signs
    }

    pub fn accepted(&self) -> impl Iterator<Item = KeyMark> {
        self.accepted.keys().copied()
    }

    pub fn code(&self, bytes: &[&[u8]]) -> [u8; CODE] {
        let mut code = self.accepted[&self.signs].clone();
        bytes.iter().for_each(|part| code.update(part));
        let code = code.finalize().into_bytes();
        std::array::from_fn(|at| code[at])
    }

    /// `None`: no such key. Compared in constant time.
    pub fn holds(&self, mark: KeyMark, bytes: &[&[u8]], code: &[u8]) -> Option<bool> {
        let mut own = self.accepted.get(&mark)?.clone();
        bytes.iter().for_each(|part| own.update(part));
        Some(code.len() == CODE && own.verify_truncated_left(code).is_ok())
    }
}
