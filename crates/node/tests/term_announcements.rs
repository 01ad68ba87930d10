//! Placement hears once of each adapter that a term brings within the horizon.

use std::sync::Arc;
use std::time::Duration;

use jiff::{SignedDuration, Timestamp};
use node::core::calendar::Calendar;
use node::shared::Rules;

const RULES: &str = include_str!("../../../examples/queensland.rules");

#[test]
fn each_beginning_is_told_once() {
    let set = Arc::new(rules::RuleSet::parse([("queensland.rules", RULES)]).unwrap());
    let mut rules = Rules { revision: 1, set };
    // Midnight in Brisbane on the first day of the second term.
    let begin: Timestamp = "2026-04-19T14:00:00Z".parse().unwrap();
    let at = |minutes: i64| begin + SignedDuration::from_mins(minutes);
    let clock = |minutes: u64| Duration::from_secs(60 * minutes);
    let mut calendar = Calendar::default();
    let mut told = Vec::new();
    for minute in 0..20 {
        let wall = at(i64::try_from(minute).unwrap() - 10);
        for expect in calendar.announce(&rules, wall, clock(minute)) {
            assert_eq!(expect.at, clock(10), "the term begins ten minutes in");
            told.push((minute, expect));
        }
    }
    let [(minute, expect)] = told.as_slice() else {
        panic!("told {told:?}");
    };
    assert!(*minute < 10, "told {minute} minutes in, too late to load");
    assert_eq!(expect.model.to_string(), "stock-warwick@v1");
    assert_eq!((&*expect.base, &*expect.pool), ("traction-base", "advice"));
    assert_eq!(&*expect.path, "stock-warwick/v1");
    assert!(expect.weight > 0.0);

    // Another revision is looked at from now on, whatever an earlier one announced.
    let mut calendar = Calendar::default();
    assert_eq!(calendar.announce(&rules, at(-2), clock(8)).len(), 1);
    assert!(calendar.announce(&rules, at(-1), clock(9)).is_empty());
    rules.revision = 2;
    assert_eq!(calendar.announce(&rules, at(-1), clock(9)).len(), 1);
    // A clock that jumps ahead passes over what has begun, one that jumps back repeats nothing.
    assert!(calendar.announce(&rules, at(60), clock(10)).is_empty());
    assert!(calendar.announce(&rules, at(-1), clock(11)).is_empty());
}
