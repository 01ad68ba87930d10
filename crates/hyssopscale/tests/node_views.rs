//! `status`, `adapters`, `watch` and `explain` tell what the nodes know.

mod site;

use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Request, Response};
use hyssopscale::client;
use serde_json::Value;
use site::{Local, RULES, ask, run};

/// Returns an answer that goes on until it is dropped.
async fn stream(local: &Local) -> Response<Incoming> {
    let limit = Instant::now() + Duration::from_secs(30);
    loop {
        let request = Request::post("/v1/completions").header("x-caller", "hikers");
        let body = "{\"prompt\":\"icy\",\"max_tokens\":100000,\"stream\":true}";
        let answer = client::open(local.callers(0), request, body).await.unwrap();
        if answer.status().is_success() {
            return answer;
        }
        assert!(Instant::now() < limit, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn views_agree_with_the_site() {
    let local = Local::start(3, &[]).await;
    let _answer = stream(&local).await;

    let status = ask(&local, &["status", "--output", "json"]).await;
    let nodes = status.json();
    let nodes = nodes.as_array().unwrap();
    assert_eq!((status.code, nodes.len()), (0, 3));
    assert!(nodes.iter().all(|node| node["revision"] == 1));
    let owned = |node: &Value| node["owned"].as_array().unwrap().len();
    assert_eq!(nodes.iter().map(owned).sum::<usize>(), 3);

    let adapters = ask(&local, &["adapters", "--output", "json"]).await.json();
    let engines = adapters.as_array().unwrap();
    assert_eq!(engines.len(), 3);
    let residents: Vec<&Value> = engines
        .iter()
        .flat_map(|engine| engine["residents"].as_array().unwrap())
        .collect();
    // An engine lists its base model too, which takes no slot.
    let [hiker] = residents.as_slice() else {
        panic!("{residents:?}");
    };
    assert_eq!(hiker["model"], "fitting-hiker@v1");
    assert_eq!(hiker["state"], "ready");
    assert!(
        hiker["leases"]
            .as_array()
            .unwrap()
            .contains(&"qld-vm-1".into())
    );
    let table = ask(&local, &["adapters"]).await;
    assert!(
        table.out.contains("fitting-hiker@v1") && table.out.contains("1/4"),
        "{table:?}"
    );

    let explain = [
        "explain",
        "--caller",
        "crews",
        "--trade",
        "aged care & co",
        "--output",
        "json",
    ];
    let explained = ask(&local, &explain).await;
    assert_eq!(explained.code, 0, "{explained:?}");
    assert_eq!(explained.json()["revision"], 1);
    assert!(explained.json()["refusal"].is_string(), "{explained:?}");
    let explain = ["explain", "--caller", "hikers", "--output", "json"];
    let explained = ask(&local, &explain).await.json();
    let mut upstreams: Vec<&str> = explained["upstreams"]
        .as_array()
        .unwrap()
        .iter()
        .filter_map(Value::as_str)
        .collect();
    let home = engines
        .iter()
        .find(|engine| !engine["residents"].as_array().unwrap().is_empty());
    assert_eq!(home.unwrap()["id"], upstreams[0], "the home comes first");
    upstreams.sort_unstable();
    assert_eq!(upstreams, ["engine-1", "engine-2", "engine-3"]);

    let watch = ["watch", "--interval", "0.05", "--times", "3"];
    let looks = ask(&local, &[&watch[..], &["--output", "json"]].concat()).await;
    assert_eq!((looks.code, looks.out.lines().count()), (0, 3));
    for line in looks.out.lines() {
        let look: Value = serde_json::from_str(line).unwrap();
        assert_eq!(look.as_array().unwrap().len(), 3);
    }
    let table = ask(&local, &watch).await;
    assert_eq!(
        table.out.matches("qld-vm-1 sees it").count(),
        3,
        "{table:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_shows_what_differs() {
    let local = Local::start(2, &[]).await;
    let table = ask(&local, &["status"]).await;
    assert!(
        !table.out.contains("behind") && !table.out.contains("refused"),
        "{table:?}"
    );
    local.publish(2, &RULES.replace("rate 20", "rate 21"));
    let limit = Instant::now() + Duration::from_secs(30);
    loop {
        let status = ask(&local, &["status", "--output", "json"]).await.json();
        if status
            .as_array()
            .unwrap()
            .iter()
            .all(|node| node["revision"] == 2)
        {
            break;
        }
        assert!(Instant::now() < limit, "{status}");
    }
    // A faulty revision is refused whole; the one in force stays.
    local.publish(3, "no rule at all");
    let refused = |table: &str| table.matches("refused revision 3").count();
    loop {
        let table = ask(&local, &["status"]).await;
        if refused(&table.out) == 2 {
            assert!(!table.out.contains("behind"), "{table:?}");
            // The reason is the check's own text, not a value of the program.
            assert!(!table.out.contains("Check("), "{table:?}");
            break;
        }
        assert!(Instant::now() < limit, "{table:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_nodes_are_named() {
    let local = Local::start(1, &[]).await;
    let mut nodes = vec!["127.0.0.1:1".to_owned()];
    nodes.extend(local.operators());
    for command in ["status", "adapters"] {
        let words = [
            &[command, "--node"][..],
            &nodes.iter().map(String::as_str).collect::<Vec<_>>(),
        ];
        let ran = run(&words.concat());
        assert_eq!(ran.code, 1, "{ran:?}");
        assert!(
            ran.err.contains("127.0.0.1:1") && ran.err.contains("help:"),
            "{ran:?}"
        );
        assert!(
            ran.out.contains("qld-vm-1"),
            "the others are shown all the same: {ran:?}"
        );
    }
    // Another listener of the node is no operators' page.
    let callers = local.callers(0).to_string();
    let ran = run(&["status", "--node", &callers]);
    assert!(ran.code == 1 && ran.err.contains("help:"), "{ran:?}");
}
