//! The surroundings of a fleet: own platforms, own links, partitions between any two places.

use std::net::SocketAddr;
use std::time::Duration;

use platform::http::Limits;
use platform::{Http, Role, Source, State};
use standin::fleet::{Config, Fleet};
use standin::platform::Mode;
use standin::site;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const PATIENT: Duration = Duration::from_secs(20);

fn source(fleet: &Fleet, index: usize) -> Http {
    let limits = Limits {
        connect: PATIENT,
        answer: PATIENT,
    };
    Http::new([fleet.places[index].platform], limits)
}

/// Where the node at `index` reaches `vm`.
async fn address(fleet: &Fleet, index: usize, vm: &str) -> SocketAddr {
    let list = source(fleet, index).members().await.unwrap();
    let member = list
        .members
        .iter()
        .find(|member| &*member.vm == vm)
        .unwrap();
    match &member.role {
        Role::Entry { peers, .. } => *peers,
        Role::Runner { address, .. } => *address,
    }
}

/// Tells whether `vm` answers the node at `index` with anything.
async fn reaches(fleet: &Fleet, index: usize, vm: &str, limit: Duration) -> bool {
    let mut stream = TcpStream::connect(address(fleet, index, vm).await)
        .await
        .unwrap();
    stream
        .write_all(b"GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .unwrap();
    let mut first = [0; 1];
    timeout(limit, stream.read_exact(&mut first))
        .await
        .is_ok_and(|read| read.is_ok())
}

async fn fleet() -> Fleet {
    let config = Config {
        nodes: 3,
        site: site::Config {
            engines: 2,
            services: 1,
            ..site::Config::default()
        },
        ..Config::default()
    };
    Fleet::start(config).await.unwrap()
}

#[tokio::test]
async fn partition_applies_between_any_two_places() {
    let fleet = fleet().await;
    let listener = TcpListener::bind(fleet.places[1].peers).await.unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.write_all(b"x").await;
        }
    });
    let groups = [["vm-1", "engine-1"], ["vm-2", "vm-3"]];
    fleet.partition(groups.map(|group| group.map(str::to_owned).to_vec()));
    let short = Duration::from_millis(200);
    for (index, vm, expected) in [
        (0, "engine-1", true),
        (0, "engine-2", true),
        (0, "vm-2", false),
        (1, "engine-1", false),
        (2, "vm-2", true),
    ] {
        let limit = if expected { PATIENT } else { short };
        assert_eq!(
            reaches(&fleet, index, vm, limit).await,
            expected,
            "{index} to {vm}"
        );
    }
    fleet.partition([]);
    assert!(reaches(&fleet, 0, "vm-2", PATIENT).await);
    assert!(reaches(&fleet, 1, "engine-1", PATIENT).await);
}

#[tokio::test]
async fn platform_fails_for_one_node_alone() {
    let mut fleet = fleet().await;
    let old = fleet.publish("rules", "old");
    fleet.set_mode(1, Mode::Stale);
    let new = fleet.publish("rules", "new");
    for (index, expected) in [(0, new), (1, old), (2, new)] {
        let value = source(&fleet, index).read("rules").await.unwrap().unwrap();
        assert_eq!(value.revision, expected);
    }
    fleet.mark("engine-1", State::Leaving);
    let list = source(&fleet, 2).members().await.unwrap();
    let leaving: Vec<&str> = list
        .members
        .iter()
        .filter(|member| member.state == State::Leaving)
        .map(|member| &*member.vm)
        .collect();
    assert_eq!((list.members.len(), leaving), (6, vec!["engine-1"]));
    assert_eq!((fleet.calls(2).reads, fleet.calls(2).members), (1, 1));
}
