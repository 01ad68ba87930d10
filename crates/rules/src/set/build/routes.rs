//! Routes and their indexes.

use super::{Builder, Placed};
use crate::parse::statement::{self, Statement, Target as Written};
use crate::set::route::{ANY, Key, Route, Target};
use crate::set::{Place, find};

impl<'a> Builder<'a> {
    pub(super) fn routes(&mut self, statements: &[Placed<'a>]) {
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

    pub(super) fn route(
        &mut self,
        place: Place,
        route: &statement::Route<'a>,
        order: u32,
    ) -> Option<Route> {
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
}
