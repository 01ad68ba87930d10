//! The cases. Each returns the exit code of its script: 1 where the rule was broken, 0 where it
//! held, 2 where the case could not run.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Seen};
use crate::nodes::{self, Node, ZONES};
use crate::runner::{self, Runner};
use crate::store::Store;
use crate::world::{Arrival, Folder, World};

const HOST: &str = "ficu95.example";

/// `stable_window_ms` of the sheet.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// A small deployment: the store, runners, and nodes.
struct Site {
    world: Arc<World>,
    nodes: Vec<Node>,
    engines: Vec<Arc<Runner>>,
    _folder: Folder,
}

fn route(name: &str, kind: &str, service: &str, timeout: u32, aim: u32, attempts: u32) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout},\"target_latency_ms\":{aim},\"priority\":0,\"service\":\"{service}\",\
         \"max_attempts\":{attempts},\"resumable\":{}}}",
        kind == "streaming"
    )
}

fn config() -> String {
    let routes = [
        route("stream", "streaming", "engines", 12_000, 800, 2),
        route("act", "non_idempotent", "engines", 10_000, 3_000, 1),
        route("commit", "non_idempotent", "desk", 1_500, 300, 1),
        route("read", "idempotent", "desk", 1_500, 300, 2),
        route("upload", "non_idempotent", "desk", 10_000, 3_000, 1),
    ];
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"engines\",\"health_path\":\"/healthz\",\
         \"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kv_capacity\":{},\"kv_token_bytes\":163840,\"models\":[{{\"name\":\"m0\",\"weights_mb\":65100.0,\
         \"load_time_s\":2.9,\"adapters\":3000,\"adapter_mb\":12.0}}],\"weights_mb\":66800.0,\
         \"adapter_slots\":{},\"loads_per_s\":2.4}}}},{{\"name\":\"desk\",\"health_path\":\"/healthz\",\
         \"max_connections\":360,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        runner::KV_CAPACITY,
        runner::PLACES
    )
}

impl Site {
    /// Starts everything, and waits until all nodes are ready.
    fn start(record: &str, nodes: usize, engines: usize, desks: usize, slots: u32) -> Option<Self> {
        let world = Arc::new(World::new(record).ok()?);
        let folder = Folder::new().ok()?;
        let (store, address) = Store::start().ok()?;
        let start =
            |index| Runner::start(&world, &store, "engines", ZONES[index % 3], true, 64).ok();
        let engines = (0..engines).map(start).collect::<Option<Vec<_>>>()?;
        for index in 0..desks {
            Runner::start(&world, &store, "desk", ZONES[index % 3], false, slots).ok()?;
        }
        store.put("op/config", &config());
        let mut started = None;
        for _ in 0..3 {
            // Other programs may take a port before a node binds it; then others are tried.
            started = Self::start_nodes(nodes, &folder, address);
            if started.is_some() {
                break;
            }
        }
        let nodes = started?;
        world.note("all nodes are ready");
        Some(Self {
            world,
            nodes,
            engines,
            _folder: folder,
        })
    }

