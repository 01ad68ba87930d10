//! The statements and their keys.

use jiff::Timestamp;
use jiff::tz::TimeZone;
use wire::Priority;

use super::args::Args;
use super::line::{Line, Word};
use super::value::{self, ANY, Days, HASH_BYTES};
use super::{Misfit, value::from};

/// First words of the statements.
const KINDS: &str = "base, pool, adapter, rollout, calendar, term, caller, limit, route or service";

/// One rule.
#[derive(Debug)]
pub(crate) enum Statement<'a> {
    Base {
        name: Word<'a>,
        store: &'a str,
    },
    Pool {
        name: Word<'a>,
        base: Option<Word<'a>>,
    },
    Adapter {
        name: Word<'a>,
        base: Option<Word<'a>>,
        version: Word<'a>,
        path: &'a str,
    },
    Rollout {
        adapter: Word<'a>,
        from: Word<'a>,
        to: Word<'a>,
        /// Hundredths of a percent.
        share: u16,
    },
    Calendar {
        name: Word<'a>,
        zone: TimeZone,
    },
    Term {
        calendar: Word<'a>,
        name: Word<'a>,
        from: Word<'a>,
        until: Word<'a>,
    },
    Caller {
        name: Word<'a>,
        tokens: Vec<[u8; HASH_BYTES]>,
        trades: Option<Vec<&'a str>>,
        highest: Priority,
    },
    Limit {
        caller: Word<'a>,
        rate: f64,
        burst: u32,
        concurrent: u32,
    },
    Route(Route<'a>),
    Service {
        name: Word<'a>,
        pool: Word<'a>,
        path: Word<'a>,
        stem: &'a str,
        below: bool,
        methods: Option<Vec<Word<'a>>>,
        once: bool,
    },
}

/// A route's caller, trade, priority, target and conditions.
#[derive(Debug)]
pub(crate) struct Route<'a> {
    pub caller: Option<Word<'a>>,
    pub trade: Option<Word<'a>>,
    pub priority: Option<Priority>,
    pub to: Target<'a>,
    pub when: Option<Conditions<'a>>,
}

/// What a route leads to.
#[derive(Debug)]
pub(crate) enum Target<'a> {
    /// The adapter that the request names.
    Named,
    /// An adapter, in a fixed version if one is given.
    Adapter(Word<'a>, Option<Word<'a>>),
}

/// Conditions as written; the calendar is not looked up yet.
#[derive(Debug)]
pub(crate) struct Conditions<'a> {
    /// The `term` or `holiday` word: calendar, term name, and whether inside is meant.
    pub term: Option<(Word<'a>, Option<Word<'a>>, bool)>,
    pub days: Option<Days>,
    pub hours: Option<(u16, u16)>,
    pub zone: Option<TimeZone>,
    pub from: Option<Word<'a>>,
    pub until: Option<Word<'a>>,
    /// First word behind `when`, for faults.
    pub start: Word<'a>,
    /// The conditions' text with single spaces.
    pub text: String,
}

/// Reads the statement of a line.
pub(crate) fn parse<'a>(line: &Line<'a>) -> Result<Statement<'a>, Misfit> {
    let [kind, rest @ ..] = line.words.as_slice() else {
        return Err(end(line, KINDS));
    };
    match kind.text {
        "base" => base(line, rest),
        "pool" => pool(line, rest),
        "adapter" => adapter(line, rest),
        "rollout" => rollout(line, rest),
        "calendar" => calendar(line, rest),
        "term" => term(line, rest),
        "caller" => caller(line, rest),
        "limit" => limit(line, rest),
        "route" => route(line, rest),
        "service" => service(line, rest),
        _ => Err(Misfit::new(*kind, KINDS)),
    }
}

fn end(line: &Line<'_>, expected: &str) -> Misfit {
    Misfit {
        column: line.end,
        expected: expected.into(),
        found: "the end of the rule".into(),
    }
}

