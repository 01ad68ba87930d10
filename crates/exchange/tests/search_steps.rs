//! Steps of a request that searches an engine.

mod support;

use std::time::Duration;

use exchange::Selection;
use exchange::search::{Limits, MOVES_MAX, Search, Step, View, Waits};
use rstest::rstest;
use support::{ms, target};
use wire::Upstream;

const NOW: Duration = ms(10_000);

const LIMITS: Limits = Limits {
    on_time: ms(10_800),
    useful: ms(13_600),
};

/// Engines with the wait for a load at each; `None` where nobody orders loads.
struct Engines {
    waits: Vec<(&'static str, Option<Duration>)>,
    /// The engine that holds the adapter, and the wait there.
    resident: Option<(&'static str, Duration)>,
    claim_delay: Duration,
}

impl View for Engines {
    fn load_wait(&self, engine: &Upstream) -> Option<Duration> {
        let known = self.waits.iter().find(|(id, _)| *id == &**engine)?;
        known.1
    }

    fn shortest_wait(&self) -> Option<(Upstream, Duration)> {
        let owned = self.waits.iter();
        let owned = owned.filter_map(|(id, wait)| Some((Upstream::from(*id), (*wait)?)));
        owned.min_by_key(|(_, wait)| *wait)
    }

    fn soonest_resident(&self) -> Option<(Upstream, Duration)> {
        let (engine, wait) = self.resident?;
        Some((engine.into(), wait))
    }

    fn claim_delay(&self) -> Duration {
        self.claim_delay
    }
}

fn engines(waits: &[(&'static str, u64)]) -> Engines {
    let waits = waits.iter().map(|(id, wait)| (*id, Some(ms(*wait))));
    Engines {
        waits: waits.collect(),
        resident: None,
        claim_delay: ms(1_000),
    }
}

fn load(engine: &str) -> Selection {
    Selection::Load(engine.into())
}

#[rstest]
fn load_is_requested_first() {
    let mut search = Search::new(LIMITS);
    let step = search.next(NOW, load("e1"), &engines(&[("e1", 0)]));
    assert_eq!(step, Step::Load("e1".into()));
    assert_eq!(search.load_engine(), Some(&"e1".into()));
}

/// A request that would start too late at every engine is refused at its first look, with the time
/// after which one that arrives is on time.
#[rstest]
fn hopeless_request_is_refused_at_once() {
    let mut search = Search::new(LIMITS);
    let full = engines(&[("e1", 2_000), ("e2", 1_900)]);
    search.next(NOW, load("e1"), &full);
    let step = search.next(NOW + ms(3), load("e1"), &full);
    assert_eq!(step, Step::Refuse(ms(1_900 + 3 - 800)));
}

/// No request is refused while an engine is known that could serve it in time.
#[rstest]
fn faster_engine_is_asked_before_a_refusal() {
    let mut search = Search::new(LIMITS);
    let some = engines(&[("e1", 2_000), ("e2", 400)]);
    search.next(NOW, load("e1"), &some);
    let step = search.next(NOW + ms(3), load("e1"), &some);
    assert_eq!(step, Step::Load("e2".into()));
}

#[rstest]
fn moves_are_limited() {
    let mut search = Search::new(LIMITS);
    let mut asked = 0;
    for index in 0..20 {
        let (from, to) = if index % 2 == 0 {
            ("e1", "e2")
        } else {
            ("e2", "e1")
        };
        let view = engines(&[(from, 2_000), (to, 0)]);
        match search.next(NOW + ms(index), load(to), &view) {
            Step::Load(_) => asked += 1,
            Step::Refuse(_) => break,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(asked, 1 + MOVES_MAX);
}

/// A request that was queued keeps its place for as long as its answer is of use, even if the wait
/// turns out longer than expected.
#[rstest]
#[case::late(2_000, false)]
#[case::useless(4_000, true)]
fn queued_request_keeps_its_place(#[case] wait: u64, #[case] refused: bool) {
    let mut search = Search::new(LIMITS);
    let short = engines(&[("e1", 600)]);
    search.next(NOW, load("e1"), &short);
    let step = search.next(NOW + ms(3), load("e1"), &short);
    assert!(matches!(step, Step::Wait(..)), "{step:?}");
    assert_eq!(search.expected_wait(), Some(ms(600)));
    let step = search.next(NOW + ms(100), load("e1"), &engines(&[("e1", wait)]));
    assert_eq!(matches!(step, Step::Refuse(_)), refused, "{step:?}");
}

/// While nobody orders loads, a request waits for an owner only if one comes in time.
#[rstest]
#[case::soon(1_000, false)]
#[case::too_late(5_500, true)]
fn unowned_engines_are_awaited_or_not(#[case] claim_delay: u64, #[case] refused: bool) {
    let view = Engines {
        waits: vec![("e1", None)],
        resident: None,
        claim_delay: ms(claim_delay),
    };
    let step = Search::new(LIMITS).next(NOW, load("e1"), &view);
    assert_eq!(matches!(step, Step::Refuse(_)), refused, "{step:?}");
}

/// Guards against the refusal of a request whose adapter is resident at an engine that costs more than a
/// load elsewhere, where that load comes too late.
#[rstest]
#[case::no_owner(None, 500, true)]
#[case::busy_owner(Some(ms(2_000)), 500, true)]
#[case::no_owner_and_long_queue(None, 3_700, false)]
#[case::busy_owner_and_long_queue(Some(ms(2_000)), 900, false)]
fn resident_adapter_is_used_before_a_refusal(
    #[case] load_wait: Option<Duration>,
    #[case] resident_wait: u64,
    #[case] served: bool,
) {
    let view = Engines {
        waits: vec![("e1", load_wait)],
        resident: Some(("e2", ms(resident_wait))),
        claim_delay: ms(5_500),
    };
    let mut search = Search::new(LIMITS);
    let mut step = search.next(NOW, load("e1"), &view);
    if load_wait.is_some() {
        assert_eq!(step, Step::Load("e1".into()));
        step = search.next(NOW + ms(3), load("e1"), &view);
    }
    let expected = Step::Admit("e2".into());
    assert_eq!(step == expected, served, "{step:?}");
    assert_eq!(matches!(step, Step::Refuse(_)), !served, "{step:?}");
}

/// A request that has waited for an owner is queued: the wait for its load counts from its arrival,
/// and must not end in a refusal for having been long.
#[rstest]
#[case::late(600, false)]
#[case::useless(3_000, true)]
fn awaited_owner_serves(#[case] wait: u64, #[case] refused: bool) {
    let mut search = Search::new(LIMITS);
    let unowned = Engines {
        waits: vec![("e1", None)],
        resident: None,
        claim_delay: ms(900),
    };
    let step = search.next(NOW, load("e1"), &unowned);
    assert!(matches!(step, Step::Pause(_)), "{step:?}");
    let claimed = engines(&[("e1", wait)]);
    let later = NOW + ms(700);
    assert_eq!(
        search.next(later, load("e1"), &claimed),
        Step::Load("e1".into())
    );
    let step = search.next(later + ms(3), load("e1"), &claimed);
    assert_eq!(matches!(step, Step::Refuse(_)), refused, "{step:?}");
}

/// The load of two requests is cancelled with the last of them.
#[rstest]
fn last_request_ends_the_wait() {
    let mut waits = Waits::default();
    let engine: Upstream = "e1".into();
    waits.join(&engine, &target("a"));
    waits.join(&engine, &target("a"));
    assert!(!waits.leave(&engine, &target("a")));
    assert!(waits.leave(&engine, &target("a")));
    assert!(!waits.leave(&engine, &target("a")));
}
