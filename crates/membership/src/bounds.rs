//! Limits that keep the traffic of a large fleet flat, off unless set. See docs/notes/fleet.md.

use admission::interface::Timestamp;

/// What one gateway spends on others, at most.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Failed probes of one gateway in a row, after the first, before it is suspected.
    pub confirmations: usize,
    /// Of those that hear an update from too few witnesses, about so many verify it at once; the others wait.
    pub verifiers: usize,
    /// Direct probes begun in one period.
    pub direct_probes: usize,
    /// Bytes a second of gossip that messages carry.
    pub gossip_bytes_per_s: f64,
    /// Bytes a second sent to compare tables and to give out what differs, beyond the first `EXCHANGE_BURST_BYTES`.
    pub exchange_bytes_per_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            confirmations: 10,
            verifiers: 8,
            direct_probes: 8,
            gossip_bytes_per_s: 800.0,
            exchange_bytes_per_s: 900.0,
        }
    }
}

/// Updates that wait to be told at most; the one told most often makes room.
pub(crate) const UPDATES: usize = 128;
/// Gateways whose failed probe is being repeated, at most: of many that fail at once others repeat as well.
pub(crate) const CONFIRMING: usize = 2;
/// Seconds after its return for which what a gateway says of others' failures does not count as a witness: it was cut off from
/// them, and holds for dead whom it did not reach.
pub(crate) const RETURNED_S: f64 = 120.0;
/// Periods that those who do not verify at once wait for more witnesses: so many, and by chance up to as many again.
pub(crate) const VERIFY_LATER_PERIODS: f64 = 10.0;
/// Seconds of gossip that may be saved up.
pub(crate) const GOSSIP_BURST_S: f64 = 2.0;
/// Bytes of exchanges that a gateway may save up: a newcomer's comparisons with a table of some 1,900 gateways, nearly.
pub(crate) const EXCHANGE_BURST_BYTES: f64 = 16_000.0;
/// Bytes that one page, or one answer to a comparison, comes to at most.
pub(crate) const PAGE_BYTES: f64 = 1_100.0;
/// Bytes that one comparison comes to, by lists at the most.
pub(crate) const ASK_BYTES: f64 = 500.0;
/// Saved bytes above which the next comparison follows an answer at once.
pub(crate) const ASK_AGAIN_BYTES: f64 = 4.0 * PAGE_BYTES;
/// Direct probes a period of gateways that did not speak themselves, at most.
pub(crate) const HEARSAY_PROBES: usize = 2;
/// Candidates above which a table is asked for: fewer are left to gossip.
pub(crate) const CANDIDATES: usize = 8;
/// Periods in which an own view must not have changed before a differing one is taken for more than gossip under way.
pub(crate) const STILL_PERIODS: f64 = 3.0;
/// Seeds are asked this many times as rarely at most, after as many attempts without having met anybody.
pub(crate) const REJOIN_BACKOFF: u32 = 5;

/// Bytes that come back at a pace, up to a bound.
#[derive(Clone, Debug)]
pub(crate) struct ByteBudget {
    bytes_per_s: f64,
    burst_bytes: f64,
    left: f64,
    at: Option<Timestamp>,
}

impl ByteBudget {
    pub(crate) fn new(bytes_per_s: f64, burst_bytes: f64) -> Self {
        ByteBudget {
            bytes_per_s,
            burst_bytes,
            left: burst_bytes,
            at: None,
        }
    }

    /// What may be spent now.
    pub(crate) fn left(&mut self, now: Timestamp) -> f64 {
        let since = (now - self.at.replace(now).unwrap_or(now)).secs().max(0.0);
        self.left = (self.left + since * self.bytes_per_s).min(self.burst_bytes);
        self.left
    }

    pub(crate) fn spend(&mut self, bytes: f64) {
        self.left -= bytes;
    }
}

/// A gateway whose probe failed, and how often in a row.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Confirming {
    pub(crate) failures: usize,
    /// When it is probed again; `None` while that probe runs.
    pub(crate) due: Option<Timestamp>,
}
