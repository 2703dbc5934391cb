//! A script of faults by name and time, as an HCL file says it; the same file and seed play the same faults again.

use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde::Deserialize;

use crate::fleet::Fleet;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    pub gateways: usize,
    #[serde(default = "two")]
    pub engines: usize,
    pub seconds: f64,
    #[serde(default)]
    pub seed: u64,
    /// Further lines of the `fleet` blocks.
    #[serde(default)]
    pub block: String,
    /// Further blocks of each operator's file.
    #[serde(default)]
    pub further: String,
    #[serde(default)]
    pub step: Vec<Step>,
}

fn two() -> usize {
    2
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    pub at_s: f64,
    pub what: What,
    /// Gateways by number.
    #[serde(default)]
    pub gateways: Vec<usize>,
    #[serde(default)]
    pub groups: Vec<Vec<usize>>,
    /// A share, or milliseconds.
    #[serde(default)]
    pub value: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum What {
    Kill,
    Term,
    Stop,
    Wake,
    Start,
    Hup,
    Partition,
    /// Nothing goes from the first to the second.
    OneWay,
    Chain,
    Heal,
    Lose,
    Repeat,
    Spoil,
    DelayMs,
}

impl Script {
    /// # Errors
    /// It is no script, or names a gateway that is not there.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut script: Script = hcl::from_str(text).map_err(|e| e.to_string())?;
        let unknown = |step: &Step| {
            let all = step.gateways.iter().chain(step.groups.iter().flatten());
            all.copied().find(|at| *at >= script.gateways)
        };
        if let Some(at) = script.step.iter().find_map(unknown) {
            return Err(format!("no gateway {at}"));
        }
        script.step.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        Ok(script)
    }

    /// Plays it to its end.
    ///
    /// # Errors
    /// A process could not be started.
    pub fn play(&self, fleet: &mut Fleet) -> std::io::Result<()> {
        let began = Instant::now();
        let wait = |until: f64| {
            let left = Duration::from_secs_f64(until).saturating_sub(began.elapsed());
            std::thread::sleep(left);
        };
        for step in &self.step {
            wait(step.at_s);
            step.play(fleet)?;
        }
        wait(self.seconds);
        Ok(())
    }
}

impl Step {
    fn play(&self, fleet: &mut Fleet) -> std::io::Result<()> {
        let signal = match self.what {
            What::Term => Some(Signal::TERM),
            What::Stop => Some(Signal::STOP),
            What::Wake => Some(Signal::CONT),
            What::Hup => Some(Signal::HUP),
            _ => None,
        };
        for at in &self.gateways {
            match self.what {
                What::Kill => fleet.kill(*at),
                What::Start => {
                    fleet.wait_for_exit(*at, Duration::from_secs(5));
                    fleet.start_gateway(*at)?;
                }
                _ => signal
                    .into_iter()
                    .for_each(|signal| fleet.signal(*at, signal)),
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
