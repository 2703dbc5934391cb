//! Anti-entropy: the schedule on which this node reconciles its member table with those of others,
//! and the exchange of whole pages of the table.

use admission::interface::{TimeDelta, Timestamp};

use super::Node;
use super::send::Recipient;
use crate::anti_entropy::{ExchangeKind, Reservation};
use crate::member::{Name, Record};
use crate::message::{self, Body, MAX_TABLE_PART_BYTES};
use crate::probe_round::sample_one;

/// Probe periods between page exchanges while all views agree.
const PAGE_PERIODS: f64 = 10.0;
/// Probe periods between page exchanges while views differ.
const DIFFERING_PAGE_PERIODS: f64 = 3.0;
/// Probe periods until the next page is requested while a table has been received only in part.
const NEXT_PAGE_PERIODS: f64 = 1.0;
/// Probe periods between table comparisons, if the byte budget permits them.
const COMPARISON_PERIODS: f64 = 1.0;
/// Number of candidates above which tables are compared. Fewer are left for gossip to resolve.
pub(super) const MAX_CANDIDATES: usize = 8;
/// Probe periods for which the local view must be unchanged before a differing view counts as a
/// real difference rather than as gossip that is still in flight.
const STABLE_PERIODS: f64 = 3.0;

/// Records of the table that one message carries, up to [`MAX_TABLE_PART_BYTES`].
pub(super) struct TablePart {
    pub(super) records: Vec<Record>,
    /// Bytes that are left for more records.
    remaining: usize,
}

impl TablePart {
    pub(super) fn new() -> Self {
        TablePart {
            records: Vec::new(),
            remaining: MAX_TABLE_PART_BYTES,
        }
    }

    /// Adds a record. Returns false if it does not fit.
    pub(super) fn try_push(&mut self, record: &Record) -> bool {
        let size = message::encoded_size(record);
        if size > self.remaining {
            return false;
        }
        self.remaining -= size;
        self.records.push(record.clone());
        true
    }

    /// Adds all the records. Returns false and adds none if they do not fit together.
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
    /// Starts an exchange with a random member, if one is due.
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

    /// Probe periods until the next page exchange.
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

    /// Whether to compare tables: there are many candidates, or views differ although gossip had
    /// time to spread, or most of the views heard differ from the local one.
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

    /// Compares tables with a random member other than the one whose response is still pending.
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

    /// Starts the next comparison at once, without waiting for the next period, if enough of the
    /// byte budget has accumulated.
    pub(super) fn continue_comparison(&mut self, now: Timestamp) {
        if self.anti_entropy.may_continue(now) {
            self.begin_comparison(now);
        }
    }

    /// Requests the page that follows the last one received.
    fn request_page(&mut self, now: Timestamp, peer: &Recipient) {
        let after = self.anti_entropy.page_cursor.clone();
        self.send(now, peer, Body::PageRequest { after }, Vec::new());
    }

    /// Sends a page of the table. Suspects are omitted, since gossip spreads them.
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

    /// Handles a received page. The next page is requested at once; with traffic limits, it is
    /// requested at a later exchange.
    pub(super) fn handle_page(&mut self, now: Timestamp, from: &Record, next: Option<Name>) {
        let has_more = next.is_some();
        self.anti_entropy.page_cursor = next;
        let requests_next = has_more && !self.has_traffic_limits();
        if requests_next && self.anti_entropy.may_request_page(now) {
            self.request_page(now, &Recipient::of(from));
        }
    }

    /// Reserves the bytes of an exchange in the byte budget. Returns false if the budget does not
    /// suffice.
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

    /// Corrects the reservation for the last queued datagram to its actual size.
    pub(super) fn settle_reservation(&mut self, reservation: Reservation) {
        if let Some(datagram) = self.datagrams.last() {
            self.anti_entropy.settle(reservation, datagram.bytes.len());
        }
    }
}
