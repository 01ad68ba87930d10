//! `check`, `diff`, `explain` and `pack` on files, their exit codes and remedies.

mod site;

use rstest::rstest;
use serde_json::Value;
use site::{RULES, Ran, run};
use tempfile::TempDir;

const EXAMPLE: &str = "examples/queensland.rules";

fn file(folder: &TempDir, name: &str, text: &str) -> String {
    let path = folder.path().join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

#[test]
fn check_reports_every_fault() {
    let good = run(&["check", EXAMPLE, "--at", "2026-05-01T00:00:00Z"]);
    assert_eq!(good.code, 0, "{good:?}");
    let folder = tempfile::tempdir().unwrap();
    let faulty = format!("{RULES}adapter x base nowhere version v1 path p # a\nroute nonsense\n");
    let path = file(&folder, "faulty.rules", &faulty);
    let table = run(&["check", &path]);
    assert_eq!(table.code, 1);
    let json = run(&["check", &path, "--output", "json"]);
    let faults = json.json()["faults"].as_array().unwrap().clone();
    assert!(faults.len() >= 2, "{json:?}");
    let last = RULES.lines().count() as u64;
    for line in [last + 1, last + 2] {
        assert!(faults.iter().any(|fault| fault["line"] == line), "{json:?}");
        assert!(table.out.contains(&format!(":{line}:")), "{table:?}");
    }
}

#[test]
fn diff_tells_what_changes_for_whom() {
    let folder = tempfile::tempdir().unwrap();
    let after = RULES.replace("limit crews rate 20", "limit crews rate 30");
    let after = file(&folder, "after.rules", &after);
    let same = run(&[
        "diff", "--before", EXAMPLE, "--after", EXAMPLE, "--output", "json",
    ]);
    assert_eq!(same.json(), Value::Array(Vec::new()));
    let diff = run(&[
        "diff", "--before", EXAMPLE, "--after", &after, "--output", "json",
    ]);
    let changes = diff.json();
    assert_eq!(changes.as_array().unwrap().len(), 1, "{changes}");
    assert!(
        changes[0]["whom"].as_str().unwrap().contains("crews"),
        "{changes}"
    );
}

#[test]
fn explain_names_rule_and_model() {
    let words = ["explain", EXAMPLE, "--caller", "hikers"];
    let explained = run(&[&words[..], &["--output", "json"]].concat());
    assert_eq!(explained.json()["model"], "fitting-hiker@v1");
    assert!(
        run(&words)
            .out
            .contains("model fitting-hiker@v1 on pool advice")
    );
}

#[test]
fn pack_writes_what_it_names() {
    let folder = tempfile::tempdir().unwrap();
    let out = folder.path().to_str().unwrap();
    let packed = run(&[
        "pack",
        EXAMPLE,
        "--revision",
        "3",
        "--out",
        out,
        "--output",
        "json",
    ]);
    let document = packed.json();
    let keys = document["keys"].as_array().unwrap();
    assert_eq!(
        (&document["revision"], keys.len()),
        (&3.into(), 2),
        "{packed:?}"
    );
    for key in keys {
        assert!(folder.path().join(key.as_str().unwrap()).is_file());
    }
}

#[rstest]
#[case::missing_file(&["check", "no/such.rules"], 1, "help:")]
#[case::no_node(&["status", "--node", "127.0.0.1:1"], 1, "help:")]
#[case::no_command(&[], 2, "Usage")]
#[case::no_target(&["status"], 2, "--node")]
#[case::no_address(&["status", "--node", "nowhere"], 2, "nowhere")]
#[case::odd_interval(&["watch", "--node", "127.0.0.1:1", "--interval", "0"], 2, "seconds")]
#[case::odd_form(&["status", "--node", "127.0.0.1:1", "--output", "xml"], 2, "table")]
#[case::no_key(&["requests", "find", "--caller", "a", "--service", "b"], 2, "KEY")]
#[case::load_target(&["load"], 1, "help:")]
fn mistakes_name_the_remedy(#[case] words: &[&str], #[case] code: i32, #[case] remedy: &str) {
    let Ran {
        code: given, err, ..
    } = run(words);
    assert_eq!(given, code, "{err}");
    assert!(err.contains(remedy), "{err}");
}

#[rstest]
#[case("bash")]
#[case("zsh")]
#[case("fish")]
fn completions_know_every_command(#[case] shell: &str) {
    let script = run(&["completions", shell]);
    assert_eq!(script.code, 0);
    let commands = [
        "adapters", "check", "demo", "diff", "explain", "load", "pack", "requests", "status",
        "watch",
    ];
    for command in commands {
        assert!(script.out.contains(command), "{command}");
    }
}
