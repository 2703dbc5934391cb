//! Days of three hundred gateways: the shapes of a whole fleet in trouble, with rules checked at
//! every step. What is harmless in one gateway and hurts in hundreds is counted over all of them:
//! handshakes, connections, lists.

use std::path::Path;

use simulator::figures::Figures;
use simulator::front::Policy;
use simulator::play::Play;
use simulator::scenario::Scenario;

fn scenario(name: &str) -> Scenario {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/simulator");
    Scenario::read(&folder.join(format!("{name}.hcl"))).unwrap()
}

fn play(scenario: &Scenario, seed: u64) -> Figures {
    Play::new(scenario, Policy::OneLine, seed)
        .unwrap()
        .run()
        .figures
}

/// Service over the whole day, handshakes an attempt, connections at one engine: none may be worse.
#[test]
fn each_day_of_the_whole_fleet_keeps_its_rules_and_its_service() {
    for (name, service, handshakes, connections) in [
        ("mass", 0.99, 0.06, 60),
        ("mass-roll", 0.86, 0.14, 90),
        ("mass-herd", 0.95, 0.11, 70),
        ("mass-zone", 0.98, 0.10, 70),
        ("mass-join", 0.77, 0.13, 120),
        ("mass-lost", 0.95, 0.11, 80),
    ] {
        let figures = play(&scenario(name), 1);
        assert_eq!(figures.rules_broken, 0, "{name}: {:?}", figures.rules);
        assert!(
            figures.service >= service,
            "{name}: service {}",
            figures.service
        );
        let share = figures.handshakes as f64 / figures.attempts as f64;
        assert!(share <= handshakes, "{name}: {share} handshakes a relay");
        assert!(
            figures.most_connections <= connections,
            "{name}: {} at one engine",
            figures.most_connections
        );
    }
}

/// The list goes once to each gateway for each change, whatever else happens.
#[test]
fn lists_are_told_once_a_gateway_and_change() {
    assert_eq!(play(&scenario("mass-zone"), 2).lists_told, 300 * 20);
    assert_eq!(play(&scenario("mass"), 2).lists_told, 0);
}

#[test]
fn without_the_idle_time_told_hundreds_of_gateways_connect_anew_for_nearly_each_relay() {
    let mut untold = scenario("mass");
    let told = play(&untold, 3);
    // Connections still end when idle; only the decisions do not know.
    untold.idle_untold = true;
    let untold = play(&untold, 3);
    let share = |of: &Figures| of.handshakes as f64 / of.attempts as f64;
    assert!(
        share(&untold) > 5.0 * share(&told),
        "{} untold, {} told",
        share(&untold),
        share(&told)
    );
}

/// A third of the engines hang before 222 gateways that see little each: told by others, few lose a
/// statement.
#[test]
fn gateways_that_know_each_other_lose_fewer_statements_to_a_hung_third() {
    let mut knowing = scenario("hung-third");
    let with = play(&knowing, 1);
    knowing.fleet = false;
    let without = play(&knowing, 1);
    assert_eq!(
        (with.rules_broken, without.rules_broken),
        (0, 0),
        "{:?} {:?}",
        with.rules,
        without.rules
    );
    assert!(
        with.timed_out * 3 < without.timed_out * 2,
        "{} with, {} without",
        with.timed_out,
        without.timed_out
    );
}
