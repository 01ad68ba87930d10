//! Structured log lines by `log` and `fern`.
//!
//! Each decision is one record with target [`DECISION`] and stable keys; prompts and answers are
//! never logged. A rate limit drops decision lines above the setting, and a [`sink`] those that the
//! stream does not take in time; a counter says how many. Logging never waits for the stream.

pub mod sink;

use std::fmt::Write;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use settings::Form;
use sink::Sink;

/// Target of the records that tell a routing or placement decision.
pub const DECISION: &str = "decision";

/// Period over which the rate limit counts.
const WINDOW: Duration = Duration::from_secs(1);

/// Reason why logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Another logger is in place already.
    #[error("a logger is installed already: {0}; set up the journal once per process")]
    Installed(#[from] log::SetLoggerError),
    /// The thread that writes the lines cannot be started.
    #[error("no thread for the journal: {0}; raise the process's limit on threads")]
    Thread(#[from] io::Error),
}

static DROPPED: AtomicU64 = AtomicU64::new(0);

static SINK: OnceLock<sink::Handle> = OnceLock::new();

/// Longest time for which an ending process waits until its last lines are written.
const DRAIN: Duration = Duration::from_millis(400);

/// Returns how many lines the rate limit and the sink dropped since the start.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed) + SINK.get().map_or(0, sink::Handle::dropped)
}

/// Waits until the lines logged so far are written, for `limit` at most and in any case only for a moment.
pub fn drain(limit: Duration) {
    if let Some(sink) = SINK.get() {
        sink.drain(limit.min(DRAIN));
    }
}

/// Where log lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Standard output.
    Output,
    /// Standard error.
    Error,
}

/// Installs the logger, which writes to standard error.
///
/// # Errors
///
/// Returns [`Error::Installed`] where the process has a logger already.
pub fn install(form: Form, level: LevelFilter, lines_per_second: u32) -> Result<(), Error> {
    install_to(Stream::Error, form, level, lines_per_second)
}

/// Installs the logger, which writes to `stream`.
///
/// # Errors
///
/// Returns [`Error::Installed`] where the process has a logger already, [`Error::Thread`] where no
/// thread can be started.
pub fn install_to(
    stream: Stream,
    form: Form,
    level: LevelFilter,
    lines_per_second: u32,
) -> Result<(), Error> {
    let limit = Limit::new(lines_per_second);
    let (sink, handle) = match stream {
        Stream::Output => Sink::start(io::stdout())?,
        Stream::Error => Sink::start(io::stderr())?,
    };
    SINK.get_or_init(|| handle);
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("decision", level)
        .level_for("node", level)
        .level_for("gateway", level)
        .level_for("hyssopscale", level)
        .filter(move |metadata| metadata.target() != DECISION || limit.admit(Instant::now()))
        .format(move |out, message, record| {
            let line = match form {
                Form::Text => text_line(&message.to_string(), record),
                Form::Json => json_line(&message.to_string(), record),
            };
            out.finish(format_args!("{line}"));
        })
        .chain(fern::Output::writer(Box::new(sink), "\n"))
        .apply()?;
    Ok(())
}

struct Limit {
    lines: u32,
    window: Mutex<(Option<Instant>, u32)>,
}

impl Limit {
    fn new(lines: u32) -> Self {
        Self {
            lines,
            window: Mutex::new((None, 0)),
        }
    }

    fn admit(&self, now: Instant) -> bool {
        let Ok(mut window) = self.window.lock() else {
            return false;
        };
        if window
            .0
            .is_none_or(|start| now.duration_since(start) >= WINDOW)
        {
            *window = (Some(now), 0);
        }
        window.1 += 1;
        let admitted = window.1 <= self.lines;
        if !admitted {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }
}

fn text_line(message: &str, record: &Record<'_>) -> String {
    let time = jiff::Timestamp::now();
    let mut line = format!("{time:.3} {} {} {message}", record.level(), record.target());
    // Writing to a String cannot fail, and the visitor returns no error of its own.
    let _ = record.key_values().visit(&mut Text(&mut line));
    line
}

fn json_line(message: &str, record: &Record<'_>) -> String {
    let mut object = serde_json::Map::new();
    object.insert("time".into(), jiff::Timestamp::now().to_string().into());
    object.insert("level".into(), record.level().as_str().into());
    object.insert("target".into(), record.target().into());
    object.insert("event".into(), message.into());
    let _ = record.key_values().visit(&mut Json(&mut object));
    serde_json::Value::Object(object).to_string()
}

struct Text<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Text<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let text = value.to_string();
        if text.contains([' ', '"', '=', '\n']) || text.is_empty() {
            write!(self.0, " {key}={text:?}")?;
        } else {
            write!(self.0, " {key}={text}")?;
        }
        Ok(())
    }
}

struct Json<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Json<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
