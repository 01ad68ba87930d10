//! Decisions of an analyst, and how they reach the other nodes.

use std::time::Duration;

use wire::{Incarnation, Time, Upstream};

use super::grounds::{Ground, Grounds};
use super::ledger::Standing;
use super::message::{CrashReport, Message, ReportId, Verdict};
use super::trials::Schedule;
use super::{Action, Config, CulpritDetector, Feature, Start};

/// Crashes from which a feature is announced as suspected.
const ANNOUNCED_CRASHES: usize = 2;

/// Suspected features that are announced at a time.
const ANNOUNCED_MAX: usize = 64;

/// Interval between two announcements of suspected features.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);

/// Time after its last crash for which a suspected feature is announced.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(5);

/// Analysts that announce suspected features: a second one, in case the first is lost.
const ANNOUNCERS: usize = 2;

/// A feature explains about as many crashes as another if it lacks no more than one in so many.
const TIE_PART: u32 = 8;

/// A feature is rare if no more than so many requests with it were in flight in each crash.
const RARE_REQUESTS: u32 = 2;

/// A feature explains the crashes if it was in flight in one of so many at least.
const EXPLAINED_PART: u32 = 2;

/// How often an analyst sends a verdict. The time between two sends doubles each time.
const VERDICT_SENDS: u32 = 8;

/// Processes that are told with a conviction.
const GROUNDS_MAX: usize = 64;

/// A verdict as an analyst follows it up.
#[derive(Clone, Debug)]
pub(super) struct Case {
    pub(super) feature: Feature,
    /// How often this analyst has sent the verdict; all times if it comes from another one.
    sends: u32,
    next_send: Time,
    pub(super) schedule: Schedule,
    grounds: Grounds,
}

impl Case {
    /// Returns when the verdict is sent or tried next.
    pub(super) fn wake(&self) -> Option<Time> {
        let send = (self.sends < VERDICT_SENDS).then_some(self.next_send);
        send.into_iter().chain(self.schedule.next()).min()
    }
}

impl CulpritDetector {
    fn rank(&self) -> Option<usize> {
        self.analysts().into_iter().position(|vm| *vm == self.me.vm)
    }

    /// Returns whether this node is an analyst.
    pub(super) fn is_analyst(&self) -> bool {
        self.rank().is_some()
    }

    /// Records a report. A node that reports a convicted feature may have missed the conviction.
    pub(super) fn take_report(
        &mut self,
        now: Time,
        from: &Incarnation,
        report: CrashReport,
        out: &mut Vec<Action>,
    ) {
        for (feature, _) in &report.charges {
            let known = self
                .convictions(now)
                .find(|known| known.feature == *feature);
            if let Some(verdict) = known.filter(|_| from.vm != self.me.vm) {
                out.extend(self.verdict_messages(&verdict).map(|message| Action::Send {
                    to: from.vm.clone(),
                    message,
                }));
            }
        }
        self.end_trials(now, &report);
        let window = self.config.crash_window;
        if self.learning.admits(now, &report, window) {
            self.undecided |= self.ledger.insert(now, report);
        }
    }

    /// Records survivals, and lifts the convictions that they refute.
    pub(super) fn take_survivals(
        &mut self,
        now: Time,
        features: Vec<(Feature, Duration)>,
        out: &mut Vec<Action>,
    ) {
        for (feature, age) in features {
            self.ledger.survived(feature, now.saturating_sub(age));
            let convicted = self.verdicts.conviction(feature).is_some();
            if convicted && self.ledger.standing(feature, &[]).crashes == 0 {
                self.lift(now, feature, out);
            }
        }
    }

    /// Records which process was reported as crashed, and has it asked whether it still runs.
    pub(super) fn take_process(&mut self, now: Time, report: &ReportId, process: Start) {
        if let Some(upstream) = self.ledger.identify(report, process) {
            self.inquiries.open(now, upstream);
        }
    }

