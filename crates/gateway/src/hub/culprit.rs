//! Requests that crash upstreams: what this node sees of them, and what others report.

use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};

use dispatch::culprit::{Action, Event, Feature, Status, Verdict};
use log::info;
use node::decision;
use node::journal::DECISION;
use tokio::sync::watch;
use upstream::link::{Life, Link};
use wire::{Machine, Request, Upstream};

use super::Hub;
use crate::datagram::Message;
use crate::dialect::Dialect;

/// A request that may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Its number at this node.
    pub request: Request,
    /// Whether it is sent to find out whether a conviction still holds.
    pub trial: bool,
}

impl<D: Dialect> Hub<D> {
    /// Returns the feature for which requests with these features are refused, if any.
    pub fn convicted(&self, features: &[Feature]) -> Option<Feature> {
        match self.status(features) {
            Status::Convicted(feature) => Some(feature),
            Status::Clear | Status::Suspect(_) => None,
        }
    }

    /// Returns whether requests with these features may have crashed several upstreams.
    pub fn suspected(&self, features: &[Feature]) -> bool {
        self.status(features) != Status::Clear
    }

    fn status(&self, features: &[Feature]) -> Status {
        let now = self.clock.now();
        self.desk().culprits.status(now, features)
    }

    /// Waits until one of these features is convicted, and returns it.
    pub async fn conviction(&self, features: &[Feature]) -> Feature {
        let mut changes = self.verdicts.subscribe();
        loop {
            if let Some(feature) = self.convicted(features) {
                return feature;
            }
            if changes.changed().await.is_err() {
                // Only the end of the process drops the sender.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns the convictions in force.
    pub fn convictions(&self) -> Vec<Verdict> {
        let now = self.clock.now();
        self.desk().culprits.convictions(now).collect()
    }

    /// Records that a request is about to be sent to an upstream, unless it is refused.
    pub fn begin(&self, features: &[Feature], upstream: &Upstream) -> Option<Permit> {
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        let process = self.listed(upstream, |listing| listing.born).flatten();
        let actions = self.track(Event::Dispatch {
            request,
            features: features.to_vec(),
            upstream: upstream.clone(),
            process,
        });
        actions.into_iter().find_map(|action| match action {
            Action::Run { request, trial } => Some(Permit {
                request,
                trial: trial.is_some(),
            }),
            _ => None,
        })
    }

    /// Passes an event to the detector, carries out what follows, and returns it.
    pub fn track(&self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let now = self.clock.now();
        self.desk().culprits.step(now, event, &mut actions);
        for action in &actions {
            match action {
                Action::Send { to, message } => {
                    if let Some(record) = self.peers.load().record(to) {
                        let message = Message::Culprit(message.clone());
                        self.post.send(&record.vm, record.peers, &message);
                    }
                }
                Action::Reported(report) => decision::crash(report),
                Action::Decided(verdict) => {
                    decision::verdict(verdict);
                    self.metrics
                        .convictions
                        .set(self.convictions().len() as i64);
                    self.verdicts.send_replace(());
                }
                Action::Refuted { upstream, crashes } => {
                    info!(target: DECISION, upstream:%, crashes; "crash-refuted");
                    self.metrics.refuted_crashes.inc_by(*crashes as u64);
                }
                Action::Run { .. } | Action::Refuse { .. } | Action::Inspect { .. } => {}
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
        self.set_controls();
        tokio::spawn(async move {
            let life = link.life().await;
            hub.examined().retain(|(known, _)| *known != upstream);
            hub.conclude(upstream, life);
            drop(sender);
        });
        known
    }

    fn conclude(&self, upstream: Upstream, life: Life) {
        let leaves = {
            let desk = self.desk();
            let known = desk.fleet.upstream(&upstream);
            known.is_none_or(|runner| !runner.is_eligible())
        };
        let ended = life == Life::Ended;
        info!(target: DECISION, upstream:%, ended, unknown = life == Life::Unknown, leaves; "broken-off");
        // The end of an upstream that was about to leave is attributed to no request.
        self.track(match life {
            Life::Ended if !leaves => Event::Crashed { upstream },
            Life::Unknown if !leaves => Event::Unconfirmed { upstream },
            _ => Event::StillRunning { upstream },
        });
    }

    fn examined(&self) -> MutexGuard<'_, Vec<(Upstream, watch::Receiver<()>)>> {
        let examined = self.examined.lock();
        examined.unwrap_or_else(PoisonError::into_inner)
    }
}
