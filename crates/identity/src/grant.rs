//! What a caller may run. A grant only narrows: what it does not name is not allowed, and nothing that a statement says
//! of itself widens it.

use std::collections::BTreeSet;
use std::net::IpAddr;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Table groups from `first` to `last`, both included. Stored as an array of two numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct TableGroupRange {
    /// The first group of the range.
    pub first: u32,
    /// The last group of the range.
    pub last: u32,
}

impl From<(u32, u32)> for TableGroupRange {
    fn from((first, last): (u32, u32)) -> Self {
        TableGroupRange { first, last }
    }
}

impl From<TableGroupRange> for (u32, u32) {
    fn from(range: TableGroupRange) -> Self {
        (range.first, range.last)
    }
}

impl TableGroupRange {
    /// Whether the group lies in the range.
    #[must_use]
    pub fn contains(&self, group: u32) -> bool {
        (self.first..=self.last).contains(&group)
    }
}

/// What a token lets its caller run. A set that is absent allows everything; an empty one allows nothing.
///
/// The serialized keys are part of every token that was issued, and never change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The tenant that the caller's statements run for.
    #[serde(rename = "member")]
    pub tenant: String,
    /// Sub-queues of the tenant that its statements may wait in.
    #[serde(rename = "desks", default, skip_serializing_if = "Option::is_none")]
    pub sub_queues: Option<BTreeSet<String>>,
    /// Query classes that it may run.
    #[serde(rename = "products", default, skip_serializing_if = "Option::is_none")]
    pub classes: Option<BTreeSet<String>>,
    /// Table groups that it may read.
    #[serde(rename = "groups", default, skip_serializing_if = "Option::is_none")]
    pub table_groups: Option<Vec<TableGroupRange>>,
    /// Statements that it may have open at a time.
    #[serde(rename = "most_open", default, skip_serializing_if = "Option::is_none")]
    pub max_open_statements: Option<u32>,
    /// Networks that it may connect from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub networks: Option<Vec<IpNet>>,
}

/// What a statement asks for, as far as its caller's grant decides on it.
#[derive(Clone, Copy, Debug)]
pub struct AuthorizationRequest<'a> {
    /// The tenant that it names; none: the caller's own.
    pub tenant: Option<&'a str>,
    /// The sub-queue that it names.
    pub sub_queue: Option<&'a str>,
    /// Its query class.
    pub class: &'a str,
    /// The table group that it reads; none: it may read any.
    pub table_group: Option<u32>,
    /// The address that its client connected from.
    pub client_address: IpAddr,
    /// Statements that its caller has open, without this one.
    pub open_statements: u32,
}

/// Why a statement lies beyond its caller's grant. Clients read these texts.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum AuthorizationError {
    /// It names another tenant.
    #[error("not this caller's member")]
    Tenant,
    /// It names a sub-queue that is not granted.
    #[error("not a desk of this caller")]
    SubQueue,
    /// Its query class is not granted.
    #[error("not a product of this caller")]
    QueryClass,
    /// Its table group is not granted.
    #[error("not a table group of this caller")]
    TableGroup,
    /// The caller has as many statements open as it may have.
    #[error("as many statements open as this caller may have")]
    OpenStatements,
    /// The client's address is in none of the granted networks.
    #[error("not a network of this caller")]
    Network,
}

impl Grant {
    /// Most entries of each set; a token with more is rejected.
    pub const MAX_ENTRIES: usize = 256;

    /// Whether it names a tenant, its sets are within [`Grant::MAX_ENTRIES`] and its ranges are in order.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let set_sizes = [
            self.sub_queues.as_ref().map(BTreeSet::len),
            self.classes.as_ref().map(BTreeSet::len),
            self.table_groups.as_ref().map(Vec::len),
            self.networks.as_ref().map(Vec::len),
        ];
        let sets_are_bounded = set_sizes
            .into_iter()
            .flatten()
            .all(|size| size <= Self::MAX_ENTRIES);
        let ranges_are_ordered = self
            .table_groups
            .iter()
            .flatten()
            .all(|range| range.first <= range.last);
        !self.tenant.is_empty() && sets_are_bounded && ranges_are_ordered
    }

    /// Whether a statement may run under this grant.
    ///
    /// # Errors
    /// The first reason for which it may not.
    pub fn authorize(&self, request: &AuthorizationRequest<'_>) -> Result<(), AuthorizationError> {
        if request.tenant.is_some_and(|tenant| tenant != self.tenant) {
            return Err(AuthorizationError::Tenant);
        }
        if let Some(sub_queue) = request.sub_queue
            && !allows_name(self.sub_queues.as_ref(), sub_queue)
        {
            return Err(AuthorizationError::SubQueue);
        }
        if !allows_name(self.classes.as_ref(), request.class) {
            return Err(AuthorizationError::QueryClass);
        }
        if !self.allows_table_group(request.table_group) {
            return Err(AuthorizationError::TableGroup);
        }
        if self
            .max_open_statements
            .is_some_and(|most| request.open_statements >= most)
        {
            return Err(AuthorizationError::OpenStatements);
        }
        if !self.allows_address(request.client_address) {
            return Err(AuthorizationError::Network);
        }
        Ok(())
    }

    /// A statement that names no group may read any, so it needs a grant of all.
    fn allows_table_group(&self, group: Option<u32>) -> bool {
        let Some(ranges) = &self.table_groups else {
            return true;
        };
        group.is_some_and(|group| ranges.iter().any(|range| range.contains(group)))
    }

    /// Whether a client may connect from this address.
    #[must_use]
    pub fn allows_address(&self, address: IpAddr) -> bool {
        let Some(networks) = &self.networks else {
            return true;
        };
        // An IPv4-mapped IPv6 address is the same machine as its plain one.
        let address = address.to_canonical();
        networks.iter().any(|network| network.contains(&address))
    }

    /// The sub-queue that a statement waits in: the one that it names, or else the only one granted.
    #[must_use]
    pub fn sub_queue<'a>(&'a self, named: Option<&'a str>) -> Option<&'a str> {
        if named.is_some() {
            return named;
        }
        let granted = self.sub_queues.as_ref()?;
        if granted.len() != 1 {
            return None;
        }
        granted.first().map(String::as_str)
    }
}

/// Whether a set allows a name; an absent set allows all.
fn allows_name(set: Option<&BTreeSet<String>>, name: &str) -> bool {
    set.is_none_or(|set| set.contains(name))
}
