//! One hollow gateway: the control code of the program with a socket of its own, without clients and engines.

use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};

use admission::interface::Timestamp;
use control::{ClockReadings, ControlPlane, ReceiveQueue};
use membership::{Event, KeyRing, Locality, Name, Node, NodeSetup};
use operator_config::MembershipConfig;
use quota::{FleetQuotas, HolderId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::layout::Layout;
use super::links::Links;
use super::message::Usage;
use super::process;

/// Datagrams read in one turn, as in the gateway's process.
const READS: usize = 64;
/// The key that the rig's real processes sign with.
const KEY: [u8; 32] = [1; 32];

/// What all hollow gateways of a process are made from.
pub struct Plan {
    pub layout: Layout,
    pub fleet: MembershipConfig,
    pub shares: Option<quota::Config>,
    pub seed: u64,
}

/// What happened in a turn that the run wants to know.
#[derive(Debug)]
pub struct Happened {
    pub events: Vec<Event>,
    pub chosen: bool,
}

pub struct Hollow {
    pub member: usize,
    control: ControlPlane<FleetQuotas>,
    pub socket: UdpSocket,
    unread: bool,
    rng: Pcg64Mcg,
    pub usage: Usage,
    pub unsent: u64,
}

/// Both clocks now.
pub fn times() -> ClockReadings {
    let moment = Timestamp::from_secs;
    ClockReadings {
        now: moment(process::monotonic_s()),
        steady: moment(process::boottime_s()),
    }
}

fn name(text: &str) -> Name {
    Name::new(text).expect("names of the layout are names")
}

impl Hollow {
    /// `life`: counts the starts of this member.
    ///
    /// # Errors
    /// Its address cannot be bound.
    pub fn start(plan: &Plan, member: usize, life: u64) -> std::io::Result<Self> {
        let address = plan.layout.advertised(member);
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let seed = plan.seed ^ (member as u64) << 32 ^ life << 44;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let place = Locality {
            zone: Some(name(&format!("z{}", plan.layout.zone(member)))),
            region: Some(name(&format!("r{}", plan.layout.region(member)))),
        };
        let times = times();
        let membership = Node::new(
            times.now,
            NodeSetup {
                fleet: plan.fleet.fleet.clone(),
                name: name(&plan.layout.name(member)),
                address,
                locality: place,
                seeds: plan.fleet.seeds.clone(),
                key_ring: KeyRing::new(&KEY, &[]).expect("one key"),
                config: plan.fleet.protocol.clone(),
                rng_seed: rng.random(),
            },
        );
        let own = HolderId {
            name: membership.local_record().name.clone(),
            boot_id: membership.local_record().boot_id,
        };
        let mut control = ControlPlane::new(membership);
        if let Some(terms) = &plan.shares {
            control.set_quota_owner(FleetQuotas::new(
                times.steady,
                own,
                terms.clone(),
                rng.random(),
            ));
        }
        let usage = Usage {
            member,
            ..Usage::default()
        };
        Ok(Hollow {
            member,
            control,
            socket,
            unread: true,
            rng,
            usage,
            unsent: 0,
        })
    }

    pub fn set_unread(&mut self) {
        self.unread = true;
    }

    pub fn due(&self, times: ClockReadings) -> Timestamp {
        if self.unread {
            times.now
        } else {
            self.control.next_wakeup(times)
        }
    }

    pub fn view(&mut self) -> (u64, usize) {
        let digest = self.control.membership_mut().view().digest;
        (digest, self.control.membership().fleet_size())
    }

    pub fn stalls(&self) -> u64 {
        self.control.membership().metrics.loop_stalls
    }

    pub fn undelivered(&self) -> u64 {
        self.control.undelivered
    }

    /// Reads what came, does what is due, sends what follows. `to_real`: counts what goes to real processes.
    pub fn turn(&mut self, layout: &Layout, links: &Links, to_real: &mut [Usage]) -> Happened {
        let began = process::thread_cpu_s();
        let now = times().now;
        self.read(now, layout, links);
        let receive_queue = if self.unread {
            ReceiveQueue::Pending
        } else {
            ReceiveQueue::Drained
        };
        self.control.turn(times(), receive_queue);
        self.flush(layout, links, to_real);
        let events = self.control.membership_mut().take_events();
        let leases = self
            .control
            .quota_owner_mut()
            .map(FleetQuotas::take_events)
            .unwrap_or_default();
        let chosen = leases
            .iter()
            .any(|event| matches!(event, quota::Event::BecameLeader { .. }));
        self.usage.cpu_s += process::thread_cpu_s() - began;
        Happened { events, chosen }
    }

    fn read(&mut self, now: Timestamp, layout: &Layout, links: &Links) {
        let mut bytes = [0; 2048];
        for _ in 0..READS {
            if !self.unread {
                return;
            }
            match self.socket.recv_from(&mut bytes) {
                Ok((size, from)) => self.take(now, from, &bytes[..size], layout, links),
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.unread = false,
                // An earlier datagram came to nobody; nothing is wrong with this socket.
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionRefused
                    ) => {}
                Err(_) => return,
            }
        }
    }

    /// What a real process sent comes from its bound address, and its losses are drawn here.
    fn take(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        bytes: &[u8],
        layout: &Layout,
        links: &Links,
    ) {
        let sender = layout.member_bound_at(from);
        let real = sender.filter(|sender| *sender >= layout.hollow);
        if real.is_some_and(|sender| self.lost(sender, self.member, layout, links)) {
            return;
        }
        self.usage.datagrams += 1;
        self.usage.bytes += bytes.len() as u64;
        let from = sender.map_or(from, |sender| layout.advertised(sender));
        // What counts for nothing is counted by its reason.
        let _ = self.control.receive(now, from, bytes);
    }

    fn lost(&mut self, from: usize, to: usize, layout: &Layout, links: &Links) -> bool {
        // Drawn for each, whatever becomes of it: the same seed gives the same chances.
        let drawn: f64 = self.rng.random();
        drawn < links.lost || !links.direct(layout.region(from), layout.region(to))
    }

    fn flush(&mut self, layout: &Layout, links: &Links, to_real: &mut [Usage]) {
        for datagram in self.control.take_datagrams() {
            self.usage.datagrams += 1;
            self.usage.bytes += datagram.bytes.len() as u64;
            let Some(to) = layout.member_at(datagram.to) else {
                continue;
            };
            if self.lost(self.member, to, layout, links) {
                continue;
            }
            if let Some(at) = to.checked_sub(layout.hollow) {
                to_real[at].datagrams += 1;
                to_real[at].bytes += datagram.bytes.len() as u64;
            }
            let sent = self.socket.send_to(&datagram.bytes, layout.bound(to));
            self.unsent += u64::from(sent.is_err());
        }
    }

    /// It gives its lease back and says that it goes.
    pub fn leave(&mut self, layout: &Layout, links: &Links, to_real: &mut [Usage]) {
        self.control.leave(times());
        self.flush(layout, links, to_real);
    }
}
