//! Clients that leave while something is owed to them, and the statements that are owed.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;

use rustix::process::Signal;
use serde_json::{Value, json};
use stand_ins::client::{Client, login_packet, query_packet};

use super::script::{
    EngineConnection, ReceivedStatement, ScriptedEngine, reset_connection, wait_delivered,
};
use super::{Gateway, assert_counters_balance, commented, millis};

/// Statements may wait for long, and what is begun is never out of time: only the ending that is tried ends anything.
pub(crate) fn allow_long_waits(config: &mut Value) {
    let settings = &mut config["settings"];
    for class in 0..2 {
        settings["Grades"][class]["GiveUpS"] = json!(600.0);
        settings["Grades"][class]["GoalTimeS"] = json!(300.0);
    }
    settings["Limits"]["ConnectTimeoutS"] = json!(30.0);
    settings["Limits"]["MaxAttempts"] = json!(6);
}

pub(crate) struct TaggedStatement {
    pub rid: String,
    pub query: String,
}

pub(crate) fn tagged_statement(mem: u32, statement: &str) -> TaggedStatement {
    let query = commented(500_000, statement).replace("mem=8", &format!("mem={mem}"));
    TaggedStatement {
        rid: query.split("rid=").nth(1).unwrap()[..16].to_owned(),
        query,
    }
}

/// So much memory that only one such statement runs at a time.
pub(crate) const LARGE_MEMORY_MB: u32 = 5000;

/// Sends it, and waits until the gateway's machine has it.
pub(crate) fn send(client: &mut Client, text: &TaggedStatement) {
    client.stream.write_all(&query_packet(&text.query)).unwrap();
    wait_delivered(&[client.stream.local_addr().unwrap()]);
}

/// Ways in which a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Departure {
    Close,
    /// It sends no more, and still reads.
    HalfClose,
    Reset,
    KillQuery,
}

pub(crate) const DEPARTURES: [Departure; 4] = [
    Departure::Close,
    Departure::HalfClose,
    Departure::Reset,
    Departure::KillQuery,
];

/// The client leaves, and the gateway's machine knows; what is returned keeps the connection open where the way does.
pub(crate) fn leave(way: Departure, client: Client, gateway: SocketAddr) -> Vec<TcpStream> {
    leave_all(way, vec![client], gateway)
}

pub(crate) fn leave_all(
    way: Departure,
    clients: Vec<Client>,
    gateway: SocketAddr,
) -> Vec<TcpStream> {
    let mut ends: Vec<SocketAddr> = clients
        .iter()
        .map(|client| client.stream.local_addr().unwrap())
        .collect();
    let kept: Vec<TcpStream> = clients
        .into_iter()
        .flat_map(|client| leave_without_waiting(way, client, gateway))
        .collect();
    ends.extend(kept.iter().map(|stream| stream.local_addr().unwrap()));
    wait_delivered(&ends);
    kept
}

pub(crate) fn leave_without_waiting(
    way: Departure,
    client: Client,
    gateway: SocketAddr,
) -> Vec<TcpStream> {
    match way {
        Departure::Close => Vec::new(),
        Departure::HalfClose => {
            client.stream.shutdown(Shutdown::Write).unwrap();
            vec![client.stream]
        }
        Departure::Reset => {
            reset_connection(&client.stream);
            Vec::new()
        }
        Departure::KillQuery => {
            // All at once, since a gateway that stands still sends no greeting.
            let mut other = TcpStream::connect(gateway).unwrap();
            let kill = query_packet(&format!("KILL QUERY {}", client.connection));
            other
                .write_all(&[login_packet("app", b"", "warehouse"), kill].concat())
                .unwrap();
            vec![client.stream, other]
        }
    }
}

/// One statement that fills the engine, so that others are held: its client and its engine's side.
pub(crate) fn fill_engine(
    gateway: &Gateway,
    engine: &ScriptedEngine,
) -> (Client, EngineConnection, ReceivedStatement) {
    let (mut client, first) = (
        gateway.client(),
        tagged_statement(LARGE_MEMORY_MB, "SELECT 'fills'"),
    );
    send(&mut client, &first);
    let mut link = engine.accept();
    let asked = link.receive_statement();
    assert_eq!(asked.id, first.rid);
    (client, link, asked)
}

pub(crate) fn for_each_concurrently<T: Copy + Send + Sync>(of: &[T], case: impl Fn(T) + Sync) {
    thread::scope(|scope| {
        for one in of {
            let case = &case;
            scope.spawn(move || case(*one));
        }
    });
}

pub(crate) fn terminate(gateway: Gateway) -> String {
    gateway.signal(Signal::TERM);
    let (status, log) = gateway.wait_for_exit(millis(8000));
    assert!(status.success(), "{log}");
    assert_counters_balance(&log);
    log
}
