//! One module for each command.

pub mod adapters;
pub mod check;
pub mod demo;
pub mod diff;
pub mod explain;
pub mod load;
pub mod nodes;
pub mod pack;
pub mod reload;
pub mod requests;
pub mod serve;
pub mod status;
pub mod watch;

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Form of a command's output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Tables and lines for people.
    Table,
    /// JSON for programs.
    Json,
}

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read or written.
    #[error("cannot use {path} ({cause})\nhelp: check the path and its permissions")]
    File {
        /// The file.
        path: PathBuf,
        /// The system's error.
        cause: std::io::Error,
    },
    /// The settings are faulty.
    #[error("{0}")]
    Settings(#[from] settings::Error),
    /// The rules are faulty.
    #[error("{0}")]
    Rules(#[from] rules::Error),
    /// A manifest cannot be made.
    #[error("{0}")]
    Manifest(#[from] confsync::manifest::Error),
    /// A node gave no answer.
    #[error("{0}")]
    Client(#[from] crate::client::Error),
    /// A node answered with a refusal.
    #[error("the node refused: {0}\nhelp: mend what it names, then ask again")]
    Refused(String),
    /// A node took the request and said nothing.
    #[error("{0} does not answer\nhelp: see the node's log, or ask another node")]
    Silent(std::net::SocketAddr),
    /// Something else than a node's operators' page answered.
    #[error("{0} answers with something else\nhelp: name the address of `listen.operators`")]
    Foreign(std::net::SocketAddr),
    /// The node does not start.
    #[error("{0}")]
    Node(#[from] node::Error),
    /// Logging cannot be set up.
    #[error("{0}")]
    Journal(#[from] node::journal::Error),
    /// The system refuses something.
    #[error("the system refuses ({0})\nhelp: check limits and permissions")]
    System(#[from] std::io::Error),
    /// Something was found; the command has printed it.
    #[error("{0}")]
    Found(String),
}

/// Makes a table that takes one line a row.
fn table() -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table
}

/// Returns a table's rows as JSON objects with the header's names.
fn rows(table: &comfy_table::Table) -> serde_json::Value {
    let names: Vec<String> = table
        .header()
        .into_iter()
        .flat_map(comfy_table::Row::cell_iter)
        .map(comfy_table::Cell::content)
        .collect();
    let rows = table.row_iter().map(|row| {
        let cells = row.cell_iter().map(|cell| cell.content().into());
        let object: serde_json::Map<_, _> = names.iter().cloned().zip(cells).collect();
        object.into()
    });
    rows.collect::<Vec<serde_json::Value>>().into()
}

/// Reads a text file.
fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|cause| Error::File {
        path: path.to_owned(),
        cause,
    })
}

/// Reads and checks rules files, in the order given.
fn read_rules(paths: impl IntoIterator<Item = PathBuf>) -> Result<rules::RuleSet, Error> {
    let mut files: Vec<(Arc<str>, String)> = Vec::new();
    for path in paths {
        let text = read(&path)?;
        files.push((path.to_string_lossy().into(), text));
    }
    Ok(rules::RuleSet::parse(files)?)
}
