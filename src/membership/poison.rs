//! Learning the suspects that other routers know, after a start.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use rand::{seq::IteratorRandom, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Peer;
use crate::{admission::CrashHistoryRequest, Router};

/// Routers that are asked at once.
const ASKED: usize = 3;

/// Pause until the next round, while no router has answered.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Asks other routers for the suspects they know, until one of them has answered.
///
/// Rumours tell only of what happens after the start.
pub async fn fetch_poison_requests(cx: Arc<Router>) {
    let mut rng = Pcg64Mcg::seed_from_u64(cx.incarnation.0);
    loop {
        let (listed, peers) = {
            let view = cx.membership.view();
            let peers = view.peers().cloned().sample(&mut rng, ASKED);
            (view.is_listed(), peers)
        };
        let answered = join_all(peers.iter().map(|peer| ask(&cx, peer))).await;
        let alone = listed && peers.is_empty();
        if alone || answered.contains(&true) {
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Takes over what one router knows; returns whether it answered.
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
            log::debug!("suspects not learnt from={} error=\"{err}\"", peer.name);
            false
        }
    }
}
