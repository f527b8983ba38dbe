//! Orders to an engine, with fence numbers to reject stale ones.

use {
    indexmap::IndexMap,
    quay_types::{FenceNumber, ModelId, Time},
    std::time::Duration,
};

/// Phases of inference that an engine runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EngineRole {
    /// Prefill and decode.
    #[default]
    Whole,
    /// Prefill, for other engines to decode.
    Prefill,
    /// Decode prompts that other engines have prefilled.
    Decode,
}

/// Action of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a model or adapter; it can serve after the given duration.
    Load(ModelId, Duration),
    /// Unload a model or adapter.
    Unload(ModelId),
    /// Change the role.
    Role(EngineRole),
}

/// An order with its fence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// Fence number; an engine that checks it refuses an order with a lower
    /// number than an earlier one.
    pub fence: FenceNumber,
    /// Action to carry out.
    pub action: OrderAction,
}

/// Reason for the refusal of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderError {
    /// An order with this higher fence number has already been applied.
    StaleFence(FenceNumber),
}

/// State that results from the orders applied so far.
#[derive(Debug, Default)]
pub(super) struct Orders {
    check_fence: bool,
    fence: FenceNumber,
    role: EngineRole,
    /// Loaded models, with the time from which each can serve.
    models: IndexMap<ModelId, Time>,
}

impl Orders {
    pub(super) fn new(check_fence: bool) -> Self {
        Self {
            check_fence,
            ..Self::default()
        }
    }

    /// Applies an order; refuses a stale fence number if checks are enabled.
    pub(super) fn apply(&mut self, now: Time, order: Order) -> Result<(), OrderError> {
        if self.check_fence && order.fence < self.fence {
            return Err(OrderError::StaleFence(self.fence));
        }
        self.fence = self.fence.max(order.fence);
        match order.action {
            OrderAction::Load(model, load_time) => drop(self.models.insert(model, now + load_time)),
            OrderAction::Unload(model) => drop(self.models.shift_remove(&model)),
            OrderAction::Role(role) => self.role = role,
        }
        Ok(())
    }

    /// Models that can serve at `now`.
    pub(super) fn serving(&self, now: Time) -> impl Iterator<Item = ModelId> {
        let ready = self.models.iter().filter(move |(_, ready)| **ready <= now);
        ready.map(|(model, _)| *model)
    }

    pub(super) const fn role(&self) -> EngineRole {
        self.role
    }
}
