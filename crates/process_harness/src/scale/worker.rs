//! A hollow process: an event loop that runs many hollow gateways and reads commands, one per line,
//! from its standard input.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, Write};
use std::path::Path;

use admission::interface::Timestamp;
use membership::{Event, MemberState};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::event::{Timespec, epoll};
use rustix::fd::OwnedFd;
use rustix::process::{Signal, set_parent_process_death_signal};

use super::hollow::{Hollow, SharedSetup, TurnEvents, times};
use super::message::{Answer, Command, Figures, Setup, Usage, ViewCount};
use super::process;
use super::truth::Truth;

/// The epoll data of the standard input; for a socket it is the member's number.
const INPUT: u64 = u64::MAX;
/// The greatest number of epoll events in one turn of the loop.
const EVENTS_PER_TURN: usize = 256;
/// The longest time in seconds that the loop waits for events.
const LONGEST_WAIT_S: f64 = 0.5;
/// The greatest number of bytes of commands in one read.
const INPUT_BYTES: usize = 1 << 16;

/// The state of a hollow process.
struct Worker {
    shared_setup: SharedSetup,
    truth: Truth,
    epoll: OwnedFd,
    hollows: BTreeMap<usize, Hollow>,
    /// The due times of the gateways' next turns, in order.
    due: BTreeSet<(Timestamp, usize)>,
    /// The due time of each gateway, as in `due`.
    due_of: BTreeMap<usize, Timestamp>,
    /// The times at which members start, in order.
    starts: BTreeSet<(Timestamp, usize)>,
    /// The life number of each member's last start. The generation of the process is part of it, so
    /// that it differs from those in earlier processes.
    lives: BTreeMap<usize, u64>,
    generation: u64,
    rng: Pcg64Mcg,
    /// The traffic to each real process in the current window.
    to_real: Vec<Usage>,
    /// The ended members whose end a gateway of this process has noticed.
    detected: BTreeSet<usize>,
    /// The monotonic time at the start of the window, in seconds.
    window_s: f64,
    /// The CPU time of the process at the start of the window, in seconds.
    window_cpu_s: f64,
    empty_memory_bytes: u64,
    false_deaths: u64,
    /// The counts of stalls, undelivered messages and unsent datagrams of ended gateways.
    ended: Figures,
    /// The counts of [`Worker::troubles`] at the start of the window.
    before: (u64, u64, u64),
}

/// Runs the process until its standard input ends.
///
/// # Errors
///
/// The setup is invalid, or a gateway cannot be started.
pub fn run() -> Result<(), Box<dyn std::error::Error>> {
    // The end of the standard input does not reach a stopped process, which would outlive its
    // parent.
    set_parent_process_death_signal(Some(Signal::KILL))?;
    let mut first = String::new();
    io::stdin().lock().read_line(&mut first)?;
    let worker = Worker::new(serde_json::from_str(&first)?)?;
    send_answer(&Answer::Ready)?;
    let done = worker.run();
    if let Err(error) = &done {
        send_answer(&Answer::Failed(error.to_string()))?;
    }
    Ok(done?)
}

fn send_answer(answer: &Answer) -> io::Result<()> {
    let mut line = serde_json::to_vec(answer)?;
    line.push(b'\n');
    io::stdout().lock().write_all(&line)?;
    io::stdout().lock().flush()
}

impl Worker {
    fn new(setup: Setup) -> Result<Worker, Box<dyn std::error::Error>> {
        let operator = operator_config::OperatorConfig::parse(
            Path::new("operator's file of the run"),
            &setup.operator,
        )?;
        let fleet = operator
            .membership
            .ok_or("the operator's file has no fleet block")?;
        let shared_setup = SharedSetup {
            layout: setup.layout,
            fleet,
            shares: operator.quota,
            seed: setup.seed,
        };
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        epoll::add(
            &epoll,
            io::stdin(),
            epoll::EventData::new_u64(INPUT),
            epoll::EventFlags::IN,
        )?;
        let first = setup.members.first().copied().unwrap_or(0) as u64;
        let to_real = vec![Usage::default(); shared_setup.layout.real.len()];
        Ok(Worker {
            truth: Truth::new(shared_setup.layout.clone()),
            epoll,
            hollows: BTreeMap::new(),
            due: BTreeSet::new(),
            due_of: BTreeMap::new(),
            starts: BTreeSet::new(),
            lives: BTreeMap::new(),
            generation: setup.generation,
            rng: Pcg64Mcg::seed_from_u64(setup.seed ^ first << 16 ^ setup.generation << 40),
            to_real,
            detected: BTreeSet::new(),
            window_s: process::monotonic_s(),
            window_cpu_s: process::process_cpu_s(),
            empty_memory_bytes: process::memory_bytes(std::process::id()).unwrap_or(0),
            false_deaths: 0,
            ended: Figures::default(),
            before: (0, 0, 0),
            shared_setup,
        })
    }

