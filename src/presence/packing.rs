//! Divides what a relay passes on into datagrams.

use super::{message::MAX_DATAGRAM_BYTES, sums::Usage, KnownRouter, Summary, Updates};

/// Typical encoded size of the fixed fields of a summary, in bytes.
const BASE_BYTES: usize = 110;

/// Typical encoded size of the state of a router, in bytes.
const ROUTER_BYTES: usize = 72;

/// Typical encoded size of a client's key and sequence number, in bytes.
const CLIENT_BYTES: usize = 8;

/// Typical encoded size of the load of a server, in bytes.
const LOAD_BYTES: usize = 7;

/// Typical encoded size of a limit report, in bytes.
const LIMIT_BYTES: usize = 16;

/// Typical encoded size of one update, in bytes.
const UPDATE_BYTES: usize = 13;

/// Typical encoded size of a crash of a request, or of a crash or quarantine of prompt parts without
/// these, in bytes.
const CRASH_BYTES: usize = 30;

/// Largest encoded size of a prompt part in bytes.
const PART_BYTES: usize = 15;

/// Maximum number of datagrams to one receiver in a round.
const MAX_DATAGRAMS: usize = 8;

/// Returns the summaries that together carry `routers`, the loads and limits of `usage`, and
/// `updates`; each fits into one datagram. `first` has the other fields.
pub(super) fn pack(
    mut first: Summary,
    routers: Vec<KnownRouter>,
    usage: Option<&Usage>,
    mut updates: Updates,
) -> Vec<Summary> {
    let empty = Summary {
        clients: Vec::new(),
        ..first.clone()
    };
    let mut room = MAX_DATAGRAM_BYTES - BASE_BYTES;
    room = room.saturating_sub(first.clients.len() * CLIENT_BYTES);
    let mut packed = Vec::new();
    let mut reserve = |current: &mut Summary, size: usize| {
        if size > room {
            packed.push(std::mem::replace(current, empty.clone()));
            room = MAX_DATAGRAM_BYTES - BASE_BYTES;
        }
        room = room.saturating_sub(size);
    };
    for range in usage.into_iter().flat_map(Usage::load_ranges) {
        let limits = usage.map_or(0, |usage| usage.server_limits.len());
        let size = range.loads.len() * LOAD_BYTES + limits * LIMIT_BYTES;
        reserve(&mut first, size);
        first.loads = Some(range);
        first.server_limits = usage.map(|u| u.server_limits.clone()).unwrap_or_default();
    }
    while !updates.is_empty() {
        let part = updates.take_datagram();
        reserve(&mut first, size_of_updates(&part));
        first.updates.merge(&part);
    }
    for router in routers {
        reserve(&mut first, ROUTER_BYTES);
        first.routers.push(router);
    }
    packed.push(first);
    if packed.len() > MAX_DATAGRAMS {
        log::warn!("summary cut off datagrams={}", packed.len());
        packed.truncate(MAX_DATAGRAMS);
    }
    packed
}

fn size_of_updates(updates: &Updates) -> usize {
    let parts = &updates.part_updates;
    let small = updates.placements.len()
        + updates.prefills.len()
        + updates.stalled_servers.len()
        + updates.leaving_servers.len()
        + updates.slow_servers.len()
        + parts.known_good.len()
        + parts.alive.len();
    let large = updates.crashes.len() + parts.crashes.len() + parts.quarantined.len();
    small * UPDATE_BYTES + large * CRASH_BYTES + parts.part_count() * PART_BYTES
}
