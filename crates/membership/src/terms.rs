//! Paces and bounds, with their defaults.

use admission::interface::TimeDelta;

use crate::bounds::Bounds;

#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// One gateway is probed a period.
    pub period: TimeDelta,
    /// So long a probe waits before others are asked to probe in its place.
    pub answer: TimeDelta,
    /// Asked in its place.
    pub helpers: usize,
    /// Gateways that may lie together, or be wrong together: gossip counts from one more.
    pub liars: usize,
    /// Shortest time from suspicion to death in periods, for ten gateways; more for more, less the more say so.
    pub suspicion: f64,
    /// The longest, as a multiple of the shortest.
    pub patience: f64,
    /// Gateways in the table at most, whatever others claim.
    pub most: usize,
    /// What has gone leaves nothing behind after this.
    pub keep_gone: TimeDelta,
    /// Questions answered a second: of those in the fleet, and again as many of all others.
    pub answers_per_s: f64,
    /// Parts of the table given out a second.
    pub pages_per_s: f64,
    /// Messages a second that tell of engines.
    pub news_per_s: f64,
    /// Gateways of gossip looked at for oneself, a period.
    pub looks: usize,
    /// Fewer than this part of the last settled fleet: cut off.
    pub cut_off_below: f64,
    /// Cut off for so long, the smaller fleet is taken for the whole.
    pub accept: TimeDelta,
    /// Standings change no sooner, but to cut off.
    pub hold: TimeDelta,
    /// How long news of an engine counts.
    pub news_lasts: TimeDelta,
    /// Limits on what a large fleet sends; `None`: as it was without them.
    pub bounds: Option<Bounds>,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            period: TimeDelta::from_secs(1.0),
            answer: TimeDelta::from_secs(0.3),
            helpers: 3,
            liars: 1,
            suspicion: 3.0,
            patience: 4.0,
            most: 1024,
            keep_gone: TimeDelta::from_secs(300.0),
            answers_per_s: 50.0,
            pages_per_s: 20.0,
            news_per_s: 100.0,
            looks: 4,
            cut_off_below: 0.5,
            accept: TimeDelta::from_secs(120.0),
            hold: TimeDelta::from_secs(2.0),
            news_lasts: TimeDelta::from_secs(8.0),
            bounds: None,
        }
    }
}

impl Terms {
    /// Witnesses that gossip needs: with so many at least one does not lie.
    pub fn voices(&self) -> usize {
        self.liars + 1
    }
}

/// Tokens that come back at a pace; what is asked beyond them is not done.
#[derive(Clone, Debug)]
pub struct Paced {
    per_s: f64,
    left: f64,
    at: Option<admission::interface::Timestamp>,
}

impl Paced {
    pub fn new(per_s: f64) -> Self {
        Paced {
            per_s,
            left: per_s.max(1.0),
            at: None,
        }
    }

    pub fn take(&mut self, now: admission::interface::Timestamp) -> bool {
        let gone = (now - self.at.replace(now).unwrap_or(now)).secs().max(0.0);
        self.left = (self.left + gone * self.per_s).min(self.per_s.max(1.0));
        let there = self.left >= 1.0;
        self.left -= if there { 1.0 } else { 0.0 };
        there
    }
}
