//! Tests warnings, upcoming activations of routes, and the differences between revisions.

use rstest::rstest;
use rules::{RuleSet, WarningKind, diff};

const HEAD: &str = "\
base b store s # a
pool p base b # a
pool d service # a
adapter x base b version v1 path x/1 # a
adapter x version v2 path x/2 # a
adapter y base b version v1 path y/1 # a
calendar c zone Africa/Accra # a
term c t1 from 2026-01-01 until 2026-01-31 # a
term c t2 from 2026-03-01 until 2026-03-31 # a
caller k trade t,u priority normal # a
caller l trade t priority normal # a
";

fn parse(lines: &[&str]) -> RuleSet {
    let lines: String = lines.iter().map(|line| format!("{line} # a\n")).collect();
    RuleSet::parse([("r", format!("{HEAD}{lines}"))]).unwrap()
}

#[rstest]
#[case(&["route to x", "route caller k to y"], &[])]
#[case(&["route caller k to x", "route caller k to y"], &[(13, WarningKind::Conflict, Some(12))])]
#[case(&["route caller k to x", "route caller k to x"], &[(13, WarningKind::Unreachable, Some(12))])]
#[case(&["route caller k to x@v1", "route caller k to x"], &[(13, WarningKind::Conflict, Some(12))])]
#[case(&["route to x", "route to named", "route to y"], &[(14, WarningKind::Unreachable, Some(12))])]
#[case(&["route to named", "route to x", "route to named"], &[(14, WarningKind::Unreachable, Some(12))])]
#[case(&["route to x when term c", "route to y"], &[])]
#[case(&["route to x when term c", "route to y when holiday c"], &[])]
#[case(&["route to x when term c:t2", "route to y when term c:t3", "term c t3 from 2026-05-01 until 2026-05-31"], &[])]
#[case(&["route to x when term c days mon", "route to y when term c days tue,wed"], &[])]
#[case(&["route to x when term c hours 01:00-02:00", "route to y when term c hours 02:00-03:00"], &[])]
#[case(&["route to x when term c days mon-wed", "route to y when holiday c days wed"], &[])]
#[case(&["route to x when term c days mon-wed", "route to y when term c days wed"],
    &[(13, WarningKind::Conflict, Some(12))])]
#[case(&["route to x when term c:t2", "route to x when term c:t2"],
    &[(13, WarningKind::Unreachable, Some(12))])]
#[case(&["route to x when term c:t1"], &[(12, WarningKind::Expired, None)])]
#[case(&["route to x when holiday c:t1"], &[])]
#[case(&["route to x when zone UTC until 2026-02-09"], &[(12, WarningKind::Expired, None)])]
#[case(&["route to x when zone UTC until 2026-02-10"], &[])]
#[case(&["route caller l trade u to x"], &[(12, WarningKind::Unreachable, None)])]
#[case(&["route priority urgent to x"], &[(12, WarningKind::Unreachable, None)])]
#[case(&["rollout x from v1 to v2 percent 100"], &[(12, WarningKind::RolloutFinished, None)])]
#[case(&["service s pool d path /a"], &[(12, WarningKind::RetryableWrite, None)])]
#[case(&["service s pool d path /a once"], &[])]
fn warnings(#[case] lines: &[&str], #[case] expected: &[(u32, WarningKind, Option<u32>)]) {
    let set = parse(lines);
    let warnings = set.warnings("2026-02-10T12:00:00Z".parse().unwrap());
    let found: Vec<_> = warnings
        .iter()
        .map(|w| (w.rule.line, w.kind, w.overridden_by.map(|by| by.line)))
        .collect();
    assert_eq!(found, expected);
    assert!(
        warnings
            .iter()
            .all(|w| w.to_string().contains(w.kind.message()))
    );
}

#[rstest]
#[case(&["route to x when term c"], &["2026-03-01 x@v1"])]
#[case(&["route to x@v2 when term c:t2 days mon"], &["2026-03-01 x@v2"])]
#[case(&["route to y when holiday c"], &["2026-02-01 y@v1", "2026-04-01 y@v1"])]
#[case(&["route to y when holiday c:t2"], &["2026-04-01 y@v1"])]
#[case(&["route to x when term c from 2026-03-10"], &["2026-03-10 x@v1"])]
#[case(&["route to x when term c from 2026-02-10"], &["2026-03-01 x@v1"])]
#[case(&["route to x when zone UTC until 2026-03-10"], &[])]
#[case(&["route to x", "route to named when term c"], &[])]
#[case(&["rollout x from v1 to v2 percent 51", "route to x when term c"], &["2026-03-01 x@v2"])]
#[case(&["route to x when term c", "route caller k to y when term c"],
    &["2026-03-01 x@v1", "2026-03-01 y@v1"])]
fn upcoming_activations(#[case] lines: &[&str], #[case] expected: &[&str]) {
    let set = parse(lines);
    let span = ["2026-01-10T00:00:00Z", "2026-12-31T00:00:00Z"].map(|at| at.parse().unwrap());
    let activations = set.upcoming_activations(span[0], span[1]);
    let texts = activations.iter().map(|activation| {
        let at = activation.at.to_string();
        format!(
            "{} {}",
            at.strip_suffix("T00:00:00Z").unwrap(),
            activation.model
        )
    });
    assert_eq!(texts.collect::<Vec<_>>(), expected);
    assert_eq!(set.upcoming_activations(span[1], span[0]), []);
}

#[rstest]
#[case(&["route to x"], &["route to y"], "any caller: route for trade any, priority any: x -> y")]
#[case(&[], &["route caller k priority normal to x@v2 when term c"],
    "caller k: route for trade any, priority normal added: x@v2 when term c")]
#[case(&["route to x when term c", "route to y"], &["route to y", "route to x when term c"],
    "any caller: route for trade any, priority any: x when term c; else y -> y; else x when term c")]
#[case(&[], &["rollout x from v1 to v2 percent 2.5"],
    "users of adapter x: version unless named: v1 for all -> \
     v2 for 2.5 percent of callers, v1 for the others")]
#[case(&["limit k rate 1 burst 2 concurrent 3"], &[],
    "caller k: limit removed, was 1 a second, burst 2, concurrent 3")]
#[case(&["service s pool d path /a/* methods GET"], &["service s pool d path /a/* methods GET once"],
    "users of service s: GET /a/*: pool d, idempotent -> pool d, at most once")]
#[case(&["adapter z base b version v1 path z/1"], &["adapter z base b version v1 path z/2"],
    "users of adapter z: version v1: base b, path z/1 -> base b, path z/2")]
fn changes(#[case] before: &[&str], #[case] after: &[&str], #[case] expected: &str) {
    let (before, after) = (parse(before), parse(after));
    let texts: Vec<String> = diff(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(texts, [expected]);
    assert!(diff(&after, &after).is_empty());
}
