//! Detection of poison requests, which crash the upstreams that run them.
//!
//! A request is identified by the fingerprint of its work, so that its resends are recognised. When
//! an upstream crashes, each node makes a crash report for every request that it had in flight
//! there. A fingerprint with a report is a **suspect**. If a request with it finishes, every node
//! clears its reports. Once two crashes are attributed to it, it is **convicted** and refused from
//! then on.
//!
//! Suspects run isolated: each needs a permit for one of the few
//! isolation upstreams of its pool. It runs there as the only suspect and no new requests are sent
//! beside it. The node that owns the upstream grants one permit at a time. A suspect that crashes
//! its isolation upstream is convicted, and the crash is not attributed to the requests beside it.
//!
//! Partitions that reset connections look like crashes. Where nobody has told of a crash, the upstream is asked which
//! process it is, by the node that reported it and by others once that one is gone; if it is the one that was
//! reported, the reports are cleared.
//!
//! Crash reports are sent to all nodes. A few nodes, chosen by rendezvous hashing, keep those of each
//! fingerprint for nodes that start later.
//!
//! Upstreams whose requests must not wait for permits have [`crate::culprit`] instead, which also
//! finds what unlike requests have in common.

mod fingerprint;
mod permit;
mod refutation;
mod replication;
mod report;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Incarnation, Machine, Request, Time, Upstream, View, Vm, rank};

use crate::inquiry::{Inquiries, Start};
pub use fingerprint::{Fingerprint, fingerprint};
use permit::Permit;
use refutation::Doubt;
use report::ReportStore;
pub use report::{CrashReport, ReportId};

/// Number of crashes that convict a fingerprint.
const CONVICTION_THRESHOLD: usize = 2;

/// Number of nodes that keep the reports of a fingerprint. One is left if two are lost at once.
const REPORT_REPLICAS: usize = 3;

/// Time within which it must be known whether an upstream that broke a request off has crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// One in this many upstreams of a pool is an isolation upstream.
const POOL_PER_ISOLATION_UPSTREAM: usize = 3;

/// Settings of a [`PoisonDetector`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// How long reports are kept after a request with their fingerprint was last sent.
    pub report_retention: Duration,
    /// Time within which several crashes of one upstream count as one.
    pub crash_window: Duration,
    /// Interval at which permits are requested and renewed, and reports are sent again.
    pub resend_interval: Duration,
    /// Time after which a suspect that has no permit yet is told to come back later.
    pub permit_timeout: Duration,
    /// Maximum number of reports kept.
    pub max_reports: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            report_retention: Duration::from_secs(3_600),
            crash_window: Duration::from_secs(5),
            resend_interval: Duration::from_millis(200),
            permit_timeout: Duration::from_secs(30),
            max_reports: 4_096,
        }
    }
}

/// Whether requests with a fingerprint are considered poison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FingerprintStatus {
    /// No crash is attributed to it.
    Clear,
    /// At least one upstream crashed while running it, possibly among other requests.
    Suspect,
    /// As many crashes as the threshold are attributed to it.
    Convicted,
}

