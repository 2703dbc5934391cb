//! Messages in: what is refused, what is answered, and what goes on to the other modules.

use std::net::SocketAddr;

use admission::interface::Timestamp;

use super::Gateway;
use super::send::CARRIED;
use crate::buckets::{LISTED, Window};
use crate::engines::EngineNews;
use crate::message::{self, Body, Message, Nonce, Refused, View};
use crate::probes::Purpose;
use crate::table::Held;
use crate::who::{Incarnation, Record, State};

/// Indirect probes that run for others at once.
const HELPS: usize = 16;

impl Gateway {
    /// What came from an address.
    ///
    /// # Errors
    /// It counts for nothing; this is why, and it was counted.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<(), Refused> {
        let taken = self.take(now, from, bytes);
        let tally = &mut self.tally;
        *match taken {
            Ok(()) => &mut tally.taken,
            Err(Refused::Size) => &mut tally.refused_size,
            Err(Refused::Version) => &mut tally.refused_version,
            Err(Refused::Key) => &mut tally.refused_key,
            Err(Refused::Code) => &mut tally.refused_code,
            Err(Refused::Form) => &mut tally.refused_form,
            Err(Refused::Foreign) => &mut tally.refused_foreign,
            Err(Refused::Repeated) => &mut tally.refused_repeated,
            Err(Refused::Address) => &mut tally.refused_address,
            Err(Refused::Unasked) => &mut tally.refused_unasked,
            Err(Refused::Many) => &mut tally.refused_many,
            Err(Refused::OwnName) => &mut tally.refused_own_name,
        } += 1;
        taken
    }

    pub(super) fn take(
        &mut self,
        now: Timestamp,
        src: SocketAddr,
        bytes: &[u8],
    ) -> Result<(), Refused> {
        let message = message::open(&self.ring, &self.fleet, bytes)?;
        let Message {
            from,
            counter,
            view,
            body,
            records,
            engines,
            ..
        } = message;
        if self.out_until.is_some() {
            return Err(Refused::OwnName);
        }
        if from.address != src {
            return Err(Refused::Address);
        }
        if from.name == self.own.name {
            self.twin(now, src, &from, &body);
            return Err(Refused::OwnName);
        }
        if from.incarnation > Incarnation::LAST {
            self.tally.beyond += 1;
            return Err(Refused::Form);
        }
        let known = self.table.beside(&from.name).map(|held| {
            if held.seen.0 != from.life {
                held.seen = (from.life, message::Seen::default());
            }
            (
                held.seen.1.first(counter),
                held.counts() && held.record.address == src,
            )
        });
        if known.is_some_and(|known| !known.0) {
            return Err(Refused::Repeated);
        }
        let pace = if known.is_some_and(|known| known.1) {
            &mut self.answers
        } else {
            &mut self.strangers
        };
        let asked = match &body {
            Body::Ack(nonce) | Body::Passed(nonce) | Body::Silent(nonce) => {
                Some(self.answered(now, src, &from, *nonce, &body)?)
            }
            Body::Ping(_) | Body::Ask { .. } if !pace.take(now) => return Err(Refused::Many),
            Body::Compare { first, digests, .. }
                if Window::new(usize::from(*first), digests.len()).is_none() =>
            {
                return Err(Refused::Form);
            }
            Body::List { marks, .. } if marks.len() > LISTED => return Err(Refused::Form),
            Body::Pull { .. } | Body::Compare { .. } | Body::List { .. }
                if !self.pages.take(now) || !self.may_give_page(now) =>
            {
                return Err(Refused::Many);
            }
            _ => None,
        };
        if asked != Some(true) {
            self.direct_word(now, &from);
        }
        if let Some(held) = self.table.beside(&from.name).filter(|_| known.is_none()) {
            held.seen.1.first(counter);
        }
        self.take_gossip(now, &from, view, records, &engines);
        if let Body::Carried(payload) = body {
            return self.take_payload(src, from, payload);
        }
        self.reply(now, src, &from, body);
        Ok(())
    }

    /// What came along: counted from those in the fleet only.
    fn take_gossip(
        &mut self,
        now: Timestamp,
        from: &Record,
        view: View,
        records: Vec<Record>,
        engines: &[EngineNews],
    ) {
        let speaks = self.table.get(&from.name).is_some_and(Held::counts);
        if speaks {
            self.last_heard = Some(now);
        }
        if speaks && from.state == State::Alive {
            self.views.push_back((now, view));
            if self.views.len() > 64 {
                self.views.pop_front();
            }
            for record in records {
                self.gossip(now, from, record);
            }
            for news in engines.iter().take(crate::engines::PER_MESSAGE) {
                self.engines.heard(now, &from.name, from.address.ip(), news);
            }
        } else if let Some(of_me) = records
            .into_iter()
            .find(|record| record.name == self.own.name)
        {
            // A newcomer may not be known yet and still holds an old word of this gateway: saying more costs nothing.
            self.of_me(now, &of_me);
        }
    }

    /// A payload of another subsystem, from a gateway that is known in this life at its own address.
    fn take_payload(
        &mut self,
        src: SocketAddr,
        from: Record,
        payload: Vec<u8>,
    ) -> Result<(), Refused> {
        let same = |held: &Held| {
            held.counts() && held.record.life == from.life && held.record.address == src
        };
        if !self.table.get(&from.name).is_some_and(same) || self.carried.len() >= CARRIED {
            return Err(Refused::Many);
        }
        self.carried.push((from.name, from.life, payload));
        Ok(())
    }

    pub(super) fn reply(&mut self, now: Timestamp, to: SocketAddr, from: &Record, body: Body) {
        match body {
            Body::Ping(nonce) => {
                // An earlier life of it that is still held: it has to rise above that to be taken for the one.
                let held = self
                    .table
                    .get(&from.name)
                    .filter(|held| held.known)
                    .map(|held| held.record.clone());
                let earlier = held
                    .filter(|held| held.life != from.life && held.incarnation >= from.incarnation);
                self.send(
                    now,
                    to,
                    Some(&from.name),
                    Body::Ack(nonce),
                    earlier.into_iter().collect(),
                );
            }
            Body::Ask { nonce, target } if self.probes.helps() < HELPS => {
                let known = self
                    .table
                    .get(&target.name)
                    .is_some_and(|held| held.known && held.record.address == target.address);
                if known {
                    self.ask(
                        now,
                        Purpose::IndirectProbe { asker: to, nonce },
                        target.address,
                    );
                }
            }
            Body::Pull { after } => self.page(now, to, after.as_ref()),
            Body::Page { next } => self.pull_on(now, to, &from.name, next),
            Body::Compare {
                nonce,
                first,
                digests,
            } => {
                if let Some(window) = Window::new(usize::from(first), digests.len()) {
                    self.answer_comparison(now, to, &from.name, nonce, window, &digests);
                }
            }
            Body::Compared {
                nonce,
                equal,
                covered,
            } => self.compared(now, from, nonce, equal, covered),
            Body::List {
                nonce,
                from: first,
                marks,
            } => {
                self.answer_list(now, to, &from.name, nonce, first, &marks);
            }
            Body::Listed { nonce, held, until } => self.listed(now, from, nonce, held, until),
            _ => {}
        }
    }

    /// An answer to what was asked, from where it was asked. True: the sender itself answered this gateway.
    pub(super) fn answered(
        &mut self,
        now: Timestamp,
        src: SocketAddr,
        from: &Record,
        nonce: Nonce,
        body: &Body,
    ) -> Result<bool, Refused> {
        let asked = self.probes.get_mut(nonce).ok_or(Refused::Unasked)?;
        if matches!(body, Body::Ack(_)) {
            let named = match &asked.purpose {
                Purpose::Probe(name) | Purpose::DirectProbe(name) => *name == from.name,
                Purpose::RejoinProbe(_) | Purpose::IndirectProbe { .. } => true,
            };
            if asked.to != src || !named {
                return Err(Refused::Unasked);
            }
            let asked = self.probes.take(nonce).expect("just seen");
            if matches!(asked.purpose, Purpose::Probe(_)) {
                self.probes.better();
            }
            if let Purpose::IndirectProbe { asker, nonce } = asked.purpose {
                self.send(now, asker, None, Body::Passed(nonce), Vec::new());
            }
            self.direct_probes.remove(&from.name);
            self.answered_itself(now, from);
            return Ok(true);
        }
        // Only those that were asked to help may answer in its place.
        if !asked.helpers.remove(&src) {
            return Err(Refused::Unasked);
        }
        if matches!(body, Body::Silent(_)) {
            asked.silent += 1;
            return Ok(false);
        }
        let asked = self.probes.take(nonce).expect("just seen");
        if let Purpose::Probe(name) = asked.purpose {
            self.cleared(now, &name);
        }
        Ok(false)
    }
}
