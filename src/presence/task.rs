//! The tasks that send and receive digests.

use std::{sync::Arc, time::Duration};

use tokio::{net::UdpSocket, sync::Notify};

use super::{Digest, Presence, DIGEST_PERIOD, MAX_DIGEST_BYTES};
use crate::Clock;

/// Delay of an urgent digest, so that changes in quick succession share one digest.
const URGENT_DELAY: Duration = Duration::from_millis(2);

/// Pause after a failed receive on the socket.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Sends the digest that `describe` returns to the other routers, periodically and whenever
/// `changed` is notified.
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
        digest.known_addresses = round.known_addresses;
        match encode(&mut digest) {
            Ok(bytes) => {
                for to in round.targets {
                    if let Err(err) = socket.send_to(&bytes, to).await {
                        log::debug!("cannot send digest to={to} error=\"{err}\"");
                    }
                }
            }
            Err(err) => log::warn!("cannot encode digest error=\"{err}\""),
        }
        let woken = tokio::time::timeout(DIGEST_PERIOD, changed.notified()).await;
        if woken.is_ok() {
            tokio::time::sleep(URGENT_DELAY).await;
        }
    }
}

/// Encodes a digest, dropping placements and the lowest loads until it fits in a datagram or no
/// load is left.
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

/// Receives digests, passes each to `on_digest` and applies it to `presence`; drops datagrams
/// that cannot be decoded.
pub async fn receive(
    presence: Arc<Presence>,
    socket: Arc<UdpSocket>,
    clock: Clock,
    on_digest: impl Fn(&Digest),
) {
    let mut buf = [0; MAX_DIGEST_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                log::warn!("cannot receive digests error=\"{err}\"");
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        match postcard::from_bytes::<Digest>(&buf[..len]) {
            Ok(digest) => {
                on_digest(&digest);
                presence.receive(digest, clock.now());
            }
            Err(err) => log::debug!("dropped undecodable digest from={from} error=\"{err}\""),
        }
    }
}
