//! Measures the messages, bytes, CPU time and memory that claims cost with 7 nodes.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::{Duration, Instant};

use fleet::{Fleet, RELIABLE, ms};
use once::ledger::Ending;
use once::{CallRecord, Claim, Config, Digest, Event, Key, Message, Participant};
use wire::{Incarnation, Machine};

const CALLS: u64 = 2_000;
const RECORDS: u64 = 100_000;

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or_default() * 4_096
}

fn measure_traffic() {
    let mut fleet = Fleet::new(1, 7, fleet::config(), RELIABLE);
    fleet.count_bytes = true;
    fleet.service_time = (5_000, 5_000);
    let idle = (fleet.messages, fleet.bytes);
    fleet.run(Duration::from_secs(10));
    let (messages, bytes) = (fleet.messages - idle.0, fleet.bytes - idle.1);
    println!(
        "idle: {:.0} messages and {:.0} bytes per second and node, bodies only",
        messages as f64 / 70.0,
        bytes as f64 / 70.0
    );
    let begin = (fleet.messages, fleet.bytes, fleet.now, Instant::now());
    let calls: Vec<usize> = (0..CALLS as usize)
        .map(|key| {
            let call = fleet.call(key % 7, key, "a");
            fleet.run(ms(5));
            call
        })
        .collect();
    fleet.run(ms(500));
    let took = begin.3.elapsed();
    let span = (fleet.now - begin.2).as_secs_f64();
    let sent = (fleet.messages - begin.0) as f64 - messages as f64 * span / 10.0;
    let bytes = (fleet.bytes - begin.1) as f64 - bytes as f64 * span / 10.0;
    let calls_made = CALLS as f64;
    println!(
        "call: {:.1} messages and {:.0} bytes in the region",
        sent / calls_made,
        bytes / calls_made
    );
    println!(
        "call: {:.1} us of CPU time on all 7 nodes, including the network simulation",
        took.as_secs_f64() * 1e6 / calls_made
    );
    let mut waits: Vec<Duration> = calls
        .iter()
        .filter_map(|c| {
            fleet.calls[*c]
                .written_at
                .map(|at| at - fleet.calls[*c].started)
        })
        .collect();
    waits.sort_unstable();
    println!(
        "call: first byte after {:?} at the median, {:?} at p99 (0.4 to 0.6 ms each way, up to 2 ms in the driver)",
        waits[waits.len() / 2],
        waits[waits.len() * 99 / 100]
    );
}

fn measure_memory() {
    let mut participant = Participant::new(Config::default(), Incarnation::new("vm-0", 1));
    let from = Incarnation::new("vm-1", 1);
    let before = resident_bytes();
    let start = Instant::now();
    for number in 0..RECORDS {
        let message = Message::Store {
            claim: Claim {
                executor: from.clone(),
                number,
            },
            key: Key::new("caller", "desk", &number.to_string()),
            body: Digest::new([number.to_le_bytes()]),
            record: CallRecord {
                ending: Ending::Answered,
                status: 200,
                content_type: "application/json".into(),
                body: Some(vec![b'x'; 200]),
            },
        };
        let event = Event::Receive {
            from: from.clone(),
            message,
        };
        participant.step(ms(number), event, &mut Vec::new());
    }
    let took = start.elapsed();
    let bytes = resident_bytes() - before;
    println!(
        "record: {} bytes of memory with an answer of 200 bytes, {:.1} us to store",
        bytes / RECORDS,
        took.as_secs_f64() * 1e6 / RECORDS as f64
    );
    assert_eq!(participant.known_keys() as u64, RECORDS);
}

fn main() {
    measure_memory();
    measure_traffic();
}
