//! Metrics by `prometheus`, with bounded labels: priorities, pools, outcomes and kinds, never
//! adapters or callers.
//!
//! The fields are private to the crate, so that the compiler finds one that nothing sets.

pub mod register;
mod state;

use std::time::Duration;

use prometheus::{
    Encoder, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry, TextEncoder,
};
use upstream::relay::{self, server};
use wire::Priority;

use crate::core::Status;
use crate::front::{Outcome, Problem};
use crate::peer::SharedCounts;
use register::{counter_vec, gauge_vec, histogram, registered, signed};
use state::State;

/// Upper bounds of the buckets for waits, in seconds.
const WAIT_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.72, 1.0, 2.5, 5.0, 15.0,
];

/// Upper bounds of the buckets for gaps between tokens, in seconds.
const GAP_BUCKETS: [f64; 8] = [0.005, 0.01, 0.02, 0.04, 0.063, 0.1, 0.25, 1.0];

/// Upper bounds of the buckets for parts of a whole.
const PART_BUCKETS: [f64; 8] = [0.125, 0.25, 0.375, 0.5, 0.625, 0.75, 0.875, 1.0];

/// The metrics of one node.
pub struct Metrics {
    registry: Registry,
    counts: SharedCounts,
    /// Requests by kind, priority and outcome.
    pub(crate) requests: IntCounterVec,
    /// Problem documents sent, by status and outcome.
    problems: IntCounterVec,
    /// Time that a request waited for its adapter, by priority and pool.
    load_stall: HistogramVec,
    /// Time to the first token, by priority.
    pub(crate) first_token: HistogramVec,
    /// Time between tokens, by priority.
    pub(crate) token_gap: HistogramVec,
    /// Batch efficiency by pool: sequences in a step over the most it takes, of each report of an
    /// engine at work.
    pub(crate) batch_efficiency: HistogramVec,
    /// Tokens passed on to callers.
    pub(crate) tokens: IntCounter,
    /// Orders to engines by kind and result.
    pub(crate) orders: IntCounterVec,
    /// Refusals by reason.
    pub(crate) refused: IntCounterVec,
    /// Claims of calls that may not be repeated, by what followed.
    pub(crate) claims: IntCounterVec,
    /// Revision of the configuration in force.
    pub(crate) revision: IntGauge,
    /// Revisions refused because of a fault.
    pub(crate) revisions_refused: IntCounter,
    /// Nodes of the region by state, as this node believes.
    pub(crate) members: IntGaugeVec,
    /// Reports of crashes that were none.
    pub(crate) refuted_crashes: IntCounter,
    /// Calls to the platform by kind and result.
    pub(crate) platform_calls: IntCounterVec,
    state: State,
    frames: IntGaugeVec,
    memory: IntGauge,
    cpu: prometheus::Gauge,
    log_dropped: IntGauge,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns the library's error where a name is malformed or used twice.
    pub fn new(counts: SharedCounts) -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("hyssopscale".into()), None)?;
        let r = &registry;
        Ok(Self {
            requests: counter_vec(
                r,
                "requests_total",
                "Requests answered.",
                &["kind", "priority", "outcome"],
            )?,
            problems: counter_vec(
                r,
                "problems_total",
                "Problem documents sent.",
                &["status", "outcome"],
            )?,
            load_stall: histogram(
                r,
                "load_stall_seconds",
                "Time a request waited for its adapter.",
                &["priority", "pool"],
                &WAIT_BUCKETS,
            )?,
            first_token: histogram(
                r,
                "first_token_seconds",
                "Time from arrival to the first token.",
                &["priority"],
                &WAIT_BUCKETS,
            )?,
            token_gap: histogram(
                r,
                "token_gap_seconds",
                "Time between two tokens of a stream.",
                &["priority"],
                &GAP_BUCKETS,
            )?,
            batch_efficiency: histogram(
                r,
                "batch_efficiency",
                "Sequences in a step over the most that a step takes.",
                &["pool"],
                &PART_BUCKETS,
            )?,
            tokens: registered(r, IntCounter::new("tokens_total", "Tokens passed on.")?)?,
            orders: counter_vec(r, "orders_total", "Orders to engines.", &["kind", "result"])?,
            refused: counter_vec(r, "refused_total", "Refused requests.", &["reason"])?,
            claims: counter_vec(
                r,
                "claims_total",
                "Claims of calls that may not be repeated.",
                &["result"],
            )?,
            revision: registered(
                r,
                IntGauge::new("configuration_revision", "Revision in force.")?,
            )?,
            revisions_refused: registered(
                r,
                IntCounter::new("configuration_refused_total", "Revisions refused.")?,
            )?,
            members: gauge_vec(r, "members", "Nodes of the region by state.", &["state"])?,
            refuted_crashes: registered(
                r,
                IntCounter::new(
                    "refuted_crashes_total",
                    "Reports of crashes of engines that answered as the process that they were.",
                )?,
            )?,
            platform_calls: counter_vec(
                r,
                "platform_calls_total",
                "Calls to the platform.",
                &["kind", "result"],
            )?,
            state: State::new(r)?,
            frames: gauge_vec(r, "control_frames", "Frames between nodes.", &["count"])?,
            memory: registered(
                r,
                IntGauge::new("process_resident_bytes", "Resident memory.")?,
            )?,
            cpu: registered(
                r,
                prometheus::Gauge::new("process_cpu_seconds_total", "Processor time used.")?,
            )?,
            log_dropped: registered(
                r,
                IntGauge::new(
                    "log_lines_dropped",
                    "Decision lines dropped by the rate limit.",
                )?,
            )?,
            registry,
            counts,
        })
    }

    /// Counts a request that was answered whole.
    pub(crate) fn answered(&self, kind: &str, priority: Priority) {
        self.requests
            .with_label_values(&[kind, priority.name(), "answered"])
            .inc();
    }

    /// Counts a request that ended otherwise.
    pub(crate) fn ended(&self, kind: &str, priority: Priority, outcome: Outcome) {
        self.requests
            .with_label_values(&[kind, priority.name(), outcome.name()])
            .inc();
    }

    /// Counts a problem document.
    pub(crate) fn refused_with(&self, problem: &Problem) {
        let labels = [problem.status.as_str(), problem.outcome.name()];
        self.problems.with_label_values(&labels).inc();
    }

    /// Records how long a request waited for its adapter.
    pub(crate) fn stall(&self, priority: Priority, pool: &str, wait: Duration) {
        let labels = [priority.name(), pool];
        let stall = self.load_stall.with_label_values(&labels);
        stall.observe(wait.as_secs_f64());
    }

    /// Shows the node's state.
    pub(crate) fn show(&self, status: &Status) {
        self.state.show(status);
    }

    /// Shows how connections to upstreams were opened, and what was relayed for other nodes.
    pub(crate) fn show_paths(&self, opened: &relay::Counts, relayed: &server::Counts) {
        self.state.show_paths(opened, relayed);
    }

    /// Returns the text exposition of all metrics.
    ///
    /// # Errors
    ///
    /// Returns the library's error where a metric cannot be written as text.
    pub fn render(&self) -> prometheus::Result<Vec<u8>> {
        self.refresh();
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    fn refresh(&self) {
        use std::sync::atomic::Ordering::Relaxed;
        let counts = &self.counts;
        for (label, value) in [
            ("sent", &counts.sent),
            ("sent-bytes", &counts.sent_bytes),
            ("received", &counts.received),
            ("dropped", &counts.dropped),
            ("refused", &counts.refused),
        ] {
            self.frames
                .with_label_values(&[label])
                .set(signed(value.load(Relaxed)));
        }
        self.log_dropped.set(signed(crate::journal::dropped()));
        if let Some(usage) = crate::usage::read() {
            self.memory.set(signed(usage.resident_bytes));
            self.cpu.set(usage.cpu.as_secs_f64());
        }
    }
}
