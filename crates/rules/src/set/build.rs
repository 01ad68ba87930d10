//! From statements to tables, with every check that needs more than one line.

use std::collections::HashMap;
use std::sync::Arc;

use jiff::tz::TimeZone;
use wire::Model;

use super::caller::{Bound, Caller, Limit, Token};
use super::model::{Adapter, Base, Pool, Rollout, Row, Use};
use super::route::{ANY, Key, Route, Target};
use super::service::{Path, Repeat};
use super::term::{ALL_DAYS, Calendar, Season, Term, When};
use super::{Place, Set, find};
use crate::parse::line::{Word, split};
use crate::parse::statement::{self, Conditions, Statement, span};
use crate::parse::{Misfit, statement::Target as Written, value};
use crate::{Error, Fault};

/// A statement and where it stands.
type Placed<'a> = (Place, Statement<'a>);

pub(super) fn build(files: &[(Arc<str>, impl AsRef<str>)]) -> Result<Set, Error> {
    let mut builder = Builder::default();
    builder.set.files = files.iter().map(|(name, _)| name.clone()).collect();
    let mut statements = Vec::new();
    for (index, (_, text)) in files.iter().enumerate() {
        builder.read(index, text.as_ref(), &mut statements);
    }
    builder.bases(&statements);
    builder.adapters(&statements);
    builder.rollouts(&statements);
    builder.calendars(&statements);
    builder.callers(&statements);
    builder.limits(&statements);
    builder.routes(&statements);
    builder.services(&statements);
    builder.finish()
}

#[derive(Default)]
struct Builder<'a> {
    set: Set,
    faults: Vec<(Place, Misfit)>,
    /// One copy of each string.
    strings: HashMap<&'a str, Arc<str>>,
    comments: HashMap<&'a str, u32>,
}

impl<'a> Builder<'a> {
    /// Parses one file.
    fn read(&mut self, file: usize, text: &'a str, statements: &mut Vec<Placed<'a>>) {
        for (index, line) in text.lines().enumerate() {
            let mut place = Place {
                file: file as u32,
                line: index as u32 + 1,
                asked: 0,
            };
            match split(line) {
                Ok(None) => {}
                Err(misfit) => self.faults.push((place, misfit)),
                Ok(Some(line)) => {
                    place.asked = self.comment(line.asked);
                    match statement::parse(&line) {
                        Ok(statement) => statements.push((place, statement)),
                        Err(misfit) => self.faults.push((place, misfit)),
                    }
                }
            }
        }
    }

    fn comment(&mut self, text: &'a str) -> u32 {
        let comments = &mut self.set.comments;
        *self.comments.entry(text).or_insert_with(|| {
            comments.push(text.into());
            comments.len() as u32 - 1
        })
    }

    fn string(&mut self, text: &'a str) -> Arc<str> {
        let entry = self.strings.entry(text);
        entry.or_insert_with(|| text.into()).clone()
    }

    fn fault(&mut self, place: Place, word: Word<'_>, expected: impl Into<String>) {
        self.faults.push((place, Misfit::new(word, expected)));
    }

    /// Names the line of a rule for a fault.
    fn line(&self, place: Place) -> String {
        format!("{}:{}", self.set.files[place.file as usize], place.line)
    }

