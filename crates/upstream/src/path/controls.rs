//! Other upstreams that show whether this node reaches any.

use std::cmp::Reverse;
use std::net::SocketAddr;

use wire::{Time, Upstream, rank};

use super::{Paths, Standing, State};

/// Upstreams that are tried at most.
const CONTROLS_MAX: usize = 6;

/// An upstream that ought to take connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// The upstream.
    pub upstream: Upstream,
    /// Where it takes them.
    pub address: SocketAddr,
}

impl AsRef<str> for Control {
    fn as_ref(&self) -> &str {
        &self.upstream
    }
}

impl Paths {
    /// Replaces the upstreams that ought to take connections.
    pub fn set_controls(&mut self, controls: impl IntoIterator<Item = Control>) {
        self.controls = controls.into_iter().collect();
    }

    /// Returns some upstreams other than `upstream`, the likeliest to be reached first: those that were
    /// reached last, then those of which nothing is known.
    pub fn controls(&self, upstream: &str) -> Vec<Control> {
        let others = self.controls.iter();
        let others = others.filter(|control| *control.upstream != *upstream);
        let mut ranked = rank::top(rank::hash(upstream), others, self.controls.len());
        ranked.sort_by_key(|control| likelihood(self.find(&control.upstream)));
        let likeliest = ranked.into_iter().take(CONTROLS_MAX);
        likeliest.cloned().collect()
    }
}

/// Returns what sorts upstreams by how likely this node reaches them.
fn likelihood(state: Option<&State>) -> (u8, Reverse<Option<Time>>) {
    match state {
        Some(state) if state.standing == Standing::Reached => (0, Reverse(state.reached_at)),
        None => (1, Reverse(None)),
        Some(state) => (2, Reverse(state.reached_at)),
    }
}
