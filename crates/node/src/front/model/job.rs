//! One completion on its way: admission, placing, attempts and their failures.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use dispatch::health::{Admission, AttemptResult};
use dispatch::outcome::Kind;
use dispatch::poison::{self, Fingerprint};
use dispatch::retry::{self, Progress, Retry};
use hyper::StatusCode;
use jiff::Timestamp;
use prometheus::Histogram;
use serde_json::{Map, Value};
use tokio::time::{Sleep, sleep_until};
use upstream::engine::{Completion, Stream};
use upstream::{Engine, Error};
use wire::{Model, Priority, Time, rank};

use super::Ask;
use crate::core::{Grant, Input, Placed, sign_leaving};
use crate::directory::{Flight, Runner};
use crate::front::gate::{self, Place, Trial};
use crate::front::handler::{Front, RETRY_ELSEWHERE};
use crate::front::identity::Identity;
use crate::front::reply::Writer;
use crate::front::{Caller, Outcome, Problem};
use crate::journal::DECISION;
use crate::shared::Rules;

/// Times that a request is placed anew because its grant came to nothing before it ran.
const PLACINGS_MAX: u32 = 8;

/// Tokens of a completion that names no limit.
const MAX_TOKENS: u32 = 256;

/// Characters of the prompt that count for prefix affinity.
const PREFIX_CHARS: usize = 256;

/// Kind of request in metrics.
const KIND: &str = "model";

/// One request.
pub(super) struct Job {
    pub(super) front: Front,
    /// Who waits for its answer.
    caller: Caller,
    /// Number of the present placing.
    pub(super) request: wire::Request,
    pub(super) name: String,
    pub(super) identity: Identity,
    pub(super) priority: Priority,
    pub(super) place: placement::event::Request,
    pub(super) prompt: String,
    pub(super) print: Fingerprint,
    pub(super) max_tokens: u32,
    pub(super) parameters: Map<String, Value>,
    pub(super) writer: Writer,
    pub(super) arrived: Time,
    /// Ends at the deadline.
    pub(super) expiry: Pin<Box<Sleep>>,
    pub(super) first_token: Histogram,
    pub(super) token_gap: Histogram,
    pub(super) retry: Retry,
    pub(super) attempts: u32,
    pub(super) placings: u32,
    /// Whether an attempt may have run.
    pub(super) ran: bool,
    /// Tokens that the caller already has.
    pub(super) offset: u64,
    /// Release of the engine that brought its first event, once another one has to go on: what two
    /// releases write does not fit together.
    began_at: Option<Option<Arc<str>>>,
    pub(super) last_token: Option<Time>,
    /// Whether placement knows the present number.
    pub(super) placed: bool,
    pub(super) over: bool,
    // Gives the place in admission back when the request ends.
    _admitted: Place,
}

/// How an attempt began.
enum Begun {
    Running(Box<Running>),
    /// The engine does not hold the instance, or the grant was used too late.
    Missing,
    /// The engine must not be used now.
    Elsewhere,
    Refused(Problem),
    Failed(Runner, Trial, Error),
}

/// An answer under way.
pub(super) struct Running {
    pub(super) answer: Stream,
    pub(super) runner: Runner,
    pub(super) trial: Trial,
    pub(super) since: Time,
    // Counts the call while the answer is read.
    _flight: Flight,
}

impl Job {
    /// Routes a request by the rules and waits for its admission.
    pub(super) async fn admit(
        front: &Front,
        rules: &Rules,
        caller: Caller,
        identity: Identity,
        ask: Ask,
        arrived: Time,
    ) -> Result<Self, Problem> {
        let choice = rules.set.route(&rules::RouteQuery {
            caller: &identity.caller,
            trade: &identity.trade,
            priority: identity.priority,
            model: ask.model.as_deref().filter(|model| !model.is_empty()),
            at: Timestamp::now(),
        });
        let choice =
            choice.map_err(|refusal| Problem::bad(StatusCode::FORBIDDEN, refusal.to_string()))?;
        let request = front.shared.next_request();
        let name = format!("{}-{request}", front.shared.me);
        log::info!(
            target: DECISION,
            request = name.as_str(), caller:% = identity.caller, rule:% = choice.rule,
            model:% = choice.model, priority:% = choice.priority, pool:% = choice.pool,
            revision = rules.revision;
            "route"
        );
        let admitted = gate::admit(
            front,
            &rules.set,
            &identity,
            choice.pool,
            choice.priority,
            request,
        )
        .await
        .inspect_err(|problem| {
            front
                .shared
                .metrics
                .ended(KIND, choice.priority, problem.outcome);
        })?;
        let config = front.shared.trials.config();
        let metrics = &front.shared.metrics;
        let (priority, deadline) = (choice.priority, identity.deadline);
        let place = placement::event::Request {
            id: request,
            model: choice.model.clone(),
            base: choice.base.clone(),
            pool: choice.pool.clone(),
            path: choice.path.clone(),
            priority: choice.priority,
            deadline: identity.deadline,
            prefix: Some(prefix_hash(&ask.prompt)),
            avoid: Vec::new(),
        };
        Ok(Self {
            front: front.clone(),
            caller,
            request,
            writer: Writer::new(name.clone(), choice.model),
            print: print_of(choice.model, &ask.prompt),
            retry: Retry::new(config, Kind::Stream, identity.deadline, request),
            name,
            priority: choice.priority,
            identity,
            place,
            prompt: ask.prompt,
            max_tokens: ask.max_tokens.unwrap_or(MAX_TOKENS),
            parameters: ask.parameters,
            arrived,
            expiry: Box::pin(sleep_until(front.shared.clock.instant(deadline))),
            first_token: metrics.first_token.with_label_values(&[priority.name()]),
            token_gap: metrics.token_gap.with_label_values(&[priority.name()]),
            attempts: 0,
            placings: 0,
            ran: false,
            offset: 0,
            began_at: None,
            last_token: None,
            placed: false,
            over: false,
            _admitted: admitted,
        })
    }

