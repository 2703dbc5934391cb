//! Every decision, table and tuned value of laurelhitch. It is called like a client library, on one thread:
//! `position` (where to send this statement, or not yet, or never), `after` (what to do after this outcome; a
//! progress note leaves the attempt out), `pause` (how long to wait), and told facts. The caller keeps statements
//! and timers and asks again by `QueuePosition`, on any change and when the pause is over. Reasons: docs/design.md.

use std::collections::{BTreeMap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::interface::*;

/// Weight of the newest observation in a fingerprint's smoothed CPU and estimate; the design's.
const SMOOTH: f64 = 0.4;
/// One outcome counts as at most this many times its prediction, or a bad plan would close a table group.
const SURPRISE: f64 = 3.0;
const FINGERPRINTS: usize = 512;
const BURST_S: f64 = 2.0;
/// Latency per CPU second up to the first times its best is near it, past the second a jam.
const NEAR: f64 = 2.0;
const JAMMED: f64 = 3.0;
/// The widest bound, in threads a core of the share: latency tells late, and all would widen together.
const WIDEST: f64 = 2.0;
/// Least of the fleet's bound: one that backs off alone from what all cause only leaves them its place.
const LEAST: f64 = 0.5;
/// Part of this gateway's share of an engine's memory that running statements may need: estimates scatter.
const MEMORY: f64 = 0.85;
/// Part of its deadline that a statement may be held, in all waits between two attempts.
const HOLD: f64 = 0.05;
/// Demand is smoothed over this time, by bands each of whose statements cost twice those of the one before.
const DEMAND_S: f64 = 5.0;
const BANDS: usize = 16;
/// How engines that heed ranks share what is short; the wire's ratio.
const WEIGHTS: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// Part of the multiple of a cold engine's present capacity that all gateways together may reach.
const COLD_PART: f64 = 0.4;
/// Failures in a row that bench an engine. A success takes back a part, to catch one that loses a third too.
const FAILURES: f64 = 3.0;
/// Errors from so many engines tell of the statement: clients send what none can use, and would bench them all.
const SEVERAL: usize = 3;

/// Predicts CPU seconds by fingerprint. Emptied by the eviction of the one unused longest.
struct Costs {
    /// Smoothed true CPU and estimate, and when it was last used.
    prints: BTreeMap<(ClassId, TableGroupId), (f64, f64, u64)>,
    /// Slow mean of true CPU by query class: the usual work, for cold engines and statements with no estimate.
    usual: Vec<(f64, f64)>,
    uses: u64,
}

impl Costs {
    /// An unseen fingerprint borrows the others' median k, first of the same query class: estimates lie so.
    fn predict(&self, s: &Statement) -> f64 {
        let others = |own: bool| {
            let of = self
                .prints
                .iter()
                .filter(|(print, _)| !own || print.0 == s.class);
            median(of.map(|(_, (cpu, estimate, _))| cpu / estimate).collect())
        };
        let seen = self
            .prints
            .get(&(s.class, s.group))
            .map(|(cpu, estimate, _)| cpu / estimate);
        let k = seen
            .or_else(|| others(true))
            .or_else(|| others(false))
            .unwrap_or(1.0);
        (estimate(s) * k).clamp(1e-4, 1e5)
    }

    fn learn(&mut self, s: &Statement, predicted: f64, cpu: f64) {
        let estimate = estimate(s);
        let seen = if self.prints.is_empty() {
            cpu
        } else {
            cpu.min(predicted * SURPRISE)
        }
        .max(1e-5);
        self.uses += 1;
        let cost = self
            .prints
            .entry((s.class, s.group))
            .or_insert((seen, estimate, self.uses));
        let smooth = |old: f64, seen: f64| old + SMOOTH * (seen - old);
        *cost = (smooth(cost.0, seen), smooth(cost.1, estimate), self.uses);
        let (mean, seen) = self.usual[s.class.0];
        self.usual[s.class.0] = (
            mean + (cpu.min(1e4) - mean) / (seen + 1.0),
            (seen + 1.0).min(199.0),
        );
        if self.prints.len() > FINGERPRINTS {
            let oldest = self.prints.iter().min_by_key(|(_, cost)| cost.2);
            oldest
                .map(|(print, _)| *print)
                .map(|print| self.prints.remove(&print));
        }
    }
}

fn estimate(s: &Statement) -> f64 {
    s.estimate
        .map(TimeDelta::secs)
        .filter(|e| *e > 0.0)
        .unwrap_or(1.0)
}

fn median(mut of: Vec<f64>) -> Option<f64> {
    of.sort_by(f64::total_cmp);
    of.get(of.len() / 2).copied()
}

/// Latency per CPU second, weighted by CPU so that light statements in front cannot hide a jam behind them.
#[derive(Clone, Default)]
struct Lag {
    latency: f64,
    cpu: f64,
    best: Option<f64>,
    at: Option<Timestamp>,
}

impl Lag {
    const MEMORY_S: f64 = 3.0;
    const ENOUGH_S: f64 = 0.3;
    /// The best is forgotten at this rate, or one lucky spell would look like a jam for ever after.
    const FORGET_PER_S: f64 = 0.005;

    fn fade(&mut self, now: Timestamp) {
        let gone = (now - self.at.replace(now).unwrap_or(now)).secs().max(0.0);
        let keep = (-gone / Self::MEMORY_S).exp();
        (self.latency, self.cpu) = (self.latency * keep, self.cpu * keep);
        self.best = self
            .best
            .map(|best| best * (1.0 + Self::FORGET_PER_S * gone));
    }

    fn saw(&mut self, now: Timestamp, thread_s: f64, cpu: f64) {
        self.fade(now);
        (self.latency, self.cpu) = (self.latency + thread_s, self.cpu + cpu);
        let seen = self.latency / self.cpu.max(1e-9);
        if self.cpu > 8.0 * Self::ENOUGH_S {
            self.best = Some(self.best.map_or(seen, |best| best.min(seen)));
        }
    }

    fn now(&self) -> Option<f64> {
        (self.cpu > Self::ENOUGH_S).then_some(self.latency / self.cpu)
    }

    /// What an engine's own few outcomes leave open, the whole fleet's tell.
    fn over_best(&self, whole: &Lag) -> Option<f64> {
        let (pace, known) = whole
            .now()
            .map_or((0.0, 0.0), |pace| (pace, Self::ENOUGH_S));
        let (latency, cpu) = (self.latency + known * pace, self.cpu + known);
        (cpu >= Self::ENOUGH_S).then_some(latency / cpu / self.best.or(whole.best)?.max(1e-6))
    }
}

#[derive(Clone, Default)]
struct Health {
    failures: f64,
    due: Option<Timestamp>,
    ejected_until: Option<Timestamp>,
    bench: f64,
    outlier_probe: Option<StatementId>,
    worked: Option<Timestamp>,
    hearsay: bool,
}

/// What may run and runs on an engine, and once more on all: a small share of one holds no whole statement.
#[derive(Clone)]
struct Books {
    /// This gateway's share of the told cores, and of the memory as far as it may be needed.
    cores: f64,
    memory_mb: f64,
    held_mb: f64,
    left: Vec<f64>,
    filled: Timestamp,
    bound: f64,
    cut: Timestamp,
    threads: [f64; 4],
    /// Rank, threads, memory of attempts given up that may run on, until their likely end in a jam.
    ghosts: Vec<(Timestamp, u8, f64, f64)>,
    lag: Lag,
}

impl Books {
    fn new(now: Timestamp, cores: f64, memory_mb: f64, classes: usize) -> Self {
        Books {
            cores,
            memory_mb,
            held_mb: 0.0,
            left: vec![f64::INFINITY; classes],
            filled: now,
            bound: cores.max(1.0),
            cut: now,
            threads: [0.0; 4],
            ghosts: Vec::new(),
            lag: Lag::default(),
        }
    }

    /// Running threads as one of this rank meets them: light ones need not wait for what yields to them.
    fn running(&self, priority: u8) -> f64 {
        let met = |of: usize, threads: f64| {
            threads * (WEIGHTS[of] / WEIGHTS[priority as usize & 3]).min(1.0)
        };
        self.threads
            .iter()
            .enumerate()
            .map(|(of, threads)| met(of, *threads))
            .sum()
    }

    fn full(&self, share: f64) -> f64 {
        self.cores * share * BURST_S
    }

    fn fill(&mut self, now: Timestamp, warmth: f64, demand: &[Demand]) {
        let gone = (now - self.filled).secs().max(0.0);
        self.filled = now;
        self.lag.fade(now);
        // A slow engine burns as much CPU for longer: its refill shrinks with its bound.
        let speed = (self.bound / self.cores.max(1e-9)).min(1.0) * warmth;
        for (left, Demand { share, .. }) in self.left.iter_mut().zip(demand) {
            *left = (*left + self.cores * share * speed * gone)
                .min(self.cores * share * BURST_S * warmth);
        }
    }

    /// A full bucket's debt is repaid whole; near-best latency's ends one bucket below, not minutes away.
    fn charge(&mut self, p: usize, predicted: f64, full: f64) {
        let floor = if self.left[p] >= full * 0.99 {
            f64::NEG_INFINITY
        } else {
            self.left[p].min(-full)
        };
        self.left[p] = (self.left[p] - predicted).max(floor);
    }

    fn run(&mut self, priority: u8, threads: f64, memory_mb: f64) {
        let running = &mut self.threads[priority as usize & 3];
        *running = (*running + threads).max(0.0);
        self.held_mb = (self.held_mb + memory_mb).max(0.0);
    }

    fn lay_ghosts(&mut self, now: Timestamp) {
        let over: Vec<_> = self.ghosts.extract_if(.., |ghost| ghost.0 <= now).collect();
        over.into_iter()
            .for_each(|(_, priority, threads, mb)| self.run(priority, -threads, -mb));
    }

    /// The thread bound follows latency per CPU second, and only an outcome that met the bound may widen it.
    fn widen_or_shrink(
        &mut self,
        now: Timestamp,
        over: f64,
        threads: f64,
        (least, most): (f64, f64),
    ) {
        if over <= NEAR && self.running(0) + threads >= self.bound * 0.7 {
            self.bound = (self.bound + 0.15 * threads).min((self.cores * most).max(1.0));
        } else if over > JAMMED && (now - self.cut).secs() > 0.5 {
            (self.bound, self.cut) = ((self.bound * 0.85).max(self.cores * least).max(1.0), now);
        }
    }
}

#[derive(Clone)]
struct Engine {
    fact: EngineInfo,
    books: Books,
    out: u32,
    health: Health,
    cold_left: f64,
    waiting: f64,
    /// Connections there as far as own attempts tell, and when one was last taken.
    linked: (u32, Option<Timestamp>),
}

impl Engine {
    /// Failed answers in a row, or none when one was due, take the engine out for a spell that doubles.
    fn bench(&mut self, now: Timestamp) {
        self.health.bench = (self.health.bench * 2.0).clamp(1.0, 8.0);
        self.health.ejected_until = Some(now + TimeDelta::from_secs(self.health.bench));
        (
            self.health.outlier_probe,
            self.health.due,
            self.health.failures,
        ) = (None, None, 0.0);
        self.health.hearsay = false;
    }

    /// Connections that stand; some time is left for the way, or the engine's close would cross an attempt.
    fn linked(&self, now: Timestamp, idle: TimeDelta) -> u32 {
        let (most, taken) = self.linked;
        if taken.is_some_and(|taken| (now - taken).secs() < idle.secs() * 0.7) {
            most
        } else {
            self.out
        }
    }

    fn heard(&mut self, now: Timestamp, pace: f64) {
        self.health.due = (self.out > 0).then(|| now + TimeDelta::from_secs(pace));
    }
}

/// Rule 5: what is in hand under one key, oldest first. A key leaves once it is idle and rested.
#[derive(Default)]
struct Turn {
    line: VecDeque<StatementId>,
    out: Option<StatementId>,
    rest_until: Option<Timestamp>,
}

/// Rule 7 and own retry_budgets: number, statements taken and attempts by slice; slices leave as the window passes.
struct Spent {
    terms: RetryBudget,
    slices: VecDeque<(i64, f64, f64)>,
}

impl Spent {
    const SLICES: i64 = 20;

    fn slice(&mut self, now: Timestamp) -> &mut (i64, f64, f64) {
        let slice_s = (self.terms.window.secs() / Self::SLICES as f64).max(1e-3);
        let at = ((now - Timestamp::from_secs(0.0)).secs() / slice_s).floor() as i64;
        self.slices.retain(|s| s.0 >= at - Self::SLICES);
        if self.slices.back().is_none_or(|s| s.0 < at) {
            self.slices.push_back((at, 0.0, 0.0));
        }
        self.slices.back_mut().expect("just pushed")
    }

    /// The oldest slice lies partly outside the window: its attempts count, its statements do not.
    fn room(&mut self, now: Timestamp) -> bool {
        let at = self.slice(now).0;
        let attempts: f64 = self.slices.iter().map(|s| s.2).sum();
        let taken: f64 = self
            .slices
            .iter()
            .filter(|s| s.0 > at - Self::SLICES)
            .map(|s| s.1)
            .sum();
        attempts + 1.0 <= self.terms.min_retries + self.terms.ratio * taken
    }
}

/// Predicted CPU seconds and gain asked for a second, smoothed, and the query class's share of each engine.
#[derive(Default)]
struct Demand {
    cpu: f64,
    priority_weight: f64,
    share: f64,
    bands: [(f64, f64); BANDS],
}

struct Tenant {
    left: f64,
    rate: f64,
    at: Option<Timestamp>,
}

/// What a gateway's settings tell its policy.
#[derive(Clone, Debug)]
pub struct PolicyConfig {
    /// The query classes, by [`ClassId`].
    pub classes: Vec<QueryClass>,
    /// What each tenant may use.
    pub tenant_quotas: TenantQuotas,
    /// The gateways and engines as a whole.
    pub fleet: FleetConfig,
    /// What engines can do after their start; none: all of it.
    pub slow_start: Option<SlowStart>,
    /// Attempts, and what clients are told.
    pub retry_policy: RetryPolicy,
    /// How the list of engines reaches this gateway.
    pub discovery: DiscoveryMode,
}

pub struct Policy {
    rng: Pcg64Mcg,
    classes: Vec<QueryClass>,
    demand: Vec<Demand>,
    demand_at: Option<Timestamp>,
    delivered: f64,
    price: f64,
    tenancy: TenantQuotas,
    tenants: Vec<Tenant>,
    lopsided: f64,
    fleet: FleetConfig,
    cold: Option<SlowStart>,
    retry_policy: RetryPolicy,
    costs: Costs,
    needs: Vec<(f64, f64)>,
    engines: BTreeMap<EngineId, Engine>,
    whole: Books,
    turns: BTreeMap<OrderKey, Turn>,
    retry_budgets: Vec<Spent>,
    /// Trials of ejected engines, or a small gateway would spend its traffic on them.
    outlier_probes: Spent,
    discovery: DiscoveryMode,
    allowed: QuotaGrant,
    /// When the engine list was last asked for, and how soon it is again unless an answer comes.
    asked: (Option<Timestamp>, f64),
}

impl Policy {
    /// A policy that knows no engines yet. `seed` starts its chance: each gateway has one of its own.
    pub fn new(config: PolicyConfig, seed: u64) -> Self {
        let PolicyConfig {
            classes,
            tenant_quotas: tenancy,
            fleet,
            slow_start: cold,
            retry_policy,
            discovery,
        } = config;
        let share = 1.0 / classes.len().max(1) as f64;
        // Retries must not feed a jam, so the module sets a retry_budget of its own beside the stated one.
        let own = RetryBudget {
            min_retries: 5.0,
            ratio: 0.2,
            window: TimeDelta::from_secs(10.0),
        };
        let retry_budgets = [own].into_iter().chain(retry_policy.retry_budget);
        Policy {
            rng: Pcg64Mcg::seed_from_u64(seed),
            demand: classes
                .iter()
                .map(|_| Demand {
                    share,
                    ..Demand::default()
                })
                .collect(),
            demand_at: None,
            delivered: 0.0,
            price: 0.0,
            tenants: tenancy
                .quotas
                .iter()
                .map(|a| Tenant {
                    left: *a,
                    rate: 0.0,
                    at: None,
                })
                .collect(),
            costs: Costs {
                prints: BTreeMap::new(),
                usual: vec![(0.0, 0.0); classes.len()],
                uses: 0,
            },
            needs: vec![(1.0, 1.0); classes.len()],
            engines: BTreeMap::new(),
            whole: Books::new(Timestamp::from_secs(0.0), 0.0, 0.0, classes.len()),
            turns: BTreeMap::new(),
            outlier_probes: Spent {
                terms: RetryBudget {
                    min_retries: 1.0,
                    ratio: 0.05,
                    ..own
                },
                slices: VecDeque::new(),
            },
            retry_budgets: retry_budgets
                .map(|terms| Spent {
                    terms,
                    slices: VecDeque::new(),
                })
                .collect(),
            discovery,
            allowed: QuotaGrant::default(),
            asked: (None, 0.0),
            classes,
            tenancy,
            lopsided: 1.0,
            fleet,
            cold,
            retry_policy,
        }
    }

    pub fn place(&mut self, now: Timestamp, s: &Statement) -> Placement {
        let Some(position) = s.queue_position else {
            return Placement::Queue(self.take(now, s));
        };
        if s.attempts.iter().any(|r| r.state == AttemptState::InFlight) {
            return Placement::Queue(position);
        }
        let class = &self.classes[s.class.0];
        let (predicted, left) = (self.costs.predict(s), (s.deadline - now).secs());
        let (_, spare) = self.spare(now, s, predicted);
        let too_late = self.repeat_until(s).is_some_and(|until| until <= now);
        let hopeless = left < 0.03
            || s.attempts.len() >= self.retry_policy.max_attempts.max(1)
            || spare < 0.0
            || too_late;
        let (hold, turn) = (class.time_limit.secs() * HOLD, self.ordered_by_key(now, s));
        if hopeless || !s.attempts.is_empty() && !self.may_relay_again(now, s.class) {
            return self.give_up(now, s);
        }
        if turn && let Some(id) = self.choose(now, s, position, predicted) {
            return self.send(now, s, id, predicted);
        }
        // One that waits for its key's turn keeps waiting: its place there beats an early no.
        let held = (now - s.waiting_since).secs();
        if (turn && held >= hold) || left < 0.05 {
            self.give_up(now, s)
        } else {
            Placement::Queue(position)
        }
    }

    /// How much longer it may wait for its latency objective, and to be of use at all. An answer that comes when it earns
    /// nothing only takes cores from those that still can.
    fn spare(&self, now: Timestamp, s: &Statement, predicted: f64) -> (f64, f64) {
        let (class, left) = (&self.classes[s.class.0], (s.deadline - now).secs());
        let best = median(
            self.engines
                .values()
                .filter_map(|e| e.books.lag.best)
                .collect(),
        )
        .unwrap_or(1.0);
        let alone = predicted / class.threads * best;
        let quoted_left = left.min(latency_objective(class, predicted) - (now - s.received).secs());
        let useful = if class.late_priority_weight > 0.0 {
            left
        } else {
            quoted_left
        };
        let expected = predicted / class.threads * self.whole.lag.now().unwrap_or(best).max(best);
        (quoted_left - expected, useful - alone * 0.5)
    }

    /// What it would take, and how long it may wait for that: for a queue ahead. Nothing changes by asking.
    pub fn forecast(&self, now: Timestamp, s: &Statement) -> Forecast {
        let predicted = self.costs.predict(s);
        let (full, useful) = self.spare(now, s, predicted);
        let useful = useful.min((s.deadline - now).secs() - 0.05);
        let [objective_until, useful_until] =
            [full.min(useful), useful].map(|left| now + TimeDelta::from_secs(left));
        Forecast {
            cpu: TimeDelta::from_secs(predicted),
            memory_mb: self.need_mb(s),
            objective_until,
            useful_until,
        }
    }

    /// A queue ahead has no room for it, or would hold it too long: rejected as ever, with when to come back.
    pub fn reject(&mut self, now: Timestamp, s: &Statement, back: TimeDelta) -> Placement {
        let Placement::Reject { retry_after } = self.give_up(now, s) else {
            return Placement::Fail;
        };
        Placement::Reject {
            retry_after: retry_after
                .map(|longest| back.max(TimeDelta::from_secs(0.02)).min(longest)),
        }
    }

    /// What this gateway carries, in shares of one, as far as tenants and quotas tell.
    pub fn traffic_share(&self) -> f64 {
        self.lopsided
    }

    /// Cores of the engines in use, as this gateway's share of what they can do now; most ejected, all are in use.
    pub fn capacity(&self, now: Timestamp) -> f64 {
        let ready = self
            .engines
            .values()
            .filter(|e| e.fact.stage == EngineStage::Ready);
        let (mut all, mut fit) = ((0, 0.0), (0, 0.0));
        for e in ready {
            let cores = e.books.cores * warmth(self.cold, e, now);
            all = (all.0 + 1, all.1 + cores);
            fit = if e.health.ejected_until.is_none() {
                (fit.0 + 1, fit.1 + cores)
            } else {
                fit
            };
        }
        if fit.0 * 2 < all.0 { all.1 } else { fit.1 }
    }

    pub fn after(&mut self, now: Timestamp, s: &Statement, o: &AttemptReport) -> NextStep {
        let Some(attempt) = s.attempts.get(o.attempt.0 as usize) else {
            return NextStep::Continue;
        };
        let (predicted, threads, charge) = (
            self.costs.predict(s),
            attempt.threads,
            attempt.charge.secs(),
        );
        let pace = self
            .fleet
            .progress_interval
            .map_or(3.0 * predicted + 1.0, |p| p.secs() * 1.25 + 0.3);
        let Some(engine) = self.engines.get_mut(&attempt.engine) else {
            return self.next(now, s, o);
        };
        if matches!(
            o.event,
            AttemptEvent::Progress(_) | AttemptEvent::Stalled | AttemptEvent::Streaming
        ) {
            engine.heard(now, pace);
            return self.noted(now, s, attempt, o);
        }
        engine.out = engine.out.saturating_sub(1);
        if !matches!(o.event, AttemptEvent::TimedOut | AttemptEvent::Cancelled) {
            engine.heard(now, pace);
        }
        let mut books = [&mut engine.books, &mut self.whole];
        let tried = engine
            .health
            .outlier_probe
            .take_if(|id| *id == s.id)
            .is_some();
        let expected = charge / threads * books[0].lag.now().unwrap_or(1.0).max(1.0);
        let runs_on = !self.retry_policy.can_cancel
            && matches!(o.event, AttemptEvent::TimedOut | AttemptEvent::Cancelled);
        let until = now + TimeDelta::from_secs(if runs_on { expected } else { 0.0 });
        for b in &mut books {
            b.ghosts
                .push((until, attempt.priority, threads, attempt.memory_mb));
            b.lay_ghosts(now);
        }
        // Far past what the engine's pace explains, the statement was lost there.
        let lost = o.event == AttemptEvent::TimedOut && o.latency.secs() > 4.0 * expected + 1.0;
        engine.health.failures += f64::from(u8::from(lost));
        match o.event {
            AttemptEvent::Completed { cpu, memory_mb } => {
                let h = &mut engine.health;
                (h.failures, h.bench, h.ejected_until) = (h.failures * 0.8, h.bench * 0.98, None);
                (h.worked, h.hearsay) = (Some(now), false);
                let true_cpu = cpu.map_or(charge, TimeDelta::secs);
                let fleet = books[1].lag.clone();
                // On one engine as far as one peer that is away explains, or a hot gateway would fill it alone.
                let away = self.fleet.peers / (self.fleet.peers - 1.0).max(0.5);
                let within = [
                    (0.0, WIDEST * self.lopsided.min(away)),
                    (LEAST, WIDEST * self.lopsided),
                ];
                self.delivered += true_cpu / DEMAND_S;
                for (b, within) in books.into_iter().zip(within) {
                    b.left[s.class.0] += charge - true_cpu;
                    b.lag.saw(now, o.latency.secs() * threads, true_cpu);
                    let over = b.lag.over_best(&fleet);
                    over.into_iter()
                        .for_each(|over| b.widen_or_shrink(now, over, threads, within));
                }
                cpu.into_iter()
                    .for_each(|cpu| self.costs.learn(s, charge, cpu.secs()));
                if let Some(seen) = memory_mb.filter(|_| s.memory_mb > 0.0) {
                    let (needed, estimated) = self.needs[s.class.0];
                    self.needs[s.class.0] = (needed * 0.99 + seen, estimated * 0.99 + s.memory_mb);
                }
            }
            AttemptEvent::Rejected | AttemptEvent::NeverSent => {
                books.iter_mut().for_each(|b| b.left[s.class.0] += charge);
                (engine.books.bound, engine.books.cut) = ((engine.books.bound * 0.8).max(1.0), now);
                engine.health.failures += f64::from(u8::from(o.event == AttemptEvent::Rejected));
            }
            AttemptEvent::Withdrawn => books.iter_mut().for_each(|b| b.left[s.class.0] += charge),
            // The charge stays, or an engine that fails fast would look the emptiest and draw the rest.
            AttemptEvent::Error if s.attempts.len() >= SEVERAL => {}
            AttemptEvent::Error | AttemptEvent::Unreachable => engine.health.failures += 1.0,
            // A connection may fail alone; a process that dies takes all that is out along.
            AttemptEvent::Reset => engine.health.failures += FAILURES / 9.0,
            _ => {}
        }
        if engine.health.failures >= FAILURES || (tried && engine.health.failures >= 1.0) {
            engine.bench(now);
        }
        self.next(now, s, o)
    }

    pub fn end_turn(&mut self, now: Timestamp, held: usize) -> Wakeup {
        self.share_out(now);
        self.whole.lay_ghosts(now);
        for engine in self.engines.values_mut() {
            engine.books.lay_ghosts(now);
            // Hung, cut off or dead. Could harm a quiet gateway that one slow statement misleads.
            if engine.health.due.is_some_and(|due| due <= now) {
                engine.bench(now);
            }
        }
        let rests =
            |turn: &Turn| turn.out.is_some() || turn.rest_until.is_some_and(|until| until > now);
        self.turns
            .retain(|_, turn| !turn.line.is_empty() || rests(turn));
        let wait = TimeDelta::from_secs(if held > 0 { 0.02 } else { 0.25 });
        Wakeup {
            wait,
            discovery: self.ask_list(now),
            ..Wakeup::default()
        }
    }

    pub fn on_endpoint_update(&mut self, now: Timestamp, event: &EndpointUpdate) {
        self.asked.1 = 0.0;
        let facts = match event {
            EndpointUpdate::Failed => return self.asked = (Some(now), 0.5),
            EndpointUpdate::Events(facts) | EndpointUpdate::Snapshot(facts) => facts,
        };
        if matches!(event, EndpointUpdate::Snapshot(_)) {
            self.engines
                .values_mut()
                .for_each(|engine| engine.fact.stage = EngineStage::Removed);
        }
        // Spread by chance, or all gateways that hear of a cold engine would use it at once.
        let usual =
            self.costs.usual.iter().map(|usual| usual.0).sum::<f64>() / self.classes.len() as f64;
        let peers = self.fleet.peers;
        for fact in facts {
            let scale = if fact.scale > 0.0 && fact.scale.is_finite() {
                fact.scale
            } else {
                1.0
            };
            // Untold cores: the list's sizes still compare engines; eight cores are a plain machine.
            let told = |of: &[f64]| {
                of.get(fact.machine.0 as usize)
                    .copied()
                    .filter(|told| *told > 0.0)
            };
            let cores = told(&self.fleet.cores).unwrap_or(8.0 * scale);
            let memory_mb = told(&self.fleet.memory_mb).unwrap_or(f64::INFINITY);
            let fresh = Engine {
                fact: *fact,
                books: Books::new(
                    now,
                    cores / peers,
                    memory_mb / peers * MEMORY,
                    self.classes.len(),
                ),
                out: 0,
                health: Health::default(),
                cold_left: -self.rng.random::<f64>() * usual.max(1.0),
                waiting: 0.0,
                linked: (0, None),
            };
            let engine = self.engines.entry(fact.id).or_insert_with(|| fresh.clone());
            // A new start: what was learned of the old process is void, what is still out there is not.
            if engine.fact.started != fact.started {
                let Engine {
                    out,
                    books:
                        Books {
                            threads,
                            held_mb,
                            ghosts,
                            ..
                        },
                    ..
                } = engine.clone();
                *engine = Engine {
                    out,
                    books: Books {
                        threads,
                        held_mb,
                        ghosts,
                        ..fresh.books
                    },
                    ..fresh
                };
            }
            engine.fact = *fact;
        }
        // Gone engines leave once their last attempt is over.
        self.engines
            .retain(|_, e| e.fact.stage != EngineStage::Removed || e.out > 0);
        let ready = || {
            self.engines
                .values()
                .filter(|e| e.fact.stage == EngineStage::Ready)
                .map(|e| &e.books)
        };
        let (cores, before) = (ready().map(|b| b.cores).sum::<f64>(), self.whole.cores);
        // Shares under a thread an engine start widest over all: each restart would deny until outcomes widen it.
        let small = cores < ready().count() as f64;
        let kept = if before > 0.0 {
            self.whole.bound / before
        } else if small {
            WIDEST
        } else {
            1.0
        };
        (self.whole.cores, self.whole.bound) = (cores, (cores * kept).max(1.0));
        self.whole.memory_mb = ready().map(|b| b.memory_mb).sum();
    }

    /// Enough others lost statements there: left out while that is fresh and, by chance, some time longer; then one
    /// statement is the trial. What it did for this gateway since outweighs it; a bench of one's own stands.
    pub fn on_outlier_gossip(&mut self, now: Timestamp, doubts: &[OutlierReport]) {
        for doubt in doubts {
            let Some(e) = self.engines.get_mut(&doubt.id) else {
                continue;
            };
            let since = e.health.worked.max(e.fact.started);
            let own = e
                .health
                .ejected_until
                .is_some_and(|until| !e.health.hearsay || until >= doubt.until);
            if doubt.until > now && !own && since.is_none_or(|since| since < doubt.seen) {
                let later = (doubt.until - now).secs() * (1.0 + self.rng.random::<f64>());
                (e.health.ejected_until, e.health.hearsay) =
                    (Some(now + TimeDelta::from_secs(later)), true);
            }
        }
    }

    pub fn health(&self) -> impl Iterator<Item = EngineHealth> {
        let of = |(id, e): (&EngineId, &Engine)| (*id, e.health.ejected_until, e.health.hearsay);
        self.engines
            .iter()
            .map(of)
            .map(|(id, ejected_until, by_gossip)| EngineHealth {
                id,
                ejected_until,
                by_gossip,
            })
    }

    /// What it holds of each engine, to be checked from outside: attempts out, and whether it is ejected.
    pub fn engines(&self) -> impl Iterator<Item = (EngineId, u32, bool)> {
        self.engines
            .iter()
            .map(|(id, e)| (*id, e.out, e.health.ejected_until.is_some()))
    }

    /// Those that wait for memory there are others' too: no time for more, however near its best.
    pub fn on_load_report(&mut self, id: EngineId, report: &LoadReport) {
        self.engines
            .get_mut(&id)
            .into_iter()
            .for_each(|e| e.waiting = report.waiting.unwrap_or(0.0));
    }

    /// Over, through us or because the client left: its turn passes on.
    pub fn on_statement_over(&mut self, s: &Statement) {
        self.turn(s)
            .into_iter()
            .for_each(|turn| turn.line.retain(|id| *id != s.id));
    }

    fn take(&mut self, now: Timestamp, s: &Statement) -> QueuePosition {
        let (predicted, over_quota) = (
            self.costs.predict(s),
            self.over_quota(now, s.tenant) || s.borrowed,
        );
        let (cpu, priority_weight) = (
            predicted / DEMAND_S,
            self.classes[s.class.0].priority_weight / DEMAND_S,
        );
        self.fade_demand(now);
        let demand = &mut self.demand[s.class.0];
        (demand.cpu, demand.priority_weight) =
            (demand.cpu + cpu, demand.priority_weight + priority_weight);
        let counts = if over_quota { 0.0 } else { 1.0 };
        let band =
            &mut demand.bands[(predicted.log2() + 7.0).clamp(0.0, BANDS as f64 - 1.0) as usize];
        *band = (band.0 + cpu * counts, band.1 + priority_weight * counts);
        self.retry_budgets
            .iter_mut()
            .chain([&mut self.outlier_probes])
            .for_each(|spent| spent.slice(now).1 += 1.0);
        if let Some(key) = self.turn_key(s) {
            self.turns.entry(key).or_default().line.push_back(s.id);
        }
        QueuePosition {
            deadline: s.deadline,
            id: s.id,
            over_quota,
        }
    }

    /// One that carries more than 1/peers sees every tenant over: what the least is over is its own doing.
    fn over_quota(&mut self, now: Timestamp, tenant: TenantId) -> bool {
        let peers = self.fleet.peers;
        let quotas = self.tenancy.quotas.iter().map(|a| a / peers);
        if tenant.0 >= self.tenants.len() || self.tenancy.over_quota_weight >= 1.0 {
            return false;
        }
        for (at, (t, allowed)) in self.tenants.iter_mut().zip(quotas.clone()).enumerate() {
            let gone = (now - t.at.replace(now).unwrap_or(now)).secs();
            t.rate = t.rate * (-gone / 3.0).exp() + if at == tenant.0 { 1.0 / 3.0 } else { 0.0 };
            // Three seconds and a few: at a quiet gateway chance alone would put a tenant over.
            t.left =
                (t.left + gone * allowed * self.lopsided).min(allowed * self.lopsided * 3.0 + 5.0);
        }
        let all: f64 = self.tenants.iter().map(|t| t.rate).sum();
        let seen = self
            .tenants
            .iter()
            .zip(quotas)
            .filter(|(t, _)| t.rate > 0.05 * all);
        let least = seen
            .map(|(t, allowed)| t.rate / allowed.max(1e-6))
            .fold(f64::INFINITY, f64::min);
        self.lopsided = (least * 1.2).clamp(1.0, self.fleet.peers);
        let tenant = &mut self.tenants[tenant.0];
        let over = tenant.left < 1.0;
        tenant.left -= if over { 0.0 } else { 1.0 };
        over
    }

    fn fade_demand(&mut self, now: Timestamp) {
        let gone = (now - self.demand_at.replace(now).unwrap_or(now)).secs();
        let keep = (-gone / DEMAND_S).exp();
        for demand in &mut self.demand {
            demand
                .bands
                .iter_mut()
                .for_each(|band| *band = (band.0 * keep, band.1 * keep));
            (demand.cpu, demand.priority_weight) =
                (demand.cpu * keep, demand.priority_weight * keep);
        }
        self.delivered *= keep;
    }

    /// Shares follow predicted demand, the best gain per CPU second first: pressure falls on heavy work. The
    /// gain per CPU second at which capacity ends is the price that the near-best exception asks.
    fn share_out(&mut self, now: Timestamp) {
        self.fade_demand(now);
        let all = |(p, demand): (usize, &Demand)| {
            demand
                .bands
                .map(|(cpu, priority_weight)| (priority_weight / cpu, cpu, p))
        };
        let mut bands: Vec<_> = self
            .demand
            .iter()
            .enumerate()
            .flat_map(all)
            .filter(|b| b.1 > 1e-6)
            .collect();
        bands.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.2.cmp(&b.2)));
        let capacity = self.whole.cores.max(self.delivered * 1.2);
        let mut left = capacity;
        self.price = 0.0;
        self.demand.iter_mut().for_each(|demand| demand.share = 0.0);
        for (priority_weight, cpu, p) in bands {
            self.demand[p].share += cpu.min(left);
            self.price = if cpu >= left && left > 0.0 {
                priority_weight
            } else {
                self.price
            };
            left = (left - cpu).max(0.0);
        }
        self.demand
            .iter_mut()
            .for_each(|d| d.share = (d.share / (capacity - left).max(1e-6)).max(0.02));
    }

    fn fill(&mut self, now: Timestamp) {
        let best = median(
            self.engines
                .values()
                .filter_map(|e| e.books.lag.best)
                .collect(),
        );
        self.engines
            .values_mut()
            .for_each(|e| e.books.lag.best = e.books.lag.best.or(best));
        self.whole.fill(now, 1.0, &self.demand);
        let part = self.cold_part();
        for engine in self.engines.values_mut() {
            let gone = (now - engine.books.filled).secs().max(0.0);
            let warmth = warmth(self.cold, engine, now);
            engine.books.fill(now, warmth, &self.demand);
            let Some(cold) = self.cold else { continue };
            let most = cold_budget(&engine.books, cold, warmth) * part;
            engine.cold_left =
                (engine.cold_left + 2.0 * most * gone / cold.window.secs().max(1e-3)).min(most);
        }
    }

    fn choose(
        &mut self,
        now: Timestamp,
        s: &Statement,
        position: QueuePosition,
        predicted: f64,
    ) -> Option<EngineId> {
        self.fill(now);
        let (priority, need) = (self.priority(s, predicted), self.need_mb(s));
        let (p, class, usual) = (s.class.0, &self.classes[s.class.0], self.usual(s.class.0));
        let pays = class.priority_weight / predicted >= self.price * 0.999;
        let listed = self
            .engines
            .values()
            .filter(|e| e.fact.stage == EngineStage::Ready);
        let all: Vec<&Engine> = listed.filter(|e| allowed(class, s, &e.fact, now)).collect();
        let outlier_probes = self.outlier_probes.room(now)
            && self.allowed.outlier_probes.is_none_or(|left| left >= 1.0);
        let back = |h: &Health| {
            h.ejected_until
                .is_none_or(|until| until <= now && h.outlier_probe.is_none() && outlier_probes)
        };
        let mut fit: Vec<&Engine> = all.iter().copied().filter(|e| back(&e.health)).collect();
        // Most bad at once is a common cause, or ours: benching would put the whole load on the rest.
        if fit.len() * 2 < all.len() {
            fit = all;
        }
        let (share, mut best) = (self.demand[p].share, None::<(f64, EngineId)>);
        // Slow statements hold memory for longer: its share over the fleet is led by latency.
        let stuck = self
            .engines
            .values()
            .filter(|e| e.health.ejected_until.is_some());
        let stuck: f64 = stuck.map(|e| e.books.running(priority)).sum();
        let full_up = self.whole.running(priority) - stuck >= self.whole.bound;
        // Nothing is short: who is over an quota is rejected first, not for nothing.
        let calm = self.whole.running(0) < 0.7 * self.whole.bound
            && self
                .whole
                .lag
                .over_best(&self.whole.lag)
                .is_none_or(|over| over < 1.5);
        let ease = self
            .whole
            .lag
            .over_best(&self.whole.lag)
            .map_or(1.0, |over| (1.5 / over).clamp(0.6, 1.2));
        let room = self.whole.held_mb + need * 0.5 <= self.whole.memory_mb * ease;
        for engine in fit {
            let warmth = warmth(self.cold, engine, now);
            let own = &engine.books;
            // An engine's bucket that cannot hold one usual statement says nothing; all of them together do.
            let books = if own.full(share) >= usual {
                own
            } else {
                &self.whole
            };
            let (full, left) = (books.full(share) * warmth, books.left[p]);
            let over = own.lag.over_best(&self.whole.lag);
            let near = pays && engine.waiting < 1.0 && over.is_none_or(|over| over <= NEAR);
            let spare = (books.bound.min(books.cores) * 0.8).max(class.threads);
            let ample =
                left >= predicted + full * 0.5 && books.running(priority) + class.threads <= spare;
            let enough = left >= predicted || left >= full * 0.99 || near;
            let afford = if position.over_quota && !calm {
                ample
            } else {
                enough
            };
            // A budget too small for one statement saves up for it, if all gateways' together would hold it.
            let most = self.cold.map_or(0.0, |cold| cold_budget(own, cold, warmth));
            let saved = engine.cold_left >= usual.min(most * self.cold_part());
            let cold_ok = warmth >= 1.0 || usual <= most * self.fleet.peers && saved;
            // Spilling and paging are worse than holding here. Could harm where estimates are too high.
            let fits = own.held_mb + need <= own.memory_mb
                || own.held_mb <= 0.3 * own.memory_mb && room
                || self.whole.held_mb <= 0.0;
            if !(afford && fits && cold_ok) || own.running(priority) >= own.bound || full_up {
                continue;
            }
            let last = if s.attempts.iter().any(|r| r.engine == engine.fact.id) {
                1e3
            } else {
                0.0
            };
            // A free connection saves a handshake: one attempt empties a small share's bucket for longer than idle
            // connections are kept, so the fullest bucket alone would open one for nearly every attempt.
            let linked = if self
                .fleet
                .idle
                .is_some_and(|i| engine.linked(now, i) > engine.out)
            {
                1e2
            } else {
                0.0
            };
            let score = own.left[p] / (own.full(share) * warmth).max(1e-9) + linked - last;
            let score = score + self.rng.random::<f64>() * 0.01;
            best = best
                .filter(|(most, _)| *most >= score)
                .or(Some((score, engine.fact.id)));
        }
        best.map(|(_, id)| id)
    }

    fn send(&mut self, now: Timestamp, s: &Statement, id: EngineId, predicted: f64) -> Placement {
        let (priority, need, usual) = (
            self.priority(s, predicted),
            self.need_mb(s),
            self.usual(s.class.0),
        );
        let threads = self.classes[s.class.0].threads;
        let pace = self
            .fleet
            .progress_interval
            .map_or(f64::INFINITY, |p| p.secs() * 1.25 + 0.3);
        let engine = self.engines.get_mut(&id).expect("chosen from the table");
        for books in [&mut engine.books, &mut self.whole] {
            books.charge(
                s.class.0,
                predicted,
                books.full(self.demand[s.class.0].share),
            );
            books.run(priority, threads, need);
        }
        engine.cold_left -= usual;
        let linked = self.fleet.idle.map_or(0, |idle| engine.linked(now, idle));
        engine.out += 1;
        engine.linked = (linked.max(engine.out), Some(now));
        let lag = engine.books.lag.now().unwrap_or(1.0);
        let due = now + TimeDelta::from_secs((4.0 * predicted * lag / threads + 0.5).min(pace));
        engine.health.due = Some(engine.health.due.map_or(due, |d| d.min(due)));
        let outlier_probe = engine.health.ejected_until.is_some();
        if outlier_probe {
            engine.health.outlier_probe = Some(s.id);
            self.outlier_probes.slice(now).2 += 1.0;
            self.allowed
                .outlier_probes
                .iter_mut()
                .for_each(|left| *left -= 1.0);
        }
        let fact = engine.fact;
        let again = if s.attempts.is_empty() { 0.0 } else { 1.0 };
        self.retry_budgets
            .iter_mut()
            .for_each(|spent| spent.slice(now).2 += again);
        let left = self.allowed.retries.get_mut(s.class.0);
        left.into_iter().flatten().for_each(|left| *left -= again);
        self.turn(s)
            .into_iter()
            .for_each(|turn| turn.out = Some(s.id));
        let attempt = Attempt {
            engine: id,
            location: fact.location,
            cell: fact.cell,
            sent: now,
            charge: TimeDelta::from_secs(predicted),
            threads,
            memory_mb: need,
            priority,
            outlier_probe,
            state: AttemptState::InFlight,
        };
        Placement::Send {
            attempt,
            timeout: None,
            priority: self.fleet.priorities_honored.then_some(priority),
        }
    }

    fn need_mb(&self, s: &Statement) -> f64 {
        let (needed, estimated) = self.needs[s.class.0];
        s.memory_mb.max(0.0) * needed / estimated.max(1e-9)
    }

    /// A query class's usual CPU, for rule 4: the completed alone are too light where the heavy are rejected.
    fn usual(&self, p: usize) -> f64 {
        let asked = self.demand[p].priority_weight / self.classes[p].priority_weight.max(1e-6);
        self.costs.usual[p]
            .0
            .max(self.demand[p].cpu / asked.max(1e-6))
            .max(1e-4)
    }

    /// Short latency objective first: the light ones hardly slow the heavy, the heavy would ruin the light.
    fn priority(&self, s: &Statement, predicted: f64) -> u8 {
        let total: f64 = self.demand.iter().map(|d| d.cpu).sum::<f64>().max(1e-9);
        let part = |p: usize| {
            latency_objective(&self.classes[p], self.usual(p)) * self.demand[p].cpu / total
        };
        let usual: f64 = (0..self.classes.len()).map(part).sum();
        let part = latency_objective(&self.classes[s.class.0], predicted) / usual.max(1e-9);
        let priority = [0.5, 0.8, 1.6].iter().filter(|edge| part < **edge).count() as u8;
        if self.fleet.priorities_honored {
            priority
        } else {
            1
        }
    }

    fn noted(
        &mut self,
        now: Timestamp,
        s: &Statement,
        attempt: &Attempt,
        o: &AttemptReport,
    ) -> NextStep {
        let AttemptEvent::Progress(done) = o.event else {
            return NextStep::Continue;
        };
        let class = &self.classes[s.class.0];
        let (elapsed, left) = ((now - attempt.sent).secs(), (s.deadline - now).secs());
        let lag = self
            .engines
            .get(&attempt.engine)
            .and_then(|e| e.books.lag.now())
            .unwrap_or(1.0)
            .max(1.0);
        let fresh = attempt.charge.secs() / class.threads * lag;
        let total = elapsed / done.clamp(0.001, 1.0);
        let pays = total - elapsed > 2.0 * fresh && fresh * 1.3 < left && total > 3.5 * fresh;
        let repeatable = effect(class, s) == Effect::Idempotent
            && s.attempts.len() < self.retry_policy.max_attempts;
        let cancel = self.retry_policy.can_cancel
            && repeatable
            && pays
            && self.may_relay_again(now, s.class);
        if cancel {
            NextStep::Cancel(o.attempt)
        } else {
            NextStep::Continue
        }
    }

    fn next(&mut self, now: Timestamp, s: &Statement, o: &AttemptReport) -> NextStep {
        let settle = self.retry_policy.order_settle;
        if let Some(turn) = self.turn(s) {
            turn.out = turn.out.filter(|id| *id != s.id);
            if matches!(
                o.event,
                AttemptEvent::TimedOut | AttemptEvent::Reset | AttemptEvent::Cancelled
            ) {
                turn.rest_until = Some(now + settle);
            }
        }
        if o.answered {
            self.on_statement_over(s);
            return NextStep::Done;
        }
        let ran = s
            .attempts
            .iter()
            .any(|r| r.state == AttemptState::MayHaveRun);
        let its_own = o.event == AttemptEvent::Error && s.attempts.len() >= SEVERAL;
        let never_again =
            its_own || ran && effect(&self.classes[s.class.0], s) == Effect::NonIdempotent;
        if !never_again
            && (s.deadline - now).secs() >= 0.03
            && s.attempts.len() < self.retry_policy.max_attempts
        {
            return NextStep::Requeue;
        }
        let Placement::Reject { retry_after } = self.give_up(now, s) else {
            return NextStep::Fail;
        };
        NextStep::Reject { retry_after }
    }

    /// Rule 2: a rejection says that trying again is harmless, so it needs proof.
    fn give_up(&mut self, now: Timestamp, s: &Statement) -> Placement {
        self.on_statement_over(s);
        let ran = s
            .attempts
            .iter()
            .find(|r| r.state != AttemptState::NeverRan);
        let harmless = ran.is_none_or(|ran| match effect(&self.classes[s.class.0], s) {
            Effect::Idempotent => true,
            Effect::IdempotentByKey {
                scope: DeduplicationScope::All,
                window,
            } => now - ran.sent < window,
            _ => false,
        });
        if harmless {
            Placement::Reject {
                retry_after: self.retry_policy.max_retry_after,
            }
        } else {
            Placement::Fail
        }
    }

    /// Rule 2 in time: a repeat that leaves later may meet an engine that has forgotten the first.
    pub fn repeat_until(&self, s: &Statement) -> Option<Timestamp> {
        let Effect::IdempotentByKey { window, .. } = effect(&self.classes[s.class.0], s) else {
            return None;
        };
        s.attempts
            .iter()
            .find(|r| r.state != AttemptState::NeverRan)
            .map(|ran| ran.sent + window)
    }

    fn turn(&mut self, s: &Statement) -> Option<&mut Turn> {
        self.turn_key(s).and_then(|key| self.turns.get_mut(&key))
    }

    fn turn_key(&self, s: &Statement) -> Option<OrderKey> {
        s.key.filter(|_| self.classes[s.class.0].ordered_by_key)
    }

    fn ordered_by_key(&self, now: Timestamp, s: &Statement) -> bool {
        let Some(turn) = self.turn_key(s).and_then(|key| self.turns.get(&key)) else {
            return true;
        };
        let rested = turn.rest_until.is_none_or(|until| until <= now);
        rested && turn.out.is_none() && turn.line.front().is_none_or(|id| *id == s.id)
    }

    fn may_relay_again(&mut self, now: Timestamp, class: ClassId) -> bool {
        let left = self.allowed.retries.get(class.0).copied().flatten();
        left.is_none_or(|left| left >= 1.0)
            && self.retry_budgets.iter_mut().all(|spent| spent.room(now))
    }

    /// In parts of 1/peers, which its books are cut by.
    fn cold_part(&self) -> f64 {
        self.allowed
            .slow_start
            .map_or(1.0, |part| part * self.fleet.peers)
    }

    /// Holds until it is told anew; what is sent meanwhile is taken off.
    pub fn on_quota(&mut self, allowed: QuotaGrant) {
        self.allowed = allowed;
    }

    /// Spread by chance, or every gateway that lost its subscription would ask in the same instant.
    fn ask_list(&mut self, now: Timestamp) -> Option<DiscoveryRequest> {
        let (asked, every) = self.asked;
        let again = asked.is_none_or(|asked| every > 0.0 && (now - asked).secs() >= every);
        if !self.discovery.on_request || !again {
            return None;
        }
        let (longest, chance) = (
            self.discovery.request_within.secs() * 0.4,
            self.rng.random::<f64>(),
        );
        let later = if asked.is_none() {
            longest
        } else {
            every * (1.5 + chance)
        };
        self.asked = (Some(now), later.min(longest));
        Some(DiscoveryRequest::Watch)
    }
}

