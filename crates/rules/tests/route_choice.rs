//! Tests which adapter and version is selected for a request.

use rstest::rstest;
use rules::{MatchOutcome, RouteError, RouteQuery, RuleSet};
use wire::Priority;

const RULES: &str = "\
base b store s # ann
pool p base b # ann
adapter frost base b version v1 path frost/1 # ann
adapter frost version v2 path frost/2 # ann
adapter stock base b version v1 path stock/1 # ann
adapter gift base b version v1 path gift/1 # ann
calendar qld zone Australia/Brisbane # ann
term qld t1 from 2026-01-27 until 2026-04-02 # ann
term qld t2 from 2026-04-20 until 2026-06-26 # ann
caller crew token sha256:2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b \
  trade council,hiker priority urgent # ann
caller desk trade desk priority normal # bob
caller * trade * priority routine # bob
route to stock # last resort
route caller crew to frost when term qld:t1 # crew in term one
route caller crew to stock when holiday qld # crew on holiday
route caller crew to frost@v2 when days mon-fri hours 22:00-02:00 zone Australia/Brisbane # night
route caller crew to named # crew by name
route caller crew trade hiker to gift # hikers
route caller desk priority urgent to gift # never, desk gets normal at most
route trade desk priority normal to frost@v1 # desk
route to named # bob
";

/// Joins the rule in `RULES` that is split over two lines.
fn unfold(rules: &str) -> String {
    rules.replace("\\\n  ", "")
}

fn set() -> RuleSet {
    RuleSet::parse([("r", unfold(RULES))]).unwrap()
}

fn ask<'a>(caller: &'a str, trade: &'a str, model: &'a str, at: &str) -> RouteQuery<'a> {
    RouteQuery {
        caller,
        trade,
        priority: Priority::Urgent,
        model: (!model.is_empty()).then_some(model),
        at: at.parse().unwrap(),
    }
}

const TERM: &str = "2026-02-10T00:00:00Z";
const HOLIDAY: &str = "2026-04-10T00:00:00Z";
const TERM_TWO_DAY: &str = "2026-05-06T03:00:00Z";

#[rstest]
#[case("crew", "", "", TERM, "frost@v1", 14)]
#[case("crew", "", "", HOLIDAY, "stock@v1", 15)]
// 22:00 on a Friday in Brisbane is 12:00 in UTC; Saturday 01:59 still belongs to Friday.
#[case("crew", "", "", "2026-05-08T12:00:00Z", "frost@v2", 16)]
#[case("crew", "", "", "2026-05-08T15:59:00Z", "frost@v2", 16)]
#[case("crew", "", "", "2026-05-08T16:00:00Z", "stock@v1", 13)]
#[case("crew", "", "", "2026-05-09T12:00:00Z", "stock@v1", 13)]
// The first instant of a term, and the first one after it.
#[case("crew", "", "", "2026-01-26T14:00:00Z", "frost@v1", 14)]
#[case("crew", "", "", "2026-04-02T14:00:00Z", "stock@v1", 15)]
#[case("crew", "", "frost@v2", TERM, "frost@v2", 14)]
#[case("crew", "", "frost", TERM, "frost@v1", 14)]
#[case("crew", "", "gift", TERM, "gift@v1", 17)]
#[case("crew", "hiker", "", TERM, "gift@v1", 18)]
#[case("crew", "hiker", "stock", TERM, "stock@v1", 17)]
#[case("desk", "", "", TERM, "frost@v1", 20)]
#[case("desk", "", "auto", TERM, "frost@v1", 20)]
#[case("desk", "", "frost@v2", TERM, "frost@v2", 21)]
#[case("stranger", "any", "", TERM_TWO_DAY, "stock@v1", 13)]
#[case("stranger", "desk", "gift@v1", TERM, "gift@v1", 21)]
fn matches(
    #[case] caller: &str,
    #[case] trade: &str,
    #[case] model: &str,
    #[case] at: &str,
    #[case] expected: &str,
    #[case] line: u32,
) {
    let set = set();
    let ask = ask(caller, trade, model, at);
    let choice = set.route(&ask).unwrap();
    assert_eq!(
        (choice.model.to_string().as_str(), choice.rule.line),
        (expected, line)
    );
    assert_eq!(
        (&**choice.base, &**choice.store, &**choice.pool),
        ("b", "s", "p")
    );
    let chosen = set.explain(&ask).unwrap();
    let chosen = chosen
        .iter()
        .filter(|c| c.outcome == MatchOutcome::Selected);
    assert_eq!(chosen.map(|c| c.rule.line).collect::<Vec<_>>(), [line]);
}

