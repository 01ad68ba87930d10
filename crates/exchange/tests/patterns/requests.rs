//! The way of one request: its search, its admission and its run.

use std::time::Duration;

use exchange::demand::Target;
use exchange::owner::{Action, AdmissionRequest, Event, Grant, Message};
use exchange::search::{Limits, REPLY_TIMEOUT, Search, Step};
use exchange::selection::{Selection, Unavailable};
use rand::RngExt;
use rand_distr::{Distribution, Exp, Zipf};
use wire::{Time, Upstream};

use super::super::support::{ms, target};
use super::engine;
use super::{
    FULL_MOVES_MAX, GRANT_TIMEOUT, LEAD, Outcome, Record, Request, START_MARGIN, Scheduled,
    Simulation, TICK,
};

/// Returns the engine that was selected.
fn selected(selection: &Selection) -> Option<&Upstream> {
    match selection {
        Selection::Send(engine) | Selection::Wait(engine, _) | Selection::Load(engine) => {
            Some(engine)
        }
        Selection::None(_) => None,
    }
}

impl Simulation {
    pub(super) fn arrive(&mut self, class: usize) {
        let known = self.site.classes[class];
        let pauses = Exp::new(known.rate * self.factors[class]).expect("valid rate");
        let pause = Duration::from_secs_f64(pauses.sample(&mut self.random));
        self.schedule(pause, Scheduled::Arrival(class));
        let popularity = Zipf::new(self.site.adapters, self.site.zipf).expect("valid");
        let place: f64 = popularity.sample(&mut self.random);
        let adapter = (place as usize + self.shift) % self.site.adapters as usize;
        let now = self.now;
        let limits = Limits {
            on_time: now,
            useful: now,
        };
        self.requests.push(Request {
            node: 0,
            process: 0,
            class: known,
            target: target(&format!("a{adapter}")),
            prefill: known.draw_prefill(&mut self.random),
            decode: known.draw_decode(&mut self.random),
            first_sent: now,
            arrived: now,
            returned: false,
            search: Search::new(limits),
            limits,
            load_engine: None,
            full_moves: 0,
            awaits: None,
            step: 0,
            done: false,
        });
        self.come_in(self.requests.len() - 1);
    }

    pub(super) fn come_back(&mut self, request: usize) {
        self.requests[request].returned = true;
        self.come_in(request);
    }

