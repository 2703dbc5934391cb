//! The queues by themselves, with a plain stand-in for the module's room: hard cases by name, and random days whose
//! order, sums and bounds are checked after every step.

// A test tells one story from top to bottom, and tables of cases are long.
#![allow(clippy::too_many_lines)]

use std::collections::BTreeMap;

use admission::interface::{ClassId, OrderKey, QueuePosition, StatementId, TimeDelta, Timestamp};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use scheduler::{
    CapacityFrontier, CapacityShare, Config, EnqueueOutcome, EnqueueRequest, Eviction, Offer,
    QueueLimit, QueueResolver, QueuedStatement, ResourceNeed, SubQueueConfig, SubQueueId,
    TenantConfig, TenantQueues, TreapArena, TreapRoot, Work,
};

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(1000.0 + secs)
}

fn span(secs: f64) -> TimeDelta {
    TimeDelta::from_secs(secs)
}

fn share(budget: f64) -> CapacityShare {
    CapacityShare {
        budget,
        weight: budget.max(0.1),
    }
}

fn sub_queue(name: &str, budget: f64) -> SubQueueConfig {
    SubQueueConfig {
        name: name.into(),
        share: share(budget),
        networks: Vec::new(),
    }
}

fn tenant(name: &str, sub_queues: Vec<SubQueueConfig>) -> TenantConfig {
    let budget = sub_queues
        .iter()
        .map(|sub_queue| sub_queue.share.budget)
        .sum();
    TenantConfig {
        name: name.into(),
        share: share(budget),
        sub_queues,
    }
}

/// Members `m0`, `m1`, ... of one sub_queue each.
fn config(budgets: &[f64]) -> Config {
    let names = budgets.iter().enumerate();
    Config {
        tenants: names
            .map(|(at, budget)| tenant(&format!("m{at}"), vec![sub_queue("all", *budget)]))
            .collect(),
        ageing: span(1.0),
        burst: span(2.0),
        sub_queue_limit: QueueLimit {
            statements: 1000,
            cpu: 1e4,
        },
        total_limit: QueueLimit {
            statements: 5000,
            cpu: 1e5,
        },
    }
}

fn entry(id: u64, sub_queue: u32, cpu: f64, by: f64) -> EnqueueRequest {
    EnqueueRequest {
        id: StatementId(id),
        sub_queue: SubQueueId(sub_queue),
        class: ClassId(0),
        position: QueuePosition {
            deadline: at(by),
            id: StatementId(id),
            over_quota: false,
        },
        need: ResourceNeed {
            cpu,
            memory_mb: 1.0,
        },
        objective_until: at(by),
        useful_until: at(by),
        key: None,
    }
}

fn waits(queues: &mut TenantQueues, now: f64, entry: &EnqueueRequest) {
    let enqueued = queues.enqueue(at(now), entry);
    assert!(
        matches!(enqueued.outcome, EnqueueOutcome::Queued(_)),
        "{enqueued:?}"
    );
    assert!(enqueued.evicted.is_empty());
}

/// Releases the next `count`, in one round; their ids.
fn release(queues: &mut TenantQueues, now: f64, count: usize) -> Vec<u64> {
    queues.begin_round(at(now), 4.0, 1.0);
    let mut out = Vec::new();
    while out.len() < count
        && let Some(Offer { position, .. }) = queues.next_offer()
    {
        queues.release(at(now), position.id, lines_cpu(position));
        out.push(position.id.0);
    }
    out
}

/// By these tests' ids: hundredths of a CPU second behind the thousands.
fn lines_cpu(position: QueuePosition) -> f64 {
    (position.id.0 % 1000) as f64 / 100.0
}

#[test]
fn a_tenant_within_budget_goes_first_and_what_is_left_is_borrowed_by_weight() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0, 3.0, 1.0]), 1, 7);
    // 20 s of work each, a tenth a statement; the third tenant asks for nothing.
    for n in 0..200 {
        for team in 0..2 {
            waits(
                &mut queues,
                0.0,
                &entry(
                    (n * 2 + team) * 1000 + 10,
                    team as u32,
                    0.1,
                    60.0 + n as f64,
                ),
            );
        }
    }
    // 5 CPU seconds a second for 4 s, of which the first two hold 4 owed and one nobody asks for.
    let mut got = [0.0f64; 2];
    for step in 1..=40 {
        for id in release(&mut queues, step as f64 * 0.1, 5) {
            got[(id / 1000 % 2) as usize] += 0.1;
        }
    }
    // Owed: the bursts of 2 and 6, 4 s of 1 and 3; 20 in all leave less than that. By budget then: one to three.
    assert!(
        (got[0] - 5.0).abs() < 1.0 && (got[1] - 15.0).abs() < 1.0,
        "{got:?}"
    );
}

