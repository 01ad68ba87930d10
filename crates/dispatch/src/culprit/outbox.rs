//! What a node tells others: its own reports of crashes to the analysts, and decisions to all.

use std::time::Duration;

use wire::{Time, Vm, rank};

use super::{Action, CrashReport, CulpritDetector, Message, Start};

/// Number of analysts. One is left if two are lost at once.
const ANALYSTS: usize = 3;

/// Number of nodes that ask about the processes that convictions rest on: the analysts, and those that are next
/// in line, since it takes seconds until the others know that an analyst is gone.
const INQUIRERS: usize = 2 * ANALYSTS;

/// Name whose rendezvous order selects the analysts.
const ANALYST_KEY: &str = "crash-analysts";

/// How often a node sends each of its own reports at [`super::Config::resend_interval`].
const QUICK_SENDS: u8 = 3;

/// Time from there to the last time that it sends it: analysts that were all new at first take it then.
const LAST_PAUSE: Duration = Duration::from_millis(2_000);

/// A report of this node that is still sent again.
#[derive(Clone, Debug)]
pub(super) struct OwnReport {
    pub(super) report: CrashReport,
    /// The process that its requests were sent to, if they agree.
    pub(super) process: Option<Start>,
    pub(super) sends: u8,
    pub(super) sent_at: Time,
}

impl OwnReport {
    /// Returns when it is sent next.
    pub(super) fn due(&self, interval: Duration) -> Time {
        let pause = if self.sends < QUICK_SENDS {
            interval
        } else {
            LAST_PAUSE
        };
        self.sent_at + pause
    }
}

impl CulpritDetector {
    pub(super) fn send_report(&mut self, now: Time, own: &OwnReport, out: &mut Vec<Action>) {
        self.tell_analysts(now, &Message::Crash(own.report.clone()), out);
        if let Some(process) = own.process {
            let message = Message::CrashedProcess(own.report.id.clone(), process);
            self.tell_analysts(now, &message, out);
        }
    }

    /// Sends this node's own reports again, since messages may be lost.
    pub(super) fn resend_reports(&mut self, now: Time, out: &mut Vec<Action>) {
        let interval = self.config.resend_interval;
        let mut due = Vec::new();
        for own in &mut self.own_reports {
            if now >= own.due(interval) {
                own.sends += 1;
                own.report.age += now - own.sent_at;
                own.sent_at = now;
                due.push(own.clone());
            }
        }
        self.own_reports.retain(|own| own.sends <= QUICK_SENDS);
        for own in &due {
            self.send_report(now, own, out);
        }
    }

    /// Returns the analysts, in the order in which they take the lead.
    pub(super) fn analysts(&self) -> Vec<&Vm> {
        self.first_in_line(ANALYSTS)
    }

    /// Returns whether this node asks about the processes that convictions rest on.
    pub(super) fn is_inquirer(&self) -> bool {
        self.first_in_line(INQUIRERS).contains(&&self.me.vm)
    }

    /// Returns the first `count` nodes of the order in which they become analysts.
    fn first_in_line(&self, count: usize) -> Vec<&Vm> {
        let live = self.view.live().map(|peer| &peer.incarnation.vm);
        let first = rank::top(rank::hash(ANALYST_KEY), live, count);
        if first.is_empty() {
            vec![&self.me.vm]
        } else {
            first
        }
    }

    /// Sends a message to all analysts. This node's own part is handled immediately.
    pub(super) fn tell_analysts(&mut self, now: Time, message: &Message, out: &mut Vec<Action>) {
        let analysts: Vec<Vm> = self.analysts().into_iter().cloned().collect();
        for to in analysts {
            if to == self.me.vm {
                let from = self.me.clone();
                self.receive(now, &from, message.clone(), out);
            } else {
                let message = message.clone();
                out.push(Action::Send { to, message });
            }
        }
    }

    pub(super) fn broadcast(&self, message: &Message, out: &mut Vec<Action>) {
        let peers = self.view.peers().iter().map(|p| &p.incarnation.vm);
        out.extend(
            peers
                .filter(|vm| **vm != self.me.vm)
                .map(|to| Action::Send {
                    to: to.clone(),
                    message: message.clone(),
                }),
        );
    }
}
