//! A file of faults for a scale run, in HCL as the rig's other scripts.

use std::fmt;
use std::path::{Path, PathBuf};

use serde::de::value::{MapAccessDeserializer, SeqAccessDeserializer};
use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

/// Ends a day at the users' size, and the gateways they are counted over.
const DAILY_FAILURES: f64 = 20.0;
const DAILY_RESTARTS: f64 = 920.0;
const DAILY_GATEWAYS: f64 = 1900.0;
const DAY_S: f64 = 86_400.0;
/// Faults of one file at most.
const MOST_FAULTS: usize = 64;

#[derive(Debug, Error)]
pub enum ScriptError {
    #[error("{0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    #[error("{0}: {1}")]
    Form(PathBuf, String),
    #[error("{file}: fault {number} ({what} at {at_s} s): {field}: {why}", file = .file.display())]
    Field {
        file: PathBuf,
        number: usize,
        what: String,
        at_s: f64,
        field: &'static str,
        why: String,
    },
    #[error("{0}: {1}: {2}")]
    Top(PathBuf, &'static str, String),
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// From the end of the part without faults to the end of the run.
    pub seconds: f64,
    /// Further lines of the `fleet` blocks.
    #[serde(default)]
    pub block: String,
    #[serde(default, deserialize_with = "one_or_more")]
    pub fault: Vec<Fault>,
}

/// HCL has a single block as itself, several of one name as a list.
fn one_or_more<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Fault>, D::Error> {
    struct Faults;
    impl<'de> Visitor<'de> for Faults {
        type Value = Vec<Fault>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("blocks named fault")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, all: A) -> Result<Vec<Fault>, A::Error> {
            Deserialize::deserialize(SeqAccessDeserializer::new(all))
        }

        fn visit_map<A: MapAccess<'de>>(self, one: A) -> Result<Vec<Fault>, A::Error> {
            Ok(vec![Deserialize::deserialize(MapAccessDeserializer::new(
                one,
            ))?])
        }
    }
    from.deserialize_any(Faults)
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// After the part without faults.
    pub at_s: f64,
    pub what: What,
    /// How long it lasts, where it does.
    #[serde(default)]
    pub seconds: f64,
    /// Gateways of a rack.
    #[serde(default = "rack")]
    pub gateways: usize,
    /// How many days' ends happen in a day.
    #[serde(default = "once")]
    pub compressed: f64,
    /// Share of datagrams lost.
    #[serde(default = "third")]
    pub lost: f64,
}

fn rack() -> usize {
    40
}

fn once() -> f64 {
    1.0
}

fn third() -> f64 {
    1.0 / 3.0
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// One gateway ends without a word.
    Single,
    /// Failures and restarts at the users' daily rate, compressed.
    Daily,
    /// Gateways of one zone end at one instant.
    Rack,
    /// All gateways of a zone end at one instant.
    Zone,
    /// Two regions don't reach each other; both reach the others.
    Regions,
    /// A share of all datagrams is lost.
    Loss,
    /// The coordinator's process is stopped, and woken.
    CoordinatorStop,
    /// The coordinator's process is killed, and started again.
    CoordinatorKill,
    /// All end, and start within one second.
    AllAtOnce,
}

impl What {
    /// It lasts: agreement is counted from its end.
    pub fn lasts(self) -> bool {
        matches!(
            self,
            What::Daily
                | What::Regions
                | What::Loss
                | What::CoordinatorStop
                | What::CoordinatorKill
        )
    }

    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|value| value.as_str().map(str::to_owned))
            .unwrap_or_default()
    }
}

impl Fault {
    /// Failures and restarts a second among so many gateways.
    pub fn daily_rates(&self, gateways: usize) -> (f64, f64) {
        let part = gateways as f64 / DAILY_GATEWAYS * self.compressed / DAY_S;
        (DAILY_FAILURES * part, DAILY_RESTARTS * part)
    }

    fn fault(&self, watched_s: f64) -> Option<(&'static str, String)> {
        if !self.at_s.is_finite() || self.at_s < 0.0 {
            return Some(("at_s", format!("{} is no time after the start", self.at_s)));
        }
        if self.what.lasts() && !(self.seconds > 0.0 && self.seconds < watched_s) {
            let why = format!(
                "{} is not between 0 and the {watched_s} s until the next fault",
                self.seconds
            );
            return Some(("seconds", why));
        }
        if !(0.0..=1.0).contains(&self.lost) {
            return Some(("lost", format!("{} is no share between 0 and 1", self.lost)));
        }
        if !(1.0..=1e5).contains(&self.compressed) {
            return Some((
                "compressed",
                format!("{} is not between 1 and 100000", self.compressed),
            ));
        }
        (self.gateways == 0).then(|| ("gateways", "0 is no rack".to_owned()))
    }
}

impl Script {
    /// # Errors
    /// The file cannot be read, or a field of it cannot be used.
    pub fn read(file: &Path) -> Result<Self, ScriptError> {
        let text =
            std::fs::read_to_string(file).map_err(|e| ScriptError::Unreadable(file.into(), e))?;
        Self::parse(file, &text)
    }

    /// `file`: for errors only.
    ///
    /// # Errors
    /// A field cannot be used.
    pub fn parse(file: &Path, text: &str) -> Result<Self, ScriptError> {
        let mut script: Script =
            hcl::from_str(text).map_err(|e| ScriptError::Form(file.into(), e.to_string()))?;
        if !(script.seconds > 0.0 && script.seconds <= 3600.0) {
            let why = format!("{} is not between 0 and 3600", script.seconds);
            return Err(ScriptError::Top(file.into(), "seconds", why));
        }
        if script.fault.len() > MOST_FAULTS {
            let why = format!("{} of them; {MOST_FAULTS} at most", script.fault.len());
            return Err(ScriptError::Top(file.into(), "fault", why));
        }
        script.fault.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        for (at, fault) in script.fault.iter().enumerate() {
            if let Some((field, why)) = fault.fault(script.watched_s(at)) {
                let (what, at_s) = (fault.what.name(), fault.at_s);
                return Err(ScriptError::Field {
                    file: file.into(),
                    number: at + 1,
                    what,
                    at_s,
                    field,
                    why,
                });
            }
        }
        Ok(script)
    }

    /// From one fault to the next, or to the end.
    pub fn watched_s(&self, at: usize) -> f64 {
        let next = self
            .fault
            .get(at + 1)
            .map_or(self.seconds, |next| next.at_s);
        (next - self.fault[at].at_s).max(0.0)
    }
}