#[test]
fn in_one_sub_queue_the_earliest_deadline_leaves_first_over_all_classes() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0]), 2, 7);
    for (id, by, class) in [
        (1010, 9.0, 0),
        (2010, 3.0, 1),
        (3010, 5.0, 0),
        (4010, 4.0, 1),
    ] {
        waits(
            &mut queues,
            0.0,
            &EnqueueRequest {
                class: ClassId(class),
                ..entry(id, 0, 0.1, by)
            },
        );
    }
    assert_eq!(release(&mut queues, 0.1, 9), [2010, 4010, 3010, 1010]);
}

#[test]
fn what_found_no_capacity_lets_cheaper_ones_and_other_classes_pass_but_not_dearer_ones() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0]), 2, 7);
    for (id, cpu, by, class) in [
        (1, 2.0, 3.0, 0),
        (2, 3.0, 4.0, 0),
        (3, 1.0, 5.0, 0),
        (4, 9.0, 6.0, 1),
    ] {
        waits(
            &mut queues,
            0.0,
            &EnqueueRequest {
                class: ClassId(class),
                ..entry(id, 0, cpu, by)
            },
        );
    }
    queues.begin_round(at(0.1), 4.0, 1.0);
    let mut asked = Vec::new();
    while let Some(Offer { position, .. }) = queues.next_offer() {
        asked.push(position.id.0);
        queues.no_capacity(position.id, false, at(10.0));
    }
    assert_eq!(asked, [1, 3, 4]);
    // The next round asks anew.
    queues.begin_round(at(0.2), 4.0, 1.0);
    assert_eq!(queues.next_offer().unwrap().position.id.0, 1);
}

#[test]
fn the_first_of_a_sub_queue_without_budget_is_passed_over_no_longer_than_the_bound() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0, 0.0]), 1, 7);
    waits(&mut queues, 0.0, &entry(999_010, 1, 0.1, 90.0));
    let mut next = 1;
    for step in 1..=30 {
        // The other tenant always has more, and is within its budget.
        for _ in 0..2 {
            waits(
                &mut queues,
                step as f64 * 0.05,
                &entry(next * 1000 + 1, 0, 0.01, 80.0),
            );
            next += 1;
        }
        let out = release(&mut queues, step as f64 * 0.05, 1);
        assert_eq!(out.contains(&999_010), step == 20, "step {step}: {out:?}");
        if step == 20 {
            return;
        }
    }
}

#[test]
fn a_statement_larger_than_the_whole_budget_goes_and_leaves_a_debt() {
    let mut queues = TenantQueues::new(at(0.0), config(&[0.5, 1.0]), 1, 7);
    waits(&mut queues, 0.0, &entry(1900, 0, 9.0, 20.0));
    assert_eq!(release(&mut queues, 0.1, 1), [1900]);
    // In debt by 8 s of work: the other's later one goes first for 16 s, then its earlier one is first again.
    waits(&mut queues, 0.2, &entry(2010, 0, 0.1, 30.0));
    waits(&mut queues, 0.2, &entry(3010, 1, 0.1, 40.0));
    queues.begin_round(at(0.9), 4.0, 1.0);
    assert_eq!(queues.next_offer().unwrap().position.id.0, 3010);
    // An outcome that cost much less than was charged gives the rest back.
    queues.settle(at(0.9), StatementId(1900), Some(0.1));
    queues.begin_round(at(0.95), 4.0, 1.0);
    assert_eq!(queues.next_offer().unwrap().position.id.0, 2010);
}

