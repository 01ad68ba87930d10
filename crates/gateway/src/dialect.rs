//! What an adapter to a platform translates.
//!
//! An adapter knows the names, formats and calls of one platform and decides nothing. Everything
//! behind this trait is told in the product's own types.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use exchange::announced_rate::Rate;
use exchange::demand::Target;
use exchange::fleet::{Holding, Listing, Load, Version};
use exchange::history::StatedEra;
use exchange::owner::{Answer, Order};
use exchange::permit::Tolerance;
use exchange::prompt::PartId;
use exchange::route::Config;
use hyper::{HeaderMap, Method, StatusCode};
use wire::{Fence, Upstream, Zone};

/// What a request's head says beside its method and path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// Id of the caller's attempt.
    pub attempt: Box<str>,
    /// Model that it names.
    pub target: Option<Target>,
    /// Time for which the caller waits.
    pub budget: Option<Duration>,
    /// Last event of a stream that the caller has.
    pub after: Option<u64>,
    /// Attempt that brought the first event of a stream that the caller takes up.
    pub resumes: Option<Box<str>>,
    /// Tokens of its prompt.
    pub prompt: Option<u32>,
    /// Parts of its prompt that other requests may share, sorted.
    pub parts: Vec<PartId>,
    /// Tokens of its answer at most.
    pub answer: Option<u32>,
    /// The key that its caller brought.
    pub key: Option<Box<str>>,
}

impl Ask {
    /// Returns whether the caller has a part of a stream already and takes it up.
    pub fn takes_up(&self) -> bool {
        self.after.is_some_and(|last| last > 0)
    }

    /// Returns the attempt that brings, or has brought, the first event of its stream, if the caller
    /// names it.
    pub fn first_attempt(&self) -> Option<&str> {
        if self.takes_up() {
            self.resumes.as_deref()
        } else {
            Some(&self.attempt)
        }
    }
}

/// What one attempt at an upstream adds to a request.
#[derive(Clone, Debug)]
pub struct Hop<'a> {
    /// The upstream.
    pub runner: &'a Upstream,
    /// Time that is left.
    pub left: Option<Duration>,
    /// Rank of the request; 0 goes first. Absent for plain services.
    pub rank: Option<u8>,
    /// Version of the adapter that has to serve it.
    pub version: Option<Version>,
    /// Last event of a stream that has reached the caller.
    pub after: Option<u64>,
    /// The tenant whose key the caller brought; the key itself goes no further.
    pub tenant: Option<&'a str>,
    /// Whether callers bring keys.
    pub keyed: bool,
}

/// Which attempt an answer names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Echo {
    /// The one that was sent.
    This,
    /// Another one.
    Other,
    /// None.
    Nothing,
}

impl Echo {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::This => "this",
            Self::Other => "other",
            Self::Nothing => "nothing",
        }
    }
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, PartialEq)]
pub struct Mark {
    /// The attempt that it names.
    pub echo: Echo,
    /// Whether it bears the upstream's signature.
    pub signed: bool,
    /// Whether the body is the upstream's own, without an encoding.
    pub plain: bool,
    /// Whether it states that the upstream did not run the request.
    pub refused: bool,
    /// Whether callers take its status for a promise that nothing ran.
    pub promising: bool,
    /// Whether another process than the one expected answered.
    pub stranger: bool,
    /// Load that it states.
    pub load: Option<Load>,
    /// Time for which the upstream keeps an idle connection.
    pub kept: Option<Duration>,
    /// What it says of itself.
    pub word: Word,
}

/// What an upstream says of itself with any answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Word {
    /// Whether it leaves.
    pub leaving: bool,
    /// Time for which it wants no requests.
    pub pause: Option<Duration>,
    /// Requests a second that it takes from all nodes together.
    pub rate: Option<Rate>,
    /// Refusals a second that it survives, if it crashes by more.
    pub tolerance: Option<Tolerance>,
}

/// A request without a body that the system itself makes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body; empty for none.
    pub body: Bytes,
}

/// An engine's own report.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// What it holds.
    pub holdings: Vec<Holding>,
    /// Adapters on their way.
    pub coming: Vec<(Target, Option<Version>)>,
    /// Its load.
    pub load: Load,
    /// Number of orders that it has accepted since its start, if stated.
    pub orders: Option<u64>,
}

