//! The settings of claims reach the guard, and the pages tell the length of a full quarantine.

use std::time::Duration;

use node::tune;
use rstest::rstest;
use settings::Settings;
use wire::Incarnation;

const SHORT: &str = r#"
vm = { id = "vm-1", region = "r", zone = "z" }
platform.addresses = ["platform.test:2379"]
peers.keys = ["0123456789abcdef"]
"#;

fn guard(overrides: &[(&str, &str)]) -> once::participant::Config {
    let own = |(key, value): &(&str, &str)| ((*key).to_owned(), (*value).to_owned());
    let settings = Settings::parse_with(SHORT, overrides.iter().map(own)).unwrap();
    let me = Incarnation {
        vm: "vm-1".into(),
        start: 1,
    };
    tune::config(&settings, me).once
}

#[test]
fn default_is_the_full_quarantine_of_seven() {
    let config = guard(&[]);
    assert_eq!(
        (config.witness_count, config.quarantine),
        (7, config.full_quarantine())
    );
    let longer = guard(&[("time.retry_window", "1h")]);
    assert_eq!(longer.quarantine, longer.full_quarantine());
    assert!(longer.quarantine > config.quarantine);
}

#[test]
fn given_values_win() {
    let config = guard(&[("time.quarantine", "1s"), ("limits.witnesses", "3")]);
    assert_eq!(
        (config.witness_count, config.quarantine),
        (3, Duration::from_secs(1))
    );
}

#[rstest]
#[case("settings.md")]
#[case("operators/first-hour.md")]
fn page_tells_the_full_length(#[case] page: &str) {
    let path = format!("{}/../../docs/{page}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).unwrap();
    let full = guard(&[]).quarantine.as_secs();
    let length = format!("{}m {}s", full / 60, full % 60);
    assert!(text.contains(&length), "{page} does not tell {length}");
}
