//! Which upstream a request goes to.

mod support;

use exchange::Selection;
use exchange::demand::Target;
use exchange::fleet::{AttemptResult, Load, Presence};
use exchange::route::Service;
use exchange::selection::{
    LONG_PROMPT, Requirements, SelectionContext, Unavailable, select_upstream,
};
use rstest::rstest;
use support::{engine, engine_service, fleet, ms, plain_listing, plain_service, target};
use wire::{Upstream, Zone};

const NOW: std::time::Duration = ms(10_000);

struct Ask<'a> {
    service: &'a Service,
    target: Option<&'a Target>,
    tried: &'a [Upstream],
    long: bool,
}

fn choose(fleet: &exchange::Fleet, ask: &Ask<'_>) -> Selection {
    let zone: Zone = "zone-a".into();
    let need = Requirements {
        service: ask.service,
        target: ask.target,
        tried: ask.tried,
        seed: 42,
        prefill_time: if ask.long { LONG_PROMPT } else { ms(20) },
    };
    let scene = SelectionContext {
        now: NOW,
        zone: &zone,
        isolate_long_prompts: true,
        owned: |_: &Upstream| true,
    };
    select_upstream(fleet, &need, &scene)
}

fn plain(fleet: &exchange::Fleet, tried: &[Upstream]) -> Selection {
    choose(
        fleet,
        &Ask {
            service: &plain_service(),
            target: None,
            tried,
            long: false,
        },
    )
}

fn model(fleet: &exchange::Fleet, target: &Target, long: bool) -> Selection {
    choose(
        fleet,
        &Ask {
            service: &engine_service(),
            target: Some(target),
            tried: &[],
            long,
        },
    )
}

#[rstest]
fn near_upstream_is_preferred() {
    let fleet = fleet(
        NOW,
        [plain_listing("s1", "zone-b"), plain_listing("s2", "zone-a")],
    );
    assert_eq!(plain(&fleet, &[]), Selection::Send("s2".into()));
}

#[rstest]
fn loaded_upstream_is_left_alone() {
    let mut fleet = fleet(
        NOW,
        [plain_listing("s1", "zone-b"), plain_listing("s2", "zone-a")],
    );
    let load = Load {
        running: 16,
        waiting: 4,
    };
    fleet.record_load(NOW, "s2", load);
    assert_eq!(plain(&fleet, &[]), Selection::Send("s1".into()));
}

#[rstest]
fn failing_upstream_is_left_alone_for_a_while() {
    let mut fleet = fleet(
        NOW - ms(50),
        [plain_listing("s1", "zone-b"), plain_listing("s2", "zone-a")],
    );
    fleet.request_started(NOW - ms(20), "s2");
    fleet.request_ended(NOW - ms(10), "s2", AttemptResult::Failed);
    assert_eq!(plain(&fleet, &[]), Selection::Send("s1".into()));
    let trouble = fleet
        .upstream("s2")
        .map(|s2| s2.failure_score(NOW + ms(20_000)));
    assert!(trouble.is_some_and(|trouble| trouble < 0.01));
}

#[rstest]
fn leaving_upstream_gets_nothing() {
    let mut listing = plain_listing("s2", "zone-a");
    listing.leaving = true;
    let fleet = fleet(NOW, [listing]);
    assert_eq!(plain(&fleet, &[]), Selection::None(Unavailable::NoUpstream));
}

#[rstest]
fn shunned_upstream_gets_nothing() {
    let mut fleet = fleet(
        NOW,
        [plain_listing("s1", "zone-b"), plain_listing("s2", "zone-a")],
    );
    fleet.exclude("s2");
    assert_eq!(plain(&fleet, &[]), Selection::Send("s1".into()));
}

#[rstest]
fn tried_upstream_is_not_tried_again() {
    let fleet = fleet(NOW, [plain_listing("s2", "zone-a")]);
    assert_eq!(
        plain(&fleet, &["s2".into()]),
        Selection::None(Unavailable::AllTried)
    );
}

#[rstest]
fn resident_adapter_is_used() {
    let listings = [engine("e1", &[]), engine("e2", &["a"]), engine("e3", &[])];
    let fleet = fleet(NOW, listings);
    assert_eq!(
        model(&fleet, &target("a"), false),
        Selection::Send("e2".into())
    );
}

