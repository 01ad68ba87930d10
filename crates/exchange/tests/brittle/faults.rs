//! Faults of nodes and upstreams.

use super::*;

impl Simulation {
    pub(super) fn fault(&mut self) {
        // The node that issues the permits of the first upstream.
        let all: Vec<Vm> = self.nodes.iter().map(|node| node.vm.clone()).collect();
        let issuer = permit::issuer("s0", &all).expect("a node").clone();
        let node = self.index(&issuer);
        let now = self.now;
        match self.plan.fault {
            Fault::None => {}
            Fault::Crash => {
                for index in (0..self.plan.upstreams).step_by(3) {
                    let process = self.runners[index].process;
                    self.runners[index].end(now);
                    let broken = self.runners[index].take_crashed();
                    self.break_off(broken, process);
                }
            }
            Fault::Start => {
                self.kill(node);
                self.schedule(now + GONE_DELAY, Event::View(node, false));
                self.schedule(now + ms(2_000), Event::Restart(node));
                self.schedule(now + ms(2_000) + BACK_DELAY, Event::View(node, true));
            }
            Fault::Pause => {
                let end = now + ms(2_000);
                self.nodes[node].paused_until = end;
                self.schedule(now + GONE_DELAY, Event::View(node, false));
                self.schedule(end + BACK_DELAY, Event::View(node, true));
            }
            Fault::Isolated => {
                let end = now + ms(4_000);
                self.nodes[node].isolated_until = end;
                self.schedule(now + GONE_DELAY, Event::View(node, false));
                self.schedule(end + BACK_DELAY, Event::View(node, true));
            }
            Fault::Release => {
                for index in 0..self.plan.upstreams {
                    let at = now + ms(1_000) * index as u32;
                    self.schedule(at, Event::Replace(index));
                }
            }
        }
    }

    pub(super) fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
        let mine = self.requests.iter();
        let mine = mine.filter(|(_, request)| request.node == node);
        let ids: Vec<u64> = mine.map(|(id, _)| *id).collect();
        for id in ids {
            let request = self.requests.remove(&id).expect("it is there");
            // The upstream drops a request whose connection is closed.
            if let (Some(upstream), Some(_)) = (&request.upstream, request.sent) {
                let index = self.runner(upstream);
                if let Some(next) = self.runners[index].drop_request(id) {
                    self.work(index, next);
                }
            }
        }
    }

    pub(super) fn restart(&mut self, node: usize) {
        let listings = (0..self.plan.upstreams).map(|index| {
            let born = self.runners[index].born;
            listing(index, born, self.plan.slots)
        });
        let listings: Vec<Listing> = listings.collect();
        let state = &mut self.nodes[node];
        state.fleet = fleet(self.now, listings);
        state.issuers = Issuers::default();
        state.unissued = RateBuckets::default();
        state.alive = true;
        let (others, me) = (state.live.clone(), state.vm.clone());
        for vm in others.iter().filter(|vm| **vm != me) {
            self.post(node, vm, Message::Hello);
        }
    }

    /// Lets nodes see that another one is gone or back.
    pub(super) fn show(&mut self, node: usize, live: bool) {
        let vm = self.nodes[node].vm.clone();
        let all: Vec<Vm> = self.nodes.iter().map(|node| node.vm.clone()).collect();
        let rest = all.iter().filter(|known| **known != vm);
        let seen = Rc::new(if live {
            all.clone()
        } else {
            rest.cloned().collect()
        });
        let alone = !live && self.plan.fault == Fault::Isolated;
        for other in &mut self.nodes {
            if other.vm != vm || live {
                other.live = seen.clone();
            } else if alone {
                other.live = Rc::new(vec![vm.clone()]);
            }
        }
    }

    /// Begins to replace a process: it gets nothing new, and another one follows.
    pub(super) fn replace(&mut self, index: usize) {
        let id = format!("s{index}");
        for node in &mut self.nodes {
            node.fleet.mark_leaving(&id);
        }
        self.schedule(self.now + ms(800), Event::Listed(index));
    }

    pub(super) fn list(&mut self, index: usize) {
        let broken = self.runners[index].replace();
        let process = self.runners[index].process;
        self.break_off(broken, process - 1);
        let born = self.runners[index].born;
        let listing = listing(index, born, self.plan.slots);
        for node in &mut self.nodes {
            node.fleet.apply_listing(self.now, listing.clone());
        }
    }
}
