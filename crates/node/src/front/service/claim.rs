//! Calls that may not be repeated and carry an idempotency key.

use dispatch::outcome::Kind;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use once::ledger::Ending;
use once::{CallRecord, Digest, Key};
use upstream::Reach;
use upstream::link::Reuse;

use super::job::{Answer, Job, KIND, Sent};
use crate::core::Ruling;
use crate::front::gate;
use crate::front::{Body, Outcome, Problem};

/// Header that tells that an answer is the first one of an earlier attempt.
const REPLAYED: &str = "x-replayed";

impl Job {
    /// Runs a call under a claim, in a task that outlives the caller's connection.
    pub(super) async fn run_claimed(self, key: Key) -> Result<Response<Body>, Problem> {
        let front = self.front.clone();
        let flight = front.shared.enter();
        let task = tokio::spawn(async move {
            let result = self.claim(key).await;
            drop(flight);
            result
        });
        task.await.unwrap_or_else(|_| {
            let detail = "the call's task broke down; send the same key again to learn its outcome";
            Err(Problem::new(
                StatusCode::INTERNAL_SERVER_ERROR,
                Outcome::Unknown,
                detail,
            ))
        })
    }

    async fn claim(self, key: Key) -> Result<Response<Body>, Problem> {
        let path = self.path();
        let parts = [
            self.head.method.as_str().as_bytes(),
            path.as_bytes(),
            &self.body,
        ];
        let event = once::Event::Begin {
            request: self.request,
            key,
            body: Digest::new(parts),
            deadline: self.identity.deadline,
        };
        let mut rulings = self.front.core.begin(event);
        let request = self.request;
        let (mut executed, mut abandoned) = (false, false);
        loop {
            let ruling = tokio::select! {
                biased;
                () = self.caller.left(), if !executed && !abandoned => {
                    // What was not sent is not needed any more.
                    abandoned = true;
                    self.tell(once::Event::Abandon { request });
                    continue;
                }
                ruling = rulings.recv() => ruling,
            };
            match ruling {
                Some(Ruling::Execute) => {
                    executed = true;
                    self.execute().await;
                }
                Some(Ruling::Answer(record)) => return Ok(self.replay(record, !executed)),
                Some(Ruling::Refuse {
                    outcome,
                    reason,
                    retry_after,
                }) => {
                    return Err(self.refused(outcome, reason, retry_after));
                }
                None => {
                    let outcome = if executed {
                        Outcome::Unknown
                    } else {
                        Outcome::NotRun
                    };
                    let detail = "the node is stopping; send the same key to another node";
                    return Err(self.problem(outcome, detail));
                }
            }
        }
    }

    /// Sends a claimed call and tells the core how it ended. The permit is given once; until a byte
    /// is written, the call may move to another upstream.
    async fn execute(&self) {
        let request = self.request;
        if !self.front.core.permit(request).await {
            return self.tell(once::Event::Abandon { request });
        }
        let mut retry = self.retry(Kind::Once);
        let mut avoid = Vec::new();
        loop {
            let record = match self.attempt(&mut retry, &mut avoid, Reuse::Fresh).await {
                Sent::Answer(answer) => self.record(*answer).await,
                Sent::None | Sent::CallerLeft | Sent::Refused(_) => {
                    return self.tell(once::Event::Abandon { request });
                }
                Sent::Failed(_, error) if error.reach() == Reach::MaybeSent => {
                    unknown_record(&error.to_string())
                }
                Sent::Failed(runner, error) => {
                    let next = self
                        .next(&mut retry, Kind::Once, &runner, &error, false)
                        .await;
                    if next.is_err() {
                        return self.tell(once::Event::Abandon { request });
                    }
                    continue;
                }
            };
            return self.tell(once::Event::Finished { request, record });
        }
    }

    fn tell(&self, event: once::Event) {
        self.front
            .core
            .send(crate::core::Input::Logic(logic::Event::Once(event)));
    }

