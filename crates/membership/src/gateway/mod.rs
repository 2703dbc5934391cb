//! One gateway's part: messages and time in; messages, events and the next due time out. The struct stands here; each module
//! beside it holds one job of it.

mod bounded;
mod compare;
mod engine_news;
mod event;
mod exchange;
mod gossip;
mod identity;
mod lists;
mod probing;
mod receive;
mod send;
mod suspicion;
mod turn;
mod view;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::bounds::{ByteBudget, Confirming, EXCHANGE_BURST_BYTES, GOSSIP_BURST_S};
use crate::engines::Engines;
use crate::keys::Ring;
use crate::message::{Body, View};
use crate::metrics::Metrics;
use crate::probes::{Probes, some};
use crate::standing::Standings;
use crate::table::{Held, Row, Table};
use crate::terms::{Paced, Terms};
use crate::who::{Incarnation, Life, Locality, Name, Record, State};
use compare::Comparing;
pub use event::Event;
use exchange::PULLS_PER_S;
pub use send::LONGEST_CARRIED;

/// Counts since the start, by the name they had before.
pub type Tally = Metrics;

/// A gateway to be probed for oneself.
#[derive(Clone, Copy, Debug)]
struct Verification {
    at: SocketAddr,
    due: Timestamp,
    /// It spoke itself; else others spoke of it.
    spoke: bool,
}

/// Of gossip, and of what tables are compared and exchanged by.
fn byte_budgets(terms: &Terms) -> (ByteBudget, ByteBudget) {
    let bounds = terms.bounds.clone().unwrap_or_default();
    let gossip = ByteBudget::new(
        bounds.gossip_bytes_per_s,
        bounds.gossip_bytes_per_s * GOSSIP_BURST_S,
    );
    (
        gossip,
        ByteBudget::new(bounds.exchange_bytes_per_s, EXCHANGE_BURST_BYTES),
    )
}

/// Gateways that are told by itself that this one goes.
const GOODBYES: usize = 64;
/// Events that wait to be taken.
const EVENTS: usize = 256;

/// Bytes to send, and where to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    pub to: SocketAddr,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug)]
pub struct Gateway {
    fleet: Name,
    ring: Ring,
    terms: Terms,
    own: Record,
    seeds: Vec<SocketAddr>,
    counter: u64,
    rng: Pcg64Mcg,
    table: Table,
    probes: Probes,
    engines: Engines,
    standings: Standings,
    /// What is told on, and how often still.
    updates: BTreeMap<Name, u32>,
    /// Views heard lately.
    views: VecDeque<(Timestamp, View)>,
    view_since: (View, Timestamp),
    answers: Paced,
    strangers: Paced,
    pages: Paced,
    /// Parts of others' tables asked for, and behind whom the next one goes on.
    pulls: Paced,
    pull_after: Option<Name>,
    /// How often it rises above another life of its name.
    rises: Paced,
    news: Paced,
    /// Those still to be told of engines, and when the next is.
    sweep: Vec<Name>,
    next_period: Timestamp,
    next_call: Timestamp,
    next_pull: Timestamp,
    next_news: Timestamp,
    /// Gateways to be looked at for oneself, and where.
    direct_probes: BTreeMap<Name, Verification>,
    /// Gateways whose failed probe is repeated before anything is said of it.
    confirming: BTreeMap<Name, Confirming>,
    gossip_bytes: ByteBudget,
    exchange_bytes: ByteBudget,
    comparing: Comparing,
    /// Attempts to meet anybody, before it did.
    rejoins: u32,
    last_pull: Timestamp,
    /// When it last heard from one in the fleet.
    last_heard: Option<Timestamp>,
    /// Another life under this name that was asked whether it lives.
    twin: Option<Life>,
    /// It was together with others: whoever takes its name later gives way.
    settled: bool,
    out_until: Option<Timestamp>,
    met: bool,
    carried: Vec<(Name, Life, Vec<u8>)>,
    out: Vec<Datagram>,
    events: Vec<Event>,
    pub tally: Metrics,
}

