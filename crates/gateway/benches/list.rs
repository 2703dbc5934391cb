//! Measures how a list of engines is processed, without sockets: the size of the discovery
//! response, the time to parse it, to update the engine registry and to update admission control,
//! and the time for one further event.

#[path = "../../dispatch/benches/support/fit.rs"]
#[allow(dead_code)]
mod fit;

use std::net::SocketAddr;
use std::time::Instant;

use admission::interface::{TimeDelta, Timestamp};
use bytes::BytesMut;
use dispatch::Dispatcher;
use fit::{Line, median, spread};
use gateway::discovery::endpoints::{DiscoveryEvent, EventBatch};
use gateway::discovery::http::{self, InputState, PollResponse};
use gateway::discovery::registry::EngineRegistry;
use gateway::service::NETWORK_DELAY;
use serde_json::{Value, json};
use settings::Settings;
use stand_ins::board::{event, target};

const SIZES: [u32; 4] = [10, 100, 1_000, 3_100];
const ROUNDS: usize = 15;
/// The step, in engines, of the search for the largest list that the gateway still reads in one
/// response.
const SEARCH_STEP: u32 = 50;

fn engine(number: u32) -> Value {
    let [_, high, middle, low] = number.to_be_bytes();
    target(
        &format!("e-{number}"),
        SocketAddr::from(([10, high, middle, low], 7101)),
        "in_service",
    )
}

fn list_response(last: usize, whole: bool, engines: Vec<Value>) -> Vec<u8> {
    let body = json!({"rev": last, "notices": [event(last, whole, engines)]}).to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Returns a response with a snapshot of this many engines.
fn whole_list(engines: u32) -> Vec<u8> {
    list_response(1, true, (1..=engines).map(engine).collect())
}

fn dispatch(settings: &Settings) -> Dispatcher {
    Dispatcher::new(
        settings
            .policy(1, NETWORK_DELAY)
            .expect("the example's settings"),
    )
}

fn read(bytes: &[u8]) -> EventBatch {
    match http::take_response(&mut BytesMut::from(bytes), InputState::Open) {
        Ok(PollResponse::Complete { batch, .. }) => batch,
        other => panic!("{other:?}"),
    }
}

/// Applies the first event and returns the microseconds for the engine registry and for admission
/// control.
fn apply_first_event(
    registry: &mut EngineRegistry,
    dispatch: &mut Dispatcher,
    events: &[DiscoveryEvent],
) -> (f64, f64) {
    let change = events[0]
        .change
        .as_ref()
        .expect("the event has no change of the list");
    let begun = Instant::now();
    let applied = registry.apply(Timestamp::from_secs(1.0), change);
    let registry_us = begun.elapsed().as_secs_f64() * 1e6;
    let begun = Instant::now();
    dispatch.on_endpoint_update(Timestamp::from_secs(1.0) + TimeDelta::ZERO, &applied.update);
    (registry_us, begun.elapsed().as_secs_f64() * 1e6)
}

/// Durations in microseconds, one for each round.
#[derive(Default)]
struct Samples {
    /// Parsing the HTTP response and its JSON.
    parse: Vec<f64>,
    /// Updating the engine registry with the first list.
    registry: Vec<f64>,
    /// Updating admission control with the first list.
    admission: Vec<f64>,
    /// Updating the engine registry with the same list again.
    registry_again: Vec<f64>,
    /// Updating admission control with the same list again.
    admission_again: Vec<f64>,
    /// All steps for one further event.
    event: Vec<f64>,
}

fn measure(settings: &Settings, engines: u32, samples: &mut Samples) {
    let bytes = whole_list(engines);
    let begun = Instant::now();
    let first = read(&bytes);
    samples.parse.push(begun.elapsed().as_secs_f64() * 1e6);
    let (mut registry, mut dispatch) = (
        EngineRegistry::new(settings.location_names(), settings.machine_names()),
        dispatch(settings),
    );
    let (registry_us, admission_us) =
        apply_first_event(&mut registry, &mut dispatch, &first.events);
    samples.registry.push(registry_us);
    samples.admission.push(admission_us);
    // The same list arrives again, as after a restart of the discovery service.
    let (registry_us, admission_us) =
        apply_first_event(&mut registry, &mut dispatch, &first.events);
    samples.registry_again.push(registry_us);
    samples.admission_again.push(admission_us);
    let update = list_response(2, false, vec![engine(1)]);
    let begun = Instant::now();
    let second = read(&update);
    apply_first_event(&mut registry, &mut dispatch, &second.events);
    samples.event.push(begun.elapsed().as_secs_f64() * 1e6);
}

/// Returns the number of engines in the largest list that fits in one discovery response, to within
/// [`SEARCH_STEP`].
fn largest_list() -> u32 {
    let fits = |engines: u32| {
        matches!(
            http::take_response(
                &mut BytesMut::from(&whole_list(engines)[..]),
                InputState::Open
            ),
            Ok(PollResponse::Complete { .. })
        )
    };
    let mut engines = SIZES[SIZES.len() - 1];
    assert!(fits(engines), "the largest measured list is refused");
    while fits(engines + SEARCH_STEP) {
        engines += SEARCH_STEP;
    }
    engines
}

fn main() {
    let mut config: Value = serde_json::from_str(include_str!("../../../examples/config.json"))
        .expect("the example is JSON");
    config["settings"]["PeersTotal"] = json!(1_900);
    let settings = Settings::from_json(&config["settings"]);
    let mut all: [Samples; SIZES.len()] = Default::default();
    for _ in 0..ROUNDS {
        SIZES
            .iter()
            .zip(&mut all)
            .for_each(|(engines, samples)| measure(&settings, *engines, samples));
    }
    println!("engines {SIZES:?}; microseconds: median (least-most) of {ROUNDS} rounds");
    let row = |name: &str, values: [Vec<f64>; SIZES.len()]| {
        println!(
            "{name}: {}",
            values
                .iter()
                .map(|of| spread(of))
                .collect::<Vec<_>>()
                .join(" | ")
        );
        let points = SIZES
            .iter()
            .zip(&values)
            .map(|(size, of)| (f64::from(*size), median(of)));
        println!("    {}", Line::through(&points.collect::<Vec<_>>()));
    };
    row(
        "bytes of the answer",
        SIZES.map(|engines| vec![whole_list(engines).len() as f64]),
    );
    row(
        "read whole: http and JSON",
        all.each_ref().map(|samples| samples.parse.clone()),
    );
    row(
        "names, first list",
        all.each_ref().map(|samples| samples.registry.clone()),
    );
    row(
        "decisions, first list",
        all.each_ref().map(|samples| samples.admission.clone()),
    );
    row(
        "names, same list again",
        all.each_ref().map(|samples| samples.registry_again.clone()),
    );
    row(
        "decisions, same list again",
        all.each_ref()
            .map(|samples| samples.admission_again.clone()),
    );
    row(
        "one event, all steps",
        all.each_ref().map(|samples| samples.event.clone()),
    );
    println!(
        "largest list in one answer, to {SEARCH_STEP}: {} engines",
        largest_list()
    );
}
