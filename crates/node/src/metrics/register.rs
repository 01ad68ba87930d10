//! Registering metrics, for every kind of node.

use prometheus::core::Collector;
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry};

/// Returns `value` as a gauge holds it.
pub fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Registers a metric.
///
/// # Errors
///
/// Returns the library's error where the name is taken.
pub fn registered<C: Collector + Clone + 'static>(
    registry: &Registry,
    collector: C,
) -> prometheus::Result<C> {
    registry.register(Box::new(collector.clone()))?;
    Ok(collector)
}

/// Registers a counter with labels.
///
/// # Errors
///
/// Returns the library's error where the name is taken.
pub fn counter_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntCounterVec> {
    registered(registry, IntCounterVec::new(Opts::new(name, help), labels)?)
}

/// Registers a gauge with labels.
///
/// # Errors
///
/// Returns the library's error where the name is taken.
pub fn gauge_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntGaugeVec> {
    registered(registry, IntGaugeVec::new(Opts::new(name, help), labels)?)
}

/// Registers a histogram with labels and the upper bounds of its buckets.
///
/// # Errors
///
/// Returns the library's error where the name is taken.
pub fn histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
    buckets: &[f64],
) -> prometheus::Result<HistogramVec> {
    let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    registered(registry, HistogramVec::new(opts, labels)?)
}
