//! What ties the peers together: client news to `pick`, engine reports to `report`, and a `tick` once all
//! that is ready was read. It passes on; it decides nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;

use admission::interface::*;
use bytes::{Bytes, BytesMut};
use dispatch::{Dispatch, Order, Pick, Verdict, Wants};
use identity::grants::{Beyond, Request};
use identity::token::Claims;
use identity::{Guard, Verdict as Judged};
use queues::{DeskId, Directory, Hall, Lines, Terms};
use settings::{Settings, SettingsError, Way};
use tracing::{info, warn};

use crate::board::list::Names;
use crate::board::{Board, Event};
use crate::clients::packets::Answer;
use crate::clients::{self, Clients, comment};
use crate::clock::unix;
use crate::counters::Counters;
use crate::engines::lines::{Rid, Tags};
use crate::engines::{Engines, Outgoing, Report};
use crate::fleet::Fleet;
use crate::fleet::parts::Flow;
use crate::status;

/// Network fact: an answer must be with the client before its budget ends, and the budget runs from when the
/// client sent. So much is kept for the two ways and for a machine that stands still a moment, and of short
/// budgets no more than this part.
const WAYS_S: f64 = 0.06;
const WAYS_PART: f64 = 0.1;
/// Network fact: the longest time that what has left is on its way to an engine.
pub const WAY: Way = Way(Span::from_micros(50_000));
/// Longer than any client is told to stay away: the decisions cut it to what they allow.
const LONG: Span = Span::from_micros(3_600_000_000);
/// How long after its hard limit a statement may still be without the decisions' answer, within its budget.
const OVERDUE_S: f64 = 0.004;

/// A client's end that comes together with its statement and is younger than this may be that of one that only shut its
/// sending side, and still reads; of one that went for good nothing may leave any more 0.1 s later.
const JUST_LEFT_S: f64 = 0.05;

/// How often those that wait are told of their progress, where their client takes it.
const PROGRESS_S: f64 = 1.0;
/// Desks that one status shows at most; those where something waits come first.
const STATUS_ROWS: usize = 1000;

/// How often what the decisions hold is compared with the sockets: far below what a difference could do harm in.
const CHECK_S: f64 = 0.5;

/// What goes on of a statement, as it came; the text is dropped with the answer, the rest with the last relay.
struct Passing {
    session: u32,
    rid: Rid,
    /// Whose it is, where callers are known.
    caller: Option<String>,
    product: usize,
    tags: Tags,
    text: Bytes,
    answered: bool,
    taken: Moment,
    /// When it is answered by whatever stands here, if by nothing else.
    ends: Moment,
    /// One, where a statement may not have two out at the same time.
    out: Vec<RelayNo>,
    /// The connections that its relays went on, as many as relays.
    went_on: Vec<u64>,
}

pub struct Service {
    pub clients: Clients,
    pub engines: Engines,
    pub board: Board,
    pub counters: Counters,
    hall: Hall,
    /// Where there are lines: whose desk a statement waits at.
    directory: Option<Directory>,
    /// Where gateways know each other.
    fleet: Option<Fleet>,
    /// Where callers are to be known.
    guard: Option<Guard>,
    /// Statements open by caller; leaves with the last of them.
    open: BTreeMap<String, u32>,
    names: Names,
    peers: f64,
    products: Vec<String>,
    tenants: Vec<String>,
    bills: bool,
    most_open: usize,
    next: u64,
    passing: BTreeMap<StatementId, Passing>,
    /// Their ids as clients gave them: of two with one id an engine's answer could be for either.
    rids: BTreeMap<Rid, StatementId>,
    /// Ends of all statements not answered yet; leaves with the answer or the client.
    ends: BTreeSet<(Moment, StatementId)>,
    wake: Moment,
    check: Moment,
    progress: Moment,
    answer_by: Option<Moment>,
    /// A whole list was told: there is something to decide on.
    listed: bool,
}

/// One number for a key that is none: two keys with one number only wait for each other.
fn spelt(key: &str) -> u64 {
    key.bytes().fold(1, |number, byte| number.wrapping_mul(0x0100_0000_01b3) ^ u64::from(byte))
}

fn denial(come_back: Option<Span>) -> String {
    let back = |wait: Span| format!("denied; backoff={}", (wait.secs() * 1e3).round() as u64);
    come_back.map_or("denied".to_owned(), back)
}

