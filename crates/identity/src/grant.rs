//! The permissions of a caller. A grant only restricts: a statement that asks for something outside
//! the grant is rejected, and nothing in a statement can extend the grant.

use std::collections::BTreeSet;
use std::net::IpAddr;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The table groups from `first` to `last`, both included. The range is serialized as an array of
/// two numbers.
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
    /// Returns whether the group lies in the range.
    #[must_use]
    pub fn contains(&self, group: u32) -> bool {
        (self.first..=self.last).contains(&group)
    }
}

/// The permissions that a token gives its caller. A set that is `None` allows everything, and an
/// empty set allows nothing.
///
/// The serialized names must never change, because issued tokens contain them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The tenant for which the caller's statements run.
    #[serde(rename = "member")]
    pub tenant: String,
    /// The sub-queues of the tenant in which the caller's statements may wait.
    #[serde(rename = "desks", default, skip_serializing_if = "Option::is_none")]
    pub sub_queues: Option<BTreeSet<String>>,
    /// The query classes that the caller may run.
    #[serde(rename = "products", default, skip_serializing_if = "Option::is_none")]
    pub classes: Option<BTreeSet<String>>,
    /// The table groups that the caller may read.
    #[serde(rename = "groups", default, skip_serializing_if = "Option::is_none")]
    pub table_groups: Option<Vec<TableGroupRange>>,
    /// The maximum number of statements that the caller may have open at a time, or `None` for no
    /// limit.
    #[serde(rename = "most_open", default, skip_serializing_if = "Option::is_none")]
    pub max_open_statements: Option<u32>,
    /// The networks from which the caller may connect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub networks: Option<Vec<IpNet>>,
}

/// The properties of a statement that are checked against its caller's grant.
#[derive(Clone, Copy, Debug)]
pub struct AuthorizationRequest<'a> {
    /// The tenant that the statement names, or `None` for the caller's own tenant.
    pub tenant: Option<&'a str>,
    /// The sub-queue that the statement names, or `None` if it names none.
    pub sub_queue: Option<&'a str>,
    /// The query class of the statement.
    pub class: &'a str,
    /// The table group that the statement reads, or `None` if it may read any.
    pub table_group: Option<u32>,
    /// The address from which the client connected.
    pub client_address: IpAddr,
    /// The number of open statements of the caller, not counting this one.
    pub open_statements: u32,
}

/// The reason why the caller's grant does not allow a statement. The messages are sent to clients.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum AuthorizationError {
    /// The statement names another tenant.
    #[error("not this caller's member")]
    Tenant,
    /// The statement names a sub-queue that is not granted.
    #[error("not a desk of this caller")]
    SubQueue,
    /// The query class is not granted.
    #[error("not a product of this caller")]
    QueryClass,
    /// The table group is not granted.
    #[error("not a table group of this caller")]
    TableGroup,
    /// The caller already has its maximum number of open statements.
    #[error("as many statements open as this caller may have")]
    OpenStatements,
    /// The client's address is in none of the granted networks.
    #[error("not a network of this caller")]
    Network,
}

impl Grant {
    /// The maximum number of entries in each set. A token with a larger set is rejected.
    pub const MAX_ENTRIES: usize = 256;

    /// Returns whether the grant names a tenant, no set exceeds [`Grant::MAX_ENTRIES`], and no
    /// range ends before it starts.
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

    /// Checks whether a statement may run under this grant.
    ///
    /// # Errors
    /// The grant does not allow the statement. The error is the first reason that was found.
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
            .is_some_and(|max| request.open_statements >= max)
        {
            return Err(AuthorizationError::OpenStatements);
        }
        if !self.allows_address(request.client_address) {
            return Err(AuthorizationError::Network);
        }
        Ok(())
    }

    /// A statement without a table group may read any group, so it needs a grant of all groups.
    fn allows_table_group(&self, group: Option<u32>) -> bool {
        let Some(ranges) = &self.table_groups else {
            return true;
        };
        group.is_some_and(|group| ranges.iter().any(|range| range.contains(group)))
    }

    /// Returns whether a client may connect from this address.
    #[must_use]
    pub fn allows_address(&self, address: IpAddr) -> bool {
        let Some(networks) = &self.networks else {
            return true;
        };
        // An IPv4-mapped IPv6 address is checked as the IPv4 address that it contains.
        let address = address.to_canonical();
        networks.iter().any(|network| network.contains(&address))
    }

    /// The sub-queue in which a statement waits: the named one, or else the only granted one.
    /// Returns `None` if none is named and the grant does not contain exactly one.
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

/// Returns whether a set allows a name. A set that is `None` allows every name.
fn allows_name(set: Option<&BTreeSet<String>>, name: &str) -> bool {
    set.is_none_or(|set| set.contains(name))
}
