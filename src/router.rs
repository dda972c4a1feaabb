//! A router process: the state of all slices, and the tasks that run them.

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

/// Delay after which a caller should retry when the router is not serving.
const NOT_SERVING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after its last request for which a leaving router still gossips that it leaves.
const LEAVE_GOSSIP_DURATION: Duration = Duration::from_millis(500);

/// The state of a router, shared by its tasks.
pub struct Router {
    /// Settings of this process.
    pub settings: Settings,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Source of monotonic and wall time.
    pub clock: Clock,
    /// Configuration in force.
    pub config: Config,
    /// Known routers and engines.
    pub membership: Membership,
    /// Slots granted on the engines whose steward this router is.
    pub steward: Steward,
    /// Slots granted to this router by the stewards of engines.
    pub held_grants: HeldGrants,
    /// Limits and queues of the teams' requests.
    pub admission: Arc<Admission>,
    /// Crash history of requests, and the requests in quarantine.
    pub quarantine: Quarantine,
    /// Claims of at-most-once calls.
    pub claims: Arc<ClaimStore>,
    /// Leases that allow this router to send orders to engines.
    pub leases: Leases,
    /// Progress of the orders to the pools whose leases this router holds.
    pub order_progress: OrderProgress,
    /// Clients of the platform's services.
    pub infra: Infra,
    /// Clients of the backend servers.
    pub backends: BackendClients,
    /// Connections to other routers.
    pub peers: PeerClient,
    /// Authenticator of the tickets issued to callers.
    pub tickets: Authenticator,
    /// Metrics of this router.
    pub metrics: Metrics,
    /// Latest refusals, for operators.
    pub refusals: Refusals,
    next_number: AtomicU64,
}

impl Router {
    /// Creates a router that has not started.
    pub fn new(settings: Settings) -> Arc<Self> {
        let clock = Clock::new();
        let incarnation = Incarnation(clock.wall().0);
        let frame_authenticator = Authenticator::new(&settings.peer_keys, Purpose::Frame);
        let metrics = Metrics::new();
        let peers = PeerClient::new(settings.name.clone(), incarnation, frame_authenticator);
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
    /// Requests that exceed the drain timeout are abandoned.
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
        self.spawn_background_tasks(&mut tasks, &stop);
        tasks.spawn(membership::run_gossip(self.clone(), datagrams.clone()));
        tasks.spawn(membership::receive_datagrams(self.clone(), datagrams));
        tasks.spawn(peer::serve(self.clone(), peers));

        let limits = self.settings.limits.clone();
        let routes = http::operator_routes(self.clone());
        // The sender stays alive, so that operators are served until the process ends.
        let (_keep_open, until_end) = watch::channel(false);
        tasks.spawn(http::serve(operators, routes, limits.clone(), until_end));
        let routes = http::caller_routes(self.clone());
        let serving = tokio::spawn(http::serve(callers, routes, limits, stop.clone()));

        // An error means that the sender was dropped, which also asks the router to stop.
        let _ = stop.wait_for(|stop| *stop).await;
        self.membership.leave();
        let finish_requests = async {
            let _ = serving.await;
            // The results of claimed calls still have to reach the log.
            self.claims.wait_idle().await;
        };
        let drained =
            tokio::time::timeout(self.settings.limits.drain_timeout, finish_requests).await;
        if drained.is_err() {
            log::warn!("drain timeout expired with requests still in flight");
        }
        tokio::time::sleep(LEAVE_GOSSIP_DURATION).await;
        Ok(())
    }

    /// Starts the background tasks that own no socket.
    fn spawn_background_tasks(
        self: &Arc<Self>,
        tasks: &mut JoinSet<()>,
        stop: &watch::Receiver<bool>,
    ) {
        tasks.spawn(config::follow_log(self.clone()));
        tasks.spawn(config::pull_from_peers(self.clone()));
        tasks.spawn(config::write_checkpoints(self.clone()));
        tasks.spawn(membership::follow_instances(self.clone()));
        tasks.spawn(membership::fetch_crash_history(self.clone()));
        tasks.spawn(steward::run_stewardships(self.clone()));
        tasks.spawn(steward::renew_grants(self.clone()));
        tasks.spawn(once::follow_owned_partitions(self.clone()));
        tasks.spawn(once::append_results(self.clone()));
        for partition in 0..once::PARTITIONS {
            tasks.spawn(once::append_claims(self.clone(), partition));
            tasks.spawn(once::follow_partition(self.clone(), partition));
        }
        for group in 0..lease::GROUPS {
            tasks.spawn(lease::run_lease(self.clone(), group, stop.clone()));
            tasks.spawn(orders::reconcile_group(self.clone(), group));
        }
    }

    /// Checks that the router takes new requests.
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
        Err(err.with_retry_after(NOT_SERVING_RETRY_AFTER))
    }

    /// Returns a number that is unique within this incarnation of the router.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a new id for a request that carries none.
    pub fn fresh_request_id(&self) -> RequestId {
        let text = Uuid::new_v4().to_string();
        RequestId::new(&text).expect("a UUID is a valid name")
    }

    /// Issues a ticket, the key under which a caller may send one at-most-once call.
    pub fn issue_ticket(&self) -> Ticket {
        Ticket::new(&self.tickets, self.clock.wall(), Uuid::new_v4().as_u128())
    }

    /// Returns the address at which callers reach this router.
    pub fn address(&self) -> RouterAddress {
        RouterAddress {
            router: self.settings.name.clone(),
            address: self.settings.listen.callers,
            domain: self.settings.domain.clone(),
        }
    }
}
