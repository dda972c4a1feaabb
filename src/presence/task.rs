//! The tasks that send and receive datagrams.

use std::{sync::Arc, time::Duration};

use tokio::{net::UdpSocket, sync::Notify};

use super::{
    Digest, Message, Outgoing, Presence, Received, RelayRole, DIGEST_PERIOD, MAX_DATAGRAM_BYTES,
};
use crate::{Clock, Result};

/// Delay of an urgent digest, so that changes in quick succession share one digest.
const URGENT_DELAY: Duration = Duration::from_millis(2);

/// Delay of the urgent summaries of a relay, which each go to all of its clients.
const URGENT_SUMMARY_DELAY: Duration = Duration::from_millis(20);

/// Time after which a relay sends urgent changes again.
///
/// All rounds of a change fit into a fraction of the digest period.
pub const CHANGE_REPEAT_DELAY: Duration = Duration::from_millis(30);

/// Pause after a failed receive on the socket.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Size of the receive buffer in bytes, so that a datagram that is too large is noticed.
const RECEIVE_BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1;

/// Announces the digest that `describe` returns, periodically and whenever `changed` is notified,
/// and passes on what other routers announced as a relay.
pub async fn announce(
    presence: Arc<Presence>,
    socket: Arc<UdpSocket>,
    clock: Clock,
    changed: Arc<Notify>,
    describe: impl Fn() -> Digest,
) {
    let mut next_period = clock.now();
    loop {
        let now = clock.now();
        let is_periodic = now >= next_period;
        if is_periodic {
            next_period = now + DIGEST_PERIOD;
        }
        for Outgoing { to, message } in presence.next_round(describe(), is_periodic, now) {
            match encode(message) {
                Ok(bytes) => {
                    for to in to {
                        if let Err(err) = socket.send_to(&bytes, to).await {
                            log::debug!("cannot send datagram to={to} error=\"{err}\"");
                        }
                    }
                }
                Err(err) => log::warn!("cannot encode datagram error=\"{err}\""),
            }
        }
        let mut wait = next_period.since(clock.now());
        if presence.has_repeats() {
            wait = wait.min(CHANGE_REPEAT_DELAY);
        }
        if tokio::time::timeout(wait, changed.notified()).await.is_ok() {
            let delay = match presence.relay_role() {
                RelayRole::Relay => URGENT_SUMMARY_DELAY,
                RelayRole::Direct | RelayRole::Client => URGENT_DELAY,
            };
            tokio::time::sleep(delay).await;
        }
    }
}

/// Encodes a message; from a digest that is too large, placements and the lowest loads are dropped
/// until it fits or no load is left.
fn encode(mut message: Message) -> Result<Vec<u8>> {
    loop {
        let bytes = message.encode()?;
        match &mut message {
            Message::Digest(digest)
                if bytes.len() > MAX_DATAGRAM_BYTES && !digest.loads.is_empty() =>
            {
                let placements = &mut digest.updates.placements;
                placements.truncate(placements.len() / 2);
                let loads = &mut digest.loads;
                loads.sort_by_key(|(_, load)| std::cmp::Reverse(*load));
                loads.truncate(loads.len() * 3 / 4);
            }
            _ => return Ok(bytes),
        }
    }
}

/// Receives datagrams, passes what each says to `on_received` and applies it to `presence`;
/// notifies `changed` when this router has to forward updates.
///
/// Datagrams that cannot be decoded are passed to `on_dropped`.
pub async fn receive(
    presence: Arc<Presence>,
    socket: Arc<UdpSocket>,
    clock: Clock,
    changed: Arc<Notify>,
    on_received: impl Fn(Received<'_>),
    on_dropped: impl Fn(),
) {
    let mut buf = [0; RECEIVE_BUFFER_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                log::warn!("cannot receive datagrams error=\"{err}\"");
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        match Message::decode(&buf[..len]) {
            Ok(message) => {
                on_received(message.received());
                if presence.receive(&message, clock.now()).is_urgent {
                    changed.notify_one();
                }
            }
            Err(err) => {
                on_dropped();
                log::info!("datagram dropped from={from} error=\"{err}\"");
            }
        }
    }
}
