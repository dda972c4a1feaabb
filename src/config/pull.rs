//! Learning the configuration from other routers while the log is out of reach.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use rand::{seq::IteratorRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    task::mark_synced, ConfigHeadRequest, ConfigSinceReply, ConfigSinceRequest, ConfigState,
};
use crate::{membership::Peer, Category, Error, Offset, Result, Router};

/// Time between two looks whether other routers are ahead.
const PULL_PERIOD: Duration = Duration::from_millis(200);

/// Most routers that a starting router asks.
const ASKED_AT_START: usize = 32;

/// Most times that a state sent in parts is started over because it advanced.
const STATE_ATTEMPTS: usize = 5;

/// Pulls from other routers what they know more, until the task is dropped.
///
/// The log is usually faster: only what is missing for a whole period is pulled.
pub async fn pull_from_peers(cx: Arc<Router>) {
    let mut rng = Pcg64Mcg::seed_from_u64(cx.incarnation.0);
    let mut period = tokio::time::interval(PULL_PERIOD);
    let mut missing_since = None;
    loop {
        period.tick().await;
        let applied = cx.config.current().applied;
        let is_behind = cx.membership.view().config_head() > applied;
        let was_behind = missing_since == Some(applied);
        missing_since = is_behind.then_some(applied);
        if !is_behind || !was_behind || !cx.config.is_synced() {
            continue;
        }
        let Some(peer) = random_peer(&cx, &mut rng) else {
            continue;
        };
        if let Err(err) = pull(&cx, &peer).await {
            log::debug!("config not pulled from={} error=\"{err}\"", peer.name);
        }
    }
}

fn random_peer(cx: &Router, rng: &mut impl Rng) -> Option<Arc<Peer>> {
    cx.membership.view().peers().choose(rng).cloned()
}

/// Takes the highest configuration among the routers, if any of them knows it.
pub(super) async fn bootstrap_from_peers(cx: &Router) {
    let peers = sample_peers(cx);
    let heads = join_all(peers.iter().map(|peer| head_of(cx, peer))).await;
    let Some((head, peer)) = highest(&heads, &peers) else {
        return;
    };
    while cx.config.current().applied < head {
        if let Err(err) = pull(cx, peer).await {
            log::warn!("config not pulled from={} error=\"{err}\"", peer.name);
            return;
        }
    }
    mark_synced(cx);
}

fn sample_peers(cx: &Router) -> Vec<Arc<Peer>> {
    let mut rng = Pcg64Mcg::seed_from_u64(cx.incarnation.0);
    let view = cx.membership.view();
    view.peers().cloned().sample(&mut rng, ASKED_AT_START)
}

async fn head_of(cx: &Router, peer: &Peer) -> Option<Offset> {
    let answer = cx
        .peers
        .call(&peer.name, peer.peer_address, ConfigHeadRequest)
        .await;
    answer.ok().flatten()
}

/// Returns the highest known offset and who holds it.
fn highest<'a>(
    heads: &[Option<Offset>],
    peers: &'a [Arc<Peer>],
) -> Option<(Offset, &'a Arc<Peer>)> {
    let known = heads.iter().zip(peers);
    let known = known.filter_map(|(head, peer)| Some(((*head)?, peer)));
    known.max_by_key(|(head, _)| *head)
}

/// Pulls one answer's worth of records, or a whole state, from `peer`.
async fn pull(cx: &Router, peer: &Peer) -> Result<()> {
    match ask(cx, peer, 0).await? {
        ConfigSinceReply::Records(records) => drop(cx.config.apply(&records)),
        ConfigSinceReply::State {
            applied,
            parts,
            bytes,
        } => adopt_parts(cx, peer, applied, parts, bytes).await?,
        ConfigSinceReply::Unknown | ConfigSinceReply::UpToDate(_) => {
            let message = format!("router {} is not ahead", peer.name);
            return Err(Error::not_run(Category::Unavailable, message));
        }
    }
    Ok(())
}

async fn ask(cx: &Router, peer: &Peer, chunk: u32) -> Result<ConfigSinceReply> {
    let applied = cx.config.current().applied;
    let call = ConfigSinceRequest { applied, chunk };
    cx.peers.call(&peer.name, peer.peer_address, call).await
}

async fn adopt_parts(
    cx: &Router,
    peer: &Peer,
    mut expected: Offset,
    mut expected_parts: u32,
    mut text: Vec<u8>,
) -> Result<()> {
    let (mut number, mut attempts) = (1, 0);
    while number < expected_parts && attempts < STATE_ATTEMPTS {
        let ConfigSinceReply::State {
            applied,
            parts,
            bytes,
        } = ask(cx, peer, number).await?
        else {
            break;
        };
        if applied != expected {
            // The peer advanced in between: its state is asked for from the first part.
            (expected, expected_parts, number) = (applied, parts, 0);
            text.clear();
            attempts += 1;
            continue;
        }
        text.extend_from_slice(&bytes);
        number += 1;
    }
    let state: ConfigState = serde_json::from_slice(&text)
        .map_err(|err| Error::not_run(Category::Protocol, err.to_string()))?;
    cx.config.adopt(state);
    Ok(())
}
