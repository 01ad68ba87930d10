//! Selection of the upstream for a request.

mod support;

use std::time::Duration;

use exchange::Selection;
use exchange::demand::Target;
use exchange::fleet::{AttemptResult, Listing, ListingChange, Load, Presence, Release};
use exchange::route::Service;
use exchange::selection::{
    LONG_PROMPT, Requirements, SelectionContext, Unavailable, select_upstream, soonest_resident,
};
use rstest::rstest;
use support::{engine, engine_service, fleet, ms, plain_listing, plain_service, target};
use wire::{Upstream, Zone};

const NOW: Duration = ms(10_000);

struct Request<'a> {
    service: &'a Service,
    target: Option<&'a Target>,
    tried: &'a [Upstream],
    long_prompt: bool,
    release: Option<Release>,
}

fn select(fleet: &exchange::Fleet, request: &Request<'_>) -> Selection {
    select_with(fleet, request).0
}

/// Returns the selection, and the engine that holds the adapter and could begin first.
fn select_with(
    fleet: &exchange::Fleet,
    request: &Request<'_>,
) -> (Selection, Option<(Upstream, Duration)>) {
    let zone: Zone = "zone-a".into();
    let requirements = Requirements {
        service: request.service,
        target: request.target,
        tried: request.tried,
        seed: 42,
        urgent: false,
        prefill_time: if request.long_prompt {
            LONG_PROMPT
        } else {
            ms(20)
        },
        release: request.release,
    };
    let context = SelectionContext {
        now: NOW,
        zone: &zone,
        long_prompt_engines: 0.12,
        owned: |_: &Upstream| true,
    };
    (
        select_upstream(fleet, &requirements, &context),
        soonest_resident(fleet, &requirements, &context),
    )
}

fn select_plain(fleet: &exchange::Fleet, tried: &[Upstream]) -> Selection {
    select(
        fleet,
        &Request {
            service: &plain_service(),
            target: None,
            tried,
            long_prompt: false,
            release: None,
        },
    )
}

fn select_engine(fleet: &exchange::Fleet, target: &Target, long_prompt: bool) -> Selection {
    select(
        fleet,
        &Request {
            service: &engine_service(),
            target: Some(target),
            tried: &[],
            long_prompt,
            release: None,
        },
    )
}

#[rstest]
fn upstream_in_the_same_zone_is_preferred() {
    let fleet = fleet(
        NOW,
        [plain_listing("s1", "zone-b"), plain_listing("s2", "zone-a")],
    );
    assert_eq!(select_plain(&fleet, &[]), Selection::Send("s2".into()));
}

#[rstest]
fn busy_upstream_is_avoided() {
    let mut fleet = fleet(
        NOW,
        [plain_listing("s1", "zone-b"), plain_listing("s2", "zone-a")],
    );
    let load = Load {
        running: 16,
        waiting: 4,
    };
    fleet.record_load(NOW, "s2", load);
    assert_eq!(select_plain(&fleet, &[]), Selection::Send("s1".into()));
}

#[rstest]
fn failing_upstream_is_avoided_for_a_while() {
    let mut fleet = fleet(
        NOW - ms(50),
        [plain_listing("s1", "zone-b"), plain_listing("s2", "zone-a")],
    );
    fleet.request_started(NOW - ms(20), "s2");
    fleet.request_ended(NOW - ms(10), "s2", AttemptResult::Failed);
    assert_eq!(select_plain(&fleet, &[]), Selection::Send("s1".into()));
    let score = fleet
        .upstream("s2")
        .map(|s2| s2.failure_score(NOW + ms(20_000)));
    assert!(score.is_some_and(|score| score < 0.01));
}

#[rstest]
fn leaving_upstream_gets_no_requests() {
    let mut listing = plain_listing("s2", "zone-a");
    listing.leaving = true;
    let fleet = fleet(NOW, [listing]);
    assert_eq!(
        select_plain(&fleet, &[]),
        Selection::None(Unavailable::NoUpstream)
    );
}

#[rstest]
fn excluded_upstream_gets_no_requests() {
    let mut fleet = fleet(
        NOW,
        [plain_listing("s1", "zone-b"), plain_listing("s2", "zone-a")],
    );
    fleet.exclude("s2");
    assert_eq!(select_plain(&fleet, &[]), Selection::Send("s1".into()));
}

#[rstest]
fn tried_upstream_is_not_selected_again() {
    let fleet = fleet(NOW, [plain_listing("s2", "zone-a")]);
    assert_eq!(
        select_plain(&fleet, &["s2".into()]),
        Selection::None(Unavailable::AllTried)
    );
}

