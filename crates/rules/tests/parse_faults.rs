//! Checks that an error in a rules file is reported with its file, line, column, the expected text
//! and the text found.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use rules::RuleSet;

const HEAD: &str = "\
base b store s # a
pool p base b # a
pool d service # a
adapter x base b version v1 path x/1 # a
adapter x version v2 path x/2 # a
calendar c zone Africa/Accra # a
term c t from 2026-01-01 until 2026-01-31 # a
caller k trade t priority urgent # a
";

#[rstest]
#[case("route to x", 11, "who requested", "the end of the line")]
#[case("route to x #  ", 12, "who requested", "the end of the line")]
#[case("rout to x # a", 1, "base, pool, adapter", "\"rout\"")]
#[case("route to # a", 9, "a value for `to`", "the end of the rule")]
#[case("route trade t # a", 14, "`to` and its value", "the end")]
#[case("route to x to x # a", 12, "one of `caller`", "\"to\"")]
#[case("route to y # a", 10, "an `adapter` line", "\"y\"")]
#[case("route to x@v9 # a", 12, "a line of the adapter", "\"v9\"")]
#[case("route to x@ # a", 12, "a name of letters", "\"\"")]
#[case("route caller m to x # a", 14, "a `caller` line", "\"m\"")]
#[case(
    "route priority soon to x # a",
    16,
    "urgent, normal or routine",
    "\"soon\""
)]
#[case("route to x when # a", 16, "a condition", "the end")]
#[case(
    "route to x when days mon-fry zone UTC # a",
    22,
    "mon-fri",
    "\"mon-fry\""
)]
#[case(
    "route to x when hours 6-25:00 zone UTC # a",
    23,
    "06:00-18:00",
    "\"6-25:00\""
)]
#[case(
    "route to x when hours 05:00-09:00 # a",
    17,
    "`zone` or `term`",
    "\"hours\""
)]
#[case("route to x when term n # a", 22, "`calendar` line", "\"n\"")]
#[case("route to x when term c:u # a", 24, "`term` line", "\"u\"")]
#[case("route to x when term c holiday c # a", 32, "only one", "\"c\"")]
#[case(
    "route to x when zone Mars/Base # a",
    22,
    "a time zone",
    "\"Mars/Base\""
)]
#[case(
    "route to x when zone UTC from 2026-02-30 # a",
    31,
    "a date",
    "\"2026-02-30\""
)]
#[case(
    "route to x when zone UTC until 9999-12-31 # a",
    32,
    "a date",
    "\"9999-12-31\""
)]
#[case(
    "route to x when zone UTC from 2026-02-02 until 2026-02-01 # a",
    48,
    "after the start",
    ""
)]
#[case("adapter y version v1 path p # a", 9, "`base` on the first", "\"y\"")]
#[case("adapter y base n version v1 path p # a", 16, "a `base` line", "\"n\"")]
#[case(
    "adapter x base q version v3 path p # a",
    16,
    "the adapter's base b",
    "\"q\""
)]
#[case("adapter x version v1 path p # a", 19, "see r:4", "\"v1\"")]
#[case(
    "adapter named base b version v1 path p # a",
    9,
    "other than `named`",
    "\"named\""
)]
#[case(
    "adapter a@b base b version v1 path p # a",
    9,
    "a name of letters",
    "\"a@b\""
)]
#[case("base b store s # a", 6, "see r:1", "\"b\"")]
#[case("base e store s # a", 6, "a `pool` line", "\"e\"")]
#[case("pool q base b # a", 13, "one pool of a base", "\"b\"")]
#[case("pool q # a", 7, "or `service`", "the end")]
#[case("pool q base b service # a", 22, "either", "the end")]
#[case(
    "rollout x from v1 to v1 percent 5 # a",
    22,
    "another version",
    "\"v1\""
)]
#[case("rollout x from v1 to v2 percent 101 # a", 33, "0 to 100", "\"101\"")]
#[case(
    "term c u from 2026-01-31 until 2026-02-09 # a",
    1,
    "do not overlap, see r:7",
    "\"u\""
)]
#[case(
    "term c t from 2027-01-31 until 2027-02-09 # a",
    8,
    "does not have yet",
    "\"t\""
)]
#[case(
    "caller * token sha256:00 trade * priority urgent # a",
    10,
    "`trade`",
    "\"token\""
)]
#[case(
    "caller m token sha256:00 trade * priority urgent # a",
    16,
    "64 hex",
    "another form"
)]
#[case(
    "caller m token sha256:00000000000000000000000000000000000000000000000000000000000000aa,\
        sha256:00000000000000000000000000000000000000000000000000000000000000aa \
        trade * priority urgent # a",
    8,
    "a token of its own",
    "\"m\""
)]
#[case(
    "route to x when zone UTC from 2026-01-01T24:00 # a",
    31,
    "a minute",
    "T24:00"
)]
#[case(
    "limit m rate 1 burst 1 concurrent 1 # a",
    7,
    "a `caller` line",
    "\"m\""
)]
#[case("limit k rate 0 burst 1 concurrent 1 # a", 14, "above 0", "\"0\"")]
#[case("limit k rate nan burst 1 concurrent 1 # a", 14, "above 0", "\"nan\"")]
#[case(
    "limit k rate 1 burst 1.5 concurrent 1 # a",
    22,
    "whole number",
    "\"1.5\""
)]
#[case("service s pool p path /a # a", 16, "NAME service", "\"p\"")]
#[case("service s pool d path /a/../b # a", 23, "dot segments", "\"/a/../b\"")]
#[case("service s pool d path /a/ # a", 23, "a slash at the end", "\"/a/\"")]
#[case("service s pool d path /a*b # a", 23, "a path", "\"/a*b\"")]
#[case(
    "service s pool d path /a methods POST,get # a",
    39,
    "capital letters",
    "\"get\""
)]
#[case(
    "service s pool d path /a methods GET,GET # a",
    38,
    "one line for a path",
    "\"GET\""
)]
// Columns are counted in characters, not bytes.
#[case("route caller ü to x # a", 14, "a `caller` line", "\"ü\"")]
#[case("route caller ü! to x # a", 14, "a name of letters", "\"ü!\"")]
fn fault(#[case] line: &str, #[case] column: u32, #[case] expected: &str, #[case] found: &str) {
    let error =
        RuleSet::parse([("r", format!("{HEAD}\n# a comment alone\n{line}\n"))]).unwrap_err();
    let fault = error.diagnostics.iter().find(|fault| fault.line == 11);
    let fault = fault.unwrap_or_else(|| panic!("{error}"));
    assert_eq!((&*fault.file, fault.column), ("r", column), "{fault}");
    assert!(fault.expected.contains(expected), "{fault}");
    assert!(fault.found.contains(found), "{fault}");
}