/// What becomes of a query that never gets before the decisions.
enum Unusable {
    /// It cannot be read, or names what is not there: the client's mistake.
    Wrong(String),
    /// As many are open as the settings allow.
    Full,
    /// The caller may not run it, which is no denial.
    Beyond(Beyond),
    /// The session's token holds no more.
    Unknown(String),
    /// Its key is still arriving here.
    Later(Span),
}

impl<T: ToString> From<T> for Unusable {
    fn from(why: T) -> Self {
        Unusable::Wrong(why.to_string())
    }
}

impl Service {
    pub fn new(
        now: Moment,
        settings: &Settings,
        seed: u64,
        clients: Clients,
        engines: Engines,
        board: Board,
        terms: Option<&Terms>,
    ) -> Result<Self, SettingsError> {
        let (directory, products) = (terms.map(Directory::new), settings.products());
        let lines = terms.map(|terms| Lines::new(now, terms.clone(), products, seed));
        Ok(Service {
            clients,
            engines,
            board,
            counters: Counters::default(),
            hall: Hall::new(Dispatch::new(settings.policy(seed, WAY)?), lines),
            directory,
            fleet: None,
            guard: None,
            open: BTreeMap::new(),
            names: Names::new(settings.location_names(), settings.machine_names()),
            peers: settings.peers()?,
            products: settings.product_names()?,
            tenants: settings.tenant_names()?,
            bills: settings.bills()?,
            most_open: settings.most_open()?,
            next: 0,
            passing: BTreeMap::new(),
            rids: BTreeMap::new(),
            ends: BTreeSet::new(),
            wake: now,
            check: now,
            progress: now,
            answer_by: None,
            listed: false,
        })
    }

    pub fn told(&mut self, now: Moment, events: &[Event]) {
        for change in events.iter().filter_map(|event| event.list.as_ref()) {
            let told = self.names.told(change);
            info!(whole = change.whole, engines = change.targets.len(), "list");
            told.addresses.into_iter().for_each(|(id, address)| self.engines.listed(id, address));
            self.hall.told_list(now, &told.news);
            told.closed.into_iter().for_each(|id| self.engines.closed(now, id, &mut self.counters));
            self.listed |= change.whole;
        }
    }

    /// Other terms for what waits, in the file's own budgets as this gateway's part.
    pub fn change(&mut self, now: Moment, terms: &Terms) {
        self.directory = Some(Directory::new(terms));
        self.hall.change(now, terms.clone());
    }

    pub fn waiting(&self) -> usize {
        self.hall.waiting()
    }

    /// The lines keep their own count.
    pub fn count(&mut self) {
        let (tally, counters) = (self.hall.tally(), &mut self.counters);
        counters.queue_entered = tally.entered;
        counters.queue_turned_away = tally.turned_away;
        counters.queue_displaced = tally.displaced;
        counters.queue_released = tally.released;
        counters.queue_denied = tally.denied;
        counters.queue_left = tally.left;
        counters.queue_refused = tally.refused;
        counters.queue_told_well = tally.told_well;
        counters.queue_longest_passed_ms = (self.hall.longest_passed().secs() * 1e3) as u64;
    }

    pub fn can_decide(&self) -> bool {
        self.listed
    }

    /// The gateway ends: all that is in hand, and all that still comes, is answered by then.
    pub fn answer_by(&mut self, by: Moment) {
        self.answer_by = Some(by);
        let last = by + Span::from_secs(OVERDUE_S);
        self.passing.values_mut().for_each(|passing| passing.ends = passing.ends.min(last));
        self.ends = std::mem::take(&mut self.ends).into_iter().map(|(end, id)| (end.min(last), id)).collect();
        self.hall.answer_by(by);
        self.engines.end_by(by);
    }

    /// Nothing is owed to anyone.
    pub fn quiet(&self) -> bool {
        self.clients.all_quiet()
    }

    pub fn next_due(&self, now: Moment) -> Moment {
        let dues = [self.engines.next_due(now), self.clients.next_due(now), self.board.next_due()];
        let end = self.ends.first().map(|end| end.0);
        let fleet = self.fleet.as_ref().map(|fleet| fleet.next_due(now));
        dues.into_iter().chain([end, fleet]).flatten().fold(self.wake, Moment::min)
    }

