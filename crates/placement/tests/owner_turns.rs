//! Orders of nodes whose views differ.

mod support;

use std::time::Duration;

use placement::action::Note;
use placement::event::{Failure, Request};
use placement::message::Message;
use placement::{Action, Event, Planner};
use rstest::rstest;
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

/// What the owner of an engine hears of the claim that another node made during a cut.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Heard {
    Claim,
    Nothing,
}

/// Returns the messages among `out`.
fn messages(out: Vec<Action>) -> impl Iterator<Item = Message> {
    out.into_iter().filter_map(|action| match action {
        Action::Send { message, .. } => Some(message),
        _ => None,
    })
}

/// Returns how long the owner of an engine waits until it claims it again after a cut, in which the
/// other node has claimed it and has given an order this long before the end or none.
fn wait_after_cut(heard: Heard, ordered: Option<Duration>) -> Duration {
    let both = view(&["a", "b"]);
    let owner = both.owner("e").expect("the view is not empty").clone();
    let other = if *owner == *"a" { "b" } else { "a" };
    let from_owner = Incarnation::new(owner.clone(), 1);
    let from_other = Incarnation::new(other, 1);
    let mut former = planner(&owner, &["a", "b"], RATE);
    let mut between = planner(other, &["a", "b"], RATE);
    let claims = vec![("e".into(), 1)];
    let event = Event::Receive {
        from: from_owner.clone(),
        message: Message::Claim { claims },
    };
    between.step(TICK, event, &mut Vec::new());
    let mut now = TICK * 2;
    let mut out = Vec::new();
    between.step(now, Event::View(view(&[other])), &mut out);
    let own = |action: &Action| matches!(action, Action::Note(Note::Claimed { fence: 2, .. }));
    assert!(out.iter().any(own), "the engine was not claimed: {out:?}");
    if ordered.is_some() {
        between.step(now, request(1, Priority::Normal), &mut out);
    }
    while out.iter().any(|a| matches!(a, Action::Load { .. })) != ordered.is_some() {
        now += TICK;
        between.step(now, Event::Tick, &mut out);
        assert!(now < LEASE * 3, "nothing was ordered");
    }
    now += ordered.unwrap_or_default();
    let mut to_owner = Vec::new();
    if heard == Heard::Claim {
        let claims = vec![("e".into(), 2)];
        to_owner.push(Message::Claim { claims });
    }
    let begin = now;
    let mut out = Vec::new();
    between.step(now, Event::View(both), &mut out);
    to_owner.extend(messages(out));
    loop {
        let mut out = Vec::new();
        for message in to_owner.drain(..) {
            let from = from_other.clone();
            former.step(now, Event::Receive { from, message }, &mut out);
        }
        former.step(now, Event::Tick, &mut out);
        let claims = |action: &Action| matches!(action, Action::Note(Note::Claimed { fence, .. }) if *fence > 2);
        if out.iter().any(claims) {
            return now - begin;
        }
        let mut answers = Vec::new();
        for message in messages(out) {
            let from = from_owner.clone();
            between.step(now, Event::Receive { from, message }, &mut answers);
        }
        to_owner.extend(messages(answers));
        now += TICK;
        assert!(now < begin + LEASE * 3, "it was not claimed again");
    }
}

/// Guards against an engine that nobody may order at for seconds after a cut between nodes, although who
/// owned it meanwhile has given it up. Urgent requests went elsewhere and began after routine ones.
#[rstest]
fn engine_of_a_cut_is_claimed_at_once(#[values(Heard::Claim, Heard::Nothing)] heard: Heard) {
    let wait = wait_after_cut(heard, None);
    assert!(wait < Duration::from_millis(500), "{wait:?}");
}

/// Guards against orders of two nodes by turns (ONE) where the one between has given the engine up. An
/// order may be written a second after it was decided.
#[rstest]
#[case::just_now(Duration::ZERO, LEASE)]
#[case::before(Duration::from_secs(2), LEASE - Duration::from_secs(1))]
fn engine_of_a_cut_is_not_ordered_at_by_turns(
    #[values(Heard::Claim, Heard::Nothing)] heard: Heard,
    #[case] ordered: Duration,
    #[case] least: Duration,
) {
    let wait = wait_after_cut(heard, Some(ordered));
    assert!((least..least + LEASE / 6).contains(&wait), "{wait:?}");
}

