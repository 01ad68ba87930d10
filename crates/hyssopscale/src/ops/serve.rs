//! `hyssopd`: runs a node until it is told to stop.

use std::time::{Duration, Instant};

use log::LevelFilter;
use node::{Ending, Node};
use settings::Settings;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use super::Error;
use super::reload::{self, Source};

/// Runs a node until SIGTERM or SIGINT, then shuts it down gracefully; a second signal ends that.
///
/// # Errors
///
/// Returns an [`Error`] where the node does not start, or where the shutdown cut requests.
pub async fn run(source: Source) -> Result<(), Error> {
    let settings = source.settings().clone();
    if settings.exchange.is_some() {
        return run_gateway(settings, source).await;
    }
    let ending = run_node(settings).await;
    node::journal::drain(Duration::MAX);
    ending
}

/// Runs a node that serves our own interface.
async fn run_node(settings: Settings) -> Result<(), Error> {
    let level = settings.log.level.parse().unwrap_or(LevelFilter::Info);
    node::journal::install(settings.log.format, level, settings.log.lines_per_second)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let node = Node::start(settings).await?;
    let addresses = node.addresses();
    println!(
        "listening callers={} peers={} operators={}",
        addresses.callers, addresses.peers, addresses.operators
    );
    either(&mut terminate, &mut interrupt).await;
    let (again, second) = watch::channel(false);
    tokio::spawn(async move {
        either(&mut terminate, &mut interrupt).await;
        again.send_replace(true);
        // The sender stays, so that the receiver does not see the channel close.
        std::future::pending::<()>().await;
    });
    match node.shut_down(second).await {
        Ending::Whole => Ok(()),
        Ending::Cut(count) => Err(Error::Found(format!("the shutdown cut {count} request(s)"))),
    }
}

/// Runs a node on a platform that is met by an adapter. Its log goes to standard output.
async fn run_gateway(settings: Settings, source: Source) -> Result<(), Error> {
    let level = settings.log.level.parse().unwrap_or(LevelFilter::Info);
    let (form, lines) = (settings.log.format, settings.log.lines_per_second);
    node::journal::install_to(node::journal::Stream::Output, form, level, lines)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Before the node starts, since the signal would end the process.
    let hangup = signal(SignalKind::hangup())?;
    let grace = settings.exchange.as_ref().map(|exchange| exchange.grace);
    let node = gateway::Node::start(settings, dialect::Platform).await;
    let node = node.inspect_err(|_| node::journal::drain(Duration::MAX))?;
    tokio::spawn(reload::watch(source, hangup, node.control()));
    either(&mut terminate, &mut interrupt).await;
    let killed = grace.map(|grace| Instant::now() + grace);
    let cut = node.shut_down().await;
    // A log that nobody reads must not use up what is left of the grace time.
    let left = killed.map(|killed| killed.saturating_duration_since(Instant::now()));
    node::journal::drain(left.unwrap_or(Duration::MAX) / 2);
    match cut {
        0 => Ok(()),
        cut => Err(Error::Found(format!("the shutdown cut {cut} request(s)"))),
    }
}

async fn either(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
