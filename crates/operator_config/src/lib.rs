//! The operator's file: HCL, in blocks by subsystem, each off until its block is written. A field that is not known, cannot be used
//! or contradicts another is one error that names file, line and field.
//!
//! [`OperatorConfig::read`] gives each subsystem's own configuration, checked. The keys are the operators' words; they end here.

mod block;
mod error;
mod fleet_block;
mod identity_block;
mod location;
mod queues_block;
mod shares_block;

use std::path::Path;

use serde::Deserialize;
use serde::de::IntoDeserializer;

pub use error::{FieldError, OperatorConfigError};
pub use fleet_block::MembershipConfig;
pub use identity_block::IdentityConfig;
pub use queues_block::QueuesBlock;

use fleet_block::FleetBlock;
use identity_block::IdentityBlock;
use shares_block::SharesBlock;

/// The blocks as they are written.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct File {
    queues: Option<QueuesBlock>,
    identity: Option<IdentityBlock>,
    fleet: Option<FleetBlock>,
    shares: Option<SharesBlock>,
}

/// What the file configures; a subsystem without a block, or with one that is switched off, is `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Waiting statements by tenant and sub-queue: the block `queues`. Budgets are those of all gateways together.
    pub scheduler: Option<scheduler::Config>,
    /// Callers by token within TLS: the block `identity`.
    pub identity: Option<IdentityConfig>,
    /// Gateways that know each other: the block `fleet`.
    pub membership: Option<MembershipConfig>,
    /// Quotas that are divided among all gateways: the block `shares`, which needs a block `fleet`.
    pub quota: Option<quota::Config>,
}

impl OperatorConfig {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The file cannot be read, is no HCL, or a field of it cannot be used.
    pub fn read(file: &Path) -> Result<Self, OperatorConfigError> {
        let text = std::fs::read_to_string(file)
            .map_err(|error| OperatorConfigError::Unreadable(file.into(), error))?;
        Self::parse(file, &text)
    }

    /// Checks the text of a file, whose path stands in errors only.
    ///
    /// # Errors
    /// The text is no HCL, or a field of it cannot be used.
    pub fn parse(file: &Path, text: &str) -> Result<Self, OperatorConfigError> {
        let body = parse_hcl(file, text)?;
        let located = |error: FieldError| OperatorConfigError::Field {
            file: file.into(),
            line: location::line_of_field(text, &error.path),
            field: error.path.join("."),
            why: error.why,
        };
        deserialize(body).and_then(File::check).map_err(located)
    }
}

impl File {
    fn check(self) -> Result<OperatorConfig, FieldError> {
        let scheduler = match self.queues {
            Some(block) => block.check()?,
            None => None,
        };
        let identity = match self.identity {
            Some(block) => block.check()?,
            None => None,
        };
        let membership = match self.fleet {
            Some(block) => block.check()?,
            None => None,
        };
        let quota = match self.shares {
            Some(block) => block.check(scheduler.as_ref())?,
            None => None,
        };
        if quota.is_some() && membership.is_none() {
            let why =
                "budgets are divided only where gateways know each other: a fleet block is needed";
            return Err(FieldError::new(&["shares"], why));
        }
        Ok(OperatorConfig {
            scheduler,
            identity,
            membership,
            quota,
        })
    }
}

fn parse_hcl(file: &Path, text: &str) -> Result<hcl::Body, OperatorConfigError> {
    hcl::parse(text).map_err(|error| {
        let (line, why) = match &error {
            hcl::Error::Parse(parse) => (
                parse.location().line(),
                format!("no HCL: {}", parse.message()),
            ),
            other => (1, other.to_string()),
        };
        OperatorConfigError::Form {
            file: file.into(),
            line,
            why,
        }
    })
}

fn deserialize(body: hcl::Body) -> Result<File, FieldError> {
    let read = serde_path_to_error::deserialize(hcl::Value::from(body).into_deserializer());
    read.map_err(|error: serde_path_to_error::Error<hcl::Error>| {
        let why = error.inner().to_string();
        let steps = error.path().iter().map(ToString::to_string);
        let mut path: Vec<String> = steps.filter(|step| step != "?").collect();
        // The path ends at the block that holds an unknown field; its message has the name.
        if let Some(unknown) = unknown_field(&why)
            && path.last().is_none_or(|last| last != unknown)
        {
            path.push(unknown.to_owned());
        }
        FieldError { path, why }
    })
}

fn unknown_field(why: &str) -> Option<&str> {
    why.strip_prefix("unknown field `")?.split('`').next()
}