#[test]
fn a_full_sub_queue_evicts_its_last_and_full_queues_the_last_of_the_heaviest() {
    let mut of = config(&[1.0, 1.0]);
    (of.sub_queue_limit.statements, of.total_limit.statements) = (3, 4);
    let mut queues = TenantQueues::new(at(0.0), of, 1, 7);
    for (id, by) in [(1, 10.0), (2, 20.0), (3, 30.0)] {
        waits(&mut queues, 0.0, &entry(id, 0, 1.0, by));
    }
    let later = queues.enqueue(at(0.0), &entry(4, 0, 1.0, 40.0));
    assert!(matches!(later.outcome, EnqueueOutcome::Rejected { .. }) && later.evicted.is_empty());
    let sooner = queues.enqueue(at(0.0), &entry(5, 0, 1.0, 15.0));
    assert!(matches!(sooner.outcome, EnqueueOutcome::Queued(_)));
    assert_eq!(
        sooner
            .evicted
            .iter()
            .map(|eviction| eviction.id.0)
            .collect::<Vec<_>>(),
        [3]
    );
    waits(&mut queues, 0.0, &entry(6, 1, 1.0, 90.0));
    // The house is full: the second sub_queue's next, however late, takes the place of the first sub_queue's last.
    let other = queues.enqueue(at(0.0), &entry(7, 1, 1.0, 95.0));
    assert_eq!(
        other
            .evicted
            .iter()
            .map(|eviction| eviction.id.0)
            .collect::<Vec<_>>(),
        [2]
    );
    // Even now: nobody has the better share.
    let even = queues.enqueue(at(0.0), &entry(8, 1, 1.0, 99.0));
    assert!(matches!(even.outcome, EnqueueOutcome::Rejected { .. }) && even.evicted.is_empty());
    assert_eq!(queues.len(), 4);
}

#[test]
fn keyed_statements_leave_in_the_order_they_came_whatever_their_deadlines() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0]), 1, 7);
    let key = Some(OrderKey(5));
    for (id, by) in [(1010, 9.0), (2010, 3.0)] {
        waits(
            &mut queues,
            0.0,
            &EnqueueRequest {
                key,
                ..entry(id, 0, 0.1, by)
            },
        );
    }
    waits(&mut queues, 0.0, &entry(3010, 0, 0.1, 20.0));
    queues.begin_round(at(0.1), 4.0, 1.0);
    // Its turn is not there yet, which says nothing of room: the other is asked about all the same.
    assert_eq!(queues.next_offer().unwrap().position.id.0, 1010);
    queues.no_capacity(StatementId(1010), false, at(9.0));
    assert_eq!(queues.next_offer().unwrap().position.id.0, 3010);
    assert_eq!(release(&mut queues, 0.2, 9), [1010, 2010, 3010]);
    assert!(queues.is_empty());
}

#[test]
fn reconfiguration_keeps_all_that_waits_in_its_order_and_what_was_used() {
    let two = |name: &str| tenant(name, vec![sub_queue("front", 1.0), sub_queue("back", 1.0)]);
    let mut of = config(&[]);
    of.tenants = vec![two("a"), two("b")];
    let mut queues = TenantQueues::new(at(0.0), of.clone(), 1, 7);
    for id in 0..40 {
        waits(
            &mut queues,
            0.0,
            &entry(
                id * 1000 + 1,
                (id % 4) as u32,
                0.01,
                10.0 + (id * 7 % 11) as f64,
            ),
        );
    }
    // `b` keeps one sub_queue under another number, `a` is gone.
    of.tenants = vec![
        tenant("new", vec![sub_queue("all", 1.0)]),
        tenant("b", vec![sub_queue("back", 3.0)]),
    ];
    queues.reconfigure(at(0.1), of);
    assert_eq!(queues.len(), 40);
    let status = queues.sub_queue_status(at(0.1), 10);
    let waiting: Vec<_> = status
        .iter()
        .map(|s| (&s.tenant[..], &s.sub_queue[..], s.waiting))
        .collect();
    assert_eq!(waiting, [("new", "all", 20), ("b", "back", 20)]);
    let mut left = release(&mut queues, 0.2, 99);
    assert_eq!(left.len(), 40);
    left.sort_unstable();
    assert_eq!(left, (0..40).map(|id| id * 1000 + 1).collect::<Vec<_>>());
}

