//! The state of anti-entropy, the periodic exchange of the member table with other nodes.
//!
//! Without traffic limits, a node requests whole tables page by page. With traffic limits, it
//! compares tables: by bucket digests if they differ little, and by record fingerprints if they
//! differ much. If comparisons stay unanswered, it also requests pages now and then, because nodes
//! of older versions do not support comparisons.

use std::net::SocketAddr;

use admission::interface::Timestamp;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::member::Name;
use crate::message::Nonce;
use crate::rate_limiter::{ByteBudget, RateLimiter};
use crate::table_digest::{BUCKETS, BucketDigest, BucketRange, Fingerprint, MAX_FINGERPRINTS};
use crate::traffic_limits::TrafficLimits;

/// The capacity of the byte budget, in bytes. It nearly covers the comparisons that a new node
/// needs to learn a table of about 1,900 nodes.
const BUDGET_CAPACITY_BYTES: f64 = 16_000.0;
/// The number of bytes reserved for a response: the maximum size of one page or of one answer to a
/// comparison.
const RESPONSE_BYTES: f64 = 1_100.0;
/// The number of bytes reserved for a request: the maximum size of one comparison.
const REQUEST_BYTES: f64 = 500.0;
/// The number of available bytes above which the next comparison immediately follows an answer.
const MIN_BYTES_TO_CONTINUE: f64 = 4.0 * RESPONSE_BYTES;
/// The maximum number of page requests per second. It keeps table exchanges from dominating the
/// traffic of a fleet whose views differ.
const PAGE_REQUESTS_PER_S: f64 = 4.0;
/// The number of unanswered comparisons after which every other exchange requests pages instead,
/// because older versions do not support comparisons.
const MAX_UNANSWERED_COMPARISONS: u32 = 3;
/// How often a range is compared before the cursor moves on. Two answers are needed, because a
/// difference takes effect only once two nodes vouch for it.
const COMPARISONS_PER_RANGE: u32 = 2;

/// The comparison that is waiting for an answer.
#[derive(Clone, Debug)]
struct PendingRequest {
    nonce: Nonce,
    peer: SocketAddr,
    content: RequestContent,
}

/// The contents of a comparison.
#[derive(Clone, Debug)]
enum RequestContent {
    Digests(DigestRequest),
    Fingerprints(FingerprintRequest),
}

/// The digests that were sent in a request.
#[derive(Clone, Debug)]
pub(crate) struct DigestRequest {
    pub(crate) range: BucketRange,
    pub(crate) digests: Vec<BucketDigest>,
}

/// The fingerprints that were sent in a request, in ascending order.
#[derive(Clone, Debug)]
pub(crate) struct FingerprintRequest {
    pub(crate) fingerprints: Vec<Fingerprint>,
}

impl FingerprintRequest {
    /// Returns the end of the requested range, inclusive: the last fingerprint if the list is full,
    /// or else the highest possible one.
    pub(crate) fn end(&self) -> Fingerprint {
        let is_full = self.fingerprints.len() >= MAX_FINGERPRINTS;
        match self.fingerprints.last() {
            Some(last) if is_full => *last,
            _ => Fingerprint::MAX,
        }
    }

    /// Returns whether a fingerprint was listed and its bit is set in the answer.
    pub(crate) fn is_held(&self, fingerprint: Fingerprint, held: u64) -> bool {
        self.fingerprints
            .binary_search(&fingerprint)
            .is_ok_and(|index| held >> index & 1 == 1)
    }
}

/// The kind of message that begins an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeKind {
    Page,
    Digests,
    Fingerprints,
}

/// The kind of datagram that bytes are reserved for before its size is known.
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

/// The range of buckets that is being compared.
#[derive(Clone, Copy, Debug, Default)]
struct DigestCursor {
    /// The first bucket of the range, or `None` to start at a random bucket.
    first: Option<usize>,
    comparisons: u32,
}

