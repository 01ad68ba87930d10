//! Checks that matching agrees with a linear scan over all routes in order of precedence.

use jiff::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rules::{MatchOutcome, RouteError, RouteQuery, RuleSet, WarningKind};
use wire::Priority;

const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

/// Minutes in a day.
const DAY: i64 = 24 * 60;

/// Monday 2026-03-02T00:00 in Brisbane, in minutes since the epoch. Brisbane is always ten hours
/// ahead of UTC.
const MONDAY: i64 = 29_540_160 - 10 * 60;

/// The only term of the calendar: the first Tuesday and Wednesday, in minutes since `MONDAY`.
const TERM: std::ops::Range<i64> = DAY..3 * DAY;

const HEAD: &str = "\
base b store s # a
pool p base b # a
adapter a0 base b version v0 path a # a
adapter a0 version v1 path b # a
adapter a1 base b version v0 path c # a
adapter a1 version v1 path d # a
rollout a1 from v0 to v1 percent 50 # a
calendar c zone Australia/Brisbane # a
term c t from 2026-03-03 until 2026-03-04 # a
caller c0 trade t0,t1 priority urgent # a
caller c1 trade * priority normal # a
caller * trade t2 priority routine # a
";

#[derive(Clone, Debug)]
struct When {
    inside: Option<bool>,
    days: (usize, usize),
    hours: Option<(i64, i64)>,
    /// First and last day, counted from `MONDAY`, both inclusive.
    dates: Option<(i64, i64)>,
}

#[derive(Clone, Debug)]
struct Route {
    caller: Option<usize>,
    trade: Option<usize>,
    priority: Option<usize>,
    target: Option<(usize, Option<usize>)>,
    when: Option<When>,
}

fn routes() -> impl Strategy<Value = Vec<Route>> {
    let minute = 0..DAY;
    let when = (
        proptest::option::of(any::<bool>()),
        (0..7usize, 0..7usize),
        proptest::option::of((minute.clone(), minute).prop_filter("empty", |(a, b)| a != b)),
        proptest::option::of((0..5i64, 0..5i64).prop_map(|(from, more)| (from, from + more))),
    );
    let when = when.prop_map(|(inside, days, hours, dates)| When {
        inside,
        days,
        hours,
        dates,
    });
    let target = proptest::option::of((0..2usize, proptest::option::of(0..2usize)));
    let part = |range| proptest::option::of(range);
    let route = (
        part(0..2usize),
        part(0..3usize),
        part(0..3usize),
        target,
        proptest::option::of(when),
    );
    let route = route.prop_map(|(caller, trade, priority, target, when)| Route {
        caller,
        trade,
        priority,
        target,
        when,
    });
    proptest::collection::vec(route, 0..25)
}

fn render(route: &Route) -> String {
    let mut text = String::from("route");
    if let Some(caller) = route.caller {
        text += &format!(" caller c{caller}");
    }
    text += &route
        .trade
        .map_or(" trade *".into(), |trade| format!(" trade t{trade}"));
    if let Some(priority) = route.priority {
        text += &format!(" priority {}", Priority::ALL[priority]);
    }
    text += &match route.target {
        None => " to named".into(),
        Some((adapter, None)) => format!(" to a{adapter}"),
        Some((adapter, Some(version))) => format!(" to a{adapter}@v{version}"),
    };
    if let Some(when) = &route.when {
        text += &format!(
            " when zone Australia/Brisbane days {}-{}",
            DAYS[when.days.0], DAYS[when.days.1]
        );
        if let Some(inside) = when.inside {
            text += if inside { " term c:t" } else { " holiday c" };
        }
        if let Some((from, until)) = when.hours {
            text += &format!(
                " hours {:02}:{:02}-{:02}:{:02}",
                from / 60,
                from % 60,
                until / 60,
                until % 60
            );
        }
        if let Some((from, until)) = when.dates {
            text += &format!(
                " from 2026-03-{:02} until 2026-03-{:02}",
                from + 2,
                until + 2
            );
        }
    }
    text + " # a\n"
}

/// Returns whether `when` holds `minute` minutes after `MONDAY`.
fn holds(when: &When, minute: i64) -> bool {
    let on = |day: i64| {
        let (first, last) = (when.days.0 as i64, when.days.1 as i64);
        (day - first).rem_euclid(7) <= (last - first).rem_euclid(7)
    };
    let (day, clock) = (minute.div_euclid(DAY), minute.rem_euclid(DAY));
    let hours = match when.hours {
        None => on(day),
        Some((from, until)) if from < until => on(day) && from <= clock && clock < until,
        Some((from, until)) => on(day) && clock >= from || on(day - 1) && clock < until,
    };
    let dates = when
        .dates
        .is_none_or(|(from, until)| from <= day && day <= until);
    let term = when
        .inside
        .is_none_or(|inside| inside == TERM.contains(&minute));
    hours && dates && term
}

