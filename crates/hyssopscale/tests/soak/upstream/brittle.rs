//! Requests that wait for a place, and upstreams that fall over when they turn too many away.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::net::TcpStream;
use tokio::sync::SemaphorePermit;
use tokio::time::Instant;

use super::super::process::SETTLING;
use super::log::Fall;
use super::{State, Upstream};

/// Time over which an upstream counts what it turns away.
const WINDOW: Duration = Duration::from_secs(1);

/// Milliseconds that it is down after a fall.
const DOWN_MS: Range<u64> = 2_000..3_000;

/// What a brittle upstream says, and bears.
#[derive(Clone, Copy, Debug)]
pub struct Brittle {
    /// Requests that it turns away in a second without falling over.
    pub refusals: usize,
    /// Requests that may wait, once nodes know.
    pub room: u32,
}

impl Upstream {
    /// Has it say from now on that it is brittle, or no longer.
    pub fn set_brittle(&self, brittle: Option<Brittle>) {
        self.lock().brittle = brittle.map(|brittle| (brittle, Instant::now()));
    }

    /// Returns how many requests may be with it, running or waiting.
    pub(super) fn capacity(&self, state: &State) -> u32 {
        let room = in_force(state).map_or(self.room, |brittle| brittle.room.min(self.room));
        self.slots + room
    }

    /// Returns the headers that tell of its load, and that it is brittle.
    pub(super) fn load(&self, state: &State) -> Vec<String> {
        let (running, waiting) = self.running(state);
        let load = format!("x-server-load: {running},{waiting},{}", self.slots);
        let load = (self.room > 0).then_some(load);
        let brittle = state.brittle.as_ref();
        let brittle = brittle.map(|(brittle, _)| format!("server-brittle: {}", brittle.refusals));
        load.into_iter().chain(brittle).collect()
    }

    /// Returns the numbers of requests that run and that wait.
    pub(super) fn running(&self, state: &State) -> (u32, u32) {
        let running = state.running.min(self.slots);
        (running, state.running - running)
    }

    /// Notes that a request is turned away for want of room, under which it may fall over.
    pub(super) fn turn_away(self: &Arc<Self>, state: &mut State, attempt: &str) {
        let now = Instant::now();
        state.turned_away.retain(|(at, _)| now < *at + WINDOW);
        state.turned_away.push((now, attempt.to_owned()));
        let Some(brittle) = in_force(state) else {
            return;
        };
        if state.turned_away.len() > brittle.refusals {
            let attempts = std::mem::take(&mut state.turned_away).into_iter();
            let attempts = attempts.map(|(_, attempt)| attempt).collect();
            let down = Duration::from_millis(state.rng.random_range(DOWN_MS));
            tokio::spawn(self.clone().fall(attempts, down));
        }
    }

    async fn fall(self: Arc<Self>, attempts: Vec<String>, down: Duration) {
        if !self.lock().listed {
            return;
        }
        self.log.falls.lock().unwrap().push(Fall {
            pool: self.pool,
            attempts,
            at: Instant::now(),
        });
        self.crash(down).await;
    }

    /// Waits for a place; `None` where the connection is closed before.
    pub(super) async fn place(&self, stream: &TcpStream) -> Option<SemaphorePermit<'_>> {
        tokio::select! {
            biased;
            place = self.places.acquire() => place.ok(),
            () = closed(stream) => None,
        }
    }
}

/// Returns what a brittle upstream bears, once nodes have had time to know.
fn in_force(state: &State) -> Option<Brittle> {
    let (brittle, since) = state.brittle?;
    (Instant::now() >= since + SETTLING).then_some(brittle)
}

/// Returns once the other side has closed the connection.
async fn closed(stream: &TcpStream) {
    let peeked = stream.peek(&mut [0]).await;
    if peeked.is_ok_and(|bytes| bytes > 0) {
        std::future::pending::<()>().await;
    }
}
