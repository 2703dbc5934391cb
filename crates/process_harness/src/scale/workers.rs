//! Starts, controls and queries the hollow processes of a scale run.

use std::io::{self, BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, Command as Program, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use super::layout::{Layout, VOTERS};
use super::message::{Answer, Command, Figures, Setup, ViewCount};

/// The greatest number of gateways in one hollow process.
pub const MAX_GATEWAYS_PER_PROCESS: usize = 250;
/// The time that a running process has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// A message that a process sends without a request.
#[derive(Clone, Copy, Debug)]
pub enum UnsolicitedMessage {
    /// A gateway has noticed the end of this member.
    Detected { member: usize, at_s: f64 },
    /// This member has become the coordinator of the leases.
    Chosen { member: usize, at_s: f64 },
}

/// One hollow process.
struct Worker {
    setup: Setup,
    /// `None` while the process is killed.
    child: Option<Child>,
    /// Whether the process is stopped by SIGSTOP.
    stopped: bool,
}

/// The hollow processes of a run. Dropping the value kills them.
pub struct Workers {
    program: PathBuf,
    all: Vec<Worker>,
    /// Answers with the index of the process and its generation.
    answers: Receiver<(usize, u64, Answer)>,
    sender: Sender<(usize, u64, Answer)>,
    messages: Vec<UnsolicitedMessage>,
}

/// Distributes the hollow members over processes: each voter has its own process and the others are
/// divided evenly.
pub fn members_by_process(layout: &Layout) -> Vec<Vec<usize>> {
    let mut parts: Vec<Vec<usize>> = (0..VOTERS.min(layout.hollow))
        .map(|voter| vec![voter])
        .collect();
    let others = layout.hollow - parts.len();
    let processes = others.div_ceil(MAX_GATEWAYS_PER_PROCESS);
    let first = parts.len();
    parts.extend((0..processes).map(|process| {
        (first + process..layout.hollow)
            .step_by(processes)
            .collect()
    }));
    parts
}

impl Workers {
    /// Starts all processes without starting their gateways.
    ///
    /// # Errors
    ///
    /// A process cannot be started or rejects its setup.
    pub fn start(
        program: PathBuf,
        layout: &Layout,
        seed: u64,
        operator: &str,
    ) -> io::Result<Workers> {
        let (sender, answers) = channel();
        let mut workers = Workers {
            program,
            all: Vec::new(),
            answers,
            sender,
            messages: Vec::new(),
        };
        for members in members_by_process(layout) {
            let setup = Setup {
                seed,
                generation: 0,
                layout: layout.clone(),
                members,
                operator: operator.to_owned(),
            };
            workers.all.push(Worker {
                setup,
                child: None,
                stopped: false,
            });
        }
        for at in 0..workers.all.len() {
            workers.spawn(at)?;
        }
        workers.wait_ready((0..workers.all.len()).collect())?;
        Ok(workers)
    }

    fn spawn(&mut self, at: usize) -> io::Result<()> {
        let mut child = Program::new(&self.program)
            .arg("hollow")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = BufReader::new(child.stdout.take().expect("stdout is piped"));
        let (sender, generation) = (self.sender.clone(), self.all[at].setup.generation);
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                let answer =
                    serde_json::from_str(&line).unwrap_or_else(|e| Answer::Failed(e.to_string()));
                if sender.send((at, generation, answer)).is_err() {
                    return;
                }
            }
        });
        self.all[at].child = Some(child);
        let setup = serde_json::to_string(&self.all[at].setup)?;
        self.write(at, &setup)
    }

    fn write(&mut self, at: usize, line: &str) -> io::Result<()> {
        let Some(child) = &mut self.all[at].child else {
            return Ok(());
        };
        let input = child.stdin.as_mut().expect("stdin is piped");
        input.write_all(line.as_bytes())?;
        input.write_all(b"\n")
    }

    fn wait_ready(&mut self, mut of: Vec<usize>) -> io::Result<()> {
        self.gather(&mut of, |answer| {
            matches!(answer, Answer::Ready).then_some(())
        })
        .map(drop)
    }

    /// Waits until each of these processes has sent an answer that `wanted` accepts. Other answers
    /// are handled as they arrive.
    fn gather<T>(
        &mut self,
        of: &mut Vec<usize>,
        wanted: impl Fn(&Answer) -> Option<T>,
    ) -> io::Result<Vec<T>> {
        let (until, mut found) = (Instant::now() + ANSWER_TIMEOUT, Vec::new());
        while !of.is_empty() {
            match self
                .answers
                .recv_timeout(until.saturating_duration_since(Instant::now()))
            {
                Ok((at, generation, answer)) if generation == self.all[at].setup.generation => {
                    match wanted(&answer) {
                        Some(value) => {
                            of.retain(|other| *other != at);
                            found.push(value);
                        }
                        None => self.handle(answer)?,
                    }
                }
                Ok(_) => {}
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                    let why =
                        format!("hollow processes {of:?} did not answer within {ANSWER_TIMEOUT:?}");
                    return Err(io::Error::new(io::ErrorKind::TimedOut, why));
                }
            }
        }
        Ok(found)
    }

    fn handle(&mut self, answer: Answer) -> io::Result<()> {
        match answer {
            Answer::Detected { member, at_s } => self
                .messages
                .push(UnsolicitedMessage::Detected { member, at_s }),
            Answer::Chosen { member, at_s } => self
                .messages
                .push(UnsolicitedMessage::Chosen { member, at_s }),
            Answer::Failed(why) => return Err(io::Error::other(format!("hollow process: {why}"))),
            Answer::Ready | Answer::Figures(_) | Answer::Views(_) => {}
        }
        Ok(())
    }

    /// Returns the messages without a request since the last call.
    ///
    /// # Errors
    ///
    /// A process has reported a failure.
    pub fn take_messages(&mut self) -> io::Result<Vec<UnsolicitedMessage>> {
        while let Ok((at, generation, answer)) = self.answers.try_recv() {
            if generation == self.all[at].setup.generation {
                self.handle(answer)?;
            }
        }
        Ok(std::mem::take(&mut self.messages))
    }

    fn is_running(&self, at: usize) -> bool {
        self.all[at].child.is_some() && !self.all[at].stopped
    }

    fn running(&self) -> Vec<usize> {
        (0..self.all.len())
            .filter(|at| self.is_running(*at))
            .collect()
    }

    /// Sends a command to all processes. A stopped process reads it when it is resumed.
    ///
    /// # Errors
    ///
    /// A process has ended.
    pub fn tell(&mut self, command: &Command) -> io::Result<()> {
        let line = serde_json::to_string(command)?;
        (0..self.all.len()).try_for_each(|at| self.write(at, &line))
    }

    /// Sends a command to each process that runs some of these members, with only its own members.
    ///
    /// # Errors
    ///
    /// A process has ended.
    pub fn tell_owners(
        &mut self,
        members: &[usize],
        command: impl Fn(Vec<usize>) -> Command,
    ) -> io::Result<()> {
        for at in 0..self.all.len() {
            let own = &self.all[at].setup.members;
            let own: Vec<usize> = members
                .iter()
                .copied()
                .filter(|member| own.contains(member))
                .collect();
            if !own.is_empty() {
                let line = serde_json::to_string(&command(own))?;
                self.write(at, &line)?;
            }
        }
        Ok(())
    }

    /// Returns the membership views of the gateways in all running processes.
    ///
    /// # Errors
    ///
    /// A process does not answer.
    pub fn views(&mut self) -> io::Result<Vec<ViewCount>> {
        let mut of = self.running();
        self.tell_running(&Command::Views)?;
        let views = self.gather(&mut of, |answer| match answer {
            Answer::Views(views) => Some(views.clone()),
            _ => None,
        })?;
        Ok(views.into_iter().flatten().collect())
    }

    /// Returns the figures of each running process for the current window.
    ///
    /// # Errors
    ///
    /// A process does not answer.
    pub fn figures(&mut self) -> io::Result<Vec<Figures>> {
        let mut of = self.running();
        self.tell_running(&Command::Figures)?;
        self.gather(&mut of, |answer| match answer {
            Answer::Figures(figures) => Some((**figures).clone()),
            _ => None,
        })
    }

    fn tell_running(&mut self, command: &Command) -> io::Result<()> {
        let line = serde_json::to_string(command)?;
        self.running()
            .into_iter()
            .try_for_each(|at| self.write(at, &line))
    }

    /// Returns the index of the process that runs a member, or `None` for a real one.
    pub fn process_of(&self, member: usize) -> Option<usize> {
        self.all
            .iter()
            .position(|worker| worker.setup.members.contains(&member))
    }

    /// Returns the members that a process runs.
    pub fn members(&self, at: usize) -> &[usize] {
        &self.all[at].setup.members
    }

    fn signal(&mut self, at: usize, signal: Signal) -> io::Result<()> {
        let Some(child) = &self.all[at].child else {
            return Ok(());
        };
        Ok(kill_process(Pid::from_child(child), signal)?)
    }

    /// Stops a process by SIGSTOP.
    ///
    /// # Errors
    ///
    /// The signal cannot be sent.
    pub fn stop(&mut self, at: usize) -> io::Result<()> {
        self.all[at].stopped = true;
        self.signal(at, Signal::STOP)
    }

    /// Resumes a stopped process.
    ///
    /// # Errors
    ///
    /// The signal cannot be sent.
    pub fn resume(&mut self, at: usize) -> io::Result<()> {
        self.all[at].stopped = false;
        self.signal(at, Signal::CONT)
    }

    /// Kills a process with all its gateways.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.all[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.all[at].stopped = false;
    }

    /// Starts a killed process again, without starting its gateways.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn respawn(&mut self, at: usize) -> io::Result<()> {
        self.all[at].setup.generation += 1;
        self.spawn(at)?;
        self.wait_ready(vec![at])
    }

    pub fn process_ids(&self) -> Vec<u32> {
        self.all
            .iter()
            .filter_map(|worker| Some(worker.child.as_ref()?.id()))
            .collect()
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        (0..self.all.len()).for_each(|at| self.kill(at));
    }
}
