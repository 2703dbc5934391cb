//! A discovery service that answers long polls with numbered events.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// The behaviour of the discovery service: correct, or with an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    /// Responds correctly.
    Well,
    /// Reads requests but never responds.
    Silent,
    /// Responds with a body that is not JSON.
    Nonsense,
    /// Responds three seconds too late.
    Late,
    /// Closes the connection in the middle of the response.
    Broken,
    /// Stops in the middle of the response and keeps the connection open.
    Stopped,
    /// Closes the connection on every request.
    Closing,
}

/// A test double of the discovery service.
#[derive(Clone)]
pub struct Board {
    pub address: SocketAddr,
    mood: Arc<Mutex<Mood>>,
    events: Arc<Mutex<Vec<Value>>>,
}

/// The entry of one engine in the list.
pub fn target(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "hall-1", "model": "plain-8", "pod_group": 0,
        "state": state, "capacity_hint": 8.0, "boot_ms": 0})
}

/// One numbered event. Its targets are all engines if `all` is true, and the changed ones
/// otherwise.
pub fn event(number: usize, all: bool, targets: Vec<Value>) -> Value {
    json!({"rev": number, "pool": {"rev": number, "all": all, "targets": targets}})
}

impl Board {
    /// Listens on the address and serves until the process ends.
    pub fn start(address: &str) -> io::Result<Board> {
        let listener = TcpListener::bind(address)?;
        let (mood, events) = (Arc::new(Mutex::new(Mood::Well)), Arc::default());
        let board = Board {
            address: listener.local_addr()?,
            mood,
            events,
        };
        let serving = board.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let board = serving.clone();
                thread::spawn(move || board.serve(stream));
            }
        });
        Ok(board)
    }

    /// Sets the behaviour for all later requests.
    pub fn set(&self, mood: Mood) {
        *self.mood.lock().unwrap() = mood;
    }

    /// Publishes an event with the next number.
    pub fn tell(&self, all: bool, targets: Vec<Value>) {
        let mut events = self.events.lock().unwrap();
        let number = events.len() + 1;
        events.push(event(number, all, targets));
    }

    /// Replaces all events by one with the number 1, as if the service had restarted.
    pub fn restart(&self, targets: Vec<Value>) {
        *self.events.lock().unwrap() = vec![event(1, true, targets)];
    }

    /// The events so far, in the format of responses and of the setting `known`.
    pub fn known(&self) -> Value {
        let events = self.events.lock().unwrap();
        json!({"rev": events.len(), "notices": *events})
    }

    fn serve(self, stream: TcpStream) -> io::Result<()> {
        let mut input = BufReader::new(stream.try_clone()?);
        let mut out = stream;
        loop {
            let mut request_line = String::new();
            if input.read_line(&mut request_line)? == 0 {
                return Ok(());
            }
            let mut header = request_line.clone();
            while !header.trim_end().is_empty() {
                header.clear();
                if input.read_line(&mut header)? == 0 {
                    return Ok(());
                }
            }
            let parameter = |name: &str| {
                let (_, rest) = request_line.split_once(name)?;
                rest.split(['&', ' ']).next()?.parse::<u64>().ok()
            };
            let watch = parameter("watch=").unwrap_or(0) as usize;
            let deadline =
                Instant::now() + Duration::from_millis(parameter("linger=").unwrap_or(0).min(5000));
            let mood = *self.mood.lock().unwrap();
            match mood {
                Mood::Well | Mood::Late | Mood::Broken | Mood::Stopped => {}
                Mood::Silent => continue,
                Mood::Closing => return Ok(()),
                Mood::Nonsense => {
                    out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{]}[")?;
                    continue;
                }
            }
            while self.events.lock().unwrap().len() <= watch && Instant::now() < deadline {
                thread::sleep(Duration::from_millis(5));
            }
            if mood == Mood::Late {
                thread::sleep(Duration::from_secs(3));
            }
            let events = self.events.lock().unwrap();
            let notices = events.get(watch..).unwrap_or(&[]);
            let body = json!({"rev": events.len(), "notices": notices}).to_string();
            let is_complete = !matches!(mood, Mood::Broken | Mood::Stopped);
            let part = if is_complete {
                &body[..]
            } else {
                &body[..body.len() / 2]
            };
            write!(
                out,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{part}",
                body.len()
            )?;
            if mood == Mood::Broken {
                return Ok(());
            }
        }
    }
}
