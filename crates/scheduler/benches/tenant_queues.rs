//! The cost of the queues by number of tenants, compared with an ordered map of tenants that is
//! scanned for the earliest statement.

// Scenarios run from setup to result in one function.
#![allow(clippy::too_many_lines)]

use std::collections::BTreeMap;
use std::hint::black_box;

use admission::interface::{ClassId, QueuePosition, StatementId, TimeDelta, Timestamp};
use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use scheduler::{
    CapacityShare, Config, EnqueueRequest, QueueLimit, ResourceNeed, SubQueueConfig, SubQueueId,
    TenantConfig, TenantQueues,
};

const WAITING: u64 = 100_000;

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(1000.0 + secs)
}

fn config(tenants: usize) -> Config {
    let share = CapacityShare {
        budget: 1.0,
        weight: 1.0,
    };
    let sub_queue = |_| SubQueueConfig {
        name: "all".into(),
        share,
        networks: Vec::new(),
    };
    let tenant = |index: usize| TenantConfig {
        name: format!("m{index}"),
        share,
        sub_queues: (0..1).map(sub_queue).collect(),
    };
    let limit = QueueLimit {
        statements: 1 << 30,
        cpu: 1e12,
    };
    let (ageing, burst) = (TimeDelta::from_secs(600.0), TimeDelta::from_secs(2.0));
    Config {
        tenants: (0..tenants).map(tenant).collect(),
        ageing,
        burst,
        sub_queue_limit: limit,
        total_limit: limit,
    }
}

fn request(id: u64, tenants: u64) -> EnqueueRequest {
    let hash = id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 20;
    let position = QueuePosition {
        deadline: at(100.0 + (hash % 100_000) as f64 / 1e3),
        id: StatementId(id),
        over_quota: false,
    };
    EnqueueRequest {
        id: StatementId(id),
        sub_queue: SubQueueId((hash % tenants) as u32),
        class: ClassId((hash % 2) as usize),
        position,
        need: ResourceNeed {
            cpu: 0.01 + (hash % 97) as f64 / 100.0,
            memory_mb: 1.0,
        },
        objective_until: at(1e6),
        useful_until: at(1e6),
        key: None,
    }
}

fn filled_queues(tenants: usize) -> TenantQueues {
    let mut queues = TenantQueues::new(at(0.0), config(tenants), 2, 1);
    (0..WAITING).for_each(|id| drop(queues.enqueue(at(0.0), &request(id, tenants as u64))));
    queues.begin_round(at(0.01), 40.0, 1.0);
    queues
}

/// The baseline: an ordered map of tenants, each with its statements in order. The earliest
/// statement is found by looking at all tenants.
struct ScannedMap(BTreeMap<u32, BTreeMap<QueuePosition, ResourceNeed>>);

impl ScannedMap {
    fn filled(tenants: usize) -> ScannedMap {
        let mut baseline = ScannedMap(BTreeMap::new());
        (0..WAITING).for_each(|id| baseline.enqueue(&request(id, tenants as u64)));
        baseline
    }

    fn enqueue(&mut self, request: &EnqueueRequest) {
        self.0
            .entry(request.sub_queue.0)
            .or_default()
            .insert(request.position, request.need);
    }

    fn next(&self) -> Option<(u32, QueuePosition)> {
        let firsts = self
            .0
            .iter()
            .filter_map(|(tenant, statements)| Some((*tenant, *statements.first_key_value()?.0)));
        firsts.min_by_key(|(_, position)| *position)
    }

    fn ahead(&self, tenant: u32, position: QueuePosition) -> f64 {
        self.0[&tenant]
            .range(..position)
            .map(|(_, need)| need.cpu)
            .sum()
    }
}

fn bench_queues(c: &mut Criterion) {
    let mut group = c.benchmark_group("queues");
    group
        .sample_size(10)
        .warm_up_time(std::time::Duration::from_millis(300));
    group.measurement_time(std::time::Duration::from_millis(500));
    for tenants in [10, 1_000, 100_000] {
        let (mut queues, mut baseline) = (filled_queues(tenants), ScannedMap::filled(tenants));
        let mut id = WAITING;
        group.bench_function(BenchmarkId::new("offer", tenants), |b| {
            b.iter(|| {
                id += 1;
                black_box(queues.enqueue(at(0.01), &request(id, tenants as u64)));
                // Keeps the number of waiting statements constant.
                queues.remove(at(0.01), StatementId(id))
            });
        });
        group.bench_function(BenchmarkId::new("take", tenants), |b| {
            b.iter(|| {
                let offer = queues.next_offer().expect("statements wait");
                queues.release(at(0.01), offer.position.id, 0.1);
                queues.close_charge(offer.position.id);
                let (deadline, new) = (offer.position.deadline, StatementId(id + 1));
                id += 1;
                let replacement = EnqueueRequest {
                    position: QueuePosition {
                        deadline,
                        id: new,
                        over_quota: false,
                    },
                    ..request(id, tenants as u64)
                };
                queues.enqueue(
                    at(0.01),
                    &EnqueueRequest {
                        id: new,
                        ..replacement
                    },
                )
            });
        });
        group.bench_function(BenchmarkId::new("estimate", tenants), |b| {
            let mut index = 0;
            b.iter(|| {
                index = (index + 7919) % WAITING;
                black_box(queues.remaining_wait(at(0.01), StatementId(index)))
            });
        });
        group.bench_function(BenchmarkId::new("displace", tenants), |b| {
            let full = || {
                let mut config = config(tenants);
                config.total_limit.statements = 100_000;
                let mut queues = TenantQueues::new(at(0.0), config, 2, 1);
                (0..WAITING)
                    .for_each(|id| drop(queues.enqueue(at(0.0), &request(id, tenants as u64))));
                queues
            };
            b.iter_batched_ref(
                full,
                |queues| {
                    for extra in 0..100 {
                        black_box(
                            queues.enqueue(at(0.01), &request(WAITING + extra, tenants as u64)),
                        );
                    }
                },
                BatchSize::PerIteration,
            );
        });
        group.bench_function(BenchmarkId::new("plain take", tenants), |b| {
            b.iter(|| {
                let (tenant, position) = baseline.next().expect("statements wait");
                let statements = baseline.0.get_mut(&tenant).expect("found above");
                let need = statements.remove(&position).expect("found above");
                id += 1;
                let deadline = position.deadline;
                statements.insert(
                    QueuePosition {
                        deadline,
                        id: StatementId(id),
                        over_quota: false,
                    },
                    need,
                );
            });
        });
        group.bench_function(BenchmarkId::new("plain estimate", tenants), |b| {
            let mut index = 0;
            b.iter(|| {
                index = (index + 7919) % WAITING;
                let request = request(index, tenants as u64);
                black_box(baseline.ahead(request.sub_queue.0, request.position))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_queues);
criterion_main!(benches);
