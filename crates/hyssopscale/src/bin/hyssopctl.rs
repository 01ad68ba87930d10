//! The operators' client.

use std::process::ExitCode;

fn main() -> ExitCode {
    hyssopscale::cli::client()
}
