//! How fast waiting work leaves, and how far estimates made of it were off: what a told wait is made of.

use admission::interface::{TimeDelta, Timestamp};

/// CPU seconds released for each core second that something waited. By core, so that a capacity that goes or comes
/// back shows in the same turn, long before the releases themselves would tell.
#[derive(Clone, Debug)]
pub struct RateEstimator {
    released: f64,
    core_s: f64,
    at: Timestamp,
    waiting: bool,
}

impl RateEstimator {
    /// Older releases tell of other traffic; shorter, and single large statements would make it jump.
    const MEMORY_S: f64 = 2.0;
    /// Seconds of waiting that weigh as much as what is likely without them.
    const SOME_S: f64 = 0.3;

    pub fn new(now: Timestamp) -> Self {
        RateEstimator {
            released: 0.0,
            core_s: 0.0,
            at: now,
            waiting: false,
        }
    }

    pub fn advance(&mut self, now: Timestamp, cores: f64) {
        let gone = (now - self.at).secs().max(0.0);
        if gone == 0.0 {
            return;
        }
        self.at = now;
        // What nobody waited for tells nothing: the memory fades in times of waiting only, and slowly else.
        let fade = if self.waiting {
            Self::MEMORY_S
        } else {
            10.0 * Self::MEMORY_S
        };
        let keep = (-gone / fade).exp();
        (self.released, self.core_s) = (self.released * keep, self.core_s * keep);
        if self.waiting {
            self.core_s += cores * gone;
        }
    }

    /// Something waits from now on, or nothing more.
    pub fn waits(&mut self, now: Timestamp, cores: f64, waiting: bool) {
        self.advance(now, cores);
        self.waiting = waiting;
    }

    pub fn released(&mut self, now: Timestamp, cores: f64, cpu: f64) {
        self.advance(now, cores);
        self.released += cpu;
    }

    /// CPU seconds a second at this capacity. `else_rate`: what is likely while little was seen here; without it one
    /// large statement that waits for its room would read as a line that never moves.
    pub fn rate(&mut self, now: Timestamp, cores: f64, else_rate: f64) -> f64 {
        self.advance(now, cores);
        let (seen, some) = (self.core_s, Self::SOME_S * cores.max(1e-3));
        ((self.released + else_rate * Self::SOME_S) / (seen + some) * cores).max(0.0)
    }

    /// As `rate`, where enough was seen to tell.
    pub fn known(&mut self, now: Timestamp, cores: f64) -> Option<f64> {
        self.advance(now, cores);
        let known = self.core_s >= Self::SOME_S * cores.max(1e-3);
        known.then(|| self.released / self.core_s.max(1e-9) * cores)
    }
}

/// A fading histogram of positive figures in steps of a tenth; bounded, whatever it sees.
#[derive(Clone, Debug)]
pub struct DecayingHistogram {
    counts: Vec<f64>,
    all: f64,
}

impl DecayingHistogram {
    const STEP: f64 = 1.1;
    const LOWEST: f64 = 1e-3;
    const STEPS: usize = 145;
    /// So many figures are remembered, the older ones ever less.
    const MEMORY: f64 = 300.0;
    const ENOUGH: f64 = 12.0;

    pub fn new() -> Self {
        DecayingHistogram {
            counts: vec![0.0; Self::STEPS],
            all: 0.0,
        }
    }

    pub fn saw(&mut self, figure: f64) {
        let at = ((figure.max(Self::LOWEST) / Self::LOWEST).ln() / Self::STEP.ln()) as usize;
        // Growing increments in place of fading all counts; scaled down long before they overflow.
        let one = (self.all / Self::MEMORY).max(1.0);
        self.counts[at.min(Self::STEPS - 1)] += one;
        self.all += one;
        if self.all > 1e12 {
            self.counts.iter_mut().for_each(|count| *count /= 1e9);
            self.all /= 1e9;
        }
    }

    /// The figure that this part of those seen lies under; `None` until enough were seen.
    pub fn part(&self, part: f64) -> Option<f64> {
        if self.all < Self::ENOUGH {
            return None;
        }
        let (mut left, mut at) = (part.clamp(0.0, 1.0) * self.all, 0);
        while at + 1 < Self::STEPS && left >= self.counts[at] {
            left -= self.counts[at];
            at += 1;
        }
        let within = if self.counts[at] > 0.0 {
            (left / self.counts[at]).clamp(0.0, 1.0)
        } else {
            0.5
        };
        Some(Self::LOWEST * Self::STEP.powf(at as f64 + within))
    }
}

impl Default for DecayingHistogram {
    fn default() -> Self {
        Self::new()
    }
}

/// A wait as it can be told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitEstimate {
    /// As likely longer as shorter.
    pub median: TimeDelta,
    /// Nine of ten wait no longer.
    pub p90: TimeDelta,
}

/// How estimates of one query class turned out: their error is steady enough to be taken off the next.
#[derive(Clone, Debug, Default)]
pub struct WaitCalibration {
    /// Real waits over those estimated from the work ahead.
    ratio: DecayingHistogram,
    /// Real waits, in seconds, where nothing was ahead.
    alone: DecayingHistogram,
}

impl WaitCalibration {
    /// Under this no ratio is formed: it would tell of the clock's ticks.
    const SOME_S: f64 = 0.01;

    pub fn tell(&self, raw: f64) -> WaitEstimate {
        if raw < Self::SOME_S {
            let p90 = self
                .alone
                .part(0.9)
                .filter(|p90| *p90 > 2e-3)
                .unwrap_or(0.0);
            return WaitEstimate {
                median: TimeDelta::from_secs(raw),
                p90: TimeDelta::from_secs(p90.max(raw)),
            };
        }
        let (half, most) = (
            self.ratio.part(0.5).unwrap_or(1.0),
            self.ratio.part(0.9).unwrap_or(2.0),
        );
        let wait = raw * half.clamp(0.25, 4.0);
        WaitEstimate {
            median: TimeDelta::from_secs(wait),
            p90: TimeDelta::from_secs((raw * most.min(16.0)).max(wait)),
        }
    }

    pub fn was(&mut self, raw: f64, real: TimeDelta) {
        if raw < Self::SOME_S {
            self.alone.saw(real.secs());
        } else {
            self.ratio.saw(real.secs() / raw);
        }
    }
}