    fn start_nodes(count: usize, folder: &Folder, store: SocketAddr) -> Option<Vec<Node>> {
        let mut nodes = nodes::prepare(count, &folder.0, store)?;
        if !nodes.iter_mut().all(Node::start) {
            eprintln!("hyssopd does not start");
            return None;
        }
        let until = Instant::now() + Duration::from_secs(6);
        while !nodes.iter().all(Node::is_ready) {
            if Instant::now() > until {
                eprintln!("the nodes do not become ready");
                return None;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Some(nodes)
    }
}

/// Returns the text of a request.
fn text(method: &str, path: &str, attempt: &str, budget: u32, further: &str, body: &str) -> String {
    let length = if method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {budget}\r\n\
         {further}{length}\r\n{body}"
    )
}

/// A request of a requester, with what it saw.
#[derive(Clone, Debug)]
struct Sent {
    at: Duration,
    /// When the requester had its answer, or closed its channel.
    over: Duration,
    attempt: String,
    node: usize,
    seen: Seen,
}

/// Sends one request and notes what came of it.
fn send(
    world: &World,
    node: usize,
    to: SocketAddr,
    attempt: &str,
    text: &str,
    patience: Duration,
) -> Sent {
    let at = world.now();
    world.note(&format!(
        "requester sends {attempt} to node {node}: {}",
        text.lines().next().unwrap_or_default()
    ));
    let seen = http::call(to, text, patience);
    let over = world.now();
    world.note(&format!(
        "requester has {} (whole: {}) for {attempt}",
        seen.status, seen.whole
    ));
    Sent {
        at,
        over,
        attempt: attempt.to_owned(),
        node,
        seen,
    }
}

/// Sends requests at a steady pace until `stop`, each from a thread of its own.
fn traffic(
    world: &Arc<World>,
    fronts: &[SocketAddr],
    pause: Duration,
    stop: &Arc<AtomicBool>,
    make: impl Fn(u64, &str) -> String + Send + 'static,
) -> Arc<Mutex<Vec<Sent>>> {
    let all = Arc::new(Mutex::new(Vec::new()));
    let (world, fronts, stop, kept) = (world.clone(), fronts.to_vec(), stop.clone(), all.clone());
    std::thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::SeqCst) {
            number += 1;
            let node = number as usize % fronts.len();
            let attempt = world.id("");
            let text = make(number, &attempt);
            let (world, to, kept) = (world.clone(), fronts[node], kept.clone());
            std::thread::spawn(move || {
                let sent = send(&world, node, to, &attempt, &text, Duration::from_secs(5));
                kept.lock().expect("unpoisoned").push(sent);
            });
            std::thread::sleep(pause);
        }
    });
    all
}

/// A request that takes each runner down that begins to run it comes again and again, at any node.
/// The runner's machine goes dark, as `srv_crash` has it; with `CRASH=loud` its process ends and its
/// channels are closed.
pub fn crash_request(record: &str, trouble: bool) -> i32 {
    let Some(site) = Site::start(record, 7, 0, 9, 6) else {
        return 2;
    };
    let world = site.world.clone();
    let fronts: Vec<SocketAddr> = site.nodes.iter().map(|node| node.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let sound = traffic(
        &world,
        &fronts,
        Duration::from_millis(60),
        &stop,
        |number, attempt| text("GET", &format!("/read/{number}"), attempt, 1_500, "", ""),
    );
    world.sleep_until(world.now().as_secs_f64() + 3.0);
    let begun = world.now().as_secs_f64();
    let loud = std::env::var("CRASH").is_ok_and(|how| how == "loud");
    let path = match (trouble, loud) {
        (false, _) => "/read/again",
        (true, false) => "/read/darkening",
        (true, true) => "/read/crashing",
    };
    assert!(!trouble || path.contains(runner::DARKENING) || path.contains(runner::CRASHING));
    let again = traffic(
        &world,
        &fronts,
        Duration::from_millis(700),
        &stop,
        move |_, attempt| text("GET", path, attempt, 1_500, "", ""),
    );
    world.sleep_until(begun + 30.0);
    stop.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(6));
    let crashes = world.crashes.lock().expect("unpoisoned").clone();
    let sound = sound.lock().expect("unpoisoned").clone();
    let lost = sound.iter().filter(|sent| !sent.seen.served()).count();
    world.tell(&format!(
        "{} runners went down; {lost} of {} other requests were not served",
        crashes.len(),
        sound.len()
    ));
    let Some(third) = crashes.get(2).copied() else {
        world.tell("BUDGET held");
        return 0;
    };
    let again = again.lock().expect("unpoisoned").clone();
    let arrivals = world.arrivals.lock().expect("unpoisoned").clone();
    let retries = |arrival: &&Arrival| again.iter().any(|sent| sent.attempt == arrival.attempt);
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.at > third + STABLE_WINDOW);
    let late = late.filter(retries).count();
    let broken = late > 3;
    world.tell(&format!(
        "the third at {:.1} s; later than {STABLE_WINDOW:?} after that the request reached runners {late} times more",
        third.as_secs_f64()
    ));
    world.tell(if broken {
        "BUDGET broken"
    } else {
        "BUDGET held"
    });
    i32::from(broken)
}

