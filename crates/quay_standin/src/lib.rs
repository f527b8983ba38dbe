//! Simulated servers for tests and experiments: a model engine, a plain service
//! and a weight store.
//!
//! The servers use real HTTP on loopback, so that the daemon is tested through the
//! same protocol as in production.
//!
//! ```
//! use quay_standin::{Engine, EngineSettings};
//!
//! let engine = Engine::start("127.0.0.1:0".parse().expect("address"), EngineSettings::default()).expect("engine");
//! assert_ne!(engine.addr().port(), 0);
//! ```

mod engine;
mod listen;
pub mod model;
mod service;
mod weights;

pub use {
    engine::{Engine, EngineCounts, EngineSettings},
    service::{Service, ServiceSettings},
    weights::WeightServer,
};
