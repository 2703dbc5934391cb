//! Encodes replies, which carry actions.

use super::codes::action;

/// The size of a reply's header, in bytes.
const HEADER: usize = 12;
/// The size of the record count, in bytes. It is the last field of the header, and the length in
/// the header includes it.
const COUNT_FIELD: usize = 4;
/// The size of an action record, in bytes.
const ACTION: usize = 24;

/// The encoded actions of one reply, in the order in which they were added.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Starts a record after padding the previous one to its full size.
    fn record(&mut self, code: u8, gateway: u16) -> &mut Vec<u8> {
        let padded = self.records.len().next_multiple_of(ACTION);
        self.records.resize(padded, 0);
        self.records.push(code);
        self.records.extend(gateway.to_le_bytes());
        &mut self.records
    }

    /// Appends a record with these fields.
    fn put(&mut self, code: u8, gateway: u16, fields: &[&[u8]]) {
        let record = self.record(code, gateway);
        for field in fields {
            record.extend(*field);
        }
    }

    /// Appends a record that refers to a text, which is appended to the tail.
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

    /// Sends an attempt to an engine. `timeout_s` is its timeout in seconds, or 0 for no timeout.
    pub fn attempt(&mut self, gateway: u16, id: u64, engine: u32, timeout_s: f64) {
        self.put(
            action::ATTEMPT,
            gateway,
            &[
                &id.to_le_bytes(),
                &engine.to_le_bytes(),
                &timeout_s.to_le_bytes(),
            ],
        );
    }

    /// Rejects a statement. `retry_after_s` is the time in seconds after which the client should
    /// retry.
    pub fn push_back(&mut self, gateway: u16, id: u64, retry_after_s: f64) {
        self.put(
            action::PUSH_BACK,
            gateway,
            &[&id.to_le_bytes(), &retry_after_s.to_le_bytes()],
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

    /// Requests a timer event after `delay_s` seconds.
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

    /// Writes a line into the simulator's report.
    pub fn remark(&mut self, gateway: u16, text: &str) {
        self.with_text(action::REMARK, gateway, text);
    }

    /// Reports that the instance failed, which ends the simulation.
    pub fn panic(&mut self, gateway: u16, text: &str) {
        self.with_text(action::PANIC, gateway, text);
    }

    /// Subscribes to changes in discovery.
    pub fn watch(&mut self, gateway: u16) {
        self.put(action::WATCH, gateway, &[&[1]]);
    }

    /// Requests the current list of all engines from discovery.
    pub fn snapshot(&mut self, gateway: u16) {
        self.put(action::SNAPSHOT, gateway, &[]);
    }

    /// Sets the memory in MB and the priority for the next attempt of a statement.
    pub fn tune(&mut self, gateway: u16, id: u64, memory_mb: f32, priority: u8) {
        self.put(
            action::TUNE,
            gateway,
            &[&id.to_le_bytes(), &memory_mb.to_le_bytes(), &[priority]],
        );
    }
}

/// Encodes the reply to the batch with this number as a frame.
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
