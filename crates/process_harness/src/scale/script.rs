//! Scripts of faults for scale runs, in HCL.

use std::fmt;
use std::path::{Path, PathBuf};

use serde::de::value::{MapAccessDeserializer, SeqAccessDeserializer};
use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

/// The failures and restarts per day of a fleet of `DAILY_GATEWAYS` gateways.
const DAILY_FAILURES: f64 = 20.0;
const DAILY_RESTARTS: f64 = 920.0;
/// The size of the fleet to which the daily rates apply.
const DAILY_GATEWAYS: f64 = 1900.0;
const DAY_S: f64 = 86_400.0;
/// The greatest number of faults in a file.
const MAX_FAULTS: usize = 64;

/// Why a script cannot be used.
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

/// A script of faults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The length of the phase with faults, up to the end of the run, in seconds.
    pub seconds: f64,
    /// Additional lines of the `fleet` block in each operator file.
    #[serde(default)]
    pub block: String,
    /// The faults, which [`Script::parse`] sorts by time.
    #[serde(default, deserialize_with = "one_or_more")]
    pub fault: Vec<Fault>,
}

/// Deserializes one or more blocks: HCL gives a single block as a map and several of one name as a
/// list.
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

/// One fault. Fields that do not apply to its kind are ignored.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The time of the fault, in seconds after the phase without faults.
    pub at_s: f64,
    pub what: What,
    /// The duration in seconds, for a fault that lasts.
    #[serde(default)]
    pub seconds: f64,
    /// The number of gateways in a rack.
    #[serde(default = "default_rack_size")]
    pub gateways: usize,
    /// The factor by which the daily rates of failures and restarts are multiplied.
    #[serde(default = "default_compression")]
    pub compressed: f64,
    /// The probability that a datagram is lost.
    #[serde(default = "default_loss")]
    pub lost: f64,
}

fn default_rack_size() -> usize {
    40
}

fn default_compression() -> f64 {
    1.0
}

fn default_loss() -> f64 {
    1.0 / 3.0
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// One gateway crashes.
    Single,
    /// Gateways crash and restart at the daily rates, multiplied by `compressed`.
    Daily,
    /// Some gateways of one zone crash at the same time.
    Rack,
    /// All gateways of one zone crash at the same time.
    Zone,
    /// The link between two regions is cut. Both still reach the other regions.
    Regions,
    /// Datagrams between all gateways are lost at random.
    Loss,
    /// The coordinator's process is stopped by SIGSTOP and resumed later.
    CoordinatorStop,
    /// The coordinator's process is killed and started again later.
    CoordinatorKill,
    /// All gateways crash and start again within one second.
    AllAtOnce,
}

impl What {
    /// Returns whether the fault lasts for a time. Agreement is then measured from its end.
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

    /// Returns the name of the fault in scripts and reports.
    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|value| value.as_str().map(str::to_owned))
            .unwrap_or_default()
    }
}

impl Fault {
    /// Returns the failures and the restarts per second in a fleet of this size.
    pub fn daily_rates(&self, gateways: usize) -> (f64, f64) {
        let scale = gateways as f64 / DAILY_GATEWAYS * self.compressed / DAY_S;
        (DAILY_FAILURES * scale, DAILY_RESTARTS * scale)
    }

    /// Returns the first field with an unusable value and the reason, or `None` if all are usable.
    fn invalid_field(&self, watched_s: f64) -> Option<(&'static str, String)> {
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
    /// Reads a script from a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or [`Script::parse`] fails.
    pub fn read(file: &Path) -> Result<Self, ScriptError> {
        let text =
            std::fs::read_to_string(file).map_err(|e| ScriptError::Unreadable(file.into(), e))?;
        Self::parse(file, &text)
    }

    /// Parses a script and sorts its faults by time. `file` is only used in errors.
    ///
    /// # Errors
    ///
    /// The text is not a valid script, or the value of a field is not allowed.
    pub fn parse(file: &Path, text: &str) -> Result<Self, ScriptError> {
        let mut script: Script =
            hcl::from_str(text).map_err(|e| ScriptError::Form(file.into(), e.to_string()))?;
        if !(script.seconds > 0.0 && script.seconds <= 3600.0) {
            let why = format!("{} is not between 0 and 3600", script.seconds);
            return Err(ScriptError::Top(file.into(), "seconds", why));
        }
        if script.fault.len() > MAX_FAULTS {
            let why = format!("{} of them; {MAX_FAULTS} at most", script.fault.len());
            return Err(ScriptError::Top(file.into(), "fault", why));
        }
        script.fault.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        for (at, fault) in script.fault.iter().enumerate() {
            if let Some((field, why)) = fault.invalid_field(script.watched_s(at)) {
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

    /// Returns the time in seconds from a fault to the next one or to the end of the run.
    pub fn watched_s(&self, at: usize) -> f64 {
        let next = self
            .fault
            .get(at + 1)
            .map_or(self.seconds, |next| next.at_s);
        (next - self.fault[at].at_s).max(0.0)
    }
}
