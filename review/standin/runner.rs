//! Runners: application servers and model engines, as the platform's protocol describes them.

use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, read_request, respond};
use crate::store::Store;
use crate::world::World;

/// Path part of a request that crashes each runner that begins to run it: its channels are closed.
pub const CRASHING: &str = "crashing";

/// The same, but the runner's machine goes dark: nothing is closed, and nothing answers any more.
pub const DARKENING: &str = "darkening";

/// Time for which a crashed runner is away; it comes back under a new id.
const AWAY: Duration = Duration::from_millis(2_500);

/// Time after which the store removes the entry of a silent runner: three intervals.
const EXPIRY: Duration = Duration::from_millis(3_600);

const BEAT: Duration = Duration::from_millis(1_200);

/// Places for adapters, tokens of memory, and time of a load, as on the sheet.
pub const PLACES: usize = 30;
pub const KV_CAPACITY: u64 = 166_170;
const LOAD: Duration = Duration::from_millis(250);

/// Events of a stream, and the pause between two.
const EVENTS: u64 = 12;

/// Events of a long one.
const LONG_EVENTS: u64 = 480;
const PAUSE: Duration = Duration::from_millis(20);

/// Time that other work takes.
const WORK: Duration = Duration::from_millis(60);

/// Time that the work on an upload takes.
const LONG_WORK: Duration = Duration::from_millis(4_000);

struct Process {
    id: String,
    born: u128,
    up: AtomicBool,
    /// Whether its machine is dark.
    dark: AtomicBool,
    /// Channels that came while it was.
    silent: Mutex<Vec<TcpStream>>,
    channels: Mutex<Vec<TcpStream>>,
    running: AtomicU32,
    adapters: Mutex<BTreeMap<String, Instant>>,
    seq: AtomicU32,
    fence: Mutex<u64>,
}

pub struct Runner {
    world: Arc<World>,
    store: Arc<Store>,
    service: &'static str,
    zone: &'static str,
    engine: bool,
    slots: u32,
    address: SocketAddr,
    present: Mutex<Option<Arc<Process>>>,
}

impl Runner {
    /// Starts a runner that lives, with its restarts, as long as this program.
    pub fn start(
        world: &Arc<World>,
        store: &Arc<Store>,
        service: &'static str,
        zone: &'static str,
        engine: bool,
        slots: u32,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.3.1:0")?;
        let runner = Arc::new(Self {
            world: world.clone(),
            store: store.clone(),
            service,
            zone,
            engine,
            slots,
            address: listener.local_addr()?,
            present: Mutex::default(),
        });
        runner.begin(listener);
        Ok(runner)
    }

    /// Crashes without any request's doing.
    pub fn crash_now(self: &Arc<Self>) {
        let process = self.present.lock().expect("unpoisoned").clone();
        if let Some(process) = process {
            self.crash(&process, false);
        }
    }

