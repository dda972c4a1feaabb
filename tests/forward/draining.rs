//! Connections of callers while the router drains.

use std::{io::Read, thread::sleep, time::Instant};

use ebonyspur::forward::DrainStage;

use crate::listener::{Listener, MAX_CONNECTIONS, MS};

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
