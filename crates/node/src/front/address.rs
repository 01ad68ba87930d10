//! Answers which entry addresses a caller is to use.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{HeaderMap, Response};
use serde::Serialize;
use wire::{Zone, rank};

use super::handler::{Front, json};
use super::identity::{Identity, ZONE, text};
use super::{Body, Problem};
use crate::shared::Rules;

#[derive(Serialize)]
struct Document {
    addresses: Vec<SocketAddr>,
    ttl_ms: u64,
    /// Prefix for the idempotency keys that the caller makes from now on.
    #[serde(skip_serializing_if = "Option::is_none")]
    key_prefix: Option<String>,
}

/// Answers `GET /v1/addresses`.
pub(super) fn answer(
    front: &Front,
    rules: &Rules,
    headers: &HeaderMap,
) -> Result<Response<Body>, Problem> {
    let shared = &front.shared;
    let now = shared.clock.now();
    let identity = Identity::read(headers, &rules.set, &shared.settings, now)?;
    let zone = text(headers, ZONE)?.map(Zone::from);
    let caller = rank::hash(identity.caller.as_bytes());
    let view = shared.view.load();
    let ttl = shared.settings.time.address_ttl;
    let answer = roster::address::answer(&view, zone.as_ref(), caller, ttl);
    let directory = shared.directory.load();
    let entries = answer.vms.iter().filter_map(|vm| directory.entry(vm));
    let document = Document {
        addresses: entries.map(|entry| entry.callers).collect(),
        ttl_ms: millis(answer.ttl),
        key_prefix: shared.ticket(),
    };
    Ok(json(serde_json::to_vec(&document).unwrap_or_default()))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
