//! Takes over what a follower tells.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{io::AsyncWriteExt, net::TcpStream};

use super::{frame, role::ROLE_PERIOD, Feed, FeedMessage, Role};
use crate::{presence::Presence, Clock};

/// Longest time to open a connection to a follower.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Silence of a follower after which another one is asked; it speaks each 400 ms.
const SILENCE: Duration = Duration::from_millis(1_000);

/// Keeps this router fed by one of the followers, unless it follows the store itself.
pub async fn subscribe(feed: Arc<Feed>, presence: Arc<Presence>, clock: Clock) {
    loop {
        let now = clock.now();
        let feeders = match feed.role(&presence, now) {
            Role::Follower if feed.is_known() => Vec::new(),
            // Until it can serve, a router learns from whoever knows more.
            _ => presence.feed_sources(!feed.is_known(), now),
        };
        for address in feeders {
            if let Err(err) = be_fed(&feed, &presence, address, &clock).await {
                log::info!("feed lost follower={address} error=\"{err}\"");
            }
        }
        tokio::time::sleep(ROLE_PERIOD).await;
    }
}

/// Takes over updates until the follower fails or this router is to follow the store.
async fn be_fed(
    feed: &Feed,
    presence: &Presence,
    follower: SocketAddr,
    clock: &Clock,
) -> io::Result<()> {
    let connect = TcpStream::connect(follower);
    let mut stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await??;
    stream.set_nodelay(true)?;
    stream.write_u64(feed.routes.version()).await?;
    log::info!("feed begins follower={follower}");
    let mut buf = Vec::new();
    loop {
        tokio::time::timeout(SILENCE, frame::read(&mut stream, &mut buf)).await??;
        let update = postcard::from_bytes(&buf).map_err(io::Error::other)?;
        buf = Vec::new();
        // What a follower tells comes before the age of it.
        let told_all = matches!(update, FeedMessage::AgeMillis(_));
        apply(feed, update, clock)?;
        let now = clock.now();
        if feed.is_known() && feed.role(presence, now) == Role::Follower {
            return Ok(());
        }
        if told_all && !feed.is_current(now) {
            return Err(io::Error::other("the follower is out of date"));
        }
    }
}

fn apply(feed: &Feed, update: FeedMessage, clock: &Clock) -> io::Result<()> {
    match update {
        FeedMessage::Routes(bytes) => {
            let table = postcard::from_bytes(&bytes).map_err(io::Error::other)?;
            feed.offer_routes(table, "router");
        }
        FeedMessage::Servers { servers, next } => feed.replace_servers(servers, next),
        FeedMessage::AgeMillis(age) => {
            feed.record_current(clock.now() - Duration::from_millis(age))
        }
    }
    Ok(())
}
