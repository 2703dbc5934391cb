//! Gateways as processes, with engines and a discovery service of ours, a switch between them, and what each says.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use client::{Answer, Client};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use stand_ins::board::{Board, target};
use stand_ins::engine::Engine;

use crate::switch::Switch;

/// What a fleet is to be.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// The gateway's program.
    pub program: PathBuf,
    pub gateways: usize,
    pub engines: usize,
    pub engine_delay: Duration,
    pub seed: u64,
    /// Further lines of each `fleet` block.
    pub block: String,
    /// Without, each gateway is alone: for comparison.
    pub fleet: bool,
    /// Further blocks of each operator's file.
    pub further: String,
    /// Seeds of all; where empty, the first three gateways.
    pub seeds: Vec<SocketAddr>,
    /// Zone and region of each gateway; where empty, none is told.
    pub places: Vec<(String, String)>,
    /// Further tenants of the configuration.
    pub tenants: Vec<String>,
    /// Gateways that the configuration tells of; zero stands for those of this fleet.
    pub peers: usize,
}

impl Wanted {
    /// Paces for tests: short enough for minutes, long enough for loaded machines.
    pub fn new(program: impl Into<PathBuf>, gateways: usize) -> Self {
        let block = "period_ms = 250\n  answer_ms = 110\n  suspicion_periods = 8\n  hold_ms = 500\n  keep_gone_ms = 30000".to_owned();
        let (engine_delay, program) = (Duration::from_millis(5), program.into());
        Wanted {
            program,
            gateways,
            engines: 2,
            engine_delay,
            seed: 1,
            block,
            fleet: true,
            further: String::new(),
            seeds: Vec::new(),
            places: Vec::new(),
            tenants: Vec::new(),
            peers: 0,
        }
    }
}

/// One line of a gateway's log, as it came.
#[derive(Clone, Debug)]
pub struct Line {
    pub at: Duration,
    pub fields: Value,
}

pub struct One {
    pub name: String,
    pub listen: SocketAddr,
    pub bound: SocketAddr,
    pub advertised: SocketAddr,
    child: Option<Child>,
    lines: Arc<Mutex<Vec<Line>>>,
    /// The last counters printed.
    counters: Arc<Mutex<String>>,
}

/// A gateway as another one holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub state: String,
    pub incarnation: u64,
    pub known: bool,
}

/// What one gateway answers to `SHOW FLEET`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shown {
    pub standing: String,
    pub digest: String,
    pub size: usize,
    /// Seconds since it heard from any other; `None`: never.
    pub heard_s: Option<f64>,
    /// Without itself.
    pub rows: BTreeMap<String, Row>,
}

impl Shown {
    /// Those it counts as there.
    pub fn there(&self) -> Vec<&str> {
        let there = |row: &Row| row.known && (row.state == "alive" || row.state == "suspect");
        self.rows
            .iter()
            .filter(|(_, row)| there(row))
            .map(|(name, _)| &name[..])
            .collect()
    }
}

/// One budget as one gateway shows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Part {
    pub whole: f64,
    pub floor: f64,
    pub leased: f64,
    pub wanted: f64,
    pub spent: f64,
    pub allowed: f64,
    pub steward: String,
    pub is_steward: bool,
}

pub struct Fleet {
    pub wanted: Wanted,
    pub all: Vec<One>,
    pub engines: Vec<Engine>,
    pub board: Board,
    pub switch: Switch,
    pub started: Instant,
    pub folder: PathBuf,
}

/// Addresses of this run's own: each process and rig has a network of loopback for itself.
fn address(run: u8, part: u8, at: usize, port: u16) -> SocketAddr {
    SocketAddr::new(
        IpAddr::V4(Ipv4Addr::new(127, 200 + run % 50, part, 1 + at as u8)),
        port,
    )
}

static RIGS: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);

pub fn name(at: usize) -> String {
    format!("g{at:02}")
}

