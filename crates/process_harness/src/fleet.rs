//! Runs a fleet of real gateway processes on loopback, with in-process engines, a discovery service
//! and a UDP switch between the gateways, and reads their state through `SHOW` statements and logs.

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

/// The settings of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The path of the gateway's executable.
    pub program: PathBuf,
    /// The number of gateways.
    pub gateways: usize,
    /// The number of engines that the gateways discover.
    pub engines: usize,
    /// How long an engine takes to answer a statement.
    pub engine_delay: Duration,
    /// The seed of the switch's faults and, plus its index, of each gateway.
    pub seed: u64,
    /// Additional lines in the `fleet` block of each operator file.
    pub block: String,
    /// Whether the gateways form a fleet. When false, each gateway runs without an operator file,
    /// as a baseline for comparison.
    pub fleet: bool,
    /// Additional blocks of each operator file.
    pub further: String,
    /// The seed addresses of every gateway. When empty, the first three gateways are the seeds.
    pub seeds: Vec<SocketAddr>,
    /// The zone and region of each gateway, by index. A gateway without an entry announces neither.
    pub places: Vec<(String, String)>,
    /// The names of tenants to add to those of the example configuration.
    pub tenants: Vec<String>,
    /// The value of `PeersTotal` in the configuration. Zero stands for `gateways`.
    pub peers: usize,
}

impl FleetOptions {
    /// Returns settings for tests. The protocol's periods are short enough for a test of minutes
    /// and long enough for a loaded machine.
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

/// One line of a gateway's JSON log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// The time at which the harness read the line, since the start of the fleet.
    pub at: Duration,
    /// The `fields` object of the line, with the message and its structured fields.
    pub fields: Value,
}

/// A gateway of the fleet with its addresses, whether or not its process is running.
pub struct GatewayProcess {
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address to which the gateway binds its UDP socket.
    pub bound: SocketAddr,
    /// The address that the gateway announces to its peers, which is a socket of the switch.
    pub advertised: SocketAddr,
    /// `None` while the process is not running.
    child: Option<Child>,
    lines: Arc<Mutex<Vec<LogLine>>>,
    /// The line of counters that the gateway printed last, or an empty string.
    counters: Arc<Mutex<String>>,
}

/// The state of one gateway in the membership view of another.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRow {
    pub state: String,
    pub incarnation: u64,
    /// The column `known`, which is true for `yes`.
    pub known: bool,
}

/// A gateway's answer to `SHOW FLEET`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// How far the gateway is connected to the fleet, such as `together` or `cut off`.
    pub standing: String,
    /// The digest of its membership view, in hexadecimal.
    pub digest: String,
    /// The number of members in its view.
    pub size: usize,
    /// The seconds since it last heard from another gateway, or `None` if it never has.
    pub heard_s: Option<f64>,
    /// The other members by name.
    pub rows: BTreeMap<String, MemberRow>,
}

impl FleetView {
    /// Returns the names of the known members that are alive or suspected.
    pub fn live_members(&self) -> Vec<&str> {
        let is_live =
            |row: &MemberRow| row.known && (row.state == "alive" || row.state == "suspect");
        self.rows
            .iter()
            .filter(|(_, row)| is_live(row))
            .map(|(name, _)| &name[..])
            .collect()
    }
}

/// One budget of a gateway, as its answer to `SHOW SHARES` has it. Amounts are in the budget's
/// unit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareRow {
    /// The budget of the whole fleet.
    pub whole: f64,
    /// The part that the gateway may spend without a lease.
    pub floor: f64,
    /// The part that the gateway holds by a lease.
    pub leased: f64,
    /// The gateway's demand.
    pub wanted: f64,
    /// What the gateway has spent, as the column `spent` has it.
    pub spent: f64,
    /// What the gateway was allowed to spend, as the column `allowed` has it.
    pub allowed: f64,
    /// The name of the gateway that this one takes for the coordinator of the leases.
    pub steward: String,
    /// Whether the gateway takes itself for the coordinator.
    pub is_steward: bool,
}

/// A running fleet. Dropping it kills all processes and removes the folder.
pub struct Fleet {
    pub options: FleetOptions,
    pub gateways: Vec<GatewayProcess>,
    pub engines: Vec<Engine>,
    /// The discovery service.
    pub board: Board,
    pub switch: Switch,
    pub started: Instant,
    /// The folder of the fleet's configuration files and keys.
    pub folder: PathBuf,
}

