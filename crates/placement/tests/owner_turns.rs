//! Orders of nodes whose views differ.

mod support;

use std::time::Duration;

use placement::event::{Failure, Request};
use placement::message::Message;
use placement::{Action, Event, Planner};
use support::{planner, request, view};
use wire::{Incarnation, Machine, Model, Priority, Time};

/// Time within which two nodes must not take turns.
const LEASE: Duration = Duration::from_secs(3);

const TICK: Duration = Duration::from_millis(100);

/// Loads per second that the store allows.
const RATE: f64 = 8.0;

/// Returns three nodes, of which the last owns the engine in no view that lists another one.
fn vms() -> [&'static str; 3] {
    let mut vms = ["a", "b", "c"];
    let all = view(&vms);
    let first = all.owner("e").expect("the view is not empty").clone();
    vms.sort_unstable_by_key(|vm| **vm != *first);
    if view(&vms[1..]).owner("e").is_some_and(|vm| **vm == *vms[2]) {
        vms.swap(1, 2);
    }
    vms
}

/// Guards against two owners by turns (ONE): two nodes that do not list each other claim the engine
/// in turn, each above the number that a third node tells it.
#[test]
fn third_node_sets_off_no_claims_by_turns() {
    let vms = vms();
    let seen = [vec![vms[0], vms[2]], vec![vms[1], vms[2]], vms.to_vec()];
    let mut nodes: Vec<Planner> = vms
        .iter()
        .zip(&seen)
        .map(|(vm, seen)| planner(vm, seen, RATE))
        .collect();
    let mut under_way: Vec<(usize, usize, Message)> = Vec::new();
    let mut orders: Vec<(Time, usize)> = Vec::new();
    let mut answers: Vec<(usize, Event)> = Vec::new();
    let mut now = Time::ZERO;
    for step in 0..100_u64 {
        now += TICK;
        let mut events: Vec<(usize, Event)> = std::mem::take(&mut answers);
        for (from, to, message) in std::mem::take(&mut under_way) {
            let from = Incarnation::new(vms[from], 1);
            events.push((to, Event::Receive { from, message }));
        }
        for node in 0..3 {
            events.push((node, Event::Tick));
            if step % 5 == 0
                && let Event::Request(asked) = request(step * 3 + node as u64, Priority::Normal)
            {
                events.push((
                    node,
                    Event::Request(Request {
                        model: Model::new(format!("m{step}"), "1"),
                        ..asked
                    }),
                ));
            }
        }
        for (node, event) in events {
            let mut out = Vec::new();
            nodes[node].step(now, event, &mut out);
            for action in out {
                match action {
                    Action::Send { to, message } => {
                        let to = vms.iter().position(|vm| **vm == *to);
                        let linked = |to: &usize| node == 2 || *to == 2;
                        under_way.extend(to.filter(linked).map(|to| (node, to, message)));
                    }
                    Action::Load {
                        upstream,
                        instance,
                        fence,
                        ..
                    } => {
                        if nodes[node].permit(now, &upstream, fence) {
                            orders.push((now, node));
                            let loaded = Event::Loaded {
                                upstream,
                                instance,
                                fence,
                            };
                            answers.push((node, loaded));
                        } else {
                            let failed = Event::LoadFailed {
                                upstream,
                                instance,
                                fence,
                                failure: Failure::NotSent,
                            };
                            answers.push((node, failed));
                        }
                    }
                    Action::Unload {
                        upstream,
                        instance,
                        fence,
                        ..
                    } => {
                        if nodes[node].permit(now, &upstream, fence) {
                            orders.push((now, node));
                            let unloaded = Event::Unloaded {
                                upstream,
                                instance,
                                fence,
                            };
                            answers.push((node, unloaded));
                        } else {
                            let failed = Event::UnloadFailed {
                                upstream,
                                instance,
                                fence,
                                failure: Failure::NotSent,
                            };
                            answers.push((node, failed));
                        }
                    }
                    _ => {}
                }
            }
        }
    }
    let is_turn = |index: &usize| {
        let (at, node) = orders[*index];
        let recent = orders[..*index]
            .iter()
            .rev()
            .take_while(|(then, _)| at < *then + LEASE);
        let senders: Vec<usize> = recent.map(|(_, sender)| *sender).collect();
        let other = senders.iter().position(|sender| *sender != node);
        other.is_some_and(|other| senders[other..].contains(&node))
    };
    let turns = (0..orders.len()).filter(is_turn).count();
    assert!(!orders.is_empty());
    assert_eq!(turns, 0, "of {} orders", orders.len());
}

/// Returns how long a node that starts anew waits until it claims its engine above the number of the one
/// that owned it meanwhile, and that has given an order just now or none.
fn wait_for_reclaim(ordered: bool) -> Duration {
    let both = view(&["a", "b"]);
    let owner = both.owner("e").expect("the view is not empty").clone();
    let other = if *owner == *"a" { "b" } else { "a" };
    let mut between = planner(other, &[other], RATE);
    let mut out = Vec::new();
    // The former process of the owner had claimed the engine.
    let claims = vec![("e".into(), 5)];
    let event = Event::Receive {
        from: Incarnation::new(owner.clone(), 0),
        message: Message::Claim { claims },
    };
    between.step(TICK, event, &mut out);
    let mut now = TICK + LEASE;
    between.step(now, Event::Tick, &mut out);
    if ordered {
        between.step(now, request(1, Priority::Normal), &mut out);
    }
    let order = |action: &Action| matches!(action, Action::Load { .. });
    while out.iter().any(order) != ordered {
        now += TICK;
        between.step(now, Event::Tick, &mut out);
        assert!(now < LEASE * 3, "nothing was ordered");
    }
    let begin = now;
    now += TICK;
    between.step(now, Event::View(both), &mut out);
    let mut anew = planner(&owner, &["a", "b"], RATE);
    let mut told: Vec<Message> = Vec::new();
    loop {
        let mut out = Vec::new();
        for message in told.drain(..) {
            let from = Incarnation::new(other, 1);
            anew.step(now, Event::Receive { from, message }, &mut out);
        }
        anew.step(now, Event::Tick, &mut out);
        let mut answers = Vec::new();
        for action in out {
            let Action::Send { message, .. } = action else {
                continue;
            };
            if matches!(&message, Message::Claim { claims } if claims[0].1 > 6) {
                return now - begin;
            }
            let from = Incarnation::new(owner.clone(), 1);
            between.step(now, Event::Receive { from, message }, &mut answers);
        }
        told.extend(answers.into_iter().filter_map(|action| match action {
            Action::Send { message, .. } => Some(message),
            _ => None,
        }));
        now += TICK;
        assert!(now < begin + LEASE * 3, "it was not claimed again");
    }
}

/// Guards against an engine that nobody may order at for seconds after a planned restart of its owner,
/// although who owned it meanwhile has given it up.
#[test]
fn engine_given_up_is_claimed_at_once() {
    let wait = wait_for_reclaim(false);
    assert!(wait < Duration::from_secs(1), "{wait:?}");
}

/// Guards against orders of two nodes by turns (ONE) where the one between has given the engine up.
#[test]
fn engine_given_up_is_not_ordered_at_by_turns() {
    let wait = wait_for_reclaim(true);
    assert!((LEASE..LEASE + LEASE / 2).contains(&wait), "{wait:?}");
}
