//! What this node knows of the upstreams.
//!
//! A listing comes from the platform and lags; answers of the upstreams and news of their owners
//! are newer. What is resident is therefore kept with the time at which it was learnt, and an
//! older listing does not undo it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Adapter, Base, Time, Upstream, Zone, rank};

use crate::demand::Target;
use crate::route::{Config, Engine, Pool};

/// Number of an adapter's version; a higher one is newer.
pub type Version = u64;

/// Time for which newer knowledge of residency stands against a listing: a listing is written
/// about once a second and takes a few tenths of one to arrive.
pub const LISTING_LAG: Duration = Duration::from_millis(2_000);

/// Time after which a load that still has not come counts as failed.
const DEFER_MAX: Duration = Duration::from_secs(3);

/// Age from which a reported load counts for nothing.
const LOAD_MAX_AGE: Duration = Duration::from_secs(3);

/// Weight of one failure in the failure score.
const FAILURE_WEIGHT: f64 = 0.4;

/// Weight of one success in the failure score.
const SUCCESS_WEIGHT: f64 = 0.15;

/// Time in which the failure score loses half of its value after a single failure; doubled with
/// each failure in a row, so that a dead upstream is tried ever more rarely.
const TROUBLE_HALF_LIFE: Duration = Duration::from_millis(700);

/// Doublings of [`TROUBLE_HALF_LIFE`] at most.
const TROUBLE_DOUBLINGS: u32 = 4;

/// A base model that an engine holds, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The base model.
    pub base: Base,
    /// The adapters, with their versions where the listing gives them.
    pub adapters: Vec<(Adapter, Option<Version>)>,
}

/// What the platform says of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Its id.
    pub id: Upstream,
    /// The pool that it serves.
    pub pool: Pool,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it leaves.
    pub leaving: bool,
    /// Start of its process in milliseconds since the Unix epoch, where it is given.
    pub born: Option<u64>,
    /// Whether it is a model engine.
    pub engine: bool,
    /// What it holds; empty for plain services and empty engines.
    pub holdings: Vec<Holding>,
}

impl Listing {
    /// Returns the listing without adapters.
    #[must_use]
    pub fn outline(&self) -> Self {
        let bare = |holding: &Holding| Holding {
            base: holding.base.clone(),
            adapters: Vec::new(),
        };
        Self {
            holdings: self.holdings.iter().map(bare).collect(),
            ..self.clone()
        }
    }

    fn digest(&self) -> u64 {
        let bases = self.holdings.iter().map(|holding| &*holding.base);
        let bases: Vec<&str> = bases.collect();
        let text = format!(
            "{} {} {} {:?} {}",
            self.pool,
            self.address,
            self.leaving,
            self.born,
            bases.join(" ")
        );
        rank::weight(rank::hash(text), &self.id)
    }
}

/// Load that an upstream states in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Whether a target is resident.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It is, in this version where that is known.
    Held(Option<Version>),
    /// It is on its way and expected then.
    Coming(Time, Option<Version>),
    /// It was dropped or found missing.
    Absent,
}

impl Presence {
    /// Returns the presence as of `now`: what was expected by then counts as there.
    #[must_use]
    pub fn as_of(self, now: Time) -> Self {
        match self {
            Self::Coming(at, version) if at <= now => Self::Held(version),
            other => other,
        }
    }
}

#[derive(Clone, Debug)]
struct Stock {
    target: Target,
    presence: Presence,
    since: Time,
    listed: bool,
}

/// Where holdings were learnt from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// The platform's list, which lags.
    Listing,
    /// The engine itself.
    Report,
}

/// How an attempt at an upstream ended, for its standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answered.
    Fine,
    /// It failed, broke off, or was silent.
    Failed,
    /// Nothing follows for the upstream.
    Neutral,
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct Runner {
    /// What the platform says of it.
    pub listing: Listing,
    /// Facts of its pool's engines, where it is one and the configuration names its pool.
    pub engine: Option<Engine>,
    /// Requests of this node that it has.
    pub running: u32,
    reported: Option<(Time, Load, u32)>,
    trouble: f64,
    trouble_at: Time,
    streak: u32,
    stock: Vec<Stock>,
    /// Whether it said that it leaves, or another process answers at its address.
    shunned: bool,
    /// When all prompts that are known to be let in are read.
    read_by: Time,
    /// When another adapter could be there.
    loads_by: Time,
    /// When a byte last came from it, and since when one is awaited.
    heard: Time,
    awaited: Option<Time>,
}

