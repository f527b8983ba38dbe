//! Seeded experiments over the decision logic: policy, faults, capacity.
//!
//! An experiment runs the same decision machines as the daemon over small
//! models, so the same seed prints the same bytes.
//!
//! ```
//! use quay_experiment::policy::{Deployment, Scenario, run_one};
//!
//! let scenario = Scenario { seconds: 5, ..Scenario::new(Deployment::Ordinalia, 500, false) };
//! let stats = run_one("the policy", &scenario, 1).expect("a known policy");
//! assert!(stats.finished > 0);
//! ```

pub mod policy;
