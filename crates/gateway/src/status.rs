//! What operators can see of this gateway, as rows of text. The answers to `SHOW` statements and
//! the command line that sends them use the same rows. The column names and the texts of values are
//! an interface and never change.

use ::membership::{MemberSummary, Name, Node, Record};
use ::quota::{Amount, BudgetStatus, Holding, Status};
use admission::interface::Timestamp;
use scheduler::{StatementStatus, SubQueueStatus, WaitEstimate};

/// Columns of `SHOW QUEUE`, which has one row per sub-queue.
pub const SUB_QUEUE_COLUMNS: [&str; 10] = [
    "member",
    "desk",
    "waiting",
    "waiting_cpu_s",
    "budget_cpu_s_per_s",
    "rate_cpu_s_per_s",
    "saved_cpu_s",
    "longest_ms",
    "next_wait_ms",
    "next_wait_p90_ms",
];

/// Columns of `SHOW QUEUE FOR 'RID'`. The result is empty for a statement that is not queued.
pub const STATEMENT_COLUMNS: [&str; 7] = [
    "rid",
    "member",
    "desk",
    "ahead",
    "waited_ms",
    "wait_ms",
    "wait_p90_ms",
];

/// Columns of `SHOW FLEET`. The first row is this gateway, with its view state and the digest of
/// its view. The other rows are the members that it knows.
///
/// `heard_s` is a number of seconds. In the first row it is the time since this gateway heard from
/// any other one, which is the age of its view while it is partitioned. In other rows it is the
/// time since that member acknowledged a probe of this gateway. `-` stands for never.
pub const FLEET_COLUMNS: [&str; 13] = [
    "name",
    "state",
    "incarnation",
    "known",
    "standing",
    "digest",
    "size",
    "address",
    "zone",
    "region",
    "since_s",
    "life",
    "heard_s",
];

/// Columns of `SHOW SHARES`: what this gateway holds of each budget, followed at the leader by what
/// the other gateways hold.
pub const QUOTA_COLUMNS: [&str; 14] = [
    "budget", "holder", "unit", "whole", "floor", "leased", "until_ms", "wanted", "spent",
    "allowed", "refused", "steward", "term", "differs",
];

/// The text for a missing value.
const NO_VALUE: &str = "-";

fn milliseconds(secs: f64) -> String {
    format!("{}", (secs * 1e3).round())
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

fn text_or_none<T: ToString>(value: Option<T>) -> String {
    match value {
        Some(value) => value.to_string(),
        None => NO_VALUE.to_owned(),
    }
}

/// Returns the estimate for the query class whose next statement would wait longest.
fn longest_wait(estimates: &[WaitEstimate]) -> WaitEstimate {
    estimates
        .iter()
        .copied()
        .max_by(|a, b| a.median.cmp(&b.median))
        .unwrap_or_default()
}

/// Returns the rows of `SHOW QUEUE`.
#[must_use]
pub fn sub_queue_rows(sub_queues: &[SubQueueStatus]) -> Vec<[String; SUB_QUEUE_COLUMNS.len()]> {
    sub_queues.iter().map(sub_queue_row).collect()
}

fn sub_queue_row(status: &SubQueueStatus) -> [String; SUB_QUEUE_COLUMNS.len()] {
    let next_wait = longest_wait(&status.next_waits);
    [
        status.tenant.clone(),
        status.sub_queue.clone(),
        status.waiting.to_string(),
        format!("{:.3}", status.waiting_cpu),
        format!("{:.3}", status.budget),
        text_or_none(status.rate.map(|rate| format!("{rate:.3}"))),
        format!("{:.3}", status.saved),
        milliseconds(status.longest_wait.secs()),
        milliseconds(next_wait.median.secs()),
        milliseconds(next_wait.p90.secs()),
    ]
}

/// Returns the row of `SHOW QUEUE FOR 'RID'`.
#[must_use]
pub fn statement_row(rid: &str, status: &StatementStatus) -> [String; STATEMENT_COLUMNS.len()] {
    [
        rid.to_owned(),
        status.tenant.clone(),
        status.sub_queue.clone(),
        status.ahead.to_string(),
        milliseconds(status.waited.secs()),
        milliseconds(status.remaining.median.secs()),
        milliseconds(status.remaining.p90.secs()),
    ]
}

/// The cells of `SHOW FLEET` that describe this gateway's view. Other rows leave them empty.
#[derive(Default)]
struct ViewCells {
    state: String,
    digest: String,
    size: String,
}

/// Returns the rows of `SHOW FLEET`.
#[must_use]
pub fn fleet_rows(now: Timestamp, membership: &mut Node) -> Vec<[String; FLEET_COLUMNS.len()]> {
    let digest = membership.view().digest;
    let view = ViewCells {
        state: membership.view_state().to_string(),
        digest: format!("{digest:016x}"),
        size: membership.fleet_size().to_string(),
    };
    let local = MemberSummary {
        record: membership.local_record().clone(),
        confirmed: true,
        changed: membership.view_state_since(),
        last_ack: membership.last_heard(),
    };
    let mut rows = vec![fleet_row(now, &local, view)];
    let others = membership.members();
    rows.extend(others.map(|member| fleet_row(now, &member, ViewCells::default())));
    rows
}

fn fleet_row(
    now: Timestamp,
    member: &MemberSummary,
    view: ViewCells,
) -> [String; FLEET_COLUMNS.len()] {
    let age_s = |time: Timestamp| format!("{:.1}", (now - time).secs());
    let Record {
        name,
        state,
        incarnation,
        address,
        locality,
        boot_id,
        ..
    } = &member.record;
    [
        name.to_string(),
        state.to_string(),
        incarnation.0.to_string(),
        yes_or_no(member.confirmed),
        view.state,
        view.digest,
        view.size,
        address.to_string(),
        text_or_none(locality.zone.as_ref()),
        text_or_none(locality.region.as_ref()),
        age_s(member.changed),
        format!("{:016x}", boot_id.0),
        text_or_none(member.last_ack.map(age_s)),
    ]
}

/// The cells of `SHOW SHARES` for one holder of a budget.
struct HolderCells<'a> {
    holder: &'a Name,
    leased: Amount,
    lease_expires: Option<Timestamp>,
    wanted: f64,
    spent: String,
    allowed: String,
    rejected: String,
    differs: String,
}

