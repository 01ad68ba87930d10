//! A request that crashes each engine that runs it is refused before it takes down the third one,
//! although its caller resends it to every node; innocent requests are answered meanwhile.

mod support;

use std::time::Duration;

use hyper::HeaderMap;
use rstest::rstest;
use standin::caller::Caller;
use standin::checker::{Outcome, What};
use support::Cluster;
use wire::Priority;

/// Engines that one poison request may take down.
const CRASHES_MAX: u64 = 2;

fn completion(prompt: String) -> What {
    What::Completion {
        model: "fit-1@v1".into(),
        prompt,
        tokens: 8,
        priority: Priority::Normal,
    }
}

fn crashes(cluster: &Cluster) -> u64 {
    let engines = cluster.fleet.site.engines.iter();
    engines.map(|engine| engine.totals().crashes).sum()
}

#[rstest]
#[case::direct(false)]
#[case::through_a_proxy(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn poison_takes_down_two_engines_at_most(#[case] link_upstreams: bool) {
    let cluster = Cluster::start_with(1, link_upstreams).await;
    let limit = Duration::from_secs(40);
    let careless = Caller::new("c1", HeaderMap::new(), limit);
    let innocent = Caller::new("c2", HeaderMap::new(), limit);
    let mut answers = Vec::new();
    for (round, entry) in cluster.entries().iter().cycle().take(14).enumerate() {
        let poison = careless
            .ask(entry, completion("letter <crash>".into()))
            .await;
        assert!(!matches!(poison.outcome, Outcome::Answered(_)));
        let what = completion(format!("innocent {round}"));
        answers.push(innocent.ask(entry, what).await);
    }
    let crashes = crashes(&cluster);
    let unanswered: Vec<_> = answers
        .iter()
        .filter(|ask| !matches!(ask.outcome, Outcome::Answered(_)))
        .collect();
    println!(
        "crashes {crashes}, innocents {} unanswered {}",
        answers.len(),
        unanswered.len()
    );
    assert!(
        (1..=CRASHES_MAX).contains(&crashes),
        "{crashes} engines crashed"
    );
    assert!(unanswered.is_empty(), "{unanswered:#?}");
}
