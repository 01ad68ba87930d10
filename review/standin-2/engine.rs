//! Model runners: places for adapters, versions of these, and orders with epoch numbers.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use crate::advice;
use crate::clients::Ended;
use crate::http::{self, After, Listener, Message};
use crate::store::Store;
use crate::world::{at, field, note, now, wall};

/// Time in which an adapter comes from the store.
const LOAD_MS: u64 = 250;

/// Adapters on their way to a runner at the same time.
const IN_TRANSIT: usize = 4;

/// Pause between two events of a stream, and the number of these.
const EVENT: Duration = Duration::from_millis(20);
const EVENTS: u64 = 30;

/// Events of a request for [`CRASHING`]: more than any run of it makes before it crashes the runner.
const CRASHING_EVENTS: u64 = 90;

/// The path of a request that crashes each runner that begins to run it.
pub const CRASHING: &str = "/advice/crashing";

/// An adapter at a runner.
#[derive(Clone, Debug, Default)]
struct Adapter {
    /// The version that serves.
    held: Option<u64>,
    /// The version that is on its way, and when it has come.
    coming: Option<(u64, u64)>,
    /// Runs that use it.
    running: u32,
    /// Whether it goes once its runs have ended.
    unloading: bool,
}

#[derive(Default)]
struct State {
    adapters: BTreeMap<String, Adapter>,
    fence: u64,
    seq: u64,
    streams: Vec<(SocketAddr, TcpStream)>,
    listener: Option<Listener>,
    ended: bool,
    /// When a request crashed it.
    crashed_at: Option<u64>,
}

impl State {
    /// Lets time pass: what has come replaces what served, once its runs have ended.
    fn advance(&mut self) {
        let now = now();
        for adapter in self.adapters.values_mut() {
            if let Some((version, _)) = adapter.coming.filter(|(_, at)| *at <= now)
                && adapter.running == 0
            {
                adapter.held = Some(version);
                adapter.coming = None;
            }
        }
        self.adapters.retain(|_, adapter| {
            let gone = adapter.unloading && adapter.running == 0;
            !gone && (adapter.held.is_some() || adapter.coming.is_some())
        });
    }

    /// Adapters on their way. One that has come and waits for the runs of the version before is none.
    fn in_transit(&self) -> usize {
        let coming = self.adapters.values().filter_map(|adapter| adapter.coming);
        coming.filter(|(_, at)| now() < *at).count()
    }

    /// Places that are taken: adapters that are there, and those on their way.
    fn taken(&self) -> usize {
        let held = self
            .adapters
            .values()
            .filter(|adapter| adapter.held.is_some());
        held.count() + self.in_transit()
    }
}

/// A run that began.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub attempt: String,
    pub adapter: String,
    pub version: u64,
    pub whole: bool,
}

impl Run {
    /// Returns what is written down of it.
    pub fn line(&self, id: &str) -> String {
        let Self {
            at,
            attempt,
            adapter,
            version,
            whole,
        } = self;
        let end = if *whole { "whole" } else { "cut" };
        format!("{id}: {attempt} ran on {adapter}@{version} at {at}, {end}")
    }
}

pub struct Engine {
    pub id: String,
    address: SocketAddr,
    zone: &'static str,
    born: u64,
    places: usize,
    /// Adapters for which its weights leave room.
    room: usize,
    /// Newest version of each adapter in the store of weights.
    newest: Arc<Mutex<BTreeMap<String, u64>>>,
    /// Events that it makes of a request for [`CRASHING`] before it crashes; `None` where it does not crash.
    fatal: Option<u64>,
    state: Mutex<State>,
    pub runs: Mutex<Vec<Run>>,
    /// What it was ordered beyond its places: when, and what there was.
    pub overfull: Mutex<Vec<String>>,
}

