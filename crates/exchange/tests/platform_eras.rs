//! Eras of the platform, and what a listing may still show from a copy.

mod support;

use exchange::fleet::{Fleet, ListingChange};
use exchange::history::{History, StatedEra};
use rstest::rstest;
use support::{engine, fleet, ms};

fn at_era(era: u64) -> History {
    let mut history = History::default();
    history.begin(ms(1_000), era);
    history
}

/// Guards against answers of an ended era, or of an unknown one, that are taken for news.
#[rstest]
#[case::same(StatedEra::Known(5), Some(5))]
#[case::later(StatedEra::Known(6), Some(6))]
#[case::ended(StatedEra::Known(4), None)]
#[case::absent(StatedEra::Absent, None)]
#[case::malformed(StatedEra::Malformed, None)]
fn only_answers_of_the_latest_era_are_used(#[case] stated: StatedEra, #[case] era: Option<u64>) {
    assert_eq!(at_era(5).era_of(stated), era);
}

#[rstest]
#[case::never_stated(StatedEra::Absent, Some(0))]
#[case::stated(StatedEra::Known(9), Some(9))]
#[case::malformed(StatedEra::Malformed, None)]
fn first_answer_tells_the_era(#[case] stated: StatedEra, #[case] era: Option<u64>) {
    assert_eq!(History::default().era_of(stated), era);
}

#[rstest]
fn era_never_goes_back() {
    let mut history = at_era(5);
    assert!(!history.begin(ms(2_000), 4));
    assert!(!history.begin(ms(2_000), 5));
    assert_eq!(history.current(), Some(5));
    assert!(history.begin(ms(2_000), 7));
    assert_eq!(history.current(), Some(7));
}

/// The first era that a node learns of replaces none, so that its listing is no copy.
#[rstest]
fn listing_may_be_a_copy_for_a_while() {
    let mut history = at_era(5);
    assert!(!history.may_be_copy(ms(1_000)));
    history.begin(ms(2_000), 6);
    assert!(history.may_be_copy(ms(6_900)));
    assert!(!history.may_be_copy(ms(7_100)));
}

fn known() -> Fleet {
    let mut listing = engine("e1", &[]);
    listing.born = Some(20);
    let mut fleet = fleet(ms(1_000), [listing, engine("e2", &[])]);
    fleet.remove("e2");
    fleet
}

/// Guards against a copy that brings back a process which was removed or replaced.
#[rstest]
#[case::replaced("e1", Some(10), true)]
#[case::present("e1", Some(20), false)]
#[case::started_since("e1", Some(30), false)]
#[case::unknown("e3", Some(10), false)]
fn ended_processes_are_outdated(
    #[case] id: &str,
    #[case] born: Option<u64>,
    #[case] outdated: bool,
) {
    let mut listing = engine(id, &[]);
    listing.born = born;
    assert_eq!(known().is_outdated(&listing), outdated);
}

#[rstest]
fn removed_process_is_outdated_until_it_is_listed() {
    let mut fleet = known();
    assert!(fleet.is_outdated(&engine("e2", &[])));
    let change = fleet.apply_listing(ms(2_000), engine("e2", &[]));
    assert_eq!(change, ListingChange::Appeared);
    assert!(!fleet.is_outdated(&engine("e2", &[])));
}

/// Guards against nodes whose digests differ for good, because one keeps that a process leaves and
/// the other does not.
#[rstest]
fn copy_takes_no_leaving_back() {
    let mut leaving = engine("e1", &[]);
    leaving.leaving = true;
    let mut fleet = fleet(ms(1_000), [leaving]);
    let before = fleet.digest();
    fleet.apply_listing(ms(2_000), engine("e1", &[]));
    assert_eq!(fleet.digest(), before);
    assert!(!fleet.upstream("e1").expect("listed").is_eligible());
}
