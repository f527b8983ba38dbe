//! Configuration: one TOML document of owned sections, the replicated state
//! machine of the control group that stores it, and the subscriber in each
//! daemon.
//!
//! This crate does no I/O and reads no clock. A change names the section, and
//! the version and digest that it is based on. Every attempt, accepted or
//! refused, is recorded in an audit trail.
//!
//! ```
//! use quay_config::{Document, check};
//!
//! let text = "[platform.owners]\nplatform = [\"root\"]\n[platform.models.m]\n";
//! let document = Document::parse(text).expect("document");
//! let config = check(&document).expect("config");
//! assert_eq!(config.models.len(), 1);
//! ```

mod audit;
mod check;
mod command;
mod config;
mod document;
mod error;
mod image;
mod min_config_index;
mod patch;
mod refusal;
mod schema;
mod step_history;
mod store;
mod subscriber;

pub use {
    audit::{AuditRecord, AuditTrail, MAX_AUDIT_RECORDS},
    check::check,
    command::{
        Accepted, Action, ChangeId, ConfigAnswer, ConfigCommand, ConfigQuery, ConfigReply, Origin,
        SectionRevision, SectionSummary, StoreStatus,
    },
    config::{Account, Config, KeyDigest, Model, QuarantineRules, Service, UpstreamClass},
    document::{Document, MAX_DOCUMENT_BYTES, PLATFORM_SECTION},
    error::ConfigError,
    image::{DrainMark, Image, QuarantineMark, SectionImage, Step, StepChange, StepError},
    min_config_index::MinConfigIndex,
    patch::TextPatch,
    refusal::{Conflict, Refusal, line_diff},
    step_history::{MAX_HISTORY_STEPS, Poll, StepHistory, Update},
    store::{ConfigSnapshot, ConfigStore},
    subscriber::{Subscriber, SubscriberEvent},
};
