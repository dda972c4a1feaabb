//! Connections of callers while the router drains.

use std::{io::Read, thread::sleep, time::Instant};

use ebonyspur::forward::DrainStage;

use crate::listener::{Connection, Listener, MAX_CONNECTIONS, MS};

#[test]
fn callers_are_told_at_the_end_of_a_stream_that_a_draining_router_takes_no_further_request() {
    let listener = Listener::start(MS(60_000), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    caller.request("/stream/1500");
    sleep(MS(500));
    listener.enter(DrainStage::Draining);
    assert_eq!(caller.answer(), "200");
    let ended = Instant::now();
    let read = caller.0.read(&mut [0; 64]);
    assert!(matches!(read, Ok(0)), "still open: {read:?}");
    assert!(ended.elapsed() < MS(1_000), "{:?}", ended.elapsed());
}

#[test]
fn request_on_an_idle_connection_late_in_a_drain_is_answered() {
    let listener = Listener::start(MS(60_000), MAX_CONNECTIONS);
    let mut callers: Vec<_> = (0..2).map(|_| listener.connect()).collect();
    for caller in &mut callers {
        assert_eq!(caller.call("/"), "200");
    }
    listener.enter(DrainStage::Draining);
    assert_eq!(callers[0].call("/"), "200 close");
    listener.enter(DrainStage::Closing);
    sleep(MS(1_000));
    assert_eq!(callers[1].call("/"), "200 close");
    listener.thread.join().expect("the listener ends");
}

#[test]
fn request_on_a_connection_that_was_silent_since_it_was_opened_in_a_drain_is_answered() {
    let listener = Listener::start(MS(60_000), MAX_CONNECTIONS);
    listener.enter(DrainStage::Draining);
    let mut caller = listener.connect();
    listener.enter(DrainStage::Closing);
    sleep(MS(2_500));
    assert_eq!(caller.call("/"), "200 close");
    listener.thread.join().expect("the listener ends");
}

#[test]
fn idle_connections_and_the_listener_end_with_the_last_answers() {
    let listener = Listener::start(MS(60_000), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    assert_eq!(caller.call("/"), "200");
    let mut streaming = listener.connect();
    streaming.request("/stream/1000");
    sleep(MS(300));
    listener.enter(DrainStage::Finishing);
    let started = Instant::now();
    assert_eq!(caller.answer(), "unanswered");
    assert_eq!(streaming.answer(), "200");
    listener.thread.join().expect("the listener ends");
    assert!(started.elapsed() < MS(8_000), "{:?}", started.elapsed());
}

#[test]
fn draining_listener_ends_before_the_last_answers_when_callers_use_it_no_longer() {
    let listener = Listener::start(MS(500), MAX_CONNECTIONS);
    let mut callers: Vec<_> = (0..2).map(|_| listener.connect()).collect();
    for caller in &mut callers {
        assert_eq!(caller.call("/"), "200");
    }
    drop(callers.pop());
    listener.enter(DrainStage::Draining);
    listener.enter(DrainStage::Closing);
    let started = Instant::now();
    listener.thread.join().expect("the listener ends");
    assert!(started.elapsed() < MS(8_000), "{:?}", started.elapsed());
}

#[test]
fn request_whose_head_is_half_read_at_the_last_answers_is_answered() {
    let listener = Listener::start(MS(60_000), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    assert_eq!(caller.call("/"), "200");
    caller.send("GET / HTTP/1.1\r\nho");
    listener.enter(DrainStage::Draining);
    sleep(MS(200));
    listener.enter(DrainStage::Finishing);
    sleep(MS(500));
    caller.send("st: h\r\n\r\n");
    assert_eq!(caller.answer(), "200 close");
    listener.thread.join().expect("the listener ends");
}

#[test]
fn requests_that_wait_in_the_sockets_of_idle_connections_at_the_last_answers_are_answered() {
    let listener = Listener::start(MS(60_000), MAX_CONNECTIONS);
    let mut callers: Vec<_> = (0..20).map(|_| listener.connect()).collect();
    for caller in &mut callers {
        assert_eq!(caller.call("/"), "200");
    }
    listener.enter(DrainStage::Draining);
    let mut blocker = listener.connect();
    blocker.request("/block/1500");
    sleep(MS(500));
    for caller in &mut callers {
        caller.request("/");
    }
    listener.enter(DrainStage::Finishing);
    let answers: Vec<_> = callers.iter_mut().map(Connection::answer).collect();
    assert_eq!(answers, vec!["200 close"; 20]);
    listener.thread.join().expect("the listener ends");
}

#[test]
fn requests_that_wait_for_a_free_connection_are_answered_at_the_last_answers() {
    let listener = Listener::start(MS(60_000), 2);
    let mut busy = listener.connect();
    busy.request("/wait/4000");
    let mut idle = listener.connect();
    assert_eq!(idle.call("/"), "200");
    let mut callers: Vec<_> = (0..10).map(|_| listener.connect()).collect();
    for caller in &mut callers {
        caller.request("/");
    }
    listener.enter(DrainStage::Draining);
    listener.enter(DrainStage::Closing);
    sleep(MS(500));
    listener.enter(DrainStage::Finishing);
    let answers: Vec<_> = callers.iter_mut().map(Connection::answer).collect();
    assert_eq!(answers, vec!["200 close"; 10]);
    assert_eq!(busy.answer(), "200 close");
    listener.thread.join().expect("the listener ends");
}

#[test]
fn large_response_that_its_caller_reads_slowly_is_whole_after_the_last_answers() {
    let listener = Listener::start(MS(60_000), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    caller.request("/large/32");
    sleep(MS(500));
    listener.enter(DrainStage::Draining);
    sleep(MS(500));
    listener.enter(DrainStage::Finishing);
    sleep(MS(500));
    let mut bytes = Vec::new();
    let read = caller.0.read_to_end(&mut bytes);
    assert!(read.is_ok() && bytes.len() > 32 << 20, "{read:?}");
    listener.thread.join().expect("the listener ends");
}

#[test]
fn request_that_was_sent_ahead_of_the_end_of_a_stream_is_answered_in_a_drain() {
    let listener = Listener::start(MS(60_000), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    caller.request("/stream/1500");
    caller.request("/");
    sleep(MS(500));
    listener.enter(DrainStage::Draining);
    assert_eq!(caller.answer(), "200");
    assert_eq!(caller.answer(), "200 close");
    listener.enter(DrainStage::Closing);
    listener.thread.join().expect("the listener ends");
}
