//! Trials of convictions: requests that are let through to find out whether upstreams survive them.

use std::time::Duration;

use dispatch::CulpritDetector;
use dispatch::culprit::{Action, Config, CrashReport, Event, Feature, Message, ReportId, Status};
use wire::{Incarnation, Machine, Time};

/// The feature that is tried, and another one that is convicted.
const FEATURE: Feature = 7;
const OTHER: Feature = 8;

/// A feature of another culprit, and one of sound requests.
const CULPRIT: Feature = 9;
const SOUND: Feature = 10;

/// Time from a conviction to its trial, by which it has begun.
const FIRST_TRIAL: Duration = Duration::from_millis(10_600);

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// An analyst that is alone.
struct Analyst {
    detector: CulpritDetector,
    reports: u64,
}

impl Analyst {
    /// Makes one that has convicted these features.
    fn with_convictions(features: &[Feature]) -> Self {
        let me = Incarnation::new("vm-0", 1);
        let mut analyst = Self {
            detector: CulpritDetector::new(Config::default(), me),
            reports: 0,
        };
        for feature in features {
            for _ in 0..3 {
                analyst.report(ms(10), &[*feature]);
            }
        }
        analyst.step(ms(500), Event::Tick);
        for feature in features {
            let status = analyst.detector.status(ms(500), &[*feature]);
            assert_eq!(status, Status::Convicted(*feature));
        }
        analyst
    }

    fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.detector.step(now, event, &mut out);
        out
    }

    /// Takes another node's report of a crash of one more engine.
    fn report(&mut self, now: Time, features: &[Feature]) {
        self.reports += 1;
        let from = Incarnation::new("vm-1", 1);
        let report = CrashReport {
            id: ReportId {
                reporter: from.clone(),
                number: self.reports,
            },
            upstream: format!("engine-{}", self.reports).into(),
            age: Duration::ZERO,
            charges: features.iter().map(|of| (*of, 1)).collect(),
        };
        let message = Message::Crash(report);
        self.step(now, Event::Receive { from, message });
    }

    /// Sends a request with the feature and tells whether it is let through as a trial.
    fn tries(&mut self, now: Time, request: u64) -> bool {
        self.tries_with(now, request, &[FEATURE])
    }

    /// Sends a request with these features and tells whether it is let through as a trial.
    fn tries_with(&mut self, now: Time, request: u64, features: &[Feature]) -> bool {
        self.step(now, Event::Tick);
        let sent = Event::Dispatch {
            request,
            features: features.to_vec(),
            upstream: "engine-0".into(),
            process: None,
        };
        let out = self.step(now, sent);
        let trial = |action: &Action| matches!(action, Action::Run { trial: Some(_), .. });
        out.iter().any(trial)
    }
}

/// Guards against sound requests that are refused for a minute and longer since the caller of their first trial
/// went away (RECOVER).
#[test]
fn trial_without_result_is_repeated() {
    let mut analyst = Analyst::with_convictions(&[FEATURE]);
    assert!(analyst.tries(FIRST_TRIAL, 1));
    analyst.step(FIRST_TRIAL + ms(50), Event::Dropped { request: 1 });
    assert!(!analyst.tries(FIRST_TRIAL + ms(3_000), 2));
    assert!(analyst.tries(FIRST_TRIAL + ms(5_500), 3));
    let finished = Event::Finished { request: 3 };
    analyst.step(FIRST_TRIAL + ms(6_000), finished);
    let status = analyst.detector.status(FIRST_TRIAL + ms(6_000), &[FEATURE]);
    assert_eq!(status, Status::Clear);
}

/// Only one such trial is repeated: what is refused by upstreams again and again may be a culprit.
#[test]
fn second_trial_without_result_waits() {
    let mut analyst = Analyst::with_convictions(&[FEATURE]);
    assert!(analyst.tries(FIRST_TRIAL, 1));
    assert!(analyst.tries(FIRST_TRIAL + ms(5_500), 2));
    for seconds in 7..60 {
        assert!(!analyst.tries(FIRST_TRIAL + ms(seconds * 1_000), seconds));
    }
}

