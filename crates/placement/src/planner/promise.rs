//! Which claim on each upstream this node has taken.

use wire::view::State;
use wire::{Fence, Incarnation, Upstream, View, Vm};

#[derive(Clone, Debug)]
struct Promise {
    upstream: Upstream,
    claim: Fence,
    owner: Incarnation,
}

/// The highest claim taken per upstream, sorted by upstream. Grants below it are refused.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    list: Vec<Promise>,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It supersedes what was promised before.
    New,
    /// It was promised before.
    Known,
    /// A higher one was promised, with this number.
    Outbid(Fence),
}

impl Promises {
    fn index(&self, upstream: &str) -> Result<usize, usize> {
        self.list
            .binary_search_by(|promise| (*promise.upstream).cmp(upstream))
    }

    /// Takes a claim of `owner`, unless a higher one was taken.
    pub fn take(&mut self, upstream: &Upstream, claim: Fence, owner: &Incarnation) -> Taken {
        let new = Promise {
            upstream: upstream.clone(),
            claim,
            owner: owner.clone(),
        };
        match self.index(upstream) {
            Err(index) => {
                self.list.insert(index, new);
                Taken::New
            }
            Ok(index) => {
                let old = &mut self.list[index];
                match (claim, owner).cmp(&(old.claim, &old.owner)) {
                    std::cmp::Ordering::Less => Taken::Outbid(old.claim),
                    std::cmp::Ordering::Equal => Taken::Known,
                    std::cmp::Ordering::Greater => {
                        *old = new;
                        Taken::New
                    }
                }
            }
        }
    }

    /// Returns the number of the highest claim on `upstream` that was taken; zero where none was.
    pub fn shown(&self, upstream: &str) -> Fence {
        self.index(upstream)
            .map_or(0, |index| self.list[index].claim)
    }

    /// Tells whether `owner` holds the promise with this claim.
    pub fn holds(&self, upstream: &str, claim: Fence, owner: &Incarnation) -> bool {
        self.index(upstream).is_ok_and(|index| {
            let promise = &self.list[index];
            promise.claim == claim && promise.owner == *owner
        })
    }

    /// Returns the VM to ask for leases on `upstream`: the promised owner while it is live, else
    /// the one that the view names.
    pub fn owner<'a>(&'a self, view: &'a View, upstream: &str) -> Option<&'a Vm> {
        let promised = self.index(upstream).ok().map(|at| &self.list[at].owner);
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
