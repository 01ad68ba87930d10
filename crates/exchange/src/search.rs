//! The search of one request for an engine that can serve it.
//!
//! A request whose adapter is not resident asks the owner of an engine for a load. The owner replies
//! with the time that the load would take. A request that would start too late asks other engines;
//! if none is faster, it is refused at once. Queueing it would make every later request late as
//! well, so the queue of an overloaded fleet stays as short as its latency targets.

use std::time::Duration;

use wire::{Time, Upstream};

use crate::demand::Target;
use crate::selection::Selection;

/// Number of times that a request leaves an engine for another one. Each costs a round trip.
pub const MOVES_MAX: u32 = 4;

/// Time without a reply after which the owner of an engine counts as silent: two round trips and an
/// order.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time between two requests for the same load. Each brings a new estimate.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time by which another engine has to be faster for a request to leave its place in a queue.
const MOVE_GAIN: Duration = Duration::from_millis(150);

/// Expected wait for a load at an engine whose owner does not reply.
pub const SILENT_OWNER_WAIT: Duration = Duration::from_millis(1_500);

/// Shortest time after which a refused caller should return.
const RETURN_MIN: Duration = Duration::from_millis(300);

/// Pause before engines without an owner are looked at again.
const UNOWNED_PAUSE: Duration = Duration::from_millis(100);

/// Until when a request can start at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Until when its answer is on time.
    pub on_time: Time,
    /// Until when its caller waits at all.
    pub useful: Time,
}

/// What a search knows of the engines.
pub trait View {
    /// Returns the time until a load at `engine` would be complete, `None` if nobody orders loads
    /// there.
    fn load_wait(&self, engine: &Upstream) -> Option<Duration>;

    /// Returns the engine with the shortest wait for a load, and that wait.
    fn shortest_wait(&self) -> Option<(Upstream, Duration)>;

    /// Returns the engine that holds the target and could begin with the request first, and the time
    /// until then.
    fn soonest_resident(&self) -> Option<(Upstream, Duration)>;

    /// Returns the time until engines without an owner could load something.
    fn claim_delay(&self) -> Duration;
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the owner of this engine to admit the request.
    Admit(Upstream),
    /// Request a load at this engine and wait for a reply.
    Load(Upstream),
    /// Wait for news of the target at this engine, for so long at most.
    Wait(Upstream, Duration),
    /// Look again after a pause.
    Pause(Duration),
    /// Refuse the request. A caller that returns after this time may be served.
    Refuse(Duration),
}

/// The search of one request.
#[derive(Clone, Debug)]
pub struct Search {
    limits: Limits,
    /// The engine at which a load was requested, and when it last was.
    requested: Option<(Upstream, Time)>,
    moves: u32,
    /// The wait that was expected when the request was queued for a load.
    expected: Option<Duration>,
}

