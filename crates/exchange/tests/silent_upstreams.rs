//! Upstreams that fall silent and go on.

mod support;

use std::time::Duration;

use exchange::fleet::AttemptResult;
use rstest::rstest;
use support::{fleet, ms, plain_listing};

const SENT: Duration = ms(10_000);

/// Guards against an upstream that counts as failed although it has gone on after a silence.
#[rstest]
fn resumed_upstream_is_sound() {
    let mut fleet = fleet(SENT, [plain_listing("s1", "zone-a")]);
    fleet.request_started(SENT, "s1");
    fleet.request_started(SENT, "s1");
    fleet.request_ended(SENT + ms(500), "s1", AttemptResult::Silent);
    let score = |fleet: &exchange::Fleet, at| fleet.upstream("s1").map(|s1| s1.failure_score(at));
    assert!(score(&fleet, SENT + ms(500)) > Some(0.3));
    assert!(
        fleet
            .upstream("s1")
            .is_some_and(|s1| s1.is_silent(SENT + ms(500), ms(600)))
    );
    fleet.byte_received(SENT + ms(900), "s1");
    fleet.request_ended(SENT + ms(900), "s1", AttemptResult::Success);
    assert_eq!(score(&fleet, SENT + ms(901)), Some(0.0));
    assert!(
        fleet
            .upstream("s1")
            .is_some_and(|s1| !s1.is_silent(SENT + ms(901), ms(600)))
    );
}
