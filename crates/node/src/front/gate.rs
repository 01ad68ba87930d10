//! What every request passes on its way, whatever its kind: admission, the search for requests
//! that crash upstreams, and the judgement of failed attempts.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dispatch::health::AttemptResult;
use dispatch::outcome::{Cause, Kind, Stage, decide};
use dispatch::poison::{self, Fingerprint};
use dispatch::retry::Failure;
use hyper::StatusCode;
use upstream::relay::Verdict;
use upstream::{Error, Phase, Reach};
use wire::{Priority, Request, Time, Upstream};

use super::identity::Identity;
use super::{Outcome, Problem};
use crate::core::{Admitted, Handle, Input, Vetted};
use crate::directory::{Link, Runner};
use crate::front::Front;
use crate::paths::show_upstreams;
use crate::shared::Shared;

/// Limit for the question which process runs, before the first request to it; several round trips.
const BOOT_LIMIT: Duration = Duration::from_millis(200);

/// Limit for one look at an upstream that may have crashed.
const CRASH_CHECK: Duration = Duration::from_millis(500);

/// Pause between two askings for the report of an upstream that may have crashed.
const CRASH_PAUSE: Duration = Duration::from_millis(50);

/// Time without a report after which an engine that broke an attempt off counts as crashed.
const CRASH_DECISION: Duration = Duration::from_secs(2);

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
    rules: &rules::RuleSet,
    identity: &Identity,
    pool: &Arc<str>,
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
    print: Fingerprint,
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

/// Asks the engine for its start number, where it is not known yet, to recognize a crash by.
pub(super) async fn know_boot(runner: &Runner) {
    if runner.boot.load(Ordering::Relaxed) != 0 {
        return;
    }
    if let Ok(Ok(start)) = tokio::time::timeout(BOOT_LIMIT, runner.start()).await {
        let boot = &runner.boot;
        let _ = boot.compare_exchange(0, start, Ordering::Relaxed, Ordering::Relaxed);
    }
}

/// Whether an upstream crashed under an attempt.
enum Fate {
    /// It runs on, or it cannot be told.
    Alive,
    /// It crashed; the number of its new start where it has told.
    Crashed(Option<u64>),
}

/// Tells whether an upstream has crashed that broke an attempt off.
///
/// A refused connection is a crash, unless a peer reaches the upstream or this node reaches none.
/// An engine of which no process was known did not answer before the request either: it is this node that
/// did not reach it. Otherwise an engine has to say so: the same start number is none, another one is a crash,
/// and so is silence up to [`CRASH_DECISION`]. A proxy or a VM that hangs hides a refused connection, and a
/// restart takes its time.
async fn fate(shared: &Shared, runner: &Runner) -> Fate {
    let known = runner.boot.load(Ordering::Relaxed);
    let tells_start = matches!(runner.link, Link::Engine(_));
    if tells_start && known == 0 {
        return Fate::Alive;
    }
    show_upstreams(shared);
    let router = &shared.router;
    if router.check(&runner.id, runner.address).await == Verdict::Refused {
        return Fate::Crashed(None);
    }
    if !tells_start {
        return Fate::Alive;
    }
    let reported = async {
        loop {
            if let Ok(Ok(start)) = tokio::time::timeout(CRASH_CHECK, runner.start()).await {
                return start;
            }
            tokio::time::sleep(CRASH_PAUSE).await;
        }
    };
    let reported = tokio::time::timeout(CRASH_DECISION, reported).await;
    match reported {
        Ok(start) if start == known => Fate::Alive,
        Ok(start) => Fate::Crashed(Some(start)),
        Err(_) if router.is_apart(&runner.id).await => Fate::Alive,
        Err(_) => Fate::Crashed(None),
    }
}

/// Tells whether a crash may be the cause of `error`.
fn may_be_crash(error: &Error) -> bool {
    let lost = match error {
        Error::Broken { .. } | Error::Cut { .. } => true,
        Error::Timeout { phase, .. } => *phase != Phase::Connect,
        _ => false,
    };
    lost && error.reach() == Reach::MaybeSent
}

/// Counts a whole answer.
pub(super) fn answered(front: &Front, runner: &Runner, trial: Trial, since: Time) {
    trial.finish();
    let now = front.shared.clock.now();
    let verdict = AttemptResult::Answered(now.saturating_sub(since));
    front
        .shared
        .trials
        .ended(now, &runner.pool, &runner.id, verdict);
}

/// Counts a failed attempt, and the crash of its upstream if it was one.
///
/// Returns once that is decided, so that the request is not tried elsewhere before. It is decided
/// also where the caller goes away meanwhile, since a caller may send the request again.
pub(super) async fn failed(front: &Front, runner: &Runner, trial: Trial, error: &Error) {
    let now = front.shared.clock.now();
    // Told first: other requests are to avoid the upstream while this one is undecided.
    let (pool, id) = (&runner.pool, &runner.id);
    front.shared.trials.ended(now, pool, id, verdict(error));
    if let Error::Refused {
        pause: Some(pause), ..
    } = error
    {
        front.shared.trials.paused(now, pool, id, *pause);
    }
    if !may_be_crash(error) {
        return;
    }
    let (front, runner) = (front.clone(), runner.clone());
    let deciding = tokio::spawn(async move {
        let Fate::Crashed(start) = fate(&front.shared, &runner).await else {
            return;
        };
        let now = front.shared.clock.now();
        front.shared.trials.restarted(now, &runner.pool, &runner.id);
        log::warn!(target: crate::journal::DECISION, upstream:% = runner.id; "upstream-crashed");
        trial.crash(&runner.id);
        // Known last: until here, others that failed there recognize the crash as well. A number
        // that was not told is read anew, or the next broken connection would count as a crash.
        let known = runner.boot.swap(start.unwrap_or(0), Ordering::Relaxed);
        // Only the first of them finds the number.
        if start.is_none() && known != 0 {
            let doubted = poison::Event::Doubted {
                upstream: runner.id.clone(),
                process: known,
                since: now,
            };
            let doubted = logic::Event::Poison(doubted);
            front.core.send(Input::Logic(doubted));
        }
    });
    let _ = deciding.await;
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
pub(super) fn verdict(error: &Error) -> AttemptResult {
    match error {
        Error::Absent { .. }
        | Error::Leaving { .. }
        | Error::Withdrawn { .. }
        | Error::Invalid { .. } => AttemptResult::Neutral,
        Error::Full { .. } => AttemptResult::Overloaded,
        Error::Refused { status, .. } if *status < 500 => AttemptResult::Neutral,
        Error::Refused {
            status: 503 | 429, ..
        } => AttemptResult::Overloaded,
        _ => AttemptResult::Failed,
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
