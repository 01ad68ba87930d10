//! Tenants' keys and quotas, before a request goes anywhere.

use std::sync::Arc;

use exchange::quota::QuotaDecision;
use exchange::route::{Config, Route};
use exchange::tenant::Tenant;
use hyper::StatusCode;
use node::front::{Outcome, Problem};

use crate::dialect::{Ask, Dialect};
use crate::hub::Hub;

/// Returns whose key a request brings, where the configuration asks for one.
///
/// # Errors
///
/// Returns the refusal of a request that brings no known key.
pub(super) fn admit(
    config: &Config,
    route: &Route,
    ask: &Ask,
) -> Result<Option<Arc<Tenant>>, Problem> {
    let Some(tenants) = config.tenants.as_ref().filter(|_| !route.public) else {
        return Ok(None);
    };
    let holder = ask.key.as_ref().and_then(|key| tenants.tenant_by_key(key));
    let Some(holder) = holder else {
        log::info!(
            target: node::journal::DECISION,
            request = &*ask.attempt, revision = config.revision, keyed = ask.key.is_some();
            "no-tenant"
        );
        let detail = "the key is not known; send a tenant's key as `authorization: Bearer KEY`";
        return Err(Problem::bad(StatusCode::UNAUTHORIZED, detail));
    };
    Ok(Some(holder.clone()))
}

/// Draws a request out of its tenant's quota.
///
/// # Errors
///
/// Returns the refusal of a request that the quota does not carry.
pub(super) async fn draw<D: Dialect>(
    hub: &Hub<D>,
    tenant: &Tenant,
    ask: &Ask,
) -> Result<(), Problem> {
    let tokens = ask
        .prompt
        .zip(ask.answer)
        .map(|(prompt, answer)| prompt.saturating_add(answer));
    let QuotaDecision::Over(wait) = hub.draw(tenant, tokens).await else {
        return Ok(());
    };
    log::info!(
        target: node::journal::DECISION,
        request = &*ask.attempt, tenant = &*tenant.name, tokens = tokens.unwrap_or_default(),
        wait_ms = wait.as_millis() as u64;
        "over-quota"
    );
    let detail = "the tenant's quota does not carry the request; send it again later";
    let problem = Problem::new(StatusCode::TOO_MANY_REQUESTS, Outcome::NotRun, detail);
    Err(problem.after(wait))
}
