//! Decisions of a roster, one log line each.

use std::fmt;
use std::time::Duration;

use wire::{Incarnation, Upstream, Vm};

use crate::notice::Source;

/// A decision worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A process was heard of for the first time on its VM.
    Appeared(Incarnation),
    /// Another process took the place of the one known on its VM.
    Replaced(Incarnation),
    /// A process did not answer and is doubted.
    Doubted(Incarnation),
    /// A doubted process did not refute in time and counts as suspect.
    Suspected(Incarnation),
    /// A doubted or suspect process answered.
    Refuted(Incarnation),
    /// A process shuts down.
    Left(Incarnation),
    /// The platform's list dropped the VM.
    Delisted(Vm),
    /// This node refuted a doubt about itself.
    SuspicionRefuted {
        /// Its stamp above its start from now on.
        stamp_offset: u64,
    },
    /// This node did not run for a while and owns nothing until it has heard from peers.
    Paused {
        /// How long it did not run.
        gap: Duration,
    },
    /// This node has heard from peers and is fit to own.
    Fit {
        /// Number of peers that answered.
        heard: usize,
    },
    /// No peer answered for so long that this node goes on alone.
    Alone,
    /// Another process on this VM took over; this one owns nothing any more.
    Superseded(Incarnation),
    /// The list is older than the one in use and was dropped.
    ListStale {
        /// Its revision.
        revision: u64,
    },
    /// The list names no VM at all and was dropped.
    ListEmpty,
    /// An upstream leaves.
    UpstreamLeaving {
        /// The upstream.
        upstream: Upstream,
        /// Where the sign came from.
        source: Source,
    },
    /// An upstream may get work again.
    UpstreamBack(Upstream),
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Appeared(peer) => write!(f, "peer appeared: {peer}"),
            Self::Replaced(peer) => write!(f, "peer replaced by {peer}"),
            Self::Doubted(peer) => write!(f, "peer doubted: {peer}"),
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
