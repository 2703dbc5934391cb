//! Where this node is in exchanging its table with others'.
//!
//! Without traffic limits whole tables are asked for by pages. With them tables are compared: by digests of buckets where
//! they differ by little, by fingerprints of records where they differ by much, and by pages now and then where the other
//! side knows no comparison.

use std::net::SocketAddr;

use admission::interface::Timestamp;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::member::Name;
use crate::message::Nonce;
use crate::rate_limiter::{ByteBudget, RateLimiter};
use crate::table_digest::{BUCKETS, BucketDigest, BucketRange, Fingerprint, MAX_FINGERPRINTS};
use crate::traffic_limits::TrafficLimits;

/// Bytes that a node may save up: nearly what a newcomer's comparisons with a table of some 1,900 nodes take.
const BURST_BYTES: f64 = 16_000.0;
/// Bytes that one page, or one answer to a comparison, comes to at most.
const RESPONSE_BYTES: f64 = 1_100.0;
/// Bytes that one comparison comes to at most.
const REQUEST_BYTES: f64 = 500.0;
/// Saved bytes above which the next comparison follows an answer at once.
const IMMEDIATE_REQUEST_BYTES: f64 = 4.0 * RESPONSE_BYTES;
/// Pages that are asked for a second: a fleet whose views differ must not talk of nothing else.
const PAGE_REQUESTS_PER_S: f64 = 4.0;
/// Comparisons without an answer after which every other exchange asks for pages: older versions know no comparison.
const UNANSWERED_BEFORE_PAGES: u32 = 3;
/// Comparisons of the same buckets, or hosts asked from one fingerprint on, before the next ones: what differs is vouched
/// for by two.
const REPEATS: u32 = 2;

/// The request that waits for an answer.
#[derive(Clone, Debug)]
struct PendingRequest {
    nonce: Nonce,
    peer: SocketAddr,
    content: RequestContent,
}

/// What was sent with a request.
#[derive(Clone, Debug)]
enum RequestContent {
    Digests(DigestRequest),
    Fingerprints(FingerprintRequest),
}

/// Digests that were sent.
#[derive(Clone, Debug)]
pub(crate) struct DigestRequest {
    pub(crate) range: BucketRange,
    pub(crate) digests: Vec<BucketDigest>,
}

/// Fingerprints that were sent, in their order.
#[derive(Clone, Debug)]
pub(crate) struct FingerprintRequest {
    pub(crate) fingerprints: Vec<Fingerprint>,
}

impl FingerprintRequest {
    /// Up to where it asks: its last fingerprint, or the end of all where it names fewer than it could.
    pub(crate) fn end(&self) -> Fingerprint {
        let is_full = self.fingerprints.len() >= MAX_FINGERPRINTS;
        match self.fingerprints.last() {
            Some(last) if is_full => *last,
            _ => Fingerprint::MAX,
        }
    }

    /// Whether a fingerprint was named and its bit is set in an answer.
    pub(crate) fn is_held(&self, fingerprint: Fingerprint, held: u64) -> bool {
        self.fingerprints
            .binary_search(&fingerprint)
            .is_ok_and(|index| held >> index & 1 == 1)
    }
}

/// What to send in an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeKind {
    Page,
    Digests,
    Fingerprints,
}

/// Bytes of an answer that were paid for in advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reservation {
    Request,
    Response,
}

impl Reservation {
    fn bytes(self) -> f64 {
        match self {
            Reservation::Request => REQUEST_BYTES,
            Reservation::Response => RESPONSE_BYTES,
        }
    }
}

/// The buckets that are compared now.
#[derive(Clone, Copy, Debug, Default)]
struct DigestCursor {
    /// The first of them; `None`: one by chance.
    first: Option<usize>,
    comparisons: u32,
}

