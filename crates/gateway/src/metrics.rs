//! Metrics by `prometheus`, with bounded labels: kinds, pools and outcomes, never adapters.

use std::sync::atomic::Ordering;
use std::time::Duration;

use node::metrics::register::{counter_vec, gauge_vec, histogram, registered, signed};
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Registry, TextEncoder,
};

use upstream::relay::{self, server};

use crate::datagram::{Counts, Message};

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
    /// Questions for permits at brittle upstreams, by result.
    pub permits: IntCounterVec,
    /// Calls to the platform, by result.
    pub reads: IntCounterVec,
    /// Revision of the configuration in force.
    pub revision: IntGauge,
    /// Requests in progress.
    pub flying: IntGauge,
    /// Features for which requests are refused, since they crash upstreams.
    pub convictions: IntGauge,
    /// Reported crashes that were none.
    pub refuted_crashes: IntCounter,
    /// Time by which the event loop ran late.
    pub loop_delay: Histogram,
    connections: IntGaugeVec,
    relayed: IntGaugeVec,
    datagrams: IntGaugeVec,
    datagram_bytes: IntGaugeVec,
    log_dropped: IntGauge,
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
            requests: counter_vec(
                all,
                "hyssopscale_exchange_requests_total",
                "Requests by route kind and outcome",
                &["kind", "outcome"],
            )?,
            attempts: counter_vec(
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
                &WAIT_BUCKETS,
            )?,
            first: histogram(
                all,
                "hyssopscale_exchange_first_seconds",
                "Time to the head of the answer",
                &["kind"],
                &WAIT_BUCKETS,
            )?,
            orders: counter_vec(
                all,
                "hyssopscale_exchange_orders_total",
                "Orders to engines by answer",
                &["answer"],
            )?,
            permits: counter_vec(
                all,
                "hyssopscale_exchange_permits_total",
                "Questions for permits at brittle upstreams by result",
                &["result"],
            )?,
            reads: counter_vec(
                all,
                "hyssopscale_platform_reads_total",
                "Reads of the platform by result",
                &["result"],
            )?,
            revision: registered(
                all,
                IntGauge::new(
                    "hyssopscale_config_revision",
                    "Revision of the configuration in force",
                )?,
            )?,
            flying: registered(
                all,
                IntGauge::new("hyssopscale_requests_in_progress", "Requests in progress")?,
            )?,
            convictions: registered(
                all,
                IntGauge::new(
                    "hyssopscale_exchange_convictions",
                    "Features for which requests are refused, since they crash upstreams",
                )?,
            )?,
            refuted_crashes: registered(
                all,
                IntCounter::new(
                    "hyssopscale_exchange_refuted_crashes_total",
                    "Reported crashes of upstreams that answered as the process that they were",
                )?,
            )?,
            loop_delay: registered(
                all,
                Histogram::with_opts(
                    HistogramOpts::new(
                        "hyssopscale_loop_delay_seconds",
                        "Time by which the event loop ran late",
                    )
                    .buckets(WAIT_BUCKETS.to_vec()),
                )?,
            )?,
            connections: gauge_vec(
                all,
                "hyssopscale_upstream_connections",
                "Connections to upstreams since the start, by the way they were opened",
                &["way"],
            )?,
            relayed: gauge_vec(
                all,
                "hyssopscale_relayed",
                "Connections opened for other nodes since the start, those open now, and their bytes",
                &["what"],
            )?,
            datagram_bytes: gauge_vec(
                all,
                "hyssopscale_datagram_bytes",
                "Bytes sent between nodes since the start, by kind of message",
                &["kind"],
            )?,
            datagrams: gauge_vec(
                all,
                "hyssopscale_datagrams",
                "Datagrams between nodes since the start, by what became of them",
                &["result"],
            )?,
            log_dropped: registered(
                all,
                IntGauge::new(
                    "hyssopscale_log_lines_dropped",
                    "Decision lines dropped by the rate limit since the start",
                )?,
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

    /// Takes over how connections to upstreams were opened, and what was relayed for other nodes.
    pub fn record_paths(&self, opened: &relay::Counts, relayed: &server::Counts) {
        let ways = [
            ("direct", &opened.direct),
            ("peer", &opened.relayed),
            ("failed", &opened.failed),
            ("peer-refused", &opened.refused),
            ("check", &opened.checks),
        ];
        for (way, count) in ways {
            let count = signed(count.load(Ordering::Relaxed));
            self.connections.with_label_values(&[way]).set(count);
        }
        let totals = [
            ("opened", &relayed.opened),
            ("refused", &relayed.refused),
            ("bytes", &relayed.bytes),
        ];
        for (what, count) in totals {
            let count = signed(count.load(Ordering::Relaxed));
            self.relayed.with_label_values(&[what]).set(count);
        }
        let open = relayed.open.load(Ordering::Relaxed);
        self.relayed.with_label_values(&["open"]).set(open);
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
        for (kind, count) in Message::KIND_NAMES.iter().zip(&counts.bytes) {
            let count = signed(count.load(Ordering::Relaxed));
            self.datagram_bytes.with_label_values(&[*kind]).set(count);
        }
        self.log_dropped.set(signed(node::journal::dropped()));
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("metrics do not encode: {error}");
        }
        text
    }
}