    /// Places the request and starts an attempt, as often as it takes and makes sense.
    pub(super) async fn begin(&mut self) -> Result<Running, Problem> {
        let mut grant = self.place().await?;
        loop {
            if self.caller.has_left() {
                return Err(self.abandoned());
            }
            match self.start(&grant).await {
                Begun::Running(running) => return Ok(*running),
                Begun::Missing => grant = self.place_again().await?,
                Begun::Elsewhere => {
                    self.release();
                    self.place.avoid.push(grant.upstream.clone());
                    grant = self.place().await?;
                }
                Begun::Refused(problem) => {
                    self.end(problem.outcome);
                    return Err(problem);
                }
                Begun::Failed(runner, trial, error) => {
                    self.after(&runner, trial, &error).await?;
                    grant = self.place().await?;
                }
            }
        }
    }

    /// Goes on after an attempt broke off.
    pub(super) async fn resume(
        &mut self,
        running: Running,
        error: Error,
    ) -> Result<Running, Problem> {
        let Running {
            answer,
            runner,
            trial,
            ..
        } = running;
        // The broken answer's connection is closed first, which cancels what is left of it.
        drop(answer);
        if self.offset > 0 {
            self.began_at.get_or_insert(runner.release.clone());
        }
        self.after(&runner, trial, &error).await?;
        self.begin().await
    }

    async fn place(&mut self) -> Result<Grant, Problem> {
        if self.placings > 0 {
            self.request = self.front.shared.next_request();
            self.place.id = self.request;
        }
        self.count_placing()?;
        let mut place = self.place.clone();
        place.avoid.extend(self.confinement().await);
        place.avoid.extend(self.other_releases());
        self.placed = true;
        let asked = self.front.shared.clock.now();
        let placed = self.front.core.place(place).await;
        self.take_placed(asked, placed)
    }

    async fn place_again(&mut self) -> Result<Grant, Problem> {
        self.count_placing()?;
        let asked = self.front.shared.clock.now();
        let placed = self.front.core.place_again(self.request).await;
        self.take_placed(asked, placed)
    }

    fn count_placing(&mut self) -> Result<(), Problem> {
        self.placings += 1;
        if self.placings > PLACINGS_MAX {
            let detail = "no grant could be used; see the nodes' logs";
            return Err(self.refusal(detail, RETRY_ELSEWHERE));
        }
        Ok(())
    }

    /// Returns the engines that must not go on with the stream, since another release began it.
    fn other_releases(&self) -> Vec<wire::Upstream> {
        let Some(began_at) = &self.began_at else {
            return Vec::new();
        };
        let directory = self.front.shared.directory.load();
        directory.other_releases(&self.place.pool, began_at.as_deref())
    }

    /// Returns the engines that a request must not use since it is suspected of crashing them.
    async fn confinement(&self) -> Vec<wire::Upstream> {
        let pool = self.front.shared.directory.load().pool(&self.place.pool);
        match self.front.core.confine(self.print, pool.clone()).await {
            Some(ward) => pool.into_iter().filter(|id| *id != ward).collect(),
            None => Vec::new(),
        }
    }

