//! Promises of this node: the highest claim on each upstream that it has accepted.

use wire::view::State;
use wire::{Fence, Incarnation, Upstream, View, Vm};

#[derive(Clone, Debug)]
struct Promise {
    upstream: Upstream,
    claim: Fence,
    owner: Incarnation,
}

/// The highest accepted claim of each upstream, sorted by upstream. Lower claims, and grants under
/// them, are refused. Claims with equal numbers are ordered by their owners.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    promises: Vec<Promise>,
}

/// Outcome of offering a claim to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is accepted and supersedes any earlier promise.
    Accepted,
    /// The claim was already accepted.
    AlreadyAccepted,
    /// The claim is refused because a higher one, with this number, was accepted before.
    Superseded(Fence),
}

impl Promises {
    fn index(&self, upstream: &str) -> Result<usize, usize> {
        self.promises
            .binary_search_by(|promise| (*promise.upstream).cmp(upstream))
    }

    /// Accepts a claim of `owner`, unless a higher one was accepted before.
    pub fn accept(
        &mut self,
        upstream: &Upstream,
        claim: Fence,
        owner: &Incarnation,
    ) -> ClaimOutcome {
        let new = Promise {
            upstream: upstream.clone(),
            claim,
            owner: owner.clone(),
        };
        match self.index(upstream) {
            Err(index) => {
                self.promises.insert(index, new);
                ClaimOutcome::Accepted
            }
            Ok(index) => {
                let old = &mut self.promises[index];
                match (claim, owner).cmp(&(old.claim, &old.owner)) {
                    std::cmp::Ordering::Less => ClaimOutcome::Superseded(old.claim),
                    std::cmp::Ordering::Equal => ClaimOutcome::AlreadyAccepted,
                    std::cmp::Ordering::Greater => {
                        *old = new;
                        ClaimOutcome::Accepted
                    }
                }
            }
        }
    }

    /// Returns the number of the highest accepted claim on `upstream`, or zero if there is none.
    pub fn highest_claim(&self, upstream: &str) -> Fence {
        self.index(upstream)
            .map_or(0, |index| self.promises[index].claim)
    }

    /// Returns whether this claim of `owner` is the one currently promised.
    pub fn holds(&self, upstream: &str, claim: Fence, owner: &Incarnation) -> bool {
        self.index(upstream).is_ok_and(|index| {
            let promise = &self.promises[index];
            promise.claim == claim && promise.owner == *owner
        })
    }

    /// Returns whether a claim above this one of `owner` was accepted.
    pub fn exceed(&self, upstream: &str, claim: Fence, owner: &Incarnation) -> bool {
        self.index(upstream).is_ok_and(|index| {
            let promise = &self.promises[index];
            (promise.claim, &promise.owner) > (claim, owner)
        })
    }

    /// Returns the VM from which to request leases on `upstream`: that of the promised owner while
    /// it is live, otherwise the one that the view names.
    pub fn owner<'a>(&'a self, view: &'a View, upstream: &str) -> Option<&'a Vm> {
        let promised = self
            .index(upstream)
            .ok()
            .map(|index| &self.promises[index].owner);
        let live = |owner: &&Incarnation| {
            let peer = view.peer(&owner.vm);
            peer.is_some_and(|p| p.state == State::Live && p.incarnation == **owner)
        };
        match promised.filter(live) {
            Some(owner) => Some(&owner.vm),
            None => view.owner(upstream),
        }
    }
}
