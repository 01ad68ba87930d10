//! Plays one case against processes of the project's program, and tells whether a rule was broken.
//!
//! Usage: `case NAME FOLDER RECORD`, from the root of the repository. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod advice;
mod clients;
mod crashes;
mod drain;
mod engine;
mod http;
mod nodes;
mod runner;
mod sizes;
mod store;
mod versions;
mod world;

use std::process::ExitCode;

/// What became of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, name, folder, record] = &words[..] else {
        eprintln!("usage: case NAME FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|text| text == "0");
    world::begin(record);
    let verdict = match name.as_str() {
        "crashes" => crashes::play(folder, !trouble),
        "drain" => drain::play(folder, !trouble),
        "sizes" => sizes::play(folder, !trouble),
        "versions" => versions::play(folder, !trouble),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("THE RULE WAS BROKEN", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    world::note(text);
    println!("{name}: {text}");
    ExitCode::from(code)
}
