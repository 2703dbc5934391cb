//! What the operator says of teams: plain values, checked before they come here.

use std::collections::BTreeMap;
use std::net::IpAddr;

use admission::interface::TimeDelta;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

/// A desk, numbered over all members; the place where statements wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DeskId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);

/// A part of the capacity: what is owed, and how what others leave is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Predicted CPU seconds a second. Zero: nothing is owed, only what others leave.
    pub budget: f64,
    /// Part of what others leave, beside the others' weights.
    pub weight: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct DeskTerms {
    pub name: String,
    pub claim: Claim,
    pub networks: Vec<IpNet>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct MemberTerms {
    pub name: String,
    pub claim: Claim,
    /// At least one; the first is the default one.
    pub desks: Vec<DeskTerms>,
}

/// How much may wait, in statements and in predicted CPU seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    pub statements: u32,
    pub cpu: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// At least one; the first takes those of no known member.
    pub members: Vec<MemberTerms>,
    /// How long a desk's first statement may be passed over by those of other desks before it goes ahead of them.
    pub ageing: TimeDelta,
    /// Budgets save up over this time at most.
    pub burst: TimeDelta,
    pub each: Bound,
    pub all: Bound,
}

impl Terms {
    /// What is owed at one of several gateways that each see this part of the traffic. Bounds are each gateway's own.
    pub fn part(&self, part: f64) -> Terms {
        let mut terms = self.clone();
        for member in &mut terms.members {
            member.claim.budget *= part;
            member
                .desks
                .iter_mut()
                .for_each(|desk| desk.claim.budget *= part);
        }
        terms
    }

    pub fn desks(&self) -> usize {
        self.members.iter().map(|member| member.desks.len()).sum()
    }
}

/// Where a statement belongs, and whether its member and desk are known ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Belongs {
    pub desk: DeskId,
    pub known: bool,
}

#[derive(Default)]
struct Member {
    first: u32,
    desks: BTreeMap<String, u32>,
    v4: PrefixMap<Ipv4Net, u32>,
    v6: PrefixMap<Ipv6Net, u32>,
}

/// Finds desks by member and desk name or by the client's network, longest prefix first.
#[derive(Default)]
pub struct Directory {
    by_name: BTreeMap<String, usize>,
    members: Vec<Member>,
}

impl Directory {
    pub fn new(terms: &Terms) -> Self {
        let (mut directory, mut next) = (Directory::default(), 0);
        for (at, terms) in terms.members.iter().enumerate() {
            directory.by_name.insert(terms.name.clone(), at);
            let mut member = Member {
                first: next,
                ..Member::default()
            };
            for desk in &terms.desks {
                member.desks.insert(desk.name.clone(), next);
                for network in &desk.networks {
                    match network {
                        IpNet::V4(network) => drop(member.v4.insert(network.trunc(), next)),
                        IpNet::V6(network) => drop(member.v6.insert(network.trunc(), next)),
                    }
                }
                next += 1;
            }
            directory.members.push(member);
        }
        directory
    }

    /// `desk`: as the statement names it. Without a known one the client's network decides, then the member's
    /// default; without a known member, the first member.
    pub fn find(&self, member: Option<&str>, desk: Option<&str>, from: Option<IpAddr>) -> Belongs {
        let named = member.and_then(|name| self.by_name.get(name));
        let Some(of) = self.members.get(named.copied().unwrap_or(0)) else {
            return Belongs {
                desk: DeskId(0),
                known: false,
            };
        };
        let told = desk.and_then(|name| of.desks.get(name)).copied();
        let by_network = || match from? {
            IpAddr::V4(address) => of.v4.get_lpm(&Ipv4Net::from(address)).map(|found| *found.1),
            IpAddr::V6(address) => match address.to_ipv4_mapped() {
                Some(address) => of.v4.get_lpm(&Ipv4Net::from(address)).map(|found| *found.1),
                None => of.v6.get_lpm(&Ipv6Net::from(address)).map(|found| *found.1),
            },
        };
        let known = (member.is_none() || named.is_some()) && (desk.is_none() || told.is_some());
        let at = told
            .or_else(|| by_network().filter(|_| desk.is_none()))
            .unwrap_or(of.first);
        Belongs {
            desk: DeskId(at),
            known,
        }
    }
}