/// Input of a [`PoisonDetector`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The nodes of the region.
    View(View),
    /// A request is about to be sent to an upstream.
    Dispatch {
        /// The request's number at this node.
        request: Request,
        /// Its fingerprint.
        fingerprint: Fingerprint,
        /// The upstream. For a suspect it is [`PoisonDetector::isolation_upstream`].
        upstream: Upstream,
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
    /// An upstream broke a request off. Whether it has crashed must be reported within two seconds.
    ConnectionLost {
        /// The request.
        request: Request,
    },
    /// An upstream that broke requests off has not crashed.
    StillRunning {
        /// The upstream.
        upstream: Upstream,
    },
    /// An upstream crashed. The requests that this node had sent to it have ended.
    Crashed {
        /// The upstream.
        upstream: Upstream,
    },
    /// Nobody has told of the crash of an upstream that this node reports from `since` on: the process that it
    /// knew may still run.
    Doubted {
        /// The upstream.
        upstream: Upstream,
        /// The process.
        process: Start,
        /// When it was thought to have crashed.
        since: Time,
    },
    /// An upstream has answered [`Action::Inspect`].
    Inspected {
        /// The upstream.
        upstream: Upstream,
        /// The process that answered.
        process: Start,
        /// When it was asked.
        asked: Time,
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

/// Output of a [`PoisonDetector`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request may be sent to the upstream now.
    Run {
        /// The request.
        request: Request,
        /// Whether it holds the isolation permit of the upstream.
        isolated: bool,
    },
    /// The request must choose an upstream again: its upstream is reserved for a suspect, or its
    /// fingerprint was cleared while it waited for a permit.
    Reroute {
        /// The request.
        request: Request,
    },
    /// The request crashes upstreams and is refused permanently.
    Refuse {
        /// The request.
        request: Request,
        /// Number of crashes attributed to its fingerprint.
        crashes: usize,
    },
    /// No permit became free in time. The caller may send the request again.
    Busy {
        /// The request.
        request: Request,
        /// Time after which the caller may send it again.
        retry_after: Duration,
    },
    /// Sends a message to another node.
    Send {
        /// The recipient.
        to: Vm,
        /// The message.
        message: Message,
    },
    /// Asks an upstream which process it is, over any way.
    Inspect {
        /// The upstream.
        upstream: Upstream,
    },
    /// An upstream that was reported as crashed has not crashed, to be logged.
    Refuted {
        /// The upstream.
        upstream: Upstream,
        /// Number of reports that no longer count.
        reports: usize,
    },
    /// A new crash report was recorded, to be logged.
    CrashReported {
        /// The report.
        report: CrashReport,
        /// Number of crashes now attributed to its fingerprint.
        crashes: usize,
    },
    /// The status of a fingerprint changed, to be logged.
    StatusChanged {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// Its new status.
        status: FingerprintStatus,
    },
}

/// A message between the nodes of a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A crash report, possibly sent before.
    CrashReport(CrashReport),
    /// Clears reports, since a request with their fingerprint finished, or their crash was none.
    Clear {
        /// The reports.
        reports: Vec<ReportId>,
    },
    /// Requests or renews a permit.
    RequestPermit {
        /// The isolation upstream.
        upstream: Upstream,
        /// The request's number at the sender.
        request: Request,
    },
    /// Grants a permit.
    GrantPermit {
        /// The isolation upstream.
        upstream: Upstream,
        /// The request's number at the recipient.
        request: Request,
    },
    /// Returns a permit.
    ReleasePermit {
        /// The isolation upstream.
        upstream: Upstream,
        /// The request's number at the sender.
        request: Request,
    },
    /// An isolation upstream takes no other requests for this time.
    Reserve {
        /// The isolation upstream.
        upstream: Upstream,
        /// Remaining time; zero if the upstream is free again.
        left: Duration,
    },
    /// Tells which process was reported as crashed.
    CrashedProcess(ReportId, Start),
}

/// A request that was sent to an upstream.
#[derive(Clone, Debug)]
struct Run {
    request: Request,
    fingerprint: Fingerprint,
    upstream: Upstream,
    isolated: bool,
    started_at: Time,
    connection_lost_at: Option<Time>,
}

/// A request that waits for a permit.
#[derive(Clone, Debug)]
struct Waiter {
    request: Request,
    fingerprint: Fingerprint,
    upstream: Upstream,
    arrived_at: Time,
    /// When the permit was last requested.
    requested_at: Option<Time>,
}

/// Detects poison requests at one node. See the [module documentation](self).
#[derive(Clone, Debug)]
pub struct PoisonDetector {
    config: Config,
    me: Incarnation,
    view: View,
    reports: ReportStore,
    runs: Vec<Run>,
    waiters: Vec<Waiter>,
    /// Permits that this node grants, sorted by upstream.
    permits: Vec<Permit>,
    /// Isolation upstreams in use, and until when.
    reservations: Vec<(Upstream, Time)>,
    /// This node's own reports that are still sent again, with the number of sends and the time of
    /// the last one.
    own_reports: Vec<(CrashReport, u8, Time)>,
    last_report_number: u64,
    /// Crashes that this node reports and nobody has told of.
    doubts: Vec<Doubt>,
    inquiries: Inquiries,
    /// When the permits of isolated local requests are renewed next.
    next_renewal: Time,
}

