//! With bounds, where tables differ by much: marks of some records are listed to another gateway, which says which of them it
//! holds as well, and what it holds beside them. What it holds as well it vouches for.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use admission::interface::Timestamp;
use rand::RngExt;

use super::Gateway;
use super::compare::take_room;
use crate::bounds::{ASK_AGAIN_BYTES, CANDIDATES};
use crate::buckets::{ExactMark, LISTED, exact_mark};
use crate::message::{self, Body, Nonce};
use crate::table::Held;
use crate::who::{Name, Record, State};

/// Hosts that are asked from one mark on before the next one: by two what is told is vouched for.
const HOSTS: u32 = 2;
/// Records that only one side holds at most, for tables that hardly differ.
const FEW: u32 = 4;
/// Those that left lately are told to whoever lists another part of the same marks: their last record has a mark of its own.
const LEFT_LATELY_S: f64 = 120.0;

/// A list that is out.
#[derive(Clone, Debug)]
struct Out {
    nonce: Nonce,
    to: SocketAddr,
    marks: Vec<u64>,
}

impl Out {
    /// The last mark that it asks for.
    fn end(&self) -> u64 {
        end_of(&self.marks)
    }
}

/// Up to where a list asks: its last mark, or the end of all where it names fewer than it could.
fn end_of(marks: &[u64]) -> u64 {
    marks
        .last()
        .copied()
        .filter(|_| marks.len() >= LISTED)
        .unwrap_or(u64::MAX)
}

/// Where this gateway is in listing its table to others.
#[derive(Clone, Debug, Default)]
pub(super) struct Lists {
    out: Option<Out>,
    /// The mark from which on it lists; `None`: one by chance.
    from: Option<u64>,
    /// How many hosts were asked there.
    hosts: u32,
    /// Tables lately differed by so little that digests of buckets tell it for fewer bytes.
    differ_little: bool,
}

impl Lists {
    pub(super) fn asked(&self) -> Option<SocketAddr> {
        self.out.as_ref().map(|out| out.to)
    }

    /// Whether a list was out, which is not waited for any longer.
    pub(super) fn give_up(&mut self) -> bool {
        self.out.take().is_some()
    }

    /// Whether lists are the cheaper way at present.
    pub(super) fn suit(&self) -> bool {
        !self.differ_little
    }

    pub(super) fn judge(&mut self, differ_little: bool) {
        self.differ_little = differ_little;
    }

    /// One host told all up to this mark.
    fn told_until(&mut self, until: u64) {
        self.hosts += 1;
        if self.hosts >= HOSTS {
            self.hosts = 0;
            self.from = Some(until.wrapping_add(1));
        }
    }
}

impl Gateway {
    pub(super) fn send_list(&mut self, now: Timestamp, to: SocketAddr, name: &Name) {
        let from = self
            .comparing
            .lists
            .from
            .unwrap_or_else(|| self.rng.random());
        self.comparing.lists.from = Some(from);
        let mut marks =
            self.marks_in_range(from, u64::MAX, |held| held.counts() || held.candidate());
        marks.truncate(LISTED);
        let nonce = Nonce(self.rng.random());
        let wire = marks.iter().map(|mark| mark.to_be_bytes()).collect();
        self.comparing.lists.out = Some(Out { nonce, to, marks });
        self.tally.listed += 1;
        self.send(
            now,
            to,
            Some(name),
            Body::List {
                nonce,
                from,
                marks: wire,
            },
            Vec::new(),
        );
    }

    /// Marks of this gateway and of those held that are meant, in their order.
    fn marks_in_range(&mut self, from: u64, until: u64, meant: impl Fn(&Held) -> bool) -> Vec<u64> {
        let held = self
            .table
            .in_range(from, until)
            .into_iter()
            .filter(|(_, held)| meant(held));
        let mut marks: Vec<u64> = held.map(|(mark, _)| mark).collect();
        let own = exact_mark(&self.own);
        if self.own.state == State::Alive && (from..=until).contains(&own) {
            marks.push(own);
            marks.sort_unstable();
        }
        marks
    }