    fn take_placed(&mut self, asked: Time, placed: Option<Placed>) -> Result<Grant, Problem> {
        let metrics = &self.front.shared.metrics;
        let wait = self.front.shared.clock.now() - asked;
        match placed {
            Some(Placed::Granted(grant)) => {
                metrics.stall(self.priority, &self.place.pool, wait);
                log::info!(
                    target: DECISION,
                    request = self.name.as_str(), number = self.request, placing = self.placings,
                    upstream:% = grant.upstream, instance:% = grant.instance,
                    model:% = grant.model, lease = grant.lease, offset = self.offset,
                    queue_us = wait.as_micros() as u64;
                    "grant"
                );
                Ok(grant)
            }
            Some(Placed::Refused {
                reason,
                retry_after,
            }) => {
                self.placed = false;
                metrics.refused.with_label_values(&[reason.name()]).inc();
                Err(self.refusal(&reason.to_string(), retry_after))
            }
            None => Err(self.refusal("the node is stopping; ask another", Duration::ZERO)),
        }
    }

    /// A request of which an attempt may have run is not refused as one that has not.
    fn refusal(&mut self, detail: &str, retry_after: Duration) -> Problem {
        let outcome = if self.ran {
            Outcome::Failed
        } else {
            Outcome::NotRun
        };
        self.end(outcome);
        Problem::new(StatusCode::SERVICE_UNAVAILABLE, outcome, detail).after(retry_after)
    }

    async fn start(&mut self, grant: &Grant) -> Begun {
        let shared = self.front.shared.clone();
        if grant.model != self.place.model {
            return Begun::Missing;
        }
        let directory = shared.directory.load_full();
        let Some((runner, engine)) = directory.engine(&grant.upstream) else {
            return Begun::Elsewhere;
        };
        let now = shared.clock.now();
        if let Admission::Ejected(_) = shared.trials.admit(now, &runner.pool, &runner.id) {
            return Begun::Elsewhere;
        }
        gate::know_boot(runner).await;
        let core = &self.front.core;
        let trial = match gate::vet(core, self.request, self.print, &grant.upstream).await {
            gate::Next::Run(trial) => trial,
            gate::Next::Elsewhere => return Begun::Elsewhere,
            gate::Next::Refuse(problem) => return Begun::Refused(problem),
        };
        // Checked last: a grant that is used late names an instance that may be gone.
        let now = shared.clock.now();
        if now >= grant.until {
            return Begun::Missing;
        }
        self.count_attempt(now, runner);
        let flight = runner.enter();
        let wanted = || !self.caller.has_left() && shared.clock.now() < grant.until;
        match engine.complete_if(self.completion(grant), wanted).await {
            Ok(answer) => Begun::Running(Box::new(Running {
                answer,
                runner: runner.clone(),
                trial,
                since: now,
                _flight: flight,
            })),
            Err(Error::Absent { .. }) => {
                shared
                    .trials
                    .ended(now, &runner.pool, &runner.id, AttemptResult::Neutral);
                Begun::Missing
            }
            // The grant has ended meanwhile, or the caller has left.
            Err(Error::Withdrawn { .. }) => {
                shared
                    .trials
                    .ended(now, &runner.pool, &runner.id, AttemptResult::Neutral);
                Begun::Missing
            }
            // This node's own limit says nothing of the engine and costs no retry.
            Err(Error::Full { .. }) => {
                shared
                    .trials
                    .ended(now, &runner.pool, &runner.id, AttemptResult::Neutral);
                Begun::Elsewhere
            }
            Err(error) => Begun::Failed(runner.clone(), trial, error),
        }
    }

    fn count_attempt(&mut self, now: Time, runner: &Runner) {
        let trials = &self.front.shared.trials;
        self.attempts += 1;
        self.retry.start_attempt(now);
        if self.attempts == 1 {
            trials.deposit(&self.identity.caller, &runner.id);
        }
        trials.started(now, &runner.pool, &runner.id);
    }

    fn completion(&self, grant: &Grant) -> Completion {
        Completion {
            instance: grant.instance.clone(),
            prompt: self.prompt.clone(),
            max_tokens: self.max_tokens,
            priority: self.priority,
            attempt: Arc::from(format!("{}-{}", self.name, self.attempts)),
            caller: self.identity.caller.clone(),
            offset: self.offset,
            parameters: self.parameters.clone(),
        }
    }

