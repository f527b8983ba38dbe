//! Deterministic simulation of a model engine.
//!
//! The simulation reads no clock and does no I/O: the caller passes the time in
//! and takes events out. The HTTP engine and the experiments therefore share the
//! same engine model.

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
