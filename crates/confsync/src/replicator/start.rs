//! Startup: learns the newest revision before the node takes traffic.

use std::time::Duration;

use wire::{Time, Vm};

use super::store::Verdict;
use super::{Action, Replicator};
use crate::message::Selector;
use crate::note::Note;

/// Number of peers that must answer; all live ones if there are fewer.
const REQUIRED_ANSWERS: usize = 3;

/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Time after which the node stops waiting for unresponsive peers or platform.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which the node becomes ready with an older revision if a newer one cannot be fetched.
const STARTUP_FETCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Startup progress.
#[derive(Clone, Debug, Default)]
pub(super) struct Start {
    started_at: Time,
    next_request: Time,
    platform_answered: bool,
    answers: Vec<Vm>,
}

impl Replicator {
    /// Queries the platform once, and peers until enough have answered.
    pub(super) fn advance_startup(&mut self, now: Time, out: &mut impl Extend<Action>) {
        if !self.started {
            self.started = true;
            self.read_manifest(out);
            if let Some(start) = &mut self.start {
                start.started_at = now;
            }
        }
        let Some(start) = self
            .start
            .as_mut()
            .filter(|start| now >= start.next_request)
        else {
            return;
        };
        start.next_request = now + REQUEST_INTERVAL;
        let answers = start.answers.clone();
        let mut peers = self.live_peers();
        let selector = if self.newest_is_invalid() {
            Selector::InForce
        } else {
            peers.retain(|vm| !answers.contains(vm));
            Selector::Newest
        };
        let missing = match selector {
            Selector::InForce => 1,
            Selector::Newest => REQUIRED_ANSWERS.saturating_sub(answers.len()),
        };
        let peers = self.sample(peers, missing);
        self.send_requests(peers, selector, out);
    }

    fn newest_is_invalid(&self) -> bool {
        let newest = self.store.newest().and_then(|id| self.store.set(id));
        self.needs_fallback() && newest.is_some_and(|set| set.verdict == Verdict::Invalid)
    }

    /// Counts a peer's answer unless the peer has no revision.
    pub(super) fn answered(&mut self, from: &Vm, has_revision: bool) {
        if let Some(start) = self.start.as_mut().filter(|_| has_revision)
            && !start.answers.contains(from)
        {
            start.answers.push(from.clone());
        }
    }

    pub(super) fn platform_answered(&mut self) {
        if let Some(start) = &mut self.start {
            start.platform_answered = true;
        }
    }

    /// Reports readiness once a revision is in force and no newer one is known. Waits a limited time
    /// for the platform, the peers and the fetch of a newer revision.
    pub(super) fn report_ready(&mut self, now: Time, out: &mut impl Extend<Action>) {
        let Some(start) = &self.start else {
            return;
        };
        if self.store.in_force().is_none() {
            return;
        }
        let waited = now.saturating_sub(start.started_at);
        let live = self.live_peers().len();
        let peers = live > 0 && start.answers.len() >= REQUIRED_ANSWERS.min(live);
        let complete = start.platform_answered && peers || waited >= STARTUP_TIMEOUT;
        let floor = self.newest_known_revision();
        let reported = self
            .peers
            .newer_than(floor)
            .map(|(_, revision)| *revision)
            .max();
        let known = self.store.newest().map_or(0, |id| id.revision);
        let newer = reported.or((floor > known).then_some(floor));
        match newer {
            None if complete => {}
            Some(revision) if waited >= STARTUP_FETCH_TIMEOUT => {
                out.extend([Action::Note(Note::Behind { revision })]);
            }
            _ => return,
        }
        self.start = None;
        out.extend([Action::Ready]);
    }

    pub(super) fn start_wake(&self) -> Option<Time> {
        let start = self.start.as_ref()?;
        Some(start.next_request)
    }
}
