//! The queues alone, with a simple stand-in for the capacity of the decision module: individual
//! cases, and random workloads whose order, sums and limits are checked after every step.

// Each scenario runs from setup to final assertion in one function, and case tables are long.
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

/// Returns a configuration with the tenants `m0`, `m1` and so on, each with one sub-queue.
fn config(budgets: &[f64]) -> Config {
    let names = budgets.iter().enumerate();
    Config {
        tenants: names
            .map(|(index, budget)| tenant(&format!("m{index}"), vec![sub_queue("all", *budget)]))
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

fn request(id: u64, sub_queue: u32, cpu: f64, deadline_s: f64) -> EnqueueRequest {
    EnqueueRequest {
        id: StatementId(id),
        sub_queue: SubQueueId(sub_queue),
        class: ClassId(0),
        position: QueuePosition {
            deadline: at(deadline_s),
            id: StatementId(id),
            over_quota: false,
        },
        need: ResourceNeed {
            cpu,
            memory_mb: 1.0,
        },
        objective_until: at(deadline_s),
        useful_until: at(deadline_s),
        key: None,
    }
}

fn expect_queued(queues: &mut TenantQueues, now: f64, request: &EnqueueRequest) {
    let enqueued = queues.enqueue(at(now), request);
    assert!(
        matches!(enqueued.outcome, EnqueueOutcome::Queued(_)),
        "{enqueued:?}"
    );
    assert!(enqueued.evicted.is_empty());
}

/// Releases up to `count` statements in one round and returns their ids.
fn release(queues: &mut TenantQueues, now: f64, count: usize) -> Vec<u64> {
    queues.begin_round(at(now), 4.0, 1.0);
    let mut released_ids = Vec::new();
    while released_ids.len() < count
        && let Some(Offer { position, .. }) = queues.next_offer()
    {
        queues.release(at(now), position.id, cpu_from_id(position));
        released_ids.push(position.id.0);
    }
    released_ids
}

/// Returns the CPU seconds that these tests encode in a statement id: its last three digits are
/// hundredths of a CPU second.
fn cpu_from_id(position: QueuePosition) -> f64 {
    (position.id.0 % 1000) as f64 / 100.0
}

#[test]
fn tenants_share_limited_capacity_in_proportion_to_their_budgets() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0, 3.0, 1.0]), 1, 7);
    // Each of the first two tenants has 20 CPU seconds of work, 0.1 per statement. The third tenant
    // is idle.
    for n in 0..200 {
        for tenant_index in 0..2 {
            expect_queued(
                &mut queues,
                0.0,
                &request(
                    (n * 2 + tenant_index) * 1000 + 10,
                    tenant_index as u32,
                    0.1,
                    60.0 + n as f64,
                ),
            );
        }
    }
    // Over 4 s, 5 CPU seconds per second are available: 4 for the budgets of the first two tenants,
    // and 1 for that of the idle one.
    let mut released = [0.0f64; 2];
    for step in 1..=40 {
        for id in release(&mut queues, step as f64 * 0.1, 5) {
            released[(id / 1000 % 2) as usize] += 0.1;
        }
    }
    // The budgets cover bursts of 2 and 6 CPU seconds and 4 s at 1 and 3 CPU seconds per second, 24
    // in all. Only 20 are available, so the tenants share them by budget, one to three.
    assert!(
        (released[0] - 5.0).abs() < 1.0 && (released[1] - 15.0).abs() < 1.0,
        "{released:?}"
    );
}

#[test]
fn one_sub_queue_releases_by_deadline_across_classes() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0]), 2, 7);
    for (id, deadline_s, class) in [
        (1010, 9.0, 0),
        (2010, 3.0, 1),
        (3010, 5.0, 0),
        (4010, 4.0, 1),
    ] {
        expect_queued(
            &mut queues,
            0.0,
            &EnqueueRequest {
                class: ClassId(class),
                ..request(id, 0, 0.1, deadline_s)
            },
        );
    }
    assert_eq!(release(&mut queues, 0.1, 9), [2010, 4010, 3010, 1010]);
}

