//! A hollow gateway: the gateway's control plane with its own socket, without clients and engines.

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

/// The greatest number of datagrams that are read in one turn, as in the gateway's process.
const READS_PER_TURN: usize = 64;
/// The key with which the real processes sign.
const KEY: [u8; 32] = [1; 32];

/// The settings that all hollow gateways of a process share.
pub struct SharedSetup {
    pub layout: Layout,
    pub fleet: MembershipConfig,
    pub shares: Option<quota::Config>,
    pub seed: u64,
}

/// The events of one turn that the scale run evaluates.
#[derive(Debug)]
pub struct TurnEvents {
    /// The membership events.
    pub events: Vec<Event>,
    /// Whether the gateway has become the coordinator of the leases.
    pub chosen: bool,
}

/// A running hollow gateway.
pub struct Hollow {
    pub member: usize,
    control: ControlPlane<FleetQuotas>,
    pub socket: UdpSocket,
    /// Whether the socket may have datagrams to read.
    unread: bool,
    rng: Pcg64Mcg,
    pub usage: Usage,
    /// The datagrams that the operating system did not accept.
    pub unsent: u64,
}

/// Reads both clocks.
pub fn times() -> ClockReadings {
    let moment = Timestamp::from_secs;
    ClockReadings {
        now: moment(process::monotonic_s()),
        steady: moment(process::boottime_s()),
    }
}

fn name(text: &str) -> Name {
    Name::new(text).expect("names of the layout are valid")
}

impl Hollow {
    /// Starts a hollow gateway. `life` distinguishes the starts of the same member.
    ///
    /// # Errors
    ///
    /// The address of the member cannot be bound.
    pub fn start(setup: &SharedSetup, member: usize, life: u64) -> std::io::Result<Self> {
        let address = setup.layout.advertised(member);
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let seed = setup.seed ^ (member as u64) << 32 ^ life << 44;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let place = Locality {
            zone: Some(name(&format!("z{}", setup.layout.zone(member)))),
            region: Some(name(&format!("r{}", setup.layout.region(member)))),
        };
        let times = times();
        let membership = Node::new(
            times.now,
            NodeSetup {
                fleet: setup.fleet.fleet.clone(),
                name: name(&setup.layout.name(member)),
                address,
                locality: place,
                seeds: setup.fleet.seeds.clone(),
                key_ring: KeyRing::new(&KEY, &[]).expect("one key"),
                config: setup.fleet.protocol.clone(),
                rng_seed: rng.random(),
            },
        );
        let own = HolderId {
            name: membership.local_record().name.clone(),
            boot_id: membership.local_record().boot_id,
        };
        let mut control = ControlPlane::new(membership);
        if let Some(terms) = &setup.shares {
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

    /// Notes that the socket is readable.
    pub fn set_unread(&mut self) {
        self.unread = true;
    }

    /// Returns the time at which the next turn is due.
    pub fn due(&self, times: ClockReadings) -> Timestamp {
        if self.unread {
            times.now
        } else {
            self.control.next_wakeup(times)
        }
    }

    /// Returns the digest and the size of the membership view.
    pub fn view(&mut self) -> (u64, usize) {
        let digest = self.control.membership_mut().view().digest;
        (digest, self.control.membership().fleet_size())
    }

    /// Returns how often the event loop was late.
    pub fn stalls(&self) -> u64 {
        self.control.membership().metrics.loop_stalls
    }

    /// Returns the number of lease messages to gateways that are not present in the view.
    pub fn undelivered(&self) -> u64 {
        self.control.undelivered
    }

    /// Reads datagrams, runs the control plane and sends its datagrams. Adds the traffic to real
    /// processes to `to_real`.
    pub fn turn(&mut self, layout: &Layout, links: &Links, to_real: &mut [Usage]) -> TurnEvents {
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
        TurnEvents { events, chosen }
    }

    fn read(&mut self, now: Timestamp, layout: &Layout, links: &Links) {
        let mut bytes = [0; 2048];
        for _ in 0..READS_PER_TURN {
            if !self.unread {
                return;
            }
            match self.socket.recv_from(&mut bytes) {
                Ok((size, from)) => self.receive(now, from, &bytes[..size], layout, links),
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.unread = false,
                // ECONNREFUSED reports that an earlier datagram reached no socket, which is no
                // fault of this one.
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionRefused
                    ) => {}
                Err(_) => return,
            }
        }
    }

    /// Passes a received datagram to the control plane. A datagram from a real process comes from
    /// its bound address, and the network faults apply to it here.
    fn receive(
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
        // The control plane counts rejected datagrams by their reason.
        let _ = self.control.receive(now, from, bytes);
    }

    /// Returns whether the network faults drop a datagram.
    fn lost(&mut self, from: usize, to: usize, layout: &Layout, links: &Links) -> bool {
        // The number is drawn for every datagram, so that the same seed gives later datagrams the
        // same numbers.
        let drawn: f64 = self.rng.random();
        drawn < links.lost || !links.direct(layout.region(from), layout.region(to))
    }

    /// Sends the control plane's datagrams, apart from those that the network faults drop.
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

    /// Returns the gateway's lease and announces that it leaves the fleet.
    pub fn leave(&mut self, layout: &Layout, links: &Links, to_real: &mut [Usage]) {
        self.control.leave(times());
        self.flush(layout, links, to_real);
    }
}
