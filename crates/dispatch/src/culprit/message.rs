//! Messages between detectors.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Incarnation, Upstream};

use super::grounds::Ground;
use super::{Feature, Start};

/// ID of a crash report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportId {
    /// The node that saw the crash.
    pub reporter: Incarnation,
    /// Sequence number of the report at that node.
    pub number: u64,
}

/// The features of the requests that a node had in flight at an upstream when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The ID of the report.
    pub id: ReportId,
    /// The upstream that crashed.
    pub upstream: Upstream,
    /// Time since the crash.
    pub age: Duration,
    /// The features, sorted, with the number of requests that have each.
    pub charges: Vec<(Feature, u16)>,
}

/// Whether requests with a feature are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The feature.
    pub feature: Feature,
    /// Whether they are refused.
    pub convicted: bool,
    /// Number of crashes that are attributed to the feature.
    pub crashes: u32,
    /// Number of requests with the feature that were in flight in those crashes.
    pub requests: u32,
    /// Time since the verdict.
    pub age: Duration,
}

/// A message between the nodes of a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Tells an analyst of a crash, possibly not for the first time.
    Crash(CrashReport),
    /// Tells an analyst that requests with these features began to be answered, so long ago, and that
    /// their upstreams survived it.
    Survived(Vec<(Feature, Duration)>),
    /// Tells which features are suspected, with the crashes that may be attributed to each, so that
    /// nodes report the survival of requests with them.
    Suspects(Vec<(Feature, u16)>),
    /// Tells a verdict.
    Verdict(Verdict),
    /// Allows a node to send one request with a convicted feature.
    AllowTrial(Feature),
    /// Tells an analyst that such a request is about to be sent.
    TrialStarted(Feature),
    /// Tells an analyst which process the requests of a report were sent to.
    CrashedProcess(ReportId, Start),
    /// Tells which processes' crashes a conviction rests on, so that it can be lifted without the analysts that
    /// decided it.
    Grounds(Feature, Vec<Ground>),
    /// Allows a node to send one request with a convicted feature that has none of the others.
    AllowTrialWithout(Feature, Vec<Feature>),
}