#[test]
fn a_wait_longer_than_its_use_is_rejected_at_entry() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0, 1.0]), 1, 7);
    let mut id = 0;
    let mut enter = |queues: &mut TenantQueues, now: f64, useful_until: f64| {
        id += 1;
        let entry = entry(id * 1000 + 10, 0, 0.1, 100.0 + id as f64);
        let objective_until = at(useful_until);
        queues
            .enqueue(
                at(now),
                &EnqueueRequest {
                    objective_until,
                    ..entry
                },
            )
            .outcome
    };
    for _ in 0..60 {
        enter(&mut queues, 0.0, 100.0);
    }
    // One CPU second a second.
    for step in 1..=20 {
        assert_eq!(release(&mut queues, step as f64 * 0.1, 1).len(), 1);
    }
    // 40 wait: some four seconds.
    let EnqueueOutcome::Queued(estimate) = enter(&mut queues, 2.0, 60.0) else {
        panic!()
    };
    assert!(
        (3.4..4.6).contains(&estimate.median.secs()) && estimate.p90 >= estimate.median,
        "{estimate:?}"
    );
    let EnqueueOutcome::Rejected { retry_after: back } = enter(&mut queues, 2.0, 4.0) else {
        panic!("it sits there beyond its use")
    };
    // Twice the 90th percentile must fit into what is left until its latency objective.
    assert!((3.0..12.0).contains(&back.secs()), "{back:?}");
}

#[test]
fn estimates_double_when_half_the_cores_go() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0]), 1, 7);
    for id in 1..=60 {
        waits(&mut queues, 0.0, &entry(id * 1000 + 10, 0, 0.1, 100.0));
    }
    for step in 1..=20 {
        release(&mut queues, step as f64 * 0.1, 1);
    }
    let before = queues
        .remaining_wait(at(2.0), StatementId(60_010))
        .unwrap()
        .median
        .secs();
    queues.begin_round(at(2.01), 2.0, 1.0);
    let after = queues
        .remaining_wait(at(2.01), StatementId(60_010))
        .unwrap()
        .median
        .secs();
    assert!((1.8..2.2).contains(&(after / before)), "{before} {after}");
}

#[test]
fn half_of_those_who_wait_leave_at_once_and_the_rest_stand_as_they_did() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0, 1.0, 0.0]), 1, 7);
    for id in 0..300 {
        waits(
            &mut queues,
            0.0,
            &entry(
                id * 1000 + 1,
                (id % 3) as u32,
                0.01,
                50.0 + (id * 13 % 100) as f64,
            ),
        );
    }
    for id in (0..300).step_by(2) {
        assert!(queues.remove(at(0.1), StatementId(id * 1000 + 1)).is_some());
        assert!(queues.remove(at(0.1), StatementId(id * 1000 + 1)).is_none());
    }
    let left = release(&mut queues, 0.2, 999);
    assert_eq!(left.len(), 150);
    assert!(queues.is_empty() && left.iter().all(|id| id / 1000 % 2 == 1));
}

#[test]
fn a_thousand_tenants_of_which_three_are_busy_share_as_three_would() {
    let budgets: Vec<f64> = (0..1000).map(|_| 1.0).collect();
    let mut queues = TenantQueues::new(at(0.0), config(&budgets), 1, 7);
    for n in 0..300 {
        for (team, sub_queue) in [17, 500, 999].into_iter().enumerate() {
            waits(
                &mut queues,
                0.0,
                &entry(
                    (n * 3 + team as u64) * 1000 + 10,
                    sub_queue,
                    0.1,
                    60.0 + n as f64,
                ),
            );
        }
    }
    let mut got = [0; 3];
    for step in 1..=30 {
        release(&mut queues, step as f64 * 0.1, 10)
            .into_iter()
            .for_each(|id| got[(id / 1000 % 3) as usize] += 1);
    }
    assert!(got.iter().all(|got| (95..=105).contains(got)), "{got:?}");
}

