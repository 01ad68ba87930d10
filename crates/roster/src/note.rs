//! Membership decisions, each logged as one line.

use std::fmt;
use std::time::Duration;

use wire::{Incarnation, Upstream, Vm};

use crate::notice::Source;

/// A logged decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// The first known process on a VM appeared.
    Appeared(Incarnation),
    /// A new process replaced the known one on its VM.
    Replaced(Incarnation),
    /// A process did not answer this node or a peer; its suspicion timeout starts.
    Unresponsive(Incarnation),
    /// An unresponsive process did not refute this within the suspicion time and is now suspect.
    Suspected(Incarnation),
    /// An unresponsive or suspect process answered.
    Refuted(Incarnation),
    /// A process is shutting down.
    Left(Incarnation),
    /// The VM is no longer on the platform's list.
    Delisted(Vm),
    /// This node refuted a doubt about itself.
    SuspicionRefuted {
        /// New offset of its stamp from its start time.
        stamp_offset: u64,
    },
    /// This node was paused and owns nothing until peers have answered it.
    Paused {
        /// Duration of the pause.
        gap: Duration,
    },
    /// Peers have answered this node, so it may own upstreams.
    Fit {
        /// Number of peers that answered.
        heard: usize,
    },
    /// No peer answered within the time limit, so this node continues alone.
    Alone,
    /// Another process on this VM replaced this one, which no longer owns anything.
    Superseded(Incarnation),
    /// The received list is older than the one in use and was ignored.
    ListStale {
        /// Revision of the ignored list.
        revision: u64,
    },
    /// The received list contains no VMs and was ignored.
    ListEmpty,
    /// An upstream is leaving.
    UpstreamLeaving {
        /// The upstream.
        upstream: Upstream,
        /// Source of the observation.
        source: Source,
    },
    /// An upstream accepts work again.
    UpstreamBack(Upstream),
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Appeared(peer) => write!(f, "peer appeared: {peer}"),
            Self::Replaced(peer) => write!(f, "peer replaced by {peer}"),
            Self::Unresponsive(peer) => write!(f, "peer unresponsive: {peer}"),
            Self::Suspected(peer) => write!(f, "peer suspect: {peer}"),
            Self::Refuted(peer) => write!(f, "peer answers again: {peer}"),
            Self::Left(peer) => write!(f, "peer leaving: {peer}"),
            Self::Delisted(vm) => write!(f, "peer no longer listed: {vm}"),
            Self::SuspicionRefuted { stamp_offset } => {
                write!(
                    f,
                    "suspicion of this node refuted: stamp_offset={stamp_offset}"
                )
            }
            Self::Paused { gap } => write!(
                f,
                "this node was paused: gap={gap:?}; it owns nothing until peers answer"
            ),
            Self::Fit { heard } => write!(f, "this node may own upstreams: peers_answered={heard}"),
            Self::Alone => write!(f, "no peer answered; this node continues alone"),
            Self::Superseded(peer) => write!(
                f,
                "this node was superseded by {peer}; it no longer owns anything"
            ),
            Self::ListStale { revision } => write!(f, "list ignored: stale revision={revision}"),
            Self::ListEmpty => write!(f, "list ignored: it contains no VMs"),
            Self::UpstreamLeaving { upstream, source } => {
                write!(f, "upstream leaving: {upstream} source={}", source.name())
            }
            Self::UpstreamBack(upstream) => write!(f, "upstream back: {upstream}"),
        }
    }
}
