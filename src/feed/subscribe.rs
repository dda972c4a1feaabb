//! Subscribes to a follower and applies the routes and servers that it sends.

use std::{cmp::Reverse, io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{io::AsyncWriteExt, net::TcpStream};

use super::{frame, role::ROLE_CHECK_PERIOD, Feed, FeedMessage, ListVersion, Position, Role};
use crate::{presence::Presence, Clock, Instant};

/// Maximum time to open a connection to a follower.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two rounds of attempts to find a router that feeds this one.
const RECONNECT_PERIOD: Duration = Duration::from_millis(500);

/// Time without a byte after which another follower is used; followers send a message at least
/// every 400 ms.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Age of the data of a follower from which another one is used.
///
/// More than [`MAX_STALENESS`](super::MAX_STALENESS), from which a router reads the store itself:
/// while the routers agree on the next follower, those between it and this router catch up.
const MAX_FOLLOWER_AGE: Duration = Duration::from_millis(2_600);

/// Time between two checks whether another router is to feed this one.
const UPSTREAM_CHECK_PERIOD: Duration = Duration::from_millis(2_000);

/// Time between two readings of the own clock sent to the follower.
const CLOCK_PERIOD: Duration = Duration::from_millis(400);

/// Time that a message took to arrive from which it is logged as delayed.
const DELAY_LOG_THRESHOLD: Duration = Duration::from_millis(300);

/// Keeps a feed connection to one of the followers open while this router does not follow the
/// store itself, or to a router with later routes or evacuations while no other router follows.
pub async fn subscribe(feed: Arc<Feed>, presence: Arc<Presence>, clock: Clock) {
    loop {
        let now = clock.now();
        let mut sources = match feed.role(&presence, now) {
            Role::Follower if feed.is_known() => Vec::new(),
            _ => feed.upstreams(&presence, now),
        };
        if !feed.is_known() {
            // Until it can serve callers, a router accepts a feed from any router that serves.
            sources.extend(presence.serving_peers(now));
        } else if sources.is_empty() {
            sources = routers_ahead(&feed, &presence, now);
        }
        let mut pause = ROLE_CHECK_PERIOD;
        for address in sources {
            match receive_feed(&feed, &presence, address, &clock).await {
                Ok(()) => {
                    pause = ROLE_CHECK_PERIOD;
                    break;
                }
                Err(err) => {
                    log::info!("feed connection lost follower={address} error=\"{err}\"");
                    pause = RECONNECT_PERIOD;
                }
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Returns the addresses of the live routers with later routes or evacuations than those in force
/// here, the latest first.
///
/// A store that came back from a copy gives out older routes until they are written again. While
/// no router reaches the store, the first one that fed this router may have been behind the others.
fn routers_ahead(feed: &Feed, presence: &Presence, now: Instant) -> Vec<SocketAddr> {
    let version = feed.routes.version();
    let evacuations = Some(feed.evacuations.version());
    let mut ahead = presence.map_live(now, |state| {
        let theirs = (state.routes_version, state.evacuations_version);
        (theirs, state.peer_address)
    });
    ahead.retain(|(theirs, _)| theirs.0 > version || theirs.1 > evacuations);
    ahead.sort_unstable_by_key(|(theirs, _)| Reverse(*theirs));
    ahead.into_iter().map(|(_, address)| address).collect()
}

/// Applies messages until the connection fails, this router has to follow the store, or another
/// router is to feed it.
async fn receive_feed(
    feed: &Feed,
    presence: &Presence,
    follower: SocketAddr,
    clock: &Clock,
) -> io::Result<()> {
    let connect = TcpStream::connect(follower);
    let mut stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await??;
    stream.set_nodelay(true)?;
    let (mut rx, mut tx) = stream.split();
    tx.write_u64(feed.routes.version()).await?;
    let mut last_reading = clock.now();
    tx.write_u64(last_reading.as_micros()).await?;
    log::info!("feed connection opened follower={follower}");
    let mut last_checked = last_reading;
    let mut buf = Vec::new();
    loop {
        frame::read(&mut rx, &mut buf, FOLLOWER_TIMEOUT).await?;
        let (message, quarantined) = frame::decode(&buf)?;
        buf = Vec::new();
        if let Some(quarantined) = quarantined {
            feed.receive_quarantines(&quarantined, clock.now());
        }
        let age = apply(feed, message, follower, clock.now())?;
        if age.is_some_and(|age| age >= MAX_FOLLOWER_AGE) {
            return Err(io::Error::other("the follower is out of date"));
        }
        let now = clock.now();
        if feed.is_known()
            && feed.role(presence, now) == Role::Follower
            && !routers_ahead(feed, presence, now).contains(&follower)
        {
            return Ok(());
        }
        if now.since(last_checked) >= UPSTREAM_CHECK_PERIOD {
            last_checked = now;
            let upstreams = feed.upstreams(presence, now);
            if upstreams.first().is_some_and(|first| *first != follower) {
                return Ok(());
            }
        }
        if now.since(last_reading) >= CLOCK_PERIOD {
            last_reading = now;
            tx.write_u64(now.as_micros()).await?;
        }
    }
}

/// Applies a message; returns the age of the follower's data if the message states it.
fn apply(
    feed: &Feed,
    message: FeedMessage,
    follower: SocketAddr,
    now: Instant,
) -> io::Result<Option<Duration>> {
    match message {
        FeedMessage::Routes(bytes) => {
            let table = postcard::from_bytes(&bytes).map_err(io::Error::other)?;
            feed.replace_routes_if_newer(table, "router");
        }
        FeedMessage::Servers {
            servers,
            next,
            era,
            departures,
            is_settled,
            evacuations,
            warm_ups,
        } => {
            if let Some(report) = &evacuations {
                feed.receive_evacuations(report, now);
            }
            feed.receive_departure_reports(&departures, now);
            feed.receive_warm_ups(&warm_ups, now);
            let version = ListVersion {
                position: Position::new(era, next),
                is_settled,
            };
            feed.replace_servers(servers, version, now);
        }
        FeedMessage::Current {
            at_micros,
            age_millis,
        } => {
            // The follower's estimate runs ahead of the clock of a router that was suspended.
            let at = Instant::from_micros(at_micros).min(now);
            let stated_age = Duration::from_millis(age_millis);
            let age = now.since(at).max(stated_age);
            let delay = age - stated_age;
            if delay >= DELAY_LOG_THRESHOLD {
                let delay_ms = delay.as_millis();
                log::info!(
                    "feed delayed follower={follower} delay_ms={delay_ms} age_ms={age_millis}"
                );
            }
            // Data from before the start of this process has no time on its clock.
            if age <= now.since(Instant::default()) {
                feed.record_current(now - age, now);
            }
            return Ok(Some(age));
        }
    }
    Ok(None)
}
