//! The machine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wire::{Caller, Machine, Priority, Request, Time};

use crate::account::Account;
use crate::class::Turn;
use crate::pool::Pool;
use crate::{Action, Arrival, Config, Event, Reason};

/// Shortest retry time told, so that a caller does not come back within the same moment.
const RETRY_MIN: Duration = Duration::from_millis(50);

/// A known request.
#[derive(Debug)]
struct Entry {
    caller: Caller,
    pool: usize,
    priority: Priority,
    deadline: Time,
    /// Time since which it runs; `None` while it waits.
    since: Option<Time>,
}

/// Admits and refuses requests; see the module's promises.
#[derive(Debug)]
pub struct Queue {
    config: Config,
    /// Names of the pools, sorted, with their states.
    pools: Vec<(crate::Pool, Pool)>,
    accounts: BTreeMap<Caller, Account>,
    /// Times at which idle callers may be forgotten.
    idle: BTreeSet<(Time, Caller)>,
    requests: BTreeMap<Request, Entry>,
    /// Deadlines of the requests that wait.
    deadlines: BTreeSet<(Time, Request)>,
    /// Arrivals so far.
    order: u64,
    /// Time of the next review of the waits.
    review: Time,
}

impl Queue {
    /// Makes an empty queue.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            pools: Vec::new(),
            accounts: BTreeMap::new(),
            idle: BTreeSet::new(),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            order: 0,
            review: Time::ZERO,
        }
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.requests.len() - self.deadlines.len()
    }

    /// Returns how many requests of `priority` wait for `pool`.
    pub fn depth(&self, pool: &str, priority: Priority) -> usize {
        let index = self.pools.binary_search_by(|(name, _)| (**name).cmp(pool));
        index.map_or(0, |index| self.pools[index].1.class(priority).len())
    }

    /// Returns how many callers are remembered.
    pub fn callers(&self) -> usize {
        let flows = self
            .pools
            .iter()
            .flat_map(|(_, pool)| Priority::ALL.map(|priority| pool.class(priority).callers()));
        self.accounts.len().max(flows.max().unwrap_or(0))
    }

    /// Returns the index of a pool, which is added if it is new.
    fn pool(&mut self, name: &crate::Pool) -> usize {
        let found = self.pools.binary_search_by(|(known, _)| known.cmp(name));
        found.unwrap_or_else(|index| {
            self.pools
                .insert(index, (name.clone(), Pool::new(&self.config)));
            for entry in self.requests.values_mut() {
                entry.pool += usize::from(entry.pool >= index);
            }
            index
        })
    }

    fn arrive(&mut self, now: Time, arrival: Arrival, out: &mut impl Extend<Action>) {
        let request = arrival.request;
        if self.requests.contains_key(&request) {
            return;
        }
        let index = self.pool(&arrival.pool);
        let account = self.accounts.entry(arrival.caller.clone()).or_default();
        self.idle.remove(&(account.full, arrival.caller.clone()));
        account.limit = arrival.limit;
        self.park(&arrival.caller);
        if let Err((reason, retry_after)) = self.judge(now, index, &arrival) {
            out.extend([refuse(request, reason, retry_after)]);
        } else {
            self.make_room(now, index, arrival.priority, out);
            self.enqueue(now, index, &arrival);
        }
        self.rest(&arrival.caller);
    }

    /// Tells whether a request may join, or why not and when it could.
    fn judge(&self, now: Time, index: usize, arrival: &Arrival) -> Result<(), (Reason, Duration)> {
        let pool = &self.pools[index].1;
        let account = &self.accounts[&arrival.caller];
        let left = arrival.deadline.saturating_sub(now);
        let wait = self.wait(now, pool, account, arrival.priority, &arrival.caller);
        if left.is_zero() {
            return Err((Reason::Late, wait.unwrap_or(self.config.outage)));
        }
        let shortage = account.shortage(now);
        if !shortage.is_zero() {
            return Err((Reason::Rate, shortage));
        }
        let wait = wait.ok_or((Reason::Outage, self.config.outage))?;
        if wait >= left {
            return Err((Reason::Busy, wait - left + RETRY_MIN));
        }
        let full = pool.waiting() >= self.config.waiting;
        if full && pool.last_below(arrival.priority).is_none() {
            return Err((Reason::Full, wait));
        }
        Ok(())
    }

    /// Estimates the wait of a newcomer, by the pool and by its caller's concurrency.
    fn wait(
        &self,
        now: Time,
        pool: &Pool,
        account: &Account,
        priority: Priority,
        caller: &Caller,
    ) -> Option<Duration> {
        let by_pool = pool.wait(now, priority, caller)?;
        let width = account.width(priority);
        let by_caller = width.filter(|_| account.is_full(priority)).map(|width| {
            let own = pool.class(priority).own(caller);
            pool.rounds(own + 1, width)
        });
        Some(by_pool.max(by_caller.unwrap_or_default()))
    }

    /// Refuses the last request of a lower priority where the pool's queue is full.
    fn make_room(
        &mut self,
        now: Time,
        index: usize,
        priority: Priority,
        out: &mut impl Extend<Action>,
    ) {
        let pool = &self.pools[index].1;
        if pool.waiting() < self.config.waiting {
            return;
        }
        if let Some(last) = pool.last_below(priority) {
            self.turn_away(now, last, Reason::Full, out);
        }
    }

    fn enqueue(&mut self, now: Time, index: usize, arrival: &Arrival) {
        let account = self.accounts.entry(arrival.caller.clone()).or_default();
        account.take(now);
        account.waiting += 1;
        let parked = account.is_full(arrival.priority);
        let class = self.pools[index].1.class_mut(arrival.priority);
        class.push(&arrival.caller, arrival.request, self.order, now, parked);
        self.order += 1;
        if self.deadlines.is_empty() {
            self.review = now + self.config.review;
        }
        self.deadlines.insert((arrival.deadline, arrival.request));
        let entry = Entry {
            caller: arrival.caller.clone(),
            pool: index,
            priority: arrival.priority,
            deadline: arrival.deadline,
            since: None,
        };
        self.requests.insert(arrival.request, entry);
    }

    /// Refuses a request that waits, with the wait that a retry would meet.
    fn turn_away(
        &mut self,
        now: Time,
        request: Request,
        reason: Reason,
        out: &mut impl Extend<Action>,
    ) {
        let Some(entry) = self.drop_request(request, None) else {
            return;
        };
        let pool = &self.pools[entry.pool].1;
        let wait = pool.wait(now, entry.priority, &entry.caller);
        let retry_after = wait.unwrap_or(self.config.outage);
        out.extend([refuse(request, reason, retry_after)]);
    }

    /// Forgets a request; one that ran frees its place, and `end` closes the measurement.
    fn drop_request(&mut self, request: Request, end: Option<Time>) -> Option<Entry> {
        let entry = self.requests.remove(&request)?;
        let pool = &mut self.pools[entry.pool].1;
        let account = self.accounts.entry(entry.caller.clone()).or_default();
        match entry.since {
            Some(since) => {
                pool.release(request, since, end);
                account.running = account.running.saturating_sub(1);
            }
            None => {
                pool.class_mut(entry.priority)
                    .remove(&entry.caller, request);
                self.deadlines.remove(&(entry.deadline, request));
                account.waiting = account.waiting.saturating_sub(1);
            }
        }
        self.park(&entry.caller);
        self.rest(&entry.caller);
        Some(entry)
    }

    /// Holds a caller's requests back, or lets them go, as its concurrency limit says.
    fn park(&mut self, caller: &Caller) {
        let Some(account) = self.accounts.get(caller) else {
            return;
        };
        for (_, pool) in &mut self.pools {
            for priority in Priority::ALL {
                let parked = account.is_full(priority);
                pool.class_mut(priority).park(caller, parked);
            }
        }
    }

    /// Marks a caller for forgetting once its bucket is full.
    fn rest(&mut self, caller: &Caller) {
        if let Some(account) = self.accounts.get(caller)
            && account.is_idle()
        {
            self.idle.insert((account.full, caller.clone()));
        }
    }

    /// Forgets idle callers whose bucket is full.
    fn forget(&mut self, now: Time) {
        while let Some((full, caller)) = self.idle.first() {
            if *full > now {
                return;
            }
            self.accounts.remove(caller);
            for (_, pool) in &mut self.pools {
                for priority in Priority::ALL {
                    pool.class_mut(priority).forget(caller);
                }
            }
            self.idle.pop_first();
        }
    }

    /// Refuses what has waited until its time limit.
    fn expire(&mut self, now: Time, out: &mut impl Extend<Action>) {
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.turn_away(now, request, Reason::Late, out);
        }
    }

    /// Refuses what waits and can no longer go in time.
    fn shed(&mut self, now: Time, out: &mut impl Extend<Action>) {
        self.review = now + self.config.review;
        for index in 0..self.pools.len() {
            for priority in Priority::ALL {
                self.shed_class(now, index, priority, out);
            }
        }
    }

    fn shed_class(
        &mut self,
        now: Time,
        index: usize,
        priority: Priority,
        out: &mut impl Extend<Action>,
    ) {
        let mut ahead = 0;
        for turn in self.pools[index].1.class(priority).turns() {
            let request = turn.ticket.request;
            let left = self.requests[&request].deadline.saturating_sub(now);
            match self.wait_of(now, index, priority, ahead, turn) {
                Some(wait) if wait < left => ahead += usize::from(!turn.parked),
                Some(_) => self.turn_away(now, request, Reason::Busy, out),
                None => self.turn_away(now, request, Reason::Outage, out),
            }
        }
    }

    /// Estimates the wait of a request with `ahead` others of its class before it.
    fn wait_of(
        &self,
        now: Time,
        index: usize,
        priority: Priority,
        ahead: usize,
        turn: Turn,
    ) -> Option<Duration> {
        let pool = &self.pools[index].1;
        let by_pool = pool.wait_behind(now, priority, ahead, turn.ticket.arrived)?;
        let caller = &self.requests[&turn.ticket.request].caller;
        let width = self.accounts[caller]
            .width(priority)
            .filter(|_| turn.parked);
        let by_caller = width.map(|width| {
            let own = pool.class(priority).own_before(caller, turn.ticket.order);
            pool.rounds(own + 1, width)
        });
        Some(by_pool.max(by_caller.unwrap_or_default()))
    }

    /// Admits whatever may go.
    fn admit(&mut self, now: Time, out: &mut impl Extend<Action>) {
        for index in 0..self.pools.len() {
            while let Some((caller, request)) = self.pools[index].1.pop(now) {
                if let Some(entry) = self.requests.get_mut(&request) {
                    entry.since = Some(now);
                    self.deadlines.remove(&(entry.deadline, request));
                }
                let account = self.accounts.entry(caller.clone()).or_default();
                account.waiting = account.waiting.saturating_sub(1);
                account.running += 1;
                self.park(&caller);
                out.extend([Action::Admit { request }]);
            }
        }
    }
}

