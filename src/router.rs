//! One router: the state of all slices, and the tasks that run them.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
    task::JoinSet,
};
use uuid::Uuid;

use crate::{
    admission::{Admission, Quarantine},
    config::{self, Config, Settings},
    http,
    infra::Infra,
    inspect::{Metrics, Refusals},
    lease::{self, Leases},
    lookup::{RouterAddress, Ticket},
    membership::{self, Membership},
    once::{self, ClaimStore},
    orders::{self, OrderProgress},
    peer::{self, Authenticator, PeerClient, Purpose},
    relay::BackendClients,
    steward::{self, HeldGrants, Steward},
    Category, Clock, Error, Incarnation, RequestId, Result,
};

/// Delay proposed to a caller of a router that does not serve.
const NOT_SERVING_DELAY: Duration = Duration::from_secs(1);

/// How long a leaving router goes on spreading the news after its last request.
const LEAVE_GOSSIP_DURATION: Duration = Duration::from_millis(500);

/// The state of a router, shared by its tasks.
pub struct Router {
    /// Settings of the process.
    pub settings: Settings,
    /// Which life of the router this is.
    pub incarnation: Incarnation,
    /// Source of the time.
    pub clock: Clock,
    /// Configuration in force.
    pub config: Config,
    /// Routers and engines known.
    pub membership: Membership,
    /// Grants on the engines that this router counts.
    pub steward: Steward,
    /// Grants that this router holds.
    pub held_grants: HeldGrants,
    /// Load of the teams.
    pub admission: Arc<Admission>,
    /// Requests that crashed engines.
    pub quarantine: Quarantine,
    /// Claims of calls that must not be repeated.
    pub claims: Arc<ClaimStore>,
    /// Leases to order changes to engines.
    pub leases: Leases,
    /// Progress of the pools that this router drives.
    pub order_progress: OrderProgress,
    /// Clients of the platform.
    pub infra: Infra,
    /// Clients of the backend servers.
    pub backends: BackendClients,
    /// Connections to other routers.
    pub peers: PeerClient,
    /// Proof of the tickets given to callers.
    pub tickets: Authenticator,
    /// Metrics.
    pub metrics: Metrics,
    /// The latest refusals.
    pub refusals: Refusals,
    next_number: AtomicU64,
}

impl Router {
    /// Creates a router that has not started.
    pub fn new(settings: Settings) -> Arc<Self> {
        let clock = Clock::new();
        let incarnation = Incarnation(clock.wall().0);
        let frames = Authenticator::new(&settings.peer_keys, Purpose::Frame);
        let metrics = Metrics::new();
        let peers = PeerClient::new(settings.name.clone(), incarnation, frames);
        Arc::new(Router {
            incarnation,
            clock,
            config: Config::default(),
            membership: Membership::new(settings.name.clone(), incarnation),
            steward: Steward::default(),
            held_grants: HeldGrants::default(),
            admission: Arc::default(),
            quarantine: Quarantine::default(),
            claims: Arc::default(),
            leases: Leases::new(),
            order_progress: OrderProgress::default(),
            infra: Infra::new(
                &settings.platform,
                settings.log.as_ref().unwrap_or(&settings.platform),
                &metrics.platform_exchanged,
            ),
            backends: BackendClients::new(&settings.limits),
            peers: peers.with_counter(metrics.peer_bytes_sent.clone()),
            tickets: Authenticator::new(&settings.peer_keys, Purpose::Ticket),
            metrics,
            refusals: Refusals::default(),
            next_number: AtomicU64::new(0),
            settings,
        })
    }

