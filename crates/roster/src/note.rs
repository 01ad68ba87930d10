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
    /// A process did not answer and is now in doubt.
    Unresponsive(Incarnation),
    /// A process in doubt did not refute it within the suspicion time and is now suspect.
    Suspected(Incarnation),
    /// A process in doubt or suspect answered.
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
        /// Where the report came from.
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
            Self::Unresponsive(peer) => write!(f, "peer doubted: {peer}"),
            Self::Suspected(peer) => write!(f, "peer suspect: {peer}"),
            Self::Refuted(peer) => write!(f, "peer answers again: {peer}"),
            Self::Left(peer) => write!(f, "peer leaving: {peer}"),
            Self::Delisted(vm) => write!(f, "peer no longer listed: {vm}"),
            Self::SuspicionRefuted { stamp_offset } => {
                write!(f, "doubt about this node refuted: lead={stamp_offset}")
            }
            Self::Paused { gap } => write!(f, "this node was paused: gap={gap:?}; unfit"),
            Self::Fit { heard } => write!(f, "this node is fit: heard={heard}"),
            Self::Alone => write!(f, "no peer answers; this node goes on alone"),
            Self::Superseded(peer) => write!(f, "this node was superseded by {peer}; unfit"),
            Self::ListStale { revision } => write!(f, "list dropped: stale revision={revision}"),
            Self::ListEmpty => write!(f, "list dropped: it names no VM"),
            Self::UpstreamLeaving { upstream, source } => {
                write!(f, "upstream leaving: {upstream} source={}", source.name())
            }
            Self::UpstreamBack(upstream) => write!(f, "upstream back: {upstream}"),
        }
    }
}
