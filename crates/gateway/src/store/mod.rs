//! Reads of the platform: a listing at the start and after a gap, then news as they come.
//!
//! Each read counts for the platform, so news are asked for no more often than the settings say.

use std::sync::Arc;
use std::time::Duration;

use exchange::fleet::Listing;
use exchange::history::{Era, Position};
use exchange::{Fleet, platform_reader};
use hyper::StatusCode;
use log::info;
use node::journal::DECISION;
use tokio::time::Instant;
use upstream::link::{Limits, Link};
use wire::{Time, Upstream};

use crate::call::{Limit, send, send_anew};
use crate::dialect::{Call, Change, Dialect, Malformed, Page};
use crate::hub::Hub;

/// Time that a read of news waits for some; short, so that a platform that fell silent shows.
const WAIT: Duration = Duration::from_millis(400);

/// Time between two looks at whether this node has to read.
const IDLE: Duration = Duration::from_millis(250);

/// Part of the listing that holds the configuration.
const CONFIG_PART: usize = 0;

/// Time in which peers give a newer configuration before the platform is asked for it.
const PEERS_FIRST: Duration = Duration::from_millis(300);

/// Time in which they do, if parts of it arrive.
const PEERS_LONGEST: Duration = Duration::from_millis(900);

/// Time between two reads of a configuration that the platform may have lost.
const CONFIG_PAUSE: Duration = Duration::from_millis(1_000);

/// Time allowed beyond that for the answer.
const ANSWER: Duration = Duration::from_millis(1_500);

/// The same for news while the platform answers promptly. A connection that fell silent is given up
/// after that.
const PROMPT_ANSWER: Duration = Duration::from_millis(600);

/// Limit for the body of an answer, from its head to its end.
const BODY: Duration = Duration::from_secs(5);

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
    /// The answer is from a later era than the cursor.
    #[error("the platform was restored from a copy; everything is listed again")]
    Restored,
    /// The answer is from an era that has ended, or does not tell its era.
    #[error("the platform's answer belongs to no era that can be followed; check its health")]
    Undated,
}

impl Error {
    fn name(&self) -> &'static str {
        match self {
            Self::Link(_) => "unreached",
            Self::Malformed(_) => "malformed",
            Self::Refused(_) => "refused",
            Self::Forgotten => "forgotten",
            Self::Restored => "restored",
            Self::Undated => "undated",
        }
    }
}

/// Where changes come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// A listing, which shows entries as a copy had them if the platform was restored from one.
    Listing,
    /// A watch: somebody has just written the entry.
    News,
}

impl Source {
    const fn name(self) -> &'static str {
        match self {
            Self::Listing => "listing",
            Self::News => "news",
        }
    }
}

/// A listing in progress. Its parts have to be of one era.
#[derive(Default)]
struct Scan {
    /// Where it began; news from there on are read again, which changes nothing.
    began: Option<Position>,
    changes: Vec<Change>,
}

struct Reader<D> {
    hub: Arc<Hub<D>>,
    link: Link,
    failures: u32,
    /// Whether the other nodes were told that this one has lost the platform.
    lost: bool,
    /// Time allowed beyond the wait for an answer to a read of news.
    answer_limit: Duration,
    last: Instant,
    /// Position from which news follow, while this node reads.
    position: Option<Position>,
    /// Whether changes were missed, so that everything is to be listed.
    relist: bool,
    /// When the platform is asked for a configuration that peers have.
    next_config_read: Option<Time>,
    /// Since when peers have had a configuration that this node lacks.
    config_lacked_since: Time,
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
        failures: 0,
        lost: false,
        answer_limit: PROMPT_ANSWER,
        last: Instant::now(),
        position: None,
        relist: false,
        next_config_read: None,
        config_lacked_since: Time::ZERO,
        changes: Vec::new(),
        hub,
    };
    reader.hub.begin_reading();
    loop {
        if let Err(error) = reader.turn().await {
            reader.failed(&error).await;
        }
    }
}

