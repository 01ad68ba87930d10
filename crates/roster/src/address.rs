//! Selects the VMs that a caller should use.
//!
//! Each caller has its own rendezvous order of the live VMs, so that a VM that joins or leaves
//! changes the first choice only of callers that it was or becomes the first choice of. VMs of the
//! caller's availability zone come first, unless the zone has too few live VMs for its share of
//! callers. In that case, a stable subset of the callers is sent to other zones first.

use std::time::Duration;

use wire::{Vm, Zone, rank, view};

/// Maximum number of addresses in one answer.
pub const ANSWER_MAX: usize = 3;

/// Load per VM, in percent of the mean, above which a zone sends callers to other zones.
pub const OVERLOAD_PERCENT: u64 = 125;

/// Up to `ttl / SPREAD_DIVISOR` is subtracted from the time to live, depending on the caller.
const SPREAD_DIVISOR: u64 = 4;

/// Response to an address query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The VMs to use, best first; empty if none is live.
    pub vms: Vec<Vm>,
    /// How long the caller may cache the answer: `ttl`, less up to a quarter depending on the
    /// caller.
    pub ttl: Duration,
}

/// Returns the answer for the caller in `zone` whose name and address hash to `caller`.
///
/// Only live VMs are included; suspect and leaving VMs are excluded as soon as `view` says so.
pub fn answer(view: &wire::View, zone: Option<&Zone>, caller: u64, ttl: Duration) -> Answer {
    let (home, away): (Vec<_>, Vec<_>) = view
        .live()
        .partition(|peer| zone.is_some_and(|zone| peer.zone == *zone));
    let prefer_home = prefers_home_zone(view, home.len(), home.len() + away.len(), caller);
    let home = ranked(caller, home);
    let away = ranked(caller, away);
    let (first, second) = if prefer_home {
        (home, away)
    } else {
        (away, home)
    };
    Answer {
        vms: first.chain(second).take(ANSWER_MAX).collect(),
        ttl: shorten_ttl(ttl, caller),
    }
}

/// Returns whether the caller is in the subset that its own zone has capacity for.
fn prefers_home_zone(view: &wire::View, home: usize, live: usize, caller: u64) -> bool {
    let mut zones: Vec<&Zone> = view.peers().iter().map(|peer| &peer.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let capacity = home as u64 * zones.len() as u64 * OVERLOAD_PERCENT;
    let percent = capacity / (live as u64).max(1);
    rank::hash(caller.to_le_bytes()) % 100 < percent
}

fn ranked(caller: u64, peers: Vec<&view::Peer>) -> impl Iterator<Item = Vm> {
    let vms: Vec<Vm> = peers
        .iter()
        .map(|peer| peer.incarnation.vm.clone())
        .collect();
    let count = vms.len();
    rank::top(caller, vms, count).into_iter()
}

/// Shortens `ttl` by a per-caller amount of up to a quarter, to avoid synchronized queries.
fn shorten_ttl(ttl: Duration, caller: u64) -> Duration {
    let millis = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
    let part = (millis / SPREAD_DIVISOR).max(1);
    Duration::from_millis(millis - (caller % part).min(millis))
}
