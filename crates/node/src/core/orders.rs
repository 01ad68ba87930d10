//! Orders to engines and reports from them.

use std::sync::Arc;
use std::time::Duration;

use dispatch::poison;
use logic::Event;
use placement::event::{Failure, Instance, WeightsPath};
use tokio::sync::oneshot;
use upstream::{Engine, Error, Reach, engine};
use wire::{Fence, Model, Time, Upstream};

use super::perform::sign_leaving;
use super::{Handle, Input};
use crate::journal::DECISION;
use crate::shared::Shared;

/// Time between two polls of an engine by its owner.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polls in a row that fail before an engine counts as out of reach.
const POLL_FAILURES: u32 = 3;

/// Limit for the answer which process an engine is; several round trips.
const IDENTIFY_LIMIT: Duration = Duration::from_millis(500);

/// A load to be ordered.
pub(super) struct Load {
    pub upstream: Upstream,
    pub instance: Instance,
    pub model: Model,
    pub path: WeightsPath,
    pub fence: Fence,
    pub deadline: Time,
}

/// An unload to be ordered.
pub(super) struct Unload {
    pub upstream: Upstream,
    pub instance: Instance,
    pub fence: Fence,
    pub deadline: Time,
}

/// Orders a load in a task of its own.
pub(super) fn load(shared: &Arc<Shared>, handle: &Handle, order: Load) {
    let (shared, handle) = (shared.clone(), handle.clone());
    tokio::spawn(async move {
        let Load {
            upstream,
            instance,
            model,
            path,
            fence,
            deadline,
        } = order;
        let base = base_of(&shared, &upstream);
        let wanted = engine::Load {
            instance: instance.clone(),
            path: path.to_string(),
            base,
            fence,
        };
        let call = |engine: Arc<engine::Http>| async move { engine.load(wanted).await };
        let result = carry_out(&shared, &handle, &upstream, fence, deadline, call).await;
        log_order(&shared, "load", &upstream, &instance, result);
        log::debug!("load of {model} on {upstream} ended");
        let event = match result {
            Ok(()) => placement::Event::Loaded {
                upstream,
                instance,
                fence,
            },
            Err(failure) => placement::Event::LoadFailed {
                upstream,
                instance,
                fence,
                failure,
            },
        };
        handle.send(Input::Logic(Event::Placement(event)));
    });
}

/// Asks an engine that was reported as crashed which process it is, in a task of its own.
pub(super) fn identify(shared: &Arc<Shared>, handle: &Handle, upstream: Upstream) {
    let directory = shared.directory.load();
    let Some(runner) = directory.runner(&upstream).cloned() else {
        return;
    };
    let (clock, handle) = (shared.clock, handle.clone());
    tokio::spawn(async move {
        let asked = clock.now();
        if let Ok(Ok(process)) = tokio::time::timeout(IDENTIFY_LIMIT, runner.start()).await {
            let inspected = poison::Event::Inspected {
                upstream,
                process,
                asked,
            };
            handle.send(Input::Logic(Event::Poison(inspected)));
        }
    });
}

/// Orders an unload in a task of its own.
pub(super) fn unload(shared: &Arc<Shared>, handle: &Handle, order: Unload) {
    let (shared, handle) = (shared.clone(), handle.clone());
    tokio::spawn(async move {
        let Unload {
            upstream,
            instance,
            fence,
            deadline,
        } = order;
        let wanted = engine::Unload {
            instance: instance.clone(),
            fence,
        };
        let call = |engine: Arc<engine::Http>| async move { engine.unload(wanted).await };
        let result = carry_out(&shared, &handle, &upstream, fence, deadline, call).await;
        log_order(&shared, "unload", &upstream, &instance, result);
        let event = match result {
            Ok(()) => placement::Event::Unloaded {
                upstream,
                instance,
                fence,
            },
            Err(failure) => placement::Event::UnloadFailed {
                upstream,
                instance,
                fence,
                failure,
            },
        };
        handle.send(Input::Logic(Event::Placement(event)));
    });
}

