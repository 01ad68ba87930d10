//! Capacity of a pool, the choice between its classes, and estimates of waits.

use std::collections::BTreeSet;
use std::time::Duration;

use wire::{Caller, Priority, Request, Time};

use crate::class::Class;

/// One in so many admissions that are not urgent goes to aged routine requests.
pub const AGED_SHARE: u32 = 4;

/// Longest wait that is told.
const WAIT_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// Part of a new measurement in the smoothed time that requests run (as RFC 6298 smooths round
/// trips).
const SMOOTHING: u32 = 8;

/// Returns how many of `capacity` are kept for urgent requests at a part of `share`: none of a
/// single one, else at least one unless `share` is zero, and never all.
pub fn reserve(capacity: u32, share: f64) -> u32 {
    if capacity < 2 || share <= 0.0 {
        return 0;
    }
    let kept = (f64::from(capacity) * share).ceil() as u32;
    kept.clamp(1, capacity - 1)
}

/// State of one pool.
#[derive(Debug)]
pub(crate) struct Pool {
    pub capacity: u32,
    /// Requests that run, by the time since when.
    running: BTreeSet<(Time, Request)>,
    /// Smoothed time that a request runs.
    hold: Duration,
    /// Classes by priority.
    classes: [Class; Priority::ALL.len()],
    /// Admissions that were not urgent since the last aged one.
    since_aged: u32,
    share: f64,
    age: Duration,
}

impl Pool {
    pub(crate) fn new(config: &crate::Config) -> Self {
        Self {
            capacity: 0,
            running: BTreeSet::new(),
            hold: config.hold,
            classes: Default::default(),
            since_aged: 0,
            share: config.reserve,
            age: config.age,
        }
    }

    pub(crate) fn class(&self, priority: Priority) -> &Class {
        &self.classes[priority as usize]
    }

    pub(crate) fn class_mut(&mut self, priority: Priority) -> &mut Class {
        &mut self.classes[priority as usize]
    }

    /// Returns how many requests wait.
    pub(crate) fn waiting(&self) -> usize {
        self.classes.iter().map(Class::len).sum()
    }

    /// Returns how many requests may run at once before one of `priority` has to wait.
    fn usable(&self, priority: Priority) -> u32 {
        let kept = match priority {
            Priority::Urgent => 0,
            Priority::Normal | Priority::Routine => reserve(self.capacity, self.share),
        };
        self.capacity - kept
    }

    /// Takes out the request that goes next, if one may.
    pub(crate) fn pop(&mut self, now: Time) -> Option<(Caller, Request)> {
        let priority = self.pick(now)?;
        match priority {
            Priority::Urgent => {}
            Priority::Normal => self.since_aged += 1,
            Priority::Routine => self.since_aged = 0,
        }
        let (caller, request) = self.class_mut(priority).pop()?;
        self.running.insert((now, request));
        Some((caller, request))
    }

    fn pick(&self, now: Time) -> Option<Priority> {
        let may = |priority: Priority| {
            self.running.len() < self.usable(priority) as usize && self.class(priority).is_ready()
        };
        if may(Priority::Routine) && self.is_aged(now) && !may(Priority::Urgent) {
            return Some(Priority::Routine);
        }
        Priority::ALL.into_iter().find(|priority| may(*priority))
    }

    /// Tells whether it is the turn of routine requests that have waited for long.
    fn is_aged(&self, now: Time) -> bool {
        let oldest = self.class(Priority::Routine).oldest();
        let aged = oldest.is_some_and(|arrived| now.saturating_sub(arrived) >= self.age);
        aged && self.since_aged + 1 >= AGED_SHARE
    }

    /// Notes that a request that ran since `since` is gone; `end` is given where it ended.
    pub(crate) fn release(&mut self, request: Request, since: Time, end: Option<Time>) {
        self.running.remove(&(since, request));
        if let Some(end) = end {
            let held = end.saturating_sub(since);
            self.hold = self.hold * (SMOOTHING - 1) / SMOOTHING + held / SMOOTHING;
        }
    }

    /// Estimates the wait of the next request of `caller`; `None` where the pool has no capacity.
    pub(crate) fn wait(&self, now: Time, priority: Priority, caller: &Caller) -> Option<Duration> {
        let ahead = self.class(priority).ahead(caller);
        self.wait_behind(now, priority, ahead, now)
    }

    /// Estimates the wait of a request that arrived at `arrived` and has `ahead` others of its
    /// class before it.
    pub(crate) fn wait_behind(
        &self,
        now: Time,
        priority: Priority,
        ahead: usize,
        arrived: Time,
    ) -> Option<Duration> {
        let usable = self.usable(priority) as usize;
        if usable == 0 {
            return None;
        }
        let [urgent, normal, routine] = Priority::ALL.map(|priority| self.class(priority).active());
        let share = AGED_SHARE as usize;
        let start = |before| self.start(now, usable, before);
        Some(match priority {
            Priority::Urgent => start(ahead),
            // Each round of `share` admissions holds an aged request, if any waits.
            Priority::Normal => start(urgent + ahead + (ahead / (share - 1)).min(routine)),
            Priority::Routine => {
                let by_age = (arrived + self.age).saturating_sub(now);
                let turn = (share - 1).saturating_sub(self.since_aged as usize);
                let aged = start(urgent + share * ahead + turn);
                start(urgent + normal + ahead).min(aged.max(by_age))
            }
        })
    }

    /// Estimates when a request may start that has `before` others before it, while `usable` run
    /// at once.
    ///
    /// Requests are taken to run for the smoothed time each. The request starts when enough of
    /// those that run and of those before it have ended.
    fn start(&self, now: Time, usable: usize, before: usize) -> Duration {
        let rounds = u32::try_from(before / usable).unwrap_or(u32::MAX);
        let place = (self.running.len() + before % usable).checked_sub(usable);
        let ends = place.and_then(|place| self.running.iter().nth(place));
        let first = ends.map_or(Duration::ZERO, |(since, _)| {
            (*since + self.hold).saturating_sub(now)
        });
        first + self.hold.saturating_mul(rounds).min(WAIT_MAX)
    }

    /// Returns the time in which `count` requests end while `width` run at once.
    pub(crate) fn rounds(&self, count: usize, width: u32) -> Duration {
        let seconds = self.hold.as_secs_f64() * count as f64 / f64::from(width.max(1));
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the waiting request that goes last, if it is of a lower priority than `priority`.
    pub(crate) fn last_below(&self, priority: Priority) -> Option<Request> {
        let lowest = Priority::ALL.into_iter().rev();
        let lowest = lowest
            .take_while(|other| *other > priority)
            .find(|other| self.class(*other).len() > 0)?;
        self.class(lowest).last()
    }
}
