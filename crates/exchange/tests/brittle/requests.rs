//! The way of a request.

use super::*;

impl Simulation {
    pub(super) fn arrive(&mut self, number: u32) {
        let burst = self.now >= BURST.0;
        let load = if burst {
            self.plan.burst
        } else {
            self.plan.usual
        };
        let rate = capacity(&self.plan) * load;
        let gap = -self.random.random_range(f64::EPSILON..1.0).ln() / rate;
        self.schedule(
            self.now + Duration::from_secs_f64(gap),
            Event::Arrive(number + 1),
        );
        let node = self.random.random_range(0..self.plan.nodes);
        if !self.nodes[node].alive || self.node_time(node) > self.now {
            return;
        }
        let rank = u8::from(self.random.random_bool(0.9));
        self.last_request += 1;
        let request = Request {
            node,
            rank,
            arrived: self.now,
            tried: Vec::new(),
            refusals: 0,
            attempts: 0,
            upstream: None,
            ticket: None,
            latest: ms(0),
            sent: None,
        };
        self.outcome.requests += 1;
        if burst {
            self.ranks[usize::from(rank)].1 += 1;
        }
        self.requests.insert(self.last_request, request);
        self.place(self.last_request);
    }

    pub(super) fn select(&self, request: &Request, tried: &[Upstream], id: u64) -> Selection {
        let need = Requirements {
            service: &self.service,
            target: None,
            tried,
            seed: id.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            urgent: request.rank == 0,
            prefill_time: Duration::ZERO,
            release: None,
        };
        let context = SelectionContext {
            now: self.now,
            zone: &"zone-a".into(),
            long_prompt_engines: 0.0,
            owned: |_: &Upstream| true,
        };
        select_upstream(&self.nodes[request.node].fleet, &need, &context)
    }