#[test]
fn a_failed_offer_rules_out_only_larger_needs_of_its_class() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0]), 2, 7);
    for (id, cpu, deadline_s, class) in [
        (1, 2.0, 3.0, 0),
        (2, 3.0, 4.0, 0),
        (3, 1.0, 5.0, 0),
        (4, 9.0, 6.0, 1),
    ] {
        expect_queued(
            &mut queues,
            0.0,
            &EnqueueRequest {
                class: ClassId(class),
                ..request(id, 0, cpu, deadline_s)
            },
        );
    }
    queues.begin_round(at(0.1), 4.0, 1.0);
    let mut offered = Vec::new();
    while let Some(Offer { position, .. }) = queues.next_offer() {
        offered.push(position.id.0);
        queues.no_capacity(position.id, false, at(10.0));
    }
    assert_eq!(offered, [1, 3, 4]);
    // The next round offers the first statement again.
    queues.begin_round(at(0.2), 4.0, 1.0);
    assert_eq!(queues.next_offer().unwrap().position.id.0, 1);
}

#[test]
fn a_sub_queue_without_budget_is_offered_after_the_ageing_bound() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0, 0.0]), 1, 7);
    expect_queued(&mut queues, 0.0, &request(999_010, 1, 0.1, 90.0));
    let mut next = 1;
    for step in 1..=30 {
        // The other tenant always has more statements and stays within its budget.
        for _ in 0..2 {
            expect_queued(
                &mut queues,
                step as f64 * 0.05,
                &request(next * 1000 + 1, 0, 0.01, 80.0),
            );
            next += 1;
        }
        let released_ids = release(&mut queues, step as f64 * 0.05, 1);
        assert_eq!(
            released_ids.contains(&999_010),
            step == 20,
            "step {step}: {released_ids:?}"
        );
        if step == 20 {
            return;
        }
    }
}

#[test]
fn a_statement_larger_than_the_bucket_is_released_and_leaves_a_debt() {
    let mut queues = TenantQueues::new(at(0.0), config(&[0.5, 1.0]), 1, 7);
    expect_queued(&mut queues, 0.0, &request(1900, 0, 9.0, 20.0));
    assert_eq!(release(&mut queues, 0.1, 1), [1900]);
    // Tenant 0 has a debt of 8 CPU seconds, which takes 16 s to refill. Until then, the later
    // statement of tenant 1 is offered first.
    expect_queued(&mut queues, 0.2, &request(2010, 0, 0.1, 30.0));
    expect_queued(&mut queues, 0.2, &request(3010, 1, 0.1, 40.0));
    queues.begin_round(at(0.9), 4.0, 1.0);
    assert_eq!(queues.next_offer().unwrap().position.id.0, 3010);
    // An attempt that cost much less than its charge refunds the difference.
    queues.settle(at(0.9), StatementId(1900), Some(0.1));
    queues.begin_round(at(0.95), 4.0, 1.0);
    assert_eq!(queues.next_offer().unwrap().position.id.0, 2010);
}

