//! Who calls, and what a request's headers ask for.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{AUTHORIZATION, HeaderMap};
use settings::Settings;
use wire::{Caller, Priority, Time};

use super::Problem;

/// Header that names the caller where the settings trust it.
const CALLER: &str = "x-caller";

/// Header that names the trade.
const TRADE: &str = "x-trade";

/// Header that names the priority.
const PRIORITY: &str = "x-priority";

/// Header that gives the time limit in milliseconds.
const TIMEOUT: &str = "x-timeout-ms";

/// Header that names the caller's availability zone.
pub const ZONE: &str = "x-zone";

/// What a request's headers say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The caller.
    pub caller: Caller,
    /// The trade; empty where none is named.
    pub trade: String,
    /// The priority asked for.
    pub priority: Priority,
    /// When the answer must be whole.
    pub deadline: Time,
}

impl Identity {
    /// Reads the headers of a request that came at `now`.
    ///
    /// # Errors
    ///
    /// Returns the problem to answer with where the caller is not known or a header is malformed.
    pub fn read(
        headers: &HeaderMap,
        rules: &rules::RuleSet,
        settings: &Settings,
        now: Time,
    ) -> Result<Self, Problem> {
        Ok(Self {
            caller: caller(headers, rules, settings)?,
            trade: text(headers, TRADE)?.unwrap_or_default().to_owned(),
            priority: priority(headers)?,
            deadline: now + timeout(headers, settings)?,
        })
    }
}

fn caller(
    headers: &HeaderMap,
    rules: &rules::RuleSet,
    settings: &Settings,
) -> Result<Caller, Problem> {
    if let Some(value) = text(headers, AUTHORIZATION.as_str())? {
        let token = value.strip_prefix("Bearer ").unwrap_or_default();
        let known = rules
            .caller_by_token(token)
            .map(|caller| caller.name.clone());
        return known.ok_or_else(|| unauthorized("the token is not known; check it"));
    }
    if !settings.trust.caller_header {
        return Err(unauthorized(
            "send the caller's token as `authorization: Bearer TOKEN`",
        ));
    }
    let name = text(headers, CALLER)?;
    let name = name.ok_or_else(|| unauthorized("name the caller in `x-caller`"))?;
    let known = rules.caller(name).map(|_| name.into());
    known.ok_or_else(|| unauthorized("the caller is not declared; add a `caller` line"))
}

fn unauthorized(detail: &str) -> Problem {
    Problem::bad(StatusCode::UNAUTHORIZED, detail)
}

fn priority(headers: &HeaderMap) -> Result<Priority, Problem> {
    match text(headers, PRIORITY)? {
        None => Ok(Priority::default()),
        Some(name) => Priority::parse(name).ok_or_else(|| {
            let detail = "x-priority is none of urgent, normal and routine; send one of them";
            Problem::bad(StatusCode::BAD_REQUEST, detail)
        }),
    }
}

fn timeout(headers: &HeaderMap, settings: &Settings) -> Result<Duration, Problem> {
    let Some(value) = text(headers, TIMEOUT)? else {
        return Ok(settings.time.deadline);
    };
    let millis: u64 = value.parse().map_err(|_| {
        let detail = "x-timeout-ms is no number of milliseconds; send a whole number";
        Problem::bad(StatusCode::BAD_REQUEST, detail)
    })?;
    Ok(Duration::from_millis(millis).min(settings.time.deadline_max))
}

/// Returns a header's text; `None` where it is absent.
///
/// # Errors
///
/// Returns the problem to answer with where the header is not plain text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| {
        let detail = format!("header {name} is not plain text; send visible ASCII");
        Problem::bad(StatusCode::BAD_REQUEST, detail)
    })
}