    fn run(mut self) -> io::Result<()> {
        let mut events = Vec::with_capacity(EVENTS_PER_TURN);
        let mut input = Vec::new();
        loop {
            let wait = self.wait();
            events.clear();
            match epoll::wait(
                &self.epoll,
                rustix::buffer::spare_capacity(&mut events),
                Some(&wait),
            ) {
                Ok(_) | Err(rustix::io::Errno::INTR) => {}
                Err(error) => return Err(error.into()),
            }
            for event in &events {
                let data = event.data;
                if data.u64() != INPUT {
                    self.readable(data.u64() as usize);
                } else if !self.commands(&mut input)? {
                    return Ok(());
                }
            }
            self.start_due()?;
            self.turn_due()?;
        }
    }

    fn wait(&self) -> Timespec {
        let next = [self.due.first(), self.starts.first()]
            .into_iter()
            .flatten()
            .map(|(at, _)| *at)
            .min();
        let left = next.map_or(LONGEST_WAIT_S, |next| (next - times().now).secs());
        let left = left.clamp(0.0, LONGEST_WAIT_S);
        Timespec {
            tv_sec: 0,
            tv_nsec: (left * 1e9) as _,
        }
    }

    fn readable(&mut self, member: usize) {
        if let Some(hollow) = self.hollows.get_mut(&member) {
            hollow.set_unread();
            self.schedule(member);
        }
    }

    fn schedule(&mut self, member: usize) {
        if let Some(old) = self.due_of.remove(&member) {
            self.due.remove(&(old, member));
        }
        if let Some(hollow) = self.hollows.get(&member) {
            let due = hollow.due(times());
            self.due.insert((due, member));
            self.due_of.insert(member, due);
        }
    }

    fn start_due(&mut self) -> io::Result<()> {
        let now = times().now;
        while let Some((_, member)) = self.starts.first().copied().filter(|(at, _)| *at <= now) {
            self.starts.pop_first();
            self.start(member)?;
        }
        Ok(())
    }

    fn start(&mut self, member: usize) -> io::Result<()> {
        let life = self.lives.entry(member).or_insert(self.generation << 8);
        *life += 1;
        let hollow = Hollow::start(&self.shared_setup, member, *life).map_err(|error| {
            io::Error::new(
                error.kind(),
                format!("{}: {error}", self.shared_setup.layout.advertised(member)),
            )
        })?;
        let data = epoll::EventData::new_u64(member as u64);
        epoll::add(&self.epoll, &hollow.socket, data, epoll::EventFlags::IN)?;
        self.hollows.insert(member, hollow);
        self.schedule(member);
        Ok(())
    }

    fn turn_due(&mut self) -> io::Result<()> {
        let now = times().now;
        let due: Vec<usize> = self
            .due
            .range(..=(now, usize::MAX))
            .map(|(_, member)| *member)
            .collect();
        for member in due {
            let Some(hollow) = self.hollows.get_mut(&member) else {
                continue;
            };
            let turn_events = hollow.turn(
                &self.shared_setup.layout,
                self.truth.links(),
                &mut self.to_real,
            );
            self.report(member, turn_events)?;
            self.schedule(member);
        }
        Ok(())
    }

    /// Reports the events of gateway `by` to the scale run.
    fn report(&mut self, by: usize, turn_events: TurnEvents) -> io::Result<()> {
        let at_s = process::monotonic_s();
        if turn_events.chosen {
            send_answer(&Answer::Chosen { member: by, at_s })?;
        }
        for event in turn_events.events {
            let Event::MemberChanged { name, state, .. } = event else {
                continue;
            };
            let Some(member) = self.shared_setup.layout.member_named(name.as_str()) else {
                continue;
            };
            if state.is_present() {
                continue;
            }
            if !self.truth.lives(member) && self.detected.insert(member) {
                send_answer(&Answer::Detected { member, at_s })?;
            }
            let wrong = state == MemberState::Dead && self.truth.false_death(at_s, by, member);
            self.false_deaths += u64::from(wrong);
        }
        Ok(())
    }