/// Guards against an engine that nobody may order at for seconds after a cut, although the last order of
/// who owned it meanwhile is as old.
#[rstest]
fn old_order_delays_no_claim(#[values(Heard::Claim, Heard::Nothing)] heard: Heard) {
    let wait = wait_after_cut(heard, Some(LEASE + Duration::from_secs(1)));
    assert!(wait < Duration::from_millis(500), "{wait:?}");
}

/// Guards against orders of two nodes by turns (ONE) where a third one has given up an equal claim.
#[test]
fn claim_of_another_node_is_not_given_up() {
    let all = ["a", "b", "c"];
    let owner = view(&all)
        .owner("e")
        .expect("the view is not empty")
        .clone();
    let others: Vec<&str> = all.into_iter().filter(|vm| **vm != *owner).collect();
    let mut former = planner(&owner, &all, RATE);
    let upstream: wire::Upstream = "e".into();
    let claims = vec![(upstream.clone(), 2)];
    let given_up = Message::ClaimGivenUp {
        upstream,
        claim: 2,
        quiet: None,
    };
    // Of equal claims that of the last node is the higher one.
    for (from, message) in [
        (others[1], Message::Claim { claims }),
        (others[0], given_up),
    ] {
        let from = Incarnation::new(from, 1);
        former.step(TICK, Event::Receive { from, message }, &mut Vec::new());
    }
    let mut now = TICK;
    let mut out = Vec::new();
    while !out
        .iter()
        .any(|action| matches!(action, Action::Note(Note::Claimed { .. })))
    {
        now += TICK;
        former.step(now, Event::Tick, &mut out);
        assert!(now < LEASE * 3, "it was not claimed again");
    }
    assert!(now >= TICK + LEASE, "{now:?}");
}

/// Returns to whom the claim `claim` is told as given up.
fn told(out: &[Action], claim: u64) -> Vec<&str> {
    let told = out.iter().filter_map(|action| match action {
        Action::Send {
            to,
            message: Message::ClaimGivenUp { claim: own, .. },
        } if *own == claim => Some(&**to),
        _ => None,
    });
    told.collect()
}

/// Guards against an engine that stays without an owner for seconds, because the news that its claim is
/// given up went to another node: after a cut nodes find each other one by one, and messages are lost.
#[test]
fn claim_given_up_is_told_to_each_owner() {
    let vms = vms();
    let mut between = planner(vms[2], &[vms[2]], RATE);
    let (mut now, mut out) = (TICK, Vec::new());
    between.step(now, Event::View(view(&vms[1..])), &mut out);
    assert_eq!(told(&out, 1), [vms[1]]);
    now += TICK;
    out.clear();
    between.step(now, Event::View(view(&vms)), &mut out);
    assert_eq!(told(&out, 1), [vms[0]]);
    let end = now + LEASE * 2;
    out.clear();
    while now < end {
        now += TICK;
        between.step(now, Event::Tick, &mut out);
    }
    assert_eq!(told(&out, 1), [vms[0]; 2]);
}

/// Guards against a claim that is told as given up for ever, or after the upstream has another owner.
#[test]
fn superseded_claim_is_not_told() {
    let vms = vms();
    let mut between = planner(vms[2], &[vms[2]], RATE);
    let mut out = Vec::new();
    between.step(TICK, Event::View(view(&vms[1..])), &mut out);
    let message = Message::Claim {
        claims: vec![("e".into(), 2)],
    };
    let from = Incarnation::new(vms[1], 1);
    between.step(TICK, Event::Receive { from, message }, &mut out);
    out.clear();
    between.step(TICK * 2, Event::View(view(&vms)), &mut out);
    between.step(TICK * 20, Event::Tick, &mut out);
    assert_eq!(told(&out, 1), [""; 0]);
}

/// Guards against an engine that stays without an owner for half a second more, since a node without
/// other work seldom looks at what is due.
#[test]
fn due_claim_is_looked_at_soon() {
    let both = view(&["a", "b"]);
    let owner = both.owner("e").expect("the view is not empty").clone();
    let other = if *owner == *"a" { "b" } else { "a" };
    let mut former = planner(&owner, &["a", "b"], RATE);
    former.step(TICK, Event::Tick, &mut Vec::new());
    let message = Message::ClaimSuperseded {
        upstream: "e".into(),
        claim: 5,
    };
    let from = Incarnation::new(other, 1);
    former.step(TICK, Event::Receive { from, message }, &mut Vec::new());
    let wake = former.wake().expect("a time to wake at");
    assert!(wake <= TICK + Duration::from_millis(50), "{wake:?}");
}
