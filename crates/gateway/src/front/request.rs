//! The request as it goes to an upstream: built early, and brought up to date in the step that writes it.

use std::time::Duration;

use bytes::Bytes;
use exchange::demand::Target;
use exchange::fleet::{Release, Version};
use exchange::route::RouteKind;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, EXPECT};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Request, Uri};
use upstream::header::strip;
use upstream::link::{Link, Reuse};
use wire::Upstream;

use super::job::Job;
use crate::dialect::{Dialect, Hop};

/// Idle time up to which a kept connection carries a call that may not be repeated: upstreams
/// state their idle time-out in whole seconds, and few state less than some of them.
const RECENT: Duration = Duration::from_millis(1_500);

/// An upstream as it is listed now.
pub(super) struct Endpoint {
    pub(super) link: Link,
    /// Newest version of the adapter.
    pub(super) version: Option<Version>,
    pub(super) release: Release,
}

impl<D: Dialect> Job<D> {
    /// Returns the endpoint of `runner`, if it is listed.
    pub(super) fn endpoint(&self, runner: &Upstream, target: Option<&Target>) -> Option<Endpoint> {
        let (address, version, release) = {
            let desk = self.hub.desk();
            let known = desk.fleet.upstream(runner)?;
            let version = target.and_then(|target| desk.fleet.newest_version(target));
            (known.listing.address, version, known.listing.release)
        };
        let connections = self.service.connections;
        Some(Endpoint {
            link: self.hub.link(runner, address, connections),
            version,
            release,
        })
    }

    /// Returns whether the request's stream may be, or go on, at that release.
    pub(super) fn fits(&self, release: Release) -> bool {
        self.release.is_none_or(|began| began == release)
    }

    /// Returns the request without the headers that [`Job::renew`] sets.
    pub(super) fn request(&self) -> Request<Full<Bytes>> {
        let path = self.head.uri.path_and_query().cloned();
        let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = Uri::from(path);
        let mut headers = self.head.headers.clone();
        strip(&mut headers);
        headers.remove(CONTENT_LENGTH);
        headers.remove(EXPECT);
        *request.headers_mut() = headers;
        request
    }

    /// Brings a request up to date that is about to be written, and returns the release that it goes
    /// to. Returns `None` where it must not be written: what was known when its connection was asked
    /// for may not hold any more.
    pub(super) fn renew(&self, request: &mut Request<Full<Bytes>>, link: &Link) -> Option<Release> {
        let (runner, target) = (link.upstream(), self.target());
        let found = self.endpoint(runner, target.as_ref())?;
        let stands = found.link.address() == link.address()
            && self.hub.takes(runner)
            && self.fits(found.release)
            && self.may_go()
            && self.is_awaited();
        stands.then(|| {
            self.forward(request.headers_mut(), runner, found.version);
            self.record_write();
            found.release
        })
    }

    /// Sets the headers for an upstream, with the time that is left by now.
    fn forward(&self, headers: &mut HeaderMap, runner: &Upstream, version: Option<Version>) {
        let now = self.hub.clock.now();
        let caller = self.terms.caller.saturating_sub(now);
        let hop = Hop {
            runner,
            left: Some(caller.min(self.left())),
            rank: self.service.engine.as_ref().map(|_| self.terms.rank),
            version,
            after: self.after,
            tenant: self.tenant.as_ref().map(|tenant| &*tenant.name),
            keyed: self.terms.keyed,
        };
        self.hub.dialect.forward(headers, &hop);
    }

    /// Returns which kept connections may carry the next try at `runner`: none that has carried an
    /// earlier one, whose refusal may come again in place of this one's answer. A call that may not be
    /// repeated needs a new one where the upstream is silent, since a kept one may lead nowhere.
    pub(super) fn reuse(&self, runner: &Upstream) -> Reuse {
        let within = match self.route.kind {
            RouteKind::Idempotent | RouteKind::Stream { resumable: true } => Duration::MAX,
            RouteKind::Once | RouteKind::Stream { resumable: false } if self.is_silent(runner) => {
                return Reuse::Fresh;
            }
            RouteKind::Once | RouteKind::Stream { resumable: false } => RECENT,
        };
        if self.sends.contains(runner) {
            let since = self.hub.clock.instant(self.terms.arrived);
            Reuse::Unused { within, since }
        } else {
            Reuse::Recent(within)
        }
    }

    /// Returns whether `runner` has been silent towards other requests for longer than usual.
    fn is_silent(&self, runner: &Upstream) -> bool {
        let now = self.hub.clock.now();
        let desk = self.hub.desk();
        let usual = desk.fleet.silence_of(&self.service.name).first.bound();
        let known = desk.fleet.upstream(runner);
        known.is_some_and(|known| known.is_silent(now, usual))
    }

    /// Returns whether the request may still be written: its features may have been convicted while
    /// its connection was opened.
    fn may_go(&self) -> bool {
        self.trial || self.hub.convicted(&self.features).is_none()
    }
}
