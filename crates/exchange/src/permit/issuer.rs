//! The permits of one upstream.
//!
//! A permit is held until its request ends. Messages get lost, so permits of long requests are
//! confirmed by their nodes now and then. A new issuer knows nothing of the permits of the former one
//! and issues none until the nodes have told what they have under way.

use std::time::Duration;

use wire::machine::millis;
use wire::{Time, Upstream, Vm};

use super::{Action, Ask, End, Message, Reply, Report, Ticket, Tolerance};

/// Time within which refusals count together.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);

/// Part of the tolerance from which on no permit is issued for a while.
const REFUSAL_PART: u32 = 2;

/// Time in which a refusal of a request comes that was just sent.
const STEP: Duration = Duration::from_millis(50);

/// Part of the tolerance by which the number of permits may grow in a [`STEP`] beyond what the
/// upstream is known to take.
const GROWTH_PART: u32 = 4;

/// Time without refusals after which the limit rises, and the part of the slots by which it does.
const RECOVERY: Duration = Duration::from_secs(1);
const RECOVERY_PART: u32 = 16;

/// Time for which an upstream may go on with a request that was given up.
const LINGER: Duration = Duration::from_millis(300);

/// Longest time for which a new issuer waits for what the nodes have under way.
const SETTLE_MAX: Duration = Duration::from_secs(1);

/// Pause between two queries to a node whose answer is waited for, and between any others.
const QUERY_PAUSE: Duration = Duration::from_millis(150);
const QUERY_PAUSE_LATE: Duration = Duration::from_secs(1);

/// Age of a permit from which on its node is asked to confirm it, in multiples of the mean time of a
/// request, and at least.
const CONFIRM_FACTOR: u32 = 2;
const CONFIRM_MIN: Duration = Duration::from_millis(250);

/// Part of that age after which a permit is over whose node does not answer: the node may be gone, and
/// its request has most likely ended.
const UNCONFIRMED_FACTOR: u32 = 3;

/// Silence of a node from which its waiting requests get no permits: it may be gone.
const SILENCE_MAX: Duration = Duration::from_millis(500);

/// Time after which a request without a permit is over, where its node says nothing of it any more.
const OTHERS_TIME: Duration = Duration::from_secs(12);

/// Time of a request before any has ended.
const TIME_EXPECTED: Duration = Duration::from_millis(200);

/// Weight of one request in the mean time of a request.
const TIME_WEIGHT: f64 = 0.1;

/// Questions a second that an issuer invites for each permit, and beside these.
const QUESTIONS: (f64, f64) = (2.0, 4.0);

/// Longest time for which a node is told not to ask again.
const QUESTION_WAIT_MAX: Duration = Duration::from_secs(10);

/// Maximum number of waiting requests.
const QUEUE_MAX: usize = 1_024;

#[derive(Clone, Debug)]
struct Permit {
    vm: Vm,
    ticket: Ticket,
    issued: Time,
    confirmed: Time,
    until: Time,
}

#[derive(Clone, Debug)]
struct Waiter {
    vm: Vm,
    ticket: Ticket,
    rank: u8,
    until: Time,
    time: Duration,
}

/// What a node has told.
#[derive(Clone, Debug)]
struct Member {
    vm: Vm,
    /// When the last message came.
    heard: Time,
    queried: Option<Time>,
    reported: bool,
    /// Requests without a permit.
    others: u32,
    others_until: Time,
}

/// What an issuer sees of the nodes.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The live nodes, sorted.
    pub live: &'a [Vm],
    /// Part of all nodes that these are.
    pub part: f64,
}

