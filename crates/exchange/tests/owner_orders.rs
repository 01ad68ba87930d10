//! Claims of engines, and the orders that the owner gives.

mod support;

use std::time::Duration;

use exchange::fleet::Presence;
use exchange::owner::{Action, AdmissionRequest, Answer, Decision, Event, Message, Order};
use rstest::rstest;
use support::{ADAPTER_SLOTS, OwnerHarness, bare, engine, ms, target};
use wire::Vm;

fn orders(actions: &[Action]) -> Vec<&Order> {
    let given = actions.iter().map(|action| match action {
        Action::Order { order, .. } => Some(order),
        _ => None,
    });
    given.flatten().collect()
}

fn request_load(adapter: &str) -> Event {
    Event::RequestLoad {
        engine: "e1".into(),
        target: target(adapter),
        rank: 1,
    }
}

#[rstest]
fn node_that_may_not_claim_owns_nothing() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
    let live: Vec<Vm> = vec!["vm-1".into()];
    node.step(Event::View {
        live,
        may_claim: false,
    });
    node.advance(ms(5_000));
    assert_eq!(node.owner.owned().count(), 0);
}

#[rstest]
fn first_order_repeats_the_resident_base() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &["a"])]);
    let actions = node.advance(ms(1_000));
    assert_eq!(orders(&actions), [&Order::Load(bare(), None)]);
}

#[rstest]
fn orders_wait_for_the_report() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &["a"])]);
    let actions = node.advance(ms(1_000));
    let Some(Action::Order { fence, order, .. }) = actions
        .iter()
        .find(|action| matches!(action, Action::Order { .. }))
    else {
        panic!("no order in {actions:?}");
    };
    node.step(request_load("b"));
    let after = node.step(Event::Answered {
        engine: "e1".into(),
        fence: *fence,
        order: order.clone(),
        answer: Answer::Done,
    });
    assert!(
        orders(&after).is_empty(),
        "an order was given before the report"
    );
    let opened = node.step(Event::ReportFetched {
        engine: "e1".into(),
        succeeded: true,
        orders: None,
    });
    assert_eq!(orders(&opened), [&Order::Load(target("b"), None)]);
}

/// Guards against a claim that counts as the lock of the former owner although the engine has refused its
/// first order: both owners load, and the engine gets more than it holds (LIMIT).
#[rstest]
#[case::other_order(Answer::Busy)]
#[case::not_understood(Answer::Unfit)]
fn refused_first_order_locks_nobody_out(
    #[case] answer: Answer,
    #[values(&["a"], &[])] adapters: &[&str],
) {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", adapters)]);
    let mut actions = node.advance(ms(1_000));
    for _ in 0..4 {
        assert_eq!(orders(&actions), [&Order::Load(bare(), None)]);
        node.answer_orders(actions, |_| answer);
        let report = node.step(Event::ReportFetched {
            engine: "e1".into(),
            succeeded: true,
            orders: None,
        });
        assert_eq!(orders(&report), [] as [&Order; 0]);
        let asked = node.step(request_load("b"));
        assert_eq!(orders(&asked), [] as [&Order; 0], "the former owner orders");
        actions = node.advance(ms(1_000));
    }
    let given = node.answer_orders(actions, |_| Answer::Done);
    let given: Vec<&Order> = given.iter().map(|(_, _, order)| order).collect();
    let loads = [Order::Load(bare(), None), Order::Load(target("b"), None)];
    assert_eq!(given, [&loads[0], &loads[1]]);
}

#[rstest]
fn engine_is_never_overfilled() {
    let adapters: Vec<String> = (0..ADAPTER_SLOTS)
        .map(|index| format!("a{index}"))
        .collect();
    let adapters: Vec<&str> = adapters.iter().map(String::as_str).collect();
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &adapters)]);
    node.claim_all();
    let mut resident: Vec<String> = adapters.iter().map(ToString::to_string).collect();
    for index in 0..20 {
        let actions = node.step(request_load(&format!("b{index}")));
        for (_, _, order) in node.answer_orders(actions, |order| match order {
            Order::Load(..) => Answer::Accepted,
            Order::Confirm(..) | Order::Unload(_) => Answer::Done,
        }) {
            match order {
                Order::Load(target, _) => {
                    resident.extend(target.adapter.map(|name| name.to_string()));
                }
                Order::Confirm(..) => {}
                Order::Unload(target) => {
                    resident.retain(|name| Some(&**name) != target.adapter.as_deref());
                }
            }
            assert!(
                resident.len() <= ADAPTER_SLOTS,
                "{} adapters resident",
                resident.len()
            );
        }
        let actions = node.advance(ms(400));
        node.answer_orders(actions, |_| Answer::Done);
    }
}

