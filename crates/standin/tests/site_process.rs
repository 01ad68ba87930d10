//! A site in a process of its own, driven by admin requests.
//!
//! No other test stands in this file: a process that starts holds the sockets of the one that
//! starts it until it runs its own program, so that a listener which a test closes still accepts.

mod support;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use standin::caller::Entry;
use standin::checker::{Evidence, Limits, Outcome, What, check};
use standin::log;
use support::{caller, checkout, completion};

/// A process that ends with its test.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A site in a process of its own tells the same by its admin requests.
#[tokio::test]
async fn site_process_is_driven_by_admin_requests() {
    let mut process = Command::new(env!("CARGO_BIN_EXE_hyssop-standin"))
        .args(["all", "--engines", "1", "--services", "1"])
        .stdout(Stdio::piped())
        .spawn()
        .map(Process)
        .unwrap();
    let lines = BufReader::new(process.0.stdout.take().unwrap()).lines();
    let entries: Vec<Entry> = lines
        .take(3)
        .map(|line| {
            let line = line.unwrap();
            let (node, address) = line.rsplit_once(' ').unwrap();
            let address = address.parse().unwrap();
            let node = node.to_owned();
            Entry { node, address }
        })
        .collect();
    let names: Vec<&str> = entries.iter().map(|entry| &*entry.node).collect();
    assert_eq!(
        names,
        ["platform platform", "engine engine-1", "service service-1"]
    );
    let caller = caller();
    let admin = |entry: usize, method: &str, path: &str, body: &str| {
        let what = What::Call {
            method: method.into(),
            path: path.into(),
            key: None,
            body: body.into(),
            repeatable: true,
        };
        let (caller, entry) = (caller.clone(), entries[entry].clone());
        async move {
            match caller.ask(&entry, what).await.outcome {
                Outcome::Answered(text) => text,
                other => panic!("{other:?}"),
            }
        }
    };
    assert_eq!(
        admin(0, "PUT", "/admin/config/rules", "a line").await,
        "1\n"
    );
    assert_eq!(admin(0, "GET", "/v1/config/rules", "").await, "a line");
    assert!(
        admin(0, "GET", "/v1/members", "")
            .await
            .contains("engine-1")
    );
    assert!(
        admin(0, "GET", "/admin/calls", "")
            .await
            .contains(r#""reads":1,"#)
    );
    assert_eq!(admin(0, "PUT", "/admin/mode", r#""down""#).await, "done\n");
    assert!(matches!(
        caller.ask(&entries[0], completion(1)).await.outcome,
        Outcome::Dropped
    ));
    let mut asks = vec![caller.ask(&entries[1], completion(3)).await];
    assert_eq!(
        admin(1, "PUT", "/admin/faults", r#"{"leaving":true}"#).await,
        "done\n"
    );
    assert_eq!(
        admin(2, "PUT", "/admin/faults", r#"{"point":"in-body"}"#).await,
        "done\n"
    );
    asks.push(caller.ask(&entries[2], checkout(None)).await);
    assert!(
        matches!(&asks[1].outcome, Outcome::Cut(text) if !text.is_empty()),
        "{asks:?}"
    );
    let lines = admin(1, "GET", "/admin/log", "").await + &admin(2, "GET", "/admin/log", "").await;
    let entries = log::parse(&lines);
    assert!(entries.len() >= 6, "{lines}");
    let evidence = Evidence {
        entries,
        asks,
        nodes: Vec::new(),
    };
    assert_eq!(check(&evidence, &Limits::default()), []);
}
