//! Time: what is due in a turn of the loop, and once a period.

use admission::interface::{TimeDelta, Timestamp};
use rand::RngExt;

use super::Event;
use super::Gateway;
use crate::message::Body;
use crate::table::Held;
use crate::who::Name;

/// Periods between calls to seeds and to those that had gone.
const CALL: f64 = 3.0;

impl Gateway {
    /// When `turn` is due next.
    pub fn due(&self) -> Timestamp {
        let period = self.next_period.min(self.next_call);
        let news = (!self.sweep.is_empty()).then_some(self.next_news);
        [self.probes.due(), news, self.confirming_due()]
            .into_iter()
            .flatten()
            .fold(period, Timestamp::min)
    }

    pub fn turn(&mut self, now: Timestamp) {
        let late = now - self.due();
        let too_late = TimeDelta::from_secs((self.terms.answer.secs() * 0.5).max(0.05));
        if late > too_late {
            // What came meanwhile is read by now; what did not, nobody can tell.
            self.tally.stood_still += 1;
            self.event(Event::StoodStill(late));
            self.probes.forgive();
            let names: Vec<Name> = self
                .table
                .fleet()
                .map(|held| held.record.name.clone())
                .collect();
            for name in names {
                let held = self.table.get_mut(&name).expect("just listed");
                if let Some(suspicion) = &mut held.suspicion {
                    suspicion.began = suspicion.began + late;
                }
            }
        }
        if self.out_until.is_some_and(|until| now < until) {
            self.next_period = self.next_period.max(now) + self.terms.period;
            self.next_call = self.next_period;
            self.sweep.clear();
            return;
        }
        self.out_until = None;
        for nonce in self.probes.now_due(now) {
            self.step(now, nonce);
        }
        self.repeat_failed_probes(now);
        if self.next_call <= now {
            let wait = self.terms.period.secs() * CALL * self.rejoin_backoff();
            self.next_call = now + TimeDelta::from_secs(wait * self.chance());
            self.rejoin(now);
        }
        if self.next_period <= now {
            self.next_period = now + TimeDelta::from_secs(self.terms.period.secs() * self.chance());
            self.period(now);
        }
        if !self.sweep.is_empty() && self.next_news <= now {
            while let Some(name) = self.sweep.pop_if(|_| self.news.take(now)) {
                let to = self
                    .table
                    .get(&name)
                    .filter(|held| held.counts())
                    .map(|held| held.record.address);
                to.into_iter()
                    .for_each(|to| self.send(now, to, Some(&name), Body::News, Vec::new()));
            }
            self.next_news = now + TimeDelta::from_secs(1.0 / self.terms.news_per_s.max(0.1));
        }
    }

    /// About one, so that gateways do not fall into step.
    pub(super) fn chance(&mut self) -> f64 {
        0.9 + 0.2 * self.rng.random::<f64>()
    }

    pub(super) fn period(&mut self, now: Timestamp) {
        self.suspicions(now);
        for name in self.table.forget(now, self.terms.keep_gone) {
            self.event(Event::Forgotten(name));
        }
        self.direct_probes
            .retain(|name, _| self.table.get(name).is_some());
        let fleet = || {
            self.table
                .fleet()
                .map(|held| held.record.name.clone())
                .collect()
        };
        let there = |name: &Name| self.table.get(name).is_some_and(Held::counts);
        if let Some(name) = self.probes.next(fleet, there, &mut self.rng) {
            self.probe(now, &name);
        }
        self.start_direct_probes(now);
        self.probe_a_suspect(now);
        self.pull(now);
        self.stand(now);
    }
}
