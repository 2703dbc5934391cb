//! An emulated engine with processor sharing: all running attempts share its cores and memory.

use std::collections::BTreeMap;

use crate::scenario::Engines;

/// What an engine does with the attempts that it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Runs attempts and answers them.
    Healthy,
    /// Accepts attempts but runs none until it resumes.
    Paused,
    /// Accepts attempts but never answers them.
    Silent,
    /// Answers each attempt with an error.
    Failing,
    /// Refuses connections.
    Down,
}

/// An attempt that an engine runs.
#[derive(Clone, Copy, Debug)]
pub struct RunningAttempt {
    pub statement: u64,
    pub attempt: u16,
    /// CPU seconds that the attempt needs in all.
    pub cpu: f64,
    pub threads: f64,
    pub memory_mb: f64,
    /// When it was sent, in simulated seconds.
    pub sent: f64,
}

/// Tolerance of the crash threshold of a cold engine, so that a single heavy statement does not
/// exceed it.
const CRASH_TOLERANCE: f64 = 1.25;

/// An emulated engine. Times are in simulated seconds.
pub struct Engine {
    settings: Engines,
    pub state: State,
    /// When the engine last restarted. `None` if it has been running since before the simulation.
    pub started: Option<f64>,
    /// The factor by which a fault slows the engine down. 1 is full speed.
    pub slow: f64,
    /// Virtual time: the seconds that one thread has attempt so far. An attempt completes when this
    /// reaches its finish tag.
    virtual_time: f64,
    /// The simulated time of `virtual_time`.
    advanced_to: f64,
    threads: f64,
    memory_mb: f64,
    /// Running attempts by finish tag: the bits of the virtual finish time, which order like the
    /// time itself, and a sequence number that makes tags unique.
    attempts: BTreeMap<(u64, u64), RunningAttempt>,
    /// Finish tags by statement and attempt number.
    finish_tags: BTreeMap<(u64, u16), (u64, u64)>,
    next_sequence: u64,
    /// Send time and CPU seconds of the attempts sent within the last `tip_s`, while the engine is
    /// cold.
    sent: Vec<(f64, f64)>,
    /// CPU seconds spent so far.
    pub cpu_done: f64,
    /// How often it crashed because it was sent too much work while cold.
    pub crashes: u32,
    /// Incremented by each change of the running attempts or of the state; events scheduled before
    /// it are obsolete.
    pub generation: u64,
}

impl Engine {
    pub fn new(settings: Engines) -> Self {
        Engine {
            settings,
            state: State::Healthy,
            started: None,
            slow: 1.0,
            virtual_time: 0.0,
            advanced_to: 0.0,
            threads: 0.0,
            memory_mb: 0.0,
            attempts: BTreeMap::new(),
            finish_tags: BTreeMap::new(),
            next_sequence: 0,
            sent: Vec::new(),
            cpu_done: 0.0,
            crashes: 0,
            generation: 0,
        }
    }

    /// The fraction of its full speed that the engine has reached while it warms up.
    pub fn warm_fraction(&self, now: f64) -> f64 {
        let age = self.started.map_or(f64::INFINITY, |started| {
            (now - started) / self.settings.cold_s
        });
        if age >= 1.0 {
            1.0
        } else {
            self.settings.cold_share + (1.0 - self.settings.cold_share) * age.max(0.0)
        }
    }

    /// Virtual seconds per simulated second, that is, the speed of each thread. 0 if nothing runs.
    fn speed(&self, now: f64) -> f64 {
        if self.state != State::Healthy || self.threads <= 0.0 {
            return 0.0;
        }
        let excess_threads =
            (self.threads / self.settings.cores - self.settings.threads_a_core).max(0.0);
        let memory_excess = (self.memory_mb / self.settings.memory_mb).max(1.0);
        let cores = self.settings.cores * self.warm_fraction(now)
            / self.slow
            / (1.0 + self.settings.crowd_loss * excess_threads)
            / memory_excess;
        (cores / self.threads).min(1.0 / self.slow)
    }