    /// Decides what follows from a failed attempt and waits until it is due.
    async fn after(&mut self, runner: &Runner, trial: Trial, error: &Error) -> Result<(), Problem> {
        log::info!(
            target: DECISION,
            request = self.name.as_str(), attempt = self.attempts, upstream:% = runner.id,
            offset = self.offset, reason:% = error;
            "attempt-failed"
        );
        self.release();
        if matches!(error, Error::Leaving { .. }) {
            sign_leaving(&self.front.core, &runner.id, roster::Source::Refusal);
        }
        gate::failed(&self.front, runner, trial, error).await;
        self.place.avoid.push(runner.id.clone());
        let shared = self.front.shared.clone();
        let now = shared.clock.now();
        let late = gate::late(&self.front, self.identity.deadline);
        let failure = gate::judge(Kind::Stream, error, self.offset > 0, late);
        self.ran |= failure.outcome != dispatch::Outcome::NotRun;
        if gate::permanent(error) {
            return Err(self.failed(gate::into_outcome(failure.outcome), None, error));
        }
        let progress = Progress {
            model: Some(self.place.model.clone()),
            tokens: self.offset,
            resumable: true,
        };
        let caller = &self.identity.caller;
        let next = shared.trials.next(
            now,
            &mut self.retry,
            &failure,
            &progress,
            caller,
            &runner.id,
        );
        match next {
            retry::Next::Retry { at } | retry::Next::Resume { at, .. } => {
                tokio::time::sleep_until(shared.clock.instant(at)).await;
                Ok(())
            }
            retry::Next::Stop {
                outcome,
                reason: why,
                retry_after,
            } => {
                log::info!(target: DECISION, request = self.name.as_str(), why:?; "no-retry");
                Err(self.failed(gate::into_outcome(outcome), retry_after, error))
            }
        }
    }

    /// Ends a request whose caller has left before it was sent. Nobody reads the problem.
    fn abandoned(&mut self) -> Problem {
        log::info!(target: DECISION, request = self.name.as_str(), reason = "caller-gone"; "cancel");
        self.refusal(
            "the caller has left; nothing is sent for it any more",
            Duration::ZERO,
        )
    }

    fn failed(
        &mut self,
        outcome: Outcome,
        retry_after: Option<Duration>,
        error: &Error,
    ) -> Problem {
        let outcome = if self.ran { Outcome::Failed } else { outcome };
        self.end(outcome);
        let mut problem = Problem::new(StatusCode::BAD_GATEWAY, outcome, error.to_string());
        problem.retry_after = retry_after;
        problem
    }

    pub(super) fn count_token(&mut self) {
        let now = self.front.shared.clock.now();
        match self.last_token.replace(now) {
            None => self.first_token.observe((now - self.arrived).as_secs_f64()),
            Some(last) => self.token_gap.observe((now - last).as_secs_f64()),
        }
        self.front.shared.metrics.tokens.inc();
        self.offset += 1;
    }

    /// Gives the lease of the present placing back.
    fn release(&mut self) {
        if std::mem::take(&mut self.placed) {
            let done = placement::Event::Done {
                request: self.request,
            };
            self.front
                .core
                .send(Input::Logic(logic::Event::Placement(done)));
        }
    }

    pub(super) fn finish(&mut self, running: Running) {
        let Running {
            runner,
            trial,
            since,
            ..
        } = running;
        gate::answered(&self.front, &runner, trial, since);
        let shared = self.front.shared.clone();
        self.release();
        self.over = true;
        shared.metrics.answered(KIND, self.priority);
        log::info!(
            target: DECISION,
            request = self.name.as_str(), outcome = "answered", tokens = self.offset,
            attempts = self.attempts;
            "end"
        );
    }

    pub(super) fn abandon(&mut self, running: Running) {
        let shared = self.front.shared.clone();
        let runner = &running.runner;
        shared.trials.ended(
            shared.clock.now(),
            &runner.pool,
            &runner.id,
            AttemptResult::Neutral,
        );
        self.leave();
    }

    /// Ends a stream whose caller has left.
    pub(super) fn leave(&mut self) {
        log::info!(target: DECISION, request = self.name.as_str(), reason = "caller-gone"; "cancel");
        self.end(Outcome::Failed);
    }

    fn end(&mut self, outcome: Outcome) {
        self.release();
        self.over = true;
        self.front
            .shared
            .metrics
            .ended(KIND, self.priority, outcome);
        log::info!(
            target: DECISION,
            request = self.name.as_str(), outcome = outcome.name(), attempts = self.attempts;
            "end"
        );
    }
}

impl Drop for Job {
    /// Gives the lease back where the caller went away while the request was placed or collected.
    fn drop(&mut self) {
        if !self.over && self.placed {
            let cancel = placement::Event::Cancel {
                request: self.request,
            };
            self.front
                .core
                .send(Input::Logic(logic::Event::Placement(cancel)));
        }
    }
}

fn prefix_hash(prompt: &str) -> u64 {
    let end = prompt
        .char_indices()
        .nth(PREFIX_CHARS)
        .map_or(prompt.len(), |(index, _)| index);
    rank::hash(&prompt[..end])
}

fn print_of(model: &Model, prompt: &str) -> Fingerprint {
    poison::fingerprint([model.to_string().as_bytes(), prompt.as_bytes()])
}
