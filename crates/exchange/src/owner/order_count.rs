//! How many orders an engine has accepted, which shows whether other nodes give it orders.

use std::time::Duration;

use wire::Time;

use super::{Action, Answer, Order, OwnedEngine};

/// Time after an order of this node within which no other one claims the engine: less than the time for which they
/// wait for it to be quiet.
const ORDER_LIFETIME: Duration = Duration::from_millis(2_000);

/// Time after a report within which an order has to follow it.
const REPORT_LIFETIME: Duration = Duration::from_millis(20);

/// Interval between two reports that no order has followed.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// What has to come before an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Precondition {
    /// Nothing.
    None,
    /// The engine's report.
    Report,
    /// Another report is not due yet.
    Wait,
}

/// Count of the orders that an engine has accepted since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OrderCount {
    orders: u64,
    /// Orders of this node that the engine may have counted as well.
    unsure: u64,
    /// When the engine last accepted an order of this node.
    ordered_at: Time,
    /// When it last reported.
    reported_at: Time,
}

impl OrderCount {
    const fn new(now: Time, orders: u64) -> Self {
        Self {
            orders,
            unsure: 0,
            ordered_at: Time::ZERO,
            reported_at: now,
        }
    }

    /// Returns whether `reported` counts orders of other nodes.
    const fn is_exceeded_by(&self, reported: u64) -> bool {
        self.orders + self.unsure < reported
    }

    /// Takes in the answer to an order. A load that holds already does not count, nor does a question about one.
    fn record_answer(&mut self, now: Time, order: &Order, answer: Answer) {
        match (order, answer) {
            (Order::Load(..) | Order::Unload(_), Answer::Accepted)
            | (Order::Unload(_), Answer::Done) => {
                self.orders += 1;
                self.ordered_at = now;
            }
            (_, Answer::Unknown) => self.unsure += 1,
            _ => {}
        }
    }
}

impl OwnedEngine {
    /// Has orders follow `orders` others, and the engine's report come before the first one. It need not be one that
    /// only raises the token: the engine takes it only if nobody has ordered since.
    pub(super) fn follow_count(&mut self, now: Time, orders: u64, out: &mut Vec<Action>) {
        self.fence_seen = true;
        self.is_guarded = true;
        self.count = Some(OrderCount::new(now, orders));
        self.request_report_after(Duration::ZERO, out);
    }

    /// Returns the number of orders that the engine has to have accepted before the next one.
    pub(super) fn expected_count(&self) -> Option<u64> {
        self.count.map(|count| count.orders)
    }

    /// Returns what has to come before the next order. An engine that states no count need not report.
    pub(super) fn precondition(&self, now: Time) -> Precondition {
        let Some(count) = self.count else {
            return Precondition::None;
        };
        if now < count.ordered_at + ORDER_LIFETIME || now < count.reported_at + REPORT_LIFETIME {
            Precondition::None
        } else if now < count.reported_at + REPORT_INTERVAL {
            Precondition::Wait
        } else {
            Precondition::Report
        }
    }

    /// Returns whether an engine that reports so many orders was given some by other nodes.
    pub(super) fn is_overtaken(&self, reported: Option<u64>) -> bool {
        let counts = self.count.zip(reported);
        counts.is_some_and(|(count, reported)| count.is_exceeded_by(reported))
    }

    /// Takes in the count of a report that covers the last order.
    pub(super) fn record_report(&mut self, now: Time, reported: Option<u64>) {
        let Some(reported) = reported else {
            return;
        };
        let ordered_at = self.count.map(|count| count.ordered_at);
        self.count = Some(OrderCount {
            ordered_at: ordered_at.unwrap_or_default(),
            ..OrderCount::new(now, reported)
        });
    }

    /// Takes in the answer to an order.
    pub(super) fn record_answer(&mut self, now: Time, order: &Order, answer: Answer) {
        if let Some(count) = &mut self.count {
            count.record_answer(now, order, answer);
        }
    }
}
