//! The operators' pages name exactly the log events, with their keys, and the metrics of the
//! sources.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

type Events = BTreeMap<String, BTreeSet<String>>;

fn page(name: &str) -> String {
    std::fs::read_to_string(format!("{ROOT}/docs/operators/{name}")).unwrap()
}

/// Returns the sources of the node, each on one line.
fn sources(folder: &Path, found: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else {
            let text = std::fs::read_to_string(&path).unwrap();
            let code = text
                .lines()
                .filter(|line| !line.trim_start().starts_with("//"));
            found.push(
                code.flat_map(str::split_whitespace)
                    .collect::<Vec<_>>()
                    .join(" "),
            );
        }
    }
}

fn node_sources() -> Vec<String> {
    let mut found = Vec::new();
    sources(&Path::new(ROOT).join("crates/node/src"), &mut found);
    assert!(found.len() > 20, "the sources have moved");
    found
}

/// Splits at `mark` where no bracket is open.
fn split(text: &str, mark: char) -> Vec<&str> {
    let (mut depth, mut begin, mut parts) = (0, 0, Vec::new());
    for (index, letter) in text.char_indices() {
        match letter {
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' => depth -= 1,
            _ if letter == mark && depth == 0 => {
                parts.push(&text[begin..index]);
                begin = index + 1;
            }
            _ => {}
        }
    }
    parts.push(&text[begin..]);
    parts
}

/// Returns the key of `key`, `key:%`, `key = value` and the like.
fn key(part: &str) -> Option<String> {
    let name = part.trim().split([':', ' ', '=']).next().unwrap();
    Some(name.to_owned()).filter(|name| !name.is_empty())
}

fn source_events() -> Events {
    let mut events = Events::new();
    for source in node_sources() {
        for tail in source.split("target: ").skip(1) {
            let Some((_, tail)) = tail
                .split_once("DECISION")
                .filter(|(path, _)| path.len() < 20)
            else {
                continue;
            };
            let parts = split(tail, ';');
            let keys: Vec<String> = split(parts[0], ',').into_iter().filter_map(key).collect();
            let event = parts[1].split('"').nth(1).unwrap().to_owned();
            // One closure writes the lines of all changes of a peer.
            let names = if event == "{event}" {
                let names = source.split("peer(\"").skip(1);
                names
                    .map(|name| name.split('"').next().unwrap().to_owned())
                    .collect()
            } else {
                vec![event]
            };
            for name in names {
                events.entry(name).or_default().extend(keys.clone());
            }
        }
    }
    events
}

/// Returns the first two cells of a page's rows whose first cell is a name in code marks.
fn rows(page: &str) -> Vec<(String, BTreeSet<String>)> {
    let cells = page.lines().filter_map(|line| {
        let mut cells = line.strip_prefix("| `")?.split('|');
        let name = cells.next()?.trim().trim_matches('`').to_owned();
        let words = cells
            .next()?
            .split([',', ' '])
            .map(|word| word.trim_matches('`'));
        Some((
            name,
            words
                .filter(|word| !word.is_empty())
                .map(str::to_owned)
                .collect(),
        ))
    });
    cells.collect()
}

#[test]
fn logs_page_names_events_and_keys() {
    let known = source_events();
    assert!(known.len() > 40, "{known:?}");
    assert!(known["route"].contains("caller") && known["peer-left"].contains("peer"));
    let rows = rows(&page("logs.md"));
    let shown: Events = rows.iter().cloned().collect();
    assert_eq!(shown.len(), rows.len(), "an event stands twice");
    assert_eq!(shown, known);
}

fn source_metrics() -> BTreeSet<String> {
    let makers = [
        "counter_vec( r, \"",
        "gauge_vec( r, \"",
        "histogram( r, \"",
        "counter_vec(r, \"",
        "gauge_vec(r, \"",
        "histogram(r, \"",
        "gauge(\"",
        "gauge( \"",
        "Gauge::new(\"",
        "Gauge::new( \"",
        "Counter::new(\"",
        "Counter::new( \"",
    ];
    let sources = node_sources();
    let names = sources.iter().flat_map(|source| {
        makers.iter().flat_map(move |maker| {
            let tails = source.split(maker).skip(1);
            tails.map(|tail| format!("hyssopscale_{}", tail.split('"').next().unwrap()))
        })
    });
    names.collect()
}

#[test]
fn metrics_page_names_every_metric() {
    let known = source_metrics();
    assert!(
        known.contains("hyssopscale_load_stall_seconds"),
        "{known:?}"
    );
    let rows = rows(&page("metrics.md"));
    let shown: BTreeSet<String> = rows.iter().map(|(name, _)| name.clone()).collect();
    assert_eq!(shown.len(), rows.len(), "a metric stands twice");
    assert_eq!(shown, known);
}

/// Returns the variants of the first `enum Reason` in a source.
fn reasons(path: &str) -> Vec<String> {
    let text = std::fs::read_to_string(format!("{ROOT}/{path}")).unwrap();
    let (_, tail) = text.split_once("pub enum Reason {").unwrap();
    let lines = tail.lines().take_while(|line| *line != "}");
    let variants = lines.filter_map(|line| line.trim().strip_suffix(','));
    variants.map(str::to_owned).collect()
}

#[test]
fn refusals_page_names_every_reason() {
    let page = page("refusals.md");
    let claims = reasons("crates/once/src/participant/pending.rs");
    assert!(claims.contains(&"Quorum".to_owned()), "{claims:?}");
    let admission = reasons("crates/admission/src/lib.rs");
    let placement = reasons("crates/placement/src/action.rs");
    assert!(admission.len() >= 5 && placement.len() >= 3);
    for reason in &claims {
        let row = format!("| `{reason}` |");
        assert!(page.contains(&row), "{row} is missing");
    }
    for (path, variants) in [
        ("crates/admission/src/lib.rs", admission),
        ("crates/placement/src/action.rs", placement),
    ] {
        let text = std::fs::read_to_string(format!("{ROOT}/{path}")).unwrap();
        for variant in variants {
            let mark = format!("Self::{variant} => \"");
            let (_, tail) = text.split_once(&mark).unwrap();
            let name = tail.split('"').next().unwrap();
            assert!(page.contains(&format!("| `{name}` |")), "{name} is missing");
        }
    }
}
