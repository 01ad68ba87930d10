//! Which release began a stream: what nodes remember and tell each other, also when some are lost.

mod support;

use std::time::Duration;

use exchange::fleet::{Listing, Release, release};
use exchange::stream_origin::{
    Inquiry, Message, Origins, RECORDERS, STREAM_AGE_MAX, StreamId, stream_id,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use support::{engine, ms, plain_listing};
use wire::{Time, Vm, rank};

/// Bytes a second that a node may spend on control.
const CONTROL_BYTES: f64 = 4_000.0;

/// Bytes of a datagram beside its message: addresses, sender and checksum.
const DATAGRAM_OVERHEAD: usize = 60;

fn listing(id: &str, release: Release) -> Listing {
    Listing {
        release,
        ..engine(id, &[])
    }
}

#[rstest]
fn releases_differ_by_name_and_pool() {
    let one = release("engines", "v1");
    assert_eq!(one, release("engines", "v1"));
    assert_ne!(one, release("engines", "v2"));
    assert_ne!(one, release("services", "v1"));
}

/// Guards against a beginning that is told twice, the second time wrongly.
#[rstest]
fn first_word_counts() {
    let mut origins = Origins::default();
    origins.told(ms(1_000), &[(7, 1)]);
    origins.told(ms(2_000), &[(7, 2)]);
    origins.began(ms(3_000), 7, 2);
    assert_eq!(origins.release(7), Some(1));
    assert_eq!(origins.take_untold(ms(3_000)), [(7, 1)]);
}

#[rstest]
fn ended_streams_are_forgotten() {
    let mut origins = Origins::default();
    origins.began(ms(1_000), 7, 1);
    origins.expire(STREAM_AGE_MAX);
    assert_eq!(origins.release(7), Some(1));
    origins.expire(ms(1_000) + STREAM_AGE_MAX);
    assert_eq!(origins.release(7), None);
    assert_eq!(origins.take_untold(ms(1_000) + STREAM_AGE_MAX), []);
}

/// Guards against a conclusion from the upstreams of now: those that began a stream may be gone.
#[rstest]
fn single_release_is_believed_after_the_longest_stream() {
    let mut origins = Origins::default();
    let listings = [listing("e1", 1), listing("e2", 1)];
    observe_for(&mut origins, ms(100), ms(100), &listings);
    assert_eq!(origins.only_release(ms(200), "engines"), None);
    let later = observe_for(&mut origins, ms(200), STREAM_AGE_MAX, &listings);
    assert_eq!(origins.only_release(later, "engines"), Some(1));
    assert_eq!(origins.only_release(later, "services"), None);
}

#[rstest]
#[case::second_release(&[listing("e1", 1), listing("e2", 2)])]
#[case::replaced_release(&[listing("e2", 2)])]
fn release_ends_the_conclusion(#[case] listings: &[Listing]) {
    let mut origins = Origins::default();
    let both = [listing("e1", 1), plain_listing("s1", "z")];
    let later = observe_for(&mut origins, ms(100), STREAM_AGE_MAX, &both);
    origins.observe(later, listings);
    origins.observe(later + ms(100), &[listing("e1", 1)]);
    assert_eq!(origins.only_release(later + ms(100), "engines"), None);
    assert_eq!(origins.only_release(later, "services"), Some(1));
}

/// Guards against a conclusion for a stream that began at another pool, before its route was moved.
#[rstest]
fn moved_routes_end_the_conclusion() {
    let mut origins = Origins::default();
    let later = observe_until_settled(&mut origins);
    assert_eq!(origins.only_release(later, "engines"), Some(1));
    origins.routes_changed(later);
    assert_eq!(origins.only_release(later, "engines"), None);
}

/// Guards against a conclusion from listings that are as old as a node's last news: while it stood still
/// or was cut off, streams may have begun at another release through other nodes (ORDER).
#[rstest]
fn conclusion_needs_current_listings() {
    let mut origins = Origins::default();
    let settled = observe_until_settled(&mut origins);
    assert_eq!(origins.only_release(settled, "engines"), Some(1));
    let later = settled + ms(3_000);
    assert_eq!(origins.only_release(later, "engines"), None);
}

/// Guards against a conclusion right after such a time: the other release may be gone again, and its
/// streams are still taken up.
#[rstest]
fn time_out_of_touch_does_not_count() {
    let mut origins = Origins::default();
    let settled = observe_until_settled(&mut origins);
    let back = settled + ms(3_000);
    origins.observe(back, &[listing("e1", 1)]);
    assert_eq!(origins.only_release(back, "engines"), None);
    let mut now = back;
    while now < back + STREAM_AGE_MAX {
        now += ms(100);
        origins.observe(now, &[listing("e1", 1)]);
    }
    assert_eq!(origins.only_release(now, "engines"), Some(1));
}

/// Guards against the same at a node to which others do not answer: one of them may know the stream.
#[rstest]
#[case::all_answer(3, &[None, None, None], Some(1))]
#[case::one_knows(3, &[None, Some(2)], Some(2))]
#[case::one_is_silent(3, &[None, None], None)]
#[case::cut_off(3, &[], None)]
#[case::alone(0, &[], Some(1))]
fn silent_nodes_leave_it_unknown(
    #[case] asked: usize,
    #[case] answers: &[Option<Release>],
    #[case] concluded: Option<Release>,
) {
    let mut origins = Origins::default();
    let now = observe_until_settled(&mut origins);
    let mut inquiry = Inquiry::new(asked);
    answers.iter().for_each(|answer| inquiry.answer(*answer));
    assert_eq!(
        origins.conclude(now, "engines", inquiry.finding()),
        concluded
    );
}

/// Observes one release for as long as a stream may last, and returns when that is over.
fn observe_until_settled(origins: &mut Origins) -> Time {
    observe_for(origins, ms(100), STREAM_AGE_MAX, &[listing("e1", 1)])
}

/// Observes listings for so long, and returns when that is over.
fn observe_for(origins: &mut Origins, from: Time, time: Duration, listings: &[Listing]) -> Time {
    let mut now = from;
    origins.observe(now, listings);
    while now < from + time {
        now += ms(100);
        origins.observe(now, listings);
    }
    now
}

/// Streams that began while there was one release are told once there is another one.
#[rstest]
fn streams_are_told_once_releases_differ() {
    let mut origins = Origins::default();
    let later = observe_until_settled(&mut origins);
    origins.began(later, 7, 1);
    assert_eq!(origins.take_untold(later), []);
    origins.observe(later, &[listing("e1", 1), listing("e2", 2)]);
    assert_eq!(origins.take_untold(later), [(7, 1)]);
    assert_eq!(origins.take_untold(later), []);
}

/// Guards against memory that grows without end.
#[rstest]
fn records_are_bounded() {
    let mut origins = Origins::default();
    for number in 0..120_000 {
        origins.began(ms(number / 100), stream_id(&number.to_string()), 1);
    }
    let known =
        (0..120_000).filter(|number| origins.release(stream_id(&number.to_string())).is_some());
    assert!(known.count() <= 50_000);
    assert!(origins.release(stream_id("119999")).is_some());
}

/// A stream of the simulation.
struct Stream {
    id: StreamId,
    node: usize,
    release: Release,
    until: Time,
}

/// Nodes in one process, with a clock of their own.
struct Fleet {
    nodes: Vec<(Vm, Option<Origins>)>,
    streams: Vec<Stream>,
    bytes: usize,
    rng: StdRng,
}

fn number(vm: &Vm) -> usize {
    let number = vm.trim_start_matches("vm-").parse();
    number.expect("a node's name")
}

/// What became of take-ups.
#[derive(Debug, Default)]
struct Outcome {
    /// Take-ups whose release was found.
    known: usize,
    unknown: usize,
    /// Take-ups at another release.
    joined: usize,
}

/// Messages lost.
const LOSS: f64 = 0.01;

/// Duration of a stream.
const STREAM: Duration = Duration::from_secs(5);

const STEP: Duration = Duration::from_millis(100);

impl Fleet {
    fn new(nodes: usize) -> Self {
        let node = |number| (Vm::from(format!("vm-{number}")), Some(Origins::default()));
        Self {
            nodes: (0..nodes).map(node).collect(),
            streams: Vec::new(),
            bytes: 0,
            rng: StdRng::seed_from_u64(nodes as u64),
        }
    }

    fn alive(&self) -> Vec<usize> {
        let alive = self.nodes.iter().enumerate();
        alive
            .filter(|(_, node)| node.1.is_some())
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the recorders of a stream beside a node.
    fn order(&self, stream: StreamId, except: usize) -> Vec<Vm> {
        let others = self.alive().into_iter().filter(|index| *index != except);
        let vms = others.map(|index| self.nodes[index].0.clone());
        rank::top(stream, vms, RECORDERS)
    }

    fn begin(&mut self, now: Time, node: usize, release: Release) {
        let id = self.rng.random();
        let Some(origins) = &mut self.nodes[node].1 else {
            return;
        };
        origins.began(now, id, release);
        let until = now + STREAM;
        self.streams.push(Stream {
            id,
            node,
            release,
            until,
        });
        self.tell(now, node);
    }

    /// Tells other nodes of what a node has begun.
    fn tell(&mut self, now: Time, node: usize) {
        let Some(mut origins) = self.nodes[node].1.take() else {
            return;
        };
        for record in origins.take_untold(now) {
            if let Some(vm) = self.order(record.0, node).first() {
                self.send(now, vm, vec![record]);
            }
        }
        for (vm, streams) in origins.take_batch(now, |stream| self.order(stream, node)) {
            self.send(now, &vm, streams);
        }
        self.nodes[node].1 = Some(origins);
    }

    fn send(&mut self, now: Time, to: &Vm, streams: Vec<(StreamId, Release)>) {
        let message = Message::Began(streams);
        let bytes = wire::frame::encode(&message).expect("encodes").len();
        self.bytes += bytes + DATAGRAM_OVERHEAD;
        if self.rng.random_bool(LOSS) {
            return;
        }
        let origins = self.nodes[number(to)].1.as_mut();
        if let (Some(origins), Message::Began(streams)) = (origins, message) {
            origins.told(now, &streams);
        }
    }

    /// Kills nodes and takes the streams up that went through them.
    fn kill(&mut self, now: Time, killed: &[usize]) -> Outcome {
        for node in killed {
            self.nodes[*node].1 = None;
        }
        let broken: Vec<Stream> = self
            .streams
            .extract_if(.., |stream| {
                killed.contains(&stream.node) && now < stream.until
            })
            .collect();
        if killed.len() == self.nodes.len() {
            for node in &mut self.nodes {
                node.1 = Some(Origins::default());
            }
        }
        let alive = self.alive();
        let mut outcome = Outcome::default();
        for stream in broken {
            let at = alive[self.rng.random_range(0..alive.len())];
            let order = self.order(stream.id, at);
            let mut asked = order.iter().map(number).chain([at]);
            let known = asked.find_map(|node| self.nodes[node].1.as_ref()?.release(stream.id));
            let concluded = self.nodes[at]
                .1
                .as_ref()
                .and_then(|known| known.only_release(now, "engines"));
            match known.or(concluded) {
                Some(release) if release == stream.release => outcome.known += 1,
                Some(_) => outcome.joined += 1,
                None => outcome.unknown += 1,
            }
        }
        outcome
    }
}

/// Lets a pool go from one release to another and back while nodes are killed.
fn play((nodes, per_node, span): (usize, f64, Duration), share: f64) -> (Outcome, f64) {
    let mut fleet = Fleet::new(nodes);
    let (mut total, mut now) = (Outcome::default(), Time::ZERO);
    // Nodes are killed every ten seconds, and start again two seconds later.
    let period = span.as_millis().min(10_000);
    let mut owed = 0.0;
    while now < span {
        // Both are in service, the newer one more and more, until it is rolled back.
        let newer = (now.as_secs_f64() % 20.0) / 20.0;
        let listings = [listing("e1", 1), listing("e2", 2)];
        for (_, origins) in &mut fleet.nodes {
            if let Some(origins) = origins {
                origins.observe(now, &listings);
                origins.expire(now);
            }
        }
        owed += per_node * nodes as f64 * STEP.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            let alive = fleet.alive();
            let node = alive[fleet.rng.random_range(0..alive.len())];
            let release = if fleet.rng.random_bool(newer) { 2 } else { 1 };
            fleet.begin(now, node, release);
        }
        if (now + STEP).as_millis().is_multiple_of(period) {
            let mut order = fleet.alive();
            order.shuffle(&mut fleet.rng);
            let count = ((nodes as f64 * share).round() as usize).max(1);
            let outcome = fleet.kill(now, &order[..count.min(order.len())]);
            total.known += outcome.known;
            total.unknown += outcome.unknown;
            total.joined += outcome.joined;
        }
        if now.as_millis() % period == period / 5 {
            for (_, origins) in &mut fleet.nodes {
                origins.get_or_insert_default();
            }
        }
        for node in 0..nodes {
            fleet.tell(now, node);
        }
        now += STEP;
    }
    let bytes = fleet.bytes as f64 / nodes as f64 / span.as_secs_f64();
    println!("{nodes} nodes, {share} killed: {total:?}, {bytes:.0} bytes a second and node");
    (total, bytes)
}

/// Guards against streams whose release is forgotten with the node that began them, against guesses
/// once nobody knows it, and against the bytes that this costs.
#[rstest]
#[case::seven(7, 14.0, 40)]
#[case::large(195, 2.9, 12)]
#[case::target(350, 17.0, 3)]
fn lost_nodes_take_few_releases_with_them(
    #[case] nodes: usize,
    #[case] per_node: f64,
    #[case] seconds: u64,
) {
    let fleet = (nodes, per_node, Duration::from_secs(seconds));
    let (one, bytes) = play(fleet, 0.0);
    assert!(one.joined == 0 && one.unknown * 100 <= one.known, "{one:?}");
    assert!(bytes <= CONTROL_BYTES, "{bytes}");
    // The last node that is left knows what it was told.
    if nodes <= RECORDERS + 1 {
        let most = 1.0 - 1.0 / nodes as f64;
        let (left, _) = play(fleet, most);
        assert!(
            left.joined == 0 && left.unknown * 5 <= left.known,
            "{left:?}"
        );
    }
    let (half, _) = play(fleet, 0.5);
    assert!(half.joined == 0 && half.unknown <= half.known, "{half:?}");
    let (all, _) = play(fleet, 1.0);
    assert!(
        all.joined == 0 && all.known == 0 && all.unknown > 0,
        "{all:?}"
    );
}