#[test]
fn sub_queues_are_found_by_name_then_network_then_default() {
    let mut of = config(&[1.0]);
    let with = |name: &str, networks: &[&str]| SubQueueConfig {
        networks: networks
            .iter()
            .map(|network| network.parse().unwrap())
            .collect(),
        ..sub_queue(name, 1.0)
    };
    of.tenants.push(tenant(
        "w",
        vec![
            with("d", &[]),
            with("n", &["10.0.0.0/8"]),
            with("m", &["10.9.0.0/16", "fd00::/8"]),
        ],
    ));
    let resolver = QueueResolver::new(&of);
    for (tenant, sub_queue, from, want) in [
        (Some("w"), Some("n"), Some("10.9.1.1"), (2, true)),
        (Some("w"), None, Some("10.9.1.1"), (3, true)),
        (Some("w"), None, Some("10.8.1.1"), (2, true)),
        (Some("w"), None, Some("::ffff:10.9.1.1"), (3, true)),
        (Some("w"), None, Some("fd12::1"), (3, true)),
        (Some("w"), None, Some("192.0.2.1"), (1, true)),
        (Some("w"), Some("other"), Some("10.9.1.1"), (1, false)),
        (Some("who"), None, Some("10.9.1.1"), (0, false)),
        (None, None, None, (0, true)),
    ] {
        let found = resolver.resolve(tenant, sub_queue, from.map(|from| from.parse().unwrap()));
        assert_eq!(
            (found.sub_queue.0, found.known),
            want,
            "{tenant:?} {sub_queue:?} {from:?}"
        );
    }
}

/// The treap against a sorted list, step by step.
#[test]
fn the_treap_agrees_with_a_sorted_list() {
    fn holds(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut arena, mut root, mut plain) =
            (TreapArena::new(seed), TreapRoot::default(), BTreeMap::new());
        for step in 0..300u64 {
            let position = QueuePosition {
                deadline: at(rng.random_range(0..40) as f64),
                id: StatementId(step),
                over_quota: false,
            };
            let need = ResourceNeed {
                cpu: rng.random_range(1..20) as f64,
                memory_mb: rng.random_range(1..20) as f64,
            };
            arena.insert(&mut root, position, need);
            plain.insert(position, need);
            if rng.random::<f64>() < 0.45 {
                let at = *plain.keys().nth(rng.random_range(0..plain.len())).unwrap();
                plain.remove(&at);
                assert!(arena.remove(&mut root, at) && !arena.remove(&mut root, at));
            }
            let mut frontier = CapacityFrontier::default();
            for _ in 0..rng.random_range(0..4) {
                let (cpu, memory_mb) = (
                    rng.random_range(1..20) as f64,
                    rng.random_range(1..20) as f64,
                );
                frontier.record(ResourceNeed { cpu, memory_mb });
            }
            let first = plain
                .iter()
                .find(|(_, need)| frontier.may_have_capacity(**need));
            assert_eq!(
                arena.first_with_capacity(root, &frontier),
                first.map(|(position, need)| QueuedStatement {
                    position: *position,
                    need: *need
                })
            );
            let before: Vec<_> = plain.range(..position).map(|(_, need)| need.cpu).collect();
            assert_eq!(
                arena.ahead(root, position),
                Work {
                    statements: before.len() as u32,
                    cpu: before.iter().sum()
                }
            );
            assert_eq!(
                arena.last(root).map(|last| last.position),
                plain.keys().last().copied()
            );
        }
        arena.positions(root) == plain.keys().copied().collect::<Vec<_>>()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 3))
        .tests(40)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Random days. After every step: bounds kept, nobody lost or twice out, sums right, one sub_queue's order kept among those
