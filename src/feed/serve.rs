//! Serves feed connections: sends routes and servers to the routers that subscribe.

use std::{io, sync::Arc, time::Duration};

use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};

use super::{frame, Feed, FeedMessage};
use crate::{Clock, Instant};

/// Time between two messages on a connection while nothing changes.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);

/// Maximum time to write one message, or to read the subscriber's opening one: the version of
/// the route table that it has.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of subscribers at once; further routers use another follower.
const MAX_SUBSCRIBERS: usize = 512;

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections of other routers and feeds each of them in its own task.
pub async fn serve_subscribers(feed: Arc<Feed>, listener: TcpListener, clock: Clock) {
    let slots = Arc::new(Semaphore::new(MAX_SUBSCRIBERS));
    loop {
        let slot = slots
            .clone()
            .acquire_owned()
            .await
            .expect("the semaphore is never closed");
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                log::warn!("cannot accept router connection error=\"{err}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let feed = feed.clone();
        tokio::spawn(async move {
            if let Err(err) = feed_subscriber(&feed, stream, &clock).await {
                log::debug!("feed connection closed from={from} error=\"{err}\"");
            }
            drop(slot);
        });
    }
}

async fn feed_subscriber(feed: &Feed, mut stream: TcpStream, clock: &Clock) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut sent_version = tokio::time::timeout(MESSAGE_TIMEOUT, stream.read_u64()).await??;
    let mut revisions = feed.revisions();
    let mut sent_changes = None;
    loop {
        let revision = *revisions.borrow_and_update();
        if let Some((version, bytes)) = feed.encoded_routes() {
            if version > sent_version {
                send(&mut stream, &FeedMessage::Routes(bytes.to_vec())).await?;
                sent_version = version;
            }
        }
        if sent_changes != Some(revision.changes) {
            if let Some((servers, next)) = feed.servers() {
                send(&mut stream, &FeedMessage::Servers { servers, next }).await?;
                sent_changes = Some(revision.changes);
            }
        }
        if let Some(age) = age_millis(feed, clock.now()) {
            send(&mut stream, &FeedMessage::AgeMillis(age)).await?;
        }
        // The next round starts at a change, an answer of the store or the end of the heartbeat
        // period.
        let _ = tokio::time::timeout(HEARTBEAT_PERIOD, revisions.changed()).await;
    }
}

fn age_millis(feed: &Feed, now: Instant) -> Option<u64> {
    feed.staleness(now).map(|age| age.as_millis() as u64)
}

async fn send(stream: &mut TcpStream, message: &FeedMessage) -> io::Result<()> {
    tokio::time::timeout(MESSAGE_TIMEOUT, frame::write(stream, message)).await?
}
