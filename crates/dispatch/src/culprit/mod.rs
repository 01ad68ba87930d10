//! Detection of what requests that crash their upstreams have in common.
//!
//! A request has several **features**: its whole work, which its resends share, and each part that
//! unlike requests share. When an upstream crashes, each node reports the features of the requests
//! that it had in flight there and whose answers had not been under way for a while. A request whose
//! upstream survives the beginning of its answer clears its features of all earlier crashes, wherever
//! it ran: a culprit crashes each upstream that begins to answer it.
//!
//! A few nodes, chosen by rendezvous hashing, are **analysts**. They keep the reports, tell all nodes
//! which features are suspected, so that survivals are reported, and convict the feature that
//! explains most crashes. Of features that explain about as many, the rarest is convicted: requests
//! with a culprit often share another part with sound ones. A crash that a convicted feature
//! explains is attributed to no other.
//!
//! Partitions that reset connections look like crashes. Analysts therefore ask the upstreams that were
//! reported: a process that answers has not crashed, and no longer counts against any feature. The processes
//! that a conviction rests on are told with it, and those that are next in line to be analysts ask as well.
//!
//! Requests with a convicted feature are refused. Now and then one is let through as a **trial**; if
//! its upstream survives, the conviction is lifted.

mod analyst;
mod grounds;
mod learning;
mod ledger;
mod message;
mod outbox;
mod runs;
mod survivals;
mod trials;
mod verdicts;

use std::time::Duration;

use wire::{Incarnation, Machine, Request, Time, Upstream, View, Vm};

use crate::inquiry::Inquiries;
pub use crate::inquiry::Start;
use crate::poison::Fingerprint;
use analyst::Case;
pub use grounds::Ground;
use learning::Learning;
use ledger::Ledger;
pub use message::{CrashReport, Message, ReportId, Verdict};
use outbox::OwnReport;
use runs::{Run, Runs};
use survivals::Survivals;
use trials::Permits;
use verdicts::Verdicts;

/// Hash of something that requests have in common.
pub type Feature = Fingerprint;

/// Features in a report at most; one datagram carries it.
const CHARGES_MAX: usize = 2_048;

/// Time for which a feature stays suspected without news of it.
const SUSPICION_TIME: Duration = Duration::from_millis(1_500);

/// Time for which a feature in a crash of this node's own requests stays suspected.
const OWN_SUSPICION_TIME: Duration = Duration::from_secs(10);

/// Crashes from which a request with the feature is not retried.
const SUSPECT_CRASHES: u16 = 2;

/// Time in which a node finds out that an upstream has crashed, unless it stands still.
const CHECK_TIME: Duration = Duration::from_millis(500);

/// Shortest time between two reports of the survival of one feature.
const SURVIVAL_INTERVAL: Duration = Duration::from_millis(100);

/// Settings of a [`CulpritDetector`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of crashes that convict a feature.
    pub conviction_threshold: usize,
    /// Number of crashes that convict a feature of which many requests were in flight in each.
    pub popular_threshold: usize,
    /// Time from the crash that reaches the threshold to the conviction, in which survivals clear
    /// features that sound requests have as well.
    pub deliberation: Duration,
    /// Number of crashes that convict a feature which upstreams had survived before, and the time
    /// that they have to span.
    pub turned_threshold: usize,
    /// See [`Config::turned_threshold`].
    pub turned_span: Duration,
    /// Time without a report after which another one of the same upstream is of another crash.
    pub crash_window: Duration,
    /// Time within which all nodes notice that an upstream has crashed under their requests.
    pub report_spread: Duration,
    /// Interval at which reports are sent again.
    pub resend_interval: Duration,
    /// How long crashes are kept.
    pub report_retention: Duration,
    /// How long a conviction holds after a request with its feature came last.
    pub conviction_retention: Duration,
    /// How long survivals are kept.
    pub survival_retention: Duration,
    /// Maximum number of features of crashes kept.
    pub max_charges: usize,
    /// Maximum number of survivals kept.
    pub max_survivals: usize,
    /// Maximum number of verdicts kept.
    pub max_verdicts: usize,
    /// Times from a conviction, and from each trial, to the next trial.
    pub trial_pauses: Vec<Duration>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            conviction_threshold: 3,
            popular_threshold: 5,
            deliberation: Duration::from_millis(400),
            turned_threshold: 5,
            turned_span: Duration::from_secs(2),
            crash_window: Duration::from_secs(1),
            report_spread: Duration::from_millis(500),
            resend_interval: Duration::from_millis(200),
            report_retention: Duration::from_secs(3_600),
            conviction_retention: Duration::from_secs(3_600),
            survival_retention: Duration::from_secs(60),
            max_charges: 16_384,
            max_survivals: 4_096,
            max_verdicts: 1_024,
            trial_pauses: vec![Duration::from_secs(10), Duration::from_secs(60)],
        }
    }
}

