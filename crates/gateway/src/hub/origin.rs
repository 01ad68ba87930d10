//! Which release a stream began at: told to a few nodes, and asked of them.

use std::sync::PoisonError;
use std::time::Duration;

use exchange::fleet::Release;
use exchange::stream_origin::{
    Finding, Inquiry, Message, RECORDERS, RECORDS_PER_MESSAGE, StreamId, stream_id,
};
use tokio::sync::mpsc;
use wire::{Vm, rank};

use super::Hub;
use super::question::ANSWER_TIMEOUT;
use crate::datagram;
use crate::dialect::Dialect;

/// Number of times that the nodes are asked for a stream: a datagram may be lost.
const ROUNDS: usize = 2;

/// Silence of the platform and of its readers up to which this node's listings count as current: several
/// pulses of a reader.
const LISTING_AGE_MAX: Duration = Duration::from_secs(1);

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
        let Some(stream) = attempt.map(stream_id) else {
            let now = self.clock.now();
            return self.desk().origins.only_release(now, pool);
        };
        let known = self.desk().origins.release(stream);
        if known.is_some() {
            return known;
        }
        let finding = self.ask_origin(stream).await;
        let now = self.clock.now();
        self.desk().origins.conclude(now, pool, finding)
    }

    async fn ask_origin(&self, stream: StreamId) -> Finding {
        let mut finding = Finding::Unanswered;
        for _ in 0..ROUNDS {
            let asked = self.others_by_rank(stream);
            let (ticket, answers) = self.origin_queries().open();
            for vm in &asked {
                self.send_origin(vm, Message::Query { ticket, stream });
            }
            finding = inquire(answers, asked.len()).await;
            if finding != Finding::Unanswered {
                break;
            }
        }
        finding
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
        let is_current = self.store_silence() < LISTING_AGE_MAX;
        {
            let mut desk = self.desk();
            let desk = &mut *desk;
            let upstreams = desk.fleet.upstreams().iter();
            let listings = upstreams.map(|upstream| &upstream.listing);
            if is_current {
                desk.origins.observe(now, listings);
            }
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

/// Waits until a node knows the release, all that were asked have answered, or they have had time to.
async fn inquire(mut answers: mpsc::UnboundedReceiver<Option<Release>>, asked: usize) -> Finding {
    let mut inquiry = Inquiry::new(asked);
    let answering = async {
        while !inquiry.is_over() {
            let Some(release) = answers.recv().await else {
                return;
            };
            inquiry.answer(release);
        }
    };
    // What has been answered by then counts.
    let _ = tokio::time::timeout(ANSWER_TIMEOUT, answering).await;
    inquiry.finding()
}
