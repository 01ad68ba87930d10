//! Which release a stream began at: told to a few nodes, and asked of them.

use std::sync::PoisonError;

use exchange::fleet::Release;
use exchange::stream_origin::{Message, RECORDERS, RECORDS_PER_MESSAGE, StreamId, stream_id};
use tokio::sync::mpsc;
use wire::{Vm, rank};

use super::Hub;
use super::question::ANSWER_TIMEOUT;
use crate::datagram;
use crate::dialect::Dialect;

/// Number of times that the nodes are asked for a stream: a datagram may be lost.
const ROUNDS: usize = 2;

/// Open questions, by ticket.
#[derive(Debug, Default)]
pub(super) struct OpenQueries {
    open: Vec<(u64, mpsc::UnboundedSender<Option<Release>>)>,
    last: u64,
}

impl OpenQueries {
    /// Opens a question. Those that nobody waits for any more are dropped.
    fn open(&mut self) -> (u64, mpsc::UnboundedReceiver<Option<Release>>) {
        let (sender, answers) = mpsc::unbounded_channel();
        self.open.retain(|(_, waiter)| !waiter.is_closed());
        self.last += 1;
        self.open.push((self.last, sender));
        (self.last, answers)
    }

    fn answer(&self, ticket: u64, release: Option<Release>) {
        if let Some((_, waiter)) = self.open.iter().find(|(known, _)| *known == ticket) {
            // A request that is gone needs no answer.
            let _ = waiter.send(release);
        }
    }
}

impl<D: Dialect> Hub<D> {
    /// Records that a stream begins at a release, or goes on there, and tells other nodes before its
    /// caller gets the next event.
    pub fn record_origin(&self, attempt: &str, release: Release) {
        let now = self.clock.now();
        self.desk().origins.began(now, stream_id(attempt), release);
        self.tell_origins();
    }

    /// Returns the release that the stream began at whose first event `attempt` brought, if it can be
    /// found out.
    pub async fn find_origin(&self, attempt: Option<&str>, pool: &str) -> Option<Release> {
        if let Some(stream) = attempt.map(stream_id) {
            let known = self.desk().origins.release(stream);
            if known.is_some() {
                return known;
            }
            let told = self.ask_origin(stream).await;
            if told.is_some() {
                return told;
            }
        }
        let now = self.clock.now();
        self.desk().origins.only_release(now, pool)
    }

    async fn ask_origin(&self, stream: StreamId) -> Option<Release> {
        for _ in 0..ROUNDS {
            let asked = self.others_by_rank(stream);
            let (ticket, answers) = self.origin_queries().open();
            for vm in &asked {
                self.send_origin(vm, Message::Query { ticket, stream });
            }
            let first = first_release(answers, asked.len());
            if let Ok(release) = tokio::time::timeout(ANSWER_TIMEOUT, first).await {
                return release;
            }
        }
        None
    }

    /// Takes in a message about streams.
    pub fn take_origin(&self, from: &Vm, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Began(streams) => self.desk().origins.told(now, &streams),
            Message::Query { ticket, stream } => {
                let release = self.desk().origins.release(stream);
                self.send_origin(from, Message::Answer { ticket, release });
            }
            Message::Answer { ticket, release } => self.origin_queries().answer(ticket, release),
        }
    }

    /// Records which releases are in service, and tells others of streams where there are several.
    pub fn tick_origins(&self) {
        let now = self.clock.now();
        {
            let mut desk = self.desk();
            let desk = &mut *desk;
            let upstreams = desk.fleet.upstreams().iter();
            let listings = upstreams.map(|upstream| &upstream.listing);
            desk.origins.observe(now, listings);
            desk.origins.expire(now);
        }
        self.tell_origins();
    }

    fn tell_origins(&self) {
        let now = self.clock.now();
        let untold = self.desk().origins.take_untold(now);
        for record in untold {
            if let Some(vm) = self.others_by_rank(record.0).first() {
                self.send_origin(vm, Message::Began(vec![record]));
            }
        }
        let batch = {
            let order = |stream| self.others_by_rank(stream);
            self.desk().origins.take_batch(now, order)
        };
        for (vm, streams) in batch {
            for part in streams.chunks(RECORDS_PER_MESSAGE) {
                self.send_origin(&vm, Message::Began(part.to_vec()));
            }
        }
    }

    /// Returns the first live nodes beside this one in the rendezvous order of a stream.
    fn others_by_rank(&self, stream: StreamId) -> Vec<Vm> {
        let peers = self.peers.load();
        let others = peers.live.iter().filter(|vm| **vm != self.me.vm);
        rank::top(stream, others.cloned(), RECORDERS)
    }

    fn send_origin(&self, vm: &Vm, message: Message) {
        if let Some(record) = self.peers.load().record(vm) {
            let message = datagram::Message::Origin(message);
            self.post.send(&record.vm, record.peers, &message);
        }
    }

    fn origin_queries(&self) -> std::sync::MutexGuard<'_, OpenQueries> {
        let queries = self.origin_queries.lock();
        queries.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for the first node that knows a release, or until all that were asked know none.
async fn first_release(
    mut answers: mpsc::UnboundedReceiver<Option<Release>>,
    asked: usize,
) -> Option<Release> {
    for _ in 0..asked {
        if let Some(release) = answers.recv().await? {
            return Some(release);
        }
    }
    None
}
