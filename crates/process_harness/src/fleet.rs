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
pub struct FleetOptions {
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

impl FleetOptions {
    /// Paces for tests: short enough for minutes, long enough for loaded machines.
    pub fn new(program: impl Into<PathBuf>, gateways: usize) -> Self {
        let block = "period_ms = 250\n  answer_ms = 110\n  suspicion_periods = 8\n  hold_ms = 500\n  keep_gone_ms = 30000".to_owned();
        let (engine_delay, program) = (Duration::from_millis(5), program.into());
        FleetOptions {
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
pub struct LogLine {
    pub at: Duration,
    pub fields: Value,
}

pub struct GatewayProcess {
    pub name: String,
    pub listen: SocketAddr,
    pub bound: SocketAddr,
    pub advertised: SocketAddr,
    child: Option<Child>,
    lines: Arc<Mutex<Vec<LogLine>>>,
    /// The last counters printed.
    counters: Arc<Mutex<String>>,
}

/// A gateway as another one holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRow {
    pub state: String,
    pub incarnation: u64,
    pub known: bool,
}

/// What one gateway answers to `SHOW FLEET`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    pub standing: String,
    pub digest: String,
    pub size: usize,
    /// Seconds since it heard from any other; `None`: never.
    pub heard_s: Option<f64>,
    /// Without itself.
    pub rows: BTreeMap<String, MemberRow>,
}

impl FleetView {
    /// Those it counts as there.
    pub fn live_members(&self) -> Vec<&str> {
        let there = |row: &MemberRow| row.known && (row.state == "alive" || row.state == "suspect");
        self.rows
            .iter()
            .filter(|(_, row)| there(row))
            .map(|(name, _)| &name[..])
            .collect()
    }
}

/// One budget as one gateway shows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareRow {
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
    pub options: FleetOptions,
    pub gateways: Vec<GatewayProcess>,
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
    pub fn start(options: FleetOptions, later: &[usize]) -> io::Result<Fleet> {
        let rig = RIGS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let process = std::process::id();
        let (run, half) = ((process % 50) as u8, (rig as u8) << 1);
        let folder = std::env::temp_dir().join(format!("laurelhitch-harness-{process}-{rig}"));
        std::fs::create_dir_all(folder.join("keys"))?;
        let engines: io::Result<Vec<Engine>> = (0..options.engines)
            .map(|_| Engine::start("127.0.0.1:0", options.engine_delay))
            .collect();
        let engines = engines?;
        let board = Board::start("127.0.0.1:0")?;
        let listed = engines
            .iter()
            .enumerate()
            .map(|(at, e)| target(&format!("e-{at}"), e.address, "in_service"));
        board.tell(true, listed.collect());
        let port = 20_000 + (process % 10_000) as u16;
        let gateways: Vec<GatewayProcess> = (0..options.gateways)
            .map(|at| GatewayProcess {
                name: name(at),
                listen: address(run, half, at, port),
                bound: address(run, half, at, port + 1),
                advertised: address(run, half | 1, at, port + 1),
                child: None,
                lines: Arc::default(),
                counters: Arc::default(),
            })
            .collect();
        let ports: Vec<_> = gateways
            .iter()
            .map(|one| (one.advertised, one.bound))
            .collect();
        let switch = Switch::start(&ports, options.seed)?;
        let mut fleet = Fleet {
            options,
            gateways,
            engines,
            board,
            switch,
            started: Instant::now(),
            folder,
        };
        for at in 0..fleet.gateways.len() {
            let folder = fleet.keys(at);
            std::fs::create_dir_all(&folder)?;
            fleet.write_key(at, "first", 1)?;
            fleet.set_signing_key(at, "first")?;
        }
        let first: Vec<usize> = (0..fleet.gateways.len())
            .filter(|at| !later.contains(at))
            .collect();
        for at in &first {
            fleet.start_gateway(*at)?;
        }
        first.iter().for_each(|at| fleet.wait_until_ready(*at));
        Ok(fleet)
    }

    pub fn keys(&self, at: usize) -> PathBuf {
        self.folder.join("keys").join(name(at))
    }

    /// Puts a key into a gateway's folder; SIGHUP has it read.
    pub fn write_key(&self, at: usize, key: &str, byte: u8) -> io::Result<()> {
        std::fs::write(
            self.keys(at).join(format!("{key}.key")),
            format!("{byte:02x}").repeat(32) + "\n",
        )
    }

    pub fn set_signing_key(&self, at: usize, key: &str) -> io::Result<()> {
        std::fs::write(self.keys(at).join("signs"), format!("{key}\n"))
    }

