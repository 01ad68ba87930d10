//! Routes of calls to plain services.

use super::{Builder, LocatedStatement};
use crate::parse::line::Word;
use crate::parse::statement::Statement;
use crate::set::Location;
use crate::set::model::PoolKind;
use crate::set::service::{RetryPolicy, ServicePath};

impl<'a> Builder<'a> {
    pub(super) fn build_services(&mut self, statements: &[LocatedStatement<'a>]) {
        let mut paths: Vec<(Word<'a>, ServicePath)> = Vec::new();
        for (location, statement) in statements {
            let Statement::Service {
                name,
                pool,
                path,
                prefix,
                include_subpaths,
                methods,
                once,
            } = statement
            else {
                continue;
            };
            self.check_service_pool(*location, *pool);
            let any = vec![None];
            let methods = methods.as_ref().map_or(any, |list| {
                list.iter().map(|method| Some(*method)).collect()
            });
            for method in methods {
                let row = ServicePath {
                    prefix: self.intern(prefix),
                    include_subpaths: *include_subpaths,
                    method: method.map(|method| self.intern(method.text)),
                    service: self.intern(name.text),
                    pool: self.intern(pool.text),
                    retry_policy: if *once {
                        RetryPolicy::Once
                    } else {
                        RetryPolicy::Idempotent
                    },
                    location: *location,
                };
                paths.push((method.unwrap_or(*path), row));
            }
        }
        paths.sort_by(|(_, a), (_, b)| a.key().cmp(&b.key()));
        for pair in paths.windows(2) {
            if pair[0].1.key() == pair[1].1.key() {
                let earlier = self.describe_location(pair[0].1.location);
                let expected = format!("one line for a path and method, see {earlier}");
                self.report(pair[1].1.location, pair[1].0, expected);
            }
        }
        self.set.services.paths = paths.into_iter().map(|(_, path)| path).collect();
    }

    pub(super) fn check_service_pool(&mut self, location: Location, word: Word<'a>) {
        let index = self.set.models.pool(word.text);
        let kind = index.map(|index| &self.set.models.pools[index as usize].kind);
        if kind != Some(&PoolKind::Service) {
            self.report(
                location,
                word,
                "a pool that a `pool NAME service` line defines",
            );
        }
    }
}
