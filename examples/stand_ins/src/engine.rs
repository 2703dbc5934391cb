//! A test double of an engine. It answers each query after a delay with rows that contain the text
//! of the statement.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The behaviour of the engine: correct, or with an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    /// Answers correctly.
    Well,
    /// Rejects the query with `WAIT`.
    Full,
    /// Fails the query with `BROKE`.
    Error,
    /// Answers with `PAST`.
    Past,
    /// Never answers.
    Silent,
    /// Closes the connection instead of answering.
    Reset,
    /// Answers only after the query was cancelled.
    Late,
    /// Answers with the invalid answer at this index of [`GARBAGE`].
    Garbage(usize),
    /// Sends the correct answer, then one with an unknown query ID, then the correct one again.
    Twice,
    /// Sends half of the correct answer, then keeps the connection open but ignores further
    /// commands.
    Half,
    /// Answers correctly but has lost the pages after the first one.
    LosesPages,
    /// Answers with a result larger than any valid one.
    Huge,
}

/// Invalid answers. A leading `ID` is replaced by the ID of the query.
pub const GARBAGE: [&[u8]; 9] = [
    b"what is this\r\n",
    b"ID GONE - 0\r\n\r\n",
    b"ID DONE total=1 -5\r\n\r\n",
    b"ID DONE total=1 99999999\r\n",
    b"ID DONE total=1 4\r\na\tb\tc\r\n",
    b"ID DONE total=1 4\r\na\tb\n\r\n",
    b"ID DONE total=1 6\r\n\xff\t\xfe\t\xc0\n\r\n",
    b"ID DONE total=1000000 6\r\na\tb\tc\n\r\n",
    &[b'x'; 5000],
];

/// The commands and connections that the engine has received.
#[derive(Default)]
struct Seen {
    lines: Vec<String>,
    connections: usize,
    sockets: Vec<TcpStream>,
}

/// A test double of an engine.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    mood: Arc<Mutex<Mood>>,
    seen: Arc<Mutex<Seen>>,
}

