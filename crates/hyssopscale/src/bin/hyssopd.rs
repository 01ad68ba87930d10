//! The daemon: one process on every entry VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    hyssopscale::cli::daemon()
}
