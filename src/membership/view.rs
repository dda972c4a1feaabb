//! What this router believes about the others.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use super::{Epoch, Health, LoadSum, LoadSums, PoolLoad, Rumour, Standing, Standings};
use crate::{
    placement,
    platform::{Instance, InstanceChanges, InstanceKind, InstanceState},
    DomainName, EngineName, Incarnation, Instant, Offset, PoolName, RouterName,
};

/// An engine or plain server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Its name.
    pub name: EngineName,
    /// Its pool.
    pub pool: PoolName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Which life of it this is.
    pub incarnation: Incarnation,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// Another router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: RouterName,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for routers.
    pub peer_address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Which life of it this is, as the platform numbers them.
    pub incarnation: Incarnation,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// Instances and rumours merged.
#[derive(Debug)]
pub struct View {
    me: RouterName,
    version: u64,
    listed: bool,
    engines: BTreeMap<EngineName, Arc<Engine>>,
    peers: BTreeMap<RouterName, Arc<Peer>>,
    standings: Standings,
    /// Lives of engines that were said to leave, also of those not listed yet.
    left_engines: BTreeMap<EngineName, Incarnation>,
    /// Loads of failure domains, by the router that sums them up.
    loads: LoadSums,
    /// Loads of the routers of this domain, when this router sums them up.
    reports: LoadSums,
    /// Own load that the sum of this domain includes, when another router sums it up.
    reported: BTreeMap<PoolName, PoolLoad>,
    /// Router that sums up this domain, when it is another one.
    summing: Option<RouterName>,
    config_head: Offset,
}

/// Most lives of engines that are remembered as leaving.
const MAX_LEFT_ENGINES: usize = 1_024;

impl View {
    /// Creates an empty view of router `me`.
    pub fn new(me: RouterName) -> Self {
        View {
            me,
            version: 0,
            listed: false,
            engines: BTreeMap::new(),
            peers: BTreeMap::new(),
            standings: Standings::default(),
            left_engines: BTreeMap::new(),
            loads: LoadSums::default(),
            reports: LoadSums::default(),
            reported: BTreeMap::new(),
            summing: None,
            config_head: Offset(0),
        }
    }

    /// Merges changes of the instance list.
    pub fn apply_instances(&mut self, changes: InstanceChanges) {
        self.version = changes.version;
        self.listed = true;
        if changes.full {
            self.retain_listed(&changes.instances);
        }
        for name in &changes.gone {
            self.remove(name);
        }
        for instance in changes.instances {
            self.put(instance);
        }
    }

    fn retain_listed(&mut self, instances: &[Instance]) {
        let listed = |name: &str| instances.iter().any(|instance| instance.name == name);
        self.engines.retain(|name, _| listed(name.as_str()));
        self.peers.retain(|name, _| listed(name.as_str()));
        self.standings.retain(|name| listed(name.as_str()));
    }

    fn remove(&mut self, name: &str) {
        self.engines.remove(name);
        self.peers.remove(name);
        self.loads.remove(name);
        self.reports.remove(name);
        self.standings.retain(|known| known.as_str() != name);
    }

    fn put(&mut self, instance: Instance) {
        match instance.kind {
            InstanceKind::Router => self.put_router(instance),
            InstanceKind::Engine | InstanceKind::Server => self.put_engine(instance),
        }
    }

    fn put_router(&mut self, instance: Instance) {
        let Ok(name) = RouterName::new(&instance.name) else {
            return;
        };
        let Some(peer_address) = instance.peer_address else {
            return;
        };
        let said_leaving = self.standings.get(&name).is_leaving();
        let peer = Peer {
            name: name.clone(),
            address: instance.address,
            peer_address,
            domain: instance.failure_domain,
            incarnation: instance.incarnation,
            leaving: said_leaving || instance.state == InstanceState::Leaving,
        };
        self.peers.insert(name, Arc::new(peer));
    }

    fn put_engine(&mut self, instance: Instance) {
        let (Ok(name), Some(pool)) = (EngineName::new(&instance.name), instance.pool) else {
            return;
        };
        let said_leaving = self.left_engines.get(&name) == Some(&instance.incarnation);
        let engine = Engine {
            name: name.clone(),
            pool,
            address: instance.address,
            domain: instance.failure_domain,
            incarnation: instance.incarnation,
            leaving: said_leaving || instance.state == InstanceState::Leaving,
        };
        self.engines.insert(name, Arc::new(engine));
    }

