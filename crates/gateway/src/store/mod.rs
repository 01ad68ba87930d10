//! Reads of the platform: a listing at the start and after a gap, then news as they come.
//!
//! Each read counts for the platform, so news are asked for no more often than the settings say.

mod absence;

use std::sync::Arc;
use std::time::Duration;

use exchange::route::Config;
use exchange::{Fleet, platform_reader};
use hyper::StatusCode;
use log::info;
use node::journal::DECISION;
use tokio::time::Instant;
use upstream::link::{Limits, Link};
use wire::Upstream;

use crate::call::send;
use crate::dialect::{Call, Change, Dialect, Malformed, Page};
use crate::hub::Hub;
use absence::Absence;

/// Time that a read of news waits for some; short, so that a platform that fell silent shows.
const WAIT: Duration = Duration::from_millis(400);

/// Time between two looks at whether this node has to read.
const IDLE: Duration = Duration::from_millis(250);

/// Part of the listing that holds the configuration.
const CONFIG_PART: usize = 0;

/// Time allowed beyond that for the answer.
const ANSWER: Duration = Duration::from_millis(1_500);

/// Limit for a connection to the platform.
const CONNECT: Duration = Duration::from_millis(500);

/// Pause after a read that failed, doubled with each in a row.
const PAUSE_MIN: Duration = Duration::from_millis(150);

/// Longest pause after a read that failed: a leaving upstream has to be known within seconds of
/// the platform's return.
const PAUSE_MAX: Duration = Duration::from_millis(800);

/// Bytes of an answer: a page holds a megabyte, and its text a third more.
const BODY_BYTES: usize = 16 << 20;

/// Reason why a read gave nothing.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// No answer came.
    #[error(transparent)]
    Link(#[from] upstream::Error),
    /// The answer is none.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// The platform refused.
    #[error("the platform answers {0}; wait, or check its health")]
    Refused(StatusCode),
    /// News since the revision are no longer kept.
    #[error("the platform has dropped its history; everything is listed again")]
    Forgotten,
}

impl Error {
    fn name(&self) -> &'static str {
        match self {
            Self::Link(_) => "unreached",
            Self::Malformed(_) => "malformed",
            Self::Refused(_) => "refused",
            Self::Forgotten => "forgotten",
        }
    }
}

struct Reader<D> {
    hub: Arc<Hub<D>>,
    link: Link,
    absence: Absence,
    failures: u32,
    last: Instant,
    /// Revision from which news follow, while this node reads.
    revision: Option<u64>,
    /// What was read and is not told yet.
    changes: Vec<platform_reader::PlatformChange>,
}

/// Reads the platform for as long as the process lives.
pub async fn run<D: Dialect>(hub: Arc<Hub<D>>, address: std::net::SocketAddr) {
    let limits = Limits {
        connect: CONNECT,
        body_bytes: BODY_BYTES,
        body: ANSWER,
        ..Limits::default()
    };
    let mut reader = Reader {
        link: Link::new("platform", address, limits),
        absence: Absence::default(),
        failures: 0,
        last: Instant::now(),
        revision: None,
        changes: Vec::new(),
        hub,
    };
    loop {
        if let Err(error) = reader.turn().await {
            reader.failed(&error).await;
        }
    }
}

impl<D: Dialect> Reader<D> {
    /// Does what is due: reads news, catches up, or waits for readers to tell.
    async fn turn(&mut self) -> Result<(), Error> {
        self.sweep();
        let now = self.hub.clock.now();
        let config = self.hub.revision();
        let (reads, gap) = {
            let mut desk = self.hub.desk();
            (desk.mirror.is_reader(now), desk.mirror.take_relist(now))
        };
        match (reads, self.revision) {
            (true, Some(revision)) => {
                tokio::time::sleep_until(self.last + self.hub.exchange.pause).await;
                match self.news(revision).await {
                    Err(Error::Forgotten) => {
                        info!(target: DECISION, revision; "platform-history-lost");
                        self.revision = None;
                    }
                    news => self.revision = Some(news?),
                }
            }
            (true, None) => {
                let revision = self.list().await?;
                self.revision = Some(revision);
            }
            (false, _) if gap => {
                info!(target: DECISION, reason = "gap"; "platform-catch-up");
                self.list().await?;
            }
            (false, _) if self.hub.lacks_config() => {
                self.part(CONFIG_PART, &mut Vec::new()).await?;
            }
            (false, _) => {
                self.revision = None;
                // Without news there is another look all the same.
                let _ = tokio::time::timeout(IDLE, self.hub.news.notified()).await;
            }
        }
        let changes = std::mem::take(&mut self.changes);
        if !changes.is_empty() || self.hub.revision() != config {
            self.hub.pulse(changes);
        }
        Ok(())
    }

    /// Lists everything. Returns the revision from which news follow.
    async fn list(&mut self) -> Result<u64, Error> {
        let mut revision = None;
        let mut listed: Vec<Upstream> = Vec::new();
        for part in 0.. {
            match self.part(part, &mut listed).await? {
                // News from the first part on are read again, which changes nothing.
                Some(first) => revision.get_or_insert(first),
                None => break,
            };
        }
        Ok(self.listed(revision.unwrap_or_default(), listed))
    }

