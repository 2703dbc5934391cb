//! The lines by themselves, with a plain stand-in for the module's room: hard cases by name, and random days whose
//! order, sums and bounds are checked after every step.

use std::collections::BTreeMap;

use admission::interface::*;
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use scheduler::lines::{Entered, Entry, Offer};
use scheduler::order::{Arena, Frontier, Need, Root};
use scheduler::*;

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(1000.0 + secs)
}

fn span(secs: f64) -> TimeDelta {
    TimeDelta::from_secs(secs)
}

fn claim(budget: f64) -> Claim {
    Claim {
        budget,
        weight: budget.max(0.1),
    }
}

fn desk(name: &str, budget: f64) -> DeskTerms {
    DeskTerms {
        name: name.into(),
        claim: claim(budget),
        networks: Vec::new(),
    }
}

fn member(name: &str, desks: Vec<DeskTerms>) -> MemberTerms {
    let budget = desks.iter().map(|desk| desk.claim.budget).sum();
    MemberTerms {
        name: name.into(),
        claim: claim(budget),
        desks,
    }
}

/// Members `m0`, `m1`, ... of one desk each.
fn terms(budgets: &[f64]) -> Terms {
    let names = budgets.iter().enumerate();
    Terms {
        members: names
            .map(|(at, budget)| member(&format!("m{at}"), vec![desk("all", *budget)]))
            .collect(),
        ageing: span(1.0),
        burst: span(2.0),
        each: Bound {
            statements: 1000,
            cpu: 1e4,
        },
        all: Bound {
            statements: 5000,
            cpu: 1e5,
        },
    }
}

fn entry(id: u64, desk: u32, cpu: f64, by: f64) -> Entry {
    Entry {
        id: StatementId(id),
        desk: DeskId(desk),
        class: ClassId(0),
        position: QueuePosition {
            deadline: at(by),
            id: StatementId(id),
            over_quota: false,
        },
        need: Need {
            cpu,
            memory_mb: 1.0,
        },
        objective_until: at(by),
        useful_until: at(by),
        key: None,
    }
}

fn waits(lines: &mut Lines, now: f64, entry: &Entry) {
    let entering = lines.enter(at(now), entry);
    assert!(
        matches!(entering.entered, Entered::Waits(_)),
        "{entering:?}"
    );
    assert!(entering.displaced.is_empty());
}

/// Releases the next `count`, in one round; their ids.
fn release(lines: &mut Lines, now: f64, count: usize) -> Vec<u64> {
    lines.round(at(now), 4.0, 1.0);
    let mut out = Vec::new();
    while out.len() < count
        && let Some(Offer { position, .. }) = lines.next()
    {
        lines.released(at(now), position.id, lines_cpu(position));
        out.push(position.id.0);
    }
    out
}

/// By these tests' ids: hundredths of a CPU second behind the thousands.
fn lines_cpu(position: QueuePosition) -> f64 {
    (position.id.0 % 1000) as f64 / 100.0
}

