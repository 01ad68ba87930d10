//! Defines the statements and parses them.

use jiff::Timestamp;
use jiff::tz::TimeZone;
use wire::Priority;

use super::ParseError;
use super::args::Args;
use super::line::{Line, Word};
use super::value::{self, ANY, Days, HASH_BYTES};

/// The keywords that start a statement.
const STATEMENT_KEYWORDS: &str =
    "base, pool, adapter, rollout, calendar, term, caller, limit, route or service";

/// A parsed rule. Names of other rules are not resolved yet.
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
        /// Share of callers in basis points (hundredths of a percent).
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
        max_priority: Priority,
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
        prefix: &'a str,
        include_subpaths: bool,
        methods: Option<Vec<Word<'a>>>,
        once: bool,
    },
}

/// A `route` statement. `None` for the caller, trade or priority matches any.
#[derive(Debug)]
pub(crate) struct Route<'a> {
    pub caller: Option<Word<'a>>,
    pub trade: Option<Word<'a>>,
    pub priority: Option<Priority>,
    pub to: Target<'a>,
    pub when: Option<ConditionsSyntax<'a>>,
}

/// The target of a route.
#[derive(Debug)]
pub(crate) enum Target<'a> {
    /// The adapter that the request names.
    Named,
    /// An adapter, with a fixed version if one is given.
    Adapter(Word<'a>, Option<Word<'a>>),
}

/// The conditions of a route as written. The calendar is not resolved yet.
#[derive(Debug)]
pub(crate) struct ConditionsSyntax<'a> {
    /// Calendar, term name, and `true` for `term` or `false` for `holiday`.
    pub term: Option<(Word<'a>, Option<Word<'a>>, bool)>,
    pub days: Option<Days>,
    pub hours: Option<(u16, u16)>,
    pub zone: Option<TimeZone>,
    pub from: Option<Word<'a>>,
    pub until: Option<Word<'a>>,
    /// First word after `when`, for error positions.
    pub start: Word<'a>,
    /// The text of the conditions, with single spaces.
    pub text: String,
}

/// Parses the statement on a line.
pub(crate) fn parse<'a>(line: &Line<'a>) -> Result<Statement<'a>, ParseError> {
    let [kind, rest @ ..] = line.words.as_slice() else {
        return Err(unexpected_end(line, STATEMENT_KEYWORDS));
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
        _ => Err(ParseError::new(*kind, STATEMENT_KEYWORDS)),
    }
}

fn unexpected_end(line: &Line<'_>, expected: &str) -> ParseError {
    ParseError {
        column: line.end,
        expected: expected.into(),
        found: "the end of the rule".into(),
    }
}

