//! What one gateway holds of the others: who is known, on whose word, since when.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use admission::interface::{TimeDelta, Timestamp};

use crate::buckets::{self, BucketDigest, Window, mark};
use crate::message::{Seen, View};
use crate::who::{Incarnation, Life, Name, Record, State};

/// Voices kept about one gateway, the latest; and how long a witness counts.
const WITNESSES: usize = 8;
const WITNESS_S: f64 = 20.0;
/// How long one that is gossip alone stays.
const HEARSAY_S: f64 = 30.0;
/// With bounds witnesses of a gateway that is not in the fleet yet come seldom: they count for longer, and it stays.
const PATIENT_WITNESS_S: f64 = 60.0;
const PATIENT_HEARSAY_S: f64 = 90.0;
/// Looks at one never met before it is dropped.
const LOOKS: u8 = 2;

#[derive(Clone, Debug)]
pub struct Witness {
    pub says: Record,
    pub at: Timestamp,
    pub host: IpAddr,
}

#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    pub began: Timestamp,
    /// It began anew since a cut may have ended; once for each suspicion, so that nobody puts deaths off for good.
    pub renewed: bool,
}

#[derive(Clone, Debug)]
pub struct Held {
    pub record: Record,
    /// It answered here, or enough say that it is there. Else it is gossip, and no part of the fleet.
    pub known: bool,
    pub since: Timestamp,
    /// When it last answered this gateway itself.
    pub answered: Option<Timestamp>,
    pub suspicion: Option<Suspicion>,
    /// When it was taken back after it had been held for dead.
    pub returned: Option<Timestamp>,
    pub witnesses: BTreeMap<Name, Witness>,
    pub seen: (Life, Seen),
    pub failed_looks: u8,
    /// Of name and life, as they go into the view's digest.
    mark: (Life, u64),
    /// Of all that the record says but its state, and of which record.
    exact_mark: Option<(Life, Incarnation, SocketAddr, u64)>,
}

impl Held {
    fn new(now: Timestamp, record: Record, known: bool) -> Self {
        let (seen, life, mark_of) = ((record.life, Seen::default()), record.life, mark(&record));
        Held {
            record,
            known,
            since: now,
            answered: None,
            suspicion: None,
            returned: None,
            witnesses: BTreeMap::new(),
            seen,
            failed_looks: 0,
            mark: (life, mark_of),
            exact_mark: None,
        }
    }

    pub fn counts(&self) -> bool {
        self.known && self.record.state.counts()
    }

    /// Said to be there, on too few witnesses to be in the fleet.
    pub fn candidate(&self) -> bool {
        !self.known && self.record.state.counts()
    }

    /// Hash of all that the record held now says but its state.
    fn current_exact_mark(&mut self) -> u64 {
        let of = (
            self.record.life,
            self.record.incarnation,
            self.record.address,
        );
        if let Some((life, incarnation, address, mark)) = self.exact_mark
            && (life, incarnation, address) == of
        {
            return mark;
        }
        let mark = buckets::exact_mark(&self.record);
        self.exact_mark = Some((of.0, of.1, of.2, mark));
        mark
    }

    /// Hash of the name and the life held now.
    fn current_mark(&mut self) -> u64 {
        if self.mark.0 != self.record.life {
            self.mark = (self.record.life, mark(&self.record));
        }
        self.mark.1
    }

    /// Whether any witness says something worse of this life, or something newer.
    pub fn dissent(&self) -> bool {
        self.witnesses
            .values()
            .any(|witness| self.differs(&witness.says))
    }

    /// Whether this is worse word of the life held here, or newer word.
    pub fn differs(&self, says: &Record) -> bool {
        says.state > State::Alive && says.life == self.record.life
            || says.incarnation > self.record.incarnation
    }

    /// Different hosts among the witnesses that this holds for; several gateways of one host are one witness.
    pub fn hosts(&self, now: Timestamp, that: impl Fn(&Record) -> bool) -> BTreeSet<IpAddr> {
        let fresh =
            |witness: &&Witness| (now - witness.at).secs() < WITNESS_S && that(&witness.says);
        self.witnesses
            .values()
            .filter(fresh)
            .map(|witness| witness.host)
            .collect()
    }