    /// Works off what all peers brought, then asks once for all that waits.
    pub fn turn(&mut self, now: Moment) {
        self.engines.expire(now, &mut self.counters);
        self.engines.go_on(now, &mut self.counters);
        self.clients.expire(now, &mut self.counters);
        self.clients.go_on(now, &mut self.counters);
        self.board.expire(now, &mut self.counters);
        // Idle clients may hold every descriptor: one goes for the board, without which no news of engines comes.
        if self.board.short() && self.clients.give_up_one(now, &mut self.counters) {
            self.board.ask_again(now, &mut self.counters);
        }
        let events = self.board.events();
        self.told(now, &events);
        self.reports(now);
        loop {
            let news = self.clients.news();
            if news.is_empty() {
                break;
            }
            news.into_iter().for_each(|news| self.heard(now, news));
        }
        self.leave(now);
        if let Some(fleet) = &mut self.fleet {
            fleet.turn(now);
            let doubts = fleet.engines(now, self.hall.health(), &self.names);
            self.hall.told_doubts(now, &doubts);
        }
        self.divided(now);
        let tick = self.hall.tick(now);
        tick.due.into_iter().for_each(|(id, pick)| self.picked(now, id, pick));
        // What could not even be sent is back in line by now, and what stood behind an answer was read.
        let again = self.reports(now) || self.clients.has_news();
        self.overdue(now);
        if self.progress <= now && self.directory.is_some() {
            self.progress = now + Span::from_secs(PROGRESS_S);
            self.tell_progress(now);
        }
        if self.check <= now {
            self.check = now + Span::from_secs(CHECK_S);
            self.compare();
        }
        self.wake = now + if again { Span::ZERO } else { tick.wait };
    }

    /// What of the budgets of all is this gateway's at present, for the lines and the decisions.
    fn divided(&mut self, now: Moment) {
        let Some(parts) = self.fleet.as_mut().and_then(Fleet::parts) else { return };
        if parts.divides_members() {
            let flows = self.hall.flows().into_iter().map(|(wanted, paid)| Flow { wanted, paid });
            let rates = parts.members(&flows.collect::<Vec<_>>());
            self.hall.lease(now, &rates);
        }
        let benched = self.hall.beliefs().filter(|held| held.2).count();
        let allowed = parts.allowed(self.hall.carries(), self.peers, benched);
        self.hall.told_allowed(allowed);
    }

    /// Statements in flight as the decisions hold them, against what is out on the sockets. A difference would have
    /// them send to the wrong engine for ever after, with nothing else to show it.
    fn compare(&mut self) {
        let held = self.hall.beliefs().filter(|held| held.1 > 0).map(|(engine, out, _)| (engine, out));
        let (held, out) = (held.collect::<BTreeMap<_, _>>(), self.engines.out());
        self.counters.books_checked += 1;
        if held != out {
            self.counters.books_differ += 1;
            warn!(?held, ?out, "the decisions hold other relays out than the sockets");
        }
    }

    /// Engines left out at present.
    pub fn benched(&self) -> usize {
        self.hall.beliefs().filter(|held| held.2).count()
    }

    /// The last guard of one answer before the budget ends, whatever went wrong before it. Never seen to act;
    /// its line in the log is a fault of ours, and tells where the statement stood.
    fn overdue(&mut self, now: Moment) {
        while let Some((ends, id)) = self.ends.first().copied().filter(|end| end.0 <= now) {
            self.ends.pop_first();
            let Some(passing) = self.passing.get(&id) else { continue };
            let (rid, late) = (String::from_utf8_lossy(&passing.rid).into_owned(), (now - ends).secs());
            let engines = self.engines.stand(id);
            warn!(rid, late, out = ?passing.out, engines, "a statement without an answer at its end");
            self.counters.overdue += 1;
            self.hall.gone(now, id);
            self.scrap(now, id);
            self.forget(id);
        }
    }

    fn reports(&mut self, now: Moment) -> bool {
        let mut any = false;
        loop {
            let reports = self.engines.reports();
            if reports.is_empty() {
                return any;
            }
            any = true;
            reports.into_iter().for_each(|report| self.report(now, report));
        }
    }