/// A trial that crashes its upstream is repeated after a minute only.
#[test]
fn failed_trial_waits() {
    let mut analyst = Analyst::with_convictions(&[FEATURE]);
    assert!(analyst.tries(FIRST_TRIAL, 1));
    analyst.report(FIRST_TRIAL + ms(100), &[FEATURE]);
    for seconds in 1..58 {
        assert!(!analyst.tries(FIRST_TRIAL + ms(seconds * 1_000), 1 + seconds));
    }
    assert!(analyst.tries(FIRST_TRIAL + ms(61_000), 100));
}

/// A crash that another conviction explains says nothing about a trial.
#[test]
fn explained_crash_is_no_result() {
    let mut analyst = Analyst::with_convictions(&[FEATURE, OTHER]);
    assert!(analyst.tries(FIRST_TRIAL, 1));
    analyst.report(FIRST_TRIAL + ms(100), &[FEATURE, OTHER]);
    assert!(analyst.tries(FIRST_TRIAL + ms(5_500), 2));
}

/// Makes an analyst that has convicted the feature of crashes of two culprits that have it as well.
fn with_culprits() -> Analyst {
    let me = Incarnation::new("vm-0", 1);
    let mut analyst = Analyst {
        detector: CulpritDetector::new(Config::default(), me),
        reports: 0,
    };
    for culprit in [OTHER, OTHER, CULPRIT, CULPRIT] {
        analyst.report(ms(10), &[FEATURE, culprit]);
    }
    analyst.step(ms(500), Event::Tick);
    let status = analyst.detector.status(ms(500), &[FEATURE]);
    assert_eq!(status, Status::Convicted(FEATURE));
    analyst
}

/// Guards against sound requests that are refused for another minute since the trial of what they share was a request
/// of the culprit that had crashed the upstreams (RECOVER after kills of all nodes).
#[test]
fn culprit_is_no_trial_of_its_share() {
    let mut analyst = with_culprits();
    assert!(!analyst.tries_with(FIRST_TRIAL, 1, &[FEATURE, OTHER]));
    assert!(!analyst.tries_with(FIRST_TRIAL, 2, &[FEATURE, CULPRIT]));
    assert!(analyst.tries_with(FIRST_TRIAL, 3, &[FEATURE, SOUND]));
    analyst.step(FIRST_TRIAL + ms(500), Event::Finished { request: 3 });
    let status = analyst.detector.status(FIRST_TRIAL + ms(500), &[FEATURE]);
    assert_eq!(status, Status::Clear);
}

/// Guards against trials that tell nothing for five seconds (RECOVER after several convictions): a crash under a
/// request with two convicted features may be due to either.
#[test]
fn doubly_convicted_request_is_no_trial() {
    let mut analyst = Analyst::with_convictions(&[FEATURE, OTHER]);
    assert!(!analyst.tries_with(FIRST_TRIAL, 1, &[FEATURE, OTHER]));
    assert!(analyst.tries_with(FIRST_TRIAL, 2, &[FEATURE]));
}

/// Guards against sound requests that wait longer for their trial since all of them have another feature of the
/// crashes as well: what as many requests had there excludes none.
#[test]
fn constant_companion_excludes_none() {
    let me = Incarnation::new("vm-0", 1);
    let mut analyst = Analyst {
        detector: CulpritDetector::new(Config::default(), me),
        reports: 0,
    };
    for _ in 0..3 {
        analyst.report(ms(10), &[FEATURE, SOUND]);
    }
    analyst.step(ms(500), Event::Tick);
    let convicted = [FEATURE, SOUND]
        .into_iter()
        .find(|of| analyst.detector.status(ms(500), &[*of]) == Status::Convicted(*of));
    assert_eq!(convicted, Some(FEATURE));
    assert!(analyst.tries_with(FIRST_TRIAL, 1, &[FEATURE, SOUND]));
}

/// Where no other request comes, any is tried: what it has in common with the crashes may be sound as well.
#[test]
fn any_request_is_tried_in_the_end() {
    let mut analyst = with_culprits();
    for half_seconds in 0..8 {
        let now = FIRST_TRIAL + ms(half_seconds * 500);
        assert!(!analyst.tries_with(now, half_seconds, &[FEATURE, OTHER]));
    }
    assert!(analyst.tries_with(FIRST_TRIAL + ms(4_500), 100, &[FEATURE, OTHER]));
}