    /// The record that `need` hosts at least vouch for, if any: of the same life and address, at an incarnation that so
    /// many reach, so that a single witness moves neither.
    pub fn vouched(
        &self,
        now: Timestamp,
        lasts: TimeDelta,
        need: usize,
        that: impl Fn(&Record) -> bool,
    ) -> Option<Record> {
        let fresh = |witness: &&Witness| now - witness.at < lasts && that(&witness.says);
        let mut by: BTreeMap<(Life, SocketAddr), BTreeMap<IpAddr, &Record>> = BTreeMap::new();
        for witness in self.witnesses.values().filter(fresh) {
            let hosts = by
                .entry((witness.says.life, witness.says.address))
                .or_default();
            let best = hosts.entry(witness.host).or_insert(&witness.says);
            if witness.says.incarnation > best.incarnation {
                *best = &witness.says;
            }
        }
        let enough = by
            .into_values()
            .filter(|hosts| hosts.len() >= need)
            .filter_map(|hosts| {
                let mut records: Vec<&Record> = hosts.into_values().collect();
                records.sort_by_key(|record| std::cmp::Reverse(record.incarnation));
                records.get(need.max(1) - 1).map(|record| (*record).clone())
            });
        enough.max_by_key(|record| record.incarnation)
    }
}

/// One line of what an operator sees.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub record: Record,
    pub known: bool,
    pub since: Timestamp,
    /// When it last answered this gateway itself.
    pub answered: Option<Timestamp>,
}

#[derive(Clone, Debug)]
pub struct Table {
    most: usize,
    /// Word of gateways that are not in the fleet yet is kept for longer.
    patient: bool,
    held: BTreeMap<Name, Held>,
    view: Option<View>,
}

impl Table {
    /// `patient`: word of gateways that are not in the fleet yet is kept for longer.
    pub fn new(most: usize, patient: bool) -> Self {
        Table {
            most,
            patient,
            held: BTreeMap::new(),
            view: None,
        }
    }

    /// From now on word of gateways that are not in the fleet yet is kept for longer, or is not.
    pub fn set_patient(&mut self, patient: bool) {
        self.patient = patient;
    }

    /// How long word of a gateway counts that is in the fleet, or is not yet.
    pub fn witness_lasts(&self, known: bool) -> TimeDelta {
        TimeDelta::from_secs(if known || !self.patient {
            WITNESS_S
        } else {
            PATIENT_WITNESS_S
        })
    }

    pub fn get(&self, name: &Name) -> Option<&Held> {
        self.held.get(name)
    }

    /// A witness that says what is held already is not kept.
    pub fn withdraw(&mut self, by: &Name, of: &Name) {
        let Some(held) = self.held.get_mut(of) else {
            return;
        };
        held.witnesses.remove(by);
    }

    /// Whoever may change what is in the fleet goes through here.
    pub fn get_mut(&mut self, name: &Name) -> Option<&mut Held> {
        self.view = None;
        self.held.get_mut(name)
    }

    /// Those that stand.
    pub fn suspicions(&mut self) -> impl Iterator<Item = &mut Suspicion> {
        self.held
            .values_mut()
            .filter_map(|held| held.suspicion.as_mut())
    }

    /// For what does not change who is in the fleet.
    pub fn beside(&mut self, name: &Name) -> Option<&mut Held> {
        self.held.get_mut(name)
    }

    /// Adds one, if there is room: gossip makes room for what is known, never the other way round.
    pub fn add(&mut self, now: Timestamp, record: Record, known: bool) -> bool {
        if self.held.len() >= self.most {
            let weakest = self.held.iter().filter(|(_, held)| !held.known);
            let weakest = weakest.min_by_key(|(_, held)| (held.witnesses.len(), held.since));
            let Some(name) = weakest.filter(|_| known).map(|(name, _)| name.clone()) else {
                return false;
            };
            self.held.remove(&name);
        }
        self.view = None;
        self.held
            .insert(record.name.clone(), Held::new(now, record, known));
        true
    }

    pub fn remove(&mut self, name: &Name) {
        self.view = None;
        self.held.remove(name);
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    pub fn all(&self) -> impl Iterator<Item = &Held> {
        self.held.values()
    }

    /// Those in the fleet, in the order of their names.
    pub fn fleet(&self) -> impl Iterator<Item = &Held> {
        self.held.values().filter(|held| held.counts())
    }

    pub fn after(&self, name: Option<&Name>) -> impl Iterator<Item = &Held> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = name.map_or(Unbounded, Excluded);
        self.held
            .range::<Name, _>((from, Unbounded))
            .map(|(_, held)| held)
            .filter(|held| held.known)
    }

