//! The count of a request at its upstream.

use std::sync::Arc;
use std::time::Duration;

use exchange::demand::Target;
use exchange::fleet::Verdict;
use wire::{Time, Upstream};

use crate::dialect::Dialect;
use crate::hub::Hub;

/// A request that counts at an upstream until it ends or is dropped.
pub(super) struct Visit<D: Dialect> {
    hub: Arc<Hub<D>>,
    pub(super) runner: Upstream,
    heard: Time,
    /// The model that whoever orders there has let in.
    target: Option<Target>,
    over: bool,
}

impl<D: Dialect> Visit<D> {
    /// Counts a request in.
    pub(super) fn new(
        hub: &Arc<Hub<D>>,
        runner: &Upstream,
        target: Option<Target>,
        until: Time,
    ) -> Self {
        let now = hub.clock.now();
        let mut desk = hub.desk();
        desk.fleet.start(now, runner);
        if let Some(target) = &target {
            desk.owner.began(runner, target, until);
        }
        drop(desk);
        Self {
            hub: hub.clone(),
            runner: runner.clone(),
            heard: now,
            target,
            over: false,
        }
    }

    /// Notes a byte from the upstream.
    pub(super) fn hear(&mut self) {
        let now = self.hub.clock.now();
        self.heard = now;
        self.hub.desk().fleet.hear(now, &self.runner);
    }

    /// Returns how long the upstream has been silent towards all requests of this node. One that
    /// is no longer listed may still finish what it has, so its silence counts from this request.
    pub(super) fn silence(&self) -> Duration {
        let now = self.hub.clock.now();
        let own = now.saturating_sub(self.heard);
        let desk = self.hub.desk();
        let known = desk.fleet.runner(&self.runner);
        known.map_or(own, |runner| runner.silence(now).min(own))
    }

    /// Ends the count.
    pub(super) fn end(&mut self, verdict: Verdict) {
        if !self.over {
            self.over = true;
            let now = self.hub.clock.now();
            let mut desk = self.hub.desk();
            desk.fleet.end(now, &self.runner, verdict);
            if let Some(target) = &self.target {
                desk.owner.ended(&self.runner, target);
            }
            drop(desk);
            if let Some(target) = &self.target {
                self.hub.over(&self.runner, target);
            }
        }
    }
}

impl<D: Dialect> Drop for Visit<D> {
    fn drop(&mut self) {
        self.end(Verdict::Neutral);
    }
}
