//! A gateway without a network: fronts that each decide by the code of
//! `sapphirequayd::Upstreams` on what they themselves have seen, before upstreams with
//! slots and memory for prompts, under programs whose turns come through any front.
//!
//! ```
//! use quay_experiment::gateway::{WorldSettings, simulate};
//!
//! let quiet = WorldSettings { seconds: 5, programs_per_s: 2.0, ..WorldSettings::default() };
//! let report = simulate(&quiet);
//! assert_eq!(report.total.asked, report.total.in_time);
//! ```

#![allow(clippy::cast_precision_loss)] // Counts and times of a simulation are small.

mod engine;
mod front;
mod plot;
mod report;
mod settings;
mod workload;
mod world;

pub use {
    plot::plot,
    report::{Counts, WorldReport},
    settings::{Burst, EngineSettings, LoadSettings, Span, WorldSettings},
    world::simulate,
};
