//! Questions to owners, and what owners want done.

use std::sync::Arc;
use std::time::Duration;

use exchange::demand::Target;
use exchange::fleet::{Load, Presence};
use exchange::owner::{self, Action, AdmissionRequest, Decision, Grant};
use log::info;
use node::journal::DECISION;
use tokio::sync::oneshot;
use wire::machine::millis;
use wire::{Time, Upstream};

use super::{Desk, Hub, Waiter};
use crate::datagram::Message;
use crate::dialect::Dialect;

/// Longest time for which a request waits to be let in by the node that orders at its engine: a
/// few round trips within a region.
const GRANT: Duration = Duration::from_millis(30);

impl Desk {
    /// Takes over what an owner said with a grant.
    fn heed(&mut self, now: Time, runner: &str, target: &Target, grant: Grant) {
        self.fleet
            .set_prefill_backlog(now, runner, grant.prefill_backlog);
        self.fleet.set_load_backlog(now, runner, grant.backlog);
        let load = Load {
            running: grant.running,
            waiting: 0,
        };
        self.fleet.record_load(now, runner, load);
        let known = self.fleet.upstream(runner);
        let known = known.map(|known| known.presence(target).as_of(now));
        if known != Some(grant.presence) {
            self.fleet.set_presence(now, runner, target, grant.presence);
        }
    }
}

impl<D: Dialect> Hub<D> {
    /// Returns what resolves when something is told of `target` at `runner`.
    pub fn await_news(&self, runner: &Upstream, target: &Target) -> oneshot::Receiver<()> {
        let (wake, news) = oneshot::channel();
        let mut desk = self.desk();
        desk.waiters.retain(|waiter| !waiter.wake.is_closed());
        desk.waiters.push(Waiter {
            runner: runner.clone(),
            target: target.clone(),
            wake,
        });
        news
    }

    /// Asks whoever orders at an engine when a request may be sent there; `None` where nobody
    /// answers.
    pub async fn grant(
        self: &Arc<Self>,
        runner: &Upstream,
        visit: AdmissionRequest,
    ) -> Option<Grant> {
        let now = self.clock.now();
        let (to, ticket, granted) = {
            let mut guard = self.desk();
            let desk = &mut *guard;
            if let Some(grant) = desk.owner.admit(now, &desk.fleet, runner, &visit) {
                desk.heed(now, runner, &visit.target, grant);
                let mut actions = Vec::new();
                desk.owner
                    .spread(now, &desk.fleet, runner, &visit.target, &mut actions);
                drop(guard);
                actions.into_iter().for_each(|action| self.perform(action));
                return Some(grant);
            }
            let holder = desk.owner.holder(runner).cloned()?;
            let (sender, granted) = oneshot::channel();
            desk.tickets.retain(|(_, waiter)| !waiter.is_closed());
            desk.next_ticket += 1;
            desk.tickets.push((desk.next_ticket, sender));
            (holder, desk.next_ticket, granted)
        };
        let target = visit.target.clone();
        let message = owner::Message::RequestAdmission {
            ticket,
            engine: runner.clone(),
            target: visit.target,
            prefill: millis(visit.prefill),
            decode: millis(visit.decode),
            rank: visit.rank,
        };
        self.perform(Action::Send { to, message });
        // Without an answer the engine's own queue has to do.
        let grant = tokio::time::timeout(GRANT, granted).await.ok()?.ok()?;
        let now = self.clock.now();
        self.desk().heed(now, runner, &target, grant);
        Some(grant)
    }

    /// Tells whoever orders at an engine that a request that was let in there is over.
    pub fn over(self: &Arc<Self>, runner: &Upstream, target: &Target) {
        let holder = {
            let now = self.clock.now();
            let mut desk = self.desk();
            if desk.owner.release_admission(now, runner, target) {
                return;
            }
            desk.owner.holder(runner).cloned()
        };
        if let Some(to) = holder {
            let message = owner::Message::RequestEnded {
                engine: runner.clone(),
                target: target.clone(),
            };
            self.perform(Action::Send { to, message });
        }
    }

    /// Passes an event to the owner and carries out what it wants.
    pub fn drive(self: &Arc<Self>, event: owner::Event) {
        let now = self.clock.now();
        let mut guard = self.desk();
        let desk = &mut *guard;
        let mut actions = Vec::new();
        desk.owner.step(now, &desk.fleet, event, &mut actions);
        owner::apply_to_fleet(now, &mut desk.fleet, &actions);
        for action in &actions {
            if let Action::Presence { engine, target, .. } = action {
                wake(&mut desk.waiters, engine, target);
            }
        }
        desk.owner.issue_orders(now, &desk.fleet, &mut actions);
        drop(guard);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(self: &Arc<Self>, action: Action) {
        match action {
            Action::Send { to, message } => {
                if let Some(record) = self.peers.load().record(&to) {
                    self.post.send(&to, record.peers, &Message::Owner(message));
                }
            }
            Action::FetchReport { engine, delay } => {
                tokio::spawn(crate::control::inspect(self.clone(), engine, delay));
            }
            Action::SetTimer(delay) => {
                let hub = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    hub.drive(owner::Event::TimerExpired);
                });
            }
            Action::Order {
                engine,
                fence,
                order,
                expected,
            } => {
                let order = crate::control::order(self.clone(), engine, fence, order, expected);
                tokio::spawn(order);
            }
            Action::Presence {
                engine,
                target,
                presence,
            } => log_presence(&engine, &target, presence),
            Action::Backlog { .. } | Action::Holdings { .. } => {}
            Action::Granted { ticket, grant } => {
                let mut desk = self.desk();
                if let Some(index) = desk.tickets.iter().position(|(known, _)| *known == ticket) {
                    // A request that is gone needs no grant.
                    let _ = desk.tickets.swap_remove(index).1.send(grant);
                }
            }
            Action::Log(decision) => log_decision(&decision),
        }
    }
}

fn wake(waiters: &mut Vec<Waiter>, runner: &Upstream, target: &Target) {
    let mut index = 0;
    while index < waiters.len() {
        let waiter = &waiters[index];
        if waiter.runner == *runner && waiter.target == *target {
            // A waiter that is gone needs no news.
            let _ = waiters.swap_remove(index).wake.send(());
        } else {
            index += 1;
        }
    }
}

fn log_presence(runner: &Upstream, target: &Target, presence: Presence) {
    log::debug!(target: DECISION, upstream:% = runner, model:% = target, presence:?; "presence");
}

fn log_decision(decision: &Decision) {
    match decision {
        Decision::Claimed(upstream, fence, grounds) => info!(
            target: DECISION,
            upstream:%, fence, granted = grounds.granted, witnesses = grounds.witnesses,
            contended = grounds.contended;
            "own"
        ),
        Decision::Released(upstream, reason) => {
            info!(target: DECISION, upstream:%, reason; "yield");
        }
        Decision::Loading(upstream, model, rank, nodes) => {
            info!(target: DECISION, upstream:%, model:%, rank, nodes; "load");
        }
        Decision::Evicted(upstream, model, value) => {
            info!(target: DECISION, upstream:%, model:%, uses:% = value; "evict");
        }
        Decision::QuorumChanged(reached) => info!(target: DECISION, reached; "contact"),
        Decision::OrderFailed(upstream, model, answer) => {
            info!(target: DECISION, upstream:%, model:%, answer:?; "order-failed");
        }
    }
}
