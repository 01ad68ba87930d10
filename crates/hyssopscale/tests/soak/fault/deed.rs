//! Does what was drawn.

use std::ops::Range;
use std::time::Duration;

use serde_json::Value;
use standin::proxy::{self, Pass};
use tokio::time::{Instant, sleep};

use super::super::process::Deed;
use super::super::relay::Cut;
use super::super::store::Copy;
use super::super::upstream::Manner;
use super::super::{Site, UPSTREAMS, versioned};
use super::{Fault, Gap};

/// Groups in which the nodes of a site are replaced one after the other.
const GROUPS: usize = 4;

impl Site {
    pub(super) async fn carry_out(&self, fault: &Fault) -> Option<(String, Instant)> {
        let upstreams = &self.upstreams;
        match *fault {
            Fault::Kill { node, down } => self.nodes[node].kill(down).await,
            Fault::KillAll { down } => {
                let kills = self.nodes.iter().map(|node| node.kill(down));
                futures_util::future::join_all(kills).await;
            }
            Fault::Stop { node, time } => self.nodes[node].stop(time).await,
            Fault::Replace { node } => self.nodes[node].replace(Duration::ZERO).await,
            Fault::ReplaceAll { gap } => {
                // Larger sites are replaced group by group.
                for group in self.nodes.chunks(self.nodes.len().div_ceil(GROUPS)) {
                    let replacing = group.iter().map(|node| node.replace(gap / 2));
                    futures_util::future::join_all(replacing).await;
                    sleep(gap).await;
                }
            }
            Fault::HangUp { node } => self.nodes[node].hang_up(),
            Fault::CutFromStore { node, time } => self.cut_from_store(&[node], time).await,
            Fault::StoreAway { time } => {
                let all: Vec<usize> = (0..self.nodes.len()).collect();
                self.cut_from_store(&all, time).await;
            }
            Fault::Restore { age, away, gap } => self.restore(age, away, gap).await,
            Fault::Configs { count, gap } => {
                for _ in 0..count {
                    self.configure();
                    sleep(gap).await;
                }
            }
            Fault::Crash { upstream, down } => upstreams[upstream].crash(down).await,
            Fault::Leave {
                upstream,
                time,
                announced,
            } => {
                let (id, said) = upstreams[upstream].leave(time, announced).await;
                return announced.then_some((id, said));
            }
            Fault::Withdraw {
                upstream,
                time,
                gap,
            } => {
                if let Some((gap, before)) = gap {
                    self.open_gap(gap);
                    sleep(before).await;
                }
                return upstreams[upstream].withdraw(time).await;
            }
            Fault::Lapse { upstream, time } => upstreams[upstream].lapse(time).await,
            Fault::Misbehave {
                ref upstreams,
                manner,
                time,
            } => {
                let those = &self.upstreams[upstreams.clone()];
                those.iter().for_each(|upstream| upstream.set(manner));
                sleep(time).await;
                those
                    .iter()
                    .for_each(|upstream| upstream.set(Manner::default()));
            }
            Fault::Announce {
                upstream,
                rate,
                time,
            } => {
                upstreams[upstream].announce(Some(rate));
                sleep(time).await;
                upstreams[upstream].announce(None);
            }
            Fault::Reset { upstream } => self.links[upstream].control().cut(),
            Fault::Silence { upstream, time } => {
                let fault = proxy::Fault {
                    pass: Pass::Neither,
                    ..proxy::Fault::default()
                };
                self.disturb(upstream, fault, time).await;
            }
            Fault::CutFromUpstreams {
                ref nodes,
                ref upstreams,
                cut,
                time,
            } => {
                self.cut_from_upstreams(nodes, upstreams.clone(), Some(cut));
                sleep(time).await;
                self.cut_from_upstreams(nodes, upstreams.clone(), None);
            }
            Fault::CutFromPeers { ref nodes, time } => {
                self.cut_from_peers(nodes, true);
                sleep(time).await;
                self.cut_from_peers(nodes, false);
            }
            Fault::Brittle {
                pool,
                brittle,
                time,
            } => {
                let those = &upstreams[pool * UPSTREAMS..(pool + 1) * UPSTREAMS];
                those
                    .iter()
                    .for_each(|upstream| upstream.set_brittle(Some(brittle)));
                sleep(time).await;
                those.iter().for_each(|upstream| upstream.set_brittle(None));
            }
            Fault::Pause {
                ref upstreams,
                time,
            } => {
                let fault = proxy::Fault {
                    pass: Pass::Neither,
                    ..proxy::Fault::default()
                };
                let silent = upstreams
                    .clone()
                    .map(|upstream| self.disturb(upstream, fault, time));
                futures_util::future::join_all(silent).await;
            }
            Fault::Delay { upstream, time } => {
                let fault = proxy::Fault {
                    latency_us: 20_000,
                    jitter_us: 100_000,
                    ..proxy::Fault::default()
                };
                self.disturb(upstream, fault, time).await;
            }
        }
        None
    }