impl Engine {
    /// Listens on the address and serves until the process ends. Each query takes `delay`.
    pub fn start(address: &str, delay: Duration) -> io::Result<Engine> {
        let listener = TcpListener::bind(address)?;
        let (mood, seen) = (Arc::new(Mutex::new(Mood::Well)), Arc::default());
        let engine = Engine {
            address: listener.local_addr()?,
            mood,
            seen,
        };
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                let mut seen = serving.seen.lock().unwrap();
                seen.connections += 1;
                seen.sockets.extend(stream.try_clone());
                thread::spawn(move || engine.serve(stream, delay));
            }
        });
        Ok(engine)
    }

    /// Sets the behaviour for all later queries.
    pub fn set(&self, mood: Mood) {
        *self.mood.lock().unwrap() = mood;
    }

    /// All command lines received so far, without the text of the statements.
    pub fn lines(&self) -> Vec<String> {
        self.seen.lock().unwrap().lines.clone()
    }

    /// The number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.seen.lock().unwrap().connections
    }

    /// Closes all open connections.
    pub fn hang_up(&self) {
        for socket in self.seen.lock().unwrap().sockets.drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    fn serve(self, stream: TcpStream, delay: Duration) -> io::Result<()> {
        let out = Arc::new(Mutex::new(stream.try_clone()?));
        let mut results: HashMap<String, Vec<String>> = HashMap::new();
        let mut late: HashMap<String, String> = HashMap::new();
        let mut is_stalled = false;
        let mut input = BufReader::new(stream);
        let mut line = String::new();
        loop {
            line.clear();
            if input.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if is_stalled {
                continue;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            self.seen
                .lock()
                .unwrap()
                .lines
                .push(line.trim_end().to_owned());
            let id = words.get(1).copied().unwrap_or("").to_owned();
            match words[..] {
                ["do", _, _, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    input.read_exact(&mut body)?;
                    body.truncate(body.len() - 2);
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let pages = pages(&text);
                    let total = pages.len();
                    let done = answer(
                        &id,
                        "DONE",
                        &format!("total={total},elapsed=12.5,rss=8"),
                        &pages[0],
                    );
                    results.insert(id.clone(), pages);
                    let answer = match *self.mood.lock().unwrap() {
                        Mood::Well => done,
                        Mood::Huge => {
                            let page = format!("{}\t\t\n", "x".repeat(50_000));
                            results.insert(id.clone(), vec![page.clone(); 3]);
                            answer(&id, "DONE", "total=3", &page)
                        }
                        Mood::LosesPages => {
                            results.remove(&id);
                            done
                        }
                        Mood::Full => answer(&id, "WAIT", "-", ""),
                        Mood::Error => answer(&id, "BROKE", "-", ""),
                        Mood::Past => answer(&id, "PAST", "-", ""),
                        Mood::Garbage(which) => {
                            let garbage = GARBAGE[which % GARBAGE.len()];
                            let rest = garbage.strip_prefix(b"ID").unwrap_or(garbage);
                            let head = if rest.len() < garbage.len() {
                                id.as_bytes()
                            } else {
                                b""
                            };
                            out.lock().unwrap().write_all(&[head, rest].concat())?;
                            continue;
                        }
                        Mood::Twice => [
                            &done[..],
                            &answer("ffffffffffffffff", "DONE", "total=1", ""),
                            &done,
                        ]
                        .concat(),
                        Mood::Half => {
                            out.lock()
                                .unwrap()
                                .write_all(&done.as_bytes()[..done.len() / 2])?;
                            is_stalled = true;
                            continue;
                        }
                        Mood::Silent => continue,
                        Mood::Late => {
                            late.insert(id, done);
                            continue;
                        }
                        Mood::Reset => return input.get_ref().shutdown(Shutdown::Both),
                    };
                    let out = out.clone();
                    thread::spawn(move || {
                        thread::sleep(delay);
                        out.lock().unwrap().write_all(answer.as_bytes())
                    });
                }
                ["page", _, number] => {
                    let page = number
                        .parse()
                        .ok()
                        .and_then(|n: usize| results.get(&id)?.get(n));
                    let answer = match page {
                        Some(page) => answer(&id, "MORE", &format!("index={number}"), page),
                        None => answer(&id, "BROKE", "-", ""),
                    };
                    out.lock().unwrap().write_all(answer.as_bytes())?;
                }
                ["undo", _] => {
                    let late = late.remove(&id);
                    late.map(|done| out.lock().unwrap().write_all(done.as_bytes()))
                        .transpose()?;
                }
                ["ping", _] => out
                    .lock()
                    .unwrap()
                    .write_all(answer(&id, "FIT", "-", "").as_bytes())?,
                ["forget" | "bump", ..] => {}
                _ => return Ok(()),
            }
        }
    }
}

/// Formats an answer: a header line, followed by the body.
fn answer(id: &str, word: &str, fields: &str, body: &str) -> String {
    format!("{id} {word} {fields} {}\r\n{body}\r\n", body.len())
}

/// The pages of the result of a statement, each of at most 6,000 bytes unless a single row is
/// longer. A statement that ends in `LIMIT n` has n rows, any other has one. The middle column
/// contains the text of the statement.
pub fn pages(statement: &str) -> Vec<String> {
    let limit = statement
        .rsplit_once("LIMIT ")
        .and_then(|(_, n)| n.trim().parse().ok())
        .unwrap_or(1);
    let mut pages = vec![String::new()];
    let text: String = statement
        .chars()
        .filter(|c| !c.is_control())
        .take(300)
        .collect();
    for row in 0..limit {
        let row = format!(
            "{row}\t{text}\t{}\n",
            if row % 2 == 0 { "" } else { "NULL" }
        );
        if pages
            .last()
            .is_some_and(|page| page.len() + row.len() > 6000)
        {
            pages.push(String::new());
        }
        pages.last_mut().expect("never empty").push_str(&row);
    }
    pages
}