/// A request that crashes each runner that begins to run it comes again and again, at any node, and
/// one node is killed and started again a few times.
pub fn crash_trials(record: &str, trouble: bool) -> i32 {
    const KILLS: [f64; 5] = [14.0, 27.5, 41.0, 54.5, 68.0];
    const NODE: usize = 2;
    let Some(mut site) = Site::start(record, 7, 0, 9, 6) else {
        return 2;
    };
    let world = site.world.clone();
    let fronts: Vec<SocketAddr> = site.nodes.iter().map(|node| node.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let sound = traffic(
        &world,
        &fronts,
        Duration::from_millis(60),
        &stop,
        |number, attempt| text("GET", &format!("/read/{number}"), attempt, 1_500, "", ""),
    );
    world.sleep_until(world.now().as_secs_f64() + 3.0);
    let begun = world.now().as_secs_f64();
    let again = traffic(
        &world,
        &fronts,
        Duration::from_millis(250),
        &stop,
        |_, attempt| {
            text(
                "GET",
                &format!("/read/{}", runner::CRASHING),
                attempt,
                1_500,
                "",
                "",
            )
        },
    );
    // When the node was out of touch.
    let mut away = Vec::new();
    for at in KILLS {
        world.sleep_until(begun + at);
        if trouble {
            let from = world.now();
            let node = &mut site.nodes[NODE];
            world.tell(&format!("{} gets SIGKILL", node.name));
            node.kill();
            std::thread::sleep(Duration::from_millis(600));
            node.start();
            away.push((from, world.now() + STABLE_WINDOW));
        }
    }
    world.sleep_until(begun + 83.0);
    stop.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(2));
    let crashes = world.crashes.lock().expect("unpoisoned").clone();
    let Some(third) = crashes.get(2).copied() else {
        world.tell("the request has not crashed three runners; the case could not run");
        return 2;
    };
    let again = again.lock().expect("unpoisoned").clone();
    let arrivals = world.arrivals.lock().expect("unpoisoned").clone();
    let mut late = 0;
    for arrival in arrivals
        .iter()
        .filter(|arrival| arrival.at > third + STABLE_WINDOW)
    {
        let sent = again.iter().find(|sent| sent.attempt == arrival.attempt);
        let Some(sent) = sent else { continue };
        let out = away
            .iter()
            .any(|(from, to)| arrival.at >= *from && arrival.at <= *to);
        if sent.node != NODE || !out {
            late += 1;
            world.tell(&format!(
                "at {:.1} s {} sent it to a runner once more",
                arrival.at.as_secs_f64(),
                site.nodes[sent.node].name
            ));
        }
    }
    let sound = sound.lock().expect("unpoisoned").clone();
    let lost = sound.iter().filter(|sent| !sent.seen.served()).count();
    world.tell(&format!(
        "{} runners went down, the third at {:.1} s; {lost} of {} other requests were not served",
        crashes.len(),
        third.as_secs_f64(),
        sound.len()
    ));
    let broken = late > 3;
    world.tell(&format!(
        "{late} later retries; BUDGET {}",
        if broken { "broken" } else { "held" }
    ));
    i32::from(broken)
}

fn stream(number: u64, attempt: &str) -> String {
    let further = format!(
        "X-Model: m0/a{}\r\nX-Token-Usage: 826,300\r\nX-Prompt-Prefix: 5c1e07a2:198,{number:x}f:628\r\n",
        number % 6 + 1
    );
    text(
        "POST",
        &format!("/stream/{number}"),
        attempt,
        12_000,
        &further,
        "a question",
    )
}

