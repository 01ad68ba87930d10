//! Questions to other nodes that wait for an answer.

use std::time::Duration;

use tokio::sync::oneshot;

/// Time for the answer of another node: a few round trips within a region.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// Open questions, by number.
#[derive(Debug)]
pub(super) struct Questions<T> {
    open: Vec<(u64, oneshot::Sender<T>)>,
    last: u64,
}

impl<T> Default for Questions<T> {
    fn default() -> Self {
        Self {
            open: Vec::new(),
            last: 0,
        }
    }
}

impl<T> Questions<T> {
    /// Opens a question and returns its number. Those that nobody waits for any more are dropped.
    pub fn open(&mut self) -> (u64, oneshot::Receiver<T>) {
        let (sender, answer) = oneshot::channel();
        self.open.retain(|(_, waiter)| !waiter.is_closed());
        self.last += 1;
        self.open.push((self.last, sender));
        (self.last, answer)
    }

    /// Passes an answer to whoever waits for it.
    pub fn answer(&mut self, number: u64, answer: T) {
        if let Some(index) = self.open.iter().position(|(known, _)| *known == number) {
            // A request that is gone needs no answer.
            let _ = self.open.swap_remove(index).1.send(answer);
        }
    }
}

/// Waits for an answer, for as long as another node may take.
pub(super) async fn wait<T>(answer: oneshot::Receiver<T>) -> Option<T> {
    tokio::time::timeout(ANSWER_TIMEOUT, answer)
        .await
        .ok()?
        .ok()
}
