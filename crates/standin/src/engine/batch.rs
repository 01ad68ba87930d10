//! The engine proper: residents, queue and batch.
//!
//! Batching is continuous: a sequence joins between two steps and leaves with its last token. The
//! queue goes by priority, then by arrival, and a full batch makes room for a more urgent one.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use upstream::engine::{Events, Instance, Report, Resident, Role};
use wire::{Fence, rank};

use super::cache::Cache;
use super::sequence::{Advance, Job, Sequence};
use super::{Config, Faults};
use crate::answer;

use crate::log::{End, Kind, Log, now_us};

/// What was counted since the start of the stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Steps with at least one sequence.
    pub steps: u64,
    /// Tokens given.
    pub tokens: u64,
    /// Loads that succeeded.
    pub loads: u64,
    /// Instances unloaded while requests used them, which must never be.
    pub evicted_in_use: u64,
    /// Crashes by marked requests.
    pub crashes: u64,
    /// Sequences in the fullest step.
    pub peak_batch: usize,
}

/// What a step led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Done,
    /// A marked request was in it: the engine goes down.
    Crash,
}

/// Why an order or a completion is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    Absent,
    Taken,
    NoSlot,
    Fenced,
}

/// What to do about a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loading {
    /// It begins; the life that it belongs to.
    Begun(u64),
    /// It is resident from the same path already.
    Present,
}

/// An adapter held or being loaded.
#[derive(Clone, Debug)]
struct Held {
    instance: Instance,
    path: String,
    base: String,
    fence: Fence,
    ready: bool,
}

/// The KV cache of an attempt, as far as the stand-in has one.
#[derive(Debug, Serialize, Deserialize)]
struct Exported {
    model: String,
    prompt: String,
    offset: u64,
}

/// Residents, queue and batch of one engine.
#[derive(Debug)]
pub(super) struct Batch {
    config: Config,
    log: Log,
    cache: Cache,
    imported: Vec<(String, Exported)>,
    held: Vec<Held>,
    queue: Vec<Sequence>,
    running: Vec<Sequence>,
    arrivals: u64,
    newest: Fence,
    role: Role,
    start: u64,
    down_until: Option<Instant>,
    totals: Totals,
    /// Reports with their time, oldest first.
    reports: VecDeque<(Instant, Report)>,
}

impl Batch {
    pub(super) fn new(config: &Config, log: Log) -> Self {
        Self {
            config: config.clone(),
            log,
            cache: Cache::new(config),
            imported: Vec::new(),
            held: Vec::new(),
            queue: Vec::new(),
            running: Vec::new(),
            arrivals: 0,
            newest: 0,
            role: Role::Mixed,
            start: now_us(),
            down_until: None,
            totals: Totals::default(),
            reports: VecDeque::new(),
        }
    }

    pub(super) fn totals(&self) -> Totals {
        self.totals
    }

    /// Tells whether the engine is between a crash and the end of its cold start.
    pub(super) fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Number of loads that run now.
    pub(super) fn loading(&self) -> usize {
        self.held.iter().filter(|held| !held.ready).count()
    }

    /// Checks an order's fencing number.
    pub(super) fn fence(&mut self, fence: Fence, check: bool) -> Result<(), Refusal> {
        if check && fence < self.newest {
            let newest = self.newest;
            self.log.push(Kind::Fenced { fence, newest });
            return Err(Refusal::Fenced);
        }
        self.newest = self.newest.max(fence);
        Ok(())
    }

    /// Takes a role on.
    pub(super) fn assign(&mut self, role: Role) {
        self.role = role;
    }

    /// Begins a load.
    pub(super) fn begin_load(
        &mut self,
        instance: Instance,
        path: &str,
        base: &str,
        fence: Fence,
    ) -> Result<Loading, Refusal> {
        if let Some(held) = self.held.iter().find(|held| held.instance == instance) {
            let present = held.ready && held.path == path;
            return present.then_some(Loading::Present).ok_or(Refusal::Taken);
        }
        if self.held.len() >= self.config.slots {
            return Err(Refusal::NoSlot);
        }
        self.log.push(Kind::Load {
            instance: instance.to_string(),
            model: answer::model(path),
            fence,
        });
        self.held.push(Held {
            instance,
            path: path.to_owned(),
            base: base.to_owned(),
            fence,
            ready: false,
        });
        Ok(Loading::Begun(self.start))
    }

    /// Ends a load; `false` where the engine restarted meanwhile or the instance is gone.
    pub(super) fn end_load(&mut self, life: u64, instance: &str, took: Duration) -> bool {
        let same = life == self.start;
        let held = self
            .held
            .iter_mut()
            .find(|held| &*held.instance == instance);
        let Some(held) = held.filter(|_| same) else {
            return false;
        };
        held.ready = true;
        self.totals.loads += 1;
        self.log.push(Kind::Loaded {
            instance: instance.to_owned(),
            took_ms: took.as_millis() as u64,
        });
        true
    }