/// After the final fault, one request comes whose prompt is larger than a runner's memory.
pub fn oversize(record: &str, trouble: bool) -> i32 {
    const RECOVERY: f64 = 12.0;
    let Some(mut site) = Site::start(record, 7, 3, 0, 6) else {
        return 2;
    };
    let world = site.world.clone();
    let fronts: Vec<SocketAddr> = site.nodes.iter().map(|node| node.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let sent = traffic(&world, &fronts, Duration::from_millis(100), &stop, stream);
    world.sleep_until(world.now().as_secs_f64() + 15.0);
    let fault = world.now();
    if trouble || std::env::var_os("KILL").is_some() {
        world.note("all nodes get SIGKILL");
        site.nodes.iter_mut().for_each(Node::kill);
        std::thread::sleep(Duration::from_millis(600));
        site.nodes.iter_mut().for_each(|node| {
            node.start();
        });
    }
    let back = world.now();
    world.sleep_until(back.as_secs_f64() + 6.0);
    if trouble {
        let further = "X-Model: m0/a1\r\nX-Token-Usage: 400000,80\r\nX-Prompt-Prefix: 5c1e07a2:198,91bd:399802\r\n";
        // The first try, and one more, as after any refusal.
        for node in [0, 1] {
            let attempt = world.id("");
            let text = text(
                "POST",
                "/stream/large",
                &attempt,
                12_000,
                further,
                "a long question",
            );
            let sent = send(
                &world,
                node,
                fronts[node],
                &attempt,
                &text,
                Duration::from_millis(3_200),
            );
            world.tell(&format!(
                "the large request got {} after {:?}",
                sent.seen.status, sent.seen.took
            ));
            if sent.seen.status != 503 {
                break;
            }
        }
    }
    world.sleep_until(back.as_secs_f64() + RECOVERY + 20.0);
    stop.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(6));
    let sent = sent.lock().expect("unpoisoned").clone();
    let share = |from: Duration, to: Duration| {
        let some: Vec<&Sent> = sent
            .iter()
            .filter(|sent| sent.at >= from && sent.at < to)
            .collect();
        let served = some.iter().filter(|sent| sent.seen.served()).count();
        (served, some.len())
    };
    let before = share(fault.saturating_sub(Duration::from_secs(10)), fault);
    let after = share(back + Duration::from_secs_f64(RECOVERY), Duration::MAX);
    world.tell(&format!(
        "served: {} of {} before the fault, {} of {} from {RECOVERY} s after it",
        before.0, before.1, after.0, after.1
    ));
    let broken = before.0 * 4 >= before.1 && after.0 * 4 < after.1;
    world.tell(if broken {
        "RECOVER broken"
    } else {
        "RECOVER held"
    });
    i32::from(broken)
}

/// Rare adapters are asked for at once, by calls that may run once, and a share of their requesters
/// leaves before the calls have been sent to a runner.
pub fn left_caller(record: &str, trouble: bool) -> i32 {
    let Some(site) = Site::start(record, 7, 3, 0, 6) else {
        return 2;
    };
    let world = site.world.clone();
    world.sleep_until(world.now().as_secs_f64() + 4.0);
    let mut calls = Vec::new();
    for number in 0..45u64 {
        let (world, node) = (world.clone(), number as usize % 7);
        let to = site.nodes[node].front;
        // Three of ten leave.
        let leaves = trouble && number % 10 < 3;
        let patience = Duration::from_millis(if leaves { 400 } else { 10_000 });
        calls.push(std::thread::spawn(move || {
            let attempt = world.id("");
            let further = format!(
                "X-Model: m0/a{}\r\nX-Token-Usage: 826,30\r\nX-Prompt-Prefix: {number:x}e:826\r\n",
                number + 100
            );
            let text = text(
                "POST",
                &format!("/act/{number}"),
                &attempt,
                10_000,
                &further,
                "do it",
            );
            send(&world, node, to, &attempt, &text, patience)
        }));
    }
    let sent: Vec<Sent> = calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect();
    std::thread::sleep(Duration::from_secs(4));
    let arrivals = world.arrivals.lock().expect("unpoisoned").clone();
    let mut late = 0;
    for call in sent.iter().filter(|call| !call.seen.whole) {
        let after = call.over + Duration::from_millis(500);
        for arrival in arrivals
            .iter()
            .filter(|arrival| arrival.attempt == call.attempt && arrival.at > after)
        {
            late += 1;
            world.tell(&format!(
                "{} ran at {}: {} ms after its requester had left node {}",
                call.attempt,
                arrival.runner,
                (arrival.at - call.over).as_millis(),
                call.node
            ));
        }
    }
    let left = sent.iter().filter(|call| !call.seen.whole).count();
    let served = sent.iter().filter(|call| call.seen.served()).count();
    world.tell(&format!(
        "{} calls: {served} served, {left} left; {late} reached a runner over 0.5 s after that",
        sent.len()
    ));
    let broken = late > 3;
    world.tell(if broken { "GONE broken" } else { "GONE held" });
    i32::from(broken)
}

