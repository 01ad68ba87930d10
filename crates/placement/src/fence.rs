//! Fencing numbers and instance names.
//!
//! Fencing numbers increase without shared state: an owner starts above every number that it has
//! observed from an engine or a peer. An instance name contains the model and identifies the order
//! that loaded it. A late order of a previous owner therefore names an instance that no new request
//! uses, and a stale name can never refer to another model.

use wire::{Fence, Incarnation, Model, rank};

use crate::event::Instance;

/// Largest step between the numbers of a process's orders.
const MAX_STEP: u64 = 1 << 16;

/// Generator of increasing fencing numbers.
///
/// The numbers of orders rise by a step that differs between processes: engines accept an equal number, and
/// two nodes that do not know each other would issue the same ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceCounter {
    last: Fence,
    step: u64,
}

impl FenceCounter {
    /// Creates the generator of a process.
    pub fn new(process: &Incarnation) -> Self {
        let name = format!("{}@{:x}", process.vm, process.start);
        Self {
            last: 0,
            step: 1 + rank::hash(name) % MAX_STEP,
        }
    }

    /// Returns the number of the next order.
    pub fn advance_order(&mut self) -> Fence {
        self.last = self.last.saturating_add(self.step);
        self.last
    }

    /// Returns the number of the next claim, which is above all that were generated or observed before.
    pub fn advance(&mut self) -> Fence {
        self.last = self.last.saturating_add(1);
        self.last
    }

    /// Records a number observed from an engine or a peer; later numbers are above it.
    pub fn observe(&mut self, observed: Fence) {
        self.last = self.last.max(observed);
    }

    /// Returns the highest number generated or observed.
    pub const fn last(&self) -> Fence {
        self.last
    }
}

/// The parts of an instance name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceName {
    /// The model.
    pub model: Model,
    /// The process incarnation that ordered the load.
    pub loader: Incarnation,
    /// Number of the ownership claim under which the load was ordered.
    pub claim: Fence,
    /// Fencing number of the order.
    pub fence: Fence,
}

impl InstanceName {
    /// Returns the name under which the engine holds the instance.
    pub fn to_instance(&self) -> Instance {
        let Self {
            model,
            loader,
            claim,
            fence,
        } = self;
        let Incarnation { vm, start } = loader;
        format!("{model}@{start:x}.{claim:x}.{fence:x}.{vm}").into()
    }

    /// Parses a name created by [`InstanceName::to_instance`]; `None` for any other name.
    pub fn parse(instance: &str) -> Option<Self> {
        let mut parts = instance.splitn(3, '@');
        let (adapter, version, order) = (parts.next()?, parts.next()?, parts.next()?);
        let mut parts = order.splitn(4, '.');
        let mut next_number = || u64::from_str_radix(parts.next()?, 16).ok();
        let (start, claim, fence) = (next_number()?, next_number()?, next_number()?);
        let vm = parts.next()?;
        Some(Self {
            model: Model::new(adapter, version),
            loader: Incarnation::new(vm, start),
            claim,
            fence,
        })
    }
}
