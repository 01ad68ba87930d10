//! Seven `hyssopd` processes before nine engines and three services, each behind links of its own,
//! under seeded schedules of faults. The checker decides every promise from the logs.
//!
//! `HYSSOPSCALE_SOAK_SEEDS=11..40 cargo test --release --test fault_schedules soak -- --nocapture`
//! makes a longer run.

mod support;

use std::time::Duration;

use rstest::rstest;
use standin::checker::{Evidence, Outcome};
use standin::schedule::{Schedule, Shape};
use support::{Cluster, Run, breaches, summary};

const SPAN: Duration = Duration::from_secs(10);

fn shape() -> Shape {
    Shape {
        nodes: 7,
        engines: 9,
        services: 3,
        span: SPAN,
        faults: 16,
        longest: Duration::from_secs(5),
        impaired: 2,
    }
}

struct Finding {
    evidence: Evidence,
    /// Every breach, and the schedule that brought it about; empty where all promises were kept.
    breaches: String,
}

async fn run(schedule: Schedule, seed: u64) -> Finding {
    let mut cluster = Cluster::start(seed).await;
    let run = Run {
        schedule,
        span: SPAN,
        seed,
    };
    let evidence = cluster.run(&run).await;
    let breaches = breaches(&evidence);
    println!(
        "seed {seed}: {} breaches {}",
        summary(&evidence),
        breaches.len()
    );
    if breaches.is_empty() {
        return Finding {
            evidence,
            breaches: String::new(),
        };
    }
    cluster.processes.keep_evidence(&evidence);
    let logs = cluster.processes.keep_logs();
    let schedule = run.schedule;
    let breaches = format!("seed {seed}, logs in {logs}: {schedule:?}\n{breaches:#?}\n");
    println!("{breaches}");
    Finding { evidence, breaches }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_run_answers_everything() {
    let finding = run(Schedule::default(), 1).await;
    assert_eq!(finding.breaches, "");
    let asks = finding.evidence.asks.iter();
    let unanswered: Vec<_> = asks
        .filter(|ask| !matches!(ask.outcome, Outcome::Answered(_)))
        .collect();
    assert!(unanswered.is_empty(), "{unanswered:#?}");
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_break_no_promise(#[values(2, 3)] seed: u64) {
    let finding = run(Schedule::new(&shape(), seed), seed).await;
    assert_eq!(finding.breaches, "");
    let asks = &finding.evidence.asks;
    let answered = asks
        .iter()
        .filter(|ask| matches!(ask.outcome, Outcome::Answered(_)));
    assert!(answered.count() > asks.len() / 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn soak() {
    let seeds = std::env::var("HYSSOPSCALE_SOAK_SEEDS").unwrap_or_default();
    let Some((first, last)) = seeds.split_once("..") else {
        return;
    };
    let mut breaches = String::new();
    for seed in first.parse().unwrap()..last.parse().unwrap() {
        breaches += &run(Schedule::new(&shape(), seed), seed).await.breaches;
    }
    assert_eq!(breaches, "");
}
