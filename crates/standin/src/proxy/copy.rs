//! Copies one connection under its link's fault.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::{Control, Fault, Pass};

/// Bytes read at a time.
const PART_BYTES: usize = 16 << 10;

/// Parts under way in one direction; a reader that is further ahead waits.
const PARTS_UNDER_WAY: usize = 256;

/// A direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

/// Bytes with the time at which they arrive.
struct Part {
    due: Instant,
    bytes: Bytes,
}

/// Connects to `target` and copies both ways until either side ends. Each side ends in good order only where
/// the other one has; where this is dropped, or fails, both are reset.
pub(super) async fn connection(
    mut stream: TcpStream,
    target: SocketAddr,
    control: &Control,
    seed: u64,
) -> io::Result<()> {
    // A half-open link takes the connection although the target hears nothing of it.
    open(control, Direction::ToTarget).await;
    let mut target = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    target.set_nodelay(true)?;
    stream.set_zero_linger()?;
    target.set_zero_linger()?;
    let (near_read, near_write) = stream.split();
    let (far_read, far_write) = target.split();
    let there = direction(near_read, far_write, control, Direction::ToTarget, seed);
    let back = direction(far_read, near_write, control, Direction::FromTarget, !seed);
    tokio::try_join!(there, back)?;
    Ok(())
}

async fn direction(
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    control: &Control,
    direction: Direction,
    seed: u64,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(PARTS_UNDER_WAY);
    let read = read(from, sender, control, seed);
    let write = write(to, receiver, control, direction);
    tokio::try_join!(read, write)?;
    Ok(())
}

async fn read(
    mut from: ReadHalf<'_>,
    parts: mpsc::Sender<Part>,
    control: &Control,
    seed: u64,
) -> io::Result<()> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut buffer = vec![0; PART_BYTES];
    loop {
        let bytes = from.read(&mut buffer).await?;
        if bytes == 0 {
            return Ok(());
        }
        let part = Part {
            due: Instant::now() + delay(&control.fault(), &mut random),
            bytes: Bytes::copy_from_slice(&buffer[..bytes]),
        };
        if parts.send(part).await.is_err() {
            return Ok(());
        }
    }
}

async fn write(
    mut to: WriteHalf<'_>,
    mut parts: mpsc::Receiver<Part>,
    control: &Control,
    direction: Direction,
) -> io::Result<()> {
    let mut passed = 0;
    while let Some(part) = parts.recv().await {
        sleep_until(part.due).await;
        open(control, direction).await;
        let left = left(control, direction, passed);
        let bytes = &part.bytes[..part.bytes.len().min(left)];
        to.write_all(bytes).await?;
        passed += bytes.len() as u64;
        if bytes.len() < part.bytes.len() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    }
    open(control, direction).await;
    SockRef::from(to.as_ref()).set_linger(None)?;
    to.shutdown().await
}

/// Waits until the link lets the direction through.
async fn open(control: &Control, direction: Direction) {
    let mut faults = control.fault.subscribe();
    let passes = |fault: &Fault| match fault.pass {
        Pass::Both | Pass::Refuse => true,
        Pass::Neither => false,
        Pass::ToTarget => direction == Direction::ToTarget,
        Pass::FromTarget => direction == Direction::FromTarget,
    };
    // The sender lives in the control, which is borrowed.
    let _ = faults.wait_for(passes).await;
}

/// Returns the bytes that may still pass before the link cuts.
fn left(control: &Control, direction: Direction, passed: u64) -> usize {
    let limit = control.fault().cut_after;
    match limit.filter(|_| direction == Direction::FromTarget) {
        Some(limit) => limit.saturating_sub(passed) as usize,
        None => usize::MAX,
    }
}

fn delay(fault: &Fault, random: &mut StdRng) -> Duration {
    let jitter = random.random_range(0..=fault.jitter_us);
    Duration::from_micros(fault.latency_us + jitter)
}