/// Splits off the first word, which must be a name.
fn split_name<'a, 'w>(
    line: &Line<'a>,
    words: &'w [Word<'a>],
) -> Result<(Word<'a>, &'w [Word<'a>]), ParseError> {
    let (name, rest) = words
        .split_first()
        .ok_or_else(|| unexpected_end(line, "a name"))?;
    value::name(*name)?;
    Ok((*name, rest))
}

/// Checks that a word is a name and returns it with its position.
fn name_word(word: Word<'_>) -> Result<Word<'_>, ParseError> {
    value::name(word).map(|_| word)
}

fn base<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, ParseError> {
    let (name, rest) = split_name(line, words)?;
    let args = Args::new(rest, line.end, &["store"], &[])?;
    let store = value::name(args.required("store")?)?;
    Ok(Statement::Base { name, store })
}

fn pool<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, ParseError> {
    let (name, rest) = split_name(line, words)?;
    let args = Args::new(rest, line.end, &["base"], &["service"])?;
    let base = args.get("base").map(name_word).transpose()?;
    if base.is_some() == args.flag("service") {
        return Err(args.missing("either `base` and its value, or `service`"));
    }
    Ok(Statement::Pool { name, base })
}

fn adapter<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, ParseError> {
    let (name, rest) = split_name(line, words)?;
    if [value::NAMED, value::AUTO].contains(&name.text) {
        return Err(ParseError::new(
            name,
            "a name other than `named` and `auto`",
        ));
    }
    let args = Args::new(rest, line.end, &["base", "version", "path"], &[])?;
    Ok(Statement::Adapter {
        name,
        base: args.get("base").map(name_word).transpose()?,
        version: name_word(args.required("version")?)?,
        path: value::path(args.required("path")?),
    })
}

fn rollout<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, ParseError> {
    let (adapter, rest) = split_name(line, words)?;
    let args = Args::new(rest, line.end, &["from", "to", "percent"], &[])?;
    Ok(Statement::Rollout {
        adapter,
        from: name_word(args.required("from")?)?,
        to: name_word(args.required("to")?)?,
        share: value::percent(args.required("percent")?)?,
    })
}

fn calendar<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, ParseError> {
    let (name, rest) = split_name(line, words)?;
    let args = Args::new(rest, line.end, &["zone"], &[])?;
    let zone = value::zone(args.required("zone")?)?;
    Ok(Statement::Calendar { name, zone })
}

fn term<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, ParseError> {
    let (calendar, rest) = split_name(line, words)?;
    let (name, rest) = split_name(line, rest)?;
    let args = Args::new(rest, line.end, &["from", "until"], &[])?;
    let (start, stop) = (args.required("from")?, args.required("until")?);
    value::from(start, &TimeZone::UTC)?;
    value::until(stop, &TimeZone::UTC)?;
    Ok(Statement::Term {
        calendar,
        name,
        from: start,
        until: stop,
    })
}

fn caller<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, ParseError> {
    let (name, rest) = words
        .split_first()
        .ok_or_else(|| unexpected_end(line, "a name or `*`"))?;
    let any = value::name_or_any(*name)?.is_none();
    let keys: &[&str] = if any {
        &["trade", "priority"]
    } else {
        &["token", "trade", "priority"]
    };
    let args = Args::new(rest, line.end, keys, &[])?;
    let token = args.get("token").into_iter();
    let tokens = token.flat_map(value::split_commas).map(value::token_hash);
    let trade = args.required("trade")?;
    let trades = match trade.text {
        ANY => None,
        _ => Some(value::names(trade)?),
    };
    Ok(Statement::Caller {
        name: *name,
        tokens: tokens.collect::<Result<_, _>>()?,
        trades,
        max_priority: value::priority(args.required("priority")?)?,
    })
}

fn limit<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, ParseError> {
    let (caller, rest) = words
        .split_first()
        .ok_or_else(|| unexpected_end(line, "a caller or `*`"))?;
    value::name_or_any(*caller)?;
    let args = Args::new(rest, line.end, &["rate", "burst", "concurrent"], &[])?;
    Ok(Statement::Limit {
        caller: *caller,
        rate: value::positive(args.required("rate")?)?,
        burst: value::count(args.required("burst")?)?,
        concurrent: value::count(args.required("concurrent")?)?,
    })
}

fn route<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, ParseError> {
    let when = words.iter().position(|word| word.text == value::WHEN);
    let (who, conditions) = match when {
        Some(index) => (&words[..index], Some(&words[index + 1..])),
        None => (words, None),
    };
    let args = Args::new(who, line.end, &["caller", "trade", "priority", "to"], &[])?;
    let some = |key| -> Result<Option<Word<'a>>, ParseError> {
        let word = args.get(key).filter(|word| word.text != ANY);
        word.map(name_word).transpose()
    };
    let priority = args.get("priority").filter(|word| word.text != ANY);
    Ok(Statement::Route(Route {
        caller: some("caller")?,
        trade: some("trade")?,
        priority: priority.map(value::priority).transpose()?,
        to: target(args.required("to")?)?,
        when: conditions
            .map(|words| self::when(line, words))
            .transpose()?,
    }))
}

fn target(word: Word<'_>) -> Result<Target<'_>, ParseError> {
    if word.text == value::NAMED {
        return Ok(Target::Named);
    }
    let Some((adapter, version)) = word.text.split_once('@') else {
        return Ok(Target::Adapter(name_word(word)?, None));
    };
    let part = |text, skip: usize| Word {
        text,
        column: word.column + skip as u32,
    };
    let version = part(version, adapter.chars().count() + 1);
    Ok(Target::Adapter(
        name_word(part(adapter, 0))?,
        Some(name_word(version)?),
    ))
}

fn when<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<ConditionsSyntax<'a>, ParseError> {
    let keys = ["term", "holiday", "days", "hours", "zone", "from", "until"];
    let start = *words
        .first()
        .ok_or_else(|| unexpected_end(line, "a condition after `when`"))?;
    let args = Args::new(words, line.end, &keys, &[])?;
    if let (Some(_), Some(holiday)) = (args.get("term"), args.get("holiday")) {
        return Err(ParseError::new(holiday, "only one of `term` and `holiday`"));
    }
    let inside = args.get("term").map(|word| (word, true));
    let term = inside.or(args.get("holiday").map(|word| (word, false)));
    let term = term.map(|(word, inside)| calendar_term(word, inside));
    let texts: Vec<&str> = words.iter().map(|word| word.text).collect();
    Ok(ConditionsSyntax {
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

fn calendar_term(word: Word<'_>, inside: bool) -> Result<TermWords<'_>, ParseError> {
    let Some((calendar, name)) = word.text.split_once(':') else {
        return Ok((name_word(word)?, None, inside));
    };
    let column = word.column + calendar.chars().count() as u32 + 1;
    let calendar = Word {
        text: calendar,
        ..word
    };
    let name = Word { text: name, column };
    Ok((name_word(calendar)?, Some(name_word(name)?), inside))
}

fn service<'a>(line: &Line<'a>, words: &[Word<'a>]) -> Result<Statement<'a>, ParseError> {
    let (name, rest) = split_name(line, words)?;
    let args = Args::new(rest, line.end, &["pool", "path", "methods"], &["once"])?;
    let path = args.required("path")?;
    let (prefix, include_subpaths) = value::service_path(path)?;
    let methods = args.get("methods").map(|word| {
        let methods = value::split_commas(word);
        methods
            .map(|word| value::method(word).map(|_| word))
            .collect()
    });
    Ok(Statement::Service {
        name,
        pool: name_word(args.required("pool")?)?,
        path,
        prefix,
        include_subpaths,
        methods: methods.transpose()?,
        once: args.flag("once"),
    })
}

/// Parses the start and end of a time range in `zone`. The end must be after the start.
pub(crate) fn time_range(
    start: Option<Word<'_>>,
    stop: Option<Word<'_>>,
    zone: &TimeZone,
) -> Result<(Option<Timestamp>, Option<Timestamp>), ParseError> {
    let begin = start.map(|word| value::from(word, zone)).transpose()?;
    let finish = stop.map(|word| value::until(word, zone)).transpose()?;
    match (begin, finish, stop) {
        (Some(begin), Some(finish), Some(word)) if finish <= begin => {
            Err(ParseError::new(word, "an end after the start"))
        }
        _ => Ok((begin, finish)),
    }
}
