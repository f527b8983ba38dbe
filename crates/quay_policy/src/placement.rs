//! Placement of models on upstreams.

use {
    indexmap::IndexMap,
    quay_types::{FenceNumber, ModelId, Time, UpstreamId},
    std::time::Duration,
};

/// Settings of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Share of the upstreams that may be changing models at a time, in
    /// thousandths; at least one always may.
    pub moving_permille: u32,
    /// Size of one model's weights in bytes.
    pub model_bytes: u64,
    /// Throughput of the weight store in bytes per second.
    pub store_bytes_per_s: u64,
    /// Time after which a move that was not reported as finished counts as
    /// failed.
    pub move_timeout: Duration,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            moving_permille: 100,
            model_bytes: 16 << 30,
            store_bytes_per_s: 1 << 30,
            move_timeout: Duration::from_mins(5),
        }
    }
}

/// State of one upstream as placement sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementView {
    /// Identifier of the upstream.
    pub upstream: UpstreamId,
    /// Model that the upstream serves.
    pub model: ModelId,
    /// Calls queued and running on the upstream.
    pub calls: u32,
}

/// Order to an upstream to replace the model that it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// Upstream that changes its model.
    pub upstream: UpstreamId,
    /// Fence number of the order; increases with each order.
    pub fence: FenceNumber,
    /// Model to load.
    pub load: ModelId,
    /// Model to unload.
    pub unload: ModelId,
}

/// Decides which upstreams change models.
#[derive(Debug)]
pub struct Placement {
    cfg: PlacementSettings,
    /// Fence number of the last order. After a restart it starts above the last
    /// one issued.
    fence: FenceNumber,
    moving: IndexMap<UpstreamId, (ModelId, Time)>,
    store_free: Time,
}

impl Placement {
    /// Creates a planner whose orders carry fence numbers above `fence`.
    #[must_use]
    pub fn new(cfg: PlacementSettings, fence: FenceNumber) -> Self {
        Self {
            cfg,
            fence,
            moving: IndexMap::new(),
            store_free: Time::ZERO,
        }
    }

    /// Records that a move has ended, whether it succeeded or failed.
    pub fn move_finished(&mut self, upstream: UpstreamId) {
        self.moving.swap_remove(&upstream);
    }

    /// Plans the next moves from the number of calls for each model.
    ///
    /// Every model with calls is given at least one upstream, and the last
    /// upstream of a model with calls is never moved away from it.
    pub fn plan(
        &mut self,
        now: Time,
        views: &[PlacementView],
        demand: &IndexMap<ModelId, u64>,
    ) -> Vec<Move> {
        let cfg = self.cfg;
        self.moving
            .retain(|_, (_, since)| now.since(*since) < cfg.move_timeout);
        let max_moving = views.len() * cfg.moving_permille as usize / 1_000;
        let mut moves = Vec::new();
        while self.moving.len() < max_moving.max(1) && self.store_free <= now {
            let Some(next) = self.next_move(views, demand) else {
                break;
            };
            self.moving.insert(next.upstream, (next.load, now));
            let millis = cfg.model_bytes.saturating_mul(1_000) / cfg.store_bytes_per_s.max(1);
            self.store_free = now + Duration::from_millis(millis);
            self.fence.0 += 1;
            moves.push(Move {
                fence: self.fence,
                ..next
            });
        }
        moves
    }

    /// Selects a move to the model with the largest deficit of upstreams, from
    /// the least loaded upstream of a model with a surplus.
    fn next_move(&self, views: &[PlacementView], demand: &IndexMap<ModelId, u64>) -> Option<Move> {
        let wanted = shares(demand, views.len());
        let have = |model: ModelId| {
            let serving = views.iter().filter(|view| self.model_of(view) == model);
            serving.count()
        };
        let lacking = wanted
            .iter()
            .filter(|(model, count)| have(**model) < **count);
        let load = *lacking
            .max_by_key(|(model, count)| **count - have(**model))?
            .0;
        let spare = |view: &&PlacementView| {
            let wanted = wanted.get(&view.model).copied().unwrap_or(0);
            !self.moving.contains_key(&view.upstream) && have(view.model) > wanted
        };
        let from = views.iter().filter(spare).min_by_key(|view| view.calls)?;
        Some(Move {
            upstream: from.upstream,
            fence: self.fence,
            load,
            unload: from.model,
        })
    }

    /// Returns the model that an upstream serves, or will serve once its move
    /// has ended.
    fn model_of(&self, view: &PlacementView) -> ModelId {
        let moving = self.moving.get(&view.upstream);
        moving.map_or(view.model, |(model, _)| *model)
    }
}

/// Divides the upstreams among the models in proportion to their calls, with at
/// least one for each model that has calls.
fn shares(demand: &IndexMap<ModelId, u64>, upstreams: usize) -> IndexMap<ModelId, usize> {
    let used: Vec<_> = demand.iter().filter(|(_, calls)| **calls > 0).collect();
    let total: u64 = used.iter().map(|(_, calls)| **calls).sum();
    let left = upstreams.saturating_sub(used.len()) as u64;
    let share = |calls: u64| 1 + usize::try_from(left * calls / total.max(1)).unwrap_or(0);
    used.into_iter()
        .map(|(model, calls)| (*model, share(*calls)))
        .collect()
}