/// What is believed of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Nothing.
    Clear,
    /// A feature of it may have crashed several upstreams.
    Suspect(Feature),
    /// A feature of it is convicted.
    Convicted(Feature),
}

/// Input of a [`CulpritDetector`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The nodes of the region.
    View(View),
    /// A request is about to be sent to an upstream.
    Dispatch {
        /// The request's number at this node.
        request: Request,
        /// Its features, sorted.
        features: Vec<Feature>,
        /// The upstream.
        upstream: Upstream,
        /// Its process, as far as known.
        process: Option<Start>,
    },
    /// The upstream of a running request has survived the beginning of its answer.
    Survived {
        /// The request.
        request: Request,
        /// When the answer began.
        began: Time,
    },
    /// The complete response to a running request was received.
    Finished {
        /// The request.
        request: Request,
    },
    /// A request ended in another way, without a crash.
    Dropped {
        /// The request.
        request: Request,
    },
    /// An upstream broke a request off. Whether it has crashed must be reported within ten seconds.
    ConnectionLost {
        /// The request.
        request: Request,
    },
    /// An upstream that broke requests off has not crashed.
    StillRunning {
        /// The upstream.
        upstream: Upstream,
    },
    /// Whether an upstream that broke requests off has crashed cannot be found out.
    Unconfirmed {
        /// The upstream.
        upstream: Upstream,
    },
    /// An upstream crashed. The requests that this node had sent to it have ended.
    Crashed {
        /// The upstream.
        upstream: Upstream,
    },
    /// An upstream has started again under the id that it had.
    Restarted {
        /// The upstream.
        upstream: Upstream,
    },
    /// An upstream is gone that had not said that it leaves.
    Gone {
        /// The upstream.
        upstream: Upstream,
    },
    /// An upstream has answered [`Action::Inspect`].
    Inspected {
        /// The upstream.
        upstream: Upstream,
        /// The process that answered.
        process: Start,
        /// When it was asked, on a new connection.
        asked: Time,
    },
    /// An operator lifts a conviction.
    Lift {
        /// The feature.
        feature: Feature,
    },
    /// A message from another node.
    Receive {
        /// Its sender.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// The time of [`Machine::wake`] has come.
    Tick,
}

/// Output of a [`CulpritDetector`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request may be sent.
    Run {
        /// The request.
        request: Request,
        /// The convicted feature that it has, if it is a trial.
        trial: Option<Feature>,
    },
    /// The request is refused.
    Refuse {
        /// The request.
        request: Request,
        /// Its convicted feature.
        feature: Feature,
    },
    /// Sends a message to another node.
    Send {
        /// The recipient.
        to: Vm,
        /// The message.
        message: Message,
    },
    /// Asks an upstream which process it is, on a new connection, over any way.
    Inspect {
        /// The upstream.
        upstream: Upstream,
    },
    /// This node reports a crash, to be logged.
    Reported(CrashReport),
    /// An upstream that was reported as crashed has not crashed, to be logged.
    Refuted {
        /// The upstream.
        upstream: Upstream,
        /// Number of crashes that are no longer counted.
        crashes: usize,
    },
    /// A feature was convicted, or its conviction lifted. Requests with a convicted feature that wait,
    /// or whose answers have not begun, must be ended.
    Decided(Verdict),
}

/// A feature that may have crashed upstreams.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    feature: Feature,
    crashes: u16,
    until: Time,
    /// When this node last told of its survival.
    told_at: Option<Time>,
}

/// Detects culprits at one node. See the [module documentation](self).
#[derive(Clone, Debug)]
pub struct CulpritDetector {
    config: Config,
    me: Incarnation,
    view: View,
    runs: Runs,
    /// What this node has seen itself.
    survivals: Survivals,
    /// Sorted by feature.
    suspects: Vec<Suspect>,
    verdicts: Verdicts,
    own_reports: Vec<OwnReport>,
    last_report_number: u64,
    permits: Permits,
    ledger: Ledger,
    inquiries: Inquiries,
    cases: Vec<Case>,
    /// Whether the ledger has changed since the last decision.
    undecided: bool,
    announced_at: Time,
    learning: Learning,
}

