//! Feeds other routers.

use std::{io, sync::Arc, time::Duration};

use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};

use super::{frame, Feed, FeedMessage};
use crate::{Clock, Instant};

/// Time between two messages on a connection on which nothing changes.
const BEAT: Duration = Duration::from_millis(400);

/// Longest time to write one message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Most routers fed at once; the others find another follower.
const MAX_FED: usize = 512;

/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Feeds the routers that connect, one task for each.
pub async fn serve(feed: Arc<Feed>, listener: TcpListener, clock: Clock) {
    let slots = Arc::new(Semaphore::new(MAX_FED));
    loop {
        let slot = slots.clone().acquire_owned().await.expect("never closed");
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                log::warn!("routers not accepted error=\"{err}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let feed = feed.clone();
        tokio::spawn(async move {
            if let Err(err) = feed_one(&feed, stream, &clock).await {
                log::debug!("router no longer fed from={from} error=\"{err}\"");
            }
            drop(slot);
        });
    }
}

async fn feed_one(feed: &Feed, mut stream: TcpStream, clock: &Clock) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut told_version = tokio::time::timeout(WRITE_TIMEOUT, stream.read_u64()).await??;
    let mut revisions = feed.revisions();
    let mut servers_told = None;
    loop {
        let revision = *revisions.borrow_and_update();
        if let Some((version, bytes)) = feed.encoded_routes() {
            if version > told_version {
                send(&mut stream, &FeedMessage::Routes(bytes.to_vec())).await?;
                told_version = version;
            }
        }
        if servers_told != Some(revision.changes) {
            if let Some((servers, next)) = feed.servers() {
                send(&mut stream, &FeedMessage::Servers { servers, next }).await?;
                servers_told = Some(revision.changes);
            }
        }
        if let Some(age) = age_millis(feed, clock.now()) {
            send(&mut stream, &FeedMessage::AgeMillis(age)).await?;
        }
        // A change, an answer of the store and the end of the pause call for the next round.
        let _ = tokio::time::timeout(BEAT, revisions.changed()).await;
    }
}

fn age_millis(feed: &Feed, now: Instant) -> Option<u64> {
    feed.age(now).map(|age| age.as_millis() as u64)
}

async fn send(stream: &mut TcpStream, update: &FeedMessage) -> io::Result<()> {
    tokio::time::timeout(WRITE_TIMEOUT, frame::write(stream, update)).await?
}
