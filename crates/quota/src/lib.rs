//! Budgets of all gateways together: divided among them, divided anew as they come and go, never more than the whole.
//! Pure: words and time in, words, events and the next due time out. Nothing here does I/O.
//!
//! What may be spent rests on leases and on each gateway's own steady clock, not on who is thought to be there: see
//! docs/notes/shares.md for why the sum holds through loss, partitions, kills and processes that stood still.

pub mod amount;
pub mod bucket;
pub mod core;
pub mod divide;
pub mod holder;
pub mod ledger;
pub mod office;
pub mod terms;
pub mod voter;
pub mod word;

pub use amount::Amount;
pub use bucket::Bucket;
pub use core::{Core, Event, Letter};
pub use ledger::{Line, Shares, Status};
pub use terms::{Budget, Faults, Terms, TermsError, Use};
pub use word::{Refused, Who};