/// Issues the permits of one upstream.
#[derive(Clone, Debug)]
pub struct Issuer {
    upstream: Upstream,
    born: Option<u64>,
    slots: u32,
    tolerance: Tolerance,
    /// Sorted by node and ticket.
    permits: Vec<Permit>,
    /// Sorted by rank, in the order of arrival.
    queue: Vec<Waiter>,
    /// Sorted by node.
    members: Vec<Member>,
    /// Permits that may be issued, as far as refusals show.
    limit: u32,
    raised_at: Time,
    /// Most permits that were issued at once without a refusal.
    accepted: u32,
    /// Start of the present step, and the growth in it.
    step: (Time, u32),
    refusals: Vec<Time>,
    /// Until when the upstream turns away no more requests than before.
    notice_until: Time,
    settles_at: Time,
    /// Mean time of a request.
    time: Duration,
    asked_again_at: Time,
    pub(super) used_at: Time,
}

impl Issuer {
    /// Creates the issuer of an upstream, which turns away no more requests than before within `notice`.
    pub fn new(now: Time, ask: &Ask, notice: Duration) -> Self {
        let noticed = !notice.is_zero();
        Self {
            upstream: ask.upstream.clone(),
            born: ask.born,
            slots: ask.slots.max(1),
            tolerance: ask.tolerance,
            permits: Vec::new(),
            queue: Vec::new(),
            members: Vec::new(),
            limit: ask.slots.max(1),
            raised_at: now,
            accepted: if noticed { ask.slots } else { 0 },
            step: (now, 0),
            refusals: Vec::new(),
            notice_until: now + notice,
            settles_at: if noticed { now } else { now + SETTLE_MAX },
            time: TIME_EXPECTED,
            asked_again_at: now,
            used_at: now,
        }
    }

    /// Returns the upstream.
    pub const fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Returns the start of its process.
    pub const fn born(&self) -> Option<u64> {
        self.born
    }

