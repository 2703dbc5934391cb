//! What must not harm: any bytes, any letters of one who holds the key.

use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use membership::letter::{self, Body, Letter, Nonce, View};
use membership::{
    Bounds, Gateway, Incarnation, Life, Locality, Name, Record, Refused, Ring, State, Terms,
};
use quickcheck::{QuickCheck, TestResult};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const KEY: [u8; 32] = [7; 32];

fn ring() -> Ring {
    Ring::new(&KEY, &[]).unwrap()
}

fn fleet() -> Name {
    Name::new("test").unwrap()
}

fn at(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7946))
}

fn gateway(number: u8, terms: Terms) -> Gateway {
    let name = Name::new(&format!("g{number}")).unwrap();
    let seeds = vec![at(1)];
    Gateway::new(
        moment(0.0),
        fleet(),
        name,
        at(number),
        Locality::default(),
        seeds,
        ring(),
        terms,
        number.into(),
    )
}

fn moment(secs: f64) -> Timestamp {
    Timestamp::from_secs(1000.0 + secs)
}

fn record(number: u8) -> Record {
    Record {
        name: Name::new(&format!("g{number}")).unwrap(),
        life: Life(number.into()),
        incarnation: Incarnation(1),
        address: at(number),
        locality: Locality::default(),
        state: State::Alive,
    }
}

fn letter(from: Record, counter: u64, body: Body) -> Letter {
    Letter {
        fleet: fleet(),
        from,
        counter,
        view: View::default(),
        body,
        records: vec![],
        engines: vec![],
    }
}

/// By turns one another's letters, until a time.
fn talk(all: &mut [Gateway], now: &mut f64, until: f64) {
    while *now < until {
        *now += 0.01;
        for from in 0..all.len() {
            all[from].turn(moment(*now));
            let source = all[from].own().address;
            for datagram in all[from].take_out() {
                let to = all.iter_mut().find(|to| to.own().address == datagram.to);
                if let Some(to) = to {
                    let _ = to.receive(moment(*now), source, &datagram.bytes);
                }
            }
        }
    }
}

#[test]
fn what_is_not_ours_is_refused_by_its_reason() {
    let mut own = gateway(1, Terms::default());
    let good = letter::seal(&ring(), &letter(record(2), 1, Body::News));
    let foreign = Letter {
        fleet: Name::new("other").unwrap(),
        ..letter(record(2), 2, Body::News)
    };
    let own_name = Record {
        address: at(9),
        life: Life(99),
        ..record(1)
    };
    let change = |at: usize, by: u8| {
        let mut bytes = good.clone();
        bytes[at] ^= by;
        bytes
    };
    let cases = [
        (vec![], Refused::Size),
        (vec![1; 20], Refused::Size),
        (vec![1; 1201], Refused::Size),
        (change(0, 3), Refused::Version),
        (change(1, 1), Refused::Key),
        (change(8, 1), Refused::Code),
        (change(40, 1), Refused::Code),
        (letter::seal(&ring(), &foreign), Refused::Foreign),
        (
            letter::seal(&ring(), &letter(record(3), 1, Body::News)),
            Refused::Address,
        ),
        (
            letter::seal(&ring(), &letter(record(2), 9, Body::Ack(Nonce(5)))),
            Refused::Unasked,
        ),
    ];
    for (bytes, refused) in cases {
        assert_eq!(
            own.receive(moment(1.0), at(2), &bytes),
            Err(refused),
            "{refused}"
        );
    }
    assert_eq!(
        own.receive(
            moment(1.0),
            at(9),
            &letter::seal(&ring(), &letter(own_name, 1, Body::News))
        ),
        Err(Refused::OwnName)
    );
    assert_eq!(own.receive(moment(1.0), at(2), &good), Ok(()));
    assert_eq!(
        own.receive(moment(1.0), at(2), &good),
        Err(Refused::Repeated)
    );
    let refused: u64 = own
        .tally
        .each()
        .iter()
        .filter(|(name, _)| name.starts_with("refused"))
        .map(|(_, count)| count)
        .sum();
    assert_eq!((refused, own.tally.taken), (12, 1));
}

#[test]
fn any_bytes_leave_it_as_it_was() {
    fn holds(bytes: Vec<u8>) -> TestResult {
        let mut own = gateway(1, Terms::default());
        let refused = own.receive(moment(1.0), at(2), &bytes).is_err();
        TestResult::from_bool(refused && own.take_out().is_empty() && own.table_len() == 0)
    }
    QuickCheck::new()
        .tests(2000)
        .quickcheck(holds as fn(Vec<u8>) -> TestResult);
}

#[test]
fn any_change_of_a_letter_under_way_is_found() {
    let good = letter::seal(&ring(), &letter(record(2), 1, Body::Ping(Nonce(3))));
    for byte in 0..good.len() {
        for bit in 0..8 {
            let mut bytes = good.clone();
            bytes[byte] ^= 1 << bit;
            assert!(
                gateway(1, Terms::default())
                    .receive(moment(1.0), at(2), &bytes)
                    .is_err(),
                "{byte} {bit}"
            );
        }
    }
}

/// One that holds the key says anything: four honest ones stay together, bounded, and hold each other.
fn liars_day(seed: u64) -> TestResult {
    liars_day_with(seed, None)
}