impl CulpritDetector {
    /// Creates the detector of the node `me`.
    pub fn new(config: Config, me: Incarnation) -> Self {
        Self {
            me,
            view: View::default(),
            runs: Runs::default(),
            survivals: Survivals::new(config.survival_retention, config.max_survivals),
            suspects: Vec::new(),
            verdicts: Verdicts::new(config.conviction_retention, config.max_verdicts),
            own_reports: Vec::new(),
            last_report_number: 0,
            permits: Permits::default(),
            ledger: Ledger::new(config.clone()),
            inquiries: Inquiries::default(),
            cases: Vec::new(),
            undecided: false,
            announced_at: Time::ZERO,
            learning: Learning::default(),
            config,
        }
    }

    /// Returns what is believed of requests with these features. A conviction of which this node may
    /// start a trial does not count.
    pub fn status(&self, now: Time, features: &[Feature]) -> Status {
        let convicted = |of: &&Feature| self.verdicts.conviction(**of).is_some();
        let refused = |of: &&Feature| convicted(of) && !self.permits.allow(now, **of, features);
        if let Some(feature) = features.iter().find(refused) {
            return Status::Convicted(*feature);
        }
        let suspected = |of: &&Feature| convicted(of) || self.is_suspect(now, **of);
        match features.iter().find(suspected) {
            Some(feature) => Status::Suspect(*feature),
            None => Status::Clear,
        }
    }

    /// Returns the convictions in force, with their ages.
    pub fn convictions(&self, now: Time) -> impl Iterator<Item = Verdict> {
        self.verdicts.convictions().map(move |entry| Verdict {
            age: now.saturating_sub(entry.at),
            ..entry.verdict
        })
    }

    /// Returns whether a feature may have crashed several upstreams, and this node has not lately seen
    /// any survive it.
    fn is_suspect(&self, now: Time, feature: Feature) -> bool {
        let Ok(index) = self.find_suspect(feature) else {
            return false;
        };
        let suspect = &self.suspects[index];
        suspect.crashes >= SUSPECT_CRASHES
            && now < suspect.until
            && self.survivals.last(feature).is_none()
    }

