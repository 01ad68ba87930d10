//! Gauges of a node's state, set when the metrics are read.

use std::sync::atomic::Ordering::Relaxed;

use prometheus::{IntGauge, IntGaugeVec, Registry};

use upstream::relay::{self, server};

use super::register::{gauge_vec, registered, signed};
use crate::core::{Status, UpstreamStatus};

/// The gauges.
pub struct State {
    in_flight: IntGauge,
    placing: IntGauge,
    records: IntGauge,
    claims_ready: IntGauge,
    revision_age: IntGauge,
    list_age: IntGauge,
    upstreams: IntGaugeVec,
    owned: IntGaugeVec,
    slots: IntGaugeVec,
    residents: IntGaugeVec,
    leases: IntGaugeVec,
    queue: IntGaugeVec,
    loads: IntGaugeVec,
    connections: IntGaugeVec,
    relayed: IntGaugeVec,
}

impl State {
    pub(super) fn new(r: &Registry) -> prometheus::Result<Self> {
        let gauge = |name: &str, help: &str| registered(r, IntGauge::new(name, help)?);
        Ok(Self {
            in_flight: gauge("requests_in_flight", "Requests of callers in progress.")?,
            placing: gauge("requests_placing", "Requests that wait for a grant.")?,
            records: gauge("claim_records", "Keys of calls remembered as a witness.")?,
            claims_ready: gauge("claims_ready", "Whether claims can be decided here.")?,
            revision_age: gauge(
                "configuration_age_seconds",
                "Time since the revision in force was adopted.",
            )?,
            list_age: gauge(
                "member_list_age_seconds",
                "Time since the list of VMs was read.",
            )?,
            upstreams: gauge_vec(r, "upstreams", "Upstreams by state.", &["pool", "state"])?,
            owned: gauge_vec(r, "owned_engines", "Engines owned.", &["pool"])?,
            slots: gauge_vec(r, "slots", "Slots of owned engines.", &["pool"])?,
            residents: gauge_vec(
                r,
                "residents",
                "Instances in slots of owned engines by state.",
                &["pool", "state"],
            )?,
            leases: gauge_vec(r, "leases", "Leases on owned engines.", &["pool"])?,
            queue: gauge_vec(
                r,
                "load_queue",
                "Adapters that wait for a load by highest priority.",
                &["pool", "priority"],
            )?,
            loads: gauge_vec(
                r,
                "store_loads",
                "Loads that wait here, or were allowed here and may be in flight.",
                &["store", "state"],
            )?,
            connections: gauge_vec(
                r,
                "upstream_connections",
                "Connections to upstreams since the start, by the way they were opened.",
                &["way"],
            )?,
            relayed: gauge_vec(
                r,
                "relayed",
                "Connections opened for other nodes since the start, those open now, and their bytes.",
                &["what"],
            )?,
        })
    }

    pub(super) fn show(&self, status: &Status) {
        let seconds = |millis: Option<u64>| signed(millis.unwrap_or_default() / 1000);
        self.in_flight.set(signed(status.flying));
        self.placing.set(signed(status.placing as u64));
        self.records.set(signed(status.claim_records as u64));
        self.claims_ready.set(status.claims_ready.into());
        self.revision_age.set(seconds(status.revision_age_ms));
        self.list_age.set(seconds(status.list_age_ms));
        self.show_upstreams(status);
        self.show_engines(status);
        for store in &status.stores {
            let labels = [store.id.as_str(), "waiting"];
            let waiting = self.loads.with_label_values(&labels);
            waiting.set(signed(store.waiting as u64));
            let labels = [store.id.as_str(), "in-flight"];
            let in_flight = self.loads.with_label_values(&labels);
            in_flight.set(signed(store.in_flight as u64));
        }
    }

    pub(super) fn show_paths(&self, opened: &relay::Counts, relayed: &server::Counts) {
        for (way, count) in [
            ("direct", &opened.direct),
            ("peer", &opened.relayed),
            ("failed", &opened.failed),
            ("peer-refused", &opened.refused),
            ("check", &opened.checks),
        ] {
            let connections = self.connections.with_label_values(&[way]);
            connections.set(signed(count.load(Relaxed)));
        }
        for (what, count) in [
            ("opened", &relayed.opened),
            ("refused", &relayed.refused),
            ("bytes", &relayed.bytes),
        ] {
            let total = self.relayed.with_label_values(&[what]);
            total.set(signed(count.load(Relaxed)));
        }
        let open = self.relayed.with_label_values(&["open"]);
        open.set(relayed.open.load(Relaxed));
    }

    fn show_upstreams(&self, status: &Status) {
        // What is gone must not stay in the exposition.
        self.upstreams.reset();
        for upstream in &status.upstreams {
            let labels = [upstream.pool.as_str(), state_of(upstream)];
            self.upstreams.with_label_values(&labels).inc();
        }
    }

    fn show_engines(&self, status: &Status) {
        for gauge in [
            &self.owned,
            &self.slots,
            &self.residents,
            &self.leases,
            &self.queue,
        ] {
            gauge.reset();
        }
        for engine in &status.owned {
            let pool = engine.pool.as_str();
            self.owned.with_label_values(&[pool]).inc();
            let slots = signed(engine.slots as u64);
            self.slots.with_label_values(&[pool]).add(slots);
            for resident in &engine.residents {
                let labels = [pool, resident.state.as_str()];
                self.residents.with_label_values(&labels).inc();
                let leases = signed(resident.leases.len() as u64);
                self.leases.with_label_values(&[pool]).add(leases);
            }
            for wait in &engine.queue {
                let labels = [pool, wait.priority.as_str()];
                self.queue.with_label_values(&labels).inc();
            }
        }
    }
}

fn state_of(upstream: &UpstreamStatus) -> &'static str {
    if upstream.down {
        "down"
    } else if upstream.leaving {
        "leaving"
    } else {
        "live"
    }
}
