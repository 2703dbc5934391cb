//! This gateway's part of the budgets of all: words by the fleet's datagrams, what the decisions may do told as plain
//! values, and spending counted where it happens.

use ::control::Leases;
use ::membership::{BootId, Name};
use ::quota::{BudgetKind, Config, Event, FleetQuotas, HolderId, RejectReason};
use admission::interface::*;
use tracing::{info, warn};

use crate::clock::Clock;

/// What the lines spend and want of a member's budget, in predicted CPU seconds since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flow {
    pub wanted: f64,
    pub paid: f64,
}

pub struct Parts {
    quotas: FleetQuotas,
    clock: Clock,
    /// Places of budgets: further attempts by query class, members by their place in the lines.
    attempts: Vec<Option<usize>>,
    members: Vec<Option<usize>>,
    outlier_probes: Option<usize>,
    cold: Option<usize>,
    flows: Vec<Flow>,
    classes: Vec<String>,
    names: Vec<String>,
    /// Attempts taken back at the last look, for want of a share.
    pub short: u64,
}

impl Leases for Parts {
    fn quotas(&self) -> &FleetQuotas {
        &self.quotas
    }

    fn quotas_mut(&mut self) -> &mut FleetQuotas {
        &mut self.quotas
    }
}

impl Parts {
    /// `members`: as the lines number them.
    pub fn new(
        clock: Clock,
        name: Name,
        life: BootId,
        config: Config,
        classes: &[String],
        members: &[String],
        seed: u64,
    ) -> Self {
        let now = clock.boottime_now();
        let id = HolderId {
            name,
            boot_id: life,
        };
        let quotas = FleetQuotas::new(now, id, config, seed);
        let mut parts = Parts {
            quotas,
            clock,
            attempts: Vec::new(),
            members: Vec::new(),
            outlier_probes: None,
            cold: None,
            flows: vec![Flow::default(); members.len()],
            classes: classes.to_vec(),
            names: members.to_vec(),
            short: 0,
        };
        parts.place();
        parts
    }

    fn place(&mut self) {
        let find = |kind: BudgetKind| self.quotas.budget_index(&kind);
        self.attempts = self
            .classes
            .iter()
            .map(|class| find(BudgetKind::Retries(class.clone())))
            .collect();
        self.members = self
            .names
            .iter()
            .map(|member| find(BudgetKind::Tenant(member.clone())))
            .collect();
        (self.outlier_probes, self.cold) =
            (find(BudgetKind::OutlierProbes), find(BudgetKind::SlowStart));
    }