    /// Takes in that `process` of an upstream answered what was asked at `asked`. Crashes of it that
    /// were reported before are none, and convictions that rest on them are lifted.
    pub(super) fn inspected(
        &mut self,
        now: Time,
        upstream: &Upstream,
        (process, asked): (Start, Time),
        out: &mut Vec<Action>,
    ) {
        self.inquiries.answered(upstream, asked);
        self.collect_grounds();
        let crashes = self.ledger.refute(upstream, process, asked);
        let mut refuted = crashes.len() as u32;
        for case in &mut self.cases {
            let Some(entry) = self.verdicts.conviction(case.feature) else {
                continue;
            };
            let counted = |(at, features): &(Time, Vec<Feature>)| {
                *at <= entry.at && features.contains(&case.feature)
            };
            if asked >= entry.at || crashes.iter().any(counted) {
                refuted = refuted.max(case.grounds.refute(upstream, process));
            }
        }
        if refuted == 0 {
            return;
        }
        out.push(Action::Refuted {
            upstream: upstream.clone(),
            crashes: refuted as usize,
        });
        self.lift_baseless(now, out);
        self.undecided = true;
    }

    /// Lifts the convictions that too few crashes are left for.
    fn lift_baseless(&mut self, now: Time, out: &mut Vec<Action>) {
        let baseless: Vec<Feature> = self
            .cases
            .iter()
            .filter_map(|case| {
                let verdict = self.verdicts.conviction(case.feature)?.verdict;
                let refuted = case.grounds.refuted();
                let stands = refuted == 0 || self.config.stands_without(&verdict, refuted);
                (!stands).then_some(case.feature)
            })
            .collect();
        for feature in baseless {
            self.lift(now, feature, out);
        }
    }

    /// Notes which of the crashes in the ledger the convictions rest on. Processes are reported after their
    /// crashes, possibly after the decision.
    fn collect_grounds(&mut self) {
        for case in &mut self.cases {
            if let Some(entry) = self.verdicts.conviction(case.feature) {
                let grounds = self.ledger.grounds(case.feature, entry.at);
                case.grounds.merge(grounds);
            }
        }
    }

    /// Takes in what a conviction rests on, and has it asked about.
    pub(super) fn take_grounds(&mut self, now: Time, feature: Feature, grounds: Vec<Ground>) {
        let is_inquirer = self.is_inquirer();
        if self.verdicts.conviction(feature).is_none() {
            return;
        }
        let Some(case) = self.cases.iter_mut().find(|case| case.feature == feature) else {
            return;
        };
        let new = case.grounds.merge(grounds);
        if is_inquirer {
            let new = new.iter();
            new.for_each(|upstream| self.inquiries.open(now, upstream));
        }
    }

    /// Asks about everything that the convictions rest on, since this node has become an inquirer.
    pub(super) fn reopen_inquiries(&mut self, now: Time) {
        for case in &self.cases {
            if self.verdicts.conviction(case.feature).is_some() {
                let open = case.grounds.open();
                open.for_each(|upstream| self.inquiries.open(now, upstream));
            }
        }
    }

    /// Returns the messages that tell of a verdict.
    pub(super) fn verdict_messages(
        &self,
        verdict: &Verdict,
    ) -> impl Iterator<Item = Message> + use<> {
        let mut cases = self.cases.iter();
        let case = cases.find(|case| case.feature == verdict.feature && verdict.convicted);
        let grounds = case.into_iter().flat_map(|case| case.grounds.all());
        let told: Vec<Ground> = grounds.take(GROUNDS_MAX).cloned().collect();
        let grounds = (!told.is_empty()).then_some(Message::Grounds(verdict.feature, told));
        [Message::Verdict(*verdict)].into_iter().chain(grounds)
    }

    /// Lifts a conviction everywhere.
    pub(super) fn lift(&mut self, now: Time, feature: Feature, out: &mut Vec<Action>) {
        self.ledger.clear(feature);
        if let Some(entry) = self.verdicts.conviction(feature) {
            let verdict = Verdict {
                convicted: false,
                age: Duration::ZERO,
                ..entry.verdict
            };
            self.decide(now, verdict, out);
        }
    }

    fn decide(&mut self, now: Time, verdict: Verdict, out: &mut Vec<Action>) {
        self.take_verdict(now, verdict, out);
        if let Some(case) = self.cases.iter_mut().find(|c| c.feature == verdict.feature) {
            (case.sends, case.next_send) = (0, now);
        }
        self.send_verdicts(now, out);
    }

    /// Keeps track of a verdict that this node has taken over.
    pub(super) fn follow_up(&mut self, now: Time, verdict: Verdict) {
        if !verdict.convicted {
            self.ledger.clear(verdict.feature);
        }
        self.cases.retain(|case| case.feature != verdict.feature);
        let schedule = if verdict.convicted {
            Schedule::new(now, verdict.feature, &self.config)
        } else {
            Schedule::never(verdict.feature)
        };
        self.cases.push(Case {
            feature: verdict.feature,
            sends: VERDICT_SENDS,
            next_send: now,
            schedule,
            grounds: Grounds::default(),
        });
    }