impl Fleet {
    /// Starts engines, board and switch, and all gateways but those in `later`; waits until each answers.
    pub fn start(wanted: Wanted, later: &[usize]) -> io::Result<Fleet> {
        let rig = RIGS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let process = std::process::id();
        let (run, half) = ((process % 50) as u8, (rig as u8) << 1);
        let folder = std::env::temp_dir().join(format!("laurelhitch-harness-{process}-{rig}"));
        std::fs::create_dir_all(folder.join("keys"))?;
        let engines: io::Result<Vec<Engine>> = (0..wanted.engines)
            .map(|_| Engine::start("127.0.0.1:0", wanted.engine_delay))
            .collect();
        let engines = engines?;
        let board = Board::start("127.0.0.1:0")?;
        let listed = engines
            .iter()
            .enumerate()
            .map(|(at, e)| target(&format!("e-{at}"), e.address, "in_service"));
        board.tell(true, listed.collect());
        let port = 20_000 + (process % 10_000) as u16;
        let all: Vec<One> = (0..wanted.gateways)
            .map(|at| One {
                name: name(at),
                listen: address(run, half, at, port),
                bound: address(run, half, at, port + 1),
                advertised: address(run, half | 1, at, port + 1),
                child: None,
                lines: Arc::default(),
                counters: Arc::default(),
            })
            .collect();
        let ports: Vec<_> = all.iter().map(|one| (one.advertised, one.bound)).collect();
        let switch = Switch::start(&ports, wanted.seed)?;
        let mut fleet = Fleet {
            wanted,
            all,
            engines,
            board,
            switch,
            started: Instant::now(),
            folder,
        };
        for at in 0..fleet.all.len() {
            let folder = fleet.keys(at);
            std::fs::create_dir_all(&folder)?;
            fleet.key(at, "first", 1)?;
            fleet.signs(at, "first")?;
        }
        let first: Vec<usize> = (0..fleet.all.len())
            .filter(|at| !later.contains(at))
            .collect();
        for at in &first {
            fleet.run(*at)?;
        }
        first.iter().for_each(|at| fleet.ready(*at));
        Ok(fleet)
    }

    pub fn keys(&self, at: usize) -> PathBuf {
        self.folder.join("keys").join(name(at))
    }

    /// Puts a key into a gateway's folder; SIGHUP has it read.
    pub fn key(&self, at: usize, key: &str, byte: u8) -> io::Result<()> {
        std::fs::write(
            self.keys(at).join(format!("{key}.key")),
            format!("{byte:02x}").repeat(32) + "\n",
        )
    }

    pub fn signs(&self, at: usize, key: &str) -> io::Result<()> {
        std::fs::write(self.keys(at).join("signs"), format!("{key}\n"))
    }

    /// Where nobody says otherwise, the seeds of all are the first three.
    fn seeds(&self) -> String {
        let first = || self.all.iter().take(3).map(|one| one.advertised).collect();
        let seeds = if self.wanted.seeds.is_empty() {
            first()
        } else {
            self.wanted.seeds.clone()
        };
        seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect::<Vec<_>>()
            .join(", ")
    }

    fn place(&self, at: usize) -> String {
        let place = self.wanted.places.get(at);
        place.map_or_else(String::new, |(zone, region)| {
            format!("  zone = \"{zone}\"\n  region = \"{region}\"\n")
        })
    }

    fn operator(&self, at: usize) -> String {
        let one = &self.all[at];
        format!(
            "fleet {{\n  fleet = \"rig\"\n  bind = \"{}\"\n  advertise = \"{}\"\n  seeds = [{}]\n  keys_folder = \"{}\"\n{}  {}\n}}\n{}\n",
            one.bound,
            one.advertised,
            self.seeds(),
            self.keys(at).display(),
            self.place(at),
            self.wanted.block,
            self.wanted.further
        )
    }