#[rstest]
fn resident_adapter_is_used() {
    let listings = [engine("e1", &[]), engine("e2", &["a"]), engine("e3", &[])];
    let fleet = fleet(NOW, listings);
    assert_eq!(
        select_engine(&fleet, &target("a"), false),
        Selection::Send("e2".into())
    );
}

/// An engine that holds the adapter is found although a recent failure makes a load elsewhere cheaper.
#[rstest]
#[case::short(false, Some("e2"))]
#[case::long_on_shared(true, None)]
fn resident_adapter_is_found_after_a_failure(
    #[case] long_prompt: bool,
    #[case] found: Option<&'static str>,
) {
    let ids: Vec<String> = (0..9).map(|index| format!("e{index}")).collect();
    let listings = ids.iter().map(|id| {
        let held: &[&str] = if id == "e2" { &["a"] } else { &[] };
        engine(id, held)
    });
    let mut fleet = fleet(NOW - ms(50), listings);
    fleet.request_started(NOW - ms(20), "e2");
    fleet.request_ended(NOW - ms(10), "e2", AttemptResult::Failed);
    let request = Request {
        service: &engine_service(),
        target: Some(&target("a")),
        tried: &[],
        long_prompt,
        release: None,
    };
    let (selection, resident) = select_with(&fleet, &request);
    assert!(matches!(selection, Selection::Load(_)), "{selection:?}");
    let resident = resident.map(|(engine, _)| engine);
    assert_eq!(resident.as_deref(), found);
}

#[rstest]
fn request_waits_for_a_loading_adapter() {
    let mut fleet = fleet(NOW, [engine("e1", &[]), engine("e2", &[])]);
    let at = NOW + ms(120);
    fleet.set_presence(NOW, "e2", &target("a"), Presence::Coming(at, None));
    assert_eq!(
        select_engine(&fleet, &target("a"), false),
        Selection::Wait("e2".into(), at)
    );
}

/// All nodes that know the same engines select the same one for a rare adapter.
#[rstest]
fn rare_adapter_has_one_engine() {
    let ids: Vec<String> = (0..9).map(|index| format!("e{index}")).collect();
    let mut listings: Vec<_> = ids.iter().map(|id| engine(id, &[])).collect();
    let first = select_engine(&fleet(NOW, listings.clone()), &target("a"), false);
    listings.reverse();
    let second = select_engine(&fleet(NOW, listings), &target("a"), false);
    assert!(matches!(first, Selection::Load(_)), "{first:?}");
    assert_eq!(first, second);
}

#[rstest]
fn load_backlog_moves_a_load_elsewhere() {
    let mut fleet = fleet(NOW, [engine("e1", &[]), engine("e2", &[])]);
    let Selection::Load(first) = select_engine(&fleet, &target("a"), false) else {
        panic!("no load selected");
    };
    fleet.set_load_backlog(NOW, &first, ms(3_000));
    let Selection::Load(other) = select_engine(&fleet, &target("a"), false) else {
        panic!("no load selected");
    };
    assert_ne!(first, other);
}

/// Guards against adapters being loaded on an engine whose announced rate admits hardly any of their
/// requests: those wait for the load, get no token, and wait for another load elsewhere.
#[rstest]
fn rate_limited_engine_gets_no_loads() {
    let mut fleet = fleet(NOW, [engine("e1", &[]), engine("e2", &[])]);
    let Selection::Load(first) = select_engine(&fleet, &target("a"), false) else {
        panic!("no load selected");
    };
    fleet.record_rate(NOW, &first, NOW, Some(2.0));
    let Selection::Load(other) = select_engine(&fleet, &target("a"), false) else {
        panic!("no load selected");
    };
    assert_ne!(first, other);
    // Where all engines announce rates, adapters are loaded all the same.
    fleet.record_rate(NOW, &other, NOW, Some(2.0));
    let selection = select_engine(&fleet, &target("a"), false);
    assert_eq!(selection, Selection::Load(first));
}

/// The tokens of an announced rate are used by requests whose adapter the engine holds.
#[rstest]
fn rate_limited_engine_serves_what_it_holds() {
    let mut fleet = fleet(NOW, [engine("e1", &["a"]), engine("e2", &[])]);
    fleet.record_rate(NOW, "e1", NOW, Some(2.0));
    let selection = select_engine(&fleet, &target("a"), false);
    assert_eq!(selection, Selection::Send("e1".into()));
}

