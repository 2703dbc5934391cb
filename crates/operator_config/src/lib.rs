//! Reads the operator file, an HCL file with one block per subsystem. A subsystem without a block
//! is disabled. A field that is unknown, invalid or in conflict with another one is reported as one
//! error with the file, the line and the field.
//!
//! [`OperatorConfig::read`] returns the validated configuration of each subsystem. The names of the
//! file's keys are used in this crate only; the subsystems have their own names for these settings.

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

/// The blocks as they stand in the file, before validation.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct File {
    queues: Option<QueuesBlock>,
    identity: Option<IdentityBlock>,
    fleet: Option<FleetBlock>,
    shares: Option<SharesBlock>,
}

/// The validated configuration of each subsystem. A subsystem is `None` if its block is missing or
/// disabled.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// The queues of waiting statements by tenant and sub-queue, from the block `queues`. Its
    /// budgets apply to all gateways together.
    pub scheduler: Option<scheduler::Config>,
    /// Authentication of clients by token over TLS, from the block `identity`.
    pub identity: Option<IdentityConfig>,
    /// Membership of the gateway fleet, from the block `fleet`.
    pub membership: Option<MembershipConfig>,
    /// Quotas that are divided among all gateways, from the block `shares`. This block requires a
    /// `fleet` block.
    pub quota: Option<quota::Config>,
}

impl OperatorConfig {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// The file cannot be read, is not valid HCL, or has an invalid field.
    pub fn read(file: &Path) -> Result<Self, OperatorConfigError> {
        let text = std::fs::read_to_string(file)
            .map_err(|error| OperatorConfigError::Unreadable(file.into(), error))?;
        Self::parse(file, &text)
    }

    /// Parses and validates the text of a file. The path is used in error messages only.
    ///
    /// # Errors
    /// The text is not valid HCL, or has an invalid field.
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
        let (line, why, is_at_end) = match &error {
            hcl::Error::Parse(parse) => (
                parse.location().line(),
                format!("no HCL: {}", parse.message()),
                parse.location().line() >= text.lines().count(),
            ),
            other => (1, other.to_string(), false),
        };
        OperatorConfigError::Form {
            file: file.into(),
            line,
            why,
            is_at_end,
        }
    })
}

fn deserialize(body: hcl::Body) -> Result<File, FieldError> {
    let result = serde_path_to_error::deserialize(hcl::Value::from(body).into_deserializer());
    result.map_err(|error: serde_path_to_error::Error<hcl::Error>| {
        let why = error.inner().to_string();
        let steps = error.path().iter().map(ToString::to_string);
        let mut path: Vec<String> = steps.filter(|step| step != "?").collect();
        // For an unknown field, the path ends at the enclosing block. The field's name is found in
        // the message only.
        if let Some(unknown) = unknown_field(&why)
            && path.last().is_none_or(|last| last != unknown)
        {
            path.push(unknown.to_owned());
        }
        FieldError { path, why }
    })
}

/// The name of the field in serde's message about an unknown field, or `None` for other messages.
fn unknown_field(why: &str) -> Option<&str> {
    why.strip_prefix("unknown field `")?.split('`').next()
}
