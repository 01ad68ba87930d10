//! `requests find` tells what became of a call, and says unknown where nobody knows.

mod site;

use hyper::Request;
use hyssopscale::client;
use hyssopscale::ops::requests::{Verdict, decide};
use once::ledger::Ending;
use once::{CallState, Lookup};
use rstest::rstest;
use serde_json::Value;
use site::{Local, ask, run};

const ANSWERED: CallState = CallState::Ended {
    ending: Ending::Answered,
    status: 201,
};
const FAILED: CallState = CallState::Ended {
    ending: Ending::Failed,
    status: 409,
};
const LOST: CallState = CallState::Ended {
    ending: Ending::Unknown,
    status: 0,
};

#[rstest]
#[case::answer_wins(&[CallState::Nothing, CallState::Claimed, ANSWERED], "answered")]
#[case::failure(&[FAILED, CallState::Nothing], "failed")]
#[case::lost(&[LOST, CallState::Void, CallState::Void, CallState::Void, CallState::Void], "unknown")]
#[case::running(&[CallState::Claimed, CallState::Claimed, CallState::Running], "running")]
#[case::claimed(&[CallState::Claimed, CallState::Void, CallState::Void, CallState::Void, CallState::Void], "unknown")]
#[case::claiming(&[CallState::Claiming], "unknown")]
#[case::void_quorum(&[CallState::Void, CallState::Void, CallState::Void, CallState::Void, CallState::Nothing], "not-run")]
#[case::few_voids(&[CallState::Void, CallState::Void, CallState::Void, CallState::Nothing], "unknown")]
#[case::nothing(&[CallState::Nothing; 7], "unknown")]
#[case::nobody(&[], "unknown")]
fn fates_decide(#[case] fates: &[CallState], #[case] outcome: &str) {
    let lookup = |fate: &CallState| Lookup {
        state: *fate,
        voting: true,
        quorum: 4,
    };
    let mut lookups: Vec<Lookup> = fates.iter().map(lookup).collect();
    let verdict = decide(&lookups);
    assert_eq!(verdict.name(), outcome);
    assert!(!verdict.remedy().is_empty());
    // A node that is no witness yet proves nothing by a void.
    lookups.iter_mut().for_each(|lookup| lookup.voting = false);
    assert_ne!(decide(&lookups), Verdict::NotRun);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn finished_call_is_found() {
    let local = Local::start(7, &[]).await;
    local.wait_claims().await;
    let request = Request::get("/v1/addresses").header("x-caller", "depots");
    let addresses = client::send(local.callers(0), request, "").await.unwrap();
    let document: Value = serde_json::from_slice(&addresses.body).unwrap();
    let prefix = document["key_prefix"].as_str().unwrap();
    // The key holds what a query has to escape.
    let key = format!("{prefix}cleats&42 =+%");
    let request = Request::post("/lending/checkouts")
        .header("x-caller", "depots")
        .header("idempotency-key", &key);
    let answer = client::send(local.callers(2), request, "{}").await.unwrap();
    assert!(answer.status.is_success(), "{}", answer.text());

    let find = |key: String, caller: &'static str| {
        let local = &local;
        async move {
            let words = [
                "requests",
                "find",
                &key,
                "--caller",
                caller,
                "--service",
                "lending",
            ];
            ask(local, &[&words[..], &["--output", "json"]].concat()).await
        }
    };
    let found = find(key.clone(), "depots").await;
    assert_eq!(found.code, 0, "{found:?}");
    assert_eq!(found.json()["outcome"], "answered");
    assert_eq!(found.json()["status"], answer.status.as_u16());
    assert_eq!(found.json()["nodes"].as_array().unwrap().len(), 7);
    // Another caller's call of the same key is another call.
    let other = find(key.clone(), "crews").await;
    assert_eq!(
        (other.code, &other.json()["outcome"]),
        (1, &"unknown".into())
    );
    assert!(other.err.contains("help:"), "{other:?}");
    let first = local.operators()[0].clone();
    let words = [
        "requests",
        "find",
        &key,
        "--caller",
        "depots",
        "--service",
        "",
        "--node",
        &first,
    ];
    let missing = tokio::task::spawn_blocking({
        let words = words.map(str::to_owned);
        move || run(&words.each_ref().map(String::as_str))
    });
    let missing = missing.await.unwrap();
    assert!(
        missing.code == 1 && missing.err.contains("`service` is missing"),
        "{missing:?}"
    );
}
