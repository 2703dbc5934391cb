//! Words and numbers that an engine spoils: none of them is replaced by a default that changes what
//! a client gets or what becomes of its statement.

mod support;

use serde_json::json;
use support::clients::*;
use support::*;

/// Starts a statement whose attempts the gateway may cancel.
fn start() -> OpenStatement {
    OpenStatement::start(|config| config["settings"]["Limits"]["Cancel"] = json!(true))
}

/// Returns an answer of this kind with these fields.
fn response(statement: &OpenStatement, kind: &str, fields: &str, page: &str) -> String {
    let id = &statement.received.id;
    format!("{id} {kind} {fields} {}\r\n{page}\r\n", page.len())
}

/// Sends an answer of this kind with these fields.
fn answer(statement: &mut OpenStatement, kind: &str, fields: &str, page: &str) {
    let response = response(statement, kind, fields, page);
    statement.connection.send(&response);
}

/// Asserts that the gateway gives up the connection, sends the statement again on another one
/// and passes on the whole result from there.
fn assert_served_by_another_attempt(mut statement: OpenStatement, case: &str) {
    while let Some(line) = statement.connection.read_line() {
        assert!(line.starts_with("page "), "{case}: {line}");
    }
    let mut again = statement.engine.accept();
    let received = again.receive_statement();
    assert_eq!(received.id, statement.received.id, "{case}");
    // Both pages in one write: the second may not come later than 0.3 s after the first.
    let id = &received.id;
    again.send(&format!(
        "{id} DONE total=2 8\r\n0\tone\tx\n\r\n{id} MORE index=1 8\r\n1\ttwo\tx\n\r\n"
    ));
    let rows = rows(statement.client.answer().unwrap());
    assert_eq!(rows, [["0", "one", "x"], ["1", "two", "x"]], "{case}");
    let log = terminate(statement.gateway);
    assert_eq!(counter(&log, "answers_malformed"), 1, "{case}: {log}");
}

/// Guards against a first page that is passed on as the whole result because the number of pages
/// cannot be read (review case 3).
#[test]
fn a_result_whose_number_of_pages_is_unknown_is_not_served() {
    let spoilt = [
        "-",
        "elapsed=12.5,rss=8",
        "t~tal=3,elapsed=12.5,rss=8",
        "total~3,elapsed=12.5,rss=8",
        "total=3~elapsed=12.5,rss=8",
        "total=~,elapsed=12.5,rss=8",
        "total=,elapsed=12.5,rss=8",
        "total=0,elapsed=12.5,rss=8",
        "total=-3",
        "total=+1",
        "total=1.0",
        "total=65",
        "total=99999999999999999999",
    ];
    for_each_concurrently(&spoilt, |fields| {
        let mut statement = start();
        answer(&mut statement, "DONE", fields, "0\tone\tx\n");
        assert_served_by_another_attempt(statement, fields);
    });
}

/// Guards against a page that is put in the place of another, or is waited for in vain, because its
/// index cannot be read.
#[test]
fn a_page_whose_index_is_unknown_ends_its_connection() {
    let spoilt = [
        "-",
        "ind~x=1",
        "index~1",
        "index=~",
        "index=+1",
        "index=-1",
        "index=3",
        "index=99999999999999999999",
    ];
    for_each_concurrently(&spoilt, |fields| {
        let mut statement = start();
        // Were the spoilt page ignored, the others would complete the result.
        let pages = [
            response(&statement, "DONE", "total=3", "0\tone\tx\n"),
            response(&statement, "MORE", fields, "2\tthree\tx\n"),
            response(&statement, "MORE", "index=1", "1\ttwo\tx\n"),
            response(&statement, "MORE", "index=2", "2\tthree\tx\n"),
        ];
        statement.connection.send(&pages.concat());
        assert_served_by_another_attempt(statement, fields);
    });
}

/// Guards against a whole result that is lost, or a wrong usage that is learned, because the usage
/// of the statement cannot be read: the usage is not part of the result.
#[test]
fn a_result_whose_usage_is_unknown_is_served() {
    let spoilt = [
        "total=1",
        "total=1,elapsed=~2.5,rss=8",
        "total=1,elapsed=-12.5,rss=NaN",
        "total=1,el~psed=12.5,rss=inf",
        "total=1,elapsed=+2.5~rss=8",
    ];
    for_each_concurrently(&spoilt, |fields| {
        let mut statement = start();
        answer(&mut statement, "DONE", fields, "0\tone\tx\n");
        let answer = statement.client.answer().unwrap();
        assert_eq!(rows(answer), [["0", "one", "x"]], "{fields}");
        let log = terminate(statement.gateway);
        assert_eq!(counter(&log, "attempts_sent"), 1, "{fields}: {log}");
    });
}

/// Guards against an attempt that is cancelled as a runaway because a spoilt share of its work is
/// taken for hardly any progress.
#[test]
fn a_share_of_the_work_that_is_out_of_range_cancels_no_attempt() {
    let spoilt = ["-0.5", "-.9", "+0.0001", "-1e300", "1.5", "NaN", "~.5", ""];
    for_each_concurrently(&spoilt, |datum| {
        let mut statement = start();
        answer(
            &mut statement,
            "TELL",
            &format!("remark=done,datum={datum}"),
            "",
        );
        statement.gateway.settle();
        assert!(statement.connection.has_no_input(), "{datum}");
        statement.connection.complete(&statement.received);
        assert_eq!(rows(statement.client.answer().unwrap()).len(), 1, "{datum}");
        let log = terminate(statement.gateway);
        assert_eq!(counter(&log, "attempts_cancelled"), 0, "{datum}: {log}");
    });
}

/// Shows that the test above sees a cancelled attempt: a share that is in range is used.
#[test]
fn a_share_of_the_work_that_is_in_range_cancels_a_runaway_attempt() {
    let mut statement = start();
    answer(&mut statement, "TELL", "remark=done,datum=0.0001", "");
    let line = statement.connection.read_line();
    assert_eq!(line, Some(format!("undo {}", statement.received.id)));
    let mut again = statement.engine.accept();
    let received = again.receive_statement();
    again.complete(&received);
    assert_eq!(rows(statement.client.answer().unwrap()).len(), 1);
}
