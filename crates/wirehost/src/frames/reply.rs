//! Writes replies of actions.

use super::codes::action;

/// Bytes of a reply's header.
const HEADER: usize = 12;
/// Bytes of the header's last field, which the length counts.
const COUNT_FIELD: usize = 4;
/// Bytes of an action record.
const ACTION: usize = 24;

/// The actions of one reply, in the order they are written.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Begins a record, after the one before is padded to its size.
    fn record(&mut self, code: u8, gateway: u16) -> &mut Vec<u8> {
        let padded = self.records.len().next_multiple_of(ACTION);
        self.records.resize(padded, 0);
        self.records.push(code);
        self.records.extend(gateway.to_le_bytes());
        &mut self.records
    }

    fn put(&mut self, code: u8, gateway: u16, fields: &[&[u8]]) {
        let record = self.record(code, gateway);
        for field in fields {
            record.extend(*field);
        }
    }

    fn with_text(&mut self, code: u8, gateway: u16, text: &str) {
        let offset = self.tail.len() as u32;
        let length = text.len() as u32;
        self.put(
            code,
            gateway,
            &[&offset.to_le_bytes(), &length.to_le_bytes()],
        );
        self.tail.extend(text.as_bytes());
    }

    /// Sends an attempt; `allow_s`: its time-out in seconds, 0: none.
    pub fn attempt(&mut self, gateway: u16, id: u64, engine: u32, allow_s: f64) {
        self.put(
            action::ATTEMPT,
            gateway,
            &[
                &id.to_le_bytes(),
                &engine.to_le_bytes(),
                &allow_s.to_le_bytes(),
            ],
        );
    }

    /// Rejects a statement; `come_back_s`: how long its client is to wait, in seconds.
    pub fn push_back(&mut self, gateway: u16, id: u64, come_back_s: f64) {
        self.put(
            action::PUSH_BACK,
            gateway,
            &[&id.to_le_bytes(), &come_back_s.to_le_bytes()],
        );
    }

    /// Fails a statement.
    pub fn surrender(&mut self, gateway: u16, id: u64) {
        self.put(action::SURRENDER, gateway, &[&id.to_le_bytes()]);
    }

    /// Cancels an attempt.
    pub fn stop_attempt(&mut self, gateway: u16, id: u64, number: u16) {
        self.put(
            action::STOP_ATTEMPT,
            gateway,
            &[&id.to_le_bytes(), &number.to_le_bytes()],
        );
    }

    /// Asks for a timer event after so many seconds.
    pub fn remind(&mut self, gateway: u16, delay_s: f64, tag: u64) {
        self.put(
            action::REMIND,
            gateway,
            &[&delay_s.to_le_bytes(), &tag.to_le_bytes()],
        );
    }

    /// Probes an engine.
    pub fn test(&mut self, gateway: u16, engine: u32) {
        self.put(action::TEST, gateway, &[&engine.to_le_bytes()]);
    }

    /// Writes a line into the report.
    pub fn remark(&mut self, gateway: u16, text: &str) {
        self.with_text(action::REMARK, gateway, text);
    }

    /// Ends the run: the instance failed.
    pub fn panic(&mut self, gateway: u16, text: &str) {
        self.with_text(action::PANIC, gateway, text);
    }

    /// Asks discovery for changes from now on.
    pub fn watch(&mut self, gateway: u16) {
        self.put(action::WATCH, gateway, &[&[1]]);
    }

    /// Asks discovery for all engines, once.
    pub fn snapshot(&mut self, gateway: u16) {
        self.put(action::SNAPSHOT, gateway, &[]);
    }

    /// Sets a statement's memory and priority for its next attempt.
    pub fn tune(&mut self, gateway: u16, id: u64, memory_mb: f32, priority: u8) {
        self.put(
            action::TUNE,
            gateway,
            &[&id.to_le_bytes(), &memory_mb.to_le_bytes(), &[priority]],
        );
    }
}

/// The frame of a reply to the batch of this number.
#[must_use]
pub fn encode_reply(number: u32, reply: &Reply) -> Vec<u8> {
    let records = reply.records.len().next_multiple_of(ACTION);
    let mut frame = Vec::with_capacity(HEADER + records + reply.tail.len());
    frame.extend(number.to_le_bytes());
    frame.extend(((COUNT_FIELD + records + reply.tail.len()) as u32).to_le_bytes());
    frame.extend(((records / ACTION) as u32).to_le_bytes());
    frame.extend(&reply.records);
    frame.resize(HEADER + records, 0);
    frame.extend(&reply.tail);
    frame
}
