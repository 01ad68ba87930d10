//! The checker passes sound logs and catches a planted breach of each promise.

use rstest::rstest;
use standin::answer;
use standin::checker::{Ask, Evidence, Limits, Node, Outcome, Promise, What, check};
use standin::log::{End, Entry, Kind, Ticket};
use wire::{Priority, rank};

const SECOND: u64 = 1_000_000;

fn ticket(request: &str) -> Ticket {
    Ticket {
        attempt: format!("{request}/1"),
        request: request.into(),
        caller: "depot".into(),
    }
}

fn entry(at_us: u64, upstream: &str, kind: Kind) -> Entry {
    let upstream = upstream.into();
    Entry {
        at_us,
        upstream,
        kind,
    }
}

fn ask(request: &str, at_us: u64, what: What, outcome: Outcome) -> Ask {
    Ask {
        request: request.into(),
        caller: "depot".into(),
        node: "vm-1".into(),
        at_us,
        until_us: at_us + SECOND,
        what,
        outcome,
    }
}

fn completion(prompt: &str, priority: Priority) -> What {
    What::Completion {
        model: "fit@v1".into(),
        prompt: prompt.into(),
        tokens: 4,
        priority,
    }
}

fn checkout(key: Option<&str>, repeatable: bool) -> What {
    What::Call {
        method: "POST".into(),
        path: "/checkout".into(),
        key: key.map(str::to_owned),
        body: "b".into(),
        repeatable,
    }
}

fn answered(text: String) -> Outcome {
    Outcome::Answered(text)
}

fn receipt(key: &str) -> String {
    answer::service("POST", "/checkout", key, b"b")
}

/// The entries of one completion on an engine, from its start to its end.
fn stream(request: &str, at_us: u64, model: &str, priority: Priority) -> [Entry; 3] {
    let priority = priority as u8;
    let start = Kind::Start {
        ticket: ticket(request),
        instance: format!("{model}#3"),
        model: model.into(),
        prompt: rank::hash(request),
        priority,
        offset: 0,
    };
    let admit = Kind::Admit {
        ticket: ticket(request),
        prompt: rank::hash(request),
        priority,
        waiting: vec![],
    };
    let finish = Kind::Finish {
        ticket: ticket(request),
        end: End::Whole,
        given: 4,
    };
    [start, admit, finish].map(|kind| entry(at_us, "engine-1", kind))
}

fn run(request: &str, at_us: u64, key: Option<&str>) -> Entry {
    let kind = Kind::Run {
        ticket: ticket(request),
        key: key.map(str::to_owned),
        method: "POST".into(),
        path: "/checkout".into(),
        runs: 1,
    };
    entry(at_us, "desk-1", kind)
}

fn leaving(at_us: u64, leaving: bool) -> Entry {
    entry(at_us, "desk-1", Kind::Leaving { leaving })
}

fn unloaded(in_use: u32) -> Entry {
    let kind = Kind::Unloaded {
        instance: "fit@v1#3".into(),
        model: "fit@v1".into(),
        fence: 3,
        in_use,
        evicted_in_use: in_use > 0,
    };
    entry(9 * SECOND, "engine-1", kind)
}

fn in_force(revision: u64, at_us: u64) -> Node {
    let node = "vm-1".into();
    Node::InForce {
        node,
        revision,
        at_us,
    }
}

/// A run in which every promise was kept, with something for each of them to look at.
fn sound() -> Evidence {
    let text = |prompt| answer::text("fit@v1", prompt, 4);
    let mut entries = vec![leaving(40 * SECOND, true), unloaded(0)];
    entries.extend(stream("urgent", 2 * SECOND, "fit@v1", Priority::Urgent));
    entries.extend(stream("routine", 3 * SECOND, "fit@v1", Priority::Routine));
    entries.push(run("keyed", 4 * SECOND, Some("k1")));
    entries.push(run("lookup", 5 * SECOND, None));
    entries.push(run("lookup", 6 * SECOND, None));
    entries.push(run("shed", 41 * SECOND, None));
    let vm = || "vm-1".to_owned();
    let at_us = 12 * SECOND;
    Evidence {
        entries,
        asks: vec![
            ask(
                "urgent",
                2 * SECOND,
                completion("urgent", Priority::Urgent),
                answered(text("urgent")),
            ),
            ask(
                "routine",
                3 * SECOND,
                completion("routine", Priority::Routine),
                answered(text("routine")),
            ),
            ask(
                "cut",
                3 * SECOND,
                completion("cut", Priority::Routine),
                Outcome::Cut(text("cut")[..7].into()),
            ),
            ask(
                "keyed",
                4 * SECOND,
                checkout(Some("k1"), false),
                Outcome::Unknown,
            ),
            // Repeated with its key, it gets the first answer and does not run.
            ask(
                "again",
                5 * SECOND,
                checkout(Some("k1"), false),
                answered(receipt("k1")),
            ),
            ask(
                "lookup",
                5 * SECOND,
                checkout(None, true),
                answered(receipt("")),
            ),
            ask(
                "refused",
                6 * SECOND,
                checkout(Some("k2"), false),
                Outcome::NotRun,
            ),
        ],
        nodes: vec![
            Node::Published {
                revision: 7,
                at_us: SECOND,
            },
            Node::Published { revision: 8, at_us },
            in_force(7, 2 * SECOND),
            in_force(7, 20 * SECOND),
            in_force(8, 25 * SECOND),
            Node::Gone {
                node: vm(),
                at_us: 26 * SECOND,
            },
            Node::Serves {
                node: vm(),
                at_us: 50 * SECOND,
            },
            Node::Published {
                revision: 9,
                at_us: 27 * SECOND,
            },
            in_force(8, 51 * SECOND),
            in_force(9, 60 * SECOND),
            Node::Shutdown {
                node: vm(),
                at_us: 70 * SECOND,
            },
        ],
    }
}