impl DigestCursor {
    fn advance(&mut self, next: usize, is_equal: bool) {
        self.comparisons += 1;
        if is_equal || self.comparisons >= COMPARISONS_PER_RANGE {
            self.first = Some(next);
            self.comparisons = 0;
        }
    }
}

/// The range of fingerprints that is being compared.
#[derive(Clone, Copy, Debug, Default)]
struct FingerprintCursor {
    /// The start of the range, or `None` to start at a random fingerprint.
    from: Option<Fingerprint>,
    responses: u32,
}

impl FingerprintCursor {
    fn advance(&mut self, until: Fingerprint) {
        self.responses += 1;
        if self.responses >= COMPARISONS_PER_RANGE {
            self.responses = 0;
            self.from = Some(until.next());
        }
    }
}

/// The state of a node's table exchanges.
#[derive(Clone, Debug)]
pub(crate) struct AntiEntropy {
    /// When the next exchange is due.
    pub(crate) next_exchange: Timestamp,
    /// The name after which the next page starts, or `None` for the first page.
    pub(crate) page_cursor: Option<Name>,
    page_requests: RateLimiter,
    budget: ByteBudget,
    is_limited: bool,
    pending: Option<PendingRequest>,
    digest_cursor: DigestCursor,
    fingerprint_cursor: FingerprintCursor,
    /// Whether tables recently differed so little that digests need fewer bytes than fingerprints.
    tables_differ_little: bool,
    unanswered_requests: u32,
    exchanges: u32,
}