    fn find_suspect(&self, feature: Feature) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&feature, |suspect| suspect.feature)
    }

    fn suspect_until(&mut self, feature: Feature, crashes: u16, until: Time) {
        match self.find_suspect(feature) {
            Ok(index) => {
                let suspect = &mut self.suspects[index];
                suspect.crashes = suspect.crashes.max(crashes);
                suspect.until = suspect.until.max(until);
            }
            Err(index) => {
                let suspect = Suspect {
                    feature,
                    crashes,
                    until,
                    told_at: None,
                };
                self.suspects.insert(index, suspect);
            }
        }
    }

    fn dispatch(
        &mut self,
        now: Time,
        request: Request,
        features: &[Feature],
        (upstream, process): (Upstream, Option<Start>),
        out: &mut Vec<Action>,
    ) {
        if let Status::Convicted(feature) = self.status(now, features) {
            self.verdicts.touch(now, feature);
            return out.push(Action::Refuse { request, feature });
        }
        let mut tried = features.iter().copied();
        let trial = tried.find(|of| self.verdicts.conviction(*of).is_some());
        if let Some(feature) = trial {
            self.permits.withdraw(feature);
            self.tell_analysts(now, &Message::TrialStarted(feature), out);
        }
        self.runs.start(now, request, (upstream, process), features);
        out.push(Action::Run { request, trial });
    }

    /// Records that an upstream survived a request that began to be answered at `began`, and tells
    /// the analysts where that clears a suspected feature.
    fn survived(&mut self, now: Time, features: &[Feature], began: Time, out: &mut Vec<Action>) {
        let mut cleared = Vec::new();
        for feature in features {
            self.survivals.record(*feature, began);
            let convicted = self.verdicts.conviction(*feature).is_some();
            let found = self.find_suspect(*feature);
            let due = found.is_ok_and(|index| {
                let told_at = &mut self.suspects[index].told_at;
                let due = told_at.is_none_or(|at| now >= at + SURVIVAL_INTERVAL);
                if due {
                    *told_at = Some(now);
                }
                due
            });
            if due || convicted {
                cleared.push((*feature, now.saturating_sub(began)));
            }
        }
        if !cleared.is_empty() {
            self.tell_analysts(now, &Message::Survived(cleared), out);
        }
    }

    fn request_ended(
        &mut self,
        now: Time,
        request: Request,
        finished: bool,
        out: &mut Vec<Action>,
    ) {
        let run = self.runs.end(request).filter(|_| finished);
        if let Some(run) = &run {
            self.runs.answered(run);
        }
        if let Some(run) = run.filter(|run| !run.survived) {
            self.survived(now, &run.features, now, out);
        }
    }

    fn request_survived(
        &mut self,
        now: Time,
        request: Request,
        began: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get_mut(request).filter(|run| !run.survived) else {
            return;
        };
        run.survived = true;
        let features = run.features.clone();
        self.survived(now, &features, began, out);
    }

    fn upstream_crashed(&mut self, now: Time, upstream: &Upstream, out: &mut Vec<Action>) {
        let window = self.config.crash_window;
        let crashed = self.runs.take_crashed(now, upstream, window);
        let age = time_since_loss(now, &crashed).saturating_sub(CHECK_TIME);
        self.report(now, age, upstream, crashed, out);
    }

    /// Reports that the process of an upstream has ended whose crash could not be found out.
    fn process_ended(&mut self, now: Time, upstream: &Upstream, out: &mut Vec<Action>) {
        let broken_off = self.runs.take_broken_off(now, upstream);
        let age = time_since_loss(now, &broken_off);
        self.report(now, age, upstream, broken_off, out);
    }

    /// Reports a crash that was `age` ago.
    fn report(
        &mut self,
        now: Time,
        age: Duration,
        upstream: &Upstream,
        crashed: Vec<Run>,
        out: &mut Vec<Action>,
    ) {
        let charged: Vec<Run> = crashed.into_iter().filter(|run| !run.survived).collect();
        if charged.is_empty() {
            return;
        }
        self.last_report_number += 1;
        let report = CrashReport {
            id: ReportId {
                reporter: self.me.clone(),
                number: self.last_report_number,
            },
            upstream: upstream.clone(),
            age,
            charges: charges(&charged),
        };
        for (feature, _) in &report.charges {
            self.suspect_until(*feature, 1, now + OWN_SUSPICION_TIME);
        }
        out.push(Action::Reported(report.clone()));
        let own = OwnReport {
            report,
            process: common_process(&charged),
            sends: 1,
            sent_at: now,
        };
        self.send_report(now, &own, out);
        self.own_reports.push(own);
    }

    fn receive(&mut self, now: Time, from: &Incarnation, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Crash(report) => self.take_report(now, from, report, out),
            Message::Survived(features) => self.take_survivals(now, features, out),
            Message::Suspects(suspects) => self.take_suspects(now, suspects, out),
            Message::Verdict(verdict) => self.take_verdict(now, verdict, out),
            Message::AllowTrial(feature) => self.permits.grant(now, feature, Vec::new()),
            Message::TrialStarted(feature) => self.trial_started(now, feature),
            Message::CrashedProcess(report, process) => self.take_process(now, &report, process),
            Message::Grounds(feature, grounds) => self.take_grounds(now, feature, grounds),
            Message::AllowTrialWithout(feature, without) => {
                self.permits.grant(now, feature, without);
            }
        }
    }

    /// Records which features are suspected, and tells what this node has seen of them lately.
    fn take_suspects(&mut self, now: Time, suspects: Vec<(Feature, u16)>, out: &mut Vec<Action>) {
        let mut cleared = Vec::new();
        for (feature, crashes) in suspects {
            self.suspect_until(feature, crashes, now + SUSPICION_TIME);
            if let Some(began) = self.survivals.last(feature) {
                cleared.push((feature, now.saturating_sub(began)));
            }
        }
        if !cleared.is_empty() {
            self.tell_analysts(now, &Message::Survived(cleared), out);
        }
    }

    /// Takes a verdict over unless a newer one is known.
    fn take_verdict(&mut self, now: Time, verdict: Verdict, out: &mut Vec<Action>) {
        if !self.verdicts.update(now, verdict) {
            return;
        }
        out.push(Action::Decided(verdict));
        self.follow_up(now, verdict);
        if !verdict.convicted {
            let feature = verdict.feature;
            self.suspects.retain(|suspect| suspect.feature != feature);
        }
    }

    /// Updates the view, and tells each new node the convictions.
    fn set_view(&mut self, now: Time, view: View, out: &mut Vec<Action>) {
        let peers = view.peers().iter().map(|p| &p.incarnation);
        let new = peers.filter(|i| **i != self.me && !self.view.knows(i));
        let new: Vec<Vm> = new.map(|incarnation| incarnation.vm.clone()).collect();
        let knew_any = !self.view.peers().is_empty();
        let was_inquirer = knew_any && self.is_inquirer();
        let was_analyst = knew_any && self.is_analyst();
        self.view = view;
        if !was_inquirer && self.is_inquirer() {
            self.reopen_inquiries(now);
        }
        if !self.is_analyst() {
            return;
        }
        if !was_analyst {
            self.learning.begin(now);
        }
        let convictions: Vec<Verdict> = self.convictions(now).collect();
        let messages: Vec<Message> = convictions
            .iter()
            .flat_map(|verdict| self.verdict_messages(verdict))
            .collect();
        for to in new {
            out.extend(messages.iter().map(|message| Action::Send {
                to: to.clone(),
                message: message.clone(),
            }));
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.runs.expire(now);
        self.survivals.expire(now);
        self.verdicts.expire(now);
        self.ledger.expire(now);
        self.suspects.retain(|suspect| now < suspect.until);
        self.permits.expire(now);
        self.resend_reports(now, out);
        self.analyze(now, out);
    }
}

