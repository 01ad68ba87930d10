//! Waits until an upstream that limits its requests admits one more.

use std::time::Duration;

use exchange::Selection;
use exchange::announced_rate::RateDecision;
use exchange::selection::Requirements;
use wire::Upstream;

use super::job::Job;
use crate::dialect::Dialect;
use crate::hub::{PermitDecision, Wish};

/// Longest time for which a request waits for a token of an announced rate, and for which an urgent
/// one does.
const TOKEN_WAIT: Duration = Duration::from_millis(200);

/// See [`TOKEN_WAIT`].
const URGENT_TOKEN_WAIT: Duration = Duration::from_millis(600);

/// Longest time for which a request waits for a permit where another upstream may have one: without
/// any wait, places would stay free between two questions.
const ELSEWHERE_WAIT: Duration = Duration::from_millis(50);

impl<D: Dialect> Job<D> {
    /// Waits for a token of the rate that `runner` announces. Returns whether there is one in time.
    pub(super) async fn await_token(&self, runner: &Upstream) -> bool {
        let Some(rate) = self.hub.announced_rate(runner) else {
            return true;
        };
        let urgent = self.terms.rank == 0;
        let patience = self.token_patience(runner);
        match self.hub.acquire_token(runner, rate, urgent, patience).await {
            RateDecision::Granted(wait) => {
                tokio::time::sleep(wait).await;
                true
            }
            RateDecision::Over(_) => false,
        }
    }

    /// Returns how long the request waits for a token: not at all where another upstream takes it at
    /// once, and longer if it is urgent, so that others leave the tokens to it.
    fn token_patience(&self, runner: &Upstream) -> Duration {
        let patience = if self.goes_elsewhere(runner) {
            Duration::ZERO
        } else if self.terms.rank == 0 {
            URGENT_TOKEN_WAIT
        } else {
            TOKEN_WAIT
        };
        patience.min(self.patience())
    }

    /// Returns whether another upstream than `runner` takes the request at once.
    fn goes_elsewhere(&self, runner: &Upstream) -> bool {
        let target = self.target();
        let mut tried = self.tried.clone();
        tried.push(runner.clone());
        let need = Requirements {
            tried: &tried,
            ..self.need(target.as_ref())
        };
        matches!(self.hub.pick(&need), Selection::Send(_))
    }

    /// Waits for a permit if `runner` is brittle. Returns `None` where the request is not to be sent any
    /// more.
    pub(super) async fn await_permit(&self, runner: &Upstream) -> Option<PermitDecision<D>> {
        let Some(tolerance) = self.hub.tolerance(runner) else {
            return Some(PermitDecision::Granted(None));
        };
        let wish = Wish {
            tolerance,
            rank: self.terms.rank,
            patience: self.permit_patience(runner),
            time: self.left(),
        };
        tokio::select! {
            biased;
            () = self.conviction() => None,
            () = self.caller_left() => None,
            decision = self.hub.acquire_permit(runner, wish) => Some(decision),
        }
    }

    /// Returns how long the request waits for a permit: a moment where another upstream may have one, and
    /// otherwise as long as its answer is of use if it is urgent, or on time if it is not.
    fn permit_patience(&self, runner: &Upstream) -> Duration {
        if self.goes_elsewhere(runner) {
            return ELSEWHERE_WAIT.min(self.patience());
        }
        if self.terms.rank == 0 {
            return self.patience();
        }
        let on_time = self.terms.arrived + self.route.latency_target;
        let left = on_time.saturating_sub(self.hub.clock.now() + self.reading());
        left.max(TOKEN_WAIT).min(self.patience())
    }
}
