//! A hollow process: one loop that carries some hundred hollow gateways, told what to do by lines on its standard input.

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

use super::hollow::{Happened, Hollow, Plan, times};
use super::message::{Answer, Command, Figures, Setup, Usage, ViewCount};
use super::process;
use super::truth::Truth;

/// Marks the standard input among the sockets.
const INPUT: u64 = u64::MAX;
/// Sockets told of in one turn of the loop.
const READY: usize = 256;
/// The loop looks at its clock at least so often.
const LONGEST_WAIT_S: f64 = 0.5;
/// Bytes of commands read at once.
const INPUT_BYTES: usize = 1 << 16;

struct Worker {
    plan: Plan,
    truth: Truth,
    epoll: OwnedFd,
    hollows: BTreeMap<usize, Hollow>,
    due: BTreeSet<(Timestamp, usize)>,
    due_of: BTreeMap<usize, Timestamp>,
    starts: BTreeSet<(Timestamp, usize)>,
    /// Starts of each member; those of an earlier process of the same members are other ones.
    lives: BTreeMap<usize, u64>,
    generation: u64,
    rng: Pcg64Mcg,
    to_real: Vec<Usage>,
    detected: BTreeSet<usize>,
    window_s: f64,
    window_cpu_s: f64,
    empty_memory_bytes: u64,
    false_deaths: u64,
    /// Stalls and the like of gateways that have ended.
    ended: Figures,
    /// The same counts of all as the window began.
    before: (u64, u64, u64),
}

/// Runs until its standard input ends.
///
/// # Errors
/// It cannot be set up, or a gateway cannot be started.
pub fn run() -> Result<(), Box<dyn std::error::Error>> {
    // A stopped process would outlive the command that started it.
    set_parent_process_death_signal(Some(Signal::KILL))?;
    let mut first = String::new();
    io::stdin().lock().read_line(&mut first)?;
    let worker = Worker::new(serde_json::from_str(&first)?)?;
    answer(&Answer::Ready)?;
    let done = worker.run();
    if let Err(error) = &done {
        answer(&Answer::Failed(error.to_string()))?;
    }
    Ok(done?)
}

fn answer(answer: &Answer) -> io::Result<()> {
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
        let plan = Plan {
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
        let to_real = vec![Usage::default(); plan.layout.real.len()];
        Ok(Worker {
            truth: Truth::new(plan.layout.clone()),
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
            plan,
        })
    }

    fn run(mut self) -> io::Result<()> {
        let mut events = Vec::with_capacity(READY);
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
        let hollow = Hollow::start(&self.plan, member, *life).map_err(|error| {
            io::Error::new(
                error.kind(),
                format!("{}: {error}", self.plan.layout.advertised(member)),
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
            let happened = hollow.turn(&self.plan.layout, self.truth.links(), &mut self.to_real);
            self.tell(member, happened)?;
            self.schedule(member);
        }
        Ok(())
    }

    fn tell(&mut self, by: usize, happened: Happened) -> io::Result<()> {
        let at_s = process::monotonic_s();
        if happened.chosen {
            answer(&Answer::Chosen { member: by, at_s })?;
        }
        for event in happened.events {
            let Event::MemberChanged { name, state, .. } = event else {
                continue;
            };
            let Some(member) = self.plan.layout.member_named(name.as_str()) else {
                continue;
            };
            if state.is_present() {
                continue;
            }
            if !self.truth.lives(member) && self.detected.insert(member) {
                answer(&Answer::Detected { member, at_s })?;
            }
            let wrong = state == MemberState::Dead && self.truth.false_death(at_s, by, member);
            self.false_deaths += u64::from(wrong);
        }
        Ok(())
    }

    /// False: the input is over.
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
                        hollow.leave(&self.plan.layout, self.truth.links(), &mut self.to_real);
                    }
                    self.end(member);
                }
            }
            Command::Lives { members, lives } => {
                self.truth.set_lives(now_s, &members, lives);
                self.detected.retain(|member| !members.contains(member));
            }
            Command::Links(links) => self.truth.set_links(now_s, links),
            Command::Window => self.window(),
            Command::Figures => answer(&Answer::Figures(Box::new(self.figures())))?,
            Command::Views => answer(&Answer::Views(self.views()))?,
        }
        Ok(())
    }

    fn end(&mut self, member: usize) {
        self.starts.retain(|(_, other)| *other != member);
        // Its socket leaves the loop as it is closed.
        let Some(hollow) = self.hollows.remove(&member) else {
            return;
        };
        self.schedule(member);
        self.ended.stalls += hollow.stalls();
        self.ended.undelivered += hollow.undelivered();
        self.ended.unsent += hollow.unsent;
    }

    /// Stalls, messages not delivered and datagrams not sent since the start.
    fn troubles(&self) -> (u64, u64, u64) {
        let sum = |of: fn(&Hollow) -> u64| self.hollows.values().map(of).sum::<u64>();
        (
            self.ended.stalls + sum(Hollow::stalls),
            self.ended.undelivered + sum(Hollow::undelivered),
            self.ended.unsent + sum(|hollow| hollow.unsent),
        )
    }

    fn window(&mut self) {
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
