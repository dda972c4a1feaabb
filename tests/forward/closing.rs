//! Closing of callers' connections: none of them may be closed over a request.

use std::{
    io::{BufRead, Read},
    thread::sleep,
    time::{Duration, Instant},
};

use ebonyspur::forward::DrainStage;
use expect_test::expect;
use socket2::SockRef;

use crate::listener::{Connection, Listener, MAX_CONNECTIONS, MS};

#[test]
fn request_after_a_long_stream_is_not_lost() {
    let listener = Listener::start(MS(500), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    assert_eq!(caller.call("/stream/3500"), "200");
    sleep(MS(100));
    assert_eq!(caller.call("/"), "200");
}

#[test]
fn request_within_a_lengthened_idle_limit_is_not_lost() {
    let listener = Listener::start(MS(100), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    assert_eq!(caller.call("/"), "200");
    listener.set_idle_limit(MS(10_000));
    sleep(MS(3_000));
    assert_eq!(caller.call("/"), "200");
}

#[test]
fn request_within_the_idle_limit_of_the_last_response_is_not_lost() {
    let listener = Listener::start(MS(4_000), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    assert_eq!(caller.call("/"), "200");
    sleep(MS(3_000));
    assert_eq!(caller.call("/wait/2500"), "200");
    listener.set_idle_limit(Duration::ZERO);
    sleep(MS(3_200));
    assert_eq!(caller.call("/"), "200");
}

#[test]
fn callers_are_told_for_how_long_they_may_use_a_connection_again() {
    let listener = Listener::start(MS(15_000), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    caller.request("/");
    let head = caller.0.by_ref().lines().map_while(Result::ok);
    let head = head.take_while(|line| !line.is_empty());
    let is_kept = |line: &String| line.starts_with("connection") || line.starts_with("keep-alive");
    let lines: Vec<_> = head.filter(is_kept).collect();
    expect![[r#"
        connection: keep-alive
        keep-alive: timeout=15"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn request_within_the_idle_limit_that_was_announced_is_not_lost() {
    let listener = Listener::start(MS(4_000), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    sleep(MS(3_000));
    caller.request("/stream/2000");
    sleep(MS(300));
    listener.set_idle_limit(Duration::ZERO);
    assert_eq!(caller.answer(), "200");
    sleep(MS(3_200));
    assert_eq!(caller.call("/"), "200");
}

#[test]
fn request_within_the_idle_limit_after_a_response_that_was_read_slowly_is_not_lost() {
    const LEN: usize = 32 << 20;
    let listener = Listener::start(MS(1_000), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    let socket = SockRef::from(caller.0.get_ref());
    socket.set_recv_buffer_size(1 << 18).expect("a socket");
    caller.request("/large/32");
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert_ne!(caller.0.read_line(&mut head).expect("a head"), 0);
    }
    let mut part = vec![0; LEN / 8];
    for _ in 0..6 {
        sleep(MS(600));
        caller.0.read_exact(&mut part).expect("a body");
    }
    // The buffers of the kernel hold less than that.
    for _ in 0..2 {
        caller.0.read_exact(&mut part).expect("a body");
    }
    sleep(MS(500));
    assert_eq!(caller.call("/"), "200");
}

#[test]
fn idle_connections_are_closed_after_the_limit_of_their_last_response() {
    let listener = Listener::start(MS(500), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    assert_eq!(caller.call("/"), "200");
    let started = Instant::now();
    assert_eq!(caller.answer(), "unanswered");
    assert!(started.elapsed() >= MS(500), "{:?}", started.elapsed());
    assert!(started.elapsed() < MS(8_000), "{:?}", started.elapsed());
}

#[test]
fn request_whose_head_arrives_over_the_end_of_the_idle_limit_is_not_lost() {
    let listener = Listener::start(Duration::ZERO, MAX_CONNECTIONS);
    let mut caller = listener.connect();
    assert_eq!(caller.call("/"), "200");
    sleep(MS(1_300));
    caller.send("GET / HTTP/1.1\r\nho");
    sleep(MS(1_500));
    caller.send("st: h\r\n\r\n");
    assert_eq!(caller.answer(), "200");
}

#[test]
fn requests_that_wait_in_the_socket_at_the_end_of_the_idle_limit_are_not_lost() {
    let listener = Listener::start(Duration::ZERO, MAX_CONNECTIONS);
    let mut callers: Vec<_> = (0..20).map(|_| listener.connect()).collect();
    for caller in &mut callers {
        assert_eq!(caller.call("/"), "200");
    }
    sleep(MS(1_000));
    let mut blocker = listener.connect();
    blocker.request("/block/2000");
    sleep(MS(500));
    for caller in &mut callers {
        caller.request("/");
    }
    let answers: Vec<_> = callers.iter_mut().map(Connection::answer).collect();
    assert_eq!(answers, vec!["200"; 20]);
}

#[test]
fn request_whose_head_arrives_as_the_listener_closes_is_not_lost() {
    let listener = Listener::start(MS(10_000), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    assert_eq!(caller.call("/"), "200");
    caller.send("GET / HTTP/1.1\r\nho");
    sleep(MS(200));
    listener.enter(DrainStage::Closing);
    sleep(MS(500));
    caller.send("st: h\r\n\r\n");
    assert_eq!(caller.answer(), "200 close");
    listener.thread.join().expect("the listener ends");
}

#[test]
fn requests_that_the_kernel_has_accepted_are_not_lost_when_the_listener_closes() {
    let listener = Listener::start(MS(10_000), MAX_CONNECTIONS);
    let mut blocker = listener.connect();
    blocker.request("/block/1000");
    sleep(MS(300));
    let mut callers: Vec<_> = (0..20).map(|_| listener.connect()).collect();
    for caller in &mut callers {
        caller.request("/");
    }
    listener.enter(DrainStage::Closing);
    let answers: Vec<_> = callers.iter_mut().map(Connection::answer).collect();
    assert_eq!(answers, vec!["200 close"; 20]);
    listener.thread.join().expect("the listener ends");
}

#[test]
fn requests_that_wait_for_a_free_connection_are_not_lost_when_the_listener_closes() {
    let listener = Listener::start(MS(10_000), 1);
    let mut first = listener.connect();
    first.request("/wait/1000");
    sleep(MS(300));
    let mut callers: Vec<_> = (0..3).map(|_| listener.connect()).collect();
    for caller in &mut callers {
        caller.request("/");
    }
    listener.enter(DrainStage::Closing);
    let answers: Vec<_> = callers.iter_mut().map(Connection::answer).collect();
    assert_eq!(answers, vec!["200 close"; 3]);
    listener.thread.join().expect("the listener ends");
}

#[test]
fn connections_are_accepted_while_requests_of_a_closing_listener_run() {
    let listener = Listener::start(MS(10_000), MAX_CONNECTIONS);
    let mut first = listener.connect();
    first.request("/wait/2000");
    sleep(MS(300));
    listener.enter(DrainStage::Closing);
    sleep(MS(300));
    let mut late = listener.connect();
    sleep(MS(200));
    assert_eq!(late.call("/"), "200 close");
    assert_eq!(first.answer(), "200 close");
    listener.thread.join().expect("the listener ends");
}

#[test]
fn connection_with_half_of_its_first_head_does_not_stay_open_forever() {
    let listener = Listener::start(MS(100), MAX_CONNECTIONS);
    let mut connection = listener.connect();
    connection.send("GET / HT");
    let read = connection.0.read(&mut [0; 64]);
    assert!(matches!(read, Ok(0)), "still open: {read:?}");
}
