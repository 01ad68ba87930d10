//! Builds the tables of a [`RuleSet`] from statements and performs every check that involves more
//! than one line. Each submodule builds the tables of one module of the set.

mod calendars;
mod callers;
mod models;
mod routes;
mod services;

use std::collections::HashMap;
use std::sync::Arc;

use super::{Location, RuleSet};
use crate::parse::ParseError;
use crate::parse::line::{Word, split};
use crate::parse::statement::{self, Statement};
use crate::{Diagnostic, Error};

/// A statement and its location.
type LocatedStatement<'a> = (Location, Statement<'a>);

pub(super) fn build(files: &[(Arc<str>, impl AsRef<str>)]) -> Result<RuleSet, Error> {
    let mut builder = Builder::default();
    builder.set.files = files.iter().map(|(name, _)| name.clone()).collect();
    let mut statements = Vec::new();
    for (index, (_, text)) in files.iter().enumerate() {
        builder.parse_file(index, text.as_ref(), &mut statements);
    }
    builder.build_bases(&statements);
    builder.build_adapters(&statements);
    builder.build_rollouts(&statements);
    builder.build_calendars(&statements);
    builder.build_callers(&statements);
    builder.build_limits(&statements);
    builder.build_routes(&statements);
    builder.build_services(&statements);
    builder.finish()
}

#[derive(Default)]
struct Builder<'a> {
    set: RuleSet,
    errors: Vec<(Location, ParseError)>,
    /// Interned strings, so that equal strings share one allocation.
    strings: HashMap<&'a str, Arc<str>>,
    comments: HashMap<&'a str, u32>,
}

impl<'a> Builder<'a> {
    /// Parses one file and appends its statements.
    fn parse_file(
        &mut self,
        file: usize,
        text: &'a str,
        statements: &mut Vec<LocatedStatement<'a>>,
    ) {
        for (index, line) in text.lines().enumerate() {
            let mut location = Location {
                file: file as u32,
                line: index as u32 + 1,
                comment: 0,
            };
            match split(line) {
                Ok(None) => {}
                Err(error) => self.errors.push((location, error)),
                Ok(Some(line)) => {
                    location.comment = self.comment(line.comment);
                    match statement::parse(&line) {
                        Ok(statement) => statements.push((location, statement)),
                        Err(error) => self.errors.push((location, error)),
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

    fn intern(&mut self, text: &'a str) -> Arc<str> {
        let entry = self.strings.entry(text);
        entry.or_insert_with(|| text.into()).clone()
    }

    fn report(&mut self, location: Location, word: Word<'_>, expected: impl Into<String>) {
        self.errors
            .push((location, ParseError::new(word, expected)));
    }

    /// Formats the location of a rule for an error message.
    fn describe_location(&self, location: Location) -> String {
        format!(
            "{}:{}",
            self.set.files[location.file as usize], location.line
        )
    }

    /// Sorts `items` by name and reports an error for each duplicate name.
    fn sort_unique<T>(&mut self, mut items: Vec<(Location, Word<'a>, T)>, kind: &str) -> Vec<T> {
        items.sort_by(|a, b| a.1.text.cmp(b.1.text));
        let mut kept: Vec<T> = Vec::with_capacity(items.len());
        let mut last: Option<(Location, &str)> = None;
        for (location, word, item) in items {
            match last {
                Some((first, name)) if name == word.text => {
                    let expected = format!(
                        "one {kind} of this name, see {}",
                        self.describe_location(first)
                    );
                    self.report(location, word, expected);
                }
                _ => {
                    last = Some((location, word.text));
                    kept.push(item);
                }
            }
        }
        kept
    }

    fn finish(mut self) -> Result<RuleSet, Error> {
        if self.errors.is_empty() {
            return Ok(self.set);
        }
        self.errors
            .sort_by_key(|(location, error)| (location.file, location.line, error.column));
        let files = self.set.files;
        let diagnostics = self.errors.into_iter().map(|(location, error)| Diagnostic {
            file: files[location.file as usize].clone(),
            line: location.line,
            column: error.column,
            expected: error.expected,
            found: error.found,
        });
        Err(Error {
            diagnostics: diagnostics.collect(),
        })
    }
}
