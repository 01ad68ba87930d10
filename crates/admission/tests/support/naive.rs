//! A plain model that is obviously right and slow.

use std::collections::BTreeMap;
use std::time::Duration;

use admission::{AGED_SHARE, Action, Arrival, Event, Limit, Reason, reserve};
use wire::{Priority, Request, Time};

use super::config;

#[derive(Clone, Debug)]
pub struct Job {
    pub arrival: Arrival,
    pub arrived: Time,
    pub since: Option<Time>,
    pub tag: u64,
}

#[derive(Clone, Debug)]
pub struct Place {
    pub capacity: u32,
    pub hold: Duration,
    pub since_aged: u32,
    pub virtual_time: [u64; 3],
}

#[derive(Clone, Debug, Default)]
pub struct Account {
    pub limit: Option<Limit>,
    pub full: Time,
}

/// Scans over plain lists in place of every index.
#[derive(Default)]
pub struct Naive {
    pub requests: Vec<Job>,
    pub pools: BTreeMap<String, Place>,
    pub accounts: BTreeMap<String, Account>,
    pub finish: BTreeMap<(String, usize, String), u64>,
    pub review: Time,
}

impl Naive {
    /// Returns a known request.
    pub fn job(&mut self, request: Request) -> &mut Job {
        let mut jobs = self.requests.iter_mut();
        jobs.find(|job| job.arrival.request == request)
            .expect("an answer to a known request")
    }

    pub fn place(&mut self, pool: &str) -> &mut Place {
        self.pools.entry(pool.to_owned()).or_insert(Place {
            capacity: 0,
            hold: config().hold,
            since_aged: 0,
            virtual_time: [0; 3],
        })
    }

    pub fn running(&self, test: impl Fn(&Arrival) -> bool) -> u32 {
        let running = self.requests.iter().filter(|job| job.since.is_some());
        running.filter(|job| test(&job.arrival)).count() as u32
    }

    pub fn usable(&self, pool: &str, priority: Priority) -> u32 {
        let capacity = self.pools[pool].capacity;
        let urgent = priority == Priority::Urgent;
        capacity
            - if urgent {
                0
            } else {
                reserve(capacity, config().reserve)
            }
    }

    fn width(&self, caller: &str, priority: Priority) -> Option<u32> {
        let limit = self.accounts[caller].limit?;
        let kept = if priority == Priority::Urgent {
            0
        } else {
            limit.reserve
        };
        Some(limit.concurrent.saturating_sub(kept).max(1))
    }

    pub fn parked(&self, caller: &str, priority: Priority) -> bool {
        let running = self.running(|a| &*a.caller == caller);
        self.width(caller, priority)
            .is_some_and(|width| running >= width)
    }

    /// Waiting jobs of a pool and priority in the order of their turn.
    pub fn class(&self, pool: &str, priority: Priority) -> Vec<Job> {
        let mine = |job: &&Job| {
            job.since.is_none() && &*job.arrival.pool == pool && job.arrival.priority == priority
        };
        let mut jobs: Vec<Job> = self.requests.iter().filter(mine).cloned().collect();
        jobs.sort_by_key(|job| (job.tag, job.arrival.request));
        jobs
    }

    pub fn ready(&self, pool: &str, priority: Priority) -> Vec<Job> {
        let mut jobs = self.class(pool, priority);
        jobs.retain(|job| !self.parked(&job.arrival.caller, priority));
        jobs
    }

    fn next_tag(&self, pool: &str, priority: Priority, caller: &str) -> u64 {
        let key = (pool.to_owned(), priority as usize, caller.to_owned());
        let finish = self.finish.get(&key).copied().unwrap_or(0);
        finish.max(self.pools[pool].virtual_time[priority as usize])
    }

    fn rounds(&self, pool: &str, count: usize, width: u32) -> Duration {
        let hold = self.pools[pool].hold.as_secs_f64();
        Duration::from_secs_f64(hold * count as f64 / f64::from(width))
    }

    fn pool_wait(
        &self,
        now: Time,
        pool: &str,
        priority: Priority,
        ahead: usize,
        arrived: Time,
    ) -> Option<Duration> {
        let usable = self.usable(pool, priority);
        let [urgent, normal, routine] = Priority::ALL.map(|p| self.ready(pool, p).len());
        if usable == 0 {
            return None;
        }
        let share = AGED_SHARE as usize;
        Some(match priority {
            Priority::Urgent => self.start(now, pool, usable, ahead),
            Priority::Normal => {
                let aged = (ahead / (share - 1)).min(routine);
                self.start(now, pool, usable, urgent + ahead + aged)
            }
            Priority::Routine => {
                let strict = self.start(now, pool, usable, urgent + normal + ahead);
                let since = self.pools[pool].since_aged.min(AGED_SHARE - 1) as usize;
                let before = urgent + share * ahead + share - 1 - since;
                let aged = self.start(now, pool, usable, before);
                strict.min(aged.max((arrived + config().age).saturating_sub(now)))
            }
        })
    }

