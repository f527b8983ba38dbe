//! Small stand-ins of the systems that sapphirequay meets: a model engine, a
//! plain service and a weight store.
//!
//! They serve real HTTP on loopback, so that the daemon is met through the same
//! protocol as in production.
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
