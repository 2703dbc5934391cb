//! Retry budgets: how many retries, and how many probes of ejected engines, are allowed within a
//! sliding window.

use std::collections::VecDeque;

use crate::interface::{RetryBudget, TimeDelta, Timestamp};

/// The budget that always applies, in addition to one that the settings may state. It keeps retries
/// from amplifying an overload.
const BUILT_IN_BUDGET: RetryBudget = RetryBudget {
    min_retries: 5.0,
    ratio: 0.2,
    window: TimeDelta::from_micros(10_000_000),
};
/// Budget for probes of ejected engines. Without it, a small gateway would spend most of its
/// traffic on probes.
const PROBE_BUDGET: RetryBudget = RetryBudget {
    min_retries: 1.0,
    ratio: 0.05,
    window: BUILT_IN_BUDGET.window,
};
/// Number of slices into which a window is divided for counting.
const SLICES_PER_WINDOW: i64 = 20;
/// Lower bound of the length of a slice, in seconds.
const MIN_SLICE_S: f64 = 1e-3;

/// The counts of one slice of time.
struct Slice {
    /// Index of the slice, counted from the clock's zero.
    number: i64,
    statements: f64,
    attempts: f64,
}

/// A budget, and what has been used of it within its window.
pub(super) struct BudgetWindow {
    budget: RetryBudget,
    /// The slices of the window, from the oldest to the newest.
    slices: VecDeque<Slice>,
}

impl BudgetWindow {
    fn new(budget: RetryBudget) -> Self {
        BudgetWindow {
            budget,
            slices: VecDeque::new(),
        }
    }

    pub(super) fn for_probes() -> Self {
        BudgetWindow::new(PROBE_BUDGET)
    }

    /// Returns the slice that holds `now`, and drops the slices that have left the window.
    fn current_slice(&mut self, now: Timestamp) -> &mut Slice {
        let slice_s = (self.budget.window.secs() / SLICES_PER_WINDOW as f64).max(MIN_SLICE_S);
        let since_zero = now - Timestamp::from_secs(0.0);
        let number = (since_zero.secs() / slice_s).floor() as i64;
        self.slices
            .retain(|slice| slice.number >= number - SLICES_PER_WINDOW);
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice {
                number,
                statements: 0.0,
                attempts: 0.0,
            });
        }
        self.slices
            .back_mut()
            .expect("the window has a current slice")
    }

    /// Counts a received statement, which raises the number of attempts that are allowed.
    pub(super) fn count_statement(&mut self, now: Timestamp) {
        self.current_slice(now).statements += 1.0;
    }

    /// Counts an attempt against the budget.
    pub(super) fn count_attempt(&mut self, now: Timestamp) {
        self.current_slice(now).attempts += 1.0;
    }

    /// Returns whether one more attempt is allowed. The oldest slice lies partly outside the
    /// window: its attempts count, and its statements do not.
    pub(super) fn allows_another(&mut self, now: Timestamp) -> bool {
        let current = self.current_slice(now).number;
        let attempts: f64 = self.slices.iter().map(|slice| slice.attempts).sum();
        let in_window = self
            .slices
            .iter()
            .filter(|slice| slice.number > current - SLICES_PER_WINDOW);
        let statements: f64 = in_window.map(|slice| slice.statements).sum();
        attempts + 1.0 <= self.budget.min_retries + self.budget.ratio * statements
    }
}

/// The budgets that every retry has to keep to.
pub(super) struct RetryBudgets(Vec<BudgetWindow>);

impl RetryBudgets {
    /// Creates the built-in budget, and the configured one if the settings state one.
    pub(super) fn new(configured: Option<RetryBudget>) -> Self {
        let budgets = [BUILT_IN_BUDGET].into_iter().chain(configured);
        RetryBudgets(budgets.map(BudgetWindow::new).collect())
    }

    /// Returns whether all budgets allow one more retry.
    pub(super) fn allow_another(&mut self, now: Timestamp) -> bool {
        self.0.iter_mut().all(|budget| budget.allows_another(now))
    }

    /// Counts a received statement in all budgets.
    pub(super) fn count_statement(&mut self, now: Timestamp) {
        for budget in &mut self.0 {
            budget.count_statement(now);
        }
    }

    /// Counts a retry against all budgets.
    pub(super) fn count_retry(&mut self, now: Timestamp) {
        for budget in &mut self.0 {
            budget.count_attempt(now);
        }
    }
}
