//! Calendars of countries and the conditions of routes.

use std::sync::Arc;

use jiff::Timestamp;
use jiff::tz::TimeZone;

use super::{Place, RuleSet};
use crate::parse::value::{Days, bit};

/// A calendar term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Term {
    /// The calendar that the term belongs to, one for each country.
    pub calendar: Arc<str>,
    /// The term's name.
    pub name: Arc<str>,
    /// First instant of the term.
    pub from: Timestamp,
    /// First instant behind the term.
    pub until: Timestamp,
    pub(crate) place: Place,
}

#[derive(Clone, Debug)]
pub(crate) struct Calendar {
    pub name: Arc<str>,
    pub zone: TimeZone,
    /// Sorted by start; terms of one calendar do not overlap.
    pub terms: Vec<Term>,
}

impl Calendar {
    /// Returns the index of the term that holds `at`.
    fn term(&self, at: Timestamp) -> Option<usize> {
        let index = self.terms.partition_point(|term| term.from <= at);
        let index = index.checked_sub(1)?;
        (at < self.terms[index].until).then_some(index)
    }
}

/// What a route asks of the calendar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Season {
    pub calendar: u32,
    /// One term of it, or any.
    pub term: Option<u32>,
    /// Whether the time has to be inside the term or outside.
    pub inside: bool,
}

/// Conditions of a route; all of them must hold.
#[derive(Clone, Debug)]
pub(crate) struct When {
    pub season: Option<Season>,
    pub days: Days,
    /// Minutes since midnight; past midnight where the end is not behind the start.
    pub hours: Option<(u16, u16)>,
    pub zone: TimeZone,
    pub from: Option<Timestamp>,
    pub until: Option<Timestamp>,
    /// The conditions as written, with single spaces.
    pub text: Arc<str>,
}

/// Every day of the week.
pub(crate) const ALL_DAYS: Days = 0x7f;

impl When {
    pub(crate) fn holds(&self, at: Timestamp, calendars: &[Calendar]) -> bool {
        self.holds_by_date(at, calendars) && self.clock(at)
    }

    /// Tells whether dates and calendar hold, whatever the day of the week and the hour.
    pub(crate) fn holds_by_date(&self, at: Timestamp, calendars: &[Calendar]) -> bool {
        self.from.is_none_or(|from| from <= at)
            && self.until.is_none_or(|until| at < until)
            && self.season.is_none_or(|season| season.holds(at, calendars))
    }

    /// Tells whether days and hours hold. Hours past midnight belong to the day they start on.
    fn clock(&self, at: Timestamp) -> bool {
        if self.hours.is_none() && self.days == ALL_DAYS {
            return true;
        }
        let civil = self.zone.to_datetime(at);
        let minute = civil.hour() as u16 * 60 + civil.minute() as u16;
        let today = self.days & bit(civil.weekday()) != 0;
        let yesterday = self.days & bit(civil.weekday().previous()) != 0;
        match self.hours {
            None => today,
            Some((start, end)) if start < end => today && (start..end).contains(&minute),
            Some((start, end)) => today && minute >= start || yesterday && minute < end,
        }
    }

    /// Tells whether both conditions may hold at one instant, as far as that shows without a
    /// walk through the calendar.
    pub(crate) fn meets(&self, other: &Self) -> bool {
        let ordered = |until: Option<Timestamp>, from: Option<Timestamp>| {
            until.zip(from).is_none_or(|(until, from)| from < until)
        };
        let spans = ordered(self.until, other.from) && ordered(other.until, self.from);
        let seasons = self.season.zip(other.season);
        spans && seasons.is_none_or(|(a, b)| a.meets(b)) && self.clocks_meet(other)
    }

    fn clocks_meet(&self, other: &Self) -> bool {
        let night = |when: &Self| when.hours.is_some_and(|(start, end)| start > end);
        if self.zone != other.zone || night(self) || night(other) {
            return true;
        }
        let hours = self.hours.zip(other.hours);
        let hours = hours.is_none_or(|(a, b)| a.0 < b.1 && b.0 < a.1);
        self.days & other.days != 0 && hours
    }
}

impl Season {
    fn holds(self, at: Timestamp, calendars: &[Calendar]) -> bool {
        let term = calendars[self.calendar as usize].term(at);
        let inside = match self.term {
            None => term.is_some(),
            Some(name) => term == Some(name as usize),
        };
        inside == self.inside
    }

    fn meets(self, other: Self) -> bool {
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
