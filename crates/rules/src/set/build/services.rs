//! Routes of plain services.

use super::{Builder, Placed};
use crate::parse::line::Word;
use crate::parse::statement::Statement;
use crate::set::Place;
use crate::set::model::Use;
use crate::set::service::{Path, RetryPolicy};

impl<'a> Builder<'a> {
    pub(super) fn services(&mut self, statements: &[Placed<'a>]) {
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
                    retry_policy: if *once {
                        RetryPolicy::Once
                    } else {
                        RetryPolicy::Idempotent
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

    pub(super) fn check_service_pool(&mut self, place: Place, word: Word<'a>) {
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
}