    /// Sorts `items` by name; all but the first of each name are faults.
    fn unique<T>(&mut self, mut items: Vec<(Place, Word<'a>, T)>, kind: &str) -> Vec<T> {
        items.sort_by(|a, b| a.1.text.cmp(b.1.text));
        let mut kept: Vec<T> = Vec::with_capacity(items.len());
        let mut last: Option<(Place, &str)> = None;
        for (place, word, item) in items {
            match last {
                Some((first, name)) if name == word.text => {
                    let expected = format!("one {kind} of this name, see {}", self.line(first));
                    self.fault(place, word, expected);
                }
                _ => {
                    last = Some((place, word.text));
                    kept.push(item);
                }
            }
        }
        kept
    }

    fn bases(&mut self, statements: &[Placed<'a>]) {
        let mut pools = Vec::new();
        let mut bases = Vec::new();
        for (place, statement) in statements {
            match statement {
                Statement::Pool { name, base } => {
                    let serves = match base {
                        Some(base) => Use::Base(self.string(base.text)),
                        None => Use::Service,
                    };
                    let pool = Pool {
                        name: self.string(name.text),
                        serves,
                    };
                    pools.push((*place, *name, pool));
                }
                Statement::Base { name, store } => {
                    let base = Base {
                        name: self.string(name.text),
                        store: self.string(store),
                        pool: "".into(),
                    };
                    bases.push((*place, *name, base));
                }
                _ => {}
            }
        }
        let places: Vec<(Place, Word<'a>)> = bases.iter().map(|base| (base.0, base.1)).collect();
        self.set.models.pools = self.unique(pools, "pool");
        self.set.models.bases = self.unique(bases, "base");
        self.join_pools(statements);
        for (place, word) in places {
            let index = self.set.models.base(word.text);
            if index.is_some_and(|index| self.set.models.bases[index as usize].pool.is_empty()) {
                self.fault(place, word, "a `pool` line with this base");
            }
        }
    }

    /// Gives each base its pool.
    fn join_pools(&mut self, statements: &[Placed<'a>]) {
        for (place, statement) in statements {
            let Statement::Pool {
                name,
                base: Some(base),
            } = statement
            else {
                continue;
            };
            let Some(index) = self.set.models.base(base.text) else {
                self.fault(*place, *base, "a base that a `base` line defines");
                continue;
            };
            let taken = &self.set.models.bases[index as usize].pool;
            if !taken.is_empty() && **taken != *name.text {
                let expected = format!("one pool of a base, which has {taken}");
                self.fault(*place, *base, expected);
                continue;
            }
            let pool = self.string(name.text);
            self.set.models.bases[index as usize].pool = pool;
        }
    }

    fn adapters(&mut self, statements: &[Placed<'a>]) {
        let mut lines = Vec::new();
        for (place, statement) in statements {
            if let Statement::Adapter {
                name,
                base,
                version,
                path,
            } = statement
            {
                lines.push((*place, *name, *base, *version, *path));
            }
        }
        // Stable: lines of one adapter stay in their order.
        lines.sort_by(|a, b| a.1.text.cmp(b.1.text));
        self.set.models.rows.reserve_exact(lines.len());
        for group in lines.chunk_by(|a, b| a.1.text == b.1.text) {
            self.adapter(group);
        }
    }

    /// Adds the versions that the lines of one adapter define.
    fn adapter(&mut self, lines: &[(Place, Word<'a>, Option<Word<'a>>, Word<'a>, &'a str)]) {
        let (place, name, base, initial, _) = lines[0];
        let Some(base) = base else {
            self.fault(place, name, "`base` on the first line of an adapter");
            return;
        };
        let Some(index) = self.set.models.base(base.text) else {
            self.fault(place, base, "a base that a `base` line defines");
            return;
        };
        for (place, _, other, ..) in lines {
            if let Some(other) = other.filter(|other| other.text != base.text) {
                let expected = format!("the adapter's base {}", base.text);
                self.fault(*place, other, expected);
            }
        }
        let adapter: Arc<str> = name.text.into();
        let rows = lines.iter().map(|(place, _, _, version, path)| {
            let model = Model::new(adapter.clone(), self.string(version.text));
            let path = (*path).into();
            let place = *place;
            (place, *version, Row { model, path, place })
        });
        let rows = rows.collect();
        let rows = self.unique(rows, "version of the adapter");
        let first = self.set.models.rows.len() as u32;
        let initial = find(&rows, initial.text, |row| &row.model.version).unwrap_or_default();
        self.set.models.adapters.push(Adapter {
            name: adapter,
            base: index,
            first,
            count: rows.len() as u32,
            initial: first + initial,
            rollout: None,
        });
        self.set.models.rows.extend(rows);
    }

    /// Looks up an adapter; `None` with a fault where it is not defined.
    fn find_adapter(&mut self, place: Place, word: Word<'a>) -> Option<u32> {
        let index = self.set.models.adapter(word.text);
        if index.is_none() {
            self.fault(place, word, "an adapter that an `adapter` line defines");
        }
        index
    }

    fn find_version(&mut self, place: Place, adapter: u32, word: Word<'a>) -> Option<u32> {
        let row = self.set.models.version(adapter, word.text);
        if row.is_none() {
            self.fault(place, word, "a version that a line of the adapter defines");
        }
        row
    }

    fn rollouts(&mut self, statements: &[Placed<'a>]) {
        for (place, statement) in statements {
            let Statement::Rollout {
                adapter,
                from,
                to,
                share,
            } = statement
            else {
                continue;
            };
            let Some(index) = self.find_adapter(*place, *adapter) else {
                continue;
            };
            let rows = (
                self.find_version(*place, index, *from),
                self.find_version(*place, index, *to),
            );
            let (Some(from), Some(row)) = rows else {
                continue;
            };
            if from == row {
                self.fault(*place, *to, "another version than `from`");
            }
            let earlier = &self.set.models.adapters[index as usize].rollout;
            if let Some(earlier) = earlier {
                let expected = format!(
                    "one rollout of an adapter, see {}",
                    self.line(earlier.place)
                );
                self.fault(*place, *adapter, expected);
                continue;
            }
            let rollout = Rollout {
                from,
                to: row,
                share: *share,
                place: *place,
            };
            self.set.models.adapters[index as usize].rollout = Some(Box::new(rollout));
        }
    }

    fn calendars(&mut self, statements: &[Placed<'a>]) {
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

    fn term(
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

    fn find_calendar(&mut self, place: Place, word: Word<'a>) -> Option<u32> {
        let index = find(&self.set.calendars, word.text, |calendar| &calendar.name);
        if index.is_none() {
            self.fault(place, word, "a calendar that a `calendar` line defines");
        }
        index
    }

    fn overlaps(&mut self) {
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

    fn callers(&mut self, statements: &[Placed<'a>]) {
        let mut callers = Vec::new();
        let mut tokens: Vec<(Place, Word<'a>, [u8; value::HASH_BYTES])> = Vec::new();
        for (place, statement) in statements {
            let Statement::Caller {
                name,
                tokens: hashes,
                trades,
                highest,
            } = statement
            else {
                continue;
            };
            let trades = trades.as_ref();
            let caller = Caller {
                name: self.string(name.text),
                trades: trades.map(|trades| trades.iter().map(|t| self.string(t)).collect()),
                highest: *highest,
            };
            callers.push((*place, *name, caller));
            tokens.extend(hashes.iter().map(|hash| (*place, *name, *hash)));
        }
        let mut callers = self.unique(callers, "caller");
        let other = callers
            .iter()
            .position(|caller| &*caller.name == value::ANY);
        self.set.callers.other = other.map(|index| callers.remove(index));
        self.set.callers.list = callers;
        tokens.sort_by_key(|token| token.2);
        for pair in tokens.windows(2) {
            if pair[0].2 == pair[1].2 {
                let expected = format!("a token of its own, see {}", self.line(pair[0].0));
                self.fault(pair[1].0, pair[1].1, expected);
            }
        }
        let index = |(_, name, hash): (Place, Word<'a>, _)| {
            let caller = self.set.callers.index(name.text)?;
            Some(Token { hash, caller })
        };
        self.set.callers.tokens = tokens.into_iter().filter_map(index).collect();
    }

    fn limits(&mut self, statements: &[Placed<'a>]) {
        let mut limits = Vec::new();
        for (place, statement) in statements {
            let Statement::Limit {
                caller,
                rate,
                burst,
                concurrent,
            } = statement
            else {
                continue;
            };
            if caller.text != value::ANY {
                self.find_caller(*place, *caller);
            }
            let limit = Limit {
                rate: *rate,
                burst: *burst,
                concurrent: *concurrent,
            };
            let bound = Bound {
                caller: self.string(caller.text),
                limit,
            };
            limits.push((*place, *caller, bound));
        }
        let mut limits = self.unique(limits, "limit");
        let usual = limits.iter().position(|bound| &*bound.caller == value::ANY);
        self.set.callers.usual = usual.map(|index| limits.remove(index));
        self.set.callers.limits = limits;
    }

    fn find_caller(&mut self, place: Place, word: Word<'a>) -> Option<u32> {
        let index = self.set.callers.index(word.text);
        if index.is_none() {
            self.fault(place, word, "a caller that a `caller` line declares");
        }
        index
    }

    fn routes(&mut self, statements: &[Placed<'a>]) {
        let mut trades = Vec::new();
        for (_, statement) in statements {
            if let Statement::Route(route) = statement {
                trades.extend(route.trade.map(|trade| self.string(trade.text)));
            }
        }
        trades.sort();
        trades.dedup();
        self.set.routes.trades = trades;
        let mut list = Vec::new();
        for (place, statement) in statements {
            if let Statement::Route(route) = statement {
                list.extend(self.route(*place, route, list.len() as u32));
            }
        }
        list.sort_by_key(|route| (route.key, route.target.adapter(), route.order));
        let fixed = |index: &u32| list[*index as usize].target != Target::Named;
        let mut indexes: Vec<u32> = (0..list.len() as u32).filter(fixed).collect();
        indexes.sort_by_key(|index| (list[*index as usize].key, list[*index as usize].order));
        self.set.routes.fixed = indexes;
        self.set.routes.list = list;
    }

    fn route(&mut self, place: Place, route: &statement::Route<'a>, order: u32) -> Option<Route> {
        let caller = match route.caller {
            None => ANY,
            Some(word) => self.find_caller(place, word)?,
        };
        let trades = &self.set.routes.trades;
        let trade = route.trade;
        let trade = trade.and_then(|word| find(trades, word.text, |trade| trade));
        let target = match route.to {
            Written::Named => Target::Named,
            Written::Adapter(adapter, version) => {
                let adapter = self.find_adapter(place, adapter)?;
                let row = match version {
                    None => None,
                    Some(word) => Some(self.find_version(place, adapter, word)?),
                };
                Target::Adapter(adapter, row)
            }
        };
        let when = match &route.when {
            None => None,
            Some(conditions) => Some(Box::new(self.when(place, conditions)?)),
        };
        Some(Route {
            key: Key {
                caller,
                trade: trade.unwrap_or(ANY),
                priority: route.priority.map_or(ANY, |priority| priority as u32),
            },
            target,
            when,
            place,
            order,
        })
    }

    fn when(&mut self, place: Place, written: &Conditions<'a>) -> Option<When> {
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

    fn find_term(&mut self, place: Place, calendar: u32, word: Word<'a>) -> Option<u32> {
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

    fn services(&mut self, statements: &[Placed<'a>]) {
        let mut paths: Vec<(Word<'a>, Path)> = Vec::new();
        for (place, statement) in statements {
            let Statement::Service {
                name,
                pool,
                path,
                stem,
                below,
                methods,
                once,
            } = statement
            else {
                continue;
            };
            self.check_service_pool(*place, *pool);
            let any = vec![None];
            let methods = methods.as_ref().map_or(any, |list| {
                list.iter().map(|method| Some(*method)).collect()
            });
            for method in methods {
                let row = Path {
                    stem: self.string(stem),
                    below: *below,
                    method: method.map(|method| self.string(method.text)),
                    service: self.string(name.text),
                    pool: self.string(pool.text),
                    repeat: if *once {
                        Repeat::Once
                    } else {
                        Repeat::Idempotent
                    },
                    place: *place,
                };
                paths.push((method.unwrap_or(*path), row));
            }
        }
        paths.sort_by(|(_, a), (_, b)| a.key().cmp(&b.key()));
        for pair in paths.windows(2) {
            if pair[0].1.key() == pair[1].1.key() {
                let earlier = self.line(pair[0].1.place);
                let expected = format!("one line for a path and method, see {earlier}");
                self.fault(pair[1].1.place, pair[1].0, expected);
            }
        }
        self.set.services.paths = paths.into_iter().map(|(_, path)| path).collect();
    }

    fn check_service_pool(&mut self, place: Place, word: Word<'a>) {
        let index = self.set.models.pool(word.text);
        let serves = index.map(|index| &self.set.models.pools[index as usize].serves);
        if serves != Some(&Use::Service) {
            self.fault(
                place,
                word,
                "a pool that a `pool NAME service` line defines",
            );
        }
    }

    fn finish(mut self) -> Result<Set, Error> {
        if self.faults.is_empty() {
            return Ok(self.set);
        }
        self.faults
            .sort_by_key(|(place, misfit)| (place.file, place.line, misfit.column));
        let files = self.set.files;
        let faults = self.faults.into_iter().map(|(place, misfit)| Fault {
            file: files[place.file as usize].clone(),
            line: place.line,
            column: misfit.column,
            expected: misfit.expected,
            found: misfit.found,
        });
        Err(Error {
            faults: faults.collect(),
        })
    }
}
