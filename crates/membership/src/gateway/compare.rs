//! With bounds: tables are compared by the digests of some buckets, and only what differs is exchanged. A bucket that is equal
//! in both tables vouches for all of it at once.

use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use rand::RngExt;

use super::Gateway;
use super::lists::Lists;
use crate::bounds::{ASK_AGAIN_BYTES, ASK_BYTES, CANDIDATES, STILL_PERIODS};
use crate::buckets::{BUCKETS, BucketDigest, WINDOW, Window};
use crate::message::{self, Body, Nonce};
use crate::probes::some;
use crate::who::{Name, Record, State};

/// Periods between comparisons, as far as the budget goes.
const COMPARE_PERIODS: f64 = 1.0;
/// Comparisons of one window before the next one: by two hosts what differs is vouched for.
const COMPARISONS: u32 = 2;
/// Comparisons without an answer after which every other exchange asks for pages: older gateways know no comparison.
const UNANSWERED: u32 = 3;

/// A comparison that is out.
#[derive(Clone, Debug)]
struct Comparison {
    nonce: Nonce,
    to: SocketAddr,
    window: Window,
    digests: Vec<BucketDigest>,
}

/// Where this gateway is in comparing its table with others'.
#[derive(Clone, Debug, Default)]
pub(super) struct Comparing {
    out: Option<Comparison>,
    /// The first bucket of the window, and how often it was compared.
    first: Option<usize>,
    compared: u32,
    pub(super) lists: Lists,
    unanswered: u32,
    exchanges: u32,
}

impl Comparing {
    /// An answer came: whoever gives them knows comparisons.
    pub(super) fn answered(&mut self) {
        self.unanswered = 0;
    }
}

impl Gateway {
    /// The next exchange with one by chance.
    pub(super) fn compare(&mut self, now: Timestamp) {
        if !self.may_spend_exchange(now, ASK_BYTES) {
            return;
        }
        let asked = self
            .comparing
            .out
            .as_ref()
            .map(|out| out.to)
            .or(self.comparing.lists.asked());
        let all = self.table.fleet().map(|held| &held.record);
        let all =
            all.filter(|record| record.state == State::Alive && Some(record.address) != asked);
        let to = some(all, 1, &mut self.rng)
            .first()
            .map(|record| (record.address, record.name.clone()));
        let Some((to, name)) = to else { return };
        self.last_pull = now;
        let unanswered = self.comparing.out.take().is_some() || self.comparing.lists.give_up();
        self.comparing.unanswered += u32::from(unanswered);
        self.comparing.exchanges = self.comparing.exchanges.wrapping_add(1);
        if self.comparing.unanswered >= UNANSWERED && self.comparing.exchanges.is_multiple_of(2) {
            let after = self.pull_after.clone();
            self.send(now, to, Some(&name), Body::Pull { after }, Vec::new());
            return;
        }
        if self.comparing.lists.suit() {
            self.send_list(now, to, &name);
        } else {
            self.send_comparison(now, to, &name);
        }
        self.take_back_unused(ASK_BYTES);
    }

    fn send_comparison(&mut self, now: Timestamp, to: SocketAddr, name: &Name) {
        let first = self
            .comparing
            .first
            .unwrap_or_else(|| self.rng.random_range(0..BUCKETS));
        self.comparing.first = Some(first);
        let window = Window {
            first,
            count: WINDOW,
        };
        let digests = self.table.digests(window, &self.own, true);
        let nonce = Nonce(self.rng.random());
        let body = Body::Compare {
            nonce,
            first: first as u8,
            digests: digests.clone(),
        };
        self.comparing.out = Some(Comparison {
            nonce,
            to,
            window,
            digests,
        });
        self.tally.compared += 1;
        self.send(now, to, Some(name), body, Vec::new());
    }

    /// Another gateway's digests: which of these buckets are equal here, and what is held in the others.
    pub(super) fn answer_comparison(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        name: &Name,
        nonce: Nonce,
        window: Window,
        theirs: &[BucketDigest],
    ) {
        let own = self.table.digests(window, &self.own, false);
        let is_equal = |locality: usize| own[locality] == theirs[locality];
        let equal = (0..window.count)
            .filter(|locality| is_equal(*locality))
            .fold(0, |bits, locality| bits | 1 << locality);
        let (records, covered) = self.differing(window, is_equal);
        self.tally.compared_for_others += 1;
        self.send(
            now,
            to,
            Some(name),
            Body::Compared {
                nonce,
                equal,
                covered,
            },
            records,
        );
        self.take_back_answer_unused();
    }

