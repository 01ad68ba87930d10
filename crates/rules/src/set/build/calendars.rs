//! Calendars, terms and the conditions of routes.

use jiff::tz::TimeZone;

use super::{Builder, LocatedStatement};
use crate::parse::ParseError;
use crate::parse::line::Word;
use crate::parse::statement::{ConditionsSyntax, Statement, time_range};
use crate::set::calendar::{ALL_DAYS, Calendar, CalendarCondition, Conditions, Term};
use crate::set::{Location, find};

impl<'a> Builder<'a> {
    pub(super) fn build_calendars(&mut self, statements: &[LocatedStatement<'a>]) {
        let mut calendars = Vec::new();
        for (location, statement) in statements {
            if let Statement::Calendar { name, zone } = statement {
                let calendar = Calendar {
                    name: self.intern(name.text),
                    zone: zone.clone(),
                    terms: Vec::new(),
                };
                calendars.push((*location, *name, calendar));
            }
        }
        self.set.calendars = self.sort_unique(calendars, "calendar");
        for (location, statement) in statements {
            if let Statement::Term {
                calendar,
                name,
                from,
                until,
            } = statement
            {
                self.build_term(*location, *calendar, *name, (*from, *until));
            }
        }
        for calendar in &mut self.set.calendars {
            calendar.terms.sort_by_key(|term| term.from);
        }
        self.check_term_overlaps();
    }

    pub(super) fn build_term(
        &mut self,
        location: Location,
        calendar: Word<'a>,
        name: Word<'a>,
        dates: (Word<'a>, Word<'a>),
    ) {
        let Some(index) = self.find_calendar(location, calendar) else {
            return;
        };
        let zone = self.set.calendars[index as usize].zone.clone();
        let (from, until) = match time_range(Some(dates.0), Some(dates.1), &zone) {
            Ok((Some(from), Some(until))) => (from, until),
            Ok(_) => return,
            Err(error) => return self.errors.push((location, error)),
        };
        let has_name = |term: &Term| *term.name == *name.text;
        if self.set.calendars[index as usize]
            .terms
            .iter()
            .any(has_name)
        {
            self.report(
                location,
                name,
                "a term name that the calendar does not have yet",
            );
            return;
        }
        let term = Term {
            calendar: self.intern(calendar.text),
            name: self.intern(name.text),
            from,
            until,
            location,
        };
        self.set.calendars[index as usize].terms.push(term);
    }

    pub(super) fn find_calendar(&mut self, location: Location, word: Word<'a>) -> Option<u32> {
        let index = find(&self.set.calendars, word.text, |calendar| &calendar.name);
        if index.is_none() {
            self.report(location, word, "a calendar that a `calendar` line defines");
        }
        index
    }

    pub(super) fn find_term(
        &mut self,
        location: Location,
        calendar: u32,
        word: Word<'a>,
    ) -> Option<u32> {
        let terms = &self.set.calendars[calendar as usize].terms;
        let index = terms.iter().position(|term| *term.name == *word.text);
        if index.is_none() {
            self.report(
                location,
                word,
                "a term that a `term` line of the calendar defines",
            );
        }
        index.map(|index| index as u32)
    }

    pub(super) fn check_term_overlaps(&mut self) {
        let mut found = Vec::new();
        for calendar in &self.set.calendars {
            for pair in calendar.terms.windows(2) {
                if pair[1].from < pair[0].until {
                    let earlier = self.describe_location(pair[0].location);
                    found.push((pair[1].location, pair[1].name.clone(), earlier));
                }
            }
        }
        for (location, name, earlier) in found {
            let error = ParseError {
                column: 1,
                expected: format!("terms of a calendar that do not overlap, see {earlier}"),
                found: format!("{name:?}"),
            };
            self.errors.push((location, error));
        }
    }

    pub(super) fn build_when(
        &mut self,
        location: Location,
        syntax: &ConditionsSyntax<'a>,
    ) -> Option<Conditions> {
        let calendar_condition = match syntax.term {
            None => None,
            Some((calendar, term, inside)) => {
                let calendar = self.find_calendar(location, calendar)?;
                let term = match term {
                    None => None,
                    Some(word) => Some(self.find_term(location, calendar, word)?),
                };
                Some(CalendarCondition {
                    calendar,
                    term,
                    inside,
                })
            }
        };
        let clock = syntax.days.is_some() || syntax.hours.is_some();
        let zoned = clock || syntax.from.is_some() || syntax.until.is_some();
        let own = syntax.zone.clone();
        let zone_of = |calendar_condition: CalendarCondition| {
            self.set.calendars[calendar_condition.calendar as usize]
                .zone
                .clone()
        };
        let Some(zone) = own
            .or_else(|| calendar_condition.map(zone_of))
            .or((!zoned).then_some(TimeZone::UTC))
        else {
            self.report(
                location,
                syntax.start,
                "`zone` or `term` beside days, hours or dates",
            );
            return None;
        };
        let (from, until) = match time_range(syntax.from, syntax.until, &zone) {
            Ok(range) => range,
            Err(error) => {
                self.errors.push((location, error));
                return None;
            }
        };
        Some(Conditions {
            calendar_condition,
            days: syntax.days.unwrap_or(ALL_DAYS),
            hours: syntax.hours,
            zone,
            from,
            until,
            text: syntax.text.as_str().into(),
        })
    }
}