    /// Advances the running attempts to `now`.
    pub fn advance(&mut self, now: f64) {
        let elapsed = now - self.advanced_to;
        let speed = self.speed((self.advanced_to + now) / 2.0);
        self.virtual_time += speed * elapsed;
        self.cpu_done += speed * elapsed * self.threads;
        self.advanced_to = now;
    }

    /// When the next attempt completes if nothing changes. `None` if nothing runs. Limited to 0.1 s
    /// ahead while the engine warms up, because its speed changes.
    pub fn next(&self) -> Option<f64> {
        let speed = self.speed(self.advanced_to);
        let ((tag, _), _) = self.attempts.first_key_value().filter(|_| speed > 0.0)?;
        let left = (f64::from_bits(*tag) - self.virtual_time).max(0.0) / speed;
        let warming = self.warm_fraction(self.advanced_to) < 1.0;
        Some(self.advanced_to + if warming { left.min(0.1) } else { left })
    }

    /// Removes and returns the attempts that have completed by `now`.
    pub fn take_completed(&mut self, now: f64) -> Vec<RunningAttempt> {
        self.advance(now);
        let mut completed = Vec::new();
        while let Some(((tag, _), _)) = self.attempts.first_key_value()
            && self.state == State::Healthy
            && f64::from_bits(*tag) <= self.virtual_time + 1e-9
        {
            let (_, attempt) = self
                .attempts
                .pop_first()
                .expect("the first attempt was checked above");
            self.finish_tags
                .remove(&(attempt.statement, attempt.attempt));
            (self.threads, self.memory_mb) = (
                self.threads - attempt.threads,
                self.memory_mb - attempt.memory_mb,
            );
            completed.push(attempt);
        }
        if self.attempts.is_empty() {
            (self.threads, self.memory_mb) = (0.0, 0.0);
        }
        self.generation += u64::from(!completed.is_empty());
        completed
    }

    /// Starts an attempt. Returns true if this overloads a cold engine, which the caller then has
    /// to crash.
    pub fn start(&mut self, now: f64, attempt: RunningAttempt) -> bool {
        self.advance(now);
        self.generation += 1;
        let tag = (
            (self.virtual_time + attempt.cpu / attempt.threads).to_bits(),
            self.next_sequence,
        );
        self.next_sequence += 1;
        (self.threads, self.memory_mb) = (
            self.threads + attempt.threads,
            self.memory_mb + attempt.memory_mb,
        );
        self.finish_tags
            .insert((attempt.statement, attempt.attempt), tag);
        self.attempts.insert(tag, attempt);
        let warm_fraction = self.warm_fraction(now);
        if warm_fraction >= 1.0 {
            self.sent.clear();
            return false;
        }
        self.sent.retain(|(at, _)| now - at < self.settings.tip_s);
        self.sent.push((now, attempt.cpu));
        let sent: f64 = self.sent.iter().map(|(_, cpu)| cpu).sum();
        sent > self.settings.tip_multiple
            * warm_fraction
            * self.settings.cores
            * self.settings.tip_s
            * CRASH_TOLERANCE
    }

    /// The running attempt of this statement and number. `None` if it does not run here.
    pub fn running(&self, statement: u64, attempt: u16) -> Option<&RunningAttempt> {
        self.attempts
            .get(self.finish_tags.get(&(statement, attempt))?)
    }

    /// The completed fraction of a running attempt.
    pub fn progress(&self, attempt: &RunningAttempt) -> f64 {
        let tag = self
            .finish_tags
            .get(&(attempt.statement, attempt.attempt))
            .map_or(0, |tag| tag.0);
        1.0 - ((f64::from_bits(tag) - self.virtual_time) / (attempt.cpu / attempt.threads))
            .clamp(0.0, 1.0)
    }

    /// Removes and returns all running attempts.
    pub fn take_all(&mut self, now: f64) -> Vec<RunningAttempt> {
        self.advance(now);
        self.generation += 1;
        (self.threads, self.memory_mb) = (0.0, 0.0);
        self.finish_tags.clear();
        std::mem::take(&mut self.attempts).into_values().collect()
    }
}
