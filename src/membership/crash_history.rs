//! Fetches the crash history, which requests crashed engines, from other routers after a start.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use rand::{seq::IteratorRandom, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Peer;
use crate::{admission::CrashHistoryRequest, Router};

/// Number of routers that are asked in one round.
const PEERS_PER_ROUND: usize = 3;

/// Delay before the next round if no router has answered.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Asks other routers which requests crashed engines, until one of them has answered.
///
/// Gossip updates only carry crashes that happen after the start.
pub async fn fetch_crash_history(cx: Arc<Router>) {
    let mut rng = Pcg64Mcg::seed_from_u64(cx.incarnation.0);
    loop {
        let (has_instance_list, peers) = {
            let view = cx.membership.view();
            let peers = view.peers().cloned().sample(&mut rng, PEERS_PER_ROUND);
            (view.has_instance_list(), peers)
        };
        let answered = join_all(peers.iter().map(|peer| ask(&cx, peer))).await;
        let no_peers = has_instance_list && peers.is_empty();
        if no_peers || answered.contains(&true) {
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Merges the crash history of one router; returns whether it answered.
async fn ask(cx: &Router, peer: &Peer) -> bool {
    let answer = cx
        .peers
        .call(&peer.name, peer.peer_address, CrashHistoryRequest)
        .await;
    match answer {
        Ok(records) => {
            cx.quarantine.merge(records, cx.clock.now());
            true
        }
        Err(err) => {
            log::debug!(
                "fetching the crash history failed from={} error=\"{err}\"",
                peer.name
            );
            false
        }
    }
}