    /// Another gateway's list: which of it is held here, and what is held beside it.
    pub(super) fn answer_list(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        name: &Name,
        nonce: Nonce,
        from: u64,
        marks: &[ExactMark],
    ) {
        let listed: Vec<u64> = marks.iter().map(|mark| u64::from_be_bytes(*mark)).collect();
        let end = end_of(&listed);
        let here: BTreeSet<u64> = self
            .marks_in_range(from, end, Held::counts)
            .into_iter()
            .collect();
        let holds = |at: &usize| here.contains(&listed[*at]);
        let held = (0..listed.len())
            .filter(holds)
            .fold(0, |bits, at| bits | 1 << at);
        let (records, until) = self.beside_list(now, from, end, &listed);
        self.tally.listed_for_others += 1;
        self.send(
            now,
            to,
            Some(name),
            Body::Listed { nonce, held, until },
            records,
        );
        self.take_back_answer_unused();
    }

    /// What is held beside a list, and of the list what has gone, as far as it fits; and the mark up to which that is all.
    fn beside_list(
        &mut self,
        now: Timestamp,
        from: u64,
        end: u64,
        listed: &[u64],
    ) -> (Vec<Record>, u64) {
        let listed: BTreeSet<u64> = listed.iter().copied().collect();
        let left_lately = |held: &Held| {
            held.record.state == State::Left && (now - held.since).secs() < LEFT_LATELY_S
        };
        let tells = |mark: &u64, held: &Held| {
            let plain = held.known && held.record.state != State::Suspect;
            plain && (held.counts() != listed.contains(mark) || left_lately(held))
        };
        let mut room = message::LONGEST * 3 / 4;
        let (mut told, mut until) = (Vec::new(), from);
        for (mark, held) in self.table.in_range(from, end) {
            if tells(&mark, held) {
                if !take_room(&mut room, &held.record) {
                    return (told, until);
                }
                told.push(held.record.clone());
            }
            until = mark;
        }
        (told, end)
    }

    /// The answer to a list of this gateway.
    pub(super) fn listed(
        &mut self,
        now: Timestamp,
        from: &Record,
        nonce: Nonce,
        held: u64,
        until: u64,
    ) {
        let out = self.comparing.lists.out.take();
        let Some(out) = out.filter(|out| out.nonce == nonce && out.to == from.address) else {
            return;
        };
        self.comparing.answered();
        self.vouch_listed(now, from, &out.marks, held);
        let few = out.marks.len() as u32 <= held.count_ones() + FEW;
        let settled = until >= out.end() && few && self.candidates() <= CANDIDATES;
        self.comparing.lists.judge(settled);
        self.comparing.lists.told_until(until);
        if !settled && self.exchange_bytes.left(now) >= ASK_AGAIN_BYTES {
            self.compare(now);
        }
    }

    fn candidates(&self) -> usize {
        self.table.all().filter(|held| held.candidate()).count()
    }

    fn vouch_listed(&mut self, now: Timestamp, from: &Record, marks: &[u64], held: u64) {
        if !self.table.get(&from.name).is_some_and(Held::counts) {
            return;
        }
        let [Some(first), Some(last)] = [marks.first(), marks.last()] else {
            return;
        };
        let vouched = |mark: u64| {
            marks
                .binary_search(&mark)
                .is_ok_and(|at| held >> at & 1 == 1)
        };
        let records: Vec<Record> = self
            .table
            .in_range(*first, *last)
            .into_iter()
            .filter(|(mark, held)| held.candidate() && vouched(*mark))
            .map(|(_, held)| held.record.clone())
            .collect();
        self.count_as_witness(now, from, records);
    }

    /// A gateway vouches for these as they are held here.
    pub(super) fn count_as_witness(&mut self, now: Timestamp, by: &Record, records: Vec<Record>) {
        for record in records {
            let name = record.name.clone();
            self.tally.vouched_by_digest += 1;
            self.table.witness(now, &by.name, by.address.ip(), record);
            self.weigh(now, &name);
        }
    }
}
