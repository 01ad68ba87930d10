//! Whatever a caller sends, it gets a proper refusal, reaches no upstream and breaks nothing; a
//! caller that goes away takes its upstream work along.

mod site;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use serde_json::Value;
use site::Local;
use standin::log::{End, Entry, Kind};
use standin::service;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const BODY_BYTES: usize = 2048;
const LIMITS: [(&str, &str); 4] = [
    ("limits.body_bytes", "2048"),
    ("limits.header_bytes", "8192"),
    ("time.header", "400ms"),
    ("time.body", "400ms"),
];
/// Time for any answer, well above the limits on header and body.
const ANSWER: Duration = Duration::from_secs(10);
const CASES: u32 = 256;

static PANICS: AtomicUsize = AtomicUsize::new(0);

fn count_panics() {
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        usual(info);
    }));
}

/// Sends bytes, then reads until the node closes; keeps the sending side open meanwhile.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // A node that refuses early closes before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = timeout(ANSWER, stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "no end of the answer to {bytes:?}");
    answer
}

fn request(line: &str, headers: &[&str], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{line} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n").into_bytes();
    for header in headers {
        bytes.extend_from_slice(header.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    if !headers
        .iter()
        .any(|h| h.starts_with("content-length") || h.starts_with("transfer"))
    {
        bytes.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

fn status(answer: &[u8]) -> u16 {
    let line = String::from_utf8_lossy(&answer[..answer.len().min(12)]).into_owned();
    line.get(9..)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0)
}

/// Checks that an answer is a problem document which says that nothing ran.
fn check_problem(answer: &[u8]) -> u16 {
    let text = String::from_utf8_lossy(answer);
    let (head, body) = text
        .split_once("\r\n\r\n")
        .unwrap_or_else(|| panic!("{text}"));
    assert!(
        head.contains("content-type: application/problem+json"),
        "{text}"
    );
    let document: Value = serde_json::from_str(body).unwrap_or_else(|_| panic!("{text}"));
    assert_eq!(document["outcome"], "not-run", "{text}");
    assert_eq!(document["status"], status(answer), "{text}");
    assert!(!document["detail"].as_str().unwrap().is_empty());
    status(answer)
}

fn reached(entries: &[Entry]) -> Vec<&Entry> {
    let work = |entry: &&Entry| matches!(entry.kind, Kind::Start { .. } | Kind::Run { .. });
    entries.iter().filter(work).collect()
}

fn fixed_cases() -> Vec<(u16, Vec<u8>)> {
    const COMPLETE: &str = "POST /v1/completions";
    const CHECKOUT: &str = "POST /lending/checkouts";
    const WHO: &str = "x-caller: hikers";
    let deep = format!("{{\"prompt\":{}1{}}}", "[".repeat(900), "]".repeat(900));
    let long = "p".repeat(BODY_BYTES);
    let mut cases: Vec<(u16, Vec<u8>)> = Vec::new();
    let bodies: [&[u8]; 14] = [
        b"",
        b"null",
        b"[]",
        b"\"text\"",
        b"{}",
        b"{\"prompt\":5}",
        b"{\"prompt\":null}",
        b"{\"prompt\":\"a\",\"prompt\":\"b\"}",
        b"{\"prompt\":\"a\",\"max_tokens\":-1}",
        b"{\"prompt\":\"a\",\"max_tokens\":1e99}",
        b"{\"prompt\":\"a\",\"stream\":\"yes\"}",
        b"{\"prompt\":\"\xff\xfe\"}",
        b"{\"prompt\":\"a\"} trailing",
        deep.as_bytes(),
    ];
    cases.extend(bodies.map(|body| (400, request(COMPLETE, &[WHO], body))));
    let good = b"{\"prompt\":\"a\",\"max_tokens\":2}";
    for (expected, headers) in [
        (401, vec![]),
        (401, vec!["x-caller: nobody"]),
        (401, vec!["authorization: Bearer wrong"]),
        (401, vec!["authorization: Basic aGlrZXJz"]),
        (401, vec![WHO, "authorization: Bearer "]),
        (400, vec!["x-caller: h\u{e9}"]),
        (400, vec![WHO, "x-priority: top"]),
        (400, vec![WHO, "x-trade: \u{20ac}"]),
        (400, vec![WHO, "x-timeout-ms: -5"]),
        (400, vec![WHO, "x-timeout-ms: 99999999999999999999999"]),
    ] {
        cases.push((expected, request(COMPLETE, &headers, good)));
        cases.push((expected, request(CHECKOUT, &headers, good)));
    }
    let key = format!("idempotency-key: {}", "k".repeat(300));
    cases.push((400, request(CHECKOUT, &[WHO, &key], good)));
    cases.push((400, request(CHECKOUT, &[WHO, "idempotency-key:"], good)));
    cases.push((
        403,
        request(COMPLETE, &[WHO], b"{\"model\":\"no@v1\",\"prompt\":\"a\"}"),
    ));
    for line in [
        "GET /",
        "GET /v2/completions",
        "DELETE /lending/checkouts",
        "post /lending/checkouts",
        "POST /lending//checkouts",
        "POST /lending/%63heckouts",
        "GET /lending/../admin",
        "GET /lending/%2e%2e/admin",
        "GET /lending/a;b",
        "OPTIONS *",
    ] {
        cases.push((404, request(line, &[WHO], b"")));
    }
    for line in [COMPLETE, CHECKOUT] {
        cases.push((
            413,
            request(
                line,
                &[WHO],
                format!("{{\"prompt\":\"{long}\"}}").as_bytes(),
            ),
        ));
        let chunk = format!("{:x}\r\n{long}x\r\n0\r\n\r\n", BODY_BYTES + 1);
        let chunked = [WHO, "transfer-encoding: chunked"];
        cases.push((413, request(line, &chunked, chunk.as_bytes())));
        // Nothing more comes: the body is too slow.
        cases.push((
            408,
            request(line, &[WHO, "content-length: 500"], b"{\"prompt\""),
        ));
        cases.push((400, request(line, &chunked, b"zz\r\nno chunk\r\n")));
    }
    cases
}

/// What the HTTP library refuses by itself: a status or nothing, but no document.
fn broken_heads() -> Vec<Vec<u8>> {
    vec![
        b"\x16\x03\x01\x02\x00\x01\x00".to_vec(),
        b"GET\r\n\r\n".to_vec(),
        b"GET / HTTP/9.9\r\n\r\n".to_vec(),
        b"GET / HTTP/1.1\r\nno colon\r\n\r\n".to_vec(),
        b"GET / HTTP/1.1\r\nx-caller: hik".to_vec(),
        request("GET /", &["content-length: 5", "content-length: 6"], b""),
        request("GET /", &[&format!("x-long: {}", "h".repeat(20_000))], b""),
        request("GET /", &vec!["x-many: h"; 400], b""),
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faulty_requests_are_refused() {
    count_panics();
    let local = Local::start(1, &LIMITS).await;
    let address = local.callers(0);
    let mut asking = tokio::task::JoinSet::new();
    for (expected, bytes) in fixed_cases() {
        asking.spawn(async move {
            let answer = exchange(address, &bytes).await;
            let shown = String::from_utf8_lossy(&bytes)
                .chars()
                .take(120)
                .collect::<String>();
            assert_eq!(check_problem(&answer), expected, "{shown:?}");
        });
    }
    for bytes in broken_heads() {
        asking.spawn(async move {
            let answer = exchange(address, &bytes).await;
            assert!(
                answer.is_empty() || (400..500).contains(&status(&answer)),
                "{answer:?}"
            );
        });
    }
    while let Some(asked) = asking.join_next().await {
        asked.unwrap();
    }
    assert!(
        reached(&local.entries()).is_empty(),
        "{:?}",
        reached(&local.entries())
    );
    assert_eq!(PANICS.load(Ordering::Relaxed), 0);
    assert_eq!(
        status(&exchange(address, &request("GET /healthz", &[], b"")).await),
        200
    );
}

/// Requests that are faulty whatever is drawn.
fn drawn() -> impl Strategy<Value = Vec<u8>> {
    let whole = "{\"model\":\"fitting-hiker@v1\",\"prompt\":\"icy \\u00e9\",\"max_tokens\":4}";
    let text = "[ -~]{0,40}";
    let cut = (0..whole.len()).prop_map(move |end| {
        request(
            "POST /v1/completions",
            &["x-caller: hikers"],
            &whole.as_bytes()[..end],
        )
    });
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    let noise = bytes
        .clone()
        .prop_map(|body| request("POST /v1/completions", &["x-caller: hikers"], &body));
    let value = ("[a-z_]{1,12}", text).prop_map(|(key, text)| {
        let body = serde_json::json!({ key: text, "prompt": [text] }).to_string();
        request(
            "POST /v1/completions",
            &["x-caller: hikers"],
            body.as_bytes(),
        )
    });
    let header = (
        "[!-9;-~]{0,12}",
        prop::collection::vec(any::<u8>(), 0..40),
        any::<bool>(),
    );
    let header = header.prop_map(|(name, value, once)| {
        let line = if once {
            "POST /lending/checkouts"
        } else {
            "POST /v1/completions"
        };
        let mut bytes = format!("{line} HTTP/1.1\r\nconnection: close\r\n{name}: ").into_bytes();
        bytes.extend(value);
        bytes.extend(b"\r\n\r\n{");
        bytes
    });
    let target = ("[A-Z]{1,8}", "[!-~]{0,60}").prop_map(|(method, path)| {
        request(&format!("{method} /x{path}"), &["x-caller: depots"], b"")
    });
    prop_oneof![cut, noise, value, header, target, bytes]
}

#[test]
fn drawn_requests_are_refused() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let local = runtime.block_on(Local::start(1, &LIMITS));
    let address = local.callers(0);
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&drawn(), |bytes| {
        let answer = runtime.block_on(exchange(address, &bytes));
        let code = status(&answer);
        prop_assert!(
            answer.is_empty() || (400..500).contains(&code),
            "{answer:?}"
        );
        Ok(())
    });
    result.unwrap();
    assert!(reached(&local.entries()).is_empty());
    let alive = runtime.block_on(exchange(address, &request("GET /healthz", &[], b"")));
    assert_eq!(status(&alive), 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_callers_cancel_upstream_work() {
    let local = Local::start(1, &[]).await;
    for service in &local.site.services {
        service.set_faults(service::Faults {
            delay_ms: Some(60_000),
            ..service::Faults::default()
        });
    }
    let body = b"{\"prompt\":\"a\",\"max_tokens\":100000,\"stream\":true}";
    for (bytes, streams) in [
        (
            request("POST /v1/completions", &["x-caller: hikers"], body),
            true,
        ),
        (
            request("GET /lending/stock", &["x-caller: depots"], b""),
            false,
        ),
    ] {
        let before = reached(&local.entries()).len();
        let mut stream = TcpStream::connect(local.callers(0)).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        if streams {
            let mut some = [0; 512];
            let read = timeout(Duration::from_secs(30), stream.read(&mut some)).await;
            assert!(read.unwrap().unwrap() > 0);
        }
        local
            .wait(|local| reached(&local.entries()).len() > before)
            .await;
        drop(stream);
        let gone = Instant::now();
        let cancelled = |entry: &Entry| {
            matches!(
                entry.kind,
                Kind::Finish {
                    end: End::Cancelled,
                    ..
                }
            )
        };
        let ends = usize::from(!streams) + 1;
        local
            .wait(|local| local.entries().iter().filter(|e| cancelled(e)).count() >= ends)
            .await;
        assert!(
            gone.elapsed() < Duration::from_secs(5),
            "{:?}",
            gone.elapsed()
        );
    }
}