/// An engine crashes, its streams are taken to others, and some of these hang what they are given.
/// The requesters of those streams leave.
pub fn left_stream(record: &str, trouble: bool) -> i32 {
    const STREAMS: usize = 160;
    // Two seconds, four times the objective, or eight times the pause of the route.
    const GAP: Duration = Duration::from_millis(3_200);
    let Some(site) = Site::start(record, 7, 4, 0, 6) else {
        return 2;
    };
    let world = site.world.clone();
    world.sleep_until(world.now().as_secs_f64() + 5.0);
    let mut calls = Vec::new();
    for number in 0..STREAMS {
        let (world, node) = (world.clone(), number % 7);
        let to = site.nodes[node].front;
        calls.push(std::thread::spawn(move || {
            let attempt = world.id("");
            let further = format!(
                "X-Model: m0\r\nX-Token-Usage: 100,300\r\nX-Prompt-Prefix: {number:x}d:100\r\n"
            );
            let text = text(
                "POST",
                &format!("/stream/long/{number}"),
                &attempt,
                12_000,
                &further,
                "tell",
            );
            send(&world, node, to, &attempt, &text, GAP)
        }));
        std::thread::sleep(Duration::from_millis(10));
    }
    std::thread::sleep(Duration::from_millis(1_000));
    if trouble {
        world.hanging.store(45, Ordering::SeqCst);
        site.engines[0].crash_now();
        std::thread::sleep(Duration::from_secs(4));
        world.hanging.store(0, Ordering::SeqCst);
    }
    let sent: Vec<Sent> = calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect();
    std::thread::sleep(Duration::from_secs(13));
    let hung = world.hung.lock().expect("unpoisoned").clone();
    let left: Vec<&Sent> = sent.iter().filter(|call| !call.seen.whole).collect();
    let mut late = 0;
    for call in &left {
        let closed = hung
            .iter()
            .filter(|(attempt, _)| *attempt == call.attempt)
            .map(|(_, at)| *at)
            .max();
        if let Some(at) = closed.filter(|at| *at > call.over + Duration::from_millis(500)) {
            late += 1;
            let after = (at - call.over).as_millis();
            world.tell(&format!(
                "a runner worked on {} for {after} ms after its requester had left node {}",
                call.attempt, call.node
            ));
        }
    }
    let whole = sent.len() - left.len();
    world.tell(&format!(
        "{} streams: {whole} whole, {} left; runners worked on {late} over 0.5 s after that",
        sent.len(),
        left.len()
    ));
    let broken = late * 4 > left.len();
    world.tell(if broken { "GONE broken" } else { "GONE held" });
    i32::from(broken)
}

/// Bytes of an upload, below `max_body_bytes` of the configuration.
const UPLOAD: usize = 4_000_000;

/// `memory_mb` of the sheet; a process above it is killed by the platform.
const MEMORY_MB: u64 = 260;

