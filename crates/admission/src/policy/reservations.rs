//! What may run and runs at one engine; the same is kept once more for all engines together, since a small gateway's
//! share of one engine holds no whole statement.

use crate::interface::{Attempt, ClassId, TimeDelta, Timestamp};

use super::concurrency_limit::{ConcurrencyLimit, LatencyRatio, LimitRange, LimitSample};
use super::cpu_budget::{CpuBuckets, RefillRate, bucket_capacity};
use super::memory::MemoryReservation;
use super::priority::{LOWEST_PRIORITY, RunningThreads};

/// An attempt that was given up and may still run: it keeps what it reserved until its likely end.
#[derive(Clone)]
struct AbandonedAttempt {
    until: Timestamp,
    priority: u8,
    threads: f64,
    memory_mb: f64,
}

/// A completed attempt, as latency and budgets are corrected by it.
pub(super) struct Completion {
    pub(super) class: ClassId,
    /// What it was charged, in CPU seconds.
    pub(super) charged_s: f64,
    /// What it took, in CPU seconds.
    pub(super) cpu_s: f64,
    pub(super) latency: TimeDelta,
    pub(super) threads: f64,
}

/// The reservations of one engine, or the totals of all.
#[derive(Clone)]
pub(super) struct Reservations {
    /// This gateway's share of the cores.
    pub(super) cores: f64,
    pub(super) buckets: CpuBuckets,
    pub(super) limit: ConcurrencyLimit,
    pub(super) memory: MemoryReservation,
    pub(super) latency: LatencyRatio,
    running: RunningThreads,
    abandoned: Vec<AbandonedAttempt>,
}

impl Reservations {
    /// `memory_mb`: what of this gateway's share may be reserved.
    pub(super) fn new(now: Timestamp, cores: f64, memory_mb: f64, classes: usize) -> Self {
        Reservations {
            cores,
            buckets: CpuBuckets::new(now, classes),
            limit: ConcurrencyLimit::new(now, cores),
            memory: MemoryReservation::new(memory_mb),
            latency: LatencyRatio::default(),
            running: RunningThreads::default(),
            abandoned: Vec::new(),
        }
    }

    /// Takes over what still runs from those of the engine's earlier process.
    pub(super) fn take_over_running(&mut self, earlier: Reservations) {
        self.running = earlier.running;
        self.memory.reserved_mb = earlier.memory.reserved_mb;
        self.abandoned = earlier.abandoned;
    }

    /// Running threads as a statement of this priority meets them.
    pub(super) fn running_threads(&self, priority: u8) -> f64 {
        self.running.as_met_by(priority)
    }

    /// Capacity of the CPU bucket of a class of this share.
    pub(super) fn bucket_capacity(&self, share: f64) -> f64 {
        bucket_capacity(self.cores, share)
    }

    /// Refills the buckets. An engine in slow start has only `capacity_factor` of its capacity, and a slow one spends
    /// as much CPU over a longer time: its refill shrinks with its limit.
    pub(super) fn refill(
        &mut self,
        now: Timestamp,
        capacity_factor: f64,
        shares: impl Iterator<Item = f64>,
    ) {
        self.latency.decay(now);
        let limit_per_core = self.limit.threads() / self.cores.max(1e-9);
        let rate = RefillRate {
            cores: self.cores,
            speed: limit_per_core.min(1.0) * capacity_factor,
            capacity_factor,
        };
        self.buckets.refill(now, rate, shares);
    }

    /// Reserves for an attempt that is sent.
    pub(super) fn reserve(&mut self, priority: u8, threads: f64, memory_mb: f64) {
        self.running.add(priority, threads);
        self.memory.reserve(memory_mb);
    }

    /// Keeps what an attempt reserved until then.
    pub(super) fn release_at(&mut self, until: Timestamp, attempt: &Attempt) {
        self.abandoned.push(AbandonedAttempt {
            until,
            priority: attempt.priority,
            threads: attempt.threads,
            memory_mb: attempt.memory_mb,
        });
    }

    /// Releases what is not to be kept any longer.
    pub(super) fn release_due(&mut self, now: Timestamp) {
        let over = self
            .abandoned
            .extract_if(.., |attempt| attempt.until <= now);
        for attempt in over.collect::<Vec<_>>() {
            self.reserve(attempt.priority, -attempt.threads, -attempt.memory_mb);
        }
    }

    /// Corrects the bucket, the latency and the limit. `fleet`: the latency of all engines before this completion.
    pub(super) fn on_completion(
        &mut self,
        now: Timestamp,
        completion: &Completion,
        fleet: &LatencyRatio,
        range: LimitRange,
    ) {
        let unused_s = completion.charged_s - completion.cpu_s;
        self.buckets.credit(completion.class, unused_s);
        let thread_s = completion.latency.secs() * completion.threads;
        self.latency.record(now, thread_s, completion.cpu_s);
        let Some(times_best) = self.latency.times_best(fleet) else {
            return;
        };
        let sample = LimitSample {
            times_best,
            threads: completion.threads,
            running: self.running_threads(LOWEST_PRIORITY),
            cores: self.cores,
        };
        self.limit.on_completion(now, &sample, range);
    }
}
