//! The lines before the real module: the order with one team, and who is answered when.

use std::collections::BTreeMap;

use admission::interface::*;
use admission::policy::Policy;
use dispatch::{Dispatch, Pick, Wants};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use scheduler::*;

fn span(secs: f64) -> Span {
    Span::from_secs(secs)
}

fn at(secs: f64) -> Moment {
    Moment::from_secs(1000.0 + secs)
}

/// Long limits, so that in these tests the module's own hold denies nobody where no lines stand before it.
fn product(gain: f64, late_gain: f64) -> Product {
    Product {
        effect: Effect::Idempotent,
        gain,
        late_gain,
        quoted: span(190.0),
        quoted_stretch: 2.0,
        hard_limit: span(200.0),
        threads: 1.0,
        in_turn: false,
        locations: None,
        machines: None,
    }
}

fn dispatch(seed: u64) -> Dispatch {
    let fleet = Fleet {
        peers: 1.0,
        cores: vec![4.0],
        memory_mb: vec![1000.0],
        note_pace: Some(span(0.5)),
        idle: None,
        ranks_heeded: true,
    };
    let come_back = Some(span(0.5));
    let relaying = Relaying {
        most: 4,
        cancel: false,
        come_back,
        settle: Span::ZERO,
        ration: None,
    };
    let listing = Listing {
        on_request: false,
        ask_within: span(10.0),
    };
    let products = vec![product(1.0, 0.2), product(10.0, 0.1)];
    let mut dispatch = Dispatch::new(Policy::new(
        seed,
        products,
        Tenancy::default(),
        fleet,
        None,
        relaying,
        listing,
    ));
    dispatch.told_list(at(0.0), &ListNews::Whole(vec![engine(Stage::Ready)]));
    dispatch
}

/// One engine: the module's chance chooses among several, and is asked more often without lines.
fn engine(stage: Stage) -> EngineFact {
    let (location, machine, cell) = (LocationId(0), MachineId(0), CellId(0));
    EngineFact {
        id: EngineId(1),
        scale: 1.0,
        location,
        machine,
        cell,
        stage,
        started: None,
    }
}

fn one_team() -> Terms {
    let claim = Claim {
        budget: 1.0,
        weight: 1.0,
    };
    let desk = DeskTerms {
        name: "all".into(),
        claim,
        networks: Vec::new(),
    };
    let bound = Bound {
        statements: 100_000,
        cpu: 1e9,
    };
    Terms {
        members: vec![MemberTerms {
            name: "m".into(),
            claim,
            desks: vec![desk],
        }],
        ageing: span(0.5),
        burst: span(2.0),
        each: bound,
        all: bound,
    }
}

fn hall(seed: u64, terms: Terms) -> Hall {
    Hall::new(dispatch(seed), Some(Lines::new(at(0.0), terms, 2, seed)))
}

fn wants(rng: &mut Pcg64Mcg) -> Wants {
    Wants {
        product: ProductId(rng.random_range(0..2)),
        tenant: TenantId(0),
        group: GroupId(rng.random_range(0..4)),
        estimate: Some(span(rng.random_range(0.01..0.8))),
        memory_mb: rng.random_range(1.0..200.0),
        key: None,
        marked: true,
        budget: span(rng.random_range(150.0..200.0)),
    }
}

/// With one team, the same statements leave in the same order at the same time as with no lines at all, and relays
/// that failed go back in between as they did.
#[test]
fn with_one_team_the_order_is_that_of_the_modules_own_line() {
    fn same(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut plain = Hall::new(dispatch(seed), None);
        let mut lined = hall(seed, one_team());
        let (mut now, mut next, mut out, mut left) = (0.0, 0, Vec::new(), 0);
        // 7 s: under the hold of 10 s, after which the plain line denies.
        while now < 7.0 {
            now += 0.02;
            if rng.random::<f64>() < 0.3 {
                let (id, wants) = (StatementId(next), wants(&mut rng));
                next += 1;
                assert_eq!(plain.pick(at(now), id, DeskId(0), &wants), Pick::Held);
                // One that would wait too long is denied at entry, which is no matter of order.
                if lined.pick(at(now), id, DeskId(0), &wants) != Pick::Held {
                    plain.gone(at(now), id);
                }
            }
            let [a, b] = [&mut plain, &mut lined].map(|hall| hall.tick(at(now)).due);
            assert_eq!(a, b, "at {now}");
            left += a.len();
            for (id, pick) in a {
                if let Pick::Relay(order) = pick {
                    out.push((now + rng.random_range(0.05..1.5), id, order.relay));
                }
            }
            let done: Vec<_> = out.extract_if(.., |(by, ..)| *by <= now).collect();
            for (_, id, relay) in done {
                let latency = span(rng.random_range(0.05..1.5));
                let news = match rng.random_range(0..10) {
                    0 => News::Error,
                    1 => News::TurnedAway,
                    _ => News::Completed {
                        cpu: Some(span(latency.secs() * 0.5)),
                        memory_mb: None,
                    },
                };
                let settled = matches!(news, News::Completed { .. });
                let [a, b] = [&mut plain, &mut lined]
                    .map(|hall| hall.report(at(now), id, relay, news, latency, settled));
                assert_eq!(a, b);
            }
        }
        assert!(left > 20, "{left}");
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 21))
        .tests(25)
        .quickcheck(same as fn(u64) -> bool);
}

