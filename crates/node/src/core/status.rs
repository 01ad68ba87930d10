//! What a node tells operators about itself.

use std::time::Duration;

use placement::budget::Budget;
use placement::owner::Owner;
use placement::owner::slot::{Slot, SlotState};
use serde::{Deserialize, Serialize};
use wire::view::State as PeerState;
use wire::{Priority, Revision, Time, Upstream, Vm, Zone};

use super::State;

/// One node's state, as JSON for the operator client.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The VM.
    pub vm: Vm,
    /// The process on it.
    pub incarnation: String,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it takes traffic.
    pub ready: bool,
    /// Whether it shuts down.
    pub leaving: bool,
    /// Time since the start in milliseconds.
    pub uptime_ms: u64,
    /// Revision in force.
    pub revision: Option<Revision>,
    /// Time since it was adopted here in milliseconds.
    pub revision_age_ms: Option<u64>,
    /// Time since the list of VMs was read in milliseconds.
    pub list_age_ms: Option<u64>,
    /// Newest revision that was refused, and why.
    pub refused: Option<(Revision, String)>,
    /// Requests of callers in progress.
    pub flying: u64,
    /// Requests that wait for a grant.
    pub placing: usize,
    /// Whether calls that may not be repeated can be decided.
    pub claims_ready: bool,
    /// Keys of such calls remembered here.
    pub claim_records: usize,
    /// The region's nodes as this one sees them.
    pub peers: Vec<PeerStatus>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// The engines that this node owns.
    pub owned: Vec<Owned>,
    /// The region's weight stores.
    pub stores: Vec<StoreStatus>,
}

/// A peer as one node sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The VM.
    pub vm: Vm,
    /// Its availability zone.
    pub zone: Zone,
    /// What is believed of it.
    pub state: PeerState,
}

/// An upstream as one node sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Its id.
    pub id: Upstream,
    /// Its pool.
    pub pool: String,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Whether its owner cannot reach it; known at the owner only.
    pub down: bool,
    /// The node that owns it.
    pub owner: Option<Vm>,
    /// Calls of this node in progress on it.
    pub in_flight: usize,
}

/// A weight store as one node sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreStatus {
    /// Its name.
    pub id: String,
    /// Whether this node holds the budget of the region's loads.
    pub holds: bool,
    /// Engines of this node that wait for a load.
    pub waiting: usize,
    /// Loads that this node has allowed and that may still be in flight.
    pub in_flight: usize,
}

/// An engine at its owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Owned {
    /// Its id.
    pub id: Upstream,
    /// Its pool.
    pub pool: String,
    /// Adapters that it holds at once.
    pub slots: usize,
    /// Number of the ownership.
    pub claim: wire::Fence,
    /// The instances in its slots.
    pub residents: Vec<Resident>,
    /// Adapter versions that wait for a load.
    pub queue: Vec<Wait>,
}

/// An instance in a slot of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Resident {
    /// The adapter version; `None` where another node gave the instance's name.
    pub model: Option<String>,
    /// Name under which the engine holds it.
    pub instance: String,
    /// `loading`, `ready`, `evicting`, `unknown` or `foreign`.
    pub state: String,
    /// Nodes that hold a lease on it.
    pub leases: Vec<Vm>,
}

/// An adapter version that waits for a load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Wait {
    /// The adapter version.
    pub model: String,
    /// Highest priority among its requests.
    pub priority: String,
    /// Requests that wait for it.
    pub requests: u32,
    /// Age of the oldest in milliseconds.
    pub age_ms: u64,
}

impl State {
    pub(super) fn status(&self) -> Status {
        let shared = &self.shared;
        let now = shared.clock.now();
        let view = shared.view.load();
        let directory = shared.directory.load();
        let budgets = self.logic.placement().budgets();
        Status {
            vm: shared.me.vm.clone(),
            incarnation: shared.me.to_string(),
            zone: shared.settings.vm.zone.clone(),
            ready: shared.ready(),
            leaving: shared.leaving(),
            uptime_ms: millis(now),
            revision: shared.rules.load().as_ref().map(|rules| rules.revision),
            revision_age_ms: self.adopted.map(|at| millis(now - at)),
            list_age_ms: self.listed_at.map(|at| millis(now - at)),
            refused: self.refused.clone(),
            flying: shared.flying(),
            placing: self.placing.len(),
            claims_ready: self.logic.once().ready(now),
            claim_records: self.logic.once().known_keys(),
            peers: view.peers().iter().map(peer_status).collect(),
            upstreams: directory
                .runners()
                .iter()
                .map(|runner| UpstreamStatus {
                    id: runner.id.clone(),
                    pool: runner.pool.to_string(),
                    leaving: runner.leaving,
                    down: self.down.contains(&runner.id),
                    owner: view.owner(&runner.id).cloned(),
                    in_flight: runner.load(),
                })
                .collect(),
            owned: self
                .logic
                .placement()
                .owners()
                .iter()
                .map(|owner| owned(owner, now))
                .collect(),
            stores: budgets.iter().map(store).collect(),
        }
    }
}

fn store(budget: &Budget) -> StoreStatus {
    StoreStatus {
        id: budget.store().id.to_string(),
        holds: budget.is_holder(),
        waiting: budget.waiting_upstreams(),
        in_flight: budget.issued_tickets(),
    }
}

fn owned(owner: &Owner, now: Time) -> Owned {
    let waits = owner.queue().entries().iter().map(|entry| {
        let want = entry.want();
        Wait {
            model: entry.model.to_string(),
            priority: want.priority.map_or("prefetch", Priority::name).to_owned(),
            requests: want.waiting,
            age_ms: millis(now.saturating_sub(want.since)),
        }
    });
    Owned {
        id: owner.upstream().id.clone(),
        pool: owner.upstream().pool.to_string(),
        slots: owner.upstream().slots,
        claim: owner.claim(),
        residents: owner.slots().iter().map(resident).collect(),
        queue: waits.collect(),
    }
}

fn resident(slot: &Slot) -> Resident {
    let state = match slot.state {
        SlotState::Loading { .. } => "loading",
        SlotState::Ready => "ready",
        SlotState::Evicting { .. } => "evicting",
        SlotState::Unknown { .. } => "unknown",
        SlotState::Foreign => "foreign",
    };
    let holders = slot.leases.iter().map(|lease| lease.holder.vm.clone());
    Resident {
        model: slot.model.as_ref().map(ToString::to_string),
        instance: slot.instance.to_string(),
        state: state.to_owned(),
        leases: holders.collect(),
    }
}

fn peer_status(peer: &wire::view::Peer) -> PeerStatus {
    PeerStatus {
        vm: peer.incarnation.vm.clone(),
        zone: peer.zone.clone(),
        state: peer.state,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
