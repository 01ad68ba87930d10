//! Sends one completion and checks its answer.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Request, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;
use upstream::sse::Parser;

use super::{Config, Planned, Target};
use crate::client;

/// What came of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The whole answer came.
    Whole {
        /// From when the request was due to its first token.
        first: Duration,
        /// Times between tokens.
        gaps: Vec<Duration>,
    },
    /// The request was refused with this outcome.
    Refused(String),
    /// The answer ended before its last event.
    Cut,
    /// The answer is not this request's.
    Wrong,
    /// No answer came in time, or no connection.
    Lost,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    text: std::borrow::Cow<'a, str>,
}

/// Sends the request when it is due and reads its answer to the end.
pub async fn run_request(
    config: &Config,
    address: SocketAddr,
    number: usize,
    planned: &Planned,
    begun: Instant,
) -> Answer {
    let due = begun + planned.at;
    let ask = ask(config, address, number, planned, due);
    tokio::time::timeout_at(due + config.timeout, ask)
        .await
        .unwrap_or(Answer::Lost)
}

async fn ask(
    config: &Config,
    address: SocketAddr,
    number: usize,
    planned: &Planned,
    due: Instant,
) -> Answer {
    let model = match &config.target {
        Target::Nodes(_) => &planned.model,
        Target::Engine(_, instance) => instance,
    };
    let body = json!({
        "model": model,
        "prompt": planned.prompt,
        "max_tokens": planned.tokens,
        "stream": true,
    });
    let request = Request::post("/v1/completions")
        .header("x-priority", planned.priority.name())
        .header("x-timeout-ms", config.timeout.as_millis().to_string())
        .header(upstream::header::ATTEMPT, format!("load-{number}"))
        .header(upstream::header::REQUEST, format!("load-{number}"));
    let request = config.caller.apply(request);
    let Ok(response) = client::open(address, request, body.to_string()).await else {
        return Answer::Lost;
    };
    if response.status() != StatusCode::OK {
        let outcome = response
            .headers()
            .get("x-outcome")
            .and_then(|value| value.to_str().ok());
        return Answer::Refused(outcome.unwrap_or(response.status().as_str()).to_owned());
    }
    let mut body = response.into_body();
    let mut reading = Reading {
        parser: Parser::default(),
        due,
        last: None,
        gaps: Vec::new(),
        first: Duration::ZERO,
        text: String::new(),
    };
    while let Some(frame) = body.frame().await {
        let Some(data) = frame.ok().and_then(|frame| frame.into_data().ok()) else {
            return Answer::Cut;
        };
        match reading.take(&data) {
            State::More => {}
            State::Whole => return reading.judge(config, planned),
            State::Broken => return Answer::Cut,
        }
    }
    Answer::Cut
}

enum State {
    More,
    Whole,
    Broken,
}

/// An answer as far as it has come.
struct Reading {
    parser: Parser,
    due: Instant,
    last: Option<Instant>,
    first: Duration,
    gaps: Vec<Duration>,
    text: String,
}

impl Reading {
    fn take(&mut self, data: &[u8]) -> State {
        if self.parser.push(data).is_err() {
            return State::Broken;
        }
        while let Some(event) = self.parser.next_event() {
            if event == "[DONE]" {
                return State::Whole;
            }
            let Ok(chunk) = serde_json::from_str::<Chunk<'_>>(&event) else {
                return State::Broken;
            };
            let text = chunk.choices.first().map_or("", |choice| &choice.text);
            if !text.is_empty() {
                self.text.push_str(text);
                self.count_token();
            }
        }
        State::More
    }

    fn count_token(&mut self) {
        let now = Instant::now();
        match self.last.replace(now) {
            None => self.first = now - self.due,
            Some(last) => self.gaps.push(now - last),
        }
    }

    fn judge(self, config: &Config, planned: &Planned) -> Answer {
        let model = match &config.target {
            Target::Nodes(_) => planned.model.as_str(),
            Target::Engine(_, instance) => instance.as_str(),
        };
        let expected = standin::answer::text(model, &planned.prompt, planned.tokens);
        if config.verify && self.text != expected {
            return Answer::Wrong;
        }
        Answer::Whole {
            first: self.first,
            gaps: self.gaps,
        }
    }
}
