//! Orders to engines, as they arrive there: those that are refused count as well.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::Site;
use super::super::process::SETTLING;
use super::super::upstream::{LEASE, Order};
use super::{Evidence, id_prefix};

/// One in so many orders may be refused since another holder has ordered, where holders do not know each other, beside one
/// of each other holder: all may begin at the same moment.
const REFUSALS: usize = 10;

/// Time after the end of a silence or cut of the link in which held orders may arrive.
const HEAL_SLACK: Duration = Duration::from_millis(300);

/// Returns what orders have broken.
pub fn check(evidence: &Evidence, site: &Site) -> Vec<String> {
    let mut engines: BTreeMap<&str, Vec<&Order>> = BTreeMap::new();
    for order in &evidence.orders {
        engines.entry(&order.upstream).or_default().push(order);
    }
    let mut breaches = Vec::new();
    // Nodes that do not know each other can begin to order at the same moment. Then all but one are refused.
    let knows_nobody = site.knows_nobody;
    let others = site.nodes.len() - 1;
    for (engine, mut orders) in engines {
        orders.sort_by_key(|order| order.at);
        breaches.extend(check_fences(engine, &orders));
        orders.retain(|order| is_in_touch(order, evidence, site) && !was_held(order, evidence));
        if knows_nobody {
            breaches.extend(check_refusals(engine, &orders, others));
            orders.retain(|order| order.status < 300);
        }
        breaches.extend(check_turns(engine, &orders));
    }
    breaches
}

/// Checks that no two holders use one fencing number.
fn check_fences(engine: &str, orders: &[&Order]) -> Vec<String> {
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    let shared = orders.iter().filter(|order| {
        let first = holders.entry(order.fence).or_insert(&order.holder);
        *first != order.holder
    });
    let shared = shared.map(|order| format!("ONE: {engine} has two holders of {}", order.fence));
    shared.collect()
}

/// Checks that a holder that was refused, since another one has ordered, stays away for a lease, and that this is rare.
fn check_refusals(engine: &str, orders: &[&Order], others: usize) -> Vec<String> {
    let mut breaches = Vec::new();
    let mut refusals = 0;
    for (index, refused) in orders.iter().enumerate() {
        if !matches!(refused.status, 409 | 412) {
            continue;
        }
        refusals += 1;
        let mut later = orders[index + 1..].iter();
        let back = later.find(|order| order.holder == refused.holder);
        if let Some(back) = back.filter(|back| back.at < refused.at + LEASE) {
            let after = (back.at - refused.at).as_millis();
            let holder = &refused.holder;
            breaches.push(format!(
                "ONE: {holder} is back at {engine} {after} ms after a refusal"
            ));
        }
    }
    if refusals > others + orders.len() / REFUSALS {
        let all = orders.len();
        breaches.push(format!(
            "ONE: {refusals} of {all} orders refused at {engine}"
        ));
    }
    breaches
}

/// Checks that no holder orders again within the lease of its own order once another has ordered.
fn check_turns(engine: &str, orders: &[&Order]) -> Option<String> {
    let takes_turns = |index: &usize| {
        let last = orders[*index];
        let lately = orders[..*index].iter();
        let lately = lately.filter(|order| last.at <= order.at + LEASE);
        let mut after_own = lately.skip_while(|order| order.holder != last.holder);
        after_own.any(|order| order.holder != last.holder)
    };
    let turns: Vec<usize> = (0..orders.len()).filter(takes_turns).collect();
    let first = *turns.first()?;
    let began = orders[first].at - LEASE;
    let around = orders[..=first].iter().filter(|order| order.at >= began);
    let around = around.map(|order| {
        let (at, holder, fence) = (order.at - began, &order.holder, order.fence);
        format!("{} ms {holder} {fence} {}", at.as_millis(), order.status)
    });
    let around: Vec<String> = around.collect();
    let count = turns.len();
    Some(format!(
        "ONE: {count} orders in turn within the lease at {engine}, the first: {around:?}"
    ))
}

fn is_in_touch(order: &Order, evidence: &Evidence, site: &Site) -> bool {
    let name = |number: usize| format!("vm-{number}");
    let sender = site.nodes.iter();
    let mut sender = sender.filter(|node| name(node.number) == order.holder);
    let calm = sender
        .next()
        .is_some_and(|node| node.troubles(order.at, order.at).is_empty());
    calm && order.at > evidence.started + SETTLING
}

/// Tells whether the sender's link to the engine, or its links to other nodes, have just healed.
fn was_held(order: &Order, evidence: &Evidence) -> bool {
    evidence.events.iter().any(|event| {
        let node = order.holder.trim_start_matches("vm-").parse();
        let Ok(node) = node else {
            return false;
        };
        let healed = match event.fault.disturbed(node) {
            Some((mut upstreams, time)) => {
                let fits = |id: usize| order.upstream.starts_with(&id_prefix(id));
                upstreams.any(fits).then_some(event.at + time)
            }
            None => event.fault.apart(node).map(|time| event.at + time),
        };
        healed.is_some_and(|healed| (healed..healed + HEAL_SLACK).contains(&order.at))
    })
}
