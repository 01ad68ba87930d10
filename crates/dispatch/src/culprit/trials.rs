//! Trials of convictions.
//!
//! The first analyst allows a node to send one request with a convicted feature, and the next node if that one
//! gets no such request in time. First it has to be a request without the other features of the crashes, and
//! without other convicted ones: one of the culprit would say nothing about a feature that it shares with sound
//! ones.

use std::time::Duration;

use wire::{Time, Vm};

use super::message::{CrashReport, Message};
use super::{Action, Config, CulpritDetector, Feature};

/// Time for which a node may send one request with a convicted feature.
const TRIAL_TIME: Duration = Duration::from_secs(2);

/// Time within which the upstream of a trial survives it, or is reported as crashed.
const RESULT_TIME: Duration = Duration::from_secs(5);

/// Nodes that are allowed a trial one after the other which must not have any of the excluded features. After that
/// any request is tried.
const CHOOSY_TURNS: u32 = 2;

/// Features without which a trial has to be, as many as a node is told.
const EXCLUDED_MAX: usize = 512;

/// A trial that this node may start.
#[derive(Clone, Debug)]
struct Permit {
    feature: Feature,
    /// Features that the request must not have, sorted.
    without: Vec<Feature>,
    until: Time,
}

/// The trials that this node may start.
#[derive(Clone, Debug, Default)]
pub(super) struct Permits(Vec<Permit>);

impl Permits {
    pub fn grant(&mut self, now: Time, feature: Feature, mut without: Vec<Feature>) {
        without.sort_unstable();
        self.withdraw(feature);
        self.0.push(Permit {
            feature,
            without,
            until: now + TRIAL_TIME,
        });
    }

    /// Returns whether a request with these features may be the trial of one of them.
    pub fn allow(&self, now: Time, feature: Feature, features: &[Feature]) -> bool {
        let mut permits = self.0.iter();
        permits.any(|permit| {
            let excluded = |of: &Feature| permit.without.binary_search(of).is_ok();
            permit.feature == feature && now < permit.until && !features.iter().any(excluded)
        })
    }

    pub fn withdraw(&mut self, feature: Feature) {
        self.0.retain(|permit| permit.feature != feature);
    }

    pub fn expire(&mut self, now: Time) {
        self.0.retain(|permit| now < permit.until);
    }
}

/// When a conviction is tried.
#[derive(Clone, Debug)]
pub(super) struct Schedule {
    /// Number of trials that were started.
    started: usize,
    /// When the next one is allowed, at the node of this number.
    next: Option<Time>,
    node: usize,
    /// Nodes that were allowed the next one so far.
    turns: u32,
    /// When the trial was started whose result is not known.
    pending: Option<Time>,
    /// Whether a trial without a result was repeated. One is: a culprit that upstreams refuse for other reasons
    /// must not be sent again and again.
    repeated: bool,
}

impl Schedule {
    /// Makes the schedule of a feature that has just been convicted.
    pub fn new(now: Time, feature: Feature, config: &Config) -> Self {
        let pause = config.trial_pauses.first();
        Self {
            next: pause.map(|pause| now + *pause),
            ..Self::never(feature)
        }
    }

    /// Makes the schedule of a feature that is not convicted.
    pub const fn never(feature: Feature) -> Self {
        Self {
            started: 0,
            next: None,
            node: feature as usize,
            turns: 0,
            pending: None,
            repeated: false,
        }
    }

    /// Returns when the next trial is allowed.
    pub const fn next(&self) -> Option<Time> {
        self.next
    }

    /// Records that a trial begins.
    fn start(&mut self, now: Time, config: &Config) {
        self.started += 1;
        self.pending = Some(now);
        self.turns = 0;
        let pause = config.trial_pauses.get(self.started);
        self.next = pause.map(|pause| now + *pause);
    }

    /// Records that the feature was in flight in a crash at `at`.
    fn crashed(&mut self, at: Time) {
        self.pending.take_if(|started| *started <= at);
    }

    /// Repeats a trial that has shown nothing: its caller has left, or no upstream took it.
    fn repeat(&mut self, now: Time) {
        let expired = |started: &mut Time| now >= *started + RESULT_TIME;
        if self.pending.take_if(expired).is_some() && !self.repeated {
            self.repeated = true;
            self.started -= 1;
            self.next = Some(now);
        }
    }

    /// Returns the number of the node that may start the trial now, and whether it has to choose, if it is due.
    fn turn(&mut self, now: Time) -> Option<(usize, bool)> {
        self.next.filter(|at| now >= *at)?;
        // A node that gets no such request within the time passes the trial on.
        self.next = Some(now + TRIAL_TIME);
        self.node = self.node.wrapping_add(1);
        self.turns += 1;
        Some((self.node, self.turns <= CHOOSY_TURNS))
    }
}

impl CulpritDetector {
    /// Lets one node at a time start a trial of each conviction that is due for one.
    pub(super) fn allow_trials(&mut self, now: Time, out: &mut Vec<Action>) {
        let live = self.view.live().map(|peer| &peer.incarnation.vm);
        let live: Vec<Vm> = live.cloned().collect();
        let mut allowed = Vec::new();
        for case in &mut self.cases {
            case.schedule.repeat(now);
            if let Some((number, is_choosy)) = case.schedule.turn(now) {
                let node = live.get(number % live.len().max(1));
                allowed.push((node.unwrap_or(&self.me.vm).clone(), case.feature, is_choosy));
            }
        }
        for (to, feature, is_choosy) in allowed {
            let without = if is_choosy {
                self.excluded(feature)
            } else {
                Vec::new()
            };
            let message = if without.is_empty() {
                Message::AllowTrial(feature)
            } else {
                Message::AllowTrialWithout(feature, without)
            };
            if to == self.me.vm {
                let from = self.me.clone();
                self.receive(now, &from, message, out);
            } else {
                out.push(Action::Send { to, message });
            }
        }
    }

    /// Returns the features that a trial of `feature` must not have to show anything: the other convicted ones, and
    /// the rarer ones of the crashes.
    fn excluded(&self, feature: Feature) -> Vec<Feature> {
        let mut excluded = self.convicted_features();
        excluded.extend(self.ledger.companions(feature));
        excluded.retain(|of| *of != feature);
        excluded.truncate(EXCLUDED_MAX);
        excluded
    }

    pub(super) fn trial_started(&mut self, now: Time, feature: Feature) {
        if let Some(case) = self.cases.iter_mut().find(|case| case.feature == feature) {
            case.schedule.start(now, &self.config);
        }
    }

    /// Takes in that upstreams of trials may have crashed under them: the features of a crash that no other
    /// conviction explains have failed their trials.
    pub(super) fn end_trials(&mut self, now: Time, report: &CrashReport) {
        let at = now.saturating_sub(report.age);
        let convicted = |of: Feature| self.verdicts.conviction(of).is_some();
        let culprits = report.charges.iter().filter(|(of, _)| convicted(*of));
        let culprits: Vec<Feature> = culprits.map(|(of, _)| *of).collect();
        let [culprit] = culprits[..] else {
            return;
        };
        if let Some(case) = self.cases.iter_mut().find(|case| case.feature == culprit) {
            case.schedule.crashed(at);
        }
    }
}
