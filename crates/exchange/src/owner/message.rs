//! What owners tell each other: one-way, best effort, in any order.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Fence, Time, Upstream};

use crate::demand::Target;
use crate::fleet::{Holding, Presence, Version};

/// Residency as it is told, without times of one process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelativePresence {
    /// It is resident.
    Held(Option<Version>),
    /// It is expected in so many milliseconds.
    Coming(u32, Option<Version>),
    /// It is not there and not on its way.
    Absent,
}

impl RelativePresence {
    /// Tells `presence` as of `now`.
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

    /// Returns the presence as of `now`.
    pub fn presence(self, now: Time) -> Presence {
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
/// Variants are told apart by their position; new ones come last, so that nodes of two releases
/// understand each other while one replaces the other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// All engines that the sender orders at, with its fencing numbers.
    Claims(Vec<(Upstream, Fence)>),
    /// What an engine that the sender orders at holds.
    Holdings {
        /// The engine.
        engine: Upstream,
        /// What it holds.
        holdings: Vec<Holding>,
    },
    /// Engines that the sender gives up.
    Release(Vec<(Upstream, Fence)>),
    /// A request of the sender needs a target.
    RequestLoad {
        /// The engine.
        engine: Upstream,
        /// What is needed.
        target: Target,
        /// Rank of the request.
        rank: u8,
    },
    /// A request of the sender wants to be let in at an engine.
    RequestAdmission {
        /// Number of the question.
        ticket: u64,
        /// The engine.
        engine: Upstream,
        /// Its model.
        target: Target,
        /// Milliseconds that the engine takes to read its prompt.
        prefill: u32,
        /// Milliseconds that it is expected to run after that.
        decode: u32,
        /// Rank of the request.
        rank: u8,
    },
    /// What requests of the sender use at an engine that the receiver has just claimed, with the
    /// milliseconds that each may still take.
    InUse {
        /// The engine.
        engine: Upstream,
        /// The models, one for each request.
        targets: Vec<(Target, u32)>,
    },
    /// A request of the sender that was let in is over.
    RequestEnded {
        /// The engine.
        engine: Upstream,
        /// Its model.
        target: Target,
    },
    /// The answer to [`Message::RequestAdmission`].
    Grant {
        /// Number of the question.
        ticket: u64,
        /// What is known of its model; only where that is resident may the request be sent.
        presence: RelativePresence,
        /// Milliseconds to wait before the request is sent.
        wait: u32,
        /// Milliseconds of reading that are ahead at the engine.
        prefill_backlog: u32,
        /// Milliseconds until another adapter could be there.
        backlog: u32,
        /// Requests that the engine has.
        running: u32,
    },
    /// What an owner knows of a target's residency.
    Residency {
        /// The engine.
        engine: Upstream,
        /// The target.
        target: Target,
        /// What is known.
        presence: RelativePresence,
        /// Milliseconds until another adapter could be there.
        backlog: u32,
    },
    /// Fencing numbers that were used before, higher than those that the receiver claims by.
    HigherFences(Vec<(Upstream, Fence)>),
    /// The sender orders at no engine, and does not claim one yet.
    NotClaiming,
    /// A request of the sender needs a target there no longer.
    CancelLoadRequest {
        /// The engine.
        engine: Upstream,
        /// What was needed.
        target: Target,
    },
}
