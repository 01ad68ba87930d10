//! Quotas of tenants: asks the nodes that keep them, and answers for those kept here.

use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use exchange::quota::{self, Message, QuotaDecision};
use exchange::tenant::{Quota, Tenant};
use wire::Vm;
use wire::machine::millis;

use super::Hub;
use super::question::{self, Questions};
use crate::datagram;
use crate::dialect::Dialect;

/// The quotas that this node counts, and its open questions.
pub(super) struct Quotas {
    /// Those that it keeps for all nodes.
    kept: quota::TokenBuckets,
    /// Its own part, by which it counts where a keeper does not answer.
    own: quota::LocalQuota,
    questions: Questions<QuotaDecision>,
}

impl Default for Quotas {
    fn default() -> Self {
        Self {
            kept: quota::TokenBuckets::shared(),
            own: quota::LocalQuota::default(),
            questions: Questions::default(),
        }
    }
}

impl<D: Dialect> Hub<D> {
    /// Draws a request of so many tokens out of its tenant's quota.
    pub async fn draw(&self, tenant: &Tenant, tokens: Option<u32>) -> QuotaDecision {
        let Some(quota) = &tenant.quota else {
            return QuotaDecision::Granted;
        };
        let units = quota::units(quota, tokens);
        let keeper = quota::coordinator(&tenant.name, &self.peers.load().live).cloned();
        match keeper {
            Some(keeper) if keeper != self.me.vm => {
                let Some(draw) = self.ask_keeper(&keeper, tenant, units).await else {
                    return self.draw_own(tenant, quota, units);
                };
                let now = self.clock.now();
                self.quotas().own.record_answer(now, &tenant.name, draw);
                draw
            }
            _ => self.draw_kept(tenant, quota, units),
        }
    }

    /// Takes in a message on quotas.
    pub fn take_quota(&self, from: &Vm, message: Message) {
        match message {
            Message::Ask {
                ticket,
                tenant,
                units,
            } => {
                let Some(draw) = self.draw_for(&tenant, units) else {
                    return;
                };
                let wait = match draw {
                    QuotaDecision::Granted => None,
                    QuotaDecision::Over(wait) => Some(millis(wait)),
                };
                self.send_quota(from, Message::Answer { ticket, wait });
            }
            Message::Answer { ticket, wait } => {
                let draw = wait.map_or(QuotaDecision::Granted, |wait| {
                    QuotaDecision::Over(Duration::from_millis(wait.into()))
                });
                self.quotas().questions.answer(ticket, draw);
            }
        }
    }

    /// Draws for another node; `None` where this one does not know the tenant.
    fn draw_for(&self, tenant: &str, units: u32) -> Option<QuotaDecision> {
        let config = self.config.load_full()?;
        let tenant = config.tenants.as_ref()?.tenant(tenant)?;
        let draw = tenant
            .quota
            .as_ref()
            .map_or(QuotaDecision::Granted, |quota| {
                self.draw_kept(tenant, quota, units)
            });
        Some(draw)
    }

    fn draw_kept(&self, tenant: &Tenant, quota: &Quota, units: u32) -> QuotaDecision {
        let (now, part) = (self.clock.now(), self.seen_part());
        let mut quotas = self.quotas();
        quotas
            .kept
            .try_acquire(now, &tenant.name, quota, part, units)
    }

    fn draw_own(&self, tenant: &Tenant, quota: &Quota, units: u32) -> QuotaDecision {
        let (now, part) = (self.clock.now(), 1.0 / self.nodes() as f64);
        let mut quotas = self.quotas();
        quotas
            .own
            .try_acquire(now, &tenant.name, quota, part, units)
    }

    async fn ask_keeper(&self, keeper: &Vm, tenant: &Tenant, units: u32) -> Option<QuotaDecision> {
        let (ticket, answer) = self.quotas().questions.open();
        let tenant = tenant.name.clone();
        let message = Message::Ask {
            ticket,
            tenant,
            units,
        };
        self.send_quota(keeper, message);
        question::wait(answer).await
    }

    fn send_quota(&self, to: &Vm, message: Message) {
        if let Some(record) = self.peers.load().record(to) {
            let message = datagram::Message::Quota(message);
            self.post.send(to, record.peers, &message);
        }
    }

    fn quotas(&self) -> MutexGuard<'_, Quotas> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
