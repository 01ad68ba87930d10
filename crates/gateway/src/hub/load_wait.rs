//! Requests of this node that wait for loads.

use std::sync::Arc;

use exchange::demand::Target;
use exchange::fleet::Presence;
use exchange::owner;
use wire::Upstream;

use super::Hub;
use crate::dialect::Dialect;

/// A request that waits for a load. The load is cancelled once no request of this node does.
pub struct LoadWait<D: Dialect> {
    hub: Arc<Hub<D>>,
    engine: Upstream,
    target: Target,
}

impl<D: Dialect> LoadWait<D> {
    /// Records a request that waits for `target` at `engine`.
    pub fn new(hub: &Arc<Hub<D>>, engine: &Upstream, target: &Target) -> Self {
        hub.desk().waits.join(engine, target);
        Self {
            hub: hub.clone(),
            engine: engine.clone(),
            target: target.clone(),
        }
    }

    /// Returns the engine.
    pub const fn engine(&self) -> &Upstream {
        &self.engine
    }
}

impl<D: Dialect> Drop for LoadWait<D> {
    fn drop(&mut self) {
        let unused = {
            let mut desk = self.hub.desk();
            let last = desk.waits.leave(&self.engine, &self.target);
            let known = desk.fleet.upstream(&self.engine);
            last && known.is_some_and(|known| known.presence(&self.target) == Presence::Absent)
        };
        if unused {
            self.hub.drive(owner::Event::CancelLoadRequest {
                engine: self.engine.clone(),
                target: self.target.clone(),
            });
        }
    }
}
