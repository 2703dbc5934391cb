//! Retry budgets: how many retries, and how many probes of ejected engines, are allowed within a window.

use std::collections::VecDeque;

use crate::interface::{RetryBudget, TimeDelta, Timestamp};

/// The module's own budget, beside the one that the settings may state: retries must not feed a jam.
const OWN_BUDGET: RetryBudget = RetryBudget {
    min_retries: 5.0,
    ratio: 0.2,
    window: TimeDelta::from_micros(10_000_000),
};
/// Probes of ejected engines, or a small gateway would spend its traffic on them.
const PROBE_BUDGET: RetryBudget = RetryBudget {
    min_retries: 1.0,
    ratio: 0.05,
    window: OWN_BUDGET.window,
};
/// A window is counted in so many slices.
const SLICES: i64 = 20;
/// The shortest slice, in seconds.
const MIN_SLICE_S: f64 = 1e-3;

/// Counts of one slice of time.
struct Slice {
    /// Slices since the clock's zero.
    number: i64,
    statements: f64,
    attempts: f64,
}

/// One budget, and what was used of it in its window.
pub(super) struct BudgetWindow {
    budget: RetryBudget,
    /// From the oldest to the newest; none is older than the window.
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

    fn current_slice(&mut self, now: Timestamp) -> &mut Slice {
        let slice_s = (self.budget.window.secs() / SLICES as f64).max(MIN_SLICE_S);
        let since_zero = now - Timestamp::from_secs(0.0);
        let number = (since_zero.secs() / slice_s).floor() as i64;
        self.slices.retain(|slice| slice.number >= number - SLICES);
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice {
                number,
                statements: 0.0,
                attempts: 0.0,
            });
        }
        self.slices.back_mut().expect("just pushed")
    }

    /// Counts a received statement, by which more attempts are allowed.
    pub(super) fn count_statement(&mut self, now: Timestamp) {
        self.current_slice(now).statements += 1.0;
    }

    /// Counts an attempt that the budget is for.
    pub(super) fn count_attempt(&mut self, now: Timestamp) {
        self.current_slice(now).attempts += 1.0;
    }

    /// Whether one more attempt is allowed. The oldest slice lies partly outside the window: its attempts count, its
    /// statements do not.
    pub(super) fn allows_another(&mut self, now: Timestamp) -> bool {
        let current = self.current_slice(now).number;
        let attempts: f64 = self.slices.iter().map(|slice| slice.attempts).sum();
        let inside = self
            .slices
            .iter()
            .filter(|slice| slice.number > current - SLICES);
        let statements: f64 = inside.map(|slice| slice.statements).sum();
        attempts + 1.0 <= self.budget.min_retries + self.budget.ratio * statements
    }
}

/// The budgets that every retry must keep to.
pub(super) struct RetryBudgets(Vec<BudgetWindow>);

impl RetryBudgets {
    /// `stated`: the settings' budget.
    pub(super) fn new(stated: Option<RetryBudget>) -> Self {
        let budgets = [OWN_BUDGET].into_iter().chain(stated);
        RetryBudgets(budgets.map(BudgetWindow::new).collect())
    }

    /// Whether one more retry is allowed by all of them.
    pub(super) fn allow_another(&mut self, now: Timestamp) -> bool {
        self.0.iter_mut().all(|budget| budget.allows_another(now))
    }

    /// Counts a received statement.
    pub(super) fn count_statement(&mut self, now: Timestamp) {
        for budget in &mut self.0 {
            budget.count_statement(now);
        }
    }

    /// Counts a retry.
    pub(super) fn count_retry(&mut self, now: Timestamp) {
        for budget in &mut self.0 {
            budget.count_attempt(now);
        }
    }
}
