//! How a node that starts learns the newest revision before it takes traffic.

use std::time::Duration;

use wire::{Time, Vm};

use super::store::Verdict;
use super::{Action, Replicator};
use crate::message::Pick;
use crate::note::Note;

/// Peers that have to answer, or fewer where fewer are live.
const ANSWERS: usize = 3;

/// Time between two questions.
const INTERVAL: Duration = Duration::from_millis(300);

/// Time after which silent peers, or a silent platform, are waited for no longer.
const PATIENCE: Duration = Duration::from_secs(3);

/// Time after which an older revision is good enough where a newer one cannot be fetched.
const FETCH_PATIENCE: Duration = Duration::from_secs(20);

/// What has been learnt.
#[derive(Clone, Debug, Default)]
pub(super) struct Start {
    since: Time,
    next: Time,
    platform: bool,
    answers: Vec<Vm>,
}

impl Replicator {
    /// Asks the platform once and peers until enough have answered.
    pub(super) fn begin(&mut self, now: Time, out: &mut impl Extend<Action>) {
        if !self.began {
            self.began = true;
            self.read_manifest(out);
            if let Some(start) = &mut self.start {
                start.since = now;
            }
        }
        let Some(start) = self.start.as_mut().filter(|start| now >= start.next) else {
            return;
        };
        start.next = now + INTERVAL;
        let answers = start.answers.clone();
        let mut peers = self.others();
        let pick = if self.refused_newest() {
            Pick::Force
        } else {
            peers.retain(|vm| !answers.contains(vm));
            Pick::Newest
        };
        let missing = match pick {
            Pick::Force => 1,
            Pick::Newest => ANSWERS.saturating_sub(answers.len()),
        };
        let peers = self.draw(peers, missing);
        self.send_asks(peers, pick, out);
    }

    fn refused_newest(&self) -> bool {
        let newest = self.store.newest().and_then(|id| self.store.set(id));
        self.needs_fallback() && newest.is_some_and(|set| set.verdict == Verdict::Bad)
    }

    /// Counts a peer's answer, unless it knows nothing itself.
    pub(super) fn answered(&mut self, from: &Vm, knows: bool) {
        if let Some(start) = self.start.as_mut().filter(|_| knows)
            && !start.answers.contains(from)
        {
            start.answers.push(from.clone());
        }
    }

    pub(super) fn platform_answered(&mut self) {
        if let Some(start) = &mut self.start {
            start.platform = true;
        }
    }

    /// Takes traffic once the newest revision that can be learnt is in force.
    pub(super) fn ready(&mut self, now: Time, out: &mut impl Extend<Action>) {
        let Some(start) = &self.start else {
            return;
        };
        if self.store.force().is_none() {
            return;
        }
        let waited = now.saturating_sub(start.since);
        let live = self.others().len();
        let peers = live > 0 && start.answers.len() >= ANSWERS.min(live);
        let learnt = start.platform && peers || waited >= PATIENCE;
        let floor = self.floor_revision();
        let told = self.peers.ahead(floor).map(|(_, revision)| *revision).max();
        let known = self.store.newest().map_or(0, |id| id.revision);
        let newer = told.or((floor > known).then_some(floor));
        match newer {
            None if learnt => {}
            Some(revision) if waited >= FETCH_PATIENCE => {
                out.extend([Action::Note(Note::Behind { revision })]);
            }
            _ => return,
        }
        self.start = None;
        out.extend([Action::Ready]);
    }

    pub(super) fn start_wake(&self) -> Option<Time> {
        let start = self.start.as_ref()?;
        Some(start.next)
    }
}
