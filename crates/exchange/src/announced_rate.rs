//! Rates that upstreams announce, enforced across all nodes.
//!
//! The first live node in the rendezvous order of an upstream's id coordinates its rate with a token
//! bucket. The other nodes ask it for each request; since the rate is low, so are the questions. A
//! request may be granted a token that is not there yet, and waits for it, so that no token is lost
//! while a request waits; tokens are granted in the order of the questions. Nodes that get none are
//! told when to ask again, one after the other: were they all told when the next token comes, many
//! nodes would ask for it. A node that gets no answer takes its own fraction of the rate.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Time, Upstream, Vm, rank};

/// Requests a second.
pub type Rate = f64;

/// Lowest rate that is enforced. An upstream that announces less would never be asked again whether
/// it still does.
pub const RATE_MIN: Rate = 0.25;

/// Highest rate that is told apart from none.
const RATE_MAX: Rate = 1e6;

/// Part by which a rate has to change for other nodes to be told.
const CHANGE_MIN: f64 = 0.2;

/// Time for whose tokens a bucket has room, beside a single one.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Longest wait that is returned to a caller.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Questions a second that a coordinator invites for each token, and beside these.
const QUESTIONS: (f64, f64) = (2.0, 4.0);

/// Longest time for which a node is told not to ask again.
const QUESTION_WAIT_MAX: Duration = Duration::from_secs(30);

/// Maximum number of buckets kept.
const BUCKETS_MAX: usize = 1_024;

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the coordinator of a rate for a token.
    Ask {
        /// Number that identifies the question.
        ticket: u64,
        /// The upstream.
        upstream: Upstream,
        /// The rate, as the asking node knows it.
        rate: Rate,
        /// Milliseconds that the request may wait for its token.
        patience: u32,
    },
    /// The coordinator's answer.
    Answer {
        /// Number of the question.
        ticket: u64,
        /// Whether a token was granted.
        granted: bool,
        /// Milliseconds until the token is there, or until the node may ask again.
        wait: u32,
    },
    /// Tells that an upstream has begun or ceased to announce a rate, or changed it.
    News {
        /// The upstream.
        upstream: Upstream,
        /// Start of its process, as its listing gives it.
        born: Option<u64>,
        /// The rate; absent if it announces none any more.
        rate: Option<Rate>,
        /// Milliseconds since the request was sent whose answer says so.
        age: u32,
    },
}

/// Whether a request gets a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateDecision {
    /// It has a token that is there after this time.
    Granted(Duration),
    /// The node may ask again after this time; no token could be granted before.
    Over(Duration),
}

/// Returns the node that coordinates the rate of an upstream.
pub fn coordinator<'a>(upstream: &str, live: &'a [Vm]) -> Option<&'a Vm> {
    rank::first(rank::hash(upstream), live)
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Tokens that are there; negative if some were granted ahead.
    level: f64,
    /// When the level was computed.
    at: Time,
    /// When the last of the nodes that got no token may ask again.
    asked_again_at: Time,
}

impl Bucket {
    /// Returns the time until a node may ask again that gets no token for `wait`.
    fn postpone(&mut self, now: Time, rate: Rate, wait: Duration) -> Duration {
        let interval = Duration::from_secs_f64(1.0 / (rate * QUESTIONS.0 + QUESTIONS.1));
        let latest = now + QUESTION_WAIT_MAX;
        let earliest = now + wait.min(QUESTION_WAIT_MAX);
        self.asked_again_at = (self.asked_again_at + interval).clamp(earliest, latest);
        self.asked_again_at - now
    }
}

/// Token buckets of upstreams.
#[derive(Clone, Debug, Default)]
pub struct RateBuckets {
    /// Sorted by upstream.
    buckets: Vec<(Upstream, Bucket)>,
}

