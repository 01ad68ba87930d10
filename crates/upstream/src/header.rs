//! Names of the headers between the system and its upstreams.

use std::time::Duration;

use hyper::header::RETRY_AFTER;
use hyper::{HeaderMap, StatusCode};

/// Fencing number of an order; an upstream that checks it refuses a lower one than it has seen.
pub const FENCE: &str = "x-fence";

/// Id of one attempt; the upstream echoes it, so that a crossed answer is noticed.
pub const ATTEMPT: &str = "x-attempt";

/// Id under which callers and plain services log a request. To an engine it carries the attempt's
/// id, from which OpenAI-compatible engines make the id of each chunk.
pub const REQUEST: &str = "x-request-id";

/// Name of the caller.
pub const CALLER: &str = "x-caller";

/// Key under which a call is to run once.
pub const KEY: &str = "idempotency-key";

/// Set to `true` on a 503 answer by an upstream that is leaving and did not run the request.
pub const LEAVING: &str = "x-leaving";

/// Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1).
pub const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Longest pause that an upstream is granted: beyond it, its word is taken for a mistake.
const PAUSE_MAX: Duration = Duration::from_secs(60);

/// Returns the time for which an upstream that turns a request away wants no other: whole seconds or a
/// fraction of one.
pub fn pause(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    let seconds = text.trim().parse::<f64>().ok()?;
    let stated = seconds > 0.0 && seconds.is_finite();
    stated.then(|| Duration::from_secs_f64(seconds.min(PAUSE_MAX.as_secs_f64())))
}

/// Removes the headers that belong to one connection, those that it names included.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_owned())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}