impl Runner {
    fn new(now: Time, listing: Listing) -> Self {
        let mut runner = Self {
            listing,
            engine: None,
            running: 0,
            reported: None,
            trouble: 0.0,
            trouble_at: now,
            streak: 0,
            stock: Vec::new(),
            shunned: false,
            read_by: now,
            loads_by: now,
            heard: now,
            awaited: None,
        };
        runner.take_holdings(now, Source::Listing);
        runner
    }

    /// Tells whether `listing` is about the same process.
    fn same(&self, listing: &Listing) -> bool {
        self.listing.born == listing.born
            && self.listing.address == listing.address
            && self.listing.pool == listing.pool
    }

    /// Tells whether new requests may go to it.
    pub fn open(&self) -> bool {
        !self.listing.leaving && !self.shunned
    }

    /// Returns what is known of `target`.
    pub fn presence(&self, target: &Target) -> Presence {
        match self.find(target) {
            Ok(index) => self.stock[index].presence,
            Err(_) => Presence::Absent,
        }
    }

    /// Returns what is held or on its way.
    pub fn held(&self) -> impl Iterator<Item = (&Target, Presence)> {
        self.stock
            .iter()
            .filter(|stock| stock.presence != Presence::Absent)
            .map(|stock| (&stock.target, stock.presence))
    }

    /// Returns what it holds, as far as this node knows.
    pub fn holdings(&self, now: Time) -> Vec<Holding> {
        let mut holdings: Vec<Holding> = Vec::new();
        for stock in &self.stock {
            let Presence::Held(version) = stock.presence.as_of(now) else {
                continue;
            };
            let base = &stock.target.base;
            if holdings.last().is_none_or(|last| last.base != *base) {
                holdings.push(Holding {
                    base: base.clone(),
                    adapters: Vec::new(),
                });
            }
            let adapters = holdings.last_mut().map(|last| &mut last.adapters);
            if let (Some(adapters), Some(name)) = (adapters, &stock.target.adapter) {
                adapters.push((name.clone(), version));
            }
        }
        holdings
    }

    /// Returns how many requests it has, as far as this node can tell.
    pub fn load(&self, now: Time) -> u32 {
        match self.reported {
            Some((at, load, mine)) if now < at + LOAD_MAX_AGE => {
                let then = load.running + load.waiting;
                (then + self.running).saturating_sub(mine).max(self.running)
            }
            _ => self.running,
        }
    }

    /// Returns the reading of prompts that is ahead, as far as this node knows.
    pub fn reading(&self, now: Time) -> Duration {
        self.read_by.saturating_sub(now)
    }

    /// Returns the time until another adapter could be there, as far as this node knows.
    pub fn backlog(&self, now: Time) -> Duration {
        self.loads_by.saturating_sub(now)
    }

    /// Returns its failure score, from 0 to 1.
    pub fn trouble(&self, now: Time) -> f64 {
        let half = TROUBLE_HALF_LIFE * (1 << self.streak.saturating_sub(1).min(TROUBLE_DOUBLINGS));
        let age = now.saturating_sub(self.trouble_at).as_secs_f64();
        self.trouble * (-age / half.as_secs_f64()).exp2()
    }

    /// Returns how long it has been silent although an answer is awaited.
    pub fn silence(&self, now: Time) -> Duration {
        match self.awaited {
            Some(since) => now.saturating_sub(since.max(self.heard)),
            None => Duration::ZERO,
        }
    }

    fn find(&self, target: &Target) -> Result<usize, usize> {
        self.stock
            .binary_search_by(|stock| stock.target.cmp(target))
    }

    fn put(&mut self, now: Time, target: &Target, presence: Presence, listed: bool) {
        let stock = Stock {
            target: target.clone(),
            presence,
            since: now,
            listed,
        };
        match self.find(target) {
            Ok(index) => self.stock[index] = stock,
            Err(index) => self.stock.insert(index, stock),
        }
    }

    /// Takes the listing's holdings over, but for what is known from newer sources.
    fn take_holdings(&mut self, now: Time, source: Source) {
        if source == Source::Report {
            self.stock.clear();
        }
        let firm = |stock: &Stock| {
            let since = match stock.presence {
                Presence::Coming(at, _) => at.max(stock.since),
                Presence::Held(_) | Presence::Absent => stock.since,
            };
            !stock.listed && now < since + LISTING_LAG
        };
        self.stock.retain(firm);
        let holdings = std::mem::take(&mut self.listing.holdings);
        for holding in &holdings {
            let bare = Target::bare(&holding.base);
            self.offer(now, &bare, None, source);
            for (adapter, version) in &holding.adapters {
                let target = Target {
                    base: holding.base.clone(),
                    adapter: Some(adapter.clone()),
                };
                self.offer(now, &target, *version, source);
            }
        }
        self.listing.holdings = holdings;
    }

