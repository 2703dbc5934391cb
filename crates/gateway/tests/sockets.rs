//! One socket's buffers, and the times of a planned restart.

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use admission::interface::TimeDelta;
use calloop::EventLoop;
use gateway::engines::ConnectionId;
use gateway::lifecycle::DrainTimes;
use gateway::socket::{EventSource, LoopEvents, Socket};

#[test]
fn what_has_not_left_is_taken_back_whole_or_not_at_all() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut far, _) = listener.accept().unwrap();
    let event_loop: EventLoop<'_, LoopEvents> = EventLoop::try_new().unwrap();
    let mut socket = Socket::new(
        Rc::new(near),
        &event_loop.handle(),
        EventSource::Engine(ConnectionId(0)),
    )
    .unwrap();
    socket.enqueue(b"first ");
    socket.flush().unwrap();
    socket.enqueue(b"second ");
    socket.enqueue(b"third ");
    socket.enqueue(b"fourth");
    for (from, to, back) in [
        // Written, in part or whole; empty; beyond what was put.
        (0, 6, false),
        (5, 13, false),
        (13, 13, false),
        (19, 40, false),
        (13, 19, true),
    ] {
        assert_eq!(socket.retract(from..to), back, "{from} to {to}");
    }
    assert_eq!(socket.bytes_enqueued, 19);
    socket.enqueue(b"!");
    socket.flush().unwrap();
    drop(socket);
    let mut got = String::new();
    far.read_to_string(&mut got).unwrap();
    assert_eq!(got, "first second fourth!");
}

/// Both ends follow the deployment's longest deadline: with a fixed figure, short ones are killed unanswered.
#[test]
fn draining_ends_before_the_kill_and_after_the_last_statement() {
    for (longest, by) in [(0.2, 0.85), (1.0, 1.45), (3.0, 3.4), (15.0, 3.4)] {
        let DrainTimes { answered, exit } =
            DrainTimes::for_longest_deadline(TimeDelta::from_secs(longest));
        assert_eq!(answered, TimeDelta::from_secs(by));
        // What still comes, 0.7 s, and the longest limit, 3 s at most.
        assert!(answered.secs() > 0.7 && exit > answered);
        assert!(exit.secs() < 0.7 + longest.min(3.0));
    }
}
