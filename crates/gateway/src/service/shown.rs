//! What a session is shown of this gateway: queues, progress, the fleet, shares.

use std::net::IpAddr;

use admission::interface::{TimeDelta, Timestamp};
use bytes::Bytes;

use super::Service;
use crate::clients::protocol::Response;
use crate::clients::{ProgressSubscriber, SessionId};
use crate::cluster::ClusterEndpoint;
use crate::engines::protocol::RequestId;
use crate::status;

/// Desks that one status shows at most; those where something waits come first.
const STATUS_ROWS: usize = 1000;

impl Service {
    pub(super) fn tell_fleet(&mut self, now: Timestamp, session: SessionId, text: &Bytes) {
        let Some(cluster) = &mut self.cluster else {
            return self.unknown(now, session, text);
        };
        let rows = status::fleet(now, cluster.membership());
        let table = |response: Response| response.table(status::FLEET, &rows);
        self.clients
            .respond(now, session, &mut self.counters, table);
    }

    pub(super) fn tell_shares(&mut self, now: Timestamp, session: SessionId, text: &Bytes) {
        let Some(leases) = self
            .cluster
            .as_mut()
            .and_then(ClusterEndpoint::quota_leases)
        else {
            return self.unknown(now, session, text);
        };
        let (steady, status) = leases.status();
        let rows = status::shares(steady, &status);
        let table = |response: Response| response.table(status::SHARES, &rows);
        self.clients
            .respond(now, session, &mut self.counters, table);
    }

    pub(super) fn tell_progress(&mut self, now: Timestamp) {
        for ProgressSubscriber { session, statement } in self.clients.progress_subscribers() {
            let Some(wait) = self.scheduler.wait_progress(now, statement) else {
                continue;
            };
            let whole = wait.waited.secs() + wait.remaining.median.secs();
            let done = if whole > 0.0 {
                wait.waited.secs() / whole * 1e5
            } else {
                0.0
            };
            let text = format!("Waiting, {:.1} s more", wait.remaining.median.secs());
            self.clients
                .send_progress(now, session, done as u32, &text, &mut self.counters);
        }
    }

    pub(super) fn tell_queue(&mut self, now: Timestamp, session: SessionId, id: Option<String>) {
        self.counters.statuses_told += 1;
        let Some(id) = id else {
            let rows = status::desks(
                &self
                    .scheduler
                    .sub_queue_status(now, STATUS_ROWS)
                    .unwrap_or_default(),
            );
            let table = |response: Response| response.table(status::DESKS, &rows);
            self.clients
                .respond(now, session, &mut self.counters, table);
            return;
        };
        let statement = RequestId::try_from(id.as_bytes())
            .ok()
            .and_then(|rid| self.rids.get(&rid))
            .copied();
        let row = statement.and_then(|statement| self.scheduler.statement_status(now, statement));
        let rows: Vec<_> = row.iter().map(|row| status::statement(&id, row)).collect();
        let table = |response: Response| response.table(status::STATEMENT, &rows);
        self.clients
            .respond(now, session, &mut self.counters, table);
    }

    /// A question to what is not on is a query like any other that cannot be used.
    pub(super) fn unknown(&mut self, now: Timestamp, session: SessionId, text: &Bytes) {
        self.asked(now, session, text, IpAddr::from([0; 4]), TimeDelta::ZERO);
    }
}