    fn offer(&mut self, now: Time, target: &Target, version: Option<Version>, source: Source) {
        let known = self.find(target).map(|index| self.stock[index].presence);
        if !matches!(known, Ok(Presence::Held(_) | Presence::Absent)) {
            let listed = source == Source::Listing;
            self.put(now, target, Presence::Held(version), listed);
        }
    }
}

/// All upstreams, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    runners: Vec<Runner>,
    versions: Vec<(Target, Version)>,
}

/// What changed with a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The upstream is new.
    Appeared,
    /// Another process has its id now.
    Restarted,
    /// It leaves.
    Leaving,
    /// Nothing that matters to requests.
    Same,
}

impl Fleet {
    /// Returns all upstreams.
    pub fn runners(&self) -> &[Runner] {
        &self.runners
    }

    /// Returns the upstreams of `pool` that may get requests.
    pub fn open<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Runner> {
        self.runners
            .iter()
            .filter(move |runner| *runner.listing.pool == *pool && runner.open())
    }

    /// Returns the upstream `id`.
    pub fn runner(&self, id: &str) -> Option<&Runner> {
        let index = self.find(id).ok()?;
        self.runners.get(index)
    }

    fn runner_mut(&mut self, id: &str) -> Option<&mut Runner> {
        let index = self.find(id).ok()?;
        self.runners.get_mut(index)
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.runners
            .binary_search_by(|runner| (*runner.listing.id).cmp(id))
    }

    /// Takes facts of engines over from a new configuration.
    pub fn configure(&mut self, config: &Config) {
        for runner in &mut self.runners {
            let service = config.service(&runner.listing.pool);
            runner.engine = service.and_then(|service| service.engine.clone());
        }
    }

    /// Takes over what an engine's owner says that it holds; what is known from newer sources
    /// stands.
    pub fn tell(&mut self, now: Time, id: &str, holdings: Vec<Holding>) {
        if let Some(runner) = self.runner_mut(id) {
            runner.listing.holdings = holdings;
            runner.take_holdings(now, Source::Listing);
        }
    }

    /// Takes an engine's own report over, which is newer than listings. Targets that it does not
    /// name are absent.
    pub fn inspect(
        &mut self,
        now: Time,
        id: &str,
        holdings: Vec<Holding>,
        coming: Vec<(Target, Option<Version>, Time)>,
    ) {
        if let Some(runner) = self.runner_mut(id) {
            runner.listing.holdings = holdings;
            runner.take_holdings(now, Source::Report);
            for (target, version, at) in coming {
                runner.put(now, &target, Presence::Coming(at, version), false);
            }
        }
    }

    /// Takes a listing over.
    pub fn list(&mut self, now: Time, listing: Listing) -> Change {
        let index = match self.find(&listing.id) {
            Ok(index) => index,
            Err(index) => {
                self.runners.insert(index, Runner::new(now, listing));
                return Change::Appeared;
            }
        };
        let runner = &mut self.runners[index];
        if !runner.same(&listing) {
            let (running, engine) = (runner.running, runner.engine.take());
            *runner = Runner::new(now, listing);
            (runner.running, runner.engine) = (running, engine);
            return Change::Restarted;
        }
        let left = listing.leaving && !runner.listing.leaving;
        runner.listing = listing;
        runner.take_holdings(now, Source::Listing);
        if left { Change::Leaving } else { Change::Same }
    }

    /// Takes an outline over, which leaves what is known of adapters as it is. A process that
    /// leaves does not come back, whatever an outline says that was under way for longer.
    pub fn outline(&mut self, now: Time, outline: Listing) -> Change {
        let Some(runner) = self
            .runner_mut(&outline.id)
            .filter(|known| known.same(&outline))
        else {
            return self.list(now, outline);
        };
        let left = outline.leaving && !runner.listing.leaving;
        runner.listing.leaving |= outline.leaving;
        runner.listing.slots = outline.slots;
        for holding in &outline.holdings {
            let bare = Target::bare(&holding.base);
            runner.offer(now, &bare, None, Source::Listing);
        }
        let gone = |stock: &Stock| {
            let base = &stock.target.base;
            stock.listed && outline.holdings.iter().all(|holding| holding.base != *base)
        };
        runner.stock.retain(|stock| !gone(stock));
        runner.listing.holdings = outline.holdings;
        if left { Change::Leaving } else { Change::Same }
    }

    /// Returns a digest of the upstreams and versions; equal ones have equal digests.
    pub fn digest(&self) -> u64 {
        let runners = self.runners.iter().map(|runner| runner.listing.digest());
        let versions = self
            .versions
            .iter()
            .map(|(target, version)| rank::weight(*version, &target.to_string()));
        runners
            .chain(versions)
            .fold(0, |digest, hash| digest ^ hash)
    }