    /// Reads and executes commands. Returns false at the end of the input.
    fn commands(&mut self, input: &mut Vec<u8>) -> io::Result<bool> {
        let mut bytes = vec![0; INPUT_BYTES];
        let size = rustix::io::read(io::stdin(), &mut bytes[..])?;
        if size == 0 {
            return Ok(false);
        }
        input.extend_from_slice(&bytes[..size]);
        while let Some(end) = input.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = input.drain(..=end).collect();
            self.command(serde_json::from_slice(&line)?)?;
        }
        Ok(true)
    }

    fn command(&mut self, command: Command) -> io::Result<()> {
        let now_s = process::monotonic_s();
        match command {
            Command::Start { members, within_s } => {
                for member in members {
                    let at = Timestamp::from_secs(now_s + within_s * self.rng.random::<f64>());
                    self.starts.insert((at, member));
                }
            }
            Command::Kill { members } => members.iter().for_each(|member| self.end(*member)),
            Command::Leave { members } => {
                for member in members {
                    if let Some(hollow) = self.hollows.get_mut(&member) {
                        hollow.leave(
                            &self.shared_setup.layout,
                            self.truth.links(),
                            &mut self.to_real,
                        );
                    }
                    self.end(member);
                }
            }
            Command::Lives { members, lives } => {
                self.truth.set_lives(now_s, &members, lives);
                self.detected.retain(|member| !members.contains(member));
            }
            Command::Links(links) => self.truth.set_links(now_s, links),
            Command::Window => self.start_window(),
            Command::Figures => send_answer(&Answer::Figures(Box::new(self.figures())))?,
            Command::Views => send_answer(&Answer::Views(self.views()))?,
        }
        Ok(())
    }

    fn end(&mut self, member: usize) {
        self.starts.retain(|(_, other)| *other != member);
        // Closing the socket removes it from the epoll set.
        let Some(hollow) = self.hollows.remove(&member) else {
            return;
        };
        self.schedule(member);
        self.ended.stalls += hollow.stalls();
        self.ended.undelivered += hollow.undelivered();
        self.ended.unsent += hollow.unsent;
    }

    /// Returns the stalls, undelivered lease messages and unsent datagrams since the start of the
    /// process.
    fn troubles(&self) -> (u64, u64, u64) {
        let sum = |of: fn(&Hollow) -> u64| self.hollows.values().map(of).sum::<u64>();
        (
            self.ended.stalls + sum(Hollow::stalls),
            self.ended.undelivered + sum(Hollow::undelivered),
            self.ended.unsent + sum(|hollow| hollow.unsent),
        )
    }

    /// Starts a new measurement window.
    fn start_window(&mut self) {
        (self.window_s, self.window_cpu_s) = (process::monotonic_s(), process::process_cpu_s());
        self.before = self.troubles();
        self.false_deaths = 0;
        let fresh = |usage: &mut Usage| {
            *usage = Usage {
                member: usage.member,
                ..Usage::default()
            }
        };
        self.hollows
            .values_mut()
            .for_each(|hollow| fresh(&mut hollow.usage));
        self.to_real.iter_mut().for_each(fresh);
    }

    fn figures(&self) -> Figures {
        let (stalls, undelivered, unsent) = self.troubles();
        Figures {
            window_s: process::monotonic_s() - self.window_s,
            gateways: self.hollows.values().map(|hollow| hollow.usage).collect(),
            process_cpu_s: process::process_cpu_s() - self.window_cpu_s,
            memory_bytes: process::memory_bytes(std::process::id()).unwrap_or(0),
            empty_memory_bytes: self.empty_memory_bytes,
            false_deaths: self.false_deaths,
            stalls: stalls - self.before.0,
            undelivered: undelivered - self.before.1,
            unsent: unsent - self.before.2,
            to_real: self.to_real.clone(),
        }
    }

    fn views(&mut self) -> Vec<ViewCount> {
        let mut counts: BTreeMap<(u64, usize), usize> = BTreeMap::new();
        for hollow in self.hollows.values_mut() {
            *counts.entry(hollow.view()).or_default() += 1;
        }
        let count = |((digest, size), gateways)| ViewCount {
            digest,
            size,
            gateways,
        };
        counts.into_iter().map(count).collect()
    }
}
