//! Crash reports that are taken back, since the process that was reported runs on.

use wire::{Time, Upstream, View};

use super::{Action, CrashReport, Message, PoisonDetector, ReportId};
use crate::inquiry::{INQUIRY_TIME, Start};

/// A crash that this node reports and nobody has told of.
#[derive(Clone, Debug)]
pub(super) struct Doubt {
    upstream: Upstream,
    /// The process that this node knew.
    process: Start,
    /// When it was thought to have crashed. Requests that met it are reported from then on.
    since: Time,
}

impl Doubt {
    pub const fn new(upstream: Upstream, process: Start, since: Time) -> Self {
        Self {
            upstream,
            process,
            since,
        }
    }
}

impl PoisonDetector {
    /// Tells the process of this node's reports of a crash that may be none, and has it asked whether it runs.
    pub(super) fn doubt(&mut self, now: Time, doubt: Doubt, out: &mut Vec<Action>) {
        let upstream = doubt.upstream.clone();
        self.doubts.retain(|known| known.upstream != upstream);
        self.doubts.push(doubt);
        self.tell_processes(now, &upstream, out);
    }

    /// Tells the process of this node's reports of `upstream`, where their crash is in doubt. A report that is of
    /// a later process is cleared by no answer: the doubted one can give none any more.
    pub(super) fn tell_processes(&mut self, now: Time, upstream: &Upstream, out: &mut Vec<Action>) {
        let doubt = self.doubts.iter().find(|known| known.upstream == *upstream);
        let Some(Doubt { process, since, .. }) = doubt.cloned() else {
            return;
        };
        let reports = self.reports.open_since(&self.me, upstream, since);
        let unknown = |id: &ReportId| self.reports.process(id).is_none();
        let new: Vec<ReportId> = reports.into_iter().filter(unknown).collect();
        for id in new {
            self.take_process(now, &id, process);
            self.broadcast(&Message::CrashedProcess(id, process), out);
        }
    }

    /// Records which process was reported, and has it asked if that is up to this node.
    pub(super) fn take_process(&mut self, now: Time, id: &ReportId, process: Start) {
        let Some(report) = self.reports.identify(id, process).cloned() else {
            return;
        };
        if self.inquires(&self.view, &report) {
            self.inquiries.open(now, &report.upstream);
        }
    }

    /// Returns whether it is up to this node to ask about a report: the reporter does while it lives, and the
    /// nodes that keep the report once it is gone.
    fn inquires(&self, view: &View, report: &CrashReport) -> bool {
        let reporter = &report.id.reporter;
        let lives = view.live().any(|peer| peer.incarnation == *reporter);
        *reporter == self.me
            || !lives && Self::replicas(view, report.fingerprint).contains(&&self.me.vm)
    }

    /// Asks about the reports that have become this node's concern since the view was the `former` one.
    pub(super) fn take_over_inquiries(&mut self, now: Time, former: &View) {
        let reports = self.reports.identified();
        let new = reports
            .filter(|report| self.inquires(&self.view, report) && !self.inquires(former, report));
        let upstreams: Vec<Upstream> = new.map(|report| report.upstream.clone()).collect();
        for upstream in upstreams {
            self.inquiries.open(now, &upstream);
        }
    }

    /// Asks the upstreams that are due.
    pub(super) fn inquire(&mut self, now: Time, out: &mut Vec<Action>) {
        self.doubts.retain(|doubt| now < doubt.since + INQUIRY_TIME);
        let due = self.inquiries.take_due(now).into_iter();
        out.extend(due.map(|upstream| Action::Inspect { upstream }));
    }

    /// Takes in that `process` of an upstream answered what was asked at `asked`, and clears the reports of its
    /// crashes before.
    pub(super) fn inspected(
        &mut self,
        now: Time,
        upstream: &Upstream,
        (process, asked): (Start, Time),
        out: &mut Vec<Action>,
    ) {
        self.inquiries.answered(upstream, asked);
        // Whatever process it is: the doubted one has answered, or another one has taken its place.
        self.doubts
            .retain(|doubt| doubt.upstream != *upstream || asked <= doubt.since);
        let refuted = self.reports.open_of(upstream, process, asked);
        if refuted.is_empty() {
            return;
        }
        out.push(Action::Refuted {
            upstream: upstream.clone(),
            reports: refuted.len(),
        });
        self.clear(now, refuted, out);
    }
}