#[test]
fn sound_run_has_no_breach() {
    assert_eq!(check(&sound(), &Limits::default()), []);
}

type Plant = fn(&mut Evidence);

#[rstest]
#[case::other_version(Promise::RightModel, "urgent", |evidence: &mut Evidence| {
    evidence.entries.extend(stream("urgent", SECOND, "fit@v2", Priority::Urgent));
})]
#[case::eviction_ignores_leases(Promise::NoEvictionInUse, "engine-1", |evidence: &mut Evidence| {
    evidence.entries.push(unloaded(1));
})]
#[case::answers_swapped(Promise::WholeOwnAnswer, "again", |evidence: &mut Evidence| {
    evidence.asks[4].outcome = answered(receipt(""));
})]
#[case::short_answer_passed_off(Promise::WholeOwnAnswer, "routine", |evidence: &mut Evidence| {
    evidence.asks[1].outcome = answered(answer::text("fit@v1", "routine", 3));
})]
#[case::other_text_before_the_cut(Promise::WholeOwnAnswer, "cut", |evidence: &mut Evidence| {
    evidence.asks[2].outcome = Outcome::Cut(answer::text("fit@v2", "p", 2));
})]
#[case::refused_call_runs_late(Promise::NotRunIsTrue, "refused", |evidence: &mut Evidence| {
    evidence.entries.push(run("refused", 30 * SECOND, Some("k2")));
})]
#[case::refused_completion_ran(Promise::NotRunIsTrue, "routine", |evidence: &mut Evidence| {
    evidence.asks[1].outcome = Outcome::NotRun;
})]
#[case::key_runs_twice(Promise::AtMostOnce, "k1", |evidence: &mut Evidence| {
    evidence.entries.push(run("again", 5 * SECOND, Some("k1")));
})]
#[case::keyless_call_retried(Promise::AtMostOnce, "once", |evidence: &mut Evidence| {
    evidence.asks.push(ask("once", SECOND, checkout(None, false), answered(receipt(""))));
    evidence.entries.extend([run("once", SECOND, None), run("once", 2 * SECOND, None)]);
})]
#[case::unknown_call_runs_twice(Promise::AtMostOnce, "ghost", |evidence: &mut Evidence| {
    evidence.entries.extend([run("ghost", SECOND, None), run("ghost", SECOND, None)]);
})]
#[case::answered_without_a_run(Promise::AtMostOnce, "never", |evidence: &mut Evidence| {
    evidence.asks.push(ask("never", SECOND, checkout(Some("k9"), false), answered(receipt("k9"))));
})]
#[case::leaving_upstream_gets_work(Promise::LeavingIsShed, "desk-1", |evidence: &mut Evidence| {
    evidence.entries.push(run("late", 46 * SECOND, None));
})]
#[case::leaving_upstream_refuses_work(Promise::LeavingIsShed, "desk-1", |evidence: &mut Evidence| {
    let reason = "leaving".to_owned();
    let refused = Kind::Refused { ticket: ticket("late"), reason };
    evidence.entries.push(entry(46 * SECOND, "desk-1", refused));
})]
#[case::shutdown_cuts(Promise::ShutdownCutsNothing, "cut", |evidence: &mut Evidence| {
    evidence.asks[2].at_us = 70 * SECOND - 1;
    evidence.asks[2].until_us = 71 * SECOND;
})]
#[case::revision_reverts(Promise::ConfigurationHolds, "vm-1", |evidence: &mut Evidence| {
    evidence.nodes.push(in_force(7, 25 * SECOND + 1));
})]
#[case::revision_reverts_after_a_restart(Promise::ConfigurationHolds, "vm-1", |evidence: &mut Evidence| {
    evidence.nodes.push(in_force(7, 50 * SECOND));
})]
#[case::revision_is_late(Promise::ConfigurationHolds, "vm-1", |evidence: &mut Evidence| {
    evidence.nodes.push(Node::Published { revision: 10, at_us: 61 * SECOND });
    evidence.nodes.push(in_force(9, 79 * SECOND));
})]
#[case::urgent_waits(Promise::UrgentFirst, "urgent", |evidence: &mut Evidence| {
    for entry in &mut evidence.entries[2..5] {
        entry.at_us = 8 * SECOND;
    }
})]
fn planted_breach_is_caught(#[case] promise: Promise, #[case] subject: &str, #[case] plant: Plant) {
    let mut evidence = sound();
    plant(&mut evidence);
    let breaches = check(&evidence, &Limits::default());
    let found: Vec<_> = breaches
        .iter()
        .map(|one| (one.promise, &*one.subject))
        .collect();
    assert!(found.contains(&(promise, subject)), "{breaches:?}");
    assert!(found.iter().all(|(of, _)| *of == promise), "{breaches:?}");
}

#[test]
fn upstream_that_stays_may_work_again() {
    let mut evidence = sound();
    evidence.entries.push(leaving(44 * SECOND, false));
    evidence.entries.push(run("late", 50 * SECOND, None));
    assert_eq!(check(&evidence, &Limits::default()), []);
}

#[test]
fn log_lines_survive_their_form() {
    let entries = sound().entries;
    let lines: String = entries
        .iter()
        .map(|entry| serde_json::to_string(entry).unwrap() + "\nnot an entry\n")
        .collect();
    assert_eq!(standin::log::parse(&lines), entries);
}