/// Long prompts share an engine even though it has to load their adapters. Short prompts avoid it.
#[rstest]
fn long_prompts_share_an_engine() {
    let ids: Vec<String> = (0..9).map(|index| format!("e{index}")).collect();
    let fleet = fleet(NOW, ids.iter().map(|id| engine(id, &[])));
    let engine_for_long = |name: &str| match select_engine(&fleet, &target(name), true) {
        Selection::Load(id) => id,
        other => panic!("expected a load, got {other:?}"),
    };
    let first = engine_for_long("a");
    for name in ["b", "c", "d", "e"] {
        assert_eq!(engine_for_long(name), first);
        let short = select_engine(&fleet, &target(name), false);
        assert_ne!(short, Selection::Load(first.clone()));
    }
}

#[rstest]
fn outdated_version_is_reloaded() {
    let mut listing = engine("e1", &[]);
    listing.holdings[0].adapters.push(("a".into(), Some(1)));
    let mut fleet = fleet(NOW, [listing]);
    assert_eq!(
        select_engine(&fleet, &target("a"), false),
        Selection::Send("e1".into())
    );
    fleet.announce_version(target("a"), 2);
    assert_eq!(
        select_engine(&fleet, &target("a"), false),
        Selection::Load("e1".into())
    );
}

#[rstest]
fn engine_without_weights_gets_no_requests() {
    let mut listing = engine("e1", &[]);
    listing.holdings.clear();
    let fleet = fleet(NOW, [listing]);
    let selection = select_engine(&fleet, &target("a"), false);
    assert_eq!(selection, Selection::None(Unavailable::NoWeights));
}

/// A restarted engine no longer holds the adapters of its former process.
#[rstest]
fn restarted_engine_is_empty() {
    let mut fleet = fleet(NOW, [engine("e1", &["a"])]);
    let mut listing = engine("e1", &[]);
    listing.born = Some(2);
    fleet.apply_listing(NOW, listing);
    assert_eq!(
        select_engine(&fleet, &target("a"), false),
        Selection::Load("e1".into())
    );
}

/// With 16 slots and requests of about two seconds, a slot becomes free eight times a second.
/// Waiting behind six others takes longer than loading the adapter elsewhere.
#[rstest]
fn load_is_preferred_to_a_long_queue() {
    let mut fleet = fleet(NOW, [engine("e1", &["a"]), engine("e2", &[])]);
    let load = Load {
        running: 16,
        waiting: 5,
    };
    fleet.record_load(NOW, "e1", load);
    assert_eq!(
        select_engine(&fleet, &target("a"), false),
        Selection::Load("e2".into())
    );
}

#[rstest]
fn short_queue_is_preferred_to_a_load() {
    let mut fleet = fleet(NOW, [engine("e1", &["a"]), engine("e2", &[])]);
    let load = Load {
        running: 16,
        waiting: 0,
    };
    fleet.record_load(NOW, "e1", load);
    assert_eq!(
        select_engine(&fleet, &target("a"), false),
        Selection::Send("e1".into())
    );
}

fn of_release(id: &str, release: Release) -> Listing {
    Listing {
        release,
        ..plain_listing(id, "zone-a")
    }
}

/// Guards against a stream that goes on at an upstream of another release than the one that began it.
#[rstest]
#[case::began_at_one(Some(1), Some("s1"))]
#[case::began_at_the_other(Some(2), Some("s2"))]
#[case::release_is_gone(Some(3), None)]
fn stream_stays_at_its_release(#[case] release: Option<Release>, #[case] chosen: Option<&str>) {
    let fleet = fleet(NOW, [of_release("s1", 1), of_release("s2", 2)]);
    let request = Request {
        service: &plain_service(),
        target: None,
        tried: &[],
        long_prompt: false,
        release,
    };
    let expected = chosen.map_or(Selection::None(Unavailable::NoRelease), |id| {
        Selection::Send(id.into())
    });
    assert_eq!(select(&fleet, &request), expected);
}

/// Guards against an upstream that starts again under its id with another release, and keeps what was
/// known of the former one.
#[rstest]
fn other_release_under_an_id_is_another_process() {
    let mut fleet = fleet(NOW, [of_release("s1", 1)]);
    assert_eq!(
        fleet.apply_summary(NOW, of_release("s1", 1)),
        ListingChange::Same
    );
    let change = fleet.apply_summary(NOW, of_release("s1", 2));
    assert_eq!(change, ListingChange::Restarted);
}
