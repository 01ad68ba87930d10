//! The count of a request at its upstream.

use std::sync::Arc;
use std::time::Duration;

use dispatch::culprit::{Event, Feature};
use dispatch::silence::CHECK_INTERVAL;
use exchange::demand::Target;
use exchange::fleet::AttemptResult;
use exchange::permit::End;
use exchange::route::PoolName;
use tokio::time::{Instant, sleep_until};
use upstream::link::Link;
use wire::{Request, Time, Upstream};

use crate::dialect::Dialect;
use crate::hub::{Hub, Permit};

/// Time for which an answer has to go on before its request counts as one that the upstream has
/// survived: several events, and more than a process takes to go down.
const SURVIVAL: Duration = Duration::from_millis(250);

/// A request that counts at an upstream until it ends or is dropped.
pub(super) struct Visit<D: Dialect> {
    hub: Arc<Hub<D>>,
    pub(super) runner: Upstream,
    pool: PoolName,
    sent: Time,
    heard: Time,
    /// When the first event of its stream came.
    began: Option<Time>,
    survived: bool,
    /// The model that whoever orders there has let in.
    target: Option<Target>,
    /// Its number among the requests that may crash upstreams.
    request: Request,
    link: Link,
    /// Its permit, if the upstream is brittle.
    permit: Option<Permit<D>>,
    /// When its silence is checked next.
    check: Instant,
    fate: Fate,
    over: bool,
}

/// How a request ended at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// By no crash, and without a whole answer.
    Dropped,
    /// With a whole answer.
    Whole,
    /// The upstream broke it off.
    Broken,
}

impl<D: Dialect> Visit<D> {
    /// Counts a request in that goes to `link` under that number.
    pub(super) fn new(
        hub: &Arc<Hub<D>>,
        link: &Link,
        pool: &PoolName,
        request: Request,
        target: Option<Target>,
        until: Time,
    ) -> Self {
        let runner = link.upstream();
        let now = hub.clock.now();
        let mut desk = hub.desk();
        desk.fleet.request_started(now, runner);
        if let Some(target) = &target {
            desk.owner.request_started(runner, target, until);
        }
        drop(desk);
        Self {
            hub: hub.clone(),
            runner: runner.clone(),
            pool: pool.clone(),
            sent: now,
            heard: now,
            began: None,
            survived: false,
            target,
            request,
            link: link.clone(),
            permit: None,
            check: Instant::now() + CHECK_INTERVAL,
            fate: Fate::Dropped,
            over: false,
        }
    }

    /// Takes over the permit of the request, which is returned with its end.
    pub(super) fn admit(&mut self, permit: Option<Permit<D>>) {
        self.permit = permit;
        if let Some(permit) = &mut self.permit {
            permit.set_sent();
        }
    }

    /// Notes that the upstream has not run the request, and whether it was full.
    pub(super) fn refuse(&mut self, full: bool) {
        if let Some(mut permit) = self.permit.take() {
            permit.set_end(if full { End::Refused } else { End::Unsent });
        }
    }

    /// Notes that its answer is whole.
    pub(super) fn set_whole(&mut self) {
        self.fate = Fate::Whole;
    }

    /// Ends the count of a request that the upstream broke off, and finds out whether that has
    /// crashed. Where upstreams have crashed under such requests before, that is waited for.
    pub(super) async fn break_off(&mut self, features: &[Feature]) {
        self.fate = Fate::Broken;
        self.end(AttemptResult::Failed);
        let mut examined = self.hub.examine(&self.runner, &self.link);
        if self.hub.suspected(features) {
            // Its sender is dropped once it is over.
            let _ = examined.changed().await;
        }
    }

    /// Notes a byte from the upstream.
    pub(super) fn hear(&mut self) {
        let now = self.hub.clock.now();
        self.heard = now;
        self.hub.desk().fleet.byte_received(now, &self.runner);
    }

    /// Records the first byte of an answer whose prompt takes `reading` to read.
    pub(super) fn record_first_byte(&self, reading: Duration) {
        let took = self.heard.saturating_sub(self.sent);
        let mut desk = self.hub.desk();
        desk.fleet
            .record_first_byte(&self.pool, took.saturating_sub(reading));
    }

    /// Records an event of the stream.
    pub(super) fn hear_event(&mut self) {
        let before = self.heard;
        self.hear();
        let (now, request) = (self.heard, self.request);
        if self.began.is_some() {
            let gap = now.saturating_sub(before);
            self.hub.desk().fleet.record_event(&self.pool, gap);
        }
        let began = *self.began.get_or_insert(now);
        if !self.survived && now >= began + SURVIVAL {
            self.survived = true;
            self.hub.track(Event::Survived { request, began });
        }
    }

    /// Returns how long the upstream has been silent towards all requests of this node. One that
    /// is no longer listed may still finish what it has, so its silence counts from this request.
    pub(super) fn silence(&self) -> Duration {
        let now = self.hub.clock.now();
        let own = now.saturating_sub(self.heard);
        let desk = self.hub.desk();
        let known = desk.fleet.upstream(&self.runner);
        known.map_or(own, |runner| runner.silence(now).min(own))
    }

    /// Waits until the upstream's silence is to be checked. Dropped, it does not put the check off.
    pub(super) async fn check(&mut self) {
        sleep_until(self.check).await;
        self.check = Instant::now() + CHECK_INTERVAL;
    }

    /// Returns whether the upstream's silence is to be checked now. A check that is long due is put off,
    /// so that what has come while this node read nothing is read first.
    pub(super) fn is_check_due(&mut self) -> bool {
        let now = Instant::now();
        let due = self.check;
        if now < due {
            return false;
        }
        self.check = now + CHECK_INTERVAL;
        now < due + CHECK_INTERVAL
    }

    /// Returns whether an event of its stream has come.
    pub(super) const fn has_begun(&self) -> bool {
        self.began.is_some()
    }

    /// Returns when the wait for the next byte began: when the request was sent, or its last event came.
    pub(super) const fn waiting_since(&self) -> Time {
        if self.has_begun() {
            self.heard
        } else {
            self.sent
        }
    }

    /// Ends the count of a request that was given up while it waited: an upstream that is silent
    /// towards all requests may be sound.
    pub(super) fn give_up(&mut self) {
        let usual = self.hub.desk().fleet.silence_of(&self.pool).first.bound();
        self.end(if self.silence() > usual {
            AttemptResult::Silent
        } else {
            AttemptResult::Failed
        });
    }

    /// Ends the count.
    pub(super) fn end(&mut self, verdict: AttemptResult) {
        if !self.over {
            self.over = true;
            let now = self.hub.clock.now();
            let mut desk = self.hub.desk();
            desk.fleet.request_ended(now, &self.runner, verdict);
            if let Some(target) = &self.target {
                desk.owner.request_ended(&self.runner, target);
            }
            drop(desk);
            if let Some(target) = &self.target {
                self.hub.over(&self.runner, target);
            }
            if let Some(mut permit) = self.permit.take() {
                permit.set_end(match self.fate {
                    Fate::Dropped => End::Dropped,
                    Fate::Whole => End::Whole,
                    Fate::Broken => End::Broken,
                });
            }
            let request = self.request;
            self.hub.track(match self.fate {
                Fate::Dropped => Event::Dropped { request },
                Fate::Whole => Event::Finished { request },
                Fate::Broken => Event::ConnectionLost { request },
            });
        }
    }
}

impl<D: Dialect> Drop for Visit<D> {
    fn drop(&mut self) {
        self.end(AttemptResult::Ignored);
    }
}
