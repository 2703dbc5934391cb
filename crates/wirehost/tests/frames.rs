//! The wire page's worked frames, and frames that are not what they claim.

use quickcheck::{QuickCheck, TestResult};
use wirehost::frames::{Reply, encode_reply, read_batch};
use wirehost::host::Host;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: String = hex.split_whitespace().collect();
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}

fn record(hex: &str) -> Vec<u8> {
    let mut record = bytes(hex);
    record.resize(48, 0);
    record
}

fn frame(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body: Vec<u8> = records
        .iter()
        .flatten()
        .copied()
        .chain(tail.iter().copied())
        .collect();
    let mut frame = bytes("0c000000 508d976e12d32040");
    frame.extend((4 + body.len() as u32).to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(body);
    frame
}

fn fault(frame: &[u8]) -> String {
    match read_batch(&mut &frame[..]) {
        Err(error) => error.to_string(),
        Ok(batch) => match Host::default().answer(&batch.expect("not empty")) {
            Err(error) => error.to_string(),
            Ok(_) => panic!("taken for good"),
        },
    }
}

#[test]
fn the_worked_batch_is_read_in_place() {
    let work = "1e 0300 c4913a5d00380000 01 0000c043 b81e85eb51b8ce3f 00003041 640ad2557c3bf091 0000 \
                fa7e6abc7493883f 00";
    let sent = frame(
        &[
            record(work),
            record("46 0300 4d00000000000000"),
            record("3c 0500 192b6f0e38850d00"),
        ],
        &[],
    );
    assert_eq!(sent.len(), 16 + 0x94);
    let batch = read_batch(&mut &sent[..]).unwrap().unwrap();
    assert_eq!(batch.number, 12);
    let (_, item) = batch.records().next().unwrap();
    assert_eq!(
        (item.u8(0), item.u16(1), item.u64(3)),
        (30, 3, 0x3800_5d3a_91c4)
    );
    assert_eq!(
        (item.f32(12), item.f64(16), item.f32(24)),
        (384.0, 0.24, 11.0)
    );
    assert_eq!(
        (item.u64(28), item.f64(38), item.u8(46)),
        (0x91f0_3b7c_55d2_0a64, 0.012, 0)
    );
    // None of the instances is attached: there is nothing to say.
    assert_eq!(
        encode_reply(12, &Host::default().answer(&batch).unwrap()),
        bytes("0c000000 04000000 00000000")
    );
}

#[test]
fn the_worked_reply_is_written_to_the_byte() {
    let mut reply = Reply::default();
    reply.attempt(3, 0x3800_5d3a_91c4, 0x0312_4a07, 0.079);
    reply.remind(3, 0.5, 0x4d);
    reply.remark(5, "two servers known");
    let mut want = bytes("0c000000 5d000000 03000000");
    for action in [
        "0a 0300 c4913a5d00380000 074a1203 7b14ae47e17ab43f 00",
        "32 0300 000000000000e03f 4d00000000000000 0000000000",
        "5a 0500 00000000 11000000 00000000000000000000000000",
    ] {
        want.extend(bytes(action));
    }
    want.extend(b"two servers known");
    let got = encode_reply(12, &reply);
    // The page's time-out is a rounded 0.08; all else agrees.
    assert_eq!((&got[..27], &got[35..]), (&want[..27], &want[35..]));
}

#[test]
fn malformed_frames_are_named() {
    let good = frame(&[record("46 0300 4d")], &[]);
    assert!(fault(&good[..11]).contains("11 of 20 bytes of the header"));
    assert!(fault(&good[..40]).contains("20 of 48 bytes of the body"));
    let mut short = good.clone();
    short[16] = 2;
    assert!(fault(&short).contains("length 52 does not hold 2 records"));
    assert!(fault(&frame(&[record("63 0300")], &[])).contains("record 0: unknown event code 99"));
    let list = record("78 00 04000000 ffffffff");
    assert!(fault(&frame(&[list], &[0; 30])).contains("list at 4, 4294967295 long"));
    let attach = record("0a 0300 0100000000000000 00000000 05000000");
    assert!(fault(&frame(&[attach], b"A=1")).contains("outside a tail of 3 bytes"));
}

#[test]
fn a_missing_setting_fails_that_instance_by_name() {
    let text = b"PeersTotal=1";
    let attach = record("0a 0300 0100000000000000 00000000 0c000000");
    let sent = frame(&[attach], text);
    let reply = Host::default()
        .answer(&read_batch(&mut &sent[..]).unwrap().unwrap())
        .unwrap();
    let reply = encode_reply(12, &reply);
    assert_eq!(reply[12], 100);
    assert!(String::from_utf8_lossy(&reply).contains("settings: Grades.count is missing"));
}

#[test]
fn no_bytes_make_it_panic() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "QuickCheck hands its arguments over by value"
    )]
    fn holds(body: Vec<u8>, records: u8) -> TestResult {
        let mut sent = frame(&[], &body);
        sent[16] = records % 4;
        if let Ok(Some(batch)) = read_batch(&mut &sent[..]) {
            let _ = Host::default().answer(&batch);
        }
        TestResult::passed()
    }
    let random = quickcheck::Gen::from_size_and_seed(400, 7);
    QuickCheck::new()
        .rng(random)
        .tests(400)
        .quickcheck(holds as fn(Vec<u8>, u8) -> TestResult);
}
