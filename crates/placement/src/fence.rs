//! Fencing numbers and instance names.
//!
//! Fencing numbers increase without shared state: an owner starts above every number that it has
//! observed from an engine or a peer. An instance name contains the model and identifies the order
//! that loaded it. A late order of a previous owner therefore names an instance that no new request
//! uses, and a stale name can never refer to another model.

use wire::{Fence, Incarnation, Model};

use crate::event::Instance;

/// Generator of increasing fencing numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FenceCounter {
    last: Fence,
}

impl FenceCounter {
    /// Returns a number above all that were generated or observed before.
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
