//! What a caller may run. A grant only narrows: what it does not name is not allowed, what a statement says of itself
//! never widens it.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::ops::RangeInclusive;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Sets that are absent allow all; an empty one allows nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    pub member: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub desks: Option<BTreeSet<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "products")]
    pub classes: Option<BTreeSet<String>>,
    /// Table groups as ranges, both ends in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub groups: Option<Vec<(u32, u32)>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub most_open: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub networks: Option<Vec<IpNet>>,
}

/// A statement as it asks to be run.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub member: Option<&'a str>,
    pub desk: Option<&'a str>,
    pub class: &'a str,
    pub group: Option<u32>,
    pub from: IpAddr,
    /// Of this caller, at present.
    pub open: u32,
}

/// Why a statement lies beyond its grant; told to the client as it stands here, and counted by kind.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum Beyond {
    #[error("not this caller's member")]
    Member,
    #[error("not a desk of this caller")]
    Desk,
    #[error("not a product of this caller")]
    Product,
    #[error("not a table group of this caller")]
    Group,
    #[error("as many statements open as this caller may have")]
    Open,
    #[error("not a network of this caller")]
    Network,
}

impl Grant {
    /// Most entries of each kind; a token or file with more is refused.
    pub const MOST: usize = 256;

    /// Whether its sets are bounded and its ranges are ranges.
    pub fn usable(&self) -> bool {
        let small = |len: Option<usize>| len.is_none_or(|len| len <= Self::MOST);
        let ranges = self
            .groups
            .as_ref()
            .is_none_or(|of| of.iter().all(|(from, to)| from <= to));
        ranges
            && !self.member.is_empty()
            && small(self.desks.as_ref().map(BTreeSet::len))
            && small(self.classes.as_ref().map(BTreeSet::len))
            && small(self.groups.as_ref().map(Vec::len))
            && small(self.networks.as_ref().map(Vec::len))
    }

    /// # Errors
    /// The first reason for which it may not run.
    pub fn allows(&self, request: &Request<'_>) -> Result<(), Beyond> {
        let within = |set: &Option<BTreeSet<String>>, name: &str| {
            set.as_ref().is_none_or(|set| set.contains(name))
        };
        let checks = [
            (
                request.member.is_none_or(|member| member == self.member),
                Beyond::Member,
            ),
            (
                request.desk.is_none_or(|desk| within(&self.desks, desk)),
                Beyond::Desk,
            ),
            (within(&self.classes, request.class), Beyond::Product),
            (self.allows_group(request.group), Beyond::Group),
            (
                self.most_open.is_none_or(|most| request.open < most),
                Beyond::Open,
            ),
            (self.allows_from(request.from), Beyond::Network),
        ];
        checks
            .into_iter()
            .find(|(fine, _)| !fine)
            .map_or(Ok(()), |(_, beyond)| Err(beyond))
    }

    /// One that names no group may read any, so it needs a grant of all.
    fn allows_group(&self, group: Option<u32>) -> bool {
        let Some(ranges) = &self.groups else {
            return true;
        };
        let within = |group: u32| {
            ranges
                .iter()
                .any(|(from, to)| RangeInclusive::new(*from, *to).contains(&group))
        };
        group.is_some_and(within)
    }

    pub fn allows_from(&self, from: IpAddr) -> bool {
        // A mapped address is the same machine as its plain one.
        let from = from.to_canonical();
        self.networks
            .as_ref()
            .is_none_or(|of| of.iter().any(|network| network.contains(&from)))
    }

    /// The desk that its statements wait at when they name none: its only one.
    pub fn desk<'a>(&'a self, named: Option<&'a str>) -> Option<&'a str> {
        let only = self
            .desks
            .as_ref()
            .filter(|desks| desks.len() == 1)
            .and_then(|desks| desks.first());
        named.or(only.map(String::as_str))
    }
}
