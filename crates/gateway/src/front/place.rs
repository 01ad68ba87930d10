//! Waits until an upstream can serve a request.

use std::time::Duration;

use exchange::choice::{Lack, Pick};
use exchange::demand::Target;
use exchange::fleet::Presence;
use exchange::owner::{self, Visit};
use wire::Upstream;

use super::job::Job;
use crate::dialect::Dialect;

/// Time without news of a load after which its owner is asked again: two round trips and an order.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// Pause before an engine without a base model is looked at again.
const WEIGHTS_PAUSE: Duration = Duration::from_millis(100);

/// Part of its time that a request waits for engines that hold nothing yet.
const WEIGHTS_PART: u32 = 3;

/// Pause that a caller is told while no upstream is there.
const EMPTY_PAUSE: Duration = Duration::from_millis(800);

/// Where a request goes.
pub(super) enum Placed {
    /// To this upstream, now.
    At(Upstream),
    /// Nowhere; the caller may come back after that time.
    Refused(&'static str, Option<Duration>),
}

impl<D: Dialect> Job<D> {
    /// Waits until an upstream can serve the request.
    pub(super) async fn place(&mut self) -> Placed {
        let target = self.target();
        let started = self.hub.clock.now();
        let whole = self.left();
        loop {
            if self.left().is_zero() || self.patience().is_zero() {
                return Placed::Refused("no-time", None);
            }
            let pick = self.hub.pick(&self.query(target.as_ref()));
            match pick {
                Pick::Send(runner) => {
                    let waited = self.hub.clock.now().saturating_sub(started);
                    self.stalled += waited;
                    if !self.let_in(&runner).await {
                        continue;
                    }
                    if target.is_some() {
                        self.hub.metrics.stalled(&self.service.name, waited);
                    }
                    return Placed::At(runner);
                }
                Pick::Wait(runner, at) => {
                    let wait = at.saturating_sub(self.hub.clock.now()).min(self.patience());
                    self.news(&runner, target.as_ref(), wait).await;
                }
                Pick::Load(runner) => {
                    if let Some(target) = &target {
                        let runner = self.home(runner);
                        self.want(&runner, target).await;
                    }
                }
                Pick::None(lack) => {
                    let waited = self.hub.clock.now().saturating_sub(started);
                    if lack != Lack::Weights || waited > whole / WEIGHTS_PART {
                        return Placed::Refused(lack.name(), Some(EMPTY_PAUSE));
                    }
                    tokio::time::sleep(WEIGHTS_PAUSE).await;
                }
            }
        }
    }

    /// Waits until the engine may be given the prompt. Returns `false` where whoever orders there
    /// says that the model is not there, after all.
    async fn let_in(&mut self, runner: &Upstream) -> bool {
        let Some(target) = self.target() else {
            return true;
        };
        let tokens = self.ask.answer.unwrap_or_default();
        let visit = Visit {
            target,
            reading: self.reading(),
            running: self.hub.exchange.step * tokens,
            rank: self.route.rank,
        };
        let Some(grant) = self.hub.grant(runner, visit).await else {
            return true;
        };
        if !matches!(grant.presence, Presence::Held(_)) {
            return false;
        }
        self.queued += grant.wait;
        tokio::time::sleep(grant.wait.min(self.left())).await;
        true
    }

    /// Waits for news of the target, for no longer than `wait`.
    async fn news(&self, runner: &Upstream, target: Option<&Target>, wait: Duration) {
        match target {
            Some(target) => {
                let news = self.hub.await_news(runner, target);
                // Without news the upstreams are looked at again all the same.
                let _ = tokio::time::timeout(wait, news).await;
            }
            None => tokio::time::sleep(wait).await,
        }
    }

    /// Returns the engine at which a load was asked for already, as long as it takes requests, or
    /// else `runner`: a second load would take the place of another adapter's.
    fn home(&mut self, runner: Upstream) -> Upstream {
        let desk = self.hub.desk();
        let open = |id: &Upstream| {
            let known = desk.fleet.runner(id);
            known.is_some_and(|known| known.open() && desk.owner.holder(id).is_some())
        };
        let kept = self.home.as_ref().filter(|id| open(id)).cloned();
        let home = kept.unwrap_or(runner);
        drop(desk);
        self.home = Some(home.clone());
        home
    }

    /// Asks the engine's owner for a load and waits for its answer.
    async fn want(&self, runner: &Upstream, target: &Target) {
        let news = self.hub.await_news(runner, target);
        self.hub.drive(owner::Event::Want {
            runner: runner.clone(),
            target: target.clone(),
            rank: self.route.rank,
        });
        let _ = tokio::time::timeout(ASK_AGAIN.min(self.left()), news).await;
    }
}
