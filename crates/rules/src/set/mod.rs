//! The validated rules of one revision.
//!
//! `build` turns statements into the sorted tables of [`model`], [`calendar`], [`caller`],
//! [`route`] and [`service`]. Tables refer to each other by index, so that matching compares
//! integers after a few binary searches by name.

mod build;
pub(crate) mod calendar;
pub(crate) mod caller;
pub(crate) mod model;
pub(crate) mod route;
pub(crate) mod service;
pub(crate) mod upcoming;

use std::fmt;
use std::sync::Arc;

use crate::Error;

/// The compact position of a rule, resolved by [`RuleSet::rule`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Location {
    pub file: u32,
    pub line: u32,
    /// Index into [`RuleSet::comments`].
    pub comment: u32,
}

/// The position of a rule and its comment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule<'a> {
    /// File name.
    pub file: &'a Arc<str>,
    /// Line number, starting at 1.
    pub line: u32,
    /// The comment of the line: who requested the rule, and why.
    pub comment: &'a Arc<str>,
}

impl fmt::Display for Rule<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{} ({})", self.file, self.line, self.comment)
    }
}

/// The validated, immutable rules of one revision.
#[derive(Clone, Debug, Default)]
pub struct RuleSet {
    pub(crate) files: Vec<Arc<str>>,
    pub(crate) comments: Vec<Arc<str>>,
    pub(crate) models: model::Models,
    pub(crate) calendars: Vec<calendar::Calendar>,
    pub(crate) callers: caller::Callers,
    pub(crate) routes: route::Routes,
    pub(crate) services: service::Services,
}

impl RuleSet {
    /// Parses and validates the rules in `files`, which are pairs of name and text in order.
    ///
    /// # Errors
    ///
    /// Returns every error found. A single one rejects the whole revision.
    pub fn parse<N, T>(files: impl IntoIterator<Item = (N, T)>) -> Result<Self, Error>
    where
        N: Into<Arc<str>>,
        T: AsRef<str>,
    {
        let files = files.into_iter().map(|(name, text)| (name.into(), text));
        build::build(&files.collect::<Vec<_>>())
    }

    pub(crate) fn rule(&self, location: Location) -> Rule<'_> {
        Rule {
            file: &self.files[location.file as usize],
            line: location.line,
            comment: &self.comments[location.comment as usize],
        }
    }
}

/// Returns the index of the item named `name` in `list`, which must be sorted by name.
pub(crate) fn find<T>(list: &[T], name: &str, by: impl Fn(&T) -> &str) -> Option<u32> {
    let index = list.binary_search_by(|item| by(item).cmp(name)).ok()?;
    u32::try_from(index).ok()
}
