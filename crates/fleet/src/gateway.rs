//! One gateway's part: letters and time in; letters, events and the next due time out.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use admission::interface::{Moment, Span};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::engines::{Doubt, EngineWord, Engines};
use crate::keys::Ring;
use crate::letter::{self, Body, Letter, Nonce, Refused, View};
use crate::probes::{Probes, Why, some};
use crate::standing::{Assumed, Seen, Standing, Standings};
use crate::table::{Held, Row, Suspicion, Table};
use crate::terms::{Paced, Terms};
use crate::who::{Incarnation, Life, Name, Place, Record, State};

/// A rumour goes along this many times the logarithm of the fleet's size.
const RETELL: f64 = 3.0;
/// Hearsay that is further ahead than this is no word of a gateway that lives as others do.
const LEAP: u32 = 100;
/// The same of this gateway itself, which knows how far it rose: some for what others were made to hold.
const OWN_LEAP: u32 = 16;
/// Periods between calls to seeds and to those that had gone; between full exchanges; how long a heard view counts.
const CALL: f64 = 3.0;
const PULL: f64 = 10.0;
const VIEWS: f64 = 4.0;
/// Parts of others' tables that one asks for a second: a fleet whose views differ must not talk of nothing else.
const PULLS_PER_S: f64 = 4.0;
/// Suspicion ends sooner with each host that agrees, up to so many.
const AGREE: f64 = 3.0;
/// A gateway that gave way to another of its name stays out of the fleet for so long.
const GIVE_WAY_S: f64 = 30.0;
/// Letters that wait to be sent, events and helpings at most.
const HELPS: usize = 16;
/// Carried words that wait to be taken, and the longest: beside it a letter has room for its sender and a refutation.
const CARRIED: usize = 256;
pub const LONGEST_CARRIED: usize = 850;
/// Gateways that are told by itself that this one goes.
const GOODBYES: usize = 64;
const EVENTS: usize = 256;
/// No record takes fewer bytes in a letter.
const LEAST_RECORD: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    pub to: SocketAddr,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Another gateway's state as held here.
    Changed {
        name: Name,
        state: State,
        incarnation: Incarnation,
    },
    /// It has been gone for long: nothing of it is kept.
    Forgotten(Name),
    Standing(Standing),
    /// Others held this gateway for gone; it said that it is there.
    Refuted(Incarnation),
    /// This loop stood still for so long.
    StoodStill(Span),
    /// Another process has this name and answers: this one stays out for now.
    Doubled {
        other: Life,
    },
}

