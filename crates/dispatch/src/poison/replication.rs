//! Which nodes receive crash reports.

use wire::{Incarnation, Time, View, Vm, rank};

use super::{Action, CrashReport, Fingerprint, Message, PoisonDetector, REPORT_REPLICAS};

/// How often a node sends each of its own reports.
const OWN_REPORT_SENDS: u8 = 3;

impl PoisonDetector {
    /// Returns the nodes that keep the reports of a fingerprint.
    fn replicas(view: &View, fingerprint: Fingerprint) -> Vec<&Vm> {
        let live = view.live().map(|peer| &peer.incarnation.vm);
        rank::top(rank::hash(fingerprint.to_le_bytes()), live, REPORT_REPLICAS)
    }

    /// Returns whether the reports of a fingerprint are sent to every node.
    fn is_broadcast(&self, fingerprint: Fingerprint) -> bool {
        self.reports.open_ids(fingerprint).len() >= self.config.broadcast_threshold
    }

    /// Returns the other nodes that receive the reports of a fingerprint.
    pub(super) fn recipients(&self, fingerprint: Fingerprint) -> Vec<Vm> {
        let recipients: Vec<&Vm> = if self.is_broadcast(fingerprint) {
            let peers = self.view.peers().iter();
            peers.map(|peer| &peer.incarnation.vm).collect()
        } else {
            Self::replicas(&self.view, fingerprint)
        };
        let others = recipients.into_iter().filter(|vm| **vm != self.me.vm);
        others.cloned().collect()
    }

    /// Sends the open reports of a fingerprint to their recipients.
    pub(super) fn send_reports(&self, now: Time, fingerprint: Fingerprint, out: &mut Vec<Action>) {
        for to in self.recipients(fingerprint) {
            let reports = self.reports.open_reports_of(now, fingerprint);
            out.extend(reports.map(|report| Action::Send {
                to: to.clone(),
                message: Message::CrashReport(report),
            }));
        }
    }

    /// Records a report from another node. A replica forwards reports that every node must know.
    pub(super) fn receive_report(&mut self, now: Time, report: CrashReport, out: &mut Vec<Action>) {
        let fingerprint = report.fingerprint;
        let is_new = self.record_report(now, report, out);
        let is_replica = Self::replicas(&self.view, fingerprint).contains(&&self.me.vm);
        // If the first report already goes to all nodes, the node that saw the crash sends it.
        let forwards = self.config.broadcast_threshold > 1 && self.is_broadcast(fingerprint);
        if is_new && is_replica && forwards {
            self.send_reports(now, fingerprint, out);
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
            for to in self.recipients(report.fingerprint) {
                let message = Message::CrashReport(report.clone());
                out.push(Action::Send { to, message });
            }
        }
    }

    /// Updates the view, and sends each new node those reports that it must know and that this node
    /// has seen itself or keeps as a replica.
    pub(super) fn set_view(&mut self, now: Time, view: View, out: &mut Vec<Action>) {
        let peers = view.peers().iter().map(|p| &p.incarnation);
        let new = peers.filter(|i| **i != self.me && !self.view.knows(i));
        let new: Vec<Incarnation> = new.cloned().collect();
        self.view = view;
        for incarnation in new {
            let reports = self.reports.open_reports(now);
            let due = reports.filter(|report| self.must_send(&incarnation.vm, report));
            out.extend(due.map(|report| Action::Send {
                to: incarnation.vm.clone(),
                message: Message::CrashReport(report),
            }));
        }
    }

    /// Returns whether this node must send a report to the new node `vm`.
    fn must_send(&self, vm: &Vm, report: &CrashReport) -> bool {
        let replicas = Self::replicas(&self.view, report.fingerprint);
        let responsible = report.id.reporter == self.me || replicas.contains(&&self.me.vm);
        responsible && (self.is_broadcast(report.fingerprint) || replicas.contains(&vm))
    }
}
