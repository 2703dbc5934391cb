//! The priority of a statement among those that run at its engine, 0 to 3. A higher priority gets a
//! larger part of the cores.
//!
//! The shorter a statement's latency objective is compared to the mean objective, the higher its
//! priority. Light statements hardly slow down heavy ones, whereas heavy statements would delay
//! light ones many times over.

/// Weights, by priority, with which engines that honor priorities divide a scarce resource. The
/// engine protocol defines them.
const PRIORITY_WEIGHTS: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// Thresholds of the latency objective, in multiples of the mean objective. The priority of a
/// statement is the number of thresholds that its objective is below.
const OBJECTIVE_THRESHOLDS: [f64; 3] = [0.5, 0.8, 1.6];
/// Priority of every statement if engines do not honor priorities.
pub(super) const UNIFORM_PRIORITY: u8 = 1;
/// The lowest priority, which yields to every other one.
pub(super) const LOWEST_PRIORITY: u8 = 0;

/// Returns the priority of a statement. `relative_objective` is its latency objective as a multiple
/// of the mean objective.
pub(super) fn priority_for(relative_objective: f64) -> u8 {
    let thresholds = OBJECTIVE_THRESHOLDS.iter();
    thresholds
        .filter(|threshold| relative_objective < **threshold)
        .count() as u8
}

/// Running threads by priority.
#[derive(Clone, Copy, Default)]
pub(super) struct RunningThreads([f64; 4]);

impl RunningThreads {
    /// Adds threads of a priority; a negative number removes them.
    pub(super) fn add(&mut self, priority: u8, threads: f64) {
        let running = &mut self.0[index(priority)];
        *running = (*running + threads).max(0.0);
    }

    /// Returns the running threads that compete with a statement of this priority. Threads of a
    /// lower priority yield to it and count only in proportion to their weight.
    pub(super) fn competing_with(&self, priority: u8) -> f64 {
        let weight = PRIORITY_WEIGHTS[index(priority)];
        let running = self.0.iter().zip(PRIORITY_WEIGHTS);
        running
            .map(|(threads, other_weight)| threads * (other_weight / weight).min(1.0))
            .sum()
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority) % PRIORITY_WEIGHTS.len()
}
