//! Helpers for tests in which a client leaves while its statement is open.

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

/// Raises the deadlines of the first two query classes, the connect timeout and the number of
/// attempts, so that a statement ends only by the event under test and never by a timeout.
pub(crate) fn allow_long_waits(config: &mut Value) {
    let settings = &mut config["settings"];
    for class in 0..2 {
        settings["Grades"][class]["GiveUpS"] = json!(600.0);
        settings["Grades"][class]["GoalTimeS"] = json!(300.0);
    }
    settings["Limits"]["ConnectTimeoutS"] = json!(30.0);
    settings["Limits"]["MaxAttempts"] = json!(6);
}

/// A statement with the leading comment that carries its fields, and the request id from that
/// comment.
pub(crate) struct TaggedStatement {
    pub rid: String,
    pub query: String,
}

/// Returns a statement with a budget of 500 s, this memory estimate and a request id of its own.
pub(crate) fn tagged_statement(memory_mb: u32, sql: &str) -> TaggedStatement {
    let query = commented(500_000, sql).replace("mem=8", &format!("mem={memory_mb}"));
    TaggedStatement {
        rid: query.split("rid=").nth(1).unwrap()[..16].to_owned(),
        query,
    }
}

/// Memory estimate, in MB, at which the engine runs only one such statement at a time.
pub(crate) const LARGE_MEMORY_MB: u32 = 5000;

/// Sends the statement and waits until the gateway's kernel has received it.
pub(crate) fn send(client: &mut Client, statement: &TaggedStatement) {
    client
        .stream
        .write_all(&query_packet(&statement.query))
        .unwrap();
    wait_delivered(&[client.stream.local_addr().unwrap()]);
}

/// A statement that an engine has received, and everything that is needed to answer it.
pub(crate) struct OpenStatement {
    pub gateway: Gateway,
    pub engine: ScriptedEngine,
    pub client: Client,
    pub connection: EngineConnection,
    pub received: ReceivedStatement,
}

impl OpenStatement {
    /// Starts a gateway with one engine, and sends a statement that ends only by what a test does.
    pub(crate) fn start(change: impl FnOnce(&mut Value)) -> OpenStatement {
        let engine = ScriptedEngine::new();
        let gateway = Gateway::with_config(&[engine.address], |config| {
            allow_long_waits(config);
            change(config);
        });
        let mut client = gateway.client();
        send(&mut client, &tagged_statement(8, "SELECT 'open'"));
        let mut connection = engine.accept();
        let received = connection.receive_statement();
        OpenStatement {
            gateway,
            engine,
            client,
            connection,
            received,
        }
    }
}

/// Returns the addresses by which the kernel knows these clients' ends of their connections.
pub(crate) fn local_addresses(clients: &[Client]) -> Vec<SocketAddr> {
    let address = |client: &Client| client.stream.local_addr().unwrap();
    clients.iter().map(address).collect()
}

/// The way in which a client gives up its open statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Departure {
    Close,
    /// The client shuts down its sending side and can still read.
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

/// Makes the client leave, and waits until the gateway's kernel has received everything that was
/// sent for that. Returns the streams that have to stay open for this kind of departure.
pub(crate) fn leave(departure: Departure, client: Client, gateway: SocketAddr) -> Vec<TcpStream> {
    leave_all(departure, vec![client], gateway)
}

/// Does the same as `leave` for several clients, and waits only once.
pub(crate) fn leave_all(
    departure: Departure,
    clients: Vec<Client>,
    gateway: SocketAddr,
) -> Vec<TcpStream> {
    let mut addresses: Vec<SocketAddr> = clients
        .iter()
        .map(|client| client.stream.local_addr().unwrap())
        .collect();
    let open_streams: Vec<TcpStream> = clients
        .into_iter()
        .flat_map(|client| leave_without_waiting(departure, client, gateway))
        .collect();
    addresses.extend(
        open_streams
            .iter()
            .map(|stream| stream.local_addr().unwrap()),
    );
    wait_delivered(&addresses);
    open_streams
}

/// Makes the client leave without waiting for delivery. Returns the streams that have to stay open.
pub(crate) fn leave_without_waiting(
    departure: Departure,
    client: Client,
    gateway: SocketAddr,
) -> Vec<TcpStream> {
    match departure {
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
            // The login and the command are sent together because a suspended gateway sends no
            // greeting.
            let mut killer = TcpStream::connect(gateway).unwrap();
            let kill = query_packet(&format!("KILL QUERY {}", client.connection));
            killer
                .write_all(&[login_packet("app", b"", "warehouse"), kill].concat())
                .unwrap();
            vec![client.stream, killer]
        }
    }
}

/// Sends one statement that takes up all memory of the engine, so that later ones have to wait.
/// Returns its client, the engine's side of the connection and the statement as the engine received
/// it.
pub(crate) fn fill_engine(
    gateway: &Gateway,
    engine: &ScriptedEngine,
) -> (Client, EngineConnection, ReceivedStatement) {
    let (mut client, first) = (
        gateway.client(),
        tagged_statement(LARGE_MEMORY_MB, "SELECT 'fills'"),
    );
    send(&mut client, &first);
    let mut connection = engine.accept();
    let received = connection.receive_statement();
    assert_eq!(received.id, first.rid);
    (client, connection, received)
}

/// Runs each case in a thread of its own, and waits for all of them.
pub(crate) fn for_each_concurrently<T: Copy + Send + Sync>(cases: &[T], run: impl Fn(T) + Sync) {
    thread::scope(|scope| {
        for item in cases {
            let run = &run;
            scope.spawn(move || run(*item));
        }
    });
}

/// Sends SIGTERM and waits for the exit. Checks the exit status and the counters, and returns the
/// log.
pub(crate) fn terminate(gateway: Gateway) -> String {
    gateway.signal(Signal::TERM);
    let (status, log) = gateway.wait_for_exit(millis(8000));
    assert!(status.success(), "{log}");
    assert_counters_balance(&log);
    log
}