impl RateBuckets {
    /// Takes a token of an upstream's rate that is there within `patience`.
    pub fn try_acquire(
        &mut self,
        now: Time,
        upstream: &Upstream,
        rate: Rate,
        patience: Duration,
    ) -> RateDecision {
        let rate = clamp(rate);
        let bucket = self.bucket(now, upstream);
        let elapsed = now.saturating_sub(bucket.at).as_secs_f64();
        let burst = 1.0 + rate * BURST_TIME.as_secs_f64();
        bucket.level = (bucket.level + rate * elapsed).min(burst);
        bucket.at = now;
        let missing = (1.0 - bucket.level).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / rate).unwrap_or(WAIT_MAX);
        if wait <= patience {
            bucket.level -= 1.0;
            RateDecision::Granted(wait)
        } else {
            RateDecision::Over(bucket.postpone(now, rate, wait - patience))
        }
    }

    /// Returns the bucket of an upstream; a new one is empty, since another node may have granted its
    /// tokens until now.
    fn bucket(&mut self, now: Time, upstream: &Upstream) -> &mut Bucket {
        let found = self
            .buckets
            .binary_search_by(|(known, _)| known.cmp(upstream));
        let index = found.unwrap_or_else(|_| self.insert(now, upstream));
        &mut self.buckets[index].1
    }

    fn insert(&mut self, now: Time, upstream: &Upstream) -> usize {
        if self.buckets.len() >= BUCKETS_MAX {
            let buckets = self.buckets.iter().enumerate();
            if let Some((oldest, _)) = buckets.min_by_key(|(_, (_, bucket))| bucket.at) {
                self.buckets.remove(oldest);
            }
        }
        let index = self.buckets.partition_point(|(known, _)| known < upstream);
        let bucket = Bucket {
            level: 0.0,
            at: now,
            asked_again_at: now,
        };
        self.buckets.insert(index, (upstream.clone(), bucket));
        index
    }
}

/// What a node knows of the rate of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnnouncedRate {
    rate: Option<Rate>,
    /// The rate that other nodes were told.
    told: Option<Rate>,
    /// When it was announced last.
    announced_at: Time,
    /// When a token may be asked for by an urgent request, and by any other.
    next_token_at: [Time; 2],
}

impl AnnouncedRate {
    /// Returns the rate, if one is announced.
    pub const fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Returns the time until a request may ask for a token, as callers are told it: another node may
    /// ask earlier.
    pub fn wait(&self, now: Time, urgent: bool) -> Duration {
        if self.rate.is_none() {
            return Duration::ZERO;
        }
        let wait = self.next_token_at[usize::from(!urgent)].saturating_sub(now);
        wait.min(WAIT_MAX)
    }

    /// Records that a request gets no token for `wait`. Urgent requests wait for tokens for longer, so
    /// they may still get one where others do not.
    pub fn exhausted(&mut self, now: Time, urgent: bool, wait: Duration) {
        self.next_token_at[1] = now + wait;
        if urgent {
            self.next_token_at[0] = now + wait;
        }
    }

    /// Records what an answer says to a request that was sent at `sent`. Answers overtake each other,
    /// so an announcement ends only with the answer to a request that was sent after it. Returns
    /// whether other nodes should be told.
    pub fn record(&mut self, now: Time, sent: Time, rate: Option<Rate>) -> bool {
        match rate {
            Some(rate) => {
                self.announced_at = now;
                self.rate = Some(clamp(rate).max(RATE_MIN));
            }
            None if sent > self.announced_at => self.rate = None,
            None => {}
        }
        let news = match (self.told, self.rate) {
            (Some(told), Some(rate)) => (told - rate).abs() > told * CHANGE_MIN,
            (told, rate) => told != rate,
        };
        if news {
            self.told = self.rate;
        }
        news
    }
}

/// Returns a rate that can be calculated with, whatever a peer or an upstream says.
fn clamp(rate: Rate) -> Rate {
    if rate.is_nan() {
        RATE_MIN
    } else {
        rate.clamp(f64::MIN_POSITIVE, RATE_MAX)
    }
}
