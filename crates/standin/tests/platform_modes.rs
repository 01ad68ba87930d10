//! The platform's stand-in as its driver sees it.

use std::time::Duration;

use platform::http::{Limits, VALUE_BYTES_MAX};
use platform::{Error, Http, Member, Role, Source, State};
use rstest::rstest;
use standin::platform::{Config, Mode, Server};
use tokio::time::{Instant, sleep};

const WAIT: Duration = Duration::from_secs(20);

fn quick() -> Limits {
    Limits {
        connect: Duration::from_millis(500),
        answer: Duration::from_millis(500),
    }
}

fn patient() -> Limits {
    Limits {
        connect: WAIT,
        answer: WAIT,
    }
}

async fn start() -> Server {
    Server::start(Config::default()).await.unwrap()
}

fn member(vm: &str) -> Member {
    Member {
        vm: vm.into(),
        role: Role::Entry {
            callers: "127.0.0.1:1".parse().unwrap(),
            peers: "127.0.0.1:2".parse().unwrap(),
        },
        region: "accra".into(),
        zone: "osu".into(),
        state: State::Live,
    }
}

#[tokio::test]
async fn values_are_read_and_watched() {
    let server = start().await;
    let source = Http::new([server.address()], patient());
    assert_eq!(source.read("rules").await.unwrap(), None);
    let first = server.state().publish("rules", "one", None);
    let read = source.read("rules").await.unwrap().unwrap();
    assert_eq!((read.revision, &read.body[..]), (first, &b"one"[..]));
    let nothing = source
        .watch("rules", first, Duration::from_millis(30))
        .await
        .unwrap();
    assert_eq!(nothing, None);
    let waiting = source.watch("rules", first, WAIT);
    let publish = async {
        sleep(Duration::from_millis(30)).await;
        server.state().publish("other", "x", None);
        server.state().publish("rules", "two", None)
    };
    let (seen, second) = tokio::join!(waiting, publish);
    let seen = seen.unwrap().unwrap();
    assert_eq!((seen.revision, &seen.body[..]), (second, &b"two"[..]));
    // A revision that is there already is given at once.
    assert!(source.watch("rules", first, WAIT).await.unwrap().is_some());
    let calls = server.state().calls();
    assert_eq!((calls.reads, calls.watches, calls.members), (2, 3, 0));
}

#[tokio::test]
async fn stale_platform_serves_an_old_revision() {
    let server = start().await;
    let source = Http::new([server.address()], patient());
    let old = server.state().publish("rules", "old", None);
    server.state().set_mode(Mode::Stale);
    let new = server.state().publish("rules", "new", None);
    assert_eq!(source.read("rules").await.unwrap().unwrap().revision, old);
    assert_eq!(
        source
            .watch("rules", old, Duration::from_millis(20))
            .await
            .unwrap(),
        None
    );
    server.state().set_mode(Mode::Normal);
    assert_eq!(source.read("rules").await.unwrap().unwrap().revision, new);
}

#[rstest]
#[case::down(Mode::Down)]
#[case::hanging(Mode::Hang)]
#[tokio::test]
async fn another_address_is_tried(#[case] mode: Mode) {
    let (broken, sound) = (start().await, start().await);
    broken.state().set_mode(mode);
    sound.state().publish("rules", "x", None);
    let alone = Http::new([broken.address()], quick());
    match (mode, alone.read("rules").await.unwrap_err()) {
        (Mode::Down, Error::Unreachable { .. }) | (Mode::Hang, Error::Timeout(_)) => {}
        (_, other) => panic!("{other:?}"),
    }
    let source = Http::new([broken.address(), sound.address()], quick());
    assert!(source.read("rules").await.unwrap().is_some());
    // The address that answered last goes first.
    let begun = Instant::now();
    assert!(source.read("rules").await.unwrap().is_some());
    assert_eq!(sound.state().calls().reads, 2);
    assert!(mode != Mode::Hang || begun.elapsed() < quick().answer);
}

#[tokio::test]
async fn too_large_value_is_refused() {
    let server = start().await;
    let source = Http::new([server.address()], patient());
    server
        .state()
        .publish("fits", vec![b'x'; VALUE_BYTES_MAX], None);
    assert!(source.read("fits").await.unwrap().is_some());
    server
        .state()
        .publish("large", vec![b'x'; VALUE_BYTES_MAX + 1], None);
    assert!(matches!(
        source.read("large").await,
        Err(Error::Large { .. })
    ));
}

#[tokio::test]
async fn members_show_after_their_lag() {
    let server = start().await;
    let source = Http::new([server.address()], patient());
    let state = server.state();
    state.set_members([member("vm-2"), member("vm-1")]);
    let list = source.members().await.unwrap();
    let names: Vec<&str> = list.members.iter().map(|member| &*member.vm).collect();
    assert_eq!((list.revision, names), (Some(1), vec!["vm-1", "vm-2"]));
    state.set_lag(WAIT);
    let mut leaving = member("vm-1");
    leaving.state = State::Leaving;
    state.merge_members([leaving.clone()]);
    assert_eq!(source.members().await.unwrap(), list);
    state.set_lag(Duration::ZERO);
    state.remove_member("vm-2");
    let newer = source.members().await.unwrap();
    assert_eq!((newer.revision, newer.members), (Some(3), vec![leaving]));
}

#[rstest]
#[case::no_revision("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx")]
#[case::no_http("nonsense")]
#[case::cut("HTTP/1.1 200 OK\r\nx-revision: 1\r\ncontent-length: 9\r\n\r\nx")]
#[case::endless_head(&format!("HTTP/1.1 200 OK\r\nx: {}", "y".repeat(1 << 20)))]
#[tokio::test]
async fn bad_answer_is_an_error(#[case] answer: &str) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let source = Http::new([listener.local_addr().unwrap()], patient());
    let serve = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).await;
        // The reader may close before the end of what is too long.
        let _ = stream.write_all(answer.as_bytes()).await;
    };
    let (read, ()) = tokio::join!(source.read("rules"), serve);
    let error = read.unwrap_err();
    assert!(
        matches!(error, Error::Malformed { .. } | Error::Unreachable { .. }),
        "{error:?}"
    );
}
