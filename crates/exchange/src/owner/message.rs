//! Messages between owners. They are one-way, best effort and may arrive in any order.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Fence, Time, Upstream, Vm};

use super::lease::{LeaseClaim, Refusal};
use crate::demand::Target;
use crate::fleet::{Holding, Presence, Version};

/// Residency of a target on the wire, with durations instead of points in time, since clocks differ
/// between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelativePresence {
    /// The target is resident.
    Held(Option<Version>),
    /// The target is expected in so many milliseconds.
    Coming(u32, Option<Version>),
    /// The target is neither resident nor being loaded.
    Absent,
}

impl RelativePresence {
    /// Converts `presence` as of `now`.
    pub fn new(now: Time, presence: Presence) -> Self {
        match presence {
            Presence::Held(version) => Self::Held(version),
            Presence::Coming(at, version) => {
                let left = at.saturating_sub(now).as_millis();
                Self::Coming(u32::try_from(left).unwrap_or(u32::MAX), version)
            }
            Presence::Absent => Self::Absent,
        }
    }

    /// Converts to a [`Presence`] as of `now`.
    pub fn resolve(self, now: Time) -> Presence {
        match self {
            Self::Held(version) => Presence::Held(version),
            Self::Coming(left, version) => {
                Presence::Coming(now + Duration::from_millis(left.into()), version)
            }
            Self::Absent => Presence::Absent,
        }
    }
}

/// A message between two owners.
///
/// Variants are encoded by position. New ones must be added at the end, so that nodes of two
/// releases understand each other during a rolling update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// All engines that the sender owns, with its fencing tokens.
    Claims(Vec<(Upstream, Fence)>),
    /// What an engine that the sender owns holds.
    Holdings {
        /// The engine.
        engine: Upstream,
        /// The resident models and adapters.
        holdings: Vec<Holding>,
    },
    /// Engines that the sender releases.
    Release(Vec<(Upstream, Fence)>),
    /// A request of the sender needs a target loaded.
    RequestLoad {
        /// The engine.
        engine: Upstream,
        /// The target to load.
        target: Target,
        /// Rank of the request; 0 goes first.
        rank: u8,
    },
    /// Asks the owner to admit a request of the sender to an engine.
    RequestAdmission {
        /// Identifies the question in its answer.
        ticket: u64,
        /// The engine.
        engine: Upstream,
        /// The target that the request uses.
        target: Target,
        /// Expected prefill time in milliseconds.
        prefill: u32,
        /// Expected time in milliseconds from the end of prefill to the end of the request.
        decode: u32,
        /// Rank of the request; 0 goes first.
        rank: u8,
    },
    /// What requests of the sender use at an engine that the receiver has just claimed.
    InUse {
        /// The engine.
        engine: Upstream,
        /// The target of each request, with the milliseconds that it may still take.
        targets: Vec<(Target, u32)>,
    },
    /// An admitted request of the sender has ended.
    RequestEnded {
        /// The engine.
        engine: Upstream,
        /// The target that the request uses.
        target: Target,
    },
    /// The answer to [`Message::RequestAdmission`].
    Grant {
        /// Identifies the question in its answer.
        ticket: u64,
        /// Residency of the target. The request may be sent only if the target is resident.
        presence: RelativePresence,
        /// Milliseconds to wait before the request is sent.
        wait: u32,
        /// Prefill work queued at the engine, in milliseconds.
        prefill_backlog: u32,
        /// Milliseconds until one more adapter could be loaded.
        backlog: u32,
        /// Requests running at the engine.
        running: u32,
    },
    /// Residency of a target, as the owner knows it.
    Residency {
        /// The engine.
        engine: Upstream,
        /// The target.
        target: Target,
        /// Its residency.
        presence: RelativePresence,
        /// Milliseconds until one more adapter could be loaded.
        backlog: u32,
    },
    /// Fencing tokens used before that are higher than those of the receiver's claims.
    HigherFences(Vec<(Upstream, Fence)>),
    /// The sender owns no engine and does not claim any yet.
    NotClaiming,
    /// A request of the sender no longer needs a target loaded.
    CancelLoadRequest {
        /// The engine.
        engine: Upstream,
        /// The target that was requested.
        target: Target,
    },
    /// Other engines that hold a target, for a request that found its engine full.
    Replicas {
        /// The target.
        target: Target,
        /// The engines, with the version that each holds.
        engines: Vec<(Upstream, Option<Version>)>,
    },
    /// Asks a witness for the leases of engines.
    RequestLeases {
        /// Identifies the question in its answer; later ones have higher numbers.
        round: u64,
        /// The leases.
        claims: Vec<LeaseClaim>,
    },
    /// The answer to [`Message::RequestLeases`]. Leases that it does not refuse are granted.
    Leases {
        /// Identifies the question in its answer.
        round: u64,
        /// Fencing tokens used before that are higher than those of the sender's claims.
        higher: Vec<(Upstream, Fence)>,
        /// Leases that are not granted.
        refused: Vec<Refusal>,
    },
    /// The sender gives leases back that were granted in this round or before.
    ReturnLeases {
        /// The latest round.
        round: u64,
        /// The engines.
        engines: Vec<Upstream>,
    },
    /// All engines that the sender cannot reach, and so does not claim.
    Declines(Vec<Upstream>),
    /// The witnesses of an engine that the sender knows, best first, with the milliseconds for which
    /// each counts if nobody hears of it any more.
    Witnesses {
        /// The engine.
        engine: Upstream,
        /// The witnesses.
        nodes: Vec<(Vm, u32)>,
    },
}
