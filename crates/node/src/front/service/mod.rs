//! Plain services: passes calls through, and makes sure that one which may not be repeated runs
//! at most once.
//!
//! An idempotent call is tried again elsewhere while it makes sense. A call that may not be
//! repeated and carries an idempotency key runs under a claim; once it may have begun to run, it goes on
//! when its caller goes away, so that its outcome is recorded for the caller's retry. Without a key it is
//! sent once, and never again after the first byte. Nothing is sent for a caller that has left.
//!
//! - `job` tries a call at upstreams and passes its answer on.
//! - `claim` runs a call under a claim and replays its first answer.

mod claim;
mod job;

use dispatch::poison;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use rules::RetryPolicy;

use crate::front::gate;
use crate::front::handler::{Front, read_body};
use crate::front::identity::Identity;
use crate::front::{Body, Caller, Problem};
use crate::journal::DECISION;
use crate::shared::Rules;
use job::Job;

/// Answers a request that no path of the node's own matches.
pub(super) async fn pass(
    front: &Front,
    rules: &Rules,
    request: Request<Incoming>,
    caller: Caller,
) -> Result<Response<Body>, Problem> {
    let shared = &front.shared;
    let now = shared.clock.now();
    let (head, body) = request.into_parts();
    let identity = Identity::read(&head.headers, &rules.set, &shared.settings, now)?;
    let route = rules
        .set
        .service(head.method.as_str(), head.uri.path())
        .ok_or_else(|| {
            let detail = "no service has this path and method; check them or add a `service` line";
            Problem::bad(StatusCode::NOT_FOUND, detail)
        })?;
    let body = read_body(front, body).await?;
    let request = shared.next_request();
    let admitted = gate::admit(
        front,
        &rules.set,
        &identity,
        route.pool,
        identity.priority,
        request,
    )
    .await?;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let job = Job {
        name: format!("{}-{request}", shared.me),
        print: poison::fingerprint([head.method.as_str().as_bytes(), path.as_bytes(), &body]),
        config: shared.trials.config(),
        admitted: Some(admitted),
        request,
        front: front.clone(),
        caller,
        service: route.service.clone(),
        pool: route.pool.clone(),
        repeat: route.retry_policy,
        identity,
        head,
        body,
    };
    log::info!(
        target: DECISION,
        request = job.name.as_str(), caller:% = job.identity.caller, rule:% = route.rule,
        service:% = job.service, pool:% = job.pool, repeat:? = job.repeat;
        "route"
    );
    let key = job.key()?;
    match (job.repeat, key) {
        (RetryPolicy::Idempotent, _) => job.run_repeatable().await,
        (RetryPolicy::Once, Some(key)) => job.run_claimed(key).await,
        (RetryPolicy::Once, None) => job.run_unclaimed().await,
    }
}