impl Machine for Queue {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        // After a pause, what is past its time limit must not take the place of what is not.
        self.expire(now, out);
        let mut review = now >= self.review && !self.deadlines.is_empty();
        match event {
            Event::Arrive(arrival) => self.arrive(now, arrival, out),
            Event::Finish { request } => drop(self.drop_request(request, Some(now))),
            Event::Cancel { request } => drop(self.drop_request(request, None)),
            Event::Capacity { pool, concurrent } => {
                let index = self.pool(&pool);
                let pool = &mut self.pools[index].1;
                review |= concurrent < pool.capacity;
                pool.capacity = concurrent;
            }
            Event::Tick => {}
        }
        self.admit(now, out);
        if review {
            self.shed(now, out);
        }
        self.forget(now);
    }

    fn wake(&self) -> Option<Time> {
        let deadline = self.deadlines.first().map(|(time, _)| *time);
        let review = deadline.map(|_| self.review);
        let forget = self.idle.first().map(|(time, _)| *time);
        [deadline, review, forget].into_iter().flatten().min()
    }
}

fn refuse(request: Request, reason: Reason, retry_after: Duration) -> Action {
    let retry_after = retry_after.max(RETRY_MIN);
    Action::Refuse {
        request,
        reason,
        retry_after,
    }
}
