//! How far this gateway's view and the others' go together, by name, and what may be assumed while they do or don't.

use std::fmt;

use admission::interface::{TimeDelta, Timestamp};

use crate::terms::Terms;
use crate::who::Name;

#[derive(Clone, Debug, PartialEq)]
pub enum Standing {
    /// It never met anybody.
    Alone,
    /// Its view stands, and those it hears of are the same.
    Together,
    /// They differ, over these as far as it knows.
    Unsettled { over: Vec<Name> },
    /// It reaches fewer than the stated part of the fleet that last agreed.
    CutOff { settled: usize },
    /// It was cut off, and the views do not agree yet.
    Rejoining,
}

impl Standing {
    pub fn name(&self) -> &'static str {
        match self {
            Standing::Alone => "alone",
            Standing::Together => "together",
            Standing::Unsettled { .. } => "unsettled",
            Standing::CutOff { .. } => "cut off",
            Standing::Rejoining => "rejoining",
        }
    }
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Standing::Unsettled { over } if !over.is_empty() => {
                let names: Vec<&str> = over.iter().map(Name::as_str).collect();
                write!(f, "unsettled over {}", names.join(", "))
            }
            Standing::CutOff { settled } => write!(f, "cut off from a fleet of {settled}"),
            other => f.write_str(other.name()),
        }
    }
}

/// What follows from a standing, the one table that later parts ask.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assumed {
    /// The fleet may be as large as this: a part of what must not be exceeded is cut by it.
    pub at_most: usize,
    /// It may be as small as this: what must not be starved counts on no more.
    pub at_least: usize,
    /// Whether what others say of engines counts.
    pub engine_news: bool,
    /// This gateway may take part in what the fleet decides together.
    pub may_agree: bool,
}

/// What a view comes to, seen by the standing.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// In the fleet, this gateway among them; of these, suspected.
    pub size: usize,
    pub suspected: Vec<Name>,
    /// Gossip of more that are not in it yet.
    pub candidates: usize,
    /// Of the views heard lately, those that are the same and those that are not.
    pub same: usize,
    pub other: usize,
    /// Since when its own view has not changed.
    pub still: Option<Timestamp>,
    pub met: bool,
}

#[derive(Clone, Debug)]
pub struct Standings {
    standing: Standing,
    since: Timestamp,
    /// Size of the fleet when it last agreed.
    settled: usize,
    /// Largest and least sizes since then.
    most: usize,
    least: usize,
    pub changes: u64,
}

impl Standings {
    pub fn new(now: Timestamp) -> Self {
        Standings {
            standing: Standing::Alone,
            since: now,
            settled: 1,
            most: 1,
            least: 1,
            changes: 0,
        }
    }

    pub fn standing(&self) -> &Standing {
        &self.standing
    }

    pub fn since(&self) -> Timestamp {
        self.since
    }

    /// Looks anew. True: it changed.
    pub fn look(&mut self, now: Timestamp, seen: &Seen, terms: &Terms) -> bool {
        self.most = self.most.max(seen.size + seen.candidates);
        self.least = self.least.min(seen.size);
        let quiet = TimeDelta::from_secs(terms.period.secs() * 3.0);
        let still = seen.still.is_some_and(|since| now - since >= quiet);
        // Alone with nobody left to differ from, a view agrees with itself.
        let agree = still
            && seen.other == 0
            && (seen.same > 0 || seen.size == 1)
            && seen.suspected.is_empty();
        let few = (seen.size as f64) < self.settled as f64 * terms.cut_off_below;
        let accepted =
            matches!(self.standing, Standing::CutOff { .. }) && now - self.since >= terms.accept;
        let next = if !seen.met {
            Standing::Alone
        } else if few && !accepted {
            Standing::CutOff {
                settled: self.settled,
            }
        } else if agree {
            Standing::Together
        } else if matches!(self.standing, Standing::CutOff { .. } | Standing::Rejoining) {
            Standing::Rejoining
        } else {
            Standing::Unsettled {
                over: seen.suspected.clone(),
            }
        };
        let same = self.standing.name() == next.name();
        let held = now - self.since < terms.hold && !matches!(next, Standing::CutOff { .. });
        if same || held && !matches!(self.standing, Standing::Alone) {
            if same {
                self.standing = next;
            }
            if matches!(self.standing, Standing::Together) && same {
                self.settle(seen.size);
            }
            return false;
        }
        if matches!(next, Standing::Together) || accepted {
            self.settle(seen.size);
        }
        (self.standing, self.since) = (next, now);
        self.changes += 1;
        true
    }

    fn settle(&mut self, size: usize) {
        (self.settled, self.most, self.least) = (size, size, size);
    }

    /// The table. Each reading is the safe one of its use: cut by the larger fleet, what must not be exceeded is not;
    /// counted on from the smaller, what must not be starved is not.
    pub fn assumed(&self, size: usize) -> Assumed {
        let (most, least) = (
            self.most.max(self.settled).max(size),
            self.least.min(self.settled).min(size),
        );
        match self.standing {
            Standing::Alone => Assumed {
                at_most: most,
                at_least: 1,
                engine_news: false,
                may_agree: false,
            },
            Standing::Together => Assumed {
                at_most: size,
                at_least: size,
                engine_news: true,
                may_agree: true,
            },
            Standing::Unsettled { .. } => Assumed {
                at_most: most,
                at_least: least,
                engine_news: true,
                may_agree: true,
            },
            // Those it reaches may be cut off from the same engines: their word on these says nothing for the rest.
            Standing::CutOff { .. } => Assumed {
                at_most: most,
                at_least: least,
                engine_news: false,
                may_agree: false,
            },
            Standing::Rejoining => Assumed {
                at_most: most,
                at_least: least,
                engine_news: true,
                may_agree: false,
            },
        }
    }
}
