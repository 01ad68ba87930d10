//! Several culprits that have a part in common with each other.

use std::time::Duration;

use dispatch::CulpritDetector;
use dispatch::culprit::{Config, CrashReport, Event, Feature, Message, ReportId, Status};
use rstest::rstest;
use wire::{Incarnation, Machine};

/// Two culprits, and a part that their requests have in common.
const FIRST: Feature = 1;
const SECOND: Feature = 2;
const COMMON: Feature = 3;

/// Returns an analyst that has taken reports of these crashes, one each second, and decided.
fn decided(crashes: &[&[(Feature, u16)]]) -> CulpritDetector {
    let me = Incarnation::new("vm-0", 1);
    let mut analyst = CulpritDetector::new(Config::default(), me);
    let from = Incarnation::new("vm-1", 1);
    let mut now = Duration::ZERO;
    for (number, charges) in (1..).zip(crashes) {
        let report = CrashReport {
            id: ReportId {
                reporter: from.clone(),
                number,
            },
            upstream: format!("u{number}").as_str().into(),
            age: Duration::ZERO,
            charges: charges.to_vec(),
        };
        let event = Event::Receive {
            from: from.clone(),
            message: Message::Crash(report),
        };
        analyst.step(now, event, &mut Vec::new());
        now += Duration::from_secs(1);
        analyst.step(now, Event::Tick, &mut Vec::new());
    }
    analyst
}

/// Guards against a culprit that crashes upstreams on (BUDGET) with other parts: the part that it had in
/// common with one that was convicted before explained its crashes.
#[rstest]
#[case::in_what_is_left(&[(SECOND, 1), (COMMON, 1)], true)]
#[case::not_in_all(&[(COMMON, 1)], false)]
fn culprit_within_common_part(#[case] last: &[(Feature, u16)], #[case] convicted: bool) {
    let both: &[(Feature, u16)] = &[(FIRST, 1), (SECOND, 1), (COMMON, 2)];
    let first: &[(Feature, u16)] = &[(FIRST, 1), (COMMON, 1)];
    let second: &[(Feature, u16)] = &[(SECOND, 1), (COMMON, 1)];
    let analyst = decided(&[both, first, both, second, last]);
    let now = Duration::from_secs(6);
    assert_eq!(analyst.status(now, &[FIRST]), Status::Convicted(FIRST));
    let found = analyst.status(now, &[SECOND]) == Status::Convicted(SECOND);
    assert_eq!(found, convicted);
    assert_eq!(analyst.status(now, &[COMMON]), Status::Convicted(COMMON));
}