#[test]
fn full_sub_queues_evict_their_last_statement_and_full_queues_that_of_the_highest_load() {
    let mut queue_config = config(&[1.0, 1.0]);
    (
        queue_config.sub_queue_limit.statements,
        queue_config.total_limit.statements,
    ) = (3, 4);
    let mut queues = TenantQueues::new(at(0.0), queue_config, 1, 7);
    for (id, deadline_s) in [(1, 10.0), (2, 20.0), (3, 30.0)] {
        expect_queued(&mut queues, 0.0, &request(id, 0, 1.0, deadline_s));
    }
    let later = queues.enqueue(at(0.0), &request(4, 0, 1.0, 40.0));
    assert!(matches!(later.outcome, EnqueueOutcome::Rejected { .. }) && later.evicted.is_empty());
    let sooner = queues.enqueue(at(0.0), &request(5, 0, 1.0, 15.0));
    assert!(matches!(sooner.outcome, EnqueueOutcome::Queued(_)));
    assert_eq!(
        sooner
            .evicted
            .iter()
            .map(|eviction| eviction.id.0)
            .collect::<Vec<_>>(),
        [3]
    );
    expect_queued(&mut queues, 0.0, &request(6, 1, 1.0, 90.0));
    // The queues as a whole are full. The next statement of the second sub-queue replaces the last
    // one of the first sub-queue, despite its later deadline.
    let other = queues.enqueue(at(0.0), &request(7, 1, 1.0, 95.0));
    assert_eq!(
        other
            .evicted
            .iter()
            .map(|eviction| eviction.id.0)
            .collect::<Vec<_>>(),
        [2]
    );
    // Both sub-queues now have the same load, so neither has the stronger claim.
    let equal_load = queues.enqueue(at(0.0), &request(8, 1, 1.0, 99.0));
    assert!(
        matches!(equal_load.outcome, EnqueueOutcome::Rejected { .. })
            && equal_load.evicted.is_empty()
    );
    assert_eq!(queues.len(), 4);
}

#[test]
fn statements_with_the_same_order_key_are_released_in_arrival_order() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0]), 1, 7);
    let key = Some(OrderKey(5));
    for (id, deadline_s) in [(1010, 9.0), (2010, 3.0)] {
        expect_queued(
            &mut queues,
            0.0,
            &EnqueueRequest {
                key,
                ..request(id, 0, 0.1, deadline_s)
            },
        );
    }
    expect_queued(&mut queues, 0.0, &request(3010, 0, 0.1, 20.0));
    queues.begin_round(at(0.1), 4.0, 1.0);
    // A statement with an order key may only have to wait for an earlier one of its key, which does
    // not indicate a lack of capacity: the other statement is still offered.
    assert_eq!(queues.next_offer().unwrap().position.id.0, 1010);
    queues.no_capacity(StatementId(1010), false, at(9.0));
    assert_eq!(queues.next_offer().unwrap().position.id.0, 3010);
    assert_eq!(release(&mut queues, 0.2, 9), [1010, 2010, 3010]);
    assert!(queues.is_empty());
}

#[test]
fn reconfiguration_keeps_all_waiting_statements() {
    let with_two_sub_queues =
        |name: &str| tenant(name, vec![sub_queue("front", 1.0), sub_queue("back", 1.0)]);
    let mut queue_config = config(&[]);
    queue_config.tenants = vec![with_two_sub_queues("a"), with_two_sub_queues("b")];
    let mut queues = TenantQueues::new(at(0.0), queue_config.clone(), 1, 7);
    for id in 0..40 {
        expect_queued(
            &mut queues,
            0.0,
            &request(
                id * 1000 + 1,
                (id % 4) as u32,
                0.01,
                10.0 + (id * 7 % 11) as f64,
            ),
        );
    }
    // Tenant `b` keeps one sub-queue under another number, and tenant `a` is removed.
    queue_config.tenants = vec![
        tenant("new", vec![sub_queue("all", 1.0)]),
        tenant("b", vec![sub_queue("back", 3.0)]),
    ];
    queues.reconfigure(at(0.1), queue_config);
    assert_eq!(queues.len(), 40);
    let status = queues.sub_queue_status(at(0.1), 10);
    let waiting: Vec<_> = status
        .iter()
        .map(|s| (&s.tenant[..], &s.sub_queue[..], s.waiting))
        .collect();
    assert_eq!(waiting, [("new", "all", 20), ("b", "back", 20)]);
    let mut released = release(&mut queues, 0.2, 99);
    assert_eq!(released.len(), 40);
    released.sort_unstable();
    assert_eq!(
        released,
        (0..40).map(|id| id * 1000 + 1).collect::<Vec<_>>()
    );
}

