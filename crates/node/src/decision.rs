//! One log line for each decision of the machines, with stable keys.
//!
//! The front writes its own lines (`route`, `grant`, `choose`, `attempt-failed`, `end`); this
//! module turns the machines' notes into lines. `docs/operators/logs.md` lists them all.

use log::{info, warn};

use crate::journal::DECISION;

/// Logs a placement decision.
pub fn placement(note: &placement::action::Note) {
    use placement::action::Note;
    match note {
        Note::Chosen {
            request,
            model,
            upstream,
            rank,
            homes,
            leased,
            load,
            alternatives,
        } => info!(
            target: DECISION,
            request, model:%, upstream:%, rank, homes, leased, load, alternatives;
            "place"
        ),
        Note::Load {
            upstream,
            model,
            priority,
            waiting,
            age,
            alternatives,
        } => info!(
            target: DECISION,
            upstream:%, model:%, priority = priority.map_or("prefetch", wire::Priority::name),
            waiting, age_ms = age.as_millis() as u64, alternatives;
            "load"
        ),
        Note::Evict {
            upstream,
            model,
            rate,
            alternatives,
        } => info!(
            target: DECISION,
            upstream:%, model:%, expected_per_second:% = rate, alternatives;
            "evict"
        ),
        Note::Failed {
            upstream,
            model,
            failure,
            pause,
        } => info!(
            target: DECISION,
            upstream:%, model:%, reason:? = failure, pause_ms = pause.as_millis() as u64;
            "load-failed"
        ),
        Note::Denied {
            upstream,
            model,
            denial,
        } => info!(
            target: DECISION,
            upstream:%, model:%, reason:? = denial;
            "lease-denied"
        ),
        Note::Claimed { upstream, fence } => {
            info!(target: DECISION, upstream:%, fence; "own");
        }
        Note::Adopted {
            upstream,
            instances,
        } => {
            info!(target: DECISION, upstream:%, instances; "adopt");
        }
        Note::Yielded { upstream, fence } => {
            info!(target: DECISION, upstream:%, fence; "yield");
        }
        Note::Overtaken { upstream, fence } => {
            warn!(target: DECISION, upstream:%, fence; "overtaken");
        }
        Note::Restarted {
            upstream,
            instances,
        } => {
            info!(target: DECISION, upstream:%, instances; "engine-restarted");
        }
        Note::Homes {
            model,
            before,
            after,
        } => {
            info!(target: DECISION, model:%, before, after; "homes");
        }
    }
}

/// Logs a membership decision.
pub fn roster(note: &roster::Note) {
    use roster::Note;
    let peer = |event: &str, peer: &wire::Incarnation| {
        info!(target: DECISION, peer:%; "{event}");
    };
    match note {
        Note::Appeared(who) => peer("peer-appeared", who),
        Note::Replaced(who) => peer("peer-replaced", who),
        Note::Unresponsive(who) => peer("peer-doubted", who),
        Note::Suspected(who) => peer("peer-suspected", who),
        Note::Refuted(who) => peer("peer-refuted", who),
        Note::Left(who) => peer("peer-left", who),
        Note::Superseded(who) => peer("superseded", who),
        Note::Delisted(vm) => info!(target: DECISION, vm:%; "peer-delisted"),
        Note::SuspicionRefuted { stamp_offset } => {
            info!(target: DECISION, lead = stamp_offset; "suspicion-refuted");
        }
        Note::Paused { gap } => {
            info!(target: DECISION, gap_ms = gap.as_millis() as u64; "paused");
        }
        Note::Fit { heard } => info!(target: DECISION, heard; "fit"),
        Note::Alone => info!(target: DECISION, heard = 0; "fit"),
        Note::ListStale { revision } => info!(target: DECISION, revision; "list-stale"),
        Note::ListEmpty => info!(target: DECISION, reason = "empty"; "list-ignored"),
        Note::UpstreamLeaving { upstream, source } => {
            info!(target: DECISION, upstream:%, source = source.name(); "upstream-leaving");
        }
        Note::UpstreamBack(upstream) => info!(target: DECISION, upstream:%; "upstream-back"),
    }
}

/// Logs a decision about the configuration.
pub fn config(note: &confsync::Note) {
    use confsync::Note;
    let source = |from: &Option<wire::Vm>| from.as_deref().unwrap_or("platform").to_owned();
    match note {
        Note::Found { id, from } => info!(
            target: DECISION,
            revision = id.revision, source = source(from);
            "configuration-found"
        ),
        Note::Stale {
            revision,
            newest,
            from,
        } => info!(
            target: DECISION,
            revision, newest, source = source(from);
            "configuration-stale"
        ),
        Note::Watcher(watches) => info!(target: DECISION, watches; "configuration-watcher"),
        Note::Unreachable(reason) => {
            info!(target: DECISION, reason = reason.as_str(); "platform-unreachable");
        }
        Note::Mismatch { key } => {
            info!(target: DECISION, key = key.as_str(); "configuration-part-mismatch");
        }
        Note::Behind { revision } => {
            info!(target: DECISION, revision; "configuration-behind");
        }
    }
}

/// Logs a change among the witnesses of claims.
pub fn once(note: &once::Note) {
    use once::Note;
    match note {
        Note::LineageFounded { lineage } => info!(target: DECISION, lineage; "witnesses-founded"),
        Note::VotingStarted { lineage, records } => {
            info!(target: DECISION, lineage, records; "witness-holding");
        }
        Note::LineageAbandoned { lineage } => info!(target: DECISION, lineage; "witness-retired"),
        Note::MemberRemoved { member } => {
            info!(target: DECISION, member:? = member.incarnation; "witness-buried");
        }
    }
}

/// Logs that an upstream crashed, with what the requests of this node there have in common.
pub fn crash(report: &dispatch::culprit::CrashReport) {
    let shared = report.charges.iter().filter(|(_, requests)| *requests > 1);
    let shared: Vec<String> = shared
        .map(|(of, requests)| format!("{of:x}:{requests}"))
        .collect();
    info!(
        target: DECISION,
        upstream:% = report.upstream, number = report.id.number, features = report.charges.len(),
        shared = shared.join(",");
        "crash"
    );
}

/// Logs that requests with a feature are refused from now on, or no longer.
pub fn verdict(verdict: &dispatch::culprit::Verdict) {
    info!(
        target: DECISION,
        feature:% = format_args!("{:x}", verdict.feature), convicted = verdict.convicted,
        crashes = verdict.crashes, requests = verdict.requests,
        age_ms = verdict.age.as_millis() as u64;
        "verdict"
    );
}

/// Logs that a request ran at an upstream when that crashed.
pub fn charge(charge: &dispatch::poison::CrashReport, crashes: usize) {
    info!(
        target: DECISION,
        print = charge.fingerprint, upstream:% = charge.upstream, by:% = charge.id.reporter.vm,
        age_ms = charge.age.as_millis() as u64, crashes;
        "charge"
    );
}

/// Logs that the process of an upstream runs on that was reported as crashed.
pub fn refuted(upstream: &wire::Upstream, reports: usize) {
    info!(target: DECISION, upstream:%, reports; "crash-refuted");
}

/// Logs what is believed of a request's fingerprint now.
pub fn poison(print: dispatch::poison::Fingerprint, standing: dispatch::poison::FingerprintStatus) {
    info!(target: DECISION, print, standing:?; "suspicion");
}
