//! Metrics of the requests that a router forwards.

use std::{sync::atomic::AtomicU64, time::Duration};

use prometheus_client::{
    encoding::{text::encode, EncodeLabelSet},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};

use crate::Error;

/// Upper bounds of the histogram buckets for answer times, in seconds.
///
/// The usual response time goals of routes are among them.
const ANSWER_BUCKETS: [f64; 9] = [0.01, 0.03, 0.1, 0.3, 0.8, 1.5, 3.0, 6.0, 15.0];

/// Upper bounds of the histogram buckets for delays of tasks, in seconds.
const TASK_DELAY_BUCKETS: [f64; 6] = [0.01, 0.03, 0.1, 0.3, 1.0, 3.0];

/// Upper bounds of the histogram buckets for the busiest server relative to the mean.
const BUSIEST_BUCKETS: [f64; 6] = [1.1, 1.2, 1.5, 2.0, 3.0, 5.0];

/// Labels of the counter of failed requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FailureLabels {
    reason: &'static str,
    verdict: &'static str,
}

/// Labels of the counter of retries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabels {
    granted: &'static str,
}

/// Labels of the counter of requests without a complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UnansweredLabels {
    stage: &'static str,
    cause: &'static str,
}

/// Labels of the counter of background tasks that ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TaskLabels {
    task: &'static str,
}

/// Labels of the gauge of servers that get no new requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SetAsideLabels {
    reason: &'static str,
}

/// Labels of the gauge of quarantines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct QuarantineLabels {
    kind: &'static str,
}

/// Labels of the gauge of memory held.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HeldLabels {
    for_peers: &'static str,
}

/// Counters and histograms of forwarded requests.
#[derive(Debug)]
pub struct ForwardMetrics {
    registry: Registry,
    answer_seconds: Histogram,
    task_delay_seconds: Histogram,
    busiest_over_mean: Histogram,
    failures: Family<FailureLabels, Counter<u64, AtomicU64>>,
    retries: Family<RetryLabels, Counter<u64, AtomicU64>>,
    unanswered: Family<UnansweredLabels, Counter<u64, AtomicU64>>,
    servers_set_aside: Family<SetAsideLabels, Gauge>,
    quarantined: Family<QuarantineLabels, Gauge>,
    cold_servers: Gauge,
    /// Selections of a server in which cold servers were left out.
    pub cold_left_out: Counter<u64, AtomicU64>,
    tasks_ended: Family<TaskLabels, Counter<u64, AtomicU64>>,
    held_bytes: Family<HeldLabels, Gauge>,
    given_up: Gauge,
    /// Failure domains that are evacuated.
    pub evacuated_domains: Gauge,
    /// Requests rejected as all servers of their pool are in evacuated failure domains.
    pub evacuated_rejections: Counter<u64, AtomicU64>,
    /// Connections opened to backend servers.
    pub connections: Counter<u64, AtomicU64>,
    /// Datagrams of other routers that could not be decoded.
    pub datagrams_dropped: Counter<u64, AtomicU64>,
    /// Reports of their loads by servers that could not be read.
    pub loads_ignored: Counter<u64, AtomicU64>,
}

