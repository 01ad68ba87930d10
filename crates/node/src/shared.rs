//! What the front, the core and the operators' pages of one node share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use settings::Settings;
use upstream::memory::Account;
use upstream::relay::{Router, server};
use wire::{Incarnation, Request, Revision, View};

use crate::clock::Clock;
use crate::directory::Directory;
use crate::metrics::Metrics;
use crate::trials::Trials;

/// The rules in force.
#[derive(Debug)]
pub struct Rules {
    /// Their revision.
    pub revision: Revision,
    /// The rules.
    pub set: Arc<rules::RuleSet>,
}

/// State of one node that any of its tasks may read.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The process.
    pub me: Incarnation,
    /// The monotonic clock.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Metrics,
    /// Memory for callers' bodies.
    pub memory: Arc<Account>,
    /// The rules in force; none until the first revision is adopted.
    pub rules: ArcSwapOption<Rules>,
    /// The present view of the region.
    pub view: ArcSwap<View>,
    /// Where nodes and upstreams are.
    pub directory: ArcSwap<Directory>,
    /// Prefix for the keys of calls that may not be repeated, while witnesses are known.
    pub ticket: ArcSwapOption<String>,
    /// Opens connections to upstreams.
    pub router: Arc<Router>,
    /// What this node relayed for others.
    pub relayed: Arc<server::Counts>,
    /// Retry budgets and health of upstreams.
    pub trials: Trials,
    configured: AtomicBool,
    met: AtomicBool,
    leaving: AtomicBool,
    flying: AtomicU64,
    requests: AtomicU64,
}

impl Shared {
    /// Makes the state of a process that has just started.
    pub fn new(
        settings: Settings,
        me: Incarnation,
        clock: Clock,
        metrics: Metrics,
        router: Arc<Router>,
    ) -> Self {
        Self {
            memory: Account::new(settings.limits.held_bytes()),
            settings,
            me,
            clock,
            metrics,
            rules: ArcSwapOption::empty(),
            view: ArcSwap::default(),
            directory: ArcSwap::default(),
            ticket: ArcSwapOption::empty(),
            router,
            relayed: Arc::default(),
            trials: Trials::default(),
            configured: AtomicBool::new(false),
            met: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            flying: AtomicU64::new(0),
            requests: AtomicU64::new(1),
        }
    }

    /// Returns a request number that was not given before.
    pub fn next_request(&self) -> Request {
        self.requests.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the prefix for keys that callers make from now on.
    pub fn ticket(&self) -> Option<String> {
        self.ticket.load().as_deref().cloned()
    }

    /// Tells whether traffic may be taken: the newest configuration that can be learnt of is in
    /// force, and the peers know this process.
    pub fn ready(&self) -> bool {
        self.configured.load(Ordering::Acquire) && self.met()
    }

    /// Says that the newest configuration that can be learnt of is in force.
    pub fn set_configured(&self) {
        self.configured.store(true, Ordering::Release);
    }

    /// Tells whether the peers know this process, or are not waited for any longer.
    pub fn met(&self) -> bool {
        self.met.load(Ordering::Acquire)
    }

    /// Says that the peers know this process, or are not waited for any longer.
    pub fn set_met(&self) {
        self.met.store(true, Ordering::Release);
    }

    /// Tells whether a graceful shutdown goes on.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Says that a graceful shutdown has started.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Counts a caller's request until the returned guard is dropped.
    pub fn enter(self: &Arc<Self>) -> Flight {
        self.flying.fetch_add(1, Ordering::AcqRel);
        Flight(self.clone())
    }

    /// Returns the number of callers' requests in progress.
    pub fn flying(&self) -> u64 {
        self.flying.load(Ordering::Acquire)
    }
}

/// Counts one caller's request while it lives.
pub struct Flight(Arc<Shared>);

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.flying.fetch_sub(1, Ordering::AcqRel);
    }
}
