//! What a rate lets save up and spend. Used by the ledger and, ahead of the decisions, by the queues' accounts.

/// Fills at a rate up to what it may save. What is larger than all it may save goes when it is full, and leaves a debt.
/// Time is any clock in seconds that does not go back.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    rate: f64,
    /// Seconds of its rate that it saves at most.
    burst_s: f64,
    level: f64,
    at: f64,
}

impl Bucket {
    /// Of all that can be saved, as good as all.
    const FULL: f64 = 0.99;

    /// Nothing is saved yet: whoever starts with a burst has it from somebody else.
    pub fn empty(at: f64, rate: f64, burst_s: f64) -> Self {
        Bucket {
            rate,
            burst_s,
            level: 0.0,
            at,
        }
    }

    pub fn full(at: f64, rate: f64, burst_s: f64) -> Self {
        Bucket {
            level: rate * burst_s,
            ..Bucket::empty(at, rate, burst_s)
        }
    }

    pub fn rate(&self) -> f64 {
        self.rate
    }

    pub fn burst(&self) -> f64 {
        self.burst_s
    }

    pub fn most(&self) -> f64 {
        self.rate * self.burst_s
    }

    /// What is saved; negative: to be made up for first.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Until when it is filled.
    pub fn at(&self) -> f64 {
        self.at
    }

    pub fn fill(&mut self, at: f64) {
        let gone = (at - self.at).max(0.0);
        self.level = (self.level + self.rate * gone).min(self.most());
        self.at = self.at.max(at);
    }

    /// Whether this much is there: what is saved pays for it, or nothing more can be saved.
    pub fn owes(&self, amount: f64) -> bool {
        let most = self.most();
        most > 0.0 && self.level >= amount.min(most * Self::FULL)
    }

    /// Seconds until it is; none where nothing ever will be.
    pub fn owes_in(&self, amount: f64) -> Option<f64> {
        let lacks = (amount.min(self.most() * Self::FULL) - self.level).max(0.0);
        (self.rate > 0.0).then(|| lacks / self.rate)
    }

    pub fn pay(&mut self, amount: f64) {
        self.level = (self.level - amount).min(self.most());
    }

    /// Another rate from now on. What was saved is cut to what that may save, for whoever has the rest may save it anew; it
    /// does not grow with it, and debts stay. So no more is ever saved by all than the whole's burst. Cut in proportion,
    /// parts that move to and fro would lose a little of it each time.
    pub fn cut(&mut self, rate: f64) {
        self.rate = rate;
        self.level = self.level.min(self.most());
    }

    /// Another time to save: what is beyond it is lost.
    pub fn save_over(&mut self, burst_s: f64) {
        self.burst_s = burst_s;
        self.level = self.level.min(self.most());
    }

    /// Another rate and time to save, with the same part of it saved: new terms for the same whole.
    pub fn rescale(&mut self, rate: f64, burst_s: f64) {
        let kept = self.level / self.most().max(1e-9);
        (self.rate, self.burst_s) = (rate, burst_s);
        let most = self.most();
        self.level = if most > 0.0 {
            (kept * most).min(most)
        } else {
            most
        };
    }
}