/// Returns a loopback address for gateway `index`. The process id selects the second octet, and
/// each fleet of a process has two third octets: fleets that run at the same time get different
/// addresses.
fn loopback_address(second_octet: u8, third_octet: u8, index: usize, port: u16) -> SocketAddr {
    SocketAddr::new(
        IpAddr::V4(Ipv4Addr::new(
            127,
            200 + second_octet % 50,
            third_octet,
            1 + index as u8,
        )),
        port,
    )
}

/// The number of fleets that this process has started.
static FLEETS_STARTED: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);

/// Returns the name of the gateway with this index.
pub fn name(index: usize) -> String {
    format!("g{index:02}")
}

impl Fleet {
    /// Starts the engines, the discovery service, the switch and all gateways except those whose
    /// indexes are in `later`, and waits until every started gateway answers its clients.
    ///
    /// # Errors
    ///
    /// A socket cannot be bound, a file cannot be written or a process cannot be started.
    pub fn start(options: FleetOptions, later: &[usize]) -> io::Result<Fleet> {
        let fleet_number = FLEETS_STARTED.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let process = std::process::id();
        let (second_octet, third_octet) = ((process % 50) as u8, (fleet_number as u8) << 1);
        let folder =
            std::env::temp_dir().join(format!("laurelhitch-harness-{process}-{fleet_number}"));
        std::fs::create_dir_all(folder.join("keys"))?;
        let engines: io::Result<Vec<Engine>> = (0..options.engines)
            .map(|_| Engine::start("127.0.0.1:0", options.engine_delay))
            .collect();
        let engines = engines?;
        let board = Board::start("127.0.0.1:0")?;
        let listed = engines
            .iter()
            .enumerate()
            .map(|(index, e)| target(&format!("e-{index}"), e.address, "in_service"));
        board.tell(true, listed.collect());
        let port = 20_000 + (process % 10_000) as u16;
        let gateways: Vec<GatewayProcess> = (0..options.gateways)
            .map(|index| GatewayProcess {
                name: name(index),
                listen: loopback_address(second_octet, third_octet, index, port),
                bound: loopback_address(second_octet, third_octet, index, port + 1),
                advertised: loopback_address(second_octet, third_octet | 1, index, port + 1),
                child: None,
                lines: Arc::default(),
                counters: Arc::default(),
            })
            .collect();
        let ports: Vec<_> = gateways
            .iter()
            .map(|gateway| (gateway.advertised, gateway.bound))
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
        for index in 0..fleet.gateways.len() {
            let folder = fleet.keys(index);
            std::fs::create_dir_all(&folder)?;
            fleet.write_key(index, "first", 1)?;
            fleet.set_signing_key(index, "first")?;
        }
        let first: Vec<usize> = (0..fleet.gateways.len())
            .filter(|index| !later.contains(index))
            .collect();
        for index in &first {
            fleet.start_gateway(*index)?;
        }
        first
            .iter()
            .for_each(|index| fleet.wait_until_ready(*index));
        Ok(fleet)
    }

    /// Returns the folder with the gateway's fleet keys.
    pub fn keys(&self, index: usize) -> PathBuf {
        self.folder.join("keys").join(name(index))
    }

    /// Writes a key, whose bytes are all `byte`, to the gateway's key folder. The gateway reads the
    /// folder at its start and on SIGHUP.
    pub fn write_key(&self, index: usize, key: &str, byte: u8) -> io::Result<()> {
        std::fs::write(
            self.keys(index).join(format!("{key}.key")),
            format!("{byte:02x}").repeat(32) + "\n",
        )
    }

    /// Selects the key that the gateway signs with from its next start or SIGHUP on.
    pub fn set_signing_key(&self, index: usize, key: &str) -> io::Result<()> {
        std::fs::write(self.keys(index).join("signs"), format!("{key}\n"))
    }

