//! The answers to `SHOW QUEUE`, `SHOW FLEET` and `SHOW SHARES`, and the progress reports to waiting
//! clients.

use std::net::IpAddr;

use admission::interface::{TimeDelta, Timestamp};
use bytes::Bytes;

use super::Service;
use crate::clients::protocol::Response;
use crate::clients::{ProgressSubscriber, SessionId};
use crate::cluster::ClusterEndpoint;
use crate::engines::protocol::RequestId;
use crate::status;

/// The maximum number of sub-queues in the answer to `SHOW QUEUE`; those with waiting statements
/// come first.
const MAX_STATUS_ROWS: usize = 1000;

/// The value of a completed stage in a progress report, whose unit is a thousandth of a percent.
const STAGE_COMPLETE: f64 = 1e5;

impl Service {
    /// Answers `SHOW FLEET`.
    pub(super) fn show_fleet(&mut self, now: Timestamp, session: SessionId, query: &Bytes) {
        let Some(cluster) = &mut self.cluster else {
            self.on_unsupported_show(now, session, query);
            return;
        };
        let rows = status::fleet_rows(now, cluster.membership());
        self.respond_table(now, session, status::FLEET_COLUMNS, &rows);
    }

    /// Answers `SHOW SHARES`.
    pub(super) fn show_shares(&mut self, now: Timestamp, session: SessionId, query: &Bytes) {
        let Some(leases) = self
            .cluster
            .as_mut()
            .and_then(ClusterEndpoint::quota_leases)
        else {
            self.on_unsupported_show(now, session, query);
            return;
        };
        let (lease_clock_now, shares) = leases.status();
        let rows = status::quota_rows(lease_clock_now, &shares);
        self.respond_table(now, session, status::QUOTA_COLUMNS, &rows);
    }

    /// Answers `SHOW QUEUE`, or `SHOW QUEUE FOR` if there is a request id.
    pub(super) fn show_queue(
        &mut self,
        now: Timestamp,
        session: SessionId,
        request_id: Option<&str>,
    ) {
        self.counters.queue_status_queries += 1;
        match request_id {
            None => self.show_sub_queues(now, session),
            Some(request_id) => self.show_queued_statement(now, session, request_id),
        }
    }

    fn show_sub_queues(&mut self, now: Timestamp, session: SessionId) {
        let sub_queues = self.scheduler.sub_queue_status(now, MAX_STATUS_ROWS);
        let rows = status::sub_queue_rows(&sub_queues.unwrap_or_default());
        self.respond_table(now, session, status::SUB_QUEUE_COLUMNS, &rows);
    }

    /// Answers with one row for a waiting statement, and with no row if the statement does not
    /// wait.
    fn show_queued_statement(&mut self, now: Timestamp, session: SessionId, request_id: &str) {
        let id = RequestId::try_from(request_id.as_bytes())
            .ok()
            .and_then(|request_id| self.statements.find(&request_id));
        let queued = id.and_then(|id| self.scheduler.statement_status(now, id));
        let rows: Vec<_> = queued
            .iter()
            .map(|queued| status::statement_row(request_id, queued))
            .collect();
        self.respond_table(now, session, status::STATEMENT_COLUMNS, &rows);
    }

    /// Sends progress reports to the clients that support them and whose statement waits.
    pub(super) fn send_progress_reports(&mut self, now: Timestamp) {
        for ProgressSubscriber { session, statement } in self.sessions.progress_subscribers() {
            let Some(progress) = self.scheduler.wait_progress(now, statement) else {
                continue;
            };
            let waited_s = progress.waited.secs();
            let remaining_s = progress.remaining.median.secs();
            let total_s = waited_s + remaining_s;
            let done = if total_s > 0.0 {
                waited_s / total_s * STAGE_COMPLETE
            } else {
                0.0
            };
            let text = format!("Waiting, {remaining_s:.1} s more");
            self.sessions
                .send_progress(now, session, done as u32, &text, &mut self.counters);
        }
    }

    /// Handles a `SHOW` of a feature that is not enabled like any other statement, so that the
    /// client gets the error of an invalid statement.
    pub(super) fn on_unsupported_show(
        &mut self,
        now: Timestamp,
        session: SessionId,
        query: &Bytes,
    ) {
        let unspecified = IpAddr::from([0; 4]);
        self.on_statement(now, session, query, unspecified, TimeDelta::ZERO);
    }

    fn respond_table<const COLUMNS: usize>(
        &mut self,
        now: Timestamp,
        session: SessionId,
        columns: [&str; COLUMNS],
        rows: &[[String; COLUMNS]],
    ) {
        let table = |response: Response| response.table(columns, rows);
        self.sessions
            .respond(now, session, &mut self.counters, table);
    }
}
