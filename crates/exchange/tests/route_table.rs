//! Selection of the route and the pool for a request.

mod support;

use exchange::route::RouteKind;
use rstest::rstest;
use support::{config, route};

#[rstest]
#[case("/a/b/c", Some("/a/b/"))]
#[case("/a/b/", Some("/a/b/"))]
#[case("/a/x", Some("/a/"))]
#[case("/a", Some("/"))]
#[case("/", Some("/"))]
#[case("", None)]
fn longest_prefix_wins(#[case] path: &str, #[case] prefix: Option<&str>) {
    let routes = ["/", "/a/", "/a/b/"].map(|prefix| route(prefix, RouteKind::Idempotent));
    let config = config(routes.into());
    let found = config.route("host", path).map(|route| &*route.prefix);
    assert_eq!(found, prefix);
}

#[rstest]
fn unknown_host_has_no_route() {
    let config = config(vec![route("/", RouteKind::Idempotent)]);
    assert!(config.route("elsewhere", "/").is_none());
}

#[rstest]
fn weights_split_requests() {
    let mut split = route("/", RouteKind::Idempotent);
    split.pools = vec![("one".into(), 90), ("two".into(), 10), ("none".into(), 0)];
    let count = |pool: &str| {
        let seeds = 0..1_000_u64;
        seeds
            .filter(|seed| split.pool(*seed).is_some_and(|found| **found == *pool))
            .count()
    };
    assert_eq!((count("one"), count("two"), count("none")), (900, 100, 0));
}

#[rstest]
fn route_without_weight_has_no_pool() {
    let mut empty = route("/", RouteKind::Idempotent);
    empty.pools = vec![("one".into(), 0)];
    assert_eq!(empty.pool(3), None);
}
