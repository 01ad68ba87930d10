//! Requests that crash upstreams: what this node sees of them, and what others tell.

use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};

use dispatch::poison::{Action, Event, Fingerprint, FingerprintStatus};
use log::info;
use node::decision;
use node::journal::DECISION;
use tokio::sync::watch;
use upstream::link::Link;
use wire::{Machine, Request, Upstream};

use super::Hub;
use crate::datagram::Message;
use crate::dialect::Dialect;

impl<D: Dialect> Hub<D> {
    /// Tells whether requests with that fingerprint are refused, since they crash upstreams.
    pub fn convicted(&self, print: Fingerprint) -> bool {
        self.desk().poison.status(print) == FingerprintStatus::Convicted
    }

    /// Tells whether an upstream has crashed under a request with that fingerprint.
    pub fn suspected(&self, print: Fingerprint) -> bool {
        self.desk().poison.status(print) != FingerprintStatus::Clear
    }

    /// Notes that a request is about to go to an upstream. Returns its number, or `None` where it
    /// has crashed too many.
    pub fn begin(&self, print: Fingerprint, upstream: &Upstream) -> Option<Request> {
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        let arrive = Event::Dispatch {
            request,
            fingerprint: print,
            upstream: upstream.clone(),
        };
        let actions = self.judge(arrive);
        let runs = actions
            .iter()
            .any(|action| matches!(action, Action::Run { .. }));
        runs.then_some(request)
    }

    /// Takes in what concerns requests that crash upstreams, and returns what follows.
    pub fn judge(&self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.desk()
            .poison
            .step(self.clock.now(), event, &mut actions);
        let peers = self.peers.load();
        for action in &actions {
            match action {
                Action::Send { to, message } => {
                    if let Some(record) = peers.record(to) {
                        let message = Message::Poison(message.clone());
                        self.post.send(&record.vm, record.peers, &message);
                    }
                }
                Action::CrashReported { report, crashes } => decision::charge(report, *crashes),
                Action::StatusChanged {
                    fingerprint,
                    status,
                } => decision::poison(*fingerprint, *status),
                // Nothing waits for a ward here.
                Action::Run { .. }
                | Action::Refuse { .. }
                | Action::Reroute { .. }
                | Action::Busy { .. } => {}
            }
        }
        actions
    }

    /// Finds out whether an upstream that broke a request off has crashed. What is returned ends once
    /// that is known.
    pub fn examine(self: &Arc<Self>, upstream: &Upstream, link: &Link) -> watch::Receiver<()> {
        let mut examined = self.examined();
        if let Some((_, known)) = examined.iter().find(|(known, _)| known == upstream) {
            return known.clone();
        }
        let (sender, known) = watch::channel(());
        examined.push((upstream.clone(), known.clone()));
        let (hub, upstream, link) = (self.clone(), upstream.clone(), link.clone());
        tokio::spawn(async move {
            let ended = link.has_ended().await;
            hub.examined().retain(|(known, _)| *known != upstream);
            hub.conclude(upstream, ended);
            drop(sender);
        });
        known
    }

    fn conclude(&self, upstream: Upstream, ended: bool) {
        let leaves = {
            let desk = self.desk();
            let known = desk.fleet.upstream(&upstream);
            known.is_none_or(|runner| !runner.is_eligible())
        };
        info!(target: DECISION, upstream:%, ended, leaves; "broken-off");
        // One that was to end is charged to nobody.
        self.judge(if ended && !leaves {
            Event::Crashed { upstream }
        } else {
            Event::StillRunning { upstream }
        });
    }

    fn examined(&self) -> MutexGuard<'_, Vec<(Upstream, watch::Receiver<()>)>> {
        let examined = self.examined.lock();
        examined.unwrap_or_else(PoisonError::into_inner)
    }
}
