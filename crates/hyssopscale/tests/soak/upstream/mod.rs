//! Upstreams on the platform that misbehave as its pages allow, and what they ran.
//!
//! - `engine` carries out orders.
//! - `body` writes whole and broken answers.
//! - `word` is what they say of themselves, and why they refuse.
//! - `brittle` holds requests that wait, and falls over.
//! - `log` is what a run leaves.

mod body;
mod brittle;
mod engine;
mod log;
mod word;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep};

use super::raw::{Head, answer};
use super::store::Store;
use body::{CHUNK, FLOODS, events, flood, head as head_of, open_ended_events, write};
use engine::{Adapter, models};

pub use body::{EVENTS, read_events};
pub use brittle::Brittle;
pub use engine::LEASE;
pub use log::{Arrival, Fall, Log, Order, ProcessName, Run, Said, Service, Word};

/// Pools of upstreams: engines, and a plain service.
pub const POOLS: [&str; 2] = ["engines", "desk"];

/// Adapters that an engine has places for.
pub const PLACES: usize = 4;

/// Time for which a silent upstream keeps a request.
const SILENCE: Duration = Duration::from_secs(5);

/// Parts of the answers that come out wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Manner {
    /// Refused although there is room.
    pub shed: f64,
    /// Failed with the upstream's own status.
    pub fail: f64,
    /// Run, and the connection closed without an answer.
    pub lose: f64,
    /// Written once more ahead of the next answer on the connection.
    pub copy: f64,
    /// Cut in the middle.
    pub cut: f64,
    /// Replaced by bytes that are no answer.
    pub spoil: f64,
    /// Run, and never answered.
    pub mute: f64,
    /// Refused with a time before which nothing is wanted.
    pub pause: f64,
    /// Answered with bytes without end.
    pub flood: f64,
    /// Refused like that, but only after a while.
    pub late: f64,
}

/// One in so many answers ends with its connection, where some do.
const OPEN_ENDED: u32 = 2;

/// Releases of the software of upstreams.
pub const RELEASES: [&str; 2] = ["r1", "r2"];

/// First part of all prompts, and the part whose requests crash what runs them.
pub const FIRST_PART: &str = "f1";
pub const BAD_PART: &str = "bad0";

/// Time that an upstream works on a request with that part before it crashes.
const PART_WORK: Duration = Duration::from_millis(40);

/// Part of a path whose requests crash what runs them.
pub const POISON: &str = "poison";

/// Time that an upstream is down after a request has crashed it.
const CRASH_DOWN: Duration = Duration::from_millis(1_200);

/// What one incarnation knows.
struct State {
    id: String,
    release: String,
    born: u64,
    listed: bool,
    /// Whether its entry is removed although it serves.
    withdrawn: bool,
    leaving: bool,
    /// Whether its entry says that it leaves.
    announced: bool,
    running: u32,
    base: Option<Instant>,
    adapters: Vec<Adapter>,
    /// Adapters that it has held, also in earlier incarnations.
    known: Vec<String>,
    /// Number of orders that it has carried out.
    seq: u64,
    fence: u64,
    holder: String,
    /// Who ordered lately, and when.
    orders: Vec<(Instant, String)>,
    manner: Manner,
    /// What it says and bears while it is brittle, and since when.
    brittle: Option<(Brittle, Instant)>,
    /// Requests that it turned away lately for want of room.
    turned_away: Vec<(Instant, String)>,
    /// Requests a second that every answer announces, if any.
    rate: Option<f64>,
    rng: StdRng,
}

impl State {
    fn process(&self) -> ProcessName {
        format!("{}@{}", self.id, self.born)
    }
}

pub struct Upstream {
    pub pool: &'static str,
    number: usize,
    slots: u32,
    /// Requests that may wait for a place.
    room: u32,
    places: Semaphore,
    /// Where nodes reach it.
    pub address: SocketAddr,
    store: Arc<Store>,
    log: Log,
    fenced: bool,
    releases: bool,
    open_ended: bool,
    /// Raised at each end of an incarnation.
    generation: watch::Sender<u64>,
    state: Mutex<State>,
}

/// How an incarnation begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    First,
    /// Under another id.
    Anew,
    UnderItsId,
}