    /// Returns the seed addresses as the elements of an HCL list.
    fn seed_list(&self) -> String {
        let first = || self.gateways.iter().take(3).map(|g| g.advertised).collect();
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

    /// Returns the lines of the operator file that set the gateway's zone and region.
    fn place_lines(&self, index: usize) -> String {
        let place = self.options.places.get(index);
        place.map_or_else(String::new, |(zone, region)| {
            format!("  zone = \"{zone}\"\n  region = \"{region}\"\n")
        })
    }

    /// Returns the text of the gateway's operator file.
    fn operator_file(&self, index: usize) -> String {
        let gateway = &self.gateways[index];
        format!(
            "fleet {{\n  fleet = \"rig\"\n  bind = \"{}\"\n  advertise = \"{}\"\n  seeds = [{}]\n  keys_folder = \"{}\"\n{}  {}\n}}\n{}\n",
            gateway.bound,
            gateway.advertised,
            self.seed_list(),
            self.keys(index).display(),
            self.place_lines(index),
            self.options.block,
            self.options.further
        )
    }

    /// Starts the process of a gateway that is not running.
    ///
    /// # Errors
    ///
    /// Its files cannot be written or the program cannot be started.
    pub fn start_gateway(&mut self, index: usize) -> io::Result<()> {
        let (listen, gateway_name) = (
            self.gateways[index].listen,
            self.gateways[index].name.clone(),
        );
        let mut config: Value = serde_json::from_str(include_str!("../../../examples/config.json"))
            .map_err(io::Error::other)?;
        config["name"] = json!(gateway_name);
        config["listen"] = json!(listen.to_string());
        config["seed"] = json!(format!("{:016x}", self.options.seed + index as u64));
        config["board"] = json!(self.board.address.to_string());
        config["known"] = self.board.known();
        let peers = if self.options.peers == 0 {
            self.options.gateways
        } else {
            self.options.peers
        };
        config["settings"]["PeersTotal"] = json!(peers);
        if let Some(tenants) = config["settings"]["Tenants"].as_array_mut() {
            let added = self.options.tenants.iter();
            tenants.extend(added.map(|name| json!({ "Name": name, "AllowancePerS": 1.0 })));
        }
        let path = self.folder.join(format!("{gateway_name}.json"));
        std::fs::write(&path, config.to_string())?;
        let mut command = Command::new(&self.options.program);
        command
            .env("RELAY_CONFIG", &path)
            .env_remove("LAURELHITCH_OPERATOR")
            .args(["--log-format", "json"]);
        if self.options.fleet {
            let operator = self.folder.join(format!("{gateway_name}.hcl"));
            std::fs::write(&operator, self.operator_file(index))?;
            command.arg("--operator").arg(operator);
        }
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let stderr = BufReader::new(child.stderr.take().expect("stderr is piped"));
        let (lines, counters, started) = (
            self.gateways[index].lines.clone(),
            self.gateways[index].counters.clone(),
            self.started,
        );
        thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                match serde_json::from_str::<Value>(&line) {
                    Ok(fields) => {
                        let line = LogLine {
                            at: started.elapsed(),
                            fields: fields["fields"].clone(),
                        };
                        lines.lock().expect("the lock is not poisoned").push(line);
                    }
                    Err(_) => *counters.lock().expect("the lock is not poisoned") = line,
                }
            }
        });
        self.gateways[index].child = Some(child);
        Ok(())
    }

    /// Replaces the additional blocks in the operator files of these running gateways and sends
    /// each of them SIGHUP, on which it reads the file.
    ///
    /// # Errors
    ///
    /// A file cannot be written.
    pub fn rewrite_operator_files(&mut self, indexes: &[usize], further: &str) -> io::Result<()> {
        self.options.further = further.to_owned();
        for index in indexes {
            let path = self
                .folder
                .join(format!("{}.hcl", self.gateways[*index].name));
            std::fs::write(path, self.operator_file(*index))?;
            self.signal(*index, Signal::HUP);
        }
        Ok(())
    }

    /// Returns a gateway's own rows of `SHOW SHARES` by budget, or `None` if it does not answer.
    pub fn query_shares(&self, index: usize) -> Option<BTreeMap<String, ShareRow>> {
        self.gateways[index].child.as_ref()?;
        let mut client = Client::login(self.gateways[index].listen).ok()?;
        let Ok(Answer::Rows(rows)) = client.ask("SHOW SHARES") else {
            return None;
        };
        let own_rows = rows
            .into_iter()
            .filter(|row| row[1] == self.gateways[index].name);
        let number = |text: &str| text.parse().unwrap_or(0.0);
        let budget_share = |row: Vec<String>| {
            let share = ShareRow {
                whole: number(&row[3]),
                floor: number(&row[4]),
                leased: number(&row[5]),
                wanted: number(&row[7]),
                spent: number(&row[8]),
                allowed: number(&row[9]),
                steward: row[11].clone(),
                is_steward: row[11] == self.gateways[index].name,
            };
            (row[0].clone(), share)
        };
        Some(own_rows.map(budget_share).collect())
    }

    /// Waits until the condition holds for the shares of all these gateways together, and returns
    /// the time that it took.
    ///
    /// # Errors
    ///
    /// The condition does not hold within the time. The error contains the last shares of each
    /// gateway.
    pub fn wait_until_shares(
        &self,
        within: Duration,
        indexes: &[usize],
        condition: impl Fn(&[BTreeMap<String, ShareRow>]) -> bool,
    ) -> Result<Duration, String> {
        let started = Instant::now();
        loop {
            let shares: Vec<_> = indexes
                .iter()
                .map(|index| self.query_shares(*index).unwrap_or_default())
                .collect();
            if shares.iter().all(|share| !share.is_empty()) && condition(&shares) {
                return Ok(started.elapsed());
            }
            if started.elapsed() > within {
                return Err(format!("after {:?}: {shares:#?}", started.elapsed()));
            }
            sleep(Duration::from_millis(25));
        }
    }

    /// Waits until a gateway answers its clients, and panics after 20 s.
    pub fn wait_until_ready(&self, index: usize) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Client::login(self.gateways[index].listen)
            .and_then(|mut client| client.ping())
            .is_err()
        {
            assert!(
                Instant::now() < deadline,
                "gateway {} did not answer within 20 s: {:?}",
                name(index),
                self.lines(index)
            );
            sleep(Duration::from_millis(10));
        }
    }

    /// Returns whether the gateway was started and has not been killed or waited for since.
    pub fn is_running(&self, index: usize) -> bool {
        self.gateways[index].child.is_some()
    }

    /// Returns the process ids by gateway index, with `None` for a gateway that is not running.
    pub fn process_ids(&self) -> Vec<Option<u32>> {
        self.gateways
            .iter()
            .map(|gateway| gateway.child.as_ref().map(Child::id))
            .collect()
    }

    /// Sends a signal to a gateway, or does nothing if it is not running.
    pub fn signal(&self, index: usize, signal: Signal) {
        if let Some(child) = &self.gateways[index].child {
            kill_process(Pid::from_child(child), signal)
                .expect("the process has not been waited for");
        }
    }

    /// Kills a gateway with SIGKILL, so that it cannot leave the fleet in order.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.gateways[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and waits for the exit. Returns the result of [`Fleet::wait_for_exit`].
    pub fn terminate(&mut self, index: usize, within: Duration) -> bool {
        self.signal(index, Signal::TERM);
        self.wait_for_exit(index, within)
    }

    /// Waits for a gateway to exit and returns whether its exit status was zero. A gateway that is
    /// still running after this time is killed, which returns false; one that was not running
    /// returns true.
    pub fn wait_for_exit(&mut self, index: usize, within: Duration) -> bool {
        let Some(mut child) = self.gateways[index].child.take() else {
            return true;
        };
        let deadline = Instant::now() + within;
        loop {
            match child.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) if Instant::now() < deadline => sleep(Duration::from_millis(5)),
                _ => {
                    let _ = child.kill();
                    let _ = child.wait();
                    return false;
                }
            }
        }
    }

    /// Returns the JSON log lines that the gateway has written so far, over all its processes.
    pub fn lines(&self, index: usize) -> Vec<LogLine> {
        self.gateways[index]
            .lines
            .lock()
            .expect("the lock is not poisoned")
            .clone()
    }

    /// Returns a counter from the line that the gateway printed last, on SIGUSR1 or at its exit, or
    /// `None` if the line does not contain it.
    pub fn counter(&self, index: usize, counter: &str) -> Option<i64> {
        let line = self.gateways[index]
            .counters
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        line.split(' ')
            .find_map(|word| word.strip_prefix(counter)?.strip_prefix('=')?.parse().ok())
    }

    /// Makes the gateway print its counters and waits up to 5 s for the line.
    pub fn print_counters(&self, index: usize) {
        *self.gateways[index]
            .counters
            .lock()
            .expect("the lock is not poisoned") = String::new();
        self.signal(index, Signal::USR1);
        let deadline = Instant::now() + Duration::from_secs(5);
        while self.gateways[index]
            .counters
            .lock()
            .expect("the lock is not poisoned")
            .is_empty()
            && Instant::now() < deadline
        {
            sleep(Duration::from_millis(5));
        }
    }

    /// Returns the gateway's answer to `SHOW FLEET`, or `None` if it does not answer.
    pub fn query_fleet_view(&self, index: usize) -> Option<FleetView> {
        self.gateways[index].child.as_ref()?;
        let mut client = Client::login(self.gateways[index].listen).ok()?;
        let Ok(Answer::Rows(rows)) = client.ask("SHOW FLEET") else {
            return None;
        };
        let mut view = FleetView::default();
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
                view.rows.insert(name.clone(), row);
            } else {
                (view.standing, view.digest) = (standing.clone(), digest.clone());
                view.size = size.parse().ok()?;
                view.heard_s = heard.parse().ok();
            }
        }
        Some(view)
    }

    /// Waits until the condition holds for the view of each of these gateways, and returns the time
    /// that it took. The condition gets the gateway's index and its view.
    ///
    /// # Errors
    ///
    /// The condition does not hold within the time. The error contains the last view of each
    /// gateway that does not fulfil it.
    pub fn wait_until_view(
        &self,
        within: Duration,
        indexes: &[usize],
        condition: impl Fn(usize, &FleetView) -> bool,
    ) -> Result<Duration, String> {
        let started = Instant::now();
        loop {
            let views: Vec<_> = indexes
                .iter()
                .map(|index| (*index, self.query_fleet_view(*index)))
                .collect();
            let is_unmet = |(index, view): &&(usize, Option<FleetView>)| {
                !view.as_ref().is_some_and(|view| condition(*index, view))
            };
            let unmet: Vec<_> = views.iter().filter(is_unmet).collect();
            if unmet.is_empty() {
                return Ok(started.elapsed());
            }
            if started.elapsed() > within {
                let lines = unmet
                    .iter()
                    .map(|(index, view)| format!("{}: {view:?}", name(*index)));
                return Err(format!(
                    "after {:?}: {}",
                    started.elapsed(),
                    lines.collect::<Vec<_>>().join("\n")
                ));
            }
            sleep(Duration::from_millis(25));
        }
    }

    /// Waits until each of these gateways has exactly the others as live members and reports the
    /// standing `together`.
    ///
    /// # Errors
    ///
    /// As for [`Fleet::wait_until_view`].
    pub fn wait_until_settled(
        &self,
        within: Duration,
        indexes: &[usize],
    ) -> Result<Duration, String> {
        self.wait_until_view(within, indexes, |index, view| {
            let others: Vec<String> = indexes
                .iter()
                .filter(|other| **other != index)
                .map(|other| name(*other))
                .collect();
            view.standing == "together"
                && view.live_members() == others.iter().map(|name| &name[..]).collect::<Vec<_>>()
        })
    }

    /// Returns the indexes of the running gateways.
    pub fn running_gateways(&self) -> Vec<usize> {
        (0..self.gateways.len())
            .filter(|index| self.is_running(*index))
            .collect()
    }

    /// Returns the membership events of all logs in the order of time: the time since the start of
    /// the fleet, the name of the gateway that logged the event, and the event.
    pub fn membership_events(&self) -> Vec<(Duration, String, String)> {
        let mut all = Vec::new();
        for (index, gateway) in self.gateways.iter().enumerate() {
            for line in self.lines(index) {
                let text = |field: &str| line.fields[field].as_str().unwrap_or("").to_owned();
                let message = text("message");
                if let Some(event) = message.strip_prefix("membership: ") {
                    let description = match event {
                        "member changed" => format!("{} {}", text("gateway"), text("state")),
                        "view state changed" => format!("standing {}", text("detail")),
                        other => other.to_owned(),
                    };
                    all.push((line.at, gateway.name.clone(), description));
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
        (0..self.gateways.len()).for_each(|index| self.kill(index));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
