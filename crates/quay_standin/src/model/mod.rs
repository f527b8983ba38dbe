//! A small model of an engine as plain deterministic code.
//!
//! Nothing here reads a clock or does I/O: the caller passes the time in and
//! takes events out, so that a stand-in over HTTP and the experiments meet the
//! same engine.

mod cache;
mod engine;
mod job;
mod load;
mod order;
mod settings;
mod weights;

pub use {
    cache::{CacheChange, CacheEvent, CacheSnapshot, KvExport},
    engine::EngineModel,
    job::{Job, JobEvent, JobId},
    load::LoadReport,
    order::{EngineRole, Order, OrderAction, OrderError},
    settings::ModelSettings,
    weights::WeightStore,
};