    /// Gives a load's slot back.
    pub(super) fn fail_load(&mut self, life: u64, instance: &str) {
        if life != self.start {
            return;
        }
        self.held
            .retain(|held| held.ready || &*held.instance != instance);
        let instance = instance.to_owned();
        self.log.push(Kind::LoadFailed { instance });
    }

    /// Unloads an instance; requests that use it fail.
    pub(super) fn unload(&mut self, instance: &str, fence: Fence) -> Result<(), Refusal> {
        let index = self
            .held
            .iter()
            .position(|held| &*held.instance == instance);
        let held = self.held.remove(index.ok_or(Refusal::Absent)?);
        let in_use = self.in_use(instance);
        self.totals.evicted_in_use += u64::from(in_use > 0);
        self.log.push(Kind::Unloaded {
            instance: instance.to_owned(),
            model: answer::model(&held.path),
            fence,
            in_use,
            evicted_in_use: in_use > 0,
        });
        self.cache.forget(instance);
        let uses = |sequence: &mut Sequence| &*sequence.job.instance == instance;
        let mut lost: Vec<Sequence> = self.queue.extract_if(.., uses).collect();
        lost.extend(self.running.extract_if(.., uses));
        for sequence in lost {
            sequence.fail("the adapter was unloaded", &self.log);
        }
        Ok(())
    }

    /// Queues a completion; its model is the one that the instance's weights belong to.
    pub(super) fn submit(&mut self, job: Job) -> Result<(), Refusal> {
        let model = self.model(&job.instance).ok_or(Refusal::Absent)?;
        self.log.push(Kind::Start {
            ticket: job.ticket.clone(),
            instance: job.instance.to_string(),
            model: model.clone(),
            prompt: rank::hash(&job.prompt),
            priority: job.priority,
            offset: job.offset,
        });
        job.sender.send(job.opening());
        self.arrivals += 1;
        self.queue.push(Sequence {
            next: job.offset,
            job,
            model,
            arrival: self.arrivals,
            prefill: None,
        });
        Ok(())
    }

    /// Cancels an attempt.
    pub(super) fn cancel(&mut self, attempt: &str) {
        let is = |sequence: &mut Sequence| sequence.job.ticket.attempt == attempt;
        let mut lost: Vec<Sequence> = self.queue.extract_if(.., is).collect();
        lost.extend(self.running.extract_if(.., is));
        for sequence in lost {
            sequence.job.sender.close();
            sequence.finish(End::Cancelled, &self.log);
        }
    }

    /// Returns the offset of a running attempt, in the form of an exported cache.
    pub(super) fn export(&self, attempt: &str) -> Option<String> {
        let running = self.running.iter();
        let sequence = running
            .chain(&self.queue)
            .find(|sequence| sequence.job.ticket.attempt == attempt)?;
        let state = Exported {
            model: sequence.model.clone(),
            prompt: sequence.job.prompt.clone(),
            offset: sequence.next,
        };
        serde_json::to_string(&state).ok()
    }

    /// Takes an exported cache for an attempt that is to follow; `false` where it is none.
    pub(super) fn import(&mut self, attempt: &str, cache: &[u8]) -> bool {
        let Ok(state) = serde_json::from_slice(cache) else {
            return false;
        };
        self.imported.push((attempt.to_owned(), state));
        true
    }

    /// Lists the base model and the ready instances.
    pub(super) fn residents(&self) -> Vec<Resident> {
        let base = Resident {
            instance: self.config.base.as_str().into(),
            path: String::new(),
            base: None,
            in_use: None,
            fence: None,
        };
        let ready = self.held.iter().filter(|held| held.ready);
        let ready = ready.map(|held| Resident {
            instance: held.instance.clone(),
            path: held.path.clone(),
            base: Some(held.base.as_str().into()),
            in_use: Some(self.in_use(&held.instance)),
            fence: Some(held.fence),
        });
        std::iter::once(base).chain(ready).collect()
    }

    /// Returns the load report as it lags behind.
    pub(super) fn report(&mut self, leaving: bool) -> Report {
        let now = Instant::now();
        self.record(now);
        let lag = self.config.report_lag;
        let old = |(at, _): &&(Instant, Report)| now - *at >= lag;
        let shown = self.reports.iter().rfind(old).or(self.reports.front());
        let mut report = shown.map(|(at, report)| aged(now - *at, report));
        if let Some(report) = &mut report {
            report.leaving = leaving;
        }
        report.unwrap_or_default()
    }

    /// Returns the published cache events.
    pub(super) fn events(&self, after: u64) -> Events {
        self.cache.events(after, self.start)
    }

    /// Makes one step: one token for each sequence in the batch.
    pub(super) fn step(&mut self, faults: &Faults) -> Step {
        self.drop_cancelled();
        self.admit();
        self.record(Instant::now());
        if self.running.is_empty() {
            return Step::Done;
        }
        if self.crash_if_marked() {
            return Step::Crash;
        }
        self.totals.steps += 1;
        self.totals.peak_batch = self.totals.peak_batch.max(self.running.len());
        for mut sequence in std::mem::take(&mut self.running) {
            let before = sequence.next;
            let advance = sequence.advance(faults);
            self.totals.tokens += sequence.next - before;
            match advance {
                Advance::Goes => self.running.push(sequence),
                Advance::Ended(end) => sequence.finish(end, &self.log),
            }
        }
        Step::Done
    }

