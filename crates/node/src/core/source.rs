//! Reads of the platform and checks of what was read.

use std::sync::Arc;
use std::time::Duration;

use confsync::PartContent;
use logic::Event;
use platform::{Http, Source};
use wire::Revision;

use super::{Handle, Input};
use crate::shared::Shared;

/// Nodes of a region that read the VM list at the rate of the settings; a larger region reads it
/// more rarely at each node, so that the platform's calls do not grow with the fleet.
const LIST_READERS: u32 = 7;

/// Pause after a read of the VM list that failed, doubled with each in a row.
const LIST_RETRY: Duration = Duration::from_millis(100);

/// Failures in a row after which the pause no longer grows.
const LIST_RETRY_DOUBLINGS: u32 = 8;

/// Reads the VM list again and again.
pub(super) async fn poll_members(shared: Arc<Shared>, handle: Handle, source: Arc<Http>) {
    let mut failures = 0;
    loop {
        let result = source.members().await;
        count(&shared, "members", result.is_ok());
        let interval = list_interval(&shared);
        let pause = match result {
            Ok(list) => {
                handle.send(Input::List(list));
                failures = 0;
                interval
            }
            Err(error) => {
                log::warn!("reading the list of VMs: {error}");
                let retry = LIST_RETRY * (1 << failures);
                failures = (failures + 1).min(LIST_RETRY_DOUBLINGS);
                retry.min(interval)
            }
        };
        tokio::time::sleep(pause).await;
    }
}

fn list_interval(shared: &Shared) -> Duration {
    let nodes = u32::try_from(shared.view.load().peers().len()).unwrap_or(u32::MAX);
    shared.settings.platform.poll * nodes.max(LIST_READERS) / LIST_READERS
}

/// Waits for a newer value of `key`.
pub(super) fn watch(
    shared: &Arc<Shared>,
    handle: &Handle,
    source: &Arc<Http>,
    key: Arc<str>,
    after: Revision,
) {
    let (shared, handle, source) = (shared.clone(), handle.clone(), source.clone());
    tokio::spawn(async move {
        let result = source
            .watch(&key, after, shared.settings.platform.watch)
            .await;
        count(&shared, "watch", result.is_ok());
        let event = match result {
            Ok(value) => confsync::Event::Watched {
                value: value.map(into_value),
            },
            Err(error) => confsync::Event::WatchFailed {
                cause: error.to_string(),
            },
        };
        handle.send(Input::Logic(Event::Config(event)));
    });
}

/// Reads `key`.
pub(super) fn read(shared: &Arc<Shared>, handle: &Handle, source: &Arc<Http>, key: Arc<str>) {
    let (shared, handle, source) = (shared.clone(), handle.clone(), source.clone());
    tokio::spawn(async move {
        let result = source.read(&key).await;
        count(&shared, "read", result.is_ok());
        let event = match result {
            Ok(Some(value)) => confsync::Event::ReadDone {
                key,
                value: into_value(value),
            },
            Ok(None) => {
                let cause = "the key holds nothing; publish it with the operator client".into();
                confsync::Event::ReadFailed { key, cause }
            }
            Err(error) => confsync::Event::ReadFailed {
                key,
                cause: error.to_string(),
            },
        };
        handle.send(Input::Logic(Event::Config(event)));
    });
}

fn into_value(value: platform::Value) -> confsync::Value {
    confsync::Value {
        revision: value.revision,
        body: value.body,
    }
}

/// Parses and checks the rules of a revision away from the actor, since large ones take long.
pub(super) fn check(handle: &Handle, revision: Revision, parts: Vec<PartContent>) {
    let handle = handle.clone();
    tokio::task::spawn_blocking(move || {
        let result = parse(&parts);
        handle.send(Input::Parsed { revision, result });
    });
}

fn parse(parts: &[PartContent]) -> Result<Arc<rules::RuleSet>, String> {
    let mut files = Vec::new();
    for part in parts {
        let text = std::str::from_utf8(&part.bytes)
            .map_err(|error| format!("{}: not UTF-8 ({error}); save it as UTF-8", part.key))?;
        files.push((part.key.clone(), text));
    }
    let set = rules::RuleSet::parse(files).map_err(|error| error.to_string())?;
    Ok(Arc::new(set))
}

fn count(shared: &Shared, kind: &str, ok: bool) {
    let result = if ok { "ok" } else { "failed" };
    shared
        .metrics
        .platform_calls
        .with_label_values(&[kind, result])
        .inc();
}
