//! Gateways with clocks of their own between faults: the very code, in simulated time. After every step the sum of what
//! all may spend is looked at, those that stand still among them.
#![allow(dead_code)]

use admission::interface::{TimeDelta, Timestamp};
use membership::{BootId, Name};
use quota::{Amount, Budget, Core, Faults, Terms, Use, Who};

/// Far beyond what clocks do, so that what drift undoes is undone within a search.
pub const DRIFT_PPM: i64 = 100_000;

pub fn name(at: usize) -> Name {
    Name::new(&format!("g{at:02}")).unwrap()
}

pub fn terms(most: usize, voters: usize, faults: Faults) -> Terms {
    let budget = |of: Use, whole: f64| Budget {
        of,
        whole: Amount::of(whole),
        floor: Amount::of(whole * 0.2 / most as f64),
    };
    let terms = Terms {
        budgets: vec![
            budget(Use::Relays("scan".into()), 30.0),
            budget(Use::Member("water".into()), 12.0),
        ],
        voters: (0..voters).map(name).collect(),
        most,
        lease: TimeDelta::from_secs(6.0),
        term: TimeDelta::from_secs(2.0),
        renew: TimeDelta::from_secs(0.5),
        drift_ppm: DRIFT_PPM as u32,
        burst: TimeDelta::from_secs(2.0),
        faults,
    };
    terms.check().unwrap();
    terms
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Slot {
    pub core: Option<Core>,
    /// Millionths by which its clock runs fast.
    pub fast_ppm: i64,
    pub stopped: bool,
    /// What its clock was set by, where it is one that can be set.
    pub set_by_us: i64,
    pub life: u64,
    /// Wanted beyond the floor, of each budget.
    pub needs: Vec<Amount>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Flying {
    /// Of real time, in microseconds.
    arrives: i64,
    number: u64,
    from: Who,
    to: Name,
    bytes: Vec<u8>,
}

/// How words between two fare.
#[derive(Clone, Copy, Debug, Default)]
pub struct Way {
    pub lost: bool,
    pub delay_s: f64,
    pub again_after_s: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub now_us: i64,
    pub slots: Vec<Slot>,
    flying: Vec<Flying>,
    next: u64,
    pub terms: Terms,
    /// The largest sum, against the whole, in millionths.
    pub worst_ppm: u64,
    /// Stewards at one instant at most, those that stand still among them.
    pub most_stewards: usize,
}

impl World {
    pub fn new(count: usize, terms: Terms, fast_ppm: impl Fn(usize) -> i64) -> World {
        let needs = vec![Amount::of(5.0); terms.budgets.len()];
        let slot = |at| Slot {
            core: None,
            fast_ppm: fast_ppm(at),
            stopped: false,
            set_by_us: 0,
            life: 0,
            needs: needs.clone(),
        };
        let slots = (0..count).map(slot).collect();
        World {
            now_us: 0,
            slots,
            flying: Vec::new(),
            next: 0,
            terms,
            worst_ppm: 0,
            most_stewards: 0,
        }
    }

    pub fn now(&self) -> f64 {
        self.now_us as f64 / 1e6
    }

    /// Its own steady clock.
    pub fn clock(&self, at: usize) -> Timestamp {
        let fast = 1.0 + self.slots[at].fast_ppm as f64 / 1e6;
        let set = if self.terms.faults.wall_clock {
            self.slots[at].set_by_us as f64 / 1e6
        } else {
            0.0
        };
        Timestamp::from_secs(1000.0 + 1000.0 * at as f64 + self.now() * fast + set)
    }

    pub fn start(&mut self, at: usize) {
        let now = self.clock(at);
        let slot = &mut self.slots[at];
        slot.life += 1;
        let me = Who {
            name: name(at),
            life: BootId(slot.life * 100 + at as u64),
        };
        slot.core = Some(Core::new(
            now,
            me,
            self.terms.clone(),
            at as u64 * 7919 + slot.life,
        ));
        slot.stopped = false;
    }

    pub fn start_all(&mut self) {
        (0..self.slots.len()).for_each(|at| self.start(at));
    }

    pub fn kill(&mut self, at: usize) {
        self.slots[at].core = None;
    }

    pub fn leave(&mut self, at: usize, way: &mut impl FnMut(usize, usize) -> Way) {
        let now = self.clock(at);
        if let Some(core) = &mut self.slots[at].core {
            core.leave(now);
        }
        self.pump(at, way);
        self.kill(at);
    }

    pub fn change(&mut self, at: usize, terms: Terms) {
        let now = self.clock(at);
        if let Some(core) = &mut self.slots[at].core {
            core.change(now, terms);
        }
    }

    fn pump(&mut self, at: usize, way: &mut impl FnMut(usize, usize) -> Way) {
        let Some(core) = &mut self.slots[at].core else {
            return;
        };
        let from = core.me().clone();
        for letter in core.take_out() {
            let Some(to) = (0..self.slots.len()).find(|to| name(*to) == letter.to) else {
                continue;
            };
            let way = way(at, to);
            let mut delays = vec![way.delay_s];
            delays.extend(way.again_after_s.map(|later| way.delay_s + later));
            if way.lost {
                delays.remove(0);
            }
            for delay in delays {
                self.next += 1;
                let arrives = self.now_us + (delay * 1e6) as i64;
                let bytes = letter.word.bytes();
                let to = letter.to.clone();
                self.flying.push(Flying {
                    arrives,
                    number: self.next,
                    from: from.clone(),
                    to,
                    bytes,
                });
            }
        }
        core_events(self.slots[at].core.as_mut());
    }

    /// One step of time. What comes for one that stands still waits for it.
    pub fn step(&mut self, step_s: f64, way: &mut impl FnMut(usize, usize) -> Way) {
        self.now_us += (step_s * 1e6) as i64;
        loop {
            let due = |flying: &&Flying| {
                let to = self
                    .slots
                    .iter()
                    .enumerate()
                    .find(|(at, _)| name(*at) == flying.to);
                flying.arrives <= self.now_us && to.is_some_and(|(_, slot)| !slot.stopped)
            };
            let first = self
                .flying
                .iter()
                .filter(due)
                .min_by_key(|flying| (flying.arrives, flying.number));
            let Some(number) = first.map(|flying| flying.number) else {
                break;
            };
            let at = self
                .flying
                .iter()
                .position(|flying| flying.number == number)
                .unwrap();
            let flying = self.flying.remove(at);
            let to = (0..self.slots.len())
                .find(|to| name(*to) == flying.to)
                .unwrap();
            let now = self.clock(to);
            if let Some(core) = &mut self.slots[to].core
                && let Ok(word) = quota::word::Word::read(&flying.bytes)
            {
                let _ = core.receive(now, &flying.from, word);
                self.pump(to, way);
                self.check();
            }
        }
        for at in 0..self.slots.len() {
            let now = self.clock(at);
            let slot = &mut self.slots[at];
            let Some(core) = slot.core.as_mut().filter(|_| !slot.stopped) else {
                continue;
            };
            for (of, need) in slot.needs.iter().enumerate() {
                core.needs(of, *need);
            }
            if core.due() <= now {
                core.turn(now);
                self.pump(at, way);
            }
            self.check();
        }
        // Nothing waits for ever for one that is gone.
        let now = self.now_us;
        self.flying
            .retain(|flying| flying.arrives > now - 30_000_000);
    }

    pub fn run(&mut self, lasts_s: f64, step_s: f64, way: &mut impl FnMut(usize, usize) -> Way) {
        let until = self.now_us + (lasts_s * 1e6) as i64;
        while self.now_us < until {
            self.step(step_s, way);
        }
    }

    /// What all that exist may spend of a budget, each by its own clock as it would look at it now.
    pub fn sum(&self, at: usize) -> Amount {
        let of = |(slot, of): (usize, &Slot)| {
            of.core
                .as_ref()
                .map_or(Amount::ZERO, |core| core.may_spend(self.clock(slot), at))
        };
        self.slots.iter().enumerate().map(of).sum()
    }

    pub fn check(&mut self) {
        self.most_stewards = self.most_stewards.max(self.stewards().len());
        for at in 0..self.terms.budgets.len() {
            let (sum, whole) = (self.sum(at).0, self.terms.budgets[at].whole.0);
            self.worst_ppm = self.worst_ppm.max(sum * 1_000_000 / whole);
        }
    }

    pub fn lives(&self) -> impl Iterator<Item = usize> {
        (0..self.slots.len()).filter(|at| self.slots[*at].core.is_some())
    }

    /// What is out of what can be, with these alive: their floors and all that is leased.
    pub fn out(&self, at: usize) -> f64 {
        let budget = &self.terms.budgets[at];
        let dead = self.terms.most - self.lives().count();
        self.sum(at).0 as f64 / budget.whole.less(budget.floor.times(dead)).0 as f64
    }

    pub fn stewards(&self) -> Vec<usize> {
        let is = |at: &usize| {
            self.slots[*at]
                .core
                .as_ref()
                .is_some_and(|core| core.is_steward(self.clock(*at)))
        };
        (0..self.slots.len()).filter(is).collect()
    }
}

fn core_events(core: Option<&mut Core>) {
    core.into_iter().for_each(|core| drop(core.take_events()));
}

pub fn well(_: usize, _: usize) -> Way {
    Way {
        delay_s: 0.01,
        ..Way::default()
    }
}