/// A listing older than the latest orders must not free slots.
#[rstest]
fn outdated_listing_frees_no_slot() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
    node.claim_all();
    let mut loaded = 0;
    for index in 0..30 {
        let actions = node.step(request_load(&format!("a{index}")));
        let given = node.answer_orders(actions, |order| match order {
            Order::Load(..) => Answer::Accepted,
            Order::Confirm(..) | Order::Unload(_) => Answer::Busy,
        });
        loaded += given
            .iter()
            .filter(|(_, _, order)| matches!(order, Order::Load(..)))
            .count();
        let actions = node.advance(ms(3_000));
        node.answer_orders(actions, |_| Answer::Busy);
        node.fleet.apply_listing(node.now, engine("e1", &[]));
    }
    assert!(
        loaded <= ADAPTER_SLOTS,
        "{loaded} adapters loaded into {ADAPTER_SLOTS} slots"
    );
}

/// An engine accepts an unload of an adapter in use, but takes no other order until its requests
/// end.
#[rstest]
fn adapter_in_use_is_not_evicted() {
    let adapters: Vec<String> = (0..ADAPTER_SLOTS)
        .map(|index| format!("a{index}"))
        .collect();
    let adapters: Vec<&str> = adapters.iter().map(String::as_str).collect();
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &adapters)]);
    node.claim_all();
    for name in &adapters[1..] {
        let request = AdmissionRequest {
            target: target(name),
            prefill: ms(20),
            decode: ms(5_000),
            rank: 1,
        };
        node.owner.admit(node.now, &node.fleet, "e1", &request);
    }
    let actions = node.step(request_load("b"));
    assert_eq!(orders(&actions), [&Order::Unload(target("a0"))]);
}

#[rstest]
fn higher_fence_wins() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
    node.claim_all();
    let (_, fence) = node.owner.owned().next().expect("node owns the engine");
    let message = Message::Claims(vec![("e1".into(), fence + 1)]);
    let live: Vec<Vm> = vec!["vm-1".into(), "vm-2".into()];
    node.step(Event::View {
        live,
        may_claim: true,
    });
    let actions = node.step(Event::Receive {
        from: "vm-2".into(),
        message,
    });
    assert!(actions.contains(&Action::Log(Decision::Released("e1".into(), "superseded"))));
    assert_eq!(node.owner.holder("e1").map(|vm| &**vm), Some("vm-2"));
}

#[rstest]
fn lower_fence_is_answered_with_own_claims() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
    node.claim_all();
    let (_, fence) = node.owner.owned().next().expect("node owns the engine");
    let live: Vec<Vm> = vec!["vm-1".into(), "vm-2".into()];
    node.step(Event::View {
        live,
        may_claim: true,
    });
    let actions = node.step(Event::Receive {
        from: "vm-2".into(),
        message: Message::Claims(vec![("e1".into(), fence - 1)]),
    });
    let answer = Action::Send {
        to: "vm-2".into(),
        message: Message::Claims(vec![("e1".into(), fence)]),
    };
    assert!(actions.contains(&answer), "{actions:?}");
}

#[rstest]
fn refused_fence_is_not_reused() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
    node.claim_all();
    let (_, first) = node.owner.owned().next().expect("node owns the engine");
    let actions = node.step(request_load("a"));
    node.answer_orders(actions, |_| Answer::Fenced);
    assert_eq!(node.owner.owned().count(), 0);
    node.advance(ms(2_500));
    assert_eq!(
        node.owner.owned().count(),
        0,
        "claimed again before the lease expired"
    );
    node.advance_reporting(ms(7_000), |_| Some(1));
    let (_, second) = node
        .owner
        .owned()
        .next()
        .expect("node claimed the engine again");
    assert!(second > first);
}

