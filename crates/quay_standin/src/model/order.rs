//! Orders to an engine under rising fence numbers.

use {
    indexmap::IndexMap,
    quay_types::{FenceNumber, ModelId, Time},
    std::time::Duration,
};

/// Which part of the work an engine does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EngineRole {
    /// Prefill and decode.
    #[default]
    Whole,
    /// Prefill for others.
    Prefill,
    /// Decode what others prefilled.
    Decode,
}

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAction {
    /// Serve a model or adapter once its weights are there.
    Load(ModelId, Duration),
    /// Serve a model or adapter no more.
    Unload(ModelId),
    /// Take a role.
    Role(EngineRole),
}

/// An order and its fence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// Must not fall.
    pub fence: FenceNumber,
    /// What to do.
    pub action: OrderAction,
}

/// Why an order was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderError {
    /// A later order was carried out; its fence number.
    StaleFence(FenceNumber),
}

/// What the orders so far amount to.
#[derive(Debug, Default)]
pub(super) struct Orders {
    check: bool,
    fence: FenceNumber,
    role: EngineRole,
    /// Models and when each can serve.
    models: IndexMap<ModelId, Time>,
}

impl Orders {
    pub(super) fn new(check: bool) -> Self {
        Self {
            check,
            ..Self::default()
        }
    }

    /// Carries an order out, unless its fence number is old and that is checked.
    pub(super) fn carry_out(&mut self, now: Time, order: Order) -> Result<(), OrderError> {
        if self.check && order.fence < self.fence {
            return Err(OrderError::StaleFence(self.fence));
        }
        self.fence = self.fence.max(order.fence);
        match order.action {
            OrderAction::Load(model, span) => drop(self.models.insert(model, now + span)),
            OrderAction::Unload(model) => drop(self.models.shift_remove(&model)),
            OrderAction::Role(role) => self.role = role,
        }
        Ok(())
    }

    /// Models that can serve now.
    pub(super) fn serving(&self, now: Time) -> impl Iterator<Item = ModelId> {
        let ready = self.models.iter().filter(move |(_, ready)| **ready <= now);
        ready.map(|(model, _)| *model)
    }

    pub(super) const fn role(&self) -> EngineRole {
        self.role
    }
}
