//! Runners of a plain service.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, After, Message};
use crate::world::{at, note, now, wall};

/// Requests that a runner runs at once.
const SLOTS: u32 = 6;

/// Bytes of an answer.
const ANSWER: [u8; 800] = [b'x'; 800];

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub attempt: String,
}

pub struct Runner {
    pub id: String,
    service: &'static str,
    address: SocketAddr,
    zone: &'static str,
    born: u64,
    work: Duration,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Attempts that it has run to the end.
    pub done: Mutex<Vec<String>>,
    running: Mutex<u32>,
    /// Its open connections, by their other end.
    streams: Mutex<Vec<(SocketAddr, TcpStream)>>,
    ended: Mutex<bool>,
}

impl Runner {
    /// Starts a runner on a machine of its own, which works for so long on each request.
    pub fn start(
        id: &str,
        service: &'static str,
        index: u8,
        zone: &'static str,
        work: Duration,
    ) -> Arc<Self> {
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service,
            address: at(index, 8500),
            zone,
            born: wall(),
            work,
            arrivals: Mutex::default(),
            done: Mutex::default(),
            running: Mutex::default(),
            streams: Mutex::default(),
            ended: Mutex::default(),
        });
        let served = runner.clone();
        http::serve(runner.address, move |request, stream| {
            served.handle(request, stream)
        });
        runner
    }

    /// Its key in the platform's store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// What it says of itself in the platform's store.
    pub fn entry(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":0,\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }

    /// Ends its process: nothing is answered any more.
    pub fn end(&self) {
        *self.ended.lock().expect("unpoisoned") = true;
        let streams = std::mem::take(&mut *self.streams.lock().expect("unpoisoned"));
        streams
            .iter()
            .for_each(|(_, stream)| drop(stream.shutdown(Shutdown::Both)));
        note(&format!("{}: its process ends", self.id));
    }

    /// Notes a connection, so that it ends with the process.
    fn keep(&self, stream: &TcpStream) {
        let mut streams = self.streams.lock().expect("unpoisoned");
        if let (Ok(peer), Ok(stream)) = (stream.peer_addr(), stream.try_clone())
            && streams.iter().all(|(known, _)| *known != peer)
        {
            streams.push((peer, stream));
        }
    }

    fn has_ended(&self) -> bool {
        *self.ended.lock().expect("unpoisoned")
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<After> {
        if self.has_ended() {
            return Ok(After::Close);
        }
        self.keep(stream);
        match (request.method(), request.path()) {
            ("GET", "/healthz") => http::answer(stream, 200, &[("X-Instance-Id", &self.id)], b"")?,
            ("GET", "/report") => {
                let report = format!("{{\"born\":{}}}", self.born);
                http::answer(
                    stream,
                    200,
                    &[("Content-Type", "application/json")],
                    report.as_bytes(),
                )?;
            }
            _ => return self.request(request, stream),
        }
        Ok(After::Keep)
    }

    fn request(&self, request: &Message, stream: &mut TcpStream) -> io::Result<After> {
        let attempt = request
            .header("x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        if request
            .header("x-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            let headers = [
                ("X-Attempt-Id", &*attempt),
                ("X-Not-Executed", "1"),
                ("X-Instance-Id", &self.id),
            ];
            http::answer(stream, 421, &headers, b"")?;
            return Ok(After::Keep);
        }
        let arrival = Arrival {
            at: now(),
            attempt: attempt.clone(),
        };
        self.arrivals.lock().expect("unpoisoned").push(arrival);
        let running = {
            let mut running = self.running.lock().expect("unpoisoned");
            *running += 1;
            *running
        };
        thread::sleep(self.work);
        *self.running.lock().expect("unpoisoned") -= 1;
        if self.has_ended() {
            return Ok(After::Close);
        }
        self.done.lock().expect("unpoisoned").push(attempt.clone());
        let load = format!("{running},0,{SLOTS}");
        let headers = [
            ("X-Attempt-Id", &*attempt),
            ("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("X-Server-Load", &load),
        ];
        http::answer(stream, 200, &headers, &ANSWER)?;
        Ok(After::Keep)
    }
}
