//! Calendars, terms and the conditions of routes.

use jiff::tz::TimeZone;

use super::{Builder, Placed};
use crate::parse::Misfit;
use crate::parse::line::Word;
use crate::parse::statement::{Conditions, Statement, span};
use crate::set::term::{ALL_DAYS, Calendar, Season, Term, When};
use crate::set::{Place, find};

impl<'a> Builder<'a> {
    pub(super) fn calendars(&mut self, statements: &[Placed<'a>]) {
        let mut calendars = Vec::new();
        for (place, statement) in statements {
            if let Statement::Calendar { name, zone } = statement {
                let calendar = Calendar {
                    name: self.string(name.text),
                    zone: zone.clone(),
                    terms: Vec::new(),
                };
                calendars.push((*place, *name, calendar));
            }
        }
        self.set.calendars = self.unique(calendars, "calendar");
        for (place, statement) in statements {
            if let Statement::Term {
                calendar,
                name,
                from,
                until,
            } = statement
            {
                self.term(*place, *calendar, *name, (*from, *until));
            }
        }
        for calendar in &mut self.set.calendars {
            calendar.terms.sort_by_key(|term| term.from);
        }
        self.overlaps();
    }

    pub(super) fn term(
        &mut self,
        place: Place,
        calendar: Word<'a>,
        name: Word<'a>,
        dates: (Word<'a>, Word<'a>),
    ) {
        let Some(index) = self.find_calendar(place, calendar) else {
            return;
        };
        let zone = self.set.calendars[index as usize].zone.clone();
        let (from, until) = match span(Some(dates.0), Some(dates.1), &zone) {
            Ok((Some(from), Some(until))) => (from, until),
            Ok(_) => return,
            Err(misfit) => return self.faults.push((place, misfit)),
        };
        let known = |term: &Term| *term.name == *name.text;
        if self.set.calendars[index as usize].terms.iter().any(known) {
            self.fault(
                place,
                name,
                "a term name that the calendar does not have yet",
            );
            return;
        }
        let term = Term {
            calendar: self.string(calendar.text),
            name: self.string(name.text),
            from,
            until,
            place,
        };
        self.set.calendars[index as usize].terms.push(term);
    }

    pub(super) fn find_calendar(&mut self, place: Place, word: Word<'a>) -> Option<u32> {
        let index = find(&self.set.calendars, word.text, |calendar| &calendar.name);
        if index.is_none() {
            self.fault(place, word, "a calendar that a `calendar` line defines");
        }
        index
    }

    pub(super) fn find_term(&mut self, place: Place, calendar: u32, word: Word<'a>) -> Option<u32> {
        let terms = &self.set.calendars[calendar as usize].terms;
        let index = terms.iter().position(|term| *term.name == *word.text);
        if index.is_none() {
            self.fault(
                place,
                word,
                "a term that a `term` line of the calendar defines",
            );
        }
        index.map(|index| index as u32)
    }

    pub(super) fn overlaps(&mut self) {
        let mut found = Vec::new();
        for calendar in &self.set.calendars {
            for pair in calendar.terms.windows(2) {
                if pair[1].from < pair[0].until {
                    let earlier = self.line(pair[0].place);
                    found.push((pair[1].place, pair[1].name.clone(), earlier));
                }
            }
        }
        for (place, name, earlier) in found {
            let misfit = Misfit {
                column: 1,
                expected: format!("terms of a calendar that do not overlap, see {earlier}"),
                found: format!("{name:?}"),
            };
            self.faults.push((place, misfit));
        }
    }

    pub(super) fn when(&mut self, place: Place, written: &Conditions<'a>) -> Option<When> {
        let season = match written.term {
            None => None,
            Some((calendar, term, inside)) => {
                let calendar = self.find_calendar(place, calendar)?;
                let term = match term {
                    None => None,
                    Some(word) => Some(self.find_term(place, calendar, word)?),
                };
                Some(Season {
                    calendar,
                    term,
                    inside,
                })
            }
        };
        let clock = written.days.is_some() || written.hours.is_some();
        let zoned = clock || written.from.is_some() || written.until.is_some();
        let own = written.zone.clone();
        let of = |season: Season| self.set.calendars[season.calendar as usize].zone.clone();
        let Some(zone) = own
            .or_else(|| season.map(of))
            .or((!zoned).then_some(TimeZone::UTC))
        else {
            self.fault(
                place,
                written.start,
                "`zone` or `term` beside days, hours or dates",
            );
            return None;
        };
        let (from, until) = match span(written.from, written.until, &zone) {
            Ok(span) => span,
            Err(misfit) => {
                self.faults.push((place, misfit));
                return None;
            }
        };
        Some(When {
            season,
            days: written.days.unwrap_or(ALL_DAYS),
            hours: written.hours,
            zone,
            from,
            until,
            text: written.text.as_str().into(),
        })
    }
}