/// for whom there is room, and no head passed over beyond the bound while others that came later leave.
#[test]
fn random_days_keep_the_bounds() {
    fn day(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let teams = rng.random_range(1..6usize);
        let budgets: Vec<f64> = (0..teams)
            .map(|_| [0.0, 0.5, 1.0, 3.0][rng.random_range(0..4usize)])
            .collect();
        let mut of = config(&budgets);
        of.ageing = span(0.5);
        (of.sub_queue_limit, of.total_limit) = (
            QueueLimit {
                statements: 30,
                cpu: 20.0,
            },
            QueueLimit {
                statements: 60,
                cpu: 40.0,
            },
        );
        let mut queues = TenantQueues::new(at(0.0), of.clone(), 2, seed);
        let mut here: BTreeMap<u64, (u32, f64, f64)> = BTreeMap::new();
        // By sub_queue: since when it has waited without a release.
        let mut since: BTreeMap<u32, f64> = BTreeMap::new();
        let (mut now, mut id, mut out) = (0.0, 0u64, Vec::<StatementId>::new());
        for _ in 0..400 {
            now += 0.02;
            queues.begin_round(at(now), 4.0, 1.0);
            for _ in 0..rng.random_range(0..4) {
                id += 1;
                let (sub_queue, cpu) = (
                    rng.random_range(0..teams as u32),
                    rng.random_range(0.01..2.0),
                );
                let position = QueuePosition {
                    deadline: at(now + 1000.0),
                    id: StatementId(id),
                    over_quota: false,
                };
                let entry = EnqueueRequest {
                    position,
                    useful_until: at(now + 900.0),
                    ..entry(id, sub_queue, cpu, 0.0)
                };
                let enqueued = queues.enqueue(at(now), &entry);
                for Eviction { id: victim, .. } in enqueued.evicted {
                    assert!(here.remove(&victim.0).is_some(), "evicted twice");
                }
                if matches!(enqueued.outcome, EnqueueOutcome::Queued(_)) {
                    here.insert(id, (sub_queue, cpu, now));
                }
            }
            for sub_queue in 0..teams as u32 {
                if here.values().any(|(of, ..)| *of == sub_queue) {
                    since.entry(sub_queue).or_insert(now);
                } else {
                    since.remove(&sub_queue);
                }
            }
            // Room for what costs up to this much.
            let (mut room, mut dearest) = (rng.random_range(0.0..1.0), f64::INFINITY);
            while let Some(Offer { position, .. }) = queues.next_offer() {
                let (sub_queue, cpu, _) = here[&position.id.0];
                let waited = |of: &u32| since.get(of).map_or(0.0, |since| now - since);
                // A sub_queue whose first was passed over for half a second is asked before all that waited less.
                let hopeful = |of: &u32| {
                    here.values()
                        .any(|(sub_queue, cpu, _)| sub_queue == of && *cpu < dearest)
                };
                let aged: Vec<_> = (0..teams as u32)
                    .filter(|of| waited(of) > 0.50001 && hopeful(of))
                    .collect();
                assert!(
                    aged.is_empty() || aged.contains(&sub_queue),
                    "{sub_queue} before {aged:?}"
                );
                if cpu > room {
                    queues.no_capacity(position.id, false, at(now + 900.0));
                    dearest = dearest.min(cpu);
                    continue;
                }
                room -= cpu;
                assert!(queues.release(at(now), position.id, cpu).is_some());
                here.remove(&position.id.0);
                out.push(position.id);
                since.insert(sub_queue, now);
                if !here.values().any(|(of, ..)| *of == sub_queue) {
                    since.remove(&sub_queue);
                }
            }
            if rng.random::<f64>() < 0.3 && !here.is_empty() {
                let gone = *here.keys().nth(rng.random_range(0..here.len())).unwrap();
                let sub_queue = here.remove(&gone).unwrap().0;
                assert!(queues.remove(at(now), StatementId(gone)).is_some());
                if !here.values().any(|(of, ..)| *of == sub_queue) {
                    since.remove(&sub_queue);
                }
            }
            if let Some(done) = out.pop() {
                queues.settle(at(now), done, Some(rng.random_range(0.01..2.0)));
                queues.close_charge(done);
            }
            if rng.random::<f64>() < 0.02 {
                queues.reconfigure(at(now), of.clone());
                since = since.keys().map(|sub_queue| (*sub_queue, now)).collect();
            }
            assert_eq!(queues.len(), here.len());
            let status = queues.sub_queue_status(at(now), 100);
            for (sub_queue, status) in status.iter().enumerate() {
                let of = here.values().filter(|(of, ..)| *of as usize == sub_queue);
                let (count, cpu) =
                    of.fold((0, 0.0), |(count, sum), (_, cpu, _)| (count + 1, sum + cpu));
                assert_eq!(status.waiting, count);
                assert!(
                    (status.waiting_cpu - cpu).abs() < 1e-6
                        && status.waiting <= 30
                        && cpu <= 20.0 + 2.0
                );
            }
            assert!(here.len() <= 60);
        }
        out.into_iter().for_each(|id| queues.close_charge(id));
        queues.open_charges() == 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 9))
        .tests(60)
        .quickcheck(day as fn(u64) -> bool);
}

