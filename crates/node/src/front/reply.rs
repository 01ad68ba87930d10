//! Answers in the OpenAI-compatible form.

use bytes::{BufMut, Bytes, BytesMut};
use serde::Serialize;
use wire::Model;

/// Bytes reserved for one streamed chunk.
const CHUNK_BYTES: usize = 256;

/// Data of the last event of a whole stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u64,
}

/// Writes the answer to one request.
#[derive(Clone, Debug)]
pub struct Writer {
    id: String,
    model: String,
}

impl Writer {
    /// Makes the writer of request `id`, which runs on `model`.
    pub fn new(id: impl Into<String>, model: &Model) -> Self {
        Self {
            id: id.into(),
            model: model.to_string(),
        }
    }

    /// Returns an empty buffer for events.
    pub fn buffer() -> BytesMut {
        BytesMut::with_capacity(CHUNK_BYTES)
    }

    /// Appends the event of one token.
    pub fn token(&self, out: &mut BytesMut, text: &str) {
        self.event(out, text, None);
    }

    /// Appends the events that end a whole answer.
    pub fn end(&self, out: &mut BytesMut, reason: &str) {
        self.event(out, "", Some(reason));
        out.put_slice(DONE);
    }

    fn event(&self, out: &mut BytesMut, text: &str, reason: Option<&str>) {
        out.put_slice(b"data: ");
        // Writing to memory cannot fail, and the type has nothing that cannot be serialized.
        let _ = serde_json::to_writer(out.writer(), &self.completion(text, reason, None));
        out.put_slice(b"\n\n");
    }

    /// Returns the document of a whole answer that is not streamed.
    pub fn document(&self, text: &str, reason: &str, tokens: u64) -> String {
        let usage = Usage {
            completion_tokens: tokens,
        };
        let completion = self.completion(text, Some(reason), Some(usage));
        serde_json::to_string(&completion).unwrap_or_default()
    }

    fn completion<'a>(
        &'a self,
        text: &'a str,
        reason: Option<&'a str>,
        usage: Option<Usage>,
    ) -> Completion<'a> {
        Completion {
            id: &self.id,
            object: "text_completion",
            model: &self.model,
            choices: [Choice {
                index: 0,
                text,
                finish_reason: reason,
            }],
            usage,
        }
    }
}

/// Returns the event that ends a stream which cannot become whole.
pub fn broken(problem: &super::Problem) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", problem.to_json()))
}
