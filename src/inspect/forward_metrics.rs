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

/// Upper bounds of the histogram buckets for waits for room, in seconds.
const WAIT_BUCKETS: [f64; 6] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5];

/// Labels of the histogram of waits for room.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WaitLabels {
    outcome: &'static str,
}

/// Counters and histograms of forwarded requests.
#[derive(Debug)]
pub struct ForwardMetrics {
    registry: Registry,
    answer_seconds: Histogram,
    task_delay_seconds: Histogram,
    failures: Family<FailureLabels, Counter<u64, AtomicU64>>,
    retries: Family<RetryLabels, Counter<u64, AtomicU64>>,
    unanswered: Family<UnansweredLabels, Counter<u64, AtomicU64>>,
    servers_set_aside: Family<SetAsideLabels, Gauge>,
    waiting: Gauge,
    room_wait_seconds: Family<WaitLabels, Histogram>,
    tasks_ended: Family<TaskLabels, Counter<u64, AtomicU64>>,
    /// Connections opened to backend servers.
    pub connections: Counter<u64, AtomicU64>,
    /// Datagrams of other routers that could not be decoded.
    pub datagrams_dropped: Counter<u64, AtomicU64>,
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
            waiting: Gauge::default(),
            room_wait_seconds: Family::new_with_constructor(|| Histogram::new(WAIT_BUCKETS)),
            tasks_ended: Family::default(),
            connections: Counter::default(),
            datagrams_dropped: Counter::default(),
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
        let help = "Servers that get no new requests of this router, by reason";
        registry.register("servers_set_aside", help, metrics.servers_set_aside.clone());
        let help = "Background tasks that ended and were started again";
        registry.register("tasks_ended", help, metrics.tasks_ended.clone());
        let help = "Requests that wait for room in their pool";
        registry.register("waiting", help, metrics.waiting.clone());
        registry.register_with_unit(
            "room_wait",
            "Time for which requests waited for room in their pool, by whether they got it",
            Unit::Seconds,
            metrics.room_wait_seconds.clone(),
        );
        ForwardMetrics {
            registry,
            ..metrics
        }
    }

    /// Sets the number of requests that wait for room in their pool.
    pub fn set_waiting(&self, count: usize) {
        self.waiting.set(count as i64);
    }

    /// Records that a request waited for room, and whether it got it.
    pub fn observe_room_wait(&self, waited: Duration, admitted: bool) {
        let outcome = if admitted { "admitted" } else { "refused" };
        let waits = self
            .room_wait_seconds
            .get_or_create(&WaitLabels { outcome });
        waits.observe(waited.as_secs_f64());
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

    /// Counts an unexpected end of the background task `task`.
    pub fn count_task_end(&self, task: &'static str) {
        self.tasks_ended.get_or_create(&TaskLabels { task }).inc();
    }

    /// Records that a request was answered `took` after its arrival.
    pub fn observe_answer(&self, took: Duration) {
        self.answer_seconds.observe(took.as_secs_f64());
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
