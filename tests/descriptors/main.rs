//! Listeners of a process that has run out of file descriptors, in a process of their own.

#[path = "../forward/listener.rs"]
#[allow(dead_code)]
mod listener;

use std::{fs::File, io::BufReader, os::fd::AsRawFd, thread::sleep, time::Duration};

use ebonyspur::forward::DrainStage;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use socket2::{Domain, Socket, Type};

use listener::{Connection, Listener, MS};

/// Makes each new file descriptor of this process fail.
fn exhaust_descriptors() {
    let next = File::open("/dev/null").expect("a file").as_raw_fd() as u64;
    let limit = Rlimit {
        current: Some(next),
        ..getrlimit(Resource::Nofile)
    };
    setrlimit(Resource::Nofile, limit).expect("a limit");
}

#[test]
fn requests_that_the_kernel_has_accepted_are_not_lost_when_no_descriptors_are_left() {
    let listener = Listener::start(Duration::from_secs(60), 3);
    let mut first: Vec<_> = (0..3).map(|_| listener.connect()).collect();
    for caller in &mut first {
        caller.request("/wait/2000");
    }
    let sockets: Vec<_> = (0..4)
        .map(|_| Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket"))
        .collect();
    sleep(MS(500));
    exhaust_descriptors();
    let address = listener.address.into();
    let mut queued: Vec<_> = sockets
        .into_iter()
        .map(|socket| {
            socket.connect(&address).expect("a connection");
            let timeout = Some(Duration::from_secs(20));
            socket.set_read_timeout(timeout).expect("a timeout");
            Connection(BufReader::new(socket.into()))
        })
        .collect();
    for caller in &mut queued {
        caller.request("/");
    }
    listener.enter(DrainStage::Finishing);
    let answers: Vec<_> = queued.iter_mut().map(Connection::answer).collect();
    assert_eq!(answers, vec!["200 close"; 4]);
    let answers: Vec<_> = first.iter_mut().map(Connection::answer).collect();
    assert_eq!(answers, vec!["200 close"; 3]);
    listener.thread.join().expect("the listener ends");
}
