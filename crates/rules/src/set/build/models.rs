//! Base models, pools, adapters, versions and roll-outs.

use std::sync::Arc;

use wire::Model;

use super::{Builder, Placed};
use crate::parse::line::Word;
use crate::parse::statement::Statement;
use crate::set::model::{Adapter, Base, Pool, Rollout, Row, Use};
use crate::set::{Place, find};

impl<'a> Builder<'a> {
    pub(super) fn bases(&mut self, statements: &[Placed<'a>]) {
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
    pub(super) fn join_pools(&mut self, statements: &[Placed<'a>]) {
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

    pub(super) fn adapters(&mut self, statements: &[Placed<'a>]) {
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
    pub(super) fn adapter(
        &mut self,
        lines: &[(Place, Word<'a>, Option<Word<'a>>, Word<'a>, &'a str)],
    ) {
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
    pub(super) fn find_adapter(&mut self, place: Place, word: Word<'a>) -> Option<u32> {
        let index = self.set.models.adapter(word.text);
        if index.is_none() {
            self.fault(place, word, "an adapter that an `adapter` line defines");
        }
        index
    }

    pub(super) fn find_version(
        &mut self,
        place: Place,
        adapter: u32,
        word: Word<'a>,
    ) -> Option<u32> {
        let row = self.set.models.version(adapter, word.text);
        if row.is_none() {
            self.fault(place, word, "a version that a line of the adapter defines");
        }
        row
    }

    pub(super) fn rollouts(&mut self, statements: &[Placed<'a>]) {
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
}