impl ForwardMetrics {
    /// Creates the metrics with all counts at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("ebonyspur");
        let metrics = ForwardMetrics {
            answer_seconds: Histogram::new(ANSWER_BUCKETS),
            task_delay_seconds: Histogram::new(TASK_DELAY_BUCKETS),
            failures: Family::default(),
            retries: Family::default(),
            unanswered: Family::default(),
            servers_set_aside: Family::default(),
            quarantined: Family::default(),
            cold_servers: Gauge::default(),
            cold_left_out: Counter::default(),
            tasks_ended: Family::default(),
            held_bytes: Family::default(),
            given_up: Gauge::default(),
            evacuated_domains: Gauge::default(),
            evacuated_rejections: Counter::default(),
            connections: Counter::default(),
            datagrams_dropped: Counter::default(),
            loads_ignored: Counter::default(),
            busiest_over_mean: Histogram::new(BUSIEST_BUCKETS),
            registry: Registry::default(),
        };
        registry.register_with_unit(
            "forwarded",
            "Time from the arrival of a request to its answer, or to the first event of a stream",
            Unit::Seconds,
            metrics.answer_seconds.clone(),
        );
        registry.register_with_unit(
            "task_delay",
            "Time by which a periodic task ran late, as the process had no processor time",
            Unit::Seconds,
            metrics.task_delay_seconds.clone(),
        );
        let help = "Requests that were refused or failed, by reason and verdict";
        registry.register("failed", help, metrics.failures.clone());
        let help = "Retries that the retry budget granted or refused";
        registry.register("retries", help, metrics.retries.clone());
        let help = "Requests whose connection or process ended before the answer was complete";
        registry.register("unanswered", help, metrics.unanswered.clone());
        let help = "Connections opened to backend servers";
        registry.register("server_connections", help, metrics.connections.clone());
        let help = "Datagrams of other routers that could not be decoded";
        registry.register("datagrams_dropped", help, metrics.datagrams_dropped.clone());
        let help = "Reports of their loads by servers that could not be read";
        registry.register("loads_ignored", help, metrics.loads_ignored.clone());
        let help = "Longest expected time at a server over the mean, when a request is placed";
        registry.register("busiest_over_mean", help, metrics.busiest_over_mean.clone());
        let help = "Servers that get no new requests of this router, by reason";
        registry.register("servers_set_aside", help, metrics.servers_set_aside.clone());
        let help = "Memory held for callers and for servers";
        registry.register_with_unit("held", help, Unit::Bytes, metrics.held_bytes.clone());
        let help = "Connections of callers given up so far, as their place or memory was needed";
        registry.register("given_up", help, metrics.given_up.clone());
        let help = "Failure domains that are evacuated";
        registry.register("evacuated_domains", help, metrics.evacuated_domains.clone());
        let help =
            "Requests rejected as all servers of their pool are in evacuated failure domains";
        let rejections = metrics.evacuated_rejections.clone();
        registry.register("evacuated_rejections", help, rejections);
        let help = "Requests and sets of prompt parts that are refused, as they crash servers";
        registry.register("quarantined", help, metrics.quarantined.clone());
        let help = "Servers that are cold";
        registry.register("cold_servers", help, metrics.cold_servers.clone());
        let help = "Selections of a server in which cold servers were left out";
        registry.register("cold_left_out", help, metrics.cold_left_out.clone());
        let help = "Background tasks that ended and were started again";
        registry.register("tasks_ended", help, metrics.tasks_ended.clone());
        ForwardMetrics {
            registry,
            ..metrics
        }
    }

    /// Counts a request that was refused or failed with `err`.
    pub fn count_failure(&self, err: &Error) {
        let labels = FailureLabels {
            reason: err.classify().as_str(),
            verdict: err.verdict().as_str(),
        };
        self.failures.get_or_create(&labels).inc();
    }

    /// Counts a request that ended at `stage` without a complete answer, for `cause`.
    pub fn count_unanswered(&self, stage: &'static str, cause: &'static str) {
        let labels = UnansweredLabels { stage, cause };
        self.unanswered.get_or_create(&labels).inc();
    }

    /// Sets the number of servers that get no new requests of this router for `reason`.
    pub fn set_servers_set_aside(&self, reason: &'static str, count: usize) {
        let labels = SetAsideLabels { reason };
        let gauge = self.servers_set_aside.get_or_create(&labels);
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the bytes held for callers and for servers, and the number of connections given up.
    pub fn set_held(&self, (callers, servers): (usize, usize), given_up: u64) {
        for (for_peers, bytes) in [("callers", callers), ("servers", servers)] {
            let gauge = self.held_bytes.get_or_create(&HeldLabels { for_peers });
            gauge.set(i64::try_from(bytes).unwrap_or(i64::MAX));
        }
        self.given_up
            .set(i64::try_from(given_up).unwrap_or(i64::MAX));
    }

    /// Sets the number of quarantines of `kind`.
    pub fn set_quarantined(&self, kind: &'static str, count: usize) {
        let gauge = self.quarantined.get_or_create(&QuarantineLabels { kind });
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of servers that are cold.
    pub fn set_cold_servers(&self, count: usize) {
        self.cold_servers
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts an unexpected end of the background task `task`.
    pub fn count_task_end(&self, task: &'static str) {
        self.tasks_ended.get_or_create(&TaskLabels { task }).inc();
    }

    /// Records that a request was answered `took` after its arrival.
    pub fn observe_answer(&self, took: Duration) {
        self.answer_seconds.observe(took.as_secs_f64());
    }

    /// Records the longest expected time at a server, as a multiple of the mean, when a request is
    /// placed.
    pub fn observe_busiest(&self, over_mean: f64) {
        self.busiest_over_mean.observe(over_mean);
    }

    /// Records that a periodic task ran `late` after it was due.
    pub fn observe_task_delay(&self, late: Duration) {
        self.task_delay_seconds.observe(late.as_secs_f64());
    }

    /// Counts a retry that the retry budget granted or refused.
    pub fn count_retry(&self, granted: bool) {
        let granted = if granted { "yes" } else { "no" };
        self.retries.get_or_create(&RetryLabels { granted }).inc();
    }

    /// Encodes the metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string cannot fail");
        text
    }
}

impl Default for ForwardMetrics {
    fn default() -> Self {
        ForwardMetrics::new()
    }
}
