//! Fencing numbers and the names of instances.
//!
//! Numbers grow without shared state: an owner starts above every number that an engine or a peer
//! has shown. An instance's name carries its model and the order that loaded it, so that a late
//! order of an earlier owner names an instance that no new request uses, and a stale name can
//! never stand for another model.

use wire::{Fence, Incarnation, Model};

use crate::event::Instance;

/// Source of growing fencing numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FenceCounter {
    last: Fence,
}

impl FenceCounter {
    /// Returns a number above every one given or shown before.
    pub fn advance(&mut self) -> Fence {
        self.last = self.last.saturating_add(1);
        self.last
    }

    /// Takes note of a number that an engine or a peer has shown.
    pub fn observe(&mut self, shown: Fence) {
        self.last = self.last.max(shown);
    }

    /// Returns the highest number given or shown.
    pub const fn last(&self) -> Fence {
        self.last
    }
}

/// The parts of an instance's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceName {
    /// The model.
    pub model: Model,
    /// The incarnation that ordered the load.
    pub loader: Incarnation,
    /// Number of the claim under which it was ordered.
    pub claim: Fence,
    /// Number of that order.
    pub fence: Fence,
}

impl InstanceName {
    /// Returns the name as engines see it.
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

    /// Reads a name given by [`Name::instance`]; `None` for one that no owner gave.
    pub fn parse(instance: &str) -> Option<Self> {
        let mut parts = instance.splitn(3, '@');
        let (adapter, version, order) = (parts.next()?, parts.next()?, parts.next()?);
        let mut parts = order.splitn(4, '.');
        let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
        let (start, claim, fence) = (number()?, number()?, number()?);
        let vm = parts.next()?;
        Some(Self {
            model: Model::new(adapter, version),
            loader: Incarnation::new(vm, start),
            claim,
            fence,
        })
    }
}
