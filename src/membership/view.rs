//! What this router believes about the others.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use super::{Datagram, Life, LoadSum, Phase, PoolLoad, Rumour};
use crate::{
    platform::{Instance, InstanceChanges, InstanceKind, InstanceState},
    sync::lock,
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
    loads: BTreeMap<RouterName, (LoadSum, Instant)>,
    config_head: Offset,
}

impl View {
    /// Creates an empty view of router `me`.
    pub fn new(me: RouterName) -> Self {
        View {
            me,
            version: 0,
            listed: false,
            engines: BTreeMap::new(),
            peers: BTreeMap::new(),
            loads: BTreeMap::new(),
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
    }

    fn remove(&mut self, name: &str) {
        self.engines.remove(name);
        self.peers.remove(name);
        self.loads.remove(name);
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
        let known = self.peers.get(&name);
        let said_leaving =
            known.is_some_and(|peer| peer.leaving && peer.incarnation == instance.incarnation);
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
        let known = self.engines.get(&name);
        let said_leaving = known
            .is_some_and(|engine| engine.leaving && engine.incarnation == instance.incarnation);
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
            Rumour::ConfigHead(head) => {
                let news = *head > self.config_head;
                self.config_head = self.config_head.max(*head);
                news
            }
        }
    }

    fn apply_load(&mut self, sum: &LoadSum, now: Instant) -> bool {
        if sum.router == self.me || !self.peers.contains_key(&sum.router) {
            return false;
        }
        let known = self.loads.get(&sum.router);
        let order = |sum: &LoadSum| (sum.incarnation, sum.sequence);
        if known.is_some_and(|(known, _)| order(known) >= order(sum)) {
            return false;
        }
        self.loads.insert(sum.router.clone(), (sum.clone(), now));
        true
    }

    /// Marks one life of an engine as leaving; returns whether that was news.
    pub fn engine_leaves(&mut self, name: &EngineName, incarnation: Incarnation) -> bool {
        let Some(engine) = self.engines.get_mut(name) else {
            return false;
        };
        if engine.leaving || engine.incarnation != incarnation {
            return false;
        }
        Arc::make_mut(engine).leaving = true;
        true
    }

    fn router_leaves(&mut self, name: &RouterName, incarnation: Incarnation) -> bool {
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        if peer.leaving || peer.incarnation > incarnation {
            return false;
        }
        Arc::make_mut(peer).leaving = true;
        true
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
        let others = self
            .peers()
            .filter(|peer| !peer.leaving)
            .map(|peer| &peer.name);
        others.chain(std::iter::once(&self.me))
    }

    /// Returns the load of `pool` that other routers last reported.
    pub fn reported_load(&self, pool: &PoolName) -> PoolLoad {
        let mut total = PoolLoad::default();
        for (sum, _) in self.loads.values() {
            let load = sum.pools.get(pool).copied().unwrap_or_default();
            total.in_flight += load.in_flight;
            total.engines += load.engines;
        }
        total
    }

    /// Returns up to `count` load sums to pass on, the most recently heard first.
    pub fn recent_loads(&self, count: usize) -> Vec<LoadSum> {
        let mut sums: Vec<_> = self.loads.values().collect();
        sums.sort_by_key(|(_, heard)| std::cmp::Reverse(*heard));
        sums.into_iter()
            .take(count)
            .map(|(sum, _)| sum.clone())
            .collect()
    }

    /// Returns the highest configuration offset heard of.
    pub fn config_head(&self) -> Offset {
        self.config_head
    }
}

/// The view and the life cycle of a router, shared by its tasks.
#[derive(Debug)]
pub struct Membership {
    view: Mutex<View>,
    phase: Mutex<Option<Phase>>,
}

impl Membership {
    /// Creates the state of a router that has just started.
    pub fn new(me: RouterName) -> Self {
        Membership {
            view: Mutex::new(View::new(me)),
            phase: Mutex::new(Some(Phase::Starting(Life::new()))),
        }
    }

    /// Locks the view for a short, await-free use.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Merges a datagram.
    pub fn receive(&self, datagram: &Datagram, now: Instant) {
        let mut view = self.view();
        for rumour in &datagram.rumours {
            view.apply_rumour(rumour, now);
        }
    }

    /// The configuration is known.
    pub fn config_caught_up(&self) {
        self.advance(Phase::config_known);
        if self.view().is_listed() {
            self.advance(Phase::instances_known);
        }
    }

    /// Merges changes of the instance list.
    pub fn apply_instances(&self, changes: InstanceChanges) {
        self.view().apply_instances(changes);
        self.advance(Phase::instances_known);
    }

    /// The router was asked to stop.
    pub fn leave(&self) {
        self.advance(Phase::stop);
    }

    fn advance(&self, step: impl FnOnce(Phase) -> Phase) {
        let mut phase = lock(&self.phase);
        let before = phase.take().expect("a phase between steps");
        let name = before.as_str();
        let after = step(before);
        if after.as_str() != name {
            log::info!("router phase={}", after.as_str());
        }
        *phase = Some(after);
    }

    /// Returns the name of the phase.
    pub fn phase(&self) -> &'static str {
        lock(&self.phase).as_ref().map_or("starting", Phase::as_str)
    }

    /// Returns whether the configuration is known.
    pub fn is_caught_up(&self) -> bool {
        !matches!(*lock(&self.phase), Some(Phase::Starting(_)))
    }

    /// Returns whether new requests are taken.
    pub fn is_serving(&self) -> bool {
        matches!(*lock(&self.phase), Some(Phase::Serving(_)))
    }
}
