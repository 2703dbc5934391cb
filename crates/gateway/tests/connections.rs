//! Connections to engines in one process with the test, so that it chooses what each turn gets to see.

mod support;

use std::net::SocketAddr;

use admission::interface::*;
use calloop::EventLoop;
use gateway::counters::Counters;
use gateway::discovery::DiscoveryClient;
use gateway::engines::protocol::{RequestId, StatementKeys};
use gateway::engines::{AttemptUpdate, ConnectionId, EngineTransport, OutgoingAttempt};
use gateway::socket::{EventSource, LoopEvents};
use settings::ConnectionSettings;

use support::script::{EngineConnection, ScriptedEngine, completed_answer, wait_delivered};

struct Turns {
    event_loop: EventLoop<'static, LoopEvents>,
    engines: EngineTransport,
    counters: Counters,
    now: f64,
    next: u64,
}

const ENGINE: EngineId = EngineId(1);

impl Turns {
    fn new(engine: SocketAddr, connections: usize) -> Turns {
        let event_loop = EventLoop::try_new().unwrap();
        let span = TimeDelta::from_secs;
        let links = ConnectionSettings {
            connect_timeout: span(5.0),
            idle_timeout: span(100.0),
            multiplex: 10,
        };
        let mut engines = EngineTransport::new(&event_loop.handle(), links, connections);
        engines.set_address(ENGINE, Some(engine));
        Turns {
            event_loop,
            engines,
            counters: Counters::default(),
            now: 1000.0,
            next: 0,
        }
    }

    fn at(&self) -> Timestamp {
        Timestamp::from_secs(self.now)
    }

    fn rid(number: u64) -> RequestId {
        format!("{number:016x}").into_bytes().try_into().unwrap()
    }

    /// One statement, without any turn before or after it.
    fn send(&mut self, send_by: Option<Timestamp>) -> (u64, Option<ConnectionId>) {
        self.next += 1;
        let (number, deadline) = (self.next, Timestamp::from_secs(self.now + 60.0));
        let outgoing = OutgoingAttempt {
            statement: StatementId(number),
            attempt: AttemptNumber(0),
            engine: ENGINE,
            request_id: Self::rid(number),
            class: "point",
            keys: &StatementKeys::default(),
            text: b"SELECT 1",
            deadline,
            priority: None,
            send_by,
            avoid: &[],
        };
        (
            number,
            self.engines.send(self.at(), &outgoing, &mut self.counters),
        )
    }

    /// Turns until an outcome is there.
    fn outcome(&mut self) -> AttemptUpdate {
        let mut ready = LoopEvents::default();
        loop {
            self.event_loop
                .dispatch(std::time::Duration::from_secs(10), &mut ready)
                .unwrap();
            for peer in std::mem::take(&mut ready.sources) {
                let EventSource::Engine(at) = peer else {
                    panic!("{peer:?}")
                };
                self.engines
                    .on_socket_event(self.at(), at, &mut self.counters);
            }
            if let Some(report) = self.engines.take_updates().pop() {
                return report;
            }
        }
    }

    fn complete_one(
        &mut self,
        script: &ScriptedEngine,
    ) -> (EngineConnection, Option<ConnectionId>) {
        let (_, at) = self.send(None);
        // Its connection comes up in the first turn, and takes the statement then.
        let mut link = script.accept();
        let mut ready = LoopEvents::default();
        self.event_loop
            .dispatch(std::time::Duration::from_secs(10), &mut ready)
            .unwrap();
        for peer in std::mem::take(&mut ready.sources) {
            let EventSource::Engine(at) = peer else {
                panic!("{peer:?}")
            };
            self.engines
                .on_socket_event(self.at(), at, &mut self.counters);
        }
        let asked = link.receive_statement();
        link.send(&completed_answer(&asked));
        assert!(matches!(
            self.outcome().event,
            AttemptEvent::Completed { .. }
        ));
        (link, at)
    }
}

/// Closed, reset or spoilt by its engine after this turn's events were taken: what is written on it then may have run for
/// all that can be known, and what may not run twice would be lost.
#[test]
fn an_idle_connection_that_ended_in_this_very_turn_takes_nothing() {
    for ends in ["closes", "resets", "says half a line"] {
        let script = ScriptedEngine::new();
        let mut turns = Turns::new(script.address, 4);
        let (mut link, first) = turns.complete_one(&script);
        let near = link.stream.local_addr().unwrap();
        match ends {
            "closes" => drop(link),
            "resets" => link.reset(),
            _ => link.send("00000000000"),
        }
        wait_delivered(&[near]);
        // No turn in between.
        let (number, at) = turns.send(None);
        assert!(at.is_some() && at != first, "{ends}");
        let mut fresh = script.accept();
        let report = std::thread::scope(|scope| {
            let engine = scope.spawn(|| {
                let asked = fresh.receive_statement();
                fresh.complete(&asked);
                asked
            });
            let report = turns.outcome();
            assert_eq!(engine.join().unwrap().id.as_bytes(), Turns::rid(number));
            report
        });
        assert!(
            matches!(report.event, AttemptEvent::Completed { .. }),
            "{ends}: {report:?}"
        );
    }
}