impl DigestCursor {
    fn compared(&mut self, next: usize, is_equal: bool) {
        self.comparisons += 1;
        if is_equal || self.comparisons >= REPEATS {
            self.first = Some(next);
            self.comparisons = 0;
        }
    }
}

/// The fingerprint from which on records are listed now.
#[derive(Clone, Copy, Debug, Default)]
struct FingerprintCursor {
    /// `None`: one by chance.
    from: Option<Fingerprint>,
    hosts: u32,
}

impl FingerprintCursor {
    fn told_until(&mut self, until: Fingerprint) {
        self.hosts += 1;
        if self.hosts >= REPEATS {
            self.hosts = 0;
            self.from = Some(until.next());
        }
    }
}

/// Where this node is in exchanging its table with others'.
#[derive(Clone, Debug)]
pub(crate) struct AntiEntropy {
    /// When the next exchange is due.
    pub(crate) next_exchange: Timestamp,
    /// Behind whom the next page goes on.
    pub(crate) page_cursor: Option<Name>,
    page_requests: RateLimiter,
    budget: ByteBudget,
    is_limited: bool,
    pending: Option<PendingRequest>,
    digest_cursor: DigestCursor,
    fingerprint_cursor: FingerprintCursor,
    /// Tables lately differed by so little that digests tell it for fewer bytes than fingerprints.
    tables_differ_little: bool,
    unanswered: u32,
    exchanges: u32,
}

impl AntiEntropy {
    /// The first exchange is due then; with traffic limits its bytes are bounded.
    pub(crate) fn new(first: Timestamp, limits: Option<&TrafficLimits>) -> Self {
        AntiEntropy {
            next_exchange: first,
            page_cursor: None,
            page_requests: RateLimiter::new(PAGE_REQUESTS_PER_S),
            budget: budget(limits),
            is_limited: limits.is_some(),
            pending: None,
            digest_cursor: DigestCursor::default(),
            fingerprint_cursor: FingerprintCursor::default(),
            tables_differ_little: false,
            unanswered: 0,
            exchanges: 0,
        }
    }

    /// Other limits from now on.
    pub(crate) fn set_limits(&mut self, limits: Option<&TrafficLimits>) {
        self.budget = budget(limits);
        self.is_limited = limits.is_some();
    }

    /// Whether one more page may be asked for.
    pub(crate) fn may_request_page(&mut self, now: Timestamp) -> bool {
        self.page_requests.try_take(now)
    }

    /// Pays for a request or a response in advance. False: the budget is used up.
    pub(crate) fn try_reserve(&mut self, now: Timestamp, reservation: Reservation) -> bool {
        self.is_free(reservation) || self.budget.try_spend(now, reservation.bytes())
    }

    /// Without traffic limits answers are given whatever they take.
    fn is_free(&self, reservation: Reservation) -> bool {
        reservation == Reservation::Response && !self.is_limited
    }

    /// A datagram that was paid for took so many bytes: what it did not take comes back.
    pub(crate) fn settle(&mut self, reservation: Reservation, bytes: usize) {
        if !self.is_free(reservation) {
            self.budget.spend(bytes as f64 - reservation.bytes());
        }
    }

    /// Whether so many bytes are saved that the next comparison may follow at once.
    pub(crate) fn may_continue(&mut self, now: Timestamp) -> bool {
        self.budget.available(now) >= IMMEDIATE_REQUEST_BYTES
    }

    /// Whom the pending request went to.
    pub(crate) fn pending_peer(&self) -> Option<SocketAddr> {
        self.pending.as_ref().map(|pending| pending.peer)
    }

    /// Begins an exchange: the pending request, if any, stays unanswered.
    pub(crate) fn begin(&mut self) -> ExchangeKind {
        if self.pending.take().is_some() {
            self.unanswered += 1;
        }
        self.exchanges = self.exchanges.wrapping_add(1);
        let is_page_turn = self.exchanges.is_multiple_of(2);
        if self.unanswered >= UNANSWERED_BEFORE_PAGES && is_page_turn {
            ExchangeKind::Page
        } else if self.tables_differ_little {
            ExchangeKind::Digests
        } else {
            ExchangeKind::Fingerprints
        }
    }