fn liars_day_with(seed: u64, bounds: Option<Bounds>) -> TestResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let terms = Terms {
        most: 40,
        bounds,
        ..Terms::default()
    };
    let mut all: Vec<Gateway> = (1..=4)
        .map(|number| gateway(number, terms.clone()))
        .collect();
    // The liar is a gateway too: known, and heard.
    all.push(gateway(5, terms));
    let mut now = 0.0;
    talk(&mut all, &mut now, 12.0);
    if all.iter().any(|gateway| gateway.size() != 5) {
        return TestResult::failed();
    }
    let mut counter = 1 << 40;
    for _ in 0..40 {
        for honest in 0..4 {
            let mut lie = letter(all[4].own().clone(), counter, Body::News);
            counter += 1;
            for _ in 0..rng.random_range(0..8) {
                let number = rng.random_range(1..=8u8);
                let known = all
                    .iter()
                    .find(|gateway| gateway.own().address == at(number));
                let life = known
                    .filter(|_| rng.random::<bool>())
                    .map_or(Life(rng.random()), |of| of.own().life);
                let states = [State::Alive, State::Suspect, State::Dead, State::Left];
                let incarnation = [1, 2, 3, 9_000, 1 << 30, u32::MAX][rng.random_range(0..6)];
                lie.records.push(Record {
                    name: Name::new(&format!("g{number}")).unwrap(),
                    life,
                    incarnation: Incarnation(incarnation),
                    address: at(rng.random_range(1..=40)),
                    locality: Locality::default(),
                    state: states[rng.random_range(0..4)],
                });
            }
            let bytes = letter::seal(&ring(), &lie);
            let _ = all[honest].receive(moment(now), at(5), &bytes);
        }
        let until = now + 0.5;
        talk(&mut all, &mut now, until);
        for honest in &all[..4] {
            let there = |number: u8| honest.held(&Name::new(&format!("g{number}")).unwrap());
            let own = honest.own().address;
            for number in (1..=4).filter(|number| at(*number) != own) {
                let Some(held) = there(number) else {
                    return TestResult::error(format!("g{number} was lost"));
                };
                let life = all[usize::from(number) - 1].own().life;
                if !held.counts() || held.record.life != life || held.record.address != at(number) {
                    return TestResult::error(format!("{own} holds {:?}", held.record));
                }
            }
            if honest.table_len() > 40 || honest.own().incarnation > Incarnation(100_000) {
                return TestResult::error(format!(
                    "{} held, {:?}",
                    honest.table_len(),
                    honest.own()
                ));
            }
        }
    }
    TestResult::passed()
}

#[test]
fn one_liar_among_five_takes_nobody_off_whatever_it_says() {
    QuickCheck::new()
        .tests(30)
        .quickcheck(liars_day as fn(u64) -> TestResult);
}

#[test]
fn one_liar_among_five_takes_nobody_off_with_bounds_either() {
    let holds = |seed| liars_day_with(seed, Some(Bounds::default()));
    QuickCheck::new()
        .tests(30)
        .quickcheck(holds as fn(u64) -> TestResult);
}

#[test]
fn the_same_lies_by_two_of_two_needed_take_effect() {
    // What liars_day would miss if nothing ever counted: two that agree are believed, until it is refuted.
    let mut all: Vec<Gateway> = (1..=5)
        .map(|number| gateway(number, Terms::default()))
        .collect();
    let mut now = 0.0;
    talk(&mut all, &mut now, 12.0);
    let victim = all[3].own().clone();
    for liar in [1, 2] {
        let mut lie = letter(all[liar].own().clone(), 1 << 40, Body::News);
        lie.records.push(Record {
            state: State::Suspect,
            ..victim.clone()
        });
        let from = all[liar].own().address;
        all[0]
            .receive(moment(now), from, &letter::seal(&ring(), &lie))
            .unwrap();
    }
    assert_eq!(
        all[0].held(&victim.name).unwrap().record.state,
        State::Suspect
    );
    let until = now + 10.0;
    talk(&mut all, &mut now, until);
    let held = &all[0].held(&victim.name).unwrap().record;
    assert!(
        held.state == State::Alive && held.incarnation > victim.incarnation,
        "{held:?}"
    );
}

#[test]
fn a_flood_of_questions_is_answered_at_a_pace() {
    let mut all: Vec<Gateway> = (1..=2)
        .map(|number| gateway(number, Terms::default()))
        .collect();
    let mut now = 0.0;
    talk(&mut all, &mut now, 8.0);
    let from = all[1].own().clone();
    for counter in 0..5000u64 {
        let question = letter(
            from.clone(),
            (1 << 40) + counter,
            Body::Ping(Nonce(counter)),
        );
        let _ = all[0].receive(moment(now), at(2), &letter::seal(&ring(), &question));
    }
    let answers = all[0].take_out().len();
    assert!((1..=60).contains(&answers), "{answers} answers at once");
    assert!(all[0].tally.refused_many > 4900);
    let later = moment(now) + TimeDelta::from_secs(1.0);
    let question = letter(from, 1 << 50, Body::Ping(Nonce(1)));
    assert_eq!(
        all[0].receive(later, at(2), &letter::seal(&ring(), &question)),
        Ok(())
    );
}

#[test]
fn one_whose_table_never_ends_is_asked_at_a_pace() {
    let mut all: Vec<Gateway> = (1..=2)
        .map(|number| gateway(number, Terms::default()))
        .collect();
    let mut now = 0.0;
    talk(&mut all, &mut now, 8.0);
    let from = all[1].own().clone();
    for counter in 0..1000u64 {
        let next = Some(Name::new("a").unwrap());
        let page = letter(from.clone(), (1 << 40) + counter, Body::Page { next });
        all[0]
            .receive(moment(now), at(2), &letter::seal(&ring(), &page))
            .unwrap();
    }
    let asked = all[0].take_out().len();
    assert!((1..=8).contains(&asked), "{asked} at once");
}
