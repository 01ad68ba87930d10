//! TCP options of the sockets of a node.
//!
//! None of the libraries in use sets keep-alive or `TCP_USER_TIMEOUT`, so that a peer whose machine has
//! gone is noticed after minutes, or not at all where nothing is written. On Linux `TCP_USER_TIMEOUT`
//! also decides when keep-alive gives up, whatever the number of probes. Both therefore agree here.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// How soon a peer that does not acknowledge anything counts as gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Idle time after which the first probe is sent.
    pub idle: Duration,
    /// Time between two probes.
    pub interval: Duration,
    /// Probes without an answer after which the connection is closed, if there is no `user_timeout`.
    pub probes: u32,
    /// Time for which written bytes may stay unacknowledged, or the peer may accept none.
    pub user_timeout: Option<Duration>,
}

/// A caller that waits for an answer.
pub const CALLER: Options = Options {
    idle: Duration::from_secs(2),
    interval: Duration::from_secs(1),
    probes: 3,
    user_timeout: None,
};

/// A caller to which an answer is written. One that reads slowly accepts no bytes for a while, so that
/// this is much longer than for one that only waits.
pub const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// An upstream, or the platform's store. A sound one may be silent for a second or two.
pub const UPSTREAM: Options = Options {
    idle: Duration::from_secs(3),
    interval: Duration::from_secs(1),
    probes: 5,
    user_timeout: Some(Duration::from_secs(8)),
};

/// Another node.
pub const PEER: Options = Options {
    idle: Duration::from_secs(2),
    interval: Duration::from_secs(1),
    probes: 3,
    user_timeout: Some(Duration::from_secs(5)),
};

/// Sets the options of a socket. Those of a listener hold for the connections that it accepts.
///
/// # Errors
///
/// Returns the system's error, such as for a socket that is closed already.
pub fn apply<'a>(socket: impl Into<SockRef<'a>>, options: &Options) -> io::Result<()> {
    let socket = socket.into();
    let keepalive = TcpKeepalive::new()
        .with_time(options.idle)
        .with_interval(options.interval)
        .with_retries(options.probes);
    socket.set_tcp_keepalive(&keepalive)?;
    set_user_timeout(socket, options.user_timeout)
}

/// Sets the time for which written bytes may stay unacknowledged; `None` leaves it to the system.
///
/// # Errors
///
/// Returns the system's error.
pub fn set_user_timeout<'a>(
    socket: impl Into<SockRef<'a>>,
    timeout: Option<Duration>,
) -> io::Result<()> {
    socket.into().set_tcp_user_timeout(timeout)
}