impl<D: Dialect> Reader<D> {
    /// Does what is due: reads news, catches up, or waits for readers to tell.
    async fn turn(&mut self) -> Result<(), Error> {
        self.follow_era();
        self.sweep();
        self.tell();
        let now = self.hub.clock.now();
        let config = self.hub.revision();
        let reads = {
            let mut desk = self.hub.desk();
            self.relist |= desk.mirror.take_relist(now);
            desk.mirror.is_reader(now)
        };
        let config_due = self.is_config_due(now);
        match (reads, self.position) {
            (true, Some(position)) => {
                self.pause().await;
                let news = self.news(position).await;
                self.position = self.unless_ended(news)?;
            }
            (true, None) => {
                self.pause().await;
                let listed = self.list().await;
                self.position = self.unless_ended(listed)?;
            }
            (false, _) if self.relist || config_due => {
                self.pause().await;
                self.position = None;
                let reason = if self.relist { "gap" } else { "config" };
                info!(target: DECISION, reason; "platform-catch-up");
                let listed = self.catch_up(self.relist).await;
                self.unless_ended(listed)?;
            }
            (false, _) => {
                self.position = None;
                // Without news there is another look all the same.
                let _ = tokio::time::timeout(IDLE, self.hub.news.notified()).await;
            }
        }
        if self.hub.revision() != config {
            self.hub.pulse(std::mem::take(&mut self.changes));
        }
        self.tell();
        Ok(())
    }

    /// Tells the other nodes what was found, if there is something to tell.
    fn tell(&mut self) {
        if !self.changes.is_empty() {
            self.hub.pulse(std::mem::take(&mut self.changes));
        }
    }

    /// Returns whether the next read finds out whether the platform is there, after one connection to it
    /// has failed.
    fn checks(&self) -> bool {
        self.failures > 0 && !self.lost
    }

    /// Waits until the platform may be read again.
    async fn pause(&self) {
        if !self.checks() {
            tokio::time::sleep_until(self.last + self.hub.exchange.pause).await;
        }
    }

