//! Experiments with the decision logic: comparison of policies with baselines,
//! a simulated gateway under bursts and outages, fault injection that checks the system's promises, and measurements for
//! capacity planning.
//!
//! All random choices derive from a seed, so the same seed prints the same bytes;
//! only measured times differ between runs.
//!
//! ```
//! use quay_experiment::capacity::LineFit;
//!
//! let fit = LineFit::of(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0), (4.0, 9.0)]).expect("four sizes");
//! assert!((fit.slope - 2.0).abs() < 1e-9);
//! assert!((fit.intercept - 1.0).abs() < 1e-9);
//! ```

pub mod capacity;
pub mod faults;
pub mod gateway;
pub mod policy;
