//! The messages of the lease protocol. Membership's datagrams carry them, authenticate them and drop repeats.
//!
//! The encoding is positional: the order of variants and fields and the types of fields are the wire format.

use membership::{BootId, Name};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::amount::Amount;
use crate::config::{BudgetKey, MAX_BUDGETS};

/// One process of a gateway. A restart is another holder, since it knows nothing of what the process before it held.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HolderId {
    /// The gateway's name.
    pub name: Name,
    /// Which start of the gateway it is.
    pub boot_id: BootId,
}

/// Numbers a gateway's own requests in ascending order; an answer carries the number of its request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId(pub u64);

impl RequestId {
    /// The number after this one.
    #[must_use]
    pub fn next(self) -> RequestId {
        RequestId(self.0 + 1)
    }
}

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Message {
    /// The receiver.
    pub to: Name,
    /// The content.
    pub payload: Payload,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// From a candidate or a leader to each voter.
    VoteRequest(VoteRequest),
    /// A voter's answer to a vote request.
    Vote(Vote),
    /// From a candidate or a leader that steps down: votes for it are void.
    StepDown {
        /// The term that it steps down from.
        term: u64,
    },
    /// From a holder to the leader.
    LeaseRequest(LeaseRequest),
    /// The leader's answer to a lease request.
    LeaseGrant(LeaseGrant),
    /// A voter's answer to a lease request, where it is not the leader.
    Redirect {
        /// The leader as far as the voter knows.
        leader: Option<Name>,
    },
}

/// Asks a voter for its vote, or to renew it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term that the vote is for.
    pub term: u64,
    /// The number of this request.
    pub request: RequestId,
}

/// Whether a voter votes for the candidate that asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The vote request that it answers.
    pub request: RequestId,
    /// The voter votes for the candidate until the term's time is over.
    pub granted: bool,
    /// The highest term that the voter knows of.
    pub highest_term: u64,
}

/// What a holder reports of one budget when it asks for a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetDemand {
    /// The budget.
    pub budget: BudgetKey,
    /// What the holder could spend a second beyond its guaranteed minimum.
    pub demand: Amount,
    /// What is leased to it now, by whichever leader.
    pub held: Amount,
    /// The budget's capacity by the holder's file, for comparison.
    pub capacity: Amount,
    /// The guaranteed minimum by the holder's file, for comparison.
    pub guaranteed: Amount,
}

/// Asks the leader for a lease, or to renew it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The number of this request.
    pub request: RequestId,
    /// The request whose grant is the lease that the holder has. It accepts no answer to an earlier request any more.
    pub held_lease: Option<RequestId>,
    /// The holder leaves: it returns its lease and has stopped spending by it.
    pub leaving: bool,
    /// The holder's steady clock in milliseconds, by which the leader checks its drift.
    pub clock_ms: u64,
    /// The holder's budgets.
    pub budgets: Vec<BudgetDemand>,
}

/// What is leased of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantedAmount {
    /// The budget.
    pub budget: BudgetKey,
    /// What may be spent a second beyond the guaranteed minimum.
    pub amount: Amount,
}

/// A lease for the time of [`crate::Config::lease_duration`] from when the holder sent its request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The lease request that it answers.
    pub request: RequestId,
    /// The leader's term.
    pub term: u64,
    /// What is leased of each budget of the leader.
    pub amounts: Vec<GrantedAmount>,
}

impl LeaseGrant {
    /// What is leased of a budget; nothing of one that it does not name.
    #[must_use]
    pub fn amount_of(&self, budget: BudgetKey) -> Amount {
        let granted = self.amounts.iter().find(|granted| granted.budget == budget);
        granted.map_or(Amount::ZERO, |granted| granted.amount)
    }
}

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// It cannot be decoded, or holds more budgets than there can be.
    #[error("cannot be read")]
    Malformed,
    /// Its sender or its receiver is no voter.
    #[error("from one that is no voter")]
    NotAVoter,
    /// It answers no outstanding request.
    #[error("an answer to nothing that was asked")]
    Unsolicited,
    /// It is older than one already accepted, or came after its lease had expired.
    #[error("older than one before it")]
    Stale,
}

impl Payload {
    /// The bytes to be sent.
    ///
    /// # Panics
    /// Never: encoding plain values into memory does not fail.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("plain values encode")
    }

    /// The payload that these bytes are, all of them.
    ///
    /// # Errors
    /// [`RejectReason::Malformed`].
    pub fn decode(bytes: &[u8]) -> Result<Self, RejectReason> {
        let (payload, rest) =
            postcard::take_from_bytes::<Payload>(bytes).map_err(|_| RejectReason::Malformed)?;
        let budgets = match &payload {
            Payload::LeaseRequest(request) => request.budgets.len(),
            Payload::LeaseGrant(grant) => grant.amounts.len(),
            Payload::VoteRequest(_)
            | Payload::Vote(_)
            | Payload::StepDown { .. }
            | Payload::Redirect { .. } => 0,
        };
        if budgets > MAX_BUDGETS || !rest.is_empty() {
            return Err(RejectReason::Malformed);
        }
        Ok(payload)
    }
}