    /// Records of the buckets that differ, from the first on as far as they fit, and how many buckets that covers. Of a bucket
    /// that does not fit alone, some by chance.
    fn differing(&mut self, window: Window, is_equal: impl Fn(usize) -> bool) -> (Vec<Record>, u8) {
        let mut held: Vec<Vec<Record>> = vec![Vec::new(); window.count];
        for (locality, of) in self.table.in_window(window) {
            if of.known && of.record.state != State::Suspect && !is_equal(locality) {
                held[locality].push(of.record.clone());
            }
        }
        let mut room = message::LONGEST * 3 / 4;
        let mut told = Vec::new();
        for (locality, mut records) in held.into_iter().enumerate() {
            let size: usize = records.iter().map(message::size).sum();
            if size <= room {
                room -= size;
                told.append(&mut records);
                continue;
            }
            if told.is_empty() {
                let start = self.rng.random_range(0..records.len());
                records.rotate_left(start);
                told = records
                    .into_iter()
                    .take_while(|record| take_room(&mut room, record))
                    .collect();
                return (told, locality as u8 + 1);
            }
            return (told, locality as u8);
        }
        (told, window.count as u8)
    }

    /// The answer to a comparison of this gateway: buckets that are equal vouch for those in them that are not in the fleet yet.
    pub(super) fn compared(
        &mut self,
        now: Timestamp,
        from: &Record,
        nonce: Nonce,
        equal: u32,
        covered: u8,
    ) {
        let out = self.comparing.out.take();
        let Some(out) = out.filter(|out| out.nonce == nonce && out.to == from.address) else {
            return;
        };
        self.comparing.answered();
        self.comparing
            .lists
            .judge(2 * equal.count_ones() as usize >= out.window.count);
        self.vouch_equal(now, from, &out, equal);
        self.comparing.compared += 1;
        let covered = usize::from(covered).clamp(1, out.window.count);
        let all_equal = equal.count_ones() as usize >= out.window.count;
        if all_equal || self.comparing.compared >= COMPARISONS {
            self.comparing.first = Some(out.window.after(covered));
            self.comparing.compared = 0;
        }
        // What differed was told: the next one may be asked at once, as long as bytes were saved.
        if !all_equal && self.exchange_bytes.left(now) >= ASK_AGAIN_BYTES {
            self.compare(now);
        }
    }

    fn vouch_equal(&mut self, now: Timestamp, from: &Record, out: &Comparison, equal: u32) {
        if !self.table.get(&from.name).is_some_and(|held| held.counts()) {
            return;
        }
        // What came meanwhile may have changed a bucket: it was not compared as it is now.
        let present = self.table.digests(out.window, &self.own, true);
        let holds = |locality: usize| {
            equal >> locality & 1 == 1 && present[locality] == out.digests[locality]
        };
        let vouched: Vec<Record> = self
            .table
            .in_window(out.window)
            .into_iter()
            .filter(|(locality, held)| held.candidate() && holds(*locality))
            .map(|(_, held)| held.record.clone())
            .collect();
        self.count_as_witness(now, from, vouched);
    }

    /// Periods until the next comparison; `None`: none is needed.
    pub(super) fn compare_wait(&mut self, now: Timestamp) -> Option<f64> {
        let seen = self.seen(now);
        let periods = |since: Timestamp| (now - since).secs() / self.terms.period.secs();
        let still = periods(self.view_since.1) >= STILL_PERIODS;
        (seen.candidates > CANDIDATES || seen.other > 0 && (still || seen.other > seen.same))
            .then_some(COMPARE_PERIODS)
    }

    /// One by chance is asked, now and then, as long as views differ.
    pub(super) fn compare_in_turn(&mut self, now: Timestamp) {
        if self.next_pull > now {
            return;
        }
        let Some(wait) = self.compare_wait(now) else {
            return;
        };
        self.next_pull =
            now + TimeDelta::from_secs(self.terms.period.secs() * wait * self.chance());
        self.compare(now);
    }
}

pub(super) fn take_room(room: &mut usize, record: &Record) -> bool {
    let size = message::size(record);
    let fits = size <= *room;
    *room -= if fits { size } else { 0 };
    fits
}
