//! A short file works, a faulty one names every fault, overrides win.

use std::time::Duration;

use rstest::rstest;
use settings::{Driver, Fencing, Settings};

const SHORT: &str = r#"
vm = { id = "vm-1", region = "r", zone = "z" }
platform.addresses = ["platform.test:2379"]
peers.keys = ["0123456789abcdef"]
"#;

fn with(overrides: &[(&str, &str)]) -> Result<Settings, settings::Error> {
    let own = |(key, value): &(&str, &str)| ((*key).to_owned(), (*value).to_owned());
    Settings::parse_with(SHORT, overrides.iter().map(own))
}

#[test]
fn short_file_works() {
    let settings = Settings::parse(SHORT).unwrap();
    assert_eq!(&*settings.vm.zone, "z");
    assert_eq!(settings.listen.callers.to_string(), "0.0.0.0:8080");
    assert_eq!(settings.listen.operators.to_string(), "127.0.0.1:8082");
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

#[rstest]
#[case("vm.id", "", "platform's list")]
#[case("vm.zone", "a b", "without spaces")]
#[case("listen.callers", "nowhere", "socket address")]
#[case("listen.operators", "127.0.0.1:8081", "port of its own")]
#[case("advertise.peers", "10.0.0.1:8081", "unknown section")]
#[case("listen.peers", "127.0.0.1:8080", "port of its own")]
#[case("platform.addresses", "host", "host:port")]
#[case("platform.addresses", "[]", "at least one")]
#[case("platform.pol", "1s", "unknown field")]
#[case("peers.keys", "short", "16 bytes")]
#[case("limits.body_bytes", "-1", "integer")]
#[case("limits.streams", "0", "at least 1")]
#[case("limits.witnesses", "0", "1 to 15")]
#[case("limits.witnesses", "16", "1 to 15")]
#[case("time.quarantine", "0s", "more than 0s")]
#[case("time.quarantine", "25h", "at most 24h")]
#[case("time.connect", "0s", "more than 0s")]
#[case("time.connect", "soon", "duration")]
#[case("time.suspicion", "4s", "unknown field")]
#[case("time.heartbeat", "1s", "unknown field")]
#[case("time.drain", "1s", "time.address_ttl")]
#[case("time.gather", "200s", "time.deadline")]
#[case("time.deadline", "2h", "time.deadline_max")]
#[case("time.lease", "500ms", "renewal")]
#[case("time.lease", "1s", "longer than 1s")]
#[case("weights.load_stalls", "1.5", "0 to 1")]
#[case("weights.load_stalls", "nan", "0 to 1")]
#[case("store.s.loads_per_second", "0.0", "above 0")]
#[case("store.s.in_flight", "0", "at least 1")]
#[case("pool.p.driver", "engin", "unknown variant")]
#[case("pool.p.fencing", "maybe", "unknown variant")]
#[case("tls.certificate", "", "PEM")]
#[case("log.level", "loud", "debug")]
#[case("log.format", "xml", "unknown variant")]
#[case("nosection.key", "1", "unknown section")]
#[case("bare", "1", "SECTION.KEY")]
fn faults_name_key_and_remedy(#[case] key: &str, #[case] value: &str, #[case] remedy: &str) {
    let error = with(&[(key, value)]).unwrap_err();
    let fault = error
        .faults
        .iter()
        .find(|fault| fault.key == key || key.starts_with(&format!("{}.", fault.key)))
        .unwrap_or_else(|| panic!("{error}"));
    assert!(fault.remedy.contains(remedy), "{fault}");
    let hidden = ["peers.keys", "bare"].contains(&key) || key.starts_with("time");
    let value = value.trim_matches(['[', ']']).to_lowercase();
    assert!(
        hidden || error.to_string().to_lowercase().contains(&value),
        "{error}"
    );
}

#[test]
fn all_faults_at_once() {
    let text = format!("{SHORT}\nfoo = 1\nweights = {{ load_stalls = 2.0, x = 1 }}\n")
        + "[time]\nidle = 5\nconnect = '0s'\n[pool.a]\nbase = 'b'\nstore = 'none'\n[pool.b]\n";
    let error = Settings::parse(&text).unwrap_err();
    let mut keys: Vec<&str> = error.faults.iter().map(|f| f.key.as_str()).collect();
    keys.sort_unstable();
    let expected = [
        "foo",
        "pool.a.store",
        "pool.b.base",
        "pool.b.store",
        "time.connect",
        "time.idle",
        "weights.load_stalls",
        "weights.x",
    ];
    assert_eq!(keys, expected, "{error}");
}

#[test]
fn value_of_the_wrong_type_is_reported_once() {
    let error = Settings::parse(&SHORT.replace("\"vm-1\"", "5")).unwrap_err();
    assert_eq!(error.faults.len(), 1, "{error}");
}

#[test]
fn text_that_is_not_toml_names_the_line() {
    let error = Settings::parse("[vm]\nid = \n").unwrap_err();
    assert!(error.to_string().contains("line 2"), "{error}");
}

#[test]
fn overrides_take_bare_and_typed_values() {
    let settings = with(&[
        ("vm.id", "7"),
        ("listen.callers", "127.0.0.1:0"),
        ("listen.peers", "127.0.0.1:0"),
        ("platform.addresses", "a:1, b:2"),
        ("time.gather", "40ms"),
        ("store.main.loads_per_second", "2.4"),
        ("pool.a.b.base", "base"),
        ("pool.a.b.store", "\"main\""),
        ("pool.a.b.fencing", "refuses-old"),
        ("pool.desk.driver", "service"),
        ("trust.caller_header", "true"),
    ])
    .unwrap();
    assert_eq!(&*settings.vm.id, "7");
    assert_eq!(settings.listen.callers.port(), 0);
    assert_eq!(settings.platform.addresses, ["a:1", "b:2"]);
    assert_eq!(settings.time.gather, Duration::from_millis(40));
    assert_eq!(settings.pools["a.b"].fencing, Fencing::RefusesOld);
    assert_eq!(settings.pools["desk"].driver, Driver::Service);
    assert!(settings.trust.caller_header);
}
