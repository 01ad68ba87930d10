//! A caller of the system, which records what it asked and got in the form that the checker reads.
//!
//! It sends each request once, over a connection of its own, and never repeats one by itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::http::HeaderMap;
use hyper::{Request, Response};
use serde::Deserialize;
use serde_json::json;
use tokio::time::{error::Elapsed, timeout};
use upstream::link::{Body, Call, Class, Host, Link, Reuse};
use upstream::sse::Parser;
use upstream::{Error, Limits, Reach, header};
use wire::rank;

use crate::checker::{Ask, Outcome, What};
use crate::log::now_us;

/// Header that names a request's priority.
pub const PRIORITY: &str = "x-priority";

/// Media type of the system's refusals (RFC 9457).
const PROBLEM: &str = "application/problem+json";

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// A caller. Clones number their requests together.
#[derive(Clone, Debug)]
pub struct Caller {
    name: String,
    headers: HeaderMap,
    limit: Duration,
    requests: Arc<AtomicU64>,
}

/// An entry address of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The node's name.
    pub node: String,
    /// Where it listens for callers.
    pub address: SocketAddr,
}

/// The system's refusal, as far as it is read.
#[derive(Deserialize)]
struct Problem {
    outcome: Option<String>,
}

/// A streamed chunk, as far as it is read.
#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
}

/// A chunk's one choice.
#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
}

impl Caller {
    /// Makes a caller that sends `headers` with each request and waits up to `limit` for each
    /// whole answer.
    pub fn new(name: impl Into<String>, headers: HeaderMap, limit: Duration) -> Self {
        Self {
            name: name.into(),
            headers,
            limit,
            requests: Arc::default(),
        }
    }

    /// Sends `what` to `entry` and returns what came of it.
    pub async fn ask(&self, entry: &Entry, what: What) -> Ask {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let at_us = now_us();
        // The time tells requests of callers with the same name in different processes apart.
        let request = format!("{}-{at_us:x}-{number}", self.name);
        let outcome = self.outcome(entry, &request, &what).await;
        Ask {
            request,
            caller: self.name.clone(),
            node: entry.node.clone(),
            at_us,
            until_us: now_us(),
            what,
            outcome,
        }
    }

    async fn outcome(&self, entry: &Entry, request: &str, what: &What) -> Outcome {
        let Some(built) = self.build(request, what) else {
            return Outcome::Dropped;
        };
        let limits = Limits {
            head: self.limit,
            body: self.limit,
            ..Limits::default()
        };
        let link = Link::new(&*entry.node, entry.address, limits);
        let call = Call {
            class: Class::Ordinary,
            reuse: Reuse::Fresh,
            host: Host::Upstream,
            head: None,
            request: built,
        };
        let mut text = String::new();
        let read = async {
            let response = link.send(call).await?;
            read(response, what, &mut text).await
        };
        settle(timeout(self.limit, read).await, text)
    }

    fn build(&self, request: &str, what: &What) -> Option<Request<Full<Bytes>>> {
        let mut builder = match what {
            What::Completion { priority, .. } => {
                Request::post("/v1/completions").header(PRIORITY, priority.name())
            }
            What::Call { method, path, .. } => Request::builder().method(&**method).uri(path),
        };
        builder = builder
            .header(header::REQUEST, request)
            .header(header::CALLER, &self.name);
        if let What::Call { key: Some(key), .. } = what {
            builder = builder.header(header::KEY, key);
        }
        let mut built = builder.body(Full::from(body(what))).ok()?;
        built.headers_mut().extend(self.headers.clone());
        Some(built)
    }
}

/// Returns a key that no other call of `caller` uses: `number` is the caller's to count.
pub fn key(caller: &str, number: u64) -> String {
    format!("{:016x}", rank::hash(format!("{caller}/{number}")))
}

fn body(what: &What) -> String {
    match what {
        What::Completion {
            model,
            prompt,
            tokens,
            ..
        } => json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true })
            .to_string(),
        What::Call { body, .. } => body.clone(),
    }
}

/// Reads an answer; text that came before an error stays in `text`.
async fn read(response: Response<Body>, what: &What, text: &mut String) -> Result<Outcome, Error> {
    let media = response.headers().get(CONTENT_TYPE);
    if media.is_some_and(|media| media.as_bytes().starts_with(PROBLEM.as_bytes())) {
        let whole = response.into_body().collect().await?;
        return Ok(refusal(&whole));
    }
    match what {
        What::Completion { .. } => stream(response.into_body(), text).await,
        What::Call { .. } => {
            let mut body = response.into_body();
            while let Some(part) = body.next().await? {
                text.push_str(&String::from_utf8_lossy(&part));
            }
            Ok(Outcome::Answered(std::mem::take(text)))
        }
    }
}

async fn stream(mut body: Body, text: &mut String) -> Result<Outcome, Error> {
    let mut parser = Parser::default();
    while let Some(part) = body.next().await? {
        if parser.push(&part).is_err() {
            break;
        }
        while let Some(data) = parser.next_event() {
            if data == DONE {
                return Ok(Outcome::Answered(std::mem::take(text)));
            }
            // An event that reports an error has no choices; the stream then ends without DONE.
            if let Ok(chunk) = serde_json::from_str::<Chunk>(&data) {
                text.extend(chunk.choices.into_iter().map(|choice| choice.text));
            }
        }
    }
    Ok(Outcome::Cut(std::mem::take(text)))
}

fn refusal(body: &[u8]) -> Outcome {
    let problem = serde_json::from_slice::<Problem>(body).ok();
    match problem.and_then(|problem| problem.outcome).as_deref() {
        Some("not-run") => Outcome::NotRun,
        Some("failed") => Outcome::Failed,
        // A refusal that says nothing leaves it open.
        _ => Outcome::Unknown,
    }
}

fn settle(read: Result<Result<Outcome, Error>, Elapsed>, text: String) -> Outcome {
    match read {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(error)) if error.reach() == Reach::NotSent => Outcome::Unreached,
        Ok(Err(_)) | Err(_) if text.is_empty() => Outcome::Dropped,
        Ok(Err(_)) | Err(_) => Outcome::Cut(text),
    }
}