    /// Gives the cursor up where what it points into has ended: everything is listed again then.
    fn unless_ended<T>(&self, read: Result<T, Error>) -> Result<Option<T>, Error> {
        match read {
            Ok(read) => Ok(Some(read)),
            Err(error @ (Error::Forgotten | Error::Restored)) => {
                let era = self.position.map(|position| position.era);
                let revision = self.position.map(|position| position.revision);
                let (era, revision) = (era.unwrap_or_default(), revision.unwrap_or_default());
                info!(target: DECISION, era, revision, reason = error.name(); "platform-history-lost");
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    /// Gives up a cursor of an era that has ended, also where peers have told so.
    fn follow_era(&mut self) {
        let history = {
            let mut desk = self.hub.desk();
            if let Some(at) = desk.history.replaced_at() {
                desk.aftermath.returned(at);
            }
            desk.history
        };
        self.position
            .take_if(|position| Some(position.era) != history.current());
    }

    /// Tells whether the platform is to be asked for a configuration that peers have not given.
    fn is_config_due(&mut self, now: Time) -> bool {
        if !self.hub.lacks_config() {
            self.next_config_read = None;
            return false;
        }
        let due = *self.next_config_read.get_or_insert_with(|| {
            self.config_lacked_since = now;
            now + PEERS_FIRST
        });
        let arrives = now < self.config_lacked_since + PEERS_LONGEST && self.hub.receives_config();
        if now >= due && arrives {
            return false;
        }
        if now >= due {
            self.next_config_read = Some(now + CONFIG_PAUSE);
        }
        now >= due
    }

    /// Lists everything, or the configuration alone.
    async fn catch_up(&mut self, everything: bool) -> Result<(), Error> {
        if everything {
            return self.list().await.map(|_| ());
        }
        let mut scan = Scan::default();
        self.part(CONFIG_PART, &mut scan).await?;
        let current = self.hub.desk().history.current();
        let era = scan.began.map(|position| position.era);
        if current.is_some() && era != current {
            // The other parts are of that era as well.
            return self.list().await.map(|_| ());
        }
        self.apply_all(scan.changes, Source::Listing);
        Ok(())
    }

    /// Lists everything. Returns the position from which news follow.
    async fn list(&mut self) -> Result<Position, Error> {
        let mut scan = Scan::default();
        for part in 0.. {
            if !self.part(part, &mut scan).await? {
                break;
            }
        }
        let began = scan.began.ok_or(Error::Undated)?;
        self.begin_era(began);
        self.listed(began, scan.changes);
        self.relist = false;
        Ok(began)
    }

    /// Lists one kind of entry. Returns `false` where there is no such kind.
    async fn part(&mut self, part: usize, scan: &mut Scan) -> Result<bool, Error> {
        let mut after: Option<String> = None;
        while let Some(call) = self.hub.dialect.listing(part, after.as_deref()) {
            let (era, body) = self.read(call, ANSWER).await?;
            let page: Page = self.hub.dialect.page(&body)?;
            let revision = page.revision;
            let began = *scan.began.get_or_insert(Position { era, revision });
            if began.era != era {
                return Err(Error::Restored);
            }
            scan.changes
                .extend(page.changes.into_iter().map(|(_, change)| change));
            match page.more {
                Some(key) => after = Some(key),
                None => return Ok(true),
            }
        }
        Ok(false)
    }

    /// Follows the era of a whole listing from now on.
    fn begin_era(&mut self, began: Position) {
        let now = self.hub.clock.now();
        let Position { era, revision } = began;
        let mut desk = self.hub.desk();
        let ended = desk.history.current().unwrap_or_default();
        if desk.history.begin(now, era) {
            info!(target: DECISION, era, revision, ended, source = "platform"; "platform-era");
        }
        drop(desk);
        self.follow_era();
    }

    /// Takes a whole listing over; what it does not name is gone.
    fn listed(&mut self, began: Position, changes: Vec<Change>) {
        let listed = changes.iter().filter_map(|change| match change {
            Change::Listed(listing) => Some(listing.id.clone()),
            _ => None,
        });
        let mut listed: Vec<Upstream> = listed.collect();
        listed.sort_unstable();
        self.hub.desk().aftermath.relisted();
        self.apply_all(changes, Source::Listing);
        let known: Vec<Upstream> = {
            let desk = self.hub.desk();
            let ids = desk.fleet.upstreams().iter();
            ids.map(|runner| runner.listing.id.clone()).collect()
        };
        for id in known {
            if listed.binary_search(&id).is_err() {
                self.apply(Change::Delisted(id), Source::Listing);
            }
        }
        let Position { era, revision } = began;
        info!(target: DECISION, era, revision, upstreams = listed.len(); "platform-listed");
    }

    async fn news(&mut self, position: Position) -> Result<Position, Error> {
        let (wait, limit) = if self.checks() {
            (Duration::ZERO, ANSWER)
        } else {
            (self.wait(), WAIT + self.answer_limit)
        };
        let call = self.hub.dialect.watch(position.revision, wait);
        let (era, body) = self.read(call, limit).await?;
        if self.last.elapsed() < WAIT + PROMPT_ANSWER {
            self.answer_limit = PROMPT_ANSWER;
        }
        if era != position.era {
            return Err(Error::Restored);
        }
        let news = self.hub.dialect.news(&body)?;
        let revision = news.revision;
        self.apply_all(news.latest(), Source::News);
        Ok(Position { era, revision })
    }

    /// Returns the time to wait for news; what is held back ends while nothing else happens.
    fn wait(&self) -> Duration {
        let now = self.hub.clock.now();
        let held = self.hub.desk().aftermath.next();
        let held = held.map_or(WAIT, |until| until.saturating_sub(now));
        held.clamp(self.hub.exchange.pause.min(WAIT), WAIT)
    }

    /// Reads an answer, and the era that it belongs to. An answer of any status ends a cursor of an
    /// earlier era.
    async fn read(&mut self, call: Call, limit: Duration) -> Result<(Era, bytes::Bytes), Error> {
        self.last = Instant::now();
        let limit = Limit {
            head: limit,
            body: BODY,
        };
        // A connection that was kept may have failed in the same way.
        let answer = if self.checks() {
            send_anew(&self.link, call, limit).await?
        } else {
            send(&self.link, call, limit, || true).await?
        };
        let stated = self.hub.dialect.era(answer.headers());
        let Some(era) = self.hub.desk().history.era_of(stated) else {
            let status = answer.status().as_u16();
            log::warn!(target: DECISION, status, stated:?; "platform-undated");
            return Err(Error::Undated);
        };
        let ended = |position: &Position| position.era != era;
        let ended = self.position.as_ref().is_some_and(ended);
        match answer.status() {
            StatusCode::OK => {
                self.answered();
                Ok((era, answer.into_body()))
            }
            StatusCode::GONE if !ended => {
                self.answered();
                Err(Error::Forgotten)
            }
            _ if ended => Err(Error::Restored),
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
        }
        self.failures = 0;
        self.lost = false;
    }

    async fn failed(&mut self, error: &Error) {
        self.hub
            .metrics
            .reads
            .with_label_values(&[error.name()])
            .inc();
        let first = self.failures == 0;
        self.failures += 1;
        if first && matches!(error, Error::Link(_)) {
            info!(target: DECISION, cause:% = error; "platform-cut");
            // The platform may only be slow.
            self.answer_limit = ANSWER;
            return;
        }
        if !self.lost {
            self.lost = true;
            self.hub.pulse_lost();
            log::warn!(target: DECISION, reason = error.name(), cause:% = error; "platform-lost");
        }
        // What was missed is listed as it is now, not followed as it came about.
        self.position = None;
        let pause = PAUSE_MIN * (1 << (self.failures - 1).min(4));
        tokio::time::sleep(pause.min(PAUSE_MAX)).await;
    }

    /// Believes what has been held back for long enough.
    fn sweep(&mut self) {
        let now = self.hub.clock.now();
        let forgotten = self.hub.forget_absent();
        let forgotten = forgotten.into_iter();
        self.changes
            .extend(forgotten.map(platform_reader::PlatformChange::Delisted));
        let confirmed = self.hub.desk().aftermath.take_outdated(now);
        for listing in confirmed {
            self.list_upstream(listing);
        }
    }

    fn apply_all(&mut self, changes: Vec<Change>, source: Source) {
        for change in changes {
            self.apply(change, source);
        }
    }

    fn apply(&mut self, change: Change, source: Source) {
        let hub = &self.hub;
        let now = hub.clock.now();
        match change {
            Change::Listed(listing) => match self.outdated_until(now, &listing, source) {
                Some(until) => {
                    info!(target: DECISION, upstream:% = listing.id; "upstream-outdated");
                    hub.desk().aftermath.hold(listing, until);
                }
                None => self.list_upstream(listing),
            },
            Change::Delisted(id) => {
                if hub.delist(&id, source.name()) {
                    self.changes
                        .push(platform_reader::PlatformChange::Delisted(id));
                }
            }
            Change::Config(config, document) => {
                hub.adopt(*config, document, "platform");
            }
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

    /// Returns until when an entry is held back, because it is a copy's of a process that is gone.
    fn outdated_until(&self, now: Time, listing: &Listing, source: Source) -> Option<Time> {
        let desk = self.hub.desk();
        let is_copy = source == Source::Listing && desk.history.may_be_copy(now);
        let is_outdated = is_copy && desk.fleet.is_outdated(listing);
        desk.history.copy_until().filter(|_| is_outdated)
    }

    fn list_upstream(&mut self, listing: Listing) {
        let outline = listing.summary();
        let known = {
            let desk = self.hub.desk();
            let known = desk.fleet.upstream(&listing.id);
            known.map(|known| known.listing.summary())
        };
        let was_absent = self.hub.take_listing(listing, Fleet::apply_listing);
        // The others may wait for the entry as well.
        if was_absent || known.as_ref() != Some(&outline) {
            self.changes
                .push(platform_reader::PlatformChange::Listed(outline));
        }
    }
}