#[test]
fn a_statement_that_would_miss_its_objective_is_rejected_at_entry() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0, 1.0]), 1, 7);
    let mut id = 0;
    let mut enqueue_with_objective = |queues: &mut TenantQueues, now: f64, objective_s: f64| {
        id += 1;
        let request = request(id * 1000 + 10, 0, 0.1, 100.0 + id as f64);
        let objective_until = at(objective_s);
        queues
            .enqueue(
                at(now),
                &EnqueueRequest {
                    objective_until,
                    ..request
                },
            )
            .outcome
    };
    for _ in 0..60 {
        enqueue_with_objective(&mut queues, 0.0, 100.0);
    }
    // Releases one CPU second per second.
    for step in 1..=20 {
        assert_eq!(release(&mut queues, step as f64 * 0.1, 1).len(), 1);
    }
    // 40 statements of 0.1 CPU seconds wait, which takes about 4 s.
    let EnqueueOutcome::Queued(estimate) = enqueue_with_objective(&mut queues, 2.0, 60.0) else {
        panic!()
    };
    assert!(
        (3.4..4.6).contains(&estimate.median.secs()) && estimate.p90 >= estimate.median,
        "{estimate:?}"
    );
    let EnqueueOutcome::Rejected {
        retry_after: retry_delay,
    } = enqueue_with_objective(&mut queues, 2.0, 4.0)
    else {
        panic!("a statement that would miss its objective was queued")
    };
    // A statement is queued only if twice its 90th percentile wait fits into the time until its
    // latency objective.
    assert!((3.0..12.0).contains(&retry_delay.secs()), "{retry_delay:?}");
}

#[test]
fn estimates_double_when_half_the_cores_are_lost() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0]), 1, 7);
    for id in 1..=60 {
        expect_queued(&mut queues, 0.0, &request(id * 1000 + 10, 0, 0.1, 100.0));
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
fn removing_half_of_the_statements_keeps_the_others() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0, 1.0, 0.0]), 1, 7);
    for id in 0..300 {
        expect_queued(
            &mut queues,
            0.0,
            &request(
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
    let released = release(&mut queues, 0.2, 999);
    assert_eq!(released.len(), 150);
    assert!(queues.is_empty() && released.iter().all(|id| id / 1000 % 2 == 1));
}

#[test]
fn three_busy_tenants_among_a_thousand_share_equally() {
    let budgets: Vec<f64> = (0..1000).map(|_| 1.0).collect();
    let mut queues = TenantQueues::new(at(0.0), config(&budgets), 1, 7);
    for n in 0..300 {
        for (tenant_index, sub_queue) in [17, 500, 999].into_iter().enumerate() {
            expect_queued(
                &mut queues,
                0.0,
                &request(
                    (n * 3 + tenant_index as u64) * 1000 + 10,
                    sub_queue,
                    0.1,
                    60.0 + n as f64,
                ),
            );
        }
    }
    let mut released = [0; 3];
    for step in 1..=30 {
        release(&mut queues, step as f64 * 0.1, 10)
            .into_iter()
            .for_each(|id| released[(id / 1000 % 3) as usize] += 1);
    }
    assert!(
        released
            .iter()
            .all(|released| (95..=105).contains(released)),
        "{released:?}"
    );
}

#[test]
fn sub_queues_are_found_by_name_then_network_then_default() {
    let mut queue_config = config(&[1.0]);
    let with_networks = |name: &str, networks: &[&str]| SubQueueConfig {
        networks: networks
            .iter()
            .map(|network| network.parse().unwrap())
            .collect(),
        ..sub_queue(name, 1.0)
    };
    queue_config.tenants.push(tenant(
        "w",
        vec![
            with_networks("d", &[]),
            with_networks("n", &["10.0.0.0/8"]),
            with_networks("m", &["10.9.0.0/16", "fd00::/8"]),
        ],
    ));
    let resolver = QueueResolver::new(&queue_config);
    for (tenant, sub_queue, client, expected) in [
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
        let found = resolver.resolve(
            tenant,
            sub_queue,
            client.map(|client| client.parse().unwrap()),
        );
        assert_eq!(
            (found.sub_queue.0, found.known),
            expected,
            "{tenant:?} {sub_queue:?} {client:?}"
        );
    }
}

/// Compares the treap with an ordered map after every step.
#[test]
fn the_treap_agrees_with_an_ordered_map() {
    fn matches_ordered_map(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut arena, mut root, mut expected) =
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
            expected.insert(position, need);
            if rng.random::<f64>() < 0.45 {
                let removed = *expected
                    .keys()
                    .nth(rng.random_range(0..expected.len()))
                    .unwrap();
                expected.remove(&removed);
                assert!(arena.remove(&mut root, removed) && !arena.remove(&mut root, removed));
            }
            let mut frontier = CapacityFrontier::default();
            for _ in 0..rng.random_range(0..4) {
                let (cpu, memory_mb) = (
                    rng.random_range(1..20) as f64,
                    rng.random_range(1..20) as f64,
                );
                frontier.record(ResourceNeed { cpu, memory_mb });
            }
            let first = expected
                .iter()
                .find(|(_, need)| frontier.may_have_capacity(**need));
            assert_eq!(
                arena.first_with_capacity(root, &frontier),
                first.map(|(position, need)| QueuedStatement {
                    position: *position,
                    need: *need
                })
            );
            let before: Vec<_> = expected
                .range(..position)
                .map(|(_, need)| need.cpu)
                .collect();
            assert_eq!(
                arena.ahead(root, position),
                Work {
                    statements: before.len() as u32,
                    cpu: before.iter().sum()
                }
            );
            assert_eq!(
                arena.last(root).map(|last| last.position),
                expected.keys().last().copied()
            );
        }
        arena.positions(root) == expected.keys().copied().collect::<Vec<_>>()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 3))
        .tests(40)
        .quickcheck(matches_ordered_map as fn(u64) -> bool);
}

