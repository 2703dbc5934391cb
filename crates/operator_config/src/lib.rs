//! The operator's file: HCL, in blocks by subsystem. A field that is not known, cannot be used or contradicts another
//! is one error that names file, line and field. Without a file, or without its block, a subsystem is off.

mod fleet_block;
mod identity_block;
mod place;
mod queues_block;
mod shares_block;

pub use fleet_block::FleetTerms;
pub use identity_block::Callers;
pub use queues_block::Queues as QueuesBlock;

use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde::de::IntoDeserializer;
use thiserror::Error;

/// Why a file cannot be used.
#[derive(Debug, Error)]
pub enum OperatorError {
    #[error("{0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    /// `line` counts from one.
    #[error("{file}:{line}: {field}: {why}", file = .file.display())]
    Field {
        file: PathBuf,
        line: usize,
        field: String,
        why: String,
    },
    #[error("{file}:{line}: {why}", file = .file.display())]
    Form {
        file: PathBuf,
        line: usize,
        why: String,
    },
}

/// A fault of one field, by its path from the top.
#[derive(Debug, PartialEq)]
pub struct Fault {
    pub path: Vec<String>,
    pub why: String,
}

fn yes() -> bool {
    true
}

fn within(
    path: &[&str],
    value: Option<f64>,
    default: f64,
    least: f64,
    most: f64,
) -> Result<f64, Fault> {
    let value = value.unwrap_or(default);
    let usable = value.is_finite() && (least..=most).contains(&value);
    if usable {
        Ok(value)
    } else {
        Err(fault(
            path,
            format!("{value} is not between {least} and {most}"),
        ))
    }
}

fn fault(path: &[&str], why: impl ToString) -> Fault {
    Fault {
        path: path.iter().map(|step| step.to_string()).collect(),
        why: why.to_string(),
    }
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct File {
    queues: Option<queues_block::Queues>,
    identity: Option<identity_block::Identity>,
    fleet: Option<fleet_block::Fleet>,
    shares: Option<shares_block::Shares>,
}

/// What the file says, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// Budgets of all gateways together.
    pub queues: Option<scheduler::Config>,
    pub identity: Option<Callers>,
    pub fleet: Option<FleetTerms>,
    /// Budgets that are divided among all; only where gateways know each other.
    pub shares: Option<quota::Config>,
}

impl Operator {
    /// # Errors
    /// The file cannot be read, is no HCL, or a field of it cannot be used.
    pub fn read(file: &Path) -> Result<Self, OperatorError> {
        let text =
            std::fs::read_to_string(file).map_err(|e| OperatorError::Unreadable(file.into(), e))?;
        Self::parse(file, &text)
    }

    /// `file`: for errors only.
    pub fn parse(file: &Path, text: &str) -> Result<Self, OperatorError> {
        let form = |line, why: String| OperatorError::Form {
            file: file.into(),
            line,
            why,
        };
        let body = hcl::parse(text).map_err(|error| match &error {
            hcl::Error::Parse(parse) => form(
                parse.location().line(),
                format!("no HCL: {}", parse.message()),
            ),
            other => form(1, other.to_string()),
        })?;
        let read: Result<File, _> =
            serde_path_to_error::deserialize(hcl::Value::from(body).into_deserializer());
        let located = |fault: Fault| OperatorError::Field {
            file: file.into(),
            line: place::line(text, &fault.path),
            field: fault.path.join("."),
            why: fault.why,
        };
        let read = read.map_err(|error| {
            let path: Vec<String> = error.path().iter().map(|step| step.to_string()).collect();
            let why = error.inner().to_string();
            // The path ends at the block that holds an unknown field; its message has the name.
            let unknown = why
                .strip_prefix("unknown field `")
                .and_then(|rest| rest.split('`').next());
            let path = path.into_iter().filter(|step| step != "?");
            let mut path: Vec<String> = path.collect();
            if let Some(unknown) =
                unknown.filter(|unknown| path.last().is_none_or(|last| last != unknown))
            {
                path.push(unknown.to_owned());
            }
            located(Fault { path, why })
        })?;
        let queues = read
            .queues
            .map(queues_block::Queues::terms)
            .transpose()
            .map_err(&located)?
            .flatten();
        let identity = read
            .identity
            .map(identity_block::Identity::callers)
            .transpose()
            .map_err(&located)?
            .flatten();
        let fleet = read
            .fleet
            .map(fleet_block::Fleet::terms)
            .transpose()
            .map_err(&located)?
            .flatten();
        let of = queues.as_ref();
        let shares = read
            .shares
            .map(|block| block.terms(of))
            .transpose()
            .map_err(&located)?
            .flatten();
        if shares.is_some() && fleet.is_none() {
            let why =
                "budgets are divided only where gateways know each other: a fleet block is needed";
            return Err(located(fault(&["shares"], why)));
        }
        Ok(Operator {
            queues,
            identity,
            fleet,
            shares,
        })
    }
}
