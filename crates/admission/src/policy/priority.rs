//! The priority of a statement among those that run at its engine, 0 to 3: the higher gets more of the cores.
//!
//! The shorter a statement's latency objective is beside the mean one, the higher its priority: light statements hardly
//! slow the heavy ones, heavy ones would ruin the light.

/// How engines that honor priorities share what is short; the wire's ratio.
const WEIGHTS: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// A statement rises by one for each of these that its objective lies under, in mean objectives.
const OBJECTIVE_STEPS: [f64; 3] = [0.5, 0.8, 1.6];
/// Of every statement where engines honor none.
pub(super) const UNIFORM_PRIORITY: u8 = 1;
/// The priority that yields to each other one.
pub(super) const LOWEST_PRIORITY: u8 = 0;

/// `relative_objective`: the statement's latency objective, in mean ones.
pub(super) fn priority_for(relative_objective: f64) -> u8 {
    let steps = OBJECTIVE_STEPS.iter();
    steps.filter(|step| relative_objective < **step).count() as u8
}

/// Running threads by priority.
#[derive(Clone, Copy, Default)]
pub(super) struct RunningThreads([f64; 4]);

impl RunningThreads {
    /// Adds threads; a negative number removes them.
    pub(super) fn add(&mut self, priority: u8, threads: f64) {
        let running = &mut self.0[index(priority)];
        *running = (*running + threads).max(0.0);
    }

    /// Running threads as one of this priority meets them: it need not wait for what yields to it.
    pub(super) fn as_met_by(&self, priority: u8) -> f64 {
        let weight = WEIGHTS[index(priority)];
        let running = self.0.iter().zip(WEIGHTS);
        running
            .map(|(threads, other)| threads * (other / weight).min(1.0))
            .sum()
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority) % WEIGHTS.len()
}