    fn start(&self, now: Time, pool: &str, usable: u32, before: usize) -> Duration {
        // Plays the running requests and those before it through, one end after the other.
        let hold = self.pools[pool].hold;
        let running = self
            .requests
            .iter()
            .filter(|job| &*job.arrival.pool == pool);
        let mut ends: Vec<Time> = running
            .filter_map(|job| Some(now.max(job.since? + hold)))
            .collect();
        let mut start = now;
        for _ in 0..=before {
            ends.sort_unstable();
            let last = ends.len().checked_sub(usable as usize);
            start = last.map_or(now, |last| ends.drain(..=last).next_back().unwrap());
            ends.push(start + hold);
        }
        start.saturating_sub(now)
    }

    fn newcomer_wait(
        &self,
        now: Time,
        pool: &str,
        priority: Priority,
        caller: &str,
    ) -> Option<Duration> {
        let tag = self.next_tag(pool, priority, caller);
        let ahead = self
            .ready(pool, priority)
            .iter()
            .filter(|job| job.tag <= tag)
            .count();
        self.pool_wait(now, pool, priority, ahead, now)
    }

    fn own_wait(&self, pool: &str, priority: Priority, caller: &str, own: usize) -> Duration {
        let width = self
            .width(caller, priority)
            .filter(|_| self.parked(caller, priority));
        width.map_or(Duration::ZERO, |width| self.rounds(pool, own + 1, width))
    }

    fn own(&self, pool: &str, priority: Priority, caller: &str) -> Vec<Request> {
        let jobs = self.class(pool, priority).into_iter();
        let own = jobs.filter(|job| &*job.arrival.caller == caller);
        own.map(|job| job.arrival.request).collect()
    }

    fn judge(&self, now: Time, a: &Arrival) -> Result<(), (Reason, Duration)> {
        let left = a.deadline.saturating_sub(now);
        let own = self.own(&a.pool, a.priority, &a.caller).len();
        let wait = self.newcomer_wait(now, &a.pool, a.priority, &a.caller);
        let wait = wait.map(|wait| wait.max(self.own_wait(&a.pool, a.priority, &a.caller, own)));
        let account = &self.accounts[&*a.caller];
        if left.is_zero() {
            return Err((Reason::Late, wait.unwrap_or(config().outage)));
        }
        if let Some(limit) = account.limit {
            let tolerance = Duration::from_secs_f64(1.0 / limit.rate) * (limit.burst - 1);
            if account.full > now + tolerance {
                return Err((Reason::Rate, account.full - tolerance - now));
            }
        }
        let wait = wait.ok_or((Reason::Outage, config().outage))?;
        if wait >= left {
            return Err((Reason::Busy, wait - left + Duration::from_millis(50)));
        }
        let waiting: usize = Priority::ALL
            .map(|p| self.class(&a.pool, p).len())
            .iter()
            .sum();
        if waiting >= config().waiting && self.last_below(a).is_none() {
            return Err((Reason::Full, wait));
        }
        Ok(())
    }

    fn last_below(&self, a: &Arrival) -> Option<Request> {
        let lower = Priority::ALL.into_iter().rev().filter(|p| *p > a.priority);
        let mut lasts = lower.filter_map(|p| self.class(&a.pool, p).last().cloned());
        lasts.next().map(|job| job.arrival.request)
    }

    /// Takes a request out; those of its caller behind it move up.
    pub fn remove(&mut self, request: Request) -> Option<Job> {
        let index = self
            .requests
            .iter()
            .position(|job| job.arrival.request == request)?;
        let gone = self.requests.remove(index);
        if gone.since.is_none() {
            let a = &gone.arrival;
            let mut tag = gone.tag;
            let mut finish = None;
            for job in &mut self.requests {
                let b = &job.arrival;
                let same = job.since.is_none()
                    && (&b.caller, &b.pool, b.priority) == (&a.caller, &a.pool, a.priority);
                if same && b.request > request {
                    std::mem::swap(&mut tag, &mut job.tag);
                }
                if same {
                    finish = Some(job.tag + 1);
                }
            }
            let key = (
                a.pool.to_string(),
                a.priority as usize,
                a.caller.to_string(),
            );
            self.finish.insert(key, finish.unwrap_or(gone.tag));
        }
        Some(gone)
    }

    fn turn_away(&mut self, now: Time, request: Request, reason: Reason, out: &mut Vec<Action>) {
        let gone = self.remove(request).unwrap().arrival;
        let wait = self.newcomer_wait(now, &gone.pool, gone.priority, &gone.caller);
        out.push(refuse(request, reason, wait.unwrap_or(config().outage)));
    }

