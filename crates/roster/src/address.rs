//! Which VMs a caller is told to use.
//!
//! Each caller has its own rendezvous order of the live VMs, so that a VM that joins or leaves
//! moves only the callers whose first choice it is or becomes. VMs of the caller's availability
//! zone come first, unless the zone has too few live VMs for its share of the callers: then a
//! stable part of them goes elsewhere.

use std::time::Duration;

use wire::{Vm, Zone, rank, view};

/// Addresses in one answer.
pub const ANSWER_MAX: usize = 3;

/// Load of a VM over the mean above which a zone passes callers on, in percent.
pub const OVERLOAD_PERCENT: u64 = 125;

/// Part of the time to live that is spread over callers, as its divisor.
const SPREAD_DIVISOR: u64 = 4;

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The VMs to use, best first; empty where none is live.
    pub vms: Vec<Vm>,
    /// How long the caller may keep the answer: `ttl` or up to a quarter less, by caller.
    pub ttl: Duration,
}

/// Answers the caller whose name and address hash to `caller` and which sits in `zone`.
///
/// Only live VMs are named: suspect and leaving ones drop out with the view that says so.
pub fn answer(view: &wire::View, zone: Option<&Zone>, caller: u64, ttl: Duration) -> Answer {
    let (home, away): (Vec<_>, Vec<_>) = view
        .live()
        .partition(|peer| zone.is_some_and(|zone| peer.zone == *zone));
    let stays = stays(view, home.len(), home.len() + away.len(), caller);
    let home = ranked(caller, home);
    let away = ranked(caller, away);
    let (first, second) = if stays { (home, away) } else { (away, home) };
    Answer {
        vms: first.chain(second).take(ANSWER_MAX).collect(),
        ttl: spread(ttl, caller),
    }
}

/// Tells whether the caller belongs to the part that its own zone can carry.
fn stays(view: &wire::View, home: usize, live: usize, caller: u64) -> bool {
    let mut zones: Vec<&Zone> = view.peers().iter().map(|peer| &peer.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let carried = home as u64 * zones.len() as u64 * OVERLOAD_PERCENT;
    let percent = carried / (live as u64).max(1);
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

/// Shortens `ttl` by a stable part of a quarter, so that callers do not all ask at once.
fn spread(ttl: Duration, caller: u64) -> Duration {
    let millis = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
    let part = (millis / SPREAD_DIVISOR).max(1);
    Duration::from_millis(millis - (caller % part).min(millis))
}
