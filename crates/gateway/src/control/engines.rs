//! Orders to engines, and their reports.

use std::sync::Arc;
use std::time::Duration;

use dispatch::culprit;
use exchange::owner::{self, Answer, Order};
use log::info;
use node::journal::DECISION;
use upstream::Reach;
use upstream::link::Link;
use wire::{Fence, Upstream};

use crate::call::{Limit, send, send_anew};
use crate::dialect::Dialect;
use crate::hub::Hub;

/// Limit for the answer to an order or a question; several round trips.
const ANSWER: Limit = Limit {
    head: Duration::from_millis(700),
    body: Duration::from_millis(700),
};

/// Gives an order and tells the owner how it was answered.
pub async fn order<D: Dialect>(
    hub: Arc<Hub<D>>,
    runner: Upstream,
    fence: Fence,
    order: Order,
    expected: Option<u64>,
) {
    let started = hub.clock.now();
    let answer = give(&hub, &runner, fence, &order, expected).await;
    let millis = (hub.clock.now() - started).as_millis() as u64;
    info!(
        target: DECISION,
        upstream:% = runner, order:% = order, fence, expected:?, answer:?, took_ms = millis;
        "order"
    );
    hub.metrics
        .orders
        .with_label_values(&[&format!("{answer:?}").to_lowercase()])
        .inc();
    hub.drive(owner::Event::Answered {
        engine: runner,
        fence,
        order,
        answer,
    });
}

async fn give<D: Dialect>(
    hub: &Arc<Hub<D>>,
    runner: &Upstream,
    fence: Fence,
    order: &Order,
    expected: Option<u64>,
) -> Answer {
    let Some(link) = control_link(hub, runner) else {
        return Answer::Misdirected;
    };
    // An order that goes through a peer would come from another node than its fencing number says.
    let link = link.direct();
    let call = hub
        .dialect
        .order(runner, &hub.me.vm, fence, order, expected);
    // To open a connection takes time, in which the claim may have ended.
    let permitted = || {
        let now = hub.clock.now();
        hub.desk().owner.permits(now, runner, fence)
    };
    match send(&link, call, ANSWER, permitted).await {
        Ok(answer) => {
            hub.take_word(runner, hub.dialect.word(answer.status(), answer.headers()));
            hub.dialect.ordered(answer.status())
        }
        Err(error) if error.reach() == Reach::NotSent => Answer::Unreached,
        Err(_) => Answer::Unknown,
    }
}

/// Asks an engine for its report after a pause, takes it over and tells the owner.
pub async fn inspect<D: Dialect>(hub: Arc<Hub<D>>, runner: Upstream, after: Duration) {
    tokio::time::sleep(after).await;
    let report = read_report(&hub, &runner).await;
    let sound = report.is_some();
    let orders = report.flatten();
    info!(target: DECISION, upstream:% = runner, sound, orders:?; "inspect");
    hub.drive(owner::Event::ReportFetched {
        engine: runner,
        succeeded: sound,
        orders,
    });
}

/// Takes an engine's report over. Returns its count of orders, and `None` without a report.
async fn read_report<D: Dialect>(hub: &Arc<Hub<D>>, runner: &Upstream) -> Option<Option<u64>> {
    let link = control_link(hub, runner)?;
    let call = hub.dialect.inspection(runner);
    let answer = send(&link, call, ANSWER, || true).await.ok()?;
    hub.take_word(runner, hub.dialect.word(answer.status(), answer.headers()));
    if !answer.status().is_success() {
        return None;
    }
    match hub.dialect.report(answer.body()) {
        Ok(report) => {
            let now = hub.clock.now();
            let due = now + hub.exchange.load;
            let coming = report.coming.into_iter();
            let coming = coming.map(|(target, version)| (target, version, due));
            let mut desk = hub.desk();
            desk.fleet
                .apply_report(now, runner, report.holdings, coming.collect());
            desk.fleet.record_load(now, runner, report.load);
            Some(report.orders)
        }
        Err(error) => {
            log::warn!("{runner}: {error}");
            None
        }
    }
}

/// Asks an upstream that was reported as crashed which process it is. A new connection brings no late
/// answer to an earlier question.
pub async fn identify<D: Dialect>(hub: Arc<Hub<D>>, runner: Upstream) {
    let Some(link) = control_link(&hub, &runner) else {
        return;
    };
    let asked = hub.clock.now();
    let call = hub.dialect.inspection(&runner);
    let Ok(answer) = send_anew(&link, call, ANSWER).await else {
        return;
    };
    hub.take_word(&runner, hub.dialect.word(answer.status(), answer.headers()));
    let process = hub.dialect.born(answer.body());
    if let Some(process) = process.filter(|_| answer.status().is_success()) {
        hub.track(culprit::Event::Inspected {
            upstream: runner,
            process,
            asked,
        });
    }
}

fn control_link<D: Dialect>(hub: &Arc<Hub<D>>, runner: &Upstream) -> Option<Link> {
    let (address, pool) = {
        let desk = hub.desk();
        let listing = &desk.fleet.upstream(runner)?.listing;
        (listing.address, listing.pool.clone())
    };
    let config = hub.config.load();
    let service = config.as_ref()?.service(&pool)?;
    Some(hub.link(runner, address, service.connections))
}
