//! Tests which service handles a call, and whether the call may be retried.

use rstest::rstest;
use rules::{RetryPolicy, RuleSet};

const RULES: &str = "\
pool d service # a
pool e service # a
service desk pool d path /desk/* # a
service desk pool d path /desk/checkout methods POST,PUT once # a
service desk pool d path /desk/returns/* once # a
service desk pool d path /desk/returns/list methods GET # a
service exact pool e path /exact # a
service rest pool e path /* methods GET # a
";

#[rstest]
#[case("POST", "/desk/checkout", Some((4, RetryPolicy::Once)))]
#[case("POST", "/desk/checkout/", Some((4, RetryPolicy::Once)))]
#[case("PUT", "/desk/checkout?a=/../b", Some((4, RetryPolicy::Once)))]
#[case("GET", "/desk/checkout", Some((3, RetryPolicy::Idempotent)))]
#[case("POST", "/desk/returns", Some((5, RetryPolicy::Once)))]
#[case("POST", "/desk/returns/7/x", Some((5, RetryPolicy::Once)))]
#[case("GET", "/desk/returns/list", Some((6, RetryPolicy::Idempotent)))]
#[case("POST", "/desk/returns/list", Some((5, RetryPolicy::Once)))]
#[case("GET", "/desk", Some((3, RetryPolicy::Idempotent)))]
#[case("GET", "/desks", Some((8, RetryPolicy::Idempotent)))]
#[case("POST", "/desks", None)]
#[case("GET", "/", Some((8, RetryPolicy::Idempotent)))]
#[case("GET", "", Some((8, RetryPolicy::Idempotent)))]
#[case("DELETE", "/exact", Some((7, RetryPolicy::Idempotent)))]
#[case("DELETE", "/exact/below", None)]
#[case("GET", "/desk/granite%20belt", Some((3, RetryPolicy::Idempotent)))]
// Attempts to bypass a rule with `once`.
#[case("post", "/desk/checkout", None)]
#[case("POST", "/desk/./checkout", None)]
#[case("POST", "/desk/x/../checkout", None)]
#[case("POST", "/desk//checkout", None)]
#[case("POST", "/desk/checkout//", None)]
#[case("POST", "/desk/%63heckout", None)]
#[case("POST", "/desk%2Fcheckout", None)]
#[case("POST", "/desk/x%2f..%2Fcheckout", None)]
#[case("POST", "/desk/%2563heckout", None)]
#[case("POST", "/desk/checkout%", None)]
#[case("POST", "/desk/checkout%+1", None)]
#[case("POST", "/desk/checkout%00", None)]
#[case("POST", "/desk/checkout;v=1", None)]
#[case("POST", "/desk\\checkout", None)]
#[case("POST", "/desk/checkoü", None)]
#[case("POST", "desk/checkout", None)]
fn service_route(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: Option<(u32, RetryPolicy)>,
) {
    let set = RuleSet::parse([("r", RULES)]).unwrap();
    let route = set.service(method, path);
    assert_eq!(
        route.map(|route| (route.rule.line, route.retry_policy)),
        expected
    );
}