    /// Where nobody says otherwise, the seeds of all are the first three.
    fn seeds(&self) -> String {
        let first = || {
            self.gateways
                .iter()
                .take(3)
                .map(|one| one.advertised)
                .collect()
        };
        let seeds = if self.options.seeds.is_empty() {
            first()
        } else {
            self.options.seeds.clone()
        };
        seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect::<Vec<_>>()
            .join(", ")
    }

    fn place(&self, at: usize) -> String {
        let place = self.options.places.get(at);
        place.map_or_else(String::new, |(zone, region)| {
            format!("  zone = \"{zone}\"\n  region = \"{region}\"\n")
        })
    }

    fn operator(&self, at: usize) -> String {
        let one = &self.gateways[at];
        format!(
            "fleet {{\n  fleet = \"rig\"\n  bind = \"{}\"\n  advertise = \"{}\"\n  seeds = [{}]\n  keys_folder = \"{}\"\n{}  {}\n}}\n{}\n",
            one.bound,
            one.advertised,
            self.seeds(),
            self.keys(at).display(),
            self.place(at),
            self.options.block,
            self.options.further
        )
    }

    /// Starts the process of one, which must not run.
    pub fn start_gateway(&mut self, at: usize) -> io::Result<()> {
        let (listen, own) = (self.gateways[at].listen, self.gateways[at].name.clone());
        let mut config: Value = serde_json::from_str(include_str!("../../../examples/config.json"))
            .map_err(io::Error::other)?;
        config["name"] = json!(own);
        config["listen"] = json!(listen.to_string());
        config["seed"] = json!(format!("{:016x}", self.options.seed + at as u64));
        config["board"] = json!(self.board.address.to_string());
        config["known"] = self.board.known();
        let peers = if self.options.peers == 0 {
            self.options.gateways
        } else {
            self.options.peers
        };
        config["settings"]["PeersTotal"] = json!(peers);
        if let Some(tenants) = config["settings"]["Tenants"].as_array_mut() {
            let further = self.options.tenants.iter();
            tenants.extend(further.map(|name| json!({ "Name": name, "AllowancePerS": 1.0 })));
        }
        let path = self.folder.join(format!("{own}.json"));
        std::fs::write(&path, config.to_string())?;
        let mut command = Command::new(&self.options.program);
        command
            .env("RELAY_CONFIG", &path)
            .env_remove("LAURELHITCH_OPERATOR")
            .args(["--log-format", "json"]);
        if self.options.fleet {
            let operator = self.folder.join(format!("{own}.hcl"));
            std::fs::write(&operator, self.operator(at))?;
            command.arg("--operator").arg(operator);
        }
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let log = BufReader::new(child.stderr.take().expect("piped"));
        let (lines, counters, started) = (
            self.gateways[at].lines.clone(),
            self.gateways[at].counters.clone(),
            self.started,
        );
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                match serde_json::from_str::<Value>(&line) {
                    Ok(fields) => {
                        let line = LogLine {
                            at: started.elapsed(),
                            fields: fields["fields"].clone(),
                        };
                        lines.lock().expect("no holder panics").push(line);
                    }
                    Err(_) => *counters.lock().expect("no holder panics") = line,
                }
            }
        });
        self.gateways[at].child = Some(child);
        Ok(())
    }

    /// Other further blocks for these gateways, which run: written, and read on SIGHUP.
    pub fn rewrite_operator_files(&mut self, of: &[usize], further: &str) -> io::Result<()> {
        self.options.further = further.to_owned();
        for at in of {
            let path = self.folder.join(format!("{}.hcl", self.gateways[*at].name));
            std::fs::write(path, self.operator(*at))?;
            self.signal(*at, Signal::HUP);
        }
        Ok(())
    }

    /// What one holds of each budget: whole, floor, leased, spent; and whom it takes for steward.
    pub fn query_shares(&self, at: usize) -> Option<BTreeMap<String, ShareRow>> {
        self.gateways[at].child.as_ref()?;
        let mut client = Client::login(self.gateways[at].listen).ok()?;
        let Ok(Answer::Rows(rows)) = client.ask("SHOW SHARES") else {
            return None;
        };
        let own = rows
            .into_iter()
            .filter(|row| row[1] == self.gateways[at].name);
        let number = |text: &str| text.parse().unwrap_or(0.0);
        let part = |row: Vec<String>| {
            let part = ShareRow {
                whole: number(&row[3]),
                floor: number(&row[4]),
                leased: number(&row[5]),
                wanted: number(&row[7]),
                spent: number(&row[8]),
                allowed: number(&row[9]),
                steward: row[11].clone(),
                is_steward: row[11] == self.gateways[at].name,
            };
            (row[0].clone(), part)
        };
        Some(own.map(part).collect())
    }

    /// Waits until this holds for what all of these hold together.
    ///
    /// # Errors
    /// It did not within the time; what each held last.
    pub fn wait_until_shares(
        &self,
        within: Duration,
        of: &[usize],
        holds: impl Fn(&[BTreeMap<String, ShareRow>]) -> bool,
    ) -> Result<Duration, String> {
        let began = Instant::now();
        loop {
            let all: Vec<_> = of
                .iter()
                .map(|at| self.query_shares(*at).unwrap_or_default())
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
    pub fn wait_until_ready(&self, at: usize) {
        let until = Instant::now() + Duration::from_secs(20);
        while Client::login(self.gateways[at].listen)
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

    pub fn is_running(&self, at: usize) -> bool {
        self.gateways[at].child.is_some()
    }

    /// By gateway; nothing for one that does not run.
    pub fn process_ids(&self) -> Vec<Option<u32>> {
        self.gateways
            .iter()
            .map(|one| one.child.as_ref().map(Child::id))
            .collect()
    }

    pub fn signal(&self, at: usize, signal: Signal) {
        if let Some(child) = &self.gateways[at].child {
            kill_process(Pid::from_child(child), signal).expect("it runs");
        }
    }

    /// At once, with all it holds.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.gateways[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM, and waits for its end. True: it ended well.
    pub fn terminate(&mut self, at: usize, within: Duration) -> bool {
        self.signal(at, Signal::TERM);
        self.wait_for_exit(at, within)
    }

    pub fn wait_for_exit(&mut self, at: usize, within: Duration) -> bool {
        let Some(mut child) = self.gateways[at].child.take() else {
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

    pub fn lines(&self, at: usize) -> Vec<LogLine> {
        self.gateways[at]
            .lines
            .lock()
            .expect("no holder panics")
            .clone()
    }

    /// A counter out of the last that were printed (SIGUSR1, exit).
    pub fn counter(&self, at: usize, of: &str) -> Option<i64> {
        let line = self.gateways[at]
            .counters
            .lock()
            .expect("no holder panics")
            .clone();
        line.split(' ')
            .find_map(|word| word.strip_prefix(of)?.strip_prefix('=')?.parse().ok())
    }

    pub fn print_counters(&self, at: usize) {
        *self.gateways[at].counters.lock().expect("no holder panics") = String::new();
        self.signal(at, Signal::USR1);
        let until = Instant::now() + Duration::from_secs(5);
        while self.gateways[at]
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
    pub fn query_fleet_view(&self, at: usize) -> Option<FleetView> {
        self.gateways[at].child.as_ref()?;
        let mut client = Client::login(self.gateways[at].listen).ok()?;
        let Ok(Answer::Rows(rows)) = client.ask("SHOW FLEET") else {
            return None;
        };
        let mut shown = FleetView::default();
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
                let row = MemberRow {
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
    pub fn wait_until_view(
        &self,
        within: Duration,
        of: &[usize],
        holds: impl Fn(usize, &FleetView) -> bool,
    ) -> Result<Duration, String> {
        let began = Instant::now();
        loop {
            let shown: Vec<_> = of
                .iter()
                .map(|at| (*at, self.query_fleet_view(*at)))
                .collect();
            let wrong = |(at, shown): &&(usize, Option<FleetView>)| {
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
    pub fn wait_until_settled(&self, within: Duration, of: &[usize]) -> Result<Duration, String> {
        self.wait_until_view(within, of, |at, shown| {
            let others: Vec<String> = of
                .iter()
                .filter(|other| **other != at)
                .map(|other| name(*other))
                .collect();
            shown.standing == "together"
                && shown.live_members() == others.iter().map(|name| &name[..]).collect::<Vec<_>>()
        })
    }

    pub fn running_gateways(&self) -> Vec<usize> {
        (0..self.gateways.len())
            .filter(|at| self.is_running(*at))
            .collect()
    }

    /// Who held whom for what, when: all events of the fleet in the order of time.
    pub fn membership_events(&self) -> Vec<(Duration, String, String)> {
        let mut all = Vec::new();
        for (at, one) in self.gateways.iter().enumerate() {
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
        (0..self.gateways.len()).for_each(|at| self.kill(at));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