fn base_of(shared: &Shared, upstream: &str) -> wire::Base {
    let directory = shared.directory.load();
    let pool = directory.runner(upstream).map(|runner| runner.pool.clone());
    let facts = pool.and_then(|pool| shared.settings.pools.get(&*pool));
    facts
        .and_then(|facts| facts.base.clone())
        .unwrap_or_else(|| "".into())
}

/// Asks for the permit and writes the order directly after it.
async fn carry_out<F>(
    shared: &Arc<Shared>,
    handle: &Handle,
    upstream: &Upstream,
    fence: Fence,
    deadline: Time,
    call: impl FnOnce(Arc<engine::Http>) -> F,
) -> Result<(), Failure>
where
    F: Future<Output = Result<(), Error>>,
{
    let engine = shared
        .directory
        .load()
        .engine(upstream)
        .map(|(_, engine)| engine.clone());
    let engine = engine.ok_or(Failure::NotSent)?;
    if !permitted(handle, upstream, fence).await {
        return Err(Failure::NotSent);
    }
    let until = shared.clock.instant(deadline);
    match tokio::time::timeout_at(until, call(engine)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(failure(handle, upstream, &error)),
        Err(_) => Err(Failure::Unknown),
    }
}

async fn permitted(handle: &Handle, upstream: &Upstream, fence: Fence) -> bool {
    let (reply, permitted) = oneshot::channel();
    handle.send(Input::PermitOrder {
        upstream: upstream.clone(),
        fence,
        reply,
    });
    permitted.await.unwrap_or(false)
}

/// Status of an engine that has no free slot.
const STATUS_FULL: u16 = 507;

fn failure(handle: &Handle, upstream: &Upstream, error: &Error) -> Failure {
    log::warn!("order to {upstream}: {error}");
    match error {
        Error::Fenced { fence, .. } => {
            let refused = placement::Event::FenceObserved {
                upstream: upstream.clone(),
                fence: *fence,
            };
            handle.send(Input::Logic(Event::Placement(refused)));
            Failure::Rejected
        }
        Error::Leaving { .. } => {
            sign_leaving(handle, upstream, roster::Source::Refusal);
            Failure::Rejected
        }
        Error::Refused {
            status: STATUS_FULL,
            ..
        } => Failure::Full,
        Error::Refused { .. } | Error::Absent { .. } => Failure::Rejected,
        _ if error.reach() == Reach::NotSent => Failure::NotSent,
        _ => Failure::Unknown,
    }
}

fn log_order(
    shared: &Shared,
    kind: &str,
    upstream: &Upstream,
    instance: &Instance,
    result: Result<(), Failure>,
) {
    let label = match result {
        Ok(()) => "ok",
        Err(Failure::NotSent) => "not-sent",
        Err(Failure::Rejected) => "rejected",
        Err(Failure::Full) => "full",
        Err(Failure::Unknown) => "unknown",
    };
    shared
        .metrics
        .orders
        .with_label_values(&[kind, label])
        .inc();
    log::info!(target: DECISION, kind, upstream:%, instance:%, result = label; "order");
}