#[test]
fn when_the_gateway_ends_all_that_waits_is_offered_before_it() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0, 1.0]), 1, 7);
    for id in 0..4 {
        waits(&mut queues, 0.0, &entry(id, id as u32 % 2, 1.0, 100.0));
    }
    assert!(queues.past_useful_until(at(3.0)).is_empty());
    queues.drain_by(at(3.0));
    assert!(queues.past_useful_until(at(2.9)).is_empty());
    assert_eq!(queues.past_useful_until(at(3.0)).len(), 4);
}

#[test]
fn budgets_fill_faster_while_the_gateway_carries_more_than_its_share() {
    for (carries, owed) in [(1.0, false), (2.0, true)] {
        let mut queues = TenantQueues::new(at(0.0), config(&[1.0, 1.0]), 1, 7);
        queues.begin_round(at(0.0), 4.0, carries);
        // Its whole bucket of two CPU seconds, then one more second of work, three quarters of a second later.
        waits(&mut queues, 0.0, &entry(1200, 0, 2.0, 50.0));
        assert_eq!(release(&mut queues, 0.0, 1).len(), 1);
        queues.begin_round(at(0.0), 4.0, carries);
        waits(&mut queues, 0.0, &entry(2100, 0, 1.0, 60.0));
        queues.begin_round(at(0.75), 4.0, carries);
        assert_eq!(
            queues.next_offer().map(|offer| !offer.borrowed),
            Some(owed),
            "{carries}"
        );
    }
}

/// Budgets that are told as they change: nothing is saved at first, savings are cut with a part, and the sub_queues' follow.
#[test]
fn leased_budgets_start_empty_and_follow_what_is_told() {
    let mut queues = TenantQueues::new(at(0.0), config(&[12.0, 3.0]), 1, 1);
    let saved = |queues: &mut TenantQueues, now: f64| -> Vec<f64> {
        queues
            .sub_queue_status(at(now), 10)
            .iter()
            .map(|sub_queue| (sub_queue.saved * 1e6).round() / 1e6)
            .collect()
    };
    let budgets = |queues: &mut TenantQueues, now: f64| -> Vec<f64> {
        queues
            .sub_queue_status(at(now), 10)
            .iter()
            .map(|sub_queue| sub_queue.budget)
            .collect()
    };
    // Budgets of all gateways: one that fills them at their whole would spend them for everybody.
    queues.set_leased_budgets(at(0.0), &[Some(2.0), Some(1.0)]);
    assert_eq!(
        (saved(&mut queues, 0.0), budgets(&mut queues, 0.0)),
        (vec![0.0, 0.0], vec![2.0, 1.0])
    );
    assert_eq!(saved(&mut queues, 1.0), [2.0, 1.0]);
    // More is no gift, less is cut at once, and what is not told stays.
    queues.set_leased_budgets(at(1.0), &[Some(8.0), None]);
    assert_eq!(
        (saved(&mut queues, 1.0), budgets(&mut queues, 1.0)),
        (vec![2.0, 1.0], vec![8.0, 1.0])
    );
    queues.set_leased_budgets(at(1.0), &[Some(0.5), Some(0.0)]);
    assert_eq!(saved(&mut queues, 1.0), [1.0, 0.0]);
    queues.set_leased_budgets(at(1.0), &[Some(4.0), None]);
    // A gateway that carries more than its share is no reason to spend faster what others hold.
    queues.begin_round(at(1.0), 4.0, 3.0);
    assert_eq!(saved(&mut queues, 1.5), [3.0, 0.0]);
    // Other config for the same tenants: neither a whole nor a burst comes of them.
    queues.reconfigure(at(1.5), config(&[24.0, 6.0, 1.0]));
    assert_eq!(saved(&mut queues, 1.5), [3.0, 0.0, 0.0]);
    queues.set_leased_budgets(at(1.5), &[Some(4.0), Some(0.0), Some(1.0)]);
    assert_eq!(saved(&mut queues, 2.5), [7.0, 0.0, 1.0]);
    // What came and what was paid is told as it grows.
    waits(&mut queues, 2.5, &entry(1002, 0, 0.02, 9.0));
    release(&mut queues, 2.5, 1);
    let usage: Vec<_> = queues
        .usage()
        .map(|tenant| (tenant.demanded, tenant.spent))
        .collect();
    assert_eq!((usage[0], usage[1]), ((0.02, 0.02), (0.0, 0.0)));
}
