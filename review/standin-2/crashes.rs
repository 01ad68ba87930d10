//! A request crashes each model runner that begins to run it, some events into its stream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::advice::{self, ZONES};
use crate::clients::{self, Clients, Ended, Kind};
use crate::engine::{self, CRASHING, Engine};
use crate::nodes::{Node, await_ready};
use crate::store::Store;
use crate::world::{at, note, now, until};

const STABLE_WINDOW_MS: u64 = 3_000;

/// Retries that the rule allows after that.
const RETRIES: usize = 3;

/// Events that a runner makes of the request before it crashes: 400 ms.
const FATAL: u64 = 20;

/// How often the request comes.
const INTERVAL_MS: u64 = 3_000;

/// Time from a crash until a runner is back, as a new incarnation with a new id, and until the entry
/// of the former one is removed: three liveness reports.
const BACK_MS: u64 = 2_500;
const LAPSE_MS: u64 = 3_600;

const RUNNERS: u8 = 6;

/// How long the request keeps coming.
const PLAY_MS: u64 = 40_000;

type Newest = Arc<Mutex<BTreeMap<String, u64>>>;

/// A place where runners run, one after the other.
struct Seat {
    engine: Arc<Engine>,
    /// When its runner crashed, until another one has begun.
    crashed: Option<u64>,
}

struct Site<'a> {
    store: &'a Store,
    newest: Newest,
    fatal: Option<u64>,
    seats: Vec<Seat>,
    /// Runners that crashed: when, and whether the entry is removed.
    gone: Vec<(Arc<Engine>, u64, bool)>,
    started: u8,
}

impl<'a> Site<'a> {
    fn start(store: &'a Store, fatal: Option<u64>) -> Self {
        let newest = Newest::default();
        let (seats, gone) = (Vec::new(), Vec::new());
        let mut site = Self {
            store,
            newest,
            fatal,
            seats,
            gone,
            started: 0,
        };
        for _ in 0..RUNNERS {
            let engine = site.runner();
            site.seats.push(Seat {
                engine,
                crashed: None,
            });
        }
        site
    }

    /// Starts a runner, which registers itself.
    fn runner(&mut self) -> Arc<Engine> {
        let number = self.started;
        self.started += 1;
        let (id, zone) = (format!("i-{number}"), ZONES[usize::from(number) % 3]);
        let places = (advice::PLACES, advice::room(12));
        let engine = Engine::start(&id, 10 + number, zone, places, &self.newest, self.fatal);
        self.store.put(&engine.key(), &engine.entry());
        engine
    }

    /// Lets runners come back, and entries lapse.
    fn advance(&mut self) {
        let now = now();
        for index in 0..self.seats.len() {
            let seat = &mut self.seats[index];
            if seat.crashed.is_none() && seat.engine.has_crashed() {
                seat.crashed = Some(now);
                self.gone.push((seat.engine.clone(), now, false));
            }
            if seat.crashed.is_some_and(|at| now >= at + BACK_MS) {
                let engine = self.runner();
                self.seats[index] = Seat {
                    engine,
                    crashed: None,
                };
            }
        }
        for (engine, at, removed) in &mut self.gone {
            if !*removed && now >= *at + LAPSE_MS {
                *removed = true;
                self.store.remove(&engine.key());
            }
        }
    }

    fn engines(&self) -> Vec<Arc<Engine>> {
        let gone = self.gone.iter().map(|(engine, ..)| engine);
        let live = self.seats.iter().filter(|seat| seat.crashed.is_none());
        gone.chain(live.map(|seat| &seat.engine)).cloned().collect()
    }
}

/// The request, the same each time.
fn crashing() -> Kind {
    let further = |_| {
        vec![
            ("X-Model", "m0/a1".to_owned()),
            ("X-Token-Usage", "200,30".to_owned()),
            ("X-Prompt-Prefix", "5c1e07a2:150,91bd3f06:50".to_owned()),
        ]
    };
    Kind {
        path: CRASHING,
        further,
        ..advice::requests()
    }
}

/// Sends the request to one node after the other, and lets the site go on meanwhile.
fn play_site(site: &mut Site<'_>, fronts: &[SocketAddr]) -> Vec<Ended> {
    let began = now();
    let mut threads = Vec::new();
    let mut next = 0;
    while now() < began + PLAY_MS {
        if now() >= began + next * INTERVAL_MS {
            let front = fronts[(next as usize * 3) % fronts.len()];
            threads.push(thread::spawn(move || clients::send(front, &crashing())));
            next += 1;
        }
        site.advance();
        thread::sleep(Duration::from_millis(20));
    }
    let ended = threads.into_iter().filter_map(|thread| thread.join().ok());
    ended.collect()
}

pub fn play(folder: &str, trouble: bool) -> Verdict {
    let at_once = std::env::var("FATAL")
        .ok()
        .and_then(|text| text.parse().ok());
    let fatal = trouble.then_some(at_once.unwrap_or(FATAL));
    let (store, address) = Store::start(at(200, 0));
    let mut site = Site::start(&store, fatal);
    store.put("op/config", &advice::config(12));
    let mut nodes = Node::site(7, address, folder);
    if !await_ready(&nodes, 20_000) {
        note("the nodes are not ready in time");
        return Verdict::NotRun;
    }
    // All machines are in touch by then.
    until(now() + 5_000);
    let fronts: Vec<_> = nodes.iter().map(Node::front).collect();
    let clients = Clients::start(&fronts, 3, advice::requests());
    until(now() + 3_000);
    let again = play_site(&mut site, &fronts);
    let sound = clients.end();
    let dead = nodes.iter_mut().any(Node::has_ended);
    drop(nodes);
    let engines = site.engines();
    let serves = engine::record(&sound, &engines);
    for ended in &again {
        note(&format!("the crashing request: {}", ended.line()));
    }
    judge(&engines, &again, dead || !serves)
}

/// Counts the retries that reached runners later than the rule allows.
fn judge(engines: &[Arc<Engine>], again: &[Ended], failed: bool) -> Verdict {
    let mut runs = Vec::new();
    for engine in engines {
        let all = engine.runs.lock().expect("unpoisoned").clone();
        let of = |run: &engine::Run| again.iter().any(|ended| ended.attempt == run.attempt);
        runs.extend(all.into_iter().filter(of).map(|run| (run.at, engine)));
    }
    runs.sort_by_key(|(at, _)| *at);
    for (at, engine) in &runs {
        note(&format!("{} began to run the request at {at}", engine.id));
    }
    let crashed = engines.iter().filter_map(|engine| engine.crashed_at());
    let mut crashed: Vec<u64> = crashed.collect();
    crashed.sort_unstable();
    let third = crashed.get(2).copied();
    let late = third.map_or(0, |third| {
        let late = runs.iter().filter(|(at, _)| *at > third + STABLE_WINDOW_MS);
        late.count()
    });
    note(&format!(
        "{} runners crashed, the third at {third:?}; {late} retries reached runners more than {STABLE_WINDOW_MS} ms after it",
        crashed.len()
    ));
    if late > RETRIES {
        Verdict::Broken
    } else if failed {
        Verdict::NotRun
    } else {
        Verdict::Held
    }
}
