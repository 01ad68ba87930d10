//! Reading of TOML, key by key, with overrides.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use toml::{Table, Value};

use crate::{Fault, Settings};

/// Sections whose name stands alone.
const PLAIN: [&str; 11] = [
    "vm", "listen", "platform", "peers", "limits", "time", "weights", "trust", "tls", "exchange",
    "log",
];

/// Sections that hold one table for each name.
const NAMED: [&str; 2] = ["store", "pool"];

/// Keys whose values are not repeated in a fault.
const HIDDEN: [&str; 1] = ["peers.keys"];

/// Reads `text`; what does not load stands at its default and is reported.
pub(crate) fn load(
    text: &str,
    overrides: impl IntoIterator<Item = (String, String)>,
) -> (Settings, Vec<Fault>) {
    let mut faults = Vec::new();
    let mut table = text.parse::<Table>().unwrap_or_else(|error| {
        faults.push(fault("", "", format!("not TOML: {}", line(&error, text))));
        Table::new()
    });
    let overrides: BTreeMap<String, String> = overrides.into_iter().collect();
    for (key, value) in &overrides {
        if let Err(remedy) = put(&mut table, key, parse(value)) {
            faults.push(fault(key, value, remedy));
        }
    }
    let mut loader = Loader {
        table,
        overrides,
        faults,
    };
    let settings = loader.settings();
    loader.unknown();
    (settings, loader.faults)
}

struct Loader {
    table: Table,
    overrides: BTreeMap<String, String>,
    faults: Vec<Fault>,
}

impl Loader {
    fn settings(&mut self) -> Settings {
        Settings {
            vm: self.plain("vm"),
            listen: self.plain("listen"),
            platform: self.plain("platform"),
            peers: self.plain("peers"),
            limits: self.plain("limits"),
            time: self.plain("time"),
            weights: self.plain("weights"),
            trust: self.plain("trust"),
            tls: self.table.contains_key("tls").then(|| self.plain("tls")),
            exchange: self
                .table
                .contains_key("exchange")
                .then(|| self.plain("exchange")),
            log: self.plain("log"),
            stores: self.named("store"),
            pools: self.named("pool"),
        }
    }

    fn plain<T: Default + DeserializeOwned>(&mut self, name: &str) -> T {
        let value = self.table.remove(name);
        value.map_or_else(T::default, |value| self.section(name, value))
    }

    fn named<T: Default + DeserializeOwned>(&mut self, name: &str) -> BTreeMap<String, T> {
        let value = match self.table.remove(name) {
            None => return BTreeMap::new(),
            Some(value) => value,
        };
        let Value::Table(tables) = value else {
            let remedy = format!("write tables [{name}.NAME]");
            self.faults.push(fault(name, value, remedy));
            return BTreeMap::new();
        };
        tables
            .into_iter()
            .map(|(key, value)| {
                let section = self.section(&format!("{name}.{key}"), value);
                (key, section)
            })
            .collect()
    }

    /// Loads one section from those of its keys that load on their own.
    fn section<T: Default + DeserializeOwned>(&mut self, name: &str, value: Value) -> T {
        let Value::Table(table) = value else {
            let remedy = format!("write a table [{name}]");
            self.faults.push(fault(name, value, remedy));
            return T::default();
        };
        let mut whole = Table::new();
        for (key, value) in table {
            let dotted = format!("{name}.{key}");
            match self.value::<T>(&dotted, &key, value) {
                Ok(value) => drop(whole.insert(key, value)),
                Err(fault) => self.faults.push(fault),
            }
        }
        Value::Table(whole).try_into().unwrap_or_default()
    }

    /// Finds the form of a value that the key takes: as written, or an override's bare text.
    fn value<T: DeserializeOwned>(
        &self,
        dotted: &str,
        key: &str,
        value: Value,
    ) -> Result<Value, Fault> {
        let error = match takes::<T>(key, &value) {
            Ok(()) => return Ok(value),
            Err(error) => error,
        };
        let bare = self.overrides.get(dotted).into_iter().flat_map(|text| {
            let parts = text
                .split(',')
                .map(|part| Value::String(part.trim().into()));
            [Value::String(text.clone()), Value::Array(parts.collect())]
        });
        bare.into_iter()
            .find(|value| takes::<T>(key, value).is_ok())
            .ok_or_else(|| fault(dotted, value, error.message().to_owned()))
    }

    /// Reports the sections that nothing has taken.
    fn unknown(&mut self) {
        let known = [PLAIN.as_slice(), NAMED.as_slice()].concat().join(", ");
        for (name, value) in std::mem::take(&mut self.table) {
            let remedy = format!("unknown section, remove it or use one of {known}");
            self.faults.push(fault(&name, value, remedy));
        }
    }
}

fn takes<T: DeserializeOwned>(key: &str, value: &Value) -> Result<(), toml::de::Error> {
    let single = Table::from_iter([(key.to_owned(), value.clone())]);
    Value::Table(single).try_into::<T>().map(drop)
}

/// Reads an override's value as TOML where it is that, and as a string otherwise.
fn parse(text: &str) -> Value {
    format!("value = {text}")
        .parse::<Table>()
        .ok()
        .filter(|table| table.len() == 1)
        .and_then(|mut table| table.remove("value"))
        .unwrap_or_else(|| Value::String(text.to_owned()))
}

/// Sets a dotted key. The name of a store or pool may itself hold dots.
fn put(table: &mut Table, key: &str, value: Value) -> Result<(), String> {
    let shape = || "write SECTION.KEY, store.NAME.KEY or pool.NAME.KEY".to_owned();
    let (section, rest) = key.split_once('.').ok_or_else(shape)?;
    let mut at = child(table, section).ok_or_else(shape)?;
    let mut leaf = rest;
    if NAMED.contains(&section) {
        let (name, last) = rest.rsplit_once('.').ok_or_else(shape)?;
        at = child(at, name).ok_or_else(shape)?;
        leaf = last;
    }
    at.insert(leaf.to_owned(), value);
    Ok(())
}

fn child<'a>(table: &'a mut Table, name: &str) -> Option<&'a mut Table> {
    table
        .entry(name)
        .or_insert_with(|| Value::Table(Table::new()))
        .as_table_mut()
}

/// Names the line of a TOML error.
fn line(error: &toml::de::Error, text: &str) -> String {
    let start = error.span().map_or(0, |span| span.start);
    let before = text.get(..start).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    format!("line {line}: {}", error.message())
}

fn fault(key: &str, value: impl ToString, remedy: String) -> Fault {
    let hidden = HIDDEN.contains(&key);
    Fault {
        key: key.to_owned(),
        value: if hidden {
            "(not shown)".to_owned()
        } else {
            value.to_string()
        },
        remedy,
    }
}