    /// Runs the router until `stop` turns true and its requests have ended.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Io`] when an address cannot be listened on.
    pub async fn run(self: Arc<Self>, mut stop: watch::Receiver<bool>) -> Result<()> {
        let listen = &self.settings.listen;
        let callers = TcpListener::bind(listen.callers).await?;
        let operators = TcpListener::bind(listen.operators).await?;
        let peers = TcpListener::bind(listen.peers).await?;
        let datagrams = Arc::new(UdpSocket::bind(listen.peers).await?);

        let mut tasks = JoinSet::new();
        self.spawn_duties(&mut tasks, &stop);
        tasks.spawn(membership::run_gossip(self.clone(), datagrams.clone()));
        tasks.spawn(membership::receive_datagrams(self.clone(), datagrams));
        tasks.spawn(peer::serve(self.clone(), peers));

        let limits = self.settings.limits.clone();
        let routes = http::operator_routes(self.clone());
        // Operators are answered until the very end.
        let (_running, until_end) = watch::channel(false);
        tasks.spawn(http::serve(operators, routes, limits.clone(), until_end));
        let routes = http::caller_routes(self.clone());
        let serving = tokio::spawn(http::serve(callers, routes, limits, stop.clone()));

        // An error means that the sender is gone, which is a request to stop as well.
        let _ = stop.wait_for(|stop| *stop).await;
        self.membership.leave();
        let requests = async {
            let _ = serving.await;
            // Their results still have to reach the log.
            self.claims.idle().await;
        };
        let drained = tokio::time::timeout(self.settings.limits.drain_timeout, requests).await;
        if drained.is_err() {
            log::warn!("requests still in flight at the end of the drain");
        }
        tokio::time::sleep(LEAVE_GOSSIP_DURATION).await;
        Ok(())
    }

    /// Starts the tasks that need no socket of their own.
    fn spawn_duties(self: &Arc<Self>, tasks: &mut JoinSet<()>, stop: &watch::Receiver<bool>) {
        tasks.spawn(config::follow_log(self.clone()));
        tasks.spawn(config::pull_from_peers(self.clone()));
        tasks.spawn(config::write_checkpoints(self.clone()));
        tasks.spawn(membership::follow_instances(self.clone()));
        tasks.spawn(membership::fetch_poison_requests(self.clone()));
        tasks.spawn(steward::keep_engines(self.clone()));
        tasks.spawn(steward::renew_grants(self.clone()));
        tasks.spawn(once::follow_owned_partitions(self.clone()));
        tasks.spawn(once::append_results(self.clone()));
        for partition in 0..once::PARTITIONS {
            tasks.spawn(once::append_claims(self.clone(), partition));
            tasks.spawn(once::follow_partition(self.clone(), partition));
        }
        for group in 0..lease::GROUPS {
            tasks.spawn(lease::contend(self.clone(), group, stop.clone()));
            tasks.spawn(orders::reconcile_group(self.clone(), group));
        }
    }

    /// Checks that new requests are taken.
    ///
    /// # Errors
    ///
    /// Returns [`Category::NotServing`] while the router starts, leaves or is isolated.
    pub fn check_serving(&self) -> Result<()> {
        let isolated = self.membership.is_isolated(self.clock.now());
        if self.membership.is_serving() && !isolated {
            return Ok(());
        }
        let phase = if isolated {
            "isolated"
        } else {
            self.membership.phase()
        };
        let message = format!("the router is {phase}");
        let err = Error::not_run(Category::NotServing, message);
        Err(err.with_retry_after(NOT_SERVING_DELAY))
    }

    /// Returns a number that this life of the router gives once.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns an id for a request that brings none.
    pub fn fresh_request_id(&self) -> RequestId {
        let text = Uuid::new_v4().to_string();
        RequestId::new(&text).expect("a UUID is a valid name")
    }

    /// Issues a ticket.
    pub fn issue_ticket(&self) -> Ticket {
        Ticket::new(&self.tickets, self.clock.wall(), Uuid::new_v4().as_u128())
    }

    /// Returns how callers reach this router.
    pub fn address(&self) -> RouterAddress {
        RouterAddress {
            router: self.settings.name.clone(),
            address: self.settings.listen.callers,
            domain: self.settings.domain.clone(),
        }
    }
}
