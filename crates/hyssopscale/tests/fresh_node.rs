//! A node that has just started serves only once its peers know it, and decides calls that come
//! early as soon as it has met the witnesses.

mod site;

use std::time::Duration;

use node::core::Ruling;
use once::{Digest, Event, Key};
use site::Local;

/// Nodes before the fresh one, enough for a quorum of witnesses.
const NODES: usize = 5;

fn begin(request: u64, key: &str) -> Event {
    Event::Begin {
        request,
        key: Key::new("hikers", "lending", key),
        body: Digest::new([&b"pair 1"[..]]),
        deadline: Duration::from_secs(30),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn early_call_waits_for_witnesses() {
    let mut local = Local::start(NODES, &[]).await;
    local.wait_claims().await;
    local.start_node(NODES, &[]).await;
    let mut rulings = local.nodes[NODES].core().begin(begin(1 << 40, "early"));
    let ruling = rulings.recv().await;
    // The first witnesses take no key without a prefix for a while, and say so.
    let quorum = matches!(
        &ruling,
        Some(Ruling::Refuse {
            reason: once::Reason::Quorum,
            ..
        })
    );
    assert!(!quorum, "{ruling:?}");
    assert!(
        local.nodes[NODES]
            .core()
            .status()
            .await
            .unwrap()
            .claims_ready
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ready_node_is_known() {
    let mut local = Local::start(NODES, &[]).await;
    local.wait_claims().await;
    local.start_node(NODES, &[]).await;
    local
        .wait(|local| local.nodes.iter().all(node::Node::ready))
        .await;
    let status = local.nodes[NODES].core().status().await.unwrap();
    assert!(status.claims_ready);
    assert_eq!(status.peers.len(), NODES + 1);
}
