//! Derives the decision makers' own settings from the operators'.

use settings::Settings;
use wire::Incarnation;

use crate::run::{manifest_key, seed};

/// Part of a lease by which two clocks may drift apart, as its divisor.
const DRIFT_DIVISOR: u32 = 50;

/// Returns what a node's machines are made from.
pub fn config(settings: &Settings, me: Incarnation) -> logic::Config {
    logic::Config {
        seed: seed(&me),
        zone: settings.vm.zone.clone(),
        manifest: manifest_key(settings),
        placement: placement(settings),
        once: once(settings),
        admission: admission::Config {
            waiting: settings.limits.queue,
            ..admission::Config::default()
        },
        poison: dispatch::poison::Config::default(),
        me,
    }
}

fn placement(settings: &Settings) -> placement::settings::Settings {
    let lag = settings.pools.values().map(|pool| pool.report_lag).max();
    let defaults = placement::settings::Settings::default();
    placement::settings::Settings {
        load_stalls: load_stalls(&settings.weights),
        gather: settings.time.gather,
        lease: settings.time.lease,
        drift: settings.time.lease / DRIFT_DIVISOR,
        report_lag: lag.unwrap_or(defaults.report_lag),
        load: settings.time.load,
        ..defaults
    }
}

/// Returns the weight of load stalls as a part of both weights.
fn load_stalls(weights: &settings::Weights) -> f64 {
    let sum = weights.load_stalls + weights.batch_efficiency;
    if sum > 0.0 {
        weights.load_stalls / sum
    } else {
        0.5
    }
}

fn once(settings: &Settings) -> once::participant::Config {
    let mut config = once::participant::Config {
        witness_count: settings.limits.witnesses,
        retry_window: settings.time.retry_window,
        max_wait: settings.time.deadline_max,
        ..once::participant::Config::default()
    };
    let full = config.full_quarantine();
    config.quarantine = settings.time.quarantine.unwrap_or(full);
    config
}