    fn begin(self: &Arc<Self>, listener: TcpListener) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let process = Arc::new(Process {
            id: self.world.id("i-"),
            born: born.as_millis(),
            up: AtomicBool::new(true),
            dark: AtomicBool::new(false),
            silent: Mutex::default(),
            channels: Mutex::default(),
            running: AtomicU32::new(0),
            adapters: Mutex::default(),
            seq: AtomicU32::new(0),
            fence: Mutex::new(0),
        });
        self.world
            .note(&format!("runner {} of {} starts", process.id, self.service));
        *self.present.lock().expect("unpoisoned") = Some(process.clone());
        let (runner, beating) = (self.clone(), process.clone());
        std::thread::spawn(move || {
            while beating.up.load(Ordering::SeqCst) {
                runner
                    .store
                    .put(&format!("servers/{}", beating.id), &runner.entry(&beating));
                std::thread::sleep(BEAT);
            }
        });
        let runner = self.clone();
        std::thread::spawn(move || runner.accept(&listener, &process));
    }

    /// Accepts channels until the process has crashed. One that goes dark leaves those unanswered
    /// that come meanwhile.
    fn accept(self: &Arc<Self>, listener: &TcpListener, process: &Arc<Process>) {
        let _ = listener.set_nonblocking(true);
        while process.up.load(Ordering::SeqCst) || process.dark.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if process.dark.load(Ordering::SeqCst) {
                process.silent.lock().expect("unpoisoned").push(stream);
                continue;
            }
            if let Ok(copy) = stream.try_clone() {
                process.channels.lock().expect("unpoisoned").push(copy);
            }
            let (runner, process) = (self.clone(), process.clone());
            std::thread::spawn(move || runner.serve(stream, &process));
        }
    }

    /// Ends the process at once; another one begins at its address after a while.
    fn crash(self: &Arc<Self>, process: &Arc<Process>, dark: bool) {
        process.dark.store(dark, Ordering::SeqCst);
        if !process.up.swap(false, Ordering::SeqCst) {
            return;
        }
        let how = if dark { "goes dark" } else { "crashes" };
        self.world.note(&format!("runner {} {how}", process.id));
        let now = self.world.now();
        self.world.crashes.lock().expect("unpoisoned").push(now);
        let channels = std::mem::take(&mut *process.channels.lock().expect("unpoisoned"));
        let close = |channels: &[TcpStream]| {
            for channel in channels {
                let _ = channel.shutdown(std::net::Shutdown::Both);
            }
        };
        if !dark {
            close(&channels);
        }
        let (runner, process, id) = (self.clone(), process.clone(), process.id.clone());
        std::thread::spawn(move || {
            std::thread::sleep(AWAY);
            process.dark.store(false, Ordering::SeqCst);
            close(&channels);
            close(&process.silent.lock().expect("unpoisoned"));
            loop {
                if let Ok(listener) = TcpListener::bind(runner.address) {
                    runner.begin(listener);
                    break;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
            std::thread::sleep(EXPIRY.saturating_sub(AWAY));
            runner.store.remove(&format!("servers/{id}"));
        });
    }

    fn models(process: &Process) -> (String, String) {
        let now = Instant::now();
        let adapters = process.adapters.lock().expect("unpoisoned");
        let names = |held: bool, prefix: &str| {
            let some = adapters
                .iter()
                .filter(|(_, ready)| (**ready <= now) == held);
            let names: Vec<String> = some
                .map(|(name, _)| format!("\"{prefix}{name}@1\""))
                .collect();
            names.join(",")
        };
        let models = format!(
            "[{{\"name\":\"m0\",\"version\":1,\"adapters\":[{}]}}]",
            names(true, "")
        );
        (models, format!("[{}]", names(false, "m0/")))
    }

    fn entry(&self, process: &Process) -> String {
        let models = if self.engine {
            let (models, _) = Self::models(process);
            format!("\"stage\":\"colocated\",\"models\":{models},")
        } else {
            String::new()
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,{models}\"seq\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            process.seq.load(Ordering::SeqCst),
            process.born
        )
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, process: &Arc<Process>) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if !process.up.load(Ordering::SeqCst) {
                return;
            }
            if self.answer(&request, &mut writer, process).is_err() {
                return;
            }
        }
    }

    fn answer(
        self: &Arc<Self>,
        request: &Request,
        writer: &mut TcpStream,
        process: &Arc<Process>,
    ) -> std::io::Result<()> {
        let attempt = request
            .header("x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|id| id != process.id) {
            let headers = [
                ("X-Instance-Id", process.id.as_str()),
                ("X-Attempt-Id", &attempt),
            ];
            return respond(writer, 421, &headers, b"");
        }
        match request.route() {
            "/report" => return self.report(writer, process),
            "/order" => return self.order(request, writer, process),
            _ => {}
        }
        let load = format!(
            "{},0,{}",
            process.running.load(Ordering::SeqCst),
            self.slots
        );
        let named = [("X-Attempt-Id", attempt.as_str()), ("X-Server-Load", &load)];
        let refuse = |writer: &mut TcpStream, status| {
            self.world.arrived(&attempt, &process.id, false);
            let headers = [named[0], named[1], ("X-Not-Executed", "1")];
            respond(writer, status, &headers, b"")
        };
        if self.engine {
            let model = request.header("x-model").unwrap_or_default();
            let adapter = model.split_once('/').map(|(_, adapter)| adapter);
            let ready = {
                let adapters = process.adapters.lock().expect("unpoisoned");
                let ready = |name: &str| adapters.get(name).is_some_and(|at| *at <= Instant::now());
                adapter.is_none_or(ready)
            };
            if !ready {
                return refuse(writer, 421);
            }
            let usage = request.header("x-token-usage").unwrap_or_default();
            let tokens: u64 = usage
                .split(',')
                .filter_map(|text| text.trim().parse::<u64>().ok())
                .sum();
            if tokens > KV_CAPACITY {
                return refuse(writer, 503);
            }
        }
        if process.running.load(Ordering::SeqCst) >= self.slots {
            return refuse(writer, 503);
        }
        self.world.arrived(&attempt, &process.id, true);
        let dark = request.path.contains(DARKENING);
        if dark || request.path.contains(CRASHING) {
            self.crash(process, dark);
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let hangs = self.world.hanging.load(Ordering::SeqCst);
        if request.path.contains("stream") && self.world.number() * 37 % 100 < u64::from(hangs) {
            return self.hang(&attempt, writer, process);
        }
        process.running.fetch_add(1, Ordering::SeqCst);
        let done = self.run(request, writer, process, &named);
        process.running.fetch_sub(1, Ordering::SeqCst);
        done
    }

    /// Works on a request without an end, until its channel is closed.
    fn hang(
        &self,
        attempt: &str,
        channel: &mut TcpStream,
        process: &Process,
    ) -> std::io::Result<()> {
        self.world
            .note(&format!("runner {} hangs {attempt}", process.id));
        process.running.fetch_add(1, Ordering::SeqCst);
        let mut byte = [0; 1];
        let _ = channel.read(&mut byte);
        process.running.fetch_sub(1, Ordering::SeqCst);
        let now = self.world.now();
        self.world.note(&format!(
            "runner {} sees the channel of {attempt} closed",
            process.id
        ));
        self.world
            .hung
            .lock()
            .expect("unpoisoned")
            .push((attempt.to_owned(), now));
        Err(std::io::ErrorKind::ConnectionAborted.into())
    }

    fn run(
        &self,
        request: &Request,
        writer: &mut TcpStream,
        process: &Process,
        named: &[(&str, &str)],
    ) -> std::io::Result<()> {
        let signature = format!("{}.{}", process.id, named[0].1);
        let mut headers = named.to_vec();
        headers.push(("X-Response-Signature", &signature));
        if !request.path.contains("stream") {
            let work = if request.path.contains("upload") {
                LONG_WORK
            } else {
                WORK
            };
            std::thread::sleep(work);
            if !process.up.load(Ordering::SeqCst) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            return respond(writer, 200, &headers, process.id.as_bytes());
        }
        headers.push(("Content-Type", "text/event-stream"));
        headers.push(("Transfer-Encoding", "chunked"));
        let head = http::head(200, &headers);
        writer.write_all(format!("{head}\r\n").as_bytes())?;
        let after = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let events = if request.path.contains("long") {
            LONG_EVENTS
        } else {
            EVENTS
        };
        for id in after + 1..=events {
            std::thread::sleep(PAUSE);
            let event = format!("id: {id}\ndata: piece {id}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }

    fn report(&self, writer: &mut TcpStream, process: &Process) -> std::io::Result<()> {
        let (models, coming) = Self::models(process);
        let body = format!(
            "{{\"stage\":\"colocated\",\"models\":{models},\"coming\":{coming},\"busy\":false,\"seq\":{},\
             \"waiting\":0,\"running\":{},\"kv_used\":0,\"kv_total\":{KV_CAPACITY},\"handles\":0,\"born\":{}}}",
            process.seq.load(Ordering::SeqCst),
            process.running.load(Ordering::SeqCst),
            process.born
        );
        respond(
            writer,
            200,
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }

    fn order(
        &self,
        request: &Request,
        writer: &mut TcpStream,
        process: &Process,
    ) -> std::io::Result<()> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let fence = field(&text, "fence").and_then(|text| text.parse::<u64>().ok());
        let Some(fence) = fence else {
            return respond(writer, 400, &[], b"");
        };
        let status = {
            let mut seen = process.fence.lock().expect("unpoisoned");
            if fence < *seen {
                412
            } else {
                *seen = fence;
                self.carry_out(&text, process)
            }
        };
        let holder = field(&text, "holder").unwrap_or_default();
        self.world.note(&format!(
            "runner {} answers {status} to {holder}: {text}",
            process.id
        ));
        respond(writer, status, &[], b"")
    }

    fn carry_out(&self, text: &str, process: &Process) -> u16 {
        let Some(adapter) = field(text, "adapter") else {
            // The base model is held from the start.
            return 200;
        };
        let now = Instant::now();
        let mut adapters = process.adapters.lock().expect("unpoisoned");
        if field(text, "operation").as_deref() == Some("unload") {
            if adapters.remove(&adapter).is_some() {
                process.seq.fetch_add(1, Ordering::SeqCst);
            }
            return 200;
        }
        match adapters.get(&adapter) {
            Some(ready) if *ready <= now => 200,
            Some(_) => 202,
            None => {
                if adapters.len() >= PLACES {
                    self.world
                        .tell("LIMIT: a runner is ordered to load more than it holds");
                }
                adapters.insert(adapter, now + LOAD);
                process.seq.fetch_add(1, Ordering::SeqCst);
                202
            }
        }
    }
}

/// Returns a field of a flat JSON document without escapes.
fn field(text: &str, name: &str) -> Option<String> {
    let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
    let rest = rest.trim_start();
    match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next().map(str::to_owned),
        None => rest
            .split([',', '}'])
            .next()
            .map(|text| text.trim().to_owned()),
    }
}
