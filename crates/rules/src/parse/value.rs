//! Parsers for single values: names, numbers, dates, days, hours, hashes and paths.

use std::str::FromStr;

use jiff::civil::{Date, DateTime, Weekday};
use jiff::tz::{TimeZone, TimeZoneDatabase};
use wire::Priority;

use super::ParseError;
use super::line::Word;

/// Maximum length of a name in bytes.
const NAME_BYTES_MAX: usize = 200;

/// Length of a SHA-256 hash in bytes.
pub(crate) const HASH_BYTES: usize = 32;

/// Minutes in a day.
const DAY_MINUTES: u16 = 24 * 60;

/// Basis points in one percent.
const BASIS_POINTS_PER_PERCENT: f64 = 100.0;

/// Maximum value of a rate.
const NUMBER_MAX: f64 = 1e9;

/// Wildcard for any caller, trade or priority.
pub(crate) const ANY: &str = "*";

/// Keyword that separates a route from its conditions. Reserved: it is not a valid name.
pub(crate) const WHEN: &str = "when";

/// Route target that stands for the adapter named in the request. Reserved: no adapter may have
/// this name.
pub(crate) const NAMED: &str = "named";

/// Model name with which a request lets the rules select the adapter. Reserved: no adapter may
/// have this name.
pub(crate) const AUTO: &str = "auto";

/// Parses a name.
pub(crate) fn name(word: Word<'_>) -> Result<&str, ParseError> {
    if is_name(word.text) {
        Ok(word.text)
    } else {
        let expected = "a name of letters, digits and any of `-_./`, at most 200 bytes";
        Err(ParseError::new(word, expected))
    }
}

fn is_name(text: &str) -> bool {
    let fits = |c: char| c.is_alphanumeric() || "-_./".contains(c);
    text != WHEN && !text.is_empty() && text.len() <= NAME_BYTES_MAX && text.chars().all(fits)
}

/// Parses a name, or `*` as `None`.
pub(crate) fn name_or_any(word: Word<'_>) -> Result<Option<&str>, ParseError> {
    match word.text {
        ANY => Ok(None),
        _ => name(word).map(Some),
    }
}

/// Parses names separated by commas.
pub(crate) fn names(word: Word<'_>) -> Result<Vec<&str>, ParseError> {
    split_commas(word).map(name).collect()
}

/// Splits a word at its commas and keeps the position of each part.
pub(crate) fn split_commas(word: Word<'_>) -> impl Iterator<Item = Word<'_>> {
    let mut column = word.column;
    word.text.split(',').map(move |text| {
        let part = Word { text, column };
        column += text.chars().count() as u32 + 1;
        part
    })
}

/// Returns a path in a weight store, which may be any word.
pub(crate) fn path(word: Word<'_>) -> &str {
    word.text
}

/// Parses a priority.
pub(crate) fn priority(word: Word<'_>) -> Result<Priority, ParseError> {
    Priority::parse(word.text)
        .ok_or_else(|| ParseError::new(word, "a priority: urgent, normal or routine"))
}

/// Parses a number above zero.
pub(crate) fn positive(word: Word<'_>) -> Result<f64, ParseError> {
    let number = f64::from_str(word.text).ok();
    number
        .filter(|number| *number > 0.0 && *number <= NUMBER_MAX)
        .ok_or_else(|| ParseError::new(word, "a number above 0"))
}

/// Parses an integer above zero.
pub(crate) fn count(word: Word<'_>) -> Result<u32, ParseError> {
    let number = u32::from_str(word.text).ok();
    number
        .filter(|number| *number > 0)
        .ok_or_else(|| ParseError::new(word, "a whole number above 0"))
}

/// Parses a percentage and returns it in basis points.
pub(crate) fn percent(word: Word<'_>) -> Result<u16, ParseError> {
    let number = f64::from_str(word.text).ok();
    number
        .filter(|number| (0.0..=100.0).contains(number))
        .map(|number| (number * BASIS_POINTS_PER_PERCENT).round() as u16)
        .ok_or_else(|| ParseError::new(word, "a percentage from 0 to 100"))
}

/// Parses the hash of a token. The error does not quote the text, which may be a token in the
/// clear.
pub(crate) fn token_hash(word: Word<'_>) -> Result<[u8; HASH_BYTES], ParseError> {
    let expected = "sha256: and 64 hexadecimal digits";
    word.text
        .strip_prefix("sha256:")
        .and_then(decode_sha256)
        .ok_or_else(|| ParseError {
            column: word.column,
            expected: expected.into(),
            found: "a token in another format".into(),
        })
}

fn decode_sha256(text: &str) -> Option<[u8; HASH_BYTES]> {
    let digits = text.as_bytes();
    if digits.len() != 2 * HASH_BYTES {
        return None;
    }
    let mut hash = [0; HASH_BYTES];
    for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
        let high = char::from(pair[0]).to_digit(16)?;
        let low = char::from(pair[1]).to_digit(16)?;
        *byte = (high * 16 + low) as u8;
    }
    Some(hash)
}

/// Parses the name of a time zone. Uses only the bundled database, never the system's, so that
/// all nodes make the same decisions.
pub(crate) fn zone(word: Word<'_>) -> Result<TimeZone, ParseError> {
    TimeZoneDatabase::bundled()
        .get(word.text)
        .map_err(|_| ParseError::new(word, "a time zone such as Australia/Brisbane"))
}