    /// Starts the process of one, which must not run.
    pub fn run(&mut self, at: usize) -> io::Result<()> {
        let (listen, own) = (self.all[at].listen, self.all[at].name.clone());
        let mut config: Value = serde_json::from_str(include_str!("../../../examples/config.json"))
            .map_err(io::Error::other)?;
        config["name"] = json!(own);
        config["listen"] = json!(listen.to_string());
        config["seed"] = json!(format!("{:016x}", self.wanted.seed + at as u64));
        config["board"] = json!(self.board.address.to_string());
        config["known"] = self.board.known();
        let peers = if self.wanted.peers == 0 {
            self.wanted.gateways
        } else {
            self.wanted.peers
        };
        config["settings"]["PeersTotal"] = json!(peers);
        if let Some(tenants) = config["settings"]["Tenants"].as_array_mut() {
            let further = self.wanted.tenants.iter();
            tenants.extend(further.map(|name| json!({ "Name": name, "AllowancePerS": 1.0 })));
        }
        let path = self.folder.join(format!("{own}.json"));
        std::fs::write(&path, config.to_string())?;
        let mut command = Command::new(&self.wanted.program);
        command
            .env("RELAY_CONFIG", &path)
            .env_remove("LAURELHITCH_OPERATOR")
            .args(["--log-format", "json"]);
        if self.wanted.fleet {
            let operator = self.folder.join(format!("{own}.hcl"));
            std::fs::write(&operator, self.operator(at))?;
            command.arg("--operator").arg(operator);
        }
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let log = BufReader::new(child.stderr.take().expect("piped"));
        let (lines, counters, started) = (
            self.all[at].lines.clone(),
            self.all[at].counters.clone(),
            self.started,
        );
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                match serde_json::from_str::<Value>(&line) {
                    Ok(fields) => {
                        let line = Line {
                            at: started.elapsed(),
                            fields: fields["fields"].clone(),
                        };
                        lines.lock().expect("no holder panics").push(line);
                    }
                    Err(_) => *counters.lock().expect("no holder panics") = line,
                }
            }
        });
        self.all[at].child = Some(child);
        Ok(())
    }

    /// Other further blocks for these gateways, which run: written, and read on SIGHUP.
    pub fn rewrite(&mut self, of: &[usize], further: &str) -> io::Result<()> {
        self.wanted.further = further.to_owned();
        for at in of {
            let path = self.folder.join(format!("{}.hcl", self.all[*at].name));
            std::fs::write(path, self.operator(*at))?;
            self.signal(*at, Signal::HUP);
        }
        Ok(())
    }

    /// What one holds of each budget: whole, floor, leased, spent; and whom it takes for steward.
    pub fn parts(&self, at: usize) -> Option<BTreeMap<String, Part>> {
        self.all[at].child.as_ref()?;
        let mut client = Client::login(self.all[at].listen).ok()?;
        let Ok(Answer::Rows(rows)) = client.ask("SHOW SHARES") else {
            return None;
        };
        let own = rows.into_iter().filter(|row| row[1] == self.all[at].name);
        let number = |text: &str| text.parse().unwrap_or(0.0);
        let part = |row: Vec<String>| {
            let part = Part {
                whole: number(&row[3]),
                floor: number(&row[4]),
                leased: number(&row[5]),
                wanted: number(&row[7]),
                spent: number(&row[8]),
                allowed: number(&row[9]),
                steward: row[11].clone(),
                is_steward: row[11] == self.all[at].name,
            };
            (row[0].clone(), part)
        };
        Some(own.map(part).collect())
    }

    /// Waits until this holds for what all of these hold together.
    ///
    /// # Errors
    /// It did not within the time; what each held last.
    pub fn until_parts(
        &self,
        within: Duration,
        of: &[usize],
        holds: impl Fn(&[BTreeMap<String, Part>]) -> bool,
    ) -> Result<Duration, String> {
        let began = Instant::now();
        loop {
            let all: Vec<_> = of
                .iter()
                .map(|at| self.parts(*at).unwrap_or_default())
                .collect();
            if all.iter().all(|parts| !parts.is_empty()) && holds(&all) {
                return Ok(began.elapsed());
            }
            if began.elapsed() > within {
                return Err(format!("after {:?}: {all:#?}", began.elapsed()));
            }
            sleep(Duration::from_millis(25));
        }
    }

    /// Waits until one answers its clients.
    pub fn ready(&self, at: usize) {
        let until = Instant::now() + Duration::from_secs(20);
        while Client::login(self.all[at].listen)
            .and_then(|mut client| client.ping())
            .is_err()
        {
            assert!(
                Instant::now() < until,
                "{} is never ready: {:?}",
                name(at),
                self.lines(at)
            );
            sleep(Duration::from_millis(10));
        }
    }

    pub fn runs(&self, at: usize) -> bool {
        self.all[at].child.is_some()
    }

    /// By gateway; nothing for one that does not run.
    pub fn process_ids(&self) -> Vec<Option<u32>> {
        self.all
            .iter()
            .map(|one| one.child.as_ref().map(Child::id))
            .collect()
    }

    pub fn signal(&self, at: usize, signal: Signal) {
        if let Some(child) = &self.all[at].child {
            kill_process(Pid::from_child(child), signal).expect("it runs");
        }
    }

    /// At once, with all it holds.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.all[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM, and waits for its end. True: it ended well.
    pub fn end(&mut self, at: usize, within: Duration) -> bool {
        self.signal(at, Signal::TERM);
        self.ended(at, within)
    }

    pub fn ended(&mut self, at: usize, within: Duration) -> bool {
        let Some(mut child) = self.all[at].child.take() else {
            return true;
        };
        let until = Instant::now() + within;
        loop {
            match child.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) if Instant::now() < until => sleep(Duration::from_millis(5)),
                _ => {
                    let _ = child.kill();
                    let _ = child.wait();
                    return false;
                }
            }
        }
    }

    pub fn lines(&self, at: usize) -> Vec<Line> {
        self.all[at].lines.lock().expect("no holder panics").clone()
    }

    /// A counter out of the last that were printed (SIGUSR1, exit).
    pub fn counter(&self, at: usize, of: &str) -> Option<i64> {
        let line = self.all[at]
            .counters
            .lock()
            .expect("no holder panics")
            .clone();
        line.split(' ')
            .find_map(|word| word.strip_prefix(of)?.strip_prefix('=')?.parse().ok())
    }

    pub fn print_counters(&self, at: usize) {
        *self.all[at].counters.lock().expect("no holder panics") = String::new();
        self.signal(at, Signal::USR1);
        let until = Instant::now() + Duration::from_secs(5);
        while self.all[at]
            .counters
            .lock()
            .expect("no holder panics")
            .is_empty()
            && Instant::now() < until
        {
            sleep(Duration::from_millis(5));
        }
    }

    /// What one shows of the fleet; nothing where it does not answer.
    pub fn shown(&self, at: usize) -> Option<Shown> {
        self.all[at].child.as_ref()?;
        let mut client = Client::login(self.all[at].listen).ok()?;
        let Ok(Answer::Rows(rows)) = client.ask("SHOW FLEET") else {
            return None;
        };
        let mut shown = Shown::default();
        for row in rows {
            let [
                name,
                state,
                incarnation,
                known,
                standing,
                digest,
                size,
                ..,
                heard,
            ] = &row[..]
            else {
                return None;
            };
            if standing.is_empty() {
                let row = Row {
                    state: state.clone(),
                    incarnation: incarnation.parse().ok()?,
                    known: known == "yes",
                };
                shown.rows.insert(name.clone(), row);
            } else {
                (shown.standing, shown.digest) = (standing.clone(), digest.clone());
                shown.size = size.parse().ok()?;
                shown.heard_s = heard.parse().ok();
            }
        }
        Some(shown)
    }

    /// Waits until this holds for all of these gateways, or says how they stand.
    ///
    /// # Errors
    /// It did not within the time; what each showed last.
    pub fn until(
        &self,
        within: Duration,
        of: &[usize],
        holds: impl Fn(usize, &Shown) -> bool,
    ) -> Result<Duration, String> {
        let began = Instant::now();
        loop {
            let shown: Vec<_> = of.iter().map(|at| (*at, self.shown(*at))).collect();
            let wrong = |(at, shown): &&(usize, Option<Shown>)| {
                !shown.as_ref().is_some_and(|shown| holds(*at, shown))
            };
            let wrong: Vec<_> = shown.iter().filter(wrong).collect();
            if wrong.is_empty() {
                return Ok(began.elapsed());
            }
            if began.elapsed() > within {
                let lines = wrong
                    .iter()
                    .map(|(at, shown)| format!("{}: {shown:?}", name(*at)));
                return Err(format!(
                    "after {:?}: {}",
                    began.elapsed(),
                    lines.collect::<Vec<_>>().join("\n")
                ));
            }
            sleep(Duration::from_millis(25));
        }
    }

    /// All of these hold each other, and nobody else, and say that they are together.
    pub fn settled(&self, within: Duration, of: &[usize]) -> Result<Duration, String> {
        self.until(within, of, |at, shown| {
            let others: Vec<String> = of
                .iter()
                .filter(|other| **other != at)
                .map(|other| name(*other))
                .collect();
            shown.standing == "together"
                && shown.there() == others.iter().map(|name| &name[..]).collect::<Vec<_>>()
        })
    }

    pub fn everyone(&self) -> Vec<usize> {
        (0..self.all.len()).filter(|at| self.runs(*at)).collect()
    }

    /// Who held whom for what, when: all events of the fleet in the order of time.
    pub fn time_line(&self) -> Vec<(Duration, String, String)> {
        let mut all = Vec::new();
        for (at, one) in self.all.iter().enumerate() {
            for line in self.lines(at) {
                let text = |field: &str| line.fields[field].as_str().unwrap_or("").to_owned();
                let message = text("message");
                if let Some(event) = message.strip_prefix("membership: ") {
                    let what = match event {
                        "member changed" => format!("{} {}", text("gateway"), text("state")),
                        "view state changed" => format!("standing {}", text("detail")),
                        other => other.to_owned(),
                    };
                    all.push((line.at, one.name.clone(), what));
                }
            }
        }
        all.sort();
        all
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.all.len()).for_each(|at| self.kill(at));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
