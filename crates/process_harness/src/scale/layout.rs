//! Which gateways a scale run has: names, addresses, zones and regions, all computed from one number per gateway.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

/// Gateways in one third octet of the hollow addresses.
const HOSTS: usize = 250;
/// Hollow gateways that vote for the coordinator of the leases; each has a process of its own.
pub const VOTERS: usize = 3;

/// A real process behind the rig's switch.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RealAddress {
    /// Where its socket is bound.
    pub bound: SocketAddr,
    /// Where the others are told that it is.
    pub advertised: SocketAddr,
}

/// Members of a run by number: hollow ones first, then real ones.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Layout {
    pub hollow: usize,
    pub real: Vec<RealAddress>,
    pub regions: usize,
    pub zones: usize,
    /// Second octet of the hollow addresses, so that runs side by side don't meet.
    pub network: u8,
    pub port: u16,
}

impl Layout {
    pub fn len(&self) -> usize {
        self.hollow + self.real.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn zone(&self, member: usize) -> usize {
        member % self.zones
    }

    pub fn region(&self, member: usize) -> usize {
        self.zone(member) % self.regions
    }

    pub fn name(&self, member: usize) -> String {
        if member < self.hollow {
            format!("h{member:04}")
        } else {
            crate::fleet::name(member - self.hollow)
        }
    }

    pub fn member_named(&self, name: &str) -> Option<usize> {
        let number = |text: &str| text.parse::<usize>().ok();
        match name.split_at_checked(1)? {
            ("h", rest) => number(rest).filter(|member| *member < self.hollow),
            ("g", rest) => number(rest)
                .map(|at| at + self.hollow)
                .filter(|member| *member < self.len()),
            _ => None,
        }
    }

    /// Where others are told that a member is.
    pub fn advertised(&self, member: usize) -> SocketAddr {
        match self.real.get(member.wrapping_sub(self.hollow)) {
            Some(real) => real.advertised,
            None => {
                let (third, fourth) = (1 + member / HOSTS, 1 + member % HOSTS);
                let ip = Ipv4Addr::new(127, self.network, third as u8, fourth as u8);
                SocketAddr::new(IpAddr::V4(ip), self.port)
            }
        }
    }

    fn hollow_at(&self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = address.ip() else {
            return None;
        };
        let [_, network, third, fourth] = ip.octets();
        let (third, fourth) = (
            usize::from(third).checked_sub(1)?,
            usize::from(fourth).checked_sub(1)?,
        );
        let member = third * HOSTS + fourth;
        (network == self.network && address.port() == self.port && member < self.hollow)
            .then_some(member)
    }

    /// Whom a datagram to this advertised address is for.
    pub fn member_at(&self, advertised: SocketAddr) -> Option<usize> {
        let real = self
            .real
            .iter()
            .position(|real| real.advertised == advertised);
        real.map(|at| at + self.hollow)
            .or_else(|| self.hollow_at(advertised))
    }

    /// Whose socket is bound there.
    pub fn member_bound_at(&self, bound: SocketAddr) -> Option<usize> {
        let real = self.real.iter().position(|real| real.bound == bound);
        real.map(|at| at + self.hollow)
            .or_else(|| self.hollow_at(bound))
    }

    /// Where a member's socket is bound.
    pub fn bound(&self, member: usize) -> SocketAddr {
        self.real
            .get(member.wrapping_sub(self.hollow))
            .map_or_else(|| self.advertised(member), |r| r.bound)
    }

    /// One hollow gateway of each zone.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        (0..self.zones.min(self.hollow))
            .map(|member| self.advertised(member))
            .collect()
    }
}