/// With descriptors short an idle connection goes for a new one, but never the one that was just taken.
#[test]
fn a_claimed_connection_is_not_the_one_that_makes_room() {
    let (script, other) = (ScriptedEngine::new(), ScriptedEngine::new());
    let mut turns = Turns::new(script.address, 1);
    let (mut link, first) = turns.complete_one(&script);
    let (_, claimed) = turns.send(None);
    assert_eq!(claimed, first);
    // The only connection is claimed: a statement for another engine has no room, and never ran.
    turns.engines.set_address(EngineId(2), Some(other.address));
    let outgoing = OutgoingAttempt {
        statement: StatementId(100),
        attempt: AttemptNumber(0),
        engine: EngineId(2),
        request_id: Turns::rid(100),
        class: "point",
        keys: &StatementKeys::default(),
        text: b"SELECT 1",
        deadline: Timestamp::from_secs(turns.now + 60.0),
        priority: None,
        send_by: None,
        avoid: &[],
    };
    assert_eq!(
        turns
            .engines
            .send(turns.at(), &outgoing, &mut turns.counters),
        None
    );
    let refused = turns.engines.take_updates().pop().unwrap();
    assert_eq!(
        (refused.statement, refused.event),
        (StatementId(100), AttemptEvent::NeverSent)
    );
    let asked = link.receive_statement();
    link.send(&completed_answer(&asked));
    assert!(matches!(
        turns.outcome().event,
        AttemptEvent::Completed { .. }
    ));
}

/// Gateways that lose the discovery service in one instant do not poll it again in step.
#[test]
fn a_lost_discovery_service_is_polled_again_at_an_instant_of_each_gateways_own() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let begun = Timestamp::from_secs(1000.0);
    let poll_times: Vec<Vec<Timestamp>> = (0..20)
        .map(|seed| {
            let mut event_loop: EventLoop<'static, LoopEvents> = EventLoop::try_new().unwrap();
            let mut discovery = DiscoveryClient::new(&event_loop.handle(), closed, 0, seed, begun);
            let (mut now, mut asked, mut counters) = (begun, Vec::new(), Counters::default());
            while asked.len() < 8 {
                discovery.on_timer(now, &mut counters);
                // Refused at once, in the same instant for all.
                let mut ready = LoopEvents::default();
                while ready.sources.is_empty()
                    && counters.discovery_polls_failed as usize == asked.len()
                {
                    event_loop
                        .dispatch(std::time::Duration::from_secs(10), &mut ready)
                        .unwrap();
                }
                for peer in ready.sources {
                    let EventSource::Discovery(poll_id) = peer else {
                        panic!("{peer:?}")
                    };
                    discovery.on_ready(now, poll_id, &mut counters);
                }
                now = discovery.next_due().unwrap();
                asked.push(now);
            }
            asked
        })
        .collect();
    for round in 0..8 {
        let mut at: Vec<Timestamp> = poll_times.iter().map(|of| of[round]).collect();
        at.sort_unstable();
        at.dedup();
        assert_eq!(at.len(), 20, "round {round}");
    }
    // Bounded all the same: never over a second between two, and no more than a few at once.
    for of in &poll_times {
        assert!(of.windows(2).all(|pair| (pair[1] - pair[0]).secs() <= 1.0));
        assert!((of[7] - begun).secs() > 1.0, "{of:?}");
    }
}

/// A statement that came whole after this turn's events were taken, just as the gateway would end: it is taken, and nobody
/// is sent away before it has its answer.
#[test]
fn the_last_look_before_all_sessions_are_shut_down_takes_what_has_come() {
    use gateway::clients::{ProgressReports, SessionEvent, SessionLimits, Sessions};
    use stand_ins::client::{login_packet, query_packet};
    let event_loop: EventLoop<'static, LoopEvents> = EventLoop::try_new().unwrap();
    let (now, mut counters) = (Timestamp::from_secs(1000.0), Counters::default());
    let limits = SessionLimits {
        max_sessions: 8,
        max_unread_bytes: 1 << 20,
    };
    let mut clients = Sessions::new(&event_loop.handle(), limits, ProgressReports::Off, now);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut send = |bytes: &[u8]| {
        std::io::Write::write_all(&mut client, bytes).unwrap();
        wait_delivered(&[client.local_addr().unwrap()]);
    };
    send(&login_packet("app", b"", "warehouse"));
    let (near, from) = listener.accept().unwrap();
    let near = std::rc::Rc::new(near);
    clients.accept(now, near, from.ip(), &mut counters).unwrap();
    send(&query_packet(&support::commented(5000, "SELECT 1")));
    // No turn in between.
    assert!(!clients.try_shut_down_all(now, &mut counters));
    assert!(matches!(
        clients.take_events()[..],
        [SessionEvent::Statement { .. }]
    ));
}