#[test]
fn a_team_under_its_budget_goes_before_one_over_it_and_what_is_left_is_lent_by_weight() {
    let mut lines = Lines::new(at(0.0), terms(&[1.0, 3.0, 1.0]), 1, 7);
    // 20 s of work each, a tenth a statement; the third member asks for nothing.
    for n in 0..200 {
        for team in 0..2 {
            waits(
                &mut lines,
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
        for id in release(&mut lines, step as f64 * 0.1, 5) {
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
fn at_one_desk_the_earliest_hard_limit_leaves_first_over_all_products() {
    let mut lines = Lines::new(at(0.0), terms(&[1.0]), 2, 7);
    for (id, by, class) in [
        (1010, 9.0, 0),
        (2010, 3.0, 1),
        (3010, 5.0, 0),
        (4010, 4.0, 1),
    ] {
        waits(
            &mut lines,
            0.0,
            &Entry {
                class: ClassId(class),
                ..entry(id, 0, 0.1, by)
            },
        );
    }
    assert_eq!(release(&mut lines, 0.1, 9), [2010, 4010, 3010, 1010]);
}

#[test]
fn what_has_no_room_lets_the_cheaper_and_other_products_pass_but_not_the_dearer() {
    let mut lines = Lines::new(at(0.0), terms(&[1.0]), 2, 7);
    for (id, cpu, by, class) in [
        (1, 2.0, 3.0, 0),
        (2, 3.0, 4.0, 0),
        (3, 1.0, 5.0, 0),
        (4, 9.0, 6.0, 1),
    ] {
        waits(
            &mut lines,
            0.0,
            &Entry {
                class: ClassId(class),
                ..entry(id, 0, cpu, by)
            },
        );
    }
    lines.round(at(0.1), 4.0, 1.0);
    let mut asked = Vec::new();
    while let Some(Offer { position, .. }) = lines.next() {
        asked.push(position.id.0);
        lines.refused(position.id, false, at(10.0));
    }
    assert_eq!(asked, [1, 3, 4]);
    // The next round asks anew.
    lines.round(at(0.2), 4.0, 1.0);
    assert_eq!(lines.next().unwrap().position.id.0, 1);
}

#[test]
fn the_head_of_a_desk_that_is_owed_nothing_is_passed_over_no_longer_than_the_bound() {
    let mut lines = Lines::new(at(0.0), terms(&[1.0, 0.0]), 1, 7);
    waits(&mut lines, 0.0, &entry(999_010, 1, 0.1, 90.0));
    let mut next = 1;
    for step in 1..=30 {
        // The other member always has more, and is within its budget.
        for _ in 0..2 {
            waits(
                &mut lines,
                step as f64 * 0.05,
                &entry(next * 1000 + 1, 0, 0.01, 80.0),
            );
            next += 1;
        }
        let out = release(&mut lines, step as f64 * 0.05, 1);
        assert_eq!(out.contains(&999_010), step == 20, "step {step}: {out:?}");
        if step == 20 {
            return;
        }
    }
}

#[test]
fn a_statement_larger_than_the_whole_budget_goes_and_is_made_up_for() {
    let mut lines = Lines::new(at(0.0), terms(&[0.5, 1.0]), 1, 7);
    waits(&mut lines, 0.0, &entry(1900, 0, 9.0, 20.0));
    assert_eq!(release(&mut lines, 0.1, 1), [1900]);
    // In debt by 8 s of work: the other's later one goes first for 16 s, then its earlier one is first again.
    waits(&mut lines, 0.2, &entry(2010, 0, 0.1, 30.0));
    waits(&mut lines, 0.2, &entry(3010, 1, 0.1, 40.0));
    lines.round(at(0.9), 4.0, 1.0);
    assert_eq!(lines.next().unwrap().position.id.0, 3010);
    // An outcome that cost much less than was charged gives the rest back.
    lines.came_to(at(0.9), StatementId(1900), Some(0.1));
    lines.round(at(0.95), 4.0, 1.0);
    assert_eq!(lines.next().unwrap().position.id.0, 2010);
}

#[test]
fn a_full_desk_denies_who_would_leave_last_and_a_full_house_the_heaviest_desk() {
    let mut of = terms(&[1.0, 1.0]);
    (of.each.statements, of.all.statements) = (3, 4);
    let mut lines = Lines::new(at(0.0), of, 1, 7);
    for (id, by) in [(1, 10.0), (2, 20.0), (3, 30.0)] {
        waits(&mut lines, 0.0, &entry(id, 0, 1.0, by));
    }
    let later = lines.enter(at(0.0), &entry(4, 0, 1.0, 40.0));
    assert!(matches!(later.entered, Entered::TurnedAway { .. }) && later.displaced.is_empty());
    let sooner = lines.enter(at(0.0), &entry(5, 0, 1.0, 15.0));
    assert!(matches!(sooner.entered, Entered::Waits(_)));
    assert_eq!(
        sooner.displaced.iter().map(|d| d.0.0).collect::<Vec<_>>(),
        [3]
    );
    waits(&mut lines, 0.0, &entry(6, 1, 1.0, 90.0));
    // The house is full: the second desk's next, however late, takes the place of the first desk's last.
    let other = lines.enter(at(0.0), &entry(7, 1, 1.0, 95.0));
    assert_eq!(
        other.displaced.iter().map(|d| d.0.0).collect::<Vec<_>>(),
        [2]
    );
    // Even now: nobody has the better claim.
    let even = lines.enter(at(0.0), &entry(8, 1, 1.0, 99.0));
    assert!(matches!(even.entered, Entered::TurnedAway { .. }) && even.displaced.is_empty());
    assert_eq!(lines.len(), 4);
}

#[test]
fn keyed_statements_leave_in_the_order_they_came_whatever_their_limits() {
    let mut lines = Lines::new(at(0.0), terms(&[1.0]), 1, 7);
    let key = Some(OrderKey(5));
    for (id, by) in [(1010, 9.0), (2010, 3.0)] {
        waits(
            &mut lines,
            0.0,
            &Entry {
                key,
                ..entry(id, 0, 0.1, by)
            },
        );
    }
    waits(&mut lines, 0.0, &entry(3010, 0, 0.1, 20.0));
    lines.round(at(0.1), 4.0, 1.0);
    // Its turn is not there yet, which says nothing of room: the other is asked about all the same.
    assert_eq!(lines.next().unwrap().position.id.0, 1010);
    lines.refused(StatementId(1010), false, at(9.0));
    assert_eq!(lines.next().unwrap().position.id.0, 3010);
    assert_eq!(release(&mut lines, 0.2, 9), [1010, 2010, 3010]);
    assert!(lines.is_empty());
}

#[test]
fn new_terms_keep_all_that_waits_in_its_order_and_what_was_used() {
    let two = |name: &str| member(name, vec![desk("front", 1.0), desk("back", 1.0)]);
    let mut of = terms(&[]);
    of.members = vec![two("a"), two("b")];
    let mut lines = Lines::new(at(0.0), of.clone(), 1, 7);
    for id in 0..40 {
        waits(
            &mut lines,
            0.0,
            &entry(
                id * 1000 + 1,
                (id % 4) as u32,
                0.01,
                10.0 + (id * 7 % 11) as f64,
            ),
        );
    }
    // `b` keeps one desk under another number, `a` is gone.
    of.members = vec![
        member("new", vec![desk("all", 1.0)]),
        member("b", vec![desk("back", 3.0)]),
    ];
    lines.change(at(0.1), of);
    assert_eq!(lines.len(), 40);
    let status = lines.status(at(0.1), 10);
    let waiting: Vec<_> = status
        .iter()
        .map(|s| (&s.member[..], &s.desk[..], s.waiting))
        .collect();
    assert_eq!(waiting, [("new", "all", 20), ("b", "back", 20)]);
    let mut left = release(&mut lines, 0.2, 99);
    assert_eq!(left.len(), 40);
    left.sort_unstable();
    assert_eq!(left, (0..40).map(|id| id * 1000 + 1).collect::<Vec<_>>());
}

#[test]
fn a_wait_longer_than_its_use_is_denied_at_entry() {
    let mut lines = Lines::new(at(0.0), terms(&[1.0, 1.0]), 1, 7);
    let mut id = 0;
    let mut enter = |lines: &mut Lines, now: f64, useful_until: f64| {
        id += 1;
        let entry = entry(id * 1000 + 10, 0, 0.1, 100.0 + id as f64);
        let objective_until = at(useful_until);
        lines
            .enter(
                at(now),
                &Entry {
                    objective_until,
                    ..entry
                },
            )
            .entered
    };
    for _ in 0..60 {
        enter(&mut lines, 0.0, 100.0);
    }
    // One CPU second a second.
    for step in 1..=20 {
        assert_eq!(release(&mut lines, step as f64 * 0.1, 1).len(), 1);
    }
    // 40 wait: some four seconds.
    let Entered::Waits(estimate) = enter(&mut lines, 2.0, 60.0) else {
        panic!()
    };
    assert!(
        (3.4..4.6).contains(&estimate.wait.secs()) && estimate.p90 >= estimate.wait,
        "{estimate:?}"
    );
    let Entered::TurnedAway { back } = enter(&mut lines, 2.0, 4.0) else {
        panic!("it sits there beyond its use")
    };
    // Twice the 90th percentile must fit into what is left until its latency objective.
    assert!((3.0..12.0).contains(&back.secs()), "{back:?}");
}

#[test]
fn estimates_double_when_half_the_cores_go() {
    let mut lines = Lines::new(at(0.0), terms(&[1.0]), 1, 7);
    for id in 1..=60 {
        waits(&mut lines, 0.0, &entry(id * 1000 + 10, 0, 0.1, 100.0));
    }
    for step in 1..=20 {
        release(&mut lines, step as f64 * 0.1, 1);
    }
    let before = lines
        .estimate(at(2.0), StatementId(60_010))
        .unwrap()
        .wait
        .secs();
    lines.round(at(2.01), 2.0, 1.0);
    let after = lines
        .estimate(at(2.01), StatementId(60_010))
        .unwrap()
        .wait
        .secs();
    assert!((1.8..2.2).contains(&(after / before)), "{before} {after}");
}

#[test]
fn half_of_those_who_wait_leave_at_once_and_the_rest_stand_as_they_did() {
    let mut lines = Lines::new(at(0.0), terms(&[1.0, 1.0, 0.0]), 1, 7);
    for id in 0..300 {
        waits(
            &mut lines,
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
        assert!(lines.left(at(0.1), StatementId(id * 1000 + 1)).is_some());
        assert!(lines.left(at(0.1), StatementId(id * 1000 + 1)).is_none());
    }
    let left = release(&mut lines, 0.2, 999);
    assert_eq!(left.len(), 150);
    assert!(lines.is_empty() && left.iter().all(|id| id / 1000 % 2 == 1));
}

#[test]
fn a_thousand_teams_of_which_three_are_busy_share_as_three_would() {
    let budgets: Vec<f64> = (0..1000).map(|_| 1.0).collect();
    let mut lines = Lines::new(at(0.0), terms(&budgets), 1, 7);
    for n in 0..300 {
        for (team, desk) in [17, 500, 999].into_iter().enumerate() {
            waits(
                &mut lines,
                0.0,
                &entry(
                    (n * 3 + team as u64) * 1000 + 10,
                    desk,
                    0.1,
                    60.0 + n as f64,
                ),
            );
        }
    }
    let mut got = [0; 3];
    for step in 1..=30 {
        release(&mut lines, step as f64 * 0.1, 10)
            .into_iter()
            .for_each(|id| got[(id / 1000 % 3) as usize] += 1);
    }
    assert!(got.iter().all(|got| (95..=105).contains(got)), "{got:?}");
}

#[test]
fn desks_are_found_by_name_then_network_then_default() {
    let mut of = terms(&[1.0]);
    let with = |name: &str, networks: &[&str]| DeskTerms {
        networks: networks
            .iter()
            .map(|network| network.parse().unwrap())
            .collect(),
        ..desk(name, 1.0)
    };
    of.members.push(member(
        "w",
        vec![
            with("d", &[]),
            with("n", &["10.0.0.0/8"]),
            with("m", &["10.9.0.0/16", "fd00::/8"]),
        ],
    ));
    let directory = Directory::new(&of);
    for (member, desk, from, want) in [
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
        let found = directory.find(member, desk, from.map(|from| from.parse().unwrap()));
        assert_eq!(
            (found.desk.0, found.known),
            want,
            "{member:?} {desk:?} {from:?}"
        );
    }
}

/// The treap against a sorted list, step by step.
#[test]
fn the_ordered_line_agrees_with_a_sorted_list() {
    fn holds(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut arena, mut root, mut plain) = (Arena::new(seed), Root::default(), BTreeMap::new());
        for step in 0..300u64 {
            let position = QueuePosition {
                deadline: at(rng.random_range(0..40) as f64),
                id: StatementId(step),
                over_quota: false,
            };
            let need = Need {
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
            let mut frontier = Frontier::default();
            for _ in 0..rng.random_range(0..4) {
                let (cpu, memory_mb) = (
                    rng.random_range(1..20) as f64,
                    rng.random_range(1..20) as f64,
                );
                frontier.refused(Need { cpu, memory_mb });
            }
            let first = plain
                .iter()
                .find(|(_, need)| frontier.may_have_room(**need));
            assert_eq!(
                arena.first_with_room(root, &frontier),
                first.map(|(position, need)| (*position, *need))
            );
            let before: Vec<_> = plain.range(..position).map(|(_, need)| need.cpu).collect();
            assert_eq!(
                arena.ahead(root, position),
                (before.len() as u32, before.iter().sum())
            );
            assert_eq!(
                arena.last(root).map(|last| last.0),
                plain.keys().last().copied()
            );
        }
        arena.places(root) == plain.keys().copied().collect::<Vec<_>>()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 3))
        .tests(40)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Random days. After every step: bounds kept, nobody lost or twice out, sums right, one desk's order kept among those
/// for whom there is room, and no head passed over beyond the bound while others that came later leave.
#[test]
fn random_days_keep_the_bounds() {
    fn day(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let teams = rng.random_range(1..6usize);
        let budgets: Vec<f64> = (0..teams)
            .map(|_| [0.0, 0.5, 1.0, 3.0][rng.random_range(0..4usize)])
            .collect();
        let mut of = terms(&budgets);
        of.ageing = span(0.5);
        (of.each, of.all) = (
            Bound {
                statements: 30,
                cpu: 20.0,
            },
            Bound {
                statements: 60,
                cpu: 40.0,
            },
        );
        let mut lines = Lines::new(at(0.0), of.clone(), 2, seed);
        let mut here: BTreeMap<u64, (u32, f64, f64)> = BTreeMap::new();
        // By desk: since when it has waited without a release.
        let mut since: BTreeMap<u32, f64> = BTreeMap::new();
        let (mut now, mut id, mut out) = (0.0, 0u64, Vec::<StatementId>::new());
        for _ in 0..400 {
            now += 0.02;
            lines.round(at(now), 4.0, 1.0);
            for _ in 0..rng.random_range(0..4) {
                id += 1;
                let (desk, cpu) = (
                    rng.random_range(0..teams as u32),
                    rng.random_range(0.01..2.0),
                );
                let position = QueuePosition {
                    deadline: at(now + 1000.0),
                    id: StatementId(id),
                    over_quota: false,
                };
                let entry = Entry {
                    position,
                    useful_until: at(now + 900.0),
                    ..entry(id, desk, cpu, 0.0)
                };
                let entering = lines.enter(at(now), &entry);
                for (victim, _) in entering.displaced {
                    assert!(here.remove(&victim.0).is_some(), "displaced twice");
                }
                if matches!(entering.entered, Entered::Waits(_)) {
                    here.insert(id, (desk, cpu, now));
                }
            }
            for desk in 0..teams as u32 {
                if here.values().any(|(of, ..)| *of == desk) {
                    since.entry(desk).or_insert(now);
                } else {
                    since.remove(&desk);
                }
            }
            // Room for what costs up to this much.
            let (mut room, mut dearest) = (rng.random_range(0.0..1.0), f64::INFINITY);
            while let Some(Offer { position, .. }) = lines.next() {
                let (desk, cpu, _) = here[&position.id.0];
                let waited = |of: &u32| since.get(of).map_or(0.0, |since| now - since);
                // A desk whose first was passed over for half a second is asked before all that waited less.
                let hopeful = |of: &u32| {
                    here.values()
                        .any(|(desk, cpu, _)| desk == of && *cpu < dearest)
                };
                let aged: Vec<_> = (0..teams as u32)
                    .filter(|of| waited(of) > 0.50001 && hopeful(of))
                    .collect();
                assert!(
                    aged.is_empty() || aged.contains(&desk),
                    "{desk} before {aged:?}"
                );
                if cpu > room {
                    lines.refused(position.id, false, at(now + 900.0));
                    dearest = dearest.min(cpu);
                    continue;
                }
                room -= cpu;
                assert!(lines.released(at(now), position.id, cpu).is_some());
                here.remove(&position.id.0);
                out.push(position.id);
                since.insert(desk, now);
                if !here.values().any(|(of, ..)| *of == desk) {
                    since.remove(&desk);
                }
            }
            if rng.random::<f64>() < 0.3 && !here.is_empty() {
                let gone = *here.keys().nth(rng.random_range(0..here.len())).unwrap();
                let desk = here.remove(&gone).unwrap().0;
                assert!(lines.left(at(now), StatementId(gone)).is_some());
                if !here.values().any(|(of, ..)| *of == desk) {
                    since.remove(&desk);
                }
            }
            if let Some(done) = out.pop() {
                lines.came_to(at(now), done, Some(rng.random_range(0.01..2.0)));
                lines.over(done);
            }
            if rng.random::<f64>() < 0.02 {
                lines.change(at(now), of.clone());
                since = since.keys().map(|desk| (*desk, now)).collect();
            }
            assert_eq!(lines.len(), here.len());
            let status = lines.status(at(now), 100);
            for (desk, status) in status.iter().enumerate() {
                let of = here.values().filter(|(of, ..)| *of as usize == desk);
                let (count, cpu) =
                    of.fold((0, 0.0), |(count, sum), (_, cpu, _)| (count + 1, sum + cpu));
                assert_eq!(status.waiting, count);
                assert!(
                    (status.cpu - cpu).abs() < 1e-6 && status.waiting <= 30 && cpu <= 20.0 + 2.0
                );
            }
            assert!(here.len() <= 60);
        }
        out.into_iter().for_each(|id| lines.over(id));
        lines.charged() == 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 9))
        .tests(60)
        .quickcheck(day as fn(u64) -> bool);
}

#[test]
fn when_the_gateway_ends_all_that_waits_is_asked_about_before_it() {
    let mut lines = Lines::new(at(0.0), terms(&[1.0, 1.0]), 1, 7);
    for id in 0..4 {
        waits(&mut lines, 0.0, &entry(id, id as u32 % 2, 1.0, 100.0));
    }
    assert!(lines.past(at(3.0)).is_empty());
    lines.drain_deadline(at(3.0));
    assert!(lines.past(at(2.9)).is_empty());
    assert_eq!(lines.past(at(3.0)).len(), 4);
}

#[test]
fn budgets_fill_faster_while_the_gateway_carries_more_than_its_share() {
    for (carries, owed) in [(1.0, false), (2.0, true)] {
        let mut lines = Lines::new(at(0.0), terms(&[1.0, 1.0]), 1, 7);
        lines.round(at(0.0), 4.0, carries);
        // Its whole bucket of two CPU seconds, then one more second of work, three quarters of a second later.
        waits(&mut lines, 0.0, &entry(1200, 0, 2.0, 50.0));
        assert_eq!(release(&mut lines, 0.0, 1).len(), 1);
        lines.round(at(0.0), 4.0, carries);
        waits(&mut lines, 0.0, &entry(2100, 0, 1.0, 60.0));
        lines.round(at(0.75), 4.0, carries);
        assert_eq!(
            lines.next().map(|offer| !offer.borrowed),
            Some(owed),
            "{carries}"
        );
    }
}

/// Budgets that are told as they change: nothing is saved at first, savings are cut with a part, and the desks' follow.
#[test]
fn leased_budgets_start_empty_and_follow_what_is_told() {
    let mut lines = Lines::new(at(0.0), terms(&[12.0, 3.0]), 1, 1);
    let saved = |lines: &mut Lines, now: f64| -> Vec<f64> {
        lines
            .status(at(now), 10)
            .iter()
            .map(|desk| (desk.saved * 1e6).round() / 1e6)
            .collect()
    };
    let budgets = |lines: &mut Lines, now: f64| -> Vec<f64> {
        lines
            .status(at(now), 10)
            .iter()
            .map(|desk| desk.budget)
            .collect()
    };
    // Budgets of all gateways: one that fills them at their whole would spend them for everybody.
    lines.lease(at(0.0), &[Some(2.0), Some(1.0)]);
    assert_eq!(
        (saved(&mut lines, 0.0), budgets(&mut lines, 0.0)),
        (vec![0.0, 0.0], vec![2.0, 1.0])
    );
    assert_eq!(saved(&mut lines, 1.0), [2.0, 1.0]);
    // More is no gift, less is cut at once, and what is not told stays.
    lines.lease(at(1.0), &[Some(8.0), None]);
    assert_eq!(
        (saved(&mut lines, 1.0), budgets(&mut lines, 1.0)),
        (vec![2.0, 1.0], vec![8.0, 1.0])
    );
    lines.lease(at(1.0), &[Some(0.5), Some(0.0)]);
    assert_eq!(saved(&mut lines, 1.0), [1.0, 0.0]);
    lines.lease(at(1.0), &[Some(4.0), None]);
    // A gateway that carries more than its share is no reason to spend faster what others hold.
    lines.round(at(1.0), 4.0, 3.0);
    assert_eq!(saved(&mut lines, 1.5), [3.0, 0.0]);
    // Other terms for the same members: neither a whole nor a burst comes of them.
    lines.change(at(1.5), terms(&[24.0, 6.0, 1.0]));
    assert_eq!(saved(&mut lines, 1.5), [3.0, 0.0, 0.0]);
    lines.lease(at(1.5), &[Some(4.0), Some(0.0), Some(1.0)]);
    assert_eq!(saved(&mut lines, 2.5), [7.0, 0.0, 1.0]);
    // What came and what was paid is told as it grows.
    waits(&mut lines, 2.5, &entry(1002, 0, 0.02, 9.0));
    release(&mut lines, 2.5, 1);
    let flows: Vec<_> = lines.flows().collect();
    assert_eq!((flows[0], flows[1]), ((0.02, 0.02), (0.0, 0.0)));
}
