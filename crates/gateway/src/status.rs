//! What waits, as rows: the same for the status query and for the command line that asks it.

use ::membership::{Node, Record};
use ::quota::{Amount, BudgetStatus, Status};
use admission::interface::Timestamp;
use scheduler::{StatementStatus, SubQueueStatus, WaitEstimate};

/// Columns of `SHOW QUEUE`.
pub const DESKS: [&str; 10] = [
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

/// Columns of `SHOW QUEUE FOR 'RID'`; no row where it does not wait.
pub const STATEMENT: [&str; 7] = [
    "rid",
    "member",
    "desk",
    "ahead",
    "waited_ms",
    "wait_ms",
    "wait_p90_ms",
];

fn ms(secs: f64) -> String {
    format!("{}", (secs * 1e3).round())
}

/// For the query class whose next statement would wait longest.
fn longest(of: &[WaitEstimate]) -> WaitEstimate {
    of.iter()
        .copied()
        .max_by(|a, b| a.median.cmp(&b.median))
        .unwrap_or_default()
}

pub fn desks(of: &[SubQueueStatus]) -> Vec<[String; DESKS.len()]> {
    let row = |desk: &SubQueueStatus| {
        let next = longest(&desk.next_waits);
        [
            desk.tenant.clone(),
            desk.sub_queue.clone(),
            desk.waiting.to_string(),
            format!("{:.3}", desk.waiting_cpu),
            format!("{:.3}", desk.budget),
            desk.rate
                .map_or("-".to_owned(), |rate| format!("{rate:.3}")),
            format!("{:.3}", desk.saved),
            ms(desk.longest_wait.secs()),
            ms(next.median.secs()),
            ms(next.p90.secs()),
        ]
    };
    of.iter().map(row).collect()
}

pub fn statement(rid: &str, of: &StatementStatus) -> [String; STATEMENT.len()] {
    let (waited, left) = (of.waited.secs(), of.remaining);
    let (member, desk) = (of.tenant.clone(), of.sub_queue.clone());
    let [waited, wait, p90] = [waited, left.median.secs(), left.p90.secs()].map(ms);
    [
        rid.to_owned(),
        member,
        desk,
        of.ahead.to_string(),
        waited,
        wait,
        p90,
    ]
}

/// Columns of `SHOW FLEET`: this gateway first, with its standing and the digest of its view, then those it holds.
/// `heard_s`: seconds since this gateway heard from any other, which is how old what it holds is while it is cut off; of another
/// one, since that answered this gateway itself. `-`: never.
pub const FLEET: [&str; 13] = [
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

pub fn fleet(now: Timestamp, of: &mut Node) -> Vec<[String; FLEET.len()]> {
    let view = of.view();
    let (digest, size) = (format!("{:016x}", view.digest), of.fleet_size().to_string());
    let (own, since, heard) = (of.local_record(), of.view_state_since(), of.last_heard());
    let own = fleet_row(
        now,
        own,
        true,
        since,
        heard,
        [of.view_state().to_string(), digest, size],
    );
    let none = || [String::new(), String::new(), String::new()];
    let others = of.members().map(|held| {
        fleet_row(
            now,
            &held.record,
            held.confirmed,
            held.changed,
            held.last_ack,
            none(),
        )
    });
    [own].into_iter().chain(others).collect()
}

/// `view`: standing, digest and size, of this gateway itself only.
fn fleet_row(
    now: Timestamp,
    record: &Record,
    known: bool,
    since: Timestamp,
    heard: Option<Timestamp>,
    view: [String; 3],
) -> [String; FLEET.len()] {
    let place = |name: &Option<::membership::Name>| {
        name.as_ref().map_or("-".to_owned(), ToString::to_string)
    };
    let ago = |at: Timestamp| format!("{:.1}", (now - at).secs());
    let [standing, digest, size] = view;
    [
        record.name.to_string(),
        record.state.to_string(),
        record.incarnation.0.to_string(),
        if known { "yes" } else { "no" }.to_owned(),
        standing,
        digest,
        size,
        record.address.to_string(),
        place(&record.locality.zone),
        place(&record.locality.region),
        ago(since),
        format!("{:016x}", record.boot_id.0),
        heard.map_or("-".to_owned(), ago),
    ]
}

/// Columns of `SHOW SHARES`: what this gateway holds of each budget; at the steward then what the others hold.
pub const SHARES: [&str; 14] = [
    "budget", "holder", "unit", "whole", "floor", "leased", "until_ms", "wanted", "spent",
    "allowed", "refused", "steward", "term", "differs",
];

pub fn shares(now: Timestamp, of: &Status) -> Vec<[String; SHARES.len()]> {
    let until =
        |until: Option<Timestamp>| until.map_or("-".to_owned(), |until| ms((until - now).secs()));
    let none = || "-".to_owned();
    let steward = of.leader.as_ref().map_or_else(none, ToString::to_string);
    let term = of.term.map_or_else(none, |term| term.to_string());
    let row = |line: &BudgetStatus,
               holder: String,
               leased: Amount,
               ends,
               wanted: f64,
               own: [String; 3],
               differs| {
        let [spent, allowed, refused] = own;
        [
            line.budget.clone(),
            holder,
            line.unit.to_owned(),
            line.capacity.to_string(),
            line.guaranteed.to_string(),
            leased.to_string(),
            until(ends),
            format!("{wanted:.3}"),
            spent,
            allowed,
            refused,
            steward.clone(),
            term.clone(),
            differs,
        ]
    };
    let own = of.budgets.iter().map(|line| {
        let spent = [
            format!("{:.3}", line.spent),
            format!("{:.3}", line.allowed),
            line.rejected.to_string(),
        ];
        row(
            line,
            of.gateway.to_string(),
            line.leased,
            line.lease_expires,
            line.wanted,
            spent,
            none(),
        )
    });
    let others = of.budgets.iter().flat_map(|line| {
        let others = line
            .holdings
            .iter()
            .filter(|holding| holding.holder.name != of.gateway);
        others.map(|of| {
            let differs = if of.config_differs { "yes" } else { "no" }.to_owned();
            let (holder, needs) = (of.holder.name.to_string(), of.demand.units());
            row(
                line,
                holder,
                of.reserved,
                of.expires,
                needs,
                [none(), none(), none()],
                differs,
            )
        })
    });
    own.chain(others).collect()
}