    /// Does the regular work of an inquirer, and of an analyst.
    pub(super) fn analyze(&mut self, now: Time, out: &mut Vec<Action>) {
        let verdicts = &self.verdicts;
        self.cases.retain(|case| {
            case.sends < VERDICT_SENDS || verdicts.conviction(case.feature).is_some()
        });
        self.send_verdicts(now, out);
        let asked = self.inquiries.take_due(now).into_iter();
        out.extend(asked.map(|upstream| Action::Inspect { upstream }));
        let Some(rank) = self.rank() else {
            return;
        };
        if rank < ANNOUNCERS && now >= self.announced_at + ANNOUNCEMENT_INTERVAL {
            self.announced_at = now;
            self.announce_suspects(now, out);
        }
        if std::mem::take(&mut self.undecided) {
            self.convict_culprits(now, out);
        }
        if rank == 0 {
            self.allow_trials(now, out);
        }
    }

    pub(super) fn convicted_features(&self) -> Vec<Feature> {
        let convictions = self.verdicts.convictions();
        convictions.map(|entry| entry.verdict.feature).collect()
    }

    /// Returns the feature to convict. One that upstreams have lately survived is convicted only if
    /// no other explains the crashes.
    fn next_culprit(&mut self, now: Time) -> Option<Standing> {
        let convicted = self.convicted_features();
        let threshold = self.config.conviction_threshold;
        let standings = self.ledger.standings(threshold, &convicted);
        let most = standings.iter().map(|standing| standing.crashes).max()?;
        let (known, unknown): (Vec<_>, Vec<_>) = standings
            .into_iter()
            .partition(|standing| standing.survived_before);
        let explains = |standing: &Standing| standing.crashes * EXPLAINED_PART >= most;
        let likeliest = self.config.likeliest(&unknown);
        let (culprit, proven) = match likeliest.filter(explains) {
            Some(culprit) => {
                let deliberated = now >= culprit.reached_at + self.config.deliberation;
                (culprit, deliberated && self.config.is_conclusive(&culprit))
            }
            None => {
                let culprit = best(&known)?;
                (culprit, self.config.has_turned_bad(&culprit))
            }
        };
        self.undecided |= !proven;
        proven.then_some(culprit)
    }

    /// Returns a rare feature that no upstream has survived in many crashes, even if other features
    /// explain these: two culprits may be in flight in the same crashes.
    fn persistent_culprit(&mut self, now: Time) -> Option<Standing> {
        let standings = self.ledger.standings(self.config.popular_threshold, &[]);
        let culprit =
            { standings.into_iter() }.find(|standing| self.may_be_persistent(standing))?;
        let deliberated = now >= culprit.reached_at + self.config.deliberation;
        self.undecided |= !deliberated;
        deliberated.then(|| self.culprit_within(&culprit).unwrap_or(culprit))
    }

    /// Returns whether a feature is rare, and neither convicted nor survived by an upstream lately.
    fn may_be_persistent(&self, standing: &Standing) -> bool {
        let convicted = self.verdicts.conviction(standing.feature).is_some();
        !convicted && !standing.survived_before && standing.is_rare()
    }

    /// Returns a rarer feature that explains what convicted ones leave of the crashes of `common`, which
    /// several culprits may have in common. If `common` was convicted alone, it would explain their
    /// crashes, and they go on with other parts.
    fn culprit_within(&self, common: &Standing) -> Option<Standing> {
        let mut excused = self.convicted_features();
        if self.ledger.standing(common.feature, &excused).crashes == 0 {
            return None;
        }
        let standings = self.ledger.standings(self.config.conviction_threshold, &[]);
        let rarer = standings.into_iter().filter(|standing| {
            standing.requests < common.requests && self.may_be_persistent(standing)
        });
        let within = rarer.filter(|standing| {
            excused.push(standing.feature);
            let left = self.ledger.standing(common.feature, &excused).crashes;
            excused.pop();
            left == 0
        });
        best(&within.collect::<Vec<_>>())
    }

    fn convict_culprits(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(standing) = self
            .next_culprit(now)
            .or_else(|| self.persistent_culprit(now))
        {
            self.convict(now, standing, out);
            if self.verdicts.conviction(standing.feature).is_none() {
                // It was lifted at this very moment, and is looked at again with the next event.
                self.undecided = true;
                return;
            }
        }
    }