/// Polls the engines that this node owns, each once an interval.
pub(crate) async fn poll_engines(shared: Arc<Shared>, handle: Handle) {
    let mut polls: Vec<(Upstream, tokio::task::JoinHandle<()>)> = Vec::new();
    loop {
        let owned = owned_engines(&shared);
        polls.retain(|(id, task)| {
            let keep = owned.contains(id);
            if !keep {
                task.abort();
            }
            keep
        });
        for id in owned {
            if polls.iter().all(|(known, _)| *known != id) {
                let task = poll_engine(shared.clone(), handle.clone(), id.clone());
                polls.push((id, tokio::spawn(task)));
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn owned_engines(shared: &Shared) -> Vec<Upstream> {
    let view = shared.view.load();
    let directory = shared.directory.load();
    let engines = directory.runners().iter().filter(|runner| {
        let engine = matches!(runner.link, crate::directory::Link::Engine(_));
        engine && view.owner(&runner.id) == Some(&shared.me.vm)
    });
    engines.map(|runner| runner.id.clone()).collect()
}

async fn poll_engine(shared: Arc<Shared>, handle: Handle, id: Upstream) {
    let mut failures = 0;
    let mut seen = 0;
    loop {
        let found = shared
            .directory
            .load()
            .engine(&id)
            .map(|(_, engine)| engine.clone());
        let Some(engine) = found else {
            return;
        };
        if poll_once(&shared, &handle, &id, &engine, &mut seen)
            .await
            .is_ok()
        {
            failures = 0;
            handle.send(Input::Reach {
                upstream: id.clone(),
                reached: true,
            });
        } else {
            failures += 1;
            if failures == POLL_FAILURES {
                handle.send(Input::Reach {
                    upstream: id.clone(),
                    reached: false,
                });
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Reads the engine's load, its instances and its cache events.
async fn poll_once(
    shared: &Shared,
    handle: &Handle,
    id: &Upstream,
    engine: &engine::Http,
    seen: &mut u64,
) -> Result<(), Error> {
    let asked = shared.clock.now();
    let report = engine.report().await?;
    if report.leaving {
        sign_leaving(handle, id, roster::Source::Report);
    }
    show_report(shared, id, &report);
    send(
        handle,
        placement::Event::Report {
            upstream: id.clone(),
            running: report.running,
            waiting: report.waiting,
            age: report.age(),
        },
    );
    let models_asked = shared.clock.now();
    let mut models = engine.models().await?;
    // The list names the base model too, which takes no slot.
    models.retain(|model| model.base.is_some());
    send(
        handle,
        placement::Event::InstanceReport(placement::event::InstanceReport {
            upstream: id.clone(),
            boot: report.start,
            instances: models.into_iter().map(into_use).collect(),
            // The list is read at once, and no earlier than it was asked for.
            age: shared.clock.now() - models_asked,
        }),
    );
    if let Some(fence) = report.fence {
        send(
            handle,
            placement::Event::FenceObserved {
                upstream: id.clone(),
                fence,
            },
        );
    }
    let events = engine.events(*seen).await?;
    send_events(handle, id, seen, events.events);
    log::trace!("{id} polled in {:?}", shared.clock.now() - asked);
    Ok(())
}

fn send(handle: &Handle, event: placement::Event) {
    handle.send(Input::Logic(Event::Placement(event)));
}

fn show_report(shared: &Shared, id: &Upstream, report: &engine::Report) {
    let directory = shared.directory.load();
    if let (Some(runner), true) = (
        directory.runner(id),
        report.batch > 0 && report.max_batch > 0,
    ) {
        let efficiency = f64::from(report.batch) / f64::from(report.max_batch);
        shared
            .metrics
            .batch_efficiency
            .with_label_values(&[&runner.pool])
            .observe(efficiency);
    }
}

fn into_use(resident: engine::Resident) -> placement::event::InstanceUse {
    placement::event::InstanceUse {
        instance: resident.instance,
        // An engine that does not tell counts as using everything it holds.
        in_use: resident.in_use.unwrap_or(1),
    }
}

fn send_events(handle: &Handle, id: &Upstream, seen: &mut u64, events: Vec<engine::CacheEvent>) {
    let Some(last) = events.last().map(|event| event.sequence) else {
        return;
    };
    let first = events.first().map_or(last, |event| event.sequence);
    let mut gap = *seen != 0 && first > *seen + 1;
    *seen = last;
    let (mut added, mut removed) = (Vec::new(), Vec::new());
    for event in events {
        match event.change {
            engine::Change::Stored { prefix, .. } => added.push(prefix),
            engine::Change::Removed { prefix, .. } => removed.push(prefix),
            engine::Change::Cleared => {
                gap = true;
                added.clear();
                removed.clear();
            }
        }
    }
    let upstream = id.clone();
    send(
        handle,
        placement::Event::CacheEvents {
            upstream,
            added,
            removed,
            gap,
        },
    );
}