/// Parses a date or a date and time in `zone` as the start of a range. A date stands for its
/// first instant.
pub(crate) fn from(word: Word<'_>, zone: &TimeZone) -> Result<jiff::Timestamp, ParseError> {
    let civil = match date(word.text) {
        Some(date) => Some(date.at(0, 0, 0, 0)),
        None => datetime(word.text),
    };
    instant(word, civil, zone)
}

/// Parses a date or a date and time in `zone` as the exclusive end of a range. A date stands for
/// the start of the next day, so the whole day is included.
pub(crate) fn until(word: Word<'_>, zone: &TimeZone) -> Result<jiff::Timestamp, ParseError> {
    let civil = match date(word.text) {
        Some(date) => date.tomorrow().ok().map(|next| next.at(0, 0, 0, 0)),
        None => datetime(word.text),
    };
    instant(word, civil, zone)
}

fn instant(
    word: Word<'_>,
    civil: Option<DateTime>,
    zone: &TimeZone,
) -> Result<jiff::Timestamp, ParseError> {
    civil
        .and_then(|civil| zone.to_timestamp(civil).ok())
        .ok_or_else(|| ParseError::new(word, "a date 2026-06-01 or a minute 2026-06-01T06:30"))
}

fn date(text: &str) -> Option<Date> {
    let [year, month, day] = numbers(text, '-')?;
    Date::new(i16::try_from(year).ok()?, month as i8, day as i8).ok()
}

fn datetime(text: &str) -> Option<DateTime> {
    let (day, minute) = text.split_once('T')?;
    let minute = self::minute(minute).filter(|minute| *minute < DAY_MINUTES)?;
    Some(date(day)?.at((minute / 60) as i8, (minute % 60) as i8, 0, 0))
}

/// Parses `N` numbers of at most four digits, separated by `separator`. All but the first must be
/// below 100.
fn numbers<const N: usize>(text: &str, separator: char) -> Option<[u16; N]> {
    let mut numbers = [0; N];
    let mut parts = text.split(separator);
    for number in &mut numbers {
        let part = parts.next()?;
        let digits = (1..=4).contains(&part.len()) && part.bytes().all(|b| b.is_ascii_digit());
        *number = digits.then(|| part.parse().ok()).flatten()?;
    }
    let small = numbers.iter().skip(1).all(|number| *number < 100);
    (parts.next().is_none() && small).then_some(numbers)
}

/// Parses `HH:MM` as minutes since midnight. `24:00` is allowed.
fn minute(text: &str) -> Option<u16> {
    let [hour, minute] = numbers::<2>(text, ':')?;
    let total = hour.checked_mul(60)?.checked_add(minute)?;
    (minute < 60 && total <= DAY_MINUTES).then_some(total)
}

/// Parses a range such as `06:00-18:00` as minutes since midnight. The range spans midnight if the
/// end is before the start.
pub(crate) fn hours(word: Word<'_>) -> Result<(u16, u16), ParseError> {
    let read = || {
        let (start, end) = word.text.split_once('-')?;
        let (start, end) = (minute(start)?, minute(end)?);
        (start != end && start < DAY_MINUTES).then_some((start, end))
    };
    read().ok_or_else(|| ParseError::new(word, "hours such as 06:00-18:00"))
}

/// Names of the weekdays, Monday first.
const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

/// A set of weekdays; bit 0 is Monday.
pub(crate) type Days = u8;

/// Parses weekdays such as `mon-fri,sun`. A range may wrap around the end of the week.
pub(crate) fn days(word: Word<'_>) -> Result<Days, ParseError> {
    let mut days = 0;
    for part in split_commas(word) {
        let (first, last) = part.text.split_once('-').unwrap_or((part.text, part.text));
        let index = |name| DAYS.iter().position(|day| *day == name);
        let (Some(first), Some(last)) = (index(first), index(last)) else {
            return Err(ParseError::new(part, "days such as mon-fri,sun"));
        };
        let length = (last + DAYS.len() - first) % DAYS.len();
        for day in 0..=length {
            days |= 1 << ((first + day) % DAYS.len());
        }
    }
    Ok(days)
}

/// Returns the bit for a weekday.
pub(crate) fn day_bit(day: Weekday) -> Days {
    1 << day.to_monday_zero_offset()
}

/// Parses the path of a service and returns it without a trailing `/*`, and whether it had one.
pub(crate) fn service_path(word: Word<'_>) -> Result<(&str, bool), ParseError> {
    let (path, include_subpaths) = match word.text.strip_suffix("/*") {
        Some(path) => (path, true),
        None => (word.text, false),
    };
    let canonical = path.is_empty() && include_subpaths || crate::set::service::is_canonical(path);
    if canonical && !path.contains('*') {
        Ok((path, include_subpaths))
    } else {
        let expected = "a path such as /desk/checkout or /desk/*, without `//`, dot segments, \
                        escapes or a slash at the end";
        Err(ParseError::new(word, expected))
    }
}

/// Parses an HTTP method.
pub(crate) fn method(word: Word<'_>) -> Result<&str, ParseError> {
    let fits = !word.text.is_empty() && word.text.bytes().all(|b| b.is_ascii_uppercase());
    if fits {
        Ok(word.text)
    } else {
        Err(ParseError::new(
            word,
            "methods in capital letters such as POST,PUT",
        ))
    }
}
