//! Pull of the configuration from other routers while the log is unreachable.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use rand::{seq::IteratorRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    task::mark_synced, ConfigHeadRequest, ConfigSinceReply, ConfigSinceRequest, ConfigState,
};
use crate::{membership::Peer, Category, Error, Offset, Result, Router};

/// Time between two checks whether other routers are ahead.
const PULL_PERIOD: Duration = Duration::from_millis(200);

/// Maximum number of routers that a starting router asks.
const MAX_BOOTSTRAP_PEERS: usize = 32;

/// Maximum number of restarts of a chunked transfer because the peer's state advanced.
const MAX_TRANSFER_RESTARTS: usize = 5;

/// Pulls the configuration from routers that are ahead, until the task is dropped.
///
/// Reading the log is usually faster, so this router pulls only when it has been behind at
/// the same offset for a whole period.
pub async fn pull_from_peers(cx: Arc<Router>) {
    let mut rng = Pcg64Mcg::seed_from_u64(cx.incarnation.0);
    let mut period = tokio::time::interval(PULL_PERIOD);
    let mut behind_at = None;
    loop {
        period.tick().await;
        let applied = cx.config.current().applied;
        let is_behind = cx.membership.view().config_head() > applied;
        let was_behind = behind_at == Some(applied);
        behind_at = is_behind.then_some(applied);
        if !is_behind || !was_behind || !cx.config.is_synced() {
            continue;
        }
        let Some(peer) = random_peer(&cx, &mut rng) else {
            continue;
        };
        if let Err(err) = pull(&cx, &peer).await {
            log::debug!(
                "config pull from a peer failed from={} error=\"{err}\"",
                peer.name
            );
        }
    }
}

fn random_peer(cx: &Router, rng: &mut impl Rng) -> Option<Arc<Peer>> {
    cx.membership.view().peers().choose(rng).cloned()
}

/// Pulls the configuration from the router with the highest offset, if any router has it.
pub(super) async fn bootstrap_from_peers(cx: &Router) {
    let peers = sample_peers(cx);
    let heads = join_all(peers.iter().map(|peer| request_head(cx, peer))).await;
    let Some((head, peer)) = highest_head(&heads, &peers) else {
        return;
    };
    while cx.config.current().applied < head {
        if let Err(err) = pull(cx, peer).await {
            log::warn!(
                "config pull from a peer failed from={} error=\"{err}\"",
                peer.name
            );
            return;
        }
    }
    mark_synced(cx);
}

fn sample_peers(cx: &Router) -> Vec<Arc<Peer>> {
    let mut rng = Pcg64Mcg::seed_from_u64(cx.incarnation.0);
    let view = cx.membership.view();
    view.peers().cloned().sample(&mut rng, MAX_BOOTSTRAP_PEERS)
}

async fn request_head(cx: &Router, peer: &Peer) -> Option<Offset> {
    let answer = cx
        .peers
        .call(&peer.name, peer.peer_address, ConfigHeadRequest)
        .await;
    answer.ok().flatten()
}

/// Returns the highest of the known offsets, and the peer that reported it.
fn highest_head<'a>(
    heads: &[Option<Offset>],
    peers: &'a [Arc<Peer>],
) -> Option<(Offset, &'a Arc<Peer>)> {
    let known = heads.iter().zip(peers);
    let known = known.filter_map(|(head, peer)| Some(((*head)?, peer)));
    known.max_by_key(|(head, _)| *head)
}

/// Pulls one batch of records, or a whole state, from `peer`.
async fn pull(cx: &Router, peer: &Peer) -> Result<()> {
    match request_changes(cx, peer, 0).await? {
        ConfigSinceReply::Records(records) => drop(cx.config.apply(&records)),
        ConfigSinceReply::State {
            applied,
            parts,
            bytes,
        } => adopt_chunked_state(cx, peer, applied, parts, bytes).await?,
        ConfigSinceReply::Unknown | ConfigSinceReply::UpToDate(_) => {
            let message = format!("router {} has no newer configuration", peer.name);
            return Err(Error::not_run(Category::Unavailable, message));
        }
    }
    Ok(())
}

async fn request_changes(cx: &Router, peer: &Peer, chunk: u32) -> Result<ConfigSinceReply> {
    let applied = cx.config.current().applied;
    let call = ConfigSinceRequest { applied, chunk };
    cx.peers.call(&peer.name, peer.peer_address, call).await
}

/// Fetches the remaining chunks of a state from `peer` and adopts the state.
async fn adopt_chunked_state(
    cx: &Router,
    peer: &Peer,
    mut expected: Offset,
    mut expected_parts: u32,
    mut text: Vec<u8>,
) -> Result<()> {
    let (mut chunk_index, mut restarts) = (1, 0);
    while chunk_index < expected_parts && restarts < MAX_TRANSFER_RESTARTS {
        let ConfigSinceReply::State {
            applied,
            parts,
            bytes,
        } = request_changes(cx, peer, chunk_index).await?
        else {
            break;
        };
        if applied != expected {
            // The peer's state advanced during the transfer, so the transfer starts over.
            (expected, expected_parts, chunk_index) = (applied, parts, 0);
            text.clear();
            restarts += 1;
            continue;
        }
        text.extend_from_slice(&bytes);
        chunk_index += 1;
    }
    let state: ConfigState = serde_json::from_slice(&text)
        .map_err(|err| Error::not_run(Category::Protocol, err.to_string()))?;
    cx.config.adopt(state);
    Ok(())
}
