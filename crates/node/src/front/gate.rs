//! What every request passes on its way, whatever its kind: admission, the search for requests
//! that crash upstreams, and the judgement of failed attempts.

use std::sync::atomic::Ordering;

use dispatch::health::Verdict;
use dispatch::outcome::{Cause, Kind, Stage, decide};
use dispatch::poison::{self, Print};
use dispatch::retry::Failure;
use hyper::StatusCode;
use upstream::engine::{Engine, Report};
use upstream::{Error, Phase, Reach};
use wire::{Priority, Request, Time, Upstream};

use super::identity::Identity;
use super::{Outcome, Problem};
use crate::core::{Admitted, Handle, Input, Vetted};
use crate::directory::{Link, Runner};
use crate::front::Front;

/// Time within which a crashed upstream's port must refuse or its report must come.
const CRASH_CHECK: std::time::Duration = std::time::Duration::from_millis(500);

/// A place in admission, given back when it is dropped.
pub(super) struct Place {
    core: Handle,
    request: Request,
}

impl Drop for Place {
    fn drop(&mut self) {
        let finish = admission::Event::Finish {
            request: self.request,
        };
        self.core
            .send(Input::Logic(logic::Event::Admission(finish)));
    }
}

/// Waits until a request may start.
pub(super) async fn admit(
    front: &Front,
    rules: &rules::Set,
    identity: &Identity,
    pool: &std::sync::Arc<str>,
    priority: Priority,
    request: Request,
) -> Result<Place, Problem> {
    // Dropped where the caller goes away meanwhile, which takes the request out of the queue.
    let place = Place {
        core: front.core.clone(),
        request,
    };
    let limit = rules.limit(&identity.caller).map(|limit| admission::Limit {
        rate: limit.rate,
        burst: limit.burst,
        concurrent: limit.concurrent,
        reserve: 0,
    });
    let arrival = admission::Arrival {
        request,
        caller: identity.caller.clone(),
        pool: pool.clone(),
        priority,
        deadline: identity.deadline,
        limit,
    };
    match front.core.admit(arrival).await {
        Some(Admitted::Yes) => Ok(place),
        Some(Admitted::Refused {
            reason,
            retry_after,
        }) => {
            log::info!(
                target: crate::journal::DECISION,
                request, caller:% = identity.caller, priority:%, pool:%,
                reason = reason.name(), retry_after_ms = retry_after.as_millis() as u64;
                "refuse"
            );
            let status = match reason {
                admission::Reason::Rate => StatusCode::TOO_MANY_REQUESTS,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            let problem = Problem::new(status, Outcome::NotRun, reason.to_string());
            Err(problem.after(retry_after))
        }
        None => Err(stopping()),
    }
}

/// Returns the refusal of a node whose core has stopped.
pub(super) fn stopping() -> Problem {
    Problem::busy(
        "the node is stopping; ask another",
        super::handler::RETRY_ELSEWHERE,
    )
}

/// A request that has been let through to an upstream. Dropped without an end it counts as ended
/// by neither a whole answer nor a crash.
pub(super) struct Trial {
    core: Handle,
    request: Request,
    over: bool,
}

/// What follows from vetting.
pub(super) enum Next {
    /// The request may go to the upstream.
    Run(Trial),
    /// The request must go to another upstream.
    Elsewhere,
    /// The request is answered with this.
    Refuse(Problem),
}

/// Asks whether a request may go to `upstream`.
pub(super) async fn vet(
    core: &Handle,
    request: Request,
    print: Print,
    upstream: &Upstream,
) -> Next {
    match core.vet(request, print, upstream.clone()).await {
        Some(Vetted::Run) => Next::Run(Trial {
            core: core.clone(),
            request,
            over: false,
        }),
        Some(Vetted::Elsewhere) => Next::Elsewhere,
        Some(Vetted::Convicted { crashes }) => {
            let detail =
                format!("this request has crashed {crashes} upstreams and is refused; change it");
            Next::Refuse(Problem::bad(StatusCode::UNPROCESSABLE_ENTITY, detail))
        }
        Some(Vetted::Busy { retry_after }) => {
            let detail = "this request ran when an upstream crashed and waits to be tried alone; \
                          send it again later";
            Next::Refuse(Problem::busy(detail, retry_after))
        }
        None => Next::Refuse(stopping()),
    }
}

impl Trial {
    /// Says that the request has its whole answer.
    pub(super) fn finish(mut self) {
        let request = self.request;
        self.end(poison::Event::Finished { request });
    }

    /// Says that the upstream crashed while the request ran there.
    pub(super) fn crash(mut self, upstream: &Upstream) {
        self.end(poison::Event::Crashed {
            upstream: upstream.clone(),
        });
    }

    fn end(&mut self, event: poison::Event) {
        self.over = true;
        self.core.send(Input::Logic(logic::Event::Poison(event)));
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !self.over {
            let request = self.request;
            self.end(poison::Event::Dropped { request });
        }
    }
}

/// Notes the engine's start number, where it is not known yet, to recognize a crash by.
pub(super) fn note_boot(front: &Front, runner: &Runner) {
    if runner.boot.load(Ordering::Relaxed) != 0 {
        return;
    }
    let (front, runner) = (front.clone(), runner.clone());
    tokio::spawn(async move {
        if let Ok(report) = report(&runner).await {
            let _ =
                runner
                    .boot
                    .compare_exchange(0, report.start, Ordering::Relaxed, Ordering::Relaxed);
        }
        drop(front);
    });
}

async fn report(runner: &Runner) -> Result<Report, Error> {
    match &runner.link {
        Link::Engine(engine) => engine.report().await,
        Link::Service(_) => Err(Error::Invalid {
            upstream: runner.id.clone(),
            cause: "a plain service gives no report".to_owned(),
        }),
    }
}

/// Tells whether an upstream has crashed that broke a request off with `error`: it refuses
/// connections now, or it has started anew.
pub(super) async fn crashed(front: &Front, runner: &Runner, error: &Error) -> bool {
    let broken = matches!(error, Error::Broken { .. } | Error::Cut { .. });
    if !broken || error.reach() == Reach::NotSent {
        return false;
    }
    let connect = tokio::net::TcpStream::connect(runner.address);
    let refused = match tokio::time::timeout(CRASH_CHECK, connect).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    };
    let crashed = refused || restarted(runner).await;
    if crashed {
        let now = front.shared.clock.now();
        front.shared.trials.restarted(now, &runner.pool, &runner.id);
        log::warn!(target: crate::journal::DECISION, upstream:% = runner.id; "upstream-crashed");
    }
    crashed
}