    /// Lists one kind of entry. Returns the platform's revision before that, or `None` where
    /// there is no such kind.
    async fn part(
        &mut self,
        part: usize,
        listed: &mut Vec<Upstream>,
    ) -> Result<Option<u64>, Error> {
        let mut revision = None;
        let mut after: Option<String> = None;
        while let Some(call) = self.hub.dialect.listing(part, after.as_deref()) {
            let body = self.read(call, ANSWER).await?;
            let page: Page = self.hub.dialect.page(&body)?;
            revision.get_or_insert(page.revision);
            for (_, change) in page.changes {
                if let Change::Listed(listing) = &change {
                    listed.push(listing.id.clone());
                }
                self.apply(change);
            }
            match page.more {
                Some(key) => after = Some(key),
                None => break,
            }
        }
        Ok(revision)
    }

    /// Takes what a whole listing does not name for gone.
    fn listed(&mut self, revision: u64, mut listed: Vec<Upstream>) -> u64 {
        listed.sort_unstable();
        let known: Vec<Upstream> = {
            let desk = self.hub.desk();
            let ids = desk.fleet.upstreams().iter();
            ids.map(|runner| runner.listing.id.clone()).collect()
        };
        for id in known {
            if listed.binary_search(&id).is_err() {
                self.apply(Change::Delisted(id));
            }
        }
        info!(target: DECISION, revision, upstreams = listed.len(); "platform-listed");
        revision
    }

    async fn news(&mut self, revision: u64) -> Result<u64, Error> {
        // Absences that are held back end while nothing else happens.
        let wait = if self.absence.is_empty() {
            WAIT
        } else {
            self.hub.exchange.pause
        };
        let call = self.hub.dialect.watch(revision, wait);
        let body = self.read(call, wait + ANSWER).await?;
        let news = self.hub.dialect.news(&body)?;
        let revision = news.revision;
        for change in news.latest() {
            self.apply(change);
        }
        Ok(revision)
    }

    async fn read(&mut self, call: Call, limit: Duration) -> Result<bytes::Bytes, Error> {
        self.last = Instant::now();
        let answer = send(&self.link, call, limit, || true).await?;
        match answer.status() {
            StatusCode::OK => {
                self.answered();
                Ok(answer.into_body())
            }
            StatusCode::GONE => {
                self.answered();
                Err(Error::Forgotten)
            }
            status => Err(Error::Refused(status)),
        }
    }

    fn answered(&mut self) {
        self.hub.heard_store();
        self.hub
            .metrics
            .reads
            .with_label_values(&["answered"])
            .inc();
        if self.failures > 0 {
            info!(target: DECISION, failures = self.failures; "platform-back");
            self.failures = 0;
            self.absence.returned(self.hub.clock.now());
        }
    }

    async fn failed(&mut self, error: &Error) {
        self.hub
            .metrics
            .reads
            .with_label_values(&[error.name()])
            .inc();
        if self.failures == 0 {
            self.hub.pulse_lost();
            log::warn!(target: DECISION, reason = error.name(), cause:% = error; "platform-lost");
        }
        // What was missed is listed as it is now, not followed as it came about.
        self.revision = None;
        let pause = PAUSE_MIN * (1 << self.failures.min(4));
        self.failures += 1;
        tokio::time::sleep(pause.min(PAUSE_MAX)).await;
    }

    /// Forgets the upstreams whose absence has lasted long enough.
    fn sweep(&mut self) {
        for id in self.absence.due(self.hub.clock.now()) {
            self.forget(&id);
        }
    }

    fn apply(&mut self, change: Change) {
        let hub = &self.hub;
        let now = hub.clock.now();
        match change {
            Change::Listed(listing) => {
                self.absence.present(&listing.id);
                let outline = listing.summary();
                let known = {
                    let desk = hub.desk();
                    let known = desk.fleet.upstream(&listing.id);
                    known.map(|known| known.listing.summary())
                };
                if known.as_ref() != Some(&outline) {
                    self.changes
                        .push(platform_reader::PlatformChange::Listed(outline));
                }
                hub.take_listing(listing, Fleet::apply_listing);
            }
            Change::Delisted(id) => {
                if !self.absence.absent(now, &id) {
                    self.forget(&id);
                }
            }
            Change::Config(config) => adopt(hub, *config),
            Change::Version(target, version) => {
                if hub.desk().fleet.newest_version(&target) < Some(version) {
                    self.changes.push(platform_reader::PlatformChange::Version(
                        target.clone(),
                        version,
                    ));
                }
                hub.announce(target, version);
            }
            Change::Foreign => {}
            Change::Unreadable { key, cause } => {
                log::warn!(target: DECISION, key, cause; "entry-unreadable");
            }
        }
    }

    fn forget(&mut self, id: &Upstream) {
        if self.hub.desk().fleet.upstream(id).is_some() {
            self.changes
                .push(platform_reader::PlatformChange::Delisted(id.clone()));
        }
        self.hub.forget(id);
    }
}

/// Puts a configuration in force, unless a newer one is.
fn adopt<D: Dialect>(hub: &Arc<Hub<D>>, config: Config) {
    let newest = hub.config.load().as_ref().map(|known| known.revision);
    if newest.is_some_and(|newest| newest >= config.revision) {
        return;
    }
    info!(target: DECISION, revision = config.revision, routes = config.routes().len(); "config");
    let revision = i64::try_from(config.revision).unwrap_or(i64::MAX);
    hub.metrics.revision.set(revision);
    hub.desk().fleet.configure(&config);
    hub.config.store(Some(Arc::new(config)));
}
