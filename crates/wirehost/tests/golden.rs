//! What the wire host reads and writes, to the byte: one frame of each kind. The wire is others' too, so no work on the code's
//! own names may change it: what was written before such work is kept in `golden/` and compared here.
//!
//! A deliberate change of the wire is recorded anew with `GOLDEN_RECORD=1 cargo test -p laurelhitch-wirehost --test golden`,
//! which writes the files; a plain run only compares. Lines are `name hex` for what is written; what was read is put as text,
//! under names of the wire's own words.

// A test tells one story from top to bottom, and tables of cases are long.
#![allow(clippy::too_many_lines)]

use std::fmt::Write;
use std::path::Path;

use wirehost::frames::{Batch, Fields, FrameError, Reply, TailRange, encode_reply, read_batch};
use wirehost::host::Host;

/// Compares with what is recorded, or records it.
fn golden(file: &str, got: &[(&str, String)]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    let got: Vec<String> = got
        .iter()
        .map(|(name, value)| format!("{name} {value}"))
        .collect();
    if std::env::var("GOLDEN_RECORD").is_ok_and(|set| set == "1") {
        std::fs::write(&path, got.join("\n") + "\n").unwrap();
        return;
    }
    let want = std::fs::read_to_string(&path).unwrap();
    let want: Vec<&str> = want.lines().collect();
    for (got, want) in got.iter().zip(&want) {
        assert_eq!(got, want, "{file}");
    }
    assert_eq!(got.len(), want.len(), "{file}: lines");
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    bytes
        .iter()
        .for_each(|byte| write!(text, "{byte:02x}").unwrap());
    text
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: String = hex.split_whitespace().collect();
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}

fn written(write: impl FnOnce(&mut Reply)) -> String {
    let mut reply = Reply::default();
    write(&mut reply);
    hex(&encode_reply(0x0102_0304, &reply))
}

#[test]
fn each_action_is_written_as_recorded() {
    let id = 0x1112_1314_1516_1718;
    let got = [
        ("nothing", written(|_| ())),
        (
            "attempt",
            written(|reply| reply.attempt(0x2122, id, 0x3132_3334, 0.25)),
        ),
        (
            "push-back",
            written(|reply| reply.push_back(0x2122, id, 0.75)),
        ),
        ("surrender", written(|reply| reply.surrender(0x2122, id))),
        (
            "stop-attempt",
            written(|reply| reply.stop_attempt(0x2122, id, 0x4142)),
        ),
        (
            "remind",
            written(|reply| reply.remind(0x2122, 1.5, 0x5152_5354_5556_5758)),
        ),
        ("test", written(|reply| reply.test(0x2122, 0x3132_3334))),
        ("remark", written(|reply| reply.remark(0x2122, "a remark"))),
        ("panic", written(|reply| reply.panic(0x2122, "a fault"))),
        ("watch", written(|reply| reply.watch(0x2122))),
        ("snapshot", written(|reply| reply.snapshot(0x2122))),
        ("tune", written(|reply| reply.tune(0x2122, id, 384.0, 7))),
        (
            "several",
            written(|reply| {
                reply.remark(1, "first");
                reply.watch(2);
                reply.panic(3, "second");
            }),
        ),
    ];
    golden("written.txt", &got);
}