    fn report(&mut self, now: Moment, report: Report) {
        let id = report.statement;
        let Some(passing) = self.passing.get_mut(&id) else { return };
        let mut news = report.news;
        if let News::Completed { cpu, memory_mb } = &mut news
            && !self.bills
        {
            (*cpu, *memory_mb) = (None, None);
        }
        let still_out = matches!(news, News::Progress(_) | News::Strained | News::Streaming);
        passing.out.retain(|relay| still_out || *relay != report.relay);
        let completed = matches!(news, News::Completed { .. });
        let failed = !still_out && !completed && news != News::Cancelled && !passing.answered;
        if let Some(parts) = self.fleet.as_mut().and_then(Fleet::parts).filter(|_| failed) {
            parts.wants_relay(passing.product);
        }
        if completed && !passing.answered {
            let pages = report.pages;
            self.counters.completed += 1;
            self.answer(now, id, |answer| answer.result(pages.iter().map(|page| &page[..])));
        }
        match self.hall.report(now, id, report.relay, news, report.latency, completed) {
            Verdict::Nothing => {}
            Verdict::Cancel(relay) => self.engines.cancel(now, id, relay, &mut self.counters),
            Verdict::Deny { come_back } => self.deny(now, id, come_back),
            Verdict::Scrap => self.scrap(now, id),
        }
        self.forget(id);
    }

    fn heard(&mut self, now: Moment, news: clients::News) {
        match news {
            clients::News::Asked { session, text, from, came } => {
                self.asked(now, session, &text, from, now - came);
            }
            // Without lines it is a query like any other that cannot be used.
            clients::News::Queue { session, text, .. } if self.directory.is_none() => {
                self.unknown(now, session, &text);
            }
            clients::News::Queue { session, id, .. } => self.tell_queue(now, session, id),
            clients::News::Fleet { session, text } => self.tell_fleet(now, session, &text),
            clients::News::Shares { session, text } => self.tell_shares(now, session, &text),
            clients::News::Left(id) => self.left(now, id),
            clients::News::Token { session, token, login } => self.judge(now, session, &token, login),
            clients::News::Kill { by, session, whole } => {
                let killed = self.clients.kill(now, session, whole, &mut self.counters);
                killed.flatten().into_iter().for_each(|id| self.left(now, id));
                self.clients.answer(now, by, &mut self.counters, |answer| match killed {
                    Some(_) => answer.ok(),
                    None => answer.error(1094, b"HY000", "Unknown thread id"),
                });
            }
        }
    }

    fn left(&mut self, now: Moment, id: StatementId) {
        let Some(passing) = self.passing.get_mut(&id).filter(|passing| !passing.answered) else { return };
        (passing.answered, passing.text) = (true, Bytes::new());
        self.counters.client_left += 1;
        self.ends.remove(&(passing.ends, id));
        let out = passing.out.clone();
        self.hall.gone(now, id);
        out.into_iter().for_each(|relay| self.engines.unwanted(now, id, relay, &mut self.counters));
        self.forget(id);
    }

    /// Takes out what waits, wherever it does, for a client that sends no more: in line, for a connection that comes up
    /// or for a further relay. It gets its answer all the same, since who only shut the sending side still reads. What
    /// has left goes on; so does, for this turn, what came together with its client's end a moment ago.
    fn leave(&mut self, now: Moment) {
        for (id, left) in self.clients.left() {
            let Some(passing) = self.passing.get(&id).filter(|passing| !passing.answered) else { continue };
            let just_left = left.seen == now && (now - left.came).secs() < JUST_LEFT_S;
            if just_left && passing.taken == now {
                continue;
            }
            for relay in passing.out.clone() {
                self.engines.stay(now, id, relay, &mut self.counters);
            }
            self.reports(now);
            if self.passing.get(&id).is_none_or(|passing| passing.answered || !passing.out.is_empty()) {
                continue;
            }
            self.counters.client_left += 1;
            match self.hall.leave(now, id, LONG) {
                Pick::Deny { come_back } => self.tell_denied(now, id, come_back),
                _ => self.tell_scrapped(now, id),
            }
            self.forget(id);
        }
    }

    /// Other gateways are to be known from now on.
    pub fn join(&mut self, fleet: Fleet) {
        self.fleet = Some(fleet);
    }

    pub fn fleet(&mut self) -> Option<&mut Fleet> {
        self.fleet.as_mut()
    }