    /// Returns whether requests wait.
    pub fn has_queue(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns the number of requests under way, as far as the issuer knows.
    pub fn under_way(&self) -> u32 {
        let others = self.members.iter().map(|member| member.others);
        self.permits.len() as u32 + others.sum::<u32>()
    }

    /// Asks a node again what it has under way, which tells it that the upstream is brittle.
    pub fn greet(&mut self, now: Time, vm: &Vm, out: &mut Vec<Action>) {
        let member = self.member(vm);
        member.reported = false;
        member.queried = Some(now);
        out.push(self.question(vm));
    }

    fn question(&self, vm: &Vm) -> Action {
        Action {
            to: vm.clone(),
            message: Message::Query {
                upstream: self.upstream.clone(),
                born: self.born,
                tolerance: self.tolerance,
            },
        }
    }

    /// Handles a question.
    pub fn ask(&mut self, now: Time, view: View<'_>, from: &Vm, ask: &Ask, out: &mut Vec<Action>) {
        self.used_at = now;
        (self.slots, self.tolerance) = (ask.slots.max(1), ask.tolerance);
        self.member(from).heard = now;
        if self.find(from, ask.ticket).is_ok() {
            return reply(from, ask.ticket, Reply::Granted, out);
        }
        if self.is_queued(from, ask.ticket) {
            return reply(from, ask.ticket, Reply::Queued, out);
        }
        self.advance(now, view, out);
        let patience = Duration::from_millis(ask.patience.into());
        let ahead = self.queue.partition_point(|known| known.rank <= ask.rank);
        let waiter = Waiter {
            vm: from.clone(),
            ticket: ask.ticket,
            rank: ask.rank,
            until: now + patience,
            time: Duration::from_millis(ask.time.into()),
        };
        let first = self.next_waiter(now).is_none_or(|next| next >= ahead);
        if first && self.may_issue(now, view) {
            return self.issue(now, waiter, out);
        }
        let wait = self.expected_wait(now, view, ahead);
        if wait > patience || self.queue.len() >= QUEUE_MAX {
            let wait = self.postpone(now, view, wait.saturating_sub(patience));
            return reply(from, ask.ticket, Reply::Over(millis(wait)), out);
        }
        self.queue.insert(ahead, waiter);
        reply(from, ask.ticket, Reply::Queued, out);
        self.shorten_queue(now, view, out);
    }

    /// Handles the end of a request.
    pub fn end(
        &mut self,
        now: Time,
        view: View<'_>,
        from: &Vm,
        (ticket, end): (Ticket, End),
        out: &mut Vec<Action>,
    ) {
        self.member(from).heard = now;
        self.queue
            .retain(|waiter| waiter.vm != *from || waiter.ticket != ticket);
        if let Ok(index) = self.find(from, ticket) {
            self.end_permit(now, index, end);
        }
        self.advance(now, view, out);
    }

    fn end_permit(&mut self, now: Time, index: usize, end: End) {
        if end == End::Dropped {
            let permit = &mut self.permits[index];
            permit.until = permit.until.min(now + LINGER);
            return;
        }
        let permit = self.permits.remove(index);
        match end {
            End::Whole => {
                let took = now.saturating_sub(permit.issued).as_secs_f64();
                let mean = self.time.as_secs_f64();
                self.time = Duration::from_secs_f64(mean + (took - mean) * TIME_WEIGHT);
            }
            End::Refused => self.refused(now),
            // It may have crashed, and comes back empty.
            End::Broken => self.accepted = 0,
            End::Unsent | End::Dropped => {}
        }
    }

    fn refused(&mut self, now: Time) {
        let under_way = self.under_way();
        self.refusals.push(now);
        self.accepted = self.accepted.min(under_way);
        // Few under way are a sign of requests that the issuer does not know, and not of less room.
        let limit_min = (self.limit / 2).max(1);
        self.limit = self.limit.min(under_way).max(limit_min);
        self.raised_at = now;
    }

    /// Takes over what a node has under way.
    pub fn report(
        &mut self,
        now: Time,
        view: View<'_>,
        from: &Vm,
        report: &Report,
        out: &mut Vec<Action>,
    ) {
        let is_over = |permit: &Permit| {
            let ticket = permit.ticket;
            let held = report.held.binary_search_by_key(&ticket, |held| held.0);
            let open = held.is_ok() || report.asked.binary_search(&ticket).is_ok();
            permit.vm == *from && ticket <= report.last && !open
        };
        let before = self.permits.len();
        let lingers = |permit: &Permit| permit.until <= now + LINGER;
        self.permits
            .retain(|permit| !is_over(permit) || (lingers(permit) && now < permit.until));
        let lost_ends = self.permits.len() < before;
        for (ticket, left) in &report.held {
            match self.find(from, *ticket) {
                Ok(index) => self.permits[index].confirmed = now,
                Err(index) if !self.is_queued(from, *ticket) => {
                    let permit = Permit {
                        vm: from.clone(),
                        ticket: *ticket,
                        issued: now,
                        confirmed: now,
                        until: now + Duration::from_millis((*left).into()),
                    };
                    self.permits.insert(index, permit);
                }
                Err(_) => {}
            }
        }
        let member = self.member(from);
        member.heard = now;
        member.reported = true;
        member.others = report.others;
        member.others_until = now + OTHERS_TIME;
        let under_way = self.under_way().min(self.limit);
        self.accepted = if lost_ends {
            // Its ends went elsewhere, and another issuer may have used their room.
            self.accepted.min(under_way)
        } else {
            self.accepted.max(under_way)
        };
        self.advance(now, view, out);
    }

    fn is_queued(&self, vm: &Vm, ticket: Ticket) -> bool {
        let is_same = |waiter: &Waiter| waiter.vm == *vm && waiter.ticket == ticket;
        self.queue.iter().any(is_same)
    }

    /// Refuses all waiting requests, since another node issues the permits from now on.
    pub fn abandon(&mut self, out: &mut Vec<Action>) {
        for waiter in self.queue.drain(..) {
            reply(&waiter.vm, waiter.ticket, Reply::Over(0), out);
        }
    }

    /// Lets time pass: permits end, queries go out, and waiting requests get permits.
    pub fn advance(&mut self, now: Time, view: View<'_>, out: &mut Vec<Action>) {
        let unconfirmed = self.confirm_age() * UNCONFIRMED_FACTOR;
        let before = self.permits.len();
        self.permits
            .retain(|permit| now < permit.until && now < permit.confirmed + unconfirmed);
        if self.permits.len() < before {
            self.accepted = self.accepted.min(self.under_way());
        }
        self.refusals.retain(|at| now < *at + REFUSAL_WINDOW);
        self.queue.retain(|waiter| now < waiter.until);
        if self.limit >= self.slots {
            self.raised_at = now;
        } else if now >= self.raised_at + RECOVERY {
            self.raised_at = now;
            self.limit += (self.slots / RECOVERY_PART).max(1);
        }
        self.limit = self.limit.min(self.slots);
        self.update_members(now, view);
        self.query(now, view, out);
        while let Some(next) = self.next_waiter(now).filter(|_| self.may_issue(now, view)) {
            let waiter = self.queue.remove(next);
            self.issue(now, waiter, out);
        }
    }

    /// Returns the position of the first waiting request whose node is there.
    fn next_waiter(&self, now: Time) -> Option<usize> {
        let is_there = |waiter: &Waiter| {
            let found = self
                .members
                .binary_search_by(|member| member.vm.cmp(&waiter.vm));
            found.is_ok_and(|index| now < self.members[index].heard + SILENCE_MAX)
        };
        self.queue.iter().position(is_there)
    }

    fn confirm_age(&self) -> Duration {
        (self.time * CONFIRM_FACTOR).max(CONFIRM_MIN)
    }

    fn update_members(&mut self, now: Time, view: View<'_>) {
        for member in &mut self.members {
            if now >= member.others_until {
                member.others = 0;
            }
        }
        // Requests of a node that is not seen any more may go on.
        let is_live = |member: &Member| view.live.binary_search(&member.vm).is_ok();
        self.members
            .retain(|member| member.others > 0 || is_live(member));
        for vm in view.live {
            self.member(vm);
        }
    }

    fn query(&mut self, now: Time, view: View<'_>, out: &mut Vec<Action>) {
        let settling = !self.is_settled(now);
        let confirm = self.confirm_age();
        let pause = self.time.clamp(QUERY_PAUSE, QUERY_PAUSE_LATE);
        let old: Vec<Vm> = self
            .permits
            .iter()
            .filter(|permit| now >= permit.confirmed + confirm)
            .map(|permit| permit.vm.clone())
            .collect();
        let mut asked = Vec::new();
        let queue = &self.queue;
        for member in &mut self.members {
            let quiet = now >= member.heard + SILENCE_MAX / 2
                && queue.iter().any(|waiter| waiter.vm == member.vm);
            let doubtful = member.others > 0 || old.contains(&member.vm);
            let wanted = !member.reported || doubtful || quiet;
            let pause = match member.reported {
                _ if quiet => QUERY_PAUSE,
                true => pause,
                false if settling => QUERY_PAUSE,
                false => QUERY_PAUSE_LATE,
            };
            let due = member.queried.is_none_or(|at| now >= at + pause);
            if wanted && due && view.live.binary_search(&member.vm).is_ok() {
                member.queried = Some(now);
                asked.push(member.vm.clone());
            }
        }
        out.extend(asked.iter().map(|vm| self.question(vm)));
    }

    fn is_settled(&self, now: Time) -> bool {
        now >= self.settles_at || self.members.iter().all(|member| member.reported)
    }

    /// Returns the number of permits that may be held if every node has told what it has under way.
    fn bound(&self, view: View<'_>) -> u32 {
        self.limit.min(super::room(self.slots, view.part))
    }

    /// Returns the number of permits that may be held. Nodes that have told nothing are assumed to use
    /// their part.
    fn limit(&self, now: Time, view: View<'_>) -> u32 {
        if now < self.notice_until {
            return self.bound(view);
        }
        let silent = self.members.iter().filter(|member| !member.reported);
        let heard = 1.0 - silent.count() as f64 / self.members.len().max(1) as f64;
        let room = super::room(self.slots, view.part * heard);
        self.limit.min(room)
    }

    fn may_issue(&self, now: Time, view: View<'_>) -> bool {
        let under_way = self.under_way();
        let refusals_max = (self.tolerance / REFUSAL_PART).max(1) as usize;
        let growth_max = (self.tolerance / GROWTH_PART).max(1);
        let grows = now < self.step.0 + STEP && self.step.1 >= growth_max;
        self.is_settled(now)
            && self.refusals.len() < refusals_max
            && under_way < self.limit(now, view)
            && (under_way < self.accepted || !grows)
    }

    fn issue(&mut self, now: Time, waiter: Waiter, out: &mut Vec<Action>) {
        let under_way = self.under_way();
        if under_way >= self.accepted {
            if now >= self.step.0 + STEP {
                self.step = (now, 0);
            }
            self.step.1 += 1;
            self.accepted = under_way + 1;
        }
        reply(&waiter.vm, waiter.ticket, Reply::Granted, out);
        if let Err(index) = self.find(&waiter.vm, waiter.ticket) {
            let permit = Permit {
                vm: waiter.vm,
                ticket: waiter.ticket,
                issued: now,
                confirmed: now,
                until: now + waiter.time + LINGER,
            };
            self.permits.insert(index, permit);
        }
    }

    /// Returns the time until a request gets a permit that is behind so many others.
    fn expected_wait(&self, now: Time, view: View<'_>, ahead: usize) -> Duration {
        let limit = self.bound(view).max(1);
        let missing = (self.under_way() + ahead as u32 + 1).saturating_sub(limit);
        let turns = self.time * missing / limit;
        let refusals_max = (self.tolerance / REFUSAL_PART).max(1) as usize;
        let held = match self.refusals.first() {
            Some(first) if self.refusals.len() >= refusals_max => {
                (*first + REFUSAL_WINDOW).saturating_sub(now)
            }
            _ => Duration::ZERO,
        };
        let step = if missing == 0 { STEP } else { Duration::ZERO };
        turns + held.max(step)
    }

    /// Refuses requests at the end of the queue that an earlier one has made late.
    fn shorten_queue(&mut self, now: Time, view: View<'_>, out: &mut Vec<Action>) {
        while let Some(last) = self.queue.last() {
            let wait = self.expected_wait(now, view, self.queue.len() - 1);
            let patience = last.until.saturating_sub(now);
            if wait <= patience {
                return;
            }
            let (vm, ticket) = (last.vm.clone(), last.ticket);
            self.queue.pop();
            let wait = self.postpone(now, view, wait - patience);
            reply(&vm, ticket, Reply::Over(millis(wait)), out);
        }
    }

    /// Returns the time until a node may ask again that gets no permit for `wait`. Were all nodes told
    /// the same, they would ask at the same time.
    fn postpone(&mut self, now: Time, view: View<'_>, wait: Duration) -> Duration {
        let rate = f64::from(self.bound(view)) / self.time.as_secs_f64().max(0.001);
        let interval = Duration::from_secs_f64(1.0 / (rate * QUESTIONS.0 + QUESTIONS.1));
        let latest = now + QUESTION_WAIT_MAX;
        let earliest = now + wait.min(QUESTION_WAIT_MAX);
        self.asked_again_at = (self.asked_again_at + interval).clamp(earliest, latest);
        self.asked_again_at - now
    }

    fn find(&self, vm: &Vm, ticket: Ticket) -> Result<usize, usize> {
        self.permits
            .binary_search_by(|permit| (&permit.vm, permit.ticket).cmp(&(vm, ticket)))
    }

    fn member(&mut self, vm: &Vm) -> &mut Member {
        let found = self.members.binary_search_by(|member| member.vm.cmp(vm));
        let index = found.unwrap_or_else(|index| {
            let member = Member {
                vm: vm.clone(),
                heard: Time::ZERO,
                queried: None,
                reported: false,
                others: 0,
                others_until: Time::ZERO,
            };
            self.members.insert(index, member);
            index
        });
        &mut self.members[index]
    }
}

fn reply(to: &Vm, ticket: Ticket, reply: Reply, out: &mut Vec<Action>) {
    out.push(Action {
        to: to.clone(),
        message: Message::Reply { ticket, reply },
    });
}