macro_rules! tally {
    ($($name:ident: $what:literal),* $(,)?) => {
        /// Counts since the start.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Tally {
            $(#[doc = $what] pub $name: u64,)*
        }

        impl Tally {
            pub fn each(&self) -> [(&'static str, u64); [$($what),*].len()] {
                [$((stringify!($name), self.$name)),*]
            }
        }
    };
}

tally! {
    sent: "datagrams given out",
    sent_bytes: "bytes of these",
    taken: "datagrams that counted",
    refused_size: "too long or too short",
    refused_version: "of another version",
    refused_key: "by a key not accepted",
    refused_code: "whose code does not hold",
    refused_form: "that cannot be read",
    refused_foreign: "of another fleet",
    refused_repeated: "that came before",
    refused_address: "from another address than they say",
    refused_unasked: "answers to nothing asked",
    refused_many: "questions beyond the pace at which they are answered",
    refused_own_name: "under this gateway's own name",
    beyond: "records beyond belief: incarnations at the end of their range or far ahead",
    unvouched: "records that too few say, and that were looked into",
    probes: "gateways probed",
    probes_failed: "without an answer, by others neither",
    suspected: "gateways suspected",
    died: "gateways taken for dead",
    revived: "of these, that came back without a restart: false deaths",
    refuted: "times this gateway said that it is there",
    stood_still: "times this loop was late by more than half an answer's time",
    standings: "changes of standing",
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
    rumours: BTreeMap<Name, u32>,
    /// Views heard lately.
    views: VecDeque<(Moment, View)>,
    view_since: (View, Moment),
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
    next_period: Moment,
    next_call: Moment,
    next_pull: Moment,
    next_news: Moment,
    /// Gateways to be looked at for oneself, and where.
    looks: BTreeMap<Name, SocketAddr>,
    /// Another life under this name that was asked whether it lives.
    twin: Option<Life>,
    /// It was together with others: whoever takes its name later gives way.
    settled: bool,
    out_until: Option<Moment>,
    met: bool,
    carried: Vec<(Name, Life, Vec<u8>)>,
    out: Vec<Datagram>,
    events: Vec<Event>,
    pub tally: Tally,
}

impl Gateway {
    /// `address`: where others reach it. `seed`: for all that goes by chance, the life among it.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        now: Moment,
        fleet: Name,
        name: Name,
        address: SocketAddr,
        place: Place,
        seeds: Vec<SocketAddr>,
        ring: Ring,
        terms: Terms,
        seed: u64,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let life = Life(rng.random());
        let own = Record { name, life, incarnation: Incarnation(1), address, place, state: State::Alive };
        // Gateways that start together do not probe in step.
        let chance = Span::from_secs(terms.period.secs() * rng.random::<f64>());
        let first = now + Span::from_secs(0.01);
        Gateway {
            fleet,
            ring,
            own,
            seeds,
            counter: 0,
            table: Table::new(terms.most),
            probes: Probes::new(),
            engines: Engines::default(),
            standings: Standings::new(now),
            rumours: BTreeMap::new(),
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
            looks: BTreeMap::new(),
            twin: None,
            settled: false,
            out_until: None,
            met: false,
            carried: Vec::new(),
            out: Vec::new(),
            events: Vec::new(),
            tally: Tally::default(),
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
        (self.seeds, self.ring, self.terms) = (seeds, ring, terms);
    }

    pub fn take_out(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.out)
    }

    /// Carries words to another gateway of the fleet. False: it is not held to be there, or they are too long.
    pub fn carry(&mut self, now: Moment, to: &Name, words: Vec<u8>) -> bool {
        let there = self.table.get(to).filter(|held| held.counts()).map(|held| held.record.address);
        let Some(address) = there.filter(|_| words.len() <= LONGEST_CARRIED && self.out_until.is_none())
        else {
            return false;
        };
        self.send(now, address, Some(to), Body::Carried(words), Vec::new());
        true
    }

    /// Words that came for another subsystem, each from a gateway that is known in this life at its own address.
    pub fn take_carried(&mut self) -> Vec<(Name, Life, Vec<u8>)> {
        std::mem::take(&mut self.carried)
    }

    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub fn standing(&self) -> &Standing {
        self.standings.standing()
    }

    pub fn standing_since(&self) -> Moment {
        self.standings.since()
    }

    /// Gateways in the fleet as this one holds it, itself among them.
    pub fn size(&self) -> usize {
        1 + self.table.fleet().count()
    }

    pub fn assumed(&self) -> Assumed {
        self.standings.assumed(self.size())
    }

    pub fn view(&mut self) -> View {
        self.table.view(&self.own)
    }

    pub fn rows(&self) -> impl Iterator<Item = Row> {
        let row = |held: &Held| Row { record: held.record.clone(), known: held.known, since: held.since };
        self.table.all().map(row)
    }

    pub fn held(&self, name: &Name) -> Option<&Held> {
        self.table.get(name)
    }

    /// Records held in all, hearsay among them.
    pub fn table_len(&self) -> usize {
        self.table.len()
    }

    /// What this gateway saw of an engine. Those who may be spared the same loss are told at a pace.
    pub fn saw(&mut self, now: Moment, engine: &str, word: EngineWord) {
        if self.engines.saw(now, engine, word) && self.sweep.is_empty() {
            self.sweep = self.table.fleet().map(|held| held.record.name.clone()).collect();
            self.sweep.shuffle(&mut self.rng);
            self.next_news = now;
        }
    }

    /// Engines that enough others lost statements to, as far as the standing lets their word count.
    pub fn doubted(&mut self, now: Moment) -> Vec<Doubt> {
        self.engines.fade(now, &self.terms);
        if self.assumed().engine_news { self.engines.doubted(&self.terms) } else { Vec::new() }
    }

    /// What its standing rests on, for whoever looks into one that lasts.
    pub fn about(&self) -> String {
        let suspected = self.table.fleet().filter(|held| held.record.state == State::Suspect).count();
        let since = self.view_since.1;
        let other = self.views.iter().filter(|(at, view)| *at >= since && *view != self.view_since.0).count();
        format!(
            "{suspected} suspected, {other} of {} views heard differ, unchanged since {since:?}",
            self.views.len()
        )
    }

    /// When `turn` is due next.
    pub fn due(&self) -> Moment {
        let period = self.next_period.min(self.next_call);
        let news = (!self.sweep.is_empty()).then_some(self.next_news);
        [self.probes.due(), news].into_iter().flatten().fold(period, Moment::min)
    }

    /// It goes, and says so: others take it off at once and suspect nothing.
    pub fn leave(&mut self, now: Moment) {
        self.own.state = State::Left;
        self.own.incarnation = self.own.incarnation.next();
        self.table.own_changed();
        let to: Vec<SocketAddr> = {
            let all = self.table.fleet().map(|held| &held.record);
            some(all, GOODBYES, &mut self.rng).into_iter().map(|record| record.address).collect()
        };
        to.into_iter().for_each(|to| self.send(now, to, None, Body::News, Vec::new()));
    }

    fn event(&mut self, event: Event) {
        if self.events.len() < EVENTS {
            self.events.push(event);
        }
    }

    // Letters out.

    fn send(&mut self, now: Moment, to: SocketAddr, name: Option<&Name>, body: Body, first: Vec<Record>) {
        self.counter += 1;
        let view = self.view();
        let mut letter = Letter {
            fleet: self.fleet.clone(),
            from: self.own.clone(),
            counter: self.counter,
            view,
            body,
            records: first,
            engines: Vec::new(),
        };
        // What is held of the one it goes to comes first: only that one can refute it.
        let held = name.and_then(|name| self.table.get(name)).filter(|held| held.known);
        letter
            .records
            .extend(held.filter(|held| held.record.state != State::Alive).map(|held| held.record.clone()));
        let mut room = letter::room(&letter);
        if !self.sweep.is_empty() || !matches!(letter.body, Body::Page { .. }) {
            for news in self.engines.to_tell(now, &self.terms) {
                let size = letter::size(&news);
                if size * 3 > room {
                    break;
                }
                room -= size;
                letter.engines.push(news);
            }
        }
        // The least told first, by name among equals: the map has them in that order, and the sort keeps it. A letter holds a
        // few; of hundreds only these are looked at.
        let mut told: Vec<(u32, &Name)> = self.rumours.iter().map(|(name, left)| (*left, name)).collect();
        told.sort_by_key(|(left, _)| std::cmp::Reverse(*left));
        let fit = room / LEAST_RECORD + 1;
        let told: Vec<Name> = told.into_iter().take(fit).map(|(_, name)| name.clone()).collect();
        for name in told {
            let Some(held) = self.table.get(&name).filter(|held| held.known) else {
                self.rumours.remove(&name);
                continue;
            };
            let size = letter::size(&held.record);
            if size > room {
                break;
            }
            room -= size;
            letter.records.push(held.record.clone());
            let left = self.rumours.get_mut(&name).expect("just listed");
            *left -= 1;
            if *left == 0 {
                self.rumours.remove(&name);
            }
        }
        let bytes = letter::seal(&self.ring, &letter);
        self.tally.sent += 1;
        self.tally.sent_bytes += bytes.len() as u64;
        self.out.push(Datagram { to, bytes });
    }

    fn ask(&mut self, now: Moment, why: Why, to: SocketAddr) {
        let name = match &why {
            Why::Probe(name) | Why::Look(name) => Some(name.clone()),
            Why::Call | Why::Help { .. } => None,
        };
        let nonce = self.probes.ask(now, why, to, self.terms.answer, self.terms.period, &mut self.rng);
        self.send(now, to, name.as_ref(), Body::Ping(nonce), Vec::new());
    }

    /// Told on with the next letters.
    fn rumour(&mut self, name: &Name) {
        let times = RETELL * ((self.size() + 1) as f64).log2().ceil();
        self.rumours.insert(name.clone(), times as u32);
    }

    // Letters in.

    /// What came from an address.
    ///
    /// # Errors
    /// It counts for nothing; this is why, and it was counted.
    pub fn receive(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) -> Result<(), Refused> {
        let taken = self.take(now, from, bytes);
        let tally = &mut self.tally;
        *match taken {
            Ok(()) => &mut tally.taken,
            Err(Refused::Size) => &mut tally.refused_size,
            Err(Refused::Version) => &mut tally.refused_version,
            Err(Refused::Key) => &mut tally.refused_key,
            Err(Refused::Code) => &mut tally.refused_code,
            Err(Refused::Form) => &mut tally.refused_form,
            Err(Refused::Foreign) => &mut tally.refused_foreign,
            Err(Refused::Repeated) => &mut tally.refused_repeated,
            Err(Refused::Address) => &mut tally.refused_address,
            Err(Refused::Unasked) => &mut tally.refused_unasked,
            Err(Refused::Many) => &mut tally.refused_many,
            Err(Refused::OwnName) => &mut tally.refused_own_name,
        } += 1;
        taken
    }

    fn take(&mut self, now: Moment, src: SocketAddr, bytes: &[u8]) -> Result<(), Refused> {
        let letter = letter::open(&self.ring, &self.fleet, bytes)?;
        let Letter { from, counter, view, body, records, engines, .. } = letter;
        if self.out_until.is_some() {
            return Err(Refused::OwnName);
        }
        if from.address != src {
            return Err(Refused::Address);
        }
        if from.name == self.own.name {
            self.twin(now, src, &from, &body);
            return Err(Refused::OwnName);
        }
        if from.incarnation > Incarnation::LAST {
            self.tally.beyond += 1;
            return Err(Refused::Form);
        }
        let known = self.table.beside(&from.name).map(|held| {
            if held.seen.0 != from.life {
                held.seen = (from.life, letter::Seen::default());
            }
            (held.seen.1.first(counter), held.counts() && held.record.address == src)
        });
        if known.is_some_and(|known| !known.0) {
            return Err(Refused::Repeated);
        }
        let pace = if known.is_some_and(|known| known.1) { &mut self.answers } else { &mut self.strangers };
        let asked = match &body {
            Body::Ack(nonce) | Body::Passed(nonce) | Body::Silent(nonce) => {
                Some(self.answered(now, src, &from, *nonce, &body)?)
            }
            Body::Ping(_) | Body::Ask { .. } if !pace.take(now) => return Err(Refused::Many),
            Body::Pull { .. } if !self.pages.take(now) => return Err(Refused::Many),
            _ => None,
        };
        if asked != Some(true) {
            self.own_word(now, &from);
        }
        if let Some(held) = self.table.beside(&from.name).filter(|_| known.is_none()) {
            held.seen.1.first(counter);
        }
        let speaks = self.table.get(&from.name).is_some_and(Held::counts);
        if speaks && from.state == State::Alive {
            self.views.push_back((now, view));
            if self.views.len() > 64 {
                self.views.pop_front();
            }
            for record in records {
                self.hearsay(now, &from, record);
            }
            for news in engines.iter().take(crate::engines::A_LETTER) {
                self.engines.heard(now, &from.name, src.ip(), news);
            }
        } else if let Some(of_me) = records.into_iter().find(|record| record.name == self.own.name) {
            // A newcomer may not be known yet and still holds an old word of this gateway: saying more costs nothing.
            self.of_me(now, &of_me);
        }
        if let Body::Carried(words) = body {
            let same =
                |held: &Held| held.counts() && held.record.life == from.life && held.record.address == src;
            if !self.table.get(&from.name).is_some_and(same) || self.carried.len() >= CARRIED {
                return Err(Refused::Many);
            }
            self.carried.push((from.name, from.life, words));
            return Ok(());
        }
        self.reply(now, src, &from, body);
        Ok(())
    }

    fn reply(&mut self, now: Moment, to: SocketAddr, from: &Record, body: Body) {
        match body {
            Body::Ping(nonce) => {
                // An earlier life of it that is still held: it has to rise above that to be taken for the one.
                let held =
                    self.table.get(&from.name).filter(|held| held.known).map(|held| held.record.clone());
                let earlier =
                    held.filter(|held| held.life != from.life && held.incarnation >= from.incarnation);
                self.send(now, to, Some(&from.name), Body::Ack(nonce), earlier.into_iter().collect());
            }
            Body::Ask { nonce, target } if self.probes.helps() < HELPS => {
                let known = self
                    .table
                    .get(&target.name)
                    .is_some_and(|held| held.known && held.record.address == target.address);
                if known {
                    self.ask(now, Why::Help { asker: to, nonce }, target.address);
                }
            }
            Body::Pull { after } => self.page(now, to, after.as_ref()),
            Body::Page { next } => {
                self.pull_after = next;
                if self.pull_after.is_some() && self.pulls.take(now) {
                    let after = self.pull_after.clone();
                    self.send(now, to, Some(&from.name), Body::Pull { after }, Vec::new());
                }
            }
            _ => {}
        }
    }

    fn page(&mut self, now: Moment, to: SocketAddr, after: Option<&Name>) {
        let mut page = Vec::new();
        let (mut room, mut next) = (letter::LONGEST * 3 / 4, None);
        for held in self.table.after(after).filter(|held| held.record.state != State::Suspect) {
            let size = letter::size(&held.record);
            if size > room {
                next = page.last().map(|record: &Record| record.name.clone());
                break;
            }
            room -= size;
            page.push(held.record.clone());
        }
        self.send(now, to, None, Body::Page { next }, page);
    }

    /// An answer to what was asked, from where it was asked. True: the sender itself answered this gateway.
    fn answered(
        &mut self,
        now: Moment,
        src: SocketAddr,
        from: &Record,
        nonce: Nonce,
        body: &Body,
    ) -> Result<bool, Refused> {
        let asked = self.probes.get_mut(nonce).ok_or(Refused::Unasked)?;
        if matches!(body, Body::Ack(_)) {
            let named = match &asked.why {
                Why::Probe(name) | Why::Look(name) => *name == from.name,
                Why::Call | Why::Help { .. } => true,
            };
            if asked.to != src || !named {
                return Err(Refused::Unasked);
            }
            let asked = self.probes.take(nonce).expect("just seen");
            if matches!(asked.why, Why::Probe(_)) {
                self.probes.better();
            }
            if let Why::Help { asker, nonce } = asked.why {
                self.send(now, asker, None, Body::Passed(nonce), Vec::new());
            }
            self.looks.remove(&from.name);
            self.met_one(now, from);
            return Ok(true);
        }
        // Only those that were asked to help may answer in its place.
        if !asked.helpers.remove(&src) {
            return Err(Refused::Unasked);
        }
        if matches!(body, Body::Silent(_)) {
            asked.silent += 1;
            return Ok(false);
        }
        let asked = self.probes.take(nonce).expect("just seen");
        if let Why::Probe(name) = asked.why {
            self.cleared(now, &name);
        }
        Ok(false)
    }

    /// It answered this gateway itself: that outweighs what anybody says.
    fn met_one(&mut self, now: Moment, from: &Record) {
        self.met = true;
        let name = &from.name;
        let Some(held) = self.table.get_mut(name) else {
            if self.table.add(now, from.clone(), true) {
                let held = self.table.get_mut(name).expect("just added");
                held.answered = Some(now);
                self.changed(now, name);
                // It may know more than the seed it came by.
                self.next_pull = now;
            }
            return;
        };
        let other = held.record.life != from.life;
        let older = from.incarnation <= held.record.incarnation || held.record.address != from.address;
        if other && older && held.counts() {
            // An earlier life is still held: it hears of that with this answer, and rises. At another address it waits
            // until nobody answers at the first, or any process could take a name that is in use.
            return;
        }
        held.answered = Some(now);
        held.failed_looks = 0;
        let (known, before) = (std::mem::replace(&mut held.known, true), held.record.clone());
        let incarnation = if other { from.incarnation } else { from.incarnation.max(before.incarnation) };
        held.record = Record { incarnation, ..from.clone() };
        held.suspicion = None;
        if from.state == State::Alive {
            held.voices.retain(|_, voice| voice.says.incarnation > incarnation);
        }
        let changed = !known || before != held.record;
        let revived = known && before.state == State::Dead && !other && from.state == State::Alive;
        self.tally.revived += u64::from(revived);
        if changed {
            self.changed(now, name);
        }
    }

    /// Its own word of itself, from its own address: believed of one that is known at that address, else looked into.
    fn own_word(&mut self, now: Moment, from: &Record) {
        let Some(held) = self.table.get_mut(&from.name) else {
            if from.state.counts() && self.table.add(now, from.clone(), false) {
                self.looks.insert(from.name.clone(), from.address);
            }
            return;
        };
        let same = held.known && held.record.life == from.life && held.record.address == from.address;
        if !same {
            if from.state.counts() {
                self.looks.insert(from.name.clone(), from.address);
            }
            return;
        }
        if from.incarnation <= held.record.incarnation && held.record.state == State::Alive {
            return;
        }
        match from.state {
            State::Left => {
                if held.record.state != State::Left {
                    held.record = from.clone();
                    held.suspicion = None;
                    self.changed(now, &from.name);
                }
            }
            _ if from.incarnation > held.record.incarnation => {
                let dead = held.record.state == State::Dead;
                held.record = from.clone();
                held.suspicion = None;
                self.tally.revived += u64::from(dead);
                self.changed(now, &from.name);
            }
            // Held for worse at this incarnation: it will hear of it, and rise.
            _ => {
                self.looks.insert(from.name.clone(), from.address);
            }
        }
    }

    fn hearsay(&mut self, now: Moment, by: &Record, word: Record) {
        if word.name == self.own.name {
            self.of_me(now, &word);
            return;
        }
        if word.name == by.name {
            return;
        }
        let ahead = self
            .table
            .get(&word.name)
            .map_or(word.incarnation.0, |held| word.incarnation.0.saturating_sub(held.record.incarnation.0));
        if word.incarnation > Incarnation::LAST || ahead > LEAP {
            self.tally.beyond += 1;
            return;
        }
        let new = self.table.get(&word.name).is_none();
        if new && !(word.state.counts() && self.table.add(now, word.clone(), false)) {
            return;
        }
        let name = word.name.clone();
        self.table.voice(now, &by.name, by.address.ip(), word);
        self.weigh(now, &name);
    }

    /// What enough independent voices say of one is held; what fewer say is looked into.
    fn weigh(&mut self, now: Moment, name: &Name) {
        let need = self.terms.voices();
        let Some(held) = self.table.get(name) else { return };
        // Nearly all that is heard of one is what is held of it; weighing voices costs many times this look.
        let other = |says: &Record| {
            says.state > State::Alive && says.life == held.record.life
                || says.incarnation > held.record.incarnation
        };
        if held.known && !held.voices.values().any(|voice| other(&voice.says)) {
            return;
        }
        let (record, counts) = (held.record.clone(), held.counts());
        if !held.known {
            match held.vouched(now, need, |says| says.state.counts()) {
                Some(vouched) => {
                    let held = self.table.get_mut(name).expect("just seen");
                    (held.record, held.known) = (Record { state: State::Alive, ..vouched }, true);
                    self.met = true;
                    self.looks.remove(name);
                    self.changed(now, name);
                }
                None => {
                    if self.looks.insert(name.clone(), record.address).is_none() {
                        self.tally.unvouched += 1;
                    }
                }
            }
            return;
        }
        let newer = |says: &Record| says.state == State::Alive && says.incarnation > record.incarnation;
        if let Some(vouched) = held.vouched(now, need, newer) {
            let held = self.table.get_mut(name).expect("just seen");
            let dead = held.record.state == State::Dead && held.record.life == vouched.life;
            held.record = vouched;
            held.suspicion = None;
            self.tally.revived += u64::from(dead);
            self.changed(now, name);
            return;
        }
        let any_newer = held.hosts(now, newer).len();
        let same = |says: &Record| says.life == record.life && says.incarnation >= record.incarnation;
        let left = held.hosts(now, |says| same(says) && says.state == State::Left).len();
        let bad = held.hosts(now, |says| same(says) && says.state > State::Alive).len();
        let voice = held.voices.values().rev().map(|voice| &voice.says).find(|says| newer(says));
        let at = voice.map_or(record.address, |says| says.address);
        if counts && left >= need {
            let held = self.table.get_mut(name).expect("just seen");
            held.record.state = State::Left;
            held.suspicion = None;
            self.changed(now, name);
        } else if counts && bad >= need && record.state == State::Alive {
            self.suspect(now, name);
        } else if any_newer > 0 || counts && bad > 0 && record.state == State::Alive {
            let first = self.looks.insert(name.clone(), at).is_none();
            self.tally.unvouched += u64::from(first);
        }
    }

    /// What others hold of this gateway: worse than it is, or an earlier life of it.
    fn of_me(&mut self, now: Moment, word: &Record) {
        // Only this gateway raises its incarnation: a word far above it is no honest one's.
        let ahead = word.incarnation.0.saturating_sub(self.own.incarnation.0);
        let same = word.life == self.own.life;
        if word.incarnation >= Incarnation::LAST || same && ahead > OWN_LEAP {
            self.tally.beyond += 1;
            return;
        }
        if !same {
            self.other_life(now, word);
            return;
        }
        let gone = word.state != State::Alive && self.own.state == State::Alive;
        if gone && word.incarnation >= self.own.incarnation {
            self.rise(word.incarnation);
            self.tally.refuted += 1;
            self.event(Event::Refuted(self.own.incarnation));
        }
    }

    fn rise(&mut self, above: Incarnation) {
        self.own.incarnation = above.next();
        self.table.own_changed();
    }

    /// Another life under this name: an earlier one, above which it rises, or a second process, which would answer where
    /// it is said to be.
    fn other_life(&mut self, now: Moment, word: &Record) {
        // Step by step towards an earlier life far ahead, or one liar's word would use the range up.
        if word.incarnation >= self.own.incarnation && self.rises.take(now) {
            self.rise(word.incarnation.min(Incarnation(self.own.incarnation.0.saturating_add(LEAP))));
        }
        if word.address != self.own.address && word.state.counts() && self.twin != Some(word.life) {
            self.twin = Some(word.life);
            self.ask(now, Why::Call, word.address);
        }
    }

    /// A letter under this gateway's own name. One that answers a question asked at its address lives as well: who was
    /// together with others stays, who comes later gives way for a time by chance.
    fn twin(&mut self, now: Moment, src: SocketAddr, from: &Record, body: &Body) {
        if from.life == self.own.life || self.out_until.is_some() {
            return;
        }
        let Body::Ack(nonce) = body else {
            let word = from.clone();
            return self.other_life(now, &word);
        };
        if self.probes.get_mut(*nonce).is_some_and(|asked| asked.to == src) {
            self.probes.take(*nonce);
            self.twin = None;
            if !self.settled {
                self.out_until = Some(now + Span::from_secs(GIVE_WAY_S * (0.5 + self.rng.random::<f64>())));
            }
            self.event(Event::Doubled { other: from.life });
        }
    }

    // Time.

    pub fn turn(&mut self, now: Moment) {
        let late = now - self.due();
        let too_late = Span::from_secs((self.terms.answer.secs() * 0.5).max(0.05));
        if late > too_late {
            // What came meanwhile is read by now; what did not, nobody can tell.
            self.tally.stood_still += 1;
            self.event(Event::StoodStill(late));
            self.probes.forgive();
            let names: Vec<Name> = self.table.fleet().map(|held| held.record.name.clone()).collect();
            for name in names {
                let held = self.table.get_mut(&name).expect("just listed");
                if let Some(suspicion) = &mut held.suspicion {
                    suspicion.began = suspicion.began + late;
                }
            }
        }
        if self.out_until.is_some_and(|until| now < until) {
            self.next_period = self.next_period.max(now) + self.terms.period;
            self.next_call = self.next_period;
            self.sweep.clear();
            return;
        }
        self.out_until = None;
        for nonce in self.probes.now_due(now) {
            self.step(now, nonce);
        }
        if self.next_call <= now {
            self.next_call = now + Span::from_secs(self.terms.period.secs() * CALL * self.chance());
            self.call(now);
        }
        if self.next_period <= now {
            self.next_period = now + Span::from_secs(self.terms.period.secs() * self.chance());
            self.period(now);
        }
        if !self.sweep.is_empty() && self.next_news <= now {
            while let Some(name) = self.sweep.pop_if(|_| self.news.take(now)) {
                let to = self.table.get(&name).filter(|held| held.counts()).map(|held| held.record.address);
                to.into_iter().for_each(|to| self.send(now, to, Some(&name), Body::News, Vec::new()));
            }
            self.next_news = now + Span::from_secs(1.0 / self.terms.news_per_s.max(0.1));
        }
    }

    /// About one, so that gateways do not fall into step.
    fn chance(&mut self) -> f64 {
        0.9 + 0.2 * self.rng.random::<f64>()
    }

    fn period(&mut self, now: Moment) {
        self.suspicions(now);
        let forgotten: Vec<Name> =
            self.table.all().filter(|held| held.known).map(|held| held.record.name.clone()).collect();
        self.table.forget(now, self.terms.keep_gone);
        for name in forgotten {
            if self.table.get(&name).is_none() {
                self.event(Event::Forgotten(name));
            }
        }
        self.looks.retain(|name, _| self.table.get(name).is_some());
        let fleet = || self.table.fleet().map(|held| held.record.name.clone()).collect();
        let there = |name: &Name| self.table.get(name).is_some_and(Held::counts);
        if let Some(name) = self.probes.next(fleet, there, &mut self.rng) {
            self.probe(now, &name);
        }
        self.look(now);
        self.pull(now);
        self.stand(now);
    }

    fn probe(&mut self, now: Moment, name: &Name) {
        if self.probes.asks(name) {
            return;
        }
        let Some(to) = self.table.get(name).map(|held| held.record.address) else { return };
        self.tally.probes += 1;
        self.ask(now, Why::Probe(name.clone()), to);
    }

    /// Looks for itself at some of those of whom it heard too little to believe it, in an order by chance.
    fn look(&mut self, now: Moment) {
        let mut names: Vec<Name> = self.looks.keys().cloned().collect();
        names.shuffle(&mut self.rng);
        for name in names {
            if self.probes.looks() >= self.terms.looks {
                break;
            }
            let Some(at) = self.looks.remove(&name) else { continue };
            let Some(held) = self.table.get(&name).filter(|_| !self.probes.asks(&name)) else { continue };
            // One in the fleet and where it was: a probe, which asks others too before it doubts. These are not counted:
            // under loss they are many (ten a second each, at a hundred gateways), but bounded to eight a period, a fleet of
            // 300 that starts still held its seeds, which cannot answer all at once, for suspect twelve seconds after.
            if held.counts() && held.record.address == at {
                self.probe(now, &name);
            } else {
                self.ask(now, Why::Look(name), at);
            }
        }
    }

    /// Seeds that are not in the fleet, and one that had gone: how two halves find each other again.
    fn call(&mut self, now: Moment) {
        let known = |at: &SocketAddr| self.table.fleet().any(|held| held.record.address == *at);
        let seeds = self.seeds.iter().filter(|at| **at != self.own.address && !known(at)).copied();
        let mut seeds: Vec<SocketAddr> = seeds.collect();
        seeds.shuffle(&mut self.rng);
        seeds.truncate(if self.met { 1 } else { 3 });
        let gone = self.table.all().filter(|held| held.known && !held.counts()).map(|held| &held.record);
        seeds.extend(some(gone, 1, &mut self.rng).into_iter().map(|record| record.address));
        seeds.into_iter().for_each(|to| self.ask(now, Why::Call, to));
    }

    /// A full exchange with one by chance: now and then, and soon where its view is another.
    fn pull(&mut self, now: Moment) {
        if self.next_pull > now {
            return;
        }
        let differ = self.seen(now).other > 0;
        let wait = if self.pull_after.is_some() {
            1.0
        } else if differ {
            3.0
        } else {
            PULL
        };
        self.next_pull = now + Span::from_secs(self.terms.period.secs() * wait * self.chance());
        let all =
            self.table.fleet().filter(|held| held.record.state == State::Alive).map(|held| &held.record);
        let to = some(all, 1, &mut self.rng).first().map(|record| (record.address, record.name.clone()));
        if let Some((to, name)) = to.filter(|_| self.pulls.take(now)) {
            let after = self.pull_after.clone();
            self.send(now, to, Some(&name), Body::Pull { after }, Vec::new());
        }
    }

    /// A question's next step.
    fn step(&mut self, now: Moment, nonce: Nonce) {
        let Some(asked) = self.probes.get_mut(nonce) else { return };
        if let Why::Probe(name) = &asked.why
            && now < asked.over
        {
            // No answer to this gateway: others try before anything is said of it.
            let name = name.clone();
            asked.due = asked.over;
            let Some(target) = self.table.get(&name).map(|held| held.record.clone()) else { return };
            let others = self.table.fleet().map(|held| &held.record);
            let others = others.filter(|record| record.state == State::Alive && record.name != name);
            let helpers: Vec<SocketAddr> = some(others, self.terms.helpers, &mut self.rng)
                .into_iter()
                .map(|record| record.address)
                .collect();
            let asked = self.probes.get_mut(nonce).expect("just seen");
            asked.helpers = helpers.iter().copied().collect();
            for to in helpers {
                let target = Box::new(target.clone());
                self.send(now, to, None, Body::Ask { nonce, target }, Vec::new());
            }
            return;
        }
        let asked = self.probes.take(nonce).expect("just seen");
        match asked.why {
            Why::Probe(name) => {
                self.tally.probes_failed += 1;
                // Helpers that are well say so: with no word of theirs either, the fault may be here.
                if !asked.helpers.is_empty() && asked.silent == 0 {
                    self.probes.worse();
                }
                self.suspect(now, &name);
            }
            Why::Look(name) => self.table.not_there(&name),
            Why::Call => {}
            Why::Help { asker, nonce } => self.send(now, asker, None, Body::Silent(nonce), Vec::new()),
        }
    }

    fn suspect(&mut self, now: Moment, name: &Name) {
        let Some(held) = self.table.get_mut(name) else { return };
        if held.record.state != State::Alive || !held.known {
            return;
        }
        held.record.state = State::Suspect;
        held.suspicion = Some(Suspicion { began: now });
        self.tally.suspected += 1;
        self.changed(now, name);
    }

    /// Others reach it.
    fn cleared(&mut self, now: Moment, name: &Name) {
        let Some(held) = self.table.get_mut(name) else { return };
        if held.record.state == State::Suspect {
            held.record.state = State::Alive;
            held.suspicion = None;
            self.changed(now, name);
        }
    }

    fn changed(&mut self, now: Moment, name: &Name) {
        let Some(held) = self.table.get_mut(name) else { return };
        held.since = now;
        let (state, incarnation) = (held.record.state, held.record.incarnation);
        self.rumour(name);
        self.event(Event::Changed { name: name.clone(), state, incarnation });
    }

    /// Suspicion ends in death when it was not refuted in time: sooner the more independent gateways share it.
    fn suspicions(&mut self, now: Moment) {
        let size = (self.size() as f64).max(10.0);
        let least = self.terms.suspicion * self.terms.period.secs() * size.log10();
        let most = least * self.terms.patience;
        let over = |held: &&Held| {
            let Some(suspicion) = held.suspicion else { return false };
            let record = &held.record;
            let same = |says: &Record| {
                says.life == record.life
                    && says.incarnation >= record.incarnation
                    && says.state > State::Alive
            };
            let agree = (held.hosts(now, same).len() as f64).min(AGREE);
            let wait = (most - (most - least) * (agree + 1.0).ln() / (AGREE + 1.0).ln()).max(least);
            (now - suspicion.began).secs() >= wait * self.probes.stretch().sqrt()
        };
        let dead: Vec<Name> = self.table.fleet().filter(over).map(|held| held.record.name.clone()).collect();
        for name in dead {
            let held = self.table.get_mut(&name).expect("just listed");
            held.record.state = State::Dead;
            held.suspicion = None;
            self.tally.died += 1;
            self.changed(now, &name);
        }
    }

    fn seen(&mut self, now: Moment) -> Seen {
        let view = self.view();
        if view != self.view_since.0 {
            self.view_since = (view, now);
        }
        let lasts = self.terms.period.secs() * VIEWS;
        self.views.retain(|(at, _)| (now - *at).secs() <= lasts);
        // What was heard before its own last change says nothing of the view that stands now.
        let since = self.view_since.1;
        let heard = self.views.iter().filter(|(at, _)| *at >= since);
        let (same, other): (Vec<View>, Vec<View>) =
            heard.map(|(_, heard)| *heard).partition(|heard| *heard == view);
        Seen {
            size: self.size(),
            suspected: self
                .table
                .fleet()
                .filter(|held| held.record.state == State::Suspect)
                .map(|held| held.record.name.clone())
                .take(8)
                .collect(),
            candidates: self.table.all().filter(|held| !held.known).count(),
            same: same.len(),
            other: other.len(),
            still: Some(since),
            met: self.met,
        }
    }

    fn stand(&mut self, now: Moment) {
        let seen = self.seen(now);
        if self.standings.look(now, &seen, &self.terms) {
            self.tally.standings += 1;
            self.settled |= *self.standings.standing() == Standing::Together;
            let standing = self.standings.standing().clone();
            self.event(Event::Standing(standing));
        }
    }
}