/// Fencing tokens increase even if the wall clock jumps back, and differ between VMs.
#[rstest]
fn fences_increase_and_differ_between_vms() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
    node.claim_all();
    let (_, first) = node.owner.owned().next().expect("node owns the engine");
    node.fleet.remove("e1");
    node.advance(ms(3_200));
    node.wall -= 1_000;
    node.fleet.apply_listing(node.now, engine("e1", &[]));
    node.claim_all();
    let (_, second) = node.owner.owned().next().expect("node owns the engine");
    assert!(second > first, "{second} after {first}");
    let mut other = OwnerHarness::alone("vm-2", 2, [engine("e1", &[])]);
    other.claim_all();
    let (_, foreign) = other.owner.owned().next().expect("node owns the engine");
    assert_ne!(first & 0xff_ffff, foreign & 0xff_ffff);
}

#[rstest]
fn leaving_node_releases_its_engines() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
    node.claim_all();
    let live: Vec<Vm> = vec!["vm-1".into(), "vm-2".into()];
    node.step(Event::View {
        live,
        may_claim: true,
    });
    let actions = node.step(Event::Leave);
    let released = |action: &Action| matches!(action, Action::Send { message: Message::Release(claims), .. } if claims.len() == 1);
    assert!(actions.iter().any(released), "{actions:?}");
    assert!(orders(&node.step(request_load("a"))).is_empty());
}

#[rstest]
fn paused_node_delays_its_orders() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
    node.claim_all();
    node.step(Event::Paused);
    assert!(orders(&node.step(request_load("a"))).is_empty());
    let later = node.advance(ms(1_500));
    assert_eq!(orders(&later), [&Order::Load(target("a"), None)]);
}

#[rstest]
fn empty_engine_loads_a_base_model() {
    let mut listing = engine("e1", &[]);
    listing.holdings.clear();
    let mut node = OwnerHarness::alone("vm-1", 1, [listing]);
    let actions = node.advance(ms(1_000));
    assert_eq!(orders(&actions), [&Order::Load(bare(), None)]);
    let presence = node
        .fleet
        .upstream("e1")
        .map(|engine| engine.presence(&bare()));
    assert_eq!(presence, Some(Presence::Absent));
}

/// An adapter may be evicted once its requests have ended, even if they were expected to run
/// longer.
#[rstest]
fn adapter_is_evictable_once_its_requests_end() {
    let adapters: Vec<String> = (0..ADAPTER_SLOTS)
        .map(|index| format!("a{index}"))
        .collect();
    let adapters: Vec<&str> = adapters.iter().map(String::as_str).collect();
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &adapters)]);
    node.claim_all();
    for name in &adapters {
        let request = AdmissionRequest {
            target: target(name),
            prefill: ms(20),
            decode: ms(60_000),
            rank: 1,
        };
        node.owner.admit(node.now, &node.fleet, "e1", &request);
        node.owner.admit(node.now, &node.fleet, "e1", &request);
    }
    assert!(orders(&node.step(request_load("b"))).is_empty());
    assert!(node.owner.release_admission(node.now, "e1", &target("a3")));
    assert!(orders(&node.step(request_load("b"))).is_empty());
    let done = Message::RequestEnded {
        engine: "e1".into(),
        target: target("a3"),
    };
    let actions = node.step(Event::Receive {
        from: "vm-2".into(),
        message: done,
    });
    assert_eq!(orders(&actions), [&Order::Unload(target("a3"))]);
}

/// In a large fleet each node sees few requests; the owner of an engine sees all of them.
#[rstest]
fn grant_counts_the_requests_of_all_nodes() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &["a", "b"])]);
    node.claim_all();
    let request = |adapter: &str| AdmissionRequest {
        target: target(adapter),
        prefill: ms(20),
        decode: ms(2_000),
        rank: 1,
    };
    let mut admit = |adapter: &str| {
        let grant = node
            .owner
            .admit(node.now, &node.fleet, "e1", &request(adapter));
        grant.map(|grant| grant.running)
    };
    assert_eq!(admit("a"), Some(1));
    assert_eq!(admit("b"), Some(2));
    assert_eq!(admit("a"), Some(3));
    node.owner.release_admission(node.now, "e1", &target("a"));
    let grant = node.owner.admit(node.now, &node.fleet, "e1", &request("b"));
    assert_eq!(grant.map(|grant| grant.running), Some(3));
}

