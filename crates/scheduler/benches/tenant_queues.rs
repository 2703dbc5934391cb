//! What the queues cost by number of teams, beside a plain ordered map of teams that is scanned for the best one.

// A test tells one story from top to bottom, and tables of cases are long.
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

fn config(teams: usize) -> Config {
    let share = CapacityShare {
        budget: 1.0,
        weight: 1.0,
    };
    let sub_queue = |_| SubQueueConfig {
        name: "all".into(),
        share,
        networks: Vec::new(),
    };
    let tenant = |at: usize| TenantConfig {
        name: format!("m{at}"),
        share,
        sub_queues: (0..1).map(sub_queue).collect(),
    };
    let bound = QueueLimit {
        statements: 1 << 30,
        cpu: 1e12,
    };
    let (ageing, burst) = (TimeDelta::from_secs(600.0), TimeDelta::from_secs(2.0));
    Config {
        tenants: (0..teams).map(tenant).collect(),
        ageing,
        burst,
        sub_queue_limit: bound,
        total_limit: bound,
    }
}

fn entry(id: u64, teams: u64) -> EnqueueRequest {
    let mixed = id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 20;
    let position = QueuePosition {
        deadline: at(100.0 + (mixed % 100_000) as f64 / 1e3),
        id: StatementId(id),
        over_quota: false,
    };
    EnqueueRequest {
        id: StatementId(id),
        sub_queue: SubQueueId((mixed % teams) as u32),
        class: ClassId((mixed % 2) as usize),
        position,
        need: ResourceNeed {
            cpu: 0.01 + (mixed % 97) as f64 / 100.0,
            memory_mb: 1.0,
        },
        objective_until: at(1e6),
        useful_until: at(1e6),
        key: None,
    }
}

fn filled(teams: usize) -> TenantQueues {
    let mut queues = TenantQueues::new(at(0.0), config(teams), 2, 1);
    (0..WAITING).for_each(|id| drop(queues.enqueue(at(0.0), &entry(id, teams as u64))));
    queues.begin_round(at(0.01), 40.0, 1.0);
    queues
}

/// Teams in an ordered map, each with its statements in order; the best team is found by looking at all.
struct Plain(BTreeMap<u32, BTreeMap<QueuePosition, ResourceNeed>>);

impl Plain {
    fn filled(teams: usize) -> Plain {
        let mut plain = Plain(BTreeMap::new());
        (0..WAITING).for_each(|id| plain.enqueue(&entry(id, teams as u64)));
        plain
    }

    fn enqueue(&mut self, entry: &EnqueueRequest) {
        self.0
            .entry(entry.sub_queue.0)
            .or_default()
            .insert(entry.position, entry.need);
    }

    fn next(&self) -> Option<(u32, QueuePosition)> {
        let firsts = self
            .0
            .iter()
            .filter_map(|(team, line)| Some((*team, *line.first_key_value()?.0)));
        firsts.min_by_key(|(_, position)| *position)
    }

    fn ahead(&self, team: u32, position: QueuePosition) -> f64 {
        self.0[&team]
            .range(..position)
            .map(|(_, need)| need.cpu)
            .sum()
    }
}

fn costs(c: &mut Criterion) {
    let mut group = c.benchmark_group("queues");
    group
        .sample_size(10)
        .warm_up_time(std::time::Duration::from_millis(300));
    group.measurement_time(std::time::Duration::from_millis(500));
    for teams in [10, 1_000, 100_000] {
        let (mut queues, mut plain) = (filled(teams), Plain::filled(teams));
        let mut id = WAITING;
        group.bench_function(BenchmarkId::new("offer", teams), |b| {
            b.iter(|| {
                id += 1;
                black_box(queues.enqueue(at(0.01), &entry(id, teams as u64)));
                // So that as many wait all the time.
                queues.remove(at(0.01), StatementId(id))
            });
        });
        group.bench_function(BenchmarkId::new("take", teams), |b| {
            b.iter(|| {
                let offer = queues.next_offer().expect("some wait");
                queues.release(at(0.01), offer.position.id, 0.1);
                queues.close_charge(offer.position.id);
                let (deadline, new) = (offer.position.deadline, StatementId(id + 1));
                id += 1;
                let again = EnqueueRequest {
                    position: QueuePosition {
                        deadline,
                        id: new,
                        over_quota: false,
                    },
                    ..entry(id, teams as u64)
                };
                queues.enqueue(at(0.01), &EnqueueRequest { id: new, ..again })
            });
        });
        group.bench_function(BenchmarkId::new("estimate", teams), |b| {
            let mut of = 0;
            b.iter(|| {
                of = (of + 7919) % WAITING;
                black_box(queues.remaining_wait(at(0.01), StatementId(of)))
            });
        });
        group.bench_function(BenchmarkId::new("displace", teams), |b| {
            let full = || {
                let mut config = config(teams);
                config.total_limit.statements = 100_000;
                let mut queues = TenantQueues::new(at(0.0), config, 2, 1);
                (0..WAITING).for_each(|id| drop(queues.enqueue(at(0.0), &entry(id, teams as u64))));
                queues
            };
            b.iter_batched_ref(
                full,
                |queues| {
                    for more in 0..100 {
                        black_box(queues.enqueue(at(0.01), &entry(WAITING + more, teams as u64)));
                    }
                },
                BatchSize::PerIteration,
            );
        });
        group.bench_function(BenchmarkId::new("plain take", teams), |b| {
            b.iter(|| {
                let (team, position) = plain.next().expect("some wait");
                let line = plain.0.get_mut(&team).expect("just seen");
                let need = line.remove(&position).expect("just seen");
                id += 1;
                let deadline = position.deadline;
                line.insert(
                    QueuePosition {
                        deadline,
                        id: StatementId(id),
                        over_quota: false,
                    },
                    need,
                );
            });
        });
        group.bench_function(BenchmarkId::new("plain estimate", teams), |b| {
            let mut of = 0;
            b.iter(|| {
                of = (of + 7919) % WAITING;
                let entry = entry(of, teams as u64);
                black_box(plain.ahead(entry.sub_queue.0, entry.position))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, costs);
criterion_main!(benches);
