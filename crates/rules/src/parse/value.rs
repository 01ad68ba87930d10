//! Single values: names, numbers, dates, days, hours and hashes.

use std::str::FromStr;

use jiff::civil::{Date, DateTime, Weekday};
use jiff::tz::{TimeZone, TimeZoneDatabase};
use wire::Priority;

use super::Misfit;
use super::line::Word;

/// Bytes of a name at most.
const NAME_BYTES_MAX: usize = 200;

/// Bytes of a SHA-256 hash.
pub(crate) const HASH_BYTES: usize = 32;

/// Minutes of a day.
const DAY_MINUTES: u16 = 24 * 60;

/// Basis points of a hundredth part.
const PERCENT: f64 = 100.0;

/// Highest number for rates, bursts and concurrency.
const NUMBER_MAX: f64 = 1e9;

/// What stands for any caller, trade or priority.
pub(crate) const ANY: &str = "*";

/// Word between a route and its conditions, which can't be a name.
pub(crate) const WHEN: &str = "when";

/// Target of a route to the adapter that the request names, which can't be an adapter's name.
pub(crate) const NAMED: &str = "named";

/// Model name by which a request leaves the choice to the rules; no adapter's name either.
pub(crate) const AUTO: &str = "auto";

/// Reads a name.
pub(crate) fn name(word: Word<'_>) -> Result<&str, Misfit> {
    if is_name(word.text) {
        Ok(word.text)
    } else {
        let expected = "a name of letters, digits and any of `-_./`, at most 200 bytes";
        Err(Misfit::new(word, expected))
    }
}

fn is_name(text: &str) -> bool {
    let fits = |c: char| c.is_alphanumeric() || "-_./".contains(c);
    text != WHEN && !text.is_empty() && text.len() <= NAME_BYTES_MAX && text.chars().all(fits)
}

/// Reads a name, or `*` as `None`.
pub(crate) fn name_or_any(word: Word<'_>) -> Result<Option<&str>, Misfit> {
    match word.text {
        ANY => Ok(None),
        _ => name(word).map(Some),
    }
}

/// Reads names with commas between them.
pub(crate) fn names(word: Word<'_>) -> Result<Vec<&str>, Misfit> {
    parts(word).map(name).collect()
}

