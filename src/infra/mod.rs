//! Clients of the platform: the log service, the instance list, the weight store.
//!
//! Every operation has a deadline, and every error says whether it may have
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

/// The platform's services as this router reaches them.
#[derive(Debug)]
pub struct Infra {
    /// The log service.
    pub log: LogService,
    /// The instance list.
    pub instances: InstanceList,
    /// The weight store.
    pub weights: WeightStore,
}

impl Infra {
    /// Creates clients for the platform at `base` and its log service at `log`.
    ///
    /// The bytes of paths and bodies are counted in `bytes`.
    pub fn new(base: &http::Uri, log: &http::Uri, bytes: &Counter<u64, AtomicU64>) -> Self {
        let client = |base| JsonClient::new(base).with_counter(bytes.clone());
        Infra {
            log: LogService::new(client(log)),
            instances: InstanceList::new(client(base)),
            weights: WeightStore::new(client(base)),
        }
    }
}
