//! Subscribes to a follower and applies the routes and servers that it sends.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{io::AsyncWriteExt, net::TcpStream};

use super::{frame, role::ROLE_CHECK_PERIOD, Feed, FeedMessage, Role};
use crate::{presence::Presence, Clock};

/// Maximum time to open a connection to a follower.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a message after which another follower is used; followers send one at least
/// every 400 ms.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Keeps a feed connection to one of the followers open while this router does not follow the
/// store itself.
pub async fn subscribe(feed: Arc<Feed>, presence: Arc<Presence>, clock: Clock) {
    loop {
        let now = clock.now();
        let sources = match feed.role(&presence, now) {
            Role::Follower if feed.is_known() => Vec::new(),
            // Until it can serve callers, a router accepts a feed from any router that serves.
            _ => presence.feed_sources(!feed.is_known(), now),
        };
        for address in sources {
            if let Err(err) = receive_feed(&feed, &presence, address, &clock).await {
                log::info!("feed connection lost follower={address} error=\"{err}\"");
            }
        }
        tokio::time::sleep(ROLE_CHECK_PERIOD).await;
    }
}

/// Applies messages until the connection fails or this router has to follow the store.
async fn receive_feed(
    feed: &Feed,
    presence: &Presence,
    follower: SocketAddr,
    clock: &Clock,
) -> io::Result<()> {
    let connect = TcpStream::connect(follower);
    let mut stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await??;
    stream.set_nodelay(true)?;
    stream.write_u64(feed.routes.version()).await?;
    log::info!("feed connection opened follower={follower}");
    let mut buf = Vec::new();
    loop {
        tokio::time::timeout(FOLLOWER_TIMEOUT, frame::read(&mut stream, &mut buf)).await??;
        let message = postcard::from_bytes(&buf).map_err(io::Error::other)?;
        buf = Vec::new();
        // A follower sends the age of its data after the data itself.
        let is_age = matches!(message, FeedMessage::AgeMillis(_));
        apply(feed, message, clock)?;
        let now = clock.now();
        if feed.is_known() && feed.role(presence, now) == Role::Follower {
            return Ok(());
        }
        if is_age && !feed.is_current(now) {
            return Err(io::Error::other("the follower is out of date"));
        }
    }
}

fn apply(feed: &Feed, message: FeedMessage, clock: &Clock) -> io::Result<()> {
    match message {
        FeedMessage::Routes(bytes) => {
            let table = postcard::from_bytes(&bytes).map_err(io::Error::other)?;
            feed.replace_routes_if_newer(table, "router");
        }
        FeedMessage::Servers { servers, next } => feed.replace_servers(servers, next),
        FeedMessage::AgeMillis(age) => {
            feed.record_current(clock.now() - Duration::from_millis(age))
        }
    }
    Ok(())
}
