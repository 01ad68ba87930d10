//! From statements to tables, with every check that needs more than one line. Each file adds the
//! tables of one module of the set to the [`Builder`].

mod calendars;
mod callers;
mod models;
mod routes;
mod services;

use std::collections::HashMap;
use std::sync::Arc;

use super::{Place, RuleSet};
use crate::parse::Misfit;
use crate::parse::line::{Word, split};
use crate::parse::statement::{self, Statement};
use crate::{Error, Fault};

/// A statement and where it stands.
type Placed<'a> = (Place, Statement<'a>);

pub(super) fn build(files: &[(Arc<str>, impl AsRef<str>)]) -> Result<RuleSet, Error> {
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
    set: RuleSet,
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

    fn finish(mut self) -> Result<RuleSet, Error> {
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
            diagnostics: faults.collect(),
        })
    }
}