    fn open_gap(&self, gap: Gap) {
        match gap {
            Gap::Cut => self.store.cut_watches(),
            Gap::Forgotten => self.store.forget_history(),
        }
    }

    async fn disturb(&self, upstream: usize, fault: proxy::Fault, time: Duration) {
        self.links[upstream].control().set(fault);
        sleep(time).await;
        self.links[upstream].control().set(proxy::Fault::default());
    }

    fn cut_from_upstreams(&self, nodes: &[usize], upstreams: Range<usize>, cut: Option<Cut>) {
        for relay in &self.relays[upstreams] {
            for node in nodes {
                relay.set(self.nodes[*node].addresses.front.ip(), cut);
            }
        }
    }

    fn cut_from_peers(&self, nodes: &[usize], is_apart: bool) {
        let post = self.post.as_ref().expect("a relay between nodes");
        nodes
            .iter()
            .for_each(|node| post.set_apart(*node, is_apart));
    }

    async fn cut_from_store(&self, nodes: &[usize], time: Duration) {
        let silent = proxy::Fault {
            pass: Pass::Neither,
            ..proxy::Fault::default()
        };
        let from = Instant::now();
        nodes
            .iter()
            .for_each(|node| self.store_links[*node].control().set(silent));
        sleep(time).await;
        for node in nodes {
            self.store_links[*node]
                .control()
                .set(proxy::Fault::default());
            self.nodes[*node].note(Deed::Cut, from, Instant::now());
        }
    }

    /// Brings the store back from a copy of that age. What was written since is written again.
    async fn restore(&self, age: Duration, away: Duration, gap: Duration) {
        let copy = self.store.copy();
        self.configure();
        sleep(age).await;
        if away.is_zero() && gap.is_zero() {
            return self.restore_at_once(&copy);
        }
        let from = Instant::now();
        self.store.set_away(true);
        sleep(away).await;
        self.store.restore(&copy, &[]);
        self.store.set_away(false);
        sleep(gap).await;
        self.rewrite();
        for node in &self.nodes {
            node.note(Deed::Cut, from, Instant::now());
        }
    }

    /// Brings the store back with everything written again and one more version of the configuration,
    /// before anybody reads it.
    fn restore_at_once(&self, copy: &Copy) {
        let mut versions = self.versions.lock().unwrap();
        let version = versions.last().map_or(1, |(version, _)| version + 1);
        // The configuration comes first, at a revision that readers have seen before.
        let mut writes = vec![("op/config".to_owned(), Some(versioned(version)))];
        writes.extend(self.outdated_keys(copy));
        for upstream in &self.upstreams {
            if let (Some(key), Some(entry)) = (upstream.key(), upstream.entry()) {
                writes.push((key, Some(entry)));
            }
        }
        self.store.restore_with(copy, &writes);
        versions.push((version, Instant::now()));
    }

    /// Writes again what a restore has lost.
    fn rewrite(&self) {
        for (key, _) in self.outdated_keys(&self.store.copy()) {
            self.store.remove(&key);
        }
        self.upstreams.iter().for_each(|upstream| upstream.list());
        let versions = self.versions.lock().unwrap();
        if let Some((version, _)) = versions.last() {
            self.store.put("op/config", &versioned(*version));
        }
    }

    /// Returns the entries of processes that are gone.
    fn outdated_keys(&self, copy: &Copy) -> Vec<(String, Option<Value>)> {
        let known: Vec<String> = self
            .upstreams
            .iter()
            .filter_map(|upstream| upstream.key())
            .collect();
        let keys = copy.keys("servers/").into_iter();
        keys.filter(|key| !known.contains(key))
            .map(|key| (key, None))
            .collect()
    }

    /// Publishes the next version of the configuration.
    fn configure(&self) {
        let mut versions = self.versions.lock().unwrap();
        let version = versions.last().map_or(1, |(version, _)| version + 1);
        self.store.put("op/config", &versioned(version));
        versions.push((version, Instant::now()));
    }
}
