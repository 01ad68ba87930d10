//! Metrics by `prometheus`, with bounded labels: kinds, pools and outcomes, never adapters.

use std::sync::atomic::Ordering;
use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use crate::datagram::Counts;

/// Upper bounds of the buckets for waits, in seconds.
const WAIT_BUCKETS: [f64; 11] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.5, 3.0, 10.0,
];

/// The metrics of one node.
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    attempts: IntCounterVec,
    stall: HistogramVec,
    first: HistogramVec,
    /// Orders to engines, by answer.
    pub orders: IntCounterVec,
    /// Calls to the platform, by result.
    pub reads: IntCounterVec,
    /// Revision of the configuration in force.
    pub revision: IntGauge,
    /// Requests in progress.
    pub flying: IntGauge,
    datagrams: IntGaugeVec,
    log_dropped: IntGauge,
}

fn counter(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(name, help).buckets(WAIT_BUCKETS.to_vec());
    let metric = HistogramVec::new(options, labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let metric = IntGauge::new(name, help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauges(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntGaugeVec, prometheus::Error> {
    let metric = IntGaugeVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn signed(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns the library's error where a name is taken twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let all = &registry;
        Ok(Self {
            requests: counter(
                all,
                "hyssopscale_exchange_requests_total",
                "Requests by route kind and outcome",
                &["kind", "outcome"],
            )?,
            attempts: counter(
                all,
                "hyssopscale_exchange_attempts_total",
                "Attempts at upstreams by pool and result",
                &["pool", "result"],
            )?,
            stall: histogram(
                all,
                "hyssopscale_exchange_stall_seconds",
                "Time that a request waited for its adapter",
                &["pool"],
            )?,
            first: histogram(
                all,
                "hyssopscale_exchange_first_seconds",
                "Time to the head of the answer",
                &["kind"],
            )?,
            orders: counter(
                all,
                "hyssopscale_exchange_orders_total",
                "Orders to engines by answer",
                &["answer"],
            )?,
            reads: counter(
                all,
                "hyssopscale_platform_reads_total",
                "Reads of the platform by result",
                &["result"],
            )?,
            revision: gauge(
                all,
                "hyssopscale_config_revision",
                "Revision of the configuration in force",
            )?,
            flying: gauge(
                all,
                "hyssopscale_requests_in_progress",
                "Requests in progress",
            )?,
            datagrams: gauges(
                all,
                "hyssopscale_datagrams",
                "Datagrams between nodes since the start, by what became of them",
                &["result"],
            )?,
            log_dropped: gauge(
                all,
                "hyssopscale_log_lines_dropped",
                "Decision lines dropped by the rate limit since the start",
            )?,
            registry,
        })
    }

    /// Counts a finished request.
    pub fn request(&self, kind: &str, outcome: &str) {
        self.requests.with_label_values(&[kind, outcome]).inc();
    }

    /// Counts an attempt at an upstream.
    pub fn attempt(&self, pool: &str, result: &str) {
        self.attempts.with_label_values(&[pool, result]).inc();
    }

    /// Counts the time that a request waited for its adapter.
    pub fn stalled(&self, pool: &str, time: Duration) {
        self.stall
            .with_label_values(&[pool])
            .observe(time.as_secs_f64());
    }

    /// Counts the time to the head of an answer.
    pub fn first(&self, kind: &str, time: Duration) {
        self.first
            .with_label_values(&[kind])
            .observe(time.as_secs_f64());
    }

    /// Writes all metrics as text.
    pub fn render(&self, counts: &Counts) -> Vec<u8> {
        let results = [
            ("sent", &counts.sent),
            ("received", &counts.received),
            ("dropped", &counts.dropped),
            ("refused", &counts.refused),
            ("failed", &counts.failed),
        ];
        for (result, count) in results {
            let count = signed(count.load(Ordering::Relaxed));
            self.datagrams.with_label_values(&[result]).set(count);
        }
        self.log_dropped.set(signed(node::journal::dropped()));
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("metrics do not encode: {error}");
        }
        text
    }
}
