//! Checks that the example rules parse without warnings and behave as their comments say.

use jiff::Timestamp;
use rstest::rstest;
use rules::{PoolKind, RetryPolicy, RouteQuery, RuleSet};
use wire::Priority;

fn load(name: &str) -> RuleSet {
    let path = format!("{}/../../examples/{name}.rules", env!("CARGO_MANIFEST_DIR"));
    RuleSet::parse([(name, std::fs::read_to_string(path).unwrap())]).unwrap()
}

#[rstest]
#[case(
    "queensland",
    "depots",
    "stock",
    "2026-02-09T20:00:00Z",
    "stock-warwick@v1"
)]
#[case(
    "queensland",
    "depots",
    "stock",
    "2026-07-05T20:00:00Z",
    "stock-stanthorpe@v1"
)]
#[case("queensland", "hikers", "", "2026-07-05T20:00:00Z", "fitting-hiker@v1")]
#[case(
    "ghana",
    "benefactors",
    "",
    "2026-02-01T09:00:00Z",
    "letter-benefactor@v1"
)]
#[case(
    "ghana",
    "charities",
    "church",
    "2026-04-25T09:00:00Z",
    "letter-church@v2"
)]
#[case("ghana", "auditors", "", "2026-02-01T09:00:00Z", "audit-summary@v1")]
fn examples_route(
    #[case] name: &str,
    #[case] caller: &str,
    #[case] trade: &str,
    #[case] at: Timestamp,
    #[case] model: &str,
) {
    let set = load(name);
    let token = format!("{caller}-token");
    assert_eq!(&*set.caller_by_token(&token).unwrap().name, caller);
    let ask = RouteQuery {
        caller,
        trade,
        priority: Priority::Normal,
        model: None,
        at,
    };
    assert_eq!(set.route(&ask).unwrap().model.to_string(), model);
}

#[rstest]
#[case("queensland", "POST", "/lending/checkouts", Some(RetryPolicy::Once))]
#[case(
    "queensland",
    "POST",
    "/lending/returns?desk=1",
    Some(RetryPolicy::Once)
)]
#[case(
    "queensland",
    "GET",
    "/lending/stock/warwick",
    Some(RetryPolicy::Idempotent)
)]
#[case("queensland", "POST", "/lending/stock", None)]
#[case("ghana", "POST", "/receipts/", Some(RetryPolicy::Once))]
#[case("ghana", "GET", "/receipts/17", Some(RetryPolicy::Idempotent))]
fn examples_serve(
    #[case] name: &str,
    #[case] method: &str,
    #[case] path: &str,
    #[case] repeat: Option<RetryPolicy>,
) {
    let set = load(name);
    assert_eq!(
        set.service(method, path).map(|route| route.retry_policy),
        repeat
    );
}

#[rstest]
#[case("queensland")]
#[case("ghana")]
fn examples_raise_no_warning(#[case] name: &str) {
    let set = load(name);
    assert_eq!(set.warnings("2026-03-01T00:00:00Z".parse().unwrap()), []);
    let engines = set
        .pools()
        .iter()
        .filter(|pool| pool.kind != PoolKind::Service);
    assert_eq!((engines.count(), set.pools().len()), (1, 2));
}

#[test]
fn examples_of_the_page_are_accepted() {
    let path = format!("{}/../../docs/rules.md", env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(path).unwrap();
    let blocks = page.split("```rules\n").skip(1);
    let texts: Vec<&str> = blocks
        .filter_map(|block| block.split("```").next())
        .collect();
    assert_eq!(texts.len(), 2);
    for text in texts {
        let set = RuleSet::parse([("page", text)]).unwrap();
        assert_eq!(set.warnings("2026-03-01T00:00:00Z".parse().unwrap()), []);
    }
}