    /// Reads a claimed call's whole answer, which becomes the record for its retries.
    async fn record(&self, answer: Answer) -> CallRecord {
        let Answer {
            head,
            body,
            runner,
            trial,
            since,
            flight,
        } = answer;
        let bytes = match body.collect().await {
            Ok(bytes) => bytes,
            Err(error) => {
                self.note_failure(&runner, trial, &error).await;
                return unknown_record(&error.to_string());
            }
        };
        drop(flight);
        gate::answered(&self.front, &runner, trial, since);
        let failed = head.status.is_server_error();
        CallRecord {
            ending: if failed {
                Ending::Failed
            } else {
                Ending::Answered
            },
            status: head.status.as_u16(),
            content_type: media_of(&head.headers),
            body: Some(bytes.into()),
        }
    }

    fn replay(&self, record: CallRecord, replayed: bool) -> Response<Body> {
        let outcome = match record.ending {
            Ending::Answered | Ending::Failed => None,
            Ending::Unknown => Some(Outcome::Unknown),
        };
        if let Some(outcome) = outcome {
            let detail = "the call may have run; ask the service before making a new call";
            return self.problem(outcome, detail).into_response();
        }
        self.count_answer();
        let whole = record.body.is_some();
        let mut response = Response::new(Body::full(record.body.unwrap_or_default()));
        let status = StatusCode::from_u16(record.status).unwrap_or(StatusCode::OK);
        *response.status_mut() = status;
        let headers = response.headers_mut();
        if let Ok(media) = HeaderValue::from_str(&record.content_type) {
            headers.insert(CONTENT_TYPE, media);
        }
        if replayed {
            let how = if whole { "whole" } else { "without-body" };
            headers.insert(REPLAYED, HeaderValue::from_static(how));
        }
        response
    }

    fn refused(
        &self,
        outcome: once::Outcome,
        reason: once::Reason,
        retry_after: Option<std::time::Duration>,
    ) -> Problem {
        let detail = format!("{}; {}", reason_text(reason), remedy(outcome));
        let mut problem = match outcome {
            once::Outcome::NotRun => self.problem(Outcome::NotRun, &detail),
            once::Outcome::Unknown => self.problem(Outcome::Unknown, &detail),
            once::Outcome::Mismatch => {
                self.front
                    .shared
                    .metrics
                    .ended(KIND, self.identity.priority, Outcome::NotRun);
                Problem::bad(StatusCode::UNPROCESSABLE_ENTITY, detail)
            }
        };
        problem.retry_after = retry_after;
        problem
    }
}

fn media_of(headers: &HeaderMap) -> String {
    let media = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    media.unwrap_or("application/octet-stream").to_owned()
}

fn unknown_record(cause: &str) -> CallRecord {
    log::info!("a call that may not be repeated ended without an answer: {cause}");
    CallRecord {
        ending: Ending::Unknown,
        status: 0,
        content_type: String::new(),
        body: None,
    }
}

fn reason_text(reason: once::Reason) -> &'static str {
    use once::Reason::{
        Abandoned, Body, Deadline, Ended, Fenced, Gone, Quarantine, Quorum, Voided,
    };
    match reason {
        Abandoned => "no upstream could be reached in time",
        Voided => "an earlier attempt of this key was given up before it ran",
        Body => "the key was used with another request",
        Quorum => "too few witnesses answered",
        Gone => "the process that ran the call is gone",
        Deadline => "the call takes longer than the time limit",
        Quarantine => "the key may be older than the witnesses' memory",
        Fenced => "the witnesses have not heard from the platform for too long",
        Ended => "the call ended without a known result",
    }
}

fn remedy(outcome: once::Outcome) -> &'static str {
    match outcome {
        once::Outcome::NotRun => "send it again with the same key",
        once::Outcome::Unknown => "send the same key again, or ask the service what became of it",
        once::Outcome::Mismatch => "use a new key for a new call",
    }
}
