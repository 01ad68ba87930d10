//! `hyssopctl diff`: tells what changes for whom between two revisions.

use std::path::PathBuf;

use serde_json::json;

use super::{Error, Output, read_rules};

/// Compares the rules in `before` with those in `after`.
///
/// # Errors
///
/// Returns the faults of either, or why a file cannot be read.
pub fn run(before: Vec<PathBuf>, after: Vec<PathBuf>, output: Output) -> Result<(), Error> {
    let changes = rules::diff(&read_rules(before)?, &read_rules(after)?);
    match output {
        Output::Json => {
            let list = changes.iter().map(|change| {
                json!({
                    "whom": change.whom, "what": change.what,
                    "before": change.before, "after": change.after,
                })
            });
            println!("{}", json!(list.collect::<Vec<_>>()));
        }
        Output::Table if changes.is_empty() => println!("nothing changes"),
        Output::Table => {
            let mut table = super::table();
            table.set_header(["for", "what", "before", "after"]);
            for change in &changes {
                let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "-".into());
                table.add_row([
                    change.whom.clone(),
                    change.what.clone(),
                    text(&change.before),
                    text(&change.after),
                ]);
            }
            println!("{table}");
        }
    }
    Ok(())
}