/// Runs random workloads and checks after every step that no limit is exceeded, that no statement
/// is lost or released twice, that the sums match, and that no sub-queue is passed over beyond the
/// ageing bound while others with a shorter wait are offered.
#[test]
fn random_workloads_keep_limits_sums_and_the_ageing_bound() {
    fn invariants_hold(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let tenants = rng.random_range(1..6usize);
        let budgets: Vec<f64> = (0..tenants)
            .map(|_| [0.0, 0.5, 1.0, 3.0][rng.random_range(0..4usize)])
            .collect();
        let mut queue_config = config(&budgets);
        queue_config.ageing = span(0.5);
        (queue_config.sub_queue_limit, queue_config.total_limit) = (
            QueueLimit {
                statements: 30,
                cpu: 20.0,
            },
            QueueLimit {
                statements: 60,
                cpu: 40.0,
            },
        );
        let mut queues = TenantQueues::new(at(0.0), queue_config.clone(), 2, seed);
        let mut waiting: BTreeMap<u64, (u32, f64, f64)> = BTreeMap::new();
        // The time since which each sub-queue has had waiting statements but no release.
        let mut idle_since: BTreeMap<u32, f64> = BTreeMap::new();
        let (mut now, mut id, mut released_ids) = (0.0, 0u64, Vec::<StatementId>::new());
        for _ in 0..400 {
            now += 0.02;
            queues.begin_round(at(now), 4.0, 1.0);
            for _ in 0..rng.random_range(0..4) {
                id += 1;
                let (sub_queue, cpu) = (
                    rng.random_range(0..tenants as u32),
                    rng.random_range(0.01..2.0),
                );
                let position = QueuePosition {
                    deadline: at(now + 1000.0),
                    id: StatementId(id),
                    over_quota: false,
                };
                let request = EnqueueRequest {
                    position,
                    useful_until: at(now + 900.0),
                    ..request(id, sub_queue, cpu, 0.0)
                };
                let enqueued = queues.enqueue(at(now), &request);
                for Eviction { id: victim, .. } in enqueued.evicted {
                    assert!(
                        waiting.remove(&victim.0).is_some(),
                        "an evicted statement was not waiting"
                    );
                }
                if matches!(enqueued.outcome, EnqueueOutcome::Queued(_)) {
                    waiting.insert(id, (sub_queue, cpu, now));
                }
            }
            for sub_queue in 0..tenants as u32 {
                if waiting.values().any(|(other, ..)| *other == sub_queue) {
                    idle_since.entry(sub_queue).or_insert(now);
                } else {
                    idle_since.remove(&sub_queue);
                }
            }
            // The remaining CPU seconds of capacity in this round, and the lowest cost that found
            // no capacity.
            let (mut capacity_left, mut lowest_failed_cpu) =
                (rng.random_range(0.0..1.0), f64::INFINITY);
            while let Some(Offer { position, .. }) = queues.next_offer() {
                let (sub_queue, cpu, _) = waiting[&position.id.0];
                let waited = |other: &u32| idle_since.get(other).map_or(0.0, |since| now - since);
                // A sub-queue that was passed over for more than half a second must be offered
                // before all others with a shorter wait.
                let may_have_capacity = |other: &u32| {
                    waiting
                        .values()
                        .any(|(sub_queue, cpu, _)| sub_queue == other && *cpu < lowest_failed_cpu)
                };
                let aged: Vec<_> = (0..tenants as u32)
                    .filter(|other| waited(other) > 0.50001 && may_have_capacity(other))
                    .collect();
                assert!(
                    aged.is_empty() || aged.contains(&sub_queue),
                    "sub-queue {sub_queue} was offered before {aged:?}"
                );
                if cpu > capacity_left {
                    queues.no_capacity(position.id, false, at(now + 900.0));
                    lowest_failed_cpu = lowest_failed_cpu.min(cpu);
                    continue;
                }
                capacity_left -= cpu;
                assert!(queues.release(at(now), position.id, cpu).is_some());
                waiting.remove(&position.id.0);
                released_ids.push(position.id);
                idle_since.insert(sub_queue, now);
                if !waiting.values().any(|(other, ..)| *other == sub_queue) {
                    idle_since.remove(&sub_queue);
                }
            }
            if rng.random::<f64>() < 0.3 && !waiting.is_empty() {
                let removed = *waiting
                    .keys()
                    .nth(rng.random_range(0..waiting.len()))
                    .unwrap();
                let sub_queue = waiting.remove(&removed).unwrap().0;
                assert!(queues.remove(at(now), StatementId(removed)).is_some());
                if !waiting.values().any(|(other, ..)| *other == sub_queue) {
                    idle_since.remove(&sub_queue);
                }
            }
            if let Some(done) = released_ids.pop() {
                queues.settle(at(now), done, Some(rng.random_range(0.01..2.0)));
                queues.close_charge(done);
            }
            if rng.random::<f64>() < 0.02 {
                queues.reconfigure(at(now), queue_config.clone());
                idle_since = idle_since
                    .keys()
                    .map(|sub_queue| (*sub_queue, now))
                    .collect();
            }
            assert_eq!(queues.len(), waiting.len());
            let status = queues.sub_queue_status(at(now), 100);
            for (sub_queue, status) in status.iter().enumerate() {
                let in_sub_queue = waiting
                    .values()
                    .filter(|(other, ..)| *other as usize == sub_queue);
                let (count, cpu) =
                    in_sub_queue.fold((0, 0.0), |(count, sum), (_, cpu, _)| (count + 1, sum + cpu));
                assert_eq!(status.waiting, count);
                assert!(
                    (status.waiting_cpu - cpu).abs() < 1e-6
                        && status.waiting <= 30
                        && cpu <= 20.0 + 2.0
                );
            }
            assert!(waiting.len() <= 60);
        }
        released_ids
            .into_iter()
            .for_each(|id| queues.close_charge(id));
        queues.open_charges() == 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 9))
        .tests(60)
        .quickcheck(invariants_hold as fn(u64) -> bool);
}

