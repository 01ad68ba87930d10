//! A simulated node: its decisions, and its view of the engines.

use std::time::Duration;

use exchange::demand::{Demand, Target};
use exchange::fleet::{Listing, Load, Presence};
use exchange::owner::{self, Action, AdmissionRequest, Event, Grant, Owner, REPLICA_RANK};
use exchange::route::{Config, Service};
use exchange::search::{SILENT_OWNER_WAIT, Search, Step, View, Waits};
use exchange::selection::{
    Requirements, SelectionContext, missing_replica, select_upstream, shortest_load_wait,
    soonest_resident,
};
use exchange::{Fleet, Selection};
use wire::{Time, Upstream, Vm, Zone};

use super::super::support::{config, engine_service, ms, owner_config};
use super::Site;

pub struct Node {
    pub vm: Vm,
    pub owner: Owner,
    pub fleet: Fleet,
    pub waits: Waits,
    pub process: u32,
    pub leaving: bool,
    pub gone: bool,
    /// Whether its peers have answered.
    pub met: bool,
    /// Whether it has heard of the claims of others.
    pub settled: bool,
    demand: Demand,
    service: Service,
    zone: Zone,
    /// When the last replica was requested.
    replica_at: Time,
}

struct NodeView<'a, F> {
    node: &'a Node,
    requirements: &'a Requirements<'a>,
    context: &'a SelectionContext<'a, F>,
}

impl<F: Fn(&Upstream) -> bool> View for NodeView<'_, F> {
    fn load_wait(&self, engine: &Upstream) -> Option<Duration> {
        let known = self.node.fleet.upstream(engine)?;
        let open = known.is_eligible() && (self.context.owned)(engine);
        open.then(|| known.load_backlog(self.context.now))
    }

    fn shortest_wait(&self) -> Option<(Upstream, Duration)> {
        shortest_load_wait(&self.node.fleet, self.requirements, self.context)
    }

    fn soonest_resident(&self) -> Option<(Upstream, Duration)> {
        soonest_resident(&self.node.fleet, self.requirements, self.context)
    }

    fn claim_delay(&self) -> Duration {
        self.node.owner.claim_delay(self.context.now)
    }
}

/// Returns the pool of engines of `site`.
fn service(site: &Site) -> Service {
    let mut service = engine_service();
    if let Some(engine) = &mut service.engine {
        engine.max_batch = u32::try_from(site.batch).expect("few slots");
        engine.adapter_slots = site.slots;
        engine.loads_per_second = 2.8;
        engine.weights[0].load_time = site.base_load;
    }
    service
}

fn configuration(site: &Site) -> Config {
    Config::new(1, Vec::new(), [service(site)], config(Vec::new()).limits)
}

impl Node {
    pub fn new(now: Time, index: usize, process: u32, site: &Site, listings: Vec<Listing>) -> Self {
        let vm = format!("vm-{index}");
        let settings = owner::Config {
            engines_check_fences: site.fenced,
            parallel_loads: 2,
            ..owner_config(&vm, index as u64 + 1 + u64::from(process) * 100)
        };
        let mut node = Self {
            owner: Owner::new(settings),
            vm: vm.into(),
            fleet: Fleet::default(),
            waits: Waits::default(),
            process,
            leaving: false,
            gone: false,
            met: true,
            settled: true,
            demand: Demand::default(),
            service: service(site),
            zone: "zone-a".into(),
            replica_at: Time::ZERO,
        };
        node.list(now, site, &listings);
        node
    }

    pub fn list(&mut self, now: Time, site: &Site, listings: &[Listing]) {
        for listing in listings {
            self.fleet.apply_listing(now, listing.clone());
        }
        self.fleet.configure(&configuration(site));
    }

