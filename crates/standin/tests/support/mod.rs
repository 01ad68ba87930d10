//! What the tests' callers ask.

use std::time::Duration;

use hyper::HeaderMap;
use standin::caller::Caller;
use standin::checker::What;
use wire::Priority;

/// Time for which a caller waits for a whole answer.
const PATIENT: Duration = Duration::from_secs(30);

pub fn caller() -> Caller {
    Caller::new("depot", HeaderMap::new(), PATIENT)
}

pub fn completion(tokens: u64) -> What {
    What::Completion {
        model: "base".into(),
        prompt: "p".into(),
        tokens,
        priority: Priority::Normal,
    }
}

pub fn checkout(key: Option<String>) -> What {
    What::Call {
        method: "POST".into(),
        path: "/checkout".into(),
        key,
        body: "b".into(),
        repeatable: false,
    }
}
