//! Anti-entropy: when this node exchanges its table with another's, and exchanges of whole pages.

use admission::interface::{TimeDelta, Timestamp};

use super::Node;
use super::send::Recipient;
use crate::anti_entropy::{ExchangeKind, Reservation};
use crate::member::{Name, Record};
use crate::message::{self, Body, MAX_TABLE_PART_BYTES};
use crate::probe_round::sample_one;

/// Periods between exchanges of pages while views agree.
const PAGE_PERIODS: f64 = 10.0;
/// The same while views differ.
const DIFFERING_PAGE_PERIODS: f64 = 3.0;
/// The same while a table was received in part.
const NEXT_PAGE_PERIODS: f64 = 1.0;
/// Periods between comparisons, as far as the budget goes.
const COMPARISON_PERIODS: f64 = 1.0;
/// Candidates above which tables are compared: fewer are left to gossip.
pub(super) const MAX_CANDIDATES: usize = 8;
/// Periods for which an own view must not have changed before a differing one is taken for more than gossip under way.
const STABLE_PERIODS: f64 = 3.0;

/// Records that go with an answer, as many as a part of a table may have.
pub(super) struct TablePart {
    pub(super) records: Vec<Record>,
    remaining: usize,
}

impl TablePart {
    pub(super) fn new() -> Self {
        TablePart {
            records: Vec::new(),
            remaining: MAX_TABLE_PART_BYTES,
        }
    }

    /// Adds a record. False: it does not fit.
    pub(super) fn try_push(&mut self, record: &Record) -> bool {
        let size = message::encoded_size(record);
        if size > self.remaining {
            return false;
        }
        self.remaining -= size;
        self.records.push(record.clone());
        true
    }

    /// Adds all of these or, where they do not fit together, none.
    pub(super) fn try_push_all(&mut self, records: &[Record]) -> bool {
        let size: usize = records.iter().map(message::encoded_size).sum();
        if size > self.remaining {
            return false;
        }
        self.remaining -= size;
        self.records.extend_from_slice(records);
        true
    }
}

impl Node {
    /// Exchanges tables with a member by chance, if that is due.
    pub(super) fn exchange_tables(&mut self, now: Timestamp) {
        if self.anti_entropy.next_exchange > now {
            return;
        }
        if self.has_traffic_limits() {
            if self.should_compare(now) {
                self.schedule_exchange(now, COMPARISON_PERIODS);
                self.begin_comparison(now);
            }
            return;
        }
        let periods = self.page_periods(now);
        self.schedule_exchange(now, periods);
        let peer = sample_one(self.table.alive(), &mut self.rng).map(Recipient::of);
        if let Some(peer) = peer
            && self.anti_entropy.may_request_page(now)
        {
            self.request_page(now, &peer);
        }
    }

    fn schedule_exchange(&mut self, now: Timestamp, periods: f64) {
        let pause_s = self.config.probe_period.secs() * periods * self.jitter();
        self.anti_entropy.next_exchange = now + TimeDelta::from_secs(pause_s);
    }

    /// Periods until the next exchange of pages.
    fn page_periods(&mut self, now: Timestamp) -> f64 {
        let views = self.compare_views(now);
        if self.anti_entropy.page_cursor.is_some() {
            NEXT_PAGE_PERIODS
        } else if views.differing > 0 {
            DIFFERING_PAGE_PERIODS
        } else {
            PAGE_PERIODS
        }
    }

    /// Whether tables are to be compared: there are many candidates, or views differ and gossip had its time.
    fn should_compare(&mut self, now: Timestamp) -> bool {
        let views = self.compare_views(now);
        if self.table.candidate_count() > MAX_CANDIDATES {
            return true;
        }
        let unchanged_for = self.views.unchanged_for(now).secs();
        let is_stable = unchanged_for / self.config.probe_period.secs() >= STABLE_PERIODS;
        let is_minority = views.differing > views.equal;
        views.differing > 0 && (is_stable || is_minority)
    }

    /// Compares tables with a member by chance: not with the one whose answer is waited for.
    pub(super) fn begin_comparison(&mut self, now: Timestamp) {
        if !self.try_reserve_exchange(now, Reservation::Request) {
            return;
        }
        let pending_peer = self.anti_entropy.pending_peer();
        let others = self
            .table
            .alive()
            .filter(|record| Some(record.address) != pending_peer);
        let Some(peer) = sample_one(others, &mut self.rng).map(Recipient::of) else {
            return;
        };
        match self.anti_entropy.begin() {
            ExchangeKind::Page => {
                self.request_page(now, &peer);
                return;
            }
            ExchangeKind::Digests => self.send_digests(now, &peer),
            ExchangeKind::Fingerprints => self.send_fingerprints(now, &peer),
        }
        self.settle_reservation(Reservation::Request);
    }

    /// Goes on comparing at once where tables still differ, as long as bytes were saved.
    pub(super) fn continue_comparison(&mut self, now: Timestamp) {
        if self.anti_entropy.may_continue(now) {
            self.begin_comparison(now);
        }
    }

    /// Asks for the page behind the last one that came.
    fn request_page(&mut self, now: Timestamp, peer: &Recipient) {
        let after = self.anti_entropy.page_cursor.clone();
        self.send(now, peer, Body::PageRequest { after }, Vec::new());
    }

    /// Gives a part of the table out. Suspects are left out: gossip tells of them.
    pub(super) fn send_page(&mut self, now: Timestamp, to: &Record, after: Option<&Name>) {
        let mut part = TablePart::new();
        let mut next = None;
        let entries = self.table.confirmed_after(after);
        for record in entries.filter_map(|entry| entry.settled_record()) {
            if !part.try_push(record) {
                next = part.records.last().map(|record| record.name.clone());
                break;
            }
        }
        let recipient = Recipient::unnamed(to.address);
        self.send(now, &recipient, Body::Page { next }, part.records);
    }

    /// A page came: the next one is asked for at once; with traffic limits it waits for the next exchange.
    pub(super) fn request_next_page(&mut self, now: Timestamp, from: &Record, next: Option<Name>) {
        let has_more = next.is_some();
        self.anti_entropy.page_cursor = next;
        let may_follow = has_more && !self.has_traffic_limits();
        if may_follow && self.anti_entropy.may_request_page(now) {
            self.request_page(now, &Recipient::of(from));
        }
    }

    /// Pays for an exchange in advance. False: the budget is used up.
    pub(super) fn try_reserve_exchange(
        &mut self,
        now: Timestamp,
        reservation: Reservation,
    ) -> bool {
        let is_reserved = self.anti_entropy.try_reserve(now, reservation);
        if !is_reserved {
            self.metrics.limited_exchange += 1;
        }
        is_reserved
    }

    /// The last datagram out was paid for in advance: what it did not take comes back.
    pub(super) fn settle_reservation(&mut self, reservation: Reservation) {
        if let Some(datagram) = self.datagrams.last() {
            self.anti_entropy.settle(reservation, datagram.bytes.len());
        }
    }
}
