//! Reads of the platform's list of VMs.

mod site;

use std::time::Duration;

use node::core::Status;
use site::Local;
use standin::platform::Mode;
use tokio::time::sleep;

/// Interval between two reads of the list.
const POLL: Duration = Duration::from_secs(2);

/// Time after the platform's return in which the list is read.
const RETURN: Duration = Duration::from_millis(800);

async fn status(local: &Local) -> Status {
    let status = local.nodes[0].core().status().await;
    status.expect("the node runs")
}

async fn list_age(local: &Local) -> Duration {
    let age = status(local).await.list_age_ms;
    Duration::from_millis(age.expect("the list was read"))
}

/// Guards against a removed upstream that goes on getting work for a whole interval more, since one read of the
/// list has failed (DRAIN).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_read_is_repeated_soon() {
    let local = Local::start(1, &[("platform.poll", "2s")]).await;
    while list_age(&local).await > POLL / 10 {
        sleep(Duration::from_millis(20)).await;
    }
    let platform = local.site.platform.state();
    platform.set_mode(Mode::Down);
    // The next read falls into this time.
    sleep(POLL + POLL / 10).await;
    platform.set_mode(Mode::Normal);
    sleep(RETURN).await;
    let age = list_age(&local).await;
    assert!(age < RETURN, "the list was read {age:?} ago");
}