impl Gateway {
    /// `address`: where others reach it. `seed`: for all that goes by chance, the life among it.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        now: Timestamp,
        fleet: Name,
        name: Name,
        address: SocketAddr,
        locality: Locality,
        seeds: Vec<SocketAddr>,
        ring: Ring,
        terms: Terms,
        seed: u64,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let life = Life(rng.random());
        let own = Record {
            name,
            life,
            incarnation: Incarnation(1),
            address,
            locality,
            state: State::Alive,
        };
        // Gateways that start together do not probe in step.
        let chance = TimeDelta::from_secs(terms.period.secs() * rng.random::<f64>());
        let first = now + TimeDelta::from_secs(0.01);
        let (gossip_bytes, exchange_bytes) = byte_budgets(&terms);
        Gateway {
            fleet,
            ring,
            own,
            seeds,
            counter: 0,
            table: Table::new(terms.most, terms.bounds.is_some()),
            probes: Probes::new(),
            engines: Engines::default(),
            standings: Standings::new(now),
            updates: BTreeMap::new(),
            views: VecDeque::new(),
            view_since: (View::default(), now),
            answers: Paced::new(terms.answers_per_s),
            strangers: Paced::new(terms.answers_per_s),
            pages: Paced::new(terms.pages_per_s),
            pulls: Paced::new(PULLS_PER_S),
            pull_after: None,
            rises: Paced::new(1.0),
            news: Paced::new(terms.news_per_s),
            sweep: Vec::new(),
            next_period: now + chance,
            next_call: first,
            next_pull: now + chance,
            next_news: now,
            direct_probes: BTreeMap::new(),
            confirming: BTreeMap::new(),
            gossip_bytes,
            exchange_bytes,
            comparing: Comparing::default(),
            rejoins: 0,
            last_pull: now,
            last_heard: None,
            twin: None,
            settled: false,
            out_until: None,
            met: false,
            carried: Vec::new(),
            out: Vec::new(),
            events: Vec::new(),
            tally: Metrics::default(),
            rng,
            terms,
        }
    }

    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Other seeds, keys and paces from now on; nobody is forgotten for it.
    pub fn change(&mut self, seeds: Vec<SocketAddr>, ring: Ring, terms: Terms) {
        self.answers = Paced::new(terms.answers_per_s);
        self.strangers = Paced::new(terms.answers_per_s);
        self.pages = Paced::new(terms.pages_per_s);
        self.news = Paced::new(terms.news_per_s);
        if terms.bounds != self.terms.bounds {
            (self.gossip_bytes, self.exchange_bytes) = byte_budgets(&terms);
            self.table.set_patient(terms.bounds.is_some());
        }
        (self.seeds, self.ring, self.terms) = (seeds, ring, terms);
    }

    pub fn take_out(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.out)
    }

    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// When it last heard from another gateway of the fleet: how old what it holds is while it is cut off.
    pub fn last_heard(&self) -> Option<Timestamp> {
        self.last_heard
    }

    /// Gateways in the fleet as this one holds it, itself among them.
    pub fn size(&self) -> usize {
        1 + self.table.fleet().count()
    }

    pub fn rows(&self) -> impl Iterator<Item = Row> {
        let row = |held: &Held| Row {
            record: held.record.clone(),
            known: held.known,
            since: held.since,
            answered: held.answered,
        };
        self.table.all().map(row)
    }

    pub fn held(&self, name: &Name) -> Option<&Held> {
        self.table.get(name)
    }

    /// Records held in all, gossip among them.
    pub fn table_len(&self) -> usize {
        self.table.len()
    }

    /// It goes, and says so: others take it off at once and suspect nothing.
    pub fn leave(&mut self, now: Timestamp) {
        self.own.state = State::Left;
        self.own.incarnation = self.own.incarnation.next();
        self.table.own_changed();
        let to: Vec<SocketAddr> = {
            let all = self.table.fleet().map(|held| &held.record);
            some(all, GOODBYES, &mut self.rng)
                .into_iter()
                .map(|record| record.address)
                .collect()
        };
        to.into_iter()
            .for_each(|to| self.send(now, to, None, Body::News, Vec::new()));
    }

    fn event(&mut self, event: Event) {
        if self.events.len() < EVENTS {
            self.events.push(event);
        }
    }
}
