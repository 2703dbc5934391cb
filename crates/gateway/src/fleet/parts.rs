//! This gateway's part of the budgets of all: words by the fleet's datagrams, what the decisions may do told as plain
//! values, and spending counted where it happens.

use ::control::Leases;
use ::membership::{Life, Name};
use ::quota::{Event, Refused, Shares, Terms, Use, Who};
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
    shares: Shares,
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
    fn shares(&self) -> &Shares {
        &self.shares
    }

    fn shares_mut(&mut self) -> &mut Shares {
        &mut self.shares
    }
}

impl Parts {
    /// `members`: as the lines number them.
    pub fn new(
        clock: Clock,
        name: Name,
        life: Life,
        terms: Terms,
        classes: &[String],
        members: &[String],
        seed: u64,
    ) -> Self {
        let now = clock.boottime_now();
        let shares = Shares::new(now, Who { name, life }, terms, seed);
        let mut parts = Parts {
            shares,
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
        let find = |of: Use| self.shares.find(&of);
        self.attempts = self
            .classes
            .iter()
            .map(|class| find(Use::Relays(class.clone())))
            .collect();
        self.members = self
            .names
            .iter()
            .map(|member| find(Use::Member(member.clone())))
            .collect();
        (self.outlier_probes, self.cold) = (find(Use::Trials), find(Use::Cold));
    }

    /// Other budgets, and members as the lines now number them. What else differs waits for a restart; it is named.
    pub fn change(&mut self, terms: Terms, members: &[String]) -> Vec<&'static str> {
        let old = self.shares.core().terms();
        let same = [
            ("voters", old.voters == terms.voters),
            ("most_gateways", old.most == terms.most),
            ("lease_ms", old.lease == terms.lease),
            ("term_ms", old.term == terms.term),
            ("drift", old.drift_ppm == terms.drift_ppm),
        ];
        let kept = same
            .into_iter()
            .filter(|(_, same)| !same)
            .map(|(name, _)| name)
            .collect();
        let steady = self.clock.boottime_now();
        self.shares.change(steady, terms);
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
        let left = |shares: &mut Shares, at: usize| shares.left(steady, at);
        let retries = self
            .attempts
            .iter()
            .map(|at| at.map(|at| left(&mut self.shares, at)))
            .collect::<Vec<_>>();
        let outlier_probes = self.outlier_probes.map(|at| {
            self.shares.needs_at(steady, at, benched as f64);
            left(&mut self.shares, at)
        });
        let slow_start = self.cold.map(|at| {
            // As much of every cold engine as it has of the traffic.
            self.shares.needs_at(steady, at, (carries / peers).min(1.0));
            self.shares.rate(steady, at)
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
        let there = uses.iter().all(|at| self.shares.room(steady, *at, 1.0));
        if there {
            uses.into_iter()
                .for_each(|at| self.shares.spent(steady, at, 1.0));
        } else {
            self.short += 1;
        }
        there
    }

    /// An attempt failed: one more is wanted, whether or not it can be had.
    pub fn wants_relay(&mut self, class: usize) {
        let steady = self.clock.boottime_now();
        if let Some(at) = self.attempts.get(class).copied().flatten() {
            self.shares.wants(steady, at, 1.0);
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
            self.shares.wants(steady, at, flow.wanted - before.wanted);
            self.shares.spent(steady, at, flow.paid - before.paid);
            rates.push(Some(self.shares.rate(steady, at)));
        }
        rates
    }

    pub fn divides_members(&self) -> bool {
        self.members.iter().any(Option::is_some)
    }

    pub fn status(&mut self) -> (Timestamp, ::quota::Status) {
        let steady = self.clock.boottime_now();
        (steady, self.shares.status(steady))
    }

    /// As the other counters are printed.
    pub fn counters(&mut self) -> String {
        let (_, status) = self.status();
        let mut text = format!(
            "shares_sent={} shares_taken={} shares_short={} shares_steward={} ",
            self.shares.sent,
            self.shares.taken,
            self.short,
            u8::from(status.is_steward)
        );
        for (why, name) in [
            (Refused::Form, "form"),
            (Refused::NoVoter, "no_voter"),
            (Refused::Unasked, "unasked"),
            (Refused::Old, "old"),
        ] {
            let count = self.shares.refused.get(&why).copied().unwrap_or(0);
            text += &format!("shares_refused_{name}={count} ");
        }
        for line in &status.lines {
            let name = line.budget.replace(['.', '-'], "_");
            text += &format!(
                "shares_{name}_spent_milli={} shares_{name}_allowed_milli={} shares_{name}_refused={} ",
                (line.spent * 1e3) as i64,
                (line.allowed * 1e3) as i64,
                line.refused
            );
        }
        text
    }

    /// Tells the log what became of the leases.
    pub fn log(&mut self) {
        for event in self.shares.take_events() {
            match event {
                Event::Chosen(number) => info!(number, "shares: this gateway is steward"),
                Event::Over => warn!("shares: this gateway is steward no more"),
                Event::Leased(by) => info!(steward = %by, "shares: leased"),
                Event::Floors => warn!("shares: the lease is over and not renewed; floors alone"),
                Event::Drift(of) => {
                    let of: Vec<String> = of.iter().map(ToString::to_string).collect();
                    warn!(
                        of = of.join(", "),
                        "shares: clocks run further off than is told; these have their floors alone"
                    );
                }
                Event::Differ(of) => {
                    let of: Vec<String> = of
                        .iter()
                        .map(|(who, budget)| format!("{who}: {budget}"))
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
