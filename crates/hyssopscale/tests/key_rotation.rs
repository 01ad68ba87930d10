//! Nodes of two neighbouring steps of a key rotation hear each other; others do not.

mod site;

use std::time::Duration;

use rstest::rstest;
use site::{Local, ask};

const OLD: &str = "old key, long enough";
const NEW: &str = "new key, long enough";

/// Live nodes that each node sees, itself included, and the frames that all refused.
async fn seen(local: &Local) -> (Vec<usize>, u64) {
    let mut live = Vec::new();
    for node in ask(local, &["status", "--output", "json"])
        .await
        .json()
        .as_array()
        .unwrap()
    {
        let peers = node["peers"].as_array().unwrap();
        live.push(peers.iter().filter(|peer| peer["state"] == "Live").count());
    }
    let mut refused = 0;
    for address in local.operators() {
        let request = hyper::Request::get("/metrics");
        let answer = hyssopscale::client::send(address.parse().unwrap(), request, "")
            .await
            .unwrap();
        let text = answer.text();
        let line = "hyssopscale_control_frames{count=\"refused\"} ";
        let count = text
            .lines()
            .find_map(|text| text.strip_prefix(line))
            .unwrap();
        refused += count.parse::<u64>().unwrap();
    }
    (live, refused)
}

#[rstest]
#[case::first_step(&[OLD], &[OLD, NEW], true)]
#[case::second_step(&[OLD, NEW], &[NEW, OLD], true)]
#[case::third_step(&[NEW, OLD], &[NEW], true)]
#[case::step_left_out(&[OLD], &[NEW], false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn neighbouring_steps_agree(#[case] a: &[&str], #[case] b: &[&str], #[case] agree: bool) {
    let keys = |keys: &[&str]| format!("{keys:?}");
    let (a, b) = (keys(a), keys(b));
    let mut local = Local::start(0, &[]).await;
    local.start_node(0, &[("peers.keys", a.as_str())]).await;
    local.start_node(1, &[("peers.keys", b.as_str())]).await;
    local
        .wait(|local| local.nodes.iter().all(node::Node::ready))
        .await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let (live, refused) = seen(&local).await;
    assert_eq!(refused == 0, agree, "{refused} frames refused");
    // One that hears nobody may not count itself yet.
    let together = live.iter().filter(|live| **live == 2).count();
    assert_eq!(together, if agree { 2 } else { 0 }, "{live:?}");
}
