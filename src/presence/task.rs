//! The tasks that send and receive digests.

use std::{sync::Arc, time::Duration};

use tokio::{net::UdpSocket, sync::Notify};

use super::{Digest, Presence, DIGEST_PERIOD, MAX_DIGEST_BYTES};
use crate::Clock;

/// Pause before an urgent digest, in which several changes come together.
const URGENT_PAUSE: Duration = Duration::from_millis(2);

/// Pause after a failed read of the socket.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Tells the other routers what `describe` says, periodically and when `changed` fires.
pub async fn announce(
    presence: Arc<Presence>,
    socket: Arc<UdpSocket>,
    clock: Clock,
    changed: Arc<Notify>,
    describe: impl Fn() -> Digest,
) {
    loop {
        let round = presence.next_round(clock.now());
        let mut digest = describe();
        digest.sequence = round.sequence;
        digest.known_addresses = round.known;
        match encode(&mut digest) {
            Ok(bytes) => {
                for to in round.targets {
                    if let Err(err) = socket.send_to(&bytes, to).await {
                        log::debug!("digest not sent to={to} error=\"{err}\"");
                    }
                }
            }
            Err(err) => log::warn!("digest not encoded error=\"{err}\""),
        }
        let urgent = tokio::time::timeout(DIGEST_PERIOD, changed.notified()).await;
        if urgent.is_ok() {
            tokio::time::sleep(URGENT_PAUSE).await;
        }
    }
}

/// Encodes a digest, leaving out loads that do not fit.
fn encode(digest: &mut Digest) -> postcard::Result<Vec<u8>> {
    loop {
        let bytes = postcard::to_stdvec(digest)?;
        if bytes.len() <= MAX_DIGEST_BYTES || digest.loads.is_empty() {
            return Ok(bytes);
        }
        digest.placements.truncate(digest.placements.len() / 2);
        digest
            .loads
            .sort_by_key(|(_, load)| std::cmp::Reverse(*load));
        digest.loads.truncate(digest.loads.len() * 3 / 4);
    }
}

/// Receives digests and passes new ones to `heard`; unreadable ones are dropped.
pub async fn receive(
    presence: Arc<Presence>,
    socket: Arc<UdpSocket>,
    clock: Clock,
    heard: impl Fn(&Digest),
) {
    let mut buf = [0; MAX_DIGEST_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                log::warn!("digests unreadable error=\"{err}\"");
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        match postcard::from_bytes::<Digest>(&buf[..len]) {
            Ok(digest) => {
                heard(&digest);
                presence.receive(digest, clock.now());
            }
            Err(err) => log::debug!("digest dropped from={from} error=\"{err}\""),
        }
    }
}
