//! Messages between the nodes.

use super::*;

impl Simulation {
    /// Sends a message from one node to another one, or to itself.
    pub(super) fn post(&mut self, from: usize, to: &Vm, message: Message) {
        let sender = self.nodes[from].vm.clone();
        if *to == sender {
            return self.take(from, &sender, message);
        }
        let bytes = wire::frame::encode(&message).map_or(0, |bytes| bytes.len());
        self.nodes[from].bytes += bytes + DATAGRAM_OVERHEAD;
        let index = self.index(to);
        self.nodes[index].bytes += bytes + DATAGRAM_OVERHEAD;
        let cut = |node: &Node| self.now < node.isolated_until;
        let lost = cut(&self.nodes[from]) || cut(&self.nodes[index]);
        if lost || self.random.random_bool(self.plan.loss) {
            return;
        }
        let at = self.now + self.latency();
        self.schedule(at, Event::Deliver(index, sender, message));
    }

    pub(super) fn index(&self, vm: &Vm) -> usize {
        vm[3..].parse().expect("a number")
    }

    pub(super) fn take(&mut self, node: usize, from: &Vm, message: Message) {
        let now = self.now;
        let mut out = Vec::new();
        let state = &mut self.nodes[node];
        let live = state.live.clone();
        let view = View {
            live: &live,
            part: live.len() as f64 / self.plan.nodes as f64,
        };
        match message {
            Message::Ask(ask) => {
                let known = state.fleet.upstream(&ask.upstream).expect("listed");
                let same = known.listing.born == ask.born;
                let notice = known.brittleness.notice(now);
                let notice = if same { notice } else { Duration::ZERO };
                state.issuers.ask(now, view, from, (&ask, notice), &mut out);
            }
            Message::Reply { ticket, reply } => self.reply(ticket, reply),
            Message::End {
                upstream,
                ticket,
                end,
            } => {
                let ended = (ticket, end);
                state
                    .issuers
                    .end(now, view, from, &upstream, ended, &mut out);
            }
            Message::Query {
                upstream,
                born,
                tolerance,
            } => self.query(node, from, upstream, born, tolerance),
            Message::Report {
                upstream,
                born,
                report,
            } => {
                let process = (&upstream, born);
                state
                    .issuers
                    .report(now, view, from, process, &report, &mut out);
            }
            Message::Hello => state.issuers.greet(now, from, &mut out),
            Message::News {
                upstream,
                born,
                tolerance,
                age,
                notice,
            } => {
                let known = state.fleet.upstream(&upstream);
                if known.is_some_and(|known| known.listing.born == born) {
                    let sent = now.saturating_sub(ms(age.into()));
                    let news = (tolerance, ms(notice.into()));
                    state
                        .fleet
                        .record_brittleness_news(now, &upstream, sent, news);
                }
            }
        }
        for action in out {
            self.post(node, &action.to, action.message);
        }
    }

    pub(super) fn query(
        &mut self,
        node: usize,
        from: &Vm,
        upstream: Upstream,
        born: Option<u64>,
        tolerance: u32,
    ) {
        let now = self.now;
        let state = &mut self.nodes[node];
        let known = state.fleet.upstream(&upstream).expect("listed");
        if known.listing.born != born {
            return;
        }
        let running = known.running;
        let brittleness = known.brittleness;
        if brittleness.tolerance().is_none() && brittleness.notice(now).is_zero() {
            let news = (Some(tolerance), Duration::ZERO);
            state
                .fleet
                .record_brittleness_news(now, &upstream, now, news);
        }
        let mine = self
            .requests
            .values()
            .filter(|request| request.node == node && request.upstream.as_ref() == Some(&upstream));
        let open = mine.filter_map(|request| Some((request.ticket?, request)));
        let left =
            |request: &Request| (request.arrived + DEADLINE).saturating_sub(now).as_millis() as u32;
        let held = open.clone().filter(|(_, request)| request.sent.is_some());
        let mut held: Vec<(u64, u32)> = held
            .map(|(ticket, request)| (ticket, left(request)))
            .collect();
        held.sort_unstable();
        let asked = open.filter(|(_, request)| request.sent.is_none());
        let mut asked: Vec<u64> = asked.map(|(ticket, _)| ticket).collect();
        asked.sort_unstable();
        let report = Report {
            others: running.saturating_sub(held.len() as u32),
            held,
            asked,
            last: self.last_ticket,
        };
        let report = Message::Report {
            upstream,
            born,
            report,
        };
        self.post(node, from, report);
    }

    pub(super) fn asking(&self, ticket: u64) -> Option<u64> {
        let mut requests = self.requests.iter();
        let found =
            requests.find(|(_, request)| request.ticket == Some(ticket) && request.sent.is_none());
        found.map(|(id, _)| *id)
    }

    pub(super) fn reply(&mut self, ticket: u64, reply: Reply) {
        let Some(id) = self.asking(ticket) else {
            return;
        };
        match reply {
            Reply::Granted if self.now > self.requests[&id].latest => {
                self.over(id, ticket, OVER_MIN);
            }
            Reply::Granted => self.send(id),
            Reply::Queued => {
                let request = self.requests.get_mut(&id).expect("it is there");
                // The first time-out does not concern it any more.
                request.attempts |= 0x100;
            }
            Reply::Over(wait) => self.over(id, ticket, ms(wait.into())),
        }
    }

    pub(super) fn end(&mut self, node: usize, upstream: &Upstream, ticket: u64, end: End) {
        let state = &self.nodes[node];
        let issuer = permit::issuer(upstream, &state.live).unwrap_or(&state.vm);
        let message = Message::End {
            upstream: upstream.clone(),
            ticket,
            end,
        };
        let issuer = issuer.clone();
        self.post(node, &issuer, message);
    }

    pub(super) fn word(
        &mut self,
        node: usize,
        upstream: &Upstream,
        sent: Time,
        tolerance: Option<u32>,
    ) {
        let now = self.now;
        let state = &mut self.nodes[node];
        let sent = if tolerance.is_some() { now } else { sent };
        if !state
            .fleet
            .record_brittleness(now, upstream, sent, tolerance)
        {
            return;
        }
        let known = state.fleet.upstream(upstream).expect("listed");
        let news = Message::News {
            upstream: upstream.clone(),
            born: known.listing.born,
            tolerance,
            age: 0,
            notice: known.brittleness.notice(now).as_millis() as u32,
        };
        let (live, me) = (state.live.clone(), state.vm.clone());
        for vm in live.iter().filter(|vm| **vm != me) {
            self.post(node, vm, news.clone());
        }
    }

    pub(super) fn advance(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        let now = self.now;
        let mut out = Vec::new();
        let state = &mut self.nodes[node];
        let (live, me) = (state.live.clone(), state.vm.clone());
        let view = View {
            live: &live,
            part: live.len() as f64 / self.plan.nodes as f64,
        };
        let issues = |upstream: &Upstream| permit::issuer(upstream, &live) == Some(&me);
        state.issuers.advance(now, view, issues, &mut out);
        for action in out {
            self.post(node, &action.to, action.message);
        }
    }
}
