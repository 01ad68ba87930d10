//! Which nodes receive crash reports.

use wire::{Incarnation, Time, View, Vm, rank};

use super::{Action, CrashReport, Fingerprint, Message, PoisonDetector, REPORT_REPLICAS};

/// How often a node sends each of its own reports.
const OWN_REPORT_SENDS: u8 = 3;

impl PoisonDetector {
    /// Returns the nodes that keep the reports of a fingerprint.
    pub(super) fn replicas(view: &View, fingerprint: Fingerprint) -> Vec<&Vm> {
        let live = view.live().map(|peer| &peer.incarnation.vm);
        rank::top(rank::hash(fingerprint.to_le_bytes()), live, REPORT_REPLICAS)
    }

    /// Returns the other nodes, which all receive crash reports.
    pub(super) fn recipients(&self) -> Vec<Vm> {
        let peers = self.view.peers().iter();
        let others = peers.map(|peer| &peer.incarnation.vm);
        others.filter(|vm| **vm != self.me.vm).cloned().collect()
    }

    /// Sends the open reports of a fingerprint to their recipients.
    pub(super) fn send_reports(&self, now: Time, fingerprint: Fingerprint, out: &mut Vec<Action>) {
        for to in self.recipients() {
            let reports = self.reports.open_reports_of(now, fingerprint);
            out.extend(reports.map(|report| Action::Send {
                to: to.clone(),
                message: Message::CrashReport(report),
            }));
        }
    }

    /// Sends this node's own reports again, since messages may be lost.
    pub(super) fn resend_own_reports(&mut self, now: Time, out: &mut Vec<Action>) {
        let interval = self.config.resend_interval;
        let mut due = Vec::new();
        for (report, sends, at) in &mut self.own_reports {
            if now >= *at + interval {
                *sends += 1;
                report.age += now - *at;
                *at = now;
                due.push(report.clone());
            }
        }
        self.own_reports
            .retain(|(_, sends, _)| *sends < OWN_REPORT_SENDS);
        for report in due {
            for to in self.recipients() {
                self.send_report(to, report.clone(), out);
            }
        }
    }

    /// Updates the view, and sends each new node those reports that it must know and that this node
    /// has seen itself or keeps as a replica.
    pub(super) fn set_view(&mut self, now: Time, view: View, out: &mut Vec<Action>) {
        let peers = view.peers().iter().map(|p| &p.incarnation);
        let new = peers.filter(|i| **i != self.me && !self.view.knows(i));
        let new: Vec<Incarnation> = new.cloned().collect();
        let former = std::mem::replace(&mut self.view, view);
        self.take_over_inquiries(now, &former);
        for incarnation in new {
            let reports = self.reports.open_reports(now);
            let due = reports.filter(|report| self.is_responsible(report));
            due.for_each(|report| self.send_report(incarnation.vm.clone(), report, out));
        }
    }

    /// Sends a report, and the process that was reported where it is known.
    fn send_report(&self, to: Vm, report: CrashReport, out: &mut Vec<Action>) {
        let process = self.reports.process(&report.id);
        let process = process.map(|process| Message::CrashedProcess(report.id.clone(), process));
        let messages = [Message::CrashReport(report)].into_iter().chain(process);
        out.extend(messages.map(|message| Action::Send {
            to: to.clone(),
            message,
        }));
    }

    /// Returns whether this node sends a report to new nodes.
    fn is_responsible(&self, report: &CrashReport) -> bool {
        let replicas = Self::replicas(&self.view, report.fingerprint);
        report.id.reporter == self.me || replicas.contains(&&self.me.vm)
    }
}