    pub fn witness(&mut self, now: Timestamp, by: &Name, host: IpAddr, says: Record) {
        let Some(held) = self.held.get_mut(&says.name) else {
            return;
        };
        if held.witnesses.len() >= WITNESSES && !held.witnesses.contains_key(by) {
            let oldest = held
                .witnesses
                .iter()
                .min_by_key(|(_, witness)| witness.at)
                .map(|(name, _)| name.clone());
            oldest.map(|name| held.witnesses.remove(&name));
        }
        held.witnesses.insert(
            by.clone(),
            Witness {
                says,
                at: now,
                host,
            },
        );
    }

    /// A look at one came to nothing. Gossip of one that never answers leaves.
    pub fn not_there(&mut self, name: &Name) {
        let Some(held) = self.held.get_mut(name) else {
            return;
        };
        held.failed_looks += 1;
        if !held.known && held.failed_looks >= LOOKS {
            self.held.remove(name);
        }
    }

    /// What went leaves nothing behind after `keep`, gossip neither.
    /// Returns the known ones among them.
    pub fn forget(&mut self, now: Timestamp, keep: TimeDelta) -> Vec<Name> {
        let before = self.held.len();
        let mut forgotten = Vec::new();
        let hearsay_s = if self.patient {
            PATIENT_HEARSAY_S
        } else {
            HEARSAY_S
        };
        self.held.retain(|name, held| {
            let gone = now - held.since;
            let stays = if held.known {
                held.record.state.counts() || gone < keep
            } else {
                gone.secs() < hearsay_s
            };
            if held.known && !stays {
                forgotten.push(name.clone());
            }
            stays
        });
        if self.held.len() != before {
            self.view = None;
        }
        let (known, candidate) = (self.witness_lasts(true), self.witness_lasts(false));
        for held in self
            .held
            .values_mut()
            .filter(|held| !held.witnesses.is_empty())
        {
            let lasts = if held.known { known } else { candidate };
            held.witnesses.retain(|_, witness| now - witness.at < lasts);
        }
        forgotten
    }

    /// The fleet with this gateway in it: the same for all that hold the same gateways in the same lives, whatever the
    /// order in which they came to hold them. What is suspected still counts.
    pub fn view(&mut self, own: &Record) -> View {
        if let Some(view) = self.view {
            return view;
        }
        let own = (own.state == State::Alive).then(|| mark(own));
        let held = self
            .held
            .values_mut()
            .filter(|held| held.counts())
            .map(Held::current_mark);
        let (digest, size) = held
            .chain(own)
            .fold((0, 0u16), |sum, of| (sum.0 ^ of, sum.1.saturating_add(1)));
        let view = View { digest, size };
        self.view = Some(view);
        view
    }

    /// Digests of a window's buckets over the fleet with this gateway in it; `candidates`: over those as well that are not
    /// in it yet.
    pub(crate) fn digests(
        &mut self,
        window: Window,
        own: &Record,
        candidates: bool,
    ) -> Vec<BucketDigest> {
        let counted = |held: &&mut Held| held.counts() || candidates && held.candidate();
        let held = self.held.values_mut().filter(counted);
        let held = held.map(|held| (held.current_mark(), held.current_exact_mark()));
        let own = (own.state == State::Alive).then(|| (mark(own), buckets::exact_mark(own)));
        buckets::digests(window, held.chain(own))
    }

    /// All that is held of marks from `from` to `until`, in the order of their marks.
    pub(crate) fn in_range(&mut self, from: u64, until: u64) -> Vec<(u64, &Held)> {
        let mut found = Vec::new();
        for held in self.held.values_mut() {
            let mark = held.current_exact_mark();
            if (from..=until).contains(&mark) {
                found.push((mark, &*held));
            }
        }
        found.sort_by_key(|(mark, _)| *mark);
        found
    }

    /// All that is held in a window's buckets, each with its bucket, counted from the window's first.
    pub(crate) fn in_window(&mut self, window: Window) -> Vec<(usize, &Held)> {
        let mut placed = Vec::new();
        for held in self.held.values_mut() {
            if let Some(locality) = window.place(held.current_mark()) {
                placed.push((locality, &*held));
            }
        }
        placed
    }

    /// The own record or one that was reached by `beside` changed: the view is computed anew.
    pub fn own_changed(&mut self) {
        self.view = None;
    }
}
