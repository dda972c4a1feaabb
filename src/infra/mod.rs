//! Clients of the platform's services: the log service, the instance list and the weight store.
//!
//! Every operation has a timeout, and every error says whether the operation may have
//! taken effect.

use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;

mod client;
mod instance;
mod log;
mod weights;

pub use self::{
    client::JsonClient,
    instance::{Instance, InstanceChanges, InstanceKind, InstanceList, InstanceState},
    log::{Entry, LogService, Page},
    weights::{WeightStore, WeightStoreUsage},
};

/// Clients of the platform's services.
#[derive(Debug)]
pub struct Infra {
    /// Client of the log service.
    pub log: LogService,
    /// Client of the instance list.
    pub instances: InstanceList,
    /// Client of the weight store.
    pub weights: WeightStore,
}

impl Infra {
    /// Creates clients for the platform at `base_url` and its log service at `log_url`.
    ///
    /// The bytes of paths and bodies, both sent and received, are counted in `exchanged_bytes`.
    pub fn new(
        base_url: &http::Uri,
        log_url: &http::Uri,
        exchanged_bytes: &Counter<u64, AtomicU64>,
    ) -> Self {
        let client = |url| JsonClient::new(url).with_counter(exchanged_bytes.clone());
        Infra {
            log: LogService::new(client(log_url)),
            instances: InstanceList::new(client(base_url)),
            weights: WeightStore::new(client(base_url)),
        }
    }
}