    fn tell_fleet(&mut self, now: Moment, session: u32, text: &Bytes) {
        let Some(fleet) = &mut self.fleet else {
            return self.unknown(now, session, text);
        };
        let rows = status::fleet(now, fleet.gateway());
        let table = |answer: Answer| answer.table(status::FLEET, &rows);
        self.clients.answer(now, session, &mut self.counters, table);
    }

    fn tell_shares(&mut self, now: Moment, session: u32, text: &Bytes) {
        let Some(parts) = self.fleet.as_mut().and_then(Fleet::parts) else {
            return self.unknown(now, session, text);
        };
        let (steady, status) = parts.status();
        let rows = status::shares(steady, &status);
        let table = |answer: Answer| answer.table(status::SHARES, &rows);
        self.clients.answer(now, session, &mut self.counters, table);
    }

    /// Callers are to be known from now on, by this.
    pub fn guard(&mut self, guard: Guard) {
        self.guard = Some(guard);
    }

    pub fn guarded(&mut self) -> Option<&mut Guard> {
        self.guard.as_mut()
    }

    /// A token at login or later: only one that holds now replaces what stood.
    fn judge(&mut self, now: Moment, session: u32, token: &Rc<str>, login: bool) {
        let Some(guard) = &mut self.guard else { return };
        let counters = &mut self.counters;
        let (code, state, text) = match guard.verdict(unix(), token) {
            Judged::Granted { claims, .. } if claims.grant.allows_from(self.clients.from(session)) => {
                counters.tokens_granted += 1;
                return self.clients.known(now, session, token.clone(), counters);
            }
            Judged::Granted { .. } => {
                counters.tokens_refused += 1;
                (1045, b"28000", Beyond::Network.to_string())
            }
            Judged::Later { back } => {
                counters.tokens_later += 1;
                (1226, b"42000", denial(Some(back)))
            }
            Judged::Refused(why) => {
                counters.tokens_refused += 1;
                (1045, b"28000", why.to_string())
            }
        };
        let answer = |answer: Answer| answer.error(code, state, &text);
        if login {
            self.clients.unknown(now, session, counters, answer);
        } else {
            self.clients.answer(now, session, counters, answer);
        }
    }

    /// Whose a statement is by its session's token, which is judged anew each time.
    fn caller(&mut self, session: u32) -> Result<Option<Arc<Claims>>, Unusable> {
        let Some(guard) = &mut self.guard else { return Ok(None) };
        let Some(token) = self.clients.token(session) else {
            return Err(Unusable::Unknown("no token".into()));
        };
        match guard.verdict(unix(), &token) {
            Judged::Granted { claims, .. } => Ok(Some(claims)),
            Judged::Later { back } => {
                self.counters.tokens_later += 1;
                Err(Unusable::Later(back))
            }
            Judged::Refused(why) => {
                self.counters.tokens_refused += 1;
                Err(Unusable::Unknown(why.to_string()))
            }
        }
    }

    fn tell_progress(&mut self, now: Moment) {
        for (session, id) in self.clients.progressing() {
            let Some((waited, left)) = self.hall.progress(now, id) else { continue };
            let whole = waited.secs() + left.wait.secs();
            let done = if whole > 0.0 { waited.secs() / whole * 1e5 } else { 0.0 };
            let text = format!("Waiting, {:.1} s more", left.wait.secs());
            self.clients.tell_progress(now, session, done as u32, &text, &mut self.counters);
        }
    }

    fn tell_queue(&mut self, now: Moment, session: u32, id: Option<String>) {
        self.counters.statuses_told += 1;
        let Some(id) = id else {
            let rows = status::desks(&self.hall.status(now, STATUS_ROWS).unwrap_or_default());
            let table = |answer: Answer| answer.table(status::DESKS, &rows);
            self.clients.answer(now, session, &mut self.counters, table);
            return;
        };
        let statement = Rid::try_from(id.as_bytes()).ok().and_then(|rid| self.rids.get(&rid)).copied();
        let row = statement.and_then(|statement| self.hall.statement(now, statement));
        let rows: Vec<_> = row.iter().map(|row| status::statement(&id, row)).collect();
        let table = |answer: Answer| answer.table(status::STATEMENT, &rows);
        self.clients.answer(now, session, &mut self.counters, table);
    }