/// A change at the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// An upstream is listed.
    Listed(Listing),
    /// An upstream is no longer listed, or its entry cannot be read.
    Delisted(Upstream),
    /// A configuration is in force, with the document that describes it.
    Config(Box<Config>, Bytes),
    /// A new version of an adapter serves from now on.
    Version(Target, Version),
    /// The entry is none of ours.
    Foreign,
    /// An entry that should be ours cannot be read; it stands as it was.
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
}

/// Part of a listing of the platform's entries.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// The changes that the entries make to an empty state, with their keys.
    pub changes: Vec<(String, Change)>,
    /// Last key, where more follow.
    pub more: Option<String>,
    /// Revision of the platform when it answered.
    pub revision: u64,
}

/// News since a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// The changes in order, with their keys.
    pub changes: Vec<(String, Change)>,
    /// Revision to go on from.
    pub revision: u64,
}

impl News {
    /// Returns the last change of each key. A reader that was away for a while must not take an
    /// upstream for listed that is gone by now.
    pub fn latest(self) -> Vec<Change> {
        let mut latest: Vec<(String, Change)> = Vec::new();
        for (key, change) in self.changes {
            latest.retain(|(known, _)| *known != key);
            latest.push((key, change));
        }
        latest.into_iter().map(|(_, change)| change).collect()
    }
}

/// Reason why an answer of the platform or an upstream is of no use.
#[derive(Debug, thiserror::Error)]
#[error("answer is not of the expected form ({0}); check the address and the release")]
pub struct Malformed(pub String);

/// A question which nodes to use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Whereabouts {
    /// Availability zone of the caller, where it is told.
    pub zone: Option<Zone>,
}

/// The names, formats and calls of one platform.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads a caller's head.
    fn ask(&self, headers: &HeaderMap) -> Ask;

    /// Turns a caller's headers into those for an upstream: drops what is the system's to set,
    /// and sets it.
    fn forward(&self, headers: &mut HeaderMap, hop: &Hop<'_>);

    /// Reads the head of an upstream's answer to `ask`.
    fn mark(&self, ask: &Ask, hop: &Upstream, status: StatusCode, headers: &HeaderMap) -> Mark;

    /// Reads what an upstream says of itself with any answer.
    fn word(&self, status: StatusCode, headers: &HeaderMap) -> Word;

    /// Marks a refusal of the system as one: sets the attempt and the time to come back.
    fn refuse(&self, headers: &mut HeaderMap, ask: &Ask, again: Option<Duration>);

    /// Returns the call that gives an order, to be refused unless the engine has accepted `expected` others before.
    fn order(
        &self,
        runner: &Upstream,
        holder: &str,
        fence: Fence,
        order: &Order,
        expected: Option<u64>,
    ) -> Call;

    /// Reads the answer to an order.
    fn ordered(&self, status: StatusCode) -> Answer;

    /// Returns the call that asks an engine for its report.
    fn inspection(&self, runner: &Upstream) -> Call;

    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] where it is not one.
    fn report(&self, body: &[u8]) -> Result<Report, Malformed>;

    /// Returns the start of the process that wrote a report, in milliseconds since the Unix epoch, if
    /// stated. Plain services may answer [`Dialect::inspection`] as well.
    fn born(&self, report: &[u8]) -> Option<u64>;

    /// Returns the calls that list every kind of entry, each going on after the key where one is
    /// given.
    fn listing(&self, part: usize, after: Option<&str>) -> Option<Call>;

    /// Reads a part of a listing.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] where it is not one.
    fn page(&self, body: &[u8]) -> Result<Page, Malformed>;

    /// Reads the era that an answer of the platform states.
    fn era(&self, headers: &HeaderMap) -> StatedEra;

    /// Reads the document of a configuration.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] where it is none.
    fn config(&self, document: &[u8]) -> Result<Config, Malformed>;

    /// Returns the call that waits for news after `revision`.
    fn watch(&self, revision: u64, wait: Duration) -> Call;

    /// Reads news.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] where it is none.
    fn news(&self, body: &[u8]) -> Result<News, Malformed>;

    /// Tells whether `path` asks whether the node takes traffic.
    fn asks_ready(&self, path: &str) -> bool;

    /// Reads a question which nodes to use; `None` where it is another one.
    fn asks_where(&self, path: &str, query: Option<&str>) -> Option<Whereabouts>;

    /// Writes the answer which nodes to use, and for how long.
    fn tell_where(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
}
