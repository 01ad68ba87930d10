//! Numbers of the machines in frames.

/// The machine that a frame is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Channel {
    /// Membership.
    Roster = 0,
    /// Configuration.
    Config = 1,
    /// Placement of adapters.
    Placement = 2,
    /// Calls that may not be repeated.
    Once = 3,
    /// Requests that crash upstreams.
    Poison = 4,
}

impl Channel {
    /// Every channel, in the order of their numbers.
    pub const ALL: [Self; 5] = [
        Self::Roster,
        Self::Config,
        Self::Placement,
        Self::Once,
        Self::Poison,
    ];

    /// Returns the channel with this number.
    pub fn from_number(number: u8) -> Option<Self> {
        Self::ALL.get(usize::from(number)).copied()
    }

    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Roster => "roster",
            Self::Config => "config",
            Self::Placement => "placement",
            Self::Once => "once",
            Self::Poison => "poison",
        }
    }
}
