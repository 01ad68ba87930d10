//! An upstream that crashes once it has to turn too many requests away.

use std::collections::VecDeque;
use std::time::Duration;

use wire::Time;

use super::super::support::ms;

/// Time in which refusals count together.
const WINDOW: Duration = ms(1_000);

/// Time for which a process is down after a crash.
const DOWN: Duration = ms(2_000);

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Runs,
    Waits,
    Refused,
    /// Nothing listens.
    Down,
    Answered,
    Broken,
}

#[derive(Clone, Debug)]
pub struct Runner {
    slots: u32,
    queue_max: u32,
    tolerance: Option<u32>,
    pub process: u64,
    pub born: u64,
    running: Vec<u64>,
    queue: VecDeque<u64>,
    down_until: Time,
    refused: Vec<Time>,
    /// Requests that the last crash broke off.
    broken: Vec<u64>,
    served: Vec<Time>,
    pub crashes: usize,
    pub refusals: usize,
    pub most_refused: usize,
}

impl Runner {
    pub fn new(slots: u32, queue_max: u32, tolerance: Option<u32>) -> Self {
        Self {
            slots,
            queue_max,
            tolerance,
            process: 1,
            born: 1,
            running: Vec::new(),
            queue: VecDeque::new(),
            down_until: ms(0),
            refused: Vec::new(),
            broken: Vec::new(),
            served: Vec::new(),
            crashes: 0,
            refusals: 0,
            most_refused: 0,
        }
    }

    pub fn load(&self) -> u32 {
        (self.running.len() + self.queue.len()) as u32
    }

    pub fn served_since(&self, from: Time) -> usize {
        self.served.iter().filter(|at| **at >= from).count()
    }

    /// Takes a request. Where it is `bound`, none may wait.
    pub fn admit(&mut self, now: Time, id: u64, bound: bool) -> Verdict {
        if now < self.down_until {
            return Verdict::Down;
        }
        if (self.running.len() as u32) < self.slots {
            self.running.push(id);
            return Verdict::Runs;
        }
        let brittle = self.tolerance.filter(|_| bound);
        if brittle.is_none() && (self.queue.len() as u32) < self.queue_max {
            self.queue.push_back(id);
            return Verdict::Waits;
        }
        if let Some(tolerance) = brittle {
            self.refused.retain(|at| now < *at + WINDOW);
            self.refused.push(now);
            self.refusals += 1;
            self.most_refused = self.most_refused.max(self.refused.len());
            if self.refused.len() > tolerance as usize {
                self.crashes += 1;
                self.end(now);
            }
        }
        Verdict::Refused
    }

    /// Ends the process.
    pub fn end(&mut self, now: Time) {
        self.broken = self.running.drain(..).chain(self.queue.drain(..)).collect();
        self.process += 1;
        self.refused.clear();
        self.down_until = now + DOWN;
    }

    /// Ends the process and starts another one under its id. Returns what it breaks off.
    pub fn replace(&mut self) -> Vec<u64> {
        self.end(ms(0));
        self.born += 1;
        self.take_crashed()
    }

    pub fn take_crashed(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.broken)
    }

    /// Ends a request. Returns the next one that runs, or `None` if the request was gone.
    pub fn done(&mut self, now: Time, process: u64, id: u64) -> Option<Option<u64>> {
        if process != self.process {
            return None;
        }
        let index = self.running.iter().position(|known| *known == id)?;
        self.running.swap_remove(index);
        self.served.push(now);
        Some(self.next())
    }

    /// Drops a request whose caller has left. Returns the next one that runs.
    pub fn drop_request(&mut self, id: u64) -> Option<u64> {
        self.queue.retain(|known| *known != id);
        let index = self.running.iter().position(|known| *known == id)?;
        self.running.swap_remove(index);
        self.next()
    }

    fn next(&mut self) -> Option<u64> {
        let next = self.queue.pop_front()?;
        self.running.push(next);
        Some(next)
    }
}
