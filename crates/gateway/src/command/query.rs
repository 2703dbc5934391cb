//! `laurelhitch queue`, `fleet` and `shares`: connect to a running gateway as a client and print
//! its answer to a `SHOW` query.

use std::error::Error;
use std::net::SocketAddr;

use client::{Answer, Client};

use super::CommandResult;
use super::table::{OutputFormat, print_table};
use crate::status;

type Rows = Vec<Vec<String>>;

/// `laurelhitch queue`: prints all sub-queues, the sub-queues of one tenant, or one statement.
pub(super) fn queue(
    address: SocketAddr,
    tenant: Option<&str>,
    request_id: Option<&str>,
    format: OutputFormat,
) -> CommandResult {
    let (columns, query): (&[&str], String) = match request_id {
        Some(request_id) => (
            &status::STATEMENT_COLUMNS,
            format!("SHOW QUEUE FOR '{request_id}'"),
        ),
        None => (&status::SUB_QUEUE_COLUMNS, "SHOW QUEUE".to_owned()),
    };
    let mut rows = show(address, &query, "has no queues")?;
    if let Some(tenant) = tenant {
        rows.retain(|row| row.first().is_some_and(|name| name == tenant));
    }
    print_table(columns, &rows, format)
}

/// `laurelhitch fleet`: prints the other gateways that a gateway knows.
pub(super) fn fleet(address: SocketAddr, format: OutputFormat) -> CommandResult {
    let if_off = "knows no other gateways: its fleet is off";
    let rows = show(address, "SHOW FLEET", if_off)?;
    print_table(&status::FLEET_COLUMNS, &rows, format)
}

/// `laurelhitch shares`: prints the quotas that a gateway knows.
pub(super) fn shares(address: SocketAddr, format: OutputFormat) -> CommandResult {
    let if_off = "divides no budgets: its shares are off";
    let rows = show(address, "SHOW SHARES", if_off)?;
    print_table(&status::QUOTA_COLUMNS, &rows, format)
}

/// Sends a query to a gateway and returns the rows of its answer.
///
/// Fails if the gateway cannot be reached or answers with anything else. A gateway answers with an
/// error if the subsystem is off, so `if_off` is the message for every error answer.
fn show(address: SocketAddr, query: &str, if_off: &str) -> Result<Rows, Box<dyn Error>> {
    match Client::login(address)?.ask(query)? {
        Answer::Rows(rows) => Ok(rows),
        Answer::Error(..) => Err(format!("{address} {if_off}").into()),
        other => Err(format!("{address} sent an unexpected answer: {other:?}").into()),
    }
}
