//! Relays an event stream, and takes it to another engine where one breaks off.

use std::time::Duration;

use bytes::Bytes;
use exchange::fleet::AttemptResult;
use exchange::outcome::Execution;
use exchange::relay::Cursor;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use log::info;
use node::front::{Body, Sender};
use node::journal::DECISION;

use super::attempt::{Next, Open, SILENT, Tried};
use super::job::Job;
use super::place::Placed;
use crate::dialect::Dialect;

/// Time in which events that were passed on are written to the caller: a body that ends with an error
/// closes the connection together with what is not written yet.
const FLUSH_TIME: Duration = Duration::from_millis(10);

/// How a run of a stream ended.
enum Run {
    /// The stream is whole.
    Whole,
    /// The caller has left.
    Left,
    /// The upstream broke the run off.
    Cut,
    /// The run is given up, for this reason.
    Broken(&'static str),
}

impl Run {
    /// Returns the reason why it goes on nowhere, as used in logs.
    const fn reason(&self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Left => "caller-left",
            Self::Cut => "cut",
            Self::Broken(reason) => reason,
        }
    }
}

impl<D: Dialect> Job<D> {
    /// Answers with the events of `open`, and of further runs where it breaks off.
    pub(super) fn relay(mut self, mut open: Open<D>, cursor: Cursor) -> Response<Body> {
        let (sender, body) = Body::stream();
        let mut response = Response::new(body);
        *response.status_mut() = open.status;
        let mut headers = std::mem::take(&mut open.headers);
        headers.remove(CONTENT_LENGTH);
        *response.headers_mut() = headers;
        let flight = self.hub.enter();
        tokio::spawn(async move {
            self.pump(open, cursor, &sender).await;
            drop(flight);
        });
        response
    }

    async fn pump(&mut self, mut open: Open<D>, mut cursor: Cursor, sender: &Sender) {
        loop {
            let run = self.run_on(&mut open, &mut cursor, sender).await;
            match run {
                Run::Whole => {
                    open.visit.set_whole();
                    open.visit.end(AttemptResult::Success);
                    self.end(200, "answered");
                    return sender.finish().await;
                }
                Run::Left => return,
                Run::Cut | Run::Broken(_) => {
                    let reason = run.reason();
                    match run {
                        Run::Cut => open.visit.break_off(&self.features).await,
                        Run::Broken(SILENT) => open.visit.give_up(),
                        _ => open.visit.end(AttemptResult::Failed),
                    }
                    info!(
                        target: DECISION,
                        request = &*self.ask.attempt, upstream:% = open.visit.runner, reason,
                        after = cursor.last().unwrap_or_default();
                        "stream-broken"
                    );
                    // The first run is stopped before another one begins.
                    drop(open);
                    let next = tokio::select! {
                        biased;
                        () = sender.closed() => return,
                        next = self.resume(&mut cursor) => next,
                    };
                    match next {
                        Some(next) => open = next,
                        None => {
                            self.end(200, reason);
                            return tokio::time::sleep(FLUSH_TIME).await;
                        }
                    }
                }
            }
        }
    }

    /// Passes one run on until it ends.
    async fn run_on(&mut self, open: &mut Open<D>, cursor: &mut Cursor, sender: &Sender) -> Run {
        let first = std::mem::take(&mut open.first);
        if !self.pass(cursor, first, sender).await {
            return Run::Left;
        }
        if open.faulty {
            return Run::Broken("sequence");
        }
        if open.ended {
            return Run::Whole;
        }
        let mut hold = open.body.hold();
        loop {
            if hold.resize(cursor.buffered()).is_err() {
                return Run::Broken("no-memory");
            }
            let next = tokio::select! {
                biased;
                next = self.next(&mut open.body, &mut open.visit) => next,
                () = sender.closed() => return Run::Left,
            };
            match next {
                Next::Part(part) => {
                    let before = cursor.progress();
                    let mut whole = Vec::with_capacity(part.len());
                    let pushed = cursor.push(&part, &mut whole);
                    if cursor.progress() != before {
                        open.visit.hear_event();
                    }
                    if !self.pass(cursor, whole.into(), sender).await {
                        return Run::Left;
                    }
                    if pushed.is_err() {
                        return Run::Broken("sequence");
                    }
                }
                Next::End if cursor.has_partial() => return Run::Cut,
                Next::End => return Run::Whole,
                Next::Cut => return Run::Cut,
                Next::Broken(reason) => return Run::Broken(reason),
            }
        }
    }

    /// Passes whole events and comments on. Returns `false` where the caller has left.
    async fn pass(&mut self, cursor: &Cursor, events: Bytes, sender: &Sender) -> bool {
        if events.is_empty() {
            return !sender.is_closed();
        }
        if cursor.events() != self.events {
            self.events = cursor.events();
            self.record_event();
        }
        self.after = cursor.last();
        sender.send(events).await.is_ok()
    }

    /// Records that events were passed on.
    fn record_event(&mut self) {
        let now = self.hub.clock.now();
        if self.last_part.is_zero() {
            self.first = now.saturating_sub(self.terms.arrived);
            self.hub.metrics.first("stream", self.first);
        } else {
            self.gap = self.gap.max(now.saturating_sub(self.last_part));
        }
        self.last_part = now;
    }

    /// Takes a broken stream to another engine. Dropped, it stops the run that it waits for.
    async fn resume(&mut self, cursor: &mut Cursor) -> Option<Open<D>> {
        cursor.restart();
        // A stream without ids has no place to go on from, unless it begins anew.
        if cursor.events() > 0 {
            cursor.last()?;
        }
        let mut reach = Execution::Unknown;
        loop {
            self.worst = self.worst.max(reach);
            if !self.again(reach) {
                return None;
            }
            let Placed::At(runner) = self.await_place().await else {
                return None;
            };
            match self.attempt(&runner, cursor).await {
                Tried::Open(open) => return Some(*open),
                Tried::Whole(_) | Tried::Convicted => return None,
                Tried::Failed { reach: got, .. } => {
                    cursor.restart();
                    reach = got;
                }
            }
        }
    }
}