    /// Other budgets, and members as the lines now number them. What else differs waits for a restart; it is named.
    pub fn change(&mut self, config: Config, members: &[String]) -> Vec<&'static str> {
        let old = self.quotas.participant().config();
        let same = [
            ("voters", old.voters == config.voters),
            ("most_gateways", old.max_gateways == config.max_gateways),
            ("lease_ms", old.lease_duration == config.lease_duration),
            ("term_ms", old.term_duration == config.term_duration),
            ("drift", old.drift_ppm == config.drift_ppm),
        ];
        let kept = same
            .into_iter()
            .filter(|(_, same)| !same)
            .map(|(name, _)| name)
            .collect();
        let steady = self.clock.boottime_now();
        self.quotas.reconfigure(steady, config);
        let flow = |name: &String| {
            let was = self.names.iter().position(|was| was == name);
            was.map_or(Flow::default(), |was| self.flows[was])
        };
        self.flows = members.iter().map(flow).collect();
        self.names = members.to_vec();
        self.place();
        kept
    }

    /// What the decisions may do until they are told anew. `carries`: this gateway's traffic, in shares of one.
    pub fn allowed(&mut self, carries: f64, peers: f64, benched: usize) -> QuotaGrant {
        let steady = self.clock.boottime_now();
        let left = |quotas: &mut FleetQuotas, at: usize| quotas.available_units(steady, at);
        let retries = self
            .attempts
            .iter()
            .map(|at| at.map(|at| left(&mut self.quotas, at)))
            .collect::<Vec<_>>();
        let outlier_probes = self.outlier_probes.map(|at| {
            self.quotas.set_demand(steady, at, benched as f64);
            left(&mut self.quotas, at)
        });
        let slow_start = self.cold.map(|at| {
            // As much of every cold engine as it has of the traffic.
            self.quotas
                .set_demand(steady, at, (carries / peers).min(1.0));
            self.quotas.rate(steady, at)
        });
        QuotaGrant {
            retries,
            outlier_probes,
            slow_start,
        }
    }

    /// An attempt that is to go: further ones and trials are paid for here, by the clock as it is now. False: what the
    /// decisions were told is over by now.
    pub fn spend(&mut self, class: usize, again: bool, outlier_probe: bool) -> bool {
        let steady = self.clock.boottime_now();
        let attempt = self
            .attempts
            .get(class)
            .copied()
            .flatten()
            .filter(|_| again);
        let uses = attempt
            .into_iter()
            .chain(self.outlier_probes.filter(|_| outlier_probe));
        let uses: Vec<usize> = uses.collect();
        let there = uses
            .iter()
            .all(|at| self.quotas.can_spend(steady, *at, 1.0));
        if there {
            uses.into_iter()
                .for_each(|at| self.quotas.record_spent(steady, at, 1.0));
        } else {
            self.short += 1;
        }
        there
    }

    /// An attempt failed: one more is wanted, whether or not it can be had.
    pub fn wants_relay(&mut self, class: usize) {
        let steady = self.clock.boottime_now();
        if let Some(at) = self.attempts.get(class).copied().flatten() {
            self.quotas.record_demand(steady, at, 1.0);
        }
    }

    /// Takes in what the lines spent and wanted since the last look, and gives each member's rate; none where its budget
    /// is not divided here.
    pub fn members(&mut self, flows: &[Flow]) -> Vec<Option<f64>> {
        let steady = self.clock.boottime_now();
        let mut rates = Vec::with_capacity(self.members.len());
        for (member, at) in self.members.clone().into_iter().enumerate() {
            let Some(at) = at else {
                rates.push(None);
                continue;
            };
            let flow = flows.get(member).copied().unwrap_or_default();
            let before = std::mem::replace(&mut self.flows[member], flow);
            self.quotas
                .record_demand(steady, at, flow.wanted - before.wanted);
            self.quotas
                .record_spent(steady, at, flow.paid - before.paid);
            rates.push(Some(self.quotas.rate(steady, at)));
        }
        rates
    }

    pub fn divides_members(&self) -> bool {
        self.members.iter().any(Option::is_some)
    }

    pub fn status(&mut self) -> (Timestamp, ::quota::Status) {
        let steady = self.clock.boottime_now();
        (steady, self.quotas.status(steady))
    }

    /// As the other counters are printed.
    pub fn counters(&mut self) -> String {
        let (_, status) = self.status();
        let mut text = format!(
            "shares_sent={} shares_taken={} shares_short={} shares_steward={} ",
            self.quotas.metrics().sent,
            self.quotas.metrics().accepted,
            self.short,
            u8::from(status.is_leader)
        );
        for (reason, name) in [
            (RejectReason::Malformed, "form"),
            (RejectReason::NotAVoter, "no_voter"),
            (RejectReason::Unsolicited, "unasked"),
            (RejectReason::Stale, "old"),
        ] {
            let count = self
                .quotas
                .metrics()
                .rejected
                .get(&reason)
                .copied()
                .unwrap_or(0);
            text += &format!("shares_refused_{name}={count} ");
        }
        for budget in &status.budgets {
            let name = budget.budget.replace(['.', '-'], "_");
            text += &format!(
                "shares_{name}_spent_milli={} shares_{name}_allowed_milli={} shares_{name}_refused={} ",
                (budget.spent * 1e3) as i64,
                (budget.allowed * 1e3) as i64,
                budget.rejected
            );
        }
        text
    }

    /// Tells the log what became of the leases.
    pub fn log(&mut self) {
        for event in self.quotas.take_events() {
            match event {
                Event::BecameLeader { term } => {
                    info!(number = term, "shares: this gateway is steward")
                }
                Event::LostLeadership => warn!("shares: this gateway is steward no more"),
                Event::LeaseAcquired { leader } => info!(steward = %leader, "shares: leased"),
                Event::LeaseExpired => {
                    warn!("shares: the lease is over and not renewed; floors alone")
                }
                Event::ClocksDrift(of) => {
                    let of: Vec<String> = of.iter().map(ToString::to_string).collect();
                    warn!(
                        of = of.join(", "),
                        "shares: clocks run further off than is told; these have their floors alone"
                    );
                }
                Event::ConfigsDiffer(of) => {
                    let of: Vec<String> = of
                        .iter()
                        .map(|difference| format!("{}: {}", difference.gateway, difference.budget))
                        .collect();
                    warn!(
                        of = of.join(", "),
                        "shares: files differ; the smaller whole of a voter counts"
                    );
                }
            }
        }
    }
}