/// A frame of batch 12 at 3.25 s, with these records and this tail.
fn frame(records: &[&str], tail: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    for record in records {
        let mut record = bytes(record);
        record.resize(48, 0);
        body.extend(record);
    }
    body.extend(tail);
    let mut frame = bytes("0c000000 0000000000000a40");
    frame.extend((4 + body.len() as u32).to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(body);
    frame
}

fn batch(frame: &[u8]) -> Batch {
    read_batch(&mut &frame[..]).unwrap().unwrap()
}

const SETTINGS: &str = include_str!("golden/settings.txt");

fn u32_hex(number: usize) -> String {
    hex(&(number as u32).to_le_bytes())
}

/// Settings come to instance 3, in the batch's tail.
fn attach() -> Vec<u8> {
    let record = format!(
        "0a 0300 0900000000000000 00000000 {}",
        u32_hex(SETTINGS.len())
    );
    frame(&[&record], SETTINGS.as_bytes())
}

/// Two engines, of which the second drains, as list 2; then that list to instance 3 as a whole.
fn list() -> Vec<u8> {
    let mut tail = bytes("01000000 00000041 0000 0000 01 0000 0000000000000000");
    tail.extend(bytes(
        "02000000 00000041 0000 0000 02 0000 0000000000000840",
    ));
    frame(&["78 02 00000000 02000000", "14 0300 02 01"], &tail)
}

/// A statement: known estimate, 64 MB, budget 1 s, group 7, key, tenant 0, estimate 0.02 s, query class 0.
const WORK: &str = "1e 0300 2a00000000000000 01 00008042 000000000000f03f 0000e040 0100000000000000 0000 7b14ae47e17a943f 00";

fn told(host: &mut Host, frame: &[u8]) -> String {
    match host.answer(&batch(frame)) {
        Ok(reply) => hex(&encode_reply(12, &reply)),
        Err(error) => error.to_string(),
    }
}

/// An outcome of the first attempt at the statement, at engine 1: code, latency 0.5 s, bill of 20 ms and 8 MB, one field of load.
fn outcome(code: u8) -> Vec<u8> {
    // Only a result settles the statement.
    let answered = u8::from(code == 10);
    let record = format!(
        "32 0300 2a00000000000000 0000 01000000 {code:02x} 000000000000e03f {answered:02x} 02400100 01 00000040"
    );
    frame(&[&record], &[])
}

/// An instance that has its settings, its list and one statement out.
fn working() -> Host {
    let mut host = Host::default();
    for sent in [attach(), list(), frame(&[WORK], &[])] {
        host.answer(&batch(&sent)).unwrap();
    }
    host
}

#[test]
fn each_event_is_answered_as_recorded() {
    let mut host = Host::default();
    let mut got = vec![
        ("event-attach", told(&mut host, &attach())),
        ("event-list", told(&mut host, &list())),
        ("event-work", told(&mut host, &frame(&[WORK], &[]))),
    ];
    let events: [(&str, Vec<u8>); 18] = [
        (
            "event-first-rows",
            frame(
                &["28 0300 2a00000000000000 000000000000e03f 00000000 0000"],
                &[],
            ),
        ),
        (
            "event-progress",
            frame(&["6e 0300 2a00000000000000 0000 0000003f 00000000 01"], &[]),
        ),
        (
            "event-strained",
            frame(&["6e 0300 2a00000000000000 0000 0000003f 00000000 02"], &[]),
        ),
        ("event-completed", outcome(10)),
        ("event-error", outcome(20)),
        ("event-turned-away", outcome(30)),
        ("event-timed-out", outcome(40)),
        ("event-unreachable", outcome(50)),
        ("event-reset", outcome(60)),
        ("event-cancelled", outcome(70)),
        ("event-never-sent", outcome(80)),
        ("event-unknown-outcome", outcome(90)),
        ("event-given-up", frame(&["3c 0300 2a00000000000000"], &[])),
        ("event-reminder", frame(&["46 0300 0300000000000000"], &[])),
        (
            "event-load",
            frame(&["50 0300 01000000 000000000000e03f 00 01 00000040"], &[]),
        ),
        ("event-list-failed", frame(&["14 0300 02 03"], &[])),
        ("event-unlike-any", frame(&["5a 0300"], &[])),
        ("event-detach", frame(&["64 0300"], &[])),
    ];
    got.extend(
        events
            .iter()
            .map(|(name, event)| (*name, told(&mut working(), event))),
    );
    let faults = [
        ("event-unknown", frame(&["63 0300"], &[])),
        ("event-unknown-list", frame(&["14 0300 09 01"], &[])),
        ("event-unknown-list-form", frame(&["14 0300 02 04"], &[])),
        (
            "event-unknown-product",
            frame(
                &[&WORK.replace("7b14ae47e17a943f 00", "7b14ae47e17a943f 63")],
                &[],
            ),
        ),
        (
            "event-unknown-stage",
            frame(&["78 02 00000000 01000000"], &[9; 23]),
        ),
        (
            "event-settings-missing",
            frame(
                &["0a 0400 0900000000000000 00000000 0c000000"],
                b"PeersTotal=1",
            ),
        ),
    ];
    got.extend(
        faults
            .iter()
            .map(|(name, event)| (*name, told(&mut working(), event))),
    );
    golden("events.txt", &got);
}

fn range(offset: u32, count: u32) -> TailRange {
    TailRange { offset, count }
}

fn fault(frame: &[u8]) -> String {
    let error: FrameError = read_batch(&mut &frame[..]).unwrap_err();
    error.to_string()
}

#[test]
fn each_field_is_read_as_recorded() {
    let one: Vec<u8> = (1..=48).collect();
    let sent = frame(&[&hex(&one)], b"a text");
    let batch = batch(&sent);
    let (place, of): (usize, Fields<'_>) = batch.records().next().unwrap();
    let entries = frame(&["78"], &(1..=46).collect::<Vec<u8>>());
    let entries = read_batch(&mut &entries[..]).unwrap().unwrap();
    let entries: Vec<String> = entries
        .entries(0, range(0, 2))
        .unwrap()
        .map(|entry| format!("{}/{}", entry.u32(0), entry.u8(22)))
        .collect();
    let got = [
        ("batch-number", batch.number.to_string()),
        ("batch-clock", batch.clock.to_string()),
        ("record-place", place.to_string()),
        ("one-byte", of.u8(2).to_string()),
        ("two-bytes", of.u16(2).to_string()),
        ("four-bytes", of.u32(2).to_string()),
        ("eight-bytes", of.u64(2).to_string()),
        ("short-fraction", format!("{:e}", of.f32(2))),
        ("long-fraction", format!("{:e}", of.f64(2))),
        (
            "range",
            format!("{}+{}", of.range(2).offset, of.range(2).count),
        ),
        ("text", batch.text(0, range(2, 4)).unwrap()),
        ("entries", entries.join(" ")),
        (
            "nothing-more",
            read_batch(&mut &[][..]).unwrap().is_none().to_string(),
        ),
        (
            "outside",
            batch.text(0, range(2, 5)).unwrap_err().to_string(),
        ),
        (
            "entries-outside",
            batch.entries(0, range(0, 1)).err().unwrap().to_string(),
        ),
        ("unknown", batch.unknown(4, "thing", 5).to_string()),
        ("cut-head", fault(&sent[..11])),
        ("cut-body", fault(&sent[..40])),
        (
            "short-length",
            fault(&bytes("0c000000 0000000000000a40 08000000 01000000")),
        ),
    ];
    golden("read.txt", &got);
}