    /// Merges one rumour; returns whether it was news.
    pub fn apply_rumour(&mut self, rumour: &Rumour, now: Instant) -> bool {
        match rumour {
            Rumour::Load(sum) => self.apply_load(sum, now),
            Rumour::EngineLeaving { name, incarnation } => self.engine_leaves(name, *incarnation),
            Rumour::RouterLeaving { name, incarnation } => self.router_leaves(name, *incarnation),
            Rumour::Health {
                name,
                epoch,
                health,
            } => self.apply_health(name, *epoch, *health, now),
            // The quarantine keeps these.
            Rumour::EngineCrashed(_) => false,
            Rumour::ConfigHead(head) => {
                let news = *head > self.config_head;
                self.config_head = self.config_head.max(*head);
                news
            }
        }
    }

    fn apply_load(&mut self, sum: &LoadSum, now: Instant) -> bool {
        sum.router != self.me && self.sums_up(&sum.router) && self.loads.merge(sum, now)
    }

    /// Merges what is said of the health of a listed router; returns whether that was news.
    pub fn apply_health(
        &mut self,
        name: &RouterName,
        epoch: Epoch,
        health: Health,
        now: Instant,
    ) -> bool {
        if *name == self.me || !self.peers.contains_key(name) {
            return false;
        }
        let news = self.standings.merge(name, epoch, health, now);
        if news {
            self.update_leaving(name);
        }
        news
    }

    /// A new life of a router takes work again, whatever its last life has said.
    fn update_leaving(&mut self, name: &RouterName) {
        let standing = self.standings.get(name);
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        let restarted = standing.left.is_some() && !standing.is_leaving();
        let leaving = standing.is_leaving() || (peer.leaving && !restarted);
        if peer.leaving != leaving {
            Arc::make_mut(peer).leaving = leaving;
        }
    }

    /// Marks one life of an engine as leaving; returns whether that was news.
    pub fn engine_leaves(&mut self, name: &EngineName, incarnation: Incarnation) -> bool {
        let known = self.left_engines.get(name);
        if known.is_some_and(|known| *known >= incarnation) {
            return false;
        }
        if self.left_engines.len() >= MAX_LEFT_ENGINES {
            self.left_engines.pop_first();
        }
        self.left_engines.insert(name.clone(), incarnation);
        let engine = self.engines.get_mut(name);
        if let Some(engine) = engine.filter(|engine| engine.incarnation == incarnation) {
            Arc::make_mut(engine).leaving = true;
        }
        true
    }

    fn router_leaves(&mut self, name: &RouterName, life: Incarnation) -> bool {
        if !self.peers.contains_key(name) {
            return false;
        }
        let news = self.standings.leave(name, life);
        self.update_leaving(name);
        news
    }

    /// Returns what is believed of a router.
    pub fn standing(&self, name: &RouterName) -> Standing {
        self.standings.get(name)
    }

    /// Ages what was heard: late suspects are dead, old loads no longer count.
    ///
    /// Returns the routers that are dead from now on.
    pub fn age(&mut self, now: Instant) -> Vec<(RouterName, Epoch)> {
        let dead = self.standings.bury(now);
        let sums = std::mem::take(&mut self.loads);
        self.loads = self.without_stale(sums, now);
        let members = self.domain_members();
        self.reports.expire(now, |name| members.contains(name));
        self.summing = self.own_summing_router().map(|peer| peer.name.clone());
        dead
    }

    fn without_stale(&self, mut sums: LoadSums, now: Instant) -> LoadSums {
        sums.expire(now, |name| self.sums_up(name));
        sums
    }

    /// Gives all suspects their time again, after this router has been paused.
    pub fn restart_suspicions(&mut self, now: Instant) {
        self.standings.restart_suspicions(now);
    }

    /// Returns whether `name` is the router that sums up the load of its failure domain.
    fn sums_up(&self, name: &RouterName) -> bool {
        let domain = self.peers.get(name).map(|peer| &peer.domain);
        domain.is_some_and(|domain| self.summing_router(domain) == Some(name))
    }