impl Search {
    /// Creates the search of a request that has to start within `limits`.
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            requested: None,
            moves: 0,
            expected: None,
        }
    }

    /// Returns the engine at which a load was requested.
    pub fn load_engine(&self) -> Option<&Upstream> {
        self.requested.as_ref().map(|(engine, _)| engine)
    }

    /// Returns the wait that was expected when the request was queued for a load.
    pub const fn expected_wait(&self) -> Option<Duration> {
        self.expected
    }

    /// Records that the request leaves a full engine. Returns `false` if it has left too many.
    pub const fn leave(&mut self) -> bool {
        let may_leave = self.moves < MOVES_MAX;
        if may_leave {
            self.moves += 1;
        }
        may_leave
    }

    /// Decides what follows from a selection other than [`Selection::None`].
    pub fn next(&mut self, now: Time, selection: Selection, view: &impl View) -> Step {
        match selection {
            Selection::Send(engine) => Step::Admit(engine),
            Selection::Wait(_, at) if at > self.limits.useful => Step::Refuse(at - now),
            Selection::Wait(engine, at) => Step::Wait(engine, at.saturating_sub(now)),
            Selection::Load(engine) => self.load(now, engine, view),
            Selection::None(_) => Step::Pause(UNOWNED_PAUSE),
        }
    }

    fn load(&mut self, now: Time, best: Upstream, view: &impl View) -> Step {
        let Some(best_wait) = view.load_wait(&best) else {
            return self.await_owner(now, view);
        };
        let queued = self.requested.clone().and_then(|(engine, at)| {
            let wait = view.load_wait(&engine)?;
            Some((engine, at, wait))
        });
        let Some((engine, requested_at, wait)) = queued else {
            return self.request(now, best);
        };
        if engine != best && best_wait + MOVE_GAIN < wait && self.leave() {
            return self.request(now, best);
        }
        if now + wait <= self.deadline() {
            self.expected.get_or_insert(wait);
            return self.renew_or_wait(now, engine, requested_at, wait);
        }
        match view.shortest_wait() {
            Some((other, other_wait))
                if other != engine && now + other_wait <= self.deadline() && self.leave() =>
            {
                self.request(now, other)
            }
            shortest => {
                let wait = shortest.map_or(wait, |(_, shortest)| shortest.min(wait));
                self.admit_or_refuse(now, self.return_after(now, wait), view)
            }
        }
    }

    /// Refuses a request for which no load is complete in time, unless an engine holds its target and
    /// can begin in time. Such an engine may have been left aside for a recent failure.
    fn admit_or_refuse(&self, now: Time, return_after: Duration, view: &impl View) -> Step {
        match view.soonest_resident() {
            Some((engine, wait)) if now + wait <= self.deadline() => Step::Admit(engine),
            _ => Step::Refuse(return_after),
        }
    }

    /// Returns until when a load may complete: a request that has been queued stays for as long as
    /// its answer is of use.
    fn deadline(&self) -> Time {
        if self.expected.is_some() {
            self.limits.useful
        } else {
            self.limits.on_time
        }
    }

    fn request(&mut self, now: Time, engine: Upstream) -> Step {
        self.requested = Some((engine.clone(), now));
        Step::Load(engine)
    }

    fn renew_or_wait(
        &mut self,
        now: Time,
        engine: Upstream,
        requested_at: Time,
        wait: Duration,
    ) -> Step {
        let renewal = requested_at + wait.clamp(REPLY_TIMEOUT, RENEWAL_INTERVAL);
        if now >= renewal {
            return self.request(now, engine);
        }
        Step::Wait(engine, renewal - now)
    }

    /// Waits until an engine is claimed, if that is soon enough. From then on the request is queued.
    fn await_owner(&mut self, now: Time, view: &impl View) -> Step {
        let delay = view.claim_delay();
        if now + delay <= self.limits.useful {
            self.expected.get_or_insert(delay);
            Step::Pause(UNOWNED_PAUSE)
        } else {
            self.admit_or_refuse(now, delay, view)
        }
    }

    /// Returns the time after which a request that arrives then is on time, if the queues are worked
    /// off meanwhile.
    fn return_after(&self, now: Time, wait: Duration) -> Duration {
        (now + wait)
            .saturating_sub(self.limits.on_time)
            .max(RETURN_MIN)
    }
}

/// Requests of this node that wait for loads, so that the last one cancels the load.
#[derive(Clone, Debug, Default)]
pub struct Waits(Vec<(Upstream, Target, u32)>);

impl Waits {
    /// Records a request that waits for `target` at `engine`.
    pub fn join(&mut self, engine: &Upstream, target: &Target) {
        match self.find(engine, target) {
            Ok(index) => self.0[index].2 += 1,
            Err(index) => self.0.insert(index, (engine.clone(), target.clone(), 1)),
        }
    }

    /// Records that a request no longer waits for `target` at `engine`. Returns whether it was the
    /// last one.
    pub fn leave(&mut self, engine: &Upstream, target: &Target) -> bool {
        let Ok(index) = self.find(engine, target) else {
            return false;
        };
        self.0[index].2 -= 1;
        let last = self.0[index].2 == 0;
        if last {
            self.0.remove(index);
        }
        last
    }

    fn find(&self, engine: &Upstream, target: &Target) -> Result<usize, usize> {
        self.0
            .binary_search_by(|(known, of, _)| (known, of).cmp(&(engine, target)))
    }
}
