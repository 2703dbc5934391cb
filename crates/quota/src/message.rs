//! The messages of the lease protocol. Membership carries them in its datagrams, authenticates them
//! and drops duplicates.
//!
//! The encoding is positional: the order of variants and fields, and the types of fields, define
//! the wire format.

use membership::{BootId, Name};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::amount::Amount;
use crate::config::{BudgetKey, MAX_BUDGETS};

/// One process of a gateway. A restarted gateway is a new holder, since it does not know what the
/// previous process held.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HolderId {
    /// The name of the gateway.
    pub name: Name,
    /// Distinguishes the processes of one gateway.
    pub boot_id: BootId,
}

/// The number of a request. Each gateway numbers its own requests in ascending order, and an answer
/// carries the number of its request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId(pub u64);

impl RequestId {
    /// The next higher number.
    #[must_use]
    pub fn next(self) -> RequestId {
        RequestId(self.0 + 1)
    }
}

/// A message with its receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Message {
    /// The name of the receiver.
    pub to: Name,
    /// The content of the message.
    pub payload: Payload,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// A request from a candidate or leader to a voter for a new or renewed vote.
    VoteRequest(VoteRequest),
    /// A voter's answer to a vote request.
    Vote(Vote),
    /// A notice from a candidate or leader that steps down: votes for it are void.
    StepDown {
        /// The term that it steps down from.
        term: u64,
    },
    /// A request from a holder to the leader.
    LeaseRequest(LeaseRequest),
    /// The leader's answer to a lease request.
    LeaseGrant(LeaseGrant),
    /// A voter's answer to a lease request if the voter is not the leader.
    Redirect {
        /// The leader that the voter knows of, or `None` if it knows none.
        leader: Option<Name>,
    },
}

/// A request for a voter's vote, or for its renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term for which the vote is requested.
    pub term: u64,
    /// The number of this request.
    pub request: RequestId,
}

/// A voter's answer to a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The vote request that it answers.
    pub request: RequestId,
    /// Whether the vote is granted. A granted vote lasts for one term duration.
    pub granted: bool,
    /// The highest term that the voter knows of.
    pub highest_term: u64,
}

/// A holder's report on one budget in a lease request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetDemand {
    /// The key of the budget.
    pub budget: BudgetKey,
    /// What the holder could spend per second beyond its guaranteed minimum.
    pub demand: Amount,
    /// What is leased to the holder per second, by the current or an earlier leader.
    pub held: Amount,
    /// The budget's capacity in the holder's configuration, which the leader compares with its own.
    pub capacity: Amount,
    /// The guaranteed minimum in the holder's configuration, which the leader compares with its
    /// own.
    pub guaranteed: Amount,
}

/// A request for a new or renewed lease, or the return of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The number of this request.
    pub request: RequestId,
    /// The request whose grant is the holder's current lease; `None` without a lease. Once it has
    /// sent this request, the holder accepts no answer to an earlier one.
    pub held_lease: Option<RequestId>,
    /// The holder returns its lease and no longer spends under it.
    pub leaving: bool,
    /// The holder's steady clock in milliseconds, with which the leader measures its drift.
    pub clock_ms: u64,
    /// The holder's report on each of its budgets.
    pub budgets: Vec<BudgetDemand>,
}

/// What is leased of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantedAmount {
    /// The key of the budget.
    pub budget: BudgetKey,
    /// What may be spent per second beyond the guaranteed minimum.
    pub amount: Amount,
}

/// The grant of a lease. The lease lasts for [`crate::Config::lease_duration`], less an allowance
/// for clock drift, from when the holder sent its request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The lease request that it answers.
    pub request: RequestId,
    /// The term of the leader that sent it.
    pub term: u64,
    /// What is leased of each budget in the leader's configuration.
    pub amounts: Vec<GrantedAmount>,
}

impl LeaseGrant {
    /// What is leased of a budget per second; zero for a budget that the grant does not contain.
    #[must_use]
    pub fn amount_of(&self, budget: BudgetKey) -> Amount {
        let granted = self.amounts.iter().find(|granted| granted.budget == budget);
        granted.map_or(Amount::ZERO, |granted| granted.amount)
    }
}

/// The reason why a message was rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// The payload cannot be decoded, or it contains more budgets than allowed.
    #[error("cannot be read")]
    Malformed,
    /// The message requires its sender or its receiver to be a voter, and that gateway is not one.
    #[error("from one that is no voter")]
    NotAVoter,
    /// The message does not answer an outstanding request.
    #[error("an answer to nothing that was asked")]
    Unsolicited,
    /// The request is no newer than one that was already recorded, the leader's ledger has no room
    /// for its holder, or the granted lease expired in transit.
    #[error("older than one before it")]
    Stale,
}

impl Payload {
    /// Encodes the payload.
    ///
    /// # Panics
    /// Never panics: the encoding of plain values into memory cannot fail.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("encoding plain values into memory cannot fail")
    }

    /// Decodes a payload, which must take up all of `bytes`.
    ///
    /// # Errors
    /// Returns [`RejectReason::Malformed`] if the bytes are not exactly one payload or contain more
    /// than [`MAX_BUDGETS`] budgets.
    pub fn decode(bytes: &[u8]) -> Result<Self, RejectReason> {
        let (payload, remaining) =
            postcard::take_from_bytes::<Payload>(bytes).map_err(|_| RejectReason::Malformed)?;
        let budgets = match &payload {
            Payload::LeaseRequest(request) => request.budgets.len(),
            Payload::LeaseGrant(grant) => grant.amounts.len(),
            Payload::VoteRequest(_)
            | Payload::Vote(_)
            | Payload::StepDown { .. }
            | Payload::Redirect { .. } => 0,
        };
        if budgets > MAX_BUDGETS || !remaining.is_empty() {
            return Err(RejectReason::Malformed);
        }
        Ok(payload)
    }
}
