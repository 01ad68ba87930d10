//! Settings files that change while a node runs.

use std::fs;
use std::path::PathBuf;

use hyssopscale::ops::reload::{Change, Source};
use rstest::rstest;
use tempfile::TempDir;

const SETTINGS: &str = r#"
[vm]
id = "vm-1"
region = "r"
zone = "z"

[platform]
addresses = ["127.0.0.1:9000"]

[peers]
keys = ["nodes of one platform that share this key"]

[exchange]
lease = "3s"
seeds = ["127.0.0.2:8144"]
"#;

const NEW_SEED: &str = "127.0.0.3:8144";

struct File {
    _folder: TempDir,
    path: PathBuf,
}

impl File {
    fn new() -> (Self, Source) {
        let folder = TempDir::new().unwrap();
        let path = folder.path().join("settings.toml");
        fs::write(&path, SETTINGS).unwrap();
        let source = Source::open(path.clone(), Vec::new()).unwrap();
        let file = Self {
            _folder: folder,
            path,
        };
        (file, source)
    }

    fn write(&self, from: &str, to: &str) {
        fs::write(&self.path, SETTINGS.replace(from, to)).unwrap();
    }
}

#[rstest]
fn unchanged_file_changes_nothing() {
    let (file, mut source) = File::new();
    file.write("", "");
    assert!(matches!(source.check(), Change::None));
}

/// Guards against nodes that keep to seeds which are gone, as their settings are read at the start alone (ONE).
#[rstest]
#[case::alone("3s", false)]
#[case::beside_another_setting("4s", true)]
fn new_seeds_are_taken_over(#[case] lease: &str, #[case] needs_restart: bool) {
    let (file, mut source) = File::new();
    let text = format!("lease = \"{lease}\"\nseeds = [\"{NEW_SEED}\"]");
    file.write("lease = \"3s\"\nseeds = [\"127.0.0.2:8144\"]", &text);
    let change = source.check();
    let Change::Seeds { seeds, restart } = change else {
        panic!("{change:?}");
    };
    assert_eq!(seeds, [NEW_SEED.parse().unwrap()]);
    assert_eq!(restart, needs_restart);
    assert!(matches!(source.check(), Change::None));
    let exchange = source.settings().exchange.as_ref().unwrap();
    assert_eq!(exchange.lease.as_secs(), 3);
}

#[rstest]
fn other_settings_wait_for_a_restart() {
    let (file, mut source) = File::new();
    file.write("lease = \"3s\"", "lease = \"4s\"");
    assert!(matches!(source.check(), Change::Other { restart: true }));
    file.write("", "");
    assert!(matches!(source.check(), Change::Other { restart: false }));
}

#[rstest]
fn faulty_file_is_reported_once() {
    let (file, mut source) = File::new();
    file.write("127.0.0.2:8144", "nowhere");
    assert!(matches!(source.check(), Change::Faulty(_)));
    assert!(matches!(source.check(), Change::None));
    fs::remove_file(&file.path).unwrap();
    assert!(matches!(source.check(), Change::Faulty(_)));
    assert!(matches!(source.check(), Change::None));
    file.write("127.0.0.2:8144", NEW_SEED);
    assert!(matches!(
        source.check(),
        Change::Seeds { restart: false, .. }
    ));
}