async fn restarted(runner: &Runner) -> bool {
    let known = runner.boot.load(Ordering::Relaxed);
    match tokio::time::timeout(CRASH_CHECK, report(runner)).await {
        Ok(Ok(report)) => {
            runner.boot.store(report.start, Ordering::Relaxed);
            known != 0 && report.start != known
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Counts a whole answer.
pub(super) fn answered(front: &Front, runner: &Runner, trial: Trial, since: Time) {
    trial.finish();
    let now = front.shared.clock.now();
    let verdict = Verdict::Answered(now.saturating_sub(since));
    front
        .shared
        .trials
        .ended(now, &runner.pool, &runner.id, verdict);
}

/// Counts a failed attempt, and the crash of its upstream if it was one.
pub(super) async fn failed(front: &Front, runner: &Runner, trial: Trial, error: &Error) {
    if crashed(front, runner, error).await {
        trial.crash(&runner.id);
    }
    let now = front.shared.clock.now();
    front
        .shared
        .trials
        .ended(now, &runner.pool, &runner.id, verdict(error));
}

/// Returns how far an attempt had come that failed with `error`.
fn stage(error: &Error, passed_on: bool) -> Stage {
    match error {
        // The upstream said itself that it did not run the request.
        Error::Absent { .. } | Error::Leaving { .. } | Error::Full { .. } => Stage::Queued,
        _ if error.reach() == Reach::NotSent => Stage::Connecting,
        _ if passed_on => Stage::Body,
        Error::Cut { .. } | Error::Failed { .. } | Error::Large { .. } => Stage::Body,
        Error::Refused { .. } => Stage::Header,
        Error::Timeout {
            phase: Phase::Body, ..
        } => Stage::Body,
        _ => Stage::Written,
    }
}

/// Judges a failed attempt.
pub(super) fn judge(kind: Kind, error: &Error, passed_on: bool, late: bool) -> Failure {
    let stage = stage(error, passed_on);
    Failure {
        outcome: decide(kind, stage),
        stage,
        cause: if late { Cause::Deadline } else { Cause::Broken },
        retry_after: None,
    }
}

/// Returns what a failed attempt says of its upstream's health.
pub(super) fn verdict(error: &Error) -> Verdict {
    match error {
        Error::Absent { .. } | Error::Leaving { .. } | Error::Invalid { .. } => Verdict::Neutral,
        Error::Full { .. } => Verdict::Overloaded,
        Error::Refused { status, .. } if *status < 500 => Verdict::Neutral,
        Error::Refused {
            status: 503 | 429, ..
        } => Verdict::Overloaded,
        _ => Verdict::Failed,
    }
}

/// Tells whether another attempt would fail for the same reason.
pub(super) fn permanent(error: &Error) -> bool {
    match error {
        Error::Refused { status, .. } => *status < 500 && *status != 429,
        Error::Invalid { .. } | Error::Large { .. } => true,
        _ => false,
    }
}

/// Returns the outcome in the form of a problem.
pub(super) fn into_outcome(outcome: dispatch::Outcome) -> Outcome {
    match outcome {
        dispatch::Outcome::NotRun => Outcome::NotRun,
        dispatch::Outcome::Unknown => Outcome::Unknown,
        dispatch::Outcome::Answered | dispatch::Outcome::Failed => Outcome::Failed,
    }
}

/// Returns whether `deadline` has passed.
pub(super) fn late(front: &Front, deadline: Time) -> bool {
    front.shared.clock.now() >= deadline
}
