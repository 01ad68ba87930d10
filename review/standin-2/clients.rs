//! Requesters: each sends one request after the other, each attempt with an id of its own.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http;
use crate::world::{attempt, now, number};

/// An attempt and how it ended; status 0 stands for a channel that ended without a whole answer.
#[derive(Clone, Debug)]
pub struct Ended {
    pub node: SocketAddr,
    pub attempt: String,
    pub sent: u64,
    pub over: u64,
    pub status: u16,
}

impl Ended {
    /// Returns what is written down of it.
    pub fn line(&self) -> String {
        let Self {
            node,
            attempt,
            sent,
            over,
            status,
        } = self;
        format!("sent {attempt} to {node} at {sent}, answered {status} at {over}")
    }
}

/// What requesters send.
pub struct Kind {
    pub host: &'static str,
    pub path: &'static str,
    pub deadline_ms: u64,
    pub pause: Duration,
    /// Headers by the number of the attempt, beside those of every request.
    pub further: fn(u64) -> Vec<(&'static str, String)>,
}

pub struct Clients {
    stop: Arc<AtomicBool>,
    pub ended: Arc<Mutex<Vec<Ended>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` requesters at each of these nodes.
    pub fn start(nodes: &[SocketAddr], count: usize, kind: Kind) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let ended: Arc<Mutex<Vec<Ended>>> = Arc::default();
        let kind = Arc::new(kind);
        let mut threads = Vec::new();
        for node in nodes {
            for _ in 0..count {
                let (stop, ended, kind, node) = (stop.clone(), ended.clone(), kind.clone(), *node);
                threads.push(thread::spawn(move || requester(node, &kind, &stop, &ended)));
            }
        }
        Self {
            stop,
            ended,
            threads,
        }
    }

    /// Lets the requesters end. Returns what became of all attempts.
    pub fn end(self) -> Vec<Ended> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        std::mem::take(&mut *self.ended.lock().expect("unpoisoned"))
    }
}

fn requester(node: SocketAddr, kind: &Kind, stop: &AtomicBool, ended: &Mutex<Vec<Ended>>) {
    while !stop.load(Ordering::Relaxed) {
        let attempt = send(node, kind);
        ended.lock().expect("unpoisoned").push(attempt);
        thread::sleep(kind.pause);
    }
}

/// Sends one request, and waits for its end.
pub fn send(node: SocketAddr, kind: &Kind) -> Ended {
    let id = attempt();
    let deadline = kind.deadline_ms.to_string();
    let further = (kind.further)(number());
    let mut headers = vec![
        ("Host", kind.host),
        ("X-Attempt-Id", &*id),
        ("X-Deadline-Ms", &*deadline),
    ];
    headers.extend(further.iter().map(|(name, value)| (*name, value.as_str())));
    let sent = now();
    let limit = Duration::from_millis(kind.deadline_ms);
    let answer = http::ask(node, "POST", kind.path, &headers, b"loan", limit);
    let status = answer.map_or(0, |answer| answer.status());
    Ended {
        node,
        attempt: id,
        sent,
        over: now(),
        status,
    }
}
