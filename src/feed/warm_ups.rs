//! Which servers are cold: from the list of servers, from other routers, and from what happens to
//! servers.

use std::{collections::BTreeSet, time::Duration};

use super::Feed;
use crate::{
    catalog::{ColdTime, Server, ServerKey, WarmUpReport},
    sync::lock,
    DomainName, Instant,
};

impl Feed {
    /// Records what the entries of the list of servers state; returns whether that changes anything.
    pub(super) fn record_cold_times(&self, cold_times: &[ColdTime], now: Instant) -> bool {
        let mut count = 0;
        for cold_time in cold_times {
            count += usize::from(self.warm_ups.record(*cold_time, now));
        }
        log_cold(count, "registration");
        count > 0
    }

    /// Records the servers that are new in the list, compared to those `known` before, and state no
    /// time; returns whether there are any.
    ///
    /// They have started while requests are served, and are cold for as long as servers of their pool
    /// usually are.
    pub(super) fn record_started<'a>(
        &self,
        servers: impl Iterator<Item = &'a Server>,
        known: &BTreeSet<ServerKey>,
        cold_times: &[ColdTime],
        now: Instant,
    ) -> bool {
        let states_time = |key| cold_times.iter().any(|stated| stated.server == key);
        let is_started = |server: &&Server| {
            let key = server.key();
            !known.contains(&key) && !states_time(key)
        };
        let count = self.presume_cold(servers.filter(is_started), now);
        log_cold(count, "start");
        count > 0
    }

    /// Records that the servers of `domain` get requests again after a time without any, so that they
    /// are as cold as servers that have just started.
    pub fn record_returned(&self, domain: &DomainName, now: Instant) {
        let in_domain: Vec<Server> = {
            let server_list = lock(&self.server_list);
            let servers = server_list.registry.servers();
            servers.filter(|s| s.domain == *domain).cloned().collect()
        };
        let count = self.presume_cold(in_domain.iter(), now);
        log_cold(count, "return");
        if count > 0 {
            self.notify_change();
        }
    }

    /// Records the reports of the router that feeds this one.
    pub(super) fn receive_warm_ups(&self, reports: &[WarmUpReport], now: Instant) {
        let count = self.warm_ups.receive(reports, now);
        log_cold(count, "feed");
        if count > 0 {
            self.notify_change();
        }
    }

    /// Records that `servers` are cold for as long as servers of their pools usually are; returns the
    /// number of those for which that changes anything.
    fn presume_cold<'a>(&self, servers: impl Iterator<Item = &'a Server>, now: Instant) -> usize {
        let Some(routes) = self.routes.current() else {
            return 0;
        };
        let mut count = 0;
        for server in servers {
            let usual = routes.warm_up(&server.pool);
            let remaining = usual.map_or(Duration::ZERO, |warm_up| warm_up.duration);
            let server = server.key();
            let known = self.warm_ups.get(server, now);
            // What a registration has stated of a later time counts.
            let is_longer = known.is_none_or(|known| known.warm_at < now + remaining);
            let cold_time = ColdTime { server, remaining };
            if !remaining.is_zero() && is_longer && self.warm_ups.presume(cold_time, now) {
                count += 1;
            }
        }
        count
    }
}

fn log_cold(count: usize, source: &str) {
    if count > 0 {
        log::info!("servers cold count={count} source={source}");
    }
}
