//! An engine whose every step a test takes itself, and what clients do at their ends of a connection.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Listens; nothing is taken, read or answered unless a test says so.
pub(crate) struct ScriptedEngine {
    listener: TcpListener,
    pub address: SocketAddr,
}

/// One connection of a gateway.
pub(crate) struct EngineConnection {
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

/// A statement that came to an engine.
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

    /// One whose machine answers no connection until `Deaf::hear`.
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

    pub(crate) fn accept(&self) -> EngineConnection {
        self.try_accept().expect("a connection")
    }

    /// The next connection, if one comes in time.
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

    /// All lines of all connections from here on, in the order of their coming.
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

/// An engine whose connections do not come up: the machine's queue for them is full.
pub(crate) struct UnreachableEngine {
    pub engine: ScriptedEngine,
    backlog_fillers: Vec<io::Result<TcpStream>>,
}

impl UnreachableEngine {
    /// From here on connections come up, also those that wait: their machine tries again a second after the first time.
    pub(crate) fn make_reachable(self) -> ScriptedEngine {
        drop(self.backlog_fillers);
        rustix::net::listen(&self.engine.listener, 64).unwrap();
        // Those that only filled the queue come first, and have ended.
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

    /// The next line; none at the gateway's end of it.
    pub(crate) fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.input.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => None,
            Err(error) => panic!("no line: {error}"),
        }
    }

    /// The next statement, whatever other lines come before it.
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

    /// Says it, and waits until the gateway's machine has it.
    pub(crate) fn send(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
        wait_delivered(&[self.stream.local_addr().unwrap()]);
    }

    /// Completes it with one row that tells what was asked.
    pub(crate) fn complete(&mut self, statement: &ReceivedStatement) {
        self.send(&completed_answer(statement));
    }

    /// No further byte of the gateway's has come: told by one that stands at its end, or has sent nothing.
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

/// Waits until all that was written or ended at these ends of connections has reached the machine of the other: a
/// machine under load passes even its own packets on some time later.
pub(crate) fn wait_delivered(ends: &[SocketAddr]) {
    let table_address = |end: &SocketAddr| match end {
        SocketAddr::V4(end) => format!(
            "{:08X}:{:04X}",
            u32::from(*end.ip()).swap_bytes(),
            end.port()
        ),
        SocketAddr::V6(_) => panic!("{end}"),
    };
    let ends: Vec<String> = ends.iter().map(table_address).collect();
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let in_transit = table.lines().skip(1).any(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            // With bytes that were not taken yet, or an end that was not.
            let undelivered =
                !fields[4].starts_with("00000000:") || ["04", "09", "0B"].contains(&fields[3]);
            undelivered && ends.iter().any(|end| end == fields[1])
        });
        if !in_transit {
            return;
        }
        assert!(Instant::now() < deadline, "never delivered: {ends:?}");
        thread::yield_now();
    }
}

/// The whole answer to a statement.
pub(crate) fn completed_answer(statement: &ReceivedStatement) -> String {
    let row = format!("0\t{}\tx\n", statement.text);
    format!(
        "{} DONE total=1,elapsed=12.5,rss=8 {}\r\n{row}\r\n",
        statement.id,
        row.len()
    )
}

/// An answer of one word and no rows.
pub(crate) fn answer_without_rows(statement: &ReceivedStatement, word: &str) -> String {
    format!("{} {word} - 0\r\n\r\n", statement.id)
}

/// Ends a connection by a reset, at once and whatever other handles of it there are.
pub(crate) fn reset_connection(stream: &TcpStream) {
    rustix::net::connect_unspec(stream).unwrap();
}