/// Returns how long ago the first connection of `runs` was lost.
fn time_since_loss(now: Time, runs: &[Run]) -> Duration {
    let lost = runs.iter().filter_map(|run| run.connection_lost_at);
    lost.min().map_or(Duration::ZERO, |at| now - at)
}

/// Returns the process that all `runs` were sent to, if it is known and the same.
fn common_process(runs: &[Run]) -> Option<Start> {
    let first = runs.first()?.process;
    first.filter(|_| runs.iter().all(|run| run.process == first))
}

/// Returns the features of `runs`, sorted, with the number of runs that have each.
fn charges(runs: &[Run]) -> Vec<(Feature, u16)> {
    let features = runs.iter().flat_map(|run| run.features.iter().copied());
    let mut features: Vec<Feature> = features.collect();
    features.sort_unstable();
    let equal = features.chunk_by(|a, b| a == b);
    let count = |run: &[Feature]| u16::try_from(run.len()).unwrap_or(u16::MAX);
    let mut charges: Vec<_> = equal.map(|run| (run[0], count(run))).collect();
    if charges.len() > CHARGES_MAX {
        // What many requests have is the likeliest to be found again in other crashes.
        charges.sort_unstable_by_key(|(_, requests)| std::cmp::Reverse(*requests));
        charges.truncate(CHARGES_MAX);
        charges.sort_unstable();
    }
    charges
}

impl Machine for CulpritDetector {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        let mut actions = Vec::new();
        let out_actions = &mut actions;
        match event {
            Event::View(view) => self.set_view(now, view, out_actions),
            Event::Dispatch {
                request,
                features,
                upstream,
                process,
            } => {
                let upstream = (upstream, process);
                self.dispatch(now, request, &features, upstream, out_actions);
            }
            Event::Survived { request, began } => {
                self.request_survived(now, request, began, out_actions);
            }
            Event::Finished { request } => self.request_ended(now, request, true, out_actions),
            Event::Dropped { request } => self.request_ended(now, request, false, out_actions),
            Event::ConnectionLost { request } => self.runs.connection_lost(now, request),
            Event::StillRunning { upstream } => self.runs.still_running(&upstream),
            Event::Unconfirmed { upstream } => self.runs.set_aside(&upstream),
            Event::Crashed { upstream } => self.upstream_crashed(now, &upstream, out_actions),
            Event::Gone { upstream } => self.process_ended(now, &upstream, out_actions),
            Event::Restarted { upstream } => {
                self.process_ended(now, &upstream, out_actions);
                self.runs.restarted(&upstream);
                self.ledger.restarted(now, &upstream);
                self.inquiries.close(&upstream);
            }
            Event::Inspected {
                upstream,
                process,
                asked,
            } => self.inspected(now, &upstream, (process, asked), out_actions),
            Event::Lift { feature } => self.lift(now, feature, out_actions),
            Event::Receive { from, message } => self.receive(now, &from, message, out_actions),
            Event::Tick => self.tick(now, out_actions),
        }
        out.extend(actions);
    }

    fn wake(&self) -> Option<Time> {
        let interval = self.config.resend_interval;
        let reports = self.own_reports.iter().map(|own| own.due(interval));
        let cases = self.cases.iter().filter_map(Case::wake);
        let decision = self.undecided.then_some(Time::ZERO);
        let inquiries = self.inquiries.wake();
        reports.chain(cases).chain(decision).chain(inquiries).min()
    }
}
