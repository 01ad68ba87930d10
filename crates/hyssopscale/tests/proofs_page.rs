//! The page of proofs names only test files and tests that there are, and has a row of the checker
//! for each promise.

use std::path::Path;

use standin::checker::Promise;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

const PROMISES: [Promise; 9] = [
    Promise::RightModel,
    Promise::NoEvictionInUse,
    Promise::WholeOwnAnswer,
    Promise::NotRunIsTrue,
    Promise::AtMostOnce,
    Promise::LeavingIsShed,
    Promise::ShutdownCutsNothing,
    Promise::ConfigurationHolds,
    Promise::UrgentFirst,
];

fn read(path: &str) -> Option<String> {
    std::fs::read_to_string(Path::new(ROOT).join(path)).ok()
}

/// Returns what stands between back quotes.
fn quoted(page: &str) -> Vec<&str> {
    page.split('`').skip(1).step_by(2).collect()
}

/// Returns what is wrong with a named test, `crates/CRATE/tests/FILE.rs::TEST`.
fn fault(name: &str) -> Option<String> {
    let (path, test) = name.split_once("::").unwrap_or((name, ""));
    let Some(source) = read(path) else {
        return Some(format!("there is no {path}"));
    };
    let defined = test.is_empty() || source.contains(&format!("fn {test}("));
    (!defined).then(|| format!("{path} has no test {test}"))
}

#[test]
fn page_names_what_there_is() {
    let page = read("docs/PROOFS.md").unwrap();
    let names = quoted(&page);
    let tests: Vec<&str> = names
        .iter()
        .copied()
        .filter(|name| name.starts_with("crates/") && name.contains("/tests/"))
        .collect();
    assert!(tests.len() > 20, "the form of names has changed: {tests:?}");
    let faults: Vec<String> = tests.iter().filter_map(|name| fault(name)).collect();
    assert!(faults.is_empty(), "{faults:#?}");
    for promise in PROMISES {
        let name = format!("{promise:?}");
        assert!(names.contains(&&*name), "{name} is not on the page");
    }
}

#[test]
fn faults_of_the_page_are_found() {
    let file = "crates/hyssopscale/tests/proofs_page.rs";
    assert_eq!(fault(file), None);
    assert!(fault(&format!("{file}::no_such")).is_some());
    assert!(fault("crates/hyssopscale/tests/no_such.rs").is_some());
}