    /// Brings a request to a node that takes requests.
    fn come_in(&mut self, request: usize) {
        let open: Vec<usize> = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].takes_requests())
            .collect();
        if open.is_empty() {
            return self.finish(request, Outcome::GivenUp);
        }
        let node = open[self.random.random_range(0..open.len())];
        let now = self.now;
        let arriving = &mut self.requests[request];
        let class = arriving.class;
        let left = (arriving.first_sent + class.deadline).saturating_sub(now);
        let patience = (class.latency_target * 4).max(ms(2_000)).min(left);
        let spent = arriving.prefill + START_MARGIN;
        let limits = Limits {
            on_time: (now + class.latency_target).saturating_sub(spent),
            useful: now + patience,
        };
        arriving.node = node;
        arriving.process = self.nodes[node].process;
        arriving.arrived = now;
        arriving.limits = limits;
        arriving.search = Search::new(limits);
        let (target, prefill) = (arriving.target.clone(), arriving.prefill);
        if let Some(event) = self.nodes[node].count_demand(now, &target, prefill) {
            self.step(node, event);
        }
        self.look(request);
    }

    /// Continues the search of a request.
    pub(super) fn look(&mut self, request: usize) {
        let now = self.now;
        let looking = &mut self.requests[request];
        if looking.done {
            return;
        }
        looking.step += 1;
        looking.awaits = None;
        let step = looking.step;
        if now >= looking.limits.useful {
            return self.finish(request, Outcome::GivenUp);
        }
        let node = &self.nodes[looking.node];
        if node.gone || node.process != looking.process {
            return self.finish(request, Outcome::GivenUp);
        }
        let seed = request as u64;
        let selection = node.select(now, &looking.target, looking.prefill, seed);
        if let Selection::None(lack) = selection {
            return self.lacking(request, step, lack);
        }
        let target = looking.target.clone();
        let next = node.next_step(now, &mut looking.search, selection, &target, seed);
        let rest = looking.limits.useful - now;
        match next {
            Step::Admit(engine) => self.ask_admission(request, step, engine),
            Step::Load(engine) => self.request_load(request, step, engine),
            Step::Wait(engine, wait) => {
                looking.awaits = Some(engine);
                self.schedule(wait.min(rest), Scheduled::Look(request, step));
            }
            Step::Pause(pause) => self.schedule(pause.min(rest), Scheduled::Look(request, step)),
            Step::Refuse(after) => self.refuse(request, after),
        }
    }

    fn lacking(&mut self, request: usize, step: u32, lack: Unavailable) {
        if lack == Unavailable::NoWeights {
            self.schedule(TICK, Scheduled::Look(request, step));
        } else {
            self.refuse(request, ms(800));
        }
    }

    fn request_load(&mut self, request: usize, step: u32, engine: Upstream) {
        let asking = &mut self.requests[request];
        asking.awaits = Some(engine.clone());
        let (node, target, rank) = (asking.node, asking.target.clone(), asking.class.rank);
        if asking.load_engine.as_ref() != Some(&engine) {
            self.end_load_wait(request);
            self.requests[request].load_engine = Some(engine.clone());
            self.nodes[node].waits.join(&engine, &target);
        }
        let event = Event::RequestLoad {
            engine: engine.clone(),
            target,
            rank,
        };
        self.schedule(REPLY_TIMEOUT, Scheduled::Unanswered(request, step, engine));
        self.step(node, event);
    }

    fn end_load_wait(&mut self, request: usize) {
        let waiting = &mut self.requests[request];
        let (node, target) = (waiting.node, waiting.target.clone());
        let Some(engine) = waiting.load_engine.take() else {
            return;
        };
        if self.nodes[node].leave_wait(&engine, &target) {
            self.step(node, Event::CancelLoadRequest { engine, target });
        }
    }

    fn ask_admission(&mut self, request: usize, step: u32, engine: Upstream) {
        let asking = &self.requests[request];
        let node = asking.node;
        let visit = AdmissionRequest {
            target: asking.target.clone(),
            prefill: asking.prefill,
            decode: asking.decode,
            rank: asking.class.rank,
        };
        self.requests[request].awaits = Some(engine.clone());
        if let Some((grant, actions)) = self.nodes[node].admit(self.now, &engine, &visit) {
            for action in actions {
                self.perform(node, action);
            }
            return self.granted(request, grant);
        }
        let Some(to) = self.nodes[node].owner.holder(&engine).cloned() else {
            return self.start(request, &engine);
        };
        let message = Message::RequestAdmission {
            ticket: request as u64,
            engine: engine.clone(),
            target: visit.target,
            prefill: visit.prefill.as_millis() as u32,
            decode: visit.decode.as_millis() as u32,
            rank: visit.rank,
        };
        self.schedule(GRANT_TIMEOUT, Scheduled::Start(request, step, engine));
        self.perform(node, Action::Send { to, message });
    }

    pub(super) fn granted(&mut self, request: usize, grant: Grant) {
        let now = self.now;
        let asking = &mut self.requests[request];
        let Some(engine) = asking.awaits.take().filter(|_| !asking.done) else {
            return;
        };
        asking.step += 1;
        let step = asking.step;
        let (node, prefill) = (asking.node, asking.prefill);
        let target = asking.target.clone();
        let held = self.nodes[node].heed(now, &engine, &target, &grant);
        let full = grant.running as usize > self.site.batch;
        if held && full && asking.full_moves < FULL_MOVES_MAX {
            let other = self.nodes[node].select(now, &target, prefill, request as u64);
            if selected(&other).is_some_and(|other| *other != engine) {
                self.requests[request].full_moves += 1;
                self.end_admission(node, &engine, &target);
                return self.schedule(Duration::ZERO, Scheduled::Look(request, step));
            }
        }
        if held {
            self.schedule(grant.wait, Scheduled::Start(request, step, engine));
        } else {
            self.schedule(Duration::ZERO, Scheduled::Look(request, step));
        }
    }

    pub(super) fn start(&mut self, request: usize, id: &Upstream) {
        let now = self.now;
        let starting = &mut self.requests[request];
        starting.step += 1;
        let (node, step) = (starting.node, starting.step);
        let (target, decode) = (starting.target.clone(), starting.decode);
        self.take_unused_replica(id, &target);
        let starting = &self.requests[request];
        let engine = self.engines.iter_mut().find(|known| known.id == *id);
        let engine = engine.expect("known engine");
        match engine.start(now, &target, starting.prefill, decode) {
            Err(engine::Absent) => {
                self.nodes[node].absent(now, id, &target);
                self.schedule(ms(2), Scheduled::Look(request, step));
            }
            Ok(first) => {
                let born = engine.born();
                let until = first + decode;
                self.nodes[node].started(now, id, &target, until);
                self.schedule(until - now, Scheduled::End(request, id.clone(), born));
                let outcome = self.outcome(request, first);
                self.finish(request, outcome);
            }
        }
    }

    fn outcome(&self, request: usize, first: Time) -> Outcome {
        let served = &self.requests[request];
        if first > served.limits.useful {
            Outcome::GivenUp
        } else if first <= served.first_sent + served.class.latency_target {
            Outcome::InTime
        } else {
            Outcome::Late
        }
    }

    pub(super) fn end(&mut self, request: usize, id: &Upstream, born: u64) {
        let ended = &self.requests[request];
        let (node, process) = (ended.node, ended.process);
        let target = ended.target.clone();
        if let Some(engine) = self.engines.iter_mut().find(|known| known.id == *id) {
            engine.end(born, &target);
        }
        if self.runs(node, process) {
            self.nodes[node].ended(self.now, id, &target);
            self.end_admission(node, id, &target);
        }
    }

    /// Tells the owner of an engine that an admitted request has ended or goes elsewhere.
    fn end_admission(&mut self, node: usize, id: &Upstream, target: &Target) {
        if let Some(to) = self.nodes[node].release(self.now, id, target) {
            let message = Message::RequestEnded {
                engine: id.clone(),
                target: target.clone(),
            };
            self.perform(node, Action::Send { to, message });
        }
    }

    /// Refuses a request. Its caller returns once, if it has the time.
    fn refuse(&mut self, request: usize, after: Duration) {
        let refused = &self.requests[request];
        let held = self.now - refused.arrived;
        if held > refused.class.latency_target / 8 {
            return self.finish(request, Outcome::RefusedAfterWait);
        }
        if refused.returned {
            return self.finish(request, Outcome::RefusedTwice);
        }
        let left = (refused.first_sent + refused.class.deadline).saturating_sub(self.now);
        self.end_load_wait(request);
        if after < left / 3 {
            let spread = self.random.random_range(1.0..1.5);
            self.schedule(after.mul_f64(spread), Scheduled::Return(request));
        } else {
            self.finish(request, Outcome::RefusedAtOnce);
        }
    }

    fn finish(&mut self, request: usize, outcome: Outcome) {
        self.end_load_wait(request);
        let finished = &mut self.requests[request];
        finished.done = true;
        self.report.records.push(Record {
            class: finished.class.name,
            arrived: finished.first_sent.saturating_sub(ms(1_000) + LEAD),
            prefill: finished.prefill,
            outcome,
        });
    }
}
