//! Routes and their indexes.

use super::{Builder, LocatedStatement};
use crate::parse::statement::{self, Statement, Target as Written};
use crate::set::route::{ANY, Key, Route, Target};
use crate::set::{Location, find};

impl<'a> Builder<'a> {
    pub(super) fn build_routes(&mut self, statements: &[LocatedStatement<'a>]) {
        let mut trades = Vec::new();
        for (_, statement) in statements {
            if let Statement::Route(route) = statement {
                trades.extend(route.trade.map(|trade| self.intern(trade.text)));
            }
        }
        trades.sort();
        trades.dedup();
        self.set.routes.trades = trades;
        let mut list = Vec::new();
        for (location, statement) in statements {
            if let Statement::Route(route) = statement {
                list.extend(self.build_route(*location, route, list.len() as u32));
            }
        }
        list.sort_by_key(|route| (route.key, route.target.adapter(), route.order));
        let fixed = |index: &u32| list[*index as usize].target != Target::Named;
        let mut indexes: Vec<u32> = (0..list.len() as u32).filter(fixed).collect();
        indexes.sort_by_key(|index| (list[*index as usize].key, list[*index as usize].order));
        self.set.routes.fixed = indexes;
        self.set.routes.list = list;
    }

    pub(super) fn build_route(
        &mut self,
        location: Location,
        route: &statement::Route<'a>,
        order: u32,
    ) -> Option<Route> {
        let caller = match route.caller {
            None => ANY,
            Some(word) => self.find_caller(location, word)?,
        };
        let trades = &self.set.routes.trades;
        let trade = route.trade;
        let trade = trade.and_then(|word| find(trades, word.text, |trade| trade));
        let target = match route.to {
            Written::Named => Target::Named,
            Written::Adapter(adapter, version) => {
                let adapter = self.find_adapter(location, adapter)?;
                let row = match version {
                    None => None,
                    Some(word) => Some(self.find_version(location, adapter, word)?),
                };
                Target::Adapter(adapter, row)
            }
        };
        let when = match &route.when {
            None => None,
            Some(conditions) => Some(Box::new(self.build_when(location, conditions)?)),
        };
        Some(Route {
            key: Key {
                caller,
                trade: trade.unwrap_or(ANY),
                priority: route.priority.map_or(ANY, |priority| priority as u32),
            },
            target,
            when,
            location,
            order,
        })
    }
}
