//! An engine whose every step is controlled by a test, and helpers for both ends of a TCP
//! connection.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Time within which each expected connection, line or delivery has to arrive.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A listening engine that accepts, reads and answers only when a test tells it to.
pub(crate) struct ScriptedEngine {
    listener: TcpListener,
    pub address: SocketAddr,
}

/// The engine's side of one connection from a gateway.
pub(crate) struct EngineConnection {
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

/// A statement as an engine received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReceivedStatement {
    pub id: String,
    pub text: String,
}

impl ScriptedEngine {
    pub(crate) fn new() -> ScriptedEngine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        ScriptedEngine { listener, address }
    }

    /// An engine whose kernel completes no connection until `UnreachableEngine::make_reachable` is
    /// called.
    pub(crate) fn unreachable() -> UnreachableEngine {
        let engine = ScriptedEngine::new();
        rustix::net::listen(&engine.listener, 0).unwrap();
        let backlog_fillers =
            |_| TcpStream::connect_timeout(&engine.address, Duration::from_millis(50));
        let backlog_fillers = (0..4).map(backlog_fillers).collect();
        UnreachableEngine {
            engine,
            backlog_fillers,
        }
    }

    /// Accepts the next connection. Panics if none arrives within the timeout.
    pub(crate) fn accept(&self) -> EngineConnection {
        self.try_accept().expect("a connection")
    }

    /// Returns the next connection, or `None` if none arrives within the timeout.
    pub(crate) fn try_accept(&self) -> Option<EngineConnection> {
        let mut watched = [PollFd::new(&self.listener, PollFlags::IN)];
        poll(
            &mut watched,
            Some(&Timespec {
                tv_sec: TIMEOUT.as_secs() as i64,
                tv_nsec: 0,
            }),
        )
        .unwrap();
        (!watched[0].revents().is_empty())
            .then(|| EngineConnection::new(self.listener.accept().unwrap().0))
    }

    /// Accepts all further connections and returns a channel with every line that arrives on any of
    /// them, in order of arrival.
    pub(crate) fn collect_lines(self) -> Receiver<String> {
        let (sender, lines) = channel();
        thread::spawn(move || {
            for stream in self.listener.incoming().flatten() {
                let sender = sender.clone();
                thread::spawn(move || {
                    let lines = BufReader::new(stream).lines().map_while(Result::ok);
                    lines.for_each(|line| drop(sender.send(line)));
                });
            }
        });
        lines
    }
}

/// An engine to which connections stay pending because the listen backlog of its socket is full.
pub(crate) struct UnreachableEngine {
    pub engine: ScriptedEngine,
    backlog_fillers: Vec<io::Result<TcpStream>>,
}

impl UnreachableEngine {
    /// Lets connections complete, including pending ones: the client's kernel sends its SYN again
    /// one second after the first.
    pub(crate) fn make_reachable(self) -> ScriptedEngine {
        drop(self.backlog_fillers);
        rustix::net::listen(&self.engine.listener, 64).unwrap();
        // The connections that filled the backlog are accepted first; they are already closed.
        self.engine
    }
}

impl EngineConnection {
    fn new(stream: TcpStream) -> EngineConnection {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        EngineConnection {
            input: BufReader::new(stream.try_clone().unwrap()),
            stream,
        }
    }

    /// Returns the next line without its line ending, or `None` once the gateway has closed or
    /// reset the connection.
    pub(crate) fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.input.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => None,
            Err(error) => panic!("no line: {error}"),
        }
    }

    /// Returns the next statement and skips all other lines before it.
    pub(crate) fn receive_statement(&mut self) -> ReceivedStatement {
        loop {
            let line = self.read_line().expect("a statement");
            let fields: Vec<&str> = line.split(' ').collect();
            if let ["do", id, _, length] = fields[..] {
                let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
                self.input.read_exact(&mut body).unwrap();
                body.truncate(body.len() - 2);
                return ReceivedStatement {
                    id: id.to_owned(),
                    text: String::from_utf8(body).unwrap(),
                };
            }
        }
    }

    /// Sends the bytes and waits until the gateway's kernel has received them.
    pub(crate) fn send(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
        wait_delivered(&[self.stream.local_addr().unwrap()]);
    }

    /// Answers the statement with one row that contains the statement's text.
    pub(crate) fn complete(&mut self, statement: &ReceivedStatement) {
        self.send(&completed_answer(statement));
    }

    /// Whether no unread byte from the gateway has arrived. This is conclusive only while the
    /// gateway is settled or suspended, or when it has already reacted to everything sent to it.
    pub(crate) fn has_no_input(&mut self) -> bool {
        self.stream
            .set_read_timeout(Some(Duration::from_millis(1)))
            .unwrap();
        let buffered = self.input.fill_buf().map(<[u8]>::len);
        self.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        match buffered {
            Ok(bytes) => bytes == 0,
            Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }

    pub(crate) fn reset(self) {
        reset_connection(&self.stream);
    }
}

/// Waits until everything that was written or closed at these local addresses has reached the
/// kernel of the other end. On a loaded machine even loopback packets are delivered with a delay.
pub(crate) fn wait_delivered(addresses: &[SocketAddr]) {
    let table_address = |address: &SocketAddr| match address {
        SocketAddr::V4(address) => format!(
            "{:08X}:{:04X}",
            u32::from(*address.ip()).swap_bytes(),
            address.port()
        ),
        SocketAddr::V6(_) => panic!("{address}"),
    };
    let addresses: Vec<String> = addresses.iter().map(table_address).collect();
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let in_transit = table.lines().skip(1).any(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            // Either the send queue holds unacknowledged bytes, or the state is FIN_WAIT1, LAST_ACK
            // or CLOSING, in which the FIN is unacknowledged.
            let undelivered =
                !fields[4].starts_with("00000000:") || ["04", "09", "0B"].contains(&fields[3]);
            undelivered && addresses.iter().any(|address| address == fields[1])
        });
        if !in_transit {
            return;
        }
        assert!(Instant::now() < deadline, "never delivered: {addresses:?}");
        thread::yield_now();
    }
}

/// Returns the complete answer to a statement, with one row.
pub(crate) fn completed_answer(statement: &ReceivedStatement) -> String {
    let row = format!("0\t{}\tx\n", statement.text);
    format!(
        "{} DONE total=1,elapsed=12.5,rss=8 {}\r\n{row}\r\n",
        statement.id,
        row.len()
    )
}

/// Returns an answer with this status word and no rows.
pub(crate) fn answer_without_rows(statement: &ReceivedStatement, word: &str) -> String {
    format!("{} {word} - 0\r\n\r\n", statement.id)
}

/// Resets a connection at once, even when other handles of the stream are open.
pub(crate) fn reset_connection(stream: &TcpStream) {
    rustix::net::connect_unspec(stream).unwrap();
}
