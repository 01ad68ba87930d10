//! A bounded queue of log lines before a stream that may block.
//!
//! Whoever logs never waits: a thread of its own writes the lines, and those that do not fit the
//! queue are dropped whole and counted.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of lines that wait to be written: several seconds of the default rate limit.
const WAITING_MAX: usize = 512 << 10;

/// Time for which lines are gathered before they are written together.
const BATCH: Duration = Duration::from_millis(100);

/// Pause between two looks at whether everything is written.
const LOOK: Duration = Duration::from_millis(2);

/// The queue.
#[derive(Debug, Default)]
struct Queue {
    waiting: Vec<u8>,
    /// Whether the thread is writing what it took.
    writing: bool,
}

/// State that the sink shares with its thread.
#[derive(Debug, Default)]
struct Shared {
    queue: Mutex<Queue>,
    filled: Condvar,
    dropped: AtomicU64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for lines and takes all that have come within [`BATCH`].
    fn take(&self) -> Vec<u8> {
        let mut queue = self.lock();
        queue.writing = false;
        while queue.waiting.is_empty() {
            queue = self
                .filled
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner);
        }
        drop(queue);
        thread::sleep(BATCH);
        let mut queue = self.lock();
        queue.writing = true;
        std::mem::take(&mut queue.waiting)
    }
}

/// The writing end. Each flush ends a line.
#[derive(Debug)]
pub struct Sink {
    shared: Arc<Shared>,
    line: Vec<u8>,
}

/// What can be asked of a sink that a logger owns.
#[derive(Clone, Debug)]
pub struct Handle(Arc<Shared>);

impl Sink {
    /// Starts the thread that writes to `stream`.
    ///
    /// # Errors
    ///
    /// Returns the system's error where no thread can be started.
    pub fn start(mut stream: impl Write + Send + 'static) -> io::Result<(Self, Handle)> {
        let shared = Arc::new(Shared::default());
        let taken = shared.clone();
        let writing = move || {
            loop {
                let lines = taken.take();
                // A stream that is closed has no reader who could be told.
                let _ = stream.write_all(&lines).and_then(|()| stream.flush());
            }
        };
        thread::Builder::new()
            .name("journal".to_owned())
            .spawn(writing)?;
        let handle = Handle(shared.clone());
        let line = Vec::new();
        Ok((Self { shared, line }, handle))
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.line.is_empty() {
            return Ok(());
        }
        let mut queue = self.shared.lock();
        if queue.waiting.len() + self.line.len() > WAITING_MAX {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            let first = queue.waiting.is_empty();
            queue.waiting.extend_from_slice(&self.line);
            drop(queue);
            if first {
                self.shared.filled.notify_one();
            }
        }
        self.line.clear();
        Ok(())
    }
}

impl Handle {
    /// Returns how many lines did not fit the queue.
    pub fn dropped(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }

    /// Waits until every line is written, for no longer than `limit`.
    pub fn drain(&self, limit: Duration) {
        let end = Instant::now() + limit;
        loop {
            let queue = self.0.lock();
            if queue.waiting.is_empty() && !queue.writing {
                return;
            }
            drop(queue);
            if Instant::now() >= end {
                return;
            }
            thread::sleep(LOOK);
        }
    }
}
