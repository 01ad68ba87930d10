//! Computes the differences between two revisions, grouped by who is affected.

use std::collections::BTreeMap;
use std::fmt;

use crate::set::route::{ANY, Key, Route, Target};
use crate::{PoolKind, RetryPolicy, RuleSet};

/// A difference between two revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Who is affected.
    pub whom: String,
    /// Which property changed.
    pub what: String,
    /// The old value, if the property existed.
    pub before: Option<String>,
    /// The new value, if the property still exists.
    pub after: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { whom, what, .. } = self;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "{whom}: {what}: {before} -> {after}"),
            (Some(before), None) => write!(f, "{whom}: {what} removed, was {before}"),
            (None, Some(after)) => write!(f, "{whom}: {what} added: {after}"),
            (None, None) => write!(f, "{whom}: {what}"),
        }
    }
}

/// Returns the changes from `before` to `after`, sorted by [`Change::whom`] and [`Change::what`].
///
/// Moving a line or editing a comment is not a change, except that the order of routes with the
/// same caller, trade and priority is compared.
pub fn diff(before: &RuleSet, after: &RuleSet) -> Vec<Change> {
    let (mut old, new) = (before.properties(), after.properties());
    let mut changes = Vec::new();
    for ((whom, what), after) in new {
        let before = old.remove(&(whom.clone(), what.clone()));
        if before.as_ref() != Some(&after) {
            changes.push(Change {
                whom,
                what,
                before,
                after: Some(after),
            });
        }
    }
    changes.extend(old.into_iter().map(|((whom, what), before)| Change {
        whom,
        what,
        before: Some(before),
        after: None,
    }));
    changes.sort_by(|a, b| (&a.whom, &a.what).cmp(&(&b.whom, &b.what)));
    changes
}

/// The values of a revision's properties, keyed by who is affected and by property.
type Properties = BTreeMap<(String, String), String>;

impl RuleSet {
    fn properties(&self) -> Properties {
        let mut properties = Properties::new();
        self.model_properties(&mut properties);
        self.caller_properties(&mut properties);
        self.route_properties(&mut properties);
        self.service_properties(&mut properties);
        properties
    }

    fn model_properties(&self, properties: &mut Properties) {
        let mut add =
            |whom: String, what: String, value: String| properties.insert((whom, what), value);
        for base in self.bases() {
            let value = format!("store {}, pool {}", base.store, base.pool);
            add(format!("users of base {}", base.name), "base".into(), value);
        }
        for pool in self.pools() {
            let value = match &pool.kind {
                PoolKind::Base(base) => format!("base {base}"),
                PoolKind::Service => "service".into(),
            };
            add(format!("users of pool {}", pool.name), "pool".into(), value);
        }
        for entry in self.adapter_versions() {
            let whom = format!("users of adapter {}", entry.model.adapter);
            let what = format!("version {}", entry.model.version);
            add(
                whom,
                what,
                format!("base {}, path {}", entry.base.name, entry.path),
            );
        }
        for adapter in &self.models.adapters {
            let version = |row: u32| &self.models.rows[row as usize].model.version;
            let value = match adapter.rollout.as_deref() {
                None => format!("{} for all", version(adapter.initial)),
                Some(rollout) => {
                    let (from, to) = (version(rollout.from), version(rollout.to));
                    let percent = f64::from(rollout.share) / 100.0;
                    format!("{to} for {percent} percent of callers, {from} for the others")
                }
            };
            let whom = format!("users of adapter {}", adapter.name);
            add(whom, "version unless named".into(), value);
        }
        for calendar in &self.calendars {
            let whom = format!("routes of calendar {}", calendar.name);
            let zone = calendar.zone.iana_name().unwrap_or("unnamed").to_owned();
            add(whom.clone(), "zone".into(), zone);
            for term in &calendar.terms {
                let value = format!("from {} until {}", term.from, term.until);
                add(whom.clone(), format!("term {}", term.name), value);
            }
        }
    }

    fn caller_properties(&self, properties: &mut Properties) {
        let mut add = |whom: &str, what: &str, value: String| {
            properties.insert((caller_name(whom), what.to_owned()), value)
        };
        for caller in self.callers.list.iter().chain(&self.callers.default_caller) {
            let trades = caller.trades.as_ref().map(|trades| trades.join(", "));
            let trades = trades.unwrap_or_else(|| "any".into());
            add(&caller.name, "trades", trades);
            add(
                &caller.name,
                "highest priority",
                caller.max_priority.to_string(),
            );
        }
        let mut tokens: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for token in &self.callers.tokens {
            let name = &self.callers.list[token.caller as usize].name;
            let head: String = token.hash[..4].iter().map(|b| format!("{b:02x}")).collect();
            tokens
                .entry(name)
                .or_default()
                .push(format!("sha256:{head}…"));
        }
        for (caller, tokens) in tokens {
            add(caller, "tokens", tokens.join(", "));
        }
        for caller_limit in self
            .callers
            .limits
            .iter()
            .chain(&self.callers.default_limit)
        {
            let limit = caller_limit.limit;
            let value = format!(
                "{} a second, burst {}, concurrent {}",
                limit.rate, limit.burst, limit.concurrent
            );
            add(&caller_limit.caller, "limit", value);
        }
    }

    fn route_properties(&self, properties: &mut Properties) {
        for group in self.routes.list.chunk_by(|a, b| a.key == b.key) {
            let mut group: Vec<&Route> = group.iter().collect();
            group.sort_by_key(|route| route.order);
            let targets: Vec<String> = group
                .iter()
                .map(|route| self.describe_target(route))
                .collect();
            properties.insert(self.describe_key(group[0].key), targets.join("; else "));
        }
    }

    fn describe_key(&self, key: Key) -> (String, String) {
        let caller = self.callers.list.get(key.caller as usize);
        let whom = caller_name(caller.map_or("*", |caller| &caller.name));
        let trade = self.routes.trades.get(key.trade as usize);
        let trade = trade.map_or("any", |trade| trade);
        let priority = match key.priority {
            ANY => "any",
            index => wire::Priority::ALL[index as usize].name(),
        };
        (
            whom,
            format!("route for trade {trade}, priority {priority}"),
        )
    }

    fn describe_target(&self, route: &Route) -> String {
        let mut text = match route.target {
            Target::Named => "the named adapter".into(),
            Target::Adapter(_, Some(row)) => self.models.rows[row as usize].model.to_string(),
            Target::Adapter(adapter, None) => {
                self.models.adapters[adapter as usize].name.to_string()
            }
        };
        if let Some(when) = &route.when {
            text.push_str(&format!(" when {}", when.text));
        }
        text
    }

    fn service_properties(&self, properties: &mut Properties) {
        for path in &self.services.paths {
            let method = path.method.as_deref().unwrap_or("any method");
            let suffix = if path.include_subpaths { "/*" } else { "" };
            let policy = match path.retry_policy {
                RetryPolicy::Once => "at most once",
                RetryPolicy::Idempotent => "idempotent",
            };
            let whom = format!("users of service {}", path.service);
            let what = format!("{method} {}{suffix}", path.prefix);
            properties.insert((whom, what), format!("pool {}, {policy}", path.pool));
        }
    }
}

fn caller_name(name: &str) -> String {
    match name {
        "*" => "any caller".into(),
        name => format!("caller {name}"),
    }
}