/// Takes the name that follows the statement's first word.
fn head<'a, 'w>(
    line: &Line<'a>,
    words: &'w [Word<'a>],
) -> Result<(Word<'a>, &'w [Word<'a>]), Misfit> {
    let (name, rest) = words.split_first().ok_or_else(|| end(line, "a name"))?;
    value::name(*name)?;
    Ok((*name, rest))
}

fn named(word: Word<'_>) -> Result<Word<'_>, Misfit> {
    value::name(word).map(|_| word)
}

fn base<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, Misfit> {
    let (name, rest) = head(line, words)?;
    let args = Args::new(rest, line.end, &["store"], &[])?;
    let store = value::name(args.need("store")?)?;
    Ok(Statement::Base { name, store })
}

fn pool<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, Misfit> {
    let (name, rest) = head(line, words)?;
    let args = Args::new(rest, line.end, &["base"], &["service"])?;
    let base = args.get("base").map(named).transpose()?;
    if base.is_some() == args.flag("service") {
        return Err(args.missing("either `base` and its value, or `service`"));
    }
    Ok(Statement::Pool { name, base })
}

fn adapter<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, Misfit> {
    let (name, rest) = head(line, words)?;
    if [value::NAMED, value::AUTO].contains(&name.text) {
        return Err(Misfit::new(name, "a name other than `named` and `auto`"));
    }
    let args = Args::new(rest, line.end, &["base", "version", "path"], &[])?;
    Ok(Statement::Adapter {
        name,
        base: args.get("base").map(named).transpose()?,
        version: named(args.need("version")?)?,
        path: value::path(args.need("path")?),
    })
}

fn rollout<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, Misfit> {
    let (adapter, rest) = head(line, words)?;
    let args = Args::new(rest, line.end, &["from", "to", "percent"], &[])?;
    Ok(Statement::Rollout {
        adapter,
        from: named(args.need("from")?)?,
        to: named(args.need("to")?)?,
        share: value::percent(args.need("percent")?)?,
    })
}

fn calendar<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, Misfit> {
    let (name, rest) = head(line, words)?;
    let args = Args::new(rest, line.end, &["zone"], &[])?;
    let zone = value::zone(args.need("zone")?)?;
    Ok(Statement::Calendar { name, zone })
}

fn term<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, Misfit> {
    let (calendar, rest) = head(line, words)?;
    let (name, rest) = head(line, rest)?;
    let args = Args::new(rest, line.end, &["from", "until"], &[])?;
    let (start, stop) = (args.need("from")?, args.need("until")?);
    from(start, &TimeZone::UTC)?;
    value::until(stop, &TimeZone::UTC)?;
    Ok(Statement::Term {
        calendar,
        name,
        from: start,
        until: stop,
    })
}

fn caller<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, Misfit> {
    let (name, rest) = words
        .split_first()
        .ok_or_else(|| end(line, "a name or `*`"))?;
    let any = value::name_or_any(*name)?.is_none();
    let keys: &[&str] = if any {
        &["trade", "priority"]
    } else {
        &["token", "trade", "priority"]
    };
    let args = Args::new(rest, line.end, keys, &[])?;
    let token = args.get("token").into_iter();
    let tokens = token.flat_map(value::parts).map(value::hash);
    let trade = args.need("trade")?;
    let trades = match trade.text {
        ANY => None,
        _ => Some(value::names(trade)?),
    };
    Ok(Statement::Caller {
        name: *name,
        tokens: tokens.collect::<Result<_, _>>()?,
        trades,
        highest: value::priority(args.need("priority")?)?,
    })
}

fn limit<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, Misfit> {
    let (caller, rest) = words
        .split_first()
        .ok_or_else(|| end(line, "a caller or `*`"))?;
    value::name_or_any(*caller)?;
    let args = Args::new(rest, line.end, &["rate", "burst", "concurrent"], &[])?;
    Ok(Statement::Limit {
        caller: *caller,
        rate: value::positive(args.need("rate")?)?,
        burst: value::count(args.need("burst")?)?,
        concurrent: value::count(args.need("concurrent")?)?,
    })
}

fn route<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, Misfit> {
    let when = words.iter().position(|word| word.text == value::WHEN);
    let (who, conditions) = match when {
        Some(index) => (&words[..index], Some(&words[index + 1..])),
        None => (words, None),
    };
    let args = Args::new(who, line.end, &["caller", "trade", "priority", "to"], &[])?;
    let some = |key| -> Result<Option<Word<'a>>, Misfit> {
        let word = args.get(key).filter(|word| word.text != ANY);
        word.map(named).transpose()
    };
    let priority = args.get("priority").filter(|word| word.text != ANY);
    Ok(Statement::Route(Route {
        caller: some("caller")?,
        trade: some("trade")?,
        priority: priority.map(value::priority).transpose()?,
        to: target(args.need("to")?)?,
        when: conditions
            .map(|words| self::when(line, words))
            .transpose()?,
    }))
}

fn target(word: Word<'_>) -> Result<Target<'_>, Misfit> {
    if word.text == value::NAMED {
        return Ok(Target::Named);
    }
    let Some((adapter, version)) = word.text.split_once('@') else {
        return Ok(Target::Adapter(named(word)?, None));
    };
    let part = |text, skip: usize| Word {
        text,
        column: word.column + skip as u32,
    };
    let version = part(version, adapter.chars().count() + 1);
    Ok(Target::Adapter(
        named(part(adapter, 0))?,
        Some(named(version)?),
    ))
}

fn when<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Conditions<'a>, Misfit> {
    let keys = ["term", "holiday", "days", "hours", "zone", "from", "until"];
    let start = *words
        .first()
        .ok_or_else(|| end(line, "a condition behind `when`"))?;
    let args = Args::new(words, line.end, &keys, &[])?;
    if let (Some(_), Some(holiday)) = (args.get("term"), args.get("holiday")) {
        return Err(Misfit::new(holiday, "only one of `term` and `holiday`"));
    }
    let inside = args.get("term").map(|word| (word, true));
    let term = inside.or(args.get("holiday").map(|word| (word, false)));
    let term = term.map(|(word, inside)| calendar_term(word, inside));
    let texts: Vec<&str> = words.iter().map(|word| word.text).collect();
    Ok(Conditions {
        term: term.transpose()?,
        days: args.get("days").map(value::days).transpose()?,
        hours: args.get("hours").map(value::hours).transpose()?,
        zone: args.get("zone").map(value::zone).transpose()?,
        from: args.get("from"),
        until: args.get("until"),
        start,
        text: texts.join(" "),
    })
}

type TermWords<'a> = (Word<'a>, Option<Word<'a>>, bool);

fn calendar_term(word: Word<'_>, inside: bool) -> Result<TermWords<'_>, Misfit> {
    let Some((calendar, name)) = word.text.split_once(':') else {
        return Ok((named(word)?, None, inside));
    };
    let column = word.column + calendar.chars().count() as u32 + 1;
    let calendar = Word {
        text: calendar,
        ..word
    };
    let name = Word { text: name, column };
    Ok((named(calendar)?, Some(named(name)?), inside))
}

fn service<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, Misfit> {
    let (name, rest) = head(line, words)?;
    let args = Args::new(rest, line.end, &["pool", "path", "methods"], &["once"])?;
    let path = args.need("path")?;
    let (stem, below) = value::route_path(path)?;
    let methods = args.get("methods").map(|word| {
        let methods = value::parts(word);
        methods
            .map(|word| value::method(word).map(|_| word))
            .collect()
    });
    Ok(Statement::Service {
        name,
        pool: named(args.need("pool")?)?,
        path,
        stem,
        below,
        methods: methods.transpose()?,
        once: args.flag("once"),
    })
}

/// Reads `from` and `until` in `zone`; the later must follow the earlier.
pub(crate) fn span(
    start: Option<Word<'_>>,
    stop: Option<Word<'_>>,
    zone: &TimeZone,
) -> Result<(Option<Timestamp>, Option<Timestamp>), Misfit> {
    let begin = start.map(|word| from(word, zone)).transpose()?;
    let finish = stop.map(|word| value::until(word, zone)).transpose()?;
    match (begin, finish, stop) {
        (Some(begin), Some(finish), Some(word)) if finish <= begin => {
            Err(Misfit::new(word, "an end behind the start"))
        }
        _ => Ok((begin, finish)),
    }
}
