//! What follows from what upstreams say of themselves.

mod support;

use exchange::Fleet;
use exchange::fleet::Listing;
use exchange::owner::{Action, Event};
use exchange::selection::{self, Requirements, Selection, SelectionContext, Unavailable};
use rstest::rstest;
use support::{OwnerHarness, engine, fleet, ms, plain_listing, plain_service, target};
use wire::{Time, Upstream};

fn pick(fleet: &Fleet, now: Time) -> Selection {
    let service = plain_service();
    let need = Requirements {
        service: &service,
        target: None,
        tried: &[],
        seed: 1,
        prefill_time: ms(0),
    };
    let scene = SelectionContext {
        now,
        zone: &"zone-a".into(),
        isolate_long_prompts: false,
        owned: |_: &Upstream| true,
    };
    selection::select_upstream(fleet, &need, &scene)
}

/// Whatever lists it next, a process that has said that it leaves gets nothing more.
#[rstest]
#[case::listed(|fleet: &mut Fleet, listing: Listing| { fleet.apply_listing(ms(10), listing); })]
#[case::outlined(|fleet: &mut Fleet, listing: Listing| { fleet.apply_summary(ms(10), listing); })]
#[case::lapsed(|fleet: &mut Fleet, listing: Listing| {
    fleet.remove("d1");
    fleet.apply_listing(ms(10), listing);
})]
fn leaver_does_not_come_back(#[case] relist: fn(&mut Fleet, Listing)) {
    let mut fleet = fleet(ms(0), [plain_listing("d1", "zone-a")]);
    assert!(fleet.mark_leaving("d1"), "it is news");
    assert!(!fleet.mark_leaving("d1"), "it is none");
    relist(&mut fleet, plain_listing("d1", "zone-a"));
    assert_eq!(
        pick(&fleet, ms(20)),
        Selection::None(Unavailable::NoUpstream)
    );
    let other = Listing {
        born: Some(2),
        ..plain_listing("d1", "zone-a")
    };
    fleet.apply_listing(ms(30), other);
    assert_eq!(pick(&fleet, ms(40)), Selection::Send("d1".into()));
}

/// An entry that no longer says that its process leaves is an old one.
#[test]
fn listing_takes_no_leaving_back() {
    let leaving = Listing {
        leaving: true,
        ..plain_listing("d1", "zone-a")
    };
    let mut fleet = fleet(ms(0), [leaving]);
    fleet.apply_listing(ms(10), plain_listing("d1", "zone-a"));
    assert_eq!(
        pick(&fleet, ms(20)),
        Selection::None(Unavailable::NoUpstream)
    );
}

#[test]
fn paused_upstream_is_passed_over() {
    let mut fleet = fleet(
        ms(0),
        [plain_listing("d1", "zone-a"), plain_listing("d2", "zone-b")],
    );
    fleet.set_pause(ms(0), "d1", ms(1_000));
    assert_eq!(pick(&fleet, ms(900)), Selection::Send("d2".into()));
    fleet.set_pause(ms(900), "d2", ms(500));
    assert_eq!(
        pick(&fleet, ms(950)),
        Selection::None(Unavailable::AllPaused(ms(50)))
    );
    // A shorter pause does not end a longer one.
    fleet.set_pause(ms(900), "d1", ms(10));
    assert_eq!(
        pick(&fleet, ms(950)),
        Selection::None(Unavailable::AllPaused(ms(50)))
    );
    assert_eq!(pick(&fleet, ms(1_100)), Selection::Send("d1".into()));
}

/// No load is ordered to an engine that leaves.
#[test]
fn leaving_engine_loads_nothing() {
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
