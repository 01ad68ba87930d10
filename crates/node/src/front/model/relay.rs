//! Passes the answer to a completion on to its caller.

use bytes::{Bytes, BytesMut};
use hyper::Response;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use upstream::Error;
use upstream::engine::{Answer, Event};

use crate::front::handler::json;
use crate::front::reply::{Writer, broken};
use crate::front::{Body, Problem, Sender, Unsent};

use super::job::{Job, Running};

/// How far a chunk has brought the answer.
enum Written {
    More,
    Whole,
    Broken(Error),
}

impl Job {
    /// Answers as a stream. The head is sent once the first attempt has begun, so that a request
    /// which did not run is refused with a status of its own.
    pub(super) async fn stream(mut self) -> Result<Response<Body>, Problem> {
        let running = self.begin().await?;
        let (sender, body) = Body::stream();
        let flight = self.front.shared.enter();
        tokio::spawn(async move {
            self.pump(running, &sender).await;
            drop((self, flight));
        });
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        Ok(response)
    }

    /// Answers with one document.
    pub(super) async fn collect(mut self) -> Result<Response<Body>, Problem> {
        let mut running = self.begin().await?;
        let mut text = String::new();
        loop {
            match self.next(&mut running).await {
                Ok(Event::Open) => {}
                Ok(Event::Token { text: token, .. }) => {
                    self.count_token();
                    text.push_str(&token);
                }
                Ok(Event::End { tokens, reason }) => {
                    self.finish(running);
                    return Ok(json(self.writer.document(&text, &reason, tokens)));
                }
                Err(error) => running = self.resume(running, error).await?,
            }
        }
    }

    /// Passes the answer on until it is whole, cannot become whole, or the caller is gone.
    async fn pump(&mut self, mut running: Running, sender: &Sender) {
        loop {
            let event = tokio::select! {
                event = self.next(&mut running) => event,
                () = sender.closed() => return self.abandon(running),
            };
            let mut chunk = Writer::buffer();
            let passed = match self.write(&mut running, event, &mut chunk) {
                Written::More => self.pass(sender, chunk.freeze()).await,
                Written::Whole => {
                    self.finish(running);
                    // A caller that went away at the very end has had its whole answer made.
                    let _ = sender.send(chunk.freeze()).await;
                    return sender.finish().await;
                }
                Written::Broken(error) => {
                    let passed = self.pass(sender, chunk.freeze()).await;
                    let resumed = tokio::select! {
                        biased;
                        () = sender.closed() => None,
                        resumed = self.resume(running, error) => Some(resumed),
                    };
                    match resumed {
                        Some(Ok(next)) => running = next,
                        Some(Err(problem)) => {
                            let _ = sender.send(broken(&problem)).await;
                            return;
                        }
                        None => return self.leave(),
                    }
                    passed
                }
            };
            if !passed {
                return self.abandon(running);
            }
        }
    }

    /// Writes an event, and those that have come with it, into one chunk.
    fn write(
        &mut self,
        running: &mut Running,
        event: Result<Event, Error>,
        chunk: &mut BytesMut,
    ) -> Written {
        let mut next = Some(event);
        while let Some(event) = next {
            match event {
                Ok(Event::Open) => {}
                Ok(Event::Token { text, .. }) => {
                    self.count_token();
                    self.writer.token(chunk, &text);
                }
                Ok(Event::End { reason, .. }) => {
                    self.writer.end(chunk, &reason);
                    return Written::Whole;
                }
                Err(error) => return Written::Broken(error),
            }
            next = running.answer.ready();
        }
        Written::More
    }

    /// Passes a chunk on; `false` where the caller is gone or takes nothing for too long.
    async fn pass(&self, sender: &Sender, chunk: Bytes) -> bool {
        if chunk.is_empty() {
            return true;
        }
        match sender.try_send(chunk) {
            Ok(()) => true,
            Err(Unsent::Full(chunk)) => {
                let limit = self.front.shared.settings.time.idle;
                matches!(
                    tokio::time::timeout(limit, sender.send(chunk)).await,
                    Ok(Ok(()))
                )
            }
            Err(Unsent::Closed) => false,
        }
    }

    async fn next(&mut self, running: &mut Running) -> Result<Event, Error> {
        let cut = |cause: &str| Error::Cut {
            upstream: running.runner.id.clone(),
            offset: self.offset,
            cause: cause.to_owned(),
        };
        tokio::select! {
            event = running.answer.next() => match event {
                Ok(Some(event)) => Ok(event),
                Ok(None) => Err(cut("the stream ended early")),
                Err(error) => Err(error),
            },
            () = self.expiry.as_mut() => Err(cut("the request's time is up")),
        }
    }
}
