//! Serves feed connections: sends routes and servers to the routers that subscribe.

use std::{io, sync::Arc, time::Duration};

use bytes::{Buf, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{tcp::ReadHalf, tcp::WriteHalf, TcpListener, TcpStream},
    sync::Semaphore,
};

use super::{frame, Feed, FeedMessage, PeerClock};
use crate::{Clock, Instant};

/// Time between two messages on a connection while nothing changes.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);

/// Maximum time to write one message, or to read the subscriber's opening one: the version of
/// the route table that it has, and the time on its clock.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Length of a clock reading in bytes.
const READING_LEN: usize = size_of::<u64>();

/// Accepts connections of other routers and feeds each of them in its own task.
pub async fn serve_subscribers(feed: Arc<Feed>, listener: Arc<TcpListener>, clock: Clock) {
    let slots = Arc::new(Semaphore::new(feed.max_subscribers()));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                log::warn!("cannot accept router connection error=\"{err}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // Closing the connection at once sends the router to the next one that may feed it.
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            log::debug!("feed connection refused from={from} reason=enough_subscribers");
            continue;
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
    let (mut rx, mut tx) = stream.split();
    let mut sent_version = tokio::time::timeout(MESSAGE_TIMEOUT, rx.read_u64()).await??;
    let mut readings = ClockReadings::open(rx, clock).await?;
    let mut revisions = feed.revisions();
    let mut sent_changes = None;
    loop {
        let revision = *revisions.borrow_and_update();
        if feed.routes.version() > sent_version {
            if let Some((version, frame)) = feed.routes_frame() {
                send(&mut tx, &frame).await?;
                sent_version = version;
            }
        }
        if sent_changes != Some(revision.changes) {
            if let Some((servers, version)) = feed.servers() {
                let message = FeedMessage::Servers {
                    servers,
                    next: version.position.offset,
                    era: version.position.era,
                    departures: feed.departure_reports(clock.now()),
                    is_settled: version.is_settled,
                    evacuations: feed.evacuations.report(clock.now()),
                    warm_ups: feed.warm_ups.reports(clock.now()),
                };
                // A router that has just started may not know the quarantines itself.
                let frame = if feed.has_quarantines() {
                    let quarantined = feed.poison.quarantined(clock.now());
                    frame::encode_with_quarantines(&message, &quarantined)?
                } else {
                    frame::encode(&message)?
                };
                send(&mut tx, &frame).await?;
                sent_changes = Some(revision.changes);
            }
        }
        if let Some(message) = current_message(feed, &readings.peer_clock, clock.now()) {
            send(&mut tx, &frame::encode(&message)?).await?;
        }
        // The next round starts at a change, an answer of the store or the end of the heartbeat
        // period.
        tokio::select! {
            _ = revisions.changed() => {}
            () = tokio::time::sleep(HEARTBEAT_PERIOD) => {}
            err = readings.receive(clock) => return Err(err),
        }
    }
}

/// Returns the message that states, on the subscriber's clock, when the data was current.
fn current_message(feed: &Feed, peer_clock: &PeerClock, now: Instant) -> Option<FeedMessage> {
    let age = feed.staleness(now)?;
    Some(FeedMessage::Current {
        at_micros: (peer_clock.at(now) - age).as_micros(),
        age_millis: age.as_millis() as u64,
    })
}

/// The readings of its clock that a subscriber sends.
struct ClockReadings<'a> {
    rx: ReadHalf<'a>,
    buf: BytesMut,
    peer_clock: PeerClock,
}

impl<'a> ClockReadings<'a> {
    async fn open(mut rx: ReadHalf<'a>, clock: &Clock) -> io::Result<Self> {
        let reading = tokio::time::timeout(MESSAGE_TIMEOUT, rx.read_u64()).await??;
        Ok(ClockReadings {
            rx,
            buf: BytesMut::new(),
            peer_clock: PeerClock::new(Instant::from_micros(reading), clock.now()),
        })
    }

    /// Receives readings until the connection fails; nothing is lost when the call is cancelled.
    async fn receive(&mut self, clock: &Clock) -> io::Error {
        loop {
            match self.rx.read_buf(&mut self.buf).await {
                Ok(0) => return io::ErrorKind::UnexpectedEof.into(),
                Ok(_) => {}
                Err(err) => return err,
            }
            while self.buf.len() >= READING_LEN {
                let reading = Instant::from_micros(self.buf.get_u64());
                self.peer_clock = PeerClock::new(reading, clock.now());
            }
        }
    }
}

async fn send(tx: &mut WriteHalf<'_>, frame: &[u8]) -> io::Result<()> {
    tokio::time::timeout(MESSAGE_TIMEOUT, tx.write_all(frame)).await?
}