#[test]
fn all_waiting_statements_are_offered_before_shutdown() {
    let mut queues = TenantQueues::new(at(0.0), config(&[1.0, 1.0]), 1, 7);
    for id in 0..4 {
        expect_queued(&mut queues, 0.0, &request(id, id as u32 % 2, 1.0, 100.0));
    }
    assert!(queues.past_useful_until(at(3.0)).is_empty());
    queues.drain_by(at(3.0));
    assert!(queues.past_useful_until(at(2.9)).is_empty());
    assert_eq!(queues.past_useful_until(at(3.0)).len(), 4);
}

#[test]
fn budgets_refill_faster_while_the_gateway_carries_more_than_an_even_share() {
    for (traffic_share, within_budget) in [(1.0, false), (2.0, true)] {
        let mut queues = TenantQueues::new(at(0.0), config(&[1.0, 1.0]), 1, 7);
        queues.begin_round(at(0.0), 4.0, traffic_share);
        // Spends the full bucket of 2 CPU seconds, then offers 1 more CPU second of work 0.75 s
        // later.
        expect_queued(&mut queues, 0.0, &request(1200, 0, 2.0, 50.0));
        assert_eq!(release(&mut queues, 0.0, 1).len(), 1);
        queues.begin_round(at(0.0), 4.0, traffic_share);
        expect_queued(&mut queues, 0.0, &request(2100, 0, 1.0, 60.0));
        queues.begin_round(at(0.75), 4.0, traffic_share);
        assert_eq!(
            queues.next_offer().map(|offer| !offer.borrowed),
            Some(within_budget),
            "{traffic_share}"
        );
    }
}

