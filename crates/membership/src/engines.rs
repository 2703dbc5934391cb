//! News of engines, by evidence: who saw what of which engine, and how long ago. It counts once as many independent
//! gateways say it as could lie, and one more; it never benches by itself, see `doubted`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use admission::interface::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};

use crate::terms::Terms;
use crate::who::Name;

/// Engines that are held at most, and witnesses of each: a liar's list of engines is cut, the oldest word first.
const ENGINES: usize = 1024;
const WITNESSES: usize = 16;
/// Of news that goes with one message.
pub const PER_MESSAGE: usize = 16;
const LONGEST_NAME: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EngineWord {
    /// It failed, refused, or fell silent: this gateway lost statements to it.
    Bad,
    /// It completed again for one that had lost some.
    Back,
}

/// As it goes over the wire; engines by their name in the list, since numbers are each gateway's own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineNews {
    pub engine: String,
    pub word: EngineWord,
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Said {
    word: EngineWord,
    at: Timestamp,
    host: IpAddr,
}

/// An engine that enough others lost statements to.
#[derive(Clone, Debug, PartialEq)]
pub struct Doubt {
    pub engine: String,
    /// What was seen there was seen no later than this.
    pub seen: Timestamp,
    /// It says nothing any more from here on.
    pub until: Timestamp,
}

#[derive(Clone, Debug, Default)]
pub struct Engines {
    own: BTreeMap<String, (EngineWord, Timestamp)>,
    said: BTreeMap<String, BTreeMap<Name, Said>>,
}

impl Engines {
    /// What this gateway saw itself. True: it is new, and others may want to know soon.
    pub fn saw(&mut self, now: Timestamp, engine: &str, word: EngineWord) -> bool {
        if engine.is_empty() || engine.len() > LONGEST_NAME {
            return false;
        }
        let before = self.own.insert(engine.to_owned(), (word, now));
        if self.own.len() > ENGINES {
            let oldest = self
                .own
                .iter()
                .min_by_key(|(_, (_, at))| *at)
                .map(|(name, _)| name.clone());
            oldest.map(|name| self.own.remove(&name));
        }
        before.is_none_or(|before| before.0 != word || (now - before.1).secs() > 1.0)
    }

    /// A known gateway's word; of one gateway the latest evidence holds.
    pub fn heard(&mut self, now: Timestamp, by: &Name, host: IpAddr, news: &EngineNews) {
        if news.engine.is_empty() || news.engine.len() > LONGEST_NAME {
            return;
        }
        let at = now + TimeDelta::from_secs(-f64::from(news.age_ms) / 1e3);
        if !self.said.contains_key(&news.engine) && self.said.len() >= ENGINES {
            let oldest =
                |witnesses: &BTreeMap<Name, Said>| witnesses.values().map(|said| said.at).max();
            let first = self
                .said
                .iter()
                .min_by_key(|(_, witnesses)| oldest(witnesses));
            first
                .map(|(name, _)| name.clone())
                .map(|name| self.said.remove(&name));
        }
        let witnesses = self.said.entry(news.engine.clone()).or_default();
        if witnesses.len() >= WITNESSES && !witnesses.contains_key(by) {
            let oldest = witnesses
                .iter()
                .min_by_key(|(_, said)| said.at)
                .map(|(name, _)| name.clone());
            oldest.map(|name| witnesses.remove(&name));
        }
        let said = witnesses.entry(by.clone()).or_insert(Said {
            word: news.word,
            at,
            host,
        });
        if at >= said.at {
            *said = Said {
                word: news.word,
                at,
                host,
            };
        }
    }

    /// Evidence leaves once it is older than it counts.
    pub fn fade(&mut self, now: Timestamp, terms: &Terms) {
        let fresh = |at: Timestamp| now - at < terms.news_lasts;
        self.own.retain(|_, (_, at)| fresh(*at));
        self.said
            .values_mut()
            .for_each(|witnesses| witnesses.retain(|_, said| fresh(said.at)));
        self.said.retain(|_, witnesses| !witnesses.is_empty());
    }

    /// Engines that as many independent gateways as needed lost statements to: one a host, since whoever holds one host
    /// may play many gateways there. Own evidence of the engine at work that is newer outweighs what is older.
    pub fn doubted(&self, terms: &Terms) -> Vec<Doubt> {
        self.said
            .keys()
            .filter_map(|engine| self.doubt(engine, terms))
            .collect()
    }

    fn doubt(&self, engine: &str, terms: &Terms) -> Option<Doubt> {
        let own = self.own.get(engine);
        let worked = own.filter(|own| own.0 == EngineWord::Back).map(|own| own.1);
        let newer = |said: &&Said| worked.is_none_or(|worked| said.at > worked);
        let witnesses = self.said.get(engine)?.values().filter(newer);
        let mut hosts: BTreeMap<IpAddr, Timestamp> = BTreeMap::new();
        let mut back: BTreeSet<IpAddr> = BTreeSet::new();
        let mut back_at = None;
        for said in witnesses {
            match said.word {
                EngineWord::Bad => {
                    let at = hosts.entry(said.host).or_insert(said.at);
                    *at = (*at).max(said.at);
                }
                EngineWord::Back => {
                    back.insert(said.host);
                    back_at = back_at.max(Some(said.at));
                }
            }
        }
        if back.len() >= terms.voices() {
            hosts.retain(|_, at| Some(*at) > back_at);
        }
        let mut times: Vec<Timestamp> = hosts.into_values().collect();
        times.sort();
        // With so many newer ones beside it, at least one of the witnesses at or after this time does not lie.
        let seen = *times
            .len()
            .checked_sub(terms.voices())
            .and_then(|at| times.get(at))?;
        Some(Doubt {
            engine: engine.to_owned(),
            seen,
            until: seen + terms.news_lasts,
        })
    }

    /// What goes along: own words, and what it holds itself on enough others' word, never fresher than their evidence.
    pub fn to_tell(&self, now: Timestamp, terms: &Terms) -> Vec<EngineNews> {
        let age = |at: Timestamp| millis(now - at);
        let own = self
            .own
            .iter()
            .map(|(engine, (word, at))| (engine.clone(), *word, *at));
        let doubted = self
            .doubted(terms)
            .into_iter()
            .filter(|doubt| !self.own.contains_key(&doubt.engine));
        let doubted = doubted.map(|doubt| (doubt.engine, EngineWord::Bad, doubt.seen));
        let mut all: Vec<_> = own.chain(doubted).collect();
        all.sort_by(|a, b| b.2.cmp(&a.2).then_with(|| a.0.cmp(&b.0)));
        all.truncate(PER_MESSAGE);
        all.into_iter()
            .map(|(engine, word, at)| EngineNews {
                engine,
                word,
                age_ms: age(at),
            })
            .collect()
    }
}

/// Whole milliseconds, as ages go over the wire.
fn millis(span: TimeDelta) -> u32 {
    (span.secs() * 1e3).clamp(0.0, f64::from(u32::MAX)) as u32
}
