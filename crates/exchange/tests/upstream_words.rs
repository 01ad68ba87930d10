//! Effects of announcements by upstreams: shutdown and pauses.

mod support;

use exchange::Fleet;
use exchange::fleet::Listing;
use exchange::owner::{Action, Event};
use exchange::selection::{self, Requirements, Selection, SelectionContext, Unavailable};
use rstest::rstest;
use support::{OwnerHarness, engine, fleet, ms, plain_listing, plain_service, target};
use wire::{Time, Upstream};

fn select(fleet: &Fleet, now: Time) -> Selection {
    select_seeded(fleet, now, 1)
}

fn select_seeded(fleet: &Fleet, now: Time, seed: u64) -> Selection {
    let service = plain_service();
    let requirements = Requirements {
        service: &service,
        target: None,
        tried: &[],
        seed,
        urgent: false,
        prefill_time: ms(0),
        release: None,
    };
    let context = SelectionContext {
        now,
        zone: &"zone-a".into(),
        long_prompt_engines: 0.0,
        owned: |_: &Upstream| true,
    };
    selection::select_upstream(fleet, &requirements, &context)
}

/// A process that has announced its shutdown gets no more requests, whatever listing follows. Its
/// successor does.
#[rstest]
#[case::listed(|fleet: &mut Fleet, listing: Listing| { fleet.apply_listing(ms(10), listing); })]
#[case::summary(|fleet: &mut Fleet, listing: Listing| { fleet.apply_summary(ms(10), listing); })]
#[case::expired(|fleet: &mut Fleet, listing: Listing| {
    fleet.remove("d1");
    fleet.apply_listing(ms(10), listing);
})]
fn leaving_process_gets_no_more_requests(#[case] relist: fn(&mut Fleet, Listing)) {
    let mut fleet = fleet(ms(0), [plain_listing("d1", "zone-a")]);
    assert!(fleet.mark_leaving("d1"), "the first announcement is new");
    assert!(
        !fleet.mark_leaving("d1"),
        "the second announcement is not new"
    );
    relist(&mut fleet, plain_listing("d1", "zone-a"));
    assert_eq!(
        select(&fleet, ms(20)),
        Selection::None(Unavailable::NoUpstream)
    );
    let successor = Listing {
        born: Some(2),
        ..plain_listing("d1", "zone-a")
    };
    fleet.apply_listing(ms(30), successor);
    assert_eq!(select(&fleet, ms(40)), Selection::Send("d1".into()));
}

/// A listing that no longer says that its process is leaving is out of date.
#[test]
fn listing_does_not_revoke_leaving() {
    let leaving = Listing {
        leaving: true,
        ..plain_listing("d1", "zone-a")
    };
    let mut fleet = fleet(ms(0), [leaving]);
    fleet.apply_listing(ms(10), plain_listing("d1", "zone-a"));
    assert_eq!(
        select(&fleet, ms(20)),
        Selection::None(Unavailable::NoUpstream)
    );
}

#[test]
fn paused_upstream_is_avoided() {
    let mut fleet = fleet(
        ms(0),
        [plain_listing("d1", "zone-a"), plain_listing("d2", "zone-b")],
    );
    fleet.set_pause(ms(0), "d1", ms(1_000));
    assert_eq!(select(&fleet, ms(900)), Selection::Send("d2".into()));
    fleet.set_pause(ms(900), "d2", ms(500));
    assert_eq!(
        select(&fleet, ms(950)),
        Selection::None(Unavailable::AllPaused(ms(50)))
    );
    // A shorter pause does not end a longer one.
    fleet.set_pause(ms(900), "d1", ms(10));
    assert_eq!(
        select(&fleet, ms(950)),
        Selection::None(Unavailable::AllPaused(ms(50)))
    );
    assert_eq!(select(&fleet, ms(1_100)), Selection::Send("d1".into()));
}

/// An upstream whose pause is over gets its part of the requests again within seconds, also while
/// the others are idle.
#[test]
fn upstream_returns_after_its_pause() {
    let listings = [plain_listing("d1", "zone-a"), plain_listing("d2", "zone-a")];
    let mut fleet = fleet(ms(0), listings);
    fleet.set_pause(ms(0), "d1", ms(1_000));
    let chosen = |now: Time| {
        let to_first =
            |seed: &u64| select_seeded(&fleet, now, *seed) == Selection::Send("d1".into());
        (0..100).filter(to_first).count()
    };
    assert_eq!(chosen(ms(1_001)), 0, "it is avoided at first");
    let later = chosen(ms(3_000));
    assert!((20..=80).contains(&later), "{later} of 100 requests");
}

/// No load is ordered on an engine that is leaving.
#[test]
fn leaving_engine_gets_no_loads() {
    let mut desk = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
    desk.claim_all();
    desk.fleet.mark_leaving("e1");
    let mut actions = desk.step(Event::RequestLoad {
        engine: "e1".into(),
        target: target("a"),
        rank: 1,
    });
    actions.extend(desk.advance(ms(1_000)));
    let ordered = actions
        .iter()
        .any(|action| matches!(action, Action::Order { .. }));
    assert!(!ordered, "{actions:?}");
}