/// Leased budgets start without savings, a smaller lease cuts the savings, and the budgets of the
/// sub-queues follow.
#[test]
fn leased_budgets_start_empty_and_follow_each_lease() {
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
    // The configured budgets belong to all gateways: one that refilled at the full rate would also
    // spend the parts of the others.
    queues.set_leased_budgets(at(0.0), &[Some(2.0), Some(1.0)]);
    assert_eq!(
        (saved(&mut queues, 0.0), budgets(&mut queues, 0.0)),
        (vec![0.0, 0.0], vec![2.0, 1.0])
    );
    assert_eq!(saved(&mut queues, 1.0), [2.0, 1.0]);
    // A larger lease adds no savings, a smaller one cuts them at once, and `None` keeps the budget.
    queues.set_leased_budgets(at(1.0), &[Some(8.0), None]);
    assert_eq!(
        (saved(&mut queues, 1.0), budgets(&mut queues, 1.0)),
        (vec![2.0, 1.0], vec![8.0, 1.0])
    );
    queues.set_leased_budgets(at(1.0), &[Some(0.5), Some(0.0)]);
    assert_eq!(saved(&mut queues, 1.0), [1.0, 0.0]);
    queues.set_leased_budgets(at(1.0), &[Some(4.0), None]);
    // Traffic above an even share does not make leased budgets refill faster.
    queues.begin_round(at(1.0), 4.0, 3.0);
    assert_eq!(saved(&mut queues, 1.5), [3.0, 0.0]);
    // Reconfiguring the same tenants grants neither the configured budgets nor a full bucket.
    queues.reconfigure(at(1.5), config(&[24.0, 6.0, 1.0]));
    assert_eq!(saved(&mut queues, 1.5), [3.0, 0.0, 0.0]);
    queues.set_leased_budgets(at(1.5), &[Some(4.0), Some(0.0), Some(1.0)]);
    assert_eq!(saved(&mut queues, 2.5), [7.0, 0.0, 1.0]);
    // The usage reports the demand and the amount paid so far.
    expect_queued(&mut queues, 2.5, &request(1002, 0, 0.02, 9.0));
    release(&mut queues, 2.5, 1);
    let usage: Vec<_> = queues
        .usage()
        .map(|tenant| (tenant.demanded, tenant.spent))
        .collect();
    assert_eq!((usage[0], usage[1]), ((0.02, 0.02), (0.0, 0.0)));
}