impl Engine {
    pub fn start(
        id: &str,
        index: u8,
        zone: &'static str,
        (places, room): (usize, usize),
        newest: &Arc<Mutex<BTreeMap<String, u64>>>,
        fatal: Option<u64>,
    ) -> Arc<Self> {
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: at(index, 8500),
            zone,
            born: wall(),
            places,
            room,
            newest: newest.clone(),
            fatal,
            state: Mutex::default(),
            runs: Mutex::default(),
            overfull: Mutex::default(),
        });
        let served = engine.clone();
        let listener = http::serve(engine.address, move |request, stream| {
            served.handle(request, stream)
        });
        engine.state().listener = Some(listener);
        engine
    }

    /// Tells whether its process has crashed.
    pub fn has_crashed(&self) -> bool {
        self.state.lock().expect("unpoisoned").ended
    }

    /// Returns when a request crashed it.
    pub fn crashed_at(&self) -> Option<u64> {
        self.state.lock().expect("unpoisoned").crashed_at
    }

    /// Ends its process: its channels are closed, and new ones are refused.
    fn crash(&self) {
        let (streams, listener) = {
            let mut state = self.state.lock().expect("unpoisoned");
            state.ended = true;
            (std::mem::take(&mut state.streams), state.listener.take())
        };
        if let Some(listener) = listener {
            listener.close();
        }
        streams
            .iter()
            .for_each(|(_, stream)| drop(stream.shutdown(Shutdown::Both)));
    }

    /// Tells whether it was ordered to load more than it holds.
    pub fn is_overfull(&self) -> bool {
        !self.overfull.lock().expect("unpoisoned").is_empty()
    }

    /// Its key in the platform's store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// What it says of itself in the platform's store.
    pub fn entry(&self) -> String {
        let adapters = self.held();
        format!(
            "{{\"service\":\"advice-llm\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":0,\"born\":{},\"stage\":\"colocated\",\
             \"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[{adapters}]}}]}}",
            self.address, self.zone, self.born
        )
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("unpoisoned");
        state.advance();
        state
    }

    /// What it holds, as it says so.
    fn held(&self) -> String {
        let state = self.state();
        let held = state
            .adapters
            .iter()
            .filter_map(|(name, adapter)| Some((name, adapter.held?)));
        let held: Vec<String> = held
            .map(|(name, version)| format!("\"{name}@{version}\""))
            .collect();
        held.join(",")
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<After> {
        {
            let mut state = self.state();
            if state.ended {
                return Ok(After::Close);
            }
            if let (Ok(peer), Ok(stream)) = (stream.peer_addr(), stream.try_clone())
                && state.streams.iter().all(|(known, _)| *known != peer)
            {
                state.streams.push((peer, stream));
            }
        }
        if request
            .header("x-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return self.refuse(stream, 421, request);
        }
        match (request.method(), request.path()) {
            ("GET", "/healthz") => http::answer(stream, 200, &[("X-Instance-Id", &self.id)], b"")?,
            ("GET", "/report") => {
                let report = self.report();
                http::answer(
                    stream,
                    200,
                    &[("Content-Type", "application/json")],
                    report.as_bytes(),
                )?;
            }
            ("POST", "/order") => {
                let Some(status) = self.order(request) else {
                    return Ok(After::Close);
                };
                http::answer(
                    stream,
                    status,
                    &[("Content-Type", "application/json")],
                    b"{}",
                )?;
            }
            _ => return self.request(request, stream),
        }
        Ok(After::Keep)
    }

    fn refuse(&self, stream: &mut TcpStream, status: u16, request: &Message) -> io::Result<After> {
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        let headers = [
            ("X-Attempt-Id", attempt),
            ("X-Not-Executed", "1"),
            ("X-Instance-Id", &self.id),
        ];
        http::answer(stream, status, &headers, b"")?;
        Ok(After::Keep)
    }

    fn request(&self, request: &Message, stream: &mut TcpStream) -> io::Result<After> {
        let attempt = request
            .header("x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let target = request.header("x-model").unwrap_or_default();
        let Some((_, name)) = target.split_once('/') else {
            return self.refuse(stream, 421, request);
        };
        let expected = request
            .header("x-expect-version")
            .and_then(|text| text.parse::<u64>().ok());
        let begun = {
            let mut state = self.state();
            match state.adapters.get_mut(name) {
                Some(adapter) if adapter.unloading => Err(503),
                Some(adapter) => match adapter.held {
                    Some(version) if expected.is_none_or(|expected| expected == version) => {
                        adapter.running += 1;
                        Ok(version)
                    }
                    _ => Err(421),
                },
                None => Err(421),
            }
        };
        let version = match begun {
            Ok(version) => version,
            Err(status) => return self.refuse(stream, status, request),
        };
        let at = now();
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let (events, fatal) = if request.path() == CRASHING {
            (CRASHING_EVENTS, self.fatal)
        } else {
            (EVENTS, None)
        };
        let sent = self.events(stream, &attempt, version, (last + 1..=events, fatal));
        if let Some(adapter) = self
            .state
            .lock()
            .expect("unpoisoned")
            .adapters
            .get_mut(name)
        {
            adapter.running -= 1;
        }
        let whole = sent.is_ok();
        let run = Run {
            at,
            attempt,
            adapter: name.to_owned(),
            version,
            whole,
        };
        self.runs.lock().expect("unpoisoned").push(run);
        sent.map(|()| After::Keep)
    }

    /// Sends these events, and crashes after `fatal` of them.
    fn events(
        &self,
        stream: &mut TcpStream,
        attempt: &str,
        version: u64,
        (events, fatal): (RangeInclusive<u64>, Option<u64>),
    ) -> io::Result<()> {
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Attempt-Id: {attempt}\r\nX-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             X-Weight-Versions: {version}\r\n\r\n"
        )?;
        let first = *events.start();
        for id in events {
            thread::sleep(EVENT);
            if fatal.is_some_and(|fatal| id - first >= fatal) {
                note(&format!("{}: request {attempt} crashes it", self.id));
                self.state.lock().expect("unpoisoned").crashed_at = Some(now());
                self.crash();
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let event = format!("id: {id}\ndata: {} {id}\n\n", self.id);
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }

    fn report(&self) -> String {
        let held = self.held();
        let state = self.state();
        let coming = state.adapters.iter();
        let coming = coming.filter_map(|(name, adapter)| Some((name, adapter.coming?.0)));
        let coming: Vec<String> = coming
            .map(|(name, version)| format!("\"m0/{name}@{version}\""))
            .collect();
        let running: u32 = state.adapters.values().map(|adapter| adapter.running).sum();
        format!(
            "{{\"stage\":\"colocated\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[{held}]}}],\
             \"coming\":[{}],\"busy\":false,\"seq\":{},\"waiting\":0,\"running\":{running},\
             \"kv_used\":0,\"kv_total\":169122,\"handles\":0,\"born\":{}}}",
            coming.join(","),
            state.seq,
            self.born
        )
    }

    /// Takes an order; `None` where the runner crashes by it.
    fn order(&self, request: &Message) -> Option<u16> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let holder = field(&text, "holder").unwrap_or_default();
        let operation = field(&text, "operation").unwrap_or_default();
        let adapter = field(&text, "adapter");
        let wanted = field(&text, "version").and_then(|text| text.parse().ok());
        let Some(fence) = field(&text, "fence").and_then(|text| text.parse::<u64>().ok()) else {
            return Some(400);
        };
        let name = adapter.clone().unwrap_or_default();
        let newest = self
            .newest
            .lock()
            .expect("unpoisoned")
            .get(&name)
            .copied()
            .unwrap_or(1);
        let mut state = self.state();
        let before = state.taken();
        let status = if fence < state.fence {
            412
        } else {
            state.fence = fence;
            match (&*operation, adapter) {
                ("load", None) => 200,
                ("load", Some(name)) => load(&mut state, &name, wanted.unwrap_or(newest)),
                ("unload", Some(name)) => unload(&mut state, &name),
                _ => 400,
            }
        };
        let after = state.taken();
        let shown = wanted.map_or(String::new(), |version| format!("@{version}"));
        note(&format!(
            "{}: {holder} orders {operation} {name}{shown}: {status}; {before} of {} places were taken, {after} are",
            self.id, self.places
        ));
        if after <= self.places.min(self.room) {
            return Some(status);
        }
        // PROTOCOL.md: a runner that is ordered to load more than `weights_mb` or `adapter_slots` crashes.
        let there: Vec<String> = state
            .adapters
            .iter()
            .map(|(name, adapter)| format!("{name} {adapter:?}"))
            .collect();
        drop(state);
        self.crash();
        let line = format!(
            "{}: ordered to load {name}{shown} as number {after}, with {} places and room for {}",
            self.id, self.places, self.room
        );
        note(&format!(
            "{line}; it crashes; there were {}",
            there.join(", ")
        ));
        self.overfull.lock().expect("unpoisoned").push(line);
        None
    }
}

fn load(state: &mut State, name: &str, version: u64) -> u16 {
    let transit = state.in_transit();
    let adapter = state.adapters.get(name).cloned().unwrap_or_default();
    if adapter.held == Some(version) {
        return 200;
    }
    if adapter.coming.is_some_and(|(coming, _)| coming == version) {
        return 202;
    }
    if adapter.unloading || transit >= IN_TRANSIT {
        return 409;
    }
    let adapter = state.adapters.entry(name.to_owned()).or_default();
    adapter.coming = Some((version, now() + LOAD_MS));
    state.seq += 1;
    202
}

fn unload(state: &mut State, name: &str) -> u16 {
    let Some(adapter) = state.adapters.get_mut(name) else {
        return 200;
    };
    if adapter.running > 0 {
        adapter.unloading = true;
        return 202;
    }
    state.adapters.remove(name);
    state.seq += 1;
    200
}

/// Starts three model runners whose adapters have that size, and publishes the configuration.
pub fn site(
    store: &Store,
    newest: &Arc<Mutex<BTreeMap<String, u64>>>,
    adapter_mb: u64,
) -> Vec<Arc<Engine>> {
    let room = advice::room(adapter_mb);
    let engines: Vec<_> = (0..3u8)
        .map(|index| {
            let (id, zone) = (format!("i-{index}"), advice::ZONES[usize::from(index)]);
            let places = (advice::PLACES, room);
            Engine::start(&id, 100 + index, zone, places, newest, None)
        })
        .collect();
    for engine in &engines {
        store.put(&engine.key(), &engine.entry());
    }
    store.put("op/config", &advice::config(adapter_mb));
    engines
}

/// Writes down what was sent, answered and run; times are milliseconds since the start. Returns whether the
/// site served at all.
pub fn record(ended: &[Ended], engines: &[Arc<Engine>]) -> bool {
    let served = ended.iter().filter(|ended| ended.status == 200).count();
    for ended in ended {
        note(&ended.line());
    }
    for engine in engines {
        let runs = engine.runs.lock().expect("unpoisoned");
        runs.iter().for_each(|run| note(&run.line(&engine.id)));
        let cut = runs.iter().filter(|run| !run.whole).count();
        note(&format!(
            "{}: {} runs, {cut} of them cut",
            engine.id,
            runs.len()
        ));
        for line in engine.overfull.lock().expect("unpoisoned").iter() {
            note(line);
        }
    }
    note(&format!(
        "{} requests were sent, {served} served",
        ended.len()
    ));
    served * 3 >= ended.len()
}
