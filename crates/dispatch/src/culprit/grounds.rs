//! What convictions rest on.

use serde::{Deserialize, Serialize};
use wire::Upstream;

use super::Start;

/// Crashes of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ground {
    /// The upstream.
    pub upstream: Upstream,
    /// The process that was reported.
    pub process: Start,
    /// How many crashes of it were counted. Reports of connections that were reset again and again count as
    /// several.
    pub crashes: u32,
}

/// The known processes whose crashes count for a conviction.
#[derive(Clone, Debug, Default)]
pub(super) struct Grounds {
    /// Sorted by upstream and process, with whether the process has answered since, so that it had not crashed.
    grounds: Vec<(Ground, bool)>,
}

impl Grounds {
    fn find(&self, upstream: &Upstream, process: Start) -> Result<usize, usize> {
        let key = (upstream, process);
        self.grounds
            .binary_search_by(|(known, _)| (&known.upstream, known.process).cmp(&key))
    }

    /// Adds what another node, or the ledger, knows. Returns the upstreams of the processes that are new.
    pub fn merge(&mut self, grounds: impl IntoIterator<Item = Ground>) -> Vec<Upstream> {
        let mut new = Vec::new();
        for ground in grounds {
            match self.find(&ground.upstream, ground.process) {
                Ok(index) => {
                    let (known, _) = &mut self.grounds[index];
                    known.crashes = known.crashes.max(ground.crashes);
                }
                Err(index) => {
                    new.push(ground.upstream.clone());
                    self.grounds.insert(index, (ground, false));
                }
            }
        }
        new
    }

    /// Returns all of them.
    pub fn all(&self) -> impl Iterator<Item = &Ground> {
        self.grounds.iter().map(|(ground, _)| ground)
    }

    /// Returns the upstreams whose processes have not answered.
    pub fn open(&self) -> impl Iterator<Item = &Upstream> {
        let open = self.grounds.iter().filter(|(_, refuted)| !refuted);
        open.map(|(ground, _)| &ground.upstream)
    }

    /// Records that a process has answered. Returns the number of its crashes that no longer count.
    pub fn refute(&mut self, upstream: &Upstream, process: Start) -> u32 {
        let found = self.find(upstream, process).ok();
        let ground = found.map(|index| &mut self.grounds[index]);
        let Some((ground, refuted)) = ground.filter(|(_, refuted)| !refuted) else {
            return 0;
        };
        *refuted = true;
        ground.crashes
    }

    /// Returns the number of crashes that no longer count.
    pub fn refuted(&self) -> u32 {
        let refuted = self.grounds.iter().filter(|(_, refuted)| *refuted);
        refuted.map(|(ground, _)| ground.crashes).sum()
    }
}