#[rstest]
fn coming_adapter_is_waited_for() {
    let mut fleet = fleet(NOW, [engine("e1", &[]), engine("e2", &[])]);
    let at = NOW + ms(120);
    fleet.set_presence(NOW, "e2", &target("a"), Presence::Coming(at, None));
    assert_eq!(
        model(&fleet, &target("a"), false),
        Selection::Wait("e2".into(), at)
    );
}

/// Every node that knows the same engines sends a rare adapter to the same one.
#[rstest]
fn rare_adapter_has_one_home() {
    let ids: Vec<String> = (0..9).map(|index| format!("e{index}")).collect();
    let mut listings: Vec<_> = ids.iter().map(|id| engine(id, &[])).collect();
    let first = model(&fleet(NOW, listings.clone()), &target("a"), false);
    listings.reverse();
    let second = model(&fleet(NOW, listings), &target("a"), false);
    assert!(matches!(first, Selection::Load(_)), "{first:?}");
    assert_eq!(first, second);
}

#[rstest]
fn backlog_moves_a_load_elsewhere() {
    let mut fleet = fleet(NOW, [engine("e1", &[]), engine("e2", &[])]);
    let Selection::Load(home) = model(&fleet, &target("a"), false) else {
        panic!("nothing to load");
    };
    fleet.set_load_backlog(NOW, &home, ms(3_000));
    let Selection::Load(other) = model(&fleet, &target("a"), false) else {
        panic!("nothing to load");
    };
    assert_ne!(home, other);
}

/// Long prompts share an engine, although it has to load their adapters.
#[rstest]
fn long_prompts_share_an_engine() {
    let ids: Vec<String> = (0..9).map(|index| format!("e{index}")).collect();
    let fleet = fleet(NOW, ids.iter().map(|id| engine(id, &[])));
    let lane = |name: &str| match model(&fleet, &target(name), true) {
        Selection::Load(id) => id,
        other => panic!("{other:?}"),
    };
    let first = lane("a");
    for name in ["b", "c", "d", "e"] {
        assert_eq!(lane(name), first);
        let short = model(&fleet, &target(name), false);
        assert_ne!(short, Selection::Load(first.clone()));
    }
}

#[rstest]
fn older_version_does_not_serve() {
    let mut listing = engine("e1", &[]);
    listing.holdings[0].adapters.push(("a".into(), Some(1)));
    let mut fleet = fleet(NOW, [listing]);
    assert_eq!(
        model(&fleet, &target("a"), false),
        Selection::Send("e1".into())
    );
    fleet.announce_version(target("a"), 2);
    assert_eq!(
        model(&fleet, &target("a"), false),
        Selection::Load("e1".into())
    );
}

#[rstest]
fn engine_without_weights_gets_nothing() {
    let mut listing = engine("e1", &[]);
    listing.holdings.clear();
    let fleet = fleet(NOW, [listing]);
    let pick = model(&fleet, &target("a"), false);
    assert_eq!(pick, Selection::None(Unavailable::NoWeights));
}

/// A restarted engine holds nothing of what its former process held.
#[rstest]
fn restarted_engine_is_empty() {
    let mut fleet = fleet(NOW, [engine("e1", &["a"])]);
    let mut listing = engine("e1", &[]);
    listing.born = Some(2);
    fleet.apply_listing(NOW, listing);
    assert_eq!(
        model(&fleet, &target("a"), false),
        Selection::Load("e1".into())
    );
}

/// With 16 places and answers of about two seconds, a place becomes free eight times a second: to
/// wait behind six others takes longer than to load the adapter elsewhere.
#[rstest]
fn queue_of_a_small_engine_is_left_for_a_load() {
    let mut fleet = fleet(NOW, [engine("e1", &["a"]), engine("e2", &[])]);
    let load = Load {
        running: 16,
        waiting: 5,
    };
    fleet.record_load(NOW, "e1", load);
    assert_eq!(
        model(&fleet, &target("a"), false),
        Selection::Load("e2".into())
    );
}

#[rstest]
fn short_queue_is_waited_in() {
    let mut fleet = fleet(NOW, [engine("e1", &["a"]), engine("e2", &[])]);
    let load = Load {
        running: 16,
        waiting: 0,
    };
    fleet.record_load(NOW, "e1", load);
    assert_eq!(
        model(&fleet, &target("a"), false),
        Selection::Send("e1".into())
    );
}
