//! Calendars with their terms, and the conditions of routes.

use std::sync::Arc;

use jiff::Timestamp;
use jiff::tz::TimeZone;

use super::{Location, RuleSet};
use crate::parse::value::{Days, day_bit};

/// A calendar term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Term {
    /// The calendar that the term belongs to, one for each country.
    pub calendar: Arc<str>,
    /// The term's name.
    pub name: Arc<str>,
    /// First instant of the term.
    pub from: Timestamp,
    /// First instant after the term.
    pub until: Timestamp,
    pub(crate) location: Location,
}

#[derive(Clone, Debug)]
pub(crate) struct Calendar {
    pub name: Arc<str>,
    pub zone: TimeZone,
    /// Sorted by start; terms of one calendar do not overlap.
    pub terms: Vec<Term>,
}

impl Calendar {
    /// Returns the index of the term that contains `at`.
    fn term(&self, at: Timestamp) -> Option<usize> {
        let index = self.terms.partition_point(|term| term.from <= at);
        let index = index.checked_sub(1)?;
        (at < self.terms[index].until).then_some(index)
    }
}

/// A condition that the time is inside or outside a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CalendarCondition {
    pub calendar: u32,
    /// Index of the term, or `None` for any term.
    pub term: Option<u32>,
    /// Whether the time must be inside the term (`term`) or outside it (`holiday`).
    pub inside: bool,
}

/// Conditions of a route; all of them must hold.
#[derive(Clone, Debug)]
pub(crate) struct Conditions {
    pub calendar_condition: Option<CalendarCondition>,
    pub days: Days,
    /// Start and end in minutes since midnight. Spans midnight if the end is not after the start.
    pub hours: Option<(u16, u16)>,
    pub zone: TimeZone,
    pub from: Option<Timestamp>,
    pub until: Option<Timestamp>,
    /// The conditions as written, with single spaces.
    pub text: Arc<str>,
}

/// Every day of the week.
pub(crate) const ALL_DAYS: Days = 0x7f;

impl Conditions {
    pub(crate) fn holds(&self, at: Timestamp, calendars: &[Calendar]) -> bool {
        self.holds_by_date(at, calendars) && self.holds_by_clock(at)
    }

    /// Returns whether the dates and the calendar condition hold, ignoring weekdays and hours.
    pub(crate) fn holds_by_date(&self, at: Timestamp, calendars: &[Calendar]) -> bool {
        self.from.is_none_or(|from| from <= at)
            && self.until.is_none_or(|until| at < until)
            && self
                .calendar_condition
                .is_none_or(|condition| condition.holds(at, calendars))
    }

    /// Returns whether the weekdays and hours hold. Hours after midnight belong to the day on which
    /// their range starts.
    fn holds_by_clock(&self, at: Timestamp) -> bool {
        if self.hours.is_none() && self.days == ALL_DAYS {
            return true;
        }
        let civil = self.zone.to_datetime(at);
        let minute = civil.hour() as u16 * 60 + civil.minute() as u16;
        let today = self.days & day_bit(civil.weekday()) != 0;
        let yesterday = self.days & day_bit(civil.weekday().previous()) != 0;
        match self.hours {
            None => today,
            Some((start, end)) if start < end => today && (start..end).contains(&minute),
            Some((start, end)) => today && minute >= start || yesterday && minute < end,
        }
    }

    /// Returns whether both conditions may hold at the same instant. Conservative: it does not look
    /// up the dates of terms, so it may return `true` for conditions that never overlap.
    pub(crate) fn may_overlap(&self, other: &Self) -> bool {
        let ordered = |until: Option<Timestamp>, from: Option<Timestamp>| {
            until.zip(from).is_none_or(|(until, from)| from < until)
        };
        let spans = ordered(self.until, other.from) && ordered(other.until, self.from);
        let conditions = self.calendar_condition.zip(other.calendar_condition);
        spans && conditions.is_none_or(|(a, b)| a.may_overlap(b)) && self.clocks_may_overlap(other)
    }

    fn clocks_may_overlap(&self, other: &Self) -> bool {
        let night = |when: &Self| when.hours.is_some_and(|(start, end)| start > end);
        if self.zone != other.zone || night(self) || night(other) {
            return true;
        }
        let hours = self.hours.zip(other.hours);
        let hours = hours.is_none_or(|(a, b)| a.0 < b.1 && b.0 < a.1);
        self.days & other.days != 0 && hours
    }
}

impl CalendarCondition {
    fn holds(self, at: Timestamp, calendars: &[Calendar]) -> bool {
        let term = calendars[self.calendar as usize].term(at);
        let inside = match self.term {
            None => term.is_some(),
            Some(name) => term == Some(name as usize),
        };
        inside == self.inside
    }

    fn may_overlap(self, other: Self) -> bool {
        if self.calendar != other.calendar {
            return true;
        }
        match (self.inside, other.inside) {
            (true, true) => self.term.zip(other.term).is_none_or(|(a, b)| a == b),
            (true, false) => other.term.is_some() && other.term != self.term,
            (false, true) => self.term.is_some() && other.term != self.term,
            (false, false) => true,
        }
    }
}

impl RuleSet {
    /// Returns the terms of every calendar, by calendar and start.
    pub fn terms(&self) -> impl Iterator<Item = &Term> {
        self.calendars.iter().flat_map(|calendar| &calendar.terms)
    }
}