/// While many nodes start at once, claims arrive before the membership view lists their senders.
#[rstest]
fn claim_of_an_unlisted_peer_is_respected() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
    let claims = Message::Claims(vec![("e1".into(), 1 << 40)]);
    node.step(Event::Receive {
        from: "vm-2".into(),
        message: claims,
    });
    node.advance(ms(1_000));
    assert_eq!(node.owner.owned().count(), 0);
    // A holder that the view drops is gone, however recent its claim.
    let live: Vec<Vm> = vec!["vm-1".into(), "vm-2".into()];
    node.step(Event::View {
        live,
        may_claim: true,
    });
    node.step(Event::View {
        live: vec!["vm-1".into()],
        may_claim: true,
    });
    node.advance(ms(500));
    assert_eq!(node.owner.owned().count(), 1);
}

/// Two nodes that each believe the other dead must not alternate as owners.
#[rstest]
fn superseded_node_waits_for_the_lease() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
    node.claim_all();
    let (_, fence) = node.owner.owned().next().expect("node owns the engine");
    node.step(Event::Receive {
        from: "vm-2".into(),
        message: Message::Claims(vec![("e1".into(), fence + 1)]),
    });
    assert_eq!(node.owner.owned().count(), 0);
    node.advance(ms(2_900));
    assert_eq!(
        node.owner.owned().count(),
        0,
        "claimed before the lease expired"
    );
    node.advance(ms(1_000));
    assert_eq!(node.owner.owned().count(), 1);
}

/// A node that restarts before the others notice has lost its engines without releasing them. Its
/// announcement shows that, even if it is empty.
#[rstest]
fn node_without_engines_announces_it() {
    let live: Vec<Vm> = vec!["vm-1".into(), "vm-2".into()];
    let mut fresh = OwnerHarness::alone("vm-2", 2, []);
    fresh.step(Event::View {
        live: live.clone(),
        may_claim: true,
    });
    let nothing = Message::Claims(Vec::new());
    let sent = fresh.advance(ms(1_500));
    let message = Action::Send {
        to: "vm-1".into(),
        message: nothing.clone(),
    };
    assert!(sent.contains(&message), "{sent:?}");

    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
    node.step(Event::View {
        live,
        may_claim: true,
    });
    for message in [Message::Claims(vec![("e1".into(), 1 << 40)]), nothing] {
        assert_eq!(node.owner.owned().count(), 0);
        node.step(Event::Receive {
            from: "vm-2".into(),
            message,
        });
    }
    assert_eq!(node.owner.holder("e1"), None);
}

/// The message that a request has ended may be lost. If such requests were counted forever, the
/// engine of a popular adapter would look fuller with every loss.
#[rstest]
fn lost_end_of_request_expires() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &["a"])]);
    node.claim_all();
    let request = AdmissionRequest {
        target: target("a"),
        prefill: ms(20),
        decode: ms(2_000),
        rank: 1,
    };
    let mut seen = Vec::new();
    for _ in 0..4 {
        let grant = node.owner.admit(node.now, &node.fleet, "e1", &request);
        seen.extend(grant.map(|grant| grant.running));
        node.advance(ms(1_500));
    }
    assert_eq!(seen, [1, 2, 2, 2]);
}

/// An engine may be slower than expected, and unloading an adapter in use blocks all orders until
/// its requests end.
#[rstest]
#[case::still_running(ms(2_000), &[])]
#[case::behind_long_prefills(ms(4_000), &[])]
#[case::end_lost(ms(6_000), &["a0"])]
fn slow_request_keeps_its_adapter(#[case] after: Duration, #[case] evicted: &[&str]) {
    let adapters: Vec<String> = (0..ADAPTER_SLOTS)
        .map(|index| format!("a{index}"))
        .collect();
    let adapters: Vec<&str> = adapters.iter().map(String::as_str).collect();
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &adapters)]);
    node.claim_all();
    let request = |adapter: &str, decode| AdmissionRequest {
        target: target(adapter),
        prefill: ms(100),
        decode,
        rank: 1,
    };
    for name in &adapters {
        let decode = if *name == "a0" { ms(900) } else { ms(60_000) };
        node.owner
            .admit(node.now, &node.fleet, "e1", &request(name, decode));
    }
    node.advance(after);
    let actions = node.step(request_load("b"));
    let unloaded: Vec<String> = orders(&actions)
        .into_iter()
        .filter_map(|order| match order {
            Order::Unload(target) => target.adapter.as_ref().map(ToString::to_string),
            _ => None,
        })
        .collect();
    assert_eq!(unloaded, evicted);
}