impl PoisonDetector {
    /// Creates the detector of the node `me`.
    pub fn new(config: Config, me: Incarnation) -> Self {
        Self {
            reports: ReportStore::new(config.clone()),
            config,
            me,
            view: View::default(),
            runs: Vec::new(),
            waiters: Vec::new(),
            permits: Vec::new(),
            reservations: Vec::new(),
            own_reports: Vec::new(),
            last_report_number: 0,
            doubts: Vec::new(),
            inquiries: Inquiries::default(),
            next_renewal: Time::ZERO,
        }
    }

    /// Returns the status of a fingerprint.
    pub fn status(&self, fingerprint: Fingerprint) -> FingerprintStatus {
        match self.reports.crash_count(fingerprint) {
            0 => FingerprintStatus::Clear,
            crashes if crashes < CONVICTION_THRESHOLD => FingerprintStatus::Suspect,
            _ => FingerprintStatus::Convicted,
        }
    }

    /// Returns the upstream of `pool` on which a suspect runs.
    pub fn isolation_upstream<'a>(
        &self,
        fingerprint: Fingerprint,
        pool: &'a [Upstream],
    ) -> Option<&'a Upstream> {
        let count = pool.len().div_ceil(POOL_PER_ISOLATION_UPSTREAM);
        // All nodes must hash the same text to choose the same upstreams.
        let upstreams = rank::top(rank::hash("ward"), pool, count);
        let key = rank::hash(fingerprint.to_le_bytes());
        upstreams
            .into_iter()
            .max_by_key(|upstream| rank::weight(key, upstream))
    }

    /// Returns whether an upstream is reserved for a suspect and takes no other requests now.
    pub fn is_reserved(&self, now: Time, upstream: &str) -> bool {
        let matches =
            |(reserved, until): &(Upstream, Time)| **reserved == *upstream && now < *until;
        self.reservations.iter().any(matches)
    }

    fn dispatch(&mut self, now: Time, waiter: Waiter, out: &mut Vec<Action>) {
        let request = waiter.request;
        self.reports.touch(now, waiter.fingerprint);
        match self.status(waiter.fingerprint) {
            FingerprintStatus::Convicted => out.push(Action::Refuse {
                request,
                crashes: self.reports.crash_count(waiter.fingerprint),
            }),
            FingerprintStatus::Clear if self.is_reserved(now, &waiter.upstream) => {
                out.push(Action::Reroute { request });
            }
            FingerprintStatus::Clear => self.run(now, waiter, false, out),
            FingerprintStatus::Suspect => {
                self.waiters.push(waiter);
                self.request_permits(now, out);
            }
        }
    }

    fn run(&mut self, now: Time, waiter: Waiter, isolated: bool, out: &mut Vec<Action>) {
        let request = waiter.request;
        self.runs.push(Run {
            request,
            fingerprint: waiter.fingerprint,
            upstream: waiter.upstream,
            isolated,
            started_at: now,
            connection_lost_at: None,
        });
        out.push(Action::Run { request, isolated });
    }

    /// Sends a message. One to this node itself is handled immediately.
    fn send(&mut self, now: Time, to: Vm, message: Message, out: &mut Vec<Action>) {
        if to == self.me.vm {
            let from = self.me.clone();
            self.receive(now, &from, message, out);
        } else {
            out.push(Action::Send { to, message });
        }
    }

    fn broadcast(&self, message: &Message, out: &mut Vec<Action>) {
        let peers = self.view.peers().iter().map(|p| &p.incarnation.vm);
        for to in peers.filter(|vm| **vm != self.me.vm) {
            out.push(Action::Send {
                to: to.clone(),
                message: message.clone(),
            });
        }
    }

    fn receive(&mut self, now: Time, from: &Incarnation, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::CrashReport(report) => {
                self.record_report(now, report, out);
            }
            Message::Clear { reports } => self.clear_here(now, &reports, out),
            Message::RequestPermit { upstream, request } => {
                self.permit_requested(now, from, upstream, request, out);
            }
            Message::GrantPermit { upstream, request } => {
                self.permit_granted(now, from, &upstream, request, out);
            }
            Message::ReleasePermit { upstream, request } => {
                self.permit_released(now, from, &upstream, request, out);
            }
            Message::Reserve { upstream, left } => self.set_reservation(now, upstream, left),
            Message::CrashedProcess(report, process) => self.take_process(now, &report, process),
        }
    }

    /// Forgets a request that ended without a crash, and releases its permit.
    fn request_ended(
        &mut self,
        now: Time,
        request: Request,
        finished: bool,
        out: &mut Vec<Action>,
    ) {
        self.waiters.retain(|waiter| waiter.request != request);
        let Some(index) = self.runs.iter().position(|r| r.request == request) else {
            return;
        };
        let run = self.runs.swap_remove(index);
        if finished {
            self.clear_finished(now, run.fingerprint, out);
        }
        if run.isolated {
            self.release_permit(now, run.upstream, request, out);
        }
    }

    /// Clears a fingerprint's reports because a request with it finished.
    fn clear_finished(&mut self, now: Time, fingerprint: Fingerprint, out: &mut Vec<Action>) {
        let reports = self.reports.open_ids(fingerprint);
        if !reports.is_empty() {
            self.clear(now, reports, out);
        }
    }

    /// Clears reports on every node that has them.
    fn clear(&mut self, now: Time, reports: Vec<ReportId>, out: &mut Vec<Action>) {
        self.clear_here(now, &reports, out);
        self.own_reports
            .retain(|(report, _, _)| !reports.contains(&report.id));
        let recipients = self.recipients();
        let message = Message::Clear { reports };
        out.extend(recipients.into_iter().map(|to| Action::Send {
            to,
            message: message.clone(),
        }));
    }

    /// Clears reports on this node.
    fn clear_here(&mut self, now: Time, reports: &[ReportId], out: &mut Vec<Action>) {
        let fingerprints = self.reports.fingerprints(reports);
        let former: Vec<_> = fingerprints.iter().map(|of| self.status(*of)).collect();
        self.reports.clear(now, reports);
        for (fingerprint, former) in fingerprints.into_iter().zip(former) {
            let status = self.status(fingerprint);
            if status != former {
                out.push(Action::StatusChanged {
                    fingerprint,
                    status,
                });
            }
        }
    }

    fn connection_lost(&mut self, now: Time, request: Request) {
        if let Some(run) = self.runs.iter_mut().find(|run| run.request == request) {
            run.connection_lost_at = Some(now);
        }
    }

    fn upstream_still_running(&mut self, now: Time, upstream: &Upstream, out: &mut Vec<Action>) {
        let lost = |run: &&Run| run.upstream == *upstream && run.connection_lost_at.is_some();
        let ended: Vec<Request> = self.runs.iter().filter(lost).map(|r| r.request).collect();
        for request in ended {
            self.request_ended(now, request, false, out);
        }
    }

    fn upstream_crashed(&mut self, now: Time, upstream: &Upstream, out: &mut Vec<Action>) {
        let at_upstream = |run: &&Run| run.upstream == *upstream;
        let first_lost = self
            .runs
            .iter()
            .filter(at_upstream)
            .filter_map(|run| run.connection_lost_at)
            .min();
        // Requests sent after the first lost connection reached no running process.
        let before_crash = |run: &Run| first_lost.is_none_or(|lost| run.started_at <= lost);
        let affected = |run: &Run| run.upstream == *upstream && before_crash(run);
        let (affected, rest): (Vec<Run>, Vec<Run>) = self.runs.drain(..).partition(affected);
        self.runs = rest;
        for run in &affected {
            self.last_report_number += 1;
            let report = CrashReport {
                id: ReportId {
                    reporter: self.me.clone(),
                    number: self.last_report_number,
                },
                fingerprint: run.fingerprint,
                upstream: run.upstream.clone(),
                isolated: run.isolated,
                age: Duration::ZERO,
            };
            self.own_reports.push((report.clone(), 1, now));
            self.record_report(now, report, out);
            self.send_reports(now, run.fingerprint, out);
        }
        self.tell_processes(now, upstream, out);
        for run in affected.into_iter().filter(|run| run.isolated) {
            self.release_permit(now, run.upstream, run.request, out);
        }
    }

    /// Records a report and refuses the waiting requests that it convicts.
    fn record_report(&mut self, now: Time, report: CrashReport, out: &mut Vec<Action>) {
        let fingerprint = report.fingerprint;
        let before = self.status(fingerprint);
        if !self.reports.insert(now, report.clone()) {
            return;
        }
        let crashes = self.reports.crash_count(fingerprint);
        out.push(Action::CrashReported { report, crashes });
        let status = self.status(fingerprint);
        if status == before {
            return;
        }
        out.push(Action::StatusChanged {
            fingerprint,
            status,
        });
        if status == FingerprintStatus::Convicted {
            self.refuse_waiters(fingerprint, out);
        }
    }

    fn refuse_waiters(&mut self, fingerprint: Fingerprint, out: &mut Vec<Action>) {
        let crashes = self.reports.crash_count(fingerprint);
        let convicted = self.waiters.iter().filter(|w| w.fingerprint == fingerprint);
        out.extend(convicted.map(|w| Action::Refuse {
            request: w.request,
            crashes,
        }));
        self.waiters.retain(|w| w.fingerprint != fingerprint);
    }

    /// Ends the wait of requests whose fingerprint was cleared meanwhile or whose wait timed out.
    fn review_waiters(&mut self, now: Time, out: &mut Vec<Action>) {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            let request = waiter.request;
            if self.status(waiter.fingerprint) == FingerprintStatus::Clear {
                out.push(Action::Reroute { request });
            } else if now >= waiter.arrived_at + self.config.permit_timeout {
                let retry_after = self.config.permit_timeout / 4;
                out.push(Action::Busy {
                    request,
                    retry_after,
                });
            } else {
                self.waiters.push(waiter);
            }
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.reports.expire(now);
        let undecided = |run: &Run| {
            run.connection_lost_at
                .is_none_or(|at| now < at + CRASH_CHECK_TIMEOUT)
        };
        self.runs.retain(undecided);
        self.reservations.retain(|(_, until)| now < *until);
        self.review_waiters(now, out);
        self.resend_own_reports(now, out);
        self.inquire(now, out);
        self.request_permits(now, out);
        for index in 0..self.permits.len() {
            self.tick_permit(now, index, out);
        }
        self.permits
            .retain(|permit| permit.holder.is_some() || !permit.queue.is_empty());
    }
}

