//! Merged view of the fleet: the engines and routers as this router knows them.

mod loads;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use super::{index::Index, Epoch, Health, LoadSums, MemberState, MemberStates, PoolLoad, Update};
use crate::{
    infra::{Instance, InstanceChanges, InstanceKind, InstanceState},
    placement::HintEntry,
    DomainName, EngineName, Incarnation, Instant, Offset, PoolName, RouterName,
};

/// An engine or plain server on the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Name of the engine.
    pub name: EngineName,
    /// Pool of the engine.
    pub pool: PoolName,
    /// Address at which the engine takes requests.
    pub address: SocketAddr,
    /// Failure domain of the engine.
    pub domain: DomainName,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Whether the engine takes no new work.
    pub leaving: bool,
}

/// A router on the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the router.
    pub name: RouterName,
    /// Address at which the router takes requests of callers.
    pub address: SocketAddr,
    /// Address at which the router takes datagrams and connections of other routers.
    pub peer_address: SocketAddr,
    /// Failure domain of the router.
    pub domain: DomainName,
    /// Incarnation of the router, as the platform numbers them.
    pub incarnation: Incarnation,
    /// Whether the router takes no new work.
    pub leaving: bool,
}

/// The instance list and the gossip updates, merged.
#[derive(Debug)]
pub struct View {
    me: RouterName,
    list_version: u64,
    has_list: bool,
    engines: BTreeMap<EngineName, Arc<Engine>>,
    peers: BTreeMap<RouterName, Arc<Peer>>,
    /// Lists derived from `engines`, `peers` and `member_states`.
    index: Index,
    member_states: MemberStates,
    /// Incarnations of engines that are known to leave, also of engines not listed yet.
    leaving_engines: BTreeMap<EngineName, Incarnation>,
    /// Load sums of the failure domains, by their aggregators.
    loads: LoadSums,
    /// Load reports of the routers of this failure domain, if this router is its aggregator.
    domain_reports: LoadSums,
    /// Load of this router within the sum of its domain, if another router is the aggregator.
    own_reported: BTreeMap<PoolName, PoolLoad>,
    /// Aggregator of this failure domain, if it is another router.
    aggregator: Option<RouterName>,
    config_head: Offset,
}

/// Most engines whose leaving incarnation is remembered.
const MAX_LEAVING_ENGINES: usize = 1_024;

impl View {
    /// Creates an empty view of router `me`.
    pub fn new(me: RouterName) -> Self {
        View {
            me,
            list_version: 0,
            has_list: false,
            engines: BTreeMap::new(),
            peers: BTreeMap::new(),
            index: Index::default(),
            member_states: MemberStates::default(),
            leaving_engines: BTreeMap::new(),
            loads: LoadSums::default(),
            domain_reports: LoadSums::default(),
            own_reported: BTreeMap::new(),
            aggregator: None,
            config_head: Offset(0),
        }
    }

    /// Merges changes of the instance list.
    pub fn apply_instances(&mut self, changes: InstanceChanges) {
        self.list_version = changes.version;
        self.has_list = true;
        if changes.full {
            self.retain_listed(&changes.instances);
        }
        for name in &changes.gone {
            self.remove(name);
        }
        for instance in changes.instances {
            self.insert(instance);
        }
        self.index.set_engines(self.engines.values());
        self.update_active_peers();
    }

    fn update_active_peers(&mut self) {
        let (me, member_states) = (&self.me, &self.member_states);
        let dead = |peer: &Peer| member_states.get(&peer.name).health == Health::Dead;
        let is_active = |peer: &&Arc<Peer>| peer.name != *me && !peer.leaving && !dead(peer);
        self.index
            .set_active_peers(self.peers.values().filter(is_active));
    }

    fn retain_listed(&mut self, instances: &[Instance]) {
        let listed = |name: &str| instances.iter().any(|instance| instance.name == name);
        self.engines.retain(|name, _| listed(name.as_str()));
        self.peers.retain(|name, _| listed(name.as_str()));
        self.member_states.retain(|name| listed(name.as_str()));
    }

    fn remove(&mut self, name: &str) {
        self.engines.remove(name);
        self.peers.remove(name);
        self.loads.remove(name);
        self.domain_reports.remove(name);
        self.member_states.retain(|known| known.as_str() != name);
    }

    fn insert(&mut self, instance: Instance) {
        match instance.kind {
            InstanceKind::Router => self.insert_router(instance),
            InstanceKind::Engine | InstanceKind::Server => self.insert_engine(instance),
        }
    }

    fn insert_router(&mut self, instance: Instance) {
        let Ok(name) = RouterName::new(&instance.name) else {
            return;
        };
        let Some(peer_address) = instance.peer_address else {
            return;
        };
        let announced_leaving = self.member_states.get(&name).is_leaving();
        let peer = Peer {
            name: name.clone(),
            address: instance.address,
            peer_address,
            domain: instance.failure_domain,
            incarnation: instance.incarnation,
            leaving: announced_leaving || instance.state == InstanceState::Leaving,
        };
        self.peers.insert(name, Arc::new(peer));
    }

    fn insert_engine(&mut self, instance: Instance) {
        let (Ok(name), Some(pool)) = (EngineName::new(&instance.name), instance.pool) else {
            return;
        };
        let announced_leaving = self.leaving_engines.get(&name) == Some(&instance.incarnation);
        let engine = Engine {
            name: name.clone(),
            pool,
            address: instance.address,
            domain: instance.failure_domain,
            incarnation: instance.incarnation,
            leaving: announced_leaving || instance.state == InstanceState::Leaving,
        };
        self.engines.insert(name, Arc::new(engine));
    }