/// Engines run requests more slowly than their token counts suggest. The estimate is learned from
/// requests that have ended.
#[rstest]
fn request_duration_is_learned() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &["a"])]);
    node.claim_all();
    let request = AdmissionRequest {
        target: target("a"),
        prefill: ms(100),
        decode: ms(400),
        rank: 1,
    };
    let admit = |node: &mut OwnerHarness| {
        let grant = node.owner.admit(node.now, &node.fleet, "e1", &request);
        grant.map(|grant| grant.running)
    };
    let after_a_second = |node: &mut OwnerHarness| {
        admit(node);
        node.advance(ms(1_000));
        let running = admit(node);
        for _ in 0..2 {
            node.owner.release_admission(node.now, "e1", &target("a"));
        }
        running
    };
    assert_eq!(
        after_a_second(&mut node),
        Some(1),
        "the first request counts as ended"
    );
    for _ in 0..80 {
        admit(&mut node);
        node.advance(ms(1_500));
        node.owner.release_admission(node.now, "e1", &target("a"));
    }
    assert_eq!(
        after_a_second(&mut node),
        Some(2),
        "the first request counts as running"
    );
}

/// Guards against overfilling an engine. An adapter loaded sooner than expected was used and
/// evicted; the order to confirm its load, which is itself a load, then brought it back.
#[rstest]
fn evicted_load_is_not_confirmed() {
    let adapters: Vec<String> = (0..ADAPTER_SLOTS - 1)
        .map(|index| format!("a{index}"))
        .collect();
    let adapters: Vec<&str> = adapters.iter().map(String::as_str).collect();
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &adapters)]);
    node.claim_all();
    let request = |adapter: &str, decode| AdmissionRequest {
        target: target(adapter),
        prefill: ms(1),
        decode,
        rank: 1,
    };
    for name in &adapters {
        let busy = request(name, ms(60_000));
        assert!(
            node.owner
                .admit(node.now, &node.fleet, "e1", &busy)
                .is_some()
        );
    }
    let accept = |order: &Order| match order {
        Order::Unload(_) => Answer::Done,
        Order::Load(..) | Order::Confirm(..) => Answer::Accepted,
    };
    let actions = node.step(request_load("early"));
    node.answer_orders(actions, accept);
    node.now += ms(50);
    node.fleet
        .set_presence(node.now, "e1", &target("early"), Presence::Held(None));
    let brief = request("early", ms(1));
    assert!(
        node.owner
            .admit(node.now, &node.fleet, "e1", &brief)
            .is_some()
    );
    node.owner
        .release_admission(node.now, "e1", &target("early"));
    node.now += ms(50);
    let actions = node.step(request_load("next"));
    let given = node.answer_orders(actions, accept);
    let unload = Order::Unload(target("early"));
    assert!(
        given.iter().any(|(_, _, order)| *order == unload),
        "{given:?}"
    );
    let actions = node.advance(ms(1_000));
    let given = node.answer_orders(actions, accept);
    let loads_again = |order: &Order| *order.target() == target("early");
    assert!(
        !given.iter().any(|(_, _, order)| loads_again(order)),
        "{given:?}"
    );
}

/// A node with a slow clock that never heard of the former owner would give orders with a lower
/// token than that owner did.
#[rstest]
fn outdated_fence_is_raised() {
    let mut peer = OwnerHarness::alone("vm-2", 2, [engine("e1", &[])]);
    let claims = |fence| Message::Claims(vec![("e1".into(), fence)]);
    let receive = |from: &str, message| Event::Receive {
        from: from.into(),
        message,
    };
    peer.step(receive("vm-3", claims(u64::MAX >> 12)));
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
    node.claim_all();
    let own: Vec<_> = node.owner.owned().map(|(_, fence)| fence).collect();
    let sent = peer.step(receive("vm-1", claims(own[0])));
    let higher = sent.into_iter().find_map(|action| match action {
        Action::Send { to, message } if &*to == "vm-1" => match message {
            Message::HigherFences(_) => Some(message),
            _ => None,
        },
        _ => None,
    });
    node.step(receive(
        "vm-2",
        higher.expect("the claiming node is told of the higher token"),
    ));
    assert_eq!(node.owner.owned().count(), 0);
    // The owner that used the higher token may have given an order just now.
    node.advance(ms(2_900));
    assert_eq!(node.owner.owned().count(), 0);
    node.advance(ms(700));
    let all_higher = node.owner.owned().all(|(_, fence)| fence > u64::MAX >> 12);
    assert!(all_higher && node.owner.owned().count() == 1);
}
