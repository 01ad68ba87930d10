//! Orders to an engine, and what it holds.

use std::ops::Range;
use std::time::Duration;

use rand::RngExt;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::super::raw::{Head, answer};
use super::log::Order;
use super::{PLACES, State, Upstream};

/// Time of a load of the base model.
const BASE_LOAD: Duration = Duration::from_millis(400);

/// Milliseconds that a load of an adapter takes: longer than nodes expect while many are under way.
const ADAPTER_LOAD_MS: Range<u64> = 100..700;

/// Times that an adapter loads faster where the engine held it before.
const RELOAD_FACTOR: u64 = 10;

/// Time within which two nodes must not order in turn.
pub const LEASE: Duration = Duration::from_secs(3);

pub(super) struct Adapter {
    pub name: String,
    pub ready: Instant,
}

impl Upstream {
    pub(super) fn report(&self) -> String {
        let state = self.lock();
        let now = Instant::now();
        let coming = state.adapters.iter().filter(|adapter| adapter.ready > now);
        let coming: Vec<String> = coming.map(|a| format!("base/{}@1", a.name)).collect();
        let (running, waiting) = self.running(&state);
        let body = json!({
            "models": models(&state), "coming": coming, "running": running, "waiting": waiting,
            "born": state.born, "seq": state.seq
        });
        answer(200, &self.load(&state), &body.to_string())
    }

    /// Carries out an order, or refuses it. Every one that is meant for this process is logged.
    pub(super) fn order(&self, head: &Head) -> String {
        let order: Value = serde_json::from_slice(&head.body).unwrap_or_default();
        let text = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
        let (fence, holder) = (order["fence"].as_u64().unwrap_or(0), text("holder"));
        let mut state = self.lock();
        if head.header("x-expect-instance") != state.id {
            return answer(421, &self.load(&state), "");
        }
        let mut log = Order {
            upstream: state.process(),
            holder: holder.clone(),
            fence,
            status: 412,
            at: Instant::now(),
        };
        if fence < state.fence && self.fenced {
            self.log.orders.lock().unwrap().push(log);
            return answer(412, &self.load(&state), "");
        }
        let expected = order["expected"].as_u64();
        if expected.is_some_and(|expected| expected != state.seq) {
            log.status = 409;
            self.log.orders.lock().unwrap().push(log);
            return answer(409, &self.load(&state), "");
        }
        if !self.fenced {
            self.judge(&mut state, fence, &holder);
        }
        if fence == state.fence && holder != state.holder {
            let both = format!("{} and {holder} with {fence}", state.holder);
            self.log
                .misorders
                .lock()
                .unwrap()
                .push(format!("ONE: {both}"));
        }
        (state.fence, state.holder) = (state.fence.max(fence), holder);
        log.status = self.carry_out(&mut state, &text("operation"), &text("adapter"));
        let status = log.status;
        self.log.orders.lock().unwrap().push(log);
        let names = self.load(&state);
        drop(state);
        self.list();
        answer(status, &names, "")
    }

    /// Notes orders that an engine which takes any number must not be given.
    fn judge(&self, state: &mut State, fence: u64, holder: &str) {
        let now = Instant::now();
        state.orders.retain(|(at, _)| now < *at + LEASE);
        let before = state.orders.iter().position(|(_, who)| who == holder);
        let others = before.map_or(&[][..], |index| &state.orders[index..]);
        let mut misorders = self.log.misorders.lock().unwrap();
        if others.iter().any(|(_, who)| who != holder) {
            misorders.push(format!("ONE: {holder} ordered in turn with another"));
        }
        if fence < state.fence {
            let (old, last) = (state.fence, &state.holder);
            misorders.push(format!("ONE: {fence} of {holder} after {old} of {last}"));
        }
        state.orders.push((now, holder.to_owned()));
    }

    fn carry_out(&self, state: &mut State, operation: &str, adapter: &str) -> u16 {
        let now = Instant::now();
        let held = state.adapters.iter().position(|held| held.name == adapter);
        match (operation, adapter, held) {
            ("load", "", _) if state.base.is_some() => 200,
            ("load", "", _) => {
                state.base = Some(now + BASE_LOAD);
                state.seq += 1;
                202
            }
            ("load", _, _) if state.base.is_none() => 400,
            ("load", _, Some(index)) if state.adapters[index].ready <= now => 200,
            ("load", _, Some(_)) => 202,
            ("load", name, None) => {
                if state.adapters.len() >= PLACES {
                    let line = format!("LIMIT: {} at {}", name, state.id);
                    self.log.misorders.lock().unwrap().push(line);
                }
                let mut time = state.rng.random_range(ADAPTER_LOAD_MS);
                if state.known.iter().any(|known| known == name) {
                    time /= RELOAD_FACTOR;
                } else {
                    state.known.push(name.to_owned());
                }
                state.seq += 1;
                state.adapters.push(Adapter {
                    name: name.to_owned(),
                    ready: now + Duration::from_millis(time),
                });
                202
            }
            (_, "", _) => {
                state.base = None;
                state.adapters.clear();
                state.seq += 1;
                200
            }
            (_, _, Some(index)) => {
                state.adapters.remove(index);
                state.seq += 1;
                200
            }
            (_, _, None) => 200,
        }
    }
}

pub(super) fn models(state: &State) -> Value {
    let now = Instant::now();
    if state.base.is_none_or(|ready| ready > now) {
        return json!([]);
    }
    let ready = state.adapters.iter().filter(|adapter| adapter.ready <= now);
    let names: Vec<String> = ready.map(|adapter| format!("{}@1", adapter.name)).collect();
    json!([{"name": "base", "version": 1, "adapters": names}])
}
