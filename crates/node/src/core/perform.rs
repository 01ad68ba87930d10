//! Carries out what the machines want.

use std::sync::Arc;

use dispatch::poison;
use logic::{Action, Event};
use wire::view::State as PeerState;
use wire::{Revision, Upstream, View};

use super::{Admitted, Grant, Input, Placed, Ruling, State, Vetted, orders, source};
use crate::decision;
use crate::journal::DECISION;
use crate::paths;
use crate::shared::Rules;

/// Times its even part of a pool's capacity that one node may use.
const UNEVEN: u32 = 2;

impl State {
    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::Frame(frame) => self.outbox.send(&frame),
            Action::View(view) => self.show_view(view),
            Action::Leaving(upstream) => self.mark_leaving(upstream, true),
            Action::Returned(upstream) => self.mark_leaving(upstream, false),
            Action::Roster(note) => decision::roster(&note),
            Action::Config(action) => self.perform_config(action),
            Action::Placement(action) => self.perform_placement(action),
            Action::Once(action) => self.perform_once(action),
            Action::Admission(action) => self.perform_admission(action),
            Action::Poison(action) => self.perform_poison(action),
        }
    }

    fn show_view(&mut self, view: View) {
        for (state, label) in [
            (PeerState::Live, "live"),
            (PeerState::Suspect, "suspect"),
            (PeerState::Leaving, "leaving"),
        ] {
            let count = view
                .peers()
                .iter()
                .filter(|peer| peer.state == state)
                .count();
            self.shared
                .metrics
                .members
                .with_label_values(&[label])
                .set(count as i64);
        }
        self.shared.view.store(Arc::new(view));
        paths::show_peers(&self.shared);
        self.show_capacity();
    }

    fn mark_leaving(&mut self, upstream: Upstream, leaves: bool) {
        self.leaving.retain(|known| *known != upstream);
        if leaves {
            self.leaving.push(upstream);
        }
        self.show_directory();
    }

    /// Shows the directory to the front and its facts to placement.
    pub(super) fn show_directory(&mut self) {
        let directory = self.listed.with_leaving(|id| self.leaving.contains(id));
        let facts = directory.facts(&self.shared.settings, &self.down);
        self.shared.directory.store(Arc::new(directory));
        paths::show_peers(&self.shared);
        self.step(Event::Placement(placement::Event::Upstreams(facts)));
        self.show_capacity();
    }

    fn perform_config(&mut self, action: confsync::Action) {
        use confsync::Action::{Adopt, Check, Note, Read, Ready, Refused, Seen, Send, Watch};
        match action {
            Watch { key, after } => {
                source::watch(&self.shared, &self.handle, &self.source, key, after);
            }
            Read { key } => source::read(&self.shared, &self.handle, &self.source, key),
            Check { revision, parts } => source::check(&self.handle, revision, parts),
            Adopt { revision, .. } => self.adopt(revision),
            Refused { revision, reason } => self.refuse(revision, reason.to_string()),
            Ready => self.shared.set_configured(),
            Note(note) => decision::config(&note),
            // The joined machine turns these into frames and heartbeats.
            Send { .. } | Seen(_) => {}
        }
    }

    fn adopt(&mut self, revision: Revision) {
        let Some(set) = self.checked.get(&revision).cloned() else {
            // The machine adopts only what it was told is sound, which `take_parsed` keeps.
            log::error!("revision {revision} was adopted without a check; report this");
            return;
        };
        self.checked.retain(|checked, _| *checked >= revision);
        log::info!(target: DECISION, revision; "configuration-in-force");
        self.adopted = Some(self.shared.clock.now());
        self.shared
            .metrics
            .revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.shared
            .rules
            .store(Some(Arc::new(Rules { revision, set })));
    }

    fn refuse(&mut self, revision: Revision, reason: String) {
        log::warn!(target: DECISION, revision, reason; "configuration-refused");
        self.shared.metrics.revisions_refused.inc();
        self.refused = Some((revision, reason));
    }

    pub(super) fn take_parsed(
        &mut self,
        revision: Revision,
        result: Result<Arc<rules::RuleSet>, String>,
    ) {
        let result = result.map(|set| {
            self.checked.insert(revision, set);
        });
        let checked = confsync::Event::Checked { revision, result };
        self.step(Event::Config(checked));
    }

    fn perform_placement(&mut self, action: placement::Action) {
        use placement::Action::{Grant as Granted, Load, Note, Refuse, Send, Unload};
        match action {
            Granted {
                request,
                upstream,
                instance,
                model,
                lease,
                fence,
                until,
            } => {
                let grant = Grant {
                    upstream,
                    instance,
                    model,
                    lease,
                    fence,
                    until,
                };
                self.place(request, Placed::Granted(grant));
            }
            Refuse {
                request,
                reason,
                retry_after,
            } => {
                self.place(
                    request,
                    Placed::Refused {
                        reason,
                        retry_after,
                    },
                );
            }
            Load {
                upstream,
                instance,
                model,
                path,
                fence,
                deadline,
            } => {
                let order = orders::Load {
                    upstream,
                    instance,
                    model,
                    path,
                    fence,
                    deadline,
                };
                orders::load(&self.shared, &self.handle, order);
            }
            Unload {
                upstream,
                instance,
                fence,
                deadline,
            } => {
                let order = orders::Unload {
                    upstream,
                    instance,
                    fence,
                    deadline,
                };
                orders::unload(&self.shared, &self.handle, order);
            }
            Note(note) => decision::placement(&note),
            // The joined machine turns it into a frame.
            Send { .. } => {}
        }
    }

    fn place(&mut self, request: wire::Request, placed: Placed) {
        let granted = matches!(placed, Placed::Granted(_));
        let taken = self
            .placing
            .remove(&request)
            .is_some_and(|reply| reply.send(placed).is_ok());
        if granted && !taken {
            // The caller has gone meanwhile; the lease is given back.
            self.step(Event::Placement(placement::Event::Done { request }));
        }
    }

    fn perform_once(&mut self, action: once::Action) {
        use once::Action::{Answer, Execute, Note, Refuse, Send};
        match action {
            Execute { request } => {
                self.shared
                    .metrics
                    .claims
                    .with_label_values(&["execute"])
                    .inc();
                if !self.rule(request, Ruling::Execute) {
                    self.step(Event::Once(once::Event::Abandon { request }));
                }
            }
            Answer { request, record } => {
                self.shared
                    .metrics
                    .claims
                    .with_label_values(&["answer"])
                    .inc();
                self.rule(request, Ruling::Answer(record));
                self.calls.remove(&request);
            }
            Refuse {
                request,
                outcome,
                reason,
                retry_after,
            } => {
                let label = match outcome {
                    once::Outcome::NotRun => "not-run",
                    once::Outcome::Unknown => "unknown",
                    once::Outcome::Mismatch => "mismatch",
                };
                self.shared.metrics.claims.with_label_values(&[label]).inc();
                log::info!(target: DECISION, request, outcome = label, reason:?; "claim-refused");
                self.rule(
                    request,
                    Ruling::Refuse {
                        outcome,
                        reason,
                        retry_after,
                    },
                );
                self.calls.remove(&request);
            }
            Note(note) => decision::once(&note),
            // The joined machine turns it into a frame.
            Send { .. } => {}
        }
    }

    fn rule(&self, request: wire::Request, ruling: Ruling) -> bool {
        self.calls
            .get(&request)
            .is_some_and(|reply| reply.send(ruling).is_ok())
    }

    fn perform_admission(&mut self, action: admission::Action) {
        let (request, admitted) = match action {
            admission::Action::Admit { request } => (request, Admitted::Yes),
            admission::Action::Refuse {
                request,
                reason,
                retry_after,
            } => {
                self.shared
                    .metrics
                    .refused
                    .with_label_values(&[reason.name()])
                    .inc();
                (
                    request,
                    Admitted::Refused {
                        reason,
                        retry_after,
                    },
                )
            }
        };
        let taken = self
            .admitting
            .remove(&request)
            .is_some_and(|reply| reply.send(admitted).is_ok());
        if !taken && admitted == Admitted::Yes {
            self.step(Event::Admission(admission::Event::Finish { request }));
        }
    }

    fn perform_poison(&mut self, action: poison::Action) {
        use poison::Action::{
            Busy, CrashReported, Inspect, Refuse, Refuted, Reroute, Run, Send, StatusChanged,
        };
        let (request, vetted) = match action {
            Run { request, .. } => (request, Vetted::Run),
            Reroute { request } => (request, Vetted::Elsewhere),
            Refuse { request, crashes } => (request, Vetted::Convicted { crashes }),
            Busy {
                request,
                retry_after,
            } => (request, Vetted::Busy { retry_after }),
            Inspect { upstream } => {
                orders::identify(&self.shared, &self.handle, upstream);
                return;
            }
            Refuted { upstream, reports } => {
                decision::refuted(&upstream, reports);
                let refuted = &self.shared.metrics.refuted_crashes;
                refuted.inc_by(reports as u64);
                return;
            }
            CrashReported { report, crashes } => {
                decision::charge(&report, crashes);
                return;
            }
            StatusChanged {
                fingerprint,
                status,
            } => {
                decision::poison(fingerprint, status);
                return;
            }
            // The joined machine turns it into a frame.
            Send { .. } => return,
        };
        let taken = self
            .vetting
            .remove(&request)
            .is_some_and(|reply| reply.send(vetted).is_ok());
        if !taken && vetted == Vetted::Run {
            self.step(Event::Poison(poison::Event::Dropped { request }));
        }
    }

    /// Tells admission how many requests of each pool may run through this node at once: its part
    /// of what the pool's upstreams take, with room for callers that are spread unevenly.
    fn show_capacity(&mut self) {
        let nodes = self.shared.view.load().live().count().max(1);
        let directory = self.shared.directory.load_full();
        let mut pools: Vec<(Arc<str>, u32)> = Vec::new();
        for runner in directory.runners() {
            let batch = self
                .shared
                .settings
                .pools
                .get(&*runner.pool)
                .map_or(0, |p| p.max_batch);
            let usable = if runner.leaving { 0 } else { batch };
            match pools.iter_mut().find(|(pool, _)| *pool == runner.pool) {
                Some((_, sum)) => *sum += usable,
                None => pools.push((runner.pool.clone(), usable)),
            }
        }
        let now = self.shared.clock.now();
        for (pool, sum) in pools {
            self.shared
                .trials
                .set_pool(now, &pool, directory.pool(&pool));
            let share = (sum * UNEVEN).div_ceil(u32::try_from(nodes).unwrap_or(u32::MAX));
            let capacity = admission::Event::Capacity {
                pool,
                concurrent: share,
            };
            self.step(Event::Admission(capacity));
        }
    }

    pub(super) fn take_list(&mut self, list: &platform::List) {
        self.listed_at = Some(self.shared.clock.now());
        let known = self.shared.directory.load();
        let next = crate::directory::Directory::from_list(
            list,
            &self.shared.settings,
            &self.shared.router,
            &known,
        );
        let entries = next
            .entries()
            .iter()
            .filter(|entry| entry.vm != self.shared.me.vm);
        self.outbox
            .set_peers(entries.map(|entry| (entry.vm.clone(), entry.peers)));
        let members = next.entries().iter().map(|entry| roster::Member {
            vm: entry.vm.clone(),
            zone: entry.zone.clone(),
            leaving: entry.leaving,
        });
        let members = members.collect();
        let before = std::mem::replace(&mut self.listed, next);
        self.tell_leaving(&before);
        self.show_directory();
        self.step(Event::List {
            members,
            revision: list.revision,
        });
    }

    /// Tells membership which upstreams the list newly shows as leaving, or as back.
    fn tell_leaving(&mut self, before: &crate::directory::Directory) {
        let listed = self.listed.clone();
        for runner in listed.runners() {
            let upstream = runner.id.clone();
            let left = before.runner(&upstream).is_some_and(|old| old.leaving);
            if runner.leaving && !left {
                self.sign(upstream, roster::Source::List);
            } else if left && !runner.leaving {
                self.step(Event::Roster(roster::Event::UpstreamReturned { upstream }));
            }
        }
    }

    fn sign(&mut self, upstream: Upstream, source: roster::Source) {
        self.step(Event::Roster(roster::Event::UpstreamLeaving {
            upstream,
            source,
        }));
    }

    pub(super) fn take_reach(&mut self, upstream: Upstream, reached: bool) {
        let known = self.down.contains(&upstream);
        if known != reached {
            return;
        }
        self.down.retain(|down| *down != upstream);
        if !reached {
            self.down.push(upstream.clone());
        }
        log::info!(target: DECISION, upstream:%, reached; "upstream-reach");
        self.show_directory();
    }
}

/// Tells the core a first-hand sign that an upstream leaves.
pub(crate) fn sign_leaving(handle: &super::Handle, upstream: &Upstream, source: roster::Source) {
    let sign = roster::Event::UpstreamLeaving {
        upstream: upstream.clone(),
        source,
    };
    handle.send(Input::Logic(Event::Roster(sign)));
}