impl AntiEntropy {
    /// Creates the initial state. The first exchange is due at `first`, and `limits` bounds the
    /// bytes of all exchanges.
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
            unanswered_requests: 0,
            exchanges: 0,
        }
    }

    /// Replaces the traffic limits.
    pub(crate) fn set_limits(&mut self, limits: Option<&TrafficLimits>) {
        self.budget = budget(limits);
        self.is_limited = limits.is_some();
    }

    /// Returns whether the rate limit allows another page request, and counts it.
    pub(crate) fn may_request_page(&mut self, now: Timestamp) -> bool {
        self.page_requests.try_take(now)
    }

    /// Reserves the bytes of a request or a response. Returns false if the budget is exhausted.
    pub(crate) fn try_reserve(&mut self, now: Timestamp, reservation: Reservation) -> bool {
        self.is_exempt(reservation) || self.budget.try_spend(now, reservation.bytes())
    }

    /// Returns whether this kind of datagram is exempt from the budget. Without traffic limits,
    /// responses are.
    fn is_exempt(&self, reservation: Reservation) -> bool {
        reservation == Reservation::Response && !self.is_limited
    }

    /// Replaces a reservation by the actual size of the datagram, so that unused bytes return to
    /// the budget.
    pub(crate) fn settle(&mut self, reservation: Reservation, bytes: usize) {
        if !self.is_exempt(reservation) {
            self.budget.spend(bytes as f64 - reservation.bytes());
        }
    }

    /// Returns whether enough bytes are available for the next comparison to follow immediately.
    pub(crate) fn may_continue(&mut self, now: Timestamp) -> bool {
        self.budget.available(now) >= MIN_BYTES_TO_CONTINUE
    }

    /// Returns the address that the pending request was sent to, or `None` if no request is
    /// pending.
    pub(crate) fn pending_peer(&self) -> Option<SocketAddr> {
        self.pending.as_ref().map(|pending| pending.peer)
    }

    /// Begins an exchange and returns its kind. A pending request counts as unanswered.
    pub(crate) fn begin(&mut self) -> ExchangeKind {
        if self.pending.take().is_some() {
            self.unanswered_requests += 1;
        }
        self.exchanges = self.exchanges.wrapping_add(1);
        let is_page_turn = self.exchanges.is_multiple_of(2);
        if self.unanswered_requests >= MAX_UNANSWERED_COMPARISONS && is_page_turn {
            ExchangeKind::Page
        } else if self.tables_differ_little {
            ExchangeKind::Digests
        } else {
            ExchangeKind::Fingerprints
        }
    }

    /// Returns the buckets to compare next.
    pub(crate) fn next_buckets(&mut self, rng: &mut Pcg64Mcg) -> BucketRange {
        let first = self
            .digest_cursor
            .first
            .unwrap_or_else(|| rng.random_range(0..BUCKETS));
        self.digest_cursor.first = Some(first);
        BucketRange::of_request(first)
    }

    /// Returns the fingerprint at which the next list starts.
    pub(crate) fn next_fingerprint(&mut self, rng: &mut Pcg64Mcg) -> Fingerprint {
        let from = self
            .fingerprint_cursor
            .from
            .unwrap_or_else(|| Fingerprint(rng.random()));
        self.fingerprint_cursor.from = Some(from);
        from
    }

    /// Records that a digest request was sent to a peer.
    pub(crate) fn digests_sent(&mut self, nonce: Nonce, peer: SocketAddr, request: DigestRequest) {
        self.pending = Some(PendingRequest {
            nonce,
            peer,
            content: RequestContent::Digests(request),
        });
    }

    /// Records that a fingerprint request was sent to a peer.
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

    /// Removes and returns the digest request that a response answers, or `None` if the response
    /// answers no pending request.
    pub(crate) fn take_digest_request(
        &mut self,
        nonce: Nonce,
        peer: SocketAddr,
    ) -> Option<DigestRequest> {
        let is_digests =
            |pending: &mut PendingRequest| matches!(pending.content, RequestContent::Digests(_));
        let pending = self.pending.take_if(is_digests)?;
        match self.match_response(pending, nonce, peer)? {
            RequestContent::Digests(request) => Some(request),
            RequestContent::Fingerprints(_) => None,
        }
    }

    /// Removes and returns the fingerprint request that a response answers, or `None` if the
    /// response answers no pending request.
    pub(crate) fn take_fingerprint_request(
        &mut self,
        nonce: Nonce,
        peer: SocketAddr,
    ) -> Option<FingerprintRequest> {
        let is_fingerprints = |pending: &mut PendingRequest| {
            matches!(pending.content, RequestContent::Fingerprints(_))
        };
        let pending = self.pending.take_if(is_fingerprints)?;
        match self.match_response(pending, nonce, peer)? {
            RequestContent::Fingerprints(request) => Some(request),
            RequestContent::Digests(_) => None,
        }
    }

    /// Returns the contents of the request if nonce and peer match, and resets the count of
    /// unanswered requests, because the answer shows that comparisons are supported.
    fn match_response(
        &mut self,
        pending: PendingRequest,
        nonce: Nonce,
        peer: SocketAddr,
    ) -> Option<RequestContent> {
        if pending.nonce != nonce || pending.peer != peer {
            return None;
        }
        self.unanswered_requests = 0;
        Some(pending.content)
    }

    /// Records the result of comparing a range of buckets. `next` is the first bucket after the
    /// range.
    pub(crate) fn buckets_compared(&mut self, next: usize, is_equal: bool) {
        self.digest_cursor.advance(next, is_equal);
    }

    /// Records that a peer answered for all fingerprints up to `until`, inclusive.
    pub(crate) fn fingerprints_compared(&mut self, until: Fingerprint) {
        self.fingerprint_cursor.advance(until);
    }

    /// Sets whether tables recently differed little.
    pub(crate) fn set_tables_differ_little(&mut self, differ_little: bool) {
        self.tables_differ_little = differ_little;
    }
}

fn budget(limits: Option<&TrafficLimits>) -> ByteBudget {
    let limits = limits.cloned().unwrap_or_default();
    ByteBudget::new(limits.exchange_bytes_per_s, BUDGET_CAPACITY_BYTES)
}
