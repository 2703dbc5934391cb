//! The capacity of one engine and what is reserved of it. The same is kept once more for all
//! engines together, because a small gateway's share of one engine does not hold a whole statement.

use crate::interface::{Attempt, ClassId, TimeDelta, Timestamp};

use super::concurrency_limit::{ConcurrencyLimit, LatencyRatio, LimitRange, LimitSample};
use super::cpu_budget::{CpuBuckets, RefillRate, bucket_capacity};
use super::memory::MemoryReservation;
use super::priority::{LOWEST_PRIORITY, RunningThreads};

/// The reservations of an attempt that has ended for this gateway, until they are released. An
/// abandoned attempt may still run at its engine, so its reservations are kept until its expected
/// end.
#[derive(Clone)]
struct PendingRelease {
    until: Timestamp,
    priority: u8,
    threads: f64,
    memory_mb: f64,
}

/// A completed attempt, by which latency and budgets are corrected.
pub(super) struct Completion {
    pub(super) class: ClassId,
    /// CPU time that the attempt was charged, in seconds.
    pub(super) charged_s: f64,
    /// CPU time that the attempt took, in seconds.
    pub(super) cpu_s: f64,
    pub(super) latency: TimeDelta,
    pub(super) threads: f64,
}

/// The reservations at one engine, or the totals of all engines.
#[derive(Clone)]
pub(super) struct Reservations {
    /// This gateway's share of the cores.
    pub(super) cores: f64,
    pub(super) buckets: CpuBuckets,
    pub(super) limit: ConcurrencyLimit,
    pub(super) memory: MemoryReservation,
    pub(super) latency: LatencyRatio,
    running: RunningThreads,
    pending_releases: Vec<PendingRelease>,
}

impl Reservations {
    /// Starts with nothing reserved. `memory_mb` is the part of this gateway's memory share that
    /// may be reserved, in MB.
    pub(super) fn new(now: Timestamp, cores: f64, memory_mb: f64, classes: usize) -> Self {
        Reservations {
            cores,
            buckets: CpuBuckets::new(now, classes),
            limit: ConcurrencyLimit::new(now, cores),
            memory: MemoryReservation::new(memory_mb),
            latency: LatencyRatio::default(),
            running: RunningThreads::default(),
            pending_releases: Vec::new(),
        }
    }

    /// Takes over the reservations of what still runs from the engine's previous process.
    pub(super) fn take_over_running(&mut self, previous: Reservations) {
        self.running = previous.running;
        self.memory.reserved_mb = previous.memory.reserved_mb;
        self.pending_releases = previous.pending_releases;
    }

    /// Returns the running threads that compete with a statement of this priority.
    pub(super) fn running_threads(&self, priority: u8) -> f64 {
        self.running.competing_with(priority)
    }

    /// Returns the capacity, in CPU seconds, of the bucket of a class with this share.
    pub(super) fn bucket_capacity(&self, share: f64) -> f64 {
        bucket_capacity(self.cores, share)
    }

    /// Refills the buckets up to `now`. An engine in slow start has only `capacity_factor` of its
    /// capacity. A congested engine takes longer to spend the same CPU time, so the refill shrinks
    /// together with its concurrency limit.
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

    /// Reserves threads and memory for an attempt that is sent; negative amounts release them.
    pub(super) fn reserve(&mut self, priority: u8, threads: f64, memory_mb: f64) {
        self.running.add(priority, threads);
        self.memory.reserve(memory_mb);
    }

    /// Schedules the release of what an attempt reserved. The reservations are kept until `until`.
    pub(super) fn release_at(&mut self, until: Timestamp, attempt: &Attempt) {
        self.pending_releases.push(PendingRelease {
            until,
            priority: attempt.priority,
            threads: attempt.threads,
            memory_mb: attempt.memory_mb,
        });
    }

    /// Releases the reservations whose time is over.
    pub(super) fn release_due(&mut self, now: Timestamp) {
        let expired = self
            .pending_releases
            .extract_if(.., |attempt| attempt.until <= now);
        for attempt in expired.collect::<Vec<_>>() {
            self.reserve(attempt.priority, -attempt.threads, -attempt.memory_mb);
        }
    }

    /// Updates the bucket, the latency and the limit after a completed attempt. `fleet` is the
    /// latency of all engines before this completion.
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
        let Some(relative_latency) = self.latency.relative_latency(fleet) else {
            return;
        };
        let sample = LimitSample {
            relative_latency,
            threads: completion.threads,
            running: self.running_threads(LOWEST_PRIORITY),
            cores: self.cores,
        };
        self.limit.on_completion(now, &sample, range);
    }
}