    /// Loses everything, as a crash or restart does.
    pub(super) fn lose_all(&mut self, end: End, cold_start: Duration) {
        let running = std::mem::take(&mut self.running);
        let queue = std::mem::take(&mut self.queue);
        for sequence in running.into_iter().chain(queue) {
            sequence.job.sender.close();
            sequence.finish(end, &self.log);
        }
        self.held.clear();
        self.cache.clear();
        self.imported.clear();
        self.reports.clear();
        self.newest = 0;
        self.role = Role::Mixed;
        self.start = now_us().max(self.start + 1);
        self.down_until = Some(Instant::now() + cold_start);
        self.log.push(Kind::Restart);
    }

    fn model(&self, instance: &str) -> Option<String> {
        if instance == self.config.base {
            return Some(instance.to_owned());
        }
        let ready = self.held.iter().filter(|held| held.ready);
        let mut named = ready.filter(|held| &*held.instance == instance);
        named.next().map(|held| answer::model(&held.path))
    }

    fn in_use(&self, instance: &str) -> u32 {
        let all = self.running.iter().chain(&self.queue);
        all.filter(|sequence| &*sequence.job.instance == instance)
            .count() as u32
    }

    fn drop_cancelled(&mut self) {
        let gone = |sequence: &mut Sequence| sequence.job.sender.is_gone();
        let mut lost: Vec<Sequence> = self.queue.extract_if(.., gone).collect();
        lost.extend(self.running.extract_if(.., gone));
        for sequence in lost {
            sequence.finish(End::Cancelled, &self.log);
        }
    }

    fn admit(&mut self) {
        self.queue
            .sort_by_key(|sequence| (sequence.job.priority, sequence.arrival));
        while let Some(first) = self.queue.first() {
            if self.running.len() >= self.config.max_batch && !self.make_room(first.job.priority) {
                break;
            }
            let mut sequence = self.queue.remove(0);
            if sequence.prefill.is_none() {
                sequence.prefill = Some(self.prefill(&sequence));
                self.log.push(Kind::Admit {
                    ticket: sequence.job.ticket.clone(),
                    prompt: rank::hash(&sequence.job.prompt),
                    priority: sequence.job.priority,
                    waiting: self.queue.iter().map(|next| next.job.priority).collect(),
                });
            }
            self.running.push(sequence);
        }
    }

    /// Puts the youngest of the least urgent sequences back in the queue if it is less urgent.
    fn make_room(&mut self, priority: u8) -> bool {
        let rank = |index: &usize| {
            let sequence = &self.running[*index];
            (sequence.job.priority, sequence.arrival)
        };
        let last = (0..self.running.len()).max_by_key(rank);
        let Some(index) = last.filter(|index| self.running[*index].job.priority > priority) else {
            return false;
        };
        let sequence = self.running.remove(index);
        self.queue.push(sequence);
        true
    }

    fn prefill(&mut self, sequence: &Sequence) -> u32 {
        let attempt = &sequence.job.ticket.attempt;
        let named = |(known, _): &mut (String, Exported)| known == attempt;
        let imported: Vec<_> = self.imported.extract_if(.., named).collect();
        // A cache of another model or prompt is of no use.
        let fits = |state: &Exported| {
            state.model == sequence.model
                && state.prompt == sequence.job.prompt
                && state.offset >= sequence.job.offset
        };
        if imported.iter().any(|(_, state)| fits(state)) {
            return 0;
        }
        let cached = self
            .cache
            .touch(&sequence.job.instance, &sequence.job.prompt);
        if cached { 0 } else { self.config.prefill }
    }

    fn crash_if_marked(&mut self) -> bool {
        let marker = &self.config.crash_marker;
        let marked = |sequence: &&Sequence| sequence.job.prompt.contains(marker);
        let Some(sequence) = self.running.iter().find(marked) else {
            return false;
        };
        let ticket = sequence.job.ticket.clone();
        self.log.push(Kind::Crash { ticket });
        self.totals.crashes += 1;
        true
    }

    fn record(&mut self, now: Instant) {
        let report = Report {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            batch: self.running.len() as u32,
            max_batch: self.config.max_batch as u32,
            slots: self.config.slots as u32,
            used_slots: self.held.len() as u32,
            loading: self.loading() as u32,
            age_ms: 0,
            start: self.start,
            fence: self.config.check_fence.then_some(self.newest),
            role: Some(self.role),
            leaving: false,
        };
        self.reports.push_back((now, report));
        let lag = self.config.report_lag;
        // The newest of the reports that are old enough is the one to show.
        while self.reports.get(1).is_some_and(|(at, _)| now - *at >= lag) {
            self.reports.pop_front();
        }
    }
}

fn aged(age: Duration, report: &Report) -> Report {
    Report {
        age_ms: age.as_millis() as u64,
        ..report.clone()
    }
}