impl<'a> HolderCells<'a> {
    fn of_this_gateway(status: &'a Status, budget: &BudgetStatus) -> Self {
        HolderCells {
            holder: &status.gateway,
            leased: budget.leased,
            lease_expires: budget.lease_expires,
            wanted: budget.wanted,
            spent: format!("{:.3}", budget.spent),
            allowed: format!("{:.3}", budget.allowed),
            rejected: budget.rejected.to_string(),
            differs: NO_VALUE.to_owned(),
        }
    }

    fn of_another(holding: &'a Holding) -> Self {
        HolderCells {
            holder: &holding.holder.name,
            leased: holding.reserved,
            lease_expires: holding.expires,
            wanted: holding.demand.units(),
            spent: NO_VALUE.to_owned(),
            allowed: NO_VALUE.to_owned(),
            rejected: NO_VALUE.to_owned(),
            differs: yes_or_no(holding.config_differs),
        }
    }
}

/// Returns the rows of `SHOW SHARES`. `now` is the time since boot at which the status was taken.
#[must_use]
pub fn quota_rows(now: Timestamp, status: &Status) -> Vec<[String; QUOTA_COLUMNS.len()]> {
    let mut rows = Vec::new();
    for budget in &status.budgets {
        let cells = HolderCells::of_this_gateway(status, budget);
        rows.push(quota_row(now, status, budget, cells));
    }
    for budget in &status.budgets {
        for holding in &budget.holdings {
            if holding.holder.name != status.gateway {
                rows.push(quota_row(
                    now,
                    status,
                    budget,
                    HolderCells::of_another(holding),
                ));
            }
        }
    }
    rows
}

fn quota_row(
    now: Timestamp,
    status: &Status,
    budget: &BudgetStatus,
    cells: HolderCells<'_>,
) -> [String; QUOTA_COLUMNS.len()] {
    let remaining = |expires: Timestamp| milliseconds((expires - now).secs());
    [
        budget.budget.clone(),
        cells.holder.to_string(),
        budget.unit.to_owned(),
        budget.capacity.to_string(),
        budget.guaranteed.to_string(),
        cells.leased.to_string(),
        text_or_none(cells.lease_expires.map(remaining)),
        format!("{:.3}", cells.wanted),
        cells.spent,
        cells.allowed,
        cells.rejected,
        text_or_none(status.leader.as_ref()),
        text_or_none(status.term),
        cells.differs,
    ]
}
