//! One completion on its way through the queue and the batch.

use serde_json::json;
use upstream::engine::Instance;

use super::Faults;
use crate::answer;
use crate::http::Sender;
use crate::log::{End, Kind, Log, Ticket};

/// A completion as received.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) ticket: Ticket,
    pub(super) instance: Instance,
    pub(super) prompt: String,
    pub(super) priority: u8,
    pub(super) offset: u64,
    pub(super) max_tokens: u64,
    pub(super) sender: Sender,
}

/// A completion in the queue or in the batch.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) job: Job,
    pub(super) model: String,
    pub(super) arrival: u64,
    pub(super) next: u64,
    pub(super) prefill: Option<u32>,
}

/// What a step did for one sequence.
pub(super) enum Advance {
    /// It stays in the batch.
    Goes,
    Ended(End),
}

impl Job {
    pub(super) fn opening(&self) -> String {
        self.event("opening", self.offset, json!([]), false)
    }

    fn event(
        &self,
        object: &str,
        offset: u64,
        choices: serde_json::Value,
        crossed: bool,
    ) -> String {
        let mut id = self.ticket.attempt.clone();
        if crossed {
            id.push_str("-other");
        }
        let chunk = json!({
            "id": id,
            "object": object,
            "model": self.instance,
            "offset": offset,
            "choices": choices,
        });
        format!("data: {chunk}\n\n")
    }
}

impl Sequence {
    pub(super) fn advance(&mut self, faults: &Faults) -> Advance {
        if let Some(left) = self.prefill.filter(|left| *left > 0) {
            self.prefill = Some(left - 1);
            return Advance::Goes;
        }
        let given = self.next - self.job.offset;
        if faults.cut_after.is_some_and(|after| given >= after) {
            self.job.sender.close();
            return Advance::Ended(End::Cut);
        }
        if faults.end_early.is_some_and(|after| given >= after) {
            return Advance::Ended(End::Cut);
        }
        if self.next >= self.job.max_tokens {
            return self.end(faults.crossed);
        }
        self.token(faults.crossed)
    }

    fn token(&mut self, crossed: bool) -> Advance {
        let text = answer::token(&self.model, &self.job.prompt, self.next);
        let choices = json!([{ "index": 0, "text": text, "finish_reason": null }]);
        let event = self
            .job
            .event("text_completion", self.next, choices, crossed);
        if !self.job.sender.send(event) {
            return Advance::Ended(End::Cancelled);
        }
        self.next += 1;
        // The last token is followed by the end within the same step.
        if self.next >= self.job.max_tokens {
            return self.end(crossed);
        }
        Advance::Goes
    }

    fn end(&self, crossed: bool) -> Advance {
        let choices = json!([{ "index": 0, "text": "", "finish_reason": "length" }]);
        let event = self
            .job
            .event("text_completion", self.next, choices, crossed);
        let sent = self.job.sender.send(event + "data: [DONE]\n\n");
        Advance::Ended(if sent { End::Whole } else { End::Cancelled })
    }

    pub(super) fn fail(self, message: &str, log: &Log) {
        let id = &self.job.ticket.attempt;
        let fault = json!({ "id": id, "error": { "message": message } });
        self.job.sender.send(format!("data: {fault}\n\n"));
        self.finish(End::Failed, log);
    }

    pub(super) fn finish(self, end: End, log: &Log) {
        log.push(Kind::Finish {
            ticket: self.job.ticket,
            end,
            given: self.next,
        });
    }
}