    /// Forgets an upstream that is gone.
    pub fn delist(&mut self, id: &str) -> bool {
        match self.find(id) {
            Ok(index) => {
                self.runners.remove(index);
                true
            }
            Err(_) => false,
        }
    }

    /// Sends nothing more to an upstream that said that it leaves or is another one, until it is
    /// listed anew.
    pub fn shun(&mut self, id: &str) {
        if let Some(runner) = self.runner_mut(id) {
            runner.shunned = true;
        }
    }

    /// Notes what is known of a target's residency from a source that is newer than listings.
    pub fn note(&mut self, now: Time, id: &str, target: &Target, presence: Presence) {
        if let Some(runner) = self.runner_mut(id) {
            runner.put(now, target, presence, false);
        }
    }

    /// Expects a load that is late at `at`, without counting that as news of it: one that never
    /// comes is found out in the end.
    pub fn defer(
        &mut self,
        now: Time,
        id: &str,
        target: &Target,
        at: Time,
        version: Option<Version>,
    ) {
        let Some(runner) = self.runner_mut(id) else {
            return;
        };
        if let Ok(index) = runner.find(target) {
            let stock = &mut runner.stock[index];
            if now < stock.since + DEFER_MAX {
                stock.presence = Presence::Coming(at, version);
            } else {
                stock.presence = Presence::Absent;
                stock.since = now;
            }
        }
    }

    /// Counts a request that is sent to `id`.
    pub fn start(&mut self, now: Time, id: &str) {
        if let Some(runner) = self.runner_mut(id) {
            runner.running += 1;
            if runner.running == 1 || runner.awaited.is_none() {
                runner.awaited = Some(now);
            }
        }
    }

    /// Notes that a byte came from `id`.
    pub fn hear(&mut self, now: Time, id: &str) {
        if let Some(runner) = self.runner_mut(id) {
            runner.heard = now;
        }
    }

    /// Counts the end of a request at `id`.
    pub fn end(&mut self, now: Time, id: &str, verdict: Verdict) {
        let Some(runner) = self.runner_mut(id) else {
            return;
        };
        runner.running = runner.running.saturating_sub(1);
        if runner.running == 0 {
            runner.awaited = None;
        }
        let trouble = runner.trouble(now);
        match verdict {
            Verdict::Fine => {
                runner.trouble = trouble * (1.0 - SUCCESS_WEIGHT);
                runner.streak = 0;
                runner.trouble_at = now;
            }
            Verdict::Failed => {
                runner.trouble = trouble + (1.0 - trouble) * FAILURE_WEIGHT;
                runner.streak += 1;
                runner.trouble_at = now;
            }
            Verdict::Neutral => {}
        }
    }

    /// Notes the reading of prompts that is ahead at `id`.
    pub fn note_reading(&mut self, now: Time, id: &str, level: Duration) {
        if let Some(runner) = self.runner_mut(id) {
            runner.read_by = now + level;
        }
    }

    /// Notes the time until another adapter could be at `id`.
    pub fn note_backlog(&mut self, now: Time, id: &str, backlog: Duration) {
        if let Some(runner) = self.runner_mut(id) {
            runner.loads_by = now + backlog;
        }
    }

    /// Notes the load that `id` stated.
    pub fn report(&mut self, now: Time, id: &str, load: Load) {
        if let Some(runner) = self.runner_mut(id) {
            runner.reported = Some((now, load, runner.running));
        }
    }

    /// Notes the newest version of an adapter. Returns whether it is news.
    pub fn announce(&mut self, target: Target, version: Version) -> bool {
        match self
            .versions
            .binary_search_by(|(known, _)| known.cmp(&target))
        {
            Ok(index) if self.versions[index].1 >= version => false,
            Ok(index) => {
                self.versions[index].1 = version;
                true
            }
            Err(index) => {
                self.versions.insert(index, (target, version));
                true
            }
        }
    }

    /// Returns the newest version of an adapter, where one was announced.
    pub fn newest(&self, target: &Target) -> Option<Version> {
        let found = self
            .versions
            .binary_search_by(|(known, _)| known.cmp(target));
        found.ok().map(|index| self.versions[index].1)
    }

    /// Tells whether what is present there serves requests for `target` now, in the newest version.
    pub fn serves(&self, runner: &Runner, target: &Target) -> bool {
        match runner.presence(target) {
            Presence::Held(version) => self.current(target, version),
            Presence::Coming(..) | Presence::Absent => false,
        }
    }

    /// Tells whether `version` is the newest of `target`.
    pub fn current(&self, target: &Target, version: Option<Version>) -> bool {
        match self.newest(target) {
            Some(newest) => version.is_some_and(|version| version >= newest),
            None => true,
        }
    }
}
