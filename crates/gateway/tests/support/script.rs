//! An engine whose every step a test takes itself, and what clients do at their ends of a connection.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

const PATIENCE: Duration = Duration::from_secs(10);

/// Listens; nothing is taken, read or answered unless a test says so.
pub(crate) struct Script {
    listener: TcpListener,
    pub address: SocketAddr,
}

/// One connection of a gateway.
pub(crate) struct Link {
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

/// A statement that came to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Asked {
    pub id: String,
    pub text: String,
}

impl Script {
    pub(crate) fn new() -> Script {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        Script { listener, address }
    }

    /// One whose machine answers no connection until `Deaf::hear`.
    pub(crate) fn deaf() -> Deaf {
        let script = Script::new();
        rustix::net::listen(&script.listener, 0).unwrap();
        let full = |_| TcpStream::connect_timeout(&script.address, Duration::from_millis(50));
        let full = (0..4).map(full).collect();
        Deaf { script, full }
    }

    pub(crate) fn accept(&self) -> Link {
        self.comes().expect("a connection")
    }

    /// The next connection, if one comes in time.
    pub(crate) fn comes(&self) -> Option<Link> {
        let mut of = [PollFd::new(&self.listener, PollFlags::IN)];
        poll(
            &mut of,
            Some(&Timespec {
                tv_sec: PATIENCE.as_secs() as i64,
                tv_nsec: 0,
            }),
        )
        .unwrap();
        (!of[0].revents().is_empty()).then(|| Link::on(self.listener.accept().unwrap().0))
    }

    /// All lines of all connections from here on, in the order of their coming.
    pub(crate) fn listen(self) -> Receiver<String> {
        let (tell, lines) = channel();
        thread::spawn(move || {
            for stream in self.listener.incoming().flatten() {
                let tell = tell.clone();
                thread::spawn(move || {
                    let lines = BufReader::new(stream).lines().map_while(Result::ok);
                    lines.for_each(|line| drop(tell.send(line)));
                });
            }
        });
        lines
    }
}

/// An engine whose connections do not come up: the machine's queue for them is full.
pub(crate) struct Deaf {
    pub script: Script,
    full: Vec<io::Result<TcpStream>>,
}

impl Deaf {
    /// From here on connections come up, also those that wait: their machine tries again a second after the first time.
    pub(crate) fn hear(self) -> Script {
        drop(self.full);
        rustix::net::listen(&self.script.listener, 64).unwrap();
        // Those that only filled the queue come first, and have ended.
        self.script
    }
}

impl Link {
    fn on(stream: TcpStream) -> Link {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_nodelay(true).unwrap();
        Link {
            input: BufReader::new(stream.try_clone().unwrap()),
            stream,
        }
    }

    /// The next line; none at the gateway's end of it.
    pub(crate) fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.input.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => None,
            Err(error) => panic!("no line: {error}"),
        }
    }

    /// The next statement, whatever other lines come before it.
    pub(crate) fn asked(&mut self) -> Asked {
        loop {
            let line = self.line().expect("a statement");
            let words: Vec<&str> = line.split(' ').collect();
            if let ["do", id, _, length] = words[..] {
                let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
                self.input.read_exact(&mut body).unwrap();
                body.truncate(body.len() - 2);
                return Asked {
                    id: id.to_owned(),
                    text: String::from_utf8(body).unwrap(),
                };
            }
        }
    }

    /// Says it, and waits until the gateway's machine has it.
    pub(crate) fn say(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
        delivered(&[self.stream.local_addr().unwrap()]);
    }

    /// Completes it with one row that tells what was asked.
    pub(crate) fn complete(&mut self, asked: &Asked) {
        self.say(&completed(asked));
    }

    /// No further byte of the gateway's has come: told by one that stands at its end, or has sent nothing.
    pub(crate) fn silent(&mut self) -> bool {
        self.stream
            .set_read_timeout(Some(Duration::from_millis(1)))
            .unwrap();
        let got = self.input.fill_buf().map(<[u8]>::len);
        self.stream.set_read_timeout(Some(PATIENCE)).unwrap();
        match got {
            Ok(bytes) => bytes == 0,
            Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }

    pub(crate) fn reset(self) {
        reset(&self.stream);
    }
}

/// Waits until all that was written or ended at these ends of connections has reached the machine of the other: a
/// machine under load passes even its own packets on some time later.
pub(crate) fn delivered(ends: &[SocketAddr]) {
    let name = |end: &SocketAddr| match end {
        SocketAddr::V4(end) => format!(
            "{:08X}:{:04X}",
            u32::from(*end.ip()).swap_bytes(),
            end.port()
        ),
        SocketAddr::V6(_) => panic!("{end}"),
    };
    let ends: Vec<String> = ends.iter().map(name).collect();
    let until = Instant::now() + PATIENCE;
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let on_its_way = table.lines().skip(1).any(|line| {
            let words: Vec<&str> = line.split_whitespace().collect();
            // With bytes that were not taken yet, or an end that was not.
            let waits =
                !words[4].starts_with("00000000:") || ["04", "09", "0B"].contains(&words[3]);
            waits && ends.iter().any(|end| end == words[1])
        });
        if !on_its_way {
            return;
        }
        assert!(Instant::now() < until, "never delivered: {ends:?}");
        thread::yield_now();
    }
}

/// The whole answer to a statement.
pub(crate) fn completed(asked: &Asked) -> String {
    let row = format!("0\t{}\tx\n", asked.text);
    format!(
        "{} DONE total=1,elapsed=12.5,rss=8 {}\r\n{row}\r\n",
        asked.id,
        row.len()
    )
}

/// An answer of one word and no rows.
pub(crate) fn said(asked: &Asked, word: &str) -> String {
    format!("{} {word} - 0\r\n\r\n", asked.id)
}

/// Ends a connection by a reset, at once and whatever other handles of it there are.
pub(crate) fn reset(stream: &TcpStream) {
    rustix::net::connect_unspec(stream).unwrap();
}