    /// The buckets to compare now.
    pub(crate) fn next_buckets(&mut self, rng: &mut Pcg64Mcg) -> BucketRange {
        let first = self
            .digest_cursor
            .first
            .unwrap_or_else(|| rng.random_range(0..BUCKETS));
        self.digest_cursor.first = Some(first);
        BucketRange::of_request(first)
    }

    /// The fingerprint to list from now.
    pub(crate) fn next_fingerprint(&mut self, rng: &mut Pcg64Mcg) -> Fingerprint {
        let from = self
            .fingerprint_cursor
            .from
            .unwrap_or_else(|| Fingerprint(rng.random()));
        self.fingerprint_cursor.from = Some(from);
        from
    }

    /// Digests were sent.
    pub(crate) fn digests_sent(&mut self, nonce: Nonce, peer: SocketAddr, request: DigestRequest) {
        self.pending = Some(PendingRequest {
            nonce,
            peer,
            content: RequestContent::Digests(request),
        });
    }

    /// Fingerprints were sent.
    pub(crate) fn fingerprints_sent(
        &mut self,
        nonce: Nonce,
        peer: SocketAddr,
        request: FingerprintRequest,
    ) {
        self.pending = Some(PendingRequest {
            nonce,
            peer,
            content: RequestContent::Fingerprints(request),
        });
    }

    /// The digests that an answer is to; `None`: it answers nothing that waits.
    pub(crate) fn take_digest_request(
        &mut self,
        nonce: Nonce,
        peer: SocketAddr,
    ) -> Option<DigestRequest> {
        let is_digests =
            |pending: &mut PendingRequest| matches!(pending.content, RequestContent::Digests(_));
        let pending = self.pending.take_if(is_digests)?;
        match self.answered(pending, nonce, peer)? {
            RequestContent::Digests(request) => Some(request),
            RequestContent::Fingerprints(_) => None,
        }
    }

    /// The fingerprints that an answer is to; `None`: it answers nothing that waits.
    pub(crate) fn take_fingerprint_request(
        &mut self,
        nonce: Nonce,
        peer: SocketAddr,
    ) -> Option<FingerprintRequest> {
        let is_fingerprints = |pending: &mut PendingRequest| {
            matches!(pending.content, RequestContent::Fingerprints(_))
        };
        let pending = self.pending.take_if(is_fingerprints)?;
        match self.answered(pending, nonce, peer)? {
            RequestContent::Fingerprints(request) => Some(request),
            RequestContent::Digests(_) => None,
        }
    }

    /// The request's content, if the answer is to it: whoever gives it knows comparisons.
    fn answered(
        &mut self,
        pending: PendingRequest,
        nonce: Nonce,
        peer: SocketAddr,
    ) -> Option<RequestContent> {
        if pending.nonce != nonce || pending.peer != peer {
            return None;
        }
        self.unanswered = 0;
        Some(pending.content)
    }

    /// Buckets were compared; `next` is the first of those that follow.
    pub(crate) fn buckets_compared(&mut self, next: usize, is_equal: bool) {
        self.digest_cursor.compared(next, is_equal);
    }

    /// One host told all up to this fingerprint.
    pub(crate) fn fingerprints_compared(&mut self, until: Fingerprint) {
        self.fingerprint_cursor.told_until(until);
    }

    /// Whether tables lately differed by little.
    pub(crate) fn set_tables_differ_little(&mut self, differ_little: bool) {
        self.tables_differ_little = differ_little;
    }
}

fn budget(limits: Option<&TrafficLimits>) -> ByteBudget {
    let limits = limits.cloned().unwrap_or_default();
    ByteBudget::new(limits.exchange_bytes_per_s, BURST_BYTES)
}
