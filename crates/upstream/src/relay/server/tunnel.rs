//! Copies the bytes of one connection.

use std::io::{self, ErrorKind};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::super::{close_in_order, reset};
use super::Counts;

/// Bytes under way in each direction beside the system's own buffers.
const BUFFER_BYTES: usize = 8 << 10;

/// Time without a byte after which a connection is closed: above the longest silence within an answer
/// and the longest time that an idle one is kept.
const IDLE_MAX: Duration = Duration::from_secs(75);

/// The same once one side has ended its direction.
const HALF_OPEN_MAX: Duration = Duration::from_secs(20);

/// Time after the last byte of an upstream from which its answer counts as whole.
const ANSWER_GAP: Duration = Duration::from_millis(1_500);

/// Time between two looks at a connection that is silent.
const LOOK: Duration = Duration::from_millis(250);

/// What has passed.
struct Activity {
    started: Instant,
    /// Milliseconds from the start to the last byte.
    last: AtomicU64,
    /// Whether the last bytes were the peer's, so that an answer is due.
    awaited: AtomicBool,
    /// Whether one side has ended its direction.
    half_open: AtomicBool,
}

impl Activity {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            last: AtomicU64::new(0),
            awaited: AtomicBool::new(false),
            half_open: AtomicBool::new(false),
        }
    }

    /// Notes bytes, and whether an answer is awaited after them. Returns whether one was before.
    fn passed(&self, awaited: bool) -> bool {
        let now = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last.store(now, Ordering::Relaxed);
        self.awaited.swap(awaited, Ordering::Relaxed)
    }

    fn silence(&self) -> Duration {
        let last = Duration::from_millis(self.last.load(Ordering::Relaxed));
        self.started.elapsed().saturating_sub(last)
    }

    /// Tells whether the connection is to be closed. `leaving` tells whether the node leaves.
    fn is_over(&self, leaving: bool) -> bool {
        let limit = if self.half_open.load(Ordering::Relaxed) {
            HALF_OPEN_MAX
        } else {
            IDLE_MAX
        };
        let idle = !self.awaited.load(Ordering::Relaxed) && self.silence() >= ANSWER_GAP;
        self.silence() >= limit || (leaving && idle)
    }
}

/// Copies both ways until both sides have ended; where one is reset, so is the other.
///
/// An answer may end with its connection, so that each side ends in good order only where the other one
/// has. In all other cases both are reset, which the system does as well if this process ends.
pub(super) async fn copy(
    mut near: TcpStream,
    mut far: TcpStream,
    early: &[u8],
    counts: &Counts,
    stop: watch::Receiver<bool>,
) {
    reset(&near);
    reset(&far);
    // A socket that takes no options is closed already.
    let _ = socket::apply(&far, &socket::UPSTREAM);
    let activity = Activity::new();
    let _ = async {
        far.write_all(early).await?;
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let there = direction(near_read, far_write, true, &activity, counts);
        let back = direction(far_read, near_write, false, &activity, counts);
        tokio::select! {
            copied = async { tokio::try_join!(there, back) } => copied.map(|_| ()),
            () = watch(&activity, &stop) => Err(ErrorKind::TimedOut.into()),
        }
    }
    .await;
}

/// Waits until the connection is to be closed.
async fn watch(activity: &Activity, stop: &watch::Receiver<bool>) {
    loop {
        sleep(LOOK).await;
        if activity.is_over(*stop.borrow()) {
            return;
        }
    }
}

/// Gives the peer's end the times of a caller: the peer reads as slowly as its own caller does.
fn set_awaiting(near: &TcpStream, awaited: bool) {
    let timeout = if awaited {
        socket::CALLER.user_timeout
    } else {
        Some(socket::CALLER_WRITE_TIMEOUT)
    };
    let _ = socket::set_user_timeout(near, timeout);
}

async fn direction(
    from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    requests: bool,
    activity: &Activity,
    counts: &Counts,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        from.readable().await?;
        match from.try_read(&mut buffer) {
            Ok(0) => {
                activity.half_open.store(true, Ordering::Relaxed);
                close_in_order(to.as_ref())?;
                return to.shutdown().await;
            }
            Ok(bytes) => {
                if activity.passed(requests) != requests {
                    let near = if requests { from.as_ref() } else { to.as_ref() };
                    set_awaiting(near, requests);
                }
                counts.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
                to.write_all(&buffer[..bytes]).await?;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}