#[derive(Clone, Debug)]
struct Query {
    caller: usize,
    trade: usize,
    priority: usize,
    model: Option<(usize, Option<usize>)>,
    minute: i64,
}

fn queries() -> impl Strategy<Value = Vec<Query>> {
    let model = proptest::option::of((0..2usize, proptest::option::of(0..2usize)));
    let query = (0..3usize, 0..4usize, 0..3usize, model, -DAY..10 * DAY);
    let query = query.prop_map(|(caller, trade, priority, model, minute)| Query {
        caller,
        trade,
        priority,
        model,
        minute,
    });
    proptest::collection::vec(query, 1..30)
}

/// Finds the route with a linear scan. Returns `Err` for a trade that the caller may not act in.
fn scan(routes: &[Route], query: &Query) -> Result<Option<usize>, ()> {
    // Trade 3 means that the request names none: the default is the caller's first trade, or none
    // if the caller may act in any.
    let (allowed, default, highest): (&[usize], _, _) = match query.caller {
        0 => (&[0, 1], 0, 0),
        1 => (&[0, 1, 2], 3, 1),
        _ => (&[2], 2, 2),
    };
    let trade = if query.trade == 3 {
        default
    } else {
        query.trade
    };
    if query.trade != 3 && !allowed.contains(&trade) {
        return Err(());
    }
    let priority = query.priority.max(highest);
    let fits = |rule: Option<usize>, asked: usize| rule.is_none_or(|rule| rule == asked);
    let matching = routes.iter().enumerate().filter(|(_, route)| {
        let target = match (route.target, query.model) {
            (None, model) => model.is_some(),
            (Some(_), None) => true,
            (Some((adapter, fixed)), Some((wanted, version))) => {
                adapter == wanted && (fixed.is_none() || version.is_none() || fixed == version)
            }
        };
        fits(route.caller, query.caller)
            && fits(route.trade, trade)
            && fits(route.priority, priority)
            && target
            && route
                .when
                .as_ref()
                .is_none_or(|when| holds(when, query.minute))
    });
    let best = matching.min_by_key(|(index, route)| {
        (
            route.caller.is_none(),
            route.trade.is_none(),
            route.priority.is_none(),
            *index,
        )
    });
    Ok(best.map(|(index, _)| index))
}

proptest! {
    #![proptest_config(Config {
        cases: 1500,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn same_as_scan(routes in routes(), queries in queries()) {
        let text: String = routes.iter().map(render).collect();
        let set = RuleSet::parse([("head", HEAD), ("r", &text)]).unwrap();
        for query in &queries {
            let version = |version: Option<usize>| version.map_or("".into(), |v| format!("@v{v}"));
            let model = query.model.map(|(adapter, v)| format!("a{adapter}{}", version(v)));
            let ask = RouteQuery {
                caller: &format!("c{}", query.caller),
                trade: ["t0", "t1", "t2", ""][query.trade],
                priority: Priority::ALL[query.priority],
                model: model.as_deref(),
                at: Timestamp::from_second((MONDAY + query.minute) * 60).unwrap(),
            };
            let got = set.route(&ask);
            match scan(&routes, query) {
                Err(()) => prop_assert_eq!(got, Err(RouteError::TradeNotAllowed)),
                Ok(None) => prop_assert_eq!(got, Err(RouteError::NoRoute)),
                Ok(Some(index)) => {
                    let choice = got.unwrap();
                    prop_assert_eq!(choice.rule.line as usize, index + 1, "{}\n{:?}", text, query);
                    // A route that warnings call unreachable or expired must never be selected.
                    let idle = set.warnings(ask.at).into_iter().find(|warning| {
                        let dead = [WarningKind::Unreachable, WarningKind::Expired].contains(&warning.kind);
                        dead && warning.rule == choice.rule
                    });
                    prop_assert!(idle.is_none(), "{}\n{:?}", text, idle);
                    let (adapter, fixed) = routes[index].target.unwrap_or((9, None));
                    let (adapter, named) = query.model.unwrap_or((adapter, None));
                    prop_assert_eq!(choice.model.adapter.to_string(), format!("a{adapter}"));
                    if let Some(version) = named.or(fixed) {
                        prop_assert_eq!(choice.model.version.to_string(), format!("v{version}"));
                    }
                }
            }
            let chosen = set.explain(&ask).map(|candidates| {
                let mut chosen = candidates.iter().filter(|c| c.outcome == MatchOutcome::Selected);
                (chosen.next().map(|c| c.rule), chosen.count())
            });
            let expected = match got {
                Err(RouteError::TradeNotAllowed) => Err(RouteError::TradeNotAllowed),
                got => Ok((got.ok().map(|choice| choice.rule), 0)),
            };
            prop_assert_eq!(chosen, expected);
        }
    }
}