/// Without its mark no engine knows a repeat.
fn effect(class: &QueryClass, s: &Statement) -> Effect {
    let unknown = !s.has_idempotency_key && matches!(class.effect, Effect::IdempotentByKey { .. });
    if unknown {
        Effect::NonIdempotent
    } else {
        class.effect
    }
}

fn latency_objective(class: &QueryClass, cpu: f64) -> f64 {
    class.latency_objective.secs() + class.latency_objective_stretch * cpu / class.threads
}

/// Rule 4 tells only where it starts and when it ends: the curve lies under the straight line between.
fn warmth(cold: Option<SlowStart>, engine: &Engine, now: Timestamp) -> f64 {
    let (Some(cold), Some(started)) = (cold, engine.fact.started) else {
        return 1.0;
    };
    let age = (now - started).secs() / cold.warm_up.secs().max(1e-3);
    if age >= 1.0 {
        1.0
    } else {
        cold.initial_share + (1.0 - cold.initial_share) * age.max(0.0).powi(2)
    }
}

fn cold_budget(books: &Books, cold: SlowStart, warmth: f64) -> f64 {
    books.cores * warmth * COLD_PART * cold.overload_multiple * cold.window.secs() * 0.5
}

fn allowed(class: &QueryClass, s: &Statement, fact: &EngineInfo, now: Timestamp) -> bool {
    let placed = class
        .locations
        .as_ref()
        .is_none_or(|of| of.contains(&fact.location))
        && class
            .machines
            .as_ref()
            .is_none_or(|of| of.contains(&fact.machine));
    let again = |ran: &Attempt| match effect(class, s) {
        Effect::Idempotent => true,
        Effect::NonIdempotent => false,
        Effect::IdempotentByKey { window, .. } if now - ran.sent >= window => false,
        Effect::IdempotentByKey {
            scope: DeduplicationScope::All,
            ..
        } => true,
        Effect::IdempotentByKey {
            scope: DeduplicationScope::Location,
            ..
        } => fact.location == ran.location,
        Effect::IdempotentByKey {
            scope: DeduplicationScope::Cell,
            ..
        } => fact.cell == ran.cell,
    };
    placed
        && s.attempts
            .iter()
            .find(|r| r.state != AttemptState::NeverRan)
            .is_none_or(again)
}
