//! Options that are set on a socket.

use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use rstest::rstest;
use socket::{CALLER, Options, PEER, UPSTREAM};
use socket2::SockRef;

/// Longest silence of a sound machine.
const SOUND_SILENCE: Duration = Duration::from_secs(2);

/// Time in which a machine that has gone is noticed.
const GONE: Duration = Duration::from_secs(10);

fn read(socket: SockRef<'_>) -> Options {
    Options {
        idle: socket.tcp_keepalive_time().expect("an open socket"),
        interval: socket.tcp_keepalive_interval().expect("an open socket"),
        probes: socket.tcp_keepalive_retries().expect("an open socket"),
        user_timeout: socket
            .tcp_user_timeout()
            .expect("an open socket")
            .filter(|time| !time.is_zero()),
    }
}

/// Connections have the options of the listener that accepted them.
#[rstest]
#[case(CALLER)]
#[case(UPSTREAM)]
#[case(PEER)]
fn accepted_connection_inherits(#[case] options: Options) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    socket::apply(&listener, &options).expect("an open socket");
    let address = listener.local_addr().expect("bound");
    let connected = TcpStream::connect(address).expect("a listener");
    let (accepted, _) = listener.accept().expect("a connection");
    let accepted = SockRef::from(&accepted);
    assert!(accepted.keepalive().expect("an open socket"));
    assert_eq!(read(accepted), options);
    assert!(
        !SockRef::from(&connected)
            .keepalive()
            .expect("an open socket")
    );
}

/// A peer that has gone is noticed in seconds, and one that is silent for a second or two is kept, by
/// keep-alive as well as by the user timeout: on Linux the latter decides where it is set.
#[rstest]
#[case(CALLER)]
#[case(UPSTREAM)]
#[case(PEER)]
fn times_agree(#[case] options: Options) {
    let keepalive = options.idle + options.interval * options.probes;
    assert!(
        options.interval * options.probes > SOUND_SILENCE,
        "{options:?}"
    );
    assert!(keepalive <= GONE, "{options:?}");
    assert!(
        options.user_timeout.is_none_or(|time| time == keepalive),
        "{options:?}"
    );
}