/// What an upstream is started with.
pub struct Config {
    pub pool: &'static str,
    pub number: usize,
    pub slots: u32,
    /// Requests that may wait for a place.
    pub room: u32,
    pub listen: SocketAddr,
    pub address: SocketAddr,
    pub store: Arc<Store>,
    pub log: Log,
    pub seed: u64,
    /// Whether it refuses old fencing numbers.
    pub fenced: bool,
    /// Whether upstreams of several releases serve side by side.
    pub releases: bool,
    /// Whether some answers have no length and end with their connections.
    pub open_ended: bool,
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Upstream {
    pub async fn start(config: Config) -> Arc<Self> {
        let listener = TcpListener::bind(config.listen).await.unwrap();
        let upstream = Arc::new(Self {
            pool: config.pool,
            number: config.number,
            slots: config.slots,
            room: config.room,
            places: Semaphore::new(config.slots as usize),
            address: config.address,
            store: config.store,
            log: config.log,
            fenced: config.fenced,
            releases: config.releases,
            open_ended: config.open_ended,
            generation: watch::Sender::new(0),
            state: Mutex::new(State {
                id: String::new(),
                release: String::new(),
                born: 0,
                listed: false,
                withdrawn: false,
                leaving: false,
                announced: false,
                running: 0,
                base: None,
                adapters: Vec::new(),
                known: Vec::new(),
                seq: 0,
                fence: 0,
                holder: String::new(),
                orders: Vec::new(),
                manner: Manner::default(),
                brittle: None,
                turned_away: Vec::new(),
                rate: None,
                rng: StdRng::seed_from_u64(config.seed),
            }),
        });
        upstream.begin(Start::First);
        let given = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(upstream.clone().connection(stream));
            }
        });
        given
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_engine(&self) -> bool {
        self.pool == "engines"
    }

    pub fn set(&self, manner: Manner) {
        self.lock().manner = manner;
    }

    pub fn announce(&self, rate: Option<f64>) {
        self.lock().rate = rate;
    }

    /// Begins a new incarnation, which holds nothing unless it is the first.
    fn begin(&self, start: Start) {
        let mut state = self.lock();
        let generation = *self.generation.borrow();
        if start != Start::UnderItsId {
            state.id = format!("{}-{}-{generation}", self.pool, self.number);
        }
        let release = match start {
            Start::First => self.number % RELEASES.len(),
            Start::Anew | Start::UnderItsId => state.rng.random_range(0..RELEASES.len()),
        };
        let release = if self.releases { release } else { 0 };
        state.release = RELEASES[release].to_owned();
        state.born = unix_millis();
        (state.listed, state.withdrawn) = (true, false);
        (state.leaving, state.announced) = (false, false);
        state.base = (start == Start::First).then(Instant::now);
        state.adapters.clear();
        (state.seq, state.fence, state.holder) = (0, 0, String::new());
        state.orders.clear();
        state.turned_away.clear();
        self.log.services.lock().unwrap().push(Service {
            upstream: state.process(),
            pool: self.pool,
            release: state.release.clone(),
            from: Instant::now(),
            until: None,
        });
        drop(state);
        self.list();
    }

    /// Ends the incarnation at once, with all its requests.
    fn end(&self) -> String {
        let (id, process) = {
            let mut state = self.lock();
            state.listed = false;
            state.running = 0;
            (state.id.clone(), state.process())
        };
        let mut services = self.log.services.lock().unwrap();
        let present = services
            .iter_mut()
            .rev()
            .find(|service| service.upstream == process);
        if let Some(present) = present {
            present.until = Some(Instant::now());
        }
        drop(services);
        self.generation.send_modify(|generation| *generation += 1);
        id
    }

    /// Crashes under a request, unless it has crashed already.
    async fn crash_under(self: Arc<Self>, path: String) {
        if !self.lock().listed {
            return;
        }
        self.log
            .crashes
            .lock()
            .unwrap()
            .push((path, Instant::now()));
        self.crash(CRASH_DOWN).await;
    }

    /// Crashes, is down for `time`, and starts again under another id.
    pub async fn crash(&self, time: Duration) {
        let id = self.end();
        sleep(time).await;
        // Some start again under the id that they had.
        let keeps_id = self.releases && self.lock().rng.random_ratio(1, 3);
        if keeps_id {
            return self.begin(Start::UnderItsId);
        }
        self.store.remove(&format!("servers/{id}"));
        self.begin(Start::Anew);
    }

    /// Says that it leaves, in its entry or in its answers alone, serves on for `time`, ends, and
    /// starts again under another id. Returns its name and the time of its word.
    pub async fn leave(&self, time: Duration, announced: bool) -> (ProcessName, Instant) {
        let process = {
            let mut state = self.lock();
            (state.leaving, state.announced) = (true, announced);
            state.process()
        };
        self.list();
        let said = Instant::now();
        sleep(time).await;
        // It may have crashed meanwhile.
        let (present, listed) = {
            let state = self.lock();
            (state.process(), state.listed)
        };
        if present == process && listed {
            let id = self.end();
            self.store.remove(&format!("servers/{id}"));
            self.begin(Start::Anew);
        }
        (process, said)
    }

    /// Has its entry removed without a word, serves on for `time`, ends, and starts again under another
    /// id. Returns its name and the time of the removal, unless it is down or leaves already.
    pub async fn withdraw(&self, time: Duration) -> Option<(ProcessName, Instant)> {
        let (process, key) = {
            let mut state = self.lock();
            if !state.listed || state.withdrawn || state.leaving {
                return None;
            }
            state.withdrawn = true;
            (state.process(), format!("servers/{}", state.id))
        };
        self.store.remove(&key);
        let said = Instant::now();
        sleep(time).await;
        let serves = {
            let state = self.lock();
            state.listed && state.process() == process
        };
        if serves {
            self.end();
            self.begin(Start::Anew);
        }
        Some((process, said))
    }

    /// Has no entry for `time`, and serves on.
    pub async fn lapse(&self, time: Duration) {
        let (process, key) = {
            let mut state = self.lock();
            if !state.listed || state.withdrawn {
                return;
            }
            state.withdrawn = true;
            (state.process(), format!("servers/{}", state.id))
        };
        self.store.remove(&key);
        sleep(time).await;
        let is_back = {
            let mut state = self.lock();
            let serves = state.listed && state.process() == process;
            if serves {
                state.withdrawn = false;
            }
            serves
        };
        if is_back {
            self.list();
        }
    }

    /// Returns the key of its entry, where it has one.
    pub fn key(&self) -> Option<String> {
        let state = self.lock();
        let has_entry = state.listed && !state.withdrawn;
        has_entry.then(|| format!("servers/{}", state.id))
    }

    /// Writes its entry.
    pub fn list(&self) {
        if let (Some(key), Some(entry)) = (self.key(), self.entry()) {
            self.store.put(&key, &entry);
        }
    }

    /// Returns its entry, where it has one.
    pub fn entry(&self) -> Option<Value> {
        let state = self.lock();
        if !state.listed {
            return None;
        }
        let mut entry = json!({
            "service": self.pool, "address": self.address, "zone": "z", "version": state.release,
            "slots": self.slots, "seq": 1, "born": state.born,
            "state": if state.announced { "draining" } else { "ready" },
        });
        if self.is_engine() {
            entry["stage"] = json!("colocated");
            entry["models"] = models(&state);
        }
        Some(entry)
    }

    async fn connection(self: Arc<Self>, mut stream: TcpStream) {
        let mut generation = self.generation.subscribe();
        if !self.lock().listed || stream.set_nodelay(true).is_err() {
            return;
        }
        tokio::select! {
            _ = generation.changed() => {}
            () = self.requests(&mut stream) => {}
        }
    }

    async fn requests(self: &Arc<Self>, stream: &mut TcpStream) {
        let (mut buffer, mut ahead) = (Vec::new(), String::new());
        while let Some(head) = Head::read(stream, &mut buffer).await {
            let late = std::mem::take(&mut ahead);
            if stream.write_all(late.as_bytes()).await.is_err()
                || !self.answer(&head, stream, &mut ahead).await
            {
                return;
            }
        }
    }

    /// Answers one request. Returns `false` where the connection is to be closed.
    async fn answer(
        self: &Arc<Self>,
        head: &Head,
        stream: &mut TcpStream,
        ahead: &mut String,
    ) -> bool {
        match head.path.as_str() {
            "/order" => return write(stream, &self.order(head)).await,
            "/report" => return write(stream, &self.report()).await,
            _ => {}
        }
        let attempt = head.header("x-attempt-id").to_owned();
        self.log.arrivals.lock().unwrap().push(Arrival {
            attempt: attempt.clone(),
            pool: self.pool,
            upstream: self.lock().process(),
            at: Instant::now(),
        });
        let (manner, copies) = {
            let mut state = self.lock();
            let manner = state.manner;
            (manner, state.rng.random_bool(manner.copy))
        };
        if let Some(refusal) = self.refusal(head, &attempt, manner) {
            if copies {
                ahead.clone_from(&refusal);
            }
            return write(stream, &refusal).await;
        }
        let _running = Running(self);
        let Some(_place) = self.place(stream).await else {
            return false;
        };
        if let Some(after) = self.late_refusal(manner) {
            sleep(after).await;
            let mut names = vec![
                format!("x-attempt-id: {attempt}"),
                "x-not-executed: 1".to_owned(),
            ];
            names.extend(self.load(&self.lock()));
            return write(stream, &answer(503, &names, "")).await;
        }
        let run = Run {
            attempt: attempt.clone(),
            upstream: self.lock().process(),
            at: Instant::now(),
        };
        self.log.runs.lock().unwrap().push(run);
        if head.path.contains(POISON) {
            tokio::spawn(self.clone().crash_under(head.path.clone()));
            return std::future::pending().await;
        }
        if has_bad_part(head) {
            sleep(PART_WORK).await;
            tokio::spawn(self.clone().crash_under(BAD_PART.to_owned()));
            return std::future::pending().await;
        }
        let draw: f64 = self.lock().rng.random();
        let names = self.names(&attempt);
        let after = head.header("last-event-id").parse().unwrap_or(0);
        let streams = head.path.starts_with("/stream");
        if !streams {
            let work = self.lock().rng.random_range(10..60);
            sleep(Duration::from_millis(work)).await;
        }
        let mut edge = 0.0;
        let mut falls = |part: f64| {
            edge += part;
            draw < edge
        };
        if falls(manner.lose) {
            return false;
        }
        if falls(manner.mute) {
            sleep(SILENCE).await;
            return false;
        }
        if falls(manner.spoil) {
            return write(stream, "no answer at all\r\n\r\n").await;
        }
        if falls(manner.fail) {
            return write(stream, &answer(500, &names, "failed")).await;
        }
        let cut = falls(manner.cut);
        let open_ended = self.open_ended && self.lock().rng.random_ratio(1, OPEN_ENDED);
        if falls(manner.flood) {
            let number = self.lock().rng.random_range(0..=FLOODS.len());
            let Some(flooded) = FLOODS.get(number) else {
                let head = head_of(&names, "transfer-encoding: chunked\r\n");
                return flood(stream, (&head, CHUNK)).await;
            };
            return flood(stream, *flooded).await;
        }
        if streams {
            let release = self.lock().release.clone();
            let of = (&*attempt, &*release);
            if copies && self.open_ended && !cut {
                *ahead = body::copy_of_events(&names, of, after);
            }
            return if open_ended {
                open_ended_events(stream, &names, of, after, cut).await
            } else {
                events(stream, &names, of, after, cut).await
            };
        }
        if open_ended {
            let (first, second) = attempt.split_at(attempt.len() / 2);
            let parts = [first, second].map(str::to_owned);
            let parts = parts.into_iter().take(if cut { 1 } else { 2 });
            return body::open_ended(stream, &names, parts, !cut).await;
        }
        let text = answer(200, &names, &attempt);
        if cut {
            let _ = write(stream, &text[..text.len() - 4]).await;
            return false;
        }
        if copies {
            ahead.clone_from(&text);
        }
        write(stream, &text).await
    }
}

/// A request that takes a slot until it is dropped.
struct Running<'a>(&'a Upstream);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.running = state.running.saturating_sub(1);
    }
}

/// Tells whether a part of the prompt other than the last one crashes what runs it.
fn has_bad_part(head: &Head) -> bool {
    let names = head.header("x-prompt-prefix").split(',');
    let mut names = names.map(|pair| pair.split(':').next().unwrap_or_default());
    names.next_back();
    names.any(|name| name == BAD_PART)
}