/// One answer each, and none is forgotten: whatever comes, waits, leaves, drains and returns.
#[test]
fn every_statement_has_one_end_through_drains_reloads_and_the_programs_own_end() {
    fn day(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut terms = one_team();
        terms.members.push(MemberTerms {
            name: "n".into(),
            ..terms.members[0].clone()
        });
        (terms.each.statements, terms.all.statements) = (20, 30);
        let mut hall = hall(seed, terms.clone());
        // Ends by statement, and what is out.
        let (mut ends, mut out, mut next): (BTreeMap<_, Moment>, BTreeMap<_, RelayNo>, u64) =
            (BTreeMap::new(), BTreeMap::new(), 0);
        let (mut now, mut drained, mut denied) = (0.0, false, 0);
        let end = 6.0;
        while now < end + 1.0 {
            now += 0.02;
            for _ in 0..if now < end { rng.random_range(0..4) } else { 0 } {
                let id = StatementId(next);
                next += 1;
                let budget = rng.random_range(0.1..3.0f64);
                let wants = Wants {
                    budget: span(budget),
                    ..wants(&mut rng)
                };
                ends.insert(id, at(now + budget));
                let desk = DeskId(rng.random_range(0..3));
                if hall.pick(at(now), id, desk, &wants) != Pick::Held {
                    (denied, _) = (denied + 1, ends.remove(&id).expect("open"));
                }
            }
            for (id, pick) in hall.tick(at(now)).due {
                match pick {
                    Pick::Relay(order) => {
                        assert!(!drained, "{id:?} sent to a draining engine");
                        assert!(out.insert(id, order.relay).is_none() && ends.contains_key(&id));
                    }
                    Pick::Held => panic!("never due"),
                    Pick::Deny { come_back } => {
                        assert!(
                            come_back.is_some_and(|back| back <= span(0.5) && back > Span::ZERO)
                        );
                        (denied, _) = (denied + 1, ends.remove(&id).expect("a second end"));
                    }
                    Pick::Scrap => drop(ends.remove(&id).expect("a second end")),
                }
            }
            for (id, relay) in out.clone() {
                let over = ends.get(&id).is_none_or(|end| *end <= at(now));
                let news = if over {
                    News::TimedOut
                } else {
                    News::Completed {
                        cpu: None,
                        memory_mb: None,
                    }
                };
                if over || rng.random::<f64>() < 0.05 {
                    out.remove(&id);
                    ends.remove(&id);
                    hall.report(at(now), id, relay, news, span(0.3), true);
                }
            }
            for (id, end) in &ends {
                let waits = !out.contains_key(id);
                assert!(!waits || *end > at(now), "{id:?} waits past its time");
            }
            match rng.random_range(0..100) {
                0 => {
                    drained = !drained;
                    let stage = if drained {
                        Stage::Draining
                    } else {
                        Stage::Ready
                    };
                    hall.told_list(at(now), &ListNews::Changes(vec![engine(stage)]));
                }
                1 => {
                    terms.members.rotate_left(1);
                    hall.change(at(now), terms.clone());
                }
                2..10 if !ends.is_empty() => {
                    let id = *ends.keys().nth(rng.random_range(0..ends.len())).unwrap();
                    ends.remove(&id);
                    hall.gone(at(now), id);
                }
                _ => {}
            }
            if now > end - 0.5 && now < end - 0.47 {
                hall.answer_by(at(end));
                ends.values_mut().for_each(|by| *by = (*by).min(at(end)));
            }
        }
        let tally = hall.tally();
        assert_eq!(
            tally.entered,
            tally.turned_away + tally.displaced + tally.released + tally.denied + tally.left
        );
        assert!(tally.displaced + tally.turned_away > 0 && denied > 0);
        hall.waiting() == 0 && ends.is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 4))
        .tests(40)
        .quickcheck(day as fn(u64) -> bool);
}
