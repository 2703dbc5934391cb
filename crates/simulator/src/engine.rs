//! One emulated engine: all it is sent shares its cores, memory and time at once.

use std::collections::BTreeMap;

use crate::scenario::Engines;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Well,
    Paused,
    Silent,
    Failing,
    /// Not there; connections are refused.
    Down,
}

/// An attempt that runs.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub statement: u64,
    pub attempt: u16,
    pub cpu: f64,
    pub threads: f64,
    pub memory_mb: f64,
    pub sent: f64,
}

/// Slack on what tips a cold engine: a single heavy statement is chance.
const CHANCE: f64 = 1.25;

pub struct Engine {
    of: Engines,
    pub state: State,
    pub started: Option<f64>,
    /// Times slower than it should be.
    pub slow: f64,
    /// Seconds that one thread has run since the start: a run ends when this reaches its mark.
    done: f64,
    at: f64,
    threads: f64,
    memory_mb: f64,
    /// By mark; the number makes marks unique.
    runs: BTreeMap<(u64, u64), Run>,
    marks: BTreeMap<(u64, u16), (u64, u64)>,
    next: u64,
    /// Work sent lately, for whether it tips: `tip_s` in slices of a tenth.
    sent: Vec<(f64, f64)>,
    pub cpu_done: f64,
    /// Moments it fell over: a broken rule.
    pub fell: u32,
    /// Of each change; an event of before it is void.
    pub turn: u64,
}

impl Engine {
    pub fn new(of: Engines) -> Self {
        Engine {
            of,
            state: State::Well,
            started: None,
            slow: 1.0,
            done: 0.0,
            at: 0.0,
            threads: 0.0,
            memory_mb: 0.0,
            runs: BTreeMap::new(),
            marks: BTreeMap::new(),
            next: 0,
            sent: Vec::new(),
            cpu_done: 0.0,
            fell: 0,
            turn: 0,
        }
    }

    /// Part of its work that it can do by now.
    pub fn warmth(&self, now: f64) -> f64 {
        let age = self
            .started
            .map_or(f64::INFINITY, |started| (now - started) / self.of.cold_s);
        if age >= 1.0 {
            1.0
        } else {
            self.of.cold_share + (1.0 - self.of.cold_share) * age.max(0.0)
        }
    }

    /// Seconds that each thread runs in a second.
    fn pace(&self, now: f64) -> f64 {
        if self.state != State::Well || self.threads <= 0.0 {
            return 0.0;
        }
        let crowd = (self.threads / self.of.cores - self.of.threads_a_core).max(0.0);
        let spill = (self.memory_mb / self.of.memory_mb).max(1.0);
        let cores = self.of.cores * self.warmth(now)
            / self.slow
            / (1.0 + self.of.crowd_loss * crowd)
            / spill;
        (cores / self.threads).min(1.0 / self.slow)
    }

    pub fn advance(&mut self, now: f64) {
        let gone = now - self.at;
        let pace = self.pace((self.at + now) / 2.0);
        self.done += pace * gone;
        self.cpu_done += pace * gone * self.threads;
        self.at = now;
    }

    /// When the next run ends if nothing changes. While it warms up it is looked at more often.
    pub fn next(&self) -> Option<f64> {
        let pace = self.pace(self.at);
        let ((mark, _), _) = self.runs.first_key_value().filter(|_| pace > 0.0)?;
        let left = (f64::from_bits(*mark) - self.done).max(0.0) / pace;
        let warming = self.warmth(self.at) < 1.0;
        Some(self.at + if warming { left.min(0.1) } else { left })
    }

    /// Takes runs that have ended by now.
    pub fn ended(&mut self, now: f64) -> Vec<Run> {
        self.advance(now);
        let mut ended = Vec::new();
        while let Some(((mark, _), _)) = self.runs.first_key_value()
            && self.state == State::Well
            && f64::from_bits(*mark) <= self.done + 1e-9
        {
            let (_, run) = self.runs.pop_first().expect("just seen");
            self.marks.remove(&(run.statement, run.attempt));
            (self.threads, self.memory_mb) =
                (self.threads - run.threads, self.memory_mb - run.memory_mb);
            ended.push(run);
        }
        if self.runs.is_empty() {
            (self.threads, self.memory_mb) = (0.0, 0.0);
        }
        self.turn += u64::from(!ended.is_empty());
        ended
    }

    /// Takes an attempt. True: it was cold, had too much, and falls over with all it has.
    pub fn take(&mut self, now: f64, run: Run) -> bool {
        self.advance(now);
        self.turn += 1;
        let mark = ((self.done + run.cpu / run.threads).to_bits(), self.next);
        self.next += 1;
        (self.threads, self.memory_mb) =
            (self.threads + run.threads, self.memory_mb + run.memory_mb);
        self.marks.insert((run.statement, run.attempt), mark);
        self.runs.insert(mark, run);
        let warmth = self.warmth(now);
        if warmth >= 1.0 {
            self.sent.clear();
            return false;
        }
        self.sent.retain(|(at, _)| now - at < self.of.tip_s);
        self.sent.push((now, run.cpu));
        let sent: f64 = self.sent.iter().map(|(_, cpu)| cpu).sum();
        sent > self.of.tip_multiple * warmth * self.of.cores * self.of.tip_s * CHANCE
    }

    pub fn runs(&self, statement: u64, attempt: u16) -> Option<&Run> {
        self.runs.get(self.marks.get(&(statement, attempt))?)
    }

    /// The part of a run that is done.
    pub fn share(&self, run: &Run) -> f64 {
        let mark = self
            .marks
            .get(&(run.statement, run.attempt))
            .map_or(0, |mark| mark.0);
        1.0 - ((f64::from_bits(mark) - self.done) / (run.cpu / run.threads)).clamp(0.0, 1.0)
    }

    /// Everything that runs, taken off it.
    pub fn drop_all(&mut self, now: f64) -> Vec<Run> {
        self.advance(now);
        self.turn += 1;
        (self.threads, self.memory_mb) = (0.0, 0.0);
        self.marks.clear();
        std::mem::take(&mut self.runs).into_values().collect()
    }
}