    fn summing_router(&self, domain: &DomainName) -> Option<&RouterName> {
        let within = |name: &&RouterName| {
            let peer = self.peers.get(*name);
            peer.is_some_and(|peer| peer.domain == *domain)
        };
        placement::first(domain.as_str(), self.duty_routers().filter(within))
    }

    /// Returns the routers on duty in the failure domain of this one, itself included.
    pub fn domain_members(&self) -> BTreeSet<RouterName> {
        let Some(me) = self.peers.get(&self.me) else {
            return BTreeSet::new();
        };
        let peers = self.duty_routers().filter_map(|name| self.peers.get(name));
        let within = peers.filter(|peer| peer.domain == me.domain);
        within.map(|peer| peer.name.clone()).collect()
    }

    /// Returns the router that sums up this domain, `None` when this router does.
    pub fn own_summing_router(&self) -> Option<&Arc<Peer>> {
        let me = self.peers.get(&self.me)?;
        let name = self.summing_router(&me.domain)?;
        self.peers.get(name).filter(|peer| peer.name != self.me)
    }

    /// Takes the report of a router whose domain this one sums up.
    pub fn apply_report(&mut self, sum: &LoadSum, now: Instant) -> bool {
        sum.router != self.me && self.reports.merge(sum, now)
    }

    /// Notes which own load has been reported for the sum of the domain.
    pub fn set_reported(&mut self, pools: BTreeMap<PoolName, PoolLoad>) {
        self.reported = pools;
    }

    /// Returns the load of this domain: `own` and what was reported.
    pub fn domain_load(
        &self,
        mut own: BTreeMap<PoolName, PoolLoad>,
    ) -> BTreeMap<PoolName, PoolLoad> {
        self.reports.add_to(&mut own);
        own
    }

    /// Returns the version of the instance list that is merged.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether the instance list has been read.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Returns the engines of `pool`, by name, also the leaving ones.
    pub fn engines<'a>(&'a self, pool: &'a PoolName) -> impl Iterator<Item = &'a Arc<Engine>> {
        self.engines
            .values()
            .filter(move |engine| engine.pool == *pool)
    }

    /// Returns all engines by name.
    pub fn all_engines(&self) -> impl Iterator<Item = &Arc<Engine>> {
        self.engines.values()
    }

    /// Looks up an engine.
    pub fn engine(&self, name: &EngineName) -> Option<&Arc<Engine>> {
        self.engines.get(name)
    }

    /// Returns the other routers, by name, without this one.
    pub fn peers(&self) -> impl Iterator<Item = &Arc<Peer>> {
        self.peers.values().filter(|peer| peer.name != self.me)
    }

    /// Looks up a router.
    pub fn peer(&self, name: &RouterName) -> Option<&Arc<Peer>> {
        self.peers.get(name)
    }

    /// Returns the names of the routers that share the duties: live ones and this one.
    pub fn duty_routers(&self) -> impl Iterator<Item = &RouterName> {
        let on_duty = |peer: &&Arc<Peer>| !peer.leaving && !self.is_dead(&peer.name);
        let others = self.peers().filter(on_duty).map(|peer| &peer.name);
        others.chain(std::iter::once(&self.me))
    }

    /// Returns whether a router is believed to have failed.
    pub fn is_dead(&self, name: &RouterName) -> bool {
        self.standings.get(name).health == Health::Dead
    }

    /// Returns the load of `pool` at the other routers, as last reported.
    pub fn reported_load(&self, pool: &PoolName) -> PoolLoad {
        let mut total = self.loads.total(pool);
        total.add(self.reports.total(pool));
        let summing = self.summing.as_ref();
        if summing.is_some_and(|name| self.loads.contains(name)) {
            total.subtract(self.reported.get(pool).copied().unwrap_or_default());
        }
        total
    }

    /// Returns the load sums of the failure domains as they are sent on, the youngest first.
    pub fn recent_loads(&self, now: Instant) -> Vec<LoadSum> {
        self.loads.recent(now)
    }

    /// Returns the highest configuration offset heard of.
    pub fn config_head(&self) -> Offset {
        self.config_head
    }
}
