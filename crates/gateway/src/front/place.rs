//! Waits until an upstream can serve a request.

use std::time::Duration;

use exchange::demand::Target;
use exchange::fleet::Presence;
use exchange::owner::{self, AdmissionRequest};
use exchange::prefill_limit::STEP_TIME;
use exchange::search::{Limits, REPLY_TIMEOUT, Search, Step};
use exchange::selection::{Selection, Unavailable};
use node::journal::DECISION;
use wire::Upstream;

use super::job::{Job, Return};
use crate::dialect::Dialect;
use crate::hub::LoadWait;

/// Time from the choice of an engine to its first event, beside the load and the prefill: a few
/// network crossings and steps.
const START_MARGIN: Duration = Duration::from_millis(60);

/// Pause before an engine without a base model is looked at again.
const WEIGHTS_PAUSE: Duration = Duration::from_millis(100);

/// Part of its time that a request waits for engines that hold nothing yet.
const WEIGHTS_PART: u32 = 3;

/// Pause that a caller is told while no upstream is there.
const EMPTY_PAUSE: Duration = Duration::from_millis(800);

/// Full engines that a request leaves for others: each costs a round trip.
const FULL_MOVES_MAX: u32 = 2;

/// What whoever orders at an engine says of a request.
enum Entry {
    /// It may be sent after that time.
    Open(Duration),
    /// Its model is not there, after all.
    Absent,
    /// It may be sent after that time, but all places are taken.
    Full(Duration),
}

/// Where a request goes.
pub(super) enum Placed {
    /// To this upstream, now.
    At(Upstream),
    /// Nowhere, for this reason.
    Refused(&'static str, Return),
    /// Nowhere, since such requests crash upstreams.
    Convicted,
    /// Nowhere, since its caller has left.
    CallerLeft,
}

impl<D: Dialect> Job<D> {
    /// Waits until an upstream can serve the request, or refuses it once none can in time.
    ///
    /// See [`Job::await_place`], which also heeds convictions and the caller.
    pub(super) async fn place(&mut self) -> Placed {
        let target = self.target();
        let mut search = Search::new(self.limits());
        let placed = self.find(&mut search, target.as_ref()).await;
        self.expected = search.expected_wait().or(self.expected);
        self.load_wait = None;
        placed
    }

    /// Returns until when the request has to start. One that was tried before is late already.
    fn limits(&self) -> Limits {
        let now = self.hub.clock.now();
        let useful = now + self.patience();
        let spent = self.reading() + START_MARGIN;
        let first = self.sends.is_empty() && self.last_part.is_zero();
        let on_time = (self.terms.arrived + self.route.latency_target).saturating_sub(spent);
        Limits {
            on_time: if first { on_time.min(useful) } else { useful },
            useful,
        }
    }

    async fn find(&mut self, search: &mut Search, target: Option<&Target>) -> Placed {
        let started = self.hub.clock.now();
        let whole = self.left();
        loop {
            if self.left().is_zero() || self.patience().is_zero() {
                return Placed::Refused("no-time", Return::Soon);
            }
            match self.hub.find(search, &self.need(target)) {
                Ok(Step::Admit(runner)) => {
                    let waited = self.hub.clock.now().saturating_sub(started);
                    if let Some(placed) = self.enter(runner, target, waited).await {
                        return placed;
                    }
                }
                Ok(Step::Wait(runner, wait)) => {
                    self.news(&runner, target, wait.min(self.patience())).await;
                }
                Ok(Step::Load(runner)) => {
                    if let Some(target) = target {
                        self.request_load(&runner, target).await;
                    }
                }
                Ok(Step::Pause(pause)) => tokio::time::sleep(pause).await,
                Ok(Step::Refuse(pause)) => {
                    return Placed::Refused("no-place", Return::After(pause));
                }
                Err(lack @ Unavailable::AllPaused(pause)) => {
                    return Placed::Refused(lack.name(), Return::After(pause));
                }
                Err(lack) => {
                    let waited = self.hub.clock.now().saturating_sub(started);
                    if lack != Unavailable::NoWeights || waited > whole / WEIGHTS_PART {
                        return Placed::Refused(lack.name(), Return::About(EMPTY_PAUSE));
                    }
                    tokio::time::sleep(WEIGHTS_PAUSE).await;
                }
            }
        }
    }

    /// Asks to be admitted to `runner`. Returns `None` where another engine has to be found.
    async fn enter(
        &mut self,
        runner: Upstream,
        target: Option<&Target>,
        waited: Duration,
    ) -> Option<Placed> {
        let wait = match self.let_in(&runner).await {
            Entry::Absent => return None,
            Entry::Full(_) if self.moves(&runner, target) => return None,
            Entry::Open(wait) | Entry::Full(wait) => wait,
        };
        self.stalled += waited;
        self.queued += wait;
        tokio::time::sleep(wait.min(self.left())).await;
        if target.is_some() {
            self.hub.metrics.stalled(&self.service.name, waited);
        }
        Some(Placed::At(runner))
    }

    /// Leaves a full engine for another one, where what was learnt of it shows a better one.
    fn moves(&mut self, runner: &Upstream, target: Option<&Target>) -> bool {
        if self.moved >= FULL_MOVES_MAX {
            return false;
        }
        let other = match self.hub.pick(&self.need(target)) {
            Selection::Send(other) | Selection::Wait(other, _) | Selection::Load(other)
                if other != *runner =>
            {
                other
            }
            _ => return false,
        };
        self.moved += 1;
        if let Some(target) = target {
            self.hub.over(runner, target);
        }
        log::info!(target: DECISION, request = &*self.ask.attempt, full:% = runner, other:%; "move");
        true
    }

    /// Asks whoever orders at the engine when it may be given the prompt.
    async fn let_in(&mut self, runner: &Upstream) -> Entry {
        let Some(target) = self.target() else {
            return Entry::Open(Duration::ZERO);
        };
        let tokens = self.ask.answer.unwrap_or_default();
        let visit = AdmissionRequest {
            target,
            prefill: self.reading(),
            decode: self.hub.exchange.step * tokens,
            rank: self.terms.rank,
        };
        self.alone = false;
        let Some(grant) = self.hub.grant(runner, visit).await else {
            return Entry::Open(Duration::ZERO);
        };
        self.alone = grant.wait.is_zero() && grant.prefill_backlog <= self.reading() + STEP_TIME;
        if !matches!(grant.presence, Presence::Held(_)) {
            return Entry::Absent;
        }
        self.hub
            .crowded(&self.need(self.target().as_ref()), grant.wait);
        let slots = {
            let desk = self.hub.desk();
            let known = desk.fleet.upstream(runner);
            known.map_or(0, |known| known.listing.slots)
        };
        if grant.running > slots {
            Entry::Full(grant.wait)
        } else {
            Entry::Open(grant.wait)
        }
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

    /// Asks the engine's owner for a load and waits for its reply.
    async fn request_load(&mut self, runner: &Upstream, target: &Target) {
        let same = |wait: &LoadWait<D>| wait.engine() == runner;
        if !self.load_wait.as_ref().is_some_and(same) {
            self.load_wait = Some(LoadWait::new(&self.hub, runner, target));
        }
        let news = self.hub.await_news(runner, target);
        self.hub.drive(owner::Event::RequestLoad {
            engine: runner.clone(),
            target: target.clone(),
            rank: self.terms.rank,
        });
        let limit = REPLY_TIMEOUT.min(self.left());
        if tokio::time::timeout(limit, news).await.is_err() {
            self.hub.owner_silent(runner);
        }
    }
}
