//! What upstreams say of themselves, and why they refuse.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::Instant;

use super::super::raw::{Head, answer};
use super::{Manner, Said, State, Upstream, Word};

/// Seconds that an upstream wants nothing.
const PAUSE_SECONDS: Range<f64> = 0.3..2.5;

/// Milliseconds after which a late refusal comes: longer than callers stay that leave.
const LATE_MS: Range<u64> = 1_000..1_500;

impl Upstream {
    /// Returns after which time a request is refused, where it is refused late.
    pub(super) fn late_refusal(&self, manner: Manner) -> Option<Duration> {
        let mut state = self.lock();
        let late = manner.late > 0.0 && state.rng.random_bool(manner.late);
        late.then(|| Duration::from_millis(state.rng.random_range(LATE_MS)))
    }

    pub(super) fn names(&self, attempt: &str) -> Vec<String> {
        let state = self.lock();
        let mut names = vec![
            format!("x-attempt-id: {attempt}"),
            format!("x-response-signature: {}", state.id),
        ];
        names.extend(self.farewell(&state, attempt));
        names.extend(self.announcement(&state, attempt));
        names.extend(self.load(&state));
        names
    }

    /// Returns the header that announces a rate, where it does.
    fn announcement(&self, state: &State, attempt: &str) -> Option<String> {
        state.rate.map(|rate| {
            self.say(state, attempt, Said::Rate(rate));
            format!("server-limit: {rate:.2}")
        })
    }

    /// Returns the header that says that it leaves, where it does.
    fn farewell(&self, state: &State, attempt: &str) -> Option<String> {
        state.leaving.then(|| {
            self.say(state, attempt, Said::Leaves);
            "server-leaving: 1".to_owned()
        })
    }

    fn say(&self, state: &State, attempt: &str, said: Said) {
        self.log.words.lock().unwrap().push(Word {
            attempt: attempt.to_owned(),
            upstream: state.process(),
            at: Instant::now(),
            said,
        });
    }

    /// Returns the statement that the request was not run, where it cannot be.
    pub(super) fn refusal(
        self: &Arc<Self>,
        head: &Head,
        attempt: &str,
        manner: Manner,
    ) -> Option<String> {
        let mut state = self.lock();
        let mut names = vec![
            format!("x-attempt-id: {attempt}"),
            "x-not-executed: 1".to_owned(),
            format!("x-instance-id: {}", state.id),
        ];
        names.extend(self.farewell(&state, attempt));
        names.extend(self.announcement(&state, attempt));
        names.extend(self.load(&state));
        if head.header("x-expect-instance") != state.id {
            return Some(answer(421, &names, ""));
        }
        let now = Instant::now();
        if self.is_engine() {
            let name = head.header("x-model").split('/').nth(1).unwrap_or_default();
            let adapter = state.adapters.iter().find(|adapter| adapter.name == name);
            match adapter {
                _ if state.base.is_none_or(|ready| ready > now) => {
                    return Some(answer(421, &names, ""));
                }
                None => return Some(answer(421, &names, "")),
                Some(adapter) if adapter.ready > now => return Some(answer(503, &names, "")),
                Some(_) => {}
            }
        }
        if state.rng.random_bool(manner.pause) {
            let pause = state.rng.random_range(PAUSE_SECONDS);
            self.say(&state, attempt, Said::Pause(Duration::from_secs_f64(pause)));
            names.push(format!("retry-after: {pause:.3}"));
            return Some(answer(503, &names, ""));
        }
        let is_full = state.running >= self.capacity(&state);
        if is_full {
            self.turn_away(&mut state, attempt);
        }
        if is_full || state.rng.random_bool(manner.shed) {
            let status = if state.rng.random() { 503 } else { 429 };
            return Some(answer(status, &names, ""));
        }
        state.running += 1;
        None
    }
}
