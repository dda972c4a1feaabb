//! Metrics of a router: counters, a histogram of answer times, and gauges.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{text::encode, EncodeLabelSet},
    metrics::{counter::Counter, family::Family, histogram::Histogram},
    registry::{Registry, Unit},
};

use super::gauges::Gauges;
use crate::{Error, Router};

/// Upper bounds of the histogram buckets for answer times, in seconds.
const ANSWER_BUCKETS: [f64; 10] = [0.001, 0.005, 0.02, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 30.0];

/// Labels of the answer counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabels {
    reason: &'static str,
    verdict: &'static str,
}

/// Labels of the order counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrderLabels {
    outcome: &'static str,
}

/// Metrics of a router, by `prometheus-client`.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    gauges: Gauges,
    /// Answers to callers by reason and verdict.
    pub answers: Family<AnswerLabels, Counter<u64, AtomicU64>>,
    /// Time from the arrival of a request to the head of its answer, in seconds.
    pub answer_seconds: Histogram,
    /// Datagrams dropped because they were malformed or not authenticated by a peer.
    pub datagrams_dropped: Counter<u64, AtomicU64>,
    /// Bytes sent in datagrams to other routers, including IP and UDP headers.
    pub datagram_bytes_sent: Counter<u64, AtomicU64>,
    /// Bytes sent on connections between routers, excluding packet headers.
    pub peer_bytes_sent: Counter<u64, AtomicU64>,
    /// Bytes of the paths and bodies exchanged with the platform.
    pub platform_exchanged: Counter<u64, AtomicU64>,
    /// Peer connections refused: over the limit, not authenticated, or with malformed frames.
    pub peer_connections_refused: Counter<u64, AtomicU64>,
    /// Orders to engines by outcome.
    pub orders: Family<OrderLabels, Counter<u64, AtomicU64>>,
}

impl Metrics {
    /// Creates the metrics with all counts at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("ebonyspur");
        let answers = Family::default();
        let answer_seconds = Histogram::new(ANSWER_BUCKETS);
        let datagrams_dropped = Counter::default();
        registry.register(
            "answers",
            "Answers to callers, by reason and verdict",
            answers.clone(),
        );
        registry.register_with_unit(
            "answer",
            "Time from the arrival of a request to the head of its answer",
            Unit::Seconds,
            answer_seconds.clone(),
        );
        registry.register(
            "datagrams_dropped",
            "Datagrams dropped because they were malformed or not authenticated by a peer",
            datagrams_dropped.clone(),
        );
        let datagram_bytes_sent = Counter::default();
        registry.register_with_unit(
            "datagram_sent",
            "Bytes sent in datagrams to other routers, including IP and UDP headers",
            Unit::Bytes,
            datagram_bytes_sent.clone(),
        );
        let peer_bytes_sent = Counter::default();
        registry.register_with_unit(
            "peer_sent",
            "Bytes sent on connections between routers, excluding packet headers",
            Unit::Bytes,
            peer_bytes_sent.clone(),
        );
        let platform_exchanged = Counter::default();
        registry.register_with_unit(
            "platform_exchanged",
            "Bytes of the paths and bodies exchanged with the platform",
            Unit::Bytes,
            platform_exchanged.clone(),
        );
        let peer_connections_refused = Counter::default();
        registry.register(
            "peer_connections_refused",
            "Peer connections refused: over the limit, not authenticated, or with malformed frames",
            peer_connections_refused.clone(),
        );
        let orders = Family::default();
        registry.register("orders", "Orders to engines, by outcome", orders.clone());
        let gauges = Gauges::new(&mut registry);
        Metrics {
            gauges,
            orders,
            registry,
            answers,
            answer_seconds,
            datagrams_dropped,
            datagram_bytes_sent,
            peer_bytes_sent,
            platform_exchanged,
            peer_connections_refused,
        }
    }

    /// Counts an answer to a caller; `err` is the reason of a refusal.
    pub fn count_answer(&self, err: Option<&Error>) {
        let labels = AnswerLabels {
            reason: err.map_or("none", |err| err.classify().as_str()),
            verdict: err.map_or("ran", |err| err.verdict().as_str()),
        };
        self.answers.get_or_create(&labels).inc();
    }

    /// Counts an order to an engine; `err` is the reason why it was not accepted.
    pub fn count_order(&self, err: Option<&Error>) {
        let outcome = err.map_or("accepted", |err| err.classify().as_str());
        self.orders.get_or_create(&OrderLabels { outcome }).inc();
    }

    /// Encodes the metrics in the OpenMetrics text format.
    ///
    /// The gauges are set from `cx`, the router that owns these metrics.
    pub fn encode(&self, cx: &Router) -> String {
        self.gauges.update(cx);
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string cannot fail");
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}