/// Splits a word at its commas.
pub(crate) fn parts(word: Word<'_>) -> impl Iterator<Item = Word<'_>> {
    let mut column = word.column;
    word.text.split(',').map(move |text| {
        let part = Word { text, column };
        column += text.chars().count() as u32 + 1;
        part
    })
}

/// Reads a path of a weight store.
pub(crate) fn path(word: Word<'_>) -> &str {
    word.text
}

/// Reads a priority.
pub(crate) fn priority(word: Word<'_>) -> Result<Priority, Misfit> {
    Priority::parse(word.text)
        .ok_or_else(|| Misfit::new(word, "a priority: urgent, normal or routine"))
}

/// Reads a number above zero.
pub(crate) fn positive(word: Word<'_>) -> Result<f64, Misfit> {
    let number = f64::from_str(word.text).ok();
    number
        .filter(|number| *number > 0.0 && *number <= NUMBER_MAX)
        .ok_or_else(|| Misfit::new(word, "a number above 0"))
}

/// Reads a whole number above zero.
pub(crate) fn count(word: Word<'_>) -> Result<u32, Misfit> {
    let number = u32::from_str(word.text).ok();
    number
        .filter(|number| *number > 0)
        .ok_or_else(|| Misfit::new(word, "a whole number above 0"))
}

/// Reads a percentage as basis points.
pub(crate) fn percent(word: Word<'_>) -> Result<u16, Misfit> {
    let number = f64::from_str(word.text).ok();
    number
        .filter(|number| (0.0..=100.0).contains(number))
        .map(|number| (number * PERCENT).round() as u16)
        .ok_or_else(|| Misfit::new(word, "a percentage from 0 to 100"))
}

/// Reads the hash of a token.
pub(crate) fn hash(word: Word<'_>) -> Result<[u8; HASH_BYTES], Misfit> {
    let expected = "sha256: and 64 hexadecimal digits";
    word.text
        .strip_prefix("sha256:")
        .and_then(unhex)
        .ok_or_else(|| Misfit {
            column: word.column,
            expected: expected.into(),
            found: "another form of token".into(),
        })
}

fn unhex(text: &str) -> Option<[u8; HASH_BYTES]> {
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

/// Reads a time zone. Only the bundled database counts, so that every node decides alike.
pub(crate) fn zone(word: Word<'_>) -> Result<TimeZone, Misfit> {
    TimeZoneDatabase::bundled()
        .get(word.text)
        .map_err(|_| Misfit::new(word, "a time zone such as Australia/Brisbane"))
}

/// Reads the start of a day or a minute as an instant in `zone`.
pub(crate) fn from(word: Word<'_>, zone: &TimeZone) -> Result<jiff::Timestamp, Misfit> {
    let civil = match date(word.text) {
        Some(date) => Some(date.at(0, 0, 0, 0)),
        None => datetime(word.text),
    };
    instant(word, civil, zone)
}

/// Reads the end of a day, which counts whole, or a minute as an instant in `zone`.
pub(crate) fn until(word: Word<'_>, zone: &TimeZone) -> Result<jiff::Timestamp, Misfit> {
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
) -> Result<jiff::Timestamp, Misfit> {
    civil
        .and_then(|civil| zone.to_timestamp(civil).ok())
        .ok_or_else(|| Misfit::new(word, "a date 2026-06-01 or a minute 2026-06-01T06:30"))
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

/// Reads numbers of at most four digits.
fn numbers<const N: usize>(text: &str, between: char) -> Option<[u16; N]> {
    let mut numbers = [0; N];
    let mut parts = text.split(between);
    for number in &mut numbers {
        let part = parts.next()?;
        let digits = (1..=4).contains(&part.len()) && part.bytes().all(|b| b.is_ascii_digit());
        *number = digits.then(|| part.parse().ok()).flatten()?;
    }
    let small = numbers.iter().skip(1).all(|number| *number < 100);
    (parts.next().is_none() && small).then_some(numbers)
}

/// Reads `HH:MM` as minutes since midnight; `24:00` is allowed.
fn minute(text: &str) -> Option<u16> {
    let [hour, minute] = numbers::<2>(text, ':')?;
    let total = hour.checked_mul(60)?.checked_add(minute)?;
    (minute < 60 && total <= DAY_MINUTES).then_some(total)
}

/// Reads `06:00-18:00` as minutes since midnight.
pub(crate) fn hours(word: Word<'_>) -> Result<(u16, u16), Misfit> {
    let read = || {
        let (start, end) = word.text.split_once('-')?;
        let (start, end) = (minute(start)?, minute(end)?);
        (start != end && start < DAY_MINUTES).then_some((start, end))
    };
    read().ok_or_else(|| Misfit::new(word, "hours such as 06:00-18:00"))
}

/// Names of the days, Monday first.
const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

/// A set of weekdays; bit 0 is Monday.
pub(crate) type Days = u8;

/// Reads `mon-fri,sun`.
pub(crate) fn days(word: Word<'_>) -> Result<Days, Misfit> {
    let mut days = 0;
    for part in parts(word) {
        let (first, last) = part.text.split_once('-').unwrap_or((part.text, part.text));
        let index = |name| DAYS.iter().position(|day| *day == name);
        let (Some(first), Some(last)) = (index(first), index(last)) else {
            return Err(Misfit::new(part, "days such as mon-fri,sun"));
        };
        let length = (last + DAYS.len() - first) % DAYS.len();
        for day in 0..=length {
            days |= 1 << ((first + day) % DAYS.len());
        }
    }
    Ok(days)
}

/// Returns the bit of a weekday.
pub(crate) fn bit(day: Weekday) -> Days {
    1 << day.to_monday_zero_offset()
}

/// Reads a path of a service; `true` where it ends with `/*`.
pub(crate) fn route_path(word: Word<'_>) -> Result<(&str, bool), Misfit> {
    let (path, below) = match word.text.strip_suffix("/*") {
        Some(path) => (path, true),
        None => (word.text, false),
    };
    let plain = path.is_empty() && below || crate::set::service::is_plain(path);
    if plain && !path.contains('*') {
        Ok((path, below))
    } else {
        let expected = "a path such as /desk/checkout or /desk/*, without `//`, dot segments, \
                        escapes or a slash at the end";
        Err(Misfit::new(word, expected))
    }
}

/// Reads a method of HTTP.
pub(crate) fn method(word: Word<'_>) -> Result<&str, Misfit> {
    let fits = !word.text.is_empty() && word.text.bytes().all(|b| b.is_ascii_uppercase());
    if fits {
        Ok(word.text)
    } else {
        Err(Misfit::new(word, "methods in capitals such as POST,PUT"))
    }
}