    pub(super) fn place(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id).cloned() else {
            return;
        };
        let Selection::Send(upstream) = self.select(&request, &request.tried, id) else {
            self.requests.remove(&id);
            return;
        };
        let node = &self.nodes[request.node];
        let known = node.fleet.upstream(&upstream).expect("it was selected");
        let tolerance = known.brittleness.tolerance().filter(|_| self.plan.permits);
        let (born, slots) = (known.listing.born, known.listing.slots);
        let entry = self.requests.get_mut(&id).expect("it is there");
        entry.upstream = Some(upstream.clone());
        let Some(tolerance) = tolerance else {
            return self.send(id);
        };
        let mut tried = request.tried.clone();
        tried.push(upstream.clone());
        let age = self.now - request.arrived;
        let patience = match self.select(&request, &tried, id) {
            Selection::Send(_) => ELSEWHERE_WAIT,
            _ if request.rank == 0 => URGENT_PATIENCE.saturating_sub(age),
            _ => LATENCY_TARGET.saturating_sub(age).max(PATIENCE_MIN),
        };
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.requests.get_mut(&id).expect("it is there").ticket = Some(ticket);
        self.outcome.permits += 1;
        let ask = Ask {
            upstream: upstream.clone(),
            born,
            ticket,
            slots,
            tolerance,
            rank: request.rank,
            patience: patience.as_millis() as u32,
            time: DEADLINE.saturating_sub(age).as_millis() as u32,
        };
        let node = &self.nodes[request.node];
        let issuer = permit::issuer(&upstream, &node.live)
            .unwrap_or(&node.vm)
            .clone();
        let part = node.live.len() as f64 / self.plan.nodes as f64;
        if issuer == node.vm && permit::room(slots, part) == 0 {
            return self.unissued(id, tolerance);
        }
        self.schedule(
            self.now + ANSWER_TIMEOUT,
            Event::AskTimeout(id, ticket, Some(ask.clone())),
        );
        let queued = self.now + patience + ANSWER_TIMEOUT * 3;
        self.schedule(queued, Event::QueueTimeout(id, ticket));
        self.requests.get_mut(&id).expect("it is there").latest = queued;
        self.post(request.node, &issuer, Message::Ask(ask));
    }

    pub(super) fn ask_timeout(&mut self, id: u64, ticket: u64, ask: Option<Ask>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let waits = request.ticket == Some(ticket) && request.sent.is_none();
        if !waits || request.attempts & 0x100 != 0 {
            return;
        }
        let (node, upstream) = (request.node, request.upstream.clone());
        let upstream = upstream.expect("it asks");
        if let Some(ask) = ask {
            let state = &self.nodes[node];
            let issuer = permit::issuer(&upstream, &state.live)
                .unwrap_or(&state.vm)
                .clone();
            self.schedule(
                self.now + ANSWER_TIMEOUT,
                Event::AskTimeout(id, ticket, None),
            );
            return self.post(node, &issuer, Message::Ask(ask));
        }
        self.end(node, &upstream, ticket, End::Unsent);
        let known = self.nodes[node].fleet.upstream(&upstream);
        let tolerance = known.and_then(|known| known.brittleness.tolerance());
        self.unissued(id, tolerance.unwrap_or_default());
    }

    pub(super) fn unissued(&mut self, id: u64, tolerance: u32) {
        let request = self.requests.get_mut(&id).expect("it is there");
        let upstream = request.upstream.clone().expect("it asks");
        request.ticket = None;
        let rate = permit::unissued_rate(tolerance, self.plan.nodes as f64);
        let now = self.now;
        let own = &mut self.nodes[request.node].unissued;
        match own.try_acquire(now, &upstream, rate, Duration::ZERO) {
            RateDecision::Granted(_) => self.send(id),
            RateDecision::Over(wait) => self.close(id, wait.min(UNISSUED_OVER_MAX)),
        }
    }

    pub(super) fn over(&mut self, id: u64, ticket: u64, wait: Duration) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.ticket != Some(ticket) || request.sent.is_some() {
            return;
        }
        let (node, upstream) = (request.node, request.upstream.clone());
        self.end(node, &upstream.expect("it asks"), ticket, End::Unsent);
        self.close(id, wait);
    }

    pub(super) fn close(&mut self, id: u64, wait: Duration) {
        let request = self.requests.get_mut(&id).expect("it is there");
        let upstream = request.upstream.take().expect("it asks");
        request.ticket = None;
        request.attempts &= 0xff;
        let urgent = request.rank == 0;
        let fleet = &mut self.nodes[request.node].fleet;
        fleet.permits_exhausted(self.now, &upstream, urgent, wait.max(OVER_MIN));
        self.place(id);
    }

    pub(super) fn runner(&self, upstream: &Upstream) -> usize {
        upstream[1..].parse().expect("a number")
    }

    pub(super) fn send(&mut self, id: u64) {
        let now = self.now;
        let request = self.requests.get_mut(&id).expect("it is there");
        request.sent = Some(now);
        request.attempts = (request.attempts & 0xff) + 1;
        let upstream = request.upstream.clone().expect("it was placed");
        self.nodes[request.node]
            .fleet
            .request_started(now, &upstream);
        self.outcome.tries += 1;
        let (runner, at) = (self.runner(&upstream), now + self.latency());
        self.schedule(at, Event::Reach(runner, id));
    }

    pub(super) fn reach(&mut self, index: usize, id: u64) {
        let bound = self.now >= ANNOUNCED + STABLE;
        let runner = &mut self.runners[index];
        let process = runner.process;
        let verdict = runner.admit(self.now, id, bound);
        let (load, crashed) = (runner.load(), runner.take_crashed());
        match verdict {
            Verdict::Runs => self.work(index, id),
            Verdict::Waits => {}
            Verdict::Refused | Verdict::Down => {
                let at = self.now + self.latency();
                self.schedule(at, Event::Answer(id, verdict, load, process));
            }
            Verdict::Answered | Verdict::Broken => {}
        }
        self.break_off(crashed, process);
    }

    pub(super) fn break_off(&mut self, requests: Vec<u64>, process: u64) {
        for id in requests {
            let at = self.now + self.latency();
            self.schedule(at, Event::Answer(id, Verdict::Broken, 0, process));
        }
    }

    pub(super) fn work(&mut self, index: usize, id: u64) {
        let factor = self.random.random_range(0.5..1.5);
        let process = self.runners[index].process;
        let at = self.now + self.plan.work.mul_f64(factor);
        self.schedule(at, Event::Done(index, process, id));
    }

    pub(super) fn done(&mut self, index: usize, process: u64, id: u64) {
        let Some(next) = self.runners[index].done(self.now, process, id) else {
            return;
        };
        if let Some(next) = next {
            self.work(index, next);
        }
        let (load, at) = (self.runners[index].load(), self.now + self.latency());
        self.schedule(at, Event::Answer(id, Verdict::Answered, load, process));
    }

    pub(super) fn answer(&mut self, id: u64, verdict: Verdict, load: u32, process: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let now = self.now;
        let (node, upstream) = (request.node, request.upstream.take());
        let upstream = upstream.expect("it was sent");
        let (ticket, sent) = (request.ticket.take(), request.sent.take());
        let (rank, arrived) = (request.rank, request.arrived);
        let runner = self.runner(&upstream);
        let fleet = &mut self.nodes[node].fleet;
        let result = match verdict {
            Verdict::Answered => AttemptResult::Success,
            Verdict::Refused => AttemptResult::Ignored,
            _ => AttemptResult::Failed,
        };
        fleet.request_ended(now, &upstream, result);
        if matches!(verdict, Verdict::Answered | Verdict::Refused)
            && self.runners[runner].process == process
        {
            let waiting = load.saturating_sub(self.plan.slots);
            let running = load - waiting;
            fleet.record_load(now, &upstream, Load { running, waiting });
            let tolerance = self.plan.tolerance.filter(|_| now >= ANNOUNCED);
            self.word(node, &upstream, sent.expect("it was sent"), tolerance);
        }
        let end = match verdict {
            Verdict::Answered => End::Whole,
            Verdict::Refused => End::Refused,
            Verdict::Broken => End::Broken,
            _ => End::Unsent,
        };
        if let Some(ticket) = ticket {
            self.end(node, &upstream, ticket, end);
        }
        if verdict == Verdict::Answered {
            self.outcome.answered += 1;
            if arrived >= BURST.0 {
                self.ranks[usize::from(rank)].0 += 1;
            }
            self.requests.remove(&id);
            return;
        }
        self.retry(id, &upstream, verdict);
    }

    pub(super) fn retry(&mut self, id: u64, upstream: &Upstream, verdict: Verdict) {
        let late = self.now;
        let request = self.requests.get_mut(&id).expect("it is there");
        request.tried.push(upstream.clone());
        request.refusals += u32::from(verdict != Verdict::Broken);
        let stops = request.refusals > REFUSALS_MAX
            || (verdict == Verdict::Broken && request.attempts >= 2)
            || late > request.arrived + DEADLINE;
        if stops {
            self.requests.remove(&id);
        } else {
            self.place(id);
        }
    }
}