    fn convict(&mut self, now: Time, standing: Standing, out: &mut Vec<Action>) {
        let verdict = Verdict {
            feature: standing.feature,
            convicted: true,
            crashes: standing.crashes,
            requests: standing.requests,
            age: Duration::ZERO,
        };
        self.decide(now, verdict, out);
    }

    fn send_verdicts(&mut self, now: Time, out: &mut Vec<Action>) {
        let interval = self.config.resend_interval;
        let mut due = Vec::new();
        for case in &mut self.cases {
            if case.sends < VERDICT_SENDS && now >= case.next_send {
                case.next_send = now + interval * (1 << case.sends);
                case.sends += 1;
                due.push(case.feature);
            }
        }
        if !due.is_empty() {
            self.collect_grounds();
        }
        for feature in due {
            if let Some(verdict) = self.verdicts.get(now, feature) {
                self.verdict_messages(&verdict)
                    .for_each(|message| self.broadcast(&message, out));
            }
        }
    }

    fn announce_suspects(&mut self, now: Time, out: &mut Vec<Action>) {
        let convicted = self.convicted_features();
        let mut standings = self.ledger.standings(ANNOUNCED_CRASHES, &convicted);
        standings.retain(|standing| now < standing.last_at + ANNOUNCEMENT_TIME);
        if standings.is_empty() {
            return;
        }
        standings.sort_unstable_by_key(|standing| std::cmp::Reverse(standing.crashes));
        standings.truncate(ANNOUNCED_MAX);
        let crashes = |standing: &Standing| u16::try_from(standing.crashes).unwrap_or(u16::MAX);
        let suspects: Vec<_> = standings.iter().map(|s| (s.feature, crashes(s))).collect();
        let message = Message::Suspects(suspects.clone());
        self.broadcast(&message, out);
        self.take_suspects(now, suspects, out);
    }
}

impl Standing {
    fn is_rare(&self) -> bool {
        self.requests <= self.crashes * RARE_REQUESTS
    }
}

impl Config {
    /// Returns the best standing, or the best of a rare feature while the best one is not conclusive.
    fn likeliest(&self, standings: &[Standing]) -> Option<Standing> {
        let culprit = best(standings)?;
        if self.is_conclusive(&culprit) {
            return Some(culprit);
        }
        let rare = standings.iter().filter(|standing| standing.is_rare());
        best(&rare.copied().collect::<Vec<_>>()).or(Some(culprit))
    }

    /// Returns whether the crashes of a feature suffice. What many requests have is in flight in most
    /// crashes, whatever their cause, so it takes more of them.
    fn is_conclusive(&self, standing: &Standing) -> bool {
        standing.is_rare() || standing.crashes as usize >= self.popular_threshold
    }

    /// Returns whether a conviction stands if so many of its crashes were none.
    fn stands_without(&self, verdict: &Verdict, refuted: u32) -> bool {
        let is_rare = verdict.requests <= verdict.crashes * RARE_REQUESTS;
        let needed = if is_rare {
            self.conviction_threshold
        } else {
            self.popular_threshold
        };
        verdict.crashes.saturating_sub(refuted) as usize >= needed
    }

    /// Returns whether a feature that upstreams survived before its crashes must have become a culprit
    /// since. A failure that takes all upstreams down at once leaves nothing that could survive, so
    /// crashes at one moment prove nothing.
    fn has_turned_bad(&self, standing: &Standing) -> bool {
        standing.crashes as usize >= self.turned_threshold
            && standing.last_at - standing.first_at >= self.turned_span
    }
}

/// Returns the standing that explains most crashes, or the one with the fewest requests of those that
/// explain about as many: requests with a culprit often share another feature with sound ones, which
/// many requests have, and which is in flight in crashes of other causes as well.
fn best(standings: &[Standing]) -> Option<Standing> {
    let order = |standing: &&Standing| (standing.crashes, std::cmp::Reverse(standing.requests));
    let leader = standings.iter().max_by_key(order)?;
    let most = leader.crashes;
    let slack = (most / TIE_PART).max(u32::from(!leader.is_rare()));
    let near = |standing: &&Standing| standing.crashes + slack >= most;
    let rarest = standings.iter().filter(near);
    rarest
        .min_by_key(|standing| (standing.requests, standing.feature))
        .copied()
}
