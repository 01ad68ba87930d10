//! The search of requests for engines, on what this node knows.

use std::time::Duration;

use exchange::search::{SILENT_OWNER_WAIT, Search, Step, View};
use exchange::selection::{self, Requirements, Selection, SelectionContext, Unavailable};
use wire::{Time, Upstream};

use super::{Desk, Hub};
use crate::dialect::Dialect;

/// What a search sees of the engines.
struct DeskView<'a, F> {
    desk: &'a Desk,
    need: &'a Requirements<'a>,
    context: &'a SelectionContext<'a, F>,
}

impl<F: Fn(&Upstream) -> bool> View for DeskView<'_, F> {
    fn load_wait(&self, engine: &Upstream) -> Option<Duration> {
        let known = self.desk.fleet.upstream(engine)?;
        let open = known.is_eligible() && (self.context.owned)(engine);
        open.then(|| known.load_backlog(self.context.now))
    }

    fn shortest_wait(&self) -> Option<(Upstream, Duration)> {
        selection::shortest_load_wait(&self.desk.fleet, self.need, self.context)
    }

    fn soonest_resident(&self) -> Option<(Upstream, Duration)> {
        selection::soonest_resident(&self.desk.fleet, self.need, self.context)
    }

    fn claim_delay(&self) -> Duration {
        self.desk.owner.claim_delay(self.context.now)
    }
}

impl<D: Dialect> Hub<D> {
    /// Decides on the next step of a search.
    ///
    /// # Errors
    ///
    /// Returns the reason why no upstream accepts the request.
    pub fn find(&self, search: &mut Search, need: &Requirements<'_>) -> Result<Step, Unavailable> {
        let now = self.clock.now();
        let desk = self.desk();
        let context = self.context(now, &desk);
        match selection::select_upstream(&desk.fleet, need, &context) {
            Selection::None(lack) => Err(lack),
            selection => {
                let view = DeskView {
                    desk: &desk,
                    need,
                    context: &context,
                };
                Ok(search.next(now, selection, &view))
            }
        }
    }

    /// Picks the upstream for a request.
    pub fn pick(&self, need: &Requirements<'_>) -> Selection {
        let now = self.clock.now();
        let desk = self.desk();
        selection::select_upstream(&desk.fleet, need, &self.context(now, &desk))
    }

    fn context<'a>(
        &'a self,
        now: Time,
        desk: &'a Desk,
    ) -> SelectionContext<'a, impl Fn(&Upstream) -> bool + 'a> {
        SelectionContext {
            now,
            zone: &self.settings.vm.zone,
            long_prompt_engines: desk.demand.long_prompt_engines(now),
            owned: |id: &Upstream| desk.owner.holder(id).is_some(),
        }
    }

    /// Records that the owner of an engine has not replied, so that requests prefer others.
    pub fn owner_silent(&self, engine: &Upstream) {
        let now = self.clock.now();
        self.desk()
            .fleet
            .set_load_backlog(now, engine, SILENT_OWNER_WAIT);
    }
}
