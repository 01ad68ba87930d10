//! Stand-ins for the cases of this review: the platform's store, runners, requesters, and the start
//! and end of `hyssopd` processes. Only the standard library is used. See `../REPORT.md`.

mod cases;
mod http;
mod nodes;
mod runner;
mod store;
mod world;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let record = std::env::args()
        .nth(2)
        .unwrap_or_else(|| "record.txt".into());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match case.as_str() {
        "crash-request" => cases::crash_request(&record, trouble),
        "crash-trials" => cases::crash_trials(&record, trouble),
        "oversize" => cases::oversize(&record, trouble),
        "left-stream" => cases::left_stream(&record, trouble),
        "memory" => cases::memory(&record, trouble),
        "left-caller" => cases::left_caller(&record, trouble),
        _ => {
            eprintln!("unknown case {case:?}");
            2
        }
    };
    std::process::exit(code);
}
