//! Checks that matching does not allocate.

#[path = "../benches/support/mod.rs"]
mod support;

use rules::{RouteQuery, RuleSet};
use support::Counting;
use wire::Priority;

#[global_allocator]
static ALLOCATOR: Counting = Counting;

#[test]
fn routes_and_services_do_not_allocate() {
    let text = support::rules(support::CALLERS)
        + "pool desk service # ops\nservice desk pool desk path /desk/* methods GET # ops\n";
    let held = support::bytes();
    let set = RuleSet::parse([("r", &text)]).unwrap();
    assert!(support::bytes() > held);
    let at = "2026-02-10T00:00:00Z".parse().unwrap();
    let before = support::calls();
    let mut found = 0;
    for model in [
        None,
        Some("adapter-00030"),
        Some("adapter-00030@v2"),
        Some("none"),
    ] {
        for caller in ["caller-7", "caller-1999", "nobody"] {
            let priority = Priority::Urgent;
            let ask = RouteQuery {
                caller,
                trade: "letters",
                priority,
                model,
                at,
            };
            found += usize::from(set.route(&ask).is_ok());
            found += usize::from(set.service("GET", "/desk/a/b?c").is_some());
            found += usize::from(set.caller_by_token("secret").is_none());
            found += usize::from(set.limit(caller).is_some());
        }
    }
    assert_eq!(support::calls(), before);
    assert_eq!(found, 6 + 12 + 12 + 8);
}
