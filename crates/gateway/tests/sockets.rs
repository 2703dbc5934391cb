//! Tests of a socket's send buffer and of the times of a drain.

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use admission::interface::TimeDelta;
use calloop::EventLoop;
use gateway::engines::ConnectionId;
use gateway::lifecycle::DrainTimes;
use gateway::socket::{EventSource, LoopEvents, Socket};

#[test]
fn unsent_bytes_are_retracted_completely_or_not_at_all() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let local = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut remote, _) = listener.accept().unwrap();
    let event_loop: EventLoop<'_, LoopEvents> = EventLoop::try_new().unwrap();
    let mut socket = Socket::new(
        Rc::new(local),
        &event_loop.handle(),
        EventSource::Engine(ConnectionId(0)),
    )
    .unwrap();
    socket.enqueue(b"first ");
    socket.flush().unwrap();
    socket.enqueue(b"second ");
    socket.enqueue(b"third ");
    socket.enqueue(b"fourth");
    for (from, to, retracted) in [
        // Ranges that were written completely or in part, an empty one, and one beyond the end.
        (0, 6, false),
        (5, 13, false),
        (13, 13, false),
        (19, 40, false),
        (13, 19, true),
    ] {
        assert_eq!(socket.retract(from..to), retracted, "{from} to {to}");
    }
    assert_eq!(socket.bytes_enqueued, 19);
    socket.enqueue(b"!");
    socket.flush().unwrap();
    drop(socket);
    let mut received = String::new();
    remote.read_to_string(&mut received).unwrap();
    assert_eq!(received, "first second fourth!");
}

/// Both times of a drain depend on the longest statement deadline of the deployment. With fixed
/// times, statements with short deadlines would be killed without an answer.
#[test]
fn a_drain_ends_after_the_last_statement_and_before_the_kill() {
    for (longest, answered_by) in [(0.2, 0.85), (1.0, 1.45), (3.0, 3.4), (15.0, 3.4)] {
        let DrainTimes { answered, exit } =
            DrainTimes::for_longest_deadline(TimeDelta::from_secs(longest));
        assert_eq!(answered, TimeDelta::from_secs(answered_by));
        // New statements are accepted for 0.7 s, and the longest deadline counts for at most 3 s.
        assert!(answered.secs() > 0.7 && exit > answered);
        assert!(exit.secs() < 0.7 + longest.min(3.0));
    }
}
