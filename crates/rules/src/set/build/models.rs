//! Base models, pools, adapters, versions and rollouts.

use std::sync::Arc;

use wire::Model;

use super::{Builder, LocatedStatement};
use crate::parse::line::Word;
use crate::parse::statement::Statement;
use crate::set::model::{Adapter, Base, Pool, PoolKind, Rollout, VersionRow};
use crate::set::{Location, find};

impl<'a> Builder<'a> {
    pub(super) fn build_bases(&mut self, statements: &[LocatedStatement<'a>]) {
        let mut pools = Vec::new();
        let mut bases = Vec::new();
        for (location, statement) in statements {
            match statement {
                Statement::Pool { name, base } => {
                    let kind = match base {
                        Some(base) => PoolKind::Base(self.intern(base.text)),
                        None => PoolKind::Service,
                    };
                    let pool = Pool {
                        name: self.intern(name.text),
                        kind,
                    };
                    pools.push((*location, *name, pool));
                }
                Statement::Base { name, store } => {
                    let base = Base {
                        name: self.intern(name.text),
                        store: self.intern(store),
                        pool: "".into(),
                    };
                    bases.push((*location, *name, base));
                }
                _ => {}
            }
        }
        let locations: Vec<(Location, Word<'a>)> =
            bases.iter().map(|base| (base.0, base.1)).collect();
        self.set.models.pools = self.sort_unique(pools, "pool");
        self.set.models.bases = self.sort_unique(bases, "base");
        self.assign_pools(statements);
        for (location, word) in locations {
            let index = self.set.models.base(word.text);
            if index.is_some_and(|index| self.set.models.bases[index as usize].pool.is_empty()) {
                self.report(location, word, "a `pool` line with this base");
            }
        }
    }

    /// Assigns each base model its pool.
    pub(super) fn assign_pools(&mut self, statements: &[LocatedStatement<'a>]) {
        for (location, statement) in statements {
            let Statement::Pool {
                name,
                base: Some(base),
            } = statement
            else {
                continue;
            };
            let Some(index) = self.set.models.base(base.text) else {
                self.report(*location, *base, "a base that a `base` line defines");
                continue;
            };
            let taken = &self.set.models.bases[index as usize].pool;
            if !taken.is_empty() && **taken != *name.text {
                let expected = format!("one pool of a base, which has {taken}");
                self.report(*location, *base, expected);
                continue;
            }
            let pool = self.intern(name.text);
            self.set.models.bases[index as usize].pool = pool;
        }
    }

    pub(super) fn build_adapters(&mut self, statements: &[LocatedStatement<'a>]) {
        let mut lines = Vec::new();
        for (location, statement) in statements {
            if let Statement::Adapter {
                name,
                base,
                version,
                path,
            } = statement
            {
                lines.push((*location, *name, *base, *version, *path));
            }
        }
        // A stable sort keeps the lines of one adapter in order.
        lines.sort_by(|a, b| a.1.text.cmp(b.1.text));
        self.set.models.rows.reserve_exact(lines.len());
        for group in lines.chunk_by(|a, b| a.1.text == b.1.text) {
            self.build_adapter(group);
        }
    }

    /// Adds the versions that the lines of one adapter define.
    pub(super) fn build_adapter(
        &mut self,
        lines: &[(Location, Word<'a>, Option<Word<'a>>, Word<'a>, &'a str)],
    ) {
        let (location, name, base, initial, _) = lines[0];
        let Some(base) = base else {
            self.report(location, name, "`base` on the first line of an adapter");
            return;
        };
        let Some(index) = self.set.models.base(base.text) else {
            self.report(location, base, "a base that a `base` line defines");
            return;
        };
        for (location, _, other, ..) in lines {
            if let Some(other) = other.filter(|other| other.text != base.text) {
                let expected = format!("the adapter's base {}", base.text);
                self.report(*location, other, expected);
            }
        }
        let adapter: Arc<str> = name.text.into();
        let rows = lines.iter().map(|(location, _, _, version, path)| {
            let model = Model::new(adapter.clone(), self.intern(version.text));
            let path = (*path).into();
            let location = *location;
            (
                location,
                *version,
                VersionRow {
                    model,
                    path,
                    location,
                },
            )
        });
        let rows = rows.collect();
        let rows = self.sort_unique(rows, "version of the adapter");
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

    /// Looks up an adapter. Reports an error and returns `None` if it is not defined.
    pub(super) fn find_adapter(&mut self, location: Location, word: Word<'a>) -> Option<u32> {
        let index = self.set.models.adapter(word.text);
        if index.is_none() {
            self.report(location, word, "an adapter that an `adapter` line defines");
        }
        index
    }

    pub(super) fn find_version(
        &mut self,
        location: Location,
        adapter: u32,
        word: Word<'a>,
    ) -> Option<u32> {
        let row = self.set.models.version(adapter, word.text);
        if row.is_none() {
            self.report(
                location,
                word,
                "a version that a line of the adapter defines",
            );
        }
        row
    }

    pub(super) fn build_rollouts(&mut self, statements: &[LocatedStatement<'a>]) {
        for (location, statement) in statements {
            let Statement::Rollout {
                adapter,
                from,
                to,
                share,
            } = statement
            else {
                continue;
            };
            let Some(index) = self.find_adapter(*location, *adapter) else {
                continue;
            };
            let rows = (
                self.find_version(*location, index, *from),
                self.find_version(*location, index, *to),
            );
            let (Some(from), Some(row)) = rows else {
                continue;
            };
            if from == row {
                self.report(*location, *to, "another version than `from`");
            }
            let earlier = &self.set.models.adapters[index as usize].rollout;
            if let Some(earlier) = earlier {
                let expected = format!(
                    "one rollout of an adapter, see {}",
                    self.describe_location(earlier.location)
                );
                self.report(*location, *adapter, expected);
                continue;
            }
            let rollout = Rollout {
                from,
                to: row,
                share: *share,
                location: *location,
            };
            self.set.models.adapters[index as usize].rollout = Some(Box::new(rollout));
        }
    }
}