#[rstest]
#[case("crew", "desk", "", RouteError::TradeNotAllowed)]
#[case("crew", "", "none", RouteError::UnknownAdapter)]
#[case("crew", "", "frost@v9", RouteError::UnknownVersion)]
fn refusals(
    #[case] caller: &str,
    #[case] trade: &str,
    #[case] model: &str,
    #[case] expected: RouteError,
) {
    assert_eq!(set().route(&ask(caller, trade, model, TERM)), Err(expected));
}

#[test]
fn undeclared_caller_is_refused_without_a_line_for_any() {
    let set = RuleSet::parse([("r", unfold(RULES).replace("caller * ", "caller x "))]);
    assert_eq!(
        set.unwrap().route(&ask("y", "", "", TERM)),
        Err(RouteError::UnknownCaller)
    );
}

#[test]
fn priority_is_lowered_to_the_highest_allowed() {
    let set = set();
    let of = |caller| set.route(&ask(caller, "", "", TERM)).unwrap().priority;
    let expected = [Priority::Urgent, Priority::Normal, Priority::Routine];
    assert_eq!(["crew", "desk", "other"].map(of), expected);
}

#[test]
fn tokens_name_their_caller() {
    let set = set();
    // SHA-256 of "secret".
    assert_eq!(&*set.caller_by_token("secret").unwrap().name, "crew");
    assert!(set.caller_by_token("Secret").is_none());
    assert!(set.caller_by_token("").is_none());
}

#[test]
fn rollout_sticks_and_only_grows() {
    let callers: Vec<String> = (0..2000).map(|index| format!("caller-{index}")).collect();
    let mut before = vec![false; callers.len()];
    for percent in [0.0, 0.5, 10.0, 50.0, 100.0] {
        let rollout = format!("{RULES}rollout frost from v1 to v2 percent {percent} # ann\n");
        let set = RuleSet::parse([("r", unfold(&rollout))]).unwrap();
        let moved: Vec<bool> = callers
            .iter()
            .map(|caller| set.route(&ask(caller, "", "frost", TERM)).unwrap())
            .map(|choice| &*choice.model.version == "v2")
            .collect();
        let share = moved.iter().filter(|moved| **moved).count() as f64 / callers.len() as f64;
        assert!(
            (share - percent / 100.0).abs() < 0.03,
            "{share} at {percent} percent"
        );
        assert!(
            before
                .iter()
                .zip(&moved)
                .all(|(before, after)| *after || !before)
        );
        before = moved;
        let pinned = set.route(&ask("caller-1", "", "frost@v1", TERM)).unwrap();
        assert_eq!(&*pinned.model.version, "v1");
    }
}

#[test]
fn rollout_at_zero_moves_no_one() {
    let moved = |percent: &str| {
        let rollout = format!("{RULES}rollout frost from v1 to v2 percent {percent} # ann\n");
        let set = RuleSet::parse([("r", unfold(&rollout))]).unwrap();
        let callers = (0..60_000).map(|index| format!("caller-{index}"));
        let moved = callers.filter(|caller| {
            let choice = set.route(&ask(caller, "", "frost", TERM)).unwrap();
            &*choice.model.version == "v2"
        });
        moved.count()
    };
    assert_eq!(moved("0"), 0);
    assert!(moved("0.01") > 0);
}

#[test]
fn explain_reports_every_outcome() {
    let set = set();
    let ask = ask("crew", "council", "frost", HOLIDAY);
    let outcomes: Vec<(u32, MatchOutcome)> = set
        .explain(&ask)
        .unwrap()
        .iter()
        .map(|c| (c.rule.line, c.outcome))
        .collect();
    use MatchOutcome::{ConditionsNotMet, LowerPrecedence, OtherModel, OtherTrade, Selected};
    let expected = [
        (18, OtherTrade),
        (14, ConditionsNotMet),
        (15, OtherModel),
        (16, ConditionsNotMet),
        (17, Selected),
        (20, OtherTrade),
        (13, OtherModel),
        (21, LowerPrecedence),
    ];
    assert_eq!(outcomes, expected);
}
