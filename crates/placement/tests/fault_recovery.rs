//! After each kind of fault, a small fleet serves all requests again, and the next owner of a
//! failed node's upstreams adopts every instance on them.

mod fleet;

use std::time::Duration;

use fleet::faults::Fault;
use fleet::trace::{Shape, calls};
use fleet::{Fleet, Outcome, Setup, SimEvent};
use placement::event::Fencing;
use placement::owner::slot::SlotState;
use rstest::rstest;

const NODES: usize = 4;
const FAULT: Duration = Duration::from_secs(30);
/// Time after a fault from which on every call must be served. It covers the lag of the list of
/// VMs, the durations of leases and reports, and the time for which a new process leaves its share
/// unused.
const RECOVERY: Duration = Duration::from_secs(40);
const LENGTH: Duration = Duration::from_secs(120);

fn fleet(fencing: Fencing, seed: u64) -> Fleet {
    let shape = Shape {
        seed,
        nodes: NODES,
        adapters: 40,
        exponent: 1.0,
        rate: 1.5,
        swing: 0.0,
        term: LENGTH,
        length: LENGTH,
        steps: (5, 40),
        hotspot: None,
    };
    let mut fleet = Fleet::new(Setup {
        nodes: NODES,
        engines: 3,
        slots: 4,
        fencing,
        seed,
        ..Setup::default()
    });
    for mut call in calls(&shape) {
        call.at += Duration::from_secs(8);
        fleet.schedule(call.at, SimEvent::Call(call));
    }
    fleet
}

#[rstest]
#[case::death(vec![Fault::Kill(1)])]
#[case::two_deaths(vec![Fault::Kill(0), Fault::Kill(2)])]
#[case::pause(vec![Fault::Pause(1, Duration::from_secs(12))])]
#[case::partition(vec![Fault::Partition(vec![0, 0, 1, 1])])]
#[case::restart(vec![Fault::Restart(0), Fault::Restart(2)])]
fn serves_again(
    #[case] faults: Vec<Fault>,
    #[values(Fencing::RefusesOld, Fencing::Ignores)] fencing: Fencing,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = fleet(fencing, seed);
    for fault in faults {
        fleet.schedule(FAULT, SimEvent::Fault(fault));
    }
    let healed = Fault::Partition(vec![0; NODES]);
    fleet.schedule(FAULT + Duration::from_secs(15), SimEvent::Fault(healed));
    fleet.run(FAULT + RECOVERY);
    let loads = fleet.stats.loads;
    fleet.run(LENGTH + Duration::from_secs(70));
    assert_eq!(fleet.stats.evictions_in_use, 0);
    assert_eq!(fleet.stats.wrong, 0);
    assert!(
        fleet.stats.loads > loads,
        "no load was ordered after the fault"
    );
    for (id, (call, _)) in &fleet.calls {
        if call.at > FAULT + RECOVERY {
            assert_eq!(
                fleet.stats.outcomes.get(id),
                Some(&Outcome::Served),
                "{call:?}"
            );
        }
    }
    for (index, engine) in fleet.engines.iter().enumerate() {
        let id = format!("runner-{index}");
        let owned = |node: &&fleet::Node| {
            node.alive
                && node
                    .planner
                    .owners()
                    .iter()
                    .any(|o| *o.upstream().id == *id)
        };
        assert_eq!(
            fleet.nodes.iter().filter(owned).count(),
            1,
            "wrong number of owners of {id}"
        );
        assert!(
            engine.load() == 0,
            "{id} still has running or queued requests"
        );
        let owners = fleet.nodes.iter().flat_map(|n| n.planner.owners());
        for slot in owners
            .filter(|o| *o.upstream().id == *id)
            .flat_map(|o| o.slots())
        {
            assert_ne!(
                slot.state,
                SlotState::Foreign,
                "{} was not adopted",
                slot.instance
            );
        }
    }
}
