//! The gateways of a scale run. Names, addresses, zones and regions all follow from a gateway's
//! number.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

/// The number of hollow gateways whose addresses share the third octet.
const HOSTS_PER_OCTET: usize = 250;
/// The number of hollow gateways that vote for the coordinator of the leases. Each of them has its
/// own process.
pub const VOTERS: usize = 3;

/// The addresses of a real gateway process behind the switch.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RealAddress {
    /// The address to which the gateway binds its socket.
    pub bound: SocketAddr,
    /// The address that the gateway announces to its peers.
    pub advertised: SocketAddr,
}

/// The members of a run. Their numbers start with the hollow gateways, and the real ones follow.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Layout {
    /// The number of hollow gateways.
    pub hollow: usize,
    pub real: Vec<RealAddress>,
    pub regions: usize,
    pub zones: usize,
    /// The second octet of the hollow gateways' addresses, which differs between runs at the same
    /// time.
    pub network: u8,
    /// The UDP port of the hollow gateways.
    pub port: u16,
}

impl Layout {
    /// Returns the number of all members.
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

    /// Returns the number of the member with this name, or `None` if there is none.
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

    /// Returns the address that a member announces to its peers.
    pub fn advertised(&self, member: usize) -> SocketAddr {
        match self.real.get(member.wrapping_sub(self.hollow)) {
            Some(real) => real.advertised,
            None => {
                let (third, fourth) = (1 + member / HOSTS_PER_OCTET, 1 + member % HOSTS_PER_OCTET);
                let ip = Ipv4Addr::new(127, self.network, third as u8, fourth as u8);
                SocketAddr::new(IpAddr::V4(ip), self.port)
            }
        }
    }

    /// Returns the number of the hollow gateway with this address, or `None` if there is none.
    fn hollow_at(&self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = address.ip() else {
            return None;
        };
        let [_, network, third, fourth] = ip.octets();
        let (third, fourth) = (
            usize::from(third).checked_sub(1)?,
            usize::from(fourth).checked_sub(1)?,
        );
        let member = third * HOSTS_PER_OCTET + fourth;
        (network == self.network && address.port() == self.port && member < self.hollow)
            .then_some(member)
    }

    /// Returns the number of the member that advertises this address, or `None` if there is none.
    pub fn member_at(&self, advertised: SocketAddr) -> Option<usize> {
        let real = self
            .real
            .iter()
            .position(|real| real.advertised == advertised);
        real.map(|at| at + self.hollow)
            .or_else(|| self.hollow_at(advertised))
    }

    /// Returns the number of the member whose socket is bound to this address, or `None`.
    pub fn member_bound_at(&self, bound: SocketAddr) -> Option<usize> {
        let real = self.real.iter().position(|real| real.bound == bound);
        real.map(|at| at + self.hollow)
            .or_else(|| self.hollow_at(bound))
    }

    /// Returns the address to which a member's socket is bound.
    pub fn bound(&self, member: usize) -> SocketAddr {
        self.real
            .get(member.wrapping_sub(self.hollow))
            .map_or_else(|| self.advertised(member), |r| r.bound)
    }

    /// Returns the seed addresses: one hollow gateway of each zone.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        (0..self.zones.min(self.hollow))
            .map(|member| self.advertised(member))
            .collect()
    }
}