    pub const fn takes_requests(&self) -> bool {
        self.met && !self.leaving && !self.gone
    }

    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.owner.step(now, &self.fleet, event, &mut actions);
        owner::apply_to_fleet(now, &mut self.fleet, &actions);
        self.owner.issue_orders(now, &self.fleet, &mut actions);
        actions
    }

    fn requirements<'a>(
        &'a self,
        target: &'a Target,
        prefill: Duration,
        seed: u64,
    ) -> Requirements<'a> {
        Requirements {
            service: &self.service,
            target: Some(target),
            tried: &[],
            seed,
            urgent: false,
            prefill_time: prefill,
            release: None,
        }
    }

    fn context(&self, now: Time) -> SelectionContext<'_, impl Fn(&Upstream) -> bool> {
        SelectionContext {
            now,
            zone: &self.zone,
            long_prompt_engines: self.demand.long_prompt_engines(now),
            owned: |id: &Upstream| self.owner.holder(id).is_some(),
        }
    }

    /// Counts a request. Returns the request for a replica that its demand calls for.
    pub fn count_demand(&mut self, now: Time, target: &Target, prefill: Duration) -> Option<Event> {
        self.demand.add(now, target);
        let long = self.requirements(target, prefill, 0).has_long_prompt();
        self.demand.record_prompt(now, prefill, long);
        if long && self.demand.long_prompt_engines(now) > 0.0 || now < self.replica_at + ms(500) {
            return None;
        }
        let requirements = self.requirements(target, prefill, 0);
        let engine = missing_replica(now, &self.fleet, &self.demand, &requirements)?;
        self.replica_at = now;
        Some(Event::RequestLoad {
            engine,
            target: target.clone(),
            rank: REPLICA_RANK,
        })
    }

    pub fn select(&self, now: Time, target: &Target, prefill: Duration, seed: u64) -> Selection {
        let requirements = self.requirements(target, prefill, seed);
        select_upstream(&self.fleet, &requirements, &self.context(now))
    }

    pub fn next_step(
        &self,
        now: Time,
        search: &mut Search,
        selection: Selection,
        target: &Target,
        seed: u64,
    ) -> Step {
        let view = NodeView {
            node: self,
            requirements: &self.requirements(target, Duration::ZERO, seed),
            context: &self.context(now),
        };
        search.next(now, selection, &view)
    }

    /// Admits a request to an engine that this node owns.
    pub fn admit(
        &mut self,
        now: Time,
        id: &Upstream,
        visit: &AdmissionRequest,
    ) -> Option<(Grant, Vec<Action>)> {
        let grant = self.owner.admit(now, &self.fleet, id, visit)?;
        let mut actions = Vec::new();
        self.owner
            .spread(now, &self.fleet, id, &visit.target, &mut actions);
        Some((grant, actions))
    }

    /// Applies what an owner said with a grant. Returns whether the target is resident.
    pub fn heed(&mut self, now: Time, id: &Upstream, target: &Target, grant: &Grant) -> bool {
        self.fleet
            .set_prefill_backlog(now, id, grant.prefill_backlog);
        self.fleet.set_load_backlog(now, id, grant.backlog);
        let load = Load {
            running: grant.running,
            waiting: 0,
        };
        self.fleet.record_load(now, id, load);
        self.fleet.set_presence(now, id, target, grant.presence);
        matches!(grant.presence, Presence::Held(_))
    }

    pub fn owner_silent(&mut self, now: Time, id: &Upstream) {
        self.fleet.set_load_backlog(now, id, SILENT_OWNER_WAIT);
    }

    pub fn absent(&mut self, now: Time, id: &Upstream, target: &Target) {
        self.fleet.set_presence(now, id, target, Presence::Absent);
    }

    pub fn started(&mut self, now: Time, id: &Upstream, target: &Target, until: Time) {
        self.fleet.request_started(now, id);
        self.owner.request_started(id, target, until);
    }

    /// Records the end of a request.
    pub fn ended(&mut self, now: Time, id: &Upstream, target: &Target) {
        let result = exchange::fleet::AttemptResult::Success;
        self.fleet.request_ended(now, id, result);
        self.owner.request_ended(id, target);
    }

    /// Ends an admission. Returns the owner to tell, if that is another node.
    pub fn release(&mut self, now: Time, id: &Upstream, target: &Target) -> Option<Vm> {
        if self.owner.release_admission(now, id, target) {
            return None;
        }
        self.owner.holder(id).cloned()
    }

    /// Records that a request no longer waits. Returns whether its load is to be cancelled.
    pub fn leave_wait(&mut self, id: &Upstream, target: &Target) -> bool {
        let last = self.waits.leave(id, target);
        let known = self.fleet.upstream(id);
        last && known.is_some_and(|known| known.presence(target) == Presence::Absent)
    }
}
