//! Transport of frames between nodes: JSON-RPC notifications over kept WebSocket connections.
//!
//! [`Inbox`] listens and hands each authentic frame to a sink. [`Outbox`] keeps one connection
//! for each VM that frames go to. Delivery is best effort: a frame for a peer that cannot be
//! reached is dropped and counted, since the machines repeat what matters.

mod inbox;
mod outbox;

pub use inbox::Inbox;
pub use outbox::Outbox;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Name of the notification that carries a frame.
const METHOD: &str = "frame";

/// Counts of the transport.
#[derive(Debug, Default)]
pub struct Counts {
    /// Frames handed to a connection.
    pub sent: AtomicU64,
    /// Bytes of those frames as sealed and armoured text.
    pub sent_bytes: AtomicU64,
    /// Frames taken in.
    pub received: AtomicU64,
    /// Frames dropped because a queue was full or the peer out of reach.
    pub dropped: AtomicU64,
    /// Frames refused because their tag or form was wrong.
    pub refused: AtomicU64,
}

/// Counts shared between the transport and the metrics.
pub type SharedCounts = Arc<Counts>;

fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}