    fn arrive(&mut self, now: Time, a: Arrival, out: &mut Vec<Action>) {
        self.place(&a.pool);
        self.accounts.entry(a.caller.to_string()).or_default().limit = a.limit;
        if let Err((reason, retry)) = self.judge(now, &a) {
            return out.push(refuse(a.request, reason, retry));
        }
        let waiting: usize = Priority::ALL
            .map(|p| self.class(&a.pool, p).len())
            .iter()
            .sum();
        if waiting >= config().waiting {
            let last = self.last_below(&a).unwrap();
            self.turn_away(now, last, Reason::Full, out);
        }
        if let Some(limit) = a.limit {
            let account = self.accounts.get_mut(&*a.caller).unwrap();
            account.full = account.full.max(now) + Duration::from_secs_f64(1.0 / limit.rate);
        }
        if self.requests.iter().all(|job| job.since.is_some()) {
            self.review = now + config().review;
        }
        let tag = self.next_tag(&a.pool, a.priority, &a.caller);
        let key = (
            a.pool.to_string(),
            a.priority as usize,
            a.caller.to_string(),
        );
        self.finish.insert(key, tag + 1);
        self.requests.push(Job {
            arrival: a,
            arrived: now,
            since: None,
            tag,
        });
    }

    fn admit(&mut self, now: Time, out: &mut Vec<Action>) {
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            while let Some(job) = self.pick(&pool, now) {
                let priority = job.arrival.priority;
                let place = self.pools.get_mut(&pool).unwrap();
                match priority {
                    Priority::Urgent => {}
                    Priority::Normal => place.since_aged += 1,
                    Priority::Routine => place.since_aged = 0,
                }
                let time = &mut place.virtual_time[priority as usize];
                *time = (*time).max(job.tag);
                let request = job.arrival.request;
                let job = self
                    .requests
                    .iter_mut()
                    .find(|j| j.arrival.request == request);
                job.unwrap().since = Some(now);
                out.push(Action::Admit { request });
            }
        }
    }

    fn pick(&self, pool: &str, now: Time) -> Option<Job> {
        let running = self.running(|a| &*a.pool == pool);
        let [urgent, normal, routine] = Priority::ALL.map(|priority| {
            let first = self.ready(pool, priority).first().cloned();
            first.filter(|_| running < self.usable(pool, priority))
        });
        let oldest = self
            .class(pool, Priority::Routine)
            .iter()
            .map(|job| job.arrived)
            .min();
        let aged = oldest.is_some_and(|arrived| now - arrived >= config().age)
            && self.pools[pool].since_aged + 1 >= AGED_SHARE;
        if aged {
            urgent.or(routine).or(normal)
        } else {
            urgent.or(normal).or(routine)
        }
    }

    fn shed(&mut self, now: Time, out: &mut Vec<Action>) {
        self.review = now + config().review;
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            for priority in Priority::ALL {
                let mut ahead = 0;
                for job in self.class(&pool, priority) {
                    let (request, caller) = (job.arrival.request, job.arrival.caller.clone());
                    let own = self.own(&pool, priority, &caller);
                    let own = own.iter().position(|r| *r == request).unwrap();
                    let left = job.arrival.deadline - now;
                    let wait = self.pool_wait(now, &pool, priority, ahead, job.arrived);
                    let own = self.own_wait(&pool, priority, &caller, own);
                    match wait.map(|wait| wait.max(own)) {
                        None => self.turn_away(now, request, Reason::Outage, out),
                        Some(wait) if wait >= left => {
                            self.turn_away(now, request, Reason::Busy, out);
                        }
                        Some(_) => ahead += usize::from(!self.parked(&caller, priority)),
                    }
                }
            }
        }
    }

    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let waiting = self.requests.iter().filter(|job| job.since.is_none());
        let mut late: Vec<(Time, Request)> = waiting
            .map(|job| (job.arrival.deadline, job.arrival.request))
            .collect();
        late.retain(|(deadline, _)| *deadline <= now);
        late.sort_unstable();
        for (_, request) in late {
            self.turn_away(now, request, Reason::Late, out);
        }
        let waits = self.requests.iter().any(|job| job.since.is_none());
        let mut review = waits && now >= self.review;
        match event {
            Event::Arrive(arrival) => self.arrive(now, arrival, out),
            Event::Finish { request } => {
                if let Some(job) = self.remove(request)
                    && let Some(since) = job.since
                {
                    let place = self.place(&job.arrival.pool);
                    place.hold = place.hold * 7 / 8 + (now - since) / 8;
                }
            }
            Event::Cancel { request } => drop(self.remove(request)),
            Event::Capacity { pool, concurrent } => {
                let place = self.place(&pool);
                review |= concurrent < place.capacity;
                place.capacity = concurrent;
            }
            Event::Tick => {}
        }
        self.admit(now, out);
        if review {
            self.shed(now, out);
        }
        let live = |caller: &str| {
            self.requests
                .iter()
                .any(|job| &*job.arrival.caller == caller)
        };
        let idle = self
            .accounts
            .iter()
            .filter(|(name, a)| !live(name) && a.full <= now);
        for name in idle.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.accounts.remove(&name);
            self.finish.retain(|(_, _, caller), _| *caller != name);
        }
    }
}

fn refuse(request: Request, reason: Reason, retry_after: Duration) -> Action {
    let retry_after = retry_after.max(Duration::from_millis(50));
    Action::Refuse {
        request,
        reason,
        retry_after,
    }
}
