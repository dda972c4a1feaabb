//! A feed connection on which messages take ever longer to arrive.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ebonyspur::{
    feed::{serve_subscribers, subscribe, Feed, PeerClock, MAX_STALENESS},
    presence::{Presence, StoreStatus},
    routes::TableBuilder,
    Clock, Instant,
};
use expect_test::expect;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{digest, name, read, server, state, LINK_MBPS};

/// Time between two answers of the store to the follower, each with a new table.
const ANSWER_PERIOD: Duration = Duration::from_millis(100);

/// Time for which the feed is watched; at its end messages arrive 3 s late.
const WATCHED: Duration = Duration::from_millis(6_000);

/// Forwards the connections of `listener` to `to`; what comes back is delayed by half of the
/// time since the start.
async fn delay_responses(listener: TcpListener, to: SocketAddr, clock: Clock) {
    loop {
        let (subscriber, _) = listener.accept().await.expect("a connection");
        let follower = TcpStream::connect(to).await.expect("the follower");
        let (mut from_subscriber, mut to_subscriber) = subscriber.into_split();
        let (mut from_follower, mut to_follower) = follower.into_split();
        tokio::spawn(async move {
            tokio::io::copy(&mut from_subscriber, &mut to_follower)
                .await
                .ok();
        });
        let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
        tokio::spawn(async move {
            let mut buf = [0; 4_096];
            while let Ok(len @ 1..) = from_follower.read(&mut buf).await {
                let now = clock.now();
                let due = now + now.since(Instant::default()) / 2;
                if tx.send((due, buf[..len].to_vec())).is_err() {
                    return;
                }
            }
        });
        tokio::spawn(async move {
            while let Some((due, bytes)) = rx.recv().await {
                sleep(due.since(clock.now())).await;
                if to_subscriber.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
    }
}

#[tokio::test]
async fn data_that_was_delayed_on_its_way_does_not_count_as_current() {
    let clock = Clock::new();
    let follower = Arc::new(Feed::new(&name(1), LINK_MBPS));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let follower_address = listener.local_addr().expect("an address");
    tokio::spawn(serve_subscribers(
        follower.clone(),
        Arc::new(listener),
        clock,
    ));
    tokio::spawn(async move {
        for answer in 1.. {
            let now = clock.now();
            let table = TableBuilder::new(now.as_micros()).build().expect("a table");
            follower.replace_routes_if_newer(table, "store");
            follower.record_routes_current(now);
            follower.apply_server_list(read(&[server(false)], answer), now);
            follower.record_servers_current(now);
            sleep(ANSWER_PERIOD).await;
        }
    });

    let proxy = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let mut router = state(1, StoreStatus::Following);
    router.peer_address = proxy.local_addr().expect("an address");
    tokio::spawn(delay_responses(proxy, follower_address, clock));
    let own_address = ([127, 0, 0, 1], 1).into();
    let presence = Arc::new(Presence::new(name(2), own_address));
    let feed = Arc::new(Feed::new(&name(2), LINK_MBPS));
    tokio::spawn(subscribe(feed.clone(), presence.clone(), clock));

    // The store refuses this router, so that it stays a subscriber.
    let refused = Err::<(), _>(ebonyspur::Error::not_run(
        ebonyspur::Category::LogUnavailable,
        "refused",
    ));
    feed.record_call("read_servers", &refused, clock.now());
    let mut sequence = 0;
    let mut was_current = false;
    let mut oldest_current = Duration::ZERO;
    while clock.now() < Instant::default() + WATCHED {
        sequence += 1;
        presence.receive(&digest(router.clone(), sequence), clock.now());
        let now = clock.now();
        if feed.is_current(now) {
            was_current = true;
            let age = now.since(Instant::from_micros(feed.routes.version()));
            oldest_current = oldest_current.max(age);
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert!(was_current, "the feed was never current");
    let bound = MAX_STALENESS + ANSWER_PERIOD + Duration::from_millis(100);
    assert!(
        oldest_current <= bound,
        "a table counted as current {oldest_current:?} after the follower had it"
    );
}

#[test]
fn the_time_on_a_subscribers_clock_is_never_overestimated() {
    let at = Instant::from_millis;
    // Sent at 5,000 on the subscriber's clock, received at 100 on the follower's.
    let clock = PeerClock::new(at(5_000), at(100));
    let lines: Vec<_> = [50, 100, 900]
        .map(|now| format!("{now}: {}", clock.at(at(now)).as_micros() / 1_000))
        .into();
    expect![[r#"
        50: 5000
        100: 5000
        900: 5800"#]]
    .assert_eq(&lines.join("\n"));
}
