//! What this router believes about the others.

mod loads;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use super::{index::Index, Epoch, Health, LoadSums, MemberState, MemberStates, PoolLoad, Update};
use crate::{
    infra::{Instance, InstanceChanges, InstanceKind, InstanceState},
    placement::HintEntry,
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
    /// Follows the engines, the peers and what is believed of them.
    index: Index,
    standings: MemberStates,
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
            index: Index::default(),
            standings: MemberStates::default(),
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
        self.index.set_engines(self.engines.values());
        self.index_peers();
    }

    fn index_peers(&mut self) {
        let (me, standings) = (&self.me, &self.standings);
        let dead = |peer: &Peer| standings.get(&peer.name).health == Health::Dead;
        let on_duty = |peer: &&Arc<Peer>| peer.name != *me && !peer.leaving && !dead(peer);
        self.index
            .set_active_peers(self.peers.values().filter(on_duty));
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
    pub fn apply_update(&mut self, rumour: &Update, now: Instant) -> bool {
        match rumour {
            Update::Load(sum) => self.apply_load(sum, now),
            Update::EngineLeaving { name, incarnation } => {
                self.mark_engine_leaving(name, *incarnation)
            }
            Update::RouterLeaving { name, incarnation } => self.router_leaves(name, *incarnation),
            Update::Health {
                name,
                epoch,
                health,
            } => self.apply_health(name, *epoch, *health, now),
            // The quarantine keeps these.
            Update::EngineCrashed(_) => false,
            Update::ConfigHead(head) => {
                let news = *head > self.config_head;
                self.config_head = self.config_head.max(*head);
                news
            }
        }
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
        let restarted = standing.left_incarnation.is_some() && !standing.is_leaving();
        let leaving = standing.is_leaving() || (peer.leaving && !restarted);
        if peer.leaving != leaving {
            Arc::make_mut(peer).leaving = leaving;
        }
        self.index_peers();
    }

    /// Marks one life of an engine as leaving; returns whether that was news.
    pub fn mark_engine_leaving(&mut self, name: &EngineName, incarnation: Incarnation) -> bool {
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
            self.index.set_engines(self.engines.values());
        }
        true
    }

    fn router_leaves(&mut self, name: &RouterName, life: Incarnation) -> bool {
        if !self.peers.contains_key(name) {
            return false;
        }
        let news = self.standings.record_leave(name, life);
        self.update_leaving(name);
        news
    }

    /// Returns what is believed of a router.
    pub fn member_state(&self, name: &RouterName) -> MemberState {
        self.standings.get(name)
    }

    /// Ages what was heard: late suspects are dead, old loads no longer count.
    ///
    /// Returns the routers that are dead from now on.
    pub fn expire(&mut self, now: Instant) -> Vec<(RouterName, Epoch)> {
        let dead = self.standings.expire_suspects(now);
        if !dead.is_empty() {
            self.index_peers();
        }
        self.age_loads(now);
        dead
    }

    /// Gives all suspects their time again, after this router has been paused.
    pub fn restart_suspicion_timers(&mut self, now: Instant) {
        self.standings.restart_suspicion_timers(now);
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
    pub fn engines(&self, pool: &PoolName) -> &[Arc<Engine>] {
        self.index.engines(pool)
    }

    /// Returns the life of an engine of `pool` that `entry` names, if it is the present one.
    pub fn hinted_engine(&self, pool: &PoolName, entry: &HintEntry) -> Option<&Arc<Engine>> {
        let engine = self.engines.get(&entry.engine)?;
        let same = engine.incarnation == entry.incarnation && engine.pool == *pool;
        same.then_some(engine)
    }

    /// Returns how many engines of `pool` take new work.
    pub fn open_engines(&self, pool: &PoolName) -> u32 {
        self.index.open_engines(pool)
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
    pub fn active_routers(&self) -> impl Iterator<Item = &RouterName> {
        let others = self.active_peers().iter().map(|peer| &peer.name);
        others.chain(std::iter::once(&self.me))
    }

    /// Returns the other routers that share the duties, by failure domain.
    pub fn active_peers(&self) -> &[Arc<Peer>] {
        self.index.active_peers()
    }

    /// Returns whether a router is believed to have failed.
    pub fn is_dead(&self, name: &RouterName) -> bool {
        self.standings.get(name).health == Health::Dead
    }

    /// Returns the highest configuration offset heard of.
    pub fn config_head(&self) -> Offset {
        self.config_head
    }
}