/// Sends uploads one after the other on one kept channel, until `stop`. Returns how many ended with
/// a closed channel and no byte of an answer though a runner had begun to run them.
fn upload(
    world: &World,
    node: usize,
    to: SocketAddr,
    stop: &AtomicBool,
    lost: &Mutex<Vec<(usize, String)>>,
) {
    use std::io::{BufReader, Read, Write};
    use std::net::TcpStream;
    let body = vec![b'x'; UPLOAD];
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
            std::thread::sleep(Duration::from_millis(500));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut used = false;
        while !stop.load(Ordering::SeqCst) {
            let attempt = world.id("");
            let head = format!(
                "POST /upload/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
                 X-Deadline-Ms: 10000\r\nContent-Length: {UPLOAD}\r\n\r\n"
            );
            world.note(&format!(
                "requester sends upload {attempt} to node {node} (channel used before: {used})"
            ));
            let whole = stream
                .write_all(head.as_bytes())
                .and_then(|()| stream.write_all(&body))
                .is_ok();
            let mut first = [0; 1];
            if !whole || reader.read_exact(&mut first).is_err() {
                world.note(&format!(
                    "requester has a closed channel and no answer for {attempt}"
                ));
                if whole && used {
                    lost.lock().expect("unpoisoned").push((node, attempt));
                }
                std::thread::sleep(Duration::from_millis(300));
                break;
            }
            let Some(status) = http::rest(&mut reader) else {
                break;
            };
            world.note(&format!("requester has {status} for {attempt}"));
            used = true;
            if status != 200 {
                std::thread::sleep(Duration::from_millis(300));
            }
        }
    }
}

/// Many requesters come at once, with bodies that the configuration allows. The platform ends what
/// takes more memory than its machine has.
pub fn memory(record: &str, trouble: bool) -> i32 {
    let number = |name: &str, default: usize| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let (usual, burst) = (number("USUAL", 24), number("BURST", 38));
    let Some(mut site) = Site::start(record, 3, 0, 3, 96) else {
        return 2;
    };
    let world = site.world.clone();
    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(Mutex::new(Vec::new()));
    let fronts: Vec<SocketAddr> = site.nodes.iter().map(|node| node.front).collect();
    let begin = |count: usize| {
        for (node, to) in fronts.iter().enumerate() {
            for _ in 0..count {
                let (world, stop, lost, to) = (world.clone(), stop.clone(), lost.clone(), *to);
                std::thread::spawn(move || upload(&world, node, to, &stop, &lost));
                std::thread::sleep(Duration::from_millis(4));
            }
        }
    };
    begin(usual);
    let (mut peak, mut kills) = (vec![0; fronts.len()], vec![0; fronts.len()]);
    let started = Instant::now();
    let mut come = false;
    while started.elapsed() < Duration::from_secs(40) {
        if trouble && !come && started.elapsed() > Duration::from_secs(15) {
            come = true;
            world.tell(&format!(
                "{} requesters a node instead of {usual}",
                usual + burst
            ));
            begin(burst);
        }
        for (index, node) in site.nodes.iter_mut().enumerate() {
            let resident = node.resident_mb();
            peak[index] = resident.max(peak[index]);
            if resident > MEMORY_MB {
                kills[index] += 1;
                world.tell(&format!("the platform ends {}: {resident} MB", node.name));
                node.kill();
                std::thread::sleep(Duration::from_millis(300));
                node.start();
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    stop.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(6));
    let arrivals = world.arrivals.lock().expect("unpoisoned");
    let lost = lost.lock().expect("unpoisoned");
    let ran = |attempt: &String| arrivals.iter().any(|a| a.ran && a.attempt == *attempt);
    let mut broken = false;
    for (node, name) in site.nodes.iter().enumerate() {
        let count = lost
            .iter()
            .filter(|(of, attempt)| *of == node && ran(attempt))
            .count();
        world.tell(&format!(
            "{}: {} MB at most, ended {} times, {count} requests from kept channels that a runner ran and that got no answer",
            name.name, peak[node], kills[node]
        ));
        broken |= count > 3;
    }
    world.tell(if broken { "LOST broken" } else { "LOST held" });
    i32::from(broken)
}