impl Machine for PoisonDetector {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        let mut actions = Vec::new();
        match event {
            Event::View(view) => self.set_view(now, view, &mut actions),
            Event::Dispatch {
                request,
                fingerprint,
                upstream,
            } => {
                let waiter = Waiter {
                    request,
                    fingerprint,
                    upstream,
                    arrived_at: now,
                    requested_at: None,
                };
                self.dispatch(now, waiter, &mut actions);
            }
            Event::Finished { request } => self.request_ended(now, request, true, &mut actions),
            Event::Dropped { request } => self.request_ended(now, request, false, &mut actions),
            Event::ConnectionLost { request } => self.connection_lost(now, request),
            Event::StillRunning { upstream } => {
                self.upstream_still_running(now, &upstream, &mut actions);
            }
            Event::Crashed { upstream } => self.upstream_crashed(now, &upstream, &mut actions),
            Event::Doubted {
                upstream,
                process,
                since,
            } => self.doubt(now, Doubt::new(upstream, process, since), &mut actions),
            Event::Inspected {
                upstream,
                process,
                asked,
            } => self.inspected(now, &upstream, (process, asked), &mut actions),
            Event::Receive { from, message } => self.receive(now, &from, message, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
        }
        out.extend(actions);
    }

    fn wake(&self) -> Option<Time> {
        let interval = self.config.resend_interval;
        let waiters = self.waiters.iter().filter_map(|w| w.requested_at).min();
        let own_reports = self.own_reports.iter().map(|(_, _, at)| *at).min();
        let held = self.permits.iter().filter(|p| p.holder.is_some());
        let announcement = held.map(|p| p.next_announcement).min();
        let any_isolated = self.runs.iter().any(|run| run.isolated);
        let permits = announcement
            .into_iter()
            .chain(any_isolated.then_some(self.next_renewal))
            .min();
        let resend = waiters.into_iter().chain(own_reports).min();
        let timers = [
            resend.map(|at| at + interval),
            permits,
            self.reports.next_expiry(),
            self.inquiries.wake(),
        ];
        timers.into_iter().flatten().min()
    }
}
