//! The demonstration answers its requests and runs the repeated checkout once.

mod site;

use serde_json::Value;
use site::run;

#[test]
fn demo_tells_what_was_decided() {
    let ran = run(&["demo", "--output", "json"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    let lines: Vec<Value> = ran
        .out
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let [decided, nodes] = lines.as_slice() else {
        panic!("{ran:?}");
    };
    let answers: Vec<&str> = decided["requests"]
        .as_array()
        .unwrap()
        .iter()
        .map(|row| row["answer"].as_str().unwrap())
        .collect();
    assert_eq!(
        answers,
        ["200 OK", "200 OK", "200 OK", "200 OK", "403 Forbidden"]
    );
    let replayed = decided["calls"]
        .as_array()
        .unwrap()
        .iter()
        .map(|row| &row["replayed"]);
    assert_eq!(replayed.collect::<Vec<_>>(), ["false", "true"]);
    assert_eq!(nodes.as_array().unwrap().len(), 7);
}