#[test]
fn reports_all_errors_of_all_files() {
    let second = "route to y # a\r\nnothing # a\r\nroute to x # a\r\nroute to z # a\r\n";
    let error = RuleSet::parse([("one", HEAD), ("two", second)]).unwrap_err();
    let places: Vec<(&str, u32)> = error
        .diagnostics
        .iter()
        .map(|f| (&*f.file, f.line))
        .collect();
    assert_eq!(places, [("two", 1), ("two", 2), ("two", 4)]);
    assert!(
        error.to_string().contains("two:2:1: expected base"),
        "{error}"
    );
}

#[test]
fn rules_keep_their_comments() {
    let text = format!("{HEAD}route to x@v2 #  J. Doe: for the #3 depot  \n");
    let set = RuleSet::parse([("r", text)]).unwrap();
    let entry = set.model("x", "v1").unwrap();
    assert_eq!(
        (entry.rule.line, &**entry.rule.comment, &**entry.path),
        (4, "a", "x/1")
    );
    let ask = rules::RouteQuery {
        caller: "k",
        trade: "",
        priority: wire::Priority::Normal,
        model: None,
        at: jiff::Timestamp::UNIX_EPOCH,
    };
    let rule = set.route(&ask).unwrap().rule;
    assert_eq!(rule.to_string(), "r:9 (J. Doe: for the #3 depot)");
}

/// Words that reach deep into the parser, and some invalid ones.
const WORDS: [&str; 48] = [
    "base",
    "pool",
    "adapter",
    "rollout",
    "calendar",
    "term",
    "caller",
    "limit",
    "route",
    "service",
    "store",
    "version",
    "path",
    "from",
    "to",
    "until",
    "percent",
    "zone",
    "token",
    "trade",
    "rate",
    "burst",
    "concurrent",
    "priority",
    "when",
    "holiday",
    "days",
    "hours",
    "methods",
    "once",
    "b",
    "x@v1",
    "v1",
    "*",
    "c:t",
    "UTC",
    "mon-sun",
    "22:00-24:00",
    "2026-01-01",
    "9999-12-31T23:59",
    "-0001-01-01",
    "1e300",
    "/a/*",
    "GET,",
    "urgent",
    "sha256:é",
    "\u{feff}",
    "# a",
];

proptest! {
    #![proptest_config(Config {
        cases: 2000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_text_panics(text in "(\\PC|[\\s#@*:,-]){0,80}") {
        let _ = RuleSet::parse([("r", text)]);
    }

    #[test]
    fn no_words_panic(words in proptest::collection::vec((0..WORDS.len(), any::<bool>()), 0..60)) {
        let text: String = words
            .iter()
            .map(|(word, end)| format!("{}{}", WORDS[*word], if *end { " " } else { " # a\n" }))
            .collect();
        let at = jiff::Timestamp::UNIX_EPOCH;
        if let Ok(set) = RuleSet::parse([("r", format!("{HEAD}{text}"))]) {
            set.warnings(at);
            prop_assert!(rules::diff(&set, &set).is_empty());
        }
    }
}