    /// Merges a gossip update; returns whether it changed the view.
    pub fn apply_update(&mut self, update: &Update, now: Instant) -> bool {
        match update {
            Update::Load(sum) => self.apply_load(sum, now),
            Update::EngineLeaving { name, incarnation } => {
                self.mark_engine_leaving(name, *incarnation)
            }
            Update::RouterLeaving { name, incarnation } => {
                self.mark_router_leaving(name, *incarnation)
            }
            Update::Health {
                name,
                epoch,
                health,
            } => self.apply_health(name, *epoch, *health, now),
            // Crashes are kept by the quarantine.
            Update::EngineCrashed(_) => false,
            Update::ConfigHead(head) => {
                let changed = *head > self.config_head;
                self.config_head = self.config_head.max(*head);
                changed
            }
        }
    }

    /// Merges a reported health of a listed router; returns whether its member state changed.
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
        let changed = self.member_states.merge(name, epoch, health, now);
        if changed {
            self.update_leaving(name);
        }
        changed
    }

    /// Updates whether a router leaves.
    ///
    /// A new incarnation takes work although an earlier one has announced that it leaves.
    fn update_leaving(&mut self, name: &RouterName) {
        let state = self.member_states.get(name);
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        let restarted = state.leaving_incarnation.is_some() && !state.is_leaving();
        let leaving = state.is_leaving() || (peer.leaving && !restarted);
        if peer.leaving != leaving {
            Arc::make_mut(peer).leaving = leaving;
        }
        self.update_active_peers();
    }

    /// Marks an incarnation of an engine as leaving; returns whether that was unknown.
    pub fn mark_engine_leaving(&mut self, name: &EngineName, incarnation: Incarnation) -> bool {
        let known = self.leaving_engines.get(name);
        if known.is_some_and(|known| *known >= incarnation) {
            return false;
        }
        if self.leaving_engines.len() >= MAX_LEAVING_ENGINES {
            self.leaving_engines.pop_first();
        }
        self.leaving_engines.insert(name.clone(), incarnation);
        let engine = self.engines.get_mut(name);
        if let Some(engine) = engine.filter(|engine| engine.incarnation == incarnation) {
            Arc::make_mut(engine).leaving = true;
            self.index.set_engines(self.engines.values());
        }
        true
    }

    fn mark_router_leaving(&mut self, name: &RouterName, incarnation: Incarnation) -> bool {
        if !self.peers.contains_key(name) {
            return false;
        }
        let changed = self.member_states.record_leave(name, incarnation);
        self.update_leaving(name);
        changed
    }

    /// Returns the member state of a router.
    pub fn member_state(&self, name: &RouterName) -> MemberState {
        self.member_states.get(name)
    }

    /// Declares dead the suspects whose time is up, and drops expired loads.
    ///
    /// Returns the routers that were declared dead.
    pub fn expire(&mut self, now: Instant) -> Vec<(RouterName, Epoch)> {
        let dead = self.member_states.expire_suspects(now);
        if !dead.is_empty() {
            self.update_active_peers();
        }
        self.expire_loads(now);
        dead
    }

    /// Restarts the suspicion timers of all suspects, after a pause of this router.
    pub fn restart_suspicion_timers(&mut self, now: Instant) {
        self.member_states.restart_suspicion_timers(now);
    }

    /// Returns the version of the instance list that was merged last.
    pub fn instance_list_version(&self) -> u64 {
        self.list_version
    }

    /// Returns whether an instance list has been merged.
    pub fn has_instance_list(&self) -> bool {
        self.has_list
    }

    /// Returns the engines of `pool`, ordered by name, also the leaving ones.
    pub fn engines(&self, pool: &PoolName) -> &[Arc<Engine>] {
        self.index.engines(pool)
    }

    /// Returns the engine of `pool` that `entry` names, if it is still in that incarnation.
    pub fn hinted_engine(&self, pool: &PoolName, entry: &HintEntry) -> Option<&Arc<Engine>> {
        let engine = self.engines.get(&entry.engine)?;
        let same = engine.incarnation == entry.incarnation && engine.pool == *pool;
        same.then_some(engine)
    }

    /// Returns the number of engines of `pool` that take new work.
    pub fn open_engine_count(&self, pool: &PoolName) -> u32 {
        self.index.open_engine_count(pool)
    }

    /// Returns all engines, ordered by name.
    pub fn all_engines(&self) -> impl Iterator<Item = &Arc<Engine>> {
        self.engines.values()
    }

    /// Returns the engine called `name`, if it is listed.
    pub fn engine(&self, name: &EngineName) -> Option<&Arc<Engine>> {
        self.engines.get(name)
    }

    /// Returns the other routers, ordered by name.
    pub fn peers(&self) -> impl Iterator<Item = &Arc<Peer>> {
        self.peers.values().filter(|peer| peer.name != self.me)
    }

    /// Returns the router called `name`, if it is listed.
    pub fn peer(&self, name: &RouterName) -> Option<&Arc<Peer>> {
        self.peers.get(name)
    }

    /// Returns the names of the active routers, which share the duties of the fleet.
    ///
    /// They are this router and all others that neither leave nor are believed dead.
    pub fn active_routers(&self) -> impl Iterator<Item = &RouterName> {
        let others = self.active_peers().iter().map(|peer| &peer.name);
        others.chain(std::iter::once(&self.me))
    }

    /// Returns the other active routers, ordered by failure domain.
    pub fn active_peers(&self) -> &[Arc<Peer>] {
        self.index.active_peers()
    }

    /// Returns whether a router is believed dead.
    pub fn is_dead(&self, name: &RouterName) -> bool {
        self.member_states.get(name).health == Health::Dead
    }

    /// Returns the highest known offset of the configuration stream.
    pub fn config_head(&self) -> Offset {
        self.config_head
    }
}
