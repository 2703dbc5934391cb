//! Scripts of timed faults in HCL. The same file and seed produce the same faults again.

use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde::Deserialize;

use crate::fleet::Fleet;

/// A fleet and the faults to apply to it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The number of gateways.
    pub gateways: usize,
    /// The number of engines.
    #[serde(default = "default_engines")]
    pub engines: usize,
    /// The length of the run in seconds.
    pub seconds: f64,
    #[serde(default)]
    pub seed: u64,
    /// Additional lines of the `fleet` block in each operator file. They replace the default ones;
    /// an empty text keeps the defaults.
    #[serde(default)]
    pub block: String,
    /// Additional blocks of each operator file.
    #[serde(default)]
    pub further: String,
    /// The steps, which [`Script::parse`] sorts by time.
    #[serde(default)]
    pub step: Vec<Step>,
}

fn default_engines() -> usize {
    2
}

/// One step of a script.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The time of the step, in seconds since the start of the script.
    pub at_s: f64,
    pub what: What,
    /// The indexes of the affected gateways.
    #[serde(default)]
    pub gateways: Vec<usize>,
    /// The groups of a partition, as indexes of gateways.
    #[serde(default)]
    pub groups: Vec<Vec<usize>>,
    /// The probability of a random fault, or the greatest delay in milliseconds.
    #[serde(default)]
    pub value: f64,
}

/// The action of a step.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// Sends SIGKILL.
    Kill,
    /// Sends SIGTERM.
    Term,
    /// Sends SIGSTOP.
    Stop,
    /// Sends SIGCONT.
    Wake,
    /// Starts the gateways again, after waiting up to 5 s for the exit of their processes.
    Start,
    /// Sends SIGHUP.
    Hup,
    /// Cuts the network between the groups.
    Partition,
    /// Drops all datagrams from the first gateway to the second.
    OneWay,
    /// Cuts the network between all but neighbouring gateways.
    Chain,
    /// Removes all cuts.
    Heal,
    /// Sets the probability of loss.
    Lose,
    /// Sets the probability of duplication. A copy follows 300 ms after the datagram.
    Repeat,
    /// Sets the probability that a bit is flipped.
    Spoil,
    /// Sets the greatest delay of datagrams.
    DelayMs,
}

impl Script {
    /// Parses a script and sorts its steps by time.
    ///
    /// # Errors
    ///
    /// The text is not a valid script, or a step has a gateway index that is too large.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut script: Script = hcl::from_str(text).map_err(|e| e.to_string())?;
        let unknown_gateway = |step: &Step| {
            let all = step.gateways.iter().chain(step.groups.iter().flatten());
            all.copied().find(|index| *index >= script.gateways)
        };
        if let Some(index) = script.step.iter().find_map(unknown_gateway) {
            return Err(format!("no gateway {index}"));
        }
        script.step.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        Ok(script)
    }

    /// Applies all steps at their times and returns at the end of the script.
    ///
    /// # Errors
    ///
    /// A process cannot be started.
    pub fn play(&self, fleet: &mut Fleet) -> std::io::Result<()> {
        let started = Instant::now();
        let sleep_until = |at_s: f64| {
            let left = Duration::from_secs_f64(at_s).saturating_sub(started.elapsed());
            std::thread::sleep(left);
        };
        for step in &self.step {
            sleep_until(step.at_s);
            step.apply(fleet)?;
        }
        sleep_until(self.seconds);
        Ok(())
    }
}

impl Step {
    fn apply(&self, fleet: &mut Fleet) -> std::io::Result<()> {
        let signal = match self.what {
            What::Term => Some(Signal::TERM),
            What::Stop => Some(Signal::STOP),
            What::Wake => Some(Signal::CONT),
            What::Hup => Some(Signal::HUP),
            _ => None,
        };
        for index in &self.gateways {
            match self.what {
                What::Kill => fleet.kill(*index),
                What::Start => {
                    fleet.wait_for_exit(*index, Duration::from_secs(5));
                    fleet.start_gateway(*index)?;
                }
                _ => signal
                    .into_iter()
                    .for_each(|signal| fleet.signal(*index, signal)),
            }
        }
        fleet.switch.faults(|faults| match self.what {
            What::Partition => faults.partition(&self.groups),
            What::OneWay if self.gateways.len() == 2 => {
                faults.cut[self.gateways[0]][self.gateways[1]] = true
            }
            What::Chain => faults.chain(),
            What::Heal => faults.heal(),
            What::Lose => faults.lost = self.value,
            What::Repeat => {
                (faults.repeated, faults.repeat_after) = (self.value, Duration::from_millis(300))
            }
            What::Spoil => faults.corrupted = self.value,
            What::DelayMs => faults.delay.1 = Duration::from_secs_f64(self.value / 1e3),
            _ => {}
        });
        Ok(())
    }
}
