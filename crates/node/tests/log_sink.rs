//! Log lines on their way to a stream that may block.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use node::journal::sink::Sink;

/// Longest time that a wait of a test takes.
const PATIENT: Duration = Duration::from_secs(10);

/// A stream that tells what it is given, and takes nothing until it is let go on.
struct Stuck {
    let_go: Receiver<()>,
    told: Sender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The test that is over lets it go on as well.
        let _ = self.let_go.recv();
        let _ = self.told.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a node that stands still while nobody reads its log.
#[test]
fn stuck_stream_holds_nobody_up() {
    let (let_go, held) = channel();
    let (told, lines) = channel();
    let (mut sink, handle) = Sink::start(Stuck { let_go: held, told }).unwrap();
    let line = "x".repeat(99);
    let began = Instant::now();
    for _ in 0..20_000 {
        writeln!(sink, "{line}").unwrap();
        sink.flush().unwrap();
    }
    assert!(began.elapsed() < PATIENT, "logging waited for the stream");
    assert!(handle.dropped() > 0, "more lines are kept than fit");
    drop(let_go);
    handle.drain(PATIENT);
    let written: Vec<u8> = lines.try_iter().flatten().collect();
    assert_eq!(written.len() % 100, 0, "a line was cut");
    assert_eq!(written.len() as u64 / 100 + handle.dropped(), 20_000);
}

#[test]
fn ending_process_writes_its_last_line() {
    let (let_go, held) = channel();
    let (told, lines) = channel();
    drop(let_go);
    let (mut sink, handle) = Sink::start(Stuck { let_go: held, told }).unwrap();
    writeln!(sink, "stop").unwrap();
    sink.flush().unwrap();
    handle.drain(PATIENT);
    let written: Vec<u8> = lines.try_iter().flatten().collect();
    assert_eq!(written, b"stop\n");
}