    /// A question to what is not on is a query like any other that cannot be used.
    fn unknown(&mut self, now: Moment, session: u32, text: &Bytes) {
        self.asked(now, session, text, IpAddr::from([0; 4]), Span::ZERO);
    }

    /// `waited`: how long it has stood behind another on its session.
    fn asked(&mut self, now: Moment, session: u32, text: &Bytes, from: IpAddr, waited: Span) {
        // Reset in the very turn in which it came: nothing would tell any more that its client has left.
        if !self.clients.stands(session) {
            self.counters.statements_taken += 1;
            self.counters.client_left += 1;
            return;
        }
        let wanted = self.caller(session).and_then(|claims| {
            let (wants, rid, tags, statement, desk) = self.wants(text, from, claims.as_deref())?;
            let wants = Wants { budget: wants.budget - waited, ..wants };
            Ok((wants, rid, tags, statement, desk, claims.map(|claims| claims.caller.clone())))
        });
        let (wants, rid, tags, statement, desk, caller) = match wanted {
            Ok(usable) => usable,
            Err(why) => {
                self.counters.statements_unusable += 1;
                self.clients.answer(now, session, &mut self.counters, |answer| match why {
                    Unusable::Wrong(why) => answer.error(1064, b"42000", &why),
                    Unusable::Beyond(why) => answer.error(1142, b"42000", &format!("not granted: {why}")),
                    Unusable::Unknown(why) => answer.error(1045, b"28000", &why),
                    Unusable::Later(back) => answer.error(1226, b"42000", &denial(Some(back))),
                    Unusable::Full => answer.error(1040, b"08004", "too many statements open"),
                });
                return;
            }
        };
        let id = StatementId(self.next);
        self.next += 1;
        self.counters.statements_taken += 1;
        let product = wants.product.0;
        let ends = now + wants.budget.max(Span::ZERO) + Span::from_secs(OVERDUE_S);
        let ends = self.answer_by.map_or(ends, |by| ends.min(by + Span::from_secs(OVERDUE_S)));
        self.ends.insert((ends, id));
        let (out, went_on) = (Vec::new(), Vec::new());
        if let Some(caller) = &caller {
            *self.open.entry(caller.clone()).or_default() += 1;
        }
        let (text, taken) = (statement, now);
        let passing =
            Passing { session, rid, caller, product, tags, text, answered: false, taken, ends, out, went_on };
        self.passing.insert(id, passing);
        self.rids.insert(rid, id);
        self.clients.took(session, id);
        let pick = self.hall.pick(now, id, desk, &wants);
        self.picked(now, id, pick);
    }

    /// Takes out what the decisions need, and checks it: nothing unusable may reach an engine.
    fn wants(
        &mut self,
        text: &Bytes,
        from: IpAddr,
        claims: Option<&Claims>,
    ) -> Result<(Wants, Rid, Tags, Bytes, DeskId), Unusable> {
        let mut read = comment::read(text)?;
        if let Some(claims) = claims {
            let open = self.open.get(&claims.caller).copied().unwrap_or(0);
            let group = comment::table_group(read.statement);
            let (member, desk, product) = (read.tenant, read.desk, read.product);
            let beyond = claims.grant.allows(&Request { member, desk, product, group, from, open });
            if let Err(beyond) = beyond {
                self.counters.beyond_grant += 1;
                return Err(Unusable::Beyond(beyond));
            }
            // What the comment leaves open, the caller is.
            read.tenant = Some(&claims.grant.member);
            read.desk = claims.grant.desk(read.desk);
        }
        let named = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let product = named(&self.products, read.product).ok_or("unknown method")?;
        let tenant = match read.tenant {
            Some(name) if !self.tenants.is_empty() => named(&self.tenants, name).ok_or("unknown acct")?,
            _ => 0,
        };
        if self.rids.contains_key(&read.rid) {
            return Err("rid of a statement that is still open".into());
        }
        if self.passing.len() >= self.most_open {
            return Err(Unusable::Full);
        }
        let found =
            self.directory.as_ref().map(|directory| directory.find(read.tenant, read.desk, Some(from)));
        self.counters.desks_unknown += u64::from(found.is_some_and(|found| !found.known));
        let desk = found.map_or(DeskId(0), |found| found.desk);
        let budget_s = read.budget_ms / 1e3;
        let budget = Span::from_secs(budget_s - WAYS_S.min(budget_s * WAYS_PART));
        // Digits of the platform's own; what is none keeps its order by its letters all the same.
        let number = |key: &str| u64::from_str_radix(key, 16).unwrap_or_else(|_| spelt(key));
        let key = read.key.map(number).filter(|key| *key != 0).map(OrderKey);
        let wants = Wants {
            product: ProductId(product),
            tenant: TenantId(tenant),
            group: GroupId(comment::table_group(read.statement).unwrap_or(0)),
            estimate: read.estimate_ms.filter(|ms| *ms > 0.0).map(|ms| Span::from_secs(ms / 1e3)),
            memory_mb: read.memory_mb.unwrap_or(0.0),
            key,
            marked: read.mark.is_some(),
            budget,
        };
        let tags = Tags { mark: read.mark.map(Box::from), key: read.key.map(Box::from) };
        Ok((wants, read.rid, tags, text.slice_ref(read.statement), desk))
    }

