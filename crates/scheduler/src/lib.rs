//! Waiting work by member and desk, ahead of the decision module: who is asked about next, within which budgets, for
//! how long at most, and how long a wait will be. Time is handed in; nothing here does I/O.

pub mod budget;
pub mod hall;
pub mod lines;
pub mod order;
pub mod pace;
pub mod terms;

pub use hall::{Hall, Tally};
pub use lines::{DeskStatus, Lines, StatementStatus, Wait};
pub use pace::Estimate;
pub use terms::{Belongs, Bound, Claim, DeskId, DeskTerms, Directory, MemberTerms, Terms};
