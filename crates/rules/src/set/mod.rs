//! The checked rules of one revision.
//!
//! `build` turns statements into the sorted tables of [`model`], [`term`], [`caller`], [`route`]
//! and [`service`]. Tables refer to each other by index, so that a match compares numbers after
//! a few binary searches by name.

mod build;
pub(crate) mod caller;
pub(crate) mod model;
pub(crate) mod route;
pub(crate) mod service;
pub(crate) mod term;
pub(crate) mod upcoming;

use std::fmt;
use std::sync::Arc;

use crate::Error;

/// Where a rule stands, in a compact form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    pub file: u32,
    pub line: u32,
    /// Index of the comment.
    pub asked: u32,
}

/// A rule's line and who asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule<'a> {
    /// Name of the file.
    pub file: &'a Arc<str>,
    /// Line, from 1.
    pub line: u32,
    /// The comment of the line: who asked, and why.
    pub comment: &'a Arc<str>,
}

impl fmt::Display for Rule<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{} ({})", self.file, self.line, self.comment)
    }
}

/// The checked rules of one revision; immutable.
#[derive(Clone, Debug, Default)]
pub struct RuleSet {
    pub(crate) files: Vec<Arc<str>>,
    pub(crate) comments: Vec<Arc<str>>,
    pub(crate) models: model::Models,
    pub(crate) calendars: Vec<term::Calendar>,
    pub(crate) callers: caller::Callers,
    pub(crate) routes: route::Routes,
    pub(crate) services: service::Services,
}

impl RuleSet {
    /// Parses and checks the rules in `files`, given as names and texts in their order.
    ///
    /// # Errors
    ///
    /// Returns every fault found; one is enough to refuse the whole revision.
    pub fn parse<N, T>(files: impl IntoIterator<Item = (N, T)>) -> Result<Self, Error>
    where
        N: Into<Arc<str>>,
        T: AsRef<str>,
    {
        let files = files.into_iter().map(|(name, text)| (name.into(), text));
        build::build(&files.collect::<Vec<_>>())
    }

    pub(crate) fn rule(&self, place: Place) -> Rule<'_> {
        Rule {
            file: &self.files[place.file as usize],
            line: place.line,
            comment: &self.comments[place.asked as usize],
        }
    }
}

/// Returns the index of `name` in `list`, which is sorted by it.
pub(crate) fn find<T>(list: &[T], name: &str, by: impl Fn(&T) -> &str) -> Option<u32> {
    let index = list.binary_search_by(|item| by(item).cmp(name)).ok()?;
    u32::try_from(index).ok()
}
