//! `hyssopctl check`: reports every fault and warning of rules files.

use std::path::PathBuf;

use serde_json::json;

use super::{Error, Output, read_rules};

/// Checks rules files.
///
/// # Errors
///
/// Returns [`Error::Found`] where a fault was found and printed.
pub fn run(paths: Vec<PathBuf>, output: Output, at: jiff::Timestamp) -> Result<(), Error> {
    match read_rules(paths) {
        Ok(set) => {
            report_warnings(&set, output, at);
            Ok(())
        }
        Err(Error::Rules(error)) => {
            report_faults(&error, output);
            Err(Error::Found(format!(
                "{} fault(s) found",
                error.diagnostics.len()
            )))
        }
        Err(error) => Err(error),
    }
}

fn report_warnings(set: &rules::RuleSet, output: Output, at: jiff::Timestamp) {
    let warnings = set.warnings(at);
    match output {
        Output::Json => {
            let list: Vec<_> = warnings
                .iter()
                .map(|warning| {
                    json!({
                        "kind": warning.kind.message(),
                        "file": warning.rule.file,
                        "line": warning.rule.line,
                        "asked": warning.rule.comment,
                        "by": warning.overridden_by.map(|rule| rule.to_string()),
                    })
                })
                .collect();
            println!(
                "{}",
                json!({ "adapters": set.adapter_versions().len(), "warnings": list })
            );
        }
        Output::Table => {
            for warning in &warnings {
                let by = warning
                    .overridden_by
                    .map(|rule| format!(" by {rule}"))
                    .unwrap_or_default();
                println!("warning: {}: {}{by}", warning.rule, warning.kind.message());
            }
            println!(
                "{} adapter versions, {} warnings",
                set.adapter_versions().len(),
                warnings.len()
            );
        }
    }
}

fn report_faults(error: &rules::Error, output: Output) {
    match output {
        Output::Json => {
            let list: Vec<_> = error
                .diagnostics
                .iter()
                .map(|fault| {
                    json!({
                        "file": fault.file, "line": fault.line, "column": fault.column,
                        "expected": fault.expected, "found": fault.found,
                    })
                })
                .collect();
            println!("{}", json!({ "faults": list }));
        }
        Output::Table => {
            for fault in &error.diagnostics {
                println!("error: {fault}");
            }
        }
    }
}
