//! Tests faults in a cluster of hundreds of gateways, with the rules checked at every step. Some
//! costs are harmless for one gateway but not for hundreds, so handshakes, connections and engine
//! list updates are counted over all of them.

use std::path::Path;

use simulator::figures::Figures;
use simulator::front::Policy;
use simulator::play::Play;
use simulator::scenario::Scenario;

fn scenario(name: &str) -> Scenario {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/simulator");
    Scenario::read(&folder.join(format!("{name}.hcl"))).unwrap()
}

fn run(scenario: &Scenario, seed: u64) -> Figures {
    Play::new(scenario, Policy::OneLine, seed)
        .unwrap()
        .run()
        .figures
}

/// The numbers are limits: the lowest service, the most handshakes per attempt and the most
/// connections to one engine.
#[test]
fn faults_of_the_whole_cluster_keep_the_rules_and_the_service() {
    for (name, service, handshakes, connections) in [
        ("mass", 0.99, 0.06, 60),
        ("mass-roll", 0.86, 0.14, 90),
        ("mass-herd", 0.95, 0.11, 70),
        ("mass-zone", 0.98, 0.10, 70),
        ("mass-join", 0.77, 0.13, 120),
        ("mass-lost", 0.95, 0.11, 80),
    ] {
        let figures = run(&scenario(name), 1);
        assert_eq!(figures.rules_broken, 0, "{name}: {:?}", figures.rules);
        assert!(
            figures.service >= service,
            "{name}: service {}",
            figures.service
        );
        let share = figures.handshakes as f64 / figures.attempts as f64;
        assert!(
            share <= handshakes,
            "{name}: {share} handshakes per attempt"
        );
        assert!(
            figures.most_connections <= connections,
            "{name}: {} at one engine",
            figures.most_connections
        );
    }
}

/// Each change of the engine list is sent once to each gateway.
#[test]
fn each_list_change_is_sent_once_per_gateway() {
    assert_eq!(run(&scenario("mass-zone"), 2).lists_told, 300 * 20);
    assert_eq!(run(&scenario("mass"), 2).lists_told, 0);
}

#[test]
fn an_unknown_idle_timeout_multiplies_handshakes() {
    let mut hidden_timeout = scenario("mass");
    let known_timeout = run(&hidden_timeout, 3);
    // Idle connections still time out, but the dispatchers do not know it.
    hidden_timeout.idle_untold = true;
    let hidden_timeout = run(&hidden_timeout, 3);
    let share = |figures: &Figures| figures.handshakes as f64 / figures.attempts as f64;
    assert!(
        share(&hidden_timeout) > 5.0 * share(&known_timeout),
        "{} with a hidden, {} with a known idle timeout",
        share(&hidden_timeout),
        share(&known_timeout)
    );
}

/// A third of the engines hang behind 222 gateways, each of which sends too few statements to
/// detect it early. When they share outlier detection results, fewer attempts time out.
#[test]
fn sharing_outliers_reduces_timeouts_when_a_third_of_the_engines_hangs() {
    let mut hung_third = scenario("hung-third");
    let with = run(&hung_third, 1);
    hung_third.fleet = false;
    let without = run(&hung_third, 1);
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
