//! `hyssopctl watch`: shows the state of nodes and engines again and again.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use node::core::Status;

use super::nodes::{self, Answers};
use super::{Error, Output, adapters, status};

/// Moves to the top left and clears the rest of the screen (ECMA-48).
const CLEAR: &str = "\x1b[H\x1b[J";

/// Shows `nodes` every `interval` until interrupted, or `times` times.
///
/// JSON output is one line for each look. Nodes that do not answer are named in the view.
///
/// # Errors
///
/// Returns the system's error where nothing can be written any more.
pub async fn run(
    addresses: Vec<SocketAddr>,
    interval: Duration,
    times: Option<u64>,
    output: Output,
) -> Result<(), Error> {
    let mut looks = 0;
    let mut due = tokio::time::interval(interval);
    while times.is_none_or(|times| looks < times) {
        due.tick().await;
        looks += 1;
        let answers: Answers<Status> = nodes::ask(&addresses, "/v1/status").await;
        let view = match output {
            Output::Json => status::document(&answers).to_string(),
            Output::Table => format!(
                "{CLEAR}{}\n{}\n{}\n{}",
                format_args!("{:.0}", jiff::Timestamp::now()),
                status::text(&answers.documents()),
                adapters::text(&answers.documents()),
                answers.failures.join("\n"),
            ),
        };
        writeln!(std::io::stdout(), "{view}")?;
    }
    Ok(())
}