    fn picked(&mut self, now: Moment, id: StatementId, pick: Pick) {
        match pick {
            Pick::Held => {}
            Pick::Relay(order) => self.relay(now, id, order),
            Pick::Deny { come_back } => self.deny(now, id, come_back),
            Pick::Scrap => self.scrap(now, id),
        }
        self.forget(id);
    }

    fn relay(&mut self, now: Moment, id: StatementId, order: Order) {
        let Some(passing) = self.passing.get_mut(&id) else { return };
        if let Some(parts) = self.fleet.as_mut().and_then(Fleet::parts)
            && (order.again || order.trial)
            && !parts.spend(passing.product, order.again, order.trial)
        {
            return self.unspent(now, id, order.relay);
        }
        passing.out.push(order.relay);
        let outgoing = Outgoing {
            statement: id,
            relay: order.relay,
            engine: order.engine,
            rid: passing.rid,
            product: &self.products[passing.product],
            tags: &passing.tags,
            text: &passing.text,
            due: self.answer_by.map_or(order.due, |by| by.min(order.due)),
            rank: order.rank,
            leave_by: order.leave_by,
            avoid: &passing.went_on,
        };
        let went_on = self.engines.send(now, &outgoing, &mut self.counters);
        passing.went_on.extend(went_on);
    }

    /// The share that a relay was to go on ended before it went: back in line, as one that never left.
    fn unspent(&mut self, now: Moment, id: StatementId, relay: RelayNo) {
        match self.hall.report(now, id, relay, News::NeverSent, Span::ZERO, false) {
            Verdict::Nothing | Verdict::Cancel(_) => {}
            Verdict::Deny { come_back } => self.deny(now, id, come_back),
            Verdict::Scrap => self.scrap(now, id),
        }
    }

    fn deny(&mut self, now: Moment, id: StatementId, come_back: Option<Span>) {
        self.counters.denied += 1;
        self.tell_denied(now, id, come_back);
    }

    fn tell_denied(&mut self, now: Moment, id: StatementId, come_back: Option<Span>) {
        let text = denial(come_back);
        self.answer(now, id, |answer| answer.error(1226, b"42000", &text));
    }

    fn scrap(&mut self, now: Moment, id: StatementId) {
        self.counters.scrapped += 1;
        self.tell_scrapped(now, id);
    }

    fn tell_scrapped(&mut self, now: Moment, id: StatementId) {
        self.answer(now, id, |answer| answer.error(1105, b"HY000", "the statement could not be completed"));
    }

    fn answer(&mut self, now: Moment, id: StatementId, answer: impl FnOnce(Answer) -> BytesMut) {
        let Some(passing) = self.passing.get_mut(&id) else { return };
        (passing.answered, passing.text) = (true, Bytes::new());
        self.ends.remove(&(passing.ends, id));
        let session = passing.session;
        self.clients.answer(now, session, &mut self.counters, answer);
    }

    fn forget(&mut self, id: StatementId) {
        if self.passing.get(&id).is_some_and(|passing| passing.answered && passing.out.is_empty()) {
            let passing = self.passing.remove(&id).expect("just seen");
            if let Some(caller) = &passing.caller
                && let Some(open) = self.open.get_mut(caller)
            {
                *open -= 1;
                if *open == 0 {
                    self.open.remove(caller);
                }
            }
            self.rids.remove(&passing.rid);
        }
    }
}
